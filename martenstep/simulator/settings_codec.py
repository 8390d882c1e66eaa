"""Decodes the settings of an instance from the JSON that the simulator and the platform send.

Unknown keys are ignored.
"""

from __future__ import annotations

import json
from typing import Any

from martenstep.policy.messages import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from martenstep.simulator.line_format import ProtocolError

IDEMPOTENCY = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.AT_MOST_ONCE,
}
LOAD_REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queue",
    "busy": "busy",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "fail_rate": "error_rate",
}
JsonObject = dict[str, Any]


def parse_settings(text: str) -> Settings:
    """Decode settings from JSON text; raises ProtocolError, or ValueError that names the key."""
    try:
        raw = json.loads(text)
    except ValueError:
        raise ProtocolError("field params: expected a JSON object") from None
    if not isinstance(raw, dict):
        raise ProtocolError("field params: expected a JSON object")
    return decode_settings(raw)


def decode_settings(raw: JsonObject) -> Settings:
    """Decode settings from a JSON object; raises ValueError that names the key."""
    limits = _required(raw, "policy_limits")
    rules = _required(raw, "rules")
    try:
        return _decode_settings(raw, limits, rules)
    except TypeError as error:
        raise ValueError(f"settings: a value has the wrong form ({error})") from None


def _decode_settings(raw: JsonObject, limits: JsonObject, rules: JsonObject) -> Settings:
    """Decode all keys; the function is a flat table of them, which is why it is long."""
    family = raw.get("family_info", {})
    feedback = raw.get("feedback", {})
    return Settings(
        instance=int(_required(raw, "me")),
        instances=int(_required(raw, "instances")),
        zone=raw.get("zone", ""),
        tick_ms=float(_required(raw, "tick_ms")),
        classes=tuple(_decode_class(entry) for entry in _required(raw, "classes")),
        plans=tuple(_decode_plan(entry) for entry in raw.get("contracts", [])),
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
        load_report_fields=tuple(LOAD_REPORT_FIELDS.get(name, name) for name in feedback.get("fields", ())),
        answer_slack_ms=float(rules.get("answer_slack_ms", 0.0)),
        slow_start_initial_share=float(rules.get("cold_from", 1.0)),
        slow_start_window_ms=float(rules.get("warm_within_ms", 0.0)),
        overload_multiple=float(rules.get("fall_multiple", 1.0)),
        overload_window_ms=float(rules.get("overload_for_ms", 0.0)),
        has_capacity_weights=raw.get("weight_kind", "none") != "none",
    )


def _decode_class(entry: JsonObject) -> RequestClass:
    return RequestClass(
        name=_required(entry, "name"),
        latency_objective_ms=float(_required(entry, "slo_ms")),
        deadline_ms=float(_required(entry, "deadline_ms")),
        idempotency=_decode_idempotency(_required(entry, "idempotency")),
        deduplication_scope=DeduplicationScope(entry.get("group", "all")),
        deduplication_window_ms=float(entry.get("window_ms", 0.0)),
        priority_weight=float(entry.get("worth", 1.0)),
        late_value_share=float(entry.get("late_share", 0.0)),
    )


def _decode_idempotency(word: str) -> Idempotency:
    if word not in IDEMPOTENCY:
        raise ValueError(f"setting classes[].idempotency: expected one of {', '.join(IDEMPOTENCY)}, got {word!r}")
    return IDEMPOTENCY[word]


def _decode_plan(entry: JsonObject) -> Plan:
    return Plan(
        name=_required(entry, "name"),
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


def _required(table: JsonObject, key: str) -> Any:  # noqa: ANN401 - decoded JSON, converted by the caller
    if not isinstance(table, dict) or key not in table:
        raise ValueError(f"setting {key}: missing")
    return table[key]
