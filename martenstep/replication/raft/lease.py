"""Leader leases (thesis, 6.4.1): reads at a leader, and the promise of followers that they rest on."""

from __future__ import annotations

from collections.abc import Callable

from martenstep.replication.messages import AppendEntriesResponse
from martenstep.replication.raft.progress import Progress
from martenstep.replication.raft.state import RaftState
from martenstep.replication.raft.types import Role


class LeaderLease(RaftState):
    """A leader's lease, renewed by answered heartbeats; a follower's votes while it hears a leader."""

    def can_serve_read(self, now: float) -> bool:
        """Whether what is applied here holds all that was committed before now.

        This replica leads, its lease runs, and it has applied an entry of its own term and all that is committed.
        """
        return (
            self.role is Role.LEADER
            and now < self.lease_expires_at
            and self._applied_index == self.commit_index
            and self.log.term_at(self.commit_index) == self.term
        )

    def _quorum_value(self, own: int, value: Callable[[Progress], int]) -> int:
        """The greatest value that a quorum of the voters has reached; `own` is this replica's."""
        values = [
            own if voter == self.replica_id else value(self._progress[voter]) if voter in self._progress else 0
            for voter in self.configuration.voters
        ]
        values.sort(reverse=True)
        return values[self.configuration.quorum - 1]

    def _record_round(self, now: float, source: int, number: int) -> Progress:
        """A replica answered a heartbeat round."""
        progress = self._progress_for(source)
        if number > progress.acked_round:
            progress.acked_round = number
            self._renew_lease(now)
        return progress

    def _renew_lease(self, now: float) -> None:
        """Extend the lease by the latest round that a quorum answered."""
        acked = self._quorum_value(self._round, lambda progress: progress.acked_round)
        sent_at = self._round_sent_at.get(acked)
        if sent_at is None:
            return
        self._quorum_contact_at = max(self._quorum_contact_at, sent_at)
        if self._transfer_target is None:
            self.lease_expires_at = max(self.lease_expires_at, self._lease_expiry(now, sent_at))

    def _lease_expiry(self, now: float, sent_at: float) -> float:
        """When a lease ends, counted from before the round was sent."""
        drift = self.settings.max_clock_drift
        return sent_at + self.settings.election_timeout_ms * (1 - drift) / (1 + drift)

    def _in_leader_lease(self, now: float) -> bool:
        """A leader that was heard lately may have a lease that rests on this replica."""
        if self.role is Role.LEADER:
            return True
        return now - self.leader_contact_at < self.settings.election_timeout_ms

    def _accept_leader(self, now: float, source: int, term: int) -> bool:
        """Whether a leader's message counts here; one of an older term is sent the present term."""
        if not self.disk_verified:
            return False
        if term >= self.term:
            self._follow_leader(now, source, term)
            return True
        # Round 0.  Danger: the sender's round was counted in an earlier term, and the same replica may lead this one by
        # now: it would take its latest heartbeat for answered, and renew its lease by it.
        self._send_when_durable(source, AppendEntriesResponse(self.term, False, 0, 0))
        return False

    def _follow_leader(self, now: float, source: int, term: int) -> None:
        """Follow the leader of this term, or of a higher one."""
        if term > self.term:
            self._enter_term(now, term)
        self._change_role(Role.FOLLOWER, source)
        self.leader_contact_at = now
        self._reset_election_timer(now)
