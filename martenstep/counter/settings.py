"""Loads the settings of a counter service, and reports all errors in them."""

from __future__ import annotations

from pathlib import Path

from martenstep.config.address import parse_host_port
from martenstep.config.checker import REPLICA_COUNTS, SettingsChecker
from martenstep.config.checks.tls import check_server_tls
from martenstep.config.loading import parse_checked, read_text
from martenstep.config.text_format import FieldPosition
from martenstep.counter import counter_pb2 as pb
from martenstep.counter.state import CounterLimits

MIN_SEGMENT_BYTES = 4096
MIN_UNSENT_BYTES = 4096
MAX_COMMIT_MS = 1000


def build_limits(service: pb.Service) -> CounterLimits:
    """Build the limits of the state from the settings."""
    return CounterLimits(service.window, service.try_window_ms, service.max_tries, service.max_names, service.period_ms)


def check_service(check: SettingsChecker, service: pb.Service, root: FieldPosition) -> None:
    """Check all settings of a service."""
    check.require_present(service, root, "name")
    check.require_port(service, root, any_free=True)
    for name in ("window", "max_tries", "max_names", "max_connections"):
        check.require_range(service, root, name, 1)
    check.require_positive(service, root, "try_window_ms", "period_ms", "idle_ms")
    check.require_range(service, root, "unsent_bytes", MIN_UNSENT_BYTES)
    check_server_tls(check, service.tls if service.HasField("tls") else None, root.at("tls"))
    if service.wait_for_follower and not service.log.durable:  # only durable records are shipped to followers
        check.report(root.at("wait_for_follower"), "expected only with a durable log, but log.durable is false")
    if service.HasField("copies"):
        _check_replicas(check, service, root)
    log_node = root.at("log")
    check.require_present(service.log, log_node, "directory")
    check.require_range(service.log, log_node, "segment_bytes", MIN_SEGMENT_BYTES)
    check.require_range(service.log, log_node, "commit_ms", 0, MAX_COMMIT_MS)
    check.require_range(service.log, log_node, "commit_records", 1)
    check.require_range(service.log, log_node, "keep_ms", 0)


def _check_replicas(check: SettingsChecker, service: pb.Service, root: FieldPosition) -> None:
    """Check the settings of the replicas that hold the counter together."""
    copies = service.copies
    node = root.at("copies")
    check.require_present(copies, node, "group", "key_file", "witness")
    if len(copies.copy) not in REPLICA_COUNTS:
        check.report(node.at("copy"), f"expected {', '.join(map(str, REPLICA_COUNTS))} copies, got {len(copies.copy)}")
    copy_nodes = node.all("copy")
    for copy, copy_node in zip(copies.copy, copy_nodes, strict=True):
        check.require_present(copy, copy_node, "id", "host")
        check.require_port(copy, copy_node, any_free=False)
        if parse_host_port(copy.doors) is None:
            check.report(copy_node.at("doors"), f"expected HOST:PORT, got {copy.doors!r}")
    if copies.copy and all(copy.later for copy in copies.copy):
        check.report(
            node.at("copy"), "all are later, expected at least one that began the group, even if that copy is gone"
        )
    check.require_unique(copy_nodes, copies.copy, "id")
    check.require_unique(copy_nodes, copies.copy, "doors")
    # Replicas provide each of these guarantees by themselves, or cannot provide it.
    for name in ("tls", "wait_for_follower"):
        if service.HasField(name):
            check.report(root.at(name), "not supported together with copies")
    if not service.log.durable:
        check.report(root.at("log").at("durable"), "expected true, because copies acknowledge only what is durable")


def parse_service(text: str, file: str) -> pb.Service:
    """Parse a service's settings; raises SettingsError with all errors."""
    return parse_checked(text, pb.Service(), file, check_service)


def load_service(path: Path) -> pb.Service:
    """Read a service's settings from a file; raises SettingsError with all errors."""
    return parse_service(read_text(path), str(path))
