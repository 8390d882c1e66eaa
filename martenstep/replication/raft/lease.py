"""Leader leases (thesis, 6.4.1).

A leader serves reads while its lease runs.  The lease is safe because followers grant no vote for an election timeout
after they last received a message from a leader.
"""

from __future__ import annotations

from collections.abc import Callable

from martenstep.replication.messages import AppendEntriesResponse
from martenstep.replication.raft.progress import Progress
from martenstep.replication.raft.state import RaftState
from martenstep.replication.raft.types import Role


class LeaderLease(RaftState):
    """A leader's lease, renewed by answered heartbeats, and a follower's refusal to vote while a lease may run."""

    def can_serve_read(self, now: float) -> bool:
        """Whether the applied state includes everything that was committed before now.

        That holds if this replica leads, its lease runs, and it has applied all committed entries, the last of them of
        its own term.
        """
        return (
            self.role is Role.LEADER
            and now < self.lease_expires_at
            and self._applied_index == self.commit_index
            and self.log.term_at(self.commit_index) == self.term
        )

    def _quorum_value(self, own: int, value: Callable[[Progress], int]) -> int:
        """Return the greatest value that a quorum of the voters has reached; `own` is this replica's value."""
        values = [
            own if voter == self.replica_id else value(self._progress[voter]) if voter in self._progress else 0
            for voter in self.configuration.voters
        ]
        values.sort(reverse=True)
        return values[self.configuration.quorum - 1]

    def _record_round(self, now: float, source: int, number: int) -> Progress:
        """Record that a replica answered heartbeat round `number`."""
        progress = self._progress_for(source)
        if number > progress.acked_round:
            progress.acked_round = number
            self._renew_lease(now)
        return progress

    def _renew_lease(self, now: float) -> None:
        """Extend the lease according to the latest round that a quorum answered."""
        acked = self._quorum_value(self._round, lambda progress: progress.acked_round)
        sent_at = self._round_sent_at.get(acked)
        if sent_at is None:
            return
        self._quorum_contact_at = max(self._quorum_contact_at, sent_at)
        if self._transfer_target is None:
            self.lease_expires_at = max(self.lease_expires_at, self._lease_expiry(now, sent_at))

    def _lease_expiry(self, now: float, sent_at: float) -> float:
        """Return when a lease ends; it starts when its round was sent, and is shortened by the maximum clock drift."""
        drift = self.settings.max_clock_drift
        return sent_at + self.settings.election_timeout_ms * (1 - drift) / (1 + drift)

    def _in_leader_lease(self, now: float) -> bool:
        """Whether a leader may hold a lease that depends on this replica's acknowledgement."""
        if self.role is Role.LEADER:
            return True
        return now - self.leader_contact_at < self.settings.election_timeout_ms

    def _accept_leader(self, now: float, source: int, term: int) -> bool:
        """Whether to process a leader's message; a leader of an older term is sent the current term instead."""
        if not self.disk_verified:
            return False
        if term >= self.term:
            self._follow_leader(now, source, term)
            return True
        # Answer with round 0.  The sender's round was counted in an earlier term.  If the same replica leads this term
        # by now, it would take the number for an answer to its latest heartbeat and wrongly renew its lease.
        self._send_when_durable(source, AppendEntriesResponse(self.term, False, 0, 0))
        return False

    def _follow_leader(self, now: float, source: int, term: int) -> None:
        """Become a follower of the leader of this term or of a higher one."""
        if term > self.term:
            self._enter_term(now, term)
        self._change_role(Role.FOLLOWER, source)
        self.leader_contact_at = now
        self._reset_election_timer(now)
