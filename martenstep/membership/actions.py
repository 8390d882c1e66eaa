"""What the membership core asks of its host: datagrams to send, exchanges to open, events to log."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from martenstep.membership.member import Address

EventFields = Mapping[str, str | int | float | bool]
RECORDED_NAMES = {"reported_by": "by", "receive_partitioned": "deaf", "send_partitioned": "unheard", "active": "on"}


class EventKind(StrEnum):
    """The kinds of events; the values are those of recorded beliefs."""

    # Of this node.
    JOINED_CLUSTER = "in"
    LEFT_CLUSTER = "gone"
    PROCESS_PAUSED = "late"
    RECEIVE_PARTITIONED = "deaf"
    SEND_PARTITIONED = "unheard"
    SUSPECTED = "accused"
    NAME_REJECTED = "refused"
    NAME_LOST = "displaced"
    NODE_ID_DUPLICATED = "copied"
    # Of another member.
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
        """Its name in the event log."""
        return self.name.lower()


@dataclass(slots=True)
class SendDatagram:
    """A datagram is to be sent."""

    to: Address
    data: bytes


@dataclass(slots=True)
class OpenExchange:
    """An exchange is to be opened; its first frame is given by the core for this token."""

    to: Address
    token: int


@dataclass(slots=True)
class MemberEvent:
    """What happened, for logs, metrics and users of the member table."""

    kind: EventKind
    member: str = ""
    fields: EventFields = field(default_factory=dict)

    @property
    def recorded_fields(self) -> EventFields:
        """The fields under the names of recorded beliefs."""
        return {RECORDED_NAMES.get(name, name): value for name, value in self.fields.items()}


Action = SendDatagram | OpenExchange | MemberEvent
