"""The engine in virtual time: routing, attempts, failures, deadlines, counter calls and shutdown."""

from __future__ import annotations

import json

import pytest

from martenstep.policy import messages as api
from martenstep.policy.messages import CallResult, EndpointListScope, EndpointState
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine.timers import RequestDeadline
from martenstep.proxy.engine_messages import AttemptFailure
from tests.engine_rig import NOTHING_HELD, Rig, endpoint_list_event, header


def test_request_is_forwarded_without_connection_headers_and_response_relayed() -> None:
    rig = Rig()
    request_id = rig.send(x_request_id="mine", connection="close, x-hop", x_hop="1", te="trailers", accept="image/*")
    sent = rig.last_attempt(request_id)
    assert (sent.attempt, sent.method, sent.target) == (0, b"GET", b"/read/1")
    names = {name for name, _ in sent.headers}
    assert not names & {b"connection", b"x-hop", b"te"}
    assert header(sent, "x-request-id") == "mine" and header(sent, "x-attempt") == "0"
    assert header(sent, "via") == "1.1 door-0" and header(sent, "accept") == "image/*"
    assert header(sent, "x-forwarded-for") == "10.0.0.1"
    rig.serve(request_id, 201, [(b"etag", b"1"), (b"connection", b"keep-alive"), (b"keep-alive", b"timeout=5")])
    [passed] = rig.actions_of(ev.RelayResponse, request_id)
    assert (passed.status, passed.complete) == (201, True)
    assert header(passed, "etag") == "1" and header(passed, "keep-alive") is None
    assert header(passed, "x-request-id") == "mine"
    assert rig.held() == NOTHING_HELD


def test_a_client_cannot_have_removed_what_the_gateway_decides_by() -> None:
    """Guards against a key or a customer that the gateway has seen and the endpoint does not."""
    rig = Rig()
    request_id = rig.send(
        "/write/free/1", method="POST", connection="idempotency-key, x-hop", idempotency_key="k", x_hop="1"
    )
    sent = rig.last_attempt(request_id)
    assert header(sent, "idempotency-key") == "k" and header(sent, "x-hop") is None
    sent = rig.last_attempt(rig.send(connection="X-Customer"))
    assert header(sent, "x-customer") == "free" and header(sent, "connection") is None


def test_request_id_is_generated_if_missing_and_truncated_if_too_long() -> None:
    rig = Rig()
    one, two = rig.last_attempt(rig.send()), rig.last_attempt(rig.send())
    assert header(one, "x-request-id") and header(one, "x-request-id") != header(two, "x-request-id")
    long = rig.last_attempt(rig.send(x_request_id="r" * 5000))
    assert header(long, "x-request-id") == "r" * 200


@pytest.mark.parametrize(
    ("path", "customer", "method", "status", "reason"),
    [
        ("/nope", "free", "GET", 404, "no route"),
        ("/write/free/1", "free", "GET", 404, "no route"),  # the route has another method
        ("/read/1", "nobody", "GET", 403, "unknown customer"),
        ("/read/1", "", "GET", 403, "no customer"),
        ("/read/../pay/1", "free", "GET", 400, "bad target"),
        ("/read/%2e%2E/pay/1", "free", "GET", 400, "bad target"),
        ("/read/1%00", "free", "GET", 400, "bad target"),
        ("example.org:443", "free", "CONNECT", 405, "no tunnels"),
        ("*", "free", "GET", 400, "bad target"),
        ("https://photos.example/read/1", "free", "GET", 421, "misdirected"),
    ],
)
def test_request_that_cannot_be_routed_is_rejected_without_an_attempt(
    path: str, customer: str, method: str, status: int, reason: str
) -> None:
    rig = Rig()
    request_id = rig.send(path, customer, method)
    reply = rig.reply(request_id)
    assert reply.status == status and json.loads(reply.body)["reason"] == reason
    assert not rig.actions_of(ev.OpenAttempt) and rig.held() == NOTHING_HELD


def test_customer_is_read_from_the_path() -> None:
    rig = Rig()
    request_id = rig.send("/write/fr%65e/1?x=../..", "anna", "POST")
    assert rig.last_attempt(request_id).target == b"/write/fr%65e/1?x=../.."


def test_absolute_target_is_routed_by_its_path_and_sets_host() -> None:
    rig = Rig()
    opened = rig.last_attempt(rig.send("http://photos.example:81/read/1?a=b", host="other.example"))
    assert opened.target == b"/read/1?a=b"
    assert [value for name, value in opened.headers if name == b"host"] == [b"photos.example:81"]


def test_options_for_the_server_is_answered_by_the_gateway() -> None:
    rig = Rig()
    reply = rig.reply(rig.send("*", method="OPTIONS"))
    assert reply.status == 204 and reply.body == b"" and header(reply, "allow")
    assert not header(reply, "content-length")
    assert not rig.actions_of(ev.OpenAttempt) and rig.held() == NOTHING_HELD


@pytest.mark.parametrize("value", ["soon", "-5", "0", "nan", "inf"])
def test_invalid_deadline_header_is_rejected(value: str) -> None:
    rig = Rig()
    assert rig.reply(rig.send(x_deadline_ms=value)).status == 400


def test_deadline_is_the_earlier_one_of_request_class_and_client() -> None:
    rig = Rig()
    for client_ms, effective_ms in (("1500", "1500"), ("9000", "4000")):
        assert header(rig.last_attempt(rig.send(x_deadline_ms=client_ms)), "x-deadline-ms") == effective_ms


def test_at_the_deadline_the_attempt_is_aborted_and_the_response_sent_at_once() -> None:
    rig = Rig("upstream { cancel: false }")
    request_id = rig.send(x_deadline_ms="700")
    rig.write(request_id)
    rig.pass_time(699)
    assert not rig.responses(request_id)
    actions = rig.pass_time(1)
    assert isinstance(actions[0], ev.AbortAttempt)  # the abort comes first, since nothing may follow the response
    assert rig.reply(request_id).status == 503  # the request is idempotent, so that a rejection may invite a retry
    assert rig.held() == NOTHING_HELD


def test_timeout_of_an_unsafe_request_fails_without_retry_after() -> None:
    rig = Rig()
    request_id = rig.send("/pay/1")
    rig.write(request_id)
    rig.pass_time(4000)
    reply = rig.reply(request_id)
    assert reply.status == 504 and header(reply, "retry-after") is None
    assert len(rig.actions_of(ev.OpenAttempt, request_id)) == 1


def test_request_that_was_not_written_by_its_deadline_may_be_retried_by_the_client() -> None:
    rig = Rig("upstream { connect_ms: 60000 }")
    request_id = rig.send("/pay/1", x_deadline_ms="300")
    rig.pass_time(300)  # nothing was written, whether a connection was made or not
    assert rig.actions_of(ev.AbortAttempt, request_id)
    assert rig.reply(request_id).status == 503  # it was never executed, so that the client may retry
    assert rig.handle(ev.AttemptWritten(request_id, 0)) == []  # the event is late: the attempt has ended


def test_connect_timeout_starts_an_attempt_at_another_endpoint() -> None:
    rig = Rig()
    request_id = rig.send("/pay/1")
    rig.pass_time(200)
    first, second = rig.actions_of(ev.OpenAttempt, request_id)
    assert second.attempt == 1 and header(second, "x-attempt") == "1"
    assert rig.actions_of(ev.AbortAttempt, request_id)[0].attempt == 0
    rig.serve(request_id)
    assert len(rig.responses(request_id)) == 1 and first.endpoint != second.endpoint


def test_response_to_an_ended_attempt_is_ignored() -> None:
    rig = Rig()
    request_id = rig.send()
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    assert [attempt.attempt for attempt in rig.actions_of(ev.OpenAttempt, request_id)] == [0, 1]
    assert rig.handle(ev.ResponseHeadReceived(request_id, 0, 200, [])) == []
    assert rig.handle(ev.ResponseCompleted(request_id, 0)) == []
    rig.serve(request_id)
    assert len(rig.responses(request_id)) == 1 and rig.held() == NOTHING_HELD
    assert rig.handle(ev.ResponseCompleted(request_id, 1)) == []


def test_policy_cancels_an_attempt_without_response_and_starts_another() -> None:
    rig = Rig()
    for _ in range(12):  # fast responses, against which a missing one stands out
        request_id = rig.send()
        rig.pass_time(10)
        rig.serve(request_id)
    request_id = rig.send()
    rig.write(request_id)
    rig.pass_time(450)
    assert [abort.attempt for abort in rig.actions_of(ev.AbortAttempt, request_id)] == [0]
    assert [attempt.attempt for attempt in rig.actions_of(ev.OpenAttempt, request_id)] == [0, 1]


@pytest.mark.parametrize(
    ("path", "failure", "written", "attempts"),
    [
        # Nothing was written: even an unsafe request may be retried.
        ("/pay/1", AttemptFailure.NOT_CONNECTED, False, 2),
        ("/pay/1", AttemptFailure.CONNECTION_LIMIT, False, 2),
        ("/pay/1", AttemptFailure.NOT_WRITTEN, False, 2),
        ("/pay/1", AttemptFailure.CLOSED, True, 1),  # it may have been executed
        ("/pay/1", AttemptFailure.MALFORMED_RESPONSE, True, 1),
        ("/read/1", AttemptFailure.CLOSED, True, 2),
        ("/read/1", AttemptFailure.MALFORMED_RESPONSE, True, 2),
    ],
)
def test_further_attempt_depends_on_whether_the_failed_one_may_have_run(
    path: str, failure: AttemptFailure, written: bool, attempts: int
) -> None:
    rig = Rig()
    request_id = rig.send(path)
    rig.fail_attempt(request_id, failure, written)
    assert len(rig.actions_of(ev.OpenAttempt, request_id)) == attempts
    if attempts == 1:
        assert rig.reply(request_id).status == 502


def test_rejection_by_an_endpoint_needs_status_and_header() -> None:
    rig = Rig()
    rejected = rig.send("/pay/1")
    rig.write(rejected)
    rig.handle(ev.ResponseHeadReceived(rejected, 0, 503, [(b"x-not-run", b"1")]))
    assert len(rig.actions_of(ev.OpenAttempt, rejected)) == 2
    unknown = rig.send("/pay/1")
    rig.write(unknown)
    # The response may come from an intermediary: the status alone proves nothing.
    rig.handle(ev.ResponseHeadReceived(unknown, 0, 503, []))
    assert len(rig.actions_of(ev.OpenAttempt, unknown)) == 1 and rig.reply(unknown).status == 502


def test_all_attempts_of_a_keyed_request_have_the_same_idempotency_key() -> None:
    rig = Rig()
    request_id = rig.send("/write/free/1", method="POST")
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    first, second = rig.actions_of(ev.OpenAttempt, request_id)
    assert header(first, "idempotency-key") and header(first, "idempotency-key") == header(second, "idempotency-key")
    assert first.endpoint % 2 == second.endpoint % 2  # the zone within which the key is deduplicated
    own = rig.send("/write/free/1", method="POST", idempotency_key="k1")
    assert header(rig.last_attempt(own), "idempotency-key") == "k1"


def test_request_whose_body_is_not_replayable_gets_one_attempt() -> None:
    rig = Rig()
    safe = rig.send()
    rig.handle(ev.RequestBodyNotReplayable(safe))
    rig.fail_attempt(safe, AttemptFailure.CLOSED)
    assert len(rig.actions_of(ev.OpenAttempt, safe)) == 1 and rig.reply(safe).status == 503
    unsafe = rig.send("/pay/1")
    rig.handle(ev.RequestBodyNotReplayable(unsafe))
    rig.fail_attempt(unsafe, AttemptFailure.CLOSED)
    assert rig.reply(unsafe).status == 502
    assert rig.held() == NOTHING_HELD


def test_streamed_response_may_continue_past_the_deadline() -> None:
    rig = Rig()
    request_id = rig.send(x_deadline_ms="500")
    rig.write(request_id)
    rig.handle(ev.ResponseHeadReceived(request_id, 0, 200, []))
    rig.handle(ev.ResponseBufferExceeded(request_id, 0))
    [passed] = rig.actions_of(ev.RelayResponse, request_id)
    assert not passed.complete
    assert not rig.pass_time(10_000)  # neither a timeout nor the deadline applies any more
    rig.handle(ev.ResponseCompleted(request_id, 0))
    assert len(rig.responses(request_id)) == 1 and rig.held() == NOTHING_HELD


def test_failure_of_a_streamed_response_resets_the_client_connection() -> None:
    rig = Rig()
    request_id = rig.send()
    rig.write(request_id)
    rig.handle(ev.ResponseHeadReceived(request_id, 0, 200, []))
    rig.handle(ev.ResponseBufferExceeded(request_id, 0))
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    assert rig.actions_of(ev.ResetClientConnection, request_id) and len(rig.actions_of(ev.OpenAttempt, request_id)) == 1
    assert rig.held() == NOTHING_HELD


def test_client_disconnects_during_its_counter_call() -> None:
    rig = Rig()
    request_id = rig.send(customer="anna")
    assert rig.actions_of(ev.AddToCounter) and not rig.actions_of(ev.OpenAttempt)
    rig.handle(ev.ClientDisconnected(request_id))
    rig.answer_counter_calls(1.0)
    assert not rig.actions_of(ev.OpenAttempt) and not rig.responses(request_id)
    assert rig.held() == NOTHING_HELD


def test_client_disconnects_during_an_attempt() -> None:
    rig = Rig()
    request_id = rig.send()
    rig.write(request_id)
    rig.handle(ev.ClientDisconnected(request_id))
    assert rig.actions_of(ev.AbortAttempt, request_id) and rig.held() == NOTHING_HELD
    assert not rig.responses(request_id)
    uncancellable = Rig("upstream { cancel: false }")
    request_id = uncancellable.send(x_deadline_ms="900")
    uncancellable.write(request_id)
    uncancellable.handle(ev.ClientDisconnected(request_id))
    assert not uncancellable.actions_of(ev.AbortAttempt)  # cancellation is off: the attempt runs until the deadline
    uncancellable.pass_time(900)
    assert uncancellable.actions_of(ev.AbortAttempt) and uncancellable.held() == NOTHING_HELD


def test_late_reply_of_the_counter_is_not_attributed_to_the_next_call() -> None:
    rig = Rig()
    first = rig.send(customer="anna")
    [add] = rig.actions_of(ev.AddToCounter)
    rig.pass_time(60)  # the engine reports the timeout of 50 ms, even if the counter client does not
    assert rig.responses(first) or len(rig.actions_of(ev.OpenAttempt, first)) == 1
    rig.send(customer="anna")
    later = rig.actions_of(ev.AddToCounter)
    assert len(later) == 2 and later[1].call_id != add.call_id
    before = len(rig.actions)
    # Attributed to the second call, this late total would exceed the quota.
    rig.handle(ev.CounterReplied(add.call_id, CallResult.OK, 1e6))
    assert len(rig.actions) == before


def test_rejection_states_the_wait_in_seconds_and_in_milliseconds() -> None:
    rig = Rig()
    request_id = rig.send(customer="anna")
    rig.answer_counter_calls(500.0)
    reply = rig.reply(request_id)
    body = json.loads(reply.body)
    assert reply.status == 429 and body["reason"] == "quota"
    exact = float(header(reply, "retry-after-ms") or "")
    assert exact == body["retry_after_ms"] > 0
    assert int(header(reply, "retry-after") or "") == -(-exact // 1000)
    assert header(reply, "ratelimit-policy") == '"plain";q=20;w=2'
    assert (header(reply, "ratelimit") or "").startswith('"plain";r=0;t=')


def test_without_endpoints_the_response_is_503_with_retry_after() -> None:
    rig = Rig(endpoints=())
    reply = rig.reply(rig.send())
    assert reply.status == 503 and json.loads(reply.body)["reason"] == "no server"
    assert header(reply, "retry-after")


def test_request_beyond_the_limit_in_flight_is_rejected_before_the_policy() -> None:
    rig = Rig("listener { max_open: 2 }")
    first, _, third = rig.send(), rig.send(), rig.send()
    assert rig.reply(third).status == 503 and header(rig.reply(third), "retry-after") == "1"
    rig.serve(first)
    assert rig.last_attempt(rig.send())


def test_endpoints_that_are_removed_or_drain_get_no_further_requests() -> None:
    rig = Rig()
    rig.handle(endpoint_list_event(1, 2))
    for _ in range(20):
        rig.serve(rig.send())
    assert {attempt.endpoint for attempt in rig.actions_of(ev.OpenAttempt)} == {1, 2}
    rig.handle(endpoint_list_event(1, scope=EndpointListScope.DELTA, state=EndpointState.DRAINING))
    before = len(rig.actions_of(ev.OpenAttempt))
    for _ in range(20):
        rig.serve(rig.send())
    assert {attempt.endpoint for attempt in rig.actions_of(ev.OpenAttempt)[before:]} == {2}


def test_stop_sends_a_response_to_every_request_in_flight() -> None:
    rig = Rig()
    written, waiting = rig.send(), rig.send(customer="anna")
    rig.write(written)
    rig.actions += rig.engine.stop(rig.now)
    assert len(rig.responses(written)) == 1 and len(rig.responses(waiting)) == 1
    assert rig.engine.unanswered == 0


def test_request_gets_a_response_at_its_deadline_although_the_policy_holds_it() -> None:
    rig = Rig()
    request_id = rig.send(customer="anna")  # the policy waits for the counter, which never replies
    timers = rig.engine._state.timers
    # Without the timer of the counter call, only the deadline can end the request.
    timers._heap = [entry for entry in timers._heap if isinstance(entry[2], RequestDeadline)]
    rig.pass_time(4000)
    assert rig.reply(request_id).status == 504 and rig.engine.unanswered == 0


def test_timers_of_finished_requests_are_not_kept() -> None:
    rig = Rig()
    for _ in range(50):
        rig.serve(rig.send())
    assert rig.held() == NOTHING_HELD
    rig.pass_time(5000)
    assert rig.engine.held_counts["timers"] == 0


def test_usage_is_recorded_once_when_the_first_attempt_starts() -> None:
    rig = Rig()
    rig.engine._state.dependencies.records_usage = True
    request_id = rig.send("/pay/1", x_request_id="t1")
    rig.fail_attempt(request_id, AttemptFailure.NOT_CONNECTED, written=False)  # a further attempt is not recorded again
    rejected = rig.send(customer="nobody")
    rig.serve(request_id)
    assert rig.actions_of(ev.RecordUsage) == [ev.RecordUsage("t1", "free", "open", "pay", 2.0, False, 1)]
    assert rig.reply(rejected)


def test_usage_record_states_that_a_request_was_over_quota() -> None:
    rig = Rig("plan { name: 'paid' rate: 1 burst: 1 over_worth: 2 over_cost: 1 } customer { key: 'eve' plan: 'paid' }")
    rig.engine._state.dependencies.records_usage = True
    for _ in range(3):
        rig.send(customer="eve")
        rig.answer_counter_calls(50.0)
    records = rig.actions_of(ev.RecordUsage)
    assert {record.over_quota for record in records} == {True}


def test_addresses_of_removed_endpoints_are_removed() -> None:
    """Guards against a leak: when endpoints were replaced one by one under new numbers, their addresses stayed.

    After four minutes 106 of 116 addresses were those of removed endpoints.
    """
    rig = Rig(endpoints=(1, 2))
    for number in range(3, 200):
        rig.handle(endpoint_list_event(number, scope=EndpointListScope.DELTA))
        rig.handle(endpoint_list_event(number - 2, scope=EndpointListScope.DELTA, state=EndpointState.REMOVED))
    assert rig.engine.held_counts["servers"] == 2


def test_obsolete_timers_do_not_wake_the_process() -> None:
    """Guards against useless wake-ups: most of 2,400 in 20 s of low load came from obsolete timers.

    Those timers were for connections made, calls answered and requests served.
    """
    rig = Rig()
    request_id = rig.send("/pay/1")
    assert rig.engine.next_at() == rig.now + 200.0, "the connect timeout is the first timer"
    rig.write(request_id)
    check_at = rig.engine.next_at()  # the policy's check for attempts without a response
    assert check_at is not None and rig.now + 200.0 < check_at < rig.now + 4000.0
    rig.serve(request_id)
    rig.now = check_at
    rig.handle(ev.Tick())
    assert rig.engine.next_at() is None and rig.engine.held_counts["timers"] == 0, "the deadline timer is obsolete"
    counted = rig.send(customer="anna")
    assert rig.actions_of(ev.AddToCounter)
    rig.answer_counter_calls(1.0)
    rig.serve(counted)
    assert rig.engine.next_at() != rig.now + 51.0, "the timeout of an answered call is obsolete"


def test_keys_that_a_gateway_makes_are_not_made_again_by_its_next_process() -> None:
    """Guards against a command that servers drop as the repeat of another, from before a restart."""
    keys = []
    for seed in (1, 2):
        rig = Rig(seed=seed)
        request_id = rig.send("/write/free/1", method="POST")
        keys.append(header(rig.last_attempt(request_id), "idempotency-key"))
        rig.fail_attempt(request_id, AttemptFailure.NOT_CONNECTED, written=False)
        assert header(rig.last_attempt(request_id), "idempotency-key") == keys[-1], "all attempts of a request share it"
    assert None not in keys and keys[0] != keys[1]


def test_an_error_of_the_policy_does_not_hold_up_later_events(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that never get an answer because an event before theirs stays in the queue."""
    rig = Rig()
    policy = rig.engine._policy.gateway
    handle = policy.handle

    def fail_once(now: float, event: api.Event) -> list[api.Action]:
        monkeypatch.setattr(policy, "handle", handle)
        raise ValueError("unexpected")

    monkeypatch.setattr(policy, "handle", fail_once)
    with pytest.raises(ValueError, match="unexpected"):
        rig.send()
    request_id = rig.send()
    rig.serve(request_id)
    assert len(rig.responses(request_id)) == 1


def test_a_request_under_the_id_of_another_is_recorded_as_one_of_its_own() -> None:
    """Guards against a customer whose requests are served and never recorded, under the id of another's request."""
    rig = Rig("counter { port: 1 journal: 'j' }")
    for _ in range(3):
        rig.serve(rig.send("/read/1", x_request_id="t1"))
    rig.serve(rig.send("/read/1", x_request_id="t2"))
    ids = [usage.correlation_id for usage in rig.actions_of(ev.RecordUsage)]
    assert ids[0] == "t1" and ids[3] == "t2" and len(set(ids)) == 4
    assert all(one.startswith("t1~door-0-") for one in ids[1:3])
