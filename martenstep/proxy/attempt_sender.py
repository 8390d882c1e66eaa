"""Sends attempts to their endpoints: takes an idle connection or opens one, and writes the request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from martenstep.proxy import engine_messages as ev
from martenstep.proxy.client_request import ClientRequest
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.connection_pool import ConnectionPool
from martenstep.proxy.engine_messages import AttemptFailure
from martenstep.proxy.http1.message_writer import InvalidMessageError
from martenstep.proxy.response_relay import ResponseRelay
from martenstep.proxy.server_state import ServerState
from martenstep.proxy.upstream_connection import UpstreamConnection

STALE_LIST_POLL_MS = 2.0  # interval between checks whether the endpoint list is up to date
CHUNKED_HEADER = (b"transfer-encoding", b"chunked")


class AttemptSender:
    """Sends the attempts of one server's requests."""

    def __init__(self, state: ServerState, pool: ConnectionPool, relay: ResponseRelay) -> None:
        """`relay` processes the responses."""
        self._state, self._pool, self._relay = state, pool, relay
        # Whether the list may lack a change that this gateway counts as notified of; attempts then wait for a bounded
        # time.
        self.endpoint_list_is_stale: Callable[[], bool] = lambda: False

    def open(self, action: ev.OpenAttempt) -> None:
        """Start an attempt."""
        request = self._state.requests.get(action.request_id)
        if request is None or request.client.has_disconnected():  # the attempt ends with the request, unwritten
            return
        request.begin_attempt(action.attempt)
        if self.endpoint_list_is_stale():
            request.attempt_task = self._state.loop.create_task(self._open_when_list_is_current(request, action))
        else:
            self._connect(request, action)

    async def _open_when_list_is_current(self, request: ClientRequest, action: ev.OpenAttempt) -> None:
        """Start an attempt once the endpoint list is up to date: until then its endpoint may be draining.

        The task is cancelled when the attempt is aborted.
        """
        while self.endpoint_list_is_stale():
            await asyncio.sleep(STALE_LIST_POLL_MS / MS_PER_S)
        if request.attempt_task is not asyncio.current_task():
            return
        request.attempt_task = None
        if request.client.has_disconnected():
            return
        self._update_deadline(action)
        self._connect(request, action)

    def _update_deadline(self, action: ev.OpenAttempt) -> None:
        """Update the deadline header for the time that has passed since the engine decided on the attempt."""
        self._state.event_time = now_ms()
        self._state.engine.update_deadline_header(self._state.event_time, action)

    # Connect ------------------------------------------------------------------------------------------------

    def _connect(self, request: ClientRequest, action: ev.OpenAttempt) -> None:
        """Start an attempt on an idle connection, or on a new one."""
        self._state.counts["attempts"] += 1
        upstream = self._pool.acquire_idle(action.address)
        if upstream is not None:
            self._start_on_connection(request, action, upstream)
        elif self._pool.reserve_slot(action.address):
            request.attempt_task = self._state.loop.create_task(self._connect_new(request, action))
        else:
            failure = AttemptFailure.CONNECTION_LIMIT
            self._state.handle(ev.AttemptFailed(action.request_id, action.attempt, failure))

    async def _connect_new(self, request: ClientRequest, action: ev.OpenAttempt) -> None:
        """Open a connection for an attempt.  The task is cancelled when the attempt is aborted."""
        try:
            upstream = await self._pool.connect(action.address)
        except Exception as error:
            if not isinstance(
                error, OSError
            ):  # for example an address that no socket accepts; the attempt fails as well
                self._state.log_task_failure("dial", error)
            if request.attempt_task is asyncio.current_task():
                request.attempt_task = None
                failure = AttemptFailure.NOT_CONNECTED
                self._state.handle(ev.AttemptFailed(request.request_id, action.attempt, failure))
            return
        if request.attempt_task is not asyncio.current_task():  # aborted while the connection was being opened
            self._pool.discard(upstream)
            return
        request.attempt_task = None
        if request.client.has_disconnected():  # nothing was written, so the connection can be reused
            self._pool.recycle(upstream)
            return
        self._update_deadline(action)
        self._start_on_connection(request, action, upstream)

    # Write --------------------------------------------------------------------------------------------------

    def _start_on_connection(
        self, request: ClientRequest, action: ev.OpenAttempt, upstream: UpstreamConnection
    ) -> None:
        """Write an attempt to a connection; the response is relayed as it is received."""
        request.upstream = upstream
        now = self._state.event_time
        if not upstream.is_usable or self._state.engine.may_begin(now, action) is not None:
            self._relay.fail_attempt(request, AttemptFailure.NOT_WRITTEN)
            return
        upstream.set_delivery_timeout(action.deliver_by - now if action.deliver_by is not None else None)
        upstream.reader.on_data = lambda data: self._relay.data_received(request, upstream, data)
        try:
            has_more = self._write_head_and_buffered_body(request, action, upstream)
        except InvalidMessageError:  # the head was valid to receive but must not be forwarded
            self._relay.fail_attempt(request, AttemptFailure.NOT_WRITTEN)
            return
        if has_more:
            loop = self._state.loop
            if request.body_reader is None:
                request.body_reader = loop.create_task(request.client.read_body(request))
            request.attempt_task = loop.create_task(self._write_rest_of_body(request, upstream))

    def _write_head_and_buffered_body(
        self, request: ClientRequest, action: ev.OpenAttempt, upstream: UpstreamConnection
    ) -> bool:
        """Write the head and the part of the body that was read so far; True if more of the body follows.

        Raises InvalidMessageError before anything is written.
        """
        body, headers = request.body, action.headers
        if body is not None and body.length is None:
            headers.append(CHUNKED_HEADER)
        if not any(name == b"host" for name, _ in headers):  # an HTTP/1.0 request may have none
            headers.append((b"host", f"{action.address[0]}:{action.address[1]}".encode()))
        out = [upstream.http.encode_head(action.method, action.target, headers)]
        has_more = False
        if body is not None:
            body.rewind()
            data = body.take_unwritten()
            if data:
                out.append(upstream.http.encode_data(data))
            has_more = not body.complete
        if not has_more:
            out.append(upstream.http.encode_end())
        # From here on the endpoint may execute the request, so no await may stand between this event and the write.
        self._state.handle(ev.AttemptWritten(request.request_id, action.attempt))
        if request.upstream is not upstream:  # a timer that was due has ended the attempt
            return False
        upstream.writer.write(b"".join(out))
        if body is not None and body.trim():
            self._state.handle(ev.RequestBodyNotReplayable(request.request_id))
        return has_more

    async def _write_rest_of_body(self, request: ClientRequest, upstream: UpstreamConnection) -> None:
        """Write the rest of the body as it is received from the client."""
        body = request.body
        assert body is not None
        with suppress(ConnectionError, OSError):  # the response relay reports how the connection ended
            while request.upstream is upstream:
                if body.written < body.size:
                    upstream.writer.write(upstream.http.encode_data(body.take_unwritten()))
                    await upstream.writer.drain()
                    if request.upstream is upstream and body.trim():
                        self._state.handle(ev.RequestBodyNotReplayable(request.request_id))
                elif body.complete:
                    upstream.writer.write(upstream.http.encode_end())
                    return
                else:
                    body.changed.clear()
                    await body.changed.wait()
