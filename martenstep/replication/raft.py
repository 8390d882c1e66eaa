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
    Append,
    Appended,
    AskVote,
    Config,
    Entry,
    GiveVote,
    GotPiece,
    Kind,
    Message,
    OfYou,
    Piece,
    Snapshot,
    TakeOver,
    WhatOfMe,
    config_of,
    encode,
)

MOST_ENTRIES = 64  # of one Append
MOST_BYTES = 128 << 10  # of one Append's entries
MOST_AHEAD = 256  # entries sent to one copy and not acknowledged: a slow one is not sent more
PIECE_BYTES = 32 << 10  # of a snapshot
NEAR = 64  # entries behind that a learner may be to count from then on


@dataclass(frozen=True, slots=True)
class Settings:
    """Of a group; times in milliseconds."""

    election_ms: float = 400.0  # a leader that was heard within this is not voted against
    beat_ms: float = 100.0
    drift: float = 0.02  # clocks run apart by no more than this part: the lease ends so much sooner
    ask_ms: float = 200.0  # between two times that a copy which cannot prove itself asks


class Role(Enum):
    """Of a copy."""

    FOLLOWER = "follower"
    TRYING = "trying"  # asks whether it would be voted for
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Kept:
    """What is on the disk of a copy."""

    term: int = 0
    vote: int | None = None
    entries: list[Entry] = field(default_factory=list)
    snapshot: Snapshot | None = None
    floor: tuple[int, int] = (0, 0)  # last term and index of what this copy may have acknowledged and forgotten


@dataclass(slots=True)
class Send:
    """To another copy."""

    to: int
    message: Message


@dataclass(slots=True)
class Write:
    """To be made durable, in the order of tickets: term, vote and floor, then the log cut from an index on, then
    entries, or a snapshot in place of all up to its index."""

    ticket: int
    term: int
    vote: int | None
    floor: tuple[int, int] = (0, 0)
    cut_from: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class Committed:
    """An entry stands; given in order, each once a start."""

    entry: Entry


@dataclass(slots=True)
class Installed:
    """A snapshot stands in place of all entries up to its index."""

    snapshot: Snapshot


@dataclass(slots=True)
class Became:
    """Another role, or another leader."""

    role: Role
    term: int
    leader: int | None


Action = Send | Write | Committed | Installed | Became


@dataclass(slots=True)
class _Peer:
    """What a leader knows of another copy."""

    next: int
    match: int = 0
    acked_round: int = 0
    piece_at: int | None = None  # of a snapshot under way
    piece_of: int = 0


class Copy:
    """One copy of a group."""

    def __init__(
        self,
        me: int,
        kept: Kept,
        first: Config,
        settings: Settings,
        rng: random.Random,
        now: float,
        proven: bool = True,
    ) -> None:
        """`first` is the group as it began; what the log says later holds in its place."""
        self.me, self.settings, self._rng = me, settings, rng
        self.term, self.vote = kept.term, kept.vote
        self.snapshot = kept.snapshot
        self.log = list(kept.entries)  # those after the snapshot
        self._first = first
        self.config, self._config_index = self._config_at(self.last_index)
        self.role = Role.FOLLOWER
        self.leader: int | None = None
        self.commit = self.snapshot.index if self.snapshot is not None else 0
        self.proven = proven
        self.halted = False
        self.out: list[Action] = []
        self.counts: Counter[str] = Counter()
        self._ticket, self._durable = 0, 0
        self._waiting: list[tuple[int, Send | int]] = []  # by ticket: what leaves then, or the term of an own vote
        self._durable_index = self.last_index
        self._index_of: dict[int, int] = {}  # the log's end when a ticket was written
        self._delivered = self.commit
        self._peers: dict[int, _Peer] = {}
        self._votes: set[int] = set()
        self._round = 0
        self._sent_at: dict[int, float] = {}  # of rounds
        self.lease_until = 0.0
        self._handing: int | None = None
        self._heard_leader = now  # as if: see the third rule above
        self._quorum_at = now
        self._pieces: dict[int, bytearray] = {}
        self._floor = kept.floor  # a candidate must reach it, this copy too
        self._told: dict[int, OfYou] = {}
        self._nonce = rng.getrandbits(62)
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        self._election = 0  # the time-out in force
        self._arm(now)
        if not proven:
            self._ask(now)

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
    def base(self) -> int:
        """All up to here is in the snapshot."""
        return self.snapshot.index if self.snapshot is not None else 0

    def entry(self, index: int) -> Entry | None:
        """One of the entries that are held."""
        at = index - self.base - 1
        return self.log[at] if 0 <= at < len(self.log) else None

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not held."""
        if index == 0:
            return 0
        if index == self.base and self.snapshot is not None:
            return self.snapshot.term
        held = self.entry(index)
        return None if held is None else held.term

    def _config_at(self, index: int) -> tuple[Config, int]:
        """The latest up to an entry, and where it stands, committed or not (thesis, 4.1)."""
        for number in range(index, self.base, -1):
            held = self.entry(number)
            if held is not None and held.kind is Kind.CONFIG:
                return config_of(held.data), number
        if self.snapshot is not None:
            return self.snapshot.config, self.snapshot.index
        return self._first, 0

    def _configured(self, fresh: Iterable[Entry]) -> None:
        """Let the latest of some new entries hold.  The log may be long, and is not looked through for it."""
        for held in fresh:
            if held.kind is Kind.CONFIG:
                self.config, self._config_index = config_of(held.data), held.index

    # Time.

    def _at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heapq.heappush(self._heap, (when, self._order, call, args))

    @property
    def next_at(self) -> float:
        """When `wake` is due."""
        return self._heap[0][0] if self._heap else float("inf")

    def wake(self, now: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= now and not self.halted:
            _, _, call, args = heapq.heappop(self._heap)
            call(now, *args)

    def _arm(self, now: float) -> None:
        """A new time-out for hearing from a leader, drawn."""
        self._election += 1
        base = self.settings.election_ms
        self._at(now + self._rng.uniform(base, 2 * base), self._not_heard, self._election)

    # Durable writes.

    def _write(
        self, cut_from: int | None = None, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None
    ) -> int:
        self._ticket += 1
        self._index_of[self._ticket] = self.last_index
        self.out.append(Write(self._ticket, self.term, self.vote, self._floor, cut_from, entries, snapshot))
        return self._ticket

    def written(self, now: float, ticket: int) -> None:
        """All up to this ticket is durable."""
        if self.halted:
            return
        self._durable = max(self._durable, ticket)
        while self._waiting and self._waiting[0][0] <= self._durable:
            due = self._waiting.pop(0)[1]
            if isinstance(due, Send):
                self.out.append(due)
            elif self.role is Role.CANDIDATE and self.term == due:
                self._votes.add(self.me)
                self._count_votes(now)
        self._durable_index = min(self._index_of.get(ticket, self._durable_index), self.last_index)
        for old in [old for old in self._index_of if old < ticket]:
            del self._index_of[old]
        if self.role is Role.LEADER:
            self._advance(now)

    def failed(self) -> None:
        """A write failed: what is on the disk is not known any more, and this copy promises nothing until it is started
        again."""
        self.halted = True
        self.role, self.leader, self.lease_until = Role.FOLLOWER, None, 0.0
        self._waiting.clear()

    def _promise(self, to: int, message: Message) -> None:
        """Send once all that was written so far is durable."""
        if self._durable >= self._ticket:
            self.out.append(Send(to, message))
        else:
            self._waiting.append((self._ticket, Send(to, message)))

    # Roles.

    def _become(self, role: Role, leader: int | None) -> None:
        changed = (role, leader) != (self.role, self.leader)
        self.role, self.leader = role, leader
        if role is not Role.LEADER:
            self.lease_until = 0.0
            self._peers.clear()
            self._handing = None
        if changed:
            self.out.append(Became(role, self.term, leader))

    def _new_term(self, now: float, term: int) -> None:
        """A higher term was seen."""
        self.term, self.vote = term, None
        self._write()
        self._become(Role.FOLLOWER, None)
        self._arm(now)

    @property
    def may_stand(self) -> bool:
        """This copy is a voter, and its log holds all that it may have acknowledged."""
        return self.me in self.config.voters and self.proven and not self.halted and not self.short

    def _not_heard(self, now: float, number: int) -> None:
        if number != self._election or self.role is Role.LEADER:
            return
        self._arm(now)
        if not self.may_stand:
            return
        self._try(now)

    def _try(self, now: float) -> None:
        """Would the others vote for this copy?  Without that a copy that was cut off would only raise the term."""
        self._become(Role.TRYING, None)
        self._votes = {self.me}
        self._ask_votes(AskVote(self.term + 1, self.last_index, self.last_term, True))
        self._count_votes(now)

    def _stand(self, now: float, handed: bool = False) -> None:
        self.term, self.vote = self.term + 1, self.me
        self._become(Role.CANDIDATE, None)
        self._arm(now)
        self._votes = set()
        self._waiting.append((self._write(), self.term))
        self._ask_votes(AskVote(self.term, self.last_index, self.last_term, False, handed))

    def _ask_votes(self, question: AskVote) -> None:
        for other in self.config.voters:
            if other != self.me:
                self._promise(other, question)

    def _count_votes(self, now: float) -> None:
        if len(self._votes & set(self.config.voters)) < self.config.majority:
            return
        if self.role is Role.TRYING:
            self._stand(now)
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _lead(self, now: float) -> None:
        self._become(Role.LEADER, self.me)
        self._peers = {}
        self._quorum_at = now
        self._round, self._sent_at = 0, {}
        self._append_own(now, Kind.NOTHING, b"")
        self._beat(now, self.term)

    def _beat(self, now: float, term: int) -> None:
        if self.role is not Role.LEADER or self.term != term:
            return
        self._at(now + self.settings.beat_ms, self._beat, term)
        if now - self._quorum_at > 2 * self.settings.election_ms:
            self._become(Role.FOLLOWER, None)  # cut off from the majority: somebody else may lead by now
            self._arm(now)
            return
        self._round += 1
        self._sent_at[self._round] = now
        if self.config.voters == (self.me,):
            self._renew_lease(now)  # it has nobody whose answer would
        for old in [old for old in self._sent_at if old < self._round - 50]:
            del self._sent_at[old]
        for other in self.config.everyone:
            if other != self.me:
                self._feed(now, other, beat=True)

    # What users ask.

    def propose(self, now: float, data: bytes, feed: bool = True) -> int | None:
        """An entry's index, where this copy leads; it stands once it is given as committed in this same term.

        Without `feed` the others are told with the next call of `feed`, so that many go in one message."""
        if self.role is not Role.LEADER or self._handing is not None or self.halted:
            return None
        index = self._append_own(now, Kind.COMMAND, data)
        if feed:
            self._feed_all(now)
        return index

    def feed(self, now: float) -> None:
        """Tell the others what was proposed."""
        if self.role is Role.LEADER and not self.halted:
            self._feed_all(now)

    def may_read(self, now: float) -> bool:
        """Whether what is delivered here holds all that was committed before now: it leads, its lease runs, and it has
        delivered an entry of its own term and all that is committed."""
        return (
            self.role is Role.LEADER
            and now < self.lease_until
            and self._delivered == self.commit
            and self.term_at(self.commit) == self.term
        )

    def change(self, now: float, config: Config) -> bool:
        """Put another group in place, one voter more or less; False where that may not be now."""
        if self.role is not Role.LEADER or self._handing is not None or not self._may_change(config):
            return False
        self._append_own(now, Kind.CONFIG, encode(config))
        self._feed_all(now)
        return True

    def _may_change(self, config: Config) -> bool:
        # An entry of this term must stand first, and no other change be under way (Ongaro's erratum of 2015).
        if self.term_at(self.commit) != self.term or self._config_index > self.commit:
            return False
        before, after = set(self.config.voters), set(config.voters)
        if len(before ^ after) > 1 or not after or len(set(config.everyone)) != len(config.everyone):
            return False
        # Whoever counts holds the entry that took it in.  Danger: it could believe an older word that it is out.
        return all(
            one in self._peers and self._peers[one].match >= max(self.last_index - NEAR, self._config_index)
            for one in after - before
        )

    @property
    def heard_at(self) -> float:
        """When a leader was heard last, or this copy began."""
        return self._heard_leader

    @property
    def config_index(self) -> int:
        """Where the configuration in force stands."""
        return self._config_index

    @property
    def settled(self) -> bool:
        """The configuration in force is committed."""
        return self._config_index <= self.commit

    def lags(self) -> dict[int, int]:
        """At a leader: by how many entries each other copy is behind, as far as it has acknowledged."""
        return (
            {
                copy: self.last_index - (self._peers[copy].match if copy in self._peers else 0)
                for copy in self.config.everyone
                if copy != self.me
            }
            if self.role is Role.LEADER
            else {}
        )

    def hand_over(self, now: float, to: int | None = None) -> bool:
        """Let another lead; False where nobody can."""
        if self.role is not Role.LEADER:
            return False
        near = [
            other
            for other in self.config.voters
            if other != self.me and other in self._peers and (to is None or other == to)
        ]
        if not near:
            return False
        self._handing = max(near, key=lambda other: self._peers[other].match)
        self.lease_until = 0.0  # who takes over is voted for at once, whatever was promised to this one
        self._at(now + self.settings.election_ms, self._not_taken, self.term, self._handing)
        self._feed(now, self._handing, beat=True)
        self._maybe_hand()
        return True

    def _not_taken(self, now: float, term: int, to: int) -> None:
        """Nobody took over.  Danger: the word to do so may still be on its way, and is voted for whatever lease runs;
        so no lease may run in this term any more."""
        if self.role is Role.LEADER and self.term == term:
            self._become(Role.FOLLOWER, None)
            self._arm(now)

    def _maybe_hand(self) -> None:
        to = self._handing
        if to is not None and to in self._peers and self._peers[to].match == self.last_index:
            self.out.append(Send(to, TakeOver(self.term)))

    def compact(self, index: int, body: bytes) -> bool:
        """Keep the state after an entry in place of all up to it; False where that entry is not delivered."""
        term = self.term_at(index)
        if not self.base < index <= self._delivered or term is None:
            return False
        config, _ = self._config_at(index)
        self.log = self.log[index - self.base :]
        self.snapshot = Snapshot(index, term, config, body)
        self._write(snapshot=self.snapshot)
        return True

    # The leader's part.

    def _append_own(self, now: float, kind: Kind, data: bytes) -> int:
        made = Entry(self.last_index + 1, self.term, kind, data)
        self.log.append(made)
        self._configured((made,))
        self._write(entries=(made,))
        return made.index

    def _feed_all(self, now: float) -> None:
        for other in self.config.everyone:
            if other != self.me:
                self._feed(now, other, beat=False)

    def _peer(self, other: int) -> _Peer:
        peer = self._peers.get(other)
        if peer is None:
            peer = self._peers[other] = _Peer(self.last_index + 1)
        return peer

    def _feed(self, now: float, other: int, beat: bool) -> None:
        """What one copy lacks, within its bounds; on a beat at least a question, from where it is known to be."""
        peer = self._peer(other)
        if peer.next <= self.base:
            self._feed_piece(peer, other, beat)
            return
        if beat and peer.next > peer.match + 1 and peer.match >= self.base and peer.acked_round < self._round - 3:
            peer.next = peer.match + 1  # what was sent and not acknowledged for three beats is sent again
        entries: list[Entry] = []
        size, at = 0, peer.next
        while (
            at <= self.last_index
            and at <= peer.match + MOST_AHEAD
            and len(entries) < MOST_ENTRIES
            and size < MOST_BYTES
        ):
            held = self.entry(at)
            assert held is not None
            entries.append(held)
            size += len(held.data)
            at += 1
        if not entries and not beat:
            return
        before = self.term_at(peer.next - 1)
        assert before is not None
        self.out.append(Send(other, Append(self.term, peer.next - 1, before, tuple(entries), self.commit, self._round)))
        peer.next = at

    def _feed_piece(self, peer: _Peer, other: int, beat: bool) -> None:
        snapshot = self.snapshot
        assert snapshot is not None
        if peer.piece_at is None or peer.piece_of != snapshot.index:
            peer.piece_at, peer.piece_of = 0, snapshot.index
        elif not beat:
            return  # one piece at a time; lost ones are sent again by the beat
        data = snapshot.body[peer.piece_at : peer.piece_at + PIECE_BYTES]
        self.out.append(
            Send(
                other,
                Piece(
                    self.term,
                    snapshot.index,
                    snapshot.term,
                    snapshot.config,
                    peer.piece_at,
                    data,
                    len(snapshot.body),
                    self._round,
                ),
            )
        )

    def _own_match(self) -> int:
        """What of this copy's own log is durable."""
        return self._durable_index

    def _advance(self, now: float) -> None:
        """What a majority holds durably stands, where it is of this term (thesis, 3.6.2)."""
        held = sorted(
            (
                self._own_match() if voter == self.me else self._peers[voter].match if voter in self._peers else 0
                for voter in self.config.voters
            ),
            reverse=True,
        )
        index = held[self.config.majority - 1]
        if index > self.commit and self._may_commit(index):
            self.commit = index
            self._deliver()
            if self.me not in self.config.voters and self._config_index <= self.commit:
                self._become(Role.FOLLOWER, None)  # it led its own leaving

    def _may_commit(self, index: int) -> bool:
        return self.term_at(index) == self.term

    def _deliver(self) -> None:
        while self._delivered < self.commit:
            held = self.entry(self._delivered + 1)
            if held is None:
                return
            self._delivered += 1
            self.out.append(Committed(held))

    def _renew_lease(self, now: float) -> None:
        rounds = sorted(
            (
                self._round if voter == self.me else self._peers[voter].acked_round if voter in self._peers else 0
                for voter in self.config.voters
            ),
            reverse=True,
        )
        acked = rounds[self.config.majority - 1]
        sent = self._sent_at.get(acked)
        if sent is None:
            return
        self._quorum_at = max(self._quorum_at, sent)
        if self._handing is None:
            self.lease_until = max(self.lease_until, self._lease_from(now, sent))

    def _lease_from(self, now: float, sent: float) -> float:
        """Counted from before it was asked."""
        return sent + self.settings.election_ms * (1 - self.settings.drift) / (1 + self.settings.drift)

    # Messages.

    def message(self, now: float, source: int, message: Message) -> None:
        """Take in what another copy said."""
        if self.halted:
            return
        if isinstance(message, WhatOfMe):
            self._promise(source, self._of_them(message))
        elif isinstance(message, OfYou):
            self._of_me(now, source, message)
        elif isinstance(message, AskVote):
            self._asked(now, source, message)
        elif isinstance(message, GiveVote):
            self._voted(now, source, message)
        elif isinstance(message, Append):
            self._appended_to(now, source, message)
        elif isinstance(message, Piece):
            self._piece(now, source, message)
        elif isinstance(message, TakeOver):
            if message.term == self.term and source == self.leader and self.may_stand:
                self._stand(now, handed=True)
        elif message.term > self.term:
            self._new_term(now, message.term)
        elif self.role is Role.LEADER and message.term == self.term and source in self.config.everyone:
            if isinstance(message, Appended):
                self._acknowledged(now, source, message)
            else:
                self._got_piece(now, source, message)

    def _asked(self, now: float, source: int, asked: AskVote) -> None:
        if not self.proven:
            return  # whether the candidate, or this copy itself, is in the log here does not matter: this one may lag
        sticky = not asked.handed and self._sticky(now)
        if asked.trial:
            granted = asked.term > self.term and not sticky and self._as_long(asked)
            self._promise(source, GiveVote(asked.term if granted else self.term, True, granted))
            return
        if sticky or asked.term < self.term:
            self._promise(source, GiveVote(self.term, False, False))
            return
        if asked.term > self.term:
            self._new_term(now, asked.term)
        granted = self.vote in (None, source) and self._as_long(asked)
        if granted:
            if self.vote is None:
                self.vote = source
                self._write()
            self._arm(now)
        self._promise(source, GiveVote(self.term, False, granted))

    def _sticky(self, now: float) -> bool:
        """A leader that was heard lately has a lease that rests on this copy."""
        return self.role is Role.LEADER or now - self._heard_leader < self.settings.election_ms

    def _as_long(self, asked: AskVote) -> bool:
        """The candidate's log holds all that may be committed."""
        theirs = asked.last_term, asked.last_index
        return theirs >= (self.last_term, self.last_index) and theirs >= self._floor

    def _voted(self, now: float, source: int, given: GiveVote) -> None:
        if given.term > self.term and not (given.trial and given.granted):
            self._new_term(now, given.term)
            return
        if not given.granted or source not in self.config.voters:
            return
        wanted = self.term + 1 if given.trial else self.term
        if given.term == wanted and self.role is (Role.TRYING if given.trial else Role.CANDIDATE):
            self._votes.add(source)
            self._count_votes(now)

    def _follow(self, now: float, source: int, term: int) -> bool:
        """A leader speaks; False where it leads no more."""
        if term < self.term:
            return False
        if term > self.term:
            self._new_term(now, term)
        self._become(Role.FOLLOWER, source)
        self._heard_leader = now
        self._arm(now)
        return True

    def _heeds(self, now: float, source: int, term: int) -> bool:
        """Whether a leader's word counts here; one that leads no more is told of the present term."""
        if not self.proven:
            return False
        if self._follow(now, source, term):
            return True
        # Without a round.  Danger: his was counted in an earlier term, and the same copy may lead this one by now: it
        # would take its latest question for answered, and lease on it.
        self._promise(source, Appended(self.term, False, 0, 0))
        return False

    def _appended_to(self, now: float, source: int, told: Append) -> None:
        if not self._heeds(now, source, told.term):
            return
        before = self.term_at(told.before_index)
        if told.before_index < self.base:
            # Those up to the snapshot stand; the leader goes on behind them.
            self._promise(source, Appended(self.term, True, self.base, told.round))
            return
        if before != told.before_term:
            hint = min(self.last_index, told.before_index - 1)
            while hint > self.base and before is not None and self.term_at(hint) == before:
                hint -= 1  # a term at a time
            self._promise(source, Appended(self.term, False, hint, told.round))
            return
        fresh = self._fresh(told)
        if fresh:
            cut = fresh[0].index if fresh[0].index <= self.last_index else None
            if cut is not None:
                del self.log[cut - self.base - 1 :]
                if cut <= self.commit:
                    raise AssertionError(f"entry {cut} is committed and would be cut off")
                self._durable_index = min(self._durable_index, cut - 1)
                if cut <= self._config_index:
                    self.config, self._config_index = self._config_at(cut - 1)
                # What is still being written was of the longer log: it proves nothing of the entries in its place.
                self._index_of = {ticket: min(index, cut - 1) for ticket, index in self._index_of.items()}
            self.log += fresh
            self._configured(fresh)
            self._write(cut, tuple(fresh))
        match = told.before_index + len(told.entries)
        self._promise(source, Appended(self.term, True, match, told.round))
        if min(told.commit, match) > self.commit:
            self.commit = min(told.commit, match)
            self._deliver()

    def _fresh(self, told: Append) -> list[Entry]:
        """Those that are not here yet.  Danger: cutting off entries that an older message merely does not hold would
        undo what was acknowledged."""
        for number, entry in enumerate(told.entries):
            if self.term_at(entry.index) != entry.term:
                return list(told.entries[number:])
        return []

    def _answered(self, now: float, source: int, number: int) -> _Peer:
        """Somebody answered a round."""
        peer = self._peer(source)
        if number > peer.acked_round:
            peer.acked_round = number
            self._renew_lease(now)
        return peer

    def _acknowledged(self, now: float, source: int, told: Appended) -> None:
        if not told.ok and not told.round:
            return  # of an earlier term's question: it says nothing of what is held in this one
        peer = self._answered(now, source, told.round)
        if told.ok:
            if told.match > peer.match:
                peer.match = told.match
                peer.next = max(peer.next, told.match + 1)
                self._advance(now)
            if self.role is Role.LEADER:
                self._maybe_hand()
                self._feed(now, source, beat=False)
        else:
            # Below what it acknowledged in this term: its disk was put back.  What stands stays; it is filled again.
            peer.match = min(peer.match, told.match)
            peer.next = min(told.match, self.last_index) + 1
            self._feed(now, source, beat=False)

    # Snapshots.

    def _piece(self, now: float, source: int, told: Piece) -> None:
        if not self._heeds(now, source, told.term):
            return
        if told.index <= self.commit:
            self._promise(source, Appended(self.term, True, min(told.index, self.commit), told.round))
            return
        gathered = self._pieces.setdefault(told.index, bytearray())
        for old in [old for old in self._pieces if old < told.index]:
            del self._pieces[old]
        if told.offset == len(gathered):
            gathered += told.data
        if len(gathered) < told.size:
            self._promise(source, GotPiece(self.term, told.index, len(gathered), told.round))
            return
        del self._pieces[told.index]
        snapshot = Snapshot(told.index, told.last_term, told.config, bytes(gathered))
        keeps = self.term_at(told.index) == told.last_term
        self.log = self.log[told.index - self.base :] if keeps else []
        self.snapshot = snapshot
        self.config, self._config_index = self._config_at(self.last_index)
        self._write(cut_from=None if keeps else told.index + 1, snapshot=snapshot)
        self.commit = self._delivered = told.index
        self.out.append(Installed(snapshot))
        self._promise(source, Appended(self.term, True, told.index, told.round))

    def _got_piece(self, now: float, source: int, told: GotPiece | GiveVote) -> None:
        if not isinstance(told, GotPiece):
            return
        peer = self._answered(now, source, told.round)
        if peer.piece_at is not None and peer.piece_of == told.index and self.base == told.index:
            peer.piece_at = told.offset
            self._feed_piece(peer, source, beat=True)

    # Proving oneself.

    def _ask(self, now: float) -> None:
        if self.proven:
            return
        self._at(now + self.settings.ask_ms, self._ask)
        for other in self._all_known():
            if other != self.me:
                self.out.append(Send(other, WhatOfMe(self._nonce)))

    def _all_known(self) -> set[int]:
        """Every voter of the group as anybody who answered holds it, but for configurations that a committed one has
        taken the place of.

        Who is not in a committed configuration can lead no later term than that entry's (its log would hold it), and
        what it led before is held by those that are asked; so nothing that was promised to it and forgotten matters.
        """
        newest = max((told.config_index for told in self._told.values() if told.settled), default=-1)
        known = set(self.config.voters) if self._config_index >= newest else set()
        for told in self._told.values():
            if told.config_index >= newest:
                known |= set(told.config.voters)
        return known

    def home_of(self, copy: int) -> str | None:
        """At which place a copy is, as its configuration says, or what this copy was told while it was in doubt: those
        that it has to ask may have come after its disk was last written."""
        for config in (self.config, *(told.config for told in self._told.values())):
            for one, place in config.homes:
                if one == copy:
                    return place
        return None

    def _of_them(self, asked: WhatOfMe) -> OfYou:
        return OfYou(
            asked.nonce, self.term, self.last_index, self.last_term, self.config, self._config_index, self.settled
        )

    def _of_me(self, now: float, source: int, told: OfYou) -> None:
        if self.proven or told.nonce != self._nonce:
            return
        self._told[source] = told
        if self._all_known() - {self.me} - self._told.keys():
            return
        self._prove(now)

    def vouch(self, now: float) -> None:
        """A person says that this disk is as this copy left it, where another that would have to tell is lost for good.
        Danger: if it is not, what was promised may be undone."""
        self.proven, self._floor = True, (0, 0)
        self._write()
        self._heard_leader = now
        self._arm(now)

    @property
    def short(self) -> bool:
        """Its log ends before what it may have acknowledged: it waits for a leader that has that."""
        return (self.last_term, self.last_index) < self._floor

    def _prove(self, now: float) -> None:
        """All others have told: nothing that was promised to them is beyond what they know."""
        self.proven = True
        term = max(told.term for told in self._told.values())
        self._floor = max((told.last_term, told.last_index) for told in self._told.values())
        if term >= self.term:
            self.term, self.vote = term, self.me  # a vote in it may have been given: to nobody, now
        self._write()  # the floor as well: the next start knows no better
        self._heard_leader = now
        self._arm(now)
