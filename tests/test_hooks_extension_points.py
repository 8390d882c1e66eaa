"""Hooks at a gateway's extension points: what each may change; none may delay or break a request or loosen a limit."""

from __future__ import annotations

import json

import pytest

from martenstep.hooks.runner import HealthLimits
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_messages import AttemptFailure
from tests.engine_rig import NOTHING_HELD, START_MS, header
from tests.hook_rig import HookRig, release, words

EXCEEDS_STEP_LIMIT = words("text(for x in range(100000), n = 0 { n + 1 })")
ALLOWED_CHANGES = (
    'hooks { class: "read" class: "pay" class: "write" plan: "open" customer: "free" most_units: 4 '
    'path_prefix: "/inside/" } '
)


def first_rejection(rig: HookRig, customer: str = "anna") -> ev.SendLocalReply:
    """The response to the customer's first request that is rejected for its quota."""
    for _ in range(40):
        request_id = rig.send(customer=customer, accept_language="de-AT, en;q=0.5", accept="text/html;q=1, */*")
        rig.answer_counter_calls(0.0)
        found = rig.actions_of(ev.SendLocalReply, request_id)
        if found:
            return found[0]
        rig.serve(request_id)
    raise AssertionError("no request was rejected")


def test_a_refusal_hook_sets_the_content_but_neither_the_status_nor_an_earlier_retry() -> None:
    rig = HookRig(
        release(
            3,
            'on refusal(r, why) { Words { body: "${r.customer} ${r.language} ${r.accept} '
            '${why.status} ${why.reason} ${r.time}", content_type: "text/html", retry_after: 1ms, '
            'headers: [Header { name: "X-Help", value: "/help" }] } }',
        )
    )
    reply = first_rejection(rig)
    assert reply.status == 429 and reply.body == f"anna de-AT text/html 429 quota {START_MS / 1000:.15g}".encode()
    assert header(reply, "content-type") == "text/html" and header(reply, "x-help") == "/help"
    assert header(reply, "content-length") == str(len(reply.body)) and header(reply, "x-reason") == "quota"
    own = first_rejection(HookRig())
    assert header(reply, "retry-after-ms") == header(own, "retry-after-ms")  # the hook's 1 ms is earlier and is ignored
    assert float(header(own, "retry-after-ms") or 0) > 1
    notes = rig.actions_of(ev.LogEvent)
    [line] = [note for note in notes if note.event == "request finished" and note.fields["status"] == 429]
    assert line.fields["hooks"] == 3 and rig.held() == NOTHING_HELD


def test_a_refusal_hook_may_delay_the_retry_up_to_the_maximum_of_the_settings() -> None:
    rig = HookRig(
        release(1, 'on refusal(r, why) { Words { body: "", content_type: "", retry_after: 10m } }'),
        text="max_retry_after_ms: 30000",
    )
    reply = first_rejection(rig)
    assert header(reply, "retry-after-ms") == "30000.000" and header(reply, "content-type") == "text/plain"


@pytest.mark.parametrize(
    ("source", "error_kind"),
    [
        (EXCEEDS_STEP_LIMIT, "steps"),
        (words('for x in range(40), s = "ab" { s + s }'), "bytes"),
        (words("text(1 / 0)"), "number"),
        (words("text([1][5])"), "index"),
        (
            'on refusal(r, why) { Words { body: "x", content_type: "text/plain", headers: [Header { name: "x-a", '
            'value: "1\\nset-cookie: a" }] } }',
            "border",
        ),
        (
            'on refusal(r, why) { Words { body: "x", content_type: "text/plain", headers: [Header { '
            'name: "x_customer", value: "anna" }] } }',
            "border",
        ),
    ],
)
def test_a_failed_refusal_hook_leaves_the_default_response(source: str, error_kind: str) -> None:
    rig = HookRig(release(1, source))
    reply = first_rejection(rig)
    assert reply.status == 429 and json.loads(reply.body)["reason"] == "quota"
    assert rig.hook_releases.counts == {f"refusal {error_kind}": 1} and rig.held() == NOTHING_HELD
    assert len(rig.responses(reply.request_id)) == 1


def test_a_hook_is_ended_at_its_time_limit() -> None:
    rig = HookRig(release(1, words('for x in range(1000), s = "" { s }')), begin_deadline=lambda: lambda: True)
    assert json.loads(first_rejection(rig).body)["reason"] == "quota" and rig.hook_releases.counts == {
        "refusal late": 1
    }


def test_each_request_has_one_response_though_its_refusal_hook_always_fails() -> None:
    rig = HookRig(release(1, EXCEEDS_STEP_LIMIT), limits=HealthLimits(min_runs=1000))
    refusals = 0
    for _ in range(200):
        request_id = rig.send(customer="anna")
        rig.answer_counter_calls(0.0)
        if rig.actions_of(ev.OpenAttempt, request_id):
            rig.serve(request_id)
        refusals += bool(rig.actions_of(ev.SendLocalReply, request_id))
        assert len(rig.responses(request_id)) == 1
    assert refusals >= 150 and rig.hook_releases.counts["refusal steps"] == 10  # then its circuit breaker opens
    assert rig.hook_releases.counts["refusal left alone"] == refusals - 10 and rig.held() == NOTHING_HELD


def test_classify_changes_class_customer_and_units_as_the_settings_allow() -> None:
    rig = HookRig(
        release(1, 'on classify(r) { Class { class: "pay", customer: "free", units: 3 } }'), text=ALLOWED_CHANGES
    )
    request_id = rig.send(customer="anna")
    rig.serve(request_id)
    [line] = [note.fields for note in rig.actions_of(ev.LogEvent) if note.event == "request finished"]
    assert (line["class"], line["customer"], line["plan"]) == ("pay", "free", "open")


@pytest.mark.parametrize(
    "changes",
    [
        'class: "read"',  # the request is of class "pay": under "read" it could be repeated
        'class: "write"',
        'customer: "anna"',
        'plan: "plain"',
        "units: 1",
        "units: 5",
        "units: 0 - 1",
    ],
)
def test_classify_results_that_would_loosen_a_limit_are_rejected(changes: str) -> None:
    rig = HookRig(release(1, f"on classify(r) {{ Class {{ {changes} }} }}"), text=ALLOWED_CHANGES)
    request_id = rig.send("/pay/1", customer="free")
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)  # indeterminate: the attempt may have been executed
    [line] = [note.fields for note in rig.actions_of(ev.LogEvent) if note.event == "request finished"]
    assert (line["class"], line["customer"], line["plan"], line["attempts"]) == ("pay", "free", "open", 1)
    assert rig.hook_releases.counts == {"classify border": 1}


def test_a_class_chosen_by_classify_may_shorten_the_deadline_but_not_extend_it() -> None:
    text = ALLOWED_CHANGES + (
        'class { name: "short" aim_ms: 100 deadline_ms: 500 } class { name: "long" aim_ms: 1 deadline_ms: 9000 }'
    )
    for name, deadline_ms in (("short", 500.0), ("long", 4000.0)):
        rig = HookRig(
            release(1, f'on classify(r) {{ Class {{ class: "{name}" }} }}'), text=text + f' hooks {{ class: "{name}" }}'
        )
        request_id = rig.send(customer="free")
        assert header(rig.last_attempt(request_id), "x-deadline-ms") == f"{deadline_ms:.0f}"
        rig.pass_time(deadline_ms)
        assert rig.reply(request_id).status in (503, 504) and rig.held() == NOTHING_HELD


def test_the_sending_hook_runs_once_for_all_attempts() -> None:
    rig = HookRig(
        release(
            1,
            'on sending(r) { Sending { path: "/inside/${count("n")}", headers: '
            '[Header { name: "x-studio", value: r.customer }, '
            'Header { name: "accept", value: "a/b" }] } }',
        ),
        text=ALLOWED_CHANGES,
    )
    request_id = rig.send(accept="image/png")
    first = rig.last_attempt(request_id)
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    second = rig.last_attempt(request_id)
    assert (first.attempt, second.attempt) == (0, 1) and first.target == second.target == b"/inside/1"
    assert header(second, "x-studio") == "free" and [v for n, v in second.headers if n == b"accept"] == [b"a/b"]
    rig.serve(request_id)
    assert rig.hook_releases.counts == {"sending good": 1}


@pytest.mark.parametrize(
    "path", ["/pay/1", "/nowhere", "/inside/../pay/1", "/inside/%2e%2e/pay", "/in side", "inside/1"]
)
def test_the_sending_hook_cannot_set_a_path_of_another_class_or_an_invalid_one(path: str) -> None:
    rig = HookRig(release(1, f'on sending(r) {{ Sending {{ path: "{path}" }} }}'), text=ALLOWED_CHANGES)
    assert rig.last_attempt(rig.send("/read/7?a=b")).target == b"/read/7?a=b"
    assert rig.hook_releases.counts == {"sending border": 1}


def test_the_sending_hook_may_set_a_path_of_the_same_class() -> None:
    rig = HookRig(release(1, 'on sending(r) { Sending { path: replace(r.path, "old", "new") } }'))
    assert rig.last_attempt(rig.send("/read/old?a=b")).target == b"/read/new?a=b"


@pytest.mark.parametrize(
    "name", ["x-customer", "X-Request-Id", "idempotency-key", "x-attempt", "x_deadline_ms", "host"]
)
def test_the_sending_hook_cannot_set_protected_headers(name: str) -> None:
    rig = HookRig(release(1, f'on sending(r) {{ Sending {{ headers: [Header {{ name: "{name}", value: "1" }}] }} }}'))
    rig.send("/write/free/1", method="POST")
    assert rig.hook_releases.counts == {"sending border": 1}


def test_the_answer_hook_adds_headers_and_the_log_hook_adds_fields() -> None:
    rig = HookRig(
        release(
            1,
            'on answer(r, a) { [Header { name: "etag", value: header(a.headers, "etag") + "!" }] }',
            'on log(r, a) { [Field { name: "studio", value: "${r.customer} ${a.status} ${a.attempts}" }] }',
        )
    )
    request_id = rig.send()
    rig.serve(request_id, 201, [(b"etag", b"e")])
    [passed] = rig.actions_of(ev.RelayResponse, request_id)
    assert [value for name, value in passed.headers if name == b"etag"] == [b"e!"]
    [line] = [note.fields for note in rig.actions_of(ev.LogEvent) if note.event == "request finished"]
    assert line["hook_studio"] == "free 201 1"


def test_hooks_cannot_read_credential_headers() -> None:
    rig = HookRig(
        release(
            1,
            'on sending(r) { Sending { headers: [Header { name: "x-seen", value: '
            'header(r.headers, "cookie") + header(r.headers, "authorization") + "none" }] } }',
        )
    )
    assert header(rig.last_attempt(rig.send(cookie="secret", authorization="secret")), "x-seen") == "none"


def test_requests_in_flight_keep_the_release_that_they_began_with() -> None:
    source = 'on answer(r, a) {{ [Header {{ name: "x-release", value: "{}" }}] }}'
    rig = HookRig(release(1, source.format("one")), servers=tuple(range(1, 301)))
    request_ids = [rig.send() for _ in range(1000)]
    in_flight = [
        request_id
        for request_id in request_ids
        if rig.actions_of(ev.OpenAttempt, request_id) and not rig.responses(request_id)
    ]
    rig.hook_releases.replace_releases([release(1, source.format("one")), release(2, source.format("two"))])
    late = rig.send()
    for request_id in [*in_flight, late]:
        if not rig.responses(request_id):
            rig.serve(request_id)
    sent = {action.request_id: header(action, "x-release") for action in rig.actions_of(ev.RelayResponse)}
    assert (
        len(in_flight) > 100
        and all(sent[request_id] == "one" for request_id in in_flight)
        and rig.held() == NOTHING_HELD
    )
    newest = rig.send()
    rig.serve(newest)
    assert header(rig.actions_of(ev.RelayResponse, newest)[0], "x-release") == "two"


def test_a_hook_for_some_customers_does_not_run_for_others() -> None:
    rig = HookRig(release(1, words('"for anna"'), customers=("anna",)))
    assert first_rejection(rig).body == b"for anna"
    other = HookRig(release(1, words('"for bert"'), customers=("bert",)))
    assert json.loads(first_rejection(other).body)["reason"] == "quota" and not other.hook_releases.counts
