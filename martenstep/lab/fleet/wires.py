"""What happens to one datagram, or to a stream, on its way between two members: the same for both players.

Chance comes from the given generator; the wires know no clock and no socket.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from martenstep.lab.fleet import fleet_pb2 as pb
from martenstep.lab.fleet.schedule import WIRE, Member, Step, fitting

MOST_QUEUE_MS = 1000.0  # what would wait longer for its turn on a narrow wire is lost
MOST_KEPT = 64  # datagrams kept to be played again


@dataclass(frozen=True, slots=True)
class Arrival:
    """One copy of a datagram, and how much later than usual it comes."""

    after_ms: float
    data: bytes


@dataclass(slots=True)
class _Effect:
    entry: pb.Break
    pairs: frozenset[tuple[str, str]]


@dataclass(slots=True)
class Wires:
    """All wires of a fleet: one for each ordered pair."""

    members: list[Member]
    rng: random.Random
    effects: dict[int, _Effect] = field(default_factory=dict)
    _free_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _known: dict[tuple[str, str], list[pb.Break]] = field(default_factory=dict)

    def step(self, step: Step) -> None:
        """A fault of the wires begins or ends."""
        entry = step.entry
        if entry.what not in WIRE:
            return
        self._known.clear()
        if not step.on:
            self.effects.pop(step.number, None)
            return
        sources, sinks = fitting(entry.source, self.members), fitting(entry.sink, self.members)
        pairs = {(a, b) for a in sources for b in sinks if a != b}
        if entry.both:
            pairs |= {(b, a) for a, b in pairs}
        self.effects[step.number] = _Effect(entry, frozenset(pairs))

    def on(self, source: str, sink: str) -> list[pb.Break]:
        """What acts on one wire."""
        if not self.effects:
            return []
        known = self._known.get((source, sink))
        if known is None:
            known = self._known[source, sink] = [
                effect.entry for effect in self.effects.values() if (source, sink) in effect.pairs
            ]
        return known

    def is_cut(self, source: str, sink: str) -> bool:
        """Whether nothing passes this way."""
        return any(entry.what == pb.CUT for entry in self.on(source, sink))

    def is_stalled(self, source: str, sink: str) -> bool:
        """Whether what a stream carries this way waits."""
        return any(entry.what in (pb.CUT, pb.STALL) for entry in self.on(source, sink))

    def stream_ms(self, source: str, sink: str, size: int) -> float:
        """How much later a piece of a stream comes: lost packets are sent again by TCP, after 200 ms and more."""
        late = 0.0
        for entry in self.on(source, sink):
            if entry.what == pb.DELAY:
                late += entry.ms + self.rng.uniform(0, entry.jitter_ms)
            elif entry.what == pb.BANDWIDTH:
                late += size / entry.bytes_per_s * 1000
            elif entry.what == pb.LOSS:
                wait = 200.0
                while self.rng.random() < min(entry.share, 0.9):
                    late += wait
                    wait *= 2
        return late

    def pass_on(self, now: float, source: str, sink: str, data: bytes) -> list[Arrival]:
        """The copies of a datagram that come through."""
        copies = [Arrival(0.0, data)]
        rng = self.rng
        for entry in self.on(source, sink):
            what = entry.what
            if what == pb.CUT:
                return []
            if what == pb.LOSS:
                copies = [copy for copy in copies if rng.random() >= entry.share]
            elif what == pb.DELAY:
                copies = [
                    Arrival(copy.after_ms + entry.ms + rng.uniform(0, entry.jitter_ms), copy.data) for copy in copies
                ]
            elif what == pb.DUPLICATE:
                copies += [copy for copy in copies if rng.random() < entry.share]
            elif what == pb.REPLAY:
                copies += [
                    Arrival(copy.after_ms + rng.uniform(0, entry.ms), copy.data)
                    for copy in copies
                    if rng.random() < entry.share
                ]
            elif what == pb.REORDER:
                copies = [
                    Arrival(copy.after_ms + rng.uniform(0, entry.ms), copy.data) if rng.random() < entry.share else copy
                    for copy in copies
                ]
            elif what == pb.CORRUPT:
                copies = [
                    Arrival(copy.after_ms, spoilt(rng, copy.data)) if rng.random() < entry.share else copy
                    for copy in copies
                ]
            elif what == pb.BANDWIDTH:
                copies = list(self._narrow(now, (source, sink), entry.bytes_per_s, copies))
        return copies

    def _narrow(
        self, now: float, pair: tuple[str, str], bytes_per_s: float, copies: Iterable[Arrival]
    ) -> Iterable[Arrival]:
        for copy in copies:
            free = max(self._free_at.get(pair, now), now)
            if free - now > MOST_QUEUE_MS:
                continue
            self._free_at[pair] = free + len(copy.data) / bytes_per_s * 1000
            yield Arrival(copy.after_ms + self._free_at[pair] - now, copy.data)


def spoilt(rng: random.Random, data: bytes) -> bytes:
    """With one byte changed."""
    at = rng.randrange(len(data))
    return data[:at] + bytes([data[at] ^ rng.randrange(1, 256)]) + data[at + 1 :]
