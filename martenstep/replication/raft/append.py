"""Log replication: AppendEntries, heartbeats and the commit index (thesis, 3.5 and 3.6)."""

from __future__ import annotations

from functools import partial

from martenstep.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    EntryKind,
    LogEntry,
    TimeoutNow,
)
from martenstep.replication.raft.progress import Progress
from martenstep.replication.raft.snapshot_transfer import SnapshotTransfer
from martenstep.replication.raft.types import EntryCommitted, Role

MAX_APPEND_ENTRIES = 64
MAX_APPEND_BYTES = 128 << 10
MAX_INFLIGHT_ENTRIES = 256  # sent to one replica and not acknowledged; a slow replica is sent no more than this
RETRANSMIT_AFTER_ROUNDS = 3  # heartbeat rounds without an answer
MAX_REMEMBERED_ROUNDS = 50  # heartbeat rounds whose sending time is kept


class LogReplication(SnapshotTransfer):
    """Sending entries as a leader, appending them as a follower, and advancing the commit index."""

    # Leader.

    def propose(self, data: bytes, replicate: bool = True) -> int | None:
        """Append a command and return its index; None if this replica is not a leader that accepts commands.

        The command is committed once an entry with that index and the current term is committed.

        With `replicate=False` the entry is sent to the other replicas by the next call of `replicate`, so that one
        message can carry many entries.
        """
        if self.role is not Role.LEADER or self._transfer_target is not None or self.halted:
            return None
        index = self._append_entry(EntryKind.COMMAND, data)
        if replicate:
            self._replicate_to_all()
        return index

    def replicate(self) -> None:
        """Send the proposed entries to the other replicas."""
        if self.role is Role.LEADER and not self.halted:
            self._replicate_to_all()

    def replication_lag(self) -> dict[int, int]:
        """On a leader: the number of entries that each other replica has not yet acknowledged; otherwise empty."""
        if self.role is not Role.LEADER:
            return {}
        lags = {}
        for replica in self.configuration.members:
            if replica != self.replica_id:
                match_index = self._progress[replica].match_index if replica in self._progress else 0
                lags[replica] = self.log.last_index - match_index
        return lags

    def _append_entry(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of the current term to this replica's log."""
        entry = LogEntry(self.log.last_index + 1, self.term, kind, data)
        self.log.append((entry,))
        self._adopt_configuration((entry,))
        self._persist(entries=(entry,))
        return entry.index

    def _heartbeat(self, now: float, term: int) -> None:
        """Start a heartbeat round, or step down if no quorum has answered for two election timeouts (check-quorum)."""
        if self.role is not Role.LEADER or self.term != term:
            return
        self._timers.schedule(now + self.settings.heartbeat_interval_ms, partial(self._heartbeat, term=term))
        if now - self._quorum_contact_at > 2 * self.settings.election_timeout_ms:
            self._step_down(now)
            return
        self._round += 1
        self._round_sent_at[self._round] = now
        if self.configuration.voters == (self.replica_id,):
            self._renew_lease(now)  # no other voter's response will renew it
        for old in [old for old in self._round_sent_at if old < self._round - MAX_REMEMBERED_ROUNDS]:
            del self._round_sent_at[old]
        for replica in self.configuration.members:
            if replica != self.replica_id:
                self._replicate_to(replica, heartbeat=True)

    def _replicate_to_all(self) -> None:
        """Send every other replica the entries that it lacks."""
        for replica in self.configuration.members:
            if replica != self.replica_id:
                self._replicate_to(replica, heartbeat=False)

    def _replicate_to(self, replica: int, heartbeat: bool) -> None:
        """Send one replica the entries that it lacks, within the limits; a heartbeat is sent even without entries."""
        progress = self._progress_for(replica)
        if progress.next_index <= self.log.snapshot_index:
            self._send_snapshot_chunk(progress, replica, retransmit=heartbeat)
            return
        if heartbeat:
            self._retransmit_unacknowledged(progress)
        entries = self._entries_to_send(progress)
        if not entries and not heartbeat:
            return
        prev_index = progress.next_index - 1
        prev_term = self.log.term_at(prev_index)
        assert prev_term is not None
        self._send(replica, AppendEntries(self.term, prev_index, prev_term, entries, self.commit_index, self._round))
        progress.next_index += len(entries)

    def _retransmit_unacknowledged(self, progress: Progress) -> None:
        """Go back to the first unacknowledged entry if the replica has not answered several rounds."""
        unacknowledged = progress.next_index > progress.match_index + 1
        if (
            unacknowledged
            and progress.match_index >= self.log.snapshot_index
            and progress.acked_round < self._round - RETRANSMIT_AFTER_ROUNDS
        ):
            progress.next_index = progress.match_index + 1

    def _entries_to_send(self, progress: Progress) -> tuple[LogEntry, ...]:
        """Return the next entries for one replica, within the limits on message size and on entries in flight."""
        last = min(
            self.log.last_index,
            progress.match_index + MAX_INFLIGHT_ENTRIES,
            progress.next_index + MAX_APPEND_ENTRIES - 1,
        )
        if last < progress.next_index:
            return ()
        entries = self.log.slice(progress.next_index, last)
        size = 0
        for count, entry in enumerate(entries):
            if size >= MAX_APPEND_BYTES:
                return entries[:count]
            size += len(entry.data)
        return entries

    def _handle_append_entries_response(self, now: float, source: int, response: AppendEntriesResponse) -> None:
        """Advance a replica's progress, or go back to the point where its log may match."""
        if not response.success and not response.round:
            return  # answers a leader of an earlier term, so it shows nothing about the log in this one
        progress = self._record_round(now, source, response.round)
        if not response.success:
            # If the hint is below what the replica acknowledged in this term, an older state of its disk was restored.
            # Committed entries stay committed; the replica is sent the missing ones again.
            progress.match_index = min(progress.match_index, response.match_index)
            progress.next_index = min(response.match_index, self.log.last_index) + 1
            self._replicate_to(source, heartbeat=False)
            return
        if response.match_index > progress.match_index:
            progress.match_index = response.match_index
            progress.next_index = max(progress.next_index, response.match_index + 1)
            self._advance_commit_index()
        if self.role is Role.LEADER:
            self._send_timeout_now_if_caught_up()
            self._replicate_to(source, heartbeat=False)

    def _send_timeout_now_if_caught_up(self) -> None:
        """Tell the target of a leadership transfer to campaign once it holds the whole log."""
        target = self._transfer_target
        if target is None or target not in self._progress:
            return
        if self._progress[target].match_index == self.log.last_index:
            self._send(target, TimeoutNow(self.term))

    # The commit index.

    def _durable_match_index(self) -> int:
        """Return the index up to which this replica's own log is durable."""
        return self._durability.durable_index

    def _advance_commit_index(self) -> None:
        """Commit up to the index that a quorum holds durably, if that entry is of this term (thesis, 3.6.2)."""
        index = self._quorum_value(self._durable_match_index(), lambda progress: progress.match_index)
        if index <= self.commit_index or not self._can_commit(index):
            return
        self.commit_index = index
        self._apply_committed()
        if self.replica_id not in self.configuration.voters and self.configuration_committed:
            self._change_role(Role.FOLLOWER, None)  # the committed configuration removes this leader

    def _can_commit(self, index: int) -> bool:
        """Whether an entry may be committed by counting replicas: only one of the current term may."""
        return self.log.term_at(index) == self.term

    def _apply_committed(self) -> None:
        """Emit each committed entry that was not emitted before."""
        while self._applied_index < self.commit_index:
            entry = self.log.entry(self._applied_index + 1)
            if entry is None:
                return
            self._applied_index += 1
            self.actions.append(EntryCommitted(entry))

    # Follower.

    def _handle_append_entries(self, now: float, source: int, message: AppendEntries) -> None:
        """Append a leader's entries if the log matches the entry before them."""
        if not self._accept_leader(now, source, message.term):
            return
        snapshot_index = self.log.snapshot_index
        if message.prev_log_index < snapshot_index:
            # Entries up to the snapshot are committed; the leader continues after them.
            self._send_when_durable(source, AppendEntriesResponse(self.term, True, snapshot_index, message.round))
            return
        if self.log.term_at(message.prev_log_index) != message.prev_log_term:
            hint = self._last_index_that_may_match(message.prev_log_index)
            self._send_when_durable(source, AppendEntriesResponse(self.term, False, hint, message.round))
            return
        self._append_from_leader(self._new_entries(message))
        match_index = message.prev_log_index + len(message.entries)
        self._send_when_durable(source, AppendEntriesResponse(self.term, True, match_index, message.round))
        if min(message.leader_commit, match_index) > self.commit_index:
            self.commit_index = min(message.leader_commit, match_index)
            self._apply_committed()

    def _last_index_that_may_match(self, prev_log_index: int) -> int:
        """After a mismatch, return the last index before all entries of the conflicting term."""
        mismatched_term = self.log.term_at(prev_log_index)
        index = min(self.log.last_index, prev_log_index - 1)
        while (
            index > self.log.snapshot_index
            and mismatched_term is not None
            and self.log.term_at(index) == mismatched_term
        ):
            index -= 1
        return index

    def _new_entries(self, message: AppendEntries) -> list[LogEntry]:
        """Return the message's entries from the first one that this log does not hold.

        Entries of this log beyond the end of the message are kept: the message may be an old one, and truncating them
        would undo an acknowledgement.
        """
        for number, entry in enumerate(message.entries):
            if self.log.term_at(entry.index) != entry.term:
                return list(message.entries[number:])
        return []

    def _append_from_leader(self, entries: list[LogEntry]) -> None:
        """Replace the log from the first index of `entries` on."""
        if not entries:
            return
        first = entries[0].index
        truncate_from = first if first <= self.log.last_index else None
        if truncate_from is not None:
            self._truncate_log(truncate_from)
        self.log.append(entries)
        self._adopt_configuration(entries)
        self._persist(truncate_from, tuple(entries))

    def _truncate_log(self, index: int) -> None:
        """Remove an entry that conflicts with the leader's, and all entries after it.

        Raises AssertionError if the entry is committed.
        """
        self.log.truncate_from(index)
        if index <= self.commit_index:
            raise AssertionError(
                f"cannot truncate the log from entry {index}: entries up to {self.commit_index} are committed"
            )
        self._durability.truncate(index - 1)
        if index <= self.configuration_index:
            self._restore_configuration(index - 1)
