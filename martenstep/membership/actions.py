"""Actions that the membership core returns to its host: send a datagram, open a state exchange, report an event."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from martenstep.membership.member import Address

EventFields = Mapping[str, str | int | float | bool]
RECORDED_FIELD_NAMES = {
    "reported_by": "by",
    "receive_partitioned": "deaf",
    "send_partitioned": "unheard",
    "active": "on",
}


class EventKind(StrEnum):
    """The kinds of events; the values are written to the record of beliefs, the lowercase names to the event log."""

    # Events about this node.
    JOINED_CLUSTER = "in"
    LEFT_CLUSTER = "gone"
    PROCESS_PAUSED = "late"
    RECEIVE_PARTITIONED = "deaf"
    SEND_PARTITIONED = "unheard"
    SUSPECTED = "accused"
    NAME_REJECTED = "refused"
    NAME_LOST = "displaced"
    NODE_ID_DUPLICATED = "copied"
    # Events about another member.
    MEMBER_JOINED = "joined"
    MEMBER_REPLACED = "replaced"
    MEMBER_RESTARTED = "restarted"
    MEMBER_SUSPECT = "suspect"
    MEMBER_REFUTED = "refuted"
    MEMBER_DEAD = "dead"
    MEMBER_LEFT = "left"
    MEMBER_RECOVERED = "back"
    SELF_REPORT_CHANGED = "says"
    SUSPICION_WITHDRAWN = "withdrawn"
    MEMBER_FORGOTTEN = "forgotten"

    @property
    def label(self) -> str:
        """Return the name that the event log shows."""
        return self.name.lower()


@dataclass(slots=True)
class SendDatagram:
    """Asks the host to send a datagram."""

    to: Address
    data: bytes


@dataclass(slots=True)
class OpenExchange:
    """Asks the host to open a state exchange; the host passes the token back with each answer."""

    to: Address
    token: int


@dataclass(slots=True)
class MemberEvent:
    """Reports a change, for the event log, the record of beliefs and users of the member table."""

    kind: EventKind
    member: str = ""
    fields: EventFields = field(default_factory=dict)

    @property
    def recorded_fields(self) -> EventFields:
        """Return the fields under the names that the record of beliefs uses."""
        return {RECORDED_FIELD_NAMES.get(name, name): value for name, value in self.fields.items()}


Action = SendDatagram | OpenExchange | MemberEvent
