"""A discrete-event simulator and named streams of random numbers: the same seed gives the same run, event by event."""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable
from typing import Any

import numpy as np

START_MS = 1_000_000.0  # virtual time starts above 0, so that no code takes a start time of 0 for "never"


class Timer:
    """A scheduled call that can be cancelled."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., None] | None, args: tuple[Any, ...]) -> None:
        self.callback, self.args = callback, args

    def cancel(self) -> None:
        """Prevent the call."""
        self.callback, self.args = None, ()


class Sim:
    """A simulator in virtual milliseconds; calls that are due at the same time run in the order they were scheduled."""

    __slots__ = ("_heap", "_order", "events", "now")

    def __init__(self) -> None:
        self.now = START_MS
        self.events = 0
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = 0

    def at(self, when: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Schedule a call at a time, or immediately if that time has passed."""
        self._order += 1
        timer = Timer(callback, args)
        heapq.heappush(self._heap, (max(when, self.now), self._order, timer))
        return timer

    def after(self, ms: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Schedule a call after a delay."""
        return self.at(self.now + ms, callback, *args)

    def run(self, until: float) -> None:
        """Run all calls that are due up to a time, and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, timer = heapq.heappop(heap)
            callback = timer.callback
            if callback is not None:
                self.events += 1
                callback(*timer.args)
        self.now = max(self.now, until)

    @property
    def next_at(self) -> float | None:
        """The time of the next scheduled call."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None


class RandomStreams:
    """Independent random streams by name: a model that is added or draws more does not change other models' draws."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def stream(self, name: str) -> np.random.Generator:
        """A new generator at the beginning of the named stream."""
        return np.random.Generator(
            np.random.PCG64(np.random.SeedSequence(self._seed, spawn_key=(zlib.crc32(name.encode()),)))
        )


class RandomBuffer:
    """Buffers numbers of one stream, because a single draw from it costs more than all the rest of an event."""

    __slots__ = ("_block", "_position", "_rng")
    BLOCK_SIZE = 1024

    def __init__(self, rng: np.random.Generator) -> None:
        self._rng, self._position = rng, 0
        self._block: list[float] = []

    def random(self) -> float:
        """A number in [0, 1)."""
        if self._position >= len(self._block):
            self._block, self._position = self._rng.random(self.BLOCK_SIZE).tolist(), 0
        self._position += 1
        return self._block[self._position - 1]

    def uniform(self, low: float, high: float) -> float:
        """A number in [low, high)."""
        return low + (high - low) * self.random()
