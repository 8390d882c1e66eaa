"""A model of the network: latency by zone, jitter, loss, bandwidth, and cuts in one direction or both.

Connections behave as TCP streams: messages of one connection stay in order, a lost packet appears as the delay of its
retransmission, and a message that is sent into a cut waits until the cut heals, unless the connection is reset before.
Messages of different connections can overtake one another.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

from martenstep.lab.emulate.core import RandomBuffer, Sim

RETRANSMIT_MS = 200.0  # Linux's minimum TCP retransmission timeout


@dataclass(frozen=True, slots=True)
class NetworkConditions:
    """Latency, loss and bandwidth; times are for one way."""

    same_zone_ms: float = 0.15
    other_zone_ms: float = 0.6
    jitter: float = 0.3  # the largest addition, as a part of the latency
    loss: float = 0.0  # part of the messages
    bytes_per_ms: float = 125_000.0  # for each connection: 1 Gbit/s


class Network:
    """Which locations can reach which, and with what latency."""

    def __init__(self, sim: Sim, conditions: NetworkConditions, random_numbers: RandomBuffer) -> None:
        self.sim, self.conditions, self._random = sim, conditions, random_numbers
        self.cuts: set[tuple[str, str]] = set()
        self._cut_by_pair: dict[tuple[str, str], bool] = {}  # cached until the cuts change
        self._held: list[tuple[Pipe, Callable[..., None], tuple[Any, ...]]] = []

    def set_cut(self, source: str, target: str, on: bool = True) -> None:
        """Start or end a cut from locations whose name or zone matches one pattern to those that match the other."""
        self._cut_by_pair.clear()
        if on:
            self.cuts.add((source, target))
            return
        self.cuts.discard((source, target))
        held, self._held = self._held, []
        for pipe, call, args in held:  # the senders' retransmissions arrive
            pipe.send(call, *args, extra_ms=RETRANSMIT_MS)

    def is_cut(self, source: Location, target: Location) -> bool:
        """Whether a cut blocks this direction."""
        pair = source.name, target.name
        blocked = self._cut_by_pair.get(pair)
        if blocked is None:
            blocked = self._cut_by_pair[pair] = any(
                source.matches(from_pattern) and target.matches(to_pattern) for from_pattern, to_pattern in self.cuts
            )
        return blocked

    def latency(self, source_zone: str, target_zone: str, size: int) -> float:
        """Draw the milliseconds that one message takes, with its retransmissions."""
        conditions = self.conditions
        base = conditions.same_zone_ms if source_zone == target_zone else conditions.other_zone_ms
        ms = base * (1 + conditions.jitter * self._random.random()) + size / conditions.bytes_per_ms
        wait = RETRANSMIT_MS
        while conditions.loss and self._random.random() < conditions.loss:
            ms += wait
            wait *= 2
        return ms

    def discard_held(self, pipe: Pipe) -> None:
        """Drop the messages that a pipe has sent into a cut."""
        if self._held:
            self._held = [held for held in self._held if held[0] is not pipe]

    def hold(self, pipe: Pipe, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Keep a message that was sent into a cut until the cut heals."""
        self._held.append((pipe, call, args))


@dataclass(slots=True)
class Location:
    """The name and zone of a process."""

    name: str
    zone: str

    def matches(self, pattern: str) -> bool:
        """Whether a pattern with * matches the name or the zone."""
        return fnmatchcase(self.name, pattern) or fnmatchcase(self.zone, pattern)


class Pipe:
    """One direction of a connection."""

    __slots__ = ("_last", "_net", "_resets", "_source", "_target", "open")

    def __init__(self, net: Network, source: Location, target: Location) -> None:
        self._net, self._source, self._target = net, source, target
        self._last = 0.0
        self._resets = 0
        self.open = True

    def reset(self) -> None:
        """The sender resets the connection: lost or held messages are not retransmitted."""
        self._resets += 1
        self._net.discard_held(self)

    def send(self, call: Callable[..., None], *args: Any, size: int = 500, extra_ms: float = 0.0) -> None:
        """Schedule a call at the other end, after all sent before; it is dropped if the pipe is closed there."""
        net = self._net
        if net.cuts and net.is_cut(self._source, self._target):
            net.hold(self, call, args)
            return
        ms = net.latency(self._source.zone, self._target.zone, size)
        arrival = net.sim.now + extra_ms + ms
        self._last = arrival = max(arrival, self._last)
        # A reset drops only messages that wait for their retransmission; -1 marks the others.
        resets = self._resets if ms >= RETRANSMIT_MS or extra_ms else -1
        net.sim.at(arrival, self._arrive, call, args, resets)

    def _arrive(self, call: Callable[..., None], args: tuple[Any, ...], resets: int) -> None:
        if self.open and resets in (-1, self._resets):
            call(*args)
