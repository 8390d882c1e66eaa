"""A request whose hook fails gets the default, and a hook that fails too often is not run for a while."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from martenstep.hooks import result_validation
from martenstep.hooks.bytecode import Program
from martenstep.hooks.compiler import compile_source
from martenstep.hooks.release import Hook, Release
from martenstep.hooks.run_context import MAX_STEPS, Budget, HookRunError
from martenstep.hooks.runner import (
    FAILURE_WINDOW_MS,
    MAX_FAILURES,
    MAX_LOGGED_FAILURES,
    OPEN_MS,
    HealthLimits,
    Runner,
    RunnerContext,
)
from martenstep.hooks.virtual_machine import VirtualMachine

REQUEST: tuple[Any, ...] = ("GET", "/p/1", "h", "anna", "studio", "read", 1.0, "de", "text/html", [], 0.0)
REFUSAL = (429.0, "quota", 2500.0)
EXCEEDS_STEPS = 'Words { body: text(for x in range(1000), n = 0 { n + 1 }), content_type: "text/plain" }'
DEFAULT = result_validation.RejectionContent(b"too much", "text/plain", 2500.0, ())


class RunnerFixture:
    """A runner with one hook at the refusal point, and the events that it logged."""

    def __init__(self, body: str, **changes: Any) -> None:
        self.events: list[str] = []
        self.now = 1_000_000.0
        program = compile_source(f"on refusal(r, why) {{ {body} }}")
        release = Release(1, "", (Hook("refusal", "words.hook", program),))
        context = RunnerContext(lambda event, fields: self.events.append(event), **changes)
        self.runner = Runner(release, HealthLimits(), context)

    def reject(self, arguments: tuple[Any, ...] = (REQUEST, REFUSAL)) -> result_validation.RejectionContent:
        return self.runner.call(
            self.now,
            "refusal",
            "anna",
            "studio",
            lambda: arguments,
            lambda returned: result_validation.validate_rejection(returned, 2500.0, result_validation.ResultLimits()),
            DEFAULT,
        )


def test_a_hook_sets_the_body_of_a_rejection_but_no_earlier_retry_after() -> None:
    fixture = RunnerFixture('Words { body: "wait ${why.retry_after}", content_type: "text/plain", retry_after: 1ms }')
    content = fixture.reject()
    assert content.body == b"wait 2.5s" and content.retry_after_ms == 2500.0
    assert fixture.runner.counts == {"refusal good": 1} and not fixture.events


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        (EXCEEDS_STEPS, "steps"),
        ('Words { body: for x in range(40), s = "ab" { s + s }, content_type: "text/plain" }', "bytes"),
        ('Words { body: text(1 / 0), content_type: "text/plain" }', "number"),
        ('Words { body: text([1][why.status]), content_type: "text/plain" }', "index"),
        ('Words { body: "x", content_type: "image/png" }', "border"),
        (
            'Words { body: "x", content_type: "text/plain", headers: [Header { name: "x-a", '
            'value: "b\\nset-cookie: c" }] }',
            "border",
        ),
        (
            'Words { body: "x", content_type: "text/plain", headers: [Header { name: "Retry-After", value: "0" }] }',
            "border",
        ),
        ('Words { body: "x", content_type: "text/plain", retry_after: 1000000h * 1000000 }', "border"),
    ],
)
def test_a_failed_hook_results_in_the_default(body: str, kind: str) -> None:
    fixture = RunnerFixture(body)
    assert fixture.reject() == DEFAULT and fixture.runner.counts == {f"refusal {kind}": 1}
    assert fixture.events == ["hook failed"]


def test_the_gateway_starts_the_deadline_of_each_run() -> None:
    started: list[int] = []

    def begin_deadline() -> Callable[[], bool]:
        started.append(0)
        return lambda: True

    fixture = RunnerFixture(
        'Words { body: for x in range(1000), s = "" { s }, content_type: "text/plain" }', begin_deadline=begin_deadline
    )
    assert fixture.reject() == DEFAULT and fixture.runner.counts == {"refusal late": 1} and started == [0]


def test_ill_typed_arguments_result_in_the_default() -> None:
    fixture = RunnerFixture('Words { body: "a" + r.path, content_type: "text/plain" }')
    assert fixture.reject(((), ())) == DEFAULT and fixture.runner.counts == {"refusal ill-typed": 1}


def test_the_circuit_breaker_opens_after_repeated_failures_and_closes_after_a_successful_run() -> None:
    fixture = RunnerFixture('Words { body: text([0][floor(r.time)]), content_type: "text/plain" }')
    failing, succeeding = (*REQUEST[:-1], 7.0), REQUEST
    for _ in range(MAX_FAILURES):
        assert fixture.reject((failing, REFUSAL)) == DEFAULT
    assert fixture.events == ["hook failed"] * MAX_LOGGED_FAILURES + ["hook left alone"]
    # The hook is not run, although it would succeed now.
    assert fixture.reject() == DEFAULT and fixture.runner.counts["refusal left alone"] == 1
    fixture.now += OPEN_MS
    assert fixture.reject((failing, REFUSAL)) == DEFAULT  # the one run while half-open
    assert fixture.reject() == DEFAULT and fixture.runner.counts["refusal breaks"] == 2
    fixture.now += OPEN_MS
    assert fixture.reject((succeeding, REFUSAL)).body == b"0"
    for _ in range(MAX_FAILURES - 1):
        fixture.reject((failing, REFUSAL))
    fixture.now += FAILURE_WINDOW_MS
    # Failures of an earlier window do not count.
    assert fixture.reject().body == b"0" and fixture.runner.counts["refusal breaks"] == 2


def test_a_point_without_a_hook_results_in_the_default() -> None:
    fixture = RunnerFixture("Words {}")
    assert fixture.runner.has("refusal") and not fixture.runner.has("log")
    assert fixture.runner.call(0.0, "log", "", "", tuple, lambda result: result, "default") == "default"
    assert not fixture.runner.counts


def test_a_run_that_exceeds_its_budget_is_charged_the_whole_budget() -> None:
    fixture = RunnerFixture(EXCEEDS_STEPS)
    fixture.reject()
    assert fixture.runner.steps_used == MAX_STEPS
    program: Program = compile_source('test "t" { true }')
    machine = VirtualMachine(program, budget=Budget(steps=1))
    with pytest.raises(HookRunError, match="steps"):
        machine.run(0, ())
