"""Checks of the replicas that gateways hold for each other, and of the maintenance queue that they store."""

from __future__ import annotations

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import REPLICA_COUNTS, SettingsChecker
from martenstep.config.text_format import FieldPosition

MAX_SLOTS = 256


def check_replication(checker: SettingsChecker, settings: pb.Door, position: FieldPosition) -> None:
    """Check the replicas that gateways hold for each other."""
    copies = settings.copies
    if not settings.HasField("fleet"):
        checker.report(position, "requires fleet to be set: replicas are held by gateways of one fleet")
    checker.require_present(copies, position, "directory", "witness")
    for name in ("port", "counter_port"):
        checker.require_range(copies, position, name, 1, 65535)
    if copies.port == copies.counter_port:
        checker.report(position.at("counter_port"), f"expected another port than port, got {copies.counter_port}")
    checker.require_range(copies, position, "slots", 1, MAX_SLOTS)
    if copies.count not in REPLICA_COUNTS:
        checker.report(position.at("count"), f"expected {', '.join(map(str, REPLICA_COUNTS))}, got {copies.count}")
    checker.require_range(copies, position, "final_ms", 1000)
    if copies.HasField("book"):
        checker.require_range(copies.book, position.at("book"), "wait_ms", 1, 10_000)
        if not settings.counter.held_by_doors:
            checker.report(position.at("book"), "requires counter to be set with held_by_doors")
    founders = position.all("founder")
    if not 1 <= len(copies.founder) <= copies.count:
        checker.report(position.at("founder"), f"expected 1 to {copies.count} founders, got {len(copies.founder)}")
    for founder, at in zip(copies.founder, founders, strict=True):
        checker.require_present(founder, at, "door", "disk")
    checker.require_unique(founders, copies.founder, "door")
    checker.require_unique(founders, copies.founder, "disk")


def check_maintenance(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check the maintenance queue, which is stored in replicas."""
    if not settings.HasField("maintenance"):
        return
    checker.require_positive(settings.maintenance, root.at("maintenance"), "capacity")
    if not settings.HasField("copies"):
        checker.report(root.at("maintenance"), "requires copies to be set: they store the maintenance queue")
