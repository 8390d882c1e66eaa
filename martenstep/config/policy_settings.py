"""Translates a gateway's settings to the policy's settings, and customer keys to the policy's customer numbers."""

from __future__ import annotations

import hashlib

from martenstep.config import door_pb2 as pb
from martenstep.policy import messages as api

IDEMPOTENCY_BY_EFFECT = {
    pb.SAFE: api.Idempotency.IDEMPOTENT,
    pb.KEYED: api.Idempotency.KEYED,
    pb.UNSAFE: api.Idempotency.AT_MOST_ONCE,
}
DEDUPLICATION_SCOPE_BY_GROUP = {
    pb.ALL: api.DeduplicationScope.ALL,
    pb.ZONE: api.DeduplicationScope.ZONE,
    pb.CELL: api.DeduplicationScope.CELL,
}
TICK_MS = 1.0  # about the time that a response takes on a socket; less remaining time before a deadline is of no use
DEFAULT_ERROR_STATUSES = (500, 502, 503, 504)
CUSTOMER_BITS = 33  # the policy requires customer numbers below 2^33


def customer_id(key: str) -> int:
    """Return a customer's number, which is the same at every instance whatever the order of entries in its file."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> (64 - CUSTOMER_BITS)


def build_request_class(entry: pb.RequestClass) -> api.RequestClass:
    """Build a request class of the policy."""
    return api.RequestClass(
        name=entry.name,
        latency_objective_ms=entry.aim_ms,
        deadline_ms=entry.deadline_ms,
        idempotency=IDEMPOTENCY_BY_EFFECT[entry.effect],
        deduplication_scope=DEDUPLICATION_SCOPE_BY_GROUP[entry.group],
        deduplication_window_ms=entry.window_ms,
        priority_weight=entry.worth,
    )


def build_plan(entry: pb.Plan) -> api.Plan:
    """Build a plan of the policy."""
    return api.Plan(
        name=entry.name,
        rate=entry.rate,
        burst=entry.burst,
        concurrency_limit=entry.open_limit,
        priority_weight=entry.price,
        over_quota_value=entry.over_worth,
        over_quota_cost=entry.over_cost,
        ceiling_rate=entry.ceiling_rate,
        ceiling_burst=entry.ceiling_burst,
        ceiling_slack=entry.ceiling_slack,
    )


def build_policy_settings(settings: pb.Door) -> api.Settings:
    """Build the settings that the policy starts with."""
    rules = settings.rules
    return api.Settings(
        instance=settings.instance,
        instances=settings.instances,
        zone=settings.zone,
        tick_ms=TICK_MS,
        classes=tuple(build_request_class(entry) for entry in getattr(settings, "class")),
        plans=tuple(build_plan(entry) for entry in settings.plan),
        has_counter=settings.HasField("store") or settings.HasField("counter"),
        counter_timeout_ms=settings.counter.timeout_ms if settings.HasField("counter") else settings.store.timeout_ms,
        max_units=settings.max_units,
        max_attempts=settings.upstream.max_attempts,
        can_cancel=settings.upstream.cancel,
        sends_retry_after=True,
        max_retry_after_ms=settings.max_retry_after_ms,
        must_subscribe=True,
        poll_interval_ms=0.0,
        answer_slack_ms=rules.answer_slack_ms,
        slow_start_initial_share=rules.cold_from,
        slow_start_window_ms=rules.warm_within_ms,
        overload_multiple=rules.fall_multiple,
        overload_window_ms=rules.fall_window_ms,
        has_capacity_weights=True,
    )
