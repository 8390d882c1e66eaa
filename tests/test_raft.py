"""Raft nodes: single rules and simulations in virtual time, each checked against nodes with a deliberate flaw."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from martenstep.lab.fleet.groups import FaultPlan, GroupSimulation, InvariantError
from martenstep.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    EntryKind,
    LogEntry,
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
    PersistentState,
    RaftNode,
    RaftSettings,
    Role,
    Send,
)
from tests.raft_flaws import (
    AcknowledgesBeforeDurable,
    AllowsOverlappingChanges,
    CommitsOlderTermsByCounting,
    CountsOwnUnsyncedEntries,
    EchoesRoundOfOlderTerm,
    ForgetsLogFloor,
    IgnoresLeaderLease,
    KeepsLeadingAfterTransferTimeout,
    StartsLeaseAtResponse,
    TruncatesOnOldMessage,
    TrustsAnyDisk,
    VotesAgainAfterRecovery,
    VotesBeforeDurable,
    VotesForAnyLog,
    VotesRightAfterStart,
)

GROUP = Configuration((1, 2, 3))
NOW = 10_000.0
LATER = NOW + 5000.0
NodeFactory = Callable[..., RaftNode]


def make_node(
    factory: NodeFactory = RaftNode,
    replica_id: int = 1,
    stored: PersistentState | None = None,
    disk_verified: bool = True,
) -> RaftNode:
    return factory(
        replica_id, stored or PersistentState(), GROUP, RaftSettings(), random.Random(replica_id), NOW, disk_verified
    )


def sent_messages(node: RaftNode, kind: type[Any], to: int | None = None) -> list[Any]:
    return [
        action.message
        for action in node.actions
        if isinstance(action, Send) and isinstance(action.message, kind) and to in (None, action.to)
    ]


def complete_writes(node: RaftNode, now: float) -> None:
    writes = [action for action in node.actions if isinstance(action, DurableWrite)]
    if writes:
        node.write_completed(now, writes[-1].sequence)


def entry(index: int, term: int) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, b"%d" % index)


def make_follower(factory: NodeFactory, stored: PersistentState | None = None) -> RaftNode:
    """Replica 2, started long ago, so that no lease keeps it from voting."""
    node = make_node(factory, 2, stored)
    node.leader_contact_at = NOW - 1e6
    return node


def make_leader(factory: NodeFactory, stored: PersistentState | None = None) -> RaftNode:
    """Replica 1, just elected by its own vote and that of replica 2, with its first entry durable."""
    node = make_node(factory, 1, stored)
    now = node.next_timer_at
    node.run_due_timers(now)
    (query,) = sent_messages(node, RequestVote, 2)
    node.receive(now, 2, VoteResponse(query.term, True, True))
    complete_writes(node, now)
    node.receive(now, 2, VoteResponse(node.term, False, True))
    assert node.role is Role.LEADER
    complete_writes(node, now)
    return node


# Rules: each function returns whether nodes from the factory follow the rule.


def votes_are_sent_only_once_durable(factory: NodeFactory) -> bool:
    node = make_follower(factory)
    node.receive(LATER, 1, RequestVote(1, 0, 0, False))
    early = bool(sent_messages(node, VoteResponse))
    complete_writes(node, LATER)
    assert sent_messages(node, VoteResponse)[-1].granted
    return not early


def acknowledgements_are_sent_only_once_durable(factory: NodeFactory) -> bool:
    node = make_follower(factory)
    node.receive(LATER, 1, AppendEntries(1, 0, 0, (entry(1, 1),), 0, 1))
    early = bool(sent_messages(node, AppendEntriesResponse))
    complete_writes(node, LATER)
    assert sent_messages(node, AppendEntriesResponse)[-1] == AppendEntriesResponse(1, True, 1, 1)
    return not early


def a_follower_grants_no_vote_during_a_leaders_lease(factory: NodeFactory) -> bool:
    node = make_follower(factory)
    node.receive(LATER, 1, AppendEntries(1, 0, 0, (), 0, 1))
    complete_writes(node, LATER)
    node.actions.clear()
    node.receive(LATER + 100, 3, RequestVote(2, 5, 1, False))
    complete_writes(node, LATER + 100)
    return not any(given.granted for given in sent_messages(node, VoteResponse)) and node.term == 1


def a_node_grants_no_vote_right_after_its_start(factory: NodeFactory) -> bool:
    node = make_node(factory, 2, PersistentState(term=1))
    node.receive(NOW + 100, 3, RequestVote(2, 0, 0, False))
    complete_writes(node, NOW + 100)
    return not any(given.granted for given in sent_messages(node, VoteResponse))


def a_candidate_whose_log_is_behind_gets_no_vote(factory: NodeFactory) -> bool:
    node = make_follower(factory, PersistentState(term=1, entries=[entry(1, 1), entry(2, 1)]))
    node.receive(LATER, 3, RequestVote(2, 1, 1, False))
    complete_writes(node, LATER)
    return not any(given.granted for given in sent_messages(node, VoteResponse))


def an_old_append_entries_truncates_no_entry(factory: NodeFactory) -> bool:
    node = make_follower(factory, PersistentState(term=1, entries=[entry(1, 1), entry(2, 1)]))
    node.receive(LATER, 1, AppendEntries(1, 0, 0, (entry(1, 1),), 0, 1))
    return node.last_index == 2


def an_entry_of_an_older_term_is_not_committed_by_counting_replicas(factory: NodeFactory) -> bool:
    """Figure 3.7 of the thesis: a majority holds the entry, and a later leader may still overwrite it."""
    node = make_leader(factory, PersistentState(term=2, entries=[entry(1, 1), entry(2, 2)]))
    node.receive(LATER, 2, AppendEntriesResponse(node.term, True, 2, 1))
    early = node.commit_index
    node.receive(LATER, 2, AppendEntriesResponse(node.term, True, 3, 1))
    assert node.commit_index == 3
    return early == 0


def the_leaders_own_entry_counts_only_once_durable(factory: NodeFactory) -> bool:
    node = make_leader(factory)
    index = node.propose(b"x")
    assert index == 2
    node.receive(LATER, 3, AppendEntriesResponse(node.term, True, index, 1))
    early = node.commit_index
    complete_writes(node, LATER)
    assert node.commit_index == index
    return early < index


def a_lease_starts_when_its_round_is_sent(factory: NodeFactory) -> bool:
    node = make_leader(factory)
    sent_at = node._round_sent_at[node._round]
    complete_writes(node, sent_at)
    node.receive(sent_at + 350, 2, AppendEntriesResponse(node.term, True, 1, node._round))
    assert node.can_serve_read(sent_at + 360)
    return not node.can_serve_read(sent_at + 390)


def a_response_to_a_round_of_an_older_term_renews_no_lease(factory: NodeFactory) -> bool:
    """The same node leads both terms, and numbers its rounds from 1 in each."""
    behind = make_follower(factory, PersistentState(term=2))
    behind.receive(LATER, 1, AppendEntries(1, 0, 0, (), 0, 9))
    complete_writes(behind, LATER)
    (answer,) = sent_messages(behind, AppendEntriesResponse)
    assert not answer.success and answer.term == 2
    node = make_leader(factory, PersistentState(term=1))
    assert node.term == 2 and not node.can_serve_read(node._round_sent_at[1])
    node.receive(node._round_sent_at[1], 2, answer)
    return node.lease_expires_at == 0.0


def a_leader_has_no_lease_again_in_a_term_in_which_it_started_a_transfer(factory: NodeFactory) -> bool:
    node = make_leader(factory)
    node.receive(node._round_sent_at[1], 2, AppendEntriesResponse(node.term, True, 1, 1))
    assert node.transfer_leadership(node._round_sent_at[1], 2) and sent_messages(node, TimeoutNow, 2)
    term = node.term
    for _ in range(12):
        now = node.next_timer_at
        node.run_due_timers(now)
        if node.term == term and node.role is Role.LEADER:
            node.receive(now, 2, AppendEntriesResponse(term, True, node.last_index, node._round))
            if node.can_serve_read(now):
                return False
    return True


def one_configuration_change_at_a_time(factory: NodeFactory) -> bool:
    node = make_leader(factory)
    early = node.change_configuration(Configuration((1, 2)))
    node.receive(LATER, 2, AppendEntriesResponse(node.term, True, 1, 1))
    assert node.commit_index == 1 and node.change_configuration(Configuration((1, 2, 3), (4,)))
    second = node.change_configuration(Configuration((1, 2), (4,)))
    two = node.change_configuration(Configuration((1, 4)))
    return not early and not second and not two


def make_unverified_follower(factory: NodeFactory) -> RaftNode:
    """Replica 2, whose disk may lack what it acknowledged."""
    node = make_node(factory, 2, PersistentState(term=4, entries=[entry(1, 1)]), disk_verified=False)
    node.leader_contact_at = NOW - 1e6
    return node


def a_node_with_an_unverified_disk_neither_votes_nor_acknowledges(factory: NodeFactory) -> bool:
    node = make_unverified_follower(factory)
    node.receive(LATER, 3, RequestVote(9, 9, 9, False))
    node.receive(LATER, 3, AppendEntries(9, 1, 1, (), 0, 1))
    complete_writes(node, LATER)
    return not sent_messages(node, VoteResponse) and not sent_messages(node, AppendEntriesResponse)


def answer_recovery_query(node: RaftNode) -> None:
    (query,) = sent_messages(node, RecoveryQuery, 1)
    node.receive(LATER, 1, RecoveryResponse(query.nonce, 4, 5, 3, GROUP))
    assert not node.disk_verified
    node.receive(LATER, 3, RecoveryResponse(query.nonce, 4, 2, 2, GROUP))
    assert node.disk_verified
    complete_writes(node, LATER)
    node.leader_contact_at = NOW - 1e6


def a_recovered_node_votes_in_no_term_reported_in_recovery(factory: NodeFactory) -> bool:
    node = make_unverified_follower(factory)
    answer_recovery_query(node)
    node.receive(LATER, 3, RequestVote(4, 5, 3, False))
    complete_writes(node, LATER)
    return not any(given.granted for given in sent_messages(node, VoteResponse))


def a_recovered_node_neither_votes_below_its_log_floor_nor_campaigns(factory: NodeFactory) -> bool:
    node = make_unverified_follower(factory)
    answer_recovery_query(node)
    node.receive(LATER, 3, RequestVote(6, 4, 3, False))
    complete_writes(node, LATER)
    if any(given.granted for given in sent_messages(node, VoteResponse)):
        return False
    stored = PersistentState(
        node.term,
        node.voted_for,
        list(node.log.entries),
        None,
        next(action.log_floor for action in reversed(node.actions) if isinstance(action, DurableWrite)),
    )
    again = make_node(factory, 2, stored)  # the log floor is still in effect after a restart
    for _ in range(6):
        again.run_due_timers(again.next_timer_at)
    return node.is_below_log_floor and again.is_below_log_floor and not sent_messages(again, RequestVote)


def test_recovery_does_not_wait_for_replicas_that_a_committed_configuration_replaced() -> None:
    node = make_node(replica_id=1, stored=PersistentState(term=2, entries=[entry(1, 1)]), disk_verified=False)
    [query, *_] = sent_messages(node, RecoveryQuery)
    later = Configuration((1, 2, 4))  # 3 was lost with its disk and replaced by 4
    node.receive(LATER, 2, RecoveryResponse(query.nonce, 5, 9, 5, later, 8, False))
    assert not node.disk_verified  # while the change is uncommitted, 3 may still lead
    node.receive(LATER, 4, RecoveryResponse(query.nonce, 5, 9, 5, later, 8, False))
    assert not node.disk_verified
    node.receive(LATER, 2, RecoveryResponse(query.nonce, 5, 9, 5, later, 8, True))
    assert node.disk_verified and node.term == 5 and node.voted_for == 1 and node.is_below_log_floor


@pytest.mark.parametrize(
    ("rule", "flaw"),
    [
        (votes_are_sent_only_once_durable, VotesBeforeDurable),
        (acknowledgements_are_sent_only_once_durable, AcknowledgesBeforeDurable),
        (a_follower_grants_no_vote_during_a_leaders_lease, IgnoresLeaderLease),
        (a_node_grants_no_vote_right_after_its_start, VotesRightAfterStart),
        (a_candidate_whose_log_is_behind_gets_no_vote, VotesForAnyLog),
        (an_old_append_entries_truncates_no_entry, TruncatesOnOldMessage),
        (an_entry_of_an_older_term_is_not_committed_by_counting_replicas, CommitsOlderTermsByCounting),
        (the_leaders_own_entry_counts_only_once_durable, CountsOwnUnsyncedEntries),
        (a_lease_starts_when_its_round_is_sent, StartsLeaseAtResponse),
        (a_response_to_a_round_of_an_older_term_renews_no_lease, EchoesRoundOfOlderTerm),
        (a_leader_has_no_lease_again_in_a_term_in_which_it_started_a_transfer, KeepsLeadingAfterTransferTimeout),
        (one_configuration_change_at_a_time, AllowsOverlappingChanges),
        (a_node_with_an_unverified_disk_neither_votes_nor_acknowledges, TrustsAnyDisk),
        (a_recovered_node_votes_in_no_term_reported_in_recovery, VotesAgainAfterRecovery),
        (a_recovered_node_neither_votes_below_its_log_floor_nor_campaigns, ForgetsLogFloor),
    ],
    ids=lambda each: each.__name__,
)
def test_raft_node_follows_each_rule_and_the_flawed_node_does_not(
    rule: Callable[[NodeFactory], bool], flaw: NodeFactory
) -> None:
    assert rule(RaftNode)
    assert not rule(flaw)


@pytest.mark.parametrize("replicas", [3, 5])
@pytest.mark.parametrize("seed", range(6))
def test_simulation_with_all_faults_breaks_no_rule(replicas: int, seed: int) -> None:
    counts = GroupSimulation(FaultPlan(replicas, lost_disks=replicas // 2), seed).run()
    assert counts["told"] > 20 and counts["reads"]


@pytest.mark.parametrize(
    ("flaw", "seeds"),
    [(VotesForAnyLog, range(12)), (TruncatesOnOldMessage, range(3)), (TrustsAnyDisk, range(284, 288))],
)
def test_checker_detects_flaws_in_simulations(flaw: NodeFactory, seeds: range) -> None:
    found = []
    for seed in seeds:
        GroupSimulation(FaultPlan(faults=25), seed).run()
        try:
            GroupSimulation(FaultPlan(faults=25), seed, flaw).run()
        except (InvariantError, AssertionError) as error:
            found.append(str(error))
            break
    assert found


def test_replica_that_lost_acknowledged_entries_within_a_term_is_sent_them_again() -> None:
    """A replica lost acknowledged entries, and the leader resent the same message forever (seed 100183, 5 replicas)."""
    node = make_leader(RaftNode)
    node.propose(b"x")
    node.receive(LATER, 2, AppendEntriesResponse(node.term, True, 2, 1))
    node.actions.clear()
    node.receive(LATER, 2, AppendEntriesResponse(node.term, False, 0, 1))
    (again,) = sent_messages(node, AppendEntries, 2)
    assert again.prev_log_index == 0 and [one.index for one in again.entries] == [1, 2]


def test_failed_write_halts_the_node() -> None:
    node = make_leader(RaftNode)
    node.write_failed()
    node.actions.clear()
    node.receive(LATER, 2, RequestVote(9, 9, 9, False))
    node.run_due_timers(LATER)
    assert not node.actions and node.propose(b"x") is None and not node.can_serve_read(LATER)


def test_replica_behind_the_compacted_log_gets_a_snapshot_in_chunks_and_then_entries() -> None:
    ahead = make_leader(RaftNode)
    for number in range(40):
        ahead.propose(b"%d" % number)
    complete_writes(ahead, LATER)
    ahead.receive(LATER, 2, AppendEntriesResponse(ahead.term, True, 41, 1))
    assert [action.entry.index for action in ahead.actions if isinstance(action, EntryCommitted)] == list(range(1, 42))
    assert ahead.compact(30, b"s" * 100_000) and not ahead.compact(30, b"") and not ahead.compact(99, b"")
    behind = make_node(RaftNode, 3)
    for _ in range(30):
        now = ahead.next_timer_at
        ahead.run_due_timers(now)
        for _ in range(20):
            out, ahead.actions = ahead.actions, []
            for action in out:
                if isinstance(action, Send) and action.to == 3:
                    behind.receive(now, 1, decode_raft_message(encode(action.message)))
            complete_writes(behind, now)
            back, behind.actions = behind.actions, []
            for action in back:
                if isinstance(action, Send) and action.to == 1:
                    ahead.receive(now, 3, action.message)
        ahead.receive(now, 2, AppendEntriesResponse(ahead.term, True, 41, ahead._round))
    assert behind.snapshot is not None and len(behind.snapshot.body) == 100_000
    assert (behind.last_index, behind.commit_index, behind.snapshot_index) == (41, 41, 30)


def test_undecodable_message_is_rejected() -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_raft_message(b"\x91\xff")
    assert decode_configuration(encode(GROUP)) == GROUP
