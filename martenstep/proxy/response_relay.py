"""Relays the responses of endpoints to clients.

A response is buffered until it is complete or exceeds the limit, so that another attempt's response can still replace
one that breaks off.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from martenstep.proxy import engine_messages as ev
from martenstep.proxy.client_connection import CLOSE_HEADER
from martenstep.proxy.client_request import ClientRequest
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.connection_pool import ConnectionPool
from martenstep.proxy.engine_messages import AttemptFailure
from martenstep.proxy.http1.message_head import ProtocolError, ResponseHead
from martenstep.proxy.http1.message_reader import Data, EndOfMessage
from martenstep.proxy.http1.message_writer import InvalidMessageError
from martenstep.proxy.server_state import ServerState
from martenstep.proxy.transport import MIN_REPORTED_BYTES
from martenstep.proxy.upstream_connection import UpstreamConnection

# Bytes of a response that may wait for a slow client before reading from its endpoint is paused.
MAX_UNSENT_BYTES = 65_536
# Statuses of the gateway's own responses to requests that it accepted; its other statuses report client errors.
ACCEPTED_STATUSES = (429, 502, 503, 504)
RecordUsage = Callable[[ev.RecordUsage], asyncio.Future[bool] | None]


class ResponseRelay:
    """Relays the responses to the requests of one server."""

    def __init__(self, state: ServerState, pool: ConnectionPool) -> None:
        """Connections return to `pool` after their response."""
        self._state, self._pool = state, pool
        # Records usage with the counter service, if there is one.  If it returns a future, the response waits for it.
        self.record_usage: RecordUsage | None = None
        self.record_timeout_ms = 0.0  # limits that wait
        self._resume_tasks: set[asyncio.Task[None]] = set()

    # To the client ------------------------------------------------------------------------------------------

    def send_local_reply(self, action: ev.SendLocalReply) -> None:
        """Send a response of the gateway's own."""
        request = self._state.requests.get(action.request_id)
        if request is None:
            return
        self._state.counts["replies"] += 1
        if action.status in ACCEPTED_STATUSES:
            self._mark_accepted(request)
        request.client.send_response(action.status, self._final_headers(request, action.headers), [action.body])
        request.finish()

    def relay(self, action: ev.RelayResponse) -> None:
        """Send a response to the client: complete, or its buffered start and the rest as it is received."""
        request = self._state.requests.get(action.request_id)
        if request is None:
            return
        self._state.counts["passed"] += 1
        self._mark_accepted(request)
        headers = self._final_headers(request, action.headers)
        if action.complete:
            request.client.send_response(action.status, headers, request.buffered_data)
            request.finish()
            return
        request.streaming, request.last_progress_at = True, now_ms()
        self._begin_stream(request, action.status, headers)

    def _begin_stream(self, request: ClientRequest, status: int, headers: ev.Headers) -> None:
        client = request.client
        http = client.http
        if client.writer.transport.is_closing() or not http.can_respond:
            return
        try:
            out = [http.encode_head(status, headers), *(http.encode_data(part) for part in request.buffered_data)]
        except InvalidMessageError:
            client.abort()
            return
        request.buffered_data, request.buffered_bytes = [], 0
        client.stream(b"".join(out))

    def reset_client(self, action: ev.ResetClientConnection) -> None:
        """Break off a response that was partly sent."""
        request = self._state.requests.get(action.request_id)
        if request is not None:
            self._state.counts["broken"] += 1
            request.client.abort()
            request.finish()

    def _mark_accepted(self, request: ClientRequest) -> None:
        """Record that the gateway has accepted a request of the client, whatever its outcome."""
        client = request.client
        if not client.has_accepted_request:
            client.has_accepted_request = True
            self._state.new_clients.pop(client, None)

    def _final_headers(self, request: ClientRequest, headers: ev.Headers) -> ev.Headers:
        """The headers of a response; it closes the connection if the gateway stops or the body was not fully read."""
        ends = (self._state.stopping or self._state.draining) and not request.client.has_read_ahead
        if ends or (request.body is not None and not request.body.complete):
            return [*headers, CLOSE_HEADER]
        return headers

    # From the endpoint --------------------------------------------------------------------------------------

    def data_received(self, request: ClientRequest, upstream: UpstreamConnection, data: bytes) -> None:
        """Process bytes of a response; empty: the connection has ended."""
        if request.upstream is not upstream:
            return
        if request.usage_recorded is not None:
            self._withhold(request, upstream, data)
            return
        try:
            upstream.feed(data)
            self._read(request, upstream)
        except ProtocolError:
            if request.upstream is upstream:
                closed = upstream.reader.ended
                self.fail_attempt(request, AttemptFailure.CLOSED if closed else AttemptFailure.MALFORMED_RESPONSE)

    def _read(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        """Process every event of the response that was received so far."""
        request_id, attempt, handle = request.request_id, request.attempt, self._state.handle
        while request.upstream is upstream:
            event = upstream.http.next_event()
            if event is None:
                return
            if isinstance(event, ResponseHead):
                handle(ev.ResponseHeadReceived(request_id, attempt, event.status, event.headers))
            elif isinstance(event, Data):
                self._process_data(request, upstream, event.data)
            elif isinstance(event, EndOfMessage):
                self._complete(request, upstream)
            else:
                self.fail_attempt(request, AttemptFailure.CLOSED)

    def _process_data(self, request: ClientRequest, upstream: UpstreamConnection, data: bytes) -> None:
        """Buffer bytes of a response body, or send them on if the response is streamed."""
        limits = self._state.upstream
        request.last_progress_at = now_ms()
        request.response_bytes += len(data)
        if 0 < limits.answer_bytes < request.response_bytes:
            self.fail_attempt(request, AttemptFailure.MALFORMED_RESPONSE)
            return
        if request.streaming:
            self._stream(request, upstream, data)
            return
        request.buffered_data.append(data)
        request.buffered_bytes += len(data)
        if request.buffered_bytes >= MIN_REPORTED_BYTES or request.buffered_bytes > limits.hold_answer_bytes:
            self._large_response_buffered(request, upstream)

    def _large_response_buffered(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        """Count what is buffered of a response, and stream it if that is too much."""
        request.client.response_buffered()
        if request.upstream is not upstream:  # it was shed
            return
        if request.buffered_bytes > self._state.upstream.hold_answer_bytes or self._state.buffers.exhausted:
            self._state.handle(ev.ResponseBufferExceeded(request.request_id, request.attempt))

    def _stream(self, request: ClientRequest, upstream: UpstreamConnection, data: bytes) -> None:
        client = request.client
        if client.writer.transport.is_closing():
            return
        try:
            unsent = client.stream(client.http.encode_data(data))
        except InvalidMessageError:
            client.abort()
        else:
            self._apply_back_pressure(request, upstream, unsent)

    def _complete(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        """Finish a complete response: send its end to the client and return the connection to the pool."""
        client, streaming = request.client, request.streaming
        upstream.reader.on_data = None
        task, request.attempt_task, request.upstream = request.attempt_task, None, None
        if task is not None:
            task.cancel()
        if streaming and not client.writer.transport.is_closing():
            try:
                client.writer.write(client.http.encode_end())
            except InvalidMessageError:
                client.abort()
        if upstream.reading_paused:
            self._pool.discard(upstream)
        else:
            self._pool.recycle(upstream)  # the pool discards it if the request body was not written completely
        self._state.handle(ev.ResponseCompleted(request.request_id, request.attempt))
        if streaming:
            request.finish()
        self._remove_if_finished(request)

    # Back pressure ------------------------------------------------------------------------------------------

    def _apply_back_pressure(self, request: ClientRequest, upstream: UpstreamConnection, unsent: int) -> None:
        """Pause reading from the endpoint while its client reads too slowly."""
        if upstream.reading_paused or unsent <= MAX_UNSENT_BYTES:
            return
        upstream.reading_paused = True
        upstream.writer.transport.pause_reading()  # type: ignore[attr-defined]  # declared only for read transports
        task = self._state.loop.create_task(self._resume(request, upstream))
        self._resume_tasks.add(task)
        task.add_done_callback(self._resume_tasks.discard)

    async def _resume(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        with suppress(ConnectionError, OSError):
            await request.client.writer.drain()
        upstream.reading_paused = False
        request.last_progress_at = now_ms()
        if request.upstream is upstream and not upstream.writer.transport.is_closing():
            upstream.writer.transport.resume_reading()  # type: ignore[attr-defined]

    # Usage records ------------------------------------------------------------------------------------------

    def record(self, action: ev.RecordUsage) -> None:
        """Record the usage of a request; its response waits if the recorder returns a future."""
        if self.record_usage is None:
            return
        recorded = self.record_usage(action)
        request = self._state.requests.get(action.request_id)
        if recorded is not None and request is not None:
            request.usage_recorded = recorded
            recorded.add_done_callback(lambda _: self._process_withheld(request, recorded))
            self._state.loop.call_later(self.record_timeout_ms / MS_PER_S, self._process_withheld, request, recorded)

    def _withhold(self, request: ClientRequest, upstream: UpstreamConnection, data: bytes) -> None:
        """Hold back bytes of a response until the usage of its request is recorded, or until they exceed the limit."""
        assert request.usage_recorded is not None
        request.withheld_data.append((upstream, data))
        if sum(len(part) for _, part in request.withheld_data) > self._state.upstream.hold_answer_bytes:
            self._process_withheld(request, request.usage_recorded)

    def _process_withheld(self, request: ClientRequest, recorded: asyncio.Future[bool]) -> None:
        """Process the withheld bytes: the usage is recorded, or the wait for it has reached a limit."""
        if request.usage_recorded is not recorded:
            return
        if not recorded.done():
            self._state.counts["answers_not_waited_for"] += 1
        request.usage_recorded, withheld_data = None, request.withheld_data
        request.withheld_data = []
        for upstream, data in withheld_data:
            self.data_received(request, upstream, data)

    # End of an attempt --------------------------------------------------------------------------------------

    def abort_attempt(self, action: ev.AbortAttempt) -> None:
        """Abort an attempt."""
        request = self._state.requests.get(action.request_id)
        if request is not None:
            self._end_attempt(request)

    def fail_attempt(self, request: ClientRequest, failure: AttemptFailure) -> None:
        """Report to the engine that an attempt failed, and discard its connection."""
        self._end_attempt(request)
        self._state.handle(ev.AttemptFailed(request.request_id, request.attempt, failure))

    def _end_attempt(self, request: ClientRequest) -> None:
        """End the current attempt and discard its connection immediately."""
        task, request.attempt_task = request.attempt_task, None
        upstream, request.upstream = request.upstream, None
        if upstream is not None:
            upstream.reader.on_data = None
            self._pool.discard(upstream)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: ClientRequest) -> None:
        if request.finished.done():
            self._state.requests.pop(request.request_id, None)

    def fail_stalled(self, now: float) -> None:
        """Fail the attempts whose streamed responses make no progress."""
        for request in list(self._state.requests.values()):
            if request.streaming and now - request.last_progress_at > self._state.upstream.answer_idle_ms:
                self.fail_attempt(request, AttemptFailure.STALLED)
