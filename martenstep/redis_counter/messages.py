"""What the core and its adapter say to each other: operations, actions, and the store's replies."""

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
    max_pending: int = 1000  # calls that one connection holds
    gather_ms: float = 0.0  # a call waits so long for others to share its write
    key_prefix: str = "mstep:"
    scripts: bool = True
    dynamic_topology: bool = False  # whether the nodes can change, and are to be queried


@dataclass(frozen=True, slots=True)
class AddCall:
    """One call: units to add to a key, whose time to live applies if it is new."""

    call: int
    key: int
    units: float
    ttl_ms: float
    needs_proof: bool = False


@dataclass(slots=True, eq=False)
class Operation:
    """One statement, or one plain add, on its way."""

    key: int
    units: float
    call: int | None
    deadline_ms: float
    version: int = 0  # 0: not stated yet
    total: float = 0.0
    known_version: int = 0  # that the store was known to hold when this was written
    ttl_ms: int = 0
    indeterminate: bool = False  # it was written once, and no answer came
    asking: bool = False  # the node is asked for a slot that is moving to it
    attempts: int = 0
    needs_proof: bool = False  # its total is to come with a proof


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Connect."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Drop the connection; what it may still say is nobody's."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class WriteOperations:
    """Send these in one write; each is answered in turn."""

    connection: ConnectionId
    operations: tuple[Operation, ...]
    load_script: bool  # first
    plain: bool  # adds, not statements


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """The answer to a call."""

    call: int
    result: CallResult
    total: float
    retained_ms: float = 0.0  # for so long the node has lost nothing, as far as is proved


@dataclass(frozen=True, slots=True)
class QueryTopology:
    """Ask who the nodes are."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the log."""

    event: str
    fields: LogFields


Action = OpenConnection | CloseConnection | WriteOperations | AnswerCall | QueryTopology | LogEvent


@dataclass(frozen=True, slots=True)
class StatementReply:
    """A statement's answer: the key's total, and the version that the register held before; -1 after a plain add."""

    total: float
    previous_version: int


@dataclass(frozen=True, slots=True)
class StoreError:
    """An error that the store answered with."""

    text: str

    @property
    def code(self) -> str:
        """Its first word."""
        return self.text.split(" ", 1)[0]
