"""The ids of recent requests, to reject a duplicate of a request that may be in flight."""

from __future__ import annotations

from array import array
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

ID_RETENTION_MARGIN_MS = 1000.0  # an id is remembered this much longer than any client waits for its response
MAX_RECENT_IDS = 20_000  # bounds the memory that a misbehaving client can take
BATCH_MS = ID_RETENTION_MARGIN_MS / 2  # ids that were seen within this time are forgotten together
BATCH_IDS = MAX_RECENT_IDS // 16


@dataclass(slots=True)
class _Batch:
    """The ids that were first seen within BATCH_MS, as hashes."""

    began_at: float
    hashes: array[int] = field(default_factory=lambda: array("q"))


class RecentIds:
    """The ids of recent requests.

    Two attempts under one id would count as two copies of one request.  Only a hash of each id is kept, of 64 bits and
    keyed anew by each process: a tenth of the memory.
    """

    def __init__(self, clock: Callable[[], float], longest_ms: float) -> None:
        """`clock` returns milliseconds; `longest_ms` is the longest time that a client waits for its response."""
        self._clock, self._retention_ms = clock, longest_ms + ID_RETENTION_MARGIN_MS
        self._hashes: set[int] = set()
        self._batches: deque[_Batch] = deque()  # oldest first

    def __len__(self) -> int:
        return len(self._hashes)

    def add(self, request_id: bytes) -> bool:
        """Record an id; return False if it is recorded already."""
        now, key = self._clock(), hash(request_id)
        self._forget_expired(now)
        if key in self._hashes:
            return False
        self._hashes.add(key)
        self._current_batch(now).hashes.append(key)
        return True

    def _forget_expired(self, now: float) -> None:
        batches = self._batches
        while batches and (now - batches[0].began_at >= self._retention_ms or len(self._hashes) >= MAX_RECENT_IDS):
            self._hashes.difference_update(batches.popleft().hashes)

    def _current_batch(self, now: float) -> _Batch:
        batches = self._batches
        if not batches or now - batches[-1].began_at >= BATCH_MS or len(batches[-1].hashes) >= BATCH_IDS:
            batches.append(_Batch(now))
        return batches[-1]
