"""The plain way, to compare with: every door sends a heartbeat to every other in each period, and who was not heard for
the least suspicion is dead to who did not hear it.  No news is passed on, nothing is refuted but by being heard again.

It stands in the place of the core in virtual time only.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from martenstep.membership.codec import (
    Keys,
    Sender,
    Tell,
    Window,
    WireError,
    cluster_number,
    datagram,
    message_of,
    open_datagram,
)
from martenstep.membership.core import Datagram, Event, Settings, Stage
from martenstep.membership.member_table import Fact, State, Table, with_state


class Heartbeats:
    """One door that tells all that it is there."""

    def __init__(self, settings: Settings, me: Fact, keys: Keys, rng: random.Random, now: float) -> None:
        """The seeds are all doors."""
        self.settings, self.keys, self.me, self._rng = settings, keys, me, rng
        self.stage = Stage.JOINED
        self.table, self.counts, self.out = Table(), Counter[str](), list[Any]()
        self.next_at = now + rng.uniform(0, settings.period_ms)
        self._heard: dict[str, float] = {}
        self._windows: dict[int, Window] = {}
        self._number = 0
        self._cluster = cluster_number(settings.cluster)
        self.table.put(now, me)

    def wake(self, now: float) -> None:
        """One period: tell all, and count who was not heard as dead."""
        while self.next_at <= now:
            self.next_at += self.settings.period_ms
        message = Tell(Sender(self.me.name, self.me.host, self.me.port), None, 0, [self.me])
        self._number += 1
        for to in self.settings.seeds:
            if to != self.me.address:
                data = datagram(self.keys, self._cluster, self.me.life, 0, self._number, message)
                self.counts["sent"] += 1
                self.counts["sent_bytes"] += len(data)
                self.out.append(Datagram(to, data))
        for fact in list(self.table):
            if (
                fact.present
                and fact.name != self.me.name
                and now - self._heard.get(fact.name, now) > self.settings.suspect_least_ms
            ):
                self._put(now, with_state(fact, State.DEAD, self.me.name), "dead")

    def _put(self, now: float, fact: Fact, kind: str) -> None:
        self.table.put(now, fact)
        self.out.append(Event(kind, fact.name, {"by": fact.by, "incarnation": fact.incarnation}))

    def datagram(self, now: float, data: bytes) -> None:
        """Hear one."""
        try:
            opened = open_datagram(self.keys, self._cluster, data)
            message = message_of(opened.body)
        except WireError as error:
            self.counts[f"dropped_{error.reason}"] += 1
            return
        if not self._windows.setdefault(opened.source, Window()).new(opened.number) or not isinstance(message, Tell):
            return
        for fact in message.facts:
            if fact.name == self.me.name:
                continue
            self._heard[fact.name] = now
            before = self.table.get(fact.name)
            if before is None or not before.present or before.life != fact.life:
                self._put(now, fact, "joined" if before is None else "back")

    def leave(self, now: float) -> None:
        """It has no way to say so."""
        self.stage = Stage.GONE
        self.out.append(Event("gone", self.me.name, {}))

    def exchange_opens(self, token: int) -> bytes:
        """It opens none."""
        raise NotImplementedError

    def exchange_serves(self, now: float, body: bytes) -> bytes:
        """It serves none."""
        raise WireError("frame")

    def exchange_answered(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """It opens none."""
        return None
