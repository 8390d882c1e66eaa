"""The events that the discovery client reports about the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass, field

from martenstep.policy.messages import Endpoint, EndpointListScope

Address = tuple[str, int]


@dataclass(slots=True)
class EndpointListEvent:
    """An endpoint list, a delta to it, or the loss of its source; `addresses` is by endpoint id."""

    scope: EndpointListScope
    endpoints: tuple[Endpoint, ...] = ()
    addresses: dict[int, Address] = field(default_factory=dict)
