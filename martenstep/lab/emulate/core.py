"""A discrete-event clock and named streams of chance: the same seed gives the same run, event by event."""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable
from typing import Any

import numpy as np

START_MS = 1_000_000.0  # a run begins here, so that nothing mistakes 0 for never


class Timer:
    """One thing that is to happen."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., None] | None, args: tuple[Any, ...]) -> None:
        self.call, self.args = call, args

    def cancel(self) -> None:
        """It is not to happen any more."""
        self.call, self.args = None, ()


class Sim:
    """Virtual time in milliseconds; what is due at one moment happens in the order in which it was asked for."""

    __slots__ = ("_heap", "_order", "events", "now")

    def __init__(self) -> None:
        self.now = START_MS
        self.events = 0
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> Timer:
        """Call it at a moment, now at the earliest."""
        self._order += 1
        timer = Timer(call, args)
        heapq.heappush(self._heap, (max(when, self.now), self._order, timer))
        return timer

    def after(self, ms: float, call: Callable[..., None], *args: Any) -> Timer:
        """Call it in so many milliseconds."""
        return self.at(self.now + ms, call, *args)

    def run(self, until: float) -> None:
        """Let time pass up to a moment."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, timer = heapq.heappop(heap)
            call = timer.call
            if call is not None:
                self.events += 1
                call(*timer.args)
        self.now = max(self.now, until)

    @property
    def next_at(self) -> float | None:
        """When the next thing happens."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None


class Streams:
    """Streams of chance by name: a part that is added, or draws more, shifts nobody else's draws."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def of(self, name: str) -> np.random.Generator:
        """The stream of a name, from its begin."""
        return np.random.Generator(
            np.random.PCG64(np.random.SeedSequence(self._seed, spawn_key=(zlib.crc32(name.encode()),)))
        )


class Draws:
    """Numbers of one stream, taken from it by the thousand: a single draw costs more than all the rest of an event."""

    __slots__ = ("_at", "_block", "_rng")
    SIZE = 1024

    def __init__(self, rng: np.random.Generator) -> None:
        self._rng, self._at = rng, 0
        self._block: list[float] = []

    def unit(self) -> float:
        """From 0 up to 1."""
        if self._at >= len(self._block):
            self._block, self._at = self._rng.random(self.SIZE).tolist(), 0
        self._at += 1
        return self._block[self._at - 1]

    def between(self, least: float, most: float) -> float:
        """From one figure up to another."""
        return least + (most - least) * self.unit()
