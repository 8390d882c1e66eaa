"""A Raft node: combines all parts, and dispatches incoming messages and write completions to them."""

from __future__ import annotations

import random

from martenstep.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    InstallSnapshot,
    InstallSnapshotResponse,
    RaftMessage,
    RecoveryQuery,
    RecoveryResponse,
    RequestVote,
    TimeoutNow,
    VoteResponse,
)
from martenstep.replication.raft.durability import OwnVote
from martenstep.replication.raft.election import Election
from martenstep.replication.raft.reconfiguration import Reconfiguration
from martenstep.replication.raft.recovery import DiskRecovery
from martenstep.replication.raft.types import PersistentState, RaftSettings, Role, Send


class RaftNode(Election, Reconfiguration, DiskRecovery):
    """The Raft algorithm of one replica of a group."""

    def __init__(  # noqa: PLR0913 (the same parameters as RaftState)
        self,
        replica_id: int,
        stored: PersistentState,
        bootstrap: Configuration,
        settings: RaftSettings,
        rng: random.Random,
        now: float,
        disk_verified: bool = True,
    ) -> None:
        """Start as a follower from the stored state; see `RaftState`."""
        super().__init__(replica_id, stored, bootstrap, settings, rng, now, disk_verified)
        if not disk_verified:
            self._query_recovery(now)

    # Durable writes.

    def write_completed(self, now: float, sequence: int) -> None:
        """Handle the completion of a durable write: this one and all earlier ones are durable."""
        if self.halted:
            return
        for released in self._durability.release(sequence):
            if isinstance(released, Send):
                self.actions.append(released)
            else:
                self._count_own_vote(now, released)
        self._durability.advance_durable_index(sequence, self.log.last_index)
        if self.role is Role.LEADER:
            self._advance_commit_index()

    def _count_own_vote(self, now: float, vote: OwnVote) -> None:
        """Count this candidate's vote for itself, which is now durable, if its campaign is still in progress."""
        if self.role is Role.CANDIDATE and self.term == vote.term:
            self._votes.add(self.replica_id)
            self._count_votes(now)

    def write_failed(self) -> None:
        """Halt until this replica is restarted: after a failed write the contents of the disk are unknown."""
        self.halted = True
        self.role, self.leader, self.lease_expires_at = Role.FOLLOWER, None, 0.0
        self._durability.discard_waiting()

    # Messages.

    def receive(self, now: float, source: int, message: RaftMessage) -> None:
        """Handle a message from another replica."""
        if self.halted:
            return
        if isinstance(message, RecoveryQuery):
            self._send_when_durable(source, self._build_recovery_response(message))
        elif isinstance(message, RecoveryResponse):
            self._handle_recovery_response(now, source, message)
        elif isinstance(message, RequestVote):
            self._handle_request_vote(now, source, message)
        elif isinstance(message, VoteResponse):
            self._handle_vote_response(now, source, message)
        elif isinstance(message, AppendEntries):
            self._handle_append_entries(now, source, message)
        elif isinstance(message, InstallSnapshot):
            self._handle_install_snapshot(now, source, message)
        elif isinstance(message, TimeoutNow):
            self._handle_timeout_now(now, source, message)
        else:
            self._handle_follower_response(now, source, message)

    def _handle_timeout_now(self, now: float, source: int, message: TimeoutNow) -> None:
        """Campaign at once if the current leader requests it."""
        if message.term == self.term and source == self.leader and self.can_campaign:
            self._start_election(now, leadership_transfer=True)

    def _handle_follower_response(
        self, now: float, source: int, response: AppendEntriesResponse | InstallSnapshotResponse
    ) -> None:
        """Handle a response that a follower sent to its leader."""
        if response.term > self.term:
            self._enter_term(now, response.term)
        elif self.role is Role.LEADER and response.term == self.term and source in self.configuration.members:
            if isinstance(response, AppendEntriesResponse):
                self._handle_append_entries_response(now, source, response)
            else:
                self._handle_install_snapshot_response(now, source, response)
