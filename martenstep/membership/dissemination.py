"""Gossip rounds: at a fixed interval, queued records are sent to a few random members."""

from __future__ import annotations

from martenstep.membership.actions import EventKind
from martenstep.membership.codec import Gossip
from martenstep.membership.datagram_channel import DatagramChannel
from martenstep.membership.exchange_dialer import ExchangeDialer
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberState
from martenstep.membership.record_merger import RecordMerger
from martenstep.membership.settings import Stage

FANOUT = 3  # receivers in each round; a record then reaches all n members in about log(n) rounds
LEAVE_ROUNDS = 5  # gossip rounds in which a leaving node disseminates its announcement


class Disseminator:
    """Sends gossip, including the announcement that this node leaves."""

    def __init__(self, node: LocalNode, channel: DatagramChannel, merger: RecordMerger, dialer: ExchangeDialer) -> None:
        """Gossip starts with `start`."""
        self._node = node
        self._channel = channel
        self._merger = merger
        self._dialer = dialer
        self._leave_rounds = 0

    def start(self, now: float) -> None:
        """Start gossip rounds, the first at a random time within one interval."""
        node = self._node
        node.timers.schedule(now + node.rng.uniform(0.0, node.settings.gossip_interval_ms), self._gossip)

    def _gossip(self, now: float) -> None:
        node = self._node
        node.timers.schedule(now + node.settings.gossip_interval_ms, self._gossip)
        if node.stage is Stage.LEAVING:
            self._leave_rounds += 1
            if self._leave_rounds > LEAVE_ROUNDS:
                self._finish_leaving()
        if node.stage not in (Stage.JOINED, Stage.LEAVING) or not len(node.gossip_queue):
            return
        members = node.present_members()
        for record in node.rng.sample(members, min(FANOUT, len(members))):
            message = Gossip(node.sender, node.receiver_view(record.name), node.table.digest)
            self._channel.send_with_gossip(record.address, record.boot_id, record.name, message)

    def on_gossip(self, now: float, message: Gossip) -> None:
        """Merge the received records and compare the sender's table digest."""
        self._merger.observe_receiver_view(now, message.sender.name, message.receiver_view)
        self._merger.apply_all(now, message.records)
        self._dialer.compare_digest(message.digest)

    def leave(self, now: float) -> None:
        """Announce that this node leaves; emits `LEFT_CLUSTER` once the announcement is disseminated."""
        node = self._node
        if node.stage in (Stage.LEAVING, Stage.LEFT):
            return
        was_joined = node.stage is Stage.JOINED
        node.stage = Stage.LEAVING
        if was_joined and node.present_members():
            node.announce(now, state=MemberState.LEFT)
        else:
            self._finish_leaving()

    def _finish_leaving(self) -> None:
        self._node.stage = Stage.LEFT
        self._node.emit(EventKind.LEFT_CLUSTER, self._node.record.name)
