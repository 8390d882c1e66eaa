"""A plain heartbeat protocol as the baseline: every member sends a heartbeat to every other one in each period.

A member declares another one dead after it has received no heartbeat from it for the minimum suspicion time.  No
records are passed on, and a death is revoked only when a heartbeat arrives again.  This core runs in virtual time only.
"""

from __future__ import annotations

import random
from collections import Counter

from martenstep.membership.actions import Action, EventKind, MemberEvent, SendDatagram
from martenstep.membership.codec import (
    DatagramHeader,
    Gossip,
    Sender,
    cluster_hash,
    decode_message,
    encode_datagram,
    open_datagram,
)
from martenstep.membership.errors import DropReason, ProtocolError
from martenstep.membership.keyring import Keyring
from martenstep.membership.member import MemberRecord, MemberState
from martenstep.membership.member_table import MemberTable
from martenstep.membership.replay_window import ReplayWindow
from martenstep.membership.settings import MembershipSettings, Stage


class HeartbeatCore:
    """The core of one member, with the interface of `MembershipCore`."""

    def __init__(
        self, settings: MembershipSettings, own_record: MemberRecord, keys: Keyring, rng: random.Random, now: float
    ) -> None:
        """The seeds must be the addresses of all members."""
        self.settings, self.keys, self.record, self._rng = settings, keys, own_record, rng
        self.stage = Stage.JOINED
        self.table, self.counters = MemberTable(), Counter[str]()
        self._actions: list[Action] = []
        self.next_due_ms = now + rng.uniform(0, settings.probe_interval_ms)
        self._last_received_ms: dict[str, float] = {}
        self._replay_windows: dict[int, ReplayWindow] = {}
        self._sequence_number = 0
        self._cluster = cluster_hash(settings.cluster)
        self.table.put(now, own_record)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def wake(self, now: float) -> None:
        """Run one period: send all heartbeats, and declare members dead whose heartbeats are missing."""
        while self.next_due_ms <= now:
            self.next_due_ms += self.settings.probe_interval_ms
        message = Gossip(Sender(self.record.name, self.record.host, self.record.port), None, 0, [self.record])
        self._sequence_number += 1
        for address in self.settings.seeds:
            if address != self.record.address:
                data = encode_datagram(
                    self.keys, self._cluster, DatagramHeader(self.record.boot_id, 0, self._sequence_number), message
                )
                self.counters["sent"] += 1
                self.counters["sent_bytes"] += len(data)
                self._actions.append(SendDatagram(address, data))
        for record in list(self.table):
            if (
                record.present
                and record.name != self.record.name
                and now - self._last_received_ms.get(record.name, now) > self.settings.min_suspicion_ms
            ):
                self._update_member(now, record.with_state(MemberState.DEAD, self.record.name), EventKind.MEMBER_DEAD)

    def _update_member(self, now: float, record: MemberRecord, kind: EventKind) -> None:
        self.table.put(now, record)
        self._actions.append(
            MemberEvent(kind, record.name, {"reported_by": record.reported_by, "incarnation": record.incarnation})
        )

    def receive(self, now: float, data: bytes) -> None:
        """Handle a datagram."""
        try:
            opened = open_datagram(self.keys, self._cluster, data)
            message = decode_message(opened.body)
        except ProtocolError as error:
            self.counters[f"dropped_{error.reason}"] += 1
            return
        window = self._replay_windows.setdefault(opened.header.source_boot_id, ReplayWindow())
        if not window.accept(opened.header.number) or not isinstance(message, Gossip):
            return
        for record in message.records:
            if record.name == self.record.name:
                continue
            self._last_received_ms[record.name] = now
            before = self.table.get(record.name)
            if before is None or not before.present or before.boot_id != record.boot_id:
                self._update_member(
                    now, record, EventKind.MEMBER_JOINED if before is None else EventKind.MEMBER_RECOVERED
                )

    def leave(self, now: float) -> None:
        """Stop; the protocol has no message for a leave."""
        self.stage = Stage.LEFT
        self._actions.append(MemberEvent(EventKind.LEFT_CLUSTER, self.record.name, {}))

    def open_exchange(self) -> bytes:
        """Not supported: the protocol has no exchanges."""
        raise NotImplementedError

    def serve_exchange(self, now: float, body: bytes) -> bytes:
        """Reject the frame: the protocol has no exchanges."""
        raise ProtocolError(DropReason.UNEXPECTED_FRAME)

    def continue_exchange(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """Do nothing: the protocol has no exchanges."""
        return None
