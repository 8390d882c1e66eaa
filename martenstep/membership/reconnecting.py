"""Finding lost parts of the cluster again: how a healed partition is noticed without either side's help."""

from __future__ import annotations

from collections.abc import Callable

from martenstep.membership.exchange_dialer import ExchangeDialer, ExchangePurpose
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberRecord, MemberState
from martenstep.membership.settings import Stage

INTERVAL_PROBE_INTERVALS = 4  # between two tries
FIRST_JITTER = (0.5, 1.5)
JITTER = (0.7, 1.3)
DEAD_MEMBER_SHARE = 0.8  # of the tries that go to a dead member where seeds are unknown too


class Reconnector:
    """Tries members that are held dead, and seeds at which no member is known."""

    def __init__(
        self, node: LocalNode, dialer: ExchangeDialer, probe_dead: Callable[[float, MemberRecord], None]
    ) -> None:
        """`probe_dead` sends one probe, of which no suspicion follows."""
        self._node = node
        self._dialer = dialer
        self._probe_dead = probe_dead

    def start(self, now: float) -> None:
        """Try from now on."""
        self._schedule(now + self._node.rng.uniform(*FIRST_JITTER) * self._interval_ms)

    @property
    def _interval_ms(self) -> float:
        return INTERVAL_PROBE_INTERVALS * self._node.settings.probe_interval_ms

    def _schedule(self, due_ms: float) -> None:
        self._node.timers.schedule(due_ms, self._try)

    def _try(self, now: float) -> None:
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
