"""Runs a schedule in virtual time on the gateways' own membership cores, with 2 to 400 members.

The virtual network carries the same authenticated bytes as real sockets.  A paused member receives and does nothing;
datagrams that arrive meanwhile wait in its socket buffer up to a limit, and after the pause either the due timers or
the buffered datagrams are handled first, at random.  Streams between members carry whole frames: a request and its
response.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from martenstep.lab.emulate.core import START_MS, Sim, Timer
from martenstep.lab.fleet import fleet_pb2 as pb
from martenstep.lab.fleet.baseline import HeartbeatCore
from martenstep.lab.fleet.records import Belief, Record, Truth, View, ViewEntry
from martenstep.lab.fleet.relay import DatagramForger
from martenstep.lab.fleet.schedule import Member, Step, members_of, steps_of
from martenstep.lab.fleet.wires import Links
from martenstep.membership.actions import EventKind, MemberEvent, OpenExchange, SendDatagram
from martenstep.membership.core import MembershipCore
from martenstep.membership.errors import ProtocolError
from martenstep.membership.keyring import Keyring
from martenstep.membership.member import Address, MemberRecord, MemberState
from martenstep.membership.settings import MembershipSettings, Stage

Core = MembershipCore | HeartbeatCore
KEY = b"a key for the emulated fleet only"
PORT = 7946
LATENCY_MS, JITTER_MS = 0.3, 0.3  # in one direction, the same within a machine room and between machine rooms
SOCKET_BUFFER_DATAGRAMS = 150  # of Linux's default of 212,992 bytes, with the overhead that it counts for each datagram
EXCHANGE_TIMEOUT_MS = 2000.0  # an exchange that takes longer fails
SAMPLE_MS = 250.0  # between two checks whether all views agree
JOIN_TIMEOUT_MS = 60_000.0  # for all members to join
MAX_REPLAYABLE_DATAGRAMS = 200  # the datagrams from which forged ones are made


@dataclass(slots=True)
class Disk:
    """The durable state of a member: its identity and its number of starts."""

    identity: int
    starts: int = 0
    addresses: tuple[Address, ...] = ()


@dataclass(slots=True)
class Place:
    """One process and the machine that it runs on."""

    name: str  # of the place: the member's name, or another one for a twin
    member: Member
    address: Address
    disk: Disk
    disk_at_begin: Disk | None = None
    core: Core | None = None
    paused: bool = False
    clock_offset_ms: float = 0.0  # monotonic clocks of two machines are unrelated
    inbox: list[bytes] = field(default_factory=list)
    timer: Timer | None = None
    loop_delay_ms: float = 0.0
    disk_faulty: bool = False
    starts: int = 0


class VirtualFleet:
    """A fleet of membership cores in virtual time."""

    def __init__(self, schedule: pb.Schedule, seed: int, make_core: Callable[..., Core] | None = None) -> None:
        self.schedule, self.seed = schedule, seed
        self._make_core: Callable[..., Core] = make_core or (HeartbeatCore if schedule.heartbeats else MembershipCore)
        self.sim = Sim()
        self.rng = random.Random(f"{schedule.name} {seed}")
        self.members = members_of(schedule)
        self.links = Links(self.members, random.Random(f"wires {seed}"))
        self.records: list[Record] = []
        self.started_ms = 0.0
        self._keys = Keyring([KEY])
        self.places: dict[str, Place] = {}
        self._place_by_address: dict[Address, Place] = {}
        self._recent_datagrams: list[bytes] = []
        self._forger = DatagramForger(self.rng)
        # By boot id: the version of a view, and its present members.
        self._present_cache: dict[int, tuple[int, frozenset[tuple[str, int]]]] = {}
        self._last_agreement: bool | None = None
        for number, member in enumerate(self.members):
            self._add_place(member.name, member, (f"10.0.{number >> 8}.{(number & 255) + 1}", PORT))

    def _add_place(self, name: str, member: Member, address: Address) -> Place:
        place = Place(name, member, address, Disk(self.rng.getrandbits(60)), clock_offset_ms=self.rng.uniform(0, 1e7))
        self.places[name] = place
        return place

    # Processes.

    def settings(self) -> MembershipSettings:
        """Return the settings that every member has."""
        schedule = self.schedule
        number = schedule.members if schedule.heartbeats else schedule.seeds
        seeds = tuple(self.places[member.name].address for member in self.members[:number])
        return MembershipSettings(
            "emulated",
            seeds,
            probe_interval_ms=schedule.period_ms,
            forget_after_ms=schedule.reclaim_ms,
            min_suspicion_ms=schedule.suspect_least_ms,
        )

    def start(self, place: Place) -> None:
        """Start the process of a place."""
        place.starts += 1
        starts = place.disk.starts + 1
        if not place.disk_faulty:  # otherwise the start is not stored, and the next one has the same number
            place.disk.starts = starts
        own_record = MemberRecord(
            place.member.name,
            0,
            place.disk.identity,
            starts,
            MemberState.ALIVE,
            self.rng.getrandbits(62),
            *place.address,
            place.member.zone,
        )
        place.core = self._make_core(
            self.settings(),
            own_record,
            self._keys,
            random.Random(self.rng.getrandbits(62)),
            self.sim.now + place.clock_offset_ms,
        )
        place.paused = False
        place.inbox.clear()
        self._place_by_address[place.address] = place
        self._truth("started", place, life=own_record.boot_id)
        self._execute_actions(place)

    def stop(self, place: Place, kind: str = "killed") -> None:
        """End the process of a place at once."""
        if place.core is None:
            return
        self._truth(kind, place)
        place.core = None
        if place.timer is not None:
            place.timer.cancel()
        place.inbox.clear()
        if self._place_by_address.get(place.address) is place:
            del self._place_by_address[place.address]

    def _truth(self, kind: str, place: Place | None = None, **fields: Any) -> None:
        who = place.member.name if place is not None else ""
        self.records.append(Truth(self.sim.now, kind, who, place.name if place is not None else "", fields))

    def _execute_actions(self, place: Place) -> None:
        """Execute the actions of a core, and set the timer for its next due time."""
        core = place.core
        if core is None:
            return
        for action in core.take_actions():
            if isinstance(action, SendDatagram):
                self._send(place, action.to, action.data)
            elif isinstance(action, OpenExchange):
                self._start_exchange(place, core, action)
            elif isinstance(action, MemberEvent):
                self.records.append(
                    Belief(self.sim.now, place.name, action.kind.value, action.member, dict(action.recorded_fields))
                )
                if action.kind is EventKind.LEFT_CLUSTER:
                    self.stop(place, "left")
                    return
        if place.timer is not None:
            place.timer.cancel()
        delay_ms = self.rng.uniform(0, place.loop_delay_ms) if place.loop_delay_ms else 0.0
        # A millionth of a millisecond late: sums with the offset are inexact, and a core that is woken too early would
        # set the same timer again without end.
        place.timer = self.sim.at(core.next_due_ms - place.clock_offset_ms + delay_ms + 1e-6, self._wake, place, core)

    def _wake(self, place: Place, core: Core) -> None:
        if place.core is core and not place.paused:
            core.wake(self.sim.now + place.clock_offset_ms)
            self._execute_actions(place)

    # Network.

    def _send(self, place: Place, to: Address, data: bytes) -> None:
        target = self._place_by_address.get(to)
        if target is None:
            return
        if len(self._recent_datagrams) < MAX_REPLAYABLE_DATAGRAMS or self.rng.random() < 0.01:
            self._recent_datagrams.append(data)
            del self._recent_datagrams[:-MAX_REPLAYABLE_DATAGRAMS]
        now = self.sim.now
        for arrival in self.links.transmit(now, place.member.name, target.member.name, data):
            delay_ms = LATENCY_MS + self.rng.uniform(0, JITTER_MS) + arrival.delay_ms
            self.sim.after(delay_ms, self._arrive, to, arrival.data)

    def _arrive(self, to: Address, data: bytes) -> None:
        place = self._place_by_address.get(to)
        if place is None or place.core is None:
            return
        if place.paused:
            if len(place.inbox) < SOCKET_BUFFER_DATAGRAMS:
                place.inbox.append(data)
        elif place.loop_delay_ms:
            self.sim.after(self.rng.uniform(0, place.loop_delay_ms), self._deliver, place, place.core, data)
        else:
            self._deliver(place, place.core, data)

    def _deliver(self, place: Place, core: Core, data: bytes) -> None:
        if place.core is not core:
            return
        if place.paused:
            place.inbox.append(data)
            return
        core.receive(self.sim.now + place.clock_offset_ms, data)
        self._execute_actions(place)

    def _start_exchange(self, place: Place, core: Core, exchange: OpenExchange) -> None:
        """Start an exchange over a stream, with its timeout."""
        timeout = self.sim.after(EXCHANGE_TIMEOUT_MS, self._exchange_answered, place, core, exchange, None, None)
        body = core.open_exchange()
        self._send_exchange(place, core, exchange, body, timeout)

    def _send_exchange(self, place: Place, core: Core, exchange: OpenExchange, body: bytes, timeout: Timer) -> None:
        target = self._place_by_address.get(exchange.to)
        if target is None:
            # The connection is refused.
            self.sim.after(LATENCY_MS * 2, self._exchange_answered, place, core, exchange, None, timeout)
            return
        source, sink = place.member.name, target.member.name
        if self.links.is_stalled(source, sink) or self.links.is_stalled(sink, source):
            return  # the timeout ends the exchange
        delay_ms = LATENCY_MS * 3 + self.links.stream_delay_ms(source, sink, len(body))
        self.sim.after(delay_ms, self._serve_exchange, place, core, exchange, target, body, timeout)

    def _serve_exchange(
        self, place: Place, core: Core, exchange: OpenExchange, target: Place, body: bytes, timeout: Timer
    ) -> None:
        if target.core is None or target.paused:
            return  # the kernel accepts the connection, but no process answers
        try:
            answer: bytes | None = target.core.serve_exchange(self.sim.now + target.clock_offset_ms, body)
        except ProtocolError:
            answer = None
        self._execute_actions(target)
        source, sink = target.member.name, place.member.name
        if self.links.is_stalled(source, sink):
            return
        delay_ms = LATENCY_MS + (self.links.stream_delay_ms(source, sink, len(answer)) if answer is not None else 0.0)
        self.sim.after(delay_ms, self._exchange_answered, place, core, exchange, answer, timeout)

    def _exchange_answered(
        self, place: Place, core: Core, exchange: OpenExchange, body: bytes | None, timeout: Timer | None
    ) -> None:
        if place.core is not core:
            return
        if place.paused:
            if timeout is not None:
                timeout.cancel()
            self.sim.after(50.0, self._exchange_answered, place, core, exchange, body, None)
            return
        further = core.continue_exchange(self.sim.now + place.clock_offset_ms, exchange.token, body)
        self._execute_actions(place)
        if timeout is not None:
            timeout.cancel()
        if further is not None:
            timeout = self.sim.after(EXCHANGE_TIMEOUT_MS, self._exchange_answered, place, core, exchange, None, None)
            self._send_exchange(place, core, exchange, further, timeout)

    # Faults.

    def _pause(self, place: Place, on: bool) -> None:
        if place.core is None or place.paused == on:
            return
        place.paused = on
        self._truth("paused" if on else "resumed", place)
        if on:
            return
        waiting, place.inbox = place.inbox, []
        core, now = place.core, self.sim.now + place.clock_offset_ms
        if self.rng.random() < 0.5:
            core.wake(now)
        for data in waiting:
            core.receive(now, data)
        self._execute_actions(place)

    def _apply_step(self, step: Step) -> None:
        entry, what = step.entry, step.entry.what
        self._truth(
            "fault begins" if step.begins else "fault ends",
            number=step.number,
            what=pb.Breaks.Name(what),
            who=list(step.members),
        )
        self.links.apply_step(step)
        places = [self.places[name] for name in step.members]
        if what == pb.PAUSE:
            for place in places:
                self._pause(place, step.begins)
        elif what in (pb.KILL, pb.LEAVE):
            for place in places:
                self._kill_or_leave(place, entry, step.begins)
        elif what == pb.LATE:
            for place in places:
                place.loop_delay_ms = entry.ms if step.begins else 0.0
        elif what in (pb.DISK_FULL, pb.SYNC_FAILS):
            for place in places:
                place.disk_faulty = step.begins
        elif what == pb.TWIN:
            self._twin(places[0], step.begins)
        elif what == pb.SQUAT:
            self._squat(places, step.begins)
        elif what == pb.FORGE and step.begins:
            self._forge(entry, self.sim.now + (entry.for_ms or self.schedule.length_ms))

    def _kill_or_leave(self, place: Place, entry: pb.Break, on: bool) -> None:
        if not on:
            if entry.disk == pb.WIPED:
                place.disk = Disk(self.rng.getrandbits(60))
            elif entry.disk == pb.OLD and place.disk_at_begin is not None:
                place.disk = Disk(place.disk_at_begin.identity, place.disk_at_begin.starts)
            if place.core is None:
                self.start(place)
        elif entry.what == pb.KILL:
            self.stop(place)
        elif place.core is not None and not place.paused:
            self._truth("leaving", place)
            place.core.leave(self.sim.now + place.clock_offset_ms)
            self._execute_actions(place)

    def _twin(self, place: Place, on: bool) -> None:
        name = f"{place.name}-twin"
        if on:
            self.start(self._add_place(name, place.member, (f"10.9.0.{len(self.places) & 255}", PORT)))
        else:
            self.stop(self.places[name])

    def _squat(self, places: list[Place], on: bool) -> None:
        name = f"{places[0].name}-squatter"
        if on:
            for place in places:
                self.stop(place)
            self.start(self._add_place(name, Member(name, places[0].member.zone), places[0].address))
        else:
            self.stop(self.places[name])
            for place in places:
                self.start(place)

    def _forge(self, entry: pb.Break, until: float) -> None:
        """Deliver forged datagrams to randomly chosen places until a moment."""
        if self.sim.now >= until:
            return
        self.sim.after(1000 / entry.per_s, self._forge, entry, until)
        target = self.rng.choice(list(self.places.values()))
        self._arrive(target.address, self._forger.forge(self._recent_datagrams))

    # The run.

    def run(self) -> list[Record]:
        """Run the whole schedule; return the records of what happened and of what the members reported."""
        schedule, sim = self.schedule, self.sim
        for place in self.places.values():
            place.disk_at_begin = Disk(place.disk.identity, 1)
            sim.at(START_MS + self.rng.uniform(0, 200.0), self.start, place)
        until = START_MS + JOIN_TIMEOUT_MS
        while sim.now < until and not self._all_joined():
            sim.run(sim.now + 100.0)
        self.started_ms = sim.now
        self._record_views()
        self._truth("begins")
        for place in self.places.values():
            place.disk_at_begin = Disk(place.disk.identity, place.disk.starts)
        for step in steps_of(schedule, self.seed):
            sim.at(sim.now + step.at_ms, self._apply_step, step)
        self._sample_agreement(sim.now + schedule.length_ms + schedule.settle_ms)
        sim.run(sim.now + schedule.length_ms)
        self._truth("faults over")
        sim.run(sim.now + schedule.settle_ms)
        self._record_views()
        self._truth("ends")
        return self.records

    def _all_joined(self) -> bool:
        number = len(self.members)
        return all(
            place.core is not None and place.core.stage is Stage.JOINED and place.core.table.present_count == number
            for place in self.places.values()
        )

    def _sample_agreement(self, until: float) -> None:
        """Record each change of whether all views agree with the running members."""
        agree = self._views_agree()
        if agree != self._last_agreement:
            self._last_agreement = agree
            self._truth("views agree" if agree else "views differ")
        if self.sim.now + SAMPLE_MS <= until:
            self.sim.after(SAMPLE_MS, self._sample_agreement, until)

    def _views_agree(self) -> bool:
        """Whether every running member that is not refused has exactly those members as present in its table."""
        members = [
            place.core for place in self.places.values() if place.core is not None and place.core.stage is Stage.JOINED
        ]
        running = frozenset((core.record.name, core.record.boot_id) for core in members)
        for core in members:
            version, present = self._present_cache.get(core.record.boot_id, (-1, frozenset()))
            if version != core.table.version:
                present = frozenset((record.name, record.boot_id) for record in core.table if record.present)
                self._present_cache[core.record.boot_id] = core.table.version, present
            if hash(present) != hash(running):  # a frozenset caches its hash
                return False
        return True

    def _record_views(self) -> None:
        for place in self.places.values():
            core = place.core
            if core is not None:
                held = [
                    ViewEntry(record.name, record.state.name.lower(), record.boot_id, record.self_report)
                    for record in core.table
                ]
                self.records.append(
                    View(
                        self.sim.now,
                        place.name,
                        core.stage.value,
                        sorted(held, key=lambda one: one.name),
                        dict(core.counters),
                    )
                )
