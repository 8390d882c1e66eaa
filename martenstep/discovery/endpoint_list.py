"""What the feed's client tells its host."""

from __future__ import annotations

from dataclasses import dataclass, field

from martenstep.policy.messages import Endpoint, EndpointListScope


@dataclass(slots=True)
class Listed:
    """The feed told of servers; addresses are (host, port) by server id."""

    scope: EndpointListScope
    servers: tuple[Endpoint, ...] = ()
    addresses: dict[int, tuple[str, int]] = field(default_factory=dict)
