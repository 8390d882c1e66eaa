"""The maintenance queue in every order of events of small worlds, and flaws that some order shows."""

from __future__ import annotations

from typing import Any

import pytest

from martenstep.lab.explore_orders import BreachError, Budget, Explorer
from martenstep.maintenance.commands import CommandResult
from martenstep.maintenance.model import MaintenanceRequest, RequestState
from martenstep.maintenance.queue import MaintenanceQueue
from tests.test_maintenance_queue import (
    AbandonedDuringLease,
    DrainsBeforeAnswer,
    FinishedByAnybody,
    LeaseFromAnswer,
)


class AbandonedUnobserved(MaintenanceQueue):
    """Flaw: a machine whose request was abandoned counts as there, whoever observed it."""

    def _abandon(self, request: MaintenanceRequest) -> CommandResult:
        if request.state in (RequestState.OUT, RequestState.RECOVERING) and self.now_ms > request.lease_expires_ms:
            self._end(request, "given up")
            return CommandResult(True, "", request)
        return CommandResult(False, "", request)


@pytest.mark.parametrize(
    "budget", [Budget(laps=1, crashes=0, losses=0, people=0), Budget(laps=0, crashes=1, losses=0, people=0, most_out=2)]
)
def test_a_small_world_is_explored_to_its_end(budget: Budget) -> None:
    explorer = Explorer(budget)
    assert explorer.run() and explorer.states > 400 and explorer.left > 0


@pytest.mark.parametrize(
    ("flaw", "budget"),
    [
        (AbandonedDuringLease, Budget(laps=1, crashes=0, losses=0, people=1)),
        (AbandonedUnobserved, Budget(laps=1, crashes=0, losses=0, people=1)),
        (FinishedByAnybody, Budget(laps=1, crashes=0, losses=0, people=1)),
        (LeaseFromAnswer, Budget(laps=1, crashes=0, losses=0, people=1)),
        (DrainsBeforeAnswer, Budget(laps=1, crashes=0, losses=0, people=0)),
    ],
)
def test_some_order_of_events_shows_a_flaw(flaw: Any, budget: Budget) -> None:
    explorer = Explorer(budget, book=flaw) if issubclass(flaw, MaintenanceQueue) else Explorer(budget, agent=flaw)
    with pytest.raises(BreachError, match=r"(away|leaves by).*, after: "):
        explorer.run(most=30_000)
