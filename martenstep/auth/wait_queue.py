"""The requests that wait for a check to start, by group; the next request to be shed comes from the largest group."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class WaitingRequest:
    """A request that waits for a verdict."""

    request_id: int
    deadline: float
    group: str
    fail_open: bool
    check_number: int
    payload: object  # of a check of its own


class GroupedWaitQueue:
    """Finds the oldest request of the largest group; each operation takes constant time for any number of groups."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._groups: dict[str, OrderedDict[int, WaitingRequest]] = {}
        self._groups_by_size: dict[int, OrderedDict[str, None]] = {}
        self._largest_size = 0
        self.total = 0

    def add(self, request: WaitingRequest) -> None:
        """Add a waiting request."""
        requests = self._groups.setdefault(request.group, OrderedDict())
        requests[request.request_id] = request
        self.total += 1
        self._update_size(request.group, len(requests) - 1, len(requests))

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request that no longer waits; does nothing if it is not in the queue."""
        requests = self._groups.get(request.group)
        if requests is None or requests.pop(request.request_id, None) is None:
            return
        self.total -= 1
        self._update_size(request.group, len(requests) + 1, len(requests))
        if not requests:
            del self._groups[request.group]

    def oldest_of_largest_group(self) -> WaitingRequest:
        """The request to shed next; among groups of equal size, the one that has had that size longest is chosen."""
        group = next(iter(self._groups_by_size[self._largest_size]))
        return next(iter(self._groups[group].values()))

    def _update_size(self, group: str, old_size: int, new_size: int) -> None:
        if old_size:
            groups = self._groups_by_size[old_size]
            del groups[group]
            if not groups:
                del self._groups_by_size[old_size]
        if new_size:
            self._groups_by_size.setdefault(new_size, OrderedDict())[group] = None
        self._largest_size = max(self._largest_size, new_size)
        while self._largest_size and self._largest_size not in self._groups_by_size:
            self._largest_size -= 1
