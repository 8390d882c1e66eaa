"""The network: latency by zone, jitter, loss, bandwidth, and cuts in one direction or both.

Connections are streams as TCP's: nothing in one overtakes, a lost packet shows as the wait for its repeat, and what is
sent into a cut waits for its end unless the connection is given up before.  Different connections overtake one another.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from martenstep.lab.emulate.core import Draws, Sim

RESEND_MS = 200.0  # the least wait before a lost packet is sent again (Linux's TCP)


@dataclass(frozen=True, slots=True)
class Weather:
    """How messages travel; times are one way."""

    same_zone_ms: float = 0.15
    other_zone_ms: float = 0.6
    jitter: float = 0.3  # part of the latency, at most, on top of it
    loss: float = 0.0  # of the messages
    bytes_per_ms: float = 125_000.0  # of one connection: 1 Gbit a second


class Network:
    """Who can reach whom, and how fast."""

    def __init__(self, sim: Sim, weather: Weather, draws: Draws) -> None:
        self.sim, self.weather, self._draws = sim, weather, draws
        self._cuts: set[tuple[str, str]] = set()
        self._held: list[tuple[Pipe, Callable[..., None], tuple[Any, ...]]] = []

    def cut(self, one: str, other: str, on: bool = True) -> None:
        """Let nothing through from places whose name begins with one to those that begin with the other, or again."""
        if on:
            self._cuts.add((one, other))
            return
        self._cuts.discard((one, other))
        held, self._held = self._held, []
        for pipe, call, args in held:  # the senders' repeats get through
            pipe.send(call, *args, more_ms=RESEND_MS)

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing gets through this way."""
        return any(source.startswith(one) and target.startswith(other) for one, other in self._cuts)

    def latency(self, source_zone: str, target_zone: str, size: int) -> float:
        """One message's way."""
        weather = self.weather
        base = weather.same_zone_ms if source_zone == target_zone else weather.other_zone_ms
        ms = base * (1 + weather.jitter * self._draws.unit()) + size / weather.bytes_per_ms
        wait = RESEND_MS
        while weather.loss and self._draws.unit() < weather.loss:
            ms += wait
            wait *= 2
        return ms

    def hold(self, pipe: Pipe, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Keep what was sent into a cut."""
        self._held.append((pipe, call, args))


@dataclass(slots=True)
class Place:
    """Where something stands."""

    name: str
    zone: str


class Pipe:
    """One direction of a connection."""

    __slots__ = ("_last", "_net", "_source", "_target", "open")

    def __init__(self, net: Network, source: Place, target: Place) -> None:
        self._net, self._source, self._target = net, source, target
        self._last = 0.0
        self.open = True

    def send(self, call: Callable[..., None], *args: Any, size: int = 500, more_ms: float = 0.0) -> None:
        """Have it called at the other end, after all that was sent before; not at all once the pipe is closed there."""
        net = self._net
        if net._cuts and net.is_cut(self._source.name, self._target.name):
            net.hold(self, call, args)
            return
        at = net.sim.now + more_ms + net.latency(self._source.zone, self._target.zone, size)
        self._last = at = max(at, self._last)
        net.sim.at(at, self._arrive, call, args)

    def _arrive(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.open:
            call(*args)
