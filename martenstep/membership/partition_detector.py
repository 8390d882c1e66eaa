"""Detection of partitions of this very node: it receives nothing, or others do not receive what it sends.

A node that receives nothing reports so of itself, and goes on reporting at a slow beat: whoever receives that does not
probe it, as its answers could not come about.
"""

from __future__ import annotations

from martenstep.membership.actions import EventKind
from martenstep.membership.codec import ReceiverView
from martenstep.membership.exchange_dialer import ExchangeDialer
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import SelfReport
from martenstep.membership.settings import MIN_DISSEMINATION_MS, Stage
from martenstep.membership.suspicion import SuspicionTracker

REPORT_INTERVAL_SHARE = 0.5  # of the least suspicion timeout: between two reports of a node that receives nothing
UNWITNESSED_PROBES = 6  # failed in a row without a witness: this node is not received
OUTDATED_OBSERVERS = 4  # received in a row with an older record of this node: what it sends does not arrive
EVENT_KINDS = {
    SelfReport.RECEIVE_PARTITIONED: EventKind.RECEIVE_PARTITIONED,
    SelfReport.SEND_PARTITIONED: EventKind.SEND_PARTITIONED,
}


class PartitionDetector:
    """What this node reports of itself."""

    def __init__(self, node: LocalNode, suspicions: SuspicionTracker, dialer: ExchangeDialer) -> None:
        """Nothing is reported."""
        self._node = node
        self._suspicions = suspicions
        self._dialer = dialer
        self._unwitnessed_probes = 0
        self._last_report_ms = 0.0
        self.silent_since_ms: float | None = None  # until an exchange after it has ended

    def check(self, now: float) -> None:
        """Judge this node, before it judges others."""
        node = self._node
        if not node.present_members() or node.stage is not Stage.JOINED:
            return
        receive_partitioned = node.reports(SelfReport.RECEIVE_PARTITIONED)
        if not receive_partitioned and node.receives_nothing(now):
            self.silent_since_ms = node.last_received_ms
            self._report(now, SelfReport.RECEIVE_PARTITIONED, True)
            self._report(now, SelfReport.SEND_PARTITIONED, False)  # it cannot tell any more
            self._last_report_ms = now
        elif receive_partitioned and self._report_is_due(now):
            self._last_report_ms = now
            node.announce(now)
        if (
            not node.reports(SelfReport.RECEIVE_PARTITIONED)
            and not node.reports(SelfReport.SEND_PARTITIONED)
            and self._unwitnessed_probes >= UNWITNESSED_PROBES
        ):
            self._report(now, SelfReport.SEND_PARTITIONED, True)

    def _report_is_due(self, now: float) -> bool:
        return now - self._last_report_ms >= REPORT_INTERVAL_SHARE * self._node.settings.min_suspicion_ms

    def _report(self, now: float, condition: SelfReport, active: bool) -> None:
        """Report a condition of this node, or its end."""
        node = self._node
        if node.reports(condition) == active:
            return
        if active:
            # Its own suspicions arose while nothing of it, or to it, got through.
            self._suspicions.withdraw_own(now)
        report = node.record.self_report
        node.announce(now, self_report=report | condition if active else report & ~condition)
        node.emit(EVENT_KINDS[condition], node.record.name, active=active)

    def message_received(self, now: float) -> None:
        """Any message from another member has arrived."""
        self._node.last_received_ms = now
        if self._node.reports(SelfReport.RECEIVE_PARTITIONED):
            self._report(now, SelfReport.RECEIVE_PARTITIONED, False)
            self._dialer.reconcile_at_once()

    def probe_resolved(self) -> None:
        """A probe was acknowledged, or its failure had a witness."""
        self._unwitnessed_probes = 0

    def probe_unwitnessed(self) -> None:
        """A probe failed, and nobody else failed to reach its target."""
        self._unwitnessed_probes += 1

    def probe_acknowledged(self, now: float) -> None:
        """What this node sent was received."""
        self._unwitnessed_probes = 0
        if self._node.reports(SelfReport.SEND_PARTITIONED):
            self._report(now, SelfReport.SEND_PARTITIONED, False)

    def observe_view(self, now: float, observer: str, view: ReceiverView) -> None:
        """A member holds a record of this node: a current one, or one that should have been replaced long ago."""
        node = self._node
        if view.incarnation == node.record.incarnation:
            node.outdated_observers.clear()
            if node.reports(SelfReport.SEND_PARTITIONED) and not self._unwitnessed_probes:
                self._report(now, SelfReport.SEND_PARTITIONED, False)
        elif view.incarnation < node.record.incarnation and now - node.announced_at_ms > MIN_DISSEMINATION_MS:
            node.outdated_observers.add(observer)
            enough = min(OUTDATED_OBSERVERS, node.table.present_count - 1)
            if len(node.outdated_observers) >= enough and not node.reports(SelfReport.RECEIVE_PARTITIONED):
                self._report(now, SelfReport.SEND_PARTITIONED, True)
