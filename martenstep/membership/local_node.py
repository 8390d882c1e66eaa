"""The state of the local node that the parts of the membership core share."""

from __future__ import annotations

import random
from collections import Counter

import msgspec

from martenstep.membership.actions import Action, EventKind, MemberEvent
from martenstep.membership.codec import ReceiverView, Sender
from martenstep.membership.gossip_queue import GossipQueue
from martenstep.membership.member import MemberRecord, MemberState, SelfReport
from martenstep.membership.member_table import MemberTable
from martenstep.membership.self_health import LocalHealth
from martenstep.membership.settings import MembershipSettings, Stage
from martenstep.membership.timer_queue import TimerQueue

RECEIVE_TIMEOUT_INTERVALS = 4  # probe intervals without a datagram: four or more are expected in each


class LocalNode:
    """This node: its own record, its member table, and what it has queued to be sent or told."""

    def __init__(self, settings: MembershipSettings, record: MemberRecord, rng: random.Random, now: float) -> None:
        """`record` is this node's own, alive, with the boot id and incarnation of this start."""
        self.settings = settings
        self.rng = rng
        self.record = record
        self.stage = Stage.JOINING
        self.table = MemberTable()
        self.counters: Counter[str] = Counter()  # by the names of the metrics
        self.health = LocalHealth()
        self.actions: list[Action] = []
        self.timers = TimerQueue()
        self.gossip_queue = GossipQueue()
        self.sender = Sender(record.name, record.host, record.port)
        self.last_received_ms = now  # anything, from anybody
        self.no_judgement_until_ms = now  # after a pause: until what waits in the socket was read
        self.announced_at_ms = now  # when the own record last changed
        self.outdated_observers: set[str] = set()  # members heard in a row that hold an older own record
        self._present_members: list[MemberRecord] = []
        self._present_version = -1
        self.table.put(now, record)

    def emit(self, kind: EventKind, member: str, **fields: str | int | float | bool) -> None:
        """Tell the host of an event."""
        self.actions.append(MemberEvent(kind, member, fields))

    def announce(
        self,
        now: float,
        incarnation: int | None = None,
        state: MemberState = MemberState.ALIVE,
        self_report: int | None = None,
    ) -> None:
        """Disseminate the own record under a higher incarnation: the next one, unless another is given."""
        record = self.record
        self.record = msgspec.structs.replace(
            record,
            incarnation=record.incarnation + 1 if incarnation is None else incarnation,
            state=state,
            self_report=record.self_report if self_report is None else self_report,
        )
        self.announced_at_ms = now
        self.outdated_observers.clear()
        self.table.put(now, self.record)
        self.gossip_queue.enqueue(self.record)

    def enter_epoch(self, epoch: int) -> None:
        """Change the epoch of the own record; an announcement follows."""
        self.record = msgspec.structs.replace(self.record, epoch=epoch)

    def reports(self, condition: SelfReport) -> bool:
        """Whether this node reports a condition of itself."""
        return bool(self.record.self_report & condition)

    def receives_nothing(self, now: float) -> bool:
        """Whether it has received nothing for so long that chance is no cause of it."""
        return now - self.last_received_ms > RECEIVE_TIMEOUT_INTERVALS * self.settings.probe_interval_ms

    def present_members(self) -> list[MemberRecord]:
        """The other members that are alive or suspect."""
        if self._present_version != self.table.version:
            self._present_members = [
                record for record in self.table if record.present and record.name != self.record.name
            ]
            self._present_version = self.table.version
        return self._present_members

    def receiver_view(self, name: str) -> ReceiverView | None:
        """How this node holds the receiver of a message."""
        record = self.table.get(name)
        if record is None:
            return None
        return ReceiverView(record.epoch, record.node_id, record.incarnation, record.state)
