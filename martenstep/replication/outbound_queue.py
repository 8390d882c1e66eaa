"""The bounded queue of messages to one node; when it is full, the oldest are dropped."""

from __future__ import annotations

import asyncio
from collections import deque

MAX_QUEUED_FRAMES = 4096
MAX_QUEUED_BYTES = 16 << 20


class OutboundQueue:
    """Bodies of frames in sending order."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._bodies: deque[bytes] = deque()
        self._bytes = 0
        self.changed = asyncio.Event()  # set when a body is added
        self.sender: asyncio.Task[None] | None = None

    def __bool__(self) -> bool:
        """Whether the queue holds anything."""
        return bool(self._bodies)

    def put(self, body: bytes) -> int:
        """Add a body; returns how many older ones were dropped to make room."""
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
        """Remove and return the oldest body."""
        body = self._bodies.popleft()
        self._bytes -= len(body)
        return body

    def clear(self) -> None:
        """Drop all."""
        self._bodies.clear()
        self._bytes = 0
        self.changed.clear()
