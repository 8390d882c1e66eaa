"""Suspicions: members that failed a probe, and when they are declared dead (SWIM with Lifeguard's timeouts)."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from martenstep.membership.actions import EventKind
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberRecord, MemberState, SelfReport

SUSPICION_MULTIPLIER = 4.0  # SWIM's alpha: times log10 of the cluster's size, in probe intervals
MAX_SUSPICION_MULTIPLIER = 6.0  # memberlist's SuspicionMaxTimeoutMult
MIN_LOGARITHM_SIZE = 10  # smaller clusters wait as long as one of ten
MAX_CONFIRMATIONS = 3  # Lifeguard's K


def suspicion_timeout_ms(
    cluster_size: int, confirmations: int, probe_interval_ms: float, min_timeout_ms: float
) -> float:
    """How long a suspicion stands before it is a death, after so many confirmations (Lifeguard, section IV.B).

    The minimum is SWIM's alpha * log10(n) probe intervals, never below the setting; without a confirmation it is six
    times that, so that the fault of one member alone declares others dead slowly.
    """
    logarithm = math.log10(max(cluster_size, MIN_LOGARITHM_SIZE))
    minimum = max(min_timeout_ms, SUSPICION_MULTIPLIER * logarithm * probe_interval_ms)
    needed = min(MAX_CONFIRMATIONS, cluster_size - 3)  # accuser, accused and this node cannot confirm
    if needed < 1:
        return minimum
    maximum = MAX_SUSPICION_MULTIPLIER * minimum
    return max(minimum, maximum - (maximum - minimum) * math.log(confirmations + 1) / math.log(needed + 1))


@dataclass(slots=True)
class Suspicion:
    """A suspicion that stands."""

    record: MemberRecord
    began_ms: float
    accusers: set[str]
    expires_ms: float


class SuspicionTracker:
    """The suspicions of this node, each with a timer."""

    def __init__(self, node: LocalNode, apply_record: Callable[[float, MemberRecord], object]) -> None:
        """`apply_record` takes the record of a member that is declared dead."""
        self._node = node
        self._apply_record = apply_record
        self.suspicions: dict[str, Suspicion] = {}

    def suspect(self, now: float, record: MemberRecord) -> None:
        """Take in a record that suspects a member; a further accuser shortens the timeout."""
        suspicion = self.suspicions.get(record.name)
        if suspicion is not None and suspicion.record.precedence == record.precedence:
            self._confirm(now, suspicion, record)
            return
        suspicion = Suspicion(record, now, {record.reported_by}, 0.0)
        suspicion.expires_ms = now + self._timeout_ms(suspicion)
        self.suspicions[record.name] = suspicion
        self._schedule_expiry(record.name, suspicion)

    def _confirm(self, now: float, suspicion: Suspicion, record: MemberRecord) -> None:
        accuser = record.reported_by
        if not accuser or accuser in suspicion.accusers or len(suspicion.accusers) > MAX_CONFIRMATIONS:
            return
        suspicion.accusers.add(accuser)
        suspicion.expires_ms = max(suspicion.began_ms + self._timeout_ms(suspicion), now)
        self._schedule_expiry(record.name, suspicion)
        self._node.gossip_queue.enqueue(record)  # each confirmation counts at others as well

    def _timeout_ms(self, suspicion: Suspicion) -> float:
        settings = self._node.settings
        return suspicion_timeout_ms(
            self._node.table.present_count,
            len(suspicion.accusers) - 1,
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
        if (
            node.reports(SelfReport.RECEIVE_PARTITIONED)
            or node.receives_nothing(now)
            or now < node.no_judgement_until_ms
        ):
            # Danger: the refutation may be among what does not arrive here.
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
        """A suspicion was refuted, or decided."""
        self.suspicions.pop(name, None)

    def is_only_own(self, name: str) -> bool:
        """Whether this node alone suspects a member."""
        suspicion = self.suspicions.get(name)
        return suspicion is not None and suspicion.accusers == {self._node.record.name}

    def withdraw(self, now: float, name: str) -> None:
        """Take back a suspicion that only this node holds.  Where others hold it by now the member refutes it."""
        suspicion = self.suspicions.pop(name)
        record = self._node.table.get(name)
        if record is not None and self._is_suspect(record, suspicion):
            self._node.table.put(now, record.with_state(MemberState.ALIVE, ""))
            self._node.gossip_queue.discard(name)
            self._node.emit(EventKind.SUSPICION_WITHDRAWN, name)

    def withdraw_own(self, now: float) -> None:
        """Take back all suspicions that only this node holds."""
        for name in [name for name in self.suspicions if self.is_only_own(name)]:
            self.withdraw(now, name)

    def extend_all(self, paused_ms: float, earliest_ms: float) -> None:
        """This process was paused: all suspicions wait as much longer, and at least until a time."""
        for name, suspicion in self.suspicions.items():
            suspicion.began_ms += paused_ms
            suspicion.expires_ms = max(suspicion.expires_ms + paused_ms, earliest_ms)
            self._schedule_expiry(name, suspicion)
