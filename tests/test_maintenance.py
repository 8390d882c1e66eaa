"""The order book, its rule and a machine's part: whole plays, each rule alone, and flaws that the judge sees."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenstep.lab.fleet.orders import BrokenError, Play
from martenstep.maintenance import admission_rules as rule
from martenstep.maintenance.lease_holder import Agent, AskDone, AskStart, Leave, Step, Touchable
from martenstep.maintenance.queue import (
    Answer,
    Ask,
    Book,
    Cancel,
    Clock,
    Done,
    Extend,
    GiveUp,
    Group,
    Limits,
    Machine,
    Pause,
    Request,
    SetLimits,
    Sight,
    Start,
    State,
    Tick,
    What,
    entry,
)

MACHINES = tuple(Machine(f"m{number}", "abc"[number % 3]) for number in range(6))
WIDE = Limits(most_out=3, most_out_zone=2, most_share=0.9, lease_ms=1000.0, grace_ms=500.0, starve_ms=60_000.0)


def told(agent: Agent) -> list[Any]:
    """What a machine wanted since it was asked last."""
    actions, agent.out = agent.out, []
    return list(actions)


class Desk:
    """A book, and time."""

    def __init__(
        self, limits: Limits = WIDE, machines: tuple[Machine, ...] = MACHINES, groups: tuple[Group, ...] = ()
    ) -> None:
        self.book, self.now = Book(), 0.0
        self.tell(SetLimits(limits))
        self.tell(Sight(machines, groups))

    def tell(self, what: What, later: float = 0.0) -> Answer:
        self.now += later
        return self.book.apply(entry(self.now, what))

    def ask(self, machine: int, **more: Any) -> Answer:
        return self.tell(Ask(f"r{machine}", f"m{machine}", 5000.0, **more))

    def see(self, **unhealthy: bool) -> None:
        self.tell(
            Sight(
                tuple(
                    msgspec.structs.replace(one, healthy=unhealthy.get(one.name, True))
                    for one in self.book.sight.machines
                ),
                self.book.sight.groups,
            )
        )

    def state(self, machine: int) -> State:
        return self.book.requests[f"r{machine}"].state

    def token(self, machine: int) -> int:
        return self.book.requests[f"r{machine}"].token

    def why(self, machine: int) -> str:
        return rule.waits_for(self.book, self.book.requests[f"r{machine}"])


@pytest.mark.parametrize("seed", range(12))
def test_a_play_keeps_every_rule(seed: int) -> None:
    counts = Play(seed, length_ms=120_000.0).play()
    assert counts["granted"] >= counts["left"]


def test_a_request_goes_its_way_once_and_the_same_id_twice_is_one() -> None:
    desk = Desk()
    assert desk.ask(0).ok and desk.ask(0).ok and len(desk.book.requests) == 1
    assert not desk.tell(Ask("r0", "m1", 5000.0)).ok and not desk.tell(Ask("other", "m0", 5000.0)).ok
    assert desk.state(0) is State.GRANTED and desk.token(0) == 1
    assert not desk.tell(Start("r0", 2)).ok and desk.tell(Start("r0", 1)).ok and desk.tell(Start("r0", 1)).ok
    assert not desk.tell(Cancel("r0")).ok
    assert desk.tell(Done("r0", 1)).text == "m0 has not left yet" and desk.state(0) is State.OUT
    desk.see(m0=False)
    assert desk.tell(Extend("r0", 1, 60_000.0)).ok and not rule.overdue(desk.book)
    assert not desk.tell(Done("r0", 9)).ok and desk.tell(Done("r0", 1)).ok and desk.tell(Done("r0", 1)).ok
    assert desk.state(0) is State.COMING  # not healthy yet
    desk.see()
    assert desk.book.requests["r0"].end == "done" and desk.ask(0).request.end == "done"  # type: ignore[union-attr]
    desk.ask(1)
    assert desk.token(1) == 2
    assert desk.tell(Cancel("r1")).ok and desk.book.requests["r1"].end == "cancelled"
    assert not desk.tell(Start("r1", 2)).ok  # cancel and grant crossed


def test_limits_hold_in_all_by_zone_by_capacity_and_for_copies_of_one_group() -> None:
    desk = Desk(Limits(most_out=2, most_out_zone=1, most_share=0.9, starve_ms=1e9))
    assert [desk.ask(number).ok for number in (0, 3, 1, 2)] == [True] * 4
    assert [number for number in (0, 3, 1, 2) if desk.state(number) is State.GRANTED] == [0, 1]
    assert "zone a" in desk.why(3) or "2 may be out" in desk.why(3)
    assert "2 may be out, and m0, m1 are" in desk.why(2)
    heavy = (Machine("m0", "a", 4.0), Machine("m1", "b", 3.0), Machine("m2", "c", 3.0))
    desk = Desk(Limits(3, 3, 0.5), heavy)
    desk.ask(1)
    desk.ask(0)
    assert desk.state(0) is State.WAITING and "50% of the capacity may be out, this would be 70%" in desk.why(0)
    assert "alone is" in Desk(Limits(3, 3, 0.35), heavy).ask(0).text
    desk = Desk(
        WIDE, groups=(Group("counter-1", ("m0", "m1", "m4")), Group("counter-2", ("m2", "m5", "m3"), whole=False))
    )
    desk.ask(0)
    desk.ask(1)
    desk.ask(2)
    assert "m0 of counter-1 are out" in desk.why(1)
    assert "counter-2, a copy of which it holds, is not whole" in desk.why(2)
    assert Desk(Limits(most_out=0)).ask(0).text == "the limits let no machine out"
    assert Desk().tell(Ask("x", "nobody", 5.0)).text == "no machine nobody is known"


def test_a_machine_that_is_out_by_itself_counts_and_calls_a_grant_back_that_was_not_used() -> None:
    desk = Desk(Limits(most_out=1, most_out_zone=1, most_share=0.9))
    desk.ask(0)
    assert desk.state(0) is State.GRANTED
    desk.see(m5=False)
    assert desk.state(0) is State.WAITING and not desk.tell(Start("r0", 1)).ok and "m5 are" in desk.why(0)
    desk.see()
    assert desk.state(0) is State.GRANTED and desk.token(0) == 2
    desk.tell(Start("r0", 2))
    desk.see(m0=False, m5=False)
    assert desk.state(0) is State.OUT  # it is away: nothing calls it back


def test_limits_tightened_call_back_what_has_not_started_and_leases_end() -> None:
    desk = Desk()
    desk.ask(0)
    desk.ask(1)
    desk.tell(Start("r0", 1))
    desk.tell(SetLimits(Limits(most_out=1, most_out_zone=1, most_share=0.9, lease_ms=1000.0)))
    assert desk.state(0) is State.OUT and desk.state(1) is State.WAITING
    assert not desk.tell(SetLimits(Limits(most_out=-1))).ok
    desk = Desk()
    desk.ask(0)
    desk.tell(Tick(), later=999.0)
    assert desk.token(0) == 1
    desk.tell(Tick(), later=2.0)
    assert desk.state(0) is State.GRANTED and desk.token(0) == 2 and not desk.tell(Start("r0", 1)).ok


def test_one_that_is_not_back_in_time_holds_the_order_until_it_is_given_up() -> None:
    desk = Desk(msgspec.structs.replace(WIDE, lease_ms=60_000.0))
    desk.ask(0)
    desk.tell(Start("r0", 1))
    desk.see(m0=False)
    desk.tell(Tick(), later=5600.0)
    desk.ask(1)
    assert desk.why(1) == "not back in time: r0"
    assert "its lease runs" in desk.tell(GiveUp("r0")).text  # it may still be leaving by it
    assert desk.tell(GiveUp("r0"), later=60_000.0).ok and desk.book.requests["r0"].end == "given up"
    assert desk.state(1) is State.GRANTED


def test_one_that_does_not_leave_is_given_up_only_once_it_was_looked_at() -> None:
    desk = Desk(msgspec.structs.replace(WIDE, lease_ms=1000.0))
    desk.ask(0)
    desk.tell(Start("r0", 1))
    assert "not looked at" in desk.tell(GiveUp("r0"), later=1001.0).text  # it may have left unseen
    desk.see()
    assert desk.tell(GiveUp("r0")).ok


def test_what_went_wrong_stops_the_rest_and_the_order_is_told() -> None:
    desk = Desk(Limits(most_out=1, most_out_zone=1, most_share=0.9))
    mores: tuple[dict[str, Any], ...] = ({"plan": "roll"}, {"plan": "roll"}, {}, {"urgent": True}, {"before": 9.0})
    for number, more in enumerate(mores):
        desk.ask(number, **more)
    assert [held.machine for held in rule.order(desk.book)] == ["m3", "m4", "m1", "m2"]
    desk.tell(Start("r0", 1))
    desk.tell(Done("r0", 1, ok=False, why="no disk", back=True))
    assert desk.book.requests["r0"].end == "went wrong: no disk" and desk.state(3) is State.GRANTED
    assert desk.why(1) == "plan roll stands: m0 went wrong: no disk"
    desk.tell(Pause(True, "night"))
    assert desk.why(2) == "paused: night"
    desk.tell(Pause(False, plan="roll"))
    desk.tell(Pause(False))
    assert "may be out" in desk.why(1)
    desk.tell(Sight(MACHINES, (), ("2 doors dead",)))
    assert desk.why(1) == "the fleet is short: 2 doors dead"


def test_who_leads_the_book_goes_last_and_zone_by_zone() -> None:
    machines = (Machine("m0", "a", leads=True), *MACHINES[1:])
    desk = Desk(Limits(1, 1, 0.9, by_zone=True), machines)
    desk.tell(Pause(True))
    for number in range(6):
        desk.ask(number)
    desk.tell(Pause(False))
    went = []
    while any(held.state is not State.ENDED for held in desk.book.requests.values()):
        machine = next(held.machine for held in desk.book.requests.values() if held.state is State.GRANTED)
        number = int(machine[1:])
        went.append(machine)
        desk.tell(Start(f"r{number}", desk.token(number)))
        desk.tell(Done(f"r{number}", desk.token(number), back=True))
        desk.see()
    assert went == ["m1", "m4", "m2", "m5", "m3", "m0"]


def test_a_machine_leaves_only_within_its_lease_from_before_it_asked() -> None:
    granted = Request("r", "m0", 5.0, state=State.GRANTED, token=7)
    agent = Agent("m0", 1000.0)
    agent.seen(0.0, [granted])
    assert agent.out == [AskStart(Start("r", 7))]
    agent.wake(1100.0)
    assert len(agent.out) == 2
    agent.started(2000.0, Start("r", 7), 0.0, Answer(True))  # it stood with the answer in its buffer
    assert agent.step is Step.ASKING and len(told(agent)) == 3
    agent.started(2100.0, Start("r", 7), 2000.0, Answer(True))
    assert told(agent) == [Leave("r")]
    agent.left(3000.0)
    assert told(agent) == [Touchable("r")]
    agent.back(9000.0)
    assert told(agent) == [AskDone(Done("r", 7, back=True))]
    agent.seen(9500.0, [msgspec.structs.replace(granted, state=State.COMING)])
    assert agent.step.value == "here"
    again = Agent("m0", 1000.0)  # a new process finds itself out
    again.seen(0.0, [msgspec.structs.replace(granted, state=State.OUT)])
    assert told(again) == [AskDone(Done("r", 7, back=True))]
    refused = Agent("m0", 1000.0)
    refused.seen(0.0, [granted])
    refused.started(1.0, Start("r", 7), 0.0, Answer(False))
    assert refused.step.value == "here"


def test_the_books_time_never_runs_faster_than_real_time() -> None:
    clock = Clock(500.0, 1000.0)
    assert clock.at(1000.0) == 500.0 and 500.0 < clock.at(2000.0) < 1500.0
    book = Book()
    book.apply(entry(900.0, Tick()))
    book.apply(entry(100.0, Tick()))  # of a leader before
    assert book.now == 900.0
    assert not book.apply(entry(float("inf"), Tick())).ok and not book.apply(b"\xff").ok and book.now == 900.0


WHATS = st.one_of(
    st.builds(Ask, st.sampled_from("abcd"), st.sampled_from(["m0", "m1", "m2"]), st.sampled_from([0.0, 9.0])),
    st.builds(Start, st.sampled_from(["a", "b", "c"]), st.integers(0, 5)),
    st.builds(Done, st.sampled_from(["a", "b", "c"]), st.integers(0, 5), st.booleans()),
    st.builds(Cancel, st.sampled_from("abc")),
    st.builds(GiveUp, st.sampled_from("ab")),
    st.just(Tick()),
    st.builds(
        lambda healthy: Sight(tuple(Machine(f"m{number}", "a", healthy=well) for number, well in enumerate(healthy))),
        st.tuples(st.booleans(), st.booleans(), st.booleans()),
    ),
)


@given(st.lists(st.tuples(st.floats(0, 1e5), WHATS), max_size=40), st.integers(0, 40))
def test_a_book_filled_by_a_snapshot_goes_on_as_one_that_saw_all(entries: list[tuple[float, What]], cut: int) -> None:
    seen, filled = Book(), Book()
    for at, what in entries[:cut]:
        seen.apply(entry(at, what))
    filled.restore(seen.snapshot())
    for at, what in entries[cut:]:
        assert filled.apply(entry(at, what)) == seen.apply(entry(at, what))
    assert filled.snapshot() == seen.snapshot()
    with pytest.raises(ValueError, match="not an order book's snapshot"):
        filled.restore(b"\x01")


class TokenNotChecked(Book):
    """Flaw: any token of a request counts."""

    def _take(self, what: What) -> Answer:
        if isinstance(what, Start | Done | Extend) and what.id in self.requests:
            what = msgspec.structs.replace(what, token=self.requests[what.id].token)
        return super()._take(what)


class TokenAgain(Book):
    """Flaw: tokens are counted for each request."""

    def _settle(self) -> None:
        self._token = 0
        super()._settle()


class GivenUpAtOnce(Book):
    """Flaw: a machine is given up while its lease runs."""

    def _give_up(self, held: Request) -> Answer:
        held.lease_until = -1.0
        return super()._give_up(held)


class LeaseForEver(Book):
    """Flaw: a grant that is not used is never taken back."""

    def _settle(self) -> None:
        for held in self.requests.values():
            if held.state is State.GRANTED:
                held.lease_until = 1e18
        super()._settle()


class BackAtOnce(Book):
    """Flaw: a machine is back when it says so, healthy or not."""

    def _done(self, held: Request, what: Done) -> Answer:
        answer = super()._done(held, what)
        if held.state is State.COMING:
            self._end(held, "done")
        return answer


class DoneByAnybody(Book):
    """Flaw: a person's word that the work is done is taken while the machine still drains."""

    def _done(self, held: Request, what: Done) -> Answer:
        return super()._done(held, msgspec.structs.replace(what, back=True))


class EndsTwice(Book):
    """Flaw: what has ended may be cancelled."""

    def _cancel(self, held: Request) -> Answer:
        held.end = ""
        self._end(held, "cancelled")
        return Answer(True, "", held)


class LeaseFromAnswer(Agent):
    """Flaw: the lease runs from when the answer came."""

    def started(self, now: float, start: Start, asked: float, answer: Answer) -> None:
        super().started(now, start, now, answer)


class LeavesUnheard(Agent):
    """Flaw: it leaves once it has asked."""

    def _ask(self, now: float) -> None:
        super()._ask(now)
        self.step = Step.GOING
        self.out.append(Leave(self.request))


@pytest.mark.parametrize(
    "flaw",
    [TokenNotChecked, TokenAgain, GivenUpAtOnce, BackAtOnce, DoneByAnybody, EndsTwice, LeaseFromAnswer, LeavesUnheard],
)
def test_the_judge_sees_a_flaw(flaw: Any) -> None:
    with pytest.raises(BrokenError):
        for seed in range(60):
            if issubclass(flaw, Book):
                Play(seed, length_ms=120_000.0, book=flaw).play()
            else:
                Play(seed, length_ms=120_000.0, agent=flaw).play()


def test_the_judge_sees_machines_out_by_themselves_that_are_not_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rule, "out", rule.granted)
    with pytest.raises(BrokenError):
        for seed in range(60):
            Play(seed, length_ms=120_000.0).play()
