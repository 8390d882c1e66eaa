"""Recovery of a replica whose disk may lack votes or entries that the replica has acknowledged.

Such a replica queries every other voter for its term and the end of its log: each forgotten vote or acknowledgement was
sent to one of them.  Afterwards it takes part again, with two restrictions.  It votes in no term up to the highest term
that they reported.  It votes for no candidate, itself included, whose log ends before the furthest log that they
reported; this position is the log floor, which is stored on its disk as well.  Viewstamped Replication Revisited,
section 4.3, queries only a quorum that includes the primary, which is not enough when a vote was forgotten.
"""

from __future__ import annotations

from martenstep.replication.messages import RecoveryQuery, RecoveryResponse
from martenstep.replication.raft.state import RaftState
from martenstep.replication.raft.types import NO_LOG_FLOOR, LogPosition


class DiskRecovery(RaftState):
    """Sending and answering recovery queries."""

    def _query_recovery(self, now: float) -> None:
        """Query all known voters, and repeat that until all have answered."""
        if self.disk_verified:
            return
        self._timers.schedule(now + self.settings.recovery_query_interval_ms, self._query_recovery)
        for replica in self._replicas_to_query():
            if replica != self.replica_id:
                self._send(replica, RecoveryQuery(self._recovery_nonce))

    def _replicas_to_query(self) -> set[int]:
        """Return every voter in the known configurations that no later committed configuration has replaced.

        A replica outside a committed configuration can lead no term later than that of the configuration's entry,
        because its log would then hold that entry.  What it committed as an earlier leader is held by the replicas that
        are queried.  So a forgotten promise to it does no harm.
        """
        responses = self._recovery_responses.values()
        newest = max(
            (response.configuration_index for response in responses if response.configuration_committed), default=-1
        )
        voters = set(self.configuration.voters) if self.configuration_index >= newest else set()
        for response in responses:
            if response.configuration_index >= newest:
                voters |= set(response.configuration.voters)
        return voters

    def find_node(self, replica: int) -> str | None:
        """Return the node that a replica is on, from the own configuration or from a recovery response.

        Some replicas that must be queried may have joined the group after this disk was last written.
        """
        responses = self._recovery_responses.values()
        for configuration in (self.configuration, *(response.configuration for response in responses)):
            for member, node in configuration.locations:
                if member == replica:
                    return node
        return None

    def _build_recovery_response(self, query: RecoveryQuery) -> RecoveryResponse:
        """Return the state of this replica that a replica in recovery needs."""
        return RecoveryResponse(
            query.nonce,
            self.term,
            self.log.last_index,
            self.log.last_term,
            self.configuration,
            self.configuration_index,
            self.configuration_committed,
        )

    def _handle_recovery_response(self, now: float, source: int, response: RecoveryResponse) -> None:
        """Store a response; recovery finishes when all queried replicas have responded."""
        if self.disk_verified or response.nonce != self._recovery_nonce:
            return
        self._recovery_responses[source] = response
        if not self._replicas_to_query() - {self.replica_id} - self._recovery_responses.keys():
            self._finish_recovery(now)

    def _finish_recovery(self, now: float) -> None:
        """Take part again: no promise made to the other voters goes beyond what they have reported."""
        self.disk_verified = True
        responses = self._recovery_responses.values()
        term = max(response.term for response in responses)
        self._log_floor = max(LogPosition(response.last_term, response.last_index) for response in responses)
        if term >= self.term:
            # A vote in this term may have been given and forgotten; a vote for itself prevents a second one.
            self.term, self.voted_for = term, self.replica_id
        self._persist()  # includes the log floor, which the next start needs too
        self.leader_contact_at = now
        self._reset_election_timer(now)

    def confirm_disk(self, now: float) -> None:
        """End recovery because an operator confirms that the disk is in the state in which this replica left it.

        This is for a recovery that waits for a permanently lost replica.  If the operator is wrong, acknowledged
        entries may be lost and a second vote may be given in one term.
        """
        self.disk_verified, self._log_floor = True, NO_LOG_FLOOR
        self._persist()
        self.leader_contact_at = now
        self._reset_election_timer(now)
