"""The engine connects its components and dispatches events to them in order of time."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.policy import messages as api
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.dependencies import EngineDependencies
from martenstep.proxy.engine.admission import Admission
from martenstep.proxy.engine.attempts import Attempts
from martenstep.proxy.engine.counter_calls import CounterCalls
from martenstep.proxy.engine.deadlines import RequestTermination
from martenstep.proxy.engine.endpoints import EndpointAddresses, accepting_endpoints
from martenstep.proxy.engine.policy_driver import PolicyDriver
from martenstep.proxy.engine.responses import Responses
from martenstep.proxy.engine.state import EngineState
from martenstep.proxy.engine.timers import ConnectTimeout, CounterTimeout, PolicyTimer, RequestDeadline
from martenstep.proxy.permission import Denial

if TYPE_CHECKING:  # loaded only where the settings ask for them
    from martenstep.hooks.release_manager import ReleaseManager
    from martenstep.proxy.engine.authorization import Authorization


class Engine:
    """One gateway: its policy, its requests and its timers.  Times are milliseconds on the driver's clock."""

    def __init__(
        self,
        dependencies: EngineDependencies,
        seed: int,
        hook_releases: ReleaseManager | None = None,
        incarnation: int | None = None,
    ) -> None:
        """`hook_releases` is None for a gateway without hooks.

        `incarnation` is a number that no other process has, as part of generated ids; None: the seed is one.
        """
        self.settings = dependencies.settings
        self._state = EngineState(dependencies, seed, seed if incarnation is None else incarnation)
        self._policy = PolicyDriver(self._state)
        self._counter_calls = CounterCalls(self._state, self._policy)
        self._endpoints = EndpointAddresses(accepts_all=dependencies.forward_auth_reader is not None)
        self._responses = Responses(self._state, self._policy)
        self._attempts = Attempts(self._state, self._policy, self._responses, self._endpoints)
        self._termination = RequestTermination(self._state, self._policy, self._responses, self._attempts)
        self._admission = Admission(self._state, self._policy, self._responses, hook_releases)
        self._authorization = self._make_authorization()
        self._policy.set_action_handlers(self._policy_action_handlers())
        self._timer_handlers = self._make_timer_handlers()
        self._event_handlers = self._make_event_handlers()

    # Handlers -----------------------------------------------------------------------------------------------

    def _make_authorization(self) -> Authorization | None:
        settings = self._state.dependencies.authorization
        if settings is None:
            return None
        from martenstep.proxy.engine.authorization import Authorization

        authorization = Authorization(self._state, self._policy, self._responses, settings, self._admission.admit)
        self._admission.authorization = authorization
        self._responses.on_finished = authorization.request_finished
        self._attempts.on_first_attempt = authorization.first_attempt_started
        return authorization

    def _start_handler(self) -> Callable[[api.StartAttempt], None]:
        """The handler of StartAttempt: forwards a request, or answers the sub-request of an edge proxy."""
        reader = self._state.dependencies.forward_auth_reader
        if reader is None:
            return self._attempts.start
        from martenstep.proxy.engine.forward_auth import ForwardAuth

        forward_auth = ForwardAuth(self._state, self._policy, self._responses, self._attempts, reader)
        self._admission.forward_auth = forward_auth
        return forward_auth.allow

    def _policy_action_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        return {
            api.StartAttempt: self._start_handler(),
            api.CancelAttempt: self._attempts.cancel,
            api.Reject: self._responses.reject,
            api.Fail: self._fail,
            api.IncrementCounter: self._counter_calls.start,
            api.SetTimer: self._set_timer,
            api.Subscribe: self._subscribe,
            api.Log: self._log,
        }

    def _make_timer_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        self._state.timers.set_obsolete_predicates(
            {
                CounterTimeout: self._counter_calls.is_obsolete,
                RequestDeadline: self._termination.deadline_is_obsolete,
                ConnectTimeout: self._attempts.connect_timeout_is_obsolete,
            }
        )
        return {
            CounterTimeout: self._counter_calls.timed_out,
            RequestDeadline: self._termination.deadline_reached,
            ConnectTimeout: self._attempts.connect_timed_out,
            PolicyTimer: self._policy_timer_fired,
        }

    def _make_event_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        handlers: dict[type, Callable[[Any], None]] = {
            ev.RequestReceived: self._admission.request_received,
            ev.ClockStepped: self._clock_stepped,
            ev.ClientDisconnected: self._termination.client_disconnected,
            ev.RequestBodyNotReplayable: self._termination.body_not_replayable,
            ev.AttemptWritten: self._attempts.written,
            ev.ResponseHeadReceived: self._attempts.response_head_received,
            ev.ResponseBufferExceeded: self._attempts.response_buffer_exceeded,
            ev.ResponseCompleted: self._attempts.response_completed,
            ev.AttemptFailed: self._attempts.failed,
            ev.CounterReplied: self._counter_calls.replied,
            EndpointListEvent: self._endpoints_updated,
            ev.Tick: self._tick,
        }
        if self._authorization is not None:
            handlers[ev.AuthCheckReplied] = self._authorization.replied
            handlers[ev.AuthCheckFailed] = self._authorization.check_failed
        return handlers

    # Driver -------------------------------------------------------------------------------------------------

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Handle one event; returns the actions that the driver must carry out, in order."""
        state = self._state
        if now > state.now:  # the engine's time never goes back
            state.now = now
        due_at = state.timers.next_at() if self._authorization is None else self.next_at()
        if due_at is not None and due_at <= state.now and type(event) is not ev.Tick:
            self._fire_timers()  # timers that were due before this event fire first, even if the driver is late
        self._event_handlers[type(event)](event)
        actions, state.actions = state.actions, []
        return actions

    def next_at(self) -> float | None:
        """When the next Tick is due; None if no timer is pending."""
        own_at = self._state.timers.next_at()
        authorization_at = self._authorization.next_at() if self._authorization is not None else None
        if own_at is None or authorization_at is None:
            return authorization_at if own_at is None else own_at
        return min(own_at, authorization_at)

    def may_begin(self, now: float, action: ev.OpenAttempt) -> Denial | None:
        """Why an attempt may not be written now; None if it may.  To be called just before its first byte."""
        return self._attempts.check_permission(now, action)

    def update_deadline_header(self, now: float, action: ev.OpenAttempt) -> None:
        """Set the deadline header of an attempt that had to wait to the time that remains now."""
        self._attempts.update_deadline_header(now, action)

    def local_reply(self, reason: str) -> tuple[ev.Headers, bytes]:
        """Headers and body of a gateway response to a message that was not passed to the engine as a request."""
        return self._state.dependencies.message_builder.local_reply(reason, "", None)

    def reconfigure(self, dependencies: EngineDependencies) -> None:
        """Replace the dependencies by new ones that differ only in what may change without a restart."""
        self._state.reconfigure(dependencies)

    def stop(self, now: float) -> list[ev.Action]:
        """Send every request in flight its final response, before the process ends; no further attempt is started."""
        state = self._state
        state.now = max(now, state.now)
        self._termination.stop_all()
        actions, state.actions = state.actions, []
        return actions

    # Observation --------------------------------------------------------------------------------------------

    @property
    def unanswered(self) -> int:
        """The number of requests without a final response."""
        return self._state.unanswered

    @property
    def addresses(self) -> Mapping[int, tuple[str, int]]:
        """The addresses of the listed endpoints, by endpoint number."""
        return self._endpoints.addresses

    @property
    def response_counts(self) -> dict[str, int]:
        """Final responses, by reason."""
        return self._responses.counts

    @property
    def attempt_result_counts(self) -> dict[str, int]:
        """Ended attempts, by result."""
        return self._attempts.result_counts

    @property
    def denial_counts(self) -> dict[str, int]:
        """Attempts that were denied at the moment of their first byte, by the denial's name."""
        return self._attempts.denial_counts

    @property
    def held_counts(self) -> dict[str, int]:
        """Numbers of objects held in memory, under their names in the metrics."""
        held = {
            "exchanges": len(self._state.requests),
            "calls": len(self._counter_calls),
            "timers": len(self._state.timers),
            "servers": len(self._endpoints.addresses),
            "open": self._state.unanswered,
        }
        if self._authorization is not None:
            held.update({f"auth_{name}": count for name, count in self._authorization.held_counts.items()})
        return held

    # Policy actions -----------------------------------------------------------------------------------------

    def _fail(self, action: api.Fail) -> None:
        self._responses.fail(self._state.requests.get_by_policy_id(action.id))

    def _set_timer(self, action: api.SetTimer) -> None:
        self._state.timers.schedule(action.at_ms, PolicyTimer(action.token))

    def _subscribe(self, action: api.Subscribe) -> None:
        self._state.actions.append(ev.SubscribeEndpoints())

    def _log(self, action: api.Log) -> None:
        self._state.actions.append(ev.LogEvent("policy", {"text": action.text}))

    # Time and endpoints -------------------------------------------------------------------------------------

    def _tick(self, event: ev.Tick) -> None:
        self._fire_timers()

    def _fire_timers(self) -> None:
        state = self._state
        while (timer := state.timers.pop_due(state.now)) is not None:
            self._timer_handlers[type(timer)](timer)
        if self._authorization is not None:
            self._authorization.tick()

    def _policy_timer_fired(self, timer: PolicyTimer) -> None:
        self._policy.submit(api.TimerFired(timer.token))

    def _clock_stepped(self, event: ev.ClockStepped) -> None:
        if event.shift_ms:
            self._state.actions.append(ev.LogEvent("clock stepped", {"shift_ms": round(event.shift_ms, 3)}))
        self._policy.submit(api.ClockStepped(event.shift_ms))

    def _endpoints_updated(self, update: EndpointListEvent) -> None:
        self._endpoints.update_addresses(update)
        self._policy.submit(api.EndpointListUpdate(update.scope, update.endpoints))
        self._endpoints.update_states(update)
        self._withdraw_attempts(update)

    def _withdraw_attempts(self, update: EndpointListEvent) -> None:
        """Abort attempts to endpoints that no longer accept requests, if they are not written yet.

        Connecting may take longer than the grace period of an endpoint that drains.
        """
        accepting = accepting_endpoints(update)
        is_full = update.scope is api.EndpointListScope.FULL
        changed = {endpoint.id for endpoint in update.endpoints}
        for request in self._state.requests:
            attempt = request.attempt
            if attempt is None or not attempt.open or attempt.written or attempt.endpoint in accepting:
                continue
            if is_full or attempt.endpoint in changed:
                self._attempts.withdraw(attempt)
