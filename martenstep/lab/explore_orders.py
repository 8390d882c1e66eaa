"""Model checker of the maintenance queue: tries every order of events in a world of three machines and two requests.

The queue is a single object here, as the replica group that holds it agrees on one order of commands.  From each state
every event that can happen next is tried: a machine observes the queue; a command or its result arrives; a machine has
drained; its work is done and a new process has started; its process crashes; a message in transit is lost; the leader
observes which machines are healthy; time passes; an operator abandons a request, or declares it finished.

Time passes only in steps of a whole lease.  After a step the lease of every granted start has expired in the queue, and
so has every lease that a machine had requested before: the machine's clock counts from an earlier moment, and does not
run slower than the queue's clock by more than both allow for.  Shorter steps are not needed, as no decision depends on
a part of a lease.

Invariants in every state: the machines that have left by a grant and have not come back, and those that may leave, are
no more than the limits allow, and no two of them hold replicas of one group; a machine that leaves has a valid request.
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
MessageInTransit = tuple[
    str, int, Command | CommandResult, float, int
]  # machine, number of its process, message, time of the request, 1 for a result and 0 for a command


class InvariantError(Exception):
    """An invariant is violated; the message names it and the events that led there."""


@dataclass(frozen=True, slots=True)
class Budget:
    """How many events of each kind may still happen, and the limit on machines in maintenance."""

    lease_steps: int = 2  # times that a whole lease passes
    crashes: int = 1
    losses: int = 1  # of messages
    operator_commands: int = 1  # that abandon a request or declare it finished
    max_out: int = 1


@dataclass(slots=True)
class World:
    """One state of the queue, the machines and the messages in transit."""

    queue: bytes
    agents: dict[str, tuple[str, str, int]]  # step, request, token
    processes: dict[str, int]  # number of a machine's current process; none runs if it is 0 or less
    gone: dict[str, str]  # by machine that left: the request by which it did
    unhealthy: frozenset[str]  # as the leader would observe them
    in_transit: tuple[MessageInTransit, ...]
    lease_step: int
    budget: Budget

    def key(self) -> int:
        """A hash that is equal for states with the same possible continuations."""
        fields = (
            self.queue,
            sorted(self.agents.items()),
            sorted(self.processes.items()),
            sorted(self.gone.items()),
            sorted(self.unhealthy),
            self.in_transit,
            self.lease_step,
            (self.budget.lease_steps, self.budget.crashes, self.budget.losses, self.budget.operator_commands),
        )
        return xxhash.xxh3_128_intdigest(msgspec.msgpack.encode(fields))


class Explorer:
    """Visits every state that is reachable within a budget."""

    def __init__(
        self,
        budget: Budget,
        queue_type: Callable[[], MaintenanceQueue] = MaintenanceQueue,
        agent_type: Callable[[str, float], LeaseHolder] = LeaseHolder,
    ) -> None:
        self._budget, self._queue_type, self._agent_type = budget, queue_type, agent_type
        self.states = self.events = self.left = 0

    def initial(self) -> World:
        """The initial state: maintenance is requested for m0 and m1, which both hold replicas of group g."""
        queue = self._queue_type()
        limits = MaintenanceLimits(
            self._budget.max_out, 3, 1.0, lease_ms=LEASE, grace_ms=1e9, starvation_ms=1e9, overdue_blocks=False
        )
        for command in (
            SetLimits(limits),
            self._observation(frozenset()),
            SubmitRequest("r0", "m0", 5.0),
            SubmitRequest("r1", "m1", 5.0),
        ):
            queue.apply(encode_entry(0.0, command))
        return World(
            queue.snapshot(),
            dict.fromkeys(NAMES, ("here", "", 0)),
            dict.fromkeys(NAMES, 1),
            {},
            frozenset(),
            (),
            0,
            self._budget,
        )

    @staticmethod
    def _observation(unhealthy: frozenset[str]) -> Observation:
        return Observation(
            tuple(Machine(name, "a", 1.0, name not in unhealthy) for name in NAMES), (ReplicaGroup("g", ("m0", "m1")),)
        )

    # Parts of the world.

    def _queue_of(self, world: World) -> MaintenanceQueue:
        queue = self._queue_type()
        queue.restore(world.queue)
        return queue

    @staticmethod
    def _now(world: World) -> float:
        return world.lease_step * (LEASE + 1.0)

    def _apply(self, world: World, message: Command) -> tuple[World, CommandResult]:
        queue = self._queue_of(world)
        answer = queue.apply(encode_entry(self._now(world), message))
        after = replace(world, queue=queue.snapshot())
        self._check(after, queue)
        return after, answer

    def _run(self, world: World, name: str, event: Callable[[LeaseHolder], None]) -> World:
        """One event at a machine, with the actions that follow from it."""
        agent = self._agent_type(name, LEASE)
        step, agent.request_id, agent.token = world.agents[name]
        agent.phase = Phase(step)
        agent._retry_ms = 1e18
        event(agent)
        after = replace(world, agents={**world.agents, name: (agent.phase.value, agent.request_id, agent.token)})
        for action in agent.actions:
            if isinstance(action, SendStart | SendFinish):
                message: Command = action.command
                sent: MessageInTransit = (name, world.processes[name], message, self._now(world), 0)
                if sent not in after.in_transit:
                    after = replace(after, in_transit=tuple(sorted((*after.in_transit, sent), key=repr)))
            elif isinstance(action, Drain):
                self.left += 1
                request = self._queue_of(after).requests.get(action.request_id)
                if request is None or request.state not in (RequestState.OUT, RequestState.RECOVERING):
                    raise InvariantError(
                        f"{name} leaves by {action.request_id}, which is "
                        f"{request.state.value if request is not None else 'unknown'}"
                    )
                # From now on the machine reports that it does not serve.
                after = replace(after, gone={**after.gone, name: action.request_id}, unhealthy=after.unhealthy | {name})
                self._check(after, self._queue_of(after))
            else:
                assert isinstance(action, ReadyForWork)
        return after

    def _check(self, world: World, queue: MaintenanceQueue) -> None:
        may_leave = {
            request.machine
            for request in queue.requests.values()
            if request.state in (RequestState.GRANTED, RequestState.OUT, RequestState.RECOVERING)
        }
        away = may_leave | set(world.gone)
        if len(away) > self._budget.max_out:
            raise InvariantError(f"{', '.join(sorted(away))} are away or may leave, limit {self._budget.max_out}")
        if {"m0", "m1"} <= away:
            raise InvariantError("both machines with replicas of g are away or may leave")

    # Events.

    def next(self, world: World) -> Iterator[tuple[str, World]]:
        """Every event that can happen next, with the state after it."""
        budget, now = world.budget, self._now(world)
        for name in NAMES[:2]:
            step = world.agents[name][0]
            if world.processes[name] > 0:

                def observe(agent: LeaseHolder) -> None:
                    agent.observe(now, list(self._queue_of(world).requests.values()))

                yield f"{name} observes the queue", self._run(world, name, observe)
                if step == "asking":
                    yield (
                        f"{name} repeats its start request",
                        self._run(world, name, lambda agent: agent._send_start(now)),
                    )
                if step == "going":
                    yield f"{name} has drained", self._run(world, name, lambda agent: agent.drained())
                if budget.crashes:
                    after = replace(
                        world,
                        budget=replace(budget, crashes=budget.crashes - 1),
                        unhealthy=world.unhealthy | {name},
                        processes={**world.processes, name: -world.processes[name]},
                    )
                    yield f"{name} crashes", after
            if step == "gone" or world.processes[name] <= 0:
                gone = {one: request for one, request in world.gone.items() if one != name}
                after = replace(
                    world,
                    processes={**world.processes, name: abs(world.processes[name]) + 1},
                    gone=gone,
                    unhealthy=world.unhealthy - {name},
                    agents={**world.agents, name: ("here", "", 0)},
                )
                yield f"{name} is back with a new process", after
        for number, sent in enumerate(world.in_transit):
            rest = replace(world, in_transit=world.in_transit[:number] + world.in_transit[number + 1 :])
            yield from self._deliver(rest, sent)
            if budget.losses:
                yield (
                    f"a message from or to {sent[0]} is lost",
                    replace(rest, budget=replace(budget, losses=budget.losses - 1)),
                )
        yield "the leader observes health", self._apply(world, self._observation(world.unhealthy))[0]
        if budget.lease_steps:
            after = replace(
                world, lease_step=world.lease_step + 1, budget=replace(budget, lease_steps=budget.lease_steps - 1)
            )
            yield "a lease passes", self._apply(after, Tick())[0]
        if budget.operator_commands:
            remaining = replace(world, budget=replace(budget, operator_commands=budget.operator_commands - 1))
            for request in self._queue_of(world).requests.values():
                if request.state in (RequestState.OUT, RequestState.RECOVERING):
                    yield (
                        f"{request.request_id} is abandoned",
                        self._apply(remaining, AbandonRequest(request.request_id))[0],
                    )
                    yield (
                        f"an operator declares {request.request_id} finished",
                        self._apply(remaining, FinishMaintenance(request.request_id, request.token))[0],
                    )

    def _deliver(self, world: World, sent: MessageInTransit) -> Iterator[tuple[str, World]]:
        name, process, message, requested_at, _ = sent
        if isinstance(message, CommandResult):
            if world.processes[name] == process and message.request is not None:
                start = StartMaintenance(message.request.request_id, message.request.token)
                now = self._now(world)
                yield (
                    f"{name} gets its result",
                    self._run(world, name, lambda agent: agent.start_answered(now, start, requested_at, message)),
                )
            else:
                yield f"a result for {name} reaches no process", world
            return
        after, answer = self._apply(world, message)
        if isinstance(message, StartMaintenance):
            # Keep only what the machine reads: the request, its token and whether it may leave.
            request = answer.request or None
            if request is not None:
                request = msgspec.structs.replace(
                    request, state_since_ms=0.0, lease_expires_ms=0.0, due_ms=0.0, token=message.token
                )
            reply: MessageInTransit = (name, process, CommandResult(answer.ok, "", request), requested_at, 1)
            if reply not in after.in_transit:
                after = replace(after, in_transit=tuple(sorted((*after.in_transit, reply), key=repr)))
        yield f"the queue gets {type(message).__name__} from {name}", after

    # The search.

    def run(self, max_states: int = 1 << 62) -> bool:
        """Visit every state in breadth-first order; False if there are more than `max_states`.  Raises InvariantError
        with the shortest sequence of events."""
        initial = self.initial()
        key = initial.key()
        predecessors: dict[int, tuple[int, str]] = {key: (0, "")}  # by state: its predecessor, and the event
        pending = deque([(key, initial)])
        while pending:
            before, world = pending.popleft()
            events = self.next(world)
            while True:
                try:
                    step = next(events, None)
                except InvariantError as error:
                    raise InvariantError(
                        f"{error}, after: {'; '.join(self._events_before(predecessors, before))}"
                    ) from None
                if step is None:
                    break
                self.events += 1
                name, after = step
                key = after.key()
                if key in predecessors:
                    continue
                if len(predecessors) >= max_states:
                    return False
                predecessors[key] = before, name
                self.states = len(predecessors)
                pending.append((key, after))
        return True

    @staticmethod
    def _events_before(predecessors: dict[int, tuple[int, str]], key: int) -> list[str]:
        names: list[str] = []
        while predecessors[key][1]:
            key, name = predecessors[key]
            names.append(name)
        return names[::-1]
