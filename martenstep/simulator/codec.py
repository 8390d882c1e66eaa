"""Decodes events from lines of the simulator's protocol and encodes actions as lines."""

from __future__ import annotations

from collections.abc import Callable

from martenstep.policy.messages import (
    Action,
    AttemptEnded,
    CallResult,
    CancelAttempt,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointListScope,
    EndpointState,
    Event,
    Fail,
    HealthCheck,
    HealthCheckResult,
    IncrementCounter,
    Log,
    Reject,
    Request,
    ResponseStarted,
    SetTimer,
    StartAttempt,
    Subscribe,
    TimerFired,
)
from martenstep.simulator.line_format import Fields, ProtocolError

CALL_RESULTS = {
    "Ok": CallResult.OK,
    "Failed": CallResult.ERROR,
    "QueueFull": CallResult.OVERLOADED,
    "TimedOut": CallResult.TIMEOUT,
    "ConnectError": CallResult.CONNECT_FAILED,
    "ResetByPeer": CallResult.RESET,
    "Canceled": CallResult.CANCELLED,
    "Ignored": CallResult.NOT_SENT,
}
ENDPOINT_STATES = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.REMOVED}
LIST_SCOPES = {
    "incr": EndpointListScope.DELTA,
    "total": EndpointListScope.FULL,
    "warm_copy": EndpointListScope.CACHED,
    "lost": EndpointListScope.LOST,
}
IGNORED_EVENTS = ("PEER_DATA",)


def decode_endpoint(fields: Fields) -> Endpoint:
    """Decode the fields of one BACKEND line; raises ProtocolError."""
    return Endpoint(
        id=fields.integer("backend"),
        zone=fields.text("zone", ""),
        kind=fields.text("kind", ""),
        cell=fields.integer("cohort", "0"),
        state=fields.choice("condition", ENDPOINT_STATES),
        capacity=fields.number("size", "1"),
        started_ms=fields.number("born_ms", "0"),
    )


def decode_event(name: str, fields: Fields) -> Event | None:
    """Decode one event line; None for a message that the decisions do not use.  Raises ProtocolError."""
    if name in IGNORED_EVENTS:
        return None
    decode = EVENT_DECODERS.get(name)
    if decode is None:
        raise ProtocolError(f"message {name!r}: expected one the wire page names")
    return decode(fields)


def _decode_request(fields: Fields) -> Request:
    return Request(
        id=fields.text("rid"),
        request_class=fields.text("cls"),
        plan=fields.text("grade_of_service"),
        customer=fields.integer("caller"),
        remaining_ms=fields.number("remaining_ms"),
        units=fields.number("cost_units"),
        instances=fields.integer("spread"),
        first_instance=fields.integer("from_no", "0"),
        is_retry=fields.flag("retry"),
    )


def _decode_attempt_ended(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        id=fields.text("rid"),
        attempt=fields.integer("hop"),
        endpoint=fields.integer("backend"),
        result=fields.choice("verdict", CALL_RESULTS),
        rtt_ms=fields.number("rtt_ms", "0"),
        request_complete=fields.flag("ended"),
        actual_units=fields.number("final_units", "0"),
        load_report=fields.numbers("server_stats"),
    )


def _decode_counter_reply(fields: Fields) -> CounterReply:
    return CounterReply(
        key=fields.integer("cname"),
        result=fields.choice("verdict", CALL_RESULTS),
        rtt_ms=fields.number("rtt_ms", "0"),
        total=fields.number("result_value", "0"),
    )


def _decode_health_check_result(fields: Fields) -> HealthCheckResult:
    return HealthCheckResult(
        endpoint=fields.integer("backend"),
        result=fields.choice("verdict", CALL_RESULTS),
        rtt_ms=fields.number("rtt_ms", "0"),
        load_report=fields.numbers("server_stats"),
    )


EVENT_DECODERS: dict[str, Callable[[Fields], Event]] = {
    "QUERY": _decode_request,
    "COMPLETED": _decode_attempt_ended,
    "TOTAL": _decode_counter_reply,
    "TICK_DUE": lambda fields: TimerFired(fields.integer("name")),
    "LAPSED": lambda fields: ClientDisconnected(fields.text("rid")),
    "STARTED": lambda fields: ResponseStarted(fields.text("rid")),
    "PONG": _decode_health_check_result,
}


def encode_action(instance: str, action: Action) -> str:
    """Encode one action of an instance as a line.

    The function is a flat table of all actions, which is why it has many returns.
    """
    match action:
        case StartAttempt(id=request_id, endpoint=endpoint, timeout_ms=timeout_ms):
            return f"HAND_OFF door={instance} rid={request_id} timeout_ms={timeout_ms:.3f} backend={endpoint}"
        case Reject(id=request_id, retry_after_ms=wait_ms):
            retry_after = f" hold_off_ms={wait_ms:.3f}" if wait_ms > 0 else ""
            return f"BOUNCE door={instance} rid={request_id}{retry_after}"
        case Fail(id=request_id):
            return f"ABORT door={instance} rid={request_id}"
        case IncrementCounter(key=key, units=units, expire_ms=expire_ms):
            return f"POST_AMOUNT door={instance} qty={units:.7g} cname={key} expire_in_ms={expire_ms:.3f}"
        case SetTimer(at_ms=at_ms, token=token):
            return f"SET_ALARM door={instance} when_ms={at_ms:.3f} name={token}"
        case CancelAttempt(id=request_id, attempt=attempt):
            return f"UNDO_SEND door={instance} rid={request_id} hop={attempt}"
        case HealthCheck(endpoint=endpoint):
            return f"SAMPLE door={instance} backend={endpoint}"
        case Subscribe():
            return f"LISTEN door={instance} active=1"
        case Log(text=text):
            return f"JOURNAL_LINE door={instance} text={' '.join(text.split())}"
