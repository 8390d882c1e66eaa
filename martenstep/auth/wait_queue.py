"""The requests that wait for a check to start, by group, and which of them is shed where too many wait."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class WaitingRequest:
    """One request that waits for a verdict."""

    request_id: int
    deadline: float
    group: str
    fail_open: bool
    check_number: int


class GroupedWaitQueue:
    """Finds the oldest request of the largest group, each step in constant time, however many groups there are."""

    def __init__(self) -> None:
        """Begin empty."""
        self._groups: dict[str, OrderedDict[int, WaitingRequest]] = {}
        self._groups_by_size: dict[int, OrderedDict[str, None]] = {}
        self._largest = 0
        self.total = 0

    def add(self, request: WaitingRequest) -> None:
        """One more request waits."""
        requests = self._groups.setdefault(request.group, OrderedDict())
        requests[request.request_id] = request
        self.total += 1
        self._resize(request.group, len(requests) - 1, len(requests))

    def remove(self, request: WaitingRequest) -> None:
        """One request waits no longer; nothing where it did not."""
        requests = self._groups.get(request.group)
        if requests is None or requests.pop(request.request_id, None) is None:
            return
        self.total -= 1
        self._resize(request.group, len(requests) + 1, len(requests))
        if not requests:
            del self._groups[request.group]

    def oldest_of_largest_group(self) -> WaitingRequest:
        """The request that is shed next."""
        group = next(iter(self._groups_by_size[self._largest]))
        return next(iter(self._groups[group].values()))

    def _resize(self, group: str, old: int, new: int) -> None:
        if old:
            groups = self._groups_by_size[old]
            del groups[group]
            if not groups:
                del self._groups_by_size[old]
        if new:
            self._groups_by_size.setdefault(new, OrderedDict())[group] = None
        self._largest = max(self._largest, new)
        while self._largest and self._largest not in self._groups_by_size:
            self._largest -= 1
