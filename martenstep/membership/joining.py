"""Joining the cluster under a name, which another node may own."""

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
CLAIM_PROBES = 3  # of the owner of this node's name, before the name is taken over


class ClusterJoiner:
    """Finds the cluster through its seeds, and settles who owns this node's name."""

    def __init__(
        self, node: LocalNode, dialer: ExchangeDialer, probe_owner: Callable[[float, MemberRecord], None]
    ) -> None:
        """`probe_owner` sends one probe; its result is told to `owner_answered` or `owner_unanswered`."""
        self._node = node
        self._dialer = dialer
        self._probe_owner = probe_owner
        self._retry_ms = MIN_RETRY_MS
        self._retry_chain = 0  # the chain of retries that is in force
        self._claimed_from: MemberRecord | None = None
        self._claim_probes = 0

    def start(self, now: float) -> None:
        """Join now, and retry until that has succeeded."""
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

    def joined(self, now: float) -> None:
        """This node is a member from now on."""
        node = self._node
        node.stage = Stage.JOINED
        node.last_received_ms = now
        self._retry_ms = MIN_RETRY_MS
        node.gossip_queue.enqueue(node.record)
        node.emit(EventKind.JOINED_CLUSTER, node.record.name, members=node.table.present_count)

    # The name.

    def join_with_view(self, now: float, records: list[MemberRecord]) -> None:
        """Join, given the first view of the cluster, where this node's name may be used."""
        own = self._node.record
        same_name = next((record for record in records if record.name == own.name), None)
        if same_name is None or (same_name.owner == own.owner and same_name.boot_id == own.boot_id):
            self.joined(now)
        else:
            self.name_is_owned(now, same_name)

    def name_is_owned(self, now: float, owner: MemberRecord) -> None:
        """The cluster holds another process under this node's name."""
        if not owner.present or owner.address == self._node.record.address:
            self._take_over(now, owner)  # it went, or it cannot be where this node is
            return
        self._node.stage = Stage.CLAIMING_NAME
        self._claimed_from = owner
        self._claim_probes = 0
        self._probe_owner(now, owner)

    def owner_unanswered(self, now: float) -> None:
        """A probe of the name's owner failed."""
        assert self._claimed_from is not None
        self._claim_probes += 1
        if self._claim_probes < CLAIM_PROBES:
            self._probe_owner(now, self._claimed_from)
        else:
            self._take_over(now, self._claimed_from)

    def owner_answered(self, now: float) -> None:
        """The name's owner is there."""
        assert self._claimed_from is not None
        owner = self._claimed_from
        self._node.emit(EventKind.NAME_REJECTED, self._node.record.name, host=owner.host, port=owner.port)
        self.reject(now)

    def reject(self, now: float) -> None:
        """The name belongs to another node for now."""
        self._node.stage = Stage.NAME_CONFLICT
        self._retry_chain += 1
        self._schedule_join(now + MAX_RETRY_MS)

    def _take_over(self, now: float, owner: MemberRecord) -> None:
        """Take the name over from a node that is not there any more, or go on as the same node."""
        self.supersede(now, owner)
        self.joined(now)

    def supersede(self, now: float, claim: MemberRecord) -> None:
        """Announce a record above what is claimed of this name: of an earlier process, or of an owner that is gone."""
        node = self._node
        if claim.node_id == node.record.node_id:
            # Danger: an epoch is not stored on the disk.  Without it, what this node announces counts for nothing.
            node.enter_epoch(max(node.record.epoch, claim.epoch))
            node.announce(now, incarnation=max(claim.incarnation, node.record.incarnation) + 1)
        else:
            node.enter_epoch(claim.epoch + 1)
            node.announce(now)
