"""The agreement's core: Raft (Ongaro's thesis, 2014) with trial votes, check-quorum, leases, single-step changes.

Sans-I/O.  In: messages, completions of durable writes, the time on this machine's monotonic clock (ms).  Out: messages,
writes, entries that are committed, changes of role.  Draws come from the given generator.

Rules that are this text's own:

- Whatever answers a promise (a vote, an acknowledgement) leaves only once all that was written before it is durable.
- A copy is its disk.  One whose disk cannot be proven to be as it was left (`proven=False`: the machine was restarted,
  or the directory came from elsewhere) neither votes nor acknowledges until every other voter has told it how far
  things are: what it may have promised and forgotten, it promised to one of them.  Then it counts again, but votes in
  no term that they knew, and for nobody, itself too, whose log ends before theirs; that is kept on its disk as well.
  (Viewstamped Replication Revisited, section 4.3, asks a quorum with the primary; with a vote forgotten that is too
  little.)
- A copy that has just started does not vote for the time of a lease: it may have told a leader that it hears it.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from martenstep.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotResponse,
    LogEntry,
    RaftMessage,
    RecoveryQuery,
    RecoveryResponse,
    RequestVote,
    Snapshot,
    TimeoutNow,
    VoteResponse,
    decode_configuration,
    encode,
)

MAX_APPEND_ENTRIES = 64  # of one Append
MAX_APPEND_BYTES = 128 << 10  # of one Append's entries
MAX_INFLIGHT_ENTRIES = 256  # entries sent to one copy and not acknowledged: a slow one is not sent more
SNAPSHOT_CHUNK_BYTES = 32 << 10  # of a snapshot
MAX_PROMOTION_LAG_ENTRIES = 64  # entries behind that a learner may be to count from then on


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Of a group; times in milliseconds."""

    election_timeout_ms: float = 400.0  # a leader that was heard within this is not voted against
    heartbeat_interval_ms: float = 100.0
    max_clock_drift: float = 0.02  # clocks run apart by no more than this part: the lease ends so much sooner
    recovery_query_interval_ms: float = 200.0  # between two times that a copy which cannot prove itself asks


class Role(Enum):
    """Of a copy."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trying"  # asks whether it would be voted for
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class PersistentState:
    """What is on the disk of a copy."""

    term: int = 0
    voted_for: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    snapshot: Snapshot | None = None
    log_floor: tuple[int, int] = (0, 0)  # last term and index of what this copy may have acknowledged and forgotten


@dataclass(slots=True)
class Send:
    """To another copy."""

    to: int
    message: RaftMessage


@dataclass(slots=True)
class DurableWrite:
    """To be made durable, in the order of tickets: term, vote and floor, then the log cut from an index on, then
    entries, or a snapshot in place of all up to its index."""

    sequence: int
    term: int
    voted_for: int | None
    log_floor: tuple[int, int] = (0, 0)
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class EntryCommitted:
    """An entry stands; given in order, each once a start."""

    entry: LogEntry


@dataclass(slots=True)
class SnapshotInstalled:
    """A snapshot stands in place of all entries up to its index."""

    snapshot: Snapshot


@dataclass(slots=True)
class RoleChanged:
    """Another role, or another leader."""

    role: Role
    term: int
    leader: int | None


Action = Send | DurableWrite | EntryCommitted | SnapshotInstalled | RoleChanged


@dataclass(slots=True)
class Progress:
    """What a leader knows of another copy."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    snapshot_offset: int | None = None  # of a snapshot under way
    snapshot_index: int = 0


class RaftNode:
    """One copy of a group."""

    def __init__(
        self,
        me: int,
        kept: PersistentState,
        first: Configuration,
        settings: RaftSettings,
        rng: random.Random,
        now: float,
        proven: bool = True,
    ) -> None:
        """`first` is the group as it began; what the log says later holds in its place."""
        self.replica_id, self.settings, self._rng = me, settings, rng
        self.term, self.voted_for = kept.term, kept.voted_for
        self.snapshot = kept.snapshot
        self.log = list(kept.entries)  # those after the snapshot
        self._bootstrap_configuration = first
        self.configuration, self._configuration_index = self._configuration_at(self.last_index)
        self.role = Role.FOLLOWER
        self.leader: int | None = None
        self.commit_index = self.snapshot.index if self.snapshot is not None else 0
        self.disk_verified = proven
        self.halted = False
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self._last_write, self._last_durable_write = 0, 0
        self._waiting_for_durability: list[
            tuple[int, Send | int]
        ] = []  # by ticket: what leaves then, or the term of an own vote
        self._durable_index = self.last_index
        self._last_index_by_write: dict[int, int] = {}  # the log's end when a ticket was written
        self._applied_index = self.commit_index
        self._progress: dict[int, Progress] = {}
        self._votes: set[int] = set()
        self._heartbeat_round = 0
        self._round_sent_at: dict[int, float] = {}  # of rounds
        self.lease_expires_at = 0.0
        self._transfer_target: int | None = None
        self._leader_contact_at = now  # as if: see the third rule above
        self._quorum_contact_at = now
        self._snapshot_chunks: dict[int, bytearray] = {}
        self._log_floor = kept.log_floor  # a candidate must reach it, this copy too
        self._recovery_responses: dict[int, RecoveryResponse] = {}
        self._recovery_nonce = rng.getrandbits(62)
        self._timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        self._election_timer = 0  # the time-out in force
        self._reset_election_timer(now)
        if not proven:
            self._query_recovery(now)

    # The log.

    @property
    def last_index(self) -> int:
        """Of the log."""
        return self.log[-1].index if self.log else (self.snapshot.index if self.snapshot is not None else 0)

    @property
    def last_term(self) -> int:
        """Of its last entry."""
        return self.log[-1].term if self.log else (self.snapshot.term if self.snapshot is not None else 0)

    @property
    def snapshot_index(self) -> int:
        """All up to here is in the snapshot."""
        return self.snapshot.index if self.snapshot is not None else 0

    def entry(self, index: int) -> LogEntry | None:
        """One of the entries that are held."""
        at = index - self.snapshot_index - 1
        return self.log[at] if 0 <= at < len(self.log) else None

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not held."""
        if index == 0:
            return 0
        if index == self.snapshot_index and self.snapshot is not None:
            return self.snapshot.term
        held = self.entry(index)
        return None if held is None else held.term

    def _configuration_at(self, index: int) -> tuple[Configuration, int]:
        """The latest up to an entry, and where it stands, committed or not (thesis, 4.1)."""
        for number in range(index, self.snapshot_index, -1):
            held = self.entry(number)
            if held is not None and held.kind is EntryKind.CONFIGURATION:
                return decode_configuration(held.data), number
        if self.snapshot is not None:
            return self.snapshot.configuration, self.snapshot.index
        return self._bootstrap_configuration, 0

    def _adopt_configuration(self, fresh: Iterable[LogEntry]) -> None:
        """Let the latest of some new entries hold.  The log may be long, and is not looked through for it."""
        for held in fresh:
            if held.kind is EntryKind.CONFIGURATION:
                self.configuration, self._configuration_index = decode_configuration(held.data), held.index

    # Time.

    def _schedule(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heapq.heappush(self._timers, (when, self._order, call, args))

    @property
    def next_timer_at(self) -> float:
        """When `wake` is due."""
        return self._timers[0][0] if self._timers else float("inf")

    def run_due_timers(self, now: float) -> None:
        """Let time pass."""
        while self._timers and self._timers[0][0] <= now and not self.halted:
            _, _, call, args = heapq.heappop(self._timers)
            call(now, *args)

    def _reset_election_timer(self, now: float) -> None:
        """A new time-out for hearing from a leader, drawn."""
        self._election_timer += 1
        base = self.settings.election_timeout_ms
        self._schedule(now + self._rng.uniform(base, 2 * base), self._election_timed_out, self._election_timer)

    # Durable writes.

    def _persist(
        self, cut_from: int | None = None, entries: tuple[LogEntry, ...] = (), snapshot: Snapshot | None = None
    ) -> int:
        self._last_write += 1
        self._last_index_by_write[self._last_write] = self.last_index
        self.actions.append(
            DurableWrite(self._last_write, self.term, self.voted_for, self._log_floor, cut_from, entries, snapshot)
        )
        return self._last_write

    def write_completed(self, now: float, ticket: int) -> None:
        """All up to this ticket is durable."""
        if self.halted:
            return
        self._last_durable_write = max(self._last_durable_write, ticket)
        while self._waiting_for_durability and self._waiting_for_durability[0][0] <= self._last_durable_write:
            due = self._waiting_for_durability.pop(0)[1]
            if isinstance(due, Send):
                self.actions.append(due)
            elif self.role is Role.CANDIDATE and self.term == due:
                self._votes.add(self.replica_id)
                self._count_votes(now)
        self._durable_index = min(self._last_index_by_write.get(ticket, self._durable_index), self.last_index)
        for old in [old for old in self._last_index_by_write if old < ticket]:
            del self._last_index_by_write[old]
        if self.role is Role.LEADER:
            self._advance_commit_index(now)

    def write_failed(self) -> None:
        """A write failed: what is on the disk is not known any more, and this copy promises nothing until it is started
        again."""
        self.halted = True
        self.role, self.leader, self.lease_expires_at = Role.FOLLOWER, None, 0.0
        self._waiting_for_durability.clear()

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        """Send once all that was written so far is durable."""
        if self._last_durable_write >= self._last_write:
            self.actions.append(Send(to, message))
        else:
            self._waiting_for_durability.append((self._last_write, Send(to, message)))

    # Roles.

    def _change_role(self, role: Role, leader: int | None) -> None:
        changed = (role, leader) != (self.role, self.leader)
        self.role, self.leader = role, leader
        if role is not Role.LEADER:
            self.lease_expires_at = 0.0
            self._progress.clear()
            self._transfer_target = None
        if changed:
            self.actions.append(RoleChanged(role, self.term, leader))

    def _enter_term(self, now: float, term: int) -> None:
        """A higher term was seen."""
        self.term, self.voted_for = term, None
        self._persist()
        self._change_role(Role.FOLLOWER, None)
        self._reset_election_timer(now)

    @property
    def can_campaign(self) -> bool:
        """This copy is a voter, and its log holds all that it may have acknowledged."""
        return (
            self.replica_id in self.configuration.voters
            and self.disk_verified
            and not self.halted
            and not self.is_below_log_floor
        )

    def _election_timed_out(self, now: float, number: int) -> None:
        if number != self._election_timer or self.role is Role.LEADER:
            return
        self._reset_election_timer(now)
        if not self.can_campaign:
            return
        self._start_pre_vote(now)

    def _start_pre_vote(self, now: float) -> None:
        """Would the others vote for this copy?  Without that a copy that was cut off would only raise the term."""
        self._change_role(Role.PRE_CANDIDATE, None)
        self._votes = {self.replica_id}
        self._request_votes(RequestVote(self.term + 1, self.last_index, self.last_term, True))
        self._count_votes(now)

    def _start_election(self, now: float, handed: bool = False) -> None:
        self.term, self.voted_for = self.term + 1, self.replica_id
        self._change_role(Role.CANDIDATE, None)
        self._reset_election_timer(now)
        self._votes = set()
        self._waiting_for_durability.append((self._persist(), self.term))
        self._request_votes(RequestVote(self.term, self.last_index, self.last_term, False, handed))

    def _request_votes(self, question: RequestVote) -> None:
        for other in self.configuration.voters:
            if other != self.replica_id:
                self._send_when_durable(other, question)

    def _count_votes(self, now: float) -> None:
        if len(self._votes & set(self.configuration.voters)) < self.configuration.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self._change_role(Role.LEADER, self.replica_id)
        self._progress = {}
        self._quorum_contact_at = now
        self._heartbeat_round, self._round_sent_at = 0, {}
        self._append_entry(now, EntryKind.NO_OP, b"")
        self._heartbeat(now, self.term)

    def _heartbeat(self, now: float, term: int) -> None:
        if self.role is not Role.LEADER or self.term != term:
            return
        self._schedule(now + self.settings.heartbeat_interval_ms, self._heartbeat, term)
        if now - self._quorum_contact_at > 2 * self.settings.election_timeout_ms:
            self._change_role(Role.FOLLOWER, None)  # cut off from the majority: somebody else may lead by now
            self._reset_election_timer(now)
            return
        self._heartbeat_round += 1
        self._round_sent_at[self._heartbeat_round] = now
        if self.configuration.voters == (self.replica_id,):
            self._renew_lease(now)  # it has nobody whose answer would
        for old in [old for old in self._round_sent_at if old < self._heartbeat_round - 50]:
            del self._round_sent_at[old]
        for other in self.configuration.members:
            if other != self.replica_id:
                self._replicate_to(now, other, beat=True)

    # What users ask.

    def propose(self, now: float, data: bytes, feed: bool = True) -> int | None:
        """An entry's index, where this copy leads; it stands once it is given as committed in this same term.

        Without `feed` the others are told with the next call of `feed`, so that many go in one message."""
        if self.role is not Role.LEADER or self._transfer_target is not None or self.halted:
            return None
        index = self._append_entry(now, EntryKind.COMMAND, data)
        if feed:
            self._replicate_to_all(now)
        return index

    def replicate(self, now: float) -> None:
        """Tell the others what was proposed."""
        if self.role is Role.LEADER and not self.halted:
            self._replicate_to_all(now)

    def can_serve_read(self, now: float) -> bool:
        """Whether what is delivered here holds all that was committed before now: it leads, its lease runs, and it has
        delivered an entry of its own term and all that is committed."""
        return (
            self.role is Role.LEADER
            and now < self.lease_expires_at
            and self._applied_index == self.commit_index
            and self.term_at(self.commit_index) == self.term
        )

    def change_configuration(self, now: float, config: Configuration) -> bool:
        """Put another group in place, one voter more or less; False where that may not be now."""
        if (
            self.role is not Role.LEADER
            or self._transfer_target is not None
            or not self._can_change_configuration(config)
        ):
            return False
        self._append_entry(now, EntryKind.CONFIGURATION, encode(config))
        self._replicate_to_all(now)
        return True

    def _can_change_configuration(self, config: Configuration) -> bool:
        # An entry of this term must stand first, and no other change be under way (Ongaro's erratum of 2015).
        if self.term_at(self.commit_index) != self.term or self._configuration_index > self.commit_index:
            return False
        before, after = set(self.configuration.voters), set(config.voters)
        if len(before ^ after) > 1 or not after or len(set(config.members)) != len(config.members):
            return False
        # Whoever counts holds the entry that took it in.  Danger: it could believe an older word that it is out.
        return all(
            one in self._progress
            and self._progress[one].match_index
            >= max(self.last_index - MAX_PROMOTION_LAG_ENTRIES, self._configuration_index)
            for one in after - before
        )

    @property
    def leader_contact_at(self) -> float:
        """When a leader was heard last, or this copy began."""
        return self._leader_contact_at

    @property
    def configuration_index(self) -> int:
        """Where the configuration in force stands."""
        return self._configuration_index

    @property
    def configuration_committed(self) -> bool:
        """The configuration in force is committed."""
        return self._configuration_index <= self.commit_index

    def replication_lag(self) -> dict[int, int]:
        """At a leader: by how many entries each other copy is behind, as far as it has acknowledged."""
        return (
            {
                copy: self.last_index - (self._progress[copy].match_index if copy in self._progress else 0)
                for copy in self.configuration.members
                if copy != self.replica_id
            }
            if self.role is Role.LEADER
            else {}
        )

    def transfer_leadership(self, now: float, to: int | None = None) -> bool:
        """Let another lead; False where nobody can."""
        if self.role is not Role.LEADER:
            return False
        near = [
            other
            for other in self.configuration.voters
            if other != self.replica_id and other in self._progress and (to is None or other == to)
        ]
        if not near:
            return False
        self._transfer_target = max(near, key=lambda other: self._progress[other].match_index)
        self.lease_expires_at = 0.0  # who takes over is voted for at once, whatever was promised to this one
        self._schedule(
            now + self.settings.election_timeout_ms, self._transfer_timed_out, self.term, self._transfer_target
        )
        self._replicate_to(now, self._transfer_target, beat=True)
        self._send_timeout_now_if_caught_up()
        return True

    def _transfer_timed_out(self, now: float, term: int, to: int) -> None:
        """Nobody took over.  Danger: the word to do so may still be on its way, and is voted for whatever lease runs;
        so no lease may run in this term any more."""
        if self.role is Role.LEADER and self.term == term:
            self._change_role(Role.FOLLOWER, None)
            self._reset_election_timer(now)

    def _send_timeout_now_if_caught_up(self) -> None:
        to = self._transfer_target
        if to is not None and to in self._progress and self._progress[to].match_index == self.last_index:
            self.actions.append(Send(to, TimeoutNow(self.term)))

    def compact(self, index: int, body: bytes) -> bool:
        """Keep the state after an entry in place of all up to it; False where that entry is not delivered."""
        term = self.term_at(index)
        if not self.snapshot_index < index <= self._applied_index or term is None:
            return False
        config, _ = self._configuration_at(index)
        self.log = self.log[index - self.snapshot_index :]
        self.snapshot = Snapshot(index, term, config, body)
        self._persist(snapshot=self.snapshot)
        return True

    # The leader's part.

    def _append_entry(self, now: float, kind: EntryKind, data: bytes) -> int:
        made = LogEntry(self.last_index + 1, self.term, kind, data)
        self.log.append(made)
        self._adopt_configuration((made,))
        self._persist(entries=(made,))
        return made.index

    def _replicate_to_all(self, now: float) -> None:
        for other in self.configuration.members:
            if other != self.replica_id:
                self._replicate_to(now, other, beat=False)

    def _progress_for(self, other: int) -> Progress:
        peer = self._progress.get(other)
        if peer is None:
            peer = self._progress[other] = Progress(self.last_index + 1)
        return peer

    def _replicate_to(self, now: float, other: int, beat: bool) -> None:
        """What one copy lacks, within its bounds; on a beat at least a question, from where it is known to be."""
        peer = self._progress_for(other)
        if peer.next_index <= self.snapshot_index:
            self._send_snapshot_chunk(peer, other, beat)
            return
        if (
            beat
            and peer.next_index > peer.match_index + 1
            and peer.match_index >= self.snapshot_index
            and peer.acked_round < self._heartbeat_round - 3
        ):
            peer.next_index = peer.match_index + 1  # what was sent and not acknowledged for three beats is sent again
        entries: list[LogEntry] = []
        size, at = 0, peer.next_index
        while (
            at <= self.last_index
            and at <= peer.match_index + MAX_INFLIGHT_ENTRIES
            and len(entries) < MAX_APPEND_ENTRIES
            and size < MAX_APPEND_BYTES
        ):
            held = self.entry(at)
            assert held is not None
            entries.append(held)
            size += len(held.data)
            at += 1
        if not entries and not beat:
            return
        before = self.term_at(peer.next_index - 1)
        assert before is not None
        self.actions.append(
            Send(
                other,
                AppendEntries(
                    self.term, peer.next_index - 1, before, tuple(entries), self.commit_index, self._heartbeat_round
                ),
            )
        )
        peer.next_index = at

    def _send_snapshot_chunk(self, peer: Progress, other: int, beat: bool) -> None:
        snapshot = self.snapshot
        assert snapshot is not None
        if peer.snapshot_offset is None or peer.snapshot_index != snapshot.index:
            peer.snapshot_offset, peer.snapshot_index = 0, snapshot.index
        elif not beat:
            return  # one piece at a time; lost ones are sent again by the beat
        data = snapshot.body[peer.snapshot_offset : peer.snapshot_offset + SNAPSHOT_CHUNK_BYTES]
        self.actions.append(
            Send(
                other,
                InstallSnapshot(
                    self.term,
                    snapshot.index,
                    snapshot.term,
                    snapshot.configuration,
                    peer.snapshot_offset,
                    data,
                    len(snapshot.body),
                    self._heartbeat_round,
                ),
            )
        )

    def _durable_match_index(self) -> int:
        """What of this copy's own log is durable."""
        return self._durable_index

    def _advance_commit_index(self, now: float) -> None:
        """What a majority holds durably stands, where it is of this term (thesis, 3.6.2)."""
        held = sorted(
            (
                self._durable_match_index()
                if voter == self.replica_id
                else self._progress[voter].match_index
                if voter in self._progress
                else 0
                for voter in self.configuration.voters
            ),
            reverse=True,
        )
        index = held[self.configuration.quorum - 1]
        if index > self.commit_index and self._can_commit(index):
            self.commit_index = index
            self._apply_committed()
            if self.replica_id not in self.configuration.voters and self._configuration_index <= self.commit_index:
                self._change_role(Role.FOLLOWER, None)  # it led its own leaving

    def _can_commit(self, index: int) -> bool:
        return self.term_at(index) == self.term

    def _apply_committed(self) -> None:
        while self._applied_index < self.commit_index:
            held = self.entry(self._applied_index + 1)
            if held is None:
                return
            self._applied_index += 1
            self.actions.append(EntryCommitted(held))

    def _renew_lease(self, now: float) -> None:
        rounds = sorted(
            (
                self._heartbeat_round
                if voter == self.replica_id
                else self._progress[voter].acked_round
                if voter in self._progress
                else 0
                for voter in self.configuration.voters
            ),
            reverse=True,
        )
        acked = rounds[self.configuration.quorum - 1]
        sent = self._round_sent_at.get(acked)
        if sent is None:
            return
        self._quorum_contact_at = max(self._quorum_contact_at, sent)
        if self._transfer_target is None:
            self.lease_expires_at = max(self.lease_expires_at, self._lease_expiry(now, sent))

    def _lease_expiry(self, now: float, sent: float) -> float:
        """Counted from before it was asked."""
        return sent + self.settings.election_timeout_ms * (1 - self.settings.max_clock_drift) / (
            1 + self.settings.max_clock_drift
        )

    # Messages.

    def receive(self, now: float, source: int, message: RaftMessage) -> None:
        """Take in what another copy said."""
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
            if message.term == self.term and source == self.leader and self.can_campaign:
                self._start_election(now, handed=True)
        elif message.term > self.term:
            self._enter_term(now, message.term)
        elif self.role is Role.LEADER and message.term == self.term and source in self.configuration.members:
            if isinstance(message, AppendEntriesResponse):
                self._handle_append_entries_response(now, source, message)
            else:
                self._handle_install_snapshot_response(now, source, message)

    def _handle_request_vote(self, now: float, source: int, asked: RequestVote) -> None:
        if not self.disk_verified:
            return  # whether the candidate, or this copy itself, is in the log here does not matter: this one may lag
        sticky = not asked.leadership_transfer and self._in_leader_lease(now)
        if asked.pre_vote:
            granted = asked.term > self.term and not sticky and self._is_up_to_date(asked)
            self._send_when_durable(source, VoteResponse(asked.term if granted else self.term, True, granted))
            return
        if sticky or asked.term < self.term:
            self._send_when_durable(source, VoteResponse(self.term, False, False))
            return
        if asked.term > self.term:
            self._enter_term(now, asked.term)
        granted = self.voted_for in (None, source) and self._is_up_to_date(asked)
        if granted:
            if self.voted_for is None:
                self.voted_for = source
                self._persist()
            self._reset_election_timer(now)
        self._send_when_durable(source, VoteResponse(self.term, False, granted))

    def _in_leader_lease(self, now: float) -> bool:
        """A leader that was heard lately has a lease that rests on this copy."""
        return self.role is Role.LEADER or now - self._leader_contact_at < self.settings.election_timeout_ms

    def _is_up_to_date(self, asked: RequestVote) -> bool:
        """The candidate's log holds all that may be committed."""
        theirs = asked.last_term, asked.last_index
        return theirs >= (self.last_term, self.last_index) and theirs >= self._log_floor

    def _handle_vote_response(self, now: float, source: int, given: VoteResponse) -> None:
        if given.term > self.term and not (given.pre_vote and given.granted):
            self._enter_term(now, given.term)
            return
        if not given.granted or source not in self.configuration.voters:
            return
        wanted = self.term + 1 if given.pre_vote else self.term
        if given.term == wanted and self.role is (Role.PRE_CANDIDATE if given.pre_vote else Role.CANDIDATE):
            self._votes.add(source)
            self._count_votes(now)

    def _follow_leader(self, now: float, source: int, term: int) -> bool:
        """A leader speaks; False where it leads no more."""
        if term < self.term:
            return False
        if term > self.term:
            self._enter_term(now, term)
        self._change_role(Role.FOLLOWER, source)
        self._leader_contact_at = now
        self._reset_election_timer(now)
        return True

    def _accept_leader(self, now: float, source: int, term: int) -> bool:
        """Whether a leader's word counts here; one that leads no more is told of the present term."""
        if not self.disk_verified:
            return False
        if self._follow_leader(now, source, term):
            return True
        # Without a round.  Danger: his was counted in an earlier term, and the same copy may lead this one by now: it
        # would take its latest question for answered, and lease on it.
        self._send_when_durable(source, AppendEntriesResponse(self.term, False, 0, 0))
        return False

    def _handle_append_entries(self, now: float, source: int, told: AppendEntries) -> None:
        if not self._accept_leader(now, source, told.term):
            return
        before = self.term_at(told.prev_log_index)
        if told.prev_log_index < self.snapshot_index:
            # Those up to the snapshot stand; the leader goes on behind them.
            self._send_when_durable(source, AppendEntriesResponse(self.term, True, self.snapshot_index, told.round))
            return
        if before != told.prev_log_term:
            hint = min(self.last_index, told.prev_log_index - 1)
            while hint > self.snapshot_index and before is not None and self.term_at(hint) == before:
                hint -= 1  # a term at a time
            self._send_when_durable(source, AppendEntriesResponse(self.term, False, hint, told.round))
            return
        fresh = self._new_entries(told)
        if fresh:
            cut = fresh[0].index if fresh[0].index <= self.last_index else None
            if cut is not None:
                del self.log[cut - self.snapshot_index - 1 :]
                if cut <= self.commit_index:
                    raise AssertionError(f"entry {cut} is committed and would be cut off")
                self._durable_index = min(self._durable_index, cut - 1)
                if cut <= self._configuration_index:
                    self.configuration, self._configuration_index = self._configuration_at(cut - 1)
                # What is still being written was of the longer log: it proves nothing of the entries in its place.
                self._last_index_by_write = {
                    ticket: min(index, cut - 1) for ticket, index in self._last_index_by_write.items()
                }
            self.log += fresh
            self._adopt_configuration(fresh)
            self._persist(cut, tuple(fresh))
        match = told.prev_log_index + len(told.entries)
        self._send_when_durable(source, AppendEntriesResponse(self.term, True, match, told.round))
        if min(told.leader_commit, match) > self.commit_index:
            self.commit_index = min(told.leader_commit, match)
            self._apply_committed()

    def _new_entries(self, told: AppendEntries) -> list[LogEntry]:
        """Those that are not here yet.  Danger: cutting off entries that an older message merely does not hold would
        undo what was acknowledged."""
        for number, entry in enumerate(told.entries):
            if self.term_at(entry.index) != entry.term:
                return list(told.entries[number:])
        return []

    def _record_round(self, now: float, source: int, number: int) -> Progress:
        """Somebody answered a round."""
        peer = self._progress_for(source)
        if number > peer.acked_round:
            peer.acked_round = number
            self._renew_lease(now)
        return peer

    def _handle_append_entries_response(self, now: float, source: int, told: AppendEntriesResponse) -> None:
        if not told.success and not told.round:
            return  # of an earlier term's question: it says nothing of what is held in this one
        peer = self._record_round(now, source, told.round)
        if told.success:
            if told.match_index > peer.match_index:
                peer.match_index = told.match_index
                peer.next_index = max(peer.next_index, told.match_index + 1)
                self._advance_commit_index(now)
            if self.role is Role.LEADER:
                self._send_timeout_now_if_caught_up()
                self._replicate_to(now, source, beat=False)
        else:
            # Below what it acknowledged in this term: its disk was put back.  What stands stays; it is filled again.
            peer.match_index = min(peer.match_index, told.match_index)
            peer.next_index = min(told.match_index, self.last_index) + 1
            self._replicate_to(now, source, beat=False)

    # Snapshots.

    def _handle_install_snapshot(self, now: float, source: int, told: InstallSnapshot) -> None:
        if not self._accept_leader(now, source, told.term):
            return
        if told.last_included_index <= self.commit_index:
            self._send_when_durable(
                source,
                AppendEntriesResponse(self.term, True, min(told.last_included_index, self.commit_index), told.round),
            )
            return
        gathered = self._snapshot_chunks.setdefault(told.last_included_index, bytearray())
        for old in [old for old in self._snapshot_chunks if old < told.last_included_index]:
            del self._snapshot_chunks[old]
        if told.offset == len(gathered):
            gathered += told.data
        if len(gathered) < told.total_bytes:
            self._send_when_durable(
                source, InstallSnapshotResponse(self.term, told.last_included_index, len(gathered), told.round)
            )
            return
        del self._snapshot_chunks[told.last_included_index]
        snapshot = Snapshot(told.last_included_index, told.last_included_term, told.configuration, bytes(gathered))
        keeps = self.term_at(told.last_included_index) == told.last_included_term
        self.log = self.log[told.last_included_index - self.snapshot_index :] if keeps else []
        self.snapshot = snapshot
        self.configuration, self._configuration_index = self._configuration_at(self.last_index)
        self._persist(cut_from=None if keeps else told.last_included_index + 1, snapshot=snapshot)
        self.commit_index = self._applied_index = told.last_included_index
        self.actions.append(SnapshotInstalled(snapshot))
        self._send_when_durable(source, AppendEntriesResponse(self.term, True, told.last_included_index, told.round))

    def _handle_install_snapshot_response(
        self, now: float, source: int, told: InstallSnapshotResponse | VoteResponse
    ) -> None:
        if not isinstance(told, InstallSnapshotResponse):
            return
        peer = self._record_round(now, source, told.round)
        if (
            peer.snapshot_offset is not None
            and peer.snapshot_index == told.last_included_index
            and self.snapshot_index == told.last_included_index
        ):
            peer.snapshot_offset = told.next_offset
            self._send_snapshot_chunk(peer, source, beat=True)

    # Proving oneself.

    def _query_recovery(self, now: float) -> None:
        if self.disk_verified:
            return
        self._schedule(now + self.settings.recovery_query_interval_ms, self._query_recovery)
        for other in self._replicas_to_query():
            if other != self.replica_id:
                self.actions.append(Send(other, RecoveryQuery(self._recovery_nonce)))

    def _replicas_to_query(self) -> set[int]:
        """Every voter of the group as anybody who answered holds it, but for configurations that a committed one has
        taken the place of.

        Who is not in a committed configuration can lead no later term than that entry's (its log would hold it), and
        what it led before is held by those that are asked; so nothing that was promised to it and forgotten matters.
        """
        newest = max(
            (told.configuration_index for told in self._recovery_responses.values() if told.configuration_committed),
            default=-1,
        )
        known = set(self.configuration.voters) if self._configuration_index >= newest else set()
        for told in self._recovery_responses.values():
            if told.configuration_index >= newest:
                known |= set(told.configuration.voters)
        return known

    def find_node(self, copy: int) -> str | None:
        """At which place a copy is, as its configuration says, or what this copy was told while it was in doubt: those
        that it has to ask may have come after its disk was last written."""
        for config in (self.configuration, *(told.configuration for told in self._recovery_responses.values())):
            for one, place in config.locations:
                if one == copy:
                    return place
        return None

    def _build_recovery_response(self, asked: RecoveryQuery) -> RecoveryResponse:
        return RecoveryResponse(
            asked.nonce,
            self.term,
            self.last_index,
            self.last_term,
            self.configuration,
            self._configuration_index,
            self.configuration_committed,
        )

    def _handle_recovery_response(self, now: float, source: int, told: RecoveryResponse) -> None:
        if self.disk_verified or told.nonce != self._recovery_nonce:
            return
        self._recovery_responses[source] = told
        if self._replicas_to_query() - {self.replica_id} - self._recovery_responses.keys():
            return
        self._finish_recovery(now)

    def confirm_disk(self, now: float) -> None:
        """A person says that this disk is as this copy left it, where another that would have to tell is lost for good.
        Danger: if it is not, what was promised may be undone."""
        self.disk_verified, self._log_floor = True, (0, 0)
        self._persist()
        self._leader_contact_at = now
        self._reset_election_timer(now)

    @property
    def is_below_log_floor(self) -> bool:
        """Its log ends before what it may have acknowledged: it waits for a leader that has that."""
        return (self.last_term, self.last_index) < self._log_floor

    def _finish_recovery(self, now: float) -> None:
        """All others have told: nothing that was promised to them is beyond what they know."""
        self.disk_verified = True
        term = max(told.term for told in self._recovery_responses.values())
        self._log_floor = max((told.last_term, told.last_index) for told in self._recovery_responses.values())
        if term >= self.term:
            self.term, self.voted_for = term, self.replica_id  # a vote in it may have been given: to nobody, now
        self._persist()  # the floor as well: the next start knows no better
        self._leader_contact_at = now
        self._reset_election_timer(now)
