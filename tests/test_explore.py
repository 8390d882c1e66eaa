"""Exhaustive exploration of Raft: every order of events in small state spaces, with and without a known flaw."""

from __future__ import annotations

import pytest

from martenstep.lab.explore import Budget, Explorer, InvariantError
from martenstep.replication.raft import RaftNode
from tests.raft_flaws import (
    AcknowledgesBeforeDurable,
    TruncatesOnOldMessage,
    TrustsAnyDisk,
    VotesBeforeDurable,
    VotesForAnyLog,
)

ONE_TIMEOUT = Budget(timeouts=1, heartbeats=0, commands=0, crashes=0, cuts=0)


@pytest.mark.parametrize(
    ("budget", "states"),
    [
        (Budget(timeouts=1, heartbeats=0, commands=1, crashes=0, cuts=0), 500),
        (Budget(timeouts=2, heartbeats=0, commands=0, crashes=0, cuts=0), 500),
        (Budget(timeouts=1, heartbeats=0, commands=1, crashes=0, lost=1, cuts=0), 500),
        (Budget(timeouts=1, heartbeats=0, commands=0, crashes=1, cuts=1), 500),
    ],
)
def test_small_state_space_is_explored_completely(budget: Budget, states: int) -> None:
    explorer = Explorer(budget)
    assert explorer.run()
    assert explorer.states > states and explorer.leaders >= 1
    assert explorer.acknowledged == budget.commands  # some order of events commits all commands


def test_states_that_differ_only_in_replica_ids_have_the_same_key() -> None:
    explorer = Explorer(ONE_TIMEOUT)
    initial = explorer.initial()
    names = explorer._names
    events = list(explorer.next(initial))
    assert len(events) == 1  # only replica 1 times out first, as the replicas are interchangeable
    after = events[0][1]
    swapped = after.clone()
    swapped.queues = {(source, {1: 1, 2: 3, 3: 2}[to]): queue for (source, to), queue in after.queues.items()}
    swapped.nodes[2], swapped.nodes[3] = swapped.nodes[3], swapped.nodes[2]
    assert after.key(names) == swapped.key(names)
    changed = after.clone()
    changed.nodes[2].replica.term += 1
    assert changed.key(names) != after.key(names)


@pytest.mark.parametrize(
    ("flaw", "budget"),
    [
        (VotesBeforeDurable, Budget(timeouts=2, heartbeats=0, commands=0, crashes=1, cuts=0)),
        (AcknowledgesBeforeDurable, Budget(timeouts=2, heartbeats=0, commands=1, crashes=1, cuts=0)),
        (VotesForAnyLog, Budget(timeouts=2, heartbeats=0, commands=1, crashes=0, cuts=0)),
        (TruncatesOnOldMessage, Budget(timeouts=2, heartbeats=1, commands=2, crashes=0, cuts=0)),
        (TrustsAnyDisk, Budget(timeouts=2, heartbeats=0, commands=1, crashes=0, reverted=1, cuts=0)),
    ],
)
def test_explorer_finds_an_event_order_that_exposes_each_flaw(flaw: type[RaftNode], budget: Budget) -> None:
    with pytest.raises(
        InvariantError, match=r"(both lead|is committed with|without entry|cannot truncate).*, after: 1 times out; "
    ):
        Explorer(budget, node_factory=flaw).run(max_states=20_000)
