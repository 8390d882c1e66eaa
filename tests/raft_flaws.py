"""Raft nodes with one deliberate flaw each, which tests, simulations and the explorer must detect."""

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
    """Flaw: a vote is sent before it is durable."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, VoteResponse):
            self.actions.append(Send(to, message))
        else:
            super()._send_when_durable(to, message)


class AcknowledgesBeforeDurable(RaftNode):
    """Flaw: an acknowledgement is sent before its entries are durable."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, AppendEntriesResponse):
            self.actions.append(Send(to, message))
        else:
            super()._send_when_durable(to, message)


class IgnoresLeaderLease(RaftNode):
    """Flaw: grants votes while a leader may hold a lease."""

    def _in_leader_lease(self, now: float) -> bool:
        return False


class VotesRightAfterStart(RaftNode):
    """Flaw: grants votes right after its start, when it may have acknowledged a leader just before."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.leader_contact_at = -1e18


class VotesForAnyLog(RaftNode):
    """Flaw: votes for a candidate whatever its log holds."""

    def _is_up_to_date(self, request: RequestVote) -> bool:
        return True


class TruncatesOnOldMessage(RaftNode):
    """Flaw: truncates entries that an AppendEntries message does not contain."""

    def _new_entries(self, message: AppendEntries) -> list[LogEntry]:
        return list(message.entries)


class CommitsOlderTermsByCounting(RaftNode):
    """Flaw: commits entries of older terms by counting replicas."""

    def _can_commit(self, index: int) -> bool:
        return True


class CountsOwnUnsyncedEntries(RaftNode):
    """Flaw: the leader counts its own entries before they are durable."""

    def _durable_match_index(self) -> int:
        return self.last_index


class StartsLeaseAtResponse(RaftNode):
    """Flaw: the lease starts when the response arrives instead of when the round was sent."""

    def _lease_expiry(self, now: float, sent_at: float) -> float:
        return super()._lease_expiry(now, now)


class EchoesRoundOfOlderTerm(RaftNode):
    """Flaw: the response to a heartbeat of an older term carries that heartbeat's round (9)."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, AppendEntriesResponse) and not message.success:
            message = AppendEntriesResponse(message.term, False, message.match_index, 9)
        super()._send_when_durable(to, message)


class KeepsLeadingAfterTransferTimeout(RaftNode):
    """Flaw: keeps leading, with a lease, when the target of a transfer did not take over in time."""

    def _transfer_timed_out(self, now: float, term: int) -> None:
        if self.role is Role.LEADER and self.term == term:
            self._transfer_target = None


class AllowsOverlappingChanges(RaftNode):
    """Flaw: starts a configuration change while another one is not committed."""

    def _can_change_configuration(self, configuration: Configuration) -> bool:
        return True


class TrustsAnyDisk(RaftNode):
    """Flaw: treats every disk as verified."""

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
    """Flaw: may vote a second time in a term in which it lost its vote."""

    def _finish_recovery(self, now: float) -> None:
        term, vote = self.term, self.voted_for
        super()._finish_recovery(now)
        if self.term == term:
            self.voted_for = vote


class ForgetsLogFloor(RaftNode):
    """Flaw: resets the log floor, and so may vote for a log that lacks entries which it acknowledged."""

    def _finish_recovery(self, now: float) -> None:
        super()._finish_recovery(now)
        self._log_floor = LogPosition(0, 0)
