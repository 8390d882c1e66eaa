"""What waits to be sent to one node, bounded; past its bounds the oldest goes."""

from __future__ import annotations

import asyncio
from collections import deque

MAX_QUEUED_FRAMES = 4096
MAX_QUEUED_BYTES = 16 << 20


class OutboundQueue:
    """Bodies of frames in the order in which they are sent."""

    def __init__(self) -> None:
        """Begin empty."""
        self._bodies: deque[bytes] = deque()
        self._bytes = 0
        self.changed = asyncio.Event()  # something was added since it was cleared
        self.sender: asyncio.Task[None] | None = None

    def __bool__(self) -> bool:
        """Whether anything waits."""
        return bool(self._bodies)

    def put(self, body: bytes) -> int:
        """Add one; gives how many were dropped for it."""
        dropped = 0
        self._bodies.append(body)
        self._bytes += len(body)
        while self._is_over_bounds():
            self._bytes -= len(self._bodies.popleft())
            dropped += 1
        self.changed.set()
        return dropped

    def _is_over_bounds(self) -> bool:
        too_large = self._bytes > MAX_QUEUED_BYTES and len(self._bodies) > 1
        return len(self._bodies) > MAX_QUEUED_FRAMES or too_large

    def pop(self) -> bytes:
        """Remove and give the oldest."""
        body = self._bodies.popleft()
        self._bytes -= len(body)
        return body

    def clear(self) -> None:
        """Drop all."""
        self._bodies.clear()
        self._bytes = 0
        self.changed.clear()
