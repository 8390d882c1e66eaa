"""What the discovery client tells its host of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass, field

from martenstep.policy.messages import Endpoint, EndpointListScope

Address = tuple[str, int]


@dataclass(slots=True)
class EndpointListEvent:
    """A list, a change of it, or the loss of its source; addresses are by endpoint id."""

    scope: EndpointListScope
    endpoints: tuple[Endpoint, ...] = ()
    addresses: dict[int, Address] = field(default_factory=dict)
