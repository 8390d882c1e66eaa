"""The effect of link faults on datagrams and streams between two members, shared by the virtual network and the relays.

Randomness comes from the given generator; callers pass the time in and do all input and output.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from martenstep.lab.fleet import fleet_pb2 as pb
from martenstep.lab.fleet.schedule import LINK_FAULTS, Member, Step, matching_members

FIRST_RETRANSMISSION_MS = 200.0
MAX_QUEUE_MS = 1000.0  # a datagram that would queue for longer on a link of limited bandwidth is lost


@dataclass(frozen=True, slots=True)
class Arrival:
    """One delivered copy of a datagram, and its delay beyond the usual latency."""

    delay_ms: float
    data: bytes


@dataclass(slots=True)
class _ActiveFault:
    entry: pb.Break
    pairs: frozenset[tuple[str, str]]


@dataclass(slots=True)
class Links:
    """All links of a fleet, one for each ordered pair of members, and the faults that are active on them."""

    members: list[Member]
    rng: random.Random
    _active: dict[int, _ActiveFault] = field(default_factory=dict)
    _free_at_ms: dict[tuple[str, str], float] = field(default_factory=dict)
    _cached: dict[tuple[str, str], list[pb.Break]] = field(default_factory=dict)

    def apply_step(self, step: Step) -> None:
        """Activate or end a fault of links; a step of any other fault has no effect."""
        entry = step.entry
        if entry.what not in LINK_FAULTS:
            return
        self._cached.clear()
        if not step.begins:
            self._active.pop(step.number, None)
            return
        sources, sinks = matching_members(entry.source, self.members), matching_members(entry.sink, self.members)
        pairs = {(a, b) for a in sources for b in sinks if a != b}
        if entry.both:
            pairs |= {(b, a) for a, b in pairs}
        self._active[step.number] = _ActiveFault(entry, frozenset(pairs))

    def _faults_between(self, source: str, sink: str) -> list[pb.Break]:
        """Return the active faults of one link."""
        if not self._active:
            return []
        cached = self._cached.get((source, sink))
        if cached is None:
            cached = self._cached[source, sink] = [
                fault.entry for fault in self._active.values() if (source, sink) in fault.pairs
            ]
        return cached

    def is_cut(self, source: str, sink: str) -> bool:
        """Whether the link delivers nothing."""
        return any(entry.what == pb.CUT for entry in self._faults_between(source, sink))

    def is_stalled(self, source: str, sink: str) -> bool:
        """Whether stream data on the link is held back."""
        return any(entry.what in (pb.CUT, pb.STALL) for entry in self._faults_between(source, sink))

    def stream_delay_ms(self, source: str, sink: str, size: int) -> float:
        """Return the delay of a chunk of a stream; TCP retransmits after 200 ms, and doubles that per loss."""
        delay_ms = 0.0
        for entry in self._faults_between(source, sink):
            if entry.what == pb.DELAY:
                delay_ms += entry.ms + self.rng.uniform(0, entry.jitter_ms)
            elif entry.what == pb.BANDWIDTH:
                delay_ms += size / entry.bytes_per_s * 1000
            elif entry.what == pb.LOSS:
                retransmission_ms = FIRST_RETRANSMISSION_MS
                while self.rng.random() < min(entry.share, 0.9):
                    delay_ms += retransmission_ms
                    retransmission_ms *= 2
        return delay_ms

    def transmit(self, now: float, source: str, sink: str, data: bytes) -> list[Arrival]:
        """Return the copies of a datagram that the link delivers."""
        copies = [Arrival(0.0, data)]
        rng = self.rng
        for entry in self._faults_between(source, sink):
            what = entry.what
            if what == pb.CUT:
                return []
            if what == pb.LOSS:
                copies = [copy for copy in copies if rng.random() >= entry.share]
            elif what == pb.DELAY:
                copies = [
                    Arrival(copy.delay_ms + entry.ms + rng.uniform(0, entry.jitter_ms), copy.data) for copy in copies
                ]
            elif what == pb.DUPLICATE:
                copies += [copy for copy in copies if rng.random() < entry.share]
            elif what == pb.REPLAY:
                copies += [
                    Arrival(copy.delay_ms + rng.uniform(0, entry.ms), copy.data)
                    for copy in copies
                    if rng.random() < entry.share
                ]
            elif what == pb.REORDER:
                copies = [
                    Arrival(copy.delay_ms + rng.uniform(0, entry.ms), copy.data) if rng.random() < entry.share else copy
                    for copy in copies
                ]
            elif what == pb.CORRUPT:
                copies = [
                    Arrival(copy.delay_ms, corrupt_one_byte(rng, copy.data)) if rng.random() < entry.share else copy
                    for copy in copies
                ]
            elif what == pb.BANDWIDTH:
                copies = list(self._limit_bandwidth(now, (source, sink), entry.bytes_per_s, copies))
        return copies

    def _limit_bandwidth(
        self, now: float, pair: tuple[str, str], bytes_per_s: float, copies: Iterable[Arrival]
    ) -> Iterable[Arrival]:
        for copy in copies:
            free = max(self._free_at_ms.get(pair, now), now)
            if free - now > MAX_QUEUE_MS:
                continue
            self._free_at_ms[pair] = free + len(copy.data) / bytes_per_s * 1000
            yield Arrival(copy.delay_ms + self._free_at_ms[pair] - now, copy.data)


def corrupt_one_byte(rng: random.Random, data: bytes) -> bytes:
    """Return the data with one byte changed."""
    at = rng.randrange(len(data))
    return data[:at] + bytes([data[at] ^ rng.randrange(1, 256)]) + data[at + 1 :]
