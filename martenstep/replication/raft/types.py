"""Settings, roles, stored state and actions of a Raft node."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from martenstep.replication.messages import LogEntry, RaftMessage, Snapshot


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Raft settings of a group; times in milliseconds."""

    election_timeout_ms: float = 400.0  # also how long a follower grants no vote after a leader's message
    heartbeat_interval_ms: float = 100.0
    max_clock_drift: float = 0.02  # greatest relative difference of clock rates; shortens leases accordingly
    recovery_query_interval_ms: float = 200.0


class Role(Enum):
    """Role of a replica; the values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trying"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LogPosition(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Term and index of the last entry of a log; compares as logs do in an election (thesis, 3.6.1)."""

    term: int
    index: int


NO_LOG_FLOOR = LogPosition(0, 0)


@dataclass(slots=True)
class PersistentState:
    """The state that a replica keeps on its disk."""

    term: int = 0
    voted_for: int | None = None
    entries: list[LogEntry] = field(default_factory=list)  # entries after the snapshot
    snapshot: Snapshot | None = None
    log_floor: LogPosition = NO_LOG_FLOOR  # furthest log that it may have acknowledged and lost


@dataclass(slots=True)
class Send:
    """Send a message to another replica."""

    to: int
    message: RaftMessage


@dataclass(slots=True)
class DurableWrite:
    """Make a change of the state durable; writes are applied in order of `sequence`.

    A write sets the term, the vote and the log floor, then truncates the log from an index on, then appends entries or
    replaces all entries up to an index by a snapshot.
    """

    sequence: int
    term: int
    voted_for: int | None
    log_floor: LogPosition = NO_LOG_FLOOR
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class EntryCommitted:
    """Apply an entry; entries are emitted in order, each once per start."""

    entry: LogEntry


@dataclass(slots=True)
class SnapshotInstalled:
    """Restore the state from a snapshot that replaces all entries up to its index."""

    snapshot: Snapshot


@dataclass(slots=True)
class RoleChanged:
    """The role of this replica, or the leader that it follows, has changed."""

    role: Role
    term: int
    leader: int | None


Action = Send | DurableWrite | EntryCommitted | SnapshotInstalled | RoleChanged
