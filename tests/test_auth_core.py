"""The logic of authorization checks: single edge cases, and random orders of events."""

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

ALLOWED, DENIED = Answer(200, cache_lifetime_ms=10_000.0), Answer(403, cache_lifetime_ms=10_000.0)
ALLOWED_UNCACHED = Answer(200)


class CoreDriver:
    """A core with a simulated clock; records all actions."""

    def __init__(self, services: int = 1, **rules: float) -> None:
        self.core = Core(Rules(**rules), services, random.Random(1))  # type: ignore[arg-type]
        self.now = 0.0
        self.actions: list[Action] = []

    def record(self, actions: list[Action]) -> list[Action]:
        self.actions += actions
        return actions

    def ask(
        self, request_id: int, key: str = "k", remaining_ms: float = 1000.0, group: str = "g", fail_open: bool = False
    ) -> list[Action]:
        return self.record(self.core.ask(self.now, request_id, key.encode(), remaining_ms, group, fail_open, key))

    def answer(self, start: Start, answer: Answer = ALLOWED) -> list[Action]:
        return self.record(self.core.answered(self.now, start.check, start.attempt, answer))

    def fail(self, start: Start) -> list[Action]:
        return self.record(self.core.failed(self.now, start.check, start.attempt))

    def wait(self, ms: float) -> list[Action]:
        """Advance the clock, handling each timer when it is due; return the actions of all timers."""
        until, actions = self.now + ms, []
        while (at := self.core.next_at()) is not None and at <= until:
            self.now = max(self.now, at)
            actions += self.record(self.core.tick(self.now))
        self.now = until
        return actions

    def starts(self) -> list[Start]:
        return [action for action in self.actions if isinstance(action, Start)]


def test_concurrent_requests_with_one_credential_share_one_check() -> None:
    driver = CoreDriver()
    for request_id in range(5000):
        driver.ask(request_id)
    [start] = driver.starts()
    actions = driver.answer(start)
    assert sorted(a.request_id for a in actions if isinstance(a, Allow)) == list(range(5000))
    assert driver.ask(9000) == [Allow(9000, ALLOWED)] and len(driver.starts()) == 1


def test_a_check_continues_after_its_first_client_disconnects_and_is_cancelled_after_the_last() -> None:
    driver = CoreDriver()
    driver.ask(1)
    driver.ask(2)
    assert driver.record(driver.core.left(0.0, 1)) == []
    assert driver.answer(driver.starts()[0]) == [Allow(2, ALLOWED)]
    driver.ask(3, "other")
    assert driver.record(driver.core.left(0.0, 3)) == [Stop(2, 0)]  # no request waits for it any more
    assert driver.core.held["out"] == 0


def test_a_check_that_takes_its_share_of_the_deadline_ends_without_a_verdict() -> None:
    driver = CoreDriver(attempt_timeout_ms=5000.0)
    driver.ask(1, remaining_ms=1500.0)
    assert driver.wait(749.0) == []
    assert driver.wait(1.0) == [NoVerdict(1, Reason.LATE, 100.0), Stop(1, 0)]
    assert driver.answer(driver.starts()[0]) == []  # a late verdict, which no request waits for
    assert driver.core.held["asks"] == driver.core.held["checks"] == 0


def test_a_second_answer_to_an_attempt_is_ignored() -> None:
    driver = CoreDriver()
    driver.ask(1, "a")
    [first] = driver.starts()
    driver.answer(first, ALLOWED_UNCACHED)
    driver.ask(2, "b")
    assert driver.answer(first, DENIED) == []
    assert driver.answer(driver.starts()[1], ALLOWED_UNCACHED) == [Allow(2, ALLOWED_UNCACHED)]


def test_a_check_has_one_attempt_at_a_time_and_the_next_is_at_another_service() -> None:
    driver = CoreDriver(services=2, attempt_timeout_ms=100.0, max_attempts=2)
    driver.ask(1)
    [first] = driver.starts()
    actions = driver.wait(100.0)
    assert actions[0] == Stop(first.check, 0)
    assert isinstance(actions[1], Start) and actions[1].service != first.service
    assert driver.answer(first) == []
    assert driver.fail(actions[1]) == [NoVerdict(1, Reason.FAILED, 100.0)]


def test_without_a_verdict_only_requests_that_fail_open_are_allowed() -> None:
    driver = CoreDriver(max_attempts=1)
    driver.ask(1, "a", fail_open=True)
    driver.ask(2, "a")
    assert driver.fail(driver.starts()[0]) == [Allow(1, None), NoVerdict(2, Reason.FAILED, 100.0)]


def test_verdicts_are_cached_no_longer_than_the_service_and_the_limits_allow() -> None:
    driver = CoreDriver(max_allow_cache_ms=1000.0, max_deny_cache_ms=200.0)
    driver.ask(1, "yes")
    driver.ask(2, "no")
    driver.ask(3, "once")
    yes, no, once = driver.starts()
    driver.answer(yes, ALLOWED)
    driver.answer(no, DENIED)
    driver.answer(once, ALLOWED_UNCACHED)
    driver.wait(199.0)
    assert driver.ask(4, "yes") == [Allow(4, ALLOWED)] and driver.ask(5, "no") == [Deny(5, DENIED)]
    assert isinstance(driver.ask(6, "once")[0], Start)
    driver.wait(1.0)
    assert isinstance(driver.ask(7, "no")[0], Start)
    driver.wait(800.0)
    assert isinstance(driver.ask(8, "yes", remaining_ms=9000.0)[0], Start)


def test_the_cache_is_bounded() -> None:
    driver = CoreDriver(max_cache_entries=10)
    for request_id in range(50):
        driver.ask(request_id, f"k{request_id}")
        driver.answer(driver.starts()[-1])
        driver.core.sent(request_id)
    assert driver.core.held["cached"] == 10 and driver.core.held["passed"] == 0
    assert driver.ask(99, "k45") == [Allow(99, ALLOWED)]


def test_a_credential_revoked_while_its_request_waits_for_the_counter_is_denied() -> None:
    driver = CoreDriver()
    driver.ask(1)
    driver.answer(driver.starts()[0], ALLOWED_UNCACHED)
    driver.ask(2)  # allowed, and now waits for the counter
    driver.answer(driver.starts()[1], ALLOWED_UNCACHED)
    driver.core.sent(2)  # already forwarded to an endpoint
    driver.ask(3)
    assert driver.answer(driver.starts()[2], DENIED) == [Deny(1, DENIED), Deny(3, DENIED)]


def test_the_breaker_of_a_failing_service_opens_then_admits_one_check_and_then_a_growing_number() -> None:
    driver = CoreDriver(max_attempts=1, initial_breaker_open_ms=1000.0, max_waiting=100, attempt_timeout_ms=60_000.0)
    for request_id in range(3):
        driver.ask(request_id, f"k{request_id}")
        driver.fail(driver.starts()[-1])
    before = len(driver.starts())
    for request_id in range(10, 60):
        driver.ask(request_id, f"k{request_id}", remaining_ms=60_000.0)
    assert len(driver.starts()) == before  # the breaker is open
    driver.wait(1500.0)
    assert len(driver.starts()) == before + 1  # half-open: one check
    driver.answer(driver.starts()[-1])
    started = len(driver.starts()) - before
    assert 2 <= started < 20  # not all at once, because the failures reduced the limit
    while in_flight := [s for s in driver.starts() if driver.core._find_in_flight(s.check, s.attempt)]:
        driver.answer(in_flight[0])
    assert sum(isinstance(action, Allow) for action in driver.actions) == 50


def test_a_burst_of_one_group_is_shed_and_other_groups_keep_waiting() -> None:
    driver = CoreDriver(max_in_flight_per_service=1, max_in_flight=1, max_waiting=100)
    driver.ask(0, "first")
    for request_id in range(1, 6):
        driver.ask(request_id, f"small-{request_id}", group="small")
    for request_id in range(100, 1100):
        driver.ask(request_id, f"big-{request_id}", group="big")
    shed = [action.request_id for action in driver.actions if isinstance(action, NoVerdict)]
    assert len(shed) == 905 and min(shed) == 100 and driver.core.held["queued"] == 100
    assert {a.reason for a in driver.actions if isinstance(a, NoVerdict)} == {Reason.SHED}


def test_a_check_that_waits_for_a_further_attempt_does_not_exceed_the_limit_of_waiting_requests() -> None:
    driver = CoreDriver(services=1, max_in_flight_per_service=1, max_in_flight=1, max_waiting=4, max_attempts=2)
    for request_id in range(10):
        driver.ask(request_id, "same")  # all share the check that is in flight, so none of them is queued
    for request_id in range(20, 24):
        driver.ask(request_id, f"k{request_id}", group="other")
    driver.fail(driver.starts()[0])
    assert driver.core._queued_requests.total <= 4


def test_the_cost_of_shedding_does_not_grow_with_waiting_requests_or_groups() -> None:
    """Counts steps instead of measuring time: each request updates the group sizes a fixed number of times."""
    steps = []

    class CountingQueue(GroupedWaitQueue):
        def _update_size(self, group: str, old_size: int, new_size: int) -> None:
            steps.append(self._largest_size)
            super()._update_size(group, old_size, new_size)
            steps[-1] = abs(steps[-1] - self._largest_size)

    driver = CoreDriver(max_in_flight_per_service=1, max_in_flight=1, max_waiting=3000)
    driver.core._queued_requests = CountingQueue()
    for request_id in range(9000):
        driver.ask(request_id, f"k{request_id}", group=f"g{request_id % 4000}")
    assert driver.core.held["queued"] == 3000 and len(steps) < 3 * 9000 and max(steps) <= 1


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
def test_cache_control_is_interpreted_as_by_a_shared_cache(value: str, ms: float) -> None:
    assert parse_cache_lifetime_ms([(b"Cache-Control", value.encode())]) == ms
    assert parse_cache_lifetime_ms([]) == 0.0


class RandomEvents(RuleBasedStateMachine):
    """Requests, verdicts, failures, disconnections and the passing of time in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = CoreDriver(
            services=2,
            attempt_timeout_ms=200.0,
            max_attempts=2,
            max_in_flight_per_service=2,
            max_in_flight=3,
            max_waiting=4,
        )
        self.actions_checked = 0
        self.last_request_id = 0
        self.waiting: dict[int, float] = {}  # request ids, with the time by which each must have an outcome
        self.in_flight: dict[int, int] = {}  # the attempt of each check
        self.allowed: set[int] = set()  # request ids that have not been forwarded

    def _check_actions(self) -> None:
        """Apply the new actions to the model; each must be possible there."""
        for action in self.driver.actions[self.actions_checked :]:
            match action:
                case Start(check=check, attempt=attempt):
                    assert check not in self.in_flight, "two attempts of one check"
                    self.in_flight[check] = attempt
                case Stop(check=check, attempt=attempt):
                    assert self.in_flight.pop(check) == attempt
                case Allow(request_id=request_id):
                    del self.waiting[request_id]  # a KeyError means a second outcome
                    self.allowed.add(request_id)
                case Deny(request_id=request_id):
                    assert (request_id in self.waiting) != (request_id in self.allowed)
                    self.waiting.pop(request_id, None)
                    self.allowed.discard(request_id)
                case NoVerdict(request_id=request_id):
                    del self.waiting[request_id]
        self.actions_checked = len(self.driver.actions)

    @rule(key=st.sampled_from("abc"), remaining_ms=st.sampled_from((100.0, 1000.0)), fail_open=st.booleans())
    def ask(self, key: str, remaining_ms: float, fail_open: bool) -> None:
        self.last_request_id += 1
        self.waiting[self.last_request_id] = self.driver.now + 0.5 * remaining_ms
        self.driver.ask(self.last_request_id, key, remaining_ms, key, fail_open)
        self._check_actions()

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), answer=st.sampled_from((ALLOWED, DENIED, ALLOWED_UNCACHED, Answer(401))), fails=st.booleans())
    def end_attempt(self, data: st.DataObject, answer: Answer, fails: bool) -> None:
        check = data.draw(st.sampled_from(sorted(self.in_flight)))
        start = Start(check, self.in_flight.pop(check), 0, None)
        self.driver.fail(start) if fails else self.driver.answer(start, answer)
        self._check_actions()

    @rule(check=st.integers(1, 30), attempt=st.integers(0, 1))
    def late_answer(self, check: int, attempt: int) -> None:
        if self.in_flight.get(check) != attempt:
            before = self.driver.core.held
            assert self.driver.core.answered(self.driver.now, check, attempt, ALLOWED) == []
            assert self.driver.core.held == before

    @precondition(lambda self: self.waiting or self.allowed)
    @rule(data=st.data())
    def let_client_disconnect(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.waiting) + sorted(self.allowed)))
        self.waiting.pop(request_id, None)
        self.allowed.discard(request_id)
        self.driver.record(self.driver.core.left(self.driver.now, request_id))
        self._check_actions()

    @rule(ms=st.sampled_from((1.0, 60.0, 250.0, 2000.0)))
    def wait(self, ms: float) -> None:
        self.driver.wait(ms)
        self._check_actions()

    @invariant()
    def limits_are_kept(self) -> None:
        held = self.driver.core.held
        assert held["out"] == len(self.in_flight) <= 3 and held["asks"] == len(self.waiting)
        queued = sum(len(check.requests) for check in self.driver.core._queue.values())
        assert self.driver.core._queued_requests.total == queued <= 4
        assert all(until >= self.driver.now for until in self.waiting.values()), "a request waits past its time"

    def teardown(self) -> None:
        self.driver.wait(60_000.0)
        self._check_actions()
        assert not self.waiting and not self.in_flight
        held = self.driver.core.held
        assert held["asks"] == held["checks"] == held["queued"] == held["out"] == 0
        for request_id in list(self.allowed):
            self.driver.core.sent(request_id)
        assert self.driver.core.held["passed"] == 0


RandomEvents.TestCase.settings = hypo(max_examples=150, stateful_step_count=40, deadline=None, derandomize=True)
TestRandomEvents = RandomEvents.TestCase


# Denials made for one client --------------------------------------------------------------------------------


def session(number: int) -> Answer:
    """A denial with a session of its own; the service would let it be cached."""
    return Answer(401, ((b"set-cookie", b"s=%d" % number), (b"www-authenticate", b"Form")), b"log in", 10_000.0)


def test_a_denial_made_for_one_client_goes_to_no_other_request() -> None:
    """Guards against visitors who wait for one check and are given one session."""
    driver = CoreDriver(attempt_timeout_ms=1e6)
    for request_id in range(1, 6):
        driver.ask(request_id, remaining_ms=1e6)
    [first] = driver.starts()
    assert [a for a in driver.answer(first, session(0)) if isinstance(a, Deny)] == [Deny(1, session(0))]
    own = driver.starts()[1:]
    assert len(own) == 4  # each other request gets a check of its own at once
    denied = [action for start in reversed(own) for action in driver.answer(start, session(start.check))]
    assert {action.request_id for action in denied if isinstance(action, Deny)} == {2, 3, 4, 5}
    assert len({action.answer for action in denied if isinstance(action, Deny)}) == 4
    assert driver.core.held == {"asks": 0, "checks": 0, "queued": 0, "cached": 0, "passed": 0, "out": 0}


def test_requests_after_a_personal_denial_are_checked_alone_until_a_verdict_can_be_shared() -> None:
    driver = CoreDriver()
    driver.ask(1)
    driver.answer(driver.starts()[-1], session(1))
    driver.ask(2)
    driver.ask(3)
    assert len(driver.starts()) == 3
    driver.answer(driver.starts()[-1], ALLOWED_UNCACHED)
    driver.ask(4)
    driver.ask(5)
    assert len(driver.starts()) == 4


def test_without_its_owner_a_personal_denial_goes_to_nobody() -> None:
    driver = CoreDriver()
    driver.ask(1)
    driver.ask(2)
    driver.record(driver.core.left(0.0, 1))
    assert [a for a in driver.answer(driver.starts()[0], session(1)) if isinstance(a, Deny)] == []
    assert driver.answer(driver.starts()[-1], session(2)) == [Deny(2, session(2))]


def test_a_request_allowed_before_is_denied_by_a_personal_denial_without_what_was_made_for_another() -> None:
    driver = CoreDriver()
    driver.ask(1)
    driver.answer(driver.starts()[-1], ALLOWED_UNCACHED)
    driver.ask(2)
    actions = driver.answer(driver.starts()[-1], Answer(302, ((b"location", b"/login?for=2"),)))
    assert actions == [Deny(1, Answer(401)), Deny(2, Answer(302, ((b"location", b"/login?for=2"),)))]


def test_waiting_requests_with_checks_of_their_own_stay_within_the_limit_of_waiting_requests() -> None:
    driver = CoreDriver(max_in_flight=1, max_waiting=3)
    for request_id in range(10):
        driver.ask(request_id)
    actions = driver.answer(driver.starts()[0], session(0))
    shed = [action for action in actions if isinstance(action, NoVerdict)]
    assert len(shed) == 5 and {action.reason for action in shed} == {Reason.SHED}
