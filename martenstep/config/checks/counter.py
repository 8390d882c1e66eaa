"""Checks of the counter: replicated by the gateways themselves, sharded over several services, or one service."""

from __future__ import annotations

import math

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.checks.tls import check_client_tls
from martenstep.config.text_format import FieldPosition


def _check_held_by_gateways(checker: SettingsChecker, settings: pb.Door, position: FieldPosition) -> None:
    checker.forbid_address(settings.counter, position, "held_by_doors")
    for name in ("tls", "map_version"):
        if settings.counter.HasField(name):
            checker.report(position.at(name), "given beside held_by_doors, which does not use it")
    if settings.counter.service:
        checker.report(position.at("service"), "given beside held_by_doors; only one of them may be set")
    if not settings.HasField("copies"):
        checker.report(position.at("held_by_doors"), "requires copies to be set, the replicas that hold the counter")


def _check_services(checker: SettingsChecker, counter: pb.CounterService, position: FieldPosition) -> None:
    checker.forbid_address(counter, position, "service")
    services = position.all("service")
    for service, service_position in zip(counter.service, services, strict=True):
        checker.require_present(service, service_position, "name")
        if not service.copy:
            checker.require_port(service, service_position, any_free=False)
            continue
        checker.forbid_address(service, service_position, "copy")
        for replica, replica_position in zip(service.copy, service_position.all("copy"), strict=True):
            checker.require_port(replica, replica_position, any_free=False)
    checker.require_unique(services, counter.service, "name")


def check_counter(checker: SettingsChecker, settings: pb.Door, position: FieldPosition) -> None:
    """Check the counter's addresses, and the journal of attempts that it has not acknowledged yet."""
    counter = settings.counter
    if counter.held_by_doors:
        _check_held_by_gateways(checker, settings, position)
    elif counter.service:
        _check_services(checker, counter, position)
    else:
        checker.require_port(counter, position, any_free=False)
    if counter.HasField("tls"):
        check_client_tls(checker, counter.tls, position.at("tls"))
    checker.require_present(counter, position, "journal")
    for name in ("waiting", "journal_tries"):
        checker.require_range(counter, position, name, 1)
    if settings.HasField("store"):
        checker.report(position, "given beside store; only one of them may be set")


def check_counter_timeouts(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check that the timeout of a counter call is below every deadline."""
    deadlines_ms = [entry.deadline_ms for entry in getattr(settings, "class") if entry.deadline_ms]
    shortest_ms = min(deadlines_ms, default=math.inf)
    for name in ("store", "counter"):
        if not settings.HasField(name):
            continue
        counter = getattr(settings, name)
        position = root.at(name)
        checker.require_positive(counter, position, "timeout_ms")
        if counter.timeout_ms >= shortest_ms:
            checker.report(
                position.at("timeout_ms"),
                f"expected below the shortest deadline of {shortest_ms:g}, got {counter.timeout_ms:g}",
            )
