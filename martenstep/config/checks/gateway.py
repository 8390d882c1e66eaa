"""Runs all checks of a gateway's settings."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.checks.auth import check_auth, check_forward_auth
from martenstep.config.checks.counter import check_counter, check_counter_timeouts
from martenstep.config.checks.hooks import check_hooks
from martenstep.config.checks.listener import (
    check_admin_and_workers,
    check_endpoint_feed,
    check_listener,
    check_tracing,
    check_upstream,
)
from martenstep.config.checks.membership import check_membership
from martenstep.config.checks.redis_store import check_redis_store
from martenstep.config.checks.replication import check_maintenance, check_replication
from martenstep.config.checks.request_classes import check_class, check_customers, check_plan, check_rules
from martenstep.config.checks.routes import check_routes
from martenstep.config.text_format import FieldPosition

MAX_INSTANCES = 100_000
MAX_RETRY_AFTER_MS = 1e9


def _check_entries(
    checker: SettingsChecker,
    entries: list[Any],
    root: FieldPosition,
    name: str,
    check_entry: Callable[[SettingsChecker, Any, FieldPosition], None],
) -> None:
    positions = root.all(name)
    if not entries:
        checker.report(root.at(name), "missing: at least one is needed")
    for entry, position in zip(entries, positions, strict=True):
        check_entry(checker, entry, position)
    checker.require_unique(positions, entries, "name")


def check_gateway(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check all of a gateway's settings."""
    checker.require_present(settings, root, "name", "zone")
    checker.require_range(settings, root, "instances", 1, MAX_INSTANCES)
    if settings.instances and settings.instance >= settings.instances:
        checker.report(
            root.at("instance"), f"expected below instances of {settings.instances}, got {settings.instance}"
        )
    checker.require_positive(settings, root, "max_units", "stop_ms")
    checker.require_range(settings, root, "max_retry_after_ms", 0, MAX_RETRY_AFTER_MS)
    _check_entries(checker, list(getattr(settings, "class")), root, "class", check_class)
    _check_entries(checker, list(settings.plan), root, "plan", check_plan)
    check_customers(checker, settings, root)
    check_routes(checker, settings, root)
    check_rules(checker, settings.rules, root.at("rules"))
    check_listener(checker, settings.listener, root.at("listener"))
    check_upstream(checker, settings.upstream, root.at("upstream"))
    check_admin_and_workers(checker, settings, root)
    check_endpoint_feed(checker, settings, root)
    check_tracing(checker, settings, root)
    check_maintenance(checker, settings, root)
    check_counter_timeouts(checker, settings, root)
    _check_optional_parts(checker, settings, root)


def _check_optional_parts(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check the messages that a gateway may lack."""
    if settings.HasField("store"):
        check_redis_store(checker, settings.store, root.at("store"))
    if settings.HasField("counter"):
        check_counter(checker, settings, root.at("counter"))
    if settings.HasField("copies"):
        check_replication(checker, settings, root.at("copies"))
    if settings.HasField("fleet"):
        check_membership(checker, settings, root.at("fleet"))
    if settings.HasField("hooks"):
        check_hooks(checker, settings, root.at("hooks"))
    if settings.HasField("auth"):
        check_auth(checker, settings.auth, root.at("auth"))
    if settings.HasField("forward_auth"):
        check_forward_auth(checker, settings, root)
