"""Where the listed endpoints are, and which of them accept requests."""

from __future__ import annotations

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.policy.messages import EndpointListScope, EndpointState


class EndpointAddresses:
    """The endpoints as the last updates of the list have them."""

    def __init__(self, accepts_all: bool = False) -> None:
        """`accepts_all` where the endpoints are not those of a list."""
        self._accepts_all = accepts_all
        self.addresses: dict[int, tuple[str, int]] = {}
        self._accepting: set[int] = set()

    def accepts_requests(self, endpoint: int) -> bool:
        """Whether an endpoint accepts new requests."""
        return self._accepts_all or endpoint in self._accepting

    def update_addresses(self, update: EndpointListEvent) -> None:
        """Take over the addresses of an update, before the policy learns of it."""
        self.addresses.update(update.addresses)
        if update.scope is EndpointListScope.FULL:
            listed = {endpoint.id for endpoint in update.endpoints}
            self.addresses = {number: address for number, address in self.addresses.items() if number in listed}

    def update_states(self, update: EndpointListEvent) -> None:
        """Take over the states of an update, once the policy knows of it."""
        for endpoint in update.endpoints:  # one that is removed comes back under another number, if at all
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
