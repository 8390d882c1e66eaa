"""Recovery of a replica whose disk may be older than what it has promised.

Such a replica asks every other voter how far things are: what it may have promised and forgotten, it promised to one
of them.  Then it counts again, but votes in no term that they knew, and for nobody, itself too, whose log ends before
theirs (the log floor, which is kept on its disk as well).  Viewstamped Replication Revisited, section 4.3, asks a
quorum with the primary; with a vote forgotten that is too little.
"""

from __future__ import annotations

from martenstep.replication.messages import RecoveryQuery, RecoveryResponse
from martenstep.replication.raft.state import RaftState
from martenstep.replication.raft.types import NO_LOG_FLOOR, LogPosition


class DiskRecovery(RaftState):
    """Recovery queries, from both sides."""

    def _query_recovery(self, now: float) -> None:
        """Ask all voters that are known, and again until all have answered."""
        if self.disk_verified:
            return
        self._timers.schedule(now + self.settings.recovery_query_interval_ms, self._query_recovery)
        for replica in self._replicas_to_query():
            if replica != self.replica_id:
                self._send(replica, RecoveryQuery(self._recovery_nonce))

    def _replicas_to_query(self) -> set[int]:
        """Every voter of the group in the configurations that are known and not replaced by a committed one.

        Who is not in a committed configuration can lead no later term than that entry's (its log would hold it), and
        what it led before is held by those that are asked; so nothing that was promised to it and forgotten matters.
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
        """The node that a replica is on, as the configuration or a recovery response says.

        Replicas that are to be asked may have come after this disk was last written.
        """
        responses = self._recovery_responses.values()
        for configuration in (self.configuration, *(response.configuration for response in responses)):
            for member, node in configuration.locations:
                if member == replica:
                    return node
        return None

    def _build_recovery_response(self, query: RecoveryQuery) -> RecoveryResponse:
        """What a replica in recovery has to know of this one."""
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
        """Take an answer; all of them end the recovery."""
        if self.disk_verified or response.nonce != self._recovery_nonce:
            return
        self._recovery_responses[source] = response
        if not self._replicas_to_query() - {self.replica_id} - self._recovery_responses.keys():
            self._finish_recovery(now)

    def _finish_recovery(self, now: float) -> None:
        """All others have answered: nothing that was promised to them is beyond what they know."""
        self.disk_verified = True
        responses = self._recovery_responses.values()
        term = max(response.term for response in responses)
        self._log_floor = max(LogPosition(response.last_term, response.last_index) for response in responses)
        if term >= self.term:
            self.term, self.voted_for = term, self.replica_id  # a vote in it may have been given: to nobody, now
        self._persist()  # the floor as well: the next start knows no better
        self.leader_contact_at = now
        self._reset_election_timer(now)

    def confirm_disk(self, now: float) -> None:
        """An operator confirms that this disk is as this replica left it.

        It is for a recovery that waits for a replica that is lost for good.  Danger: if the disk is not as it was left,
        what was promised may be undone.
        """
        self.disk_verified, self._log_floor = True, NO_LOG_FLOOR
        self._persist()
        self.leader_contact_at = now
        self._reset_election_timer(now)
