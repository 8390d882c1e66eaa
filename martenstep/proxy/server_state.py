"""What the parts of a proxy server share, and the loop between the engine and the sockets.

Between the engine's action and the bytes there is no await, so that nothing is written for an attempt that was given
up: an event that is handled while actions are carried out adds its own actions behind them.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from martenstep.event_log import EventLog
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.client_connection import ClientConnection
from martenstep.proxy.client_request import ClientRequest
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.clock_step_detector import ClockStepDetector
from martenstep.proxy.dependencies import ListenerLimits, UpstreamLimits
from martenstep.proxy.engine import Engine

CLOCK_STEP_CHECK_MS = 20.0  # well within the time in which gateways' periods may differ after a step
COUNTER_NAMES = (  # as the metrics name them
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
        """To be made in a running event loop."""
        self.loop = asyncio.get_running_loop()
        self.listener, self.upstream = listener, upstream
        self.engine = engine
        self.log_event = log_event
        self.counts = dict.fromkeys(COUNTER_NAMES, 0)
        self.requests: dict[int, ClientRequest] = {}  # by request id, while anything of them is left
        self.clients: set[ClientConnection] = set()
        # Of the clients, those without a request that could be taken, the oldest first,
        self.new_clients: dict[ClientConnection, None] = {}
        self.idle_clients: dict[ClientConnection, None] = {}  # and the others that wait for a head, the longest first
        self.draining = False  # serves what comes, and closes each connection with its response
        self.stopping = False
        self.event_time = -math.inf  # of the event that is being handled
        self._clock_steps, self._clock_checked_at = ClockStepDetector(), -math.inf
        self._action_handlers: Mapping[type, ActionHandler] = {}
        self._actions: deque[ev.Action] = deque()
        self._carrying_out = False
        self._tick_timer: asyncio.TimerHandle | None = None
        self._tick_at = 0.0
        self._last_request_id = 0

    def dispatch_to(self, handlers: Mapping[type, ActionHandler]) -> None:
        """Set the handler of each type of action."""
        self._action_handlers = handlers

    def next_request_id(self) -> int:
        """A number for the next request."""
        self._last_request_id += 1
        self.counts["requests"] += 1
        return self._last_request_id

    def local_reply(self, reason: str) -> tuple[ev.Headers, bytes]:
        """Headers and body of a response to what is no request of the engine's."""
        return self.engine.local_reply(reason)

    def log_task_failure(self, where: str, error: BaseException) -> None:
        """Log an error that nobody expected."""
        self.log_event("fault", {"where": where, "error": repr(error)})

    # Engine -------------------------------------------------------------------------------------------------

    def handle(self, event: ev.Event) -> None:
        """Hand an event to the engine, and carry out its actions."""
        self.event_time = now = now_ms()
        if now >= self._clock_checked_at + CLOCK_STEP_CHECK_MS:
            self._clock_checked_at = now
            if self._clock_steps.stepped():
                self.perform(self.engine.handle(now, ev.ClockStepped(self._clock_steps.shift_ms)))
        self.perform(self.engine.handle(now, event))

    def perform(self, actions: list[ev.Action]) -> None:
        """Carry out actions of the engine, in order."""
        self._actions.extend(actions)
        if self._carrying_out:
            return  # further down this stack the queue is being worked off
        self._carrying_out = True
        try:
            while self._actions:
                action = self._actions.popleft()
                self._action_handlers[type(action)](action)
        finally:
            self._carrying_out = False
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
        """Let no more time pass for the engine."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
