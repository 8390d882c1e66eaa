"""Opening of state exchanges: which are under way, and when the next is due because tables differ."""

from __future__ import annotations

import math
from enum import Enum, auto

from martenstep.membership.actions import OpenExchange
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import Address, MemberState, SelfReport
from martenstep.membership.settings import Stage

MIN_RECONCILE_INTERVAL_MS = 2000.0  # between exchanges, while tables differ
MAX_RECONCILE_INTERVAL_MS = 15_000.0


class ExchangePurpose(Enum):
    """Why an exchange was opened, or how far it is."""

    JOIN = auto()
    RECONCILE = auto()
    RECONNECT = auto()
    PUSH = auto()  # answered: only the push is left


class ExchangeDialer:
    """The exchanges that this node opens."""

    def __init__(self, node: LocalNode) -> None:
        """None is under way."""
        self._node = node
        self._purposes: dict[int, ExchangePurpose] = {}  # by token
        self._last_dial_ms = -math.inf
        self._reconcile_interval_ms = MIN_RECONCILE_INTERVAL_MS
        self._tables_differ = False

    def dial(self, now: float, to: Address, purpose: ExchangePurpose) -> None:
        """Open an exchange with a member."""
        node = self._node
        token = node.rng.getrandbits(62)
        self._purposes[token] = purpose
        self._last_dial_ms = now
        node.counters["exchanges"] += 1
        node.actions.append(OpenExchange(to, token))

    def purpose(self, token: int) -> ExchangePurpose | None:
        """Of an exchange that is under way; None where it is not."""
        return self._purposes.get(token)

    def close(self, token: int) -> None:
        """An exchange has ended."""
        del self._purposes[token]

    def expect_push_done(self, token: int) -> None:
        """An exchange goes on with a push."""
        self._purposes[token] = ExchangePurpose.PUSH

    def note_result(self, had_differences: bool) -> None:
        """Exchanges that find nothing are opened at growing intervals."""
        if had_differences:
            self._reconcile_interval_ms = MIN_RECONCILE_INTERVAL_MS
        else:
            self._reconcile_interval_ms = min(self._reconcile_interval_ms * 2, MAX_RECONCILE_INTERVAL_MS)

    def compare_digest(self, digest: int) -> None:
        """Another member's table has a digest; while gossip is under way a difference means nothing."""
        if digest != self._node.table.digest and not len(self._node.gossip_queue):
            self._tables_differ = True

    def reconcile_at_once(self) -> None:
        """This node may have missed much: the next check opens an exchange."""
        self._last_dial_ms = -math.inf
        self._tables_differ = True

    def check(self, now: float) -> None:
        """Open an exchange where tables differ and the last one is long enough ago."""
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
