"""Relays the responses of endpoints to clients.

A response is buffered until it is complete or outgrows the limit, so that a broken one can still be replaced by another
attempt's.
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
from martenstep.proxy.upstream_connection import UpstreamConnection

MAX_UNSENT_BYTES = 65_536  # of a response that a slow client has not taken yet, before its endpoint is read no further
# Statuses of the gateway's own responses to requests that it accepted; the others are faults of the client's.
ACCEPTED_STATUSES = (429, 502, 503, 504)
RecordUsage = Callable[[ev.RecordUsage], asyncio.Future[bool] | None]


class ResponseRelay:
    """The responses of a server's requests."""

    def __init__(self, state: ServerState, pool: ConnectionPool) -> None:
        """`pool` takes back the connections."""
        self._state, self._pool = state, pool
        # The counter service, where there is one.  Where it returns a future, the response waits until that is done.
        self.record_usage: RecordUsage | None = None
        self.record_timeout_ms = 0.0  # and no longer than this
        self._resuming: set[asyncio.Task[None]] = set()

    # To the client ------------------------------------------------------------------------------------------

    def send_local_reply(self, action: ev.SendLocalReply) -> None:
        """Send a response of the gateway's own."""
        request = self._state.requests.get(action.request_id)
        if request is None:
            return
        self._state.counts["replies"] += 1
        if action.status in ACCEPTED_STATUSES:
            self._establish(request)
        request.client.send_response(action.status, self._final_headers(request, action.headers), [action.body])
        request.finish()

    def relay(self, action: ev.RelayResponse) -> None:
        """Pass a response on: all of it, or what is buffered of it and the rest as it comes."""
        request = self._state.requests.get(action.request_id)
        if request is None:
            return
        self._state.counts["passed"] += 1
        self._establish(request)
        headers = self._final_headers(request, action.headers)
        if action.complete:
            request.client.send_response(action.status, headers, request.buffered)
            request.finish()
            return
        request.streaming, request.progress_at = True, now_ms()
        self._begin_stream(request, action.status, headers)

    def _begin_stream(self, request: ClientRequest, status: int, headers: ev.Headers) -> None:
        client = request.client
        http = client.http
        if client.writer.transport.is_closing() or not http.can_respond:
            return
        try:
            out = [http.encode_head(status, headers), *(http.encode_data(part) for part in request.buffered)]
        except InvalidMessageError:
            client.abort()
            return
        request.buffered = []
        client.writer.write(b"".join(out))

    def reset_client(self, action: ev.ResetClientConnection) -> None:
        """Break off a response that has begun."""
        request = self._state.requests.get(action.request_id)
        if request is not None:
            self._state.counts["broken"] += 1
            request.client.abort()
            request.finish()

    def _establish(self, request: ClientRequest) -> None:
        """A request of a client has been accepted, whatever came of it."""
        client = request.client
        if not client.is_established:
            client.is_established = True
            self._state.new_clients.pop(client, None)

    def _final_headers(self, request: ClientRequest, headers: ev.Headers) -> ev.Headers:
        """The headers of a response, which closes the connection where the gateway stops or the body is not read."""
        ends = (self._state.stopping or self._state.draining) and not request.client.has_read_ahead
        if ends or (request.body is not None and not request.body.complete):
            return [*headers, CLOSE_HEADER]
        return headers

    # From the endpoint --------------------------------------------------------------------------------------

    def data_received(self, request: ClientRequest, upstream: UpstreamConnection, data: bytes) -> None:
        """Bytes of a response have come; none: the end of its connection."""
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
                self.fail(request, AttemptFailure.CLOSED if closed else AttemptFailure.MALFORMED_RESPONSE)

    def _read(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        """Take what there is of a response."""
        request_id, attempt, handle = request.request_id, request.attempt, self._state.handle
        while request.upstream is upstream:
            event = upstream.http.next_event()
            if event is None:
                return
            if isinstance(event, ResponseHead):
                handle(ev.ResponseHeadReceived(request_id, attempt, event.status, event.headers))
            elif isinstance(event, Data):
                self._take_data(request, upstream, event.data)
            elif isinstance(event, EndOfMessage):
                self._complete(request, upstream)
            else:
                self.fail(request, AttemptFailure.CLOSED)

    def _take_data(self, request: ClientRequest, upstream: UpstreamConnection, data: bytes) -> None:
        """Buffer bytes of a response's body, or pass them on where it is streamed."""
        limits = self._state.upstream
        request.progress_at = now_ms()
        request.response_bytes += len(data)
        if 0 < limits.answer_bytes < request.response_bytes:
            self.fail(request, AttemptFailure.MALFORMED_RESPONSE)
            return
        if request.streaming:
            self._stream(request, upstream, data)
            return
        request.buffered.append(data)
        request.buffered_bytes += len(data)
        if request.buffered_bytes > limits.hold_answer_bytes:
            self._state.handle(ev.ResponseBufferExceeded(request.request_id, request.attempt))

    def _stream(self, request: ClientRequest, upstream: UpstreamConnection, data: bytes) -> None:
        client = request.client
        if client.writer.transport.is_closing():
            return
        try:
            client.writer.write(client.http.encode_data(data))
        except InvalidMessageError:
            client.abort()
        else:
            self._apply_back_pressure(request, upstream)

    def _complete(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        """A response is complete: its connection goes back to the pool, and the client gets its end."""
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
            self._pool.recycle(upstream)  # discarded there too, where the body was not written to its end
        self._state.handle(ev.ResponseCompleted(request.request_id, request.attempt))
        if streaming:
            request.finish()
        self._forget_if_finished(request)

    # Back pressure ------------------------------------------------------------------------------------------

    def _apply_back_pressure(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        """Read an endpoint no faster than its client reads."""
        unsent = request.client.writer.transport.get_write_buffer_size()
        if upstream.reading_paused or unsent <= MAX_UNSENT_BYTES:
            return
        upstream.reading_paused = True
        upstream.writer.transport.pause_reading()  # type: ignore[attr-defined]  # of a transport both ways
        task = self._state.loop.create_task(self._resume(request, upstream))
        self._resuming.add(task)
        task.add_done_callback(self._resuming.discard)

    async def _resume(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        with suppress(ConnectionError, OSError):
            await request.client.writer.drain()
        upstream.reading_paused = False
        request.progress_at = now_ms()
        if request.upstream is upstream and not upstream.writer.transport.is_closing():
            upstream.writer.transport.resume_reading()  # type: ignore[attr-defined]

    # Usage records ------------------------------------------------------------------------------------------

    def record(self, action: ev.RecordUsage) -> None:
        """Have the usage of a request recorded; its response waits for that, where the service asks for it."""
        if self.record_usage is None:
            return
        recorded = self.record_usage(action)
        request = self._state.requests.get(action.request_id)
        if recorded is not None and request is not None:
            request.usage_recorded = recorded
            recorded.add_done_callback(lambda _: self._usage_recorded(request, recorded))
            self._state.loop.call_later(self.record_timeout_ms / MS_PER_S, self._usage_recorded, request, recorded)

    def _withhold(self, request: ClientRequest, upstream: UpstreamConnection, data: bytes) -> None:
        """Keep bytes of a response until its request's usage is recorded."""
        assert request.usage_recorded is not None
        request.withheld_data.append((upstream, data))
        if sum(len(part) for _, part in request.withheld_data) > self._state.upstream.hold_answer_bytes:
            self._usage_recorded(request, request.usage_recorded)

    def _usage_recorded(self, request: ClientRequest, recorded: asyncio.Future[bool]) -> None:
        """The usage is recorded, or was waited for long enough: what was withheld goes on."""
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
        """Give an attempt up."""
        request = self._state.requests.get(action.request_id)
        if request is not None:
            self._release(request)

    def fail(self, request: ClientRequest, failure: AttemptFailure) -> None:
        """Report an attempt that ended by itself; its connection is of no more use."""
        self._release(request)
        self._state.handle(ev.AttemptFailed(request.request_id, request.attempt, failure))

    def _release(self, request: ClientRequest) -> None:
        """End the present attempt and its connection, here and now."""
        task, request.attempt_task = request.attempt_task, None
        upstream, request.upstream = request.upstream, None
        if upstream is not None:
            upstream.reader.on_data = None
            self._pool.discard(upstream)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        self._forget_if_finished(request)

    def _forget_if_finished(self, request: ClientRequest) -> None:
        if request.finished.done():
            self._state.requests.pop(request.request_id, None)

    def fail_stalled(self, now: float) -> None:
        """End the attempts whose responses have begun and stand still."""
        for request in list(self._state.requests.values()):
            if request.streaming and now - request.progress_at > self._state.upstream.answer_idle_ms:
                self.fail(request, AttemptFailure.STALLED)
