"""Suspicions of members that failed a probe, and their timeouts (SWIM, with the dynamic timeouts of Lifeguard)."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from martenstep.membership.actions import EventKind
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberRecord, MemberState, SelfReport

SUSPICION_MULTIPLIER = 4.0  # SWIM's alpha: multiplies log10 of the cluster size, in probe intervals
MAX_SUSPICION_MULTIPLIER = 6.0  # memberlist's SuspicionMaxTimeoutMult
MIN_TIMEOUT_CLUSTER_SIZE = 10  # smaller clusters use the timeout of a cluster of ten
MAX_CONFIRMATIONS = 3  # Lifeguard's K


def suspicion_timeout_ms(
    cluster_size: int, confirmations: int, probe_interval_ms: float, min_timeout_ms: float
) -> float:
    """Return how long a member stays suspect before it is declared dead (Lifeguard, section IV.B).

    The minimum is SWIM's alpha * log10(n) probe intervals, and at least `min_timeout_ms`.  Without confirmations the
    timeout is six times the minimum, so that a single faulty member declares others dead only slowly.
    """
    logarithm = math.log10(max(cluster_size, MIN_TIMEOUT_CLUSTER_SIZE))
    minimum = max(min_timeout_ms, SUSPICION_MULTIPLIER * logarithm * probe_interval_ms)
    needed = min(MAX_CONFIRMATIONS, cluster_size - 3)  # the first reporter, the suspect and this node cannot
    if needed < 1:
        return minimum
    maximum = MAX_SUSPICION_MULTIPLIER * minimum
    return max(minimum, maximum - (maximum - minimum) * math.log(confirmations + 1) / math.log(needed + 1))


@dataclass(slots=True)
class Suspicion:
    """A pending suspicion of a member."""

    record: MemberRecord
    began_ms: float
    reporters: set[str]
    expires_ms: float


class SuspicionTracker:
    """The pending suspicions that this node holds, each with a timer."""

    def __init__(self, node: LocalNode, apply_record: Callable[[float, MemberRecord], object]) -> None:
        """`apply_record` merges the record of a member that this node declares dead."""
        self._node = node
        self._apply_record = apply_record
        self.suspicions: dict[str, Suspicion] = {}

    def suspect(self, now: float, record: MemberRecord) -> None:
        """Process a record that suspects a member; each further reporter shortens the timeout."""
        suspicion = self.suspicions.get(record.name)
        if suspicion is not None and suspicion.record.precedence == record.precedence:
            self._confirm(now, suspicion, record)
            return
        suspicion = Suspicion(record, now, {record.reported_by}, 0.0)
        suspicion.expires_ms = now + self._timeout_ms(suspicion)
        self.suspicions[record.name] = suspicion
        self._schedule_expiry(record.name, suspicion)

    def _confirm(self, now: float, suspicion: Suspicion, record: MemberRecord) -> None:
        reporter = record.reported_by
        if not reporter or reporter in suspicion.reporters or len(suspicion.reporters) > MAX_CONFIRMATIONS:
            return
        suspicion.reporters.add(reporter)
        suspicion.expires_ms = max(suspicion.began_ms + self._timeout_ms(suspicion), now)
        self._schedule_expiry(record.name, suspicion)
        self._node.gossip_queue.enqueue(record)  # other members count the confirmation too

    def _timeout_ms(self, suspicion: Suspicion) -> float:
        settings = self._node.settings
        return suspicion_timeout_ms(
            self._node.table.present_count,
            len(suspicion.reporters) - 1,
            settings.probe_interval_ms,
            settings.min_suspicion_ms,
        )

    def _schedule_expiry(self, name: str, suspicion: Suspicion) -> None:
        self._node.timers.schedule(suspicion.expires_ms, partial(self._expire, name=name))

    def _expire(self, now: float, name: str) -> None:
        suspicion = self.suspicions.get(name)
        if suspicion is None or now < suspicion.expires_ms:
            return
        node = self._node
        if node.reports(SelfReport.RECEIVE_PARTITIONED) or node.receives_nothing(now) or now < node.catch_up_until_ms:
            # A refutation may be among the messages that this node has not received, so the suspicion is extended.
            suspicion.expires_ms = now + node.settings.probe_interval_ms
            self._schedule_expiry(name, suspicion)
            return
        record = node.table.get(name)
        if record is not None and self._is_suspect(record, suspicion):
            self._apply_record(now, record.with_state(MemberState.DEAD, node.record.name))

    @staticmethod
    def _is_suspect(record: MemberRecord, suspicion: Suspicion) -> bool:
        return record.state is MemberState.SUSPECT and record.precedence == suspicion.record.precedence

    def clear(self, name: str) -> None:
        """Drop a suspicion that was refuted, or whose member was declared dead or has left."""
        self.suspicions.pop(name, None)

    def is_only_reporter(self, name: str) -> bool:
        """Whether a member is suspected and this node is the only reporter."""
        suspicion = self.suspicions.get(name)
        return suspicion is not None and suspicion.reporters == {self._node.record.name}

    def withdraw(self, now: float, name: str) -> None:
        """Withdraw a suspicion that only this node holds.  If others have received it, the member itself refutes it."""
        suspicion = self.suspicions.pop(name)
        record = self._node.table.get(name)
        if record is not None and self._is_suspect(record, suspicion):
            self._node.table.put(now, record.with_state(MemberState.ALIVE, ""))
            self._node.gossip_queue.discard(name)
            self._node.emit(EventKind.SUSPICION_WITHDRAWN, name)

    def withdraw_own(self, now: float) -> None:
        """Withdraw all suspicions that only this node holds."""
        for name in [name for name in self.suspicions if self.is_only_reporter(name)]:
            self.withdraw(now, name)

    def extend_all(self, paused_ms: float, earliest_ms: float) -> None:
        """Extend all suspicions by a pause of this process, and at least until `earliest_ms`."""
        for name, suspicion in self.suspicions.items():
            suspicion.began_ms += paused_ms
            suspicion.expires_ms = max(suspicion.expires_ms + paused_ms, earliest_ms)
            self._schedule_expiry(name, suspicion)
