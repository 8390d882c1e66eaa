"""Raft nodes with one flaw each, which tests and searches must catch."""

from __future__ import annotations

import random
from typing import Any

from martenstep.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    LogEntry,
    RaftMessage,
    RequestVote,
    VoteResponse,
)
from martenstep.replication.raft import LogPosition, PersistentState, RaftNode, RaftSettings, Role, Send


class VotesBeforeDurable(RaftNode):
    """Flaw: a vote leaves before it is durable."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, VoteResponse):
            self.actions.append(Send(to, message))
        else:
            super()._send_when_durable(to, message)


class AcknowledgesBeforeDurable(RaftNode):
    """Flaw: an acknowledgement leaves before its entries are durable."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, AppendEntriesResponse):
            self.actions.append(Send(to, message))
        else:
            super()._send_when_durable(to, message)


class IgnoresLeaderLease(RaftNode):
    """Flaw: votes against a leader that it hears."""

    def _in_leader_lease(self, now: float) -> bool:
        return False


class VotesRightAfterStart(RaftNode):
    """Flaw: votes right after its start."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.leader_contact_at = -1e18


class VotesForAnyLog(RaftNode):
    """Flaw: votes for whatever log."""

    def _is_up_to_date(self, request: RequestVote) -> bool:
        return True


class TruncatesOnOldMessage(RaftNode):
    """Flaw: takes an AppendEntries for the whole rest of the log."""

    def _new_entries(self, message: AppendEntries) -> list[LogEntry]:
        return list(message.entries)


class CommitsOldTerms(RaftNode):
    """Flaw: commits entries of older terms by counting."""

    def _can_commit(self, index: int) -> bool:
        return True


class CountsOwnUnsynced(RaftNode):
    """Flaw: the leader counts what it has not synced."""

    def _durable_match_index(self) -> int:
        return self.last_index


class LeaseFromAnswer(RaftNode):
    """Flaw: the lease runs from when the answer came."""

    def _lease_expiry(self, now: float, sent_at: float) -> float:
        return super()._lease_expiry(now, now)


class AnswersOldRounds(RaftNode):
    """Flaw: a heartbeat of an older term is answered with its round."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, AppendEntriesResponse) and not message.success:
            message = AppendEntriesResponse(message.term, False, message.match_index, 9)
        super()._send_when_durable(to, message)


class LeadsOnAfterTransfer(RaftNode):
    """Flaw: leads on, lease and all, when the target of a transfer did not take over in time."""

    def _transfer_timed_out(self, now: float, term: int) -> None:
        if self.role is Role.LEADER and self.term == term:
            self._transfer_target = None


class OverlappingChanges(RaftNode):
    """Flaw: changes of the group overlap."""

    def _can_change_configuration(self, config: Configuration) -> bool:
        return True


class TrustsAnyDisk(RaftNode):
    """Flaw: takes every disk for its own as it left it."""

    def __init__(
        self,
        replica_id: int,
        stored: PersistentState,
        bootstrap: Configuration,
        settings: RaftSettings,
        rng: random.Random,
        now: float,
        disk_verified: bool = True,
    ) -> None:
        super().__init__(replica_id, stored, bootstrap, settings, rng, now, True)


class VotesAgainAfterRecovery(RaftNode):
    """Flaw: may vote again in a term in which it forgot its vote."""

    def _finish_recovery(self, now: float) -> None:
        term, vote = self.term, self.voted_for
        super()._finish_recovery(now)
        if self.term == term:
            self.voted_for = vote


class ForgetsLogFloor(RaftNode):
    """Flaw: forgets what it may have acknowledged."""

    def _finish_recovery(self, now: float) -> None:
        super()._finish_recovery(now)
        self._log_floor = LogPosition(0, 0)
