"""Choice of the next member to probe: round robin over a shuffled list.

Each member is thereby probed within a bounded time (SWIM, section 4.3).
"""

from __future__ import annotations

from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import MemberRecord


class ProbeRound:
    """The members that remain to be probed in the current round."""

    def __init__(self, node: LocalNode) -> None:
        """The first round starts with the first call of `next_target`."""
        self._node = node
        self.remaining: list[str] = []
        self._partition_reported_ms: dict[str, float] = {}  # when each receive-partitioned member last announced it

    def next_target(self, now: float) -> MemberRecord | None:
        """Return the next member to probe, starting a new round if needed; None if there is no member to probe."""
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
        return (
            record.present
            and record.name != self._node.record.name
            and not self._announced_partition_recently(now, record)
        )

    def _announced_partition_recently(self, now: float, record: MemberRecord) -> bool:
        """Whether a member is receive-partitioned: it cannot answer, and counts as alive while it announces that."""
        if not record.receive_partitioned:
            return False
        reported_ms = self._partition_reported_ms.get(record.name, now)
        return now - reported_ms < self._node.settings.min_suspicion_ms

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of the current round (SWIM, section 4.3).

        If it waited for the next round, a member that died soon after joining would not be probed for as many intervals
        as there are members.
        """
        self.remaining.insert(self._node.rng.randrange(len(self.remaining) + 1), name)

    def on_record(self, now: float, previous: MemberRecord | None, record: MemberRecord) -> None:
        """Handle a record that the table has stored: note when a receive-partitioned member last announced it."""
        if not record.receive_partitioned:
            self._partition_reported_ms.pop(record.name, None)
        elif previous is None or record.incarnation > previous.incarnation:
            self._partition_reported_ms[record.name] = now

    def add_pause(self, paused_ms: float) -> None:
        """Extend the time allowed between announcements by a pause of this process."""
        for name in self._partition_reported_ms:
            self._partition_reported_ms[name] += paused_ms
