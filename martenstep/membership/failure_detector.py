"""The failure detector: direct probes, indirect probes through helpers, and suspicion after a failed probe.

This is SWIM, section 3.1, with one difference: a suspicion needs a nack, the answer of a helper, before the probe ends,
that it received no acknowledgement from the target either.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from martenstep.membership.codec import Ack, IndirectPing, IndirectPingResponse, Ping, WrongBootId
from martenstep.membership.core_parts import CoreParts
from martenstep.membership.exchange_dialer import ExchangePurpose
from martenstep.membership.member import Address, MemberRecord, MemberState, SelfReport
from martenstep.membership.record_merger import RecordMerger
from martenstep.membership.settings import Stage

INDIRECT_PROBES = 3  # SWIM's k; at 5% datagram loss, one probe in 1,600 fails directly and through all helpers
PROBE_TIMEOUT_SHARE = 0.95  # of the probe interval, so that a probe is evaluated before the next one starts


@dataclass(slots=True)
class _Probe:
    target: MemberRecord
    may_suspect: bool  # whether failure may lead to a suspicion: not for a dead member or the owner of this node's name
    helpers: int = 0
    nacks: int = 0  # helpers that received no acknowledgement either
    acknowledged: bool = False


@dataclass(slots=True)
class _RelayedProbe:
    """A probe that this node sent as a helper, on behalf of another member."""

    requester: Address
    requester_boot_id: int
    nonce: int


class FailureDetector:
    """Probes the other members one after another, and answers their probes."""

    def __init__(self, parts: CoreParts, merger: RecordMerger) -> None:
        """No probe is pending before `start`."""
        self._node = parts.node
        self._channel = parts.channel
        self._merger = merger
        self._suspicions = parts.suspicions
        self._partitions = parts.partitions
        self._probe_round = parts.probe_round
        self._joiner = parts.joiner
        self._dialer = parts.dialer
        self._probes: dict[int, _Probe] = {}  # by nonce
        self._relayed_probes: dict[int, _RelayedProbe] = {}  # by nonce

    def start(self, now: float) -> None:
        """Start probing, first at a random time within one interval."""
        node = self._node
        node.timers.schedule(now + node.rng.uniform(0.0, node.settings.probe_interval_ms), self._probe_next)

    def cancel_all(self) -> None:
        """Cancel all probes after a pause of this process: their timeouts say nothing about other members."""
        self._probes.clear()
        self._relayed_probes.clear()

    # Probing.

    def _probe_next(self, now: float) -> None:
        node = self._node
        node.timers.schedule(now + node.settings.probe_interval_ms * node.health.multiplier, self._probe_next)
        if node.stage is not Stage.JOINED:
            return
        self._partitions.check_own_connectivity(now)
        target = self._probe_round.next_target(now)
        if target is None:
            return
        nonce = self._send_probe(target, may_suspect=True)
        interval_ms = node.settings.probe_interval_ms * node.health.multiplier
        ack_timeout_ms = node.settings.ack_timeout_ms * node.health.multiplier
        node.timers.schedule(now + ack_timeout_ms, partial(self._probe_indirectly, nonce=nonce))
        node.timers.schedule(now + interval_ms * PROBE_TIMEOUT_SHARE, partial(self._evaluate, nonce=nonce))

    def probe_reachability(self, now: float, target: MemberRecord) -> None:
        """Probe a member without suspecting it on failure: a dead one, or the owner of this node's name."""
        node = self._node
        nonce = self._send_probe(target, may_suspect=False)
        interval_ms = node.settings.probe_interval_ms * node.health.multiplier
        node.timers.schedule(now + interval_ms, partial(self._evaluate, nonce=nonce))

    def _send_probe(self, target: MemberRecord, may_suspect: bool) -> int:
        nonce = self._node.rng.getrandbits(62)
        self._probes[nonce] = _Probe(target, may_suspect)
        self._send_ping(target.address, target.boot_id, target.name, nonce)
        return nonce

    def _send_ping(self, to: Address, boot_id: int, name: str, nonce: int) -> None:
        node = self._node
        ping = Ping(node.sender, nonce, name, node.receiver_view(name), node.table.digest)
        self._channel.send_with_gossip(to, boot_id, name, ping)

    def _probe_indirectly(self, now: float, nonce: int) -> None:
        probe = self._probes.get(nonce)
        if probe is None or probe.acknowledged:
            return
        target = probe.target
        helpers = self._choose_helpers(target)
        probe.helpers = len(helpers)
        boot_id = self._channel.boot_id_at(target.address, target.boot_id)
        for helper in helpers:
            request = IndirectPing(self._node.sender, nonce, target.name, target.host, target.port, boot_id)
            self._channel.send(helper.address, helper.boot_id, request)

    def _choose_helpers(self, target: MemberRecord) -> list[MemberRecord]:
        """Choose random helpers, from different zones if possible, to get past a partition between two zones."""
        usable = [
            record
            for record in self._node.present_members()
            if record.state is MemberState.ALIVE and record.name != target.name and not record.receive_partitioned
        ]
        self._node.rng.shuffle(usable)
        chosen: list[MemberRecord] = []
        zones: set[str] = set()
        for record in usable:
            if record.zone not in zones:
                zones.add(record.zone)
                chosen.append(record)
                if len(chosen) == INDIRECT_PROBES:
                    return chosen
        chosen += [record for record in usable if record not in chosen][: INDIRECT_PROBES - len(chosen)]
        return chosen

    def _evaluate(self, now: float, nonce: int) -> None:
        """Evaluate a probe at its timeout."""
        node = self._node
        probe = self._probes.pop(nonce, None)
        if probe is None:
            return
        if probe.acknowledged:
            node.health.improve()
            self._partitions.probe_resolved()
        elif probe.may_suspect:
            self._probe_failed(now, probe)
        elif node.stage is Stage.CLAIMING_NAME:
            self._joiner.owner_probe_failed(now)

    def _probe_failed(self, now: float, probe: _Probe) -> None:
        node = self._node
        node.counters["probes_failed"] += 1
        if probe.nacks < probe.helpers:
            node.health.degrade()  # helpers did not answer either, so the fault may be on this side (Lifeguard)
        if not probe.nacks:
            self._partitions.probe_failed_without_nack()
            node.counters["without_witness"] += 1
            return
        self._partitions.probe_resolved()
        target = probe.target
        record = node.table.get(target.name)
        if record is None or (record.owner, record.incarnation) != (target.owner, target.incarnation):
            return  # the target has announced a newer record since the probe was sent
        if now < node.catch_up_until_ms or node.reports(SelfReport.RECEIVE_PARTITIONED | SelfReport.SEND_PARTITIONED):
            return
        if record.present:  # for a member that is suspect already, this is a further confirmation
            self._merger.apply(now, record.with_state(MemberState.SUSPECT, node.record.name))

    # Messages.

    def on_ping(self, now: float, source_boot_id: int, message: Ping) -> None:
        """Acknowledge a probe that is meant for this node."""
        node = self._node
        sender = message.sender
        if message.target != node.record.name:
            return
        self._merger.observe_receiver_view(now, sender.name, message.receiver_view)
        self._merger.apply_all(now, message.records)
        self._dialer.compare_digest(message.digest)
        ack = Ack(node.sender, message.nonce, node.receiver_view(sender.name), node.table.digest)
        self._channel.send_with_gossip((sender.host, sender.port), source_boot_id, sender.name, ack)

    def on_ack(self, now: float, message: Ack) -> None:
        """Handle the acknowledgement of a probe that this node sent for itself or as a helper."""
        self._merger.observe_receiver_view(now, message.sender.name, message.receiver_view)
        self._merger.apply_all(now, message.records)
        relayed = self._relayed_probes.pop(message.nonce, None)
        if relayed is not None:
            self._respond(relayed, acknowledged=True)
            return
        probe = self._probes.get(message.nonce)
        if probe is None or message.sender.name != probe.target.name:
            return
        self._acknowledged(now, probe)
        if probe.may_suspect:
            self._dialer.compare_digest(message.digest)
            return
        del self._probes[message.nonce]
        if self._node.stage is Stage.CLAIMING_NAME:
            self._joiner.owner_probe_acknowledged(now)
        else:
            # This node's record says that the target is dead.  The ping carried it, so the target refutes it; an
            # exchange merges both tables.
            self._dialer.dial(now, probe.target.address, ExchangePurpose.RECONNECT)

    def _acknowledged(self, now: float, probe: _Probe) -> None:
        probe.acknowledged = True
        self._partitions.probe_acknowledged(now)
        if self._suspicions.is_only_reporter(probe.target.name):
            self._suspicions.withdraw(now, probe.target.name)

    def on_indirect_ping(self, now: float, source_boot_id: int, message: IndirectPing) -> None:
        """Probe a target on behalf of the sender."""
        node = self._node
        nonce = node.rng.getrandbits(62)
        requester = message.sender.host, message.sender.port
        self._relayed_probes[nonce] = _RelayedProbe(requester, source_boot_id, message.nonce)
        self._send_ping((message.host, message.port), message.boot_id, message.target, nonce)
        node.timers.schedule(now + node.settings.ack_timeout_ms, partial(self._relayed_probe_failed, nonce=nonce))

    def _relayed_probe_failed(self, now: float, nonce: int) -> None:
        relayed = self._relayed_probes.pop(nonce, None)
        if relayed is not None:
            self._respond(relayed, acknowledged=False)

    def _respond(self, relayed: _RelayedProbe, acknowledged: bool) -> None:
        response = IndirectPingResponse(self._node.sender, relayed.nonce, acknowledged)
        self._channel.send(relayed.requester, relayed.requester_boot_id, response)

    def on_indirect_ping_response(self, now: float, message: IndirectPingResponse) -> None:
        """Handle a helper's result for a pending probe."""
        probe = self._probes.get(message.nonce)
        if probe is None or probe.acknowledged:
            return
        if message.acknowledged:
            self._acknowledged(now, probe)
        else:
            probe.nacks += 1

    def on_wrong_boot_id(self, message: WrongBootId) -> None:
        """Store the boot id of a restarted member, and send the pending pings to it again."""
        source = message.sender.host, message.sender.port
        record = next((record for record in self._node.table if record.address == source), None)
        if record is None or record.name != message.sender.name or record.node_id != message.node_id:
            return  # another node has this address now; pings to the former member stay unanswered
        if not self._channel.learn_boot_id(record, message.boot_id):
            return
        for nonce, probe in self._probes.items():
            if probe.target.address == source and not probe.acknowledged:
                self._send_ping(source, message.boot_id, record.name, nonce)
