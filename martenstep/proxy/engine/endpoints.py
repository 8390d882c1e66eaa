"""The addresses of the listed endpoints, and which of them accept requests."""

from __future__ import annotations

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.policy.messages import EndpointListScope, EndpointState


class EndpointAddresses:
    """The endpoints according to the updates of the endpoint list so far."""

    def __init__(self, accepts_all: bool = False) -> None:
        """`accepts_all` is set if the endpoints do not come from an endpoint list."""
        self._accepts_all = accepts_all
        self.addresses: dict[int, tuple[str, int]] = {}
        self._accepting: set[int] = set()

    def accepts_requests(self, endpoint: int) -> bool:
        """Whether an endpoint accepts new requests."""
        return self._accepts_all or endpoint in self._accepting

    def update_addresses(self, update: EndpointListEvent) -> None:
        """Apply the addresses of an update, before the update is submitted to the policy."""
        self.addresses.update(update.addresses)
        if update.scope is EndpointListScope.FULL:
            listed = {endpoint.id for endpoint in update.endpoints}
            self.addresses = {number: address for number, address in self.addresses.items() if number in listed}

    def update_states(self, update: EndpointListEvent) -> None:
        """Apply the states of an update, after the update has been submitted to the policy."""
        for endpoint in update.endpoints:  # a removed endpoint may return only with another number
            if endpoint.state is EndpointState.REMOVED:
                self.addresses.pop(endpoint.id, None)
        accepting = accepting_endpoints(update)
        if update.scope is EndpointListScope.DELTA:
            self._accepting.difference_update(endpoint.id for endpoint in update.endpoints)
            self._accepting |= accepting
        else:
            self._accepting = accepting


def accepting_endpoints(update: EndpointListEvent) -> set[int]:
    """The endpoints of an update that accept new requests."""
    return {endpoint.id for endpoint in update.endpoints if endpoint.state is EndpointState.UP}
