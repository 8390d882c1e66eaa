"""Checks of the route table."""

from __future__ import annotations

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.text_format import FieldPosition

METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH")


def _check_route(
    checker: SettingsChecker, entry: pb.Route, position: FieldPosition, classes: set[str], max_units: float
) -> None:
    checker.require_reference(entry, position, "class", classes, "class")
    checker.require_positive(entry, position, "units")
    if entry.units > max_units:
        checker.report(position.at("units"), f"expected no more than max_units of {max_units:g}, got {entry.units:g}")
    if not entry.path_prefix.startswith("/"):
        checker.report(position.at("path_prefix"), f"expected a path that begins with '/', got {entry.path_prefix!r}")
    for method in entry.method:
        if method not in METHODS:
            checker.report(position.at("method"), f"expected one of {', '.join(METHODS)}, got {method!r}")
    if entry.WhichOneof("identity") is None:
        checker.report(
            position, "missing customer_header, customer_segment or authenticate, one of which identifies the customer"
        )
    elif entry.HasField("authenticate") and not entry.authenticate:
        checker.report(
            position.at("authenticate"), "expected true, got false: use customer_header or customer_segment instead"
        )
    elif entry.HasField("customer_segment") and not entry.customer_segment:
        checker.report(position.at("customer_segment"), "expected at least 1, got 0")
    if entry.fail_open and not entry.authenticate:
        checker.report(position.at("fail_open"), "is of use only with authenticate")


def check_routes(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check all routes: their classes and units, and that each identifies the customer."""
    if not settings.route:
        checker.report(root.at("route"), "missing: at least one is needed")
    positions = root.all("route")
    class_names = {entry.name for entry in getattr(settings, "class")}
    for route, position in zip(settings.route, positions, strict=True):
        _check_route(checker, route, position, class_names, settings.max_units)
        if route.authenticate and not settings.HasField("auth"):
            checker.report(
                position.at("authenticate"), "there is no auth to ask: authenticate requires the message auth"
            )
        if route.fail_open and not settings.default_plan:
            checker.report(
                position.at("fail_open"),
                "requires default_plan to be set, the plan of requests that pass without a verdict",
            )
    checker.require_unique(positions, settings.route, "name")
