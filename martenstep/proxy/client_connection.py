"""One client connection: reads its requests one after another and writes their responses."""

from __future__ import annotations

import asyncio
import select
from contextlib import suppress
from typing import TYPE_CHECKING

from martenstep.proxy import engine_messages as ev
from martenstep.proxy.client_buffers import ClientBuffers
from martenstep.proxy.client_request import ClientRequest, RequestBody
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.http1.message_head import ProtocolError, RequestHead
from martenstep.proxy.http1.message_reader import ConnectionClosed, Data, EndOfMessage
from martenstep.proxy.http1.message_writer import InvalidMessageError
from martenstep.proxy.http1.server_connection import Http1ServerConnection
from martenstep.proxy.permission import may_close
from martenstep.proxy.transport import (
    DISCONNECTED_EVENTS,
    LOST_EVENTS,
    READ_BYTES,
    WatchedProtocol,
    WatchedReader,
    abort_when_stalled,
    is_ready,
)

if TYPE_CHECKING:
    from martenstep.proxy.connection_owner import ConnectionOwner

# Bytes of an unread body that are discarded before the close, so that a client that sends at full speed does not take
# the processor: a close with unread bytes sends a reset, which can destroy a response that the client has not read yet.
MAX_LINGER_BYTES = 262_144
LINGER_MS = 1000.0
MAX_TURN_WAIT_MS = 400.0  # of a pipelined request: a response may come half a second after the deadline at most
REJECTED_LINGER_MS = 300.0  # time for a connection over the limit to read its response
REQUEST_TIMEOUT, CONTENT_TOO_LARGE, UNAVAILABLE = 408, 413, 503
CLOSE_HEADER = (b"connection", b"close")


class ClientConnection:
    """The connection of one client."""

    __slots__ = (
        "__weakref__",
        "_buffers",
        "_protocol",
        "_received_bytes",
        "_server",
        "client_address",
        "closing",
        "has_accepted_request",
        "has_partial_request",
        "http",
        "lingering",
        "reader",
        "request",
        "waiting_since",
        "writer",
    )

    def __init__(
        self,
        server: ConnectionOwner,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        protocol: WatchedProtocol,
    ) -> None:
        """`protocol` reports the end of the connection."""
        self._server, self.reader, self.writer = server, reader, writer
        self.http = Http1ServerConnection(server.listener.head_bytes)
        self.request: ClientRequest | None = None
        self._buffers = ClientBuffers(self, server.buffers, reader, self.http, writer)
        self._protocol = protocol
        self.waiting_since = now_ms()  # start of the wait for a head, restarted by its first bytes
        self.has_partial_request = False  # the first bytes of a request were received
        self.closing = False
        self.has_accepted_request = False  # one of its requests has passed the gateway's own checks
        self._received_bytes = 0  # bytes read from the reader
        self.lingering = False  # the gateway has shut down writing and discards what it still receives
        peer = writer.get_extra_info("peername")
        self.client_address = str(peer[0]) if peer else ""
        reader.on_buffered = self._buffers.update_buffers
        # A response stays here until its client takes it, so the next request waits for that.
        writer.transport.set_write_buffer_limits(0)
        protocol.on_lost = self._handle_disconnect
        if server.listener.leave_on_half_close:
            protocol.on_half_close = self._handle_disconnect

    # State --------------------------------------------------------------------------------------------------

    def _handle_disconnect(self) -> None:
        self.closing = True
        if self.request is not None:
            self._server.counts["clients_left"] += not self.request.finished.done()
            self._server.handle(ev.ClientDisconnected(self.request.request_id))
            self.request.finish()

    def has_disconnected(self) -> bool:
        """Whether the kernel reports that the client has disconnected; if so, its request ends.

        The event loop does not report the disconnect while reading is paused because the client sent too much, and
        reports any other disconnect late while the loop is busy.
        """
        events = DISCONNECTED_EVENTS if self._server.listener.leave_on_half_close else LOST_EVENTS
        disconnected = self.writer.transport.is_closing() or is_ready(self.writer, events)
        if disconnected:
            self._handle_disconnect()
        return disconnected

    @property
    def has_read_ahead(self) -> bool:
        """Whether bytes after the current request were read: they may be another request, which must be answered."""
        return bool(self.http.buffered or self.reader.buffered)

    def close_idle(self) -> bool:
        """Close the connection between two requests; False if the next request may have begun."""
        if self.closing:
            return False
        bytes_read = self.has_partial_request or self.has_read_ahead
        if may_close(self.request is not None, bytes_read, is_ready(self.writer, select.POLLIN)) is not None:
            return False
        self.closing = True
        self._server.counts["connections_closed_idle"] += 1
        self.writer.close()
        return True

    # Requests -----------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            rejection = await self._serve_requests()
            if rejection is not None and self.http.can_respond and not self.closing:
                self.send_local_reply(rejection.status, rejection.reason)
            await self._linger()
        except (ConnectionError, TimeoutError, OSError):
            pass
        finally:
            self.writer.close()
            self._buffers.release(self._protocol)
            interval_s = self._server.upstream.answer_idle_ms / MS_PER_S
            abort_when_stalled(self.writer.transport, self._server.loop, interval_s)

    async def _serve_requests(self) -> ProtocolError | None:
        """Serve requests until none can follow; returns what is wrong with bytes that are not acceptable HTTP."""
        try:
            while not self.closing:
                head = await self._read_head()
                if head is None or self.closing:  # a request received while closing needs no response
                    break
                await self._serve(head)
                if not self._prepare_next_request():
                    break
                if self.has_read_ahead and not await self._wait_for_turn():
                    break
        except ProtocolError as error:  # a copy has no traceback, which refers to all that was read of the request
            return ProtocolError(error.status, error.reason)
        return None

    async def _wait_for_turn(self) -> bool:
        """Let others be served before the next pipelined request; False if that takes too long."""
        began_at = self.waiting_since = now_ms()
        self.has_partial_request = True
        await self._server.pipeline_turns.wait()
        if now_ms() - began_at <= MAX_TURN_WAIT_MS or self.closing:
            return True
        self.end_with_reply(UNAVAILABLE, "overloaded")
        return False

    async def _next_event(self) -> RequestHead | Data | EndOfMessage | ConnectionClosed:
        """The next parsed event of the connection; raises ProtocolError."""
        while True:
            event = self.http.next_event()
            if event is not None:
                return event
            self._buffers.input_processed()
            data = await self.reader.read(READ_BYTES)
            self._received_bytes += len(data)
            if self.request is None and not self.has_partial_request:
                self.has_partial_request, self.waiting_since = True, now_ms()
            self.http.feed(data)
            del data  # it would be held while waiting for more

    async def _read_head(self) -> RequestHead | None:
        self.waiting_since = now_ms()
        self.has_partial_request = bool(self.http.buffered)
        idle_clients = self._server.idle_clients
        if self.has_accepted_request:
            idle_clients[self] = None
        event = await self._next_event()
        idle_clients.pop(self, None)
        return event if isinstance(event, RequestHead) else None

    async def _serve(self, head: RequestHead) -> None:
        """Serve one request until its final response is sent."""
        server = self._server
        self._buffers.head_received(head)
        if self.closing or (server.buffers.exhausted and (head.length or head.chunked or self.has_read_ahead)):
            self.end_with_reply(UNAVAILABLE, "overloaded")
            return
        if head.length is not None and head.length > server.listener.body_bytes:
            self.end_with_reply(CONTENT_TOO_LARGE, "body too large")
            return
        body: RequestBody | None = None
        if head.length or head.chunked:
            body = RequestBody(server.upstream.keep_body_bytes, head.length)
            self._buffers.body_begun(body)
        else:
            self.http.next_event()  # consumes the end of a message without a body
        if server.listener.whole_body:
            if body is not None and not await self._read_complete_body(body):
                return
            # Where bodies are not read whole first, the following bytes may be a long body and must wait.
            self.reader.discard_excess()
        request_id = server.next_request_id()
        request = ClientRequest(request_id, self, body, server.loop.create_future())
        self.request = server.requests[request_id] = request
        try:
            arrived_at = self.reader.arrival_time(self._received_bytes - self.http.buffered)
            server.handle(
                ev.RequestReceived(request_id, head.method, head.target, head.headers, self.client_address, arrived_at)
            )
            await request.finished
            await self._stop_reading_body(request)
            if self._buffers.unsent_bytes and not await self._buffers.flush(
                self._server.upstream.answer_idle_ms / MS_PER_S
            ):
                self.abort()
        finally:
            self.request, self.reader.discards_excess = None, False
            self._buffers.drop_request()
            if request.attempt_task is None and request.upstream is None:
                server.requests.pop(request_id, None)

    @staticmethod
    async def _stop_reading_body(request: ClientRequest) -> None:
        task = request.body_reader
        if task is not None and not task.done():
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    def _prepare_next_request(self) -> bool:
        """Prepare for another request; False if none can follow."""
        closes = (self._server.stopping or self._server.draining) and not self.has_read_ahead
        return not (self.closing or closes or self.reader.has_discarded) and self.http.start_next_request()

    # Bodies -------------------------------------------------------------------------------------------------

    async def _read_complete_body(self, body: RequestBody) -> bool:
        """Read a body to its end before the request goes to the engine; False if there is nothing to serve.

        The server's periodic sweep limits how long this may take.
        """
        self.has_partial_request = True
        if not await self._read_body_to_end(body, unlimited=True):
            self.end_with_reply(CONTENT_TOO_LARGE, "body too large")
        return not self.closing

    async def _read_body_to_end(self, body: RequestBody, unlimited: bool) -> bool:
        """Read a body to its end; False if it is too large.  Raises ProtocolError.

        Unless `unlimited`, reading stays ahead of the attempt's writes by no more than the buffer may hold.
        """
        interim_response = self.http.continue_response()
        if interim_response:
            self.writer.write(interim_response)
        while not body.complete:
            if not unlimited:
                await body.may_read.wait()
            body.add(await self._next_event())  # kept in no variable, which would hold it while waiting for the next
            if body.size > self._server.listener.body_bytes:
                return False
        return True

    async def read_body(self, request: ClientRequest) -> None:
        """Read the body of a request while its attempt writes it."""
        body = request.body
        assert body is not None
        try:
            if not await self._read_body_to_end(body, unlimited=False):
                self.reject_during_body(request, CONTENT_TOO_LARGE, "body too large")
        except ProtocolError as error:
            self.reject_during_body(request, error.status, error.reason)
        except (ConnectionError, OSError):
            self._handle_disconnect()

    def reject_during_body(self, request: ClientRequest, status: int, reason: str) -> None:
        """Reject a request whose body turns out to be invalid; the engine receives ClientDisconnected."""
        self._server.handle(ev.ClientDisconnected(request.request_id))
        if request.streaming:
            self.abort()
        else:
            self.send_local_reply(status, reason)
        request.finish()

    # Responses ----------------------------------------------------------------------------------------------

    def send_response(self, status: int, headers: ev.Headers, body: list[bytes]) -> None:
        """Send a complete response in one write."""
        if self.writer.transport.is_closing() or not self.http.can_respond:
            return
        http = self.http
        try:
            out = [http.encode_head(status, headers), *(http.encode_data(part) for part in body), http.encode_end()]
        except InvalidMessageError:  # the length does not match the body, which must not look complete
            self.abort()
            return
        self.writer.write(b"".join(out))
        self._buffers.output_written()

    def stream(self, data: bytes) -> int:
        """Send a part of a response that is relayed as it comes; returns the bytes that the client has not taken."""
        self.writer.write(data)
        self._buffers.output_written()
        return self._buffers.unsent_bytes

    def response_buffered(self) -> None:
        """Count what is held back of a response."""
        self._buffers.update_buffers()

    def break_off(self) -> None:
        """Break off a response that its client does not read."""
        request = self.request
        if request is not None and not request.finished.done():
            self._server.handle(ev.ClientDisconnected(request.request_id))
            request.finish()
        self.abort()

    def send_local_reply(self, status: int, reason: str) -> None:
        """Send a response that the gateway makes without the engine; the connection closes after it."""
        headers, body = self._server.local_reply(reason)
        self.closing = True
        self.send_response(status, [*headers, CLOSE_HEADER], [body])

    def time_out_request(self) -> None:
        """Answer a client that takes too long to send its request.

        Its remaining bytes are still read: a close with unread bytes resets the connection, which can destroy the
        response.
        """
        self._server.counts["requests_too_slow"] += 1
        self.end_with_reply(REQUEST_TIMEOUT, "head too slow")

    def end_with_reply(self, status: int, reason: str) -> None:
        """Answer an incomplete request and discard the rest of it; `run` closes the connection after lingering."""
        self.send_local_reply(status, reason)
        self._shut_down_writing()
        self.reader.discard_all()

    async def reject(self) -> None:
        """Answer a connection over the limit, and linger: an unread request would turn the close into a reset."""
        self.send_local_reply(UNAVAILABLE, "full house")
        await self._linger(REJECTED_LINGER_MS)
        self.close_rejected()

    def close_rejected(self) -> None:
        """Answer a connection over the limit, if that was not done yet, and close it at once."""
        self.send_local_reply(UNAVAILABLE, "full house")
        self.writer.close()
        self._buffers.release(self._protocol)

    # Close --------------------------------------------------------------------------------------------------

    def abort(self) -> None:
        """Reset the connection, so that the client can tell that its response is incomplete."""
        self.closing = True
        self.writer.transport.abort()

    async def _linger(self, timeout_ms: float = LINGER_MS) -> None:
        """Shut down writing, then read and discard what the client still sends, for a limited time.

        A close with bytes unread or still in transit would reset the connection, which can destroy the response.
        """
        if self.lingering or self.writer.transport.is_closing():
            return
        self.closing = self.lingering = True
        self._shut_down_writing()
        self._buffers.drop_input()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self.reader.discard_until_end(MAX_LINGER_BYTES, self.writer.transport)

    def _shut_down_writing(self) -> None:
        with suppress(OSError, RuntimeError):
            self.writer.write_eof()
