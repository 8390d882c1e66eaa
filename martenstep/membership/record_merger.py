"""Merges received records into the member table: gossip, suspicion, events and refutation follow from the result."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from martenstep.membership.actions import EventKind
from martenstep.membership.codec import ReceiverView
from martenstep.membership.core_parts import CoreParts
from martenstep.membership.member import MemberRecord, MemberState
from martenstep.membership.settings import Stage

STATE_EVENTS = {
    MemberState.SUSPECT: EventKind.MEMBER_SUSPECT,
    MemberState.DEAD: EventKind.MEMBER_DEAD,
    MemberState.LEFT: EventKind.MEMBER_LEFT,
}


def should_disseminate(previous: MemberRecord | None, record: MemberRecord) -> bool:
    """Whether a record that was just stored is passed on.

    The record of an unknown dead member is not: members forget dead members at different times, and would pass the
    record to each other for ever.
    """
    return previous is not None or record.state is not MemberState.DEAD


class RecordMerger:
    """Merges records about other members, and refutes outdated claims about this node."""

    def __init__(self, parts: CoreParts) -> None:
        """Merges into the member table of `parts.node`."""
        self._node = parts.node
        self._channel = parts.channel
        self._suspicions = parts.suspicions
        self._partitions = parts.partitions
        self._probe_round = parts.probe_round
        self._joiner = parts.joiner

    def apply_all(self, now: float, records: Iterable[MemberRecord]) -> None:
        """Merge records in their order."""
        for record in records:
            self.apply(now, record)

    def apply(self, now: float, record: MemberRecord) -> bool:
        """Merge a record; returns whether the table has stored it."""
        node = self._node
        if record.name == node.record.name:
            self._apply_about_self(now, record)
            return False
        previous = node.table.get(record.name)
        if previous is None:
            if record.state is MemberState.SUSPECT:
                # A suspicion of an unknown member is dropped; the members that suspect it will repeat it.
                record = record.with_state(MemberState.ALIVE, "")
        elif record.precedence == previous.precedence:
            if record.state is MemberState.SUSPECT:
                self._suspicions.suspect(now, record)
            return False
        elif record.precedence < previous.precedence:
            return False
        node.table.put(now, record)
        if should_disseminate(previous, record):
            self._follow_up(now, previous, record)
        # Storing a record that is not passed on makes tables agree, and an older alive record then loses to it.
        return True

    def _follow_up(self, now: float, previous: MemberRecord | None, record: MemberRecord) -> None:
        self._node.gossip_queue.enqueue(record)
        if record.present and (previous is None or not previous.present):
            self._probe_round.insert(record.name)
        self._channel.on_record(previous, record)
        self._probe_round.on_record(now, previous, record)
        if record.state is MemberState.SUSPECT:
            self._suspicions.suspect(now, record)
        else:
            self._suspicions.clear(record.name)
        self._emit_change(previous, record)

    def _emit_change(self, previous: MemberRecord | None, record: MemberRecord) -> None:
        """Emit the events for what a record changed."""
        if record.state is not MemberState.ALIVE:
            if previous is None or previous.state is not record.state or previous.owner != record.owner:
                self._node.emit(
                    STATE_EVENTS[record.state],
                    record.name,
                    reported_by=record.reported_by,
                    incarnation=record.incarnation,
                )
            return
        if previous is None:
            self._node.emit(EventKind.MEMBER_JOINED, record.name, zone=record.zone)
            return
        self._emit_alive(previous, record)
        if previous.self_report != record.self_report:
            self._node.emit(
                EventKind.SELF_REPORT_CHANGED,
                record.name,
                receive_partitioned=record.receive_partitioned,
                send_partitioned=record.send_partitioned,
            )

    def _emit_alive(self, previous: MemberRecord, record: MemberRecord) -> None:
        if previous.owner != record.owner:
            self._node.emit(EventKind.MEMBER_REPLACED, record.name, zone=record.zone)
        elif previous.boot_id != record.boot_id:
            self._node.emit(EventKind.MEMBER_RESTARTED, record.name, incarnation=record.incarnation)
        elif previous.state is MemberState.SUSPECT:
            self._node.emit(EventKind.MEMBER_REFUTED, record.name, incarnation=record.incarnation)
        elif not previous.present:
            self._node.emit(EventKind.MEMBER_RECOVERED, record.name, incarnation=record.incarnation)

    # Records about this node.

    def _apply_about_self(self, now: float, record: MemberRecord) -> None:
        node = self._node
        own = node.record
        if record.owner != own.owner:
            self._apply_other_owner(now, record)
            return
        is_outdated = record.incarnation < own.incarnation
        has_no_precedence = record.incarnation == own.incarnation and (
            record.state <= own.state or own.state is MemberState.LEFT
        )
        if is_outdated or has_no_precedence:
            return
        if (
            record.boot_id != own.boot_id
            and record.present
            and record.address != own.address
            and node.stage is Stage.JOINED
        ):
            # A copy of this node's disk runs elsewhere.  The claim is refuted all the same, because a copy that joins
            # probes the owner of its name first.
            node.emit(EventKind.NODE_ID_DUPLICATED, own.name, host=record.host, port=record.port)
        self._refute(now, record)

    def _refute(self, now: float, record: MemberRecord) -> None:
        """Announce this node under a higher incarnation than that of a claim about it."""
        node = self._node
        if node.stage in (Stage.LEAVING, Stage.LEFT):
            node.announce(now, incarnation=record.incarnation + 1, state=MemberState.LEFT)
            return
        if record.boot_id == node.record.boot_id or not record.present:
            node.health.degrade()
            node.counters["refuted"] += 1
            node.emit(EventKind.SUSPECTED, node.record.name, reported_by=record.reported_by, state=record.state.label)
        node.announce(now, incarnation=record.incarnation + 1)

    def _apply_other_owner(self, now: float, record: MemberRecord) -> None:
        node = self._node
        if record.owner < node.record.owner or node.stage is not Stage.JOINED:
            return
        if record.node_id == node.record.node_id or not record.present:
            # This node joined without having received that record, by an exchange that another member opened.
            self._joiner.supersede(now, record)
            return
        node.emit(EventKind.NAME_LOST, node.record.name, host=record.host, port=record.port)
        self._joiner.enter_name_conflict(now)

    def observe_receiver_view(self, now: float, observer: str, view: ReceiverView | None) -> None:
        """Process the view of this node that the sender of a message holds, and refute a suspicion in it."""
        own = self._node.record
        if view is None or (view.epoch, view.node_id) != own.owner:
            return
        self._partitions.observe_view(now, observer, view)
        if view.incarnation >= own.incarnation and view.state > own.state:
            claim = msgspec.structs.replace(own, incarnation=view.incarnation, state=view.state, reported_by="")
            self._apply_about_self(now, claim)
