"""Checks before the start whether the machine allows the open files and the memory that the settings need."""

from __future__ import annotations

import contextlib
import resource
from dataclasses import dataclass
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.event_log import EventLog
from martenstep.supervise.errors import SuperviseError

OWN_FILES = 64  # the listener, the log, the endpoint feed and the interpreter's own
ASSUMED_ENDPOINTS = 32  # with all their connections in use at the same time
MIN_CONNECTIONS = 16  # of clients; a gateway that allows fewer is of no use
REQUEST_BYTES = 8192  # of a buffered request without its body and its response (see bench.memory)
MEMINFO = Path("/proc/meminfo")
CGROUP_LIMIT = Path("/sys/fs/cgroup/memory.max")
BYTES_PER_KIB = 1024
MIB_SHIFT = 20


class ResourceError(SuperviseError):
    """The limit of open files is too low for the least number of connections."""


@dataclass(frozen=True, slots=True)
class ResourceNeed:
    """The most open files and buffered bytes that a gateway may hold."""

    files: int
    bytes: int


def estimate_need(settings: pb.Door) -> ResourceNeed:
    """Estimate the most that a gateway with these settings may hold."""
    listener = settings.listener
    upstream = settings.upstream
    auth = len(settings.auth.service) * (settings.auth.per_service + 1) if settings.HasField("auth") else 0
    store = settings.store.connections * max(len(settings.store.node), 1) if settings.HasField("store") else 0
    files = listener.max_connections + upstream.connections * ASSUMED_ENDPOINTS + auth + store + OWN_FILES
    buffered = listener.max_open * (REQUEST_BYTES + upstream.keep_body_bytes + upstream.hold_answer_bytes)
    return ResourceNeed(files, buffered)


def limit_connections(need: ResourceNeed, connections: int, files: int) -> int:
    """Return how many of the client connections `files` open files allow; raises ResourceError."""
    allowed = connections - max(need.files - files, 0)
    if allowed < MIN_CONNECTIONS:
        raise ResourceError(
            f"{files} open files are allowed, {need.files} are needed for {connections} connections; "
            f"raise the bound (LimitNOFILE, ulimit -n) or lower max_connections"
        )
    return allowed


def raise_file_limit(need: int) -> int:
    """Raise the soft limit of open files as far as needed and allowed; returns the resulting limit, at most `need`."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= need:
        return need
    wanted = need if hard == resource.RLIM_INFINITY else min(need, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError):
        return soft
    return wanted


def available_memory_bytes() -> int | None:
    """Return the smaller of the machine's available memory and the control group's limit; None if neither is known."""
    found = []
    with contextlib.suppress(OSError, ValueError, IndexError):
        for line in MEMINFO.read_text().splitlines():
            if line.startswith("MemAvailable:"):
                found.append(int(line.split()[1]) * BYTES_PER_KIB)
    with contextlib.suppress(OSError, ValueError):  # the value is "max", or there is no such control group
        found.append(int(CGROUP_LIMIT.read_text()))
    return min(found, default=None)


def apply_limits(settings: pb.Door, log_event: EventLog) -> None:
    """Lower max_connections to what the limit of open files allows, and log a lack of memory; raises ResourceError."""
    need = estimate_need(settings)
    workers = max(settings.workers.count, 1)
    files_per_worker = -(-need.files // workers) + OWN_FILES
    files = raise_file_limit(files_per_worker) * workers
    allowed = limit_connections(need, settings.listener.max_connections, files)
    if allowed < settings.listener.max_connections:
        log_event(
            "connection limit lowered",
            {
                "max_connections": allowed,
                "instead_of": settings.listener.max_connections,
                "open_files": files,
                "needed": need.files,
            },
        )
        settings.listener.max_connections = allowed
    available_bytes = available_memory_bytes()
    if available_bytes is not None and need.bytes > available_bytes:
        log_event(
            "memory may not suffice",
            {
                "held_at_most_mb": need.bytes >> MIB_SHIFT,
                "free_mb": available_bytes >> MIB_SHIFT,
                "lower": "listener.max_open, upstream.keep_body_bytes or hold_answer_bytes",
            },
        )
