"""The network: latency by zone, jitter, loss, bandwidth, and cuts in one direction or both.

Connections are streams as TCP's: nothing in one overtakes, a lost packet shows as the wait for its repeat, and what is
sent into a cut waits for its end unless the connection is given up before.  Different connections overtake one another.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from fnmatch import fnmatchcase
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
        self.cuts: set[tuple[str, str]] = set()
        self._known: dict[tuple[str, str], bool] = {}  # of two places, as long as the cuts are the same
        self._held: list[tuple[Pipe, Callable[..., None], tuple[Any, ...]]] = []

    def cut(self, one: str, other: str, on: bool = True) -> None:
        """Let nothing through from places whose name or zone fits a pattern to those that fit the other, or again."""
        self._known.clear()
        if on:
            self.cuts.add((one, other))
            return
        self.cuts.discard((one, other))
        held, self._held = self._held, []
        for pipe, call, args in held:  # the senders' repeats get through
            pipe.send(call, *args, more_ms=RESEND_MS)

    def is_cut(self, source: Place, target: Place) -> bool:
        """Whether nothing gets through this way."""
        pair = source.name, target.name
        known = self._known.get(pair)
        if known is None:
            known = self._known[pair] = any(source.fits(one) and target.fits(other) for one, other in self.cuts)
        return known

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

    def forget(self, pipe: Pipe) -> None:
        """Drop what a pipe had sent into a cut."""
        if self._held:
            self._held = [held for held in self._held if held[0] is not pipe]

    def hold(self, pipe: Pipe, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Keep what was sent into a cut."""
        self._held.append((pipe, call, args))


@dataclass(slots=True)
class Place:
    """Where something stands."""

    name: str
    zone: str

    def fits(self, pattern: str) -> bool:
        """Whether a pattern with * means it, by its name or by its zone."""
        return fnmatchcase(self.name, pattern) or fnmatchcase(self.zone, pattern)


class Pipe:
    """One direction of a connection."""

    __slots__ = ("_last", "_net", "_resets", "_source", "_target", "open")

    def __init__(self, net: Network, source: Place, target: Place) -> None:
        self._net, self._source, self._target = net, source, target
        self._last = 0.0
        self._resets = 0
        self.open = True

    def reset(self) -> None:
        """The sender resets the connection: what was lost or held on the way is not sent again."""
        self._resets += 1
        self._net.forget(self)

    def send(self, call: Callable[..., None], *args: Any, size: int = 500, more_ms: float = 0.0) -> None:
        """Have it called at the other end, after all that was sent before; not at all once the pipe is closed there."""
        net = self._net
        if net.cuts and net.is_cut(self._source, self._target):
            net.hold(self, call, args)
            return
        ms = net.latency(self._source.zone, self._target.zone, size)
        at = net.sim.now + more_ms + ms
        self._last = at = max(at, self._last)
        again = self._resets if ms >= RESEND_MS or more_ms else -1  # it was lost once, and waits for its repeat
        net.sim.at(at, self._arrive, call, args, again)

    def _arrive(self, call: Callable[..., None], args: tuple[Any, ...], again: int) -> None:
        if self.open and again in (-1, self._resets):
            call(*args)
