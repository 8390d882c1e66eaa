"""The maintenance queue and its lease holders in virtual time, with faults of messages, clocks and processes.

There is one queue here: that its replicas agree is checked by `groups`.  Requests to the queue and its responses are
lost, delayed and duplicated; machines are paused with responses in their buffers, end, or never return; leaders change,
and the queue's clock stops meanwhile; limits change; people cancel and abandon requests.

The checker uses true time.  It verifies: the machines that were granted and are really out, or may drain at any moment,
never exceed the limits that held at each grant, nor are two of them of one replica group; no machine drains by a start
whose request was abandoned; each request has one outcome; once faults end, every request that may be granted is
granted, so that all come to their end.
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

POLL_INTERVAL_MS = 500.0  # between two reads of the queue by a lease holder
OBSERVATION_INTERVAL_MS = 1000.0
ZONES = "abc"


class InvariantError(Exception):
    """An invariant is violated."""


@dataclass(slots=True)
class SimulatedMachine:
    """One machine and its process."""

    name: str
    zone: str
    lease_holder: LeaseHolder
    clock_rate: float
    clock_offset_ms: float
    up: bool = True  # the process runs
    paused: bool = False
    healthy: bool = True
    inbox: list[Callable[[], None]] = field(default_factory=list)
    drained_for: str = ""  # the request for which it drained; empty while it is in service
    never_returns: bool = False

    def clock(self, now: float) -> float:
        """Return the machine's own monotonic time."""
        return self.clock_offset_ms + now * self.clock_rate


class MaintenanceSimulation:
    """One run with one seed."""

    def __init__(
        self,
        seed: int,
        machines: int = 6,
        length_ms: float = 300_000.0,
        make_queue: Callable[[], MaintenanceQueue] = MaintenanceQueue,
        make_lease_holder: Callable[[str, float], LeaseHolder] = LeaseHolder,
    ) -> None:
        self.sim, self.rng = Sim(), random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.queue, self._make_lease_holder, self._length = make_queue(), make_lease_holder, length_ms
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
        self.machines_by_name = {}
        for number in range(machines):
            name = f"m{number}"
            self.machines_by_name[name] = SimulatedMachine(
                name,
                ZONES[number % 3],
                make_lease_holder(name, self.limits.lease_ms),
                1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2,
                self.rng.uniform(0, 1e6),
            )
        names = list(self.machines_by_name)
        self.groups = tuple(ReplicaGroup(f"g{number}", tuple(self.rng.sample(names, 3))) for number in range(2))
        self._queue_clock: QueueClock | None = QueueClock(0.0, 0.0)
        self._faults_active = True
        self._number = 0
        self._accepted: dict[str, str] = {}  # by request id: machine
        self._outcomes: dict[str, str] = {}
        self._last_token = 0

    # The queue.

    def _apply(self, command: Command) -> CommandResult | None:
        """Apply a command as the present leader, and check its effects; None while there is no leader."""
        if self._queue_clock is None:
            return None
        before = {record.request_id: record.state for record in self.queue.requests.values()}
        answer = self.queue.apply(encode_entry(self._queue_clock.read(self.sim.now), command))
        for record in sorted(self.queue.requests.values(), key=lambda one: one.token):
            if record.state is RequestState.GRANTED and before.get(record.request_id) is not RequestState.GRANTED:
                self._check_grant(record.request_id, record.machine, record.token)
            if (
                record.state is RequestState.ENDED
                and self._outcomes.setdefault(record.request_id, record.outcome) != record.outcome
            ):
                raise InvariantError(
                    f"{record.request_id} ended as {self._outcomes[record.request_id]}, and later as {record.outcome}"
                )
            if before.get(record.request_id) is RequestState.ENDED and record.state is not RequestState.ENDED:
                raise InvariantError(f"{record.request_id} had ended, and is {record.state} now")
        return answer

    def _machines_out(self) -> set[str]:
        """Return the machines that are really out by a grant, or may drain at any moment."""
        granted = {
            record.machine
            for record in self.queue.requests.values()
            if record.state in (RequestState.GRANTED, RequestState.OUT, RequestState.RECOVERING)
        }
        return granted | {machine.name for machine in self.machines_by_name.values() if machine.drained_for}

    def _check_grant(self, request: str, machine: str, token: int) -> None:
        self.counts["granted"] += 1
        if token <= self._last_token:
            raise InvariantError(f"{request}: granted with token {token} after token {self._last_token}")
        self._last_token = token
        limits, out = self.queue.limits, self._machines_out()
        observed = {one.name: one for one in self.queue.observation.machines}
        unhealthy = {name for name, one in observed.items() if not one.healthy}
        if len(out | unhealthy | {machine}) > limits.max_out:
            raise InvariantError(f"{request}: {sorted(out | unhealthy)} are out, and the limit is {limits.max_out}")
        zone = {
            name
            for name in out | unhealthy | {machine}
            if self.machines_by_name[name].zone == self.machines_by_name[machine].zone
        }
        if len(zone) > limits.max_out_per_zone:
            raise InvariantError(
                f"{request}: {sorted(zone)} of one zone are out, and the limit is {limits.max_out_per_zone}"
            )
        if len(out | unhealthy | {machine}) > limits.max_capacity_share * len(self.machines_by_name):
            raise InvariantError(
                f"{request}: {sorted(out | unhealthy)} are out, above {limits.max_capacity_share:.0%} of the capacity"
            )
        for group in self.groups:
            if machine in group.machines and (out | unhealthy) - {machine} & set(group.machines):
                raise InvariantError(f"{request}: {sorted(out & set(group.machines))} of {group.name} are out")

    # Messages.

    def _send(self, call: Callable[[], None]) -> None:
        """Deliver a message, which may be delayed, duplicated or lost while there are faults."""
        if self._faults_active and self.rng.random() < 0.1:
            return
        for _ in range(2 if self._faults_active and self.rng.random() < 0.05 else 1):
            delay_ms = self.rng.uniform(1000, 15_000) if self._faults_active and self.rng.random() < 0.05 else 0.0
            self.sim.after(self.rng.uniform(1, 20) + delay_ms, call)

    def _send_to_process(self, machine: SimulatedMachine, lease_holder: LeaseHolder, call: Callable[[], None]) -> None:
        """Send a message to a process of a machine; a later process of that machine does not receive it."""

        def arrive() -> None:
            if not machine.up or machine.lease_holder is not lease_holder:
                return
            if machine.paused:
                machine.inbox.append(call)
            else:
                call()

        self._send(arrive)

    def _poll_queue(self, machine: SimulatedMachine) -> None:
        self.sim.after(POLL_INTERVAL_MS * self.rng.uniform(0.8, 1.2), self._poll_queue, machine)
        lease_holder = machine.lease_holder
        if not machine.up or machine.paused:
            return

        def ask() -> None:
            if self._queue_clock is not None:
                requests = [msgspec.structs.replace(one) for one in self.queue.requests.values()]
                self._send_to_process(machine, lease_holder, lambda: self._observe(machine, lease_holder, requests))

        self._send(ask)
        lease_holder.send_due_command(machine.clock(self.sim.now))
        self._execute_actions(machine)

    def _observe(
        self, machine: SimulatedMachine, lease_holder: LeaseHolder, requests: list[MaintenanceRequest]
    ) -> None:
        lease_holder.observe(machine.clock(self.sim.now), requests)
        self._execute_actions(machine)

    def _execute_actions(self, machine: SimulatedMachine) -> None:
        lease_holder = machine.lease_holder
        actions, lease_holder.actions = lease_holder.actions, []
        for action in actions:
            if isinstance(action, SendStart):
                self._send_start(machine, lease_holder, action.command, machine.clock(self.sim.now))
            elif isinstance(action, SendFinish):
                self._send(partial(self._finish, action.command))
            elif isinstance(action, Drain):
                self._drain(machine, lease_holder, action.request_id)
            elif isinstance(action, ReadyForWork):
                self.counts["touched"] += 1
                self.sim.after(self.rng.uniform(1000, 20_000), self._return_to_service, machine)

    def _finish(self, done: FinishMaintenance) -> None:
        self._apply(done)

    def _send_start(
        self, machine: SimulatedMachine, lease_holder: LeaseHolder, start: StartMaintenance, sent_at_ms: float
    ) -> None:
        def arrive() -> None:
            answer = self._apply(start)
            if answer is not None:
                self._send_to_process(
                    machine,
                    lease_holder,
                    lambda: self._start_answered(machine, lease_holder, start, sent_at_ms, answer),
                )

        self._send(arrive)
        if self._faults_active and not machine.paused and self.rng.random() < 0.2:
            self._pause(machine)  # the response arrives while the machine is paused

    def _start_answered(
        self,
        machine: SimulatedMachine,
        lease_holder: LeaseHolder,
        start: StartMaintenance,
        sent_at_ms: float,
        answer: CommandResult,
    ) -> None:
        lease_holder.start_answered(machine.clock(self.sim.now), start, sent_at_ms, answer)
        self._execute_actions(machine)

    def _drain(self, machine: SimulatedMachine, lease_holder: LeaseHolder, request: str) -> None:
        record = self.queue.requests.get(request)
        if record is None or record.state is RequestState.ENDED:
            raise InvariantError(
                f"{machine.name} drains for {request}, whose state is {record.outcome if record else 'unknown'}"
            )
        if record.state not in (RequestState.OUT, RequestState.RECOVERING) or record.machine != machine.name:
            raise InvariantError(f"{machine.name} drains for {request}, which is {record.state}")
        self.counts["left"] += 1
        machine.drained_for = request
        machine.healthy = False
        self.sim.after(self.rng.uniform(500, 3000), self._drained, machine, lease_holder)

    def _drained(self, machine: SimulatedMachine, lease_holder: LeaseHolder) -> None:
        if machine.lease_holder is lease_holder and machine.up:
            lease_holder.drained()
            self._execute_actions(machine)

    def _return_to_service(self, machine: SimulatedMachine) -> None:
        """End the maintenance work: start a new process, which finds in the queue that its machine is out."""
        if machine.never_returns and self._faults_active:
            self.sim.after(5000.0, self._return_to_service, machine)
            return
        machine.lease_holder = self._make_lease_holder(machine.name, self.limits.lease_ms)
        machine.up, machine.paused, machine.drained_for = True, False, ""
        machine.inbox.clear()
        self.sim.after(self.rng.uniform(500, 4000), self._become_healthy, machine)

    def _become_healthy(self, machine: SimulatedMachine) -> None:
        if machine.up and not machine.drained_for:
            machine.healthy = True

    def _observe_machines(self) -> None:
        self.sim.after(OBSERVATION_INTERVAL_MS * self.rng.uniform(0.8, 1.2), self._observe_machines)
        self._apply(
            Observation(
                tuple(
                    Machine(machine.name, machine.zone, 1.0, machine.healthy, machine.name == "m0")
                    for machine in self.machines_by_name.values()
                ),
                self.groups,
            )
        )

    # Operators and faults.

    def _act_as_operator(self) -> None:
        self.sim.after(self.rng.uniform(500, 4000), self._act_as_operator)
        if not self._faults_active:
            return
        roll = self.rng.random()
        requests = list(self.queue.requests.values())
        if roll < 0.6:
            self._number += 1
            name = self.rng.choice(list(self.machines_by_name))
            command: Command = SubmitRequest(
                f"r{self._number}",
                name,
                self.rng.uniform(2000, 30_000),
                urgent=self.rng.random() < 0.2,
                deadline_unix_ms=self.rng.choice((0.0, 1e12 + self._number)),
            )
            for _ in range(self.rng.choice((1, 1, 3))):  # a tool may repeat a request
                answer = self._apply(command)
                if answer is not None and answer.ok:
                    self._accepted[f"r{self._number}"] = name
        elif roll < 0.75:
            for one in requests:
                if one.state is RequestState.OUT:
                    self._apply(AbandonRequest(one.request_id))  # repeated until the queue accepts it
        elif requests:
            one = self.rng.choice([one for one in requests if one.state is RequestState.OUT] or requests)
            command = self.rng.choice(
                (
                    CancelRequest(one.request_id),
                    AbandonRequest(one.request_id),
                    ExtendMaintenance(one.request_id, one.token, 5000.0),
                    FinishMaintenance(one.request_id, one.token),
                    FinishMaintenance(one.request_id, one.token - 1, by_machine=True),
                    StartMaintenance(one.request_id, one.token + 1),
                )
            )
            self._apply(command)

    def _inject_fault(self) -> None:
        self.sim.after(self.rng.uniform(1000, 8000), self._inject_fault)
        if not self._faults_active:
            return
        machine = self.rng.choice(list(self.machines_by_name.values()))
        kind = self.rng.choice(("pause", "pause", "crash", "leader", "limits", "never back"))
        self.counts[kind] += 1
        if kind == "pause" and machine.up and not machine.paused:
            self._pause(machine)
        elif kind == "crash" and machine.up and not machine.drained_for:
            machine.up = machine.healthy = False
            self.sim.after(self.rng.uniform(1000, 20_000), self._return_to_service, machine)
        elif kind == "leader" and self._queue_clock is not None:
            self._queue_clock = None
            self.sim.after(self.rng.uniform(100, 15_000), self._elect_leader)
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
            machine.never_returns = True

    def _pause(self, machine: SimulatedMachine) -> None:
        machine.paused = True
        self.sim.after(self.rng.choice((500.0, 12_000.0, 40_000.0)), self._resume, machine, machine.lease_holder)

    def _elect_leader(self) -> None:
        self._queue_clock = QueueClock(self.queue.now_ms, self.sim.now)

    def _resume(self, machine: SimulatedMachine, lease_holder: LeaseHolder) -> None:
        if machine.lease_holder is not lease_holder or not machine.paused:
            return
        machine.paused = False
        waiting, machine.inbox = machine.inbox, []
        for call in waiting:
            call()

    # The run.

    def run(self) -> Counter[str]:
        """Run the simulation; raises InvariantError where an invariant is violated."""
        self._apply(SetLimits(self.limits))
        self._observe_machines()
        for machine in self.machines_by_name.values():
            self._poll_queue(machine)
        self._act_as_operator()
        self._inject_fault()
        self.sim.run(self.sim.now + self._length)
        self._faults_active = False
        for machine in self.machines_by_name.values():
            machine.never_returns = False
            self._resume(machine, machine.lease_holder)
        if self._queue_clock is None:
            self._elect_leader()
        self.limits = MaintenanceLimits(1, 1, 0.5, self.limits.zone_by_zone, False, 8000.0, 4000.0, 120_000.0)
        self._apply(SetLimits(self.limits))
        self.sim.run(self.sim.now + 60_000.0)
        for _ in range(200):
            waiting = [record for record in self.queue.requests.values() if record.state is not RequestState.ENDED]
            if not waiting:
                break
            self.sim.run(self.sim.now + 10_000.0)
        else:
            raise InvariantError(
                "not all requests ended: "
                + ", ".join(f"{record.request_id} of {record.machine} is {record.state}" for record in waiting)
            )
        self._apply(Tick())
        ended = {record.request_id for record in self.queue.requests.values()}
        lost = set(self._accepted) - ended
        if lost:
            raise InvariantError(f"accepted requests are missing in the queue: {sorted(lost)}")
        if any(machine.lease_holder.phase is not Phase.IN_SERVICE for machine in self.machines_by_name.values()):
            raise InvariantError("a machine is not in service at the end")
        return self.counts
