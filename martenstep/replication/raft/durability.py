"""Which of a replica's writes are durable, and what waits for them."""

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
    """Something that a write holds back."""

    write: int
    released: Send | OwnVote


class DurabilityTracker:
    """Numbers the writes of a replica and holds back what promises something about them."""

    def __init__(self, durable_index: int) -> None:
        """`durable_index` is the end of the log as it was read from the disk."""
        self.durable_index = durable_index
        self._last_write = 0
        self._last_durable_write = 0
        self._waiting: deque[_Waiting] = deque()
        self._last_index_by_write: dict[int, int] = {}  # the log's end when a write was made

    def next_write(self, last_index: int) -> int:
        """The number of the next write; `last_index` is the log's end with it."""
        self._last_write += 1
        self._last_index_by_write[self._last_write] = last_index
        return self._last_write

    @property
    def all_durable(self) -> bool:
        """No write is under way."""
        return self._last_durable_write >= self._last_write

    def hold_back(self, released: Send | OwnVote) -> None:
        """Release something once all that was written so far is durable."""
        self._waiting.append(_Waiting(self._last_write, released))

    def release(self, write: int) -> Iterator[Send | OwnVote]:
        """Take a write, and all before it, for durable; gives what waited for them, in order."""
        self._last_durable_write = max(self._last_durable_write, write)
        while self._waiting and self._waiting[0].write <= self._last_durable_write:
            yield self._waiting.popleft().released

    def advance_durable_index(self, write: int, last_index: int) -> None:
        """Let `durable_index` follow a write that is durable, in a log that ends at `last_index` now."""
        self.durable_index = min(self._last_index_by_write.get(write, self.durable_index), last_index)
        for older in [older for older in self._last_index_by_write if older < write]:
            del self._last_index_by_write[older]

    def truncate(self, last_index: int) -> None:
        """The log was cut off behind `last_index`.

        What is still being written was of the longer one, and proves nothing of the entries that come in its place.
        """
        self.durable_index = min(self.durable_index, last_index)
        self._last_index_by_write = {
            write: min(index, last_index) for write, index in self._last_index_by_write.items()
        }

    def discard_waiting(self) -> None:
        """Nothing that waits is released any more."""
        self._waiting.clear()
