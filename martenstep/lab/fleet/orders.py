"""Machines that go for work by an order book, in virtual time: what can happen to messages, clocks and processes.

The book is one here: that its group agrees is shown elsewhere (`groups`).  What is asked of it and what it answers is
lost, late and doubled; machines stand still with answers in their buffers, end, never come back; leaders change, and
the book's time stands meanwhile; limits change; people cancel and give up.

The judge sees true time.  It holds: the machines that were granted and are really away, or may go at any moment, are
never more than the limits allowed when each was granted, nor two of one group; nobody begins to leave by a start that
was given up; each request has one end, and once faults are over every one that can be is granted.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from martenstep.lab.emulate.core import Sim
from martenstep.maintenance.commands import (
    AbandonRequest,
    CancelRequest,
    Command,
    CommandResult,
    ExtendMaintenance,
    FinishMaintenance,
    SetLimits,
    StartMaintenance,
    SubmitRequest,
    Tick,
    encode_entry,
)
from martenstep.maintenance.lease_holder import Drain, LeaseHolder, Phase, ReadyForWork, SendFinish, SendStart
from martenstep.maintenance.model import (
    Machine,
    MaintenanceLimits,
    MaintenanceRequest,
    Observation,
    ReplicaGroup,
    RequestState,
)
from martenstep.maintenance.queue import MaintenanceQueue
from martenstep.maintenance.queue_clock import MAX_CLOCK_DRIFT, QueueClock

TELL_MS = 500.0  # between two looks of an agent into the book
SIGHT_MS = 1000.0
ZONES = "abc"


class BrokenError(Exception):
    """A rule of the judge is broken."""


@dataclass(slots=True)
class Place:
    """One machine."""

    name: str
    zone: str
    agent: LeaseHolder
    rate: float
    offset: float
    up: bool = True  # its process runs
    paused: bool = False
    healthy: bool = True
    inbox: list[Callable[[], None]] = field(default_factory=list)
    gone_by: str = ""  # the request by which it left
    never_back: bool = False

    def clock(self, now: float) -> float:
        """Its own."""
        return self.offset + now * self.rate


class Play:
    """One seed."""

    def __init__(
        self,
        seed: int,
        machines: int = 6,
        length_ms: float = 300_000.0,
        book: Callable[[], MaintenanceQueue] = MaintenanceQueue,
        agent: Callable[[str, float], LeaseHolder] = LeaseHolder,
    ) -> None:
        self.sim, self.rng = Sim(), random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.book, self._agent, self._length = book(), agent, length_ms
        self.limits = MaintenanceLimits(
            self.rng.choice((1, 2, 3)),
            self.rng.choice((1, 2)),
            self.rng.choice((0.34, 0.5)),
            self.rng.random() < 0.3,
            self.rng.random() < 0.5,
            8000.0,
            4000.0,
            120_000.0,
        )
        self.places = {}
        for number in range(machines):
            name = f"m{number}"
            self.places[name] = Place(
                name,
                ZONES[number % 3],
                agent(name, self.limits.lease_ms),
                1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2,
                self.rng.uniform(0, 1e6),
            )
        names = list(self.places)
        self.groups = tuple(ReplicaGroup(f"g{number}", tuple(self.rng.sample(names, 3))) for number in range(2))
        self._clock: QueueClock | None = QueueClock(0.0, 0.0)
        self._faults = True
        self._number = 0
        self._asked: dict[str, str] = {}  # id: machine
        self._ends: dict[str, str] = {}
        self._last_token = 0

    # The book.

    def _apply(self, what: Command) -> CommandResult | None:
        """As whoever leads now; None while nobody does."""
        if self._clock is None:
            return None
        before = {held.request_id: held.state for held in self.book.requests.values()}
        answer = self.book.apply(encode_entry(self._clock.read(self.sim.now), what))
        for held in sorted(self.book.requests.values(), key=lambda one: one.token):
            if held.state is RequestState.GRANTED and before.get(held.request_id) is not RequestState.GRANTED:
                self._granted(held.request_id, held.machine, held.token)
            if (
                held.state is RequestState.ENDED
                and self._ends.setdefault(held.request_id, held.outcome) != held.outcome
            ):
                raise BrokenError(f"{held.request_id} ended as {self._ends[held.request_id]}, and as {held.outcome}")
            if before.get(held.request_id) is RequestState.ENDED and held.state is not RequestState.ENDED:
                raise BrokenError(f"{held.request_id} had ended, and is {held.state}")
        return answer

    def _away(self) -> set[str]:
        """Machines that are really away by grant, or may go at any moment."""
        mine = {
            held.machine
            for held in self.book.requests.values()
            if held.state in (RequestState.GRANTED, RequestState.OUT, RequestState.RECOVERING)
        }
        return mine | {place.name for place in self.places.values() if place.gone_by}

    def _granted(self, request: str, machine: str, token: int) -> None:
        self.counts["granted"] += 1
        if token <= self._last_token:
            raise BrokenError(f"{request}: token {token} after {self._last_token}")
        self._last_token = token
        limits, away = self.book.limits, self._away()
        seen = {one.name: one for one in self.book.observation.machines}
        by_itself = {name for name, one in seen.items() if not one.healthy}
        if len(away | by_itself | {machine}) > limits.max_out:
            raise BrokenError(f"{request}: {sorted(away | by_itself)} are away, and {limits.max_out} may be")
        zone = {name for name in away | by_itself | {machine} if self.places[name].zone == self.places[machine].zone}
        if len(zone) > limits.max_out_per_zone:
            raise BrokenError(f"{request}: {sorted(zone)} of one zone are away, {limits.max_out_per_zone} may be")
        if len(away | by_itself | {machine}) > limits.max_capacity_share * len(self.places):
            raise BrokenError(f"{request}: {sorted(away | by_itself)} are away: beyond {limits.max_capacity_share:.0%}")
        for group in self.groups:
            if machine in group.machines and (away | by_itself) - {machine} & set(group.machines):
                raise BrokenError(f"{request}: {group.name} has {sorted(away & set(group.machines))} away")

    # What passes between.

    def _sends(self, call: Callable[[], None]) -> None:
        """Something on its way: late, doubled, or lost."""
        if self._faults and self.rng.random() < 0.1:
            return
        for _ in range(2 if self._faults and self.rng.random() < 0.05 else 1):
            late = self.rng.uniform(1000, 15_000) if self._faults and self.rng.random() < 0.05 else 0.0
            self.sim.after(self.rng.uniform(1, 20) + late, call)

    def _to(self, place: Place, agent: LeaseHolder, call: Callable[[], None]) -> None:
        """To a machine's process as it was: another one does not know of it."""

        def arrive() -> None:
            if not place.up or place.agent is not agent:
                return
            if place.paused:
                place.inbox.append(call)
            else:
                call()

        self._sends(arrive)

    def _look(self, place: Place) -> None:
        self.sim.after(TELL_MS * self.rng.uniform(0.8, 1.2), self._look, place)
        agent = place.agent
        if not place.up or place.paused:
            return

        def ask() -> None:
            if self._clock is not None:
                held = [msgspec.structs.replace(one) for one in self.book.requests.values()]
                self._to(place, agent, lambda: self._seen(place, agent, held))

        self._sends(ask)
        agent.send_due_command(place.clock(self.sim.now))
        self._after(place)

    def _seen(self, place: Place, agent: LeaseHolder, held: list[MaintenanceRequest]) -> None:
        agent.observe(place.clock(self.sim.now), held)
        self._after(place)

    def _after(self, place: Place) -> None:
        agent = place.agent
        actions, agent.actions = agent.actions, []
        for action in actions:
            if isinstance(action, SendStart):
                self._start(place, agent, action.command, place.clock(self.sim.now))
            elif isinstance(action, SendFinish):
                self._sends(partial(self._told, action.command))
            elif isinstance(action, Drain):
                self._leave(place, agent, action.request_id)
            elif isinstance(action, ReadyForWork):
                self.counts["touched"] += 1
                self.sim.after(self.rng.uniform(1000, 20_000), self._back, place)

    def _told(self, done: FinishMaintenance) -> None:
        self._apply(done)

    def _start(self, place: Place, agent: LeaseHolder, start: StartMaintenance, asked: float) -> None:
        def arrive() -> None:
            answer = self._apply(start)
            if answer is not None:
                self._to(place, agent, lambda: self._started(place, agent, start, asked, answer))

        self._sends(arrive)
        if self._faults and not place.paused and self.rng.random() < 0.2:
            self._pause(place)  # the answer comes into its buffer

    def _started(
        self, place: Place, agent: LeaseHolder, start: StartMaintenance, asked: float, answer: CommandResult
    ) -> None:
        agent.start_answered(place.clock(self.sim.now), start, asked, answer)
        self._after(place)

    def _leave(self, place: Place, agent: LeaseHolder, request: str) -> None:
        held = self.book.requests.get(request)
        if held is None or held.state is RequestState.ENDED:
            raise BrokenError(f"{place.name} leaves by {request}, which {held.outcome if held else 'is unknown'}")
        if held.state not in (RequestState.OUT, RequestState.RECOVERING) or held.machine != place.name:
            raise BrokenError(f"{place.name} leaves by {request}, which is {held.state}")
        self.counts["left"] += 1
        place.gone_by = request
        place.healthy = False
        self.sim.after(self.rng.uniform(500, 3000), self._drained, place, agent)

    def _drained(self, place: Place, agent: LeaseHolder) -> None:
        if place.agent is agent and place.up:
            agent.drained()
            self._after(place)

    def _back(self, place: Place) -> None:
        """The work is done: a new process, which finds itself out in the book."""
        if place.never_back and self._faults:
            self.sim.after(5000.0, self._back, place)
            return
        place.agent = self._agent(place.name, self.limits.lease_ms)
        place.up, place.paused, place.gone_by = True, False, ""
        place.inbox.clear()
        self.sim.after(self.rng.uniform(500, 4000), self._well, place)

    def _well(self, place: Place) -> None:
        if place.up and not place.gone_by:
            place.healthy = True

    def _sight(self) -> None:
        self.sim.after(SIGHT_MS * self.rng.uniform(0.8, 1.2), self._sight)
        self._apply(
            Observation(
                tuple(
                    Machine(place.name, place.zone, 1.0, place.healthy, place.name == "m0")
                    for place in self.places.values()
                ),
                self.groups,
            )
        )

    # What people and the world do.

    def _people(self) -> None:
        self.sim.after(self.rng.uniform(500, 4000), self._people)
        if not self._faults:
            return
        roll = self.rng.random()
        held = list(self.book.requests.values())
        if roll < 0.6:
            self._number += 1
            name = self.rng.choice(list(self.places))
            what: Command = SubmitRequest(
                f"r{self._number}",
                name,
                self.rng.uniform(2000, 30_000),
                urgent=self.rng.random() < 0.2,
                deadline_unix_ms=self.rng.choice((0.0, 1e12 + self._number)),
            )
            for _ in range(self.rng.choice((1, 1, 3))):  # a tool that asks again and again
                answer = self._apply(what)
                if answer is not None and answer.ok:
                    self._asked[f"r{self._number}"] = name
        elif roll < 0.75:
            for one in held:
                if one.state is RequestState.OUT:
                    self._apply(AbandonRequest(one.request_id))  # again and again: granted once it may be
        elif held:
            one = self.rng.choice([one for one in held if one.state is RequestState.OUT] or held)
            what = self.rng.choice(
                (
                    CancelRequest(one.request_id),
                    AbandonRequest(one.request_id),
                    ExtendMaintenance(one.request_id, one.token, 5000.0),
                    FinishMaintenance(one.request_id, one.token),
                    FinishMaintenance(one.request_id, one.token - 1, by_machine=True),
                    StartMaintenance(one.request_id, one.token + 1),
                )
            )
            self._apply(what)

    def _world(self) -> None:
        self.sim.after(self.rng.uniform(1000, 8000), self._world)
        if not self._faults:
            return
        place = self.rng.choice(list(self.places.values()))
        kind = self.rng.choice(("pause", "pause", "crash", "leader", "limits", "never back"))
        self.counts[kind] += 1
        if kind == "pause" and place.up and not place.paused:
            self._pause(place)
        elif kind == "crash" and place.up and not place.gone_by:
            place.up = place.healthy = False
            self.sim.after(self.rng.uniform(1000, 20_000), self._back, place)
        elif kind == "leader" and self._clock is not None:
            self._clock = None
            self.sim.after(self.rng.uniform(100, 15_000), self._led)
        elif kind == "limits":
            self.limits = MaintenanceLimits(
                self.rng.choice((1, 2, 3)),
                self.rng.choice((1, 2)),
                self.rng.choice((0.34, 0.5)),
                self.limits.zone_by_zone,
                self.limits.overdue_blocks,
                8000.0,
                4000.0,
                120_000.0,
            )
            self._apply(SetLimits(self.limits))
        elif kind == "never back":
            place.never_back = True

    def _pause(self, place: Place) -> None:
        place.paused = True
        self.sim.after(self.rng.choice((500.0, 12_000.0, 40_000.0)), self._resume, place, place.agent)

    def _led(self) -> None:
        self._clock = QueueClock(self.book.now_ms, self.sim.now)

    def _resume(self, place: Place, agent: LeaseHolder) -> None:
        if place.agent is not agent or not place.paused:
            return
        place.paused = False
        waiting, place.inbox = place.inbox, []
        for call in waiting:
            call()

    # The play.

    def play(self) -> Counter[str]:
        """All of it; raises BrokenError where a rule is broken."""
        self._apply(SetLimits(self.limits))
        self._sight()
        for place in self.places.values():
            self._look(place)
        self._people()
        self._world()
        self.sim.run(self.sim.now + self._length)
        self._faults = False
        for place in self.places.values():
            place.never_back = False
            self._resume(place, place.agent)
        if self._clock is None:
            self._led()
        self.limits = MaintenanceLimits(1, 1, 0.5, self.limits.zone_by_zone, False, 8000.0, 4000.0, 120_000.0)
        self._apply(SetLimits(self.limits))
        self.sim.run(self.sim.now + 60_000.0)
        for _ in range(200):
            waiting = [held for held in self.book.requests.values() if held.state is not RequestState.ENDED]
            if not waiting:
                break
            self.sim.run(self.sim.now + 10_000.0)
        else:
            raise BrokenError(
                "not all came to an end: "
                + ", ".join(f"{held.request_id} of {held.machine} is {held.state}" for held in waiting)
            )
        self._apply(Tick())
        ended = {held.request_id for held in self.book.requests.values()}
        lost = set(self._asked) - ended
        if lost:
            raise BrokenError(f"requests without an end: {sorted(lost)}")
        if any(place.agent.phase is not Phase.IN_SERVICE for place in self.places.values()):
            raise BrokenError("a machine is not back")
        return self.counts
