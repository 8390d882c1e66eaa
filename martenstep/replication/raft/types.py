"""Settings, roles, stored state and actions of a Raft node."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from martenstep.replication.messages import LogEntry, RaftMessage, Snapshot


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Of a group; times in milliseconds."""

    election_timeout_ms: float = 400.0  # also the time for which a follower votes against nobody it hears
    heartbeat_interval_ms: float = 100.0
    max_clock_drift: float = 0.02  # clocks run apart by no more than this part: a lease ends so much sooner
    recovery_query_interval_ms: float = 200.0


class Role(Enum):
    """Role of a replica; the values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trying"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LogPosition(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Where a log ends; positions compare as logs do in an election (thesis, 3.6.1)."""

    term: int
    index: int


NO_LOG_FLOOR = LogPosition(0, 0)


@dataclass(slots=True)
class PersistentState:
    """What a replica keeps on its disk."""

    term: int = 0
    voted_for: int | None = None
    entries: list[LogEntry] = field(default_factory=list)  # those after the snapshot
    snapshot: Snapshot | None = None
    log_floor: LogPosition = NO_LOG_FLOOR  # what this replica may have acknowledged and forgotten


@dataclass(slots=True)
class Send:
    """Send a message to another replica."""

    to: int
    message: RaftMessage


@dataclass(slots=True)
class DurableWrite:
    """Make the state durable, in order of `sequence`.

    First the term, the vote and the floor, then the log truncated from an index on, then entries, or a snapshot in
    place of all up to its index.
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
    """Apply an entry; given in order, each once after a start."""

    entry: LogEntry


@dataclass(slots=True)
class SnapshotInstalled:
    """Restore the state from a snapshot, in place of all entries up to its index."""

    snapshot: Snapshot


@dataclass(slots=True)
class RoleChanged:
    """The role of this replica, or the leader that it follows, is another one."""

    role: Role
    term: int
    leader: int | None


Action = Send | DurableWrite | EntryCommitted | SnapshotInstalled | RoleChanged
