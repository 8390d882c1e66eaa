"""Single-server membership changes (thesis, 4.1) and leadership transfer (thesis, 3.10)."""

from __future__ import annotations

from functools import partial

from martenstep.replication.messages import Configuration, EntryKind, encode
from martenstep.replication.raft.append import LogReplication
from martenstep.replication.raft.types import Role

MAX_PROMOTION_LAG_ENTRIES = 64  # greatest lag at which a learner may become a voter


class Reconfiguration(LogReplication):
    """Changes of the group's configuration and leadership transfer, both started by the leader."""

    def change_configuration(self, configuration: Configuration) -> bool:
        """Append a configuration that adds or removes at most one voter; False if it is not allowed now."""
        if self.role is not Role.LEADER or self._transfer_target is not None:
            return False
        if not self._can_change_configuration(configuration):
            return False
        self._append_entry(EntryKind.CONFIGURATION, encode(configuration))
        self._replicate_to_all()
        return True

    def _can_change_configuration(self, configuration: Configuration) -> bool:
        """Whether a configuration may replace the current one now."""
        # An entry of this term must be committed, and no other change in progress (Ongaro's erratum of 2015).
        if self.log.term_at(self.commit_index) != self.term or not self.configuration_committed:
            return False
        before, after = set(self.configuration.voters), set(configuration.voters)
        duplicates = len(set(configuration.members)) != len(configuration.members)
        if len(before ^ after) > 1 or not after or duplicates:
            return False
        # A new voter must hold the entry that added it to the group; otherwise an older message could make it accept
        # that it was removed.
        required = max(self.log.last_index - MAX_PROMOTION_LAG_ENTRIES, self.configuration_index)
        return all(
            voter in self._progress and self._progress[voter].match_index >= required for voter in after - before
        )

    def transfer_leadership(self, now: float, to: int | None = None) -> bool:
        """Start handing leadership to the most advanced other voter, or to `to`; False if there is no such voter."""
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
        self.lease_expires_at = 0.0  # voters grant the target a vote even during this lease
        deadline = now + self.settings.election_timeout_ms
        self._timers.schedule(deadline, partial(self._transfer_timed_out, term=self.term))
        self._replicate_to(target, heartbeat=True)
        self._send_timeout_now_if_caught_up()
        return True

    def _transfer_timed_out(self, now: float, term: int) -> None:
        """Step down if the target did not take over in time.

        The TimeoutNow message may still be in transit, and its target then receives votes even while a lease runs.
        Therefore this replica must not hold a lease in this term again.
        """
        if self.role is Role.LEADER and self.term == term:
            self._step_down(now)
