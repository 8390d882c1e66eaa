"""Copies of a group: each rule of the core alone, and whole plays in virtual time; flaws put in break them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from martenstep.lab.fleet.groups import BrokenError, Group, Plan
from martenstep.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    EntryKind,
    LogEntry,
    RaftMessage,
    RecoveryQuery,
    RecoveryResponse,
    RequestVote,
    TimeoutNow,
    VoteResponse,
    decode_configuration,
    decode_raft_message,
    encode,
)
from martenstep.replication.raft import (
    DurableWrite,
    EntryCommitted,
    LogPosition,
    PersistentState,
    RaftNode,
    RaftSettings,
    Role,
    Send,
)

GROUP = Configuration((1, 2, 3))
NOW = 10_000.0
LATER = NOW + 5000.0
Make = Callable[..., RaftNode]


def made(make: Make = RaftNode, me: int = 1, kept: PersistentState | None = None, proven: bool = True) -> RaftNode:
    return make(me, kept or PersistentState(), GROUP, RaftSettings(), random.Random(me), NOW, proven)


def sent(copy: RaftNode, kind: type[Any], to: int | None = None) -> list[Any]:
    return [
        action.message
        for action in copy.actions
        if isinstance(action, Send) and isinstance(action.message, kind) and to in (None, action.to)
    ]


def synced(copy: RaftNode, now: float) -> None:
    writes = [action for action in copy.actions if isinstance(action, DurableWrite)]
    if writes:
        copy.write_completed(now, writes[-1].sequence)


def entry(index: int, term: int) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, b"%d" % index)


def follower(make: Make, kept: PersistentState | None = None) -> RaftNode:
    """Copy 2, long after its start."""
    copy = made(make, 2, kept)
    copy.leader_contact_at = NOW - 1e6
    return copy


def leader(make: Make, kept: PersistentState | None = None) -> RaftNode:
    """Copy 1, just voted for by all, its own first entry durable."""
    copy = made(make, 1, kept)
    now = copy.next_timer_at
    copy.run_due_timers(now)
    (asked,) = sent(copy, RequestVote, 2)
    copy.receive(now, 2, VoteResponse(asked.term, True, True))
    synced(copy, now)
    copy.receive(now, 2, VoteResponse(copy.term, False, True))
    assert copy.role is Role.LEADER
    synced(copy, now)
    return copy


# Rules: each gives whether a copy of this make keeps it.


def votes_leave_after_they_are_durable(make: Make) -> bool:
    copy = follower(make)
    copy.receive(LATER, 1, RequestVote(1, 0, 0, False))
    early = bool(sent(copy, VoteResponse))
    synced(copy, LATER)
    assert sent(copy, VoteResponse)[-1].granted
    return not early


def acknowledgements_leave_after_they_are_durable(make: Make) -> bool:
    copy = follower(make)
    copy.receive(LATER, 1, AppendEntries(1, 0, 0, (entry(1, 1),), 0, 1))
    early = bool(sent(copy, AppendEntriesResponse))
    synced(copy, LATER)
    assert sent(copy, AppendEntriesResponse)[-1] == AppendEntriesResponse(1, True, 1, 1)
    return not early


def who_hears_a_leader_votes_against_nobody(make: Make) -> bool:
    copy = follower(make)
    copy.receive(LATER, 1, AppendEntries(1, 0, 0, (), 0, 1))
    synced(copy, LATER)
    copy.actions.clear()
    copy.receive(LATER + 100, 3, RequestVote(2, 5, 1, False))
    synced(copy, LATER + 100)
    return not any(given.granted for given in sent(copy, VoteResponse)) and copy.term == 1


def a_copy_that_just_started_does_not_vote(make: Make) -> bool:
    copy = made(make, 2, PersistentState(term=1))
    copy.receive(NOW + 100, 3, RequestVote(2, 0, 0, False))
    synced(copy, NOW + 100)
    return not any(given.granted for given in sent(copy, VoteResponse))


def a_candidate_with_a_short_log_is_not_voted_for(make: Make) -> bool:
    copy = follower(make, PersistentState(term=1, entries=[entry(1, 1), entry(2, 1)]))
    copy.receive(LATER, 3, RequestVote(2, 1, 1, False))
    synced(copy, LATER)
    return not any(given.granted for given in sent(copy, VoteResponse))


def an_older_message_cuts_nothing_off(make: Make) -> bool:
    copy = follower(make, PersistentState(term=1, entries=[entry(1, 1), entry(2, 1)]))
    copy.receive(LATER, 1, AppendEntries(1, 0, 0, (entry(1, 1),), 0, 1))
    return copy.last_index == 2


def an_entry_of_an_older_term_is_not_committed_by_counting(make: Make) -> bool:
    """Figure 3.7 of the thesis: a majority holds it, and a later leader may still cut it off."""
    copy = leader(make, PersistentState(term=2, entries=[entry(1, 1), entry(2, 2)]))
    copy.receive(LATER, 2, AppendEntriesResponse(copy.term, True, 2, 1))
    early = copy.commit_index
    copy.receive(LATER, 2, AppendEntriesResponse(copy.term, True, 3, 1))
    assert copy.commit_index == 3
    return early == 0


def the_leaders_own_entry_counts_once_durable(make: Make) -> bool:
    copy = leader(make)
    index = copy.propose(b"x")
    assert index == 2
    copy.receive(LATER, 3, AppendEntriesResponse(copy.term, True, index, 1))
    early = copy.commit_index
    synced(copy, LATER)
    assert copy.commit_index == index
    return early < index


def a_lease_runs_from_before_it_was_asked(make: Make) -> bool:
    copy = leader(make)
    beat = copy._round_sent_at[copy._round]
    synced(copy, beat)
    copy.receive(beat + 350, 2, AppendEntriesResponse(copy.term, True, 1, copy._round))
    assert copy.can_serve_read(beat + 360)
    return not copy.can_serve_read(beat + 390)


def an_answer_to_an_older_terms_question_renews_no_lease(make: Make) -> bool:
    """The same copy led both terms, and counted its questions from one in each."""
    behind = follower(make, PersistentState(term=2))
    behind.receive(LATER, 1, AppendEntries(1, 0, 0, (), 0, 9))
    synced(behind, LATER)
    (answer,) = sent(behind, AppendEntriesResponse)
    assert not answer.success and answer.term == 2
    copy = leader(make, PersistentState(term=1))
    assert copy.term == 2 and not copy.can_serve_read(copy._round_sent_at[1])
    copy.receive(copy._round_sent_at[1], 2, answer)
    return copy.lease_expires_at == 0.0


def a_leader_that_hands_over_has_no_lease_in_this_term_again(make: Make) -> bool:
    copy = leader(make)
    copy.receive(copy._round_sent_at[1], 2, AppendEntriesResponse(copy.term, True, 1, 1))
    assert copy.transfer_leadership(copy._round_sent_at[1], 2) and sent(copy, TimeoutNow, 2)
    term = copy.term
    for _ in range(12):
        now = copy.next_timer_at
        copy.run_due_timers(now)
        if copy.term == term and copy.role is Role.LEADER:
            copy.receive(now, 2, AppendEntriesResponse(term, True, copy.last_index, copy._round))
            if copy.can_serve_read(now):
                return False
    return True


def one_change_of_the_group_at_a_time(make: Make) -> bool:
    copy = leader(make)
    early = copy.change_configuration(Configuration((1, 2)))
    copy.receive(LATER, 2, AppendEntriesResponse(copy.term, True, 1, 1))
    assert copy.commit_index == 1 and copy.change_configuration(Configuration((1, 2, 3), (4,)))
    second = copy.change_configuration(Configuration((1, 2), (4,)))
    two = copy.change_configuration(Configuration((1, 4)))
    return not early and not second and not two


def doubted(make: Make) -> RaftNode:
    """Copy 2 from a disk that may be old."""
    copy = made(make, 2, PersistentState(term=4, entries=[entry(1, 1)]), proven=False)
    copy.leader_contact_at = NOW - 1e6
    return copy


def an_unproven_copy_promises_nothing(make: Make) -> bool:
    copy = doubted(make)
    copy.receive(LATER, 3, RequestVote(9, 9, 9, False))
    copy.receive(LATER, 3, AppendEntries(9, 1, 1, (), 0, 1))
    synced(copy, LATER)
    return not sent(copy, VoteResponse) and not sent(copy, AppendEntriesResponse)


def proving(copy: RaftNode) -> None:
    (asked,) = sent(copy, RecoveryQuery, 1)
    copy.receive(LATER, 1, RecoveryResponse(asked.nonce, 4, 5, 3, GROUP))
    assert not copy.disk_verified
    copy.receive(LATER, 3, RecoveryResponse(asked.nonce, 4, 2, 2, GROUP))
    assert copy.disk_verified
    synced(copy, LATER)
    copy.leader_contact_at = NOW - 1e6


def a_proven_copy_votes_in_no_term_that_was_known(make: Make) -> bool:
    copy = doubted(make)
    proving(copy)
    copy.receive(LATER, 3, RequestVote(4, 5, 3, False))
    synced(copy, LATER)
    return not any(given.granted for given in sent(copy, VoteResponse))


def a_proven_copy_neither_votes_below_what_it_may_have_held_nor_stands(make: Make) -> bool:
    copy = doubted(make)
    proving(copy)
    copy.receive(LATER, 3, RequestVote(6, 4, 3, False))
    synced(copy, LATER)
    if any(given.granted for given in sent(copy, VoteResponse)):
        return False
    kept = PersistentState(
        copy.term,
        copy.voted_for,
        list(copy.log.entries),
        None,
        next(action.log_floor for action in reversed(copy.actions) if isinstance(action, DurableWrite)),
    )
    again = made(make, 2, kept)  # its next start knows it as well
    for _ in range(6):
        again.run_due_timers(again.next_timer_at)
    return copy.is_below_log_floor and again.is_below_log_floor and not sent(again, RequestVote)


def test_a_copy_in_doubt_does_not_wait_for_those_that_a_committed_configuration_replaced() -> None:
    copy = made(me=1, kept=PersistentState(term=2, entries=[entry(1, 1)]), proven=False)
    [asked, *_] = sent(copy, RecoveryQuery)
    later = Configuration((1, 2, 4))  # 3 is lost with its disk, and 4 is in its place
    copy.receive(LATER, 2, RecoveryResponse(asked.nonce, 5, 9, 5, later, 8, False))
    assert not copy.disk_verified  # it may not stand: 3 may lead by what was promised to it
    copy.receive(LATER, 4, RecoveryResponse(asked.nonce, 5, 9, 5, later, 8, False))
    assert not copy.disk_verified
    copy.receive(LATER, 2, RecoveryResponse(asked.nonce, 5, 9, 5, later, 8, True))
    assert copy.disk_verified and copy.term == 5 and copy.voted_for == 1 and copy.is_below_log_floor


class VoteNotDurable(RaftNode):
    """Flaw: a vote leaves before it is durable."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, VoteResponse):
            self.actions.append(Send(to, message))
        else:
            super()._send_when_durable(to, message)


class AckNotDurable(RaftNode):
    """Flaw: an acknowledgement leaves before its entries are durable."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, AppendEntriesResponse):
            self.actions.append(Send(to, message))
        else:
            super()._send_when_durable(to, message)


class NoSticky(RaftNode):
    """Flaw: votes against a leader that it hears."""

    def _in_leader_lease(self, now: float) -> bool:
        return False


class Forgets(RaftNode):
    """Flaw: votes right after its start."""

    def __init__(self, *words: Any) -> None:
        super().__init__(*words)
        self.leader_contact_at = -1e18


class AnyLog(RaftNode):
    """Flaw: votes for whatever log."""

    def _is_up_to_date(self, asked: RequestVote) -> bool:
        return True


class Cuts(RaftNode):
    """Flaw: takes an Append for the whole rest of the log."""

    def _new_entries(self, told: AppendEntries) -> list[LogEntry]:
        return list(told.entries)


class OldTerm(RaftNode):
    """Flaw: commits entries of older terms by counting."""

    def _can_commit(self, index: int) -> bool:
        return True


class OwnNotDurable(RaftNode):
    """Flaw: the leader counts what it has not synced."""

    def _durable_match_index(self) -> int:
        return self.last_index


class LeaseFromAnswer(RaftNode):
    """Flaw: the lease runs from when the answer came."""

    def _lease_expiry(self, now: float, sent: float) -> float:
        return super()._lease_expiry(now, now)


class OldRounds(RaftNode):
    """Flaw: a question of an older term is answered with its number."""

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        if isinstance(message, AppendEntriesResponse) and not message.success:
            message = AppendEntriesResponse(message.term, False, message.match_index, 9)
        super()._send_when_durable(to, message)


class HandKeeps(RaftNode):
    """Flaw: leads on, lease and all, when nobody took over in time."""

    def _transfer_timed_out(self, now: float, term: int) -> None:
        if self.role is Role.LEADER and self.term == term:
            self._transfer_target = None


class AnyChange(RaftNode):
    """Flaw: changes of the group overlap."""

    def _can_change_configuration(self, config: Configuration) -> bool:
        return True


class NoProof(RaftNode):
    """Flaw: takes every disk for its own as it left it."""

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
        super().__init__(me, kept, first, settings, rng, now, True)


class VoteKept(RaftNode):
    """Flaw: may vote again in a term in which it forgot its vote."""

    def _finish_recovery(self, now: float) -> None:
        term, vote = self.term, self.voted_for
        super()._finish_recovery(now)
        if self.term == term:
            self.voted_for = vote


class NoFloor(RaftNode):
    """Flaw: forgets what it may have acknowledged."""

    def _finish_recovery(self, now: float) -> None:
        super()._finish_recovery(now)
        self._log_floor = LogPosition(0, 0)


@pytest.mark.parametrize(
    ("rule", "flaw"),
    [
        (votes_leave_after_they_are_durable, VoteNotDurable),
        (acknowledgements_leave_after_they_are_durable, AckNotDurable),
        (who_hears_a_leader_votes_against_nobody, NoSticky),
        (a_copy_that_just_started_does_not_vote, Forgets),
        (a_candidate_with_a_short_log_is_not_voted_for, AnyLog),
        (an_older_message_cuts_nothing_off, Cuts),
        (an_entry_of_an_older_term_is_not_committed_by_counting, OldTerm),
        (the_leaders_own_entry_counts_once_durable, OwnNotDurable),
        (a_lease_runs_from_before_it_was_asked, LeaseFromAnswer),
        (an_answer_to_an_older_terms_question_renews_no_lease, OldRounds),
        (a_leader_that_hands_over_has_no_lease_in_this_term_again, HandKeeps),
        (one_change_of_the_group_at_a_time, AnyChange),
        (an_unproven_copy_promises_nothing, NoProof),
        (a_proven_copy_votes_in_no_term_that_was_known, VoteKept),
        (a_proven_copy_neither_votes_below_what_it_may_have_held_nor_stands, NoFloor),
    ],
    ids=lambda each: each.__name__,
)
def test_a_rule_is_kept_and_its_flaw_is_caught(rule: Callable[[Make], bool], flaw: Make) -> None:
    assert rule(RaftNode)
    assert not rule(flaw)


@pytest.mark.parametrize("copies", [3, 5])
@pytest.mark.parametrize("seed", range(6))
def test_a_play_with_everything_that_goes_wrong_keeps_every_rule(copies: int, seed: int) -> None:
    counts = Group(Plan(copies, lost_disks=copies // 2), seed).play()
    assert counts["told"] > 20 and counts["reads"]


@pytest.mark.parametrize(("flaw", "seeds"), [(AnyLog, range(12)), (Cuts, range(3)), (NoProof, range(284, 288))])
def test_the_checker_finds_a_flaw_in_whole_plays(flaw: Make, seeds: range) -> None:
    found = []
    for seed in seeds:
        Group(Plan(faults=25), seed).play()
        try:
            Group(Plan(faults=25), seed, flaw).play()
        except (BrokenError, AssertionError) as error:
            found.append(str(error))
            break
    assert found


def test_a_copy_whose_disk_was_put_back_in_a_term_is_filled_again() -> None:
    """Seed 100183 of five copies: asked for what it had acknowledged and lost, the leader sent the same for ever."""
    copy = leader(RaftNode)
    copy.propose(b"x")
    copy.receive(LATER, 2, AppendEntriesResponse(copy.term, True, 2, 1))
    copy.actions.clear()
    copy.receive(LATER, 2, AppendEntriesResponse(copy.term, False, 0, 1))
    (again,) = sent(copy, AppendEntries, 2)
    assert again.prev_log_index == 0 and [one.index for one in again.entries] == [1, 2]


def test_a_failed_write_ends_all_promises() -> None:
    copy = leader(RaftNode)
    copy.write_failed()
    copy.actions.clear()
    copy.receive(LATER, 2, RequestVote(9, 9, 9, False))
    copy.run_due_timers(LATER)
    assert not copy.actions and copy.propose(b"x") is None and not copy.can_serve_read(LATER)


def test_a_copy_that_lags_too_far_is_filled_by_pieces_and_goes_on() -> None:
    ahead = leader(RaftNode)
    for number in range(40):
        ahead.propose(b"%d" % number)
    synced(ahead, LATER)
    ahead.receive(LATER, 2, AppendEntriesResponse(ahead.term, True, 41, 1))
    assert [action.entry.index for action in ahead.actions if isinstance(action, EntryCommitted)] == list(range(1, 42))
    assert ahead.compact(30, b"s" * 100_000) and not ahead.compact(30, b"") and not ahead.compact(99, b"")
    behind = made(RaftNode, 3)
    for _ in range(30):
        now = ahead.next_timer_at
        ahead.run_due_timers(now)
        for _ in range(20):
            out, ahead.actions = ahead.actions, []
            for action in out:
                if isinstance(action, Send) and action.to == 3:
                    behind.receive(now, 1, decode_raft_message(encode(action.message)))
            synced(behind, now)
            back, behind.actions = behind.actions, []
            for action in back:
                if isinstance(action, Send) and action.to == 1:
                    ahead.receive(now, 3, action.message)
        ahead.receive(now, 2, AppendEntriesResponse(ahead.term, True, 41, ahead._round))
    assert behind.snapshot is not None and len(behind.snapshot.body) == 100_000
    assert (behind.last_index, behind.commit_index, behind.snapshot_index) == (41, 41, 30)


def test_bytes_that_are_no_message_are_told() -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_raft_message(b"\x91\xff")
    assert decode_configuration(encode(GROUP)) == GROUP
