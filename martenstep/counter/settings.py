"""Loads the settings of a counter service and reports all that is wrong with them."""

from __future__ import annotations

from pathlib import Path

from martenstep.config.address import host_port
from martenstep.config.settings import COPIES, Checker, check_server_tls, parse_checked, read_text
from martenstep.config.text import Node
from martenstep.counter import counter_pb2 as pb
from martenstep.counter.state import CounterLimits

MIN_SEGMENT_BYTES = 4096
MIN_UNSENT_BYTES = 4096
MAX_COMMIT_MS = 1000


def build_limits(service: pb.Service) -> CounterLimits:
    """Build the state's bounds from the settings."""
    return CounterLimits(service.window, service.try_window_ms, service.max_tries, service.max_names, service.period_ms)


def check_service(check: Checker, service: pb.Service, root: Node) -> None:
    """Check all of a service's settings."""
    check.needed(service, root, "name")
    check.port(service, root, any_free=True)
    for name in ("window", "max_tries", "max_names", "max_connections"):
        check.number(service, root, name, 1)
    check.above_zero(service, root, "try_window_ms", "period_ms", "idle_ms")
    check.number(service, root, "unsent_bytes", MIN_UNSENT_BYTES)
    check_server_tls(check, service.tls if service.HasField("tls") else None, root.at("tls"))
    if service.wait_for_follower and not service.log.durable:  # followers hold what is durable
        check.fault(root.at("wait_for_follower"), "fits only a log that is durable")
    if service.HasField("copies"):
        _check_replicas(check, service, root)
    log_node = root.at("log")
    check.needed(service.log, log_node, "directory")
    check.number(service.log, log_node, "segment_bytes", MIN_SEGMENT_BYTES)
    check.number(service.log, log_node, "commit_ms", 0, MAX_COMMIT_MS)
    check.number(service.log, log_node, "commit_records", 1)
    check.number(service.log, log_node, "keep_ms", 0)


def _check_replicas(check: Checker, service: pb.Service, root: Node) -> None:
    """Check the replicas that hold the counter together."""
    copies = service.copies
    node = root.at("copies")
    check.needed(copies, node, "group", "key_file", "witness")
    if len(copies.copy) not in COPIES:
        check.fault(node.at("copy"), f"expected {', '.join(map(str, COPIES))} copies, got {len(copies.copy)}")
    copy_nodes = node.all("copy")
    for copy, copy_node in zip(copies.copy, copy_nodes, strict=True):
        check.needed(copy, copy_node, "id", "host")
        check.port(copy, copy_node, any_free=False)
        if host_port(copy.doors) is None:
            check.fault(copy_node.at("doors"), f"expected HOST:PORT, got {copy.doors!r}")
    if copies.copy and all(copy.later for copy in copies.copy):
        check.fault(node.at("copy"), "all came later: who began the group must be told, even where its copy is gone")
    check.unique(copy_nodes, copies.copy, "id")
    check.unique(copy_nodes, copies.copy, "doors")
    # What each of these would promise, replicas do by themselves, or cannot.
    for name in ("tls", "wait_for_follower"):
        if service.HasField(name):
            check.fault(root.at(name), "does not go with copies")
    if not service.log.durable:
        check.fault(root.at("log").at("durable"), "copies promise only what is durable")


def parse_service(text: str, file: str) -> pb.Service:
    """Parse a service's settings; raises Faults with all that is wrong."""
    return parse_checked(text, pb.Service(), file, check_service)


def load_service(path: Path) -> pb.Service:
    """Read a service's settings from a file; raises Faults with all that is wrong."""
    return parse_service(read_text(path), str(path))
