"""The maintenance queue under every order of events in small configurations; injected flaws must be found."""

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
    FinishedWhileDraining,
    LeaseCountedFromAnswer,
)


class AbandonedUnobserved(MaintenanceQueue):
    """Flaw: a request can be abandoned although its machine was not observed after the lease ended."""

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
def test_a_small_configuration_is_explored_completely(budget: Budget) -> None:
    explorer = Explorer(budget)
    assert explorer.run() and explorer.states > 400 and explorer.left > 0


@pytest.mark.parametrize(
    ("flaw", "budget"),
    [
        (AbandonedDuringLease, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=1)),
        (AbandonedUnobserved, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=1)),
        (FinishedWhileDraining, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=1)),
        (LeaseCountedFromAnswer, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=1)),
        (DrainsBeforeAnswer, Budget(lease_steps=1, crashes=0, losses=0, operator_commands=0)),
    ],
)
def test_exploration_finds_an_order_of_events_that_exposes_each_flaw(flaw: Any, budget: Budget) -> None:
    explorer = (
        Explorer(budget, queue_type=flaw) if issubclass(flaw, MaintenanceQueue) else Explorer(budget, agent_type=flaw)
    )
    with pytest.raises(InvariantError, match=r"(away|leaves by).*, after: "):
        explorer.run(max_states=30_000)
