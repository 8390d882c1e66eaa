"""Reconnection of a divided cluster: probes of dead members and of unknown seeds detect that a partition has healed."""

from __future__ import annotations

from collections.abc import Callable

from martenstep.membership.exchange_dialer import ExchangeDialer, ExchangePurpose
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberRecord, MemberState
from martenstep.membership.settings import Stage

PROBE_INTERVALS_PER_ATTEMPT = 4
FIRST_JITTER = (0.5, 1.5)
JITTER = (0.7, 1.3)
DEAD_MEMBER_SHARE = 0.8  # of attempts that probe a dead member when there are unknown seeds too


class Reconnector:
    """Probes dead members, and opens exchanges with seeds at whose address no present member is known."""

    def __init__(
        self, node: LocalNode, dialer: ExchangeDialer, probe_dead: Callable[[float, MemberRecord], None]
    ) -> None:
        """`probe_dead` sends one probe whose failure leads to no suspicion."""
        self._node = node
        self._dialer = dialer
        self._probe_dead = probe_dead

    def start(self, now: float) -> None:
        """Schedule the first attempt."""
        self._schedule(now + self._node.rng.uniform(*FIRST_JITTER) * self._interval_ms)

    @property
    def _interval_ms(self) -> float:
        return PROBE_INTERVALS_PER_ATTEMPT * self._node.settings.probe_interval_ms

    def _schedule(self, due_ms: float) -> None:
        self._node.timers.schedule(due_ms, self._attempt)

    def _attempt(self, now: float) -> None:
        node = self._node
        self._schedule(now + self._interval_ms * node.rng.uniform(*JITTER))
        if node.stage is not Stage.JOINED:
            return
        dead = [record for record in node.table if record.state is MemberState.DEAD]
        known = {record.address for record in node.table if record.present}
        seeds = [seed for seed in node.settings.seeds if seed not in known and seed != node.record.address]
        if dead and (not seeds or node.rng.random() < DEAD_MEMBER_SHARE):
            self._probe_dead(now, node.rng.choice(dead))
        elif seeds:
            self._dialer.dial(now, node.rng.choice(seeds), ExchangePurpose.RECONNECT)
