"""Whether the machine's bounds hold what the settings allow: open files and memory, looked at before the start."""

from __future__ import annotations

import contextlib
import resource
from dataclasses import dataclass
from pathlib import Path

from martenstep.config import door_pb2 as pb

OWN_FILES = 64  # the listener, the log, the feed, what the interpreter holds
SERVERS_GUESSED = 32  # whose connections are all in use at once
LEAST_CONNECTIONS = 16  # of clients: with fewer a door is of no use
REQUEST_BYTES = 8192  # of one held request besides its body and its answer, measured about (bench.memory)
MEMINFO, CGROUP = Path("/proc/meminfo"), Path("/sys/fs/cgroup/memory.max")


class ResourceError(Exception):
    """The bounds are too narrow for any service."""


@dataclass(frozen=True, slots=True)
class Need:
    """What a door may come to hold."""

    files: int
    bytes: int


def need_of(door: pb.Door) -> Need:
    """At the worst, by the settings."""
    listener, upstream = door.listener, door.upstream
    services = len(door.auth.service) * (door.auth.per_service + 1) if door.HasField("auth") else 0
    store = door.store.connections * max(len(door.store.node), 1) if door.HasField("store") else 0
    files = listener.max_connections + upstream.connections * SERVERS_GUESSED + services + store + OWN_FILES
    held = listener.max_open * (REQUEST_BYTES + upstream.keep_body_bytes + upstream.hold_answer_bytes)
    return Need(files, held)


def fit_connections(need: Need, connections: int, files: int) -> int:
    """How many clients' connections so many files leave room for; raises ResourceError."""
    left = connections - max(need.files - files, 0)
    if left < LEAST_CONNECTIONS:
        raise ResourceError(
            f"{files} open files are allowed, {need.files} are needed for {connections} connections; "
            f"raise the bound (LimitNOFILE, ulimit -n) or lower max_connections"
        )
    return left


def raise_files(need: int) -> int:
    """Raise the soft bound of open files as far as needed and allowed; gives what holds then."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= need:
        return need
    wanted = need if hard == resource.RLIM_INFINITY else min(need, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError):
        return soft
    return wanted


def memory() -> int | None:
    """Bytes that this process may still take: the least of what the machine has and the control group allows."""
    found = []
    with contextlib.suppress(OSError, ValueError, IndexError):
        for line in MEMINFO.read_text().splitlines():
            if line.startswith("MemAvailable:"):
                found.append(int(line.split()[1]) * 1024)
    with contextlib.suppress(OSError, ValueError):  # "max", or no such group
        found.append(int(CGROUP.read_text()))
    return min(found, default=None)
