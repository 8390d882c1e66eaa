"""The order book in every order of events of small worlds, and flaws that some order shows."""

from __future__ import annotations

from typing import Any

import pytest

from martenstep.lab.explore_orders import BreachError, Budget, Explorer
from martenstep.maintenance.commands import CommandResult
from martenstep.maintenance.model import MaintenanceRequest, RequestState
from martenstep.maintenance.queue import MaintenanceQueue
from tests.test_maintenance import DoneByAnybody, GivenUpAtOnce, LeaseFromAnswer, LeavesUnheard


class GivenUpUnseen(MaintenanceQueue):
    """Flaw: who was given up counts as there, whoever looked."""

    def _abandon(self, held: MaintenanceRequest) -> CommandResult:
        if held.state in (RequestState.OUT, RequestState.RECOVERING) and self.now_ms > held.lease_expires_ms:
            self._end(held, "given up")
            return CommandResult(True, "", held)
        return CommandResult(False, "", held)


@pytest.mark.parametrize(
    "budget", [Budget(laps=1, crashes=0, losses=0, people=0), Budget(laps=0, crashes=1, losses=0, people=0, most_out=2)]
)
def test_a_small_world_is_explored_to_its_end(budget: Budget) -> None:
    explorer = Explorer(budget)
    assert explorer.run() and explorer.states > 400 and explorer.left > 0


@pytest.mark.parametrize(
    ("flaw", "budget"),
    [
        (GivenUpAtOnce, Budget(laps=1, crashes=0, losses=0, people=1)),
        (GivenUpUnseen, Budget(laps=1, crashes=0, losses=0, people=1)),
        (DoneByAnybody, Budget(laps=1, crashes=0, losses=0, people=1)),
        (LeaseFromAnswer, Budget(laps=1, crashes=0, losses=0, people=1)),
        (LeavesUnheard, Budget(laps=1, crashes=0, losses=0, people=0)),
    ],
)
def test_some_order_shows_a_flaw(flaw: Any, budget: Budget) -> None:
    explorer = Explorer(budget, book=flaw) if issubclass(flaw, MaintenanceQueue) else Explorer(budget, agent=flaw)
    with pytest.raises(BreachError, match=r"(away|leaves by).*, after: "):
        explorer.run(most=30_000)
