"""The simulator's protocol must stay the same byte by byte: every message, word, settings key and error line."""

from __future__ import annotations

import io
import json
from pathlib import Path
from typing import Any

import pytest

from martenstep.policy import messages as api
from martenstep.simulator.codec import decode_endpoint, decode_event, encode_action
from martenstep.simulator.host import serve
from martenstep.simulator.line_format import ProtocolError, parse_line
from martenstep.simulator.settings_codec import parse_settings

FORMATS = Path(__file__).parent / "formats" / "decisions"
EVERY_KEY: dict[str, Any] = {
    "me": 3,
    "instances": 7,
    "zone": "b",
    "tick_ms": 2.5,
    "classes": [
        {
            "name": "write",
            "slo_ms": 300.5,
            "deadline_ms": 4000,
            "idempotency": "deduplicated",
            "group": "cell",
            "window_ms": 1500,
            "worth": 2.5,
            "late_share": 0.25,
        }
    ],
    "contracts": [
        {
            "name": "capped",
            "units_per_s": 5,
            "most_at_once": 6,
            "open": 4,
            "worth_factor": 1.5,
            "over_worth": 0.75,
            "beyond_costs": 0.5,
            "hard_rate": 11,
            "cap_depth": 12,
            "tolerance": 2,
        }
    ],
    "kinds": ["std", "big"],
    "family_info": {"has_counter": True, "counter_timeout_ms": 50, "max_units": 8, "trued_up": True},
    "policy_limits": {
        "try_limit": 3,
        "cancelling": True,
        "probes": True,
        "retry_after": True,
        "max_retry_after_ms": 9000,
    },
    "discovery": "subscribe",
    "rules": {
        "ask_every_ms": 250,
        "answer_slack_ms": 8,
        "cold_from": 0.25,
        "warm_within_ms": 6000,
        "fall_multiple": 2,
        "overload_for_ms": 1000,
    },
    "feedback": {"fields": ["rif", "q", "busy", "lat_ms", "rate", "fail_rate", "other"]},
    "weight_kind": "size",
}


def decode_line(text: str) -> api.Event | None:
    name, fields = parse_line(text)
    return decode_event(name, fields)


def test_the_output_for_a_recorded_input_is_unchanged() -> None:
    sink = io.StringIO()
    with (FORMATS / "simulator_input.txt").open(encoding="utf-8", newline="\n") as source:
        serve(source, sink)
    assert sink.getvalue().encode() == (FORMATS / "simulator_output.txt").read_bytes()


def test_every_settings_key_is_decoded() -> None:
    write = api.RequestClass(
        name="write",
        latency_objective_ms=300.5,
        deadline_ms=4000.0,
        idempotency=api.Idempotency.KEYED,
        deduplication_scope=api.DeduplicationScope.CELL,
        deduplication_window_ms=1500.0,
        priority_weight=2.5,
        late_value_share=0.25,
    )
    capped = api.Plan(
        name="capped",
        rate=5.0,
        burst=6.0,
        concurrency_limit=4,
        priority_weight=1.5,
        over_quota_value=0.75,
        over_quota_cost=0.5,
        ceiling_rate=11.0,
        ceiling_burst=12.0,
        ceiling_slack=2.0,
    )
    assert parse_settings(json.dumps(EVERY_KEY)) == api.Settings(
        instance=3,
        instances=7,
        zone="b",
        tick_ms=2.5,
        classes=(write,),
        plans=(capped,),
        endpoint_kinds=("std", "big"),
        has_counter=True,
        counter_timeout_ms=50.0,
        max_units=8.0,
        settles_actual_units=True,
        max_attempts=3,
        can_cancel=True,
        can_health_check=True,
        sends_retry_after=True,
        max_retry_after_ms=9000.0,
        must_subscribe=True,
        poll_interval_ms=250.0,
        load_report_fields=("in_flight", "queue", "busy", "latency_ms", "rate", "error_rate", "other"),
        answer_slack_ms=8.0,
        slow_start_initial_share=0.25,
        slow_start_window_ms=6000.0,
        overload_multiple=2.0,
        overload_window_ms=1000.0,
        has_capacity_weights=True,
    )


def test_defaults_of_settings() -> None:
    required_keys = {
        "me": 0,
        "instances": 1,
        "tick_ms": 2,
        "classes": [{"name": "r", "slo_ms": 1, "deadline_ms": 2, "idempotency": "idempotent"}],
        "contracts": [{"name": "free"}],
        "policy_limits": {},
        "rules": {},
    }
    read = api.RequestClass("r", 1.0, 2.0, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0, 1.0, 0.0)
    free = api.Plan("free", 0.0, 0.0, 0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0)
    assert parse_settings(json.dumps(required_keys)) == api.Settings(0, 1, "", 2.0, (read,), (free,))


@pytest.mark.parametrize("key", ["me", "instances", "tick_ms", "classes", "policy_limits", "rules"])
def test_an_error_names_the_missing_settings_key(key: str) -> None:
    with pytest.raises(ValueError, match=f"^setting {key}: missing$"):
        parse_settings(json.dumps({name: value for name, value in EVERY_KEY.items() if name != key}))


@pytest.mark.parametrize(
    ("word", "meaning"),
    [
        ("idempotent", api.Idempotency.IDEMPOTENT),
        ("deduplicated", api.Idempotency.KEYED),
        ("at_most_once", api.Idempotency.AT_MOST_ONCE),
    ],
)
def test_idempotency_words_are_decoded(word: str, meaning: api.Idempotency) -> None:
    raw = {**EVERY_KEY, "classes": [{**EVERY_KEY["classes"][0], "idempotency": word}]}
    assert parse_settings(json.dumps(raw)).classes[0].idempotency is meaning


@pytest.mark.parametrize(
    ("word", "meaning"),
    [("all", api.DeduplicationScope.ALL), ("zone", api.DeduplicationScope.ZONE), ("cell", api.DeduplicationScope.CELL)],
)
def test_deduplication_scope_words_are_decoded(word: str, meaning: api.DeduplicationScope) -> None:
    raw = {**EVERY_KEY, "classes": [{**EVERY_KEY["classes"][0], "group": word}]}
    assert parse_settings(json.dumps(raw)).classes[0].deduplication_scope is meaning


@pytest.mark.parametrize(
    ("word", "meaning"),
    [
        ("Ok", api.CallResult.OK),
        ("Failed", api.CallResult.ERROR),
        ("QueueFull", api.CallResult.OVERLOADED),
        ("TimedOut", api.CallResult.TIMEOUT),
        ("ConnectError", api.CallResult.CONNECT_FAILED),
        ("ResetByPeer", api.CallResult.RESET),
        ("Canceled", api.CallResult.CANCELLED),
        ("Ignored", api.CallResult.NOT_SENT),
    ],
)
def test_call_result_words_are_decoded(word: str, meaning: api.CallResult) -> None:
    ended = decode_line(
        f"COMPLETED rid=aa hop=1 backend=9 verdict={word} rtt_ms=2.5 ended=1 final_units=3 server_stats=1,2"
    )
    assert ended == api.AttemptEnded("aa", 1, 9, meaning, 2.5, True, 3.0, (1.0, 2.0))
    assert decode_line(f"TOTAL cname=5 verdict={word}") == api.CounterReply(5, meaning, 0.0, 0.0)
    assert decode_line(f"PONG backend=5 verdict={word}") == api.HealthCheckResult(5, meaning, 0.0, ())


@pytest.mark.parametrize(
    ("word", "meaning"),
    [("U", api.EndpointState.UP), ("L", api.EndpointState.DRAINING), ("D", api.EndpointState.REMOVED)],
)
def test_an_endpoint_is_decoded(word: str, meaning: api.EndpointState) -> None:
    _, fields = parse_line(f"BACKEND backend=7 zone=b kind=big cohort=3 condition={word} size=1.5 born_ms=20")
    assert decode_endpoint(fields) == api.Endpoint(7, "b", "big", 3, meaning, 1.5, 20.0)


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "QUERY caller=5 rid=aa cls=read grade_of_service=gold remaining_ms=9.5 cost_units=2 spread=3 "
            "from_no=1 retry=1",
            api.Request("aa", "read", "gold", 5, 9.5, 2.0, 3, 1, True),
        ),
        (
            "QUERY caller=5 rid=aa cls=read grade_of_service=gold remaining_ms=9.5 cost_units=2 spread=3",
            api.Request("aa", "read", "gold", 5, 9.5, 2.0, 3, 0, False),
        ),
        ("TOTAL cname=5 verdict=Ok rtt_ms=1 result_value=7.5", api.CounterReply(5, api.CallResult.OK, 1.0, 7.5)),
        ("TICK_DUE name=8", api.TimerFired(8)),
        ("LAPSED rid=aa", api.ClientDisconnected("aa")),
        ("STARTED rid=aa", api.ResponseStarted("aa")),
        ("PONG backend=5 verdict=Ok rtt_ms=1 server_stats=4", api.HealthCheckResult(5, api.CallResult.OK, 1.0, (4.0,))),
        ("PEER_DATA anything=1", None),
    ],
)
def test_an_event_is_decoded(line: str, event: api.Event | None) -> None:
    assert decode_line(line) == event


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (api.StartAttempt("aa", 7, 12.34567, True), "HAND_OFF door=d rid=aa timeout_ms=12.346 backend=7"),
        (api.Reject("aa", 1.25), "BOUNCE door=d rid=aa hold_off_ms=1.250"),
        (api.Reject("aa"), "BOUNCE door=d rid=aa"),
        (api.Fail("aa"), "ABORT door=d rid=aa"),
        (
            api.IncrementCounter(5, 1.23456789, 2500.0, True),
            "POST_AMOUNT door=d qty=1.234568 cname=5 expire_in_ms=2500.000",
        ),
        (api.SetTimer(9.5, 3), "SET_ALARM door=d when_ms=9.500 name=3"),
        (api.CancelAttempt("aa", 2), "UNDO_SEND door=d rid=aa hop=2"),
        (api.HealthCheck(7), "SAMPLE door=d backend=7"),
        (api.Subscribe(), "LISTEN door=d active=1"),
        (api.Log("a  b\nc"), "JOURNAL_LINE door=d text=a b c"),
    ],
)
def test_an_action_is_encoded(action: api.Action, line: str) -> None:
    assert encode_action("d", action) == line


@pytest.mark.parametrize(
    ("line", "error"),
    [
        ("QUERY door=d", "line 2: field rid: missing, expected a value"),
        ("QUERY door=d rid=a cls=r", "line 2: field grade_of_service: missing, expected a value"),
        ("TICK_DUE door=d name=x1", "line 2: field name: expected a whole number, got 'x1'"),
        ("TOTAL door=d cname=1 verdict=Ok rtt_ms=soon", "line 2: field rtt_ms: expected a number, got 'soon'"),
        ("TOTAL door=d cname=1 verdict=Ok rtt_ms=inf", "line 2: field rtt_ms: expected a finite number, got inf"),
        (
            "PONG door=d backend=1 verdict=ok",
            "line 2: field verdict: expected one of Ok, Failed, QueueFull, TimedOut, ConnectError, ResetByPeer, "
            "Canceled, Ignored, got 'ok'",
        ),
        (
            "PONG door=d backend=1 verdict=Ok server_stats=1,b",
            "line 2: field server_stats: expected numbers set apart by commas, got '1,b'",
        ),
        (
            "COMPLETED door=d rid=a hop=0 backend=1 verdict=Ok ended=yes",
            "line 2: field ended: expected 1 or 0, got 'yes'",
        ),
        ("UPDATE door=d scope=all", "line 2: field scope: expected one of incr, total, warm_copy, lost, got 'all'"),
        (
            "UPDATE door=d scope=total roster_id=9",
            "line 2: field roster_id: expected the number of a TABLE sent before, got 9",
        ),
        (
            "TABLE roster_id=1 entries=1\nBACKEND backend=1 condition=X",
            "line 3: field condition: expected one of U, L, D, got 'X'",
        ),
        ("TABLE roster_id=1 entries=1\nQUERY door=d", "line 3: message 'QUERY': expected BACKEND"),
        ("TABLE roster_id=1 entries=1", "line 3: message '': expected BACKEND"),
        ("UP door=d init_seed=1 params=[]", "line 2: field params: expected a JSON object"),
        ("UP door=d init_seed=1 params={", "line 2: field params: expected a JSON object"),
        ("LAPSED", "line 2: field door: missing, expected a value"),
        ("LAPSED door", "line 2: field door: expected name=value"),
        ("NONSENSE door=d", "line 2: message 'NONSENSE': expected one the wire page names"),
        ("YOUR_TURN\nLAPSED door=d rid=a", "line 3: message 'LAPSED': expected BATCH"),
    ],
)
def test_an_error_line_is_unchanged(line: str, error: str) -> None:
    with pytest.raises(ProtocolError) as caught:
        serve(io.StringIO(f"BATCH t_ms=1\n{line}\n"), io.StringIO())
    assert str(caught.value) == error
