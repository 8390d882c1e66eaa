"""Which process each endpoint of the list is: an address may come to belong to another one.

A pooled connection leads to the process that accepted it, also after another one has taken over its address.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.policy.messages import EndpointListScope

Address = tuple[str, int]


class EndpointProcesses:
    """The address and the start of each listed endpoint."""

    def __init__(self, addresses: Callable[[], Mapping[int, Address]], retire: Callable[[Address], None]) -> None:
        """`addresses` returns those of the list as applied so far.

        `retire` is called with an address whose process has been removed, has moved or was started anew.
        """
        self._addresses, self._retire = addresses, retire
        self._started: dict[int, float] = {}  # by endpoint: when it started

    def update(self, update: EndpointListEvent, apply: Callable[[EndpointListEvent], None]) -> None:
        """Have an update of the list applied, and retire the addresses that no longer lead to the same process."""
        starts = {endpoint.id: endpoint.started_ms for endpoint in update.endpoints}
        is_delta = update.scope is EndpointListScope.DELTA
        before = self._addresses()
        before = {number: before[number] for number in (starts if is_delta else before) if number in before}
        started_before = {number: self._started.get(number, math.inf) for number in before}
        apply(update)
        if not is_delta:
            self._started.clear()
        self._started.update(starts)
        after = self._addresses()
        for number in [*before, *starts]:
            if number not in after:
                self._started.pop(number, None)
        for number, address in before.items():
            restarted = self._started.get(number, 0.0) > started_before[number]
            if after.get(number) != address or restarted:
                self._retire(address)
