"""The membership core: SWIM with suspicion and incarnations, and with Lifeguard's local health and nacks.

The core does no I/O.  It takes datagrams, frames of exchanges and the time; it returns datagrams to send, exchanges to
open, and events.  The time is the host's monotonic clock in milliseconds.  The core reads no other clock, and all
random draws come from the given generator, so that a run is reproducible.

Differences from SWIM, and their reasons (docs/design-membership.md compares the alternatives):

- A suspicion needs a nack from a helper (`failure_detector`): a partitioned node receives none, so it suspects no
  member even though its probes time out.
- A node whose process or event loop was paused cancels its pending probes and extends its suspicions by the pause,
  before it suspects any member or declares one dead (`MembershipCore._detect_pause`).
- Every ping, ack and gossip message carries the sender's view of the receiver, so that a suspected member can refute
  the suspicion early (`record_merger`).
- A node that receives nothing announces this in its own record (`partition_detector`).
"""

from __future__ import annotations

import random
from collections import Counter

from martenstep.membership.actions import Action, EventKind
from martenstep.membership.codec import Ack, Gossip, IndirectPing, IndirectPingResponse, Message, Ping, WrongBootId
from martenstep.membership.core_parts import CoreParts
from martenstep.membership.datagram_channel import DatagramChannel
from martenstep.membership.dissemination import Disseminator
from martenstep.membership.errors import ProtocolError
from martenstep.membership.exchange_dialer import ExchangeDialer
from martenstep.membership.failure_detector import FailureDetector
from martenstep.membership.joining import ClusterJoiner
from martenstep.membership.keyring import Keyring
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberRecord, SelfReport
from martenstep.membership.member_table import MemberTable
from martenstep.membership.partition_detector import PartitionDetector
from martenstep.membership.probe_round import ProbeRound
from martenstep.membership.reconnecting import Reconnector
from martenstep.membership.record_merger import RecordMerger
from martenstep.membership.settings import MembershipSettings, Stage
from martenstep.membership.state_exchange import StateExchange
from martenstep.membership.suspicion import SuspicionTracker

# A timer later than this means that the process was paused: event loops of loaded hosts are late by some tens of ms.
PAUSE_THRESHOLD_MS = 100.0
CATCH_UP_INTERVALS = 2  # probe intervals after a pause in which the datagrams that wait in the socket are read
HOUSEKEEPING_INTERVAL_MS = 1000.0
FORGET_INTERVAL_MS = 10_000.0  # between two searches for members to forget


class MembershipCore:
    """The membership protocol of one node: creates the components and dispatches received messages to them."""

    def __init__(
        self, settings: MembershipSettings, record: MemberRecord, keyring: Keyring, rng: random.Random, now: float
    ) -> None:
        """`record` is this node's own record: alive, with the boot id and incarnation of this start."""
        self.node = node = LocalNode(settings, record, rng, now)
        self.channel = DatagramChannel(node, keyring)
        self.dialer = ExchangeDialer(node)
        self.suspicions = SuspicionTracker(node, self._apply_record)
        self.partitions = PartitionDetector(node, self.suspicions, self.dialer)
        self.probe_round = ProbeRound(node)
        self.joiner = ClusterJoiner(node, self.dialer, self._probe_reachability)
        parts = CoreParts(
            node, self.channel, self.dialer, self.suspicions, self.partitions, self.probe_round, self.joiner
        )
        self.merger = RecordMerger(parts)
        self.failure_detector = FailureDetector(parts, self.merger)
        self.disseminator = Disseminator(node, self.channel, self.merger, self.dialer)
        self.exchange = StateExchange(parts, self.merger)
        self.reconnector = Reconnector(node, self.dialer, self._probe_reachability)
        self._next_forget_ms = now
        self._start(now)

    def _start(self, now: float) -> None:
        # Seeded runs rely on this order: it fixes the order of random draws and of timers due at the same time.
        self.failure_detector.start(now)
        self.disseminator.start(now)
        self.joiner.start(now)
        self.reconnector.start(now)
        self.node.timers.schedule(now + HOUSEKEEPING_INTERVAL_MS, self._housekeeping)

    def _apply_record(self, now: float, record: MemberRecord) -> bool:
        return self.merger.apply(now, record)

    def _probe_reachability(self, now: float, record: MemberRecord) -> None:
        self.failure_detector.probe_reachability(now, record)

    # State.

    @property
    def settings(self) -> MembershipSettings:
        """Return the settings given at construction."""
        return self.node.settings

    @property
    def record(self) -> MemberRecord:
        """Return this node's own record."""
        return self.node.record

    @property
    def table(self) -> MemberTable:
        """Return the records of all members, this node included."""
        return self.node.table

    @property
    def stage(self) -> Stage:
        """Return the stage of this node's own membership."""
        return self.node.stage

    @property
    def counters(self) -> Counter[str]:
        """Return the counters by the names of their metrics."""
        return self.node.counters

    @property
    def health_score(self) -> int:
        """Return the score of Lifeguard's local health; 0 is healthy."""
        return self.node.health.score

    @property
    def joined(self) -> bool:
        """Whether this node has joined the cluster."""
        return self.node.stage is Stage.JOINED

    @property
    def receive_partitioned(self) -> bool:
        """Whether this node reports that it receives nothing."""
        return self.node.reports(SelfReport.RECEIVE_PARTITIONED)

    @property
    def send_partitioned(self) -> bool:
        """Whether this node reports that others do not receive its messages."""
        return self.node.reports(SelfReport.SEND_PARTITIONED)

    def replace_keyring(self, keyring: Keyring) -> None:
        """Sign and verify with other keys from now on."""
        self.channel.keyring = keyring

    def take_actions(self) -> list[Action]:
        """Return the actions added since the last call, in order."""
        actions, self.node.actions = self.node.actions, []
        return actions

    # Time.

    @property
    def next_due_ms(self) -> float:
        """Return the time at which `wake` must be called."""
        return self.node.timers.next_due_ms

    def wake(self, now: float) -> None:
        """Run the timers that are due."""
        self._detect_pause(now)
        self.node.timers.run_due(now)

    def _detect_pause(self, now: float) -> None:
        """Check whether this process was paused since it last ran; each entry point does so first."""
        node = self.node
        paused_ms = node.timers.lateness_ms(now)
        if paused_ms <= PAUSE_THRESHOLD_MS:
            return
        # Timeouts that expired during the pause would blame other members for this node's own pause, and would declare
        # members dead whose refutations arrived meanwhile.  Every pending wait is cancelled or extended by the pause.
        node.counters["stood"] += 1
        node.health.degrade()
        self.failure_detector.cancel_all()
        node.catch_up_until_ms = now + CATCH_UP_INTERVALS * node.settings.probe_interval_ms
        self.suspicions.extend_all(paused_ms, node.catch_up_until_ms)
        node.last_received_ms += paused_ms
        self.probe_round.add_pause(paused_ms)
        node.timers.postpone_overdue(now)
        node.emit(EventKind.PROCESS_PAUSED, node.record.name, ms=round(paused_ms, 1))
        if paused_ms > node.settings.min_suspicion_ms and node.stage is Stage.JOINED:
            # Others may have declared this node dead, and its table lacks all later changes, so it opens an exchange.
            self.dialer.reconcile_at_once()

    def _housekeeping(self, now: float) -> None:
        self.node.timers.schedule(now + HOUSEKEEPING_INTERVAL_MS, self._housekeeping)
        self.dialer.reconcile_if_due(now)
        if now >= self._next_forget_ms:
            self._next_forget_ms = now + FORGET_INTERVAL_MS
            self._forget_gone_members(now)

    def _forget_gone_members(self, now: float) -> None:
        node = self.node
        gone = [
            record.name
            for record in node.table
            if not record.present
            and record.name != node.record.name
            and now - node.table.state_since_ms[record.name] > node.settings.forget_after_ms
        ]
        for name in gone:
            node.table.remove(name)
            node.gossip_queue.discard(name)
            node.emit(EventKind.MEMBER_FORGOTTEN, name)
        self.channel.forget_unknown_addresses()

    def leave(self, now: float) -> None:
        """Announce that this node leaves; emits `LEFT_CLUSTER` once the announcement is disseminated."""
        self._detect_pause(now)
        self.disseminator.leave(now)

    # Datagrams.

    def receive(self, now: float, data: bytes) -> None:
        """Process a datagram; an invalid one is counted and otherwise ignored."""
        self._detect_pause(now)
        if self.node.stage is Stage.LEFT:
            return
        try:
            opened, message = self.channel.receive(now, data)
        except ProtocolError as error:
            self.node.counters[f"dropped_{error.reason}"] += 1
            return
        if isinstance(message, WrongBootId):
            self.failure_detector.on_wrong_boot_id(message)
            return
        if not self._may_answer() and not isinstance(message, Ack):
            return
        self.partitions.message_received(now)
        self._dispatch(now, opened.header.source_boot_id, message)

    def _may_answer(self) -> bool:
        """Whether messages other than acks are processed.

        Before this node has joined, its answers could be mistaken for answers of another node that owns its name.
        """
        return self.node.stage not in (Stage.JOINING, Stage.NAME_CONFLICT, Stage.CLAIMING_NAME)

    def _dispatch(self, now: float, source_boot_id: int, message: Message) -> None:
        match message:
            case Ping():
                self.failure_detector.on_ping(now, source_boot_id, message)
            case Ack():
                self.failure_detector.on_ack(now, message)
            case IndirectPing():
                self.failure_detector.on_indirect_ping(now, source_boot_id, message)
            case IndirectPingResponse():
                self.failure_detector.on_indirect_ping_response(now, message)
            case Gossip():
                self.disseminator.on_gossip(now, message)

    # Exchanges.

    def open_exchange(self) -> bytes:
        """Return the first frame of an exchange that this node opens."""
        return self.exchange.open()

    def serve_exchange(self, now: float, body: bytes) -> bytes:
        """Process a frame of an exchange that another member opened and return the answer; raises ProtocolError."""
        self._detect_pause(now)
        return self.exchange.serve(now, body)

    def continue_exchange(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """Process an answer, None if the exchange failed; returns the next frame, None if the exchange is over."""
        self._detect_pause(now)
        return self.exchange.handle_response(now, token, body)
