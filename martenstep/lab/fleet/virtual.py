"""Plays a schedule in virtual time on the doors' own membership cores, from 2 to 400 members.

Bytes pass as they do on sockets, seals and all.  A member that stands still gets nothing and does nothing; what comes
meanwhile waits in its socket up to a bound, and once it goes on either its timers or its socket come first, by chance.
Streams between members are asked and answered in whole frames.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from martenstep.lab.emulate.core import START_MS, Sim, Timer
from martenstep.lab.fleet import fleet_pb2 as pb
from martenstep.lab.fleet.baseline import Heartbeats
from martenstep.lab.fleet.records import Belief, Held, Record, Truth, View
from martenstep.lab.fleet.relay import Forger
from martenstep.lab.fleet.schedule import Member, Step, members_of, steps_of
from martenstep.lab.fleet.wires import Wires
from martenstep.membership.actions import EventKind, MemberEvent, OpenExchange, SendDatagram
from martenstep.membership.core import MembershipCore
from martenstep.membership.errors import ProtocolError
from martenstep.membership.keyring import Keyring
from martenstep.membership.member import Address, MemberRecord, MemberState
from martenstep.membership.settings import MembershipSettings, Stage

Core = MembershipCore | Heartbeats
KEY = b"a key for the emulated fleet only"
PORT = 7946
LATENCY_MS, JITTER_MS = 0.3, 0.3  # one way, within a room or between rooms
LOOP_MS = 0.2  # until a loop that has nothing else to do gets to a datagram
SOCKET_DATAGRAMS = 150  # wait in a socket: Linux's default of 212,992 bytes, with what it counts for each
STREAM_MS = 2000.0  # an exchange that is not done by then is given up
SAMPLE_MS = 250.0  # between two looks at whether all views agree
START_TRIES_MS = 60_000.0  # all must have joined within this
MOST_OLD = 200  # datagrams kept to be played again as forged ones


@dataclass(slots=True)
class Disk:
    """What a member keeps: who it is, and how often it was started."""

    identity: int
    starts: int = 0
    addresses: tuple[Address, ...] = ()


@dataclass(slots=True)
class Place:
    """One process, and the machine it runs on."""

    name: str  # of the place: the member's, or another for a twin
    member: Member
    address: Address
    disk: Disk
    old: Disk | None = None
    core: Core | None = None
    paused: bool = False
    offset: float = 0.0  # of its clock: monotonic clocks of two machines have nothing in common
    inbox: list[bytes] = field(default_factory=list)
    timer: Timer | None = None
    late_ms: float = 0.0
    disk_broken: bool = False
    starts: int = 0


class World:
    """A fleet in virtual time."""

    def __init__(self, schedule: pb.Schedule, seed: int, make: Callable[..., Core] | None = None) -> None:
        self.schedule, self.seed = schedule, seed
        self._make: Callable[..., Core] = make or (Heartbeats if schedule.heartbeats else MembershipCore)
        self.sim = Sim()
        self.rng = random.Random(f"{schedule.name} {seed}")
        self.members = members_of(schedule)
        self.wires = Wires(self.members, random.Random(f"wires {seed}"))
        self.records: list[Record] = []
        self.started_ms = 0.0
        self._keys = Keyring([KEY])
        self.places: dict[str, Place] = {}
        self._at: dict[Address, Place] = {}
        self._old: list[bytes] = []
        self._forger = Forger(self.rng)
        self._present: dict[int, tuple[int, frozenset[tuple[str, int]]]] = {}  # of a life and a version of its view
        self._agreed: bool | None = None
        for number, member in enumerate(self.members):
            self._place(member.name, member, (f"10.0.{number >> 8}.{(number & 255) + 1}", PORT))

    def _place(self, name: str, member: Member, address: Address) -> Place:
        place = Place(name, member, address, Disk(self.rng.getrandbits(60)), offset=self.rng.uniform(0, 1e7))
        self.places[name] = place
        return place

    # Processes.

    def settings(self) -> MembershipSettings:
        """Of every member."""
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
        """Its process begins."""
        place.starts += 1
        starts = place.disk.starts + 1
        if not place.disk_broken:  # else this start is not kept, and the next begins as low
            place.disk.starts = starts
        me = MemberRecord(
            place.member.name,
            0,
            place.disk.identity,
            starts,
            MemberState.ALIVE,
            self.rng.getrandbits(62),
            *place.address,
            place.member.zone,
        )
        place.core = self._make(
            self.settings(), me, self._keys, random.Random(self.rng.getrandbits(62)), self.sim.now + place.offset
        )
        place.paused = False
        place.inbox.clear()
        self._at[place.address] = place
        self._truth("started", place, life=me.boot_id)
        self._after(place)

    def end(self, place: Place, kind: str = "killed") -> None:
        """Its process ends at once."""
        if place.core is None:
            return
        self._truth(kind, place)
        place.core = None
        if place.timer is not None:
            place.timer.cancel()
        place.inbox.clear()
        if self._at.get(place.address) is place:
            del self._at[place.address]

    def _truth(self, kind: str, place: Place | None = None, **fields: Any) -> None:
        who = place.member.name if place is not None else ""
        self.records.append(Truth(self.sim.now, kind, who, place.name if place is not None else "", fields))

    def _after(self, place: Place) -> None:
        """Carry out what a core asked for, and wake it when it is due."""
        core = place.core
        if core is None:
            return
        for action in core.take_actions():
            if isinstance(action, SendDatagram):
                self._send(place, action.to, action.data)
            elif isinstance(action, OpenExchange):
                self._dial(place, core, action)
            elif isinstance(action, MemberEvent):
                self.records.append(
                    Belief(self.sim.now, place.name, action.kind.value, action.member, dict(action.recorded_fields))
                )
                if action.kind is EventKind.LEFT_CLUSTER:
                    self.end(place, "left")
                    return
        if place.timer is not None:
            place.timer.cancel()
        late = self.rng.uniform(0, place.late_ms) if place.late_ms else 0.0
        # A millionth of a millisecond late: sums with an offset are not exact, and too early would wake for ever.
        place.timer = self.sim.at(core.next_due_ms - place.offset + late + 1e-6, self._wake, place, core)

    def _wake(self, place: Place, core: Core) -> None:
        if place.core is core and not place.paused:
            core.wake(self.sim.now + place.offset)
            self._after(place)

    # Wires.

    def _send(self, place: Place, to: Address, data: bytes) -> None:
        target = self._at.get(to)
        if target is None:
            return
        if len(self._old) < MOST_OLD or self.rng.random() < 0.01:
            self._old.append(data)
            del self._old[:-MOST_OLD]
        now = self.sim.now
        for arrival in self.wires.pass_on(now, place.member.name, target.member.name, data):
            way = LATENCY_MS + self.rng.uniform(0, JITTER_MS) + arrival.after_ms
            self.sim.after(way, self._arrive, to, arrival.data)

    def _arrive(self, to: Address, data: bytes) -> None:
        place = self._at.get(to)
        if place is None or place.core is None:
            return
        if place.paused:
            if len(place.inbox) < SOCKET_DATAGRAMS:
                place.inbox.append(data)
        elif place.late_ms:
            self.sim.after(self.rng.uniform(0, place.late_ms), self._deliver, place, place.core, data)
        else:
            self._deliver(place, place.core, data)

    def _deliver(self, place: Place, core: Core, data: bytes) -> None:
        if place.core is not core:
            return
        if place.paused:
            place.inbox.append(data)
            return
        core.receive(self.sim.now + place.offset, data)
        self._after(place)

    def _dial(self, place: Place, core: Core, dial: OpenExchange) -> None:
        """An exchange over a stream."""
        give_up = self.sim.after(STREAM_MS, self._answered, place, core, dial, None, None)
        body = core.open_exchange()
        self._carry(place, core, dial, body, give_up)

    def _carry(self, place: Place, core: Core, dial: OpenExchange, body: bytes, give_up: Timer) -> None:
        target = self._at.get(dial.to)
        if target is None:
            self.sim.after(LATENCY_MS * 2, self._answered, place, core, dial, None, give_up)  # refused
            return
        source, sink = place.member.name, target.member.name
        if self.wires.is_stalled(source, sink) or self.wires.is_stalled(sink, source):
            return  # given up in time
        way = LATENCY_MS * 3 + self.wires.stream_ms(source, sink, len(body))
        self.sim.after(way, self._serve, place, core, dial, target, body, give_up)

    def _serve(self, place: Place, core: Core, dial: OpenExchange, target: Place, body: bytes, give_up: Timer) -> None:
        if target.core is None or target.paused:
            return  # the kernel takes the connection, and nobody answers
        try:
            answer: bytes | None = target.core.serve_exchange(self.sim.now + target.offset, body)
        except ProtocolError:
            answer = None
        self._after(target)
        source, sink = target.member.name, place.member.name
        if self.wires.is_stalled(source, sink):
            return
        way = LATENCY_MS + (self.wires.stream_ms(source, sink, len(answer)) if answer is not None else 0.0)
        self.sim.after(way, self._answered, place, core, dial, answer, give_up)

    def _answered(
        self, place: Place, core: Core, dial: OpenExchange, body: bytes | None, give_up: Timer | None
    ) -> None:
        if place.core is not core:
            return
        if place.paused:
            if give_up is not None:
                give_up.cancel()
            self.sim.after(50.0, self._answered, place, core, dial, body, None)
            return
        further = core.continue_exchange(self.sim.now + place.offset, dial.token, body)
        self._after(place)
        if give_up is not None:
            give_up.cancel()
        if further is not None:
            again = self.sim.after(STREAM_MS, self._answered, place, core, dial, None, None)
            self._carry(place, core, dial, further, again)

    # SettingsError.

    def _pause(self, place: Place, on: bool) -> None:
        if place.core is None or place.paused == on:
            return
        place.paused = on
        self._truth("paused" if on else "resumed", place)
        if on:
            return
        waiting, place.inbox = place.inbox, []
        core, now = place.core, self.sim.now + place.offset
        if self.rng.random() < 0.5:
            core.wake(now)
        for data in waiting:
            core.receive(now, data)
        self._after(place)

    def _step(self, step: Step) -> None:
        entry, what = step.entry, step.entry.what
        self._truth(
            "fault begins" if step.on else "fault ends",
            number=step.number,
            what=pb.Breaks.Name(what),
            who=list(step.who),
        )
        self.wires.step(step)
        places = [self.places[name] for name in step.who]
        if what == pb.PAUSE:
            for place in places:
                self._pause(place, step.on)
        elif what in (pb.KILL, pb.LEAVE):
            for place in places:
                self._kill_or_leave(place, entry, step.on)
        elif what == pb.LATE:
            for place in places:
                place.late_ms = entry.ms if step.on else 0.0
        elif what in (pb.DISK_FULL, pb.SYNC_FAILS):
            for place in places:
                place.disk_broken = step.on
        elif what == pb.TWIN:
            self._twin(places[0], step.on)
        elif what == pb.SQUAT:
            self._squat(places, step.on)
        elif what == pb.FORGE and step.on:
            self._forge(entry, self.sim.now + (entry.for_ms or self.schedule.length_ms))

    def _kill_or_leave(self, place: Place, entry: pb.Break, on: bool) -> None:
        if not on:
            if entry.disk == pb.WIPED:
                place.disk = Disk(self.rng.getrandbits(60))
            elif entry.disk == pb.OLD and place.old is not None:
                place.disk = Disk(place.old.identity, place.old.starts)
            if place.core is None:
                self.start(place)
        elif entry.what == pb.KILL:
            self.end(place)
        elif place.core is not None and not place.paused:
            self._truth("leaving", place)
            place.core.leave(self.sim.now + place.offset)
            self._after(place)

    def _twin(self, place: Place, on: bool) -> None:
        name = f"{place.name}-twin"
        if on:
            self.start(self._place(name, place.member, (f"10.9.0.{len(self.places) & 255}", PORT)))
        else:
            self.end(self.places[name])

    def _squat(self, places: list[Place], on: bool) -> None:
        name = f"{places[0].name}-squatter"
        if on:
            for place in places:
                self.end(place)
            self.start(self._place(name, Member(name, places[0].member.zone), places[0].address))
        else:
            self.end(self.places[name])
            for place in places:
                self.start(place)

    def _forge(self, entry: pb.Break, until: float) -> None:
        """Noise, old datagrams cut short or made longer, and old ones to others."""
        if self.sim.now >= until:
            return
        self.sim.after(1000 / entry.per_s, self._forge, entry, until)
        target = self.rng.choice(list(self.places.values()))
        self._arrive(target.address, self._forger.made(self._old))

    # The play.

    def play(self) -> list[Record]:
        """All of it; gives what was done and believed."""
        schedule, sim = self.schedule, self.sim
        for place in self.places.values():
            place.old = Disk(place.disk.identity, 1)
            sim.at(START_MS + self.rng.uniform(0, 200.0), self.start, place)
        until = START_MS + START_TRIES_MS
        while sim.now < until and not self._all_in():
            sim.run(sim.now + 100.0)
        self.started_ms = sim.now
        self._views()
        self._truth("begins")
        for place in self.places.values():
            place.old = Disk(place.disk.identity, place.disk.starts)
        for step in steps_of(schedule, self.seed):
            sim.at(sim.now + step.at_ms, self._step, step)
        self._sample(sim.now + schedule.length_ms + schedule.settle_ms)
        sim.run(sim.now + schedule.length_ms)
        self._truth("faults over")
        sim.run(sim.now + schedule.settle_ms)
        self._views()
        self._truth("ends")
        return self.records

    def _all_in(self) -> bool:
        number = len(self.members)
        return all(
            place.core is not None and place.core.stage is Stage.JOINED and place.core.table.present_count == number
            for place in self.places.values()
        )

    def _sample(self, until: float) -> None:
        """Whether all views agree with what is: told when that changes."""
        agree = self._agree()
        if agree != self._agreed:
            self._agreed = agree
            self._truth("views agree" if agree else "views differ")
        if self.sim.now + SAMPLE_MS <= until:
            self.sim.after(SAMPLE_MS, self._sample, until)

    def _agree(self) -> bool:
        """All running members that are not refused hold each other alive, and nobody else."""
        members = [
            place.core for place in self.places.values() if place.core is not None and place.core.stage is Stage.JOINED
        ]
        running = frozenset((core.record.name, core.record.boot_id) for core in members)
        for core in members:
            version, present = self._present.get(core.record.boot_id, (-1, frozenset()))
            if version != core.table.version:
                present = frozenset((fact.name, fact.boot_id) for fact in core.table if fact.present)
                self._present[core.record.boot_id] = core.table.version, present
            if hash(present) != hash(running):  # of a frozen set it is reckoned once
                return False
        return True

    def _views(self) -> None:
        for place in self.places.values():
            core = place.core
            if core is not None:
                held = [Held(fact.name, fact.state.name.lower(), fact.boot_id, fact.self_report) for fact in core.table]
                self.records.append(
                    View(
                        self.sim.now,
                        place.name,
                        core.stage.value,
                        sorted(held, key=lambda one: one.name),
                        dict(core.counters),
                    )
                )
