"""The core in every order of events of small worlds, and flaws of it that some order shows."""

from __future__ import annotations

import pytest

from martenstep.lab.explore import BreachError, Budget, Explorer
from martenstep.replication.raft import RaftNode
from tests.raft_flaws import (
    AcknowledgesBeforeDurable,
    TruncatesOnOldMessage,
    TrustsAnyDisk,
    VotesBeforeDurable,
    VotesForAnyLog,
)

ONE = Budget(timeouts=1, beats=0, commands=0, crashes=0, cuts=0)


@pytest.mark.parametrize(
    ("budget", "states"),
    [
        (Budget(timeouts=1, beats=0, commands=1, crashes=0, cuts=0), 500),
        (Budget(timeouts=2, beats=0, commands=0, crashes=0, cuts=0), 500),
        (Budget(timeouts=1, beats=0, commands=1, crashes=0, lost=1, cuts=0), 500),
        (Budget(timeouts=1, beats=0, commands=0, crashes=1, cuts=1), 500),
    ],
)
def test_a_small_world_is_explored_to_its_end(budget: Budget, states: int) -> None:
    explorer = Explorer(budget)
    assert explorer.run()
    assert explorer.states > states and explorer.leaders >= 1
    assert explorer.told == budget.commands  # in some order all of them come to stand


def test_the_same_states_are_met_whatever_the_copies_are_called() -> None:
    explorer = Explorer(ONE)
    begin = explorer.begin()
    names = explorer._names
    ways = list(explorer.next(begin))
    assert len(ways) == 1  # copy 1 stands first: the others differ in nothing
    after = ways[0][1]
    swapped = after.clone()
    swapped.queues = {(source, {1: 1, 2: 3, 3: 2}[to]): queue for (source, to), queue in after.queues.items()}
    swapped.nodes[2], swapped.nodes[3] = swapped.nodes[3], swapped.nodes[2]
    assert after.key(names) == swapped.key(names)
    again = after.clone()
    again.nodes[2].copy.term += 1
    assert again.key(names) != after.key(names)


@pytest.mark.parametrize(
    ("flaw", "budget"),
    [
        (VotesBeforeDurable, Budget(timeouts=2, beats=0, commands=0, crashes=1, cuts=0)),
        (AcknowledgesBeforeDurable, Budget(timeouts=2, beats=0, commands=1, crashes=1, cuts=0)),
        (VotesForAnyLog, Budget(timeouts=2, beats=0, commands=1, crashes=0, cuts=0)),
        (TruncatesOnOldMessage, Budget(timeouts=2, beats=1, commands=2, crashes=0, cuts=0)),
        (TrustsAnyDisk, Budget(timeouts=2, beats=0, commands=1, crashes=0, old=1, cuts=0)),
    ],
)
def test_some_order_shows_a_flaw(flaw: type[RaftNode], budget: Budget) -> None:
    with pytest.raises(BreachError, match=r"(both lead|stands as|without entry|cut off).*, after: 1 hears no leader; "):
        Explorer(budget, make=flaw).run(most=20_000)
