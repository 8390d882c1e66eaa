"""Hosts gateway instances on the text wire: reads batches from stdin, writes one reply to each.

Only translation happens here.  Instances share nothing; a malformed line ends the process with one plain
message on stderr, and an exception in the module is declared with DIE.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, NoReturn, TextIO

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway

EFFECTS = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "deduplicated": api.Idempotency.KEYED,
    "at_most_once": api.Idempotency.AT_MOST_ONCE,
}
VERDICTS = {
    "Ok": api.CallResult.OK,
    "Failed": api.CallResult.ERROR,
    "QueueFull": api.CallResult.OVERLOADED,
    "TimedOut": api.CallResult.TIMEOUT,
    "ConnectError": api.CallResult.CONNECT_FAILED,
    "ResetByPeer": api.CallResult.RESET,
    "Canceled": api.CallResult.CANCELLED,
    "Ignored": api.CallResult.NOT_SENT,
}
STATES = {"U": api.EndpointState.UP, "L": api.EndpointState.DRAINING, "D": api.EndpointState.REMOVED}
SCOPES = {
    "incr": api.EndpointListScope.DELTA,
    "total": api.EndpointListScope.FULL,
    "warm_copy": api.EndpointListScope.CACHED,
    "lost": api.EndpointListScope.LOST,
}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queue",
    "busy": "busy",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "fail_rate": "error_rate",
}
LAST_FIELDS = ("params", "text")


class WireError(Exception):
    """A line of the wire that cannot be read: says which field and what was expected."""


class Fields:
    """The name=value pairs of one line, read with their forms checked."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self._pairs = pairs

    def text(self, name: str, default: str | None = None) -> str:
        """The field as written."""
        value = self._pairs.get(name, default)
        if value is None:
            raise WireError(f"field {name}: missing, expected a value")
        return value

    def _as(self, name: str, form: Callable[[str], Any], expected: str, default: str | None) -> Any:
        value = self.text(name, default)
        try:
            return form(value)
        except ValueError:
            raise WireError(f"field {name}: expected {expected}, got {value!r}") from None

    def number(self, name: str, default: str | None = None) -> float:
        """A finite number with an optional fraction."""
        value = float(self._as(name, float, "a number", default))
        if value != value or value in (float("inf"), float("-inf")):
            raise WireError(f"field {name}: expected a finite number, got {value!r}")
        return value

    def integer(self, name: str, default: str | None = None) -> int:
        """A whole number."""
        return int(self._as(name, int, "a whole number", default))

    def flag(self, name: str) -> bool:
        """1 or 0; absent is 0."""
        value = self.text(name, "0")
        if value not in ("0", "1"):
            raise WireError(f"field {name}: expected 1 or 0, got {value!r}")
        return value == "1"

    def choice(self, name: str, table: dict[str, Any]) -> Any:
        """One of the words in a table."""
        value = self.text(name)
        if value not in table:
            raise WireError(f"field {name}: expected one of {', '.join(table)}, got {value!r}")
        return table[value]

    def row(self, name: str) -> tuple[float, ...]:
        """Numbers set apart by commas; absent is empty."""
        value = self._pairs.get(name, "")
        if value in ("", "-"):
            return ()
        return tuple(
            self._as(name, lambda text: [float(part) for part in text.split(",")], "numbers set apart by commas", None)
        )


def split_line(line: str) -> tuple[str, Fields]:
    """Split one line into its message name and its fields."""
    name, _, rest = line.partition(" ")
    pairs: dict[str, str] = {}
    while rest:
        key, found, rest = rest.partition("=")
        if not found:
            raise WireError(f"field {key}: expected name=value")
        if key in LAST_FIELDS:
            pairs[key] = rest
            break
        value, _, rest = rest.partition(" ")
        pairs[key] = value
    return name, Fields(pairs)


def _need(table: dict[str, Any], path: str) -> Any:
    value: Any = table
    for part in path.split("."):
        if not isinstance(value, dict) or part not in value:
            raise ValueError(f"setting {path}: missing")
        value = value[part]
    return value


def _effect(entry: dict[str, Any]) -> api.Idempotency:
    word = _need(entry, "idempotency")
    if word not in EFFECTS:
        raise ValueError(f"setting classes[].idempotency: expected one of {', '.join(EFFECTS)}, got {word!r}")
    return EFFECTS[word]


def read_settings(text: str) -> api.Settings:
    """Turn the wire's settings into the module's; raises ValueError naming the key."""
    try:
        raw = json.loads(text)
    except ValueError:
        raise WireError("field params: expected a JSON object") from None
    if not isinstance(raw, dict):
        raise WireError("field params: expected a JSON object")
    return settings_of(raw)


def settings_of(raw: dict[str, Any]) -> api.Settings:
    """The wire's settings, as they come in JSON, in the module's terms; raises ValueError naming the key."""
    family, limits, rules = raw.get("family_info", {}), _need(raw, "policy_limits"), _need(raw, "rules")
    feedback = raw.get("feedback", {})
    try:
        return api.Settings(
            instance=int(_need(raw, "me")),
            instances=int(_need(raw, "instances")),
            zone=raw.get("zone", ""),
            tick_ms=float(_need(raw, "tick_ms")),
            classes=tuple(
                api.RequestClass(
                    name=_need(entry, "name"),
                    latency_objective_ms=float(_need(entry, "slo_ms")),
                    deadline_ms=float(_need(entry, "deadline_ms")),
                    idempotency=_effect(entry),
                    deduplication_scope=api.DeduplicationScope(entry.get("group", "all")),
                    deduplication_window_ms=float(entry.get("window_ms", 0.0)),
                    priority_weight=float(entry.get("worth", 1.0)),
                    late_value_share=float(entry.get("late_share", 0.0)),
                )
                for entry in _need(raw, "classes")
            ),
            plans=tuple(
                api.Plan(
                    name=_need(entry, "name"),
                    rate=float(entry.get("units_per_s", 0.0)),
                    burst=float(entry.get("most_at_once", 0.0)),
                    concurrency_limit=int(entry.get("open", 0)),
                    priority_weight=float(entry.get("worth_factor", 1.0)),
                    over_quota_value=float(entry.get("over_worth", 0.0)),
                    over_quota_cost=float(entry.get("beyond_costs", 0.0)),
                    ceiling_rate=float(entry.get("hard_rate", 0.0)),
                    ceiling_burst=float(entry.get("cap_depth", 0.0)),
                    ceiling_slack=float(entry.get("tolerance", 0.0)),
                )
                for entry in raw.get("contracts", [])
            ),
            endpoint_kinds=tuple(raw.get("kinds", ())),
            has_counter=bool(family.get("has_counter", False)),
            counter_timeout_ms=float(family.get("counter_timeout_ms", 0.0)),
            max_units=float(family.get("max_units", 1.0)),
            settles_actual_units=bool(family.get("trued_up", False)),
            max_attempts=int(limits.get("try_limit", 1)),
            can_cancel=bool(limits.get("cancelling", False)),
            can_health_check=bool(limits.get("probes", False)),
            sends_retry_after=bool(limits.get("retry_after", False)),
            max_retry_after_ms=float(limits.get("max_retry_after_ms", 0.0)),
            must_subscribe=raw.get("discovery", "automatic") == "subscribe",
            poll_interval_ms=float(rules.get("ask_every_ms", 0.0)),
            load_report_fields=tuple(REPORT_FIELDS.get(name, name) for name in feedback.get("fields", ())),
            answer_slack_ms=float(rules.get("answer_slack_ms", 0.0)),
            slow_start_initial_share=float(rules.get("cold_from", 1.0)),
            slow_start_window_ms=float(rules.get("warm_within_ms", 0.0)),
            overload_multiple=float(rules.get("fall_multiple", 1.0)),
            overload_window_ms=float(rules.get("overload_for_ms", 0.0)),
            has_capacity_weights=raw.get("weight_kind", "none") != "none",
        )
    except TypeError as error:
        raise ValueError(f"settings: a value has the wrong form ({error})") from None


def read_server(fields: Fields) -> api.Endpoint:
    """One BACKEND line."""
    return api.Endpoint(
        id=fields.integer("backend"),
        zone=fields.text("zone", ""),
        kind=fields.text("kind", ""),
        cell=fields.integer("cohort", "0"),
        state=fields.choice("condition", STATES),
        capacity=fields.number("size", "1"),
        started_ms=fields.number("born_ms", "0"),
    )


def read_event(name: str, fields: Fields) -> api.Event | None:
    """One event line; None for a message this project has no use for."""
    match name:
        case "QUERY":
            return api.Request(
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
        case "COMPLETED":
            return api.AttemptEnded(
                id=fields.text("rid"),
                attempt=fields.integer("hop"),
                endpoint=fields.integer("backend"),
                result=fields.choice("verdict", VERDICTS),
                rtt_ms=fields.number("rtt_ms", "0"),
                request_complete=fields.flag("ended"),
                actual_units=fields.number("final_units", "0"),
                load_report=fields.row("server_stats"),
            )
        case "TOTAL":
            return api.CounterReply(
                key=fields.integer("cname"),
                result=fields.choice("verdict", VERDICTS),
                rtt_ms=fields.number("rtt_ms", "0"),
                total=fields.number("result_value", "0"),
            )
        case "TICK_DUE":
            return api.TimerFired(fields.integer("name"))
        case "LAPSED":
            return api.ClientDisconnected(fields.text("rid"))
        case "STARTED":
            return api.ResponseStarted(fields.text("rid"))
        case "PONG":
            return api.HealthCheckResult(
                endpoint=fields.integer("backend"),
                result=fields.choice("verdict", VERDICTS),
                rtt_ms=fields.number("rtt_ms", "0"),
                load_report=fields.row("server_stats"),
            )
        case "PEER_DATA":
            return None
    raise WireError(f"message {name!r}: expected one the wire page names")


def write_action(door: str, action: api.Action) -> str:
    """One action as a line of the wire."""
    match action:
        case api.StartAttempt(id=rid, endpoint=server, timeout_ms=timeout_ms):
            return f"HAND_OFF door={door} rid={rid} timeout_ms={timeout_ms:.3f} backend={server}"
        case api.Reject(id=rid, retry_after_ms=wait_ms):
            hold = f" hold_off_ms={wait_ms:.3f}" if wait_ms > 0 else ""
            return f"BOUNCE door={door} rid={rid}{hold}"
        case api.Fail(id=rid):
            return f"ABORT door={door} rid={rid}"
        case api.IncrementCounter(key=name, units=units, expire_ms=expire_ms):
            return f"POST_AMOUNT door={door} qty={units:.7g} cname={name} expire_in_ms={expire_ms:.3f}"
        case api.SetTimer(at_ms=at_ms, token=token):
            return f"SET_ALARM door={door} when_ms={at_ms:.3f} name={token}"
        case api.CancelAttempt(id=rid, attempt=attempt):
            return f"UNDO_SEND door={door} rid={rid} hop={attempt}"
        case api.HealthCheck(endpoint=server):
            return f"SAMPLE door={door} backend={server}"
        case api.Subscribe():
            return f"LISTEN door={door} active=1"
        case api.Log(text=text):
            return f"JOURNAL_LINE door={door} text={' '.join(text.split())}"


class Host:
    """The instances of one process and the numbered lists they refer to."""

    def __init__(self) -> None:
        self._doors: dict[str, Gateway] = {}
        self._rosters: dict[int, tuple[api.Endpoint, ...]] = {}

    def roster(self, number: int, servers: tuple[api.Endpoint, ...]) -> None:
        """Keep a numbered list until the number is used again."""
        self._rosters[number] = servers

    def event(self, now_ms: float, name: str, fields: Fields) -> Iterator[str]:
        """Give one event to its instance and yield the lines of its actions."""
        door = fields.text("door")
        if name == "DETACH":
            self._doors.pop(door, None)
            return
        try:
            if name == "UP":
                self._doors[door] = Gateway(read_settings(fields.text("params")), fields.integer("init_seed"))
                return
            event: api.Event | None
            if name == "UPDATE":
                scope = fields.choice("scope", SCOPES)
                event = api.EndpointListUpdate(
                    scope, () if scope is api.EndpointListScope.LOST else self._listed(fields)
                )
            else:
                event = read_event(name, fields)
            gateway = self._doors.get(door)
            if gateway is None or event is None:
                return
            actions = gateway.handle(now_ms, event)
        except WireError:
            raise
        except Exception as error:
            yield f"DIE door={door} text={type(error).__name__}: {' '.join(str(error).split())}"
            return
        for action in actions:
            yield write_action(door, action)

    def _listed(self, fields: Fields) -> tuple[api.Endpoint, ...]:
        number = fields.integer("roster_id")
        if number not in self._rosters:
            raise WireError(f"field roster_id: expected the number of a TABLE sent before, got {number}")
        return self._rosters[number]


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; raises WireError with the line's number."""
    host = Host()
    lines = enumerate(source, 1)
    now_ms: float | None = None
    reply: list[str] = []
    number = 0

    def take(expected: str) -> tuple[str, Fields]:
        nonlocal number
        number, text = next(lines, (number + 1, ""))
        name, fields = split_line(text.rstrip("\r\n"))
        if name != expected:
            raise WireError(f"message {name!r}: expected {expected}")
        return name, fields

    try:
        for at, text in lines:
            number = at
            line = text.rstrip("\r\n")
            if not line:
                continue
            name, fields = split_line(line)
            if name == "BATCH":
                now_ms = fields.number("t_ms")
            elif now_ms is None:
                raise WireError(f"message {name!r}: expected BATCH")
            elif name == "YOUR_TURN":
                reply.append("READY\n")
                sink.write("\n".join(reply))
                sink.flush()
                reply, now_ms = [], None
            elif name == "TABLE":
                size = fields.integer("entries")
                table = fields.integer("roster_id")
                host.roster(table, tuple(read_server(take("BACKEND")[1]) for _ in range(size)))
            else:
                reply.extend(host.event(now_ms, name, fields))
    except WireError as error:
        raise WireError(f"line {number}: {error}") from None


def main() -> NoReturn:
    """Serve standard input; 0 at its end, 2 on a malformed line."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"martenstep: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0)


if __name__ == "__main__":
    main()
