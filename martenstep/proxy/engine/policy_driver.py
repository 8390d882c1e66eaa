"""Drives the policy: passes it one event at a time and dispatches the actions that it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from martenstep.proxy.engine.state import EngineState

ActionHandler = Callable[[Any], None]


class PolicyDriver:
    """The policy's Gateway and the queue of events for it."""

    def __init__(self, state: EngineState) -> None:
        """Creates a Gateway with the policy settings in the engine's dependencies."""
        self._state = state
        dependencies = state.dependencies
        self.gateway = Gateway(dependencies.settings, state.seed, dependencies.max_customers)
        self._events: deque[api.Event] = deque()
        self._handlers: Mapping[type, ActionHandler] = {}

    def set_action_handlers(self, handlers: Mapping[type, ActionHandler]) -> None:
        """Set the handler of each type of action; actions of other types are ignored."""
        self._handlers = handlers

    def submit(self, event: api.Event) -> None:
        """Pass an event to the policy and dispatch the resulting actions.

        An event that a handler submits is queued, and passed on once all actions of the current event are dispatched.
        An unexpected error is raised after the queue has been processed, so that later events are not held up by it.
        """
        events = self._events
        events.append(event)
        if len(events) > 1:
            return
        failure: Exception | None = None
        while events:
            try:
                for action in self.gateway.handle(self._state.now, events[0]):
                    handler = self._handlers.get(type(action))
                    if handler is not None:
                        handler(action)
            except Exception as error:
                failure = failure or error
            events.popleft()
        if failure is not None:
            raise failure
