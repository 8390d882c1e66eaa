"""The components of the core that the record merger, the failure detector and the state exchange use."""

from __future__ import annotations

from dataclasses import dataclass

from martenstep.membership.datagram_channel import DatagramChannel
from martenstep.membership.exchange_dialer import ExchangeDialer
from martenstep.membership.joining import ClusterJoiner
from martenstep.membership.local_node import LocalNode
from martenstep.membership.partition_detector import PartitionDetector
from martenstep.membership.probe_round import ProbeRound
from martenstep.membership.suspicion import SuspicionTracker


@dataclass(frozen=True, slots=True)
class CoreParts:
    """The components of one node; the core creates them once."""

    node: LocalNode
    channel: DatagramChannel
    dialer: ExchangeDialer
    suspicions: SuspicionTracker
    partitions: PartitionDetector
    probe_round: ProbeRound
    joiner: ClusterJoiner
