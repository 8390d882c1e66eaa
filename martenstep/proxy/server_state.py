"""The state that the parts of a proxy server share, and the dispatch of the engine's actions.

There is no await between an action of the engine and the write that it causes, so nothing is written for an attempt
that was aborted.  An event that is handled while actions are being performed appends its own actions to the queue.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from martenstep.event_log import EventLog
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.buffer_budget import BufferBudget
from martenstep.proxy.client_connection import ClientConnection
from martenstep.proxy.client_request import ClientRequest
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.clock_step_detector import ClockStepDetector
from martenstep.proxy.dependencies import ListenerLimits, UpstreamLimits
from martenstep.proxy.engine import Engine
from martenstep.proxy.pipeline_turns import PipelineTurns

CLOCK_STEP_CHECK_MS = 20.0  # well below the time for which gateways' periods may differ after a step
COUNTER_NAMES = (  # also the names of the metrics
    "connections_turned_away",
    "connections_closed_for_room",
    "requests",
    "attempts",
    "replies",
    "passed",
    "broken",
    "handshakes_refused",
    "answers_not_waited_for",
    "accepts_failed",
    "connections_closed_idle",
    "requests_too_slow",
    "clients_left",
)
ActionHandler = Callable[[Any], None]


class ServerState:
    """The shared state of one proxy server."""

    def __init__(self, listener: ListenerLimits, upstream: UpstreamLimits, engine: Engine, log_event: EventLog) -> None:
        """Requires a running event loop."""
        self.loop = asyncio.get_running_loop()
        self.listener, self.upstream = listener, upstream
        self.engine = engine
        self.log_event = log_event
        self.buffers = BufferBudget(listener.buffer_bytes)
        self.pipeline_turns = PipelineTurns(self.loop)
        self.counts = dict.fromkeys(COUNTER_NAMES, 0)
        # By request id, until the response was sent and the last attempt has ended.
        self.requests: dict[int, ClientRequest] = {}
        self.clients: set[ClientConnection] = set()
        self.new_clients: dict[ClientConnection, None] = {}  # had no accepted request yet; the oldest first
        self.idle_clients: dict[ClientConnection, None] = {}  # others between requests; the longest idle first
        self.draining = False  # requests are still served, and each connection closes after its response
        self.stopping = False
        self.event_time = -math.inf  # time of the event that is being handled
        self._clock_step_detector, self._clock_checked_at = ClockStepDetector(), -math.inf
        self._action_handlers: Mapping[type, ActionHandler] = {}
        self._actions: deque[ev.Action] = deque()
        self._performing = False
        self._tick_timer: asyncio.TimerHandle | None = None
        self._tick_at = 0.0
        self._last_request_id = 0

    def set_action_handlers(self, handlers: Mapping[type, ActionHandler]) -> None:
        """Set the handler of each type of action."""
        self._action_handlers = handlers

    def next_request_id(self) -> int:
        """The id of the next request."""
        self._last_request_id += 1
        self.counts["requests"] += 1
        return self._last_request_id

    def local_reply(self, reason: str) -> tuple[ev.Headers, bytes]:
        """Headers and body of a response to a message that never reaches the engine."""
        return self.engine.local_reply(reason)

    def log_task_failure(self, where: str, error: BaseException) -> None:
        """Log an unexpected error of a task."""
        self.log_event("fault", {"where": where, "error": repr(error)})

    # Engine -------------------------------------------------------------------------------------------------

    def handle(self, event: ev.Event) -> None:
        """Pass an event to the engine and perform the actions that it returns."""
        self.event_time = now = now_ms()
        if now >= self._clock_checked_at + CLOCK_STEP_CHECK_MS:
            self._clock_checked_at = now
            if self._clock_step_detector.stepped():
                self.perform(self.engine.handle(now, ev.ClockStepped(self._clock_step_detector.shift_ms)))
        self.perform(self.engine.handle(now, event))

    def perform(self, actions: list[ev.Action]) -> None:
        """Perform actions of the engine in order."""
        self._actions.extend(actions)
        if self._performing:
            return  # an outer call of this method is processing the queue
        self._performing = True
        try:
            while self._actions:
                action = self._actions.popleft()
                self._action_handlers[type(action)](action)
        finally:
            self._performing = False
        at = self.engine.next_at()
        if at is not None and (self._tick_timer is None or at < self._tick_at):
            self._schedule_tick(at)

    def _schedule_tick(self, at: float) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self._tick_at = at
        delay_s = max(at - now_ms(), 0.0) / MS_PER_S
        self._tick_timer = self.loop.call_at(self.loop.time() + delay_s, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        self.handle(ev.Tick())

    def cancel_tick(self) -> None:
        """Cancel the engine's timer."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
