"""The order book, its rule and a machine's part: whole plays, each rule alone, and flaws that the judge sees."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenstep.lab.fleet.orders import BrokenError, Play
from martenstep.maintenance import admission_rules as rule
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
WIDE = MaintenanceLimits(
    max_out=3, max_out_per_zone=2, max_capacity_share=0.9, lease_ms=1000.0, grace_ms=500.0, starvation_ms=60_000.0
)


def told(agent: LeaseHolder) -> list[Any]:
    """What a machine wanted since it was asked last."""
    actions, agent.actions = agent.actions, []
    return list(actions)


class Desk:
    """A book, and time."""

    def __init__(
        self,
        limits: MaintenanceLimits = WIDE,
        machines: tuple[Machine, ...] = MACHINES,
        groups: tuple[ReplicaGroup, ...] = (),
    ) -> None:
        self.book, self.now = MaintenanceQueue(), 0.0
        self.tell(SetLimits(limits))
        self.tell(Observation(machines, groups))

    def tell(self, what: Command, later: float = 0.0) -> CommandResult:
        self.now += later
        return self.book.apply(encode_entry(self.now, what))

    def ask(self, machine: int, **more: Any) -> CommandResult:
        return self.tell(SubmitRequest(f"r{machine}", f"m{machine}", 5000.0, **more))

    def see(self, **unhealthy: bool) -> None:
        self.tell(
            Observation(
                tuple(
                    msgspec.structs.replace(one, healthy=unhealthy.get(one.name, True))
                    for one in self.book.observation.machines
                ),
                self.book.observation.groups,
            )
        )

    def state(self, machine: int) -> RequestState:
        return self.book.requests[f"r{machine}"].state

    def token(self, machine: int) -> int:
        return self.book.requests[f"r{machine}"].token

    def why(self, machine: int) -> str:
        return rule.waiting_reason(self.book, self.book.requests[f"r{machine}"])


@pytest.mark.parametrize("seed", range(12))
def test_a_play_keeps_every_rule(seed: int) -> None:
    counts = Play(seed, length_ms=120_000.0).play()
    assert counts["granted"] >= counts["left"]


def test_a_request_goes_its_way_once_and_the_same_id_twice_is_one() -> None:
    desk = Desk()
    assert desk.ask(0).ok and desk.ask(0).ok and len(desk.book.requests) == 1
    assert (
        not desk.tell(SubmitRequest("r0", "m1", 5000.0)).ok and not desk.tell(SubmitRequest("other", "m0", 5000.0)).ok
    )
    assert desk.state(0) is RequestState.GRANTED and desk.token(0) == 1
    assert (
        not desk.tell(StartMaintenance("r0", 2)).ok
        and desk.tell(StartMaintenance("r0", 1)).ok
        and desk.tell(StartMaintenance("r0", 1)).ok
    )
    assert not desk.tell(CancelRequest("r0")).ok
    assert desk.tell(FinishMaintenance("r0", 1)).message == "m0 has not left yet" and desk.state(0) is RequestState.OUT
    desk.see(m0=False)
    assert desk.tell(ExtendMaintenance("r0", 1, 60_000.0)).ok and not rule.overdue_requests(desk.book)
    assert (
        not desk.tell(FinishMaintenance("r0", 9)).ok
        and desk.tell(FinishMaintenance("r0", 1)).ok
        and desk.tell(FinishMaintenance("r0", 1)).ok
    )
    assert desk.state(0) is RequestState.RECOVERING  # not healthy yet
    desk.see()
    assert desk.book.requests["r0"].outcome == "done" and desk.ask(0).request.outcome == "done"  # type: ignore[union-attr]
    desk.ask(1)
    assert desk.token(1) == 2
    assert desk.tell(CancelRequest("r1")).ok and desk.book.requests["r1"].outcome == "cancelled"
    assert not desk.tell(StartMaintenance("r1", 2)).ok  # cancel and grant crossed


def test_limits_hold_in_all_by_zone_by_capacity_and_for_copies_of_one_group() -> None:
    desk = Desk(MaintenanceLimits(max_out=2, max_out_per_zone=1, max_capacity_share=0.9, starvation_ms=1e9))
    assert [desk.ask(number).ok for number in (0, 3, 1, 2)] == [True] * 4
    assert [number for number in (0, 3, 1, 2) if desk.state(number) is RequestState.GRANTED] == [0, 1]
    assert "zone a" in desk.why(3) or "2 may be out" in desk.why(3)
    assert "2 may be out, and m0, m1 are" in desk.why(2)
    heavy = (Machine("m0", "a", 4.0), Machine("m1", "b", 3.0), Machine("m2", "c", 3.0))
    desk = Desk(MaintenanceLimits(3, 3, 0.5), heavy)
    desk.ask(1)
    desk.ask(0)
    assert desk.state(0) is RequestState.WAITING and "50% of the capacity may be out, this would be 70%" in desk.why(0)
    assert "alone is" in Desk(MaintenanceLimits(3, 3, 0.35), heavy).ask(0).message
    desk = Desk(
        WIDE,
        groups=(
            ReplicaGroup("counter-1", ("m0", "m1", "m4")),
            ReplicaGroup("counter-2", ("m2", "m5", "m3"), complete=False),
        ),
    )
    desk.ask(0)
    desk.ask(1)
    desk.ask(2)
    assert "m0 of counter-1 are out" in desk.why(1)
    assert "counter-2, a copy of which it holds, is not whole" in desk.why(2)
    assert Desk(MaintenanceLimits(max_out=0)).ask(0).message == "the limits let no machine out"
    assert Desk().tell(SubmitRequest("x", "nobody", 5.0)).message == "no machine nobody is known"


def test_a_machine_that_is_out_by_itself_counts_and_calls_a_grant_back_that_was_not_used() -> None:
    desk = Desk(MaintenanceLimits(max_out=1, max_out_per_zone=1, max_capacity_share=0.9))
    desk.ask(0)
    assert desk.state(0) is RequestState.GRANTED
    desk.see(m5=False)
    assert (
        desk.state(0) is RequestState.WAITING
        and not desk.tell(StartMaintenance("r0", 1)).ok
        and "m5 are" in desk.why(0)
    )
    desk.see()
    assert desk.state(0) is RequestState.GRANTED and desk.token(0) == 2
    desk.tell(StartMaintenance("r0", 2))
    desk.see(m0=False, m5=False)
    assert desk.state(0) is RequestState.OUT  # it is away: nothing calls it back


def test_limits_tightened_call_back_what_has_not_started_and_leases_end() -> None:
    desk = Desk()
    desk.ask(0)
    desk.ask(1)
    desk.tell(StartMaintenance("r0", 1))
    desk.tell(SetLimits(MaintenanceLimits(max_out=1, max_out_per_zone=1, max_capacity_share=0.9, lease_ms=1000.0)))
    assert desk.state(0) is RequestState.OUT and desk.state(1) is RequestState.WAITING
    assert not desk.tell(SetLimits(MaintenanceLimits(max_out=-1))).ok
    desk = Desk()
    desk.ask(0)
    desk.tell(Tick(), later=999.0)
    assert desk.token(0) == 1
    desk.tell(Tick(), later=2.0)
    assert desk.state(0) is RequestState.GRANTED and desk.token(0) == 2 and not desk.tell(StartMaintenance("r0", 1)).ok


def test_one_that_is_not_back_in_time_holds_the_order_until_it_is_given_up() -> None:
    desk = Desk(msgspec.structs.replace(WIDE, lease_ms=60_000.0))
    desk.ask(0)
    desk.tell(StartMaintenance("r0", 1))
    desk.see(m0=False)
    desk.tell(Tick(), later=5600.0)
    desk.ask(1)
    assert desk.why(1) == "not back in time: r0"
    assert "its lease runs" in desk.tell(AbandonRequest("r0")).message  # it may still be leaving by it
    assert desk.tell(AbandonRequest("r0"), later=60_000.0).ok and desk.book.requests["r0"].outcome == "given up"
    assert desk.state(1) is RequestState.GRANTED


def test_one_that_does_not_leave_is_given_up_only_once_it_was_looked_at() -> None:
    desk = Desk(msgspec.structs.replace(WIDE, lease_ms=1000.0))
    desk.ask(0)
    desk.tell(StartMaintenance("r0", 1))
    assert "not looked at" in desk.tell(AbandonRequest("r0"), later=1001.0).message  # it may have left unseen
    desk.see()
    assert desk.tell(AbandonRequest("r0")).ok


def test_what_went_wrong_stops_the_rest_and_the_order_is_told() -> None:
    desk = Desk(MaintenanceLimits(max_out=1, max_out_per_zone=1, max_capacity_share=0.9))
    mores: tuple[dict[str, Any], ...] = (
        {"plan": "roll"},
        {"plan": "roll"},
        {},
        {"urgent": True},
        {"deadline_unix_ms": 9.0},
    )
    for number, more in enumerate(mores):
        desk.ask(number, **more)
    assert [held.machine for held in rule.waiting_order(desk.book)] == ["m3", "m4", "m1", "m2"]
    desk.tell(StartMaintenance("r0", 1))
    desk.tell(FinishMaintenance("r0", 1, succeeded=False, failure="no disk", by_machine=True))
    assert desk.book.requests["r0"].outcome == "went wrong: no disk" and desk.state(3) is RequestState.GRANTED
    assert desk.why(1) == "plan roll stands: m0 went wrong: no disk"
    desk.tell(SetPaused(True, "night"))
    assert desk.why(2) == "paused: night"
    desk.tell(SetPaused(False, plan="roll"))
    desk.tell(SetPaused(False))
    assert "may be out" in desk.why(1)
    desk.tell(Observation(MACHINES, (), ("2 doors dead",)))
    assert desk.why(1) == "the fleet is short: 2 doors dead"


def test_who_leads_the_book_goes_last_and_zone_by_zone() -> None:
    machines = (Machine("m0", "a", is_leader=True), *MACHINES[1:])
    desk = Desk(MaintenanceLimits(1, 1, 0.9, zone_by_zone=True), machines)
    desk.tell(SetPaused(True))
    for number in range(6):
        desk.ask(number)
    desk.tell(SetPaused(False))
    went = []
    while any(held.state is not RequestState.ENDED for held in desk.book.requests.values()):
        machine = next(held.machine for held in desk.book.requests.values() if held.state is RequestState.GRANTED)
        number = int(machine[1:])
        went.append(machine)
        desk.tell(StartMaintenance(f"r{number}", desk.token(number)))
        desk.tell(FinishMaintenance(f"r{number}", desk.token(number), by_machine=True))
        desk.see()
    assert went == ["m1", "m4", "m2", "m5", "m3", "m0"]


def test_a_machine_leaves_only_within_its_lease_from_before_it_asked() -> None:
    granted = MaintenanceRequest("r", "m0", 5.0, state=RequestState.GRANTED, token=7)
    agent = LeaseHolder("m0", 1000.0)
    agent.observe(0.0, [granted])
    assert agent.actions == [SendStart(StartMaintenance("r", 7))]
    agent.wake(1100.0)
    assert len(agent.actions) == 2
    agent.start_answered(
        2000.0, StartMaintenance("r", 7), 0.0, CommandResult(True)
    )  # it stood with the answer in its buffer
    assert agent.phase is Phase.STARTING and len(told(agent)) == 3
    agent.start_answered(2100.0, StartMaintenance("r", 7), 2000.0, CommandResult(True))
    assert told(agent) == [Drain("r")]
    agent.drained()
    assert told(agent) == [ReadyForWork("r")]
    agent.work_done(9000.0)
    assert told(agent) == [SendFinish(FinishMaintenance("r", 7, by_machine=True))]
    agent.observe(9500.0, [msgspec.structs.replace(granted, state=RequestState.RECOVERING)])
    assert agent.phase.value == "here"
    again = LeaseHolder("m0", 1000.0)  # a new process finds itself out
    again.observe(0.0, [msgspec.structs.replace(granted, state=RequestState.OUT)])
    assert told(again) == [SendFinish(FinishMaintenance("r", 7, by_machine=True))]
    refused = LeaseHolder("m0", 1000.0)
    refused.observe(0.0, [granted])
    refused.start_answered(1.0, StartMaintenance("r", 7), 0.0, CommandResult(False))
    assert refused.phase.value == "here"


def test_the_books_time_never_runs_faster_than_real_time() -> None:
    clock = QueueClock(500.0, 1000.0)
    assert clock.read(1000.0) == 500.0 and 500.0 < clock.read(2000.0) < 1500.0
    book = MaintenanceQueue()
    book.apply(encode_entry(900.0, Tick()))
    book.apply(encode_entry(100.0, Tick()))  # of a leader before
    assert book.now_ms == 900.0
    assert not book.apply(encode_entry(float("inf"), Tick())).ok and not book.apply(b"\xff").ok and book.now_ms == 900.0


WHATS = st.one_of(
    st.builds(SubmitRequest, st.sampled_from("abcd"), st.sampled_from(["m0", "m1", "m2"]), st.sampled_from([0.0, 9.0])),
    st.builds(StartMaintenance, st.sampled_from(["a", "b", "c"]), st.integers(0, 5)),
    st.builds(FinishMaintenance, st.sampled_from(["a", "b", "c"]), st.integers(0, 5), st.booleans()),
    st.builds(CancelRequest, st.sampled_from("abc")),
    st.builds(AbandonRequest, st.sampled_from("ab")),
    st.just(Tick()),
    st.builds(
        lambda healthy: Observation(
            tuple(Machine(f"m{number}", "a", healthy=well) for number, well in enumerate(healthy))
        ),
        st.tuples(st.booleans(), st.booleans(), st.booleans()),
    ),
)


@given(st.lists(st.tuples(st.floats(0, 1e5), WHATS), max_size=40), st.integers(0, 40))
def test_a_book_filled_by_a_snapshot_goes_on_as_one_that_saw_all(
    entries: list[tuple[float, Command]], cut: int
) -> None:
    seen, filled = MaintenanceQueue(), MaintenanceQueue()
    for at, what in entries[:cut]:
        seen.apply(encode_entry(at, what))
    filled.restore(seen.snapshot())
    for at, what in entries[cut:]:
        assert filled.apply(encode_entry(at, what)) == seen.apply(encode_entry(at, what))
    assert filled.snapshot() == seen.snapshot()
    with pytest.raises(ValueError, match="not an order book's snapshot"):
        filled.restore(b"\x01")


class TokenNotChecked(MaintenanceQueue):
    """Flaw: any token of a request counts."""

    def _apply_command(self, what: Command) -> CommandResult:
        if (
            isinstance(what, StartMaintenance | FinishMaintenance | ExtendMaintenance)
            and what.request_id in self.requests
        ):
            what = msgspec.structs.replace(what, token=self.requests[what.request_id].token)
        return super()._apply_command(what)


class TokenAgain(MaintenanceQueue):
    """Flaw: tokens are counted for each request."""

    def _settle(self) -> None:
        self._last_token = 0
        super()._settle()


class GivenUpAtOnce(MaintenanceQueue):
    """Flaw: a machine is given up while its lease runs."""

    def _abandon(self, held: MaintenanceRequest) -> CommandResult:
        held.lease_expires_ms = -1.0
        return super()._abandon(held)


class LeaseForEver(MaintenanceQueue):
    """Flaw: a grant that is not used is never taken back."""

    def _settle(self) -> None:
        for held in self.requests.values():
            if held.state is RequestState.GRANTED:
                held.lease_expires_ms = 1e18
        super()._settle()


class BackAtOnce(MaintenanceQueue):
    """Flaw: a machine is back when it says so, healthy or not."""

    def _finish(self, held: MaintenanceRequest, what: FinishMaintenance) -> CommandResult:
        answer = super()._finish(held, what)
        if held.state is RequestState.RECOVERING:
            self._end(held, "done")
        return answer


class DoneByAnybody(MaintenanceQueue):
    """Flaw: a person's word that the work is done is taken while the machine still drains."""

    def _finish(self, held: MaintenanceRequest, what: FinishMaintenance) -> CommandResult:
        return super()._finish(held, msgspec.structs.replace(what, by_machine=True))


class EndsTwice(MaintenanceQueue):
    """Flaw: what has ended may be cancelled."""

    def _cancel(self, held: MaintenanceRequest) -> CommandResult:
        held.outcome = ""
        self._end(held, "cancelled")
        return CommandResult(True, "", held)


class LeaseFromAnswer(LeaseHolder):
    """Flaw: the lease runs from when the answer came."""

    def start_answered(self, now: float, command: StartMaintenance, asked_ms: float, result: CommandResult) -> None:
        super().start_answered(now, command, now, result)


class LeavesUnheard(LeaseHolder):
    """Flaw: it leaves once it has asked."""

    def _ask_start(self, now: float) -> None:
        super()._ask_start(now)
        self.phase = Phase.DRAINING
        self.actions.append(Drain(self.request_id))


@pytest.mark.parametrize(
    "flaw",
    [TokenNotChecked, TokenAgain, GivenUpAtOnce, BackAtOnce, DoneByAnybody, EndsTwice, LeaseFromAnswer, LeavesUnheard],
)
def test_the_judge_sees_a_flaw(flaw: Any) -> None:
    with pytest.raises(BrokenError):
        for seed in range(60):
            if issubclass(flaw, MaintenanceQueue):
                Play(seed, length_ms=120_000.0, book=flaw).play()
            else:
                Play(seed, length_ms=120_000.0, agent=flaw).play()


def test_the_judge_sees_machines_out_by_themselves_that_are_not_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rule, "out_machines", rule.granted_machines)
    with pytest.raises(BrokenError):
        for seed in range(60):
            Play(seed, length_ms=120_000.0).play()
