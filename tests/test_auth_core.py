"""The decisions on checks: each hard case, and any order of events."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings as hypo
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from martenstep.auth.core import (
    Action,
    Allow,
    Answer,
    Core,
    Deny,
    NoVerdict,
    Reason,
    Rules,
    Start,
    Stop,
    parse_cache_lifetime_ms,
)
from martenstep.auth.wait_queue import GroupedWaitQueue

YES, NO = Answer(200, keep_ms=10_000.0), Answer(403, keep_ms=10_000.0)
ONCE = Answer(200)


class Bench:
    """A core and its clock."""

    def __init__(self, services: int = 1, **rules: float) -> None:
        self.core = Core(Rules(**rules), services, random.Random(1))  # type: ignore[arg-type]
        self.now = 0.0
        self.did: list[Action] = []

    def do(self, actions: list[Action]) -> list[Action]:
        self.did += actions
        return actions

    def ask(
        self, ticket: int, key: str = "k", left: float = 1000.0, group: str = "g", fail_open: bool = False
    ) -> list[Action]:
        return self.do(self.core.ask(self.now, ticket, key.encode(), left, group, fail_open, key))

    def answer(self, start: Start, answer: Answer = YES) -> list[Action]:
        return self.do(self.core.answered(self.now, start.check, start.attempt, answer))

    def fail(self, start: Start) -> list[Action]:
        return self.do(self.core.failed(self.now, start.check, start.attempt))

    def wait(self, ms: float) -> list[Action]:
        until, out = self.now + ms, []
        while (at := self.core.next_at()) is not None and at <= until:
            self.now = max(self.now, at)
            out += self.do(self.core.tick(self.now))
        self.now = until
        return out

    def starts(self) -> list[Start]:
        return [action for action in self.did if isinstance(action, Start)]


def test_identical_checks_in_flight_are_one_and_a_stampede_asks_once() -> None:
    bench = Bench()
    for ticket in range(5000):  # all guests of one studio, with its credential
        bench.ask(ticket)
    [start] = bench.starts()
    done = bench.answer(start)
    assert sorted(a.request_id for a in done if isinstance(a, Allow)) == list(range(5000))
    assert bench.ask(9000) == [Allow(9000, YES)] and len(bench.starts()) == 1


def test_the_first_asker_leaves_and_the_others_still_get_the_verdict() -> None:
    bench = Bench()
    bench.ask(1)
    bench.ask(2)
    assert bench.do(bench.core.left(0.0, 1)) == []
    assert bench.answer(bench.starts()[0]) == [Allow(2, YES)]
    bench.ask(3, "other")
    assert bench.do(bench.core.left(0.0, 3)) == [Stop(2, 0)]  # nobody waits: it is called off
    assert bench.core.held["out"] == 0


def test_a_check_that_eats_its_part_of_the_deadline_is_answered_at_once() -> None:
    bench = Bench(attempt_ms=5000.0)
    bench.ask(1, left=1500.0)
    assert bench.wait(749.0) == []
    assert bench.wait(1.0) == [NoVerdict(1, Reason.LATE, 100.0), Stop(1, 0)]
    assert bench.answer(bench.starts()[0]) == []  # after 1.4 s: nobody's
    assert bench.core.held["asks"] == bench.core.held["checks"] == 0


def test_a_second_answer_counts_for_nothing() -> None:
    bench = Bench()
    bench.ask(1, "a")
    [first] = bench.starts()
    bench.answer(first, ONCE)
    bench.ask(2, "b")
    assert bench.answer(first, NO) == []
    assert bench.answer(bench.starts()[1], ONCE) == [Allow(2, ONCE)]


def test_one_attempt_at_a_time_and_the_next_at_another_service() -> None:
    bench = Bench(services=2, attempt_ms=100.0, attempts=2)
    bench.ask(1)
    [first] = bench.starts()
    did = bench.wait(100.0)
    assert did[0] == Stop(first.check, 0) and isinstance(did[1], Start) and did[1].service != first.service
    assert bench.answer(first) == []
    assert bench.fail(did[1]) == [NoVerdict(1, Reason.FAILED, 100.0)]


def test_fail_open_passes_without_a_verdict_only_where_it_is_set() -> None:
    bench = Bench(attempts=1)
    bench.ask(1, "a", fail_open=True)
    bench.ask(2, "a")
    assert bench.fail(bench.starts()[0]) == [Allow(1, None), NoVerdict(2, Reason.FAILED, 100.0)]


def test_verdicts_are_kept_no_longer_than_both_allow() -> None:
    bench = Bench(cache_ms=1000.0, deny_ms=200.0)
    bench.ask(1, "yes")
    bench.ask(2, "no")
    bench.ask(3, "once")
    yes, no, once = bench.starts()
    bench.answer(yes, YES)
    bench.answer(no, NO)
    bench.answer(once, ONCE)
    bench.wait(199.0)
    assert bench.ask(4, "yes") == [Allow(4, YES)] and bench.ask(5, "no") == [Deny(5, NO)]
    assert isinstance(bench.ask(6, "once")[0], Start)
    bench.wait(1.0)
    assert isinstance(bench.ask(7, "no")[0], Start)
    bench.wait(800.0)
    assert isinstance(bench.ask(8, "yes", left=9000.0)[0], Start)


def test_the_cache_is_bounded() -> None:
    bench = Bench(cache_entries=10)
    for ticket in range(50):
        bench.ask(ticket, f"k{ticket}")
        bench.answer(bench.starts()[-1])
        bench.core.sent(ticket)
    assert bench.core.held["cached"] == 10 and bench.core.held["passed"] == 0
    assert bench.ask(99, "k45") == [Allow(99, YES)]


def test_a_credential_revoked_while_its_request_waits_for_the_counter_is_denied() -> None:
    bench = Bench()
    bench.ask(1)
    bench.answer(bench.starts()[0], ONCE)
    bench.ask(2)  # let pass; the counter is asked meanwhile
    bench.answer(bench.starts()[1], ONCE)
    bench.core.sent(2)  # this one is at a server already
    bench.ask(3)
    assert bench.answer(bench.starts()[2], NO) == [Deny(1, NO), Deny(3, NO)]


def test_a_service_that_fails_is_left_alone_and_comes_back_by_one_check_at_a_time() -> None:
    bench = Bench(attempts=1, open_ms=1000.0, waiting=100, attempt_ms=60_000.0)
    for ticket in range(3):
        bench.ask(ticket, f"k{ticket}")
        bench.fail(bench.starts()[-1])
    before = len(bench.starts())
    for ticket in range(10, 60):
        bench.ask(ticket, f"k{ticket}", left=60_000.0)
    assert len(bench.starts()) == before  # none while it is open
    bench.wait(1500.0)
    assert len(bench.starts()) == before + 1  # then one
    bench.answer(bench.starts()[-1])
    grown = len(bench.starts()) - before
    assert 2 <= grown < 20  # and not all at once: its limit was cut down by the failures
    while (start := next((s for s in bench.starts() if bench.core._live(s.check, s.attempt)), None)) is not None:
        bench.answer(start)
    assert sum(isinstance(action, Allow) for action in bench.did) == 50


def test_a_crowd_of_one_group_is_shed_and_the_others_wait_on() -> None:
    bench = Bench(per_service=1, total=1, waiting=100)
    bench.ask(0, "first")
    for ticket in range(1, 6):
        bench.ask(ticket, f"small-{ticket}", group="small")
    for ticket in range(100, 1100):
        bench.ask(ticket, f"big-{ticket}", group="big")
    shed = [action.request_id for action in bench.did if isinstance(action, NoVerdict)]
    assert len(shed) == 905 and min(shed) == 100 and bench.core.held["queued"] == 100
    assert {a.reason for a in bench.did if isinstance(a, NoVerdict)} == {Reason.SHED}


def test_a_check_that_waits_once_more_keeps_the_bound() -> None:
    bench = Bench(services=1, per_service=1, total=1, waiting=4, attempts=2)
    for ticket in range(10):
        bench.ask(ticket, "same")  # all join the check that is out: none of them waits
    for ticket in range(20, 24):
        bench.ask(ticket, f"k{ticket}", group="other")
    bench.fail(bench.starts()[0])
    assert bench.core._queued_requests.total <= 4


def test_shedding_costs_the_same_however_many_wait_and_from_however_many_groups() -> None:
    """Counted in steps, not in time: the queue's groups are touched a fixed number of times an ask."""
    steps = []

    class Counted(GroupedWaitQueue):
        def _resize(self, group: str, old: int, new: int) -> None:
            steps.append(self._largest)
            super()._resize(group, old, new)
            steps[-1] = abs(steps[-1] - self._largest)

    bench = Bench(per_service=1, total=1, waiting=3000)
    bench.core._queued_requests = Counted()
    for ticket in range(9000):
        bench.ask(ticket, f"k{ticket}", group=f"g{ticket % 4000}")
    assert bench.core.held["queued"] == 3000 and len(steps) < 3 * 9000 and max(steps) <= 1


@pytest.mark.parametrize(
    ("value", "ms"),
    [
        ("max-age=5", 5000.0),
        ("private, max-age=5", 0.0),
        ("no-store", 0.0),
        ("max-age=5, s-maxage=2", 2000.0),
        ("s-maxage=2, max-age=5", 2000.0),
        ("max-age=soon", 0.0),
        ("max-age=-4", 0.0),
        ("public", 0.0),
        ('max-age="7"', 7000.0),
    ],
)
def test_cache_control_is_read_as_a_shared_cache_must(value: str, ms: float) -> None:
    assert parse_cache_lifetime_ms([(b"Cache-Control", value.encode())]) == ms
    assert parse_cache_lifetime_ms([]) == 0.0


class Anything(RuleBasedStateMachine):
    """Asks, verdicts, failures, departures and time in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench(services=2, attempt_ms=200.0, attempts=2, per_service=2, total=3, waiting=4)
        self.seen = 0
        self.ticket = 0
        self.waiting: dict[int, float] = {}  # until when it must have its end
        self.out: dict[int, int] = {}
        self.held: set[int] = set()

    def _look(self) -> None:
        for action in self.bench.did[self.seen :]:
            match action:
                case Start(check=check, attempt=attempt):
                    assert check not in self.out, "two attempts of one check"
                    self.out[check] = attempt
                case Stop(check=check, attempt=attempt):
                    assert self.out.pop(check) == attempt
                case Allow(request_id=ticket):
                    del self.waiting[ticket]  # a KeyError: a second end
                    self.held.add(ticket)
                case Deny(request_id=ticket):
                    assert (ticket in self.waiting) != (ticket in self.held)
                    self.waiting.pop(ticket, None)
                    self.held.discard(ticket)
                case NoVerdict(request_id=ticket):
                    del self.waiting[ticket]
        self.seen = len(self.bench.did)

    @rule(key=st.sampled_from("abc"), left=st.sampled_from((100.0, 1000.0)), fail_open=st.booleans())
    def ask(self, key: str, left: float, fail_open: bool) -> None:
        self.ticket += 1
        self.waiting[self.ticket] = self.bench.now + 0.5 * left
        self.bench.ask(self.ticket, key, left, key, fail_open)
        self._look()

    @precondition(lambda self: self.out)
    @rule(data=st.data(), answer=st.sampled_from((YES, NO, ONCE, Answer(401))), fails=st.booleans())
    def ends(self, data: st.DataObject, answer: Answer, fails: bool) -> None:
        check = data.draw(st.sampled_from(sorted(self.out)))
        start = Start(check, self.out.pop(check), 0, None)
        self.bench.fail(start) if fails else self.bench.answer(start, answer)
        self._look()

    @rule(check=st.integers(1, 30), attempt=st.integers(0, 1))
    def late(self, check: int, attempt: int) -> None:
        if self.out.get(check) != attempt:
            before = self.bench.core.held
            assert self.bench.core.answered(self.bench.now, check, attempt, YES) == []
            assert self.bench.core.held == before

    @precondition(lambda self: self.waiting or self.held)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        ticket = data.draw(st.sampled_from(sorted(self.waiting) + sorted(self.held)))
        self.waiting.pop(ticket, None)
        self.held.discard(ticket)
        self.bench.do(self.bench.core.left(self.bench.now, ticket))
        self._look()

    @rule(ms=st.sampled_from((1.0, 60.0, 250.0, 2000.0)))
    def wait(self, ms: float) -> None:
        self.bench.wait(ms)
        self._look()

    @invariant()
    def bounds_are_kept(self) -> None:
        held = self.bench.core.held
        assert held["out"] == len(self.out) <= 3 and held["asks"] == len(self.waiting)
        queued = sum(len(check.requests) for check in self.bench.core._queue.values())
        assert self.bench.core._queued_requests.total == queued <= 4
        assert all(until >= self.bench.now for until in self.waiting.values()), "an ask past its time"

    def teardown(self) -> None:
        self.bench.wait(60_000.0)
        self._look()
        assert not self.waiting and not self.out
        held = self.bench.core.held
        assert held["asks"] == held["checks"] == held["queued"] == held["out"] == 0
        for ticket in list(self.held):
            self.bench.core.sent(ticket)
        assert self.bench.core.held["passed"] == 0


Anything.TestCase.settings = hypo(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)
TestAnything = Anything.TestCase
