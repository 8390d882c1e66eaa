"""Messages between the core and its adapter: operations, actions, and the store's replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from martenstep.event_log import LogFields
from martenstep.policy.messages import CallResult


class ConnectionId(NamedTuple):
    """One connection to one node."""

    node: str
    number: int


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """The core's part of the settings."""

    timeout_ms: float = 50.0
    connections_per_node: int = 4
    max_pending: int = 1000  # calls that are queued or in flight on one connection
    gather_ms: float = 0.0  # how long a call waits for others, so that they share a write
    key_prefix: str = "mstep:"
    scripts: bool = True
    dynamic_topology: bool = False  # whether the nodes can change, so that the topology is queried


@dataclass(frozen=True, slots=True)
class AddCall:
    """One call: units to add to a key; the time to live applies if the key is new."""

    call: int
    key: int
    units: float
    ttl_ms: float
    needs_proof: bool = False


@dataclass(slots=True, eq=False)
class Operation:
    """One statement or plain add that is queued or in flight."""

    key: int
    units: float
    call: int | None
    deadline_ms: float
    version: int = 0  # 0 until the statement is prepared
    total: float = 0.0
    known_version: int = 0  # the version that the store was known to hold when this operation was written
    ttl_ms: int = 0
    indeterminate: bool = False  # it was written and not answered, so that the store may have applied it
    asking: bool = False  # it is sent with ASKING, to the node that its slot is moving to
    attempts: int = 0
    needs_proof: bool = False  # its total needs a proof of how long the node has lost nothing


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection; replies that still arrive on it are discarded."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class WriteOperations:
    """Send operations in one write; they are answered in their order."""

    connection: ConnectionId
    operations: tuple[Operation, ...]
    load_script: bool  # whether SCRIPT LOAD is sent in front
    plain: bool  # whether these are plain adds in place of statements


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Answer a call."""

    call: int
    result: CallResult
    total: float
    retained_ms: float = 0.0  # for how long the node is proved to have lost nothing


@dataclass(frozen=True, slots=True)
class QueryTopology:
    """Query the topology."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log line."""

    event: str
    fields: LogFields


Action = OpenConnection | CloseConnection | WriteOperations | AnswerCall | QueryTopology | LogEvent


@dataclass(frozen=True, slots=True)
class StatementReply:
    """The reply to an operation: the key's total, and the version that the register held before (-1: a plain add)."""

    total: float
    previous_version: int


@dataclass(frozen=True, slots=True)
class StoreError:
    """An error reply of the store."""

    text: str

    @property
    def code(self) -> str:
        """The first word of the text."""
        return self.text.split(" ", 1)[0]
