"""Whom to probe next: round robin over a shuffled list, so that each member is probed within bounded time.

SWIM, section 4.3.
"""

from __future__ import annotations

from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberRecord


class ProbeRound:
    """The members that are left of the round under way."""

    def __init__(self, node: LocalNode) -> None:
        """No round is under way."""
        self._node = node
        self.remaining: list[str] = []
        self._partition_reported_ms: dict[str, float] = {}  # when a receive-partitioned member last reported so

    def next_target(self, now: float) -> MemberRecord | None:
        """The next member to be probed; None where there is none."""
        node = self._node
        shuffled = False
        while True:
            while self.remaining:
                record = node.table.get(self.remaining.pop())
                if record is not None and self._is_probed(now, record):
                    return record
            if shuffled:
                return None
            shuffled = True
            self.remaining = [record.name for record in node.present_members()]
            node.rng.shuffle(self.remaining)

    def _is_probed(self, now: float, record: MemberRecord) -> bool:
        return record.present and record.name != self._node.record.name and not self._is_excused(now, record)

    def _is_excused(self, now: float, record: MemberRecord) -> bool:
        """A receive-partitioned member cannot answer; it is alive as long as it reports."""
        if not record.receive_partitioned:
            return False
        reported_ms = self._partition_reported_ms.get(record.name, now)
        return now - reported_ms < self._node.settings.min_suspicion_ms

    def insert(self, name: str) -> None:
        """Insert a member that has just appeared at a random position of the round under way (SWIM, section 4.3).

        Danger: left to the next round, one that appeared and died would be probed by nobody for as many intervals as
        there are members.
        """
        self.remaining.insert(self._node.rng.randrange(len(self.remaining) + 1), name)

    def on_record(self, now: float, previous: MemberRecord | None, record: MemberRecord) -> None:
        """A record came into force: note when a receive-partitioned member reported so."""
        if not record.receive_partitioned:
            self._partition_reported_ms.pop(record.name, None)
        elif previous is None or record.incarnation > previous.incarnation:
            self._partition_reported_ms[record.name] = now

    def shift(self, paused_ms: float) -> None:
        """This process was paused: what it waits for is due as much later."""
        for name in self._partition_reported_ms:
            self._partition_reported_ms[name] += paused_ms
