"""Single-server membership changes (thesis, 4.1) and leadership transfer (thesis, 3.10)."""

from __future__ import annotations

from functools import partial

from martenstep.replication.messages import Configuration, EntryKind, encode
from martenstep.replication.raft.append import LogReplication
from martenstep.replication.raft.types import Role

MAX_PROMOTION_LAG_ENTRIES = 64  # that a learner may be behind to become a voter


class Reconfiguration(LogReplication):
    """A leader's changes of the group and of the leadership."""

    def change_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration with one voter more or less in place; False where that may not be now."""
        if self.role is not Role.LEADER or self._transfer_target is not None:
            return False
        if not self._can_change_configuration(configuration):
            return False
        self._append_entry(EntryKind.CONFIGURATION, encode(configuration))
        self._replicate_to_all()
        return True

    def _can_change_configuration(self, configuration: Configuration) -> bool:
        """Whether a configuration may follow the present one now."""
        # An entry of this term must be committed first, and no other change be under way (Ongaro's erratum of 2015).
        if self.log.term_at(self.commit_index) != self.term or not self.configuration_committed:
            return False
        before, after = set(self.configuration.voters), set(configuration.voters)
        duplicates = len(set(configuration.members)) != len(configuration.members)
        if len(before ^ after) > 1 or not after or duplicates:
            return False
        # A voter holds the entry that took it in.  Danger: else it could believe an older message that it was removed.
        required = max(self.log.last_index - MAX_PROMOTION_LAG_ENTRIES, self.configuration_index)
        return all(
            voter in self._progress and self._progress[voter].match_index >= required for voter in after - before
        )

    def transfer_leadership(self, now: float, to: int | None = None) -> bool:
        """Let another voter lead, the most advanced one or `to`; False where nobody can."""
        if self.role is not Role.LEADER:
            return False
        candidates = [
            voter
            for voter in self.configuration.voters
            if voter != self.replica_id and voter in self._progress and to in (None, voter)
        ]
        if not candidates:
            return False
        target = max(candidates, key=lambda voter: self._progress[voter].match_index)
        self._transfer_target = target
        self.lease_expires_at = 0.0  # the target is voted for at once, whatever was promised to this leader
        deadline = now + self.settings.election_timeout_ms
        self._timers.schedule(deadline, partial(self._transfer_timed_out, term=self.term))
        self._replicate_to(target, heartbeat=True)
        self._send_timeout_now_if_caught_up()
        return True

    def _transfer_timed_out(self, now: float, term: int) -> None:
        """The target did not take over.

        Danger: its TimeoutNow may still be on its way, and it is then voted for whatever lease runs; so no lease may
        run in this term any more.
        """
        if self.role is Role.LEADER and self.term == term:
            self._step_down(now)
