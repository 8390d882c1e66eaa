"""The membership core: SWIM with suspicions and incarnations, Lifeguard's local health, and suspicions with a witness.

Without I/O.  In: datagrams, answers of exchanges, and the time.  Out: datagrams, exchanges to be opened, events.  The
time is the host's monotonic clock in milliseconds; nothing else is read, and draws come from the given generator.

What differs from SWIM, and why (docs/design-membership.md weighs the alternatives):

- A suspicion needs a witness (`failure_detector`): a node that is partitioned has none and suspects nobody, however its
  timers run.
- A node whose own clock or event loop was paused cancels the probes under way and prolongs its suspicions by the pause
  before it judges anything (`MembershipCore._detect_pause`).
- Every datagram says how its sender holds its receiver, so that a suspected member learns so first (`record_merger`).
- A node that receives nothing reports so of itself (`partition_detector`).
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

PAUSE_THRESHOLD_MS = (
    100.0  # a timer this late means a paused process: loops of loaded hosts are late by some tens of ms
)
CATCH_UP_INTERVALS = 2  # probe intervals after a pause, in which what waits in the socket is read
HOUSEKEEPING_INTERVAL_MS = 1000.0
FORGET_INTERVAL_MS = 10_000.0  # between two looks for members that have been gone for long


class MembershipCore:
    """One node's part in the membership: puts the parts together and dispatches what arrives."""

    def __init__(
        self, settings: MembershipSettings, record: MemberRecord, keyring: Keyring, rng: random.Random, now: float
    ) -> None:
        """`record` is this node's own, alive, with the boot id and incarnation of this start."""
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
        # The order is part of a seeded run: it decides the order of draws, and of timers that are due at once.
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
        """As given."""
        return self.node.settings

    @property
    def record(self) -> MemberRecord:
        """This node's own record."""
        return self.node.record

    @property
    def table(self) -> MemberTable:
        """What this node holds of all members."""
        return self.node.table

    @property
    def stage(self) -> Stage:
        """Of this node's membership."""
        return self.node.stage

    @property
    def counters(self) -> Counter[str]:
        """By the names of the metrics."""
        return self.node.counters

    @property
    def health_score(self) -> int:
        """Lifeguard's local health: 0 is healthy."""
        return self.node.health.score

    @property
    def joined(self) -> bool:
        """It is a member, as far as it knows."""
        return self.node.stage is Stage.JOINED

    @property
    def receive_partitioned(self) -> bool:
        """It receives nothing."""
        return self.node.reports(SelfReport.RECEIVE_PARTITIONED)

    @property
    def send_partitioned(self) -> bool:
        """Others do not receive what it sends."""
        return self.node.reports(SelfReport.SEND_PARTITIONED)

    def replace_keyring(self, keyring: Keyring) -> None:
        """Sign and verify by other keys from now on."""
        self.channel.keyring = keyring

    def take_actions(self) -> list[Action]:
        """What is to be done since this was last called."""
        actions, self.node.actions = self.node.actions, []
        return actions

    # Time.

    @property
    def next_due_ms(self) -> float:
        """When `wake` is due."""
        return self.node.timers.next_due_ms

    def wake(self, now: float) -> None:
        """Let time pass."""
        self._detect_pause(now)
        self.node.timers.run_due(now)

    def _detect_pause(self, now: float) -> None:
        """Find out, before anything else, whether this process was paused since it last ran."""
        node = self.node
        paused_ms = node.timers.lateness_ms(now)
        if paused_ms <= PAUSE_THRESHOLD_MS:
            return
        # Danger: what ran out meanwhile would accuse others of this node's own pause, and suspicions that were refuted
        # during it would become deaths.  All that was being waited for is void or waits as much longer.
        node.counters["stood"] += 1
        node.health.degrade()
        self.failure_detector.cancel_all()
        node.no_judgement_until_ms = now + CATCH_UP_INTERVALS * node.settings.probe_interval_ms
        self.suspicions.extend_all(paused_ms, node.no_judgement_until_ms)
        node.last_received_ms += paused_ms
        self.probe_round.shift(paused_ms)
        node.timers.postpone_overdue(now)
        node.emit(EventKind.PROCESS_PAUSED, node.record.name, ms=round(paused_ms, 1))
        if paused_ms > node.settings.min_suspicion_ms and node.stage is Stage.JOINED:
            # Others may have declared this node dead, and it knows nothing of what came after: it asks at once.
            self.dialer.reconcile_at_once()

    def _housekeeping(self, now: float) -> None:
        self.node.timers.schedule(now + HOUSEKEEPING_INTERVAL_MS, self._housekeeping)
        self.dialer.check(now)
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
        """Announce that this node leaves; `LEFT_CLUSTER` is told once that is disseminated."""
        self._detect_pause(now)
        self.disseminator.leave(now)

    # Datagrams.

    def receive(self, now: float, data: bytes) -> None:
        """Take in a datagram; whatever is wrong with it is counted and changes nothing."""
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
        """Before it has joined, what a node answers could be taken for the node whose name it wants."""
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
        """The first frame of an exchange that this node opens."""
        return self.exchange.open()

    def serve_exchange(self, now: float, body: bytes) -> bytes:
        """Answer a frame of an exchange that another member opened; raises ProtocolError."""
        self._detect_pause(now)
        return self.exchange.serve(now, body)

    def continue_exchange(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """Take in an answer, or that none came; returns the next frame, None where the exchange is over."""
        self._detect_pause(now)
        return self.exchange.answered(now, token, body)
