"""Joining the cluster, and resolving conflicts over this node's name.

Another node may own the name.  It is probed: if it answers, this node stays out of the cluster and retries later;
otherwise this node takes the name over under the next epoch.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from martenstep.membership.actions import EventKind
from martenstep.membership.exchange_dialer import ExchangeDialer, ExchangePurpose
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberRecord
from martenstep.membership.settings import Stage

MIN_RETRY_MS = 1000.0
MAX_RETRY_MS = 10_000.0
RETRY_GROWTH = 1.5
RETRY_JITTER = (0.7, 1.3)
CLAIM_PROBES = 3  # failed probes of the name's owner before this node takes the name over


class ClusterJoiner:
    """Joins the cluster through its seeds, and determines which node owns this node's name."""

    def __init__(
        self, node: LocalNode, dialer: ExchangeDialer, probe_owner: Callable[[float, MemberRecord], None]
    ) -> None:
        """`probe_owner` sends one probe; `owner_probe_acknowledged` or `owner_probe_failed` receives its result."""
        self._node = node
        self._dialer = dialer
        self._probe_owner = probe_owner
        self._retry_ms = MIN_RETRY_MS
        self._retry_chain = 0  # a scheduled retry of an earlier chain does nothing
        self._claimed_from: MemberRecord | None = None
        self._claim_probes = 0

    def start(self, now: float) -> None:
        """Try to join now, and retry until this node has joined."""
        self._schedule_join(now)

    def _schedule_join(self, due_ms: float) -> None:
        self._node.timers.schedule(due_ms, partial(self._join, chain=self._retry_chain))

    def _join(self, now: float, chain: int) -> None:
        node = self._node
        if chain != self._retry_chain or node.stage not in (Stage.JOINING, Stage.NAME_CONFLICT):
            return
        node.stage = Stage.JOINING
        self._schedule_join(now + self._retry_ms * node.rng.uniform(*RETRY_JITTER))
        self._retry_ms = min(self._retry_ms * RETRY_GROWTH, MAX_RETRY_MS)
        seeds = [seed for seed in node.settings.seeds if seed != node.record.address]
        if seeds:
            self._dialer.dial(now, node.rng.choice(seeds), ExchangePurpose.JOIN)

    def mark_joined(self, now: float) -> None:
        """Make this node a member, and disseminate its record."""
        node = self._node
        node.stage = Stage.JOINED
        node.last_received_ms = now
        self._retry_ms = MIN_RETRY_MS
        node.gossip_queue.enqueue(node.record)
        node.emit(EventKind.JOINED_CLUSTER, node.record.name, members=node.table.present_count)

    # Ownership of the name.

    def join_with_view(self, now: float, records: list[MemberRecord]) -> None:
        """Join with the first received records of the cluster, unless another process owns this node's name."""
        own = self._node.record
        same_name = next((record for record in records if record.name == own.name), None)
        if same_name is None or (same_name.owner == own.owner and same_name.boot_id == own.boot_id):
            self.mark_joined(now)
        else:
            self.handle_name_owner(now, same_name)

    def handle_name_owner(self, now: float, owner: MemberRecord) -> None:
        """Take the name over if its owner is gone, and probe the owner otherwise."""
        if not owner.present or owner.address == self._node.record.address:
            self._take_over(now, owner)  # it is dead or has left, or this node has its address now
            return
        self._node.stage = Stage.CLAIMING_NAME
        self._claimed_from = owner
        self._claim_probes = 0
        self._probe_owner(now, owner)

    def owner_probe_failed(self, now: float) -> None:
        """Probe the name's owner again, or take the name over after `CLAIM_PROBES` failures."""
        assert self._claimed_from is not None
        self._claim_probes += 1
        if self._claim_probes < CLAIM_PROBES:
            self._probe_owner(now, self._claimed_from)
        else:
            self._take_over(now, self._claimed_from)

    def owner_probe_acknowledged(self, now: float) -> None:
        """Give the name up, because its owner is running."""
        assert self._claimed_from is not None
        owner = self._claimed_from
        self._node.emit(EventKind.NAME_REJECTED, self._node.record.name, host=owner.host, port=owner.port)
        self.enter_name_conflict(now)

    def enter_name_conflict(self, now: float) -> None:
        """Stay out of the cluster while another node owns the name, and retry to join later."""
        self._node.stage = Stage.NAME_CONFLICT
        self._retry_chain += 1
        self._schedule_join(now + MAX_RETRY_MS)

    def _take_over(self, now: float, owner: MemberRecord) -> None:
        """Take the name over from a node that is gone, or continue as the same node after a restart."""
        self.supersede(now, owner)
        self.mark_joined(now)

    def supersede(self, now: float, claim: MemberRecord) -> None:
        """Announce a record that takes precedence over a claim about an earlier process or an owner that is gone."""
        node = self._node
        if claim.node_id == node.record.node_id:
            # The disk does not store the epoch.  Under a lower epoch, this node's records would lose to the claim.
            node.enter_epoch(max(node.record.epoch, claim.epoch))
            node.announce(now, incarnation=max(claim.incarnation, node.record.incarnation) + 1)
        else:
            node.enter_epoch(claim.epoch + 1)
            node.announce(now)
