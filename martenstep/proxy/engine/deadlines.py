"""Ends requests for other reasons than a response: their deadline, disconnection of the client, and shutdown."""

from __future__ import annotations

from martenstep.policy import messages as api
from martenstep.policy.messages import CallResult, Idempotency
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine.attempts import Attempts
from martenstep.proxy.engine.policy_driver import PolicyDriver
from martenstep.proxy.engine.request import InFlightRequest
from martenstep.proxy.engine.responses import GATEWAY_TIMEOUT, Responses
from martenstep.proxy.engine.state import EngineState
from martenstep.proxy.engine.timers import RequestDeadline


class RequestTermination:
    """Ends requests at their deadline, when their client disconnects, and when the gateway stops."""

    def __init__(self, state: EngineState, policy: PolicyDriver, responses: Responses, attempts: Attempts) -> None:
        """`attempts` stops the open attempt of a request that ends."""
        self._state, self._policy, self._responses, self._attempts = state, policy, responses, attempts
        self._dependencies = state.dependencies

    def deadline_is_obsolete(self, timer: RequestDeadline) -> bool:
        """Whether the request has ended, so that its timer has no effect."""
        return timer.request_id not in self._state.requests

    def deadline_reached(self, timer: RequestDeadline) -> None:
        """Time out a request at its deadline, if it is still in flight."""
        request = self._state.requests.find(timer.request_id)
        if request is not None:
            self.time_out(request)

    def time_out(self, request: InFlightRequest) -> None:
        """Stop the open attempt of a request at its deadline, and send its final response at once."""
        attempt = request.attempt
        if attempt is not None and attempt.streaming and self._dependencies.streams_past_deadline:
            return  # a response that is being streamed may continue past the deadline
        request.timed_out = True
        is_open = attempt is not None and attempt.open
        if attempt is not None and is_open:
            # This also ends an attempt that could not be cancelled when its client disconnected.
            self._attempts.stop(attempt, CallResult.TIMEOUT)
        if request.finished:
            return
        # No attempt was open: the request still waits for the policy or for its authorization.
        self._responses.send_local_reply(request, GATEWAY_TIMEOUT, "timed out", None)
        if request.submitted:
            self._policy.submit(api.ClientDisconnected(request.policy_id))

    def client_disconnected(self, event: ev.ClientDisconnected) -> None:
        """A client has disconnected, or its request ended prematurely."""
        request = self._state.requests.find(event.request_id)
        if request is None or request.finished:
            return
        self._responses.finish(request, 0, "client left")
        if request.submitted:
            self._policy.submit(api.ClientDisconnected(request.policy_id))
        attempt = request.attempt
        if attempt is not None and attempt.open:
            if not attempt.written:
                self._attempts.withdraw(attempt)
            elif self._dependencies.can_cancel or attempt.streaming:
                self._attempts.stop(attempt, CallResult.CANCELLED)
        self._responses.release(request)

    def body_not_replayable(self, event: ev.RequestBodyNotReplayable) -> None:
        """A request's body cannot be written again, so no further attempt is possible."""
        request = self._state.requests.find(event.request_id)
        if request is not None:
            request.replayable = False

    def stop_all(self) -> None:
        """Send every request in flight its final response now; no further attempt is started."""
        self._state.stopped = True
        for request in self._state.requests:
            self._stop(request)

    def _stop(self, request: InFlightRequest) -> None:
        attempt = request.attempt
        if request.finished or (attempt is not None and attempt.streaming):
            # The closing of its connection shows the client that a streamed response is incomplete.
            if request.request_id in self._state.requests:
                self.time_out(request)
            return
        if request.submitted:  # otherwise the policy would start another attempt when this one ends
            self._policy.submit(api.ClientDisconnected(request.policy_id))
        open_attempt = attempt if attempt is not None and attempt.open else None
        may_have_run = request.may_have_run_since is not None or (open_attempt is not None and open_attempt.written)
        idempotent = request.route.request_class.idempotency is Idempotency.IDEMPOTENT
        request.timed_out = True
        self._responses.give_up(request, not may_have_run or idempotent, "stopping")
        if open_attempt is not None:
            self._attempts.stop(open_attempt, CallResult.TIMEOUT)
