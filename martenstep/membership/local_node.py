"""State of the local node that the components of the membership core share."""

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

RECEIVE_TIMEOUT_INTERVALS = 4  # probe intervals without a datagram; four or more datagrams are expected in each


class LocalNode:
    """This node: its own record, its member table, its timers, and its queued gossip and actions."""

    def __init__(self, settings: MembershipSettings, record: MemberRecord, rng: random.Random, now: float) -> None:
        """`record` is this node's own record: alive, with the boot id and incarnation of this start."""
        self.settings = settings
        self.rng = rng
        self.record = record
        self.stage = Stage.JOINING
        self.table = MemberTable()
        self.counters: Counter[str] = Counter()  # by the names of their metrics
        self.health = LocalHealth()
        self.actions: list[Action] = []
        self.timers = TimerQueue()
        self.gossip_queue = GossipQueue()
        self.sender = Sender(record.name, record.host, record.port)
        self.last_received_ms = now  # when any valid message last arrived
        self.catch_up_until_ms = now  # until then after a pause, waiting datagrams are read and no member is suspected
        self.announced_at_ms = now  # when the own record last changed
        self.outdated_observers: set[str] = set()  # have sent an outdated view of this node since the last current one
        self._present_members: list[MemberRecord] = []
        self._present_version = -1
        self.table.put(now, record)

    def emit(self, kind: EventKind, member: str, **fields: str | int | float | bool) -> None:
        """Queue an event for the host."""
        self.actions.append(MemberEvent(kind, member, fields))

    def announce(
        self,
        now: float,
        incarnation: int | None = None,
        state: MemberState = MemberState.ALIVE,
        self_report: int | None = None,
    ) -> None:
        """Disseminate the own record under the next incarnation, or under the given one."""
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
        """Change the epoch of the own record; the caller announces the record afterwards."""
        self.record = msgspec.structs.replace(self.record, epoch=epoch)

    def reports(self, condition: SelfReport) -> bool:
        """Whether this node's own record reports a condition."""
        return bool(self.record.self_report & condition)

    def receives_nothing(self, now: float) -> bool:
        """Whether nothing has arrived for longer than random datagram loss can explain."""
        return now - self.last_received_ms > RECEIVE_TIMEOUT_INTERVALS * self.settings.probe_interval_ms

    def present_members(self) -> list[MemberRecord]:
        """Return the other members that are alive or suspect."""
        if self._present_version != self.table.version:
            self._present_members = [
                record for record in self.table if record.present and record.name != self.record.name
            ]
            self._present_version = self.table.version
        return self._present_members

    def receiver_view(self, name: str) -> ReceiverView | None:
        """Return this node's view of a member, to send to it; None if there is no record."""
        record = self.table.get(name)
        if record is None:
            return None
        return ReceiverView(record.epoch, record.node_id, record.incarnation, record.state)
