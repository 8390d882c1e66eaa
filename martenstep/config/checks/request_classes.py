"""Checks of request classes, plans, customers and the parameters of the rules."""

from __future__ import annotations

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.policy_settings import customer_id
from martenstep.config.text_format import FieldPosition


def check_class(checker: SettingsChecker, entry: pb.RequestClass, position: FieldPosition) -> None:
    """Check one request class."""
    checker.require_present(entry, position, "name")
    checker.require_positive(entry, position, "aim_ms", "deadline_ms")
    if entry.aim_ms > entry.deadline_ms > 0:
        checker.report(
            position.at("aim_ms"), f"expected no more than the deadline of {entry.deadline_ms:g}, got {entry.aim_ms:g}"
        )
    checker.require_range(entry, position, "worth", 0)
    if entry.effect == pb.KEYED:
        checker.require_positive(entry, position, "window_ms")
    else:
        for name in ("window_ms", "group"):
            if entry.HasField(name):
                checker.report(position.at(name), "is of use only with effect: KEYED")


def check_plan(checker: SettingsChecker, entry: pb.Plan, position: FieldPosition) -> None:
    """Check one plan."""
    checker.require_present(entry, position, "name")
    for name in ("rate", "burst", "price", "over_worth", "over_cost", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
        checker.require_range(entry, position, name, 0, 1e12)
    if entry.rate > 0 and not entry.burst > 0:
        checker.report(position.at("burst"), "missing, expected above 0 where there is a rate")
    if entry.burst > 0 and not entry.rate > 0:
        checker.report(position.at("rate"), "missing, expected above 0 where there is a burst")
    if entry.ceiling_rate > 0:
        for name, minimum in (("ceiling_rate", entry.rate), ("ceiling_burst", entry.burst)):
            value = getattr(entry, name)
            if value < minimum:
                checker.report(position.at(name), f"expected no less than the quota's {minimum:g}, got {value:g}")
    elif entry.ceiling_burst or entry.ceiling_slack:
        checker.report(position.at("ceiling_rate"), "missing, expected above 0 where there is a ceiling")


def check_rules(checker: SettingsChecker, rules: pb.Rules, position: FieldPosition) -> None:
    """Check the parameters of the rules."""
    for name in ("answer_slack_ms", "drain_grace_ms", "warm_within_ms", "fall_window_ms"):
        checker.require_range(rules, position, name, 0, 1e9)
    checker.require_range(rules, position, "cold_from", 0, 1)
    checker.require_range(rules, position, "fall_multiple", 1, 1e6)
    if rules.warm_within_ms and not rules.fall_window_ms:
        checker.report(position.at("fall_window_ms"), "missing, expected above 0 where warm_within_ms is set")


def check_customers(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check the table of customers against plans and instances."""
    plan_names = {entry.name for entry in settings.plan}
    positions = root.all("customer")
    keys_by_id: dict[int, str] = {}
    for customer, position in zip(settings.customer, positions, strict=True):
        checker.require_present(customer, position, "key")
        checker.require_reference(customer, position, "plan", plan_names, "plan")
        if customer.doors > settings.instances:
            checker.report(
                position.at("doors"), f"expected no more than instances of {settings.instances}, got {customer.doors}"
            )
        if customer.first_door >= max(settings.instances, 1):
            checker.report(
                position.at("first_door"),
                f"expected below instances of {settings.instances}, got {customer.first_door}",
            )
        other = keys_by_id.setdefault(customer_id(customer.key), customer.key)
        if other != customer.key:
            checker.report(
                position.at("key"), f"{customer.key!r} has the same customer number as {other!r}: choose another key"
            )
    checker.require_unique(positions, settings.customer, "key")
    if settings.default_plan:
        checker.require_reference(settings, root, "default_plan", plan_names, "plan")
