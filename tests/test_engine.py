"""The engine in virtual time: the hard cases of the door, one by one."""

from __future__ import annotations

import json

import pytest

from martenstep.policy.messages import CallResult, EndpointListScope, EndpointState
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine.timers import RequestDeadline
from martenstep.proxy.engine_messages import AttemptFailure
from tests.engine_rig import NOTHING_HELD, Rig, endpoint_list_event, header


def test_a_request_is_sent_on_and_served_as_it_came() -> None:
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


def test_a_request_id_is_made_where_none_came_and_cut_where_too_long() -> None:
    rig = Rig()
    one, two = rig.last_attempt(rig.send()), rig.last_attempt(rig.send())
    assert header(one, "x-request-id") and header(one, "x-request-id") != header(two, "x-request-id")
    long = rig.last_attempt(rig.send(x_request_id="r" * 5000))
    assert header(long, "x-request-id") == "r" * 200


@pytest.mark.parametrize(
    ("path", "customer", "method", "status", "reason"),
    [
        ("/nope", "free", "GET", 404, "no route"),
        ("/write/free/1", "free", "GET", 404, "no route"),  # the method does not fit
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
def test_what_cannot_be_routed_is_turned_away_at_once(
    path: str, customer: str, method: str, status: int, reason: str
) -> None:
    rig = Rig()
    request_id = rig.send(path, customer, method)
    reply = rig.reply(request_id)
    assert reply.status == status and json.loads(reply.body)["reason"] == reason
    assert not rig.actions_of(ev.OpenAttempt) and rig.held() == NOTHING_HELD


def test_the_customer_can_stand_in_the_path() -> None:
    rig = Rig()
    request_id = rig.send("/write/fr%65e/1?x=../..", "anna", "POST")
    assert rig.last_attempt(request_id).target == b"/write/fr%65e/1?x=../.."


def test_an_absolute_target_is_routed_by_its_path() -> None:
    rig = Rig()
    opened = rig.last_attempt(rig.send("http://photos.example:81/read/1?a=b", host="other.example"))
    assert opened.target == b"/read/1?a=b"
    assert [value for name, value in opened.headers if name == b"host"] == [b"photos.example:81"]


def test_options_of_the_door_itself_are_answered_by_it() -> None:
    rig = Rig()
    reply = rig.reply(rig.send("*", method="OPTIONS"))
    assert reply.status == 204 and reply.body == b"" and header(reply, "allow")
    assert not header(reply, "content-length")
    assert not rig.actions_of(ev.OpenAttempt) and rig.held() == NOTHING_HELD


@pytest.mark.parametrize("value", ["soon", "-5", "0", "nan", "inf"])
def test_a_deadline_header_must_be_a_figure(value: str) -> None:
    rig = Rig()
    assert rig.reply(rig.send(x_deadline_ms=value)).status == 400


def test_the_deadline_is_the_least_of_the_classes_and_the_clients() -> None:
    rig = Rig()
    for asked, left in (("1500", "1500"), ("9000", "4000")):
        assert header(rig.last_attempt(rig.send(x_deadline_ms=asked)), "x-deadline-ms") == left


def test_at_the_deadline_the_attempt_is_given_up_and_the_answer_goes_out_at_once() -> None:
    rig = Rig("upstream { cancel: false }")
    request_id = rig.send(x_deadline_ms="700")
    rig.write(request_id)
    rig.pass_time(699)
    assert not rig.responses(request_id)
    actions = rig.pass_time(1)
    assert isinstance(actions[0], ev.AbortAttempt)  # before the answer: nothing may follow it
    assert rig.reply(request_id).status == 503  # safe to repeat: a refusal says so
    assert rig.held() == NOTHING_HELD


def test_a_time_out_of_an_unsafe_request_is_a_failure_and_promises_nothing() -> None:
    rig = Rig()
    request_id = rig.send("/pay/1")
    rig.write(request_id)
    rig.pass_time(4000)
    reply = rig.reply(request_id)
    assert reply.status == 504 and header(reply, "retry-after") is None
    assert len(rig.actions_of(ev.OpenAttempt, request_id)) == 1


def test_the_deadline_between_connect_and_write_proves_that_it_never_ran() -> None:
    rig = Rig("upstream { connect_ms: 60000 }")
    request_id = rig.send("/pay/1", x_deadline_ms="300")
    rig.pass_time(300)  # connected or not: nothing was written
    assert rig.actions_of(ev.AbortAttempt, request_id)
    assert rig.reply(request_id).status == 503  # may be repeated: it never ran
    assert rig.handle(ev.AttemptWritten(request_id, 0)) == []  # the driver is late: the attempt is no more


def test_no_connection_within_the_time_out_goes_elsewhere() -> None:
    rig = Rig()
    request_id = rig.send("/pay/1")
    rig.pass_time(200)
    first, second = rig.actions_of(ev.OpenAttempt, request_id)
    assert second.attempt == 1 and header(second, "x-attempt") == "1"
    assert rig.actions_of(ev.AbortAttempt, request_id)[0].attempt == 0
    rig.serve(request_id)
    assert len(rig.responses(request_id)) == 1 and first.endpoint != second.endpoint


def test_an_answer_after_its_attempt_was_called_off_is_nobodys() -> None:
    rig = Rig()
    request_id = rig.send()
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    assert [open_.attempt for open_ in rig.actions_of(ev.OpenAttempt, request_id)] == [0, 1]
    assert rig.handle(ev.ResponseHeadReceived(request_id, 0, 200, [])) == []
    assert rig.handle(ev.ResponseCompleted(request_id, 0)) == []
    rig.serve(request_id)
    assert len(rig.responses(request_id)) == 1 and rig.held() == NOTHING_HELD
    assert rig.handle(ev.ResponseCompleted(request_id, 1)) == []


def test_a_silent_server_is_given_up_by_the_module_and_another_tried() -> None:
    rig = Rig()
    for _ in range(12):  # answers are quick, so that silence tells
        request_id = rig.send()
        rig.pass_time(10)
        rig.serve(request_id)
    request_id = rig.send()
    rig.write(request_id)
    rig.pass_time(450)
    assert [abandon.attempt for abandon in rig.actions_of(ev.AbortAttempt, request_id)] == [0]
    assert [open_.attempt for open_ in rig.actions_of(ev.OpenAttempt, request_id)] == [0, 1]


@pytest.mark.parametrize(
    ("path", "how", "written", "attempts"),
    [
        ("/pay/1", AttemptFailure.NOT_CONNECTED, False, 2),  # nothing was written: even an unsafe one may go again
        ("/pay/1", AttemptFailure.CONNECTION_LIMIT, False, 2),
        ("/pay/1", AttemptFailure.NOT_WRITTEN, False, 2),
        ("/pay/1", AttemptFailure.CLOSED, True, 1),  # it may have run
        ("/pay/1", AttemptFailure.MALFORMED_RESPONSE, True, 1),
        ("/read/1", AttemptFailure.CLOSED, True, 2),
        ("/read/1", AttemptFailure.MALFORMED_RESPONSE, True, 2),
    ],
)
def test_what_an_ending_proves_decides_on_a_further_attempt(
    path: str, how: AttemptFailure, written: bool, attempts: int
) -> None:
    rig = Rig()
    request_id = rig.send(path)
    rig.fail_attempt(request_id, how, written)
    assert len(rig.actions_of(ev.OpenAttempt, request_id)) == attempts
    if attempts == 1:
        assert rig.reply(request_id).status == 502


def test_a_refusal_needs_status_and_header() -> None:
    rig = Rig()
    refused = rig.send("/pay/1")
    rig.write(refused)
    rig.handle(ev.ResponseHeadReceived(refused, 0, 503, [(b"x-not-run", b"1")]))
    assert len(rig.actions_of(ev.OpenAttempt, refused)) == 2
    unknown = rig.send("/pay/1")
    rig.write(unknown)
    rig.handle(ev.ResponseHeadReceived(unknown, 0, 503, []))  # from something between: it proves nothing
    assert len(rig.actions_of(ev.OpenAttempt, unknown)) == 1 and rig.reply(unknown).status == 502


def test_a_keyed_request_carries_one_key_through_its_attempts() -> None:
    rig = Rig()
    request_id = rig.send("/write/free/1", method="POST")
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    first, second = rig.actions_of(ev.OpenAttempt, request_id)
    assert header(first, "idempotency-key") and header(first, "idempotency-key") == header(second, "idempotency-key")
    assert first.endpoint % 2 == second.endpoint % 2  # the zone that drops repeats
    own = rig.send("/write/free/1", method="POST", idempotency_key="k1")
    assert header(rig.last_attempt(own), "idempotency-key") == "k1"


def test_a_body_that_is_partly_gone_allows_one_attempt() -> None:
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


def test_an_answer_that_has_begun_belongs_to_the_client() -> None:
    rig = Rig()
    request_id = rig.send(x_deadline_ms="500")
    rig.write(request_id)
    rig.handle(ev.ResponseHeadReceived(request_id, 0, 200, []))
    rig.handle(ev.ResponseBufferExceeded(request_id, 0))
    [passed] = rig.actions_of(ev.RelayResponse, request_id)
    assert not passed.complete
    assert not rig.pass_time(10_000)  # neither its time-out nor the deadline runs any more
    rig.handle(ev.ResponseCompleted(request_id, 0))
    assert len(rig.responses(request_id)) == 1 and rig.held() == NOTHING_HELD


def test_a_begun_answer_that_breaks_breaks_the_clients_connection() -> None:
    rig = Rig()
    request_id = rig.send()
    rig.write(request_id)
    rig.handle(ev.ResponseHeadReceived(request_id, 0, 200, []))
    rig.handle(ev.ResponseBufferExceeded(request_id, 0))
    rig.fail_attempt(request_id, AttemptFailure.CLOSED)
    assert rig.actions_of(ev.ResetClientConnection, request_id) and len(rig.actions_of(ev.OpenAttempt, request_id)) == 1
    assert rig.held() == NOTHING_HELD


def test_the_client_leaves_while_its_counter_call_is_out() -> None:
    rig = Rig()
    request_id = rig.send(customer="anna")
    assert rig.actions_of(ev.AddToCounter) and not rig.actions_of(ev.OpenAttempt)
    rig.handle(ev.ClientDisconnected(request_id))
    rig.answer_counter_calls(1.0)
    assert not rig.actions_of(ev.OpenAttempt) and not rig.responses(request_id)
    assert rig.held() == NOTHING_HELD


def test_the_client_leaves_while_an_attempt_is_out() -> None:
    rig = Rig()
    request_id = rig.send()
    rig.write(request_id)
    rig.handle(ev.ClientDisconnected(request_id))
    assert rig.actions_of(ev.AbortAttempt, request_id) and rig.held() == NOTHING_HELD
    assert not rig.responses(request_id)
    kept = Rig("upstream { cancel: false }")
    request_id = kept.send(x_deadline_ms="900")
    kept.write(request_id)
    kept.handle(ev.ClientDisconnected(request_id))
    assert not kept.actions_of(ev.AbortAttempt)  # cancellation is off: the attempt runs until the deadline
    kept.pass_time(900)
    assert kept.actions_of(ev.AbortAttempt) and kept.held() == NOTHING_HELD


def test_a_late_reply_of_the_store_is_not_taken_for_the_next_calls() -> None:
    rig = Rig()
    first = rig.send(customer="anna")
    [add] = rig.actions_of(ev.AddToCounter)
    rig.pass_time(60)  # its time-out is told by the engine, whatever the store does
    assert rig.responses(first) or len(rig.actions_of(ev.OpenAttempt, first)) == 1
    rig.send(customer="anna")
    later = rig.actions_of(ev.AddToCounter)
    assert len(later) == 2 and later[1].call_id != add.call_id
    before = len(rig.actions)
    rig.handle(ev.CounterReplied(add.call_id, CallResult.OK, 1e6))  # late: it would look like a flood
    assert len(rig.actions) == before


def test_a_refusal_tells_the_wait_in_seconds_and_exactly() -> None:
    rig = Rig()
    request_id = rig.send(customer="anna")
    rig.answer_counter_calls(500.0)
    reply = rig.reply(request_id)
    told = json.loads(reply.body)
    assert reply.status == 429 and told["reason"] == "quota"
    exact = float(header(reply, "retry-after-ms") or "")
    assert exact == told["retry_after_ms"] > 0
    assert int(header(reply, "retry-after") or "") == -(-exact // 1000)
    assert header(reply, "ratelimit-policy") == '"plain";q=20;w=2'
    assert (header(reply, "ratelimit") or "").startswith('"plain";r=0;t=')


def test_no_server_is_a_503_with_a_wait() -> None:
    rig = Rig(servers=())
    reply = rig.reply(rig.send())
    assert reply.status == 503 and json.loads(reply.body)["reason"] == "no server"
    assert header(reply, "retry-after")


def test_a_full_house_turns_away_before_the_module_is_asked() -> None:
    rig = Rig("listener { max_open: 2 }")
    first, _, third = rig.send(), rig.send(), rig.send()
    assert rig.reply(third).status == 503 and header(rig.reply(third), "retry-after") == "1"
    rig.serve(first)
    assert rig.last_attempt(rig.send())


def test_servers_that_leave_the_list_get_nothing_more() -> None:
    rig = Rig()
    rig.handle(endpoint_list_event(1, 2))
    for _ in range(20):
        rig.serve(rig.send())
    assert {open_.endpoint for open_ in rig.actions_of(ev.OpenAttempt)} == {1, 2}
    rig.handle(endpoint_list_event(1, scope=EndpointListScope.DELTA, state=EndpointState.DRAINING))
    before = len(rig.actions_of(ev.OpenAttempt))
    for _ in range(20):
        rig.serve(rig.send())
    assert {open_.endpoint for open_ in rig.actions_of(ev.OpenAttempt)[before:]} == {2}


def test_a_stop_answers_all_that_is_held() -> None:
    rig = Rig()
    out, held = rig.send(), rig.send(customer="anna")
    rig.write(out)
    rig.actions += rig.engine.stop(rig.now)
    assert len(rig.responses(out)) == 1 and len(rig.responses(held)) == 1
    assert rig.engine.unanswered == 0


def test_a_held_request_is_answered_at_its_deadline_even_if_the_module_holds_it() -> None:
    rig = Rig()
    request_id = rig.send(customer="anna")  # the counter is asked; nothing answers, and the engine's own timer is lost
    timers = rig.engine._state.timers
    timers._heap = [entry for entry in timers._heap if isinstance(entry[2], RequestDeadline)]
    rig.pass_time(4000)
    assert rig.reply(request_id).status == 504 and rig.engine.unanswered == 0


def test_timers_keep_no_finished_request_alive() -> None:
    rig = Rig()
    for _ in range(50):
        rig.serve(rig.send())
    assert rig.held() == NOTHING_HELD
    rig.pass_time(5000)
    assert rig.engine.held_counts["timers"] == 0


def test_a_try_is_told_for_the_record_once_when_it_is_first_sent_on() -> None:
    rig = Rig()
    rig.engine._state.dependencies.records_usage = True
    request_id = rig.send("/pay/1", x_request_id="t1")
    rig.fail_attempt(request_id, AttemptFailure.NOT_CONNECTED, written=False)  # a further attempt is no further try
    refused = rig.send(customer="nobody")
    rig.serve(request_id)
    assert rig.actions_of(ev.RecordUsage) == [ev.RecordUsage("t1", "free", "open", "pay", 2.0, False, 1)]
    assert rig.reply(refused)


def test_a_try_beyond_the_quota_is_told_as_such() -> None:
    rig = Rig("plan { name: 'paid' rate: 1 burst: 1 over_worth: 2 over_cost: 1 } customer { key: 'eve' plan: 'paid' }")
    rig.engine._state.dependencies.records_usage = True
    for _ in range(3):
        rig.send(customer="eve")
        rig.answer_counter_calls(50.0)
    records = rig.actions_of(ev.RecordUsage)
    assert {record.over_quota for record in records} == {True}


def test_the_addresses_of_servers_that_have_gone_go_too() -> None:
    """Servers replaced one by one under new numbers left theirs for good: 106 of 116 after four minutes."""
    rig = Rig(servers=(1, 2))
    for number in range(3, 200):
        rig.handle(endpoint_list_event(number, scope=EndpointListScope.DELTA))
        rig.handle(endpoint_list_event(number - 2, scope=EndpointListScope.DELTA, state=EndpointState.REMOVED))
    assert rig.engine.held_counts["servers"] == 2


def test_a_timer_whose_cause_has_passed_wakes_nobody() -> None:
    """Of 2,400 wakings in 20 s of a calm day most were for connections made, calls answered and requests served."""
    rig = Rig()
    request_id = rig.send("/pay/1")
    assert rig.engine.next_at() == rig.now + 200.0, "no connection within its time"
    rig.write(request_id)
    silence = rig.engine.next_at()  # the module's own look at what may be silent
    assert silence is not None and rig.now + 200.0 < silence < rig.now + 4000.0
    rig.serve(request_id)
    rig.now = silence
    rig.handle(ev.Tick())
    assert rig.engine.next_at() is None and rig.engine.held_counts["timers"] == 0, "nor its deadline"
    counted = rig.send(customer="anna")
    assert rig.actions_of(ev.AddToCounter)
    rig.answer_counter_calls(1.0)
    rig.serve(counted)
    assert rig.engine.next_at() != rig.now + 51.0, "nor a call that is answered"
