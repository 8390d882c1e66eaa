"""The plain way, to compare with: every door sends a heartbeat to every other in each period, and who was not heard for
the least suspicion is dead to who did not hear it.  No news is passed on, nothing is refuted but by being heard again.

It stands in the place of the core in virtual time only.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from martenstep.membership.codec import (
    Gossip,
    Keyring,
    ProtocolError,
    ReplayWindow,
    Sender,
    cluster_hash,
    decode_message,
    open_datagram,
    seal_datagram,
)
from martenstep.membership.core import MemberEvent, MembershipSettings, SendDatagram, Stage
from martenstep.membership.member_table import MemberRecord, MemberState, MemberTable, with_state


class Heartbeats:
    """One door that tells all that it is there."""

    def __init__(
        self, settings: MembershipSettings, me: MemberRecord, keys: Keyring, rng: random.Random, now: float
    ) -> None:
        """The seeds are all doors."""
        self.settings, self.keys, self.record, self._rng = settings, keys, me, rng
        self.stage = Stage.JOINED
        self.table, self.counters, self.out = MemberTable(), Counter[str](), list[Any]()
        self.next_due_ms = now + rng.uniform(0, settings.probe_interval_ms)
        self._heard: dict[str, float] = {}
        self._windows: dict[int, ReplayWindow] = {}
        self._number = 0
        self._cluster = cluster_hash(settings.cluster)
        self.table.put(now, me)

    def wake(self, now: float) -> None:
        """One period: tell all, and count who was not heard as dead."""
        while self.next_due_ms <= now:
            self.next_due_ms += self.settings.probe_interval_ms
        message = Gossip(Sender(self.record.name, self.record.host, self.record.port), None, 0, [self.record])
        self._number += 1
        for to in self.settings.seeds:
            if to != self.record.address:
                data = seal_datagram(self.keys, self._cluster, self.record.boot_id, 0, self._number, message)
                self.counters["sent"] += 1
                self.counters["sent_bytes"] += len(data)
                self.out.append(SendDatagram(to, data))
        for fact in list(self.table):
            if (
                fact.present
                and fact.name != self.record.name
                and now - self._heard.get(fact.name, now) > self.settings.min_suspicion_ms
            ):
                self._put(now, with_state(fact, MemberState.DEAD, self.record.name), "dead")

    def _put(self, now: float, fact: MemberRecord, kind: str) -> None:
        self.table.put(now, fact)
        self.out.append(MemberEvent(kind, fact.name, {"by": fact.reported_by, "incarnation": fact.incarnation}))

    def receive(self, now: float, data: bytes) -> None:
        """Hear one."""
        try:
            opened = open_datagram(self.keys, self._cluster, data)
            message = decode_message(opened.body)
        except ProtocolError as error:
            self.counters[f"dropped_{error.reason}"] += 1
            return
        if not self._windows.setdefault(opened.source_boot_id, ReplayWindow()).accept(opened.number) or not isinstance(
            message, Gossip
        ):
            return
        for fact in message.records:
            if fact.name == self.record.name:
                continue
            self._heard[fact.name] = now
            before = self.table.get(fact.name)
            if before is None or not before.present or before.boot_id != fact.boot_id:
                self._put(now, fact, "joined" if before is None else "back")

    def leave(self, now: float) -> None:
        """It has no way to say so."""
        self.stage = Stage.LEFT
        self.out.append(MemberEvent("gone", self.record.name, {}))

    def open_exchange(self, token: int) -> bytes:
        """It opens none."""
        raise NotImplementedError

    def serve_exchange(self, now: float, body: bytes) -> bytes:
        """It serves none."""
        raise ProtocolError("frame")

    def continue_exchange(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """It opens none."""
        return None
