"""The attempts of requests: the policy starts them, the driver carries them out, and each is reported as ended once."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from martenstep.policy import messages as api
from martenstep.policy.messages import CallResult, Idempotency
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.attempt_outcomes import classify_failure, classify_stop
from martenstep.proxy.dependencies import UpstreamRequest
from martenstep.proxy.engine.endpoints import EndpointAddresses
from martenstep.proxy.engine.policy_driver import PolicyDriver
from martenstep.proxy.engine.record_ids import RecordIds
from martenstep.proxy.engine.request import Attempt, InFlightRequest, UpstreamTarget
from martenstep.proxy.engine.responses import Responses
from martenstep.proxy.engine.state import EngineState
from martenstep.proxy.engine.timers import ConnectTimeout
from martenstep.proxy.permission import AttemptFacts, Denial, may_begin

if TYPE_CHECKING:  # a gateway without hooks does not load them
    from martenstep.hooks.runner import Runner

NO_HEADERS: ev.Headers = []


class Attempts:
    """Starts attempts, records their progress and ends them."""

    def __init__(
        self, state: EngineState, policy: PolicyDriver, responses: Responses, endpoints: EndpointAddresses
    ) -> None:
        """`endpoints` has the addresses of the listed endpoints."""
        self._state, self._policy, self._responses, self._endpoints = state, policy, responses, endpoints
        self._dependencies = state.dependencies
        self._record_ids = RecordIds()
        self._messages = state.dependencies.message_builder
        self._classify = state.dependencies.status_classifier.classify
        # Called with the id of each request whose first attempt starts.
        self.on_first_attempt: Callable[[int], None] | None = None
        self.result_counts: dict[str, int] = {}
        self.denial_counts: dict[str, int] = {}  # attempts denied before their first byte, by name

    # Start --------------------------------------------------------------------------------------------------

    def start(self, action: api.StartAttempt) -> None:
        """Start an attempt that the policy has requested."""
        state = self._state
        request = state.requests.get_by_policy_id(action.id)
        number = len(request.endpoints)
        request.endpoints.append(action.endpoint)
        if request.trace is not None:
            request.trace.end("counter", state.now)
        if number == 0:
            if self._dependencies.records_usage:
                self.record_usage(request, action.over_quota)
            if self.on_first_attempt is not None:
                self.on_first_attempt(request.request_id)
        address = self._endpoints.addresses.get(action.endpoint)
        attempt = request.attempt = Attempt(request, number, action.endpoint, state.now)
        if request.finished or address is None:
            attempt.open = False
            self._policy.submit(
                api.AttemptEnded(action.id, number, action.endpoint, CallResult.NOT_SENT, 0.0, request.finished)
            )
            return
        target, headers = self._upstream_message(attempt)
        connect_by = min(state.now + self._dependencies.connect_timeout_ms, request.deadline)
        state.timers.schedule(connect_by, ConnectTimeout(request.request_id, number))
        state.actions.append(
            ev.OpenAttempt(
                request.request_id,
                number,
                action.endpoint,
                address,
                request.received.method,
                target,
                headers,
                request.deadline,
                self._deliver_by(request),
            )
        )

    def record_usage(self, request: InFlightRequest, over_quota: bool) -> None:
        """Emit the action that records a forwarded request at the counter service."""
        route = request.route
        self._state.actions.append(
            ev.RecordUsage(
                self._record_ids.choose(request.correlation_id, lambda: self._state.unique_id(request.policy_id)),
                route.customer_key,
                route.plan.name,
                route.request_class.name,
                route.units,
                over_quota,
                request.request_id,
            )
        )

    def _upstream_message(self, attempt: Attempt) -> UpstreamTarget:
        """The target and the headers to send with an attempt."""
        request, now, messages = attempt.request, self._state.now, self._messages
        received = request.received
        auth_response = request.auth_response
        auth_headers = messages.copied_auth_headers(list(auth_response.headers)) if auth_response is not None else []
        target, hook_headers = received.target, NO_HEADERS
        if request.hook_runner is not None:
            target, hook_headers = self._hooked_target(request, request.hook_runner)
        traceparent = b""
        if request.trace is not None:
            span = request.trace.begin("attempt", now, attempt=attempt.number, server=attempt.endpoint)
            traceparent = request.trace.outgoing(span)
        uses_key = request.route.request_class.idempotency is Idempotency.KEYED
        headers = messages.request_headers(
            UpstreamRequest(
                received.headers,
                auth_headers,
                hook_headers,
                request.correlation_id,
                self._state.unique_id(request.policy_id) if uses_key else "",
                attempt.number,
                max(request.deadline - now, 0.0),
                received.client_address,
                traceparent,
                uses_key,
            )
        )
        return target, headers

    def _hooked_target(self, request: InFlightRequest, runner: Runner) -> UpstreamTarget:
        """The target and additional headers of all attempts; the sending hook may set them, and runs once."""
        if not runner.has("sending"):
            return request.received.target, NO_HEADERS
        if request.upstream_target is None:
            points = self._state.extension_points
            assert points is not None
            request.upstream_target = points.sending(self._state.now, runner, request)
        return request.upstream_target

    @staticmethod
    def _deliver_by(request: InFlightRequest) -> float | None:
        """The latest time at which a retry with an idempotency key may be delivered; None for other attempts.

        After that time endpoints may have forgotten the key, and a retry that the network delayed for so long would
        be executed a second time.
        """
        request_class, since = request.route.request_class, request.may_have_run_since
        if since is None or request_class.idempotency is not Idempotency.KEYED:
            return None
        return since + request_class.deduplication_window_ms

    def update_deadline_header(self, now: float, action: ev.OpenAttempt) -> None:
        """Set the deadline header of an attempt that had to wait to the time that remains now.

        With an outdated header the endpoint would work on after the gateway has stopped waiting.
        """
        name, value = self._messages.deadline_header(max(action.deadline - now, 0.0))
        action.headers = [(name, value) if pair[0] == name else pair for pair in action.headers]

    def check_permission(self, now: float, action: ev.OpenAttempt) -> Denial | None:
        """Why an attempt may not be written now; None if it may."""
        request = self._state.requests.find(action.request_id)
        attempt = request.attempt if request is not None else None
        if request is None or attempt is None:
            return Denial.ANSWERED
        request_class = request.route.request_class
        facts = AttemptFacts(
            now,
            request.deadline,
            request.finished,
            self._state.stopped,
            attempt.number == action.attempt and attempt.open,
            self._endpoints.accepts_requests(action.endpoint),
            request_class.idempotency,
            request.may_have_run_since,
            request_class.deduplication_window_ms,
        )
        denial = may_begin(facts)
        if denial is not None:
            self._log_denial(request, denial)
        return denial

    def _log_denial(self, request: InFlightRequest, denial: Denial) -> None:
        self.denial_counts[denial.name] = self.denial_counts.get(denial.name, 0) + 1
        fields: dict[str, Any] = {
            "request": request.correlation_id,
            "why": denial.value,
            "servers": request.endpoints,
        }
        self._state.actions.append(ev.LogEvent("attempt denied", fields))

    # Progress -----------------------------------------------------------------------------------------------

    def written(self, event: ev.AttemptWritten) -> None:
        """The first bytes of an attempt are being written."""
        attempt = self._state.requests.find_open_attempt(event.request_id, event.attempt)
        if attempt is not None:
            attempt.written = True

    def response_head_received(self, event: ev.ResponseHeadReceived) -> None:
        """The head of an attempt's response is complete."""
        attempt = self._state.requests.find_open_attempt(event.request_id, event.attempt)
        if attempt is None:
            return
        result = self._classify(event.status, event.headers)
        if result is not CallResult.OK:
            attempt.open = False
            self._state.actions.append(ev.AbortAttempt(event.request_id, event.attempt))
            self._end_without_response(attempt, result)
            return
        attempt.status, attempt.headers = event.status, event.headers

    def response_buffer_exceeded(self, event: ev.ResponseBufferExceeded) -> None:
        """A response is larger than the buffer: from now on it is streamed to the client."""
        attempt = self._state.requests.find_open_attempt(event.request_id, event.attempt)
        if attempt is None or attempt.streaming or attempt.request.finished:
            return
        attempt.streaming = True
        self._policy.submit(api.ResponseStarted(attempt.request.policy_id))
        self._responses.relay(attempt, complete=False)

    def response_completed(self, event: ev.ResponseCompleted) -> None:
        """The last byte of an attempt's response has been received."""
        attempt = self._state.requests.find_open_attempt(event.request_id, event.attempt)
        if attempt is None:
            return
        request = attempt.request
        if not request.finished:
            if not attempt.streaming:
                self._responses.relay(attempt, complete=True)
            self._responses.finish(request, attempt.status, "served")
        self._end(attempt, CallResult.OK, request_complete=True)
        self._responses.release(request)

    # End ----------------------------------------------------------------------------------------------------

    def failed(self, event: ev.AttemptFailed) -> None:
        """An attempt ended without a complete response."""
        attempt = self._state.requests.find_open_attempt(event.request_id, event.attempt)
        if attempt is not None:
            attempt.open = False
            self._end_without_response(attempt, classify_failure(event.failure))

    def cancel(self, action: api.CancelAttempt) -> None:
        """The policy cancels an attempt."""
        request = self._state.requests.get_by_policy_id(action.id)
        attempt = request.attempt
        if attempt is not None and attempt.number == action.attempt and attempt.open and not attempt.streaming:
            self.stop(attempt, CallResult.CANCELLED)

    def connect_timed_out(self, timer: ConnectTimeout) -> None:
        """The connect timeout of an attempt has passed."""
        attempt = self._state.requests.find_open_attempt(timer.request_id, timer.attempt)
        if attempt is not None and not attempt.written:
            self.stop(attempt, CallResult.CONNECT_FAILED)

    def connect_timeout_is_obsolete(self, timer: ConnectTimeout) -> bool:
        """Whether the attempt has been written or has ended, so that its timer has no effect."""
        attempt = self._state.requests.find_open_attempt(timer.request_id, timer.attempt)
        return attempt is None or attempt.written

    def stop(self, attempt: Attempt, result: CallResult) -> None:
        """Stop an attempt by the gateway's own decision; `result` is reported if the attempt has been written."""
        attempt.open = False  # later events of the attempt are ignored
        self._state.actions.append(ev.AbortAttempt(attempt.request.request_id, attempt.number))
        self._end_without_response(attempt, classify_stop(result, attempt.written))

    def withdraw(self, attempt: Attempt) -> None:
        """Abort an attempt that is not written yet; this does not count as a failure of its endpoint."""
        attempt.open = False
        self._state.actions.append(ev.AbortAttempt(attempt.request.request_id, attempt.number))
        self._end(attempt, CallResult.NOT_SENT, attempt.request.finished)

    def _end(self, attempt: Attempt, result: CallResult, request_complete: bool) -> None:
        """Report the end of an attempt to the policy; only this method does so."""
        request = attempt.request
        attempt.open = False
        self.result_counts[result.value] = self.result_counts.get(result.value, 0) + 1
        now = self._state.now
        if request.trace is not None:
            request.trace.end("attempt", now, verdict=result.value, written=attempt.written)
        if request.may_have_run_since is None and not result.never_executed:
            request.may_have_run_since = attempt.started_at
        rtt_ms = now - attempt.started_at
        self._policy.submit(
            api.AttemptEnded(request.policy_id, attempt.number, attempt.endpoint, result, rtt_ms, request_complete)
        )

    def _end_without_response(self, attempt: Attempt, result: CallResult) -> None:
        """An attempt ended without a response that can be relayed."""
        request = attempt.request
        if not request.finished:
            if attempt.streaming:
                self._responses.finish(request, 0, "broken answer")
                self._state.actions.append(ev.ResetClientConnection(request.request_id))
            elif not request.replayable:
                # Part of the body is no longer buffered, so the policy must not start another attempt.
                idempotent = request.route.request_class.idempotency is Idempotency.IDEMPOTENT
                self._responses.give_up(request, idempotent or result.never_executed, "spent")
        request_complete = request.finished
        self._end(attempt, result, request_complete)
        if request_complete:
            self._responses.release(request)
