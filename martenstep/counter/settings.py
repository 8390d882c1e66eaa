"""Loads the settings of a counter service and tells all that is wrong with them."""

from __future__ import annotations

from pathlib import Path

from martenstep.config.address import parse_host_port
from martenstep.config.checker import REPLICA_COUNTS, SettingsChecker
from martenstep.config.checks.tls import check_server_tls
from martenstep.config.loading import parse_checked, read_text
from martenstep.config.text_format import FieldPosition
from martenstep.counter import counter_pb2 as pb

LEAST_SEGMENT = 4096


def check_service(check: SettingsChecker, service: pb.Service, root: FieldPosition) -> None:
    """All of a service's settings."""
    check.require_present(service, root, "name")
    check.require_port(service, root, any_free=True)
    for name in ("window", "max_tries", "max_names", "max_connections"):
        check.require_range(service, root, name, 1)
    check.require_positive(service, root, "try_window_ms", "period_ms", "idle_ms")
    check.require_range(service, root, "unsent_bytes", 4096)
    check_server_tls(check, service.tls if service.HasField("tls") else None, root.at("tls"))
    if service.wait_for_follower and not service.log.durable:  # followers hold what is durable
        check.report(root.at("wait_for_follower"), "fits only a log that is durable")
    if service.HasField("copies"):
        _check_copies(check, service, root)
    node = root.at("log")
    check.require_present(service.log, node, "directory")
    check.require_range(service.log, node, "segment_bytes", LEAST_SEGMENT)
    check.require_range(service.log, node, "commit_ms", 0, 1000)
    check.require_range(service.log, node, "commit_records", 1)
    check.require_range(service.log, node, "keep_ms", 0)


def _check_copies(check: SettingsChecker, service: pb.Service, root: FieldPosition) -> None:
    """Who holds the counter together."""
    copies, node = service.copies, root.at("copies")
    check.require_present(copies, node, "group", "key_file", "witness")
    if len(copies.copy) not in REPLICA_COUNTS:
        check.report(node.at("copy"), f"expected {', '.join(map(str, REPLICA_COUNTS))} copies, got {len(copies.copy)}")
    nodes = node.all("copy")
    for copy, at in zip(copies.copy, nodes, strict=True):
        check.require_present(copy, at, "id", "host")
        check.require_port(copy, at, any_free=False)
        if parse_host_port(copy.doors) is None:
            check.report(at.at("doors"), f"expected HOST:PORT, got {copy.doors!r}")
    if copies.copy and all(copy.later for copy in copies.copy):
        check.report(node.at("copy"), "all came later: who began the group must be told, even where its copy is gone")
    check.require_unique(nodes, copies.copy, "id")
    check.require_unique(nodes, copies.copy, "doors")
    # What each of these would promise, the copies do by themselves, or cannot.
    for name in ("tls", "wait_for_follower"):
        if service.HasField(name):
            check.report(root.at(name), "does not go with copies")
    if not service.log.durable:
        check.report(root.at("log").at("durable"), "copies promise only what is durable")


def parse_service(text: str, file: str) -> pb.Service:
    """A service's settings from text; raises SettingsError with all that is wrong."""
    return parse_checked(text, pb.Service(), file, check_service)


def load_service(path: Path) -> pb.Service:
    """A service's settings from a file; raises SettingsError with all that is wrong."""
    return parse_service(read_text(path), str(path))
