"""The plain way, to compare with: every door sends a heartbeat to every other in each period, and who was not heard for
the least suspicion is dead to who did not hear it.  No news is passed on, nothing is refuted but by being heard again.

It stands in the place of the core in virtual time only.
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


class Heartbeats:
    """One door that tells all that it is there."""

    def __init__(
        self, settings: MembershipSettings, me: MemberRecord, keys: Keyring, rng: random.Random, now: float
    ) -> None:
        """The seeds are all doors."""
        self.settings, self.keys, self.record, self._rng = settings, keys, me, rng
        self.stage = Stage.JOINED
        self.table, self.counters = MemberTable(), Counter[str]()
        self._actions: list[Action] = []
        self.next_due_ms = now + rng.uniform(0, settings.probe_interval_ms)
        self._heard: dict[str, float] = {}
        self._windows: dict[int, ReplayWindow] = {}
        self._number = 0
        self._cluster = cluster_hash(settings.cluster)
        self.table.put(now, me)

    def take_actions(self) -> list[Action]:
        """What is to be done since this was last called."""
        actions, self._actions = self._actions, []
        return actions

    def wake(self, now: float) -> None:
        """One period: tell all, and count who was not heard as dead."""
        while self.next_due_ms <= now:
            self.next_due_ms += self.settings.probe_interval_ms
        message = Gossip(Sender(self.record.name, self.record.host, self.record.port), None, 0, [self.record])
        self._number += 1
        for to in self.settings.seeds:
            if to != self.record.address:
                data = encode_datagram(
                    self.keys, self._cluster, DatagramHeader(self.record.boot_id, 0, self._number), message
                )
                self.counters["sent"] += 1
                self.counters["sent_bytes"] += len(data)
                self._actions.append(SendDatagram(to, data))
        for fact in list(self.table):
            if (
                fact.present
                and fact.name != self.record.name
                and now - self._heard.get(fact.name, now) > self.settings.min_suspicion_ms
            ):
                self._put(now, fact.with_state(MemberState.DEAD, self.record.name), EventKind.MEMBER_DEAD)

    def _put(self, now: float, fact: MemberRecord, kind: EventKind) -> None:
        self.table.put(now, fact)
        self._actions.append(
            MemberEvent(kind, fact.name, {"reported_by": fact.reported_by, "incarnation": fact.incarnation})
        )

    def receive(self, now: float, data: bytes) -> None:
        """Hear one."""
        try:
            opened = open_datagram(self.keys, self._cluster, data)
            message = decode_message(opened.body)
        except ProtocolError as error:
            self.counters[f"dropped_{error.reason}"] += 1
            return
        window = self._windows.setdefault(opened.header.source_boot_id, ReplayWindow())
        if not window.accept(opened.header.number) or not isinstance(message, Gossip):
            return
        for fact in message.records:
            if fact.name == self.record.name:
                continue
            self._heard[fact.name] = now
            before = self.table.get(fact.name)
            if before is None or not before.present or before.boot_id != fact.boot_id:
                self._put(now, fact, EventKind.MEMBER_JOINED if before is None else EventKind.MEMBER_RECOVERED)

    def leave(self, now: float) -> None:
        """It has no way to say so."""
        self.stage = Stage.LEFT
        self._actions.append(MemberEvent(EventKind.LEFT_CLUSTER, self.record.name, {}))

    def open_exchange(self) -> bytes:
        """It opens none."""
        raise NotImplementedError

    def serve_exchange(self, now: float, body: bytes) -> bytes:
        """It serves none."""
        raise ProtocolError(DropReason.UNEXPECTED_FRAME)

    def continue_exchange(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """It opens none."""
        return None
