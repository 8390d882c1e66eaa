"""Detection of a partition of the local node: it receives nothing, or others do not receive what it sends.

A node that receives nothing announces this in its own record, and repeats the announcement at a low rate.  Members that
receive the announcement do not probe the node, because it cannot receive and so cannot answer their pings.
"""

from __future__ import annotations

from martenstep.membership.actions import EventKind
from martenstep.membership.codec import ReceiverView
from martenstep.membership.exchange_dialer import ExchangeDialer
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import SelfReport
from martenstep.membership.settings import MIN_DISSEMINATION_MS, Stage
from martenstep.membership.suspicion import SuspicionTracker

REPORT_INTERVAL_SHARE = 0.5  # of the minimum suspicion timeout, between two announcements that nothing is received
PROBES_WITHOUT_NACK = 6  # consecutive failures without any nack mean that others do not receive this node
OUTDATED_OBSERVERS = 4  # members with outdated views, and no current view, mean that others do not receive this node
EVENT_KINDS = {
    SelfReport.RECEIVE_PARTITIONED: EventKind.RECEIVE_PARTITIONED,
    SelfReport.SEND_PARTITIONED: EventKind.SEND_PARTITIONED,
}


class PartitionDetector:
    """Detects partitions of this node and announces them in its record."""

    def __init__(self, node: LocalNode, suspicions: SuspicionTracker, dialer: ExchangeDialer) -> None:
        """Neither condition is reported at first."""
        self._node = node
        self._suspicions = suspicions
        self._dialer = dialer
        self._probes_without_nack = 0
        self._last_report_ms = 0.0
        self.receiving_nothing_since_ms: float | None = None  # reset by the first exchange after the partition

    def check_own_connectivity(self, now: float) -> None:
        """Detect a partition of this node; called before each probe of another member."""
        node = self._node
        if not node.present_members() or node.stage is not Stage.JOINED:
            return
        receive_partitioned = node.reports(SelfReport.RECEIVE_PARTITIONED)
        if not receive_partitioned and node.receives_nothing(now):
            self.receiving_nothing_since_ms = node.last_received_ms
            self._report(now, SelfReport.RECEIVE_PARTITIONED, True)
            self._report(now, SelfReport.SEND_PARTITIONED, False)  # no evidence for or against it arrives any more
            self._last_report_ms = now
        elif receive_partitioned and self._report_is_due(now):
            self._last_report_ms = now
            node.announce(now)
        if (
            not node.reports(SelfReport.RECEIVE_PARTITIONED)
            and not node.reports(SelfReport.SEND_PARTITIONED)
            and self._probes_without_nack >= PROBES_WITHOUT_NACK
        ):
            self._report(now, SelfReport.SEND_PARTITIONED, True)

    def _report_is_due(self, now: float) -> bool:
        return now - self._last_report_ms >= REPORT_INTERVAL_SHARE * self._node.settings.min_suspicion_ms

    def _report(self, now: float, condition: SelfReport, active: bool) -> None:
        """Announce that a condition of this node has begun or ended."""
        node = self._node
        if node.reports(condition) == active:
            return
        if active:
            # This node's own suspicions may stem from its partition, in which its messages or the answers were lost.
            self._suspicions.withdraw_own(now)
        report = node.record.self_report
        node.announce(now, self_report=report | condition if active else report & ~condition)
        node.emit(EVENT_KINDS[condition], node.record.name, active=active)

    def message_received(self, now: float) -> None:
        """Note that a message from another member has arrived."""
        self._node.last_received_ms = now
        if self._node.reports(SelfReport.RECEIVE_PARTITIONED):
            self._report(now, SelfReport.RECEIVE_PARTITIONED, False)
            self._dialer.reconcile_at_once()

    def probe_resolved(self) -> None:
        """Note that a probe was acknowledged, or that a helper sent a nack for it."""
        self._probes_without_nack = 0

    def probe_failed_without_nack(self) -> None:
        """Note that a probe failed and no helper confirmed the failure."""
        self._probes_without_nack += 1

    def probe_acknowledged(self, now: float) -> None:
        """Note that a member received a ping of this node."""
        self._probes_without_nack = 0
        if self._node.reports(SelfReport.SEND_PARTITIONED):
            self._report(now, SelfReport.SEND_PARTITIONED, False)

    def observe_view(self, now: float, observer: str, view: ReceiverView) -> None:
        """Evaluate a member's view of this node: it is current, or older than dissemination delay can explain."""
        node = self._node
        if view.incarnation == node.record.incarnation:
            node.outdated_observers.clear()
            if node.reports(SelfReport.SEND_PARTITIONED) and not self._probes_without_nack:
                self._report(now, SelfReport.SEND_PARTITIONED, False)
        elif view.incarnation < node.record.incarnation and now - node.announced_at_ms > MIN_DISSEMINATION_MS:
            node.outdated_observers.add(observer)
            enough = min(OUTDATED_OBSERVERS, node.table.present_count - 1)
            if len(node.outdated_observers) >= enough and not node.reports(SelfReport.RECEIVE_PARTITIONED):
                self._report(now, SelfReport.SEND_PARTITIONED, True)
