"""The maintenance queue, its admission rules and the lease holder: simulated runs, single rules, injected flaws."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenstep.lab.fleet.orders import InvariantError, MaintenanceSimulation
from martenstep.maintenance import admission_rules
from martenstep.maintenance.commands import (
    AbandonRequest,
    CancelRequest,
    Command,
    CommandResult,
    ExtendMaintenance,
    FinishMaintenance,
    SetLimits,
    SetPaused,
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
from martenstep.maintenance.queue_clock import QueueClock

MACHINES = tuple(Machine(f"m{number}", "abc"[number % 3]) for number in range(6))
LIMITS = MaintenanceLimits(
    max_out=3, max_out_per_zone=2, max_capacity_share=0.9, lease_ms=1000.0, grace_ms=500.0, starvation_ms=60_000.0
)


class QueueRig:
    """A maintenance queue and its time."""

    def __init__(
        self,
        limits: MaintenanceLimits = LIMITS,
        machines: tuple[Machine, ...] = MACHINES,
        groups: tuple[ReplicaGroup, ...] = (),
    ) -> None:
        self.queue, self.now = MaintenanceQueue(), 0.0  # ms
        self.submit(SetLimits(limits))
        self.submit(Observation(machines, groups))

    def submit(self, command: Command, advance_ms: float = 0.0) -> CommandResult:
        self.now += advance_ms
        return self.queue.apply(encode_entry(self.now, command))

    def submit_request(self, machine: int, **options: Any) -> CommandResult:
        return self.submit(SubmitRequest(f"r{machine}", f"m{machine}", 5000.0, **options))

    def observe(self, **healthy: bool) -> None:
        self.submit(
            Observation(
                tuple(
                    msgspec.structs.replace(machine, healthy=healthy.get(machine.name, True))
                    for machine in self.queue.observation.machines
                ),
                self.queue.observation.groups,
            )
        )

    def state(self, machine: int) -> RequestState:
        return self.queue.requests[f"r{machine}"].state

    def token(self, machine: int) -> int:
        return self.queue.requests[f"r{machine}"].token

    def waiting_reason(self, machine: int) -> str:
        return admission_rules.waiting_reason(self.queue, self.queue.requests[f"r{machine}"])


@pytest.mark.parametrize("seed", range(12))
def test_a_simulated_run_keeps_every_invariant(seed: int) -> None:
    counts = MaintenanceSimulation(seed, length_ms=120_000.0).run()
    assert counts["granted"] >= counts["left"]


def test_a_request_has_one_outcome_and_a_repeated_id_is_the_same_request() -> None:
    rig = QueueRig()
    assert rig.submit_request(0).ok and rig.submit_request(0).ok and len(rig.queue.requests) == 1
    assert (
        not rig.submit(SubmitRequest("r0", "m1", 5000.0)).ok and not rig.submit(SubmitRequest("other", "m0", 5000.0)).ok
    )
    assert rig.state(0) is RequestState.GRANTED and rig.token(0) == 1
    assert (
        not rig.submit(StartMaintenance("r0", 2)).ok
        and rig.submit(StartMaintenance("r0", 1)).ok
        and rig.submit(StartMaintenance("r0", 1)).ok
    )
    assert not rig.submit(CancelRequest("r0")).ok
    assert rig.submit(FinishMaintenance("r0", 1)).message == "m0 has not left yet" and rig.state(0) is RequestState.OUT
    rig.observe(m0=False)
    assert rig.submit(ExtendMaintenance("r0", 1, 60_000.0)).ok and not admission_rules.overdue_requests(rig.queue)
    assert (
        not rig.submit(FinishMaintenance("r0", 9)).ok
        and rig.submit(FinishMaintenance("r0", 1)).ok
        and rig.submit(FinishMaintenance("r0", 1)).ok
    )
    assert rig.state(0) is RequestState.RECOVERING  # the machine is not healthy yet
    rig.observe()
    assert rig.queue.requests["r0"].outcome == "done" and rig.submit_request(0).request.outcome == "done"  # type: ignore[union-attr]
    rig.submit_request(1)
    assert rig.token(1) == 2
    assert rig.submit(CancelRequest("r1")).ok and rig.queue.requests["r1"].outcome == "cancelled"
    assert not rig.submit(StartMaintenance("r1", 2)).ok  # the cancellation overtook the start


def test_limits_hold_in_all_by_zone_by_capacity_and_within_a_replica_group() -> None:
    rig = QueueRig(MaintenanceLimits(max_out=2, max_out_per_zone=1, max_capacity_share=0.9, starvation_ms=1e9))
    assert [rig.submit_request(number).ok for number in (0, 3, 1, 2)] == [True] * 4
    assert [number for number in (0, 3, 1, 2) if rig.state(number) is RequestState.GRANTED] == [0, 1]
    assert "zone a" in rig.waiting_reason(3) or "2 may be out" in rig.waiting_reason(3)
    assert "2 may be out, and m0, m1 are" in rig.waiting_reason(2)
    heavy = (Machine("m0", "a", 4.0), Machine("m1", "b", 3.0), Machine("m2", "c", 3.0))
    rig = QueueRig(MaintenanceLimits(3, 3, 0.5), heavy)
    rig.submit_request(1)
    rig.submit_request(0)
    assert rig.state(0) is RequestState.WAITING
    assert "50% of the capacity may be out, this would be 70%" in rig.waiting_reason(0)
    assert "alone is" in QueueRig(MaintenanceLimits(3, 3, 0.35), heavy).submit_request(0).message
    rig = QueueRig(
        LIMITS,
        groups=(
            ReplicaGroup("counter-1", ("m0", "m1", "m4")),
            ReplicaGroup("counter-2", ("m2", "m5", "m3"), complete=False),
        ),
    )
    rig.submit_request(0)
    rig.submit_request(1)
    rig.submit_request(2)
    assert "m0 of counter-1 are out" in rig.waiting_reason(1)
    assert "counter-2, a copy of which it holds, is not whole" in rig.waiting_reason(2)
    assert QueueRig(MaintenanceLimits(max_out=0)).submit_request(0).message == "the limits let no machine out"
    assert QueueRig().submit(SubmitRequest("x", "nobody", 5.0)).message == "no machine nobody is known"


def test_an_unhealthy_machine_counts_as_out_and_revokes_a_grant_that_has_not_started() -> None:
    rig = QueueRig(MaintenanceLimits(max_out=1, max_out_per_zone=1, max_capacity_share=0.9))
    rig.submit_request(0)
    assert rig.state(0) is RequestState.GRANTED
    rig.observe(m5=False)
    assert (
        rig.state(0) is RequestState.WAITING
        and not rig.submit(StartMaintenance("r0", 1)).ok
        and "m5 are" in rig.waiting_reason(0)
    )
    rig.observe()
    assert rig.state(0) is RequestState.GRANTED and rig.token(0) == 2
    rig.submit(StartMaintenance("r0", 2))
    rig.observe(m0=False, m5=False)
    assert rig.state(0) is RequestState.OUT  # a maintenance that has started is not revoked


def test_tightened_limits_revoke_grants_that_have_not_started_and_unused_grants_expire() -> None:
    rig = QueueRig()
    rig.submit_request(0)
    rig.submit_request(1)
    rig.submit(StartMaintenance("r0", 1))
    rig.submit(SetLimits(MaintenanceLimits(max_out=1, max_out_per_zone=1, max_capacity_share=0.9, lease_ms=1000.0)))
    assert rig.state(0) is RequestState.OUT and rig.state(1) is RequestState.WAITING
    assert not rig.submit(SetLimits(MaintenanceLimits(max_out=-1))).ok
    rig = QueueRig()
    rig.submit_request(0)
    rig.submit(Tick(), advance_ms=999.0)
    assert rig.token(0) == 1
    rig.submit(Tick(), advance_ms=2.0)
    assert rig.state(0) is RequestState.GRANTED and rig.token(0) == 2 and not rig.submit(StartMaintenance("r0", 1)).ok


def test_an_overdue_machine_blocks_the_queue_until_it_is_abandoned() -> None:
    rig = QueueRig(msgspec.structs.replace(LIMITS, lease_ms=60_000.0))
    rig.submit_request(0)
    rig.submit(StartMaintenance("r0", 1))
    rig.observe(m0=False)
    rig.submit(Tick(), advance_ms=5600.0)
    rig.submit_request(1)
    assert rig.waiting_reason(1) == "not back in time: r0"
    assert "its lease runs" in rig.submit(AbandonRequest("r0")).message  # until then it may still drain
    assert rig.submit(AbandonRequest("r0"), advance_ms=60_000.0).ok and rig.queue.requests["r0"].outcome == "given up"
    assert rig.state(1) is RequestState.GRANTED


def test_a_machine_that_does_not_drain_is_abandoned_only_once_it_was_observed() -> None:
    rig = QueueRig(msgspec.structs.replace(LIMITS, lease_ms=1000.0))
    rig.submit_request(0)
    rig.submit(StartMaintenance("r0", 1))
    rejection = rig.submit(AbandonRequest("r0"), advance_ms=1001.0)
    assert "not looked at" in rejection.message  # the machine may have drained unobserved
    rig.observe()
    assert rig.submit(AbandonRequest("r0")).ok


def test_failed_work_pauses_the_rest_of_its_plan_and_each_request_shows_why_it_waits() -> None:
    rig = QueueRig(MaintenanceLimits(max_out=1, max_out_per_zone=1, max_capacity_share=0.9))
    request_options: tuple[dict[str, Any], ...] = (
        {"plan": "roll"},
        {"plan": "roll"},
        {},
        {"urgent": True},
        {"deadline_unix_ms": 9.0},
    )
    for number, options in enumerate(request_options):
        rig.submit_request(number, **options)
    assert [request.machine for request in admission_rules.waiting_order(rig.queue)] == ["m3", "m4", "m1", "m2"]
    rig.submit(StartMaintenance("r0", 1))
    rig.submit(FinishMaintenance("r0", 1, succeeded=False, failure="no disk", by_machine=True))
    assert rig.queue.requests["r0"].outcome == "went wrong: no disk" and rig.state(3) is RequestState.GRANTED
    assert rig.waiting_reason(1) == "plan roll stands: m0 went wrong: no disk"
    rig.submit(SetPaused(True, "night"))
    assert rig.waiting_reason(2) == "paused: night"
    rig.submit(SetPaused(False, plan="roll"))
    rig.submit(SetPaused(False))
    assert "may be out" in rig.waiting_reason(1)
    rig.submit(Observation(MACHINES, (), ("2 doors dead",)))
    assert rig.waiting_reason(1) == "the fleet is short: 2 doors dead"


def test_the_queues_leader_is_granted_last_and_zone_by_zone() -> None:
    machines = (Machine("m0", "a", is_leader=True), *MACHINES[1:])
    rig = QueueRig(MaintenanceLimits(1, 1, 0.9, zone_by_zone=True), machines)
    rig.submit(SetPaused(True))
    for number in range(6):
        rig.submit_request(number)
    rig.submit(SetPaused(False))
    maintained = []
    while any(request.state is not RequestState.ENDED for request in rig.queue.requests.values()):
        machine = next(
            request.machine for request in rig.queue.requests.values() if request.state is RequestState.GRANTED
        )
        number = int(machine[1:])
        maintained.append(machine)
        rig.submit(StartMaintenance(f"r{number}", rig.token(number)))
        rig.submit(FinishMaintenance(f"r{number}", rig.token(number), by_machine=True))
        rig.observe()
    assert maintained == ["m1", "m4", "m2", "m5", "m3", "m0"]


def test_a_machine_drains_only_within_its_lease_counted_from_sending_the_start() -> None:
    granted = MaintenanceRequest("r", "m0", 5.0, state=RequestState.GRANTED, token=7)
    holder = LeaseHolder("m0", 1000.0)
    holder.observe(0.0, [granted])
    assert holder.actions == [SendStart(StartMaintenance("r", 7))]
    holder.send_due_command(1100.0)
    assert len(holder.actions) == 2
    # The process was paused for 2000 ms with the answer in its buffer.
    holder.start_answered(2000.0, StartMaintenance("r", 7), 0.0, CommandResult(True))
    assert holder.phase is Phase.STARTING and len(holder.take_actions()) == 3
    holder.start_answered(2100.0, StartMaintenance("r", 7), 2000.0, CommandResult(True))
    assert holder.take_actions() == [Drain("r")]
    holder.drained()
    assert holder.take_actions() == [ReadyForWork("r")]
    holder.work_done(9000.0)
    assert holder.take_actions() == [SendFinish(FinishMaintenance("r", 7, by_machine=True))]
    holder.observe(9500.0, [msgspec.structs.replace(granted, state=RequestState.RECOVERING)])
    assert holder.phase.value == "here"
    restarted = LeaseHolder("m0", 1000.0)  # a new process of a machine that is out
    restarted.observe(0.0, [msgspec.structs.replace(granted, state=RequestState.OUT)])
    assert restarted.take_actions() == [SendFinish(FinishMaintenance("r", 7, by_machine=True))]
    rejected = LeaseHolder("m0", 1000.0)
    rejected.observe(0.0, [granted])
    rejected.start_answered(1.0, StartMaintenance("r", 7), 0.0, CommandResult(False))
    assert rejected.phase.value == "here"


def test_the_queues_clock_never_runs_faster_than_real_time() -> None:
    clock = QueueClock(500.0, 1000.0)
    assert clock.read(1000.0) == 500.0 and 500.0 < clock.read(2000.0) < 1500.0
    queue = MaintenanceQueue()
    queue.apply(encode_entry(900.0, Tick()))
    queue.apply(encode_entry(100.0, Tick()))  # from an earlier leader
    assert queue.now_ms == 900.0
    assert (
        not queue.apply(encode_entry(float("inf"), Tick())).ok and not queue.apply(b"\xff").ok and queue.now_ms == 900.0
    )


COMMANDS = st.one_of(
    st.builds(SubmitRequest, st.sampled_from("abcd"), st.sampled_from(["m0", "m1", "m2"]), st.sampled_from([0.0, 9.0])),
    st.builds(StartMaintenance, st.sampled_from(["a", "b", "c"]), st.integers(0, 5)),
    st.builds(FinishMaintenance, st.sampled_from(["a", "b", "c"]), st.integers(0, 5), st.booleans()),
    st.builds(CancelRequest, st.sampled_from("abc")),
    st.builds(AbandonRequest, st.sampled_from("ab")),
    st.just(Tick()),
    st.builds(
        lambda healthy: Observation(
            tuple(Machine(f"m{number}", "a", healthy=is_healthy) for number, is_healthy in enumerate(healthy))
        ),
        st.tuples(st.booleans(), st.booleans(), st.booleans()),
    ),
)


@given(st.lists(st.tuples(st.floats(0, 1e5), COMMANDS), max_size=40), st.integers(0, 40))
def test_a_queue_restored_from_a_snapshot_continues_like_one_that_applied_every_entry(
    entries: list[tuple[float, Command]], cut: int
) -> None:
    original, restored = MaintenanceQueue(), MaintenanceQueue()
    for time_ms, command in entries[:cut]:
        original.apply(encode_entry(time_ms, command))
    restored.restore(original.snapshot())
    for time_ms, command in entries[cut:]:
        assert restored.apply(encode_entry(time_ms, command)) == original.apply(encode_entry(time_ms, command))
    assert restored.snapshot() == original.snapshot()
    with pytest.raises(ValueError, match="not a snapshot of the maintenance queue"):
        restored.restore(b"\x01")


class TokenNotChecked(MaintenanceQueue):
    """Flaw: any token is accepted for a request."""

    def _apply_command(self, command: Command) -> CommandResult:
        if (
            isinstance(command, StartMaintenance | FinishMaintenance | ExtendMaintenance)
            and command.request_id in self.requests
        ):
            command = msgspec.structs.replace(command, token=self.requests[command.request_id].token)
        return super()._apply_command(command)


class TokenReused(MaintenanceQueue):
    """Flaw: the last token is forgotten before each update of the grants, so tokens repeat."""

    def _update_grants(self) -> None:
        self._last_token = 0
        super()._update_grants()


class AbandonedDuringLease(MaintenanceQueue):
    """Flaw: a request can be abandoned before its lease has ended."""

    def _abandon(self, request: MaintenanceRequest) -> CommandResult:
        request.lease_expires_ms = -1.0
        return super()._abandon(request)


class LeaseNeverExpires(MaintenanceQueue):
    """Flaw: a grant that has not started never expires."""

    def _update_grants(self) -> None:
        for request in self.requests.values():
            if request.state is RequestState.GRANTED:
                request.lease_expires_ms = 1e18
        super()._update_grants()


class EndedBeforeHealthy(MaintenanceQueue):
    """Flaw: a request ends when its work is finished, even if the machine is not healthy."""

    def _finish(self, request: MaintenanceRequest, command: FinishMaintenance) -> CommandResult:
        result = super()._finish(request, command)
        if request.state is RequestState.RECOVERING:
            self._end(request, "done")
        return result


class FinishedWhileDraining(MaintenanceQueue):
    """Flaw: a person's report that the work is done is accepted while the machine still drains."""

    def _finish(self, request: MaintenanceRequest, command: FinishMaintenance) -> CommandResult:
        return super()._finish(request, msgspec.structs.replace(command, by_machine=True))


class TwoOutcomes(MaintenanceQueue):
    """Flaw: a request that has ended may be cancelled."""

    def _cancel(self, request: MaintenanceRequest) -> CommandResult:
        request.outcome = ""
        self._end(request, "cancelled")
        return CommandResult(True, "", request)


class LeaseCountedFromAnswer(LeaseHolder):
    """Flaw: the lease is counted from the arrival of the answer."""

    def start_answered(self, now: float, command: StartMaintenance, sent_ms: float, result: CommandResult) -> None:
        super().start_answered(now, command, now, result)


class DrainsBeforeAnswer(LeaseHolder):
    """Flaw: the machine drains as soon as it has sent the start."""

    def _send_start(self, now: float) -> None:
        super()._send_start(now)
        self.phase = Phase.DRAINING
        self.actions.append(Drain(self.request_id))


@pytest.mark.parametrize(
    "flaw",
    [
        TokenNotChecked,
        TokenReused,
        AbandonedDuringLease,
        EndedBeforeHealthy,
        FinishedWhileDraining,
        TwoOutcomes,
        LeaseCountedFromAnswer,
        DrainsBeforeAnswer,
    ],
)
def test_the_checker_finds_each_flaw(flaw: Any) -> None:
    with pytest.raises(InvariantError):
        for seed in range(60):
            if issubclass(flaw, MaintenanceQueue):
                MaintenanceSimulation(seed, length_ms=120_000.0, make_queue=flaw).run()
            else:
                MaintenanceSimulation(seed, length_ms=120_000.0, make_lease_holder=flaw).run()


def test_the_checker_finds_that_unhealthy_machines_are_not_counted_as_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admission_rules, "out_machines", admission_rules.granted_machines)
    with pytest.raises(InvariantError):
        for seed in range(60):
            MaintenanceSimulation(seed, length_ms=120_000.0).run()
