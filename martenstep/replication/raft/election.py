"""Leader election: pre-vote and vote (thesis, 3.4 and 9.6)."""

from __future__ import annotations

from martenstep.replication.messages import EntryKind, RequestVote, VoteResponse
from martenstep.replication.raft.append import LogReplication
from martenstep.replication.raft.durability import OwnVote
from martenstep.replication.raft.types import LogPosition, Role


class Election(LogReplication):
    """Campaigning as a candidate, and voting for other candidates."""

    @property
    def can_campaign(self) -> bool:
        """Whether this replica may campaign: it is a voter whose log holds everything that it may have acknowledged."""
        return (
            self.replica_id in self.configuration.voters
            and self.disk_verified
            and not self.halted
            and not self.is_below_log_floor
        )

    def _election_timed_out(self, now: float, timer: int) -> None:
        """Start a pre-vote, unless timer `timer` was replaced by a later one or this replica leads."""
        if timer != self._election_timer or self.role is Role.LEADER:
            return
        self._reset_election_timer(now)
        if self.can_campaign:
            self._start_pre_vote(now)

    def _start_pre_vote(self, now: float) -> None:
        """Ask for pre-votes, so that a replica that was partitioned does not raise the term without winning."""
        self._change_role(Role.PRE_CANDIDATE, None)
        self._votes = {self.replica_id}
        self._request_votes(self.term + 1, pre_vote=True)
        self._count_votes(now)

    def _start_election(self, now: float, leadership_transfer: bool = False) -> None:
        """Become a candidate in the next term."""
        self.term, self.voted_for = self.term + 1, self.replica_id
        self._change_role(Role.CANDIDATE, None)
        self._reset_election_timer(now)
        self._votes = set()
        self._persist()
        self._durability.hold_back(OwnVote(self.term))
        self._request_votes(self.term, pre_vote=False, leadership_transfer=leadership_transfer)

    def _request_votes(self, term: int, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Request a vote or a pre-vote from all other voters."""
        request = RequestVote(term, self.log.last_index, self.log.last_term, pre_vote, leadership_transfer)
        for voter in self.configuration.voters:
            if voter != self.replica_id:
                self._send_when_durable(voter, request)

    def _count_votes(self, now: float) -> None:
        """Proceed to the next stage of the campaign if a quorum has granted its votes."""
        if len(self._votes & set(self.configuration.voters)) < self.configuration.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        """Become leader of the current term; committing its first entry commits all entries before it."""
        self._change_role(Role.LEADER, self.replica_id)
        self._reset_leadership(now)
        self._append_entry(EntryKind.NO_OP, b"")
        self._heartbeat(now, self.term)

    def _handle_request_vote(self, now: float, source: int, request: RequestVote) -> None:
        """Answer a request for a vote or a pre-vote."""
        if not self.disk_verified:
            return
        # The candidate need not be a member in the configuration known here, because this log may lag.
        in_lease = not request.leadership_transfer and self._in_leader_lease(now)
        if request.pre_vote:
            granted = request.term > self.term and not in_lease and self._is_up_to_date(request)
            term = request.term if granted else self.term
            self._send_when_durable(source, VoteResponse(term, True, granted))
            return
        if in_lease or request.term < self.term:
            self._send_when_durable(source, VoteResponse(self.term, False, False))
            return
        if request.term > self.term:
            self._enter_term(now, request.term)
        granted = self.voted_for in (None, source) and self._is_up_to_date(request)
        if granted:
            self._grant_vote(now, source)
        self._send_when_durable(source, VoteResponse(self.term, False, granted))

    def _grant_vote(self, now: float, candidate: int) -> None:
        """Vote for a candidate in the current term; the vote may repeat one that was already given to it."""
        if self.voted_for is None:
            self.voted_for = candidate
            self._persist()
        self._reset_election_timer(now)

    def _is_up_to_date(self, request: RequestVote) -> bool:
        """Whether the candidate's log reaches the end of this log and the log floor: it holds all committed entries."""
        candidate = LogPosition(request.last_term, request.last_index)
        return candidate >= self.log.last_position and candidate >= self._log_floor

    def _handle_vote_response(self, now: float, source: int, response: VoteResponse) -> None:
        """Count a vote, or enter the higher term of the response."""
        if response.term > self.term and not (response.pre_vote and response.granted):
            self._enter_term(now, response.term)
            return
        if not response.granted or source not in self.configuration.voters:
            return
        term = self.term + 1 if response.pre_vote else self.term
        role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        if response.term == term and self.role is role:
            self._votes.add(source)
            self._count_votes(now)
