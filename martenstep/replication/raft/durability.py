"""Tracking of durable writes, and of the messages and votes that must wait for them."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from martenstep.replication.raft.types import Send


@dataclass(frozen=True, slots=True)
class OwnVote:
    """A candidate's vote for itself, which counts once it is durable."""

    term: int


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A message or vote that is held back until a write is durable."""

    write: int
    released: Send | OwnVote


class DurabilityTracker:
    """Numbers the writes of a replica, and holds back messages and votes that depend on them."""

    def __init__(self, durable_index: int) -> None:
        """`durable_index` is the last index of the log that was read from the disk."""
        self.durable_index = durable_index
        self._last_write = 0
        self._last_durable_write = 0
        self._waiting: deque[_Waiting] = deque()
        self._last_index_by_write: dict[int, int] = {}  # last index of the log at the time of a write

    def next_write(self, last_index: int) -> int:
        """Return the number of the next write; `last_index` is the last index of the log including it."""
        self._last_write += 1
        self._last_index_by_write[self._last_write] = last_index
        return self._last_write

    @property
    def all_durable(self) -> bool:
        """Whether no write is in progress."""
        return self._last_durable_write >= self._last_write

    def hold_back(self, released: Send | OwnVote) -> None:
        """Hold a message or vote back until all writes so far are durable."""
        self._waiting.append(_Waiting(self._last_write, released))

    def release(self, write: int) -> Iterator[Send | OwnVote]:
        """Mark a write and all earlier ones as durable; yields what was held back for them, in order."""
        self._last_durable_write = max(self._last_durable_write, write)
        while self._waiting and self._waiting[0].write <= self._last_durable_write:
            yield self._waiting.popleft().released

    def advance_durable_index(self, write: int, last_index: int) -> None:
        """Advance `durable_index` after a write became durable; `last_index` is the current end of the log."""
        self.durable_index = min(self._last_index_by_write.get(write, self.durable_index), last_index)
        for older in [older for older in self._last_index_by_write if older < write]:
            del self._last_index_by_write[older]

    def truncate(self, last_index: int) -> None:
        """Record that the log was truncated after `last_index`.

        Writes still in progress belong to the longer log: their completion does not show that the entries which replace
        the truncated ones are durable.
        """
        self.durable_index = min(self.durable_index, last_index)
        self._last_index_by_write = {
            write: min(index, last_index) for write, index in self._last_index_by_write.items()
        }

    def discard_waiting(self) -> None:
        """Drop everything that is held back; it will never be released."""
        self._waiting.clear()
