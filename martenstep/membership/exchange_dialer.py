"""Opens state exchanges (anti-entropy): tracks those in progress, and opens one when member tables differ.

Gossip and probes carry the digest of the sender's table.  A difference that is found while no gossip is queued triggers
an exchange, at an interval that doubles while exchanges find no differences.
"""

from __future__ import annotations

import math
from enum import Enum, auto

from martenstep.membership.actions import OpenExchange
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import Address, MemberState, SelfReport
from martenstep.membership.settings import Stage

MIN_RECONCILE_INTERVAL_MS = 2000.0  # between exchanges that find differences
MAX_RECONCILE_INTERVAL_MS = 15_000.0


class ExchangePurpose(Enum):
    """Why an exchange was opened; PUSH once its answer has arrived."""

    JOIN = auto()
    RECONCILE = auto()
    RECONNECT = auto()
    PUSH = auto()  # the pull is answered and only the push is outstanding


class ExchangeDialer:
    """Opens exchanges and tracks those that this node has opened."""

    def __init__(self, node: LocalNode) -> None:
        """No exchange is in progress yet."""
        self._node = node
        self._purposes: dict[int, ExchangePurpose] = {}  # by token
        self._last_dial_ms = -math.inf
        self._reconcile_interval_ms = MIN_RECONCILE_INTERVAL_MS
        self._tables_differ = False

    def dial(self, now: float, to: Address, purpose: ExchangePurpose) -> None:
        """Open an exchange with the member at an address."""
        node = self._node
        token = node.rng.getrandbits(62)
        self._purposes[token] = purpose
        self._last_dial_ms = now
        node.counters["exchanges"] += 1
        node.actions.append(OpenExchange(to, token))

    def purpose(self, token: int) -> ExchangePurpose | None:
        """Return the purpose of an exchange; None if it is not in progress."""
        return self._purposes.get(token)

    def close(self, token: int) -> None:
        """Stop tracking an exchange that has ended."""
        del self._purposes[token]

    def expect_push_done(self, token: int) -> None:
        """Note that an exchange continues with a push."""
        self._purposes[token] = ExchangePurpose.PUSH

    def note_result(self, had_differences: bool) -> None:
        """Adapt the interval: double it after an exchange without differences, reset it after one with some."""
        if had_differences:
            self._reconcile_interval_ms = MIN_RECONCILE_INTERVAL_MS
        else:
            self._reconcile_interval_ms = min(self._reconcile_interval_ms * 2, MAX_RECONCILE_INTERVAL_MS)

    def compare_digest(self, digest: int) -> None:
        """Note whether a received table digest differs; while gossip is queued here, a difference is expected."""
        if digest != self._node.table.digest and not len(self._node.gossip_queue):
            self._tables_differ = True

    def reconcile_at_once(self) -> None:
        """Make the next `reconcile_if_due` open an exchange, because this node may have missed many changes."""
        self._last_dial_ms = -math.inf
        self._tables_differ = True

    def reconcile_if_due(self, now: float) -> None:
        """Open an exchange with a random member if tables differ and the interval since the last one has passed."""
        node = self._node
        if (
            node.stage is not Stage.JOINED
            or not self._tables_differ
            or node.reports(SelfReport.RECEIVE_PARTITIONED)
            or now - self._last_dial_ms <= self._reconcile_interval_ms
        ):
            return
        self._tables_differ = False
        alive = [record for record in node.present_members() if record.state is MemberState.ALIVE]
        if alive:
            self.dial(now, node.rng.choice(alive).address, ExchangePurpose.RECONCILE)
