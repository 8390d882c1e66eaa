"""The model checker accepts the maintenance queue and detects each seeded flaw in it."""

from __future__ import annotations

from typing import Any

import pytest

from martenstep.lab.explore_orders import Budget, Explorer, InvariantError
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
    "budget",
    [
        Budget(lease_steps=1, crashes=0, losses=0, operator_commands=0),
        Budget(lease_steps=0, crashes=1, losses=0, operator_commands=0, max_out=2),
    ],
)
def test_all_states_of_a_small_world_are_explored_without_a_violation(budget: Budget) -> None:
    explorer = Explorer(budget)
    assert explorer.run() and explorer.states > 400 and explorer.left > 0


@pytest.mark.parametrize(
    ("flaw", "budget"),
    [
        (AbandonedDuringLease, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=1)),
        (AbandonedUnobserved, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=1)),
        (FinishedByAnybody, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=1)),
        (LeaseFromAnswer, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=1)),
        (DrainsBeforeAnswer, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=0)),
    ],
)
def test_some_order_of_events_shows_each_flaw(flaw: Any, budget: Budget) -> None:
    explorer = (
        Explorer(budget, queue_type=flaw) if issubclass(flaw, MaintenanceQueue) else Explorer(budget, agent_type=flaw)
    )
    with pytest.raises(InvariantError, match=r"(away|leaves by).*, after: "):
        explorer.run(max_states=30_000)
