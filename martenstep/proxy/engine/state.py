"""The state that the components of an engine share: time, requests in flight, timers and pending actions."""

from __future__ import annotations

from martenstep.proxy import engine_messages as ev
from martenstep.proxy.dependencies import EngineDependencies
from martenstep.proxy.engine.request import RequestTable
from martenstep.proxy.engine.timers import TimerQueue


class EngineState:
    """The shared state of one engine.  Times are milliseconds on the driver's clock."""

    def __init__(self, dependencies: EngineDependencies, seed: int, incarnation: int) -> None:
        """`incarnation` distinguishes the ids that this process generates from those of other processes and starts."""
        self.dependencies = dependencies
        self.seed, self._incarnation = seed, incarnation
        self.now = 0.0
        self.stopped = False  # no further request is accepted
        self.requests = RequestTable()
        self.unanswered = 0  # requests without a final response
        self.timers = TimerQueue()
        self.actions: list[ev.Action] = []  # to be returned to the driver, in order
        self._serial = 0
        self.reconfigure(dependencies)

    def reconfigure(self, dependencies: EngineDependencies) -> None:
        """Apply the settings that may change without a restart; requests in flight keep their routes."""
        self.route_table, self.targets = dependencies.route_table, dependencies.targets
        self.extension_points = dependencies.extension_points
        self.deadline_margin_ms, self.max_in_flight = dependencies.deadline_margin_ms, dependencies.max_in_flight

    def unique_id(self, policy_id: str) -> str:
        """An id for a request that no request of another gateway, or of another start of this one, has."""
        return f"{self.dependencies.name}-{self._incarnation:x}-{policy_id}"

    def next_serial(self) -> int:
        """The next unused number for a request or a counter call of this engine."""
        self._serial += 1
        return self._serial
