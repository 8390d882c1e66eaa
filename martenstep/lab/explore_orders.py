"""Every order of events of a small world with an order book: three machines, two requests, one crash, one cut.

The book is one here, as whatever its group agrees on has one order.  From each state every event is tried that can
happen next: a machine looks into the book; what it asked arrives, or its answer; it has drained; its work is done and a
new process began; its process ends; what is on its way is lost; the leader sees who is healthy; time passes; a person
gives a machine up, or says that it is done.

Time passes in one way: by a whole lease.  Then the lease of every start that stands is over in the book, and so is
every one that a machine had asked for before: its clock counts from earlier, and does not run slower than the book's by
more than both allow for.  What passes only partly is the same as not at all: nothing in between is decided by time.

What must hold in every state: those that really left by grant and have not come back, and those that may go, are no
more than the limits allow, nor two that hold copies of one group; who leaves has a request that stands.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import msgspec
import xxhash

from martenstep.maintenance.commands import (
    AbandonRequest,
    Command,
    CommandResult,
    FinishMaintenance,
    SetLimits,
    StartMaintenance,
    SubmitRequest,
    Tick,
    encode_entry,
)
from martenstep.maintenance.lease_holder import Drain, LeaseHolder, Phase, ReadyForWork, SendFinish, SendStart
from martenstep.maintenance.model import Machine, MaintenanceLimits, Observation, ReplicaGroup, RequestState
from martenstep.maintenance.queue import MaintenanceQueue

LEASE = 100.0
NAMES = ("m0", "m1", "m2")
On = tuple[
    str, int, Command | CommandResult, float, int
]  # machine, which of its processes, what is on its way, asked at, kind


class BreachError(Exception):
    """A rule does not hold: which, and the events that led there."""


@dataclass(frozen=True, slots=True)
class Budget:
    """What may still happen."""

    laps: int = 2  # times that a whole lease passes
    crashes: int = 1
    losses: int = 1  # messages
    people: int = 1  # times that a person gives one up, or says that it is done
    most_out: int = 1


@dataclass(slots=True)
class World:
    """One state."""

    book: bytes
    agents: dict[str, tuple[str, str, int]]  # step, request, token
    lives: dict[str, int]  # of a machine's processes; none runs where it is 0 or less
    gone: dict[str, str]  # machines that left, and by which request
    ill: frozenset[str]  # as the leader would see it
    on: tuple[On, ...]
    lap: int
    budget: Budget

    def key(self) -> int:
        """The same for states from which the same can follow."""
        told = (
            self.book,
            sorted(self.agents.items()),
            sorted(self.lives.items()),
            sorted(self.gone.items()),
            sorted(self.ill),
            self.on,
            self.lap,
            (self.budget.laps, self.budget.crashes, self.budget.losses, self.budget.people),
        )
        return xxhash.xxh3_128_intdigest(msgspec.msgpack.encode(told))


class Explorer:
    """Of one small world."""

    def __init__(
        self,
        budget: Budget,
        book: Callable[[], MaintenanceQueue] = MaintenanceQueue,
        agent: Callable[[str, float], LeaseHolder] = LeaseHolder,
    ) -> None:
        self._budget, self._book, self._agent = budget, book, agent
        self.states = self.events = self.left = 0

    def begin(self) -> World:
        """Two have been asked for; the third holds a copy beside one of them."""
        book = self._book()
        limits = MaintenanceLimits(
            self._budget.most_out, 3, 1.0, lease_ms=LEASE, grace_ms=1e9, starvation_ms=1e9, overdue_blocks=False
        )
        for what in (
            SetLimits(limits),
            self._sight(frozenset()),
            SubmitRequest("r0", "m0", 5.0),
            SubmitRequest("r1", "m1", 5.0),
        ):
            book.apply(encode_entry(0.0, what))
        return World(
            book.snapshot(),
            dict.fromkeys(NAMES, ("here", "", 0)),
            dict.fromkeys(NAMES, 1),
            {},
            frozenset(),
            (),
            0,
            self._budget,
        )

    @staticmethod
    def _sight(ill: frozenset[str]) -> Observation:
        return Observation(
            tuple(Machine(name, "a", 1.0, name not in ill) for name in NAMES), (ReplicaGroup("g", ("m0", "m1")),)
        )

    # The parts.

    def _held(self, world: World) -> MaintenanceQueue:
        book = self._book()
        book.restore(world.book)
        return book

    @staticmethod
    def _now(world: World) -> float:
        return world.lap * (LEASE + 1.0)

    def _put(self, world: World, what: Command) -> tuple[World, CommandResult]:
        book = self._held(world)
        answer = book.apply(encode_entry(self._now(world), what))
        after = replace(world, book=book.snapshot())
        self._judge(after, book)
        return after, answer

    def _run(self, world: World, name: str, event: Callable[[LeaseHolder], None]) -> World:
        """One event at a machine, and what it wants then."""
        agent = self._agent(name, LEASE)
        step, agent.request_id, agent.token = world.agents[name]
        agent.phase = Phase(step)
        agent._retry_ms = 1e18
        event(agent)
        after = replace(world, agents={**world.agents, name: (agent.phase.value, agent.request_id, agent.token)})
        for action in agent.actions:
            if isinstance(action, SendStart | SendFinish):
                what: Command = action.command
                told: On = (name, world.lives[name], what, self._now(world), 0)
                if told not in after.on:
                    after = replace(after, on=tuple(sorted((*after.on, told), key=repr)))
            elif isinstance(action, Drain):
                self.left += 1
                held = self._held(after).requests.get(action.request_id)
                if held is None or held.state not in (RequestState.OUT, RequestState.RECOVERING):
                    raise BreachError(
                        f"{name} leaves by {action.request_id}, which is "
                        f"{held.state.value if held is not None else 'unknown'}"
                    )
                # From now on it says of itself that it does not serve.
                after = replace(after, gone={**after.gone, name: action.request_id}, ill=after.ill | {name})
                self._judge(after, self._held(after))
            else:
                assert isinstance(action, ReadyForWork)
        return after

    def _judge(self, world: World, book: MaintenanceQueue) -> None:
        may = {
            held.machine
            for held in book.requests.values()
            if held.state in (RequestState.GRANTED, RequestState.OUT, RequestState.RECOVERING)
        }
        away = may | set(world.gone)
        if len(away) > self._budget.most_out:
            raise BreachError(f"{', '.join(sorted(away))} are away or may go, and {self._budget.most_out} may")
        if {"m0", "m1"} <= away:
            raise BreachError("both that hold copies of g are away or may go")

    # What can happen.

    def next(self, world: World) -> Iterator[tuple[str, World]]:
        """Every event, with the state after it."""
        budget, now = world.budget, self._now(world)
        for name in NAMES[:2]:
            step = world.agents[name][0]
            if world.lives[name] > 0:

                def look(agent: LeaseHolder) -> None:
                    agent.observe(now, list(self._held(world).requests.values()))

                yield f"{name} looks into the book", self._run(world, name, look)
                if step == "asking":
                    yield f"{name} asks again", self._run(world, name, lambda agent: agent._send_start(now))
                if step == "going":
                    yield f"{name} has drained", self._run(world, name, lambda agent: agent.drained())
                if budget.crashes:
                    after = replace(
                        world,
                        budget=replace(budget, crashes=budget.crashes - 1),
                        ill=world.ill | {name},
                        lives={**world.lives, name: -world.lives[name]},
                    )
                    yield f"{name} ends", after
            if step == "gone" or world.lives[name] <= 0:
                gone = {one: request for one, request in world.gone.items() if one != name}
                after = replace(
                    world,
                    lives={**world.lives, name: abs(world.lives[name]) + 1},
                    gone=gone,
                    ill=world.ill - {name},
                    agents={**world.agents, name: ("here", "", 0)},
                )
                yield f"{name} is back with a new process", after
        for number, told in enumerate(world.on):
            rest = replace(world, on=world.on[:number] + world.on[number + 1 :])
            yield from self._arrives(rest, told)
            if budget.losses:
                yield (
                    f"what {told[0]} sent or was sent is lost",
                    replace(rest, budget=replace(budget, losses=budget.losses - 1)),
                )
        yield "the leader sees", self._put(world, self._sight(world.ill))[0]
        if budget.laps:
            after = replace(world, lap=world.lap + 1, budget=replace(budget, laps=budget.laps - 1))
            yield "a lease passes", self._put(after, Tick())[0]
        if budget.people:
            spent = replace(world, budget=replace(budget, people=budget.people - 1))
            for held in self._held(world).requests.values():
                if held.state in (RequestState.OUT, RequestState.RECOVERING):
                    yield f"{held.request_id} is given up", self._put(spent, AbandonRequest(held.request_id))[0]
                    yield (
                        f"a person says that {held.request_id} is done",
                        self._put(spent, FinishMaintenance(held.request_id, held.token))[0],
                    )

    def _arrives(self, world: World, told: On) -> Iterator[tuple[str, World]]:
        name, life, what, asked, _ = told
        if isinstance(what, CommandResult):
            if world.lives[name] == life and what.request is not None:
                start = StartMaintenance(what.request.request_id, what.request.token)
                now = self._now(world)
                yield (
                    f"{name} gets its answer",
                    self._run(world, name, lambda agent: agent.start_answered(now, start, asked, what)),
                )
            else:
                yield f"{name} is not there for its answer", world
            return
        after, answer = self._put(world, what)
        if isinstance(what, StartMaintenance):
            # Only what the machine reads of it: its request and token, and whether it may go.
            request = answer.request or None
            if request is not None:
                request = msgspec.structs.replace(
                    request, state_since_ms=0.0, lease_expires_ms=0.0, due_ms=0.0, token=what.token
                )
            reply: On = (name, life, CommandResult(answer.ok, "", request), asked, 1)
            if reply not in after.on:
                after = replace(after, on=tuple(sorted((*after.on, reply), key=repr)))
        yield f"the book gets {type(what).__name__} of {name}", after

    # The search.

    def run(self, most: int = 1 << 62) -> bool:
        """Visit every state, those that few events lead to first; False where `most` were not enough.  Raises
        BreachError with the shortest story."""
        begin = self.begin()
        key = begin.key()
        led: dict[int, tuple[int, str]] = {key: (0, "")}  # by state: the one before it, and the event
        line = deque([(key, begin)])
        while line:
            before, world = line.popleft()
            steps = self.next(world)
            while True:
                try:
                    step = next(steps, None)
                except BreachError as error:
                    raise BreachError(f"{error}, after: {'; '.join(self._story(led, before))}") from None
                if step is None:
                    break
                self.events += 1
                name, after = step
                key = after.key()
                if key in led:
                    continue
                if len(led) >= most:
                    return False
                led[key] = before, name
                self.states = len(led)
                line.append((key, after))
        return True

    @staticmethod
    def _story(led: dict[int, tuple[int, str]], key: int) -> list[str]:
        told: list[str] = []
        while led[key][1]:
            key, name = led[key]
            told.append(name)
        return told[::-1]
