"""One client's connection: reads requests in turn, and writes their responses."""

from __future__ import annotations

import asyncio
import math
import select
from contextlib import suppress
from typing import Protocol

from martenstep.proxy import engine_messages as ev
from martenstep.proxy.client_request import ClientRequest, RequestBody
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.dependencies import ListenerLimits, UpstreamLimits
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
    is_ready,
)

MAX_LINGER_BYTES = 262_144  # of an unread body that are read and discarded, so that a reset does not eat the response
LINGER_MS = 1000.0
REJECTED_LINGER_MS = 300.0  # a connection beyond the limit has this long to take its response
REQUEST_TIMEOUT, CONTENT_TOO_LARGE, UNAVAILABLE = 408, 413, 503
CLOSE_HEADER = (b"connection", b"close")


class ConnectionOwner(Protocol):
    """What a client's connection needs of its server."""

    loop: asyncio.AbstractEventLoop
    listener: ListenerLimits
    upstream: UpstreamLimits
    counts: dict[str, int]
    requests: dict[int, ClientRequest]
    idle_clients: dict[ClientConnection, None]
    draining: bool
    stopping: bool

    def handle(self, event: ev.Event) -> None:
        """Hand an event to the engine, and carry out its actions."""

    def next_request_id(self) -> int:
        """A number for the next request."""

    def local_reply(self, reason: str) -> tuple[ev.Headers, bytes]:
        """Headers and body of a response to what is no request of the engine's."""


class ClientConnection:
    """The connection of one client."""

    def __init__(
        self,
        server: ConnectionOwner,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        protocol: WatchedProtocol,
    ) -> None:
        """`protocol` reports the connection's end."""
        self._server, self.reader, self.writer = server, reader, writer
        self.http = Http1ServerConnection(server.listener.head_bytes)
        self.request: ClientRequest | None = None
        self.waiting_since = now_ms()  # for a head
        self.has_partial_request = False  # a head has begun to come
        self.closing = False
        self.is_established = False  # a request of it passed the gateway's own checks
        self._received = 0  # bytes taken from the reader
        self.lingering = False  # the gateway's half is closed: what still comes is discarded
        peer = writer.get_extra_info("peername")
        self.client_address = str(peer[0]) if peer else ""
        protocol.on_lost = self._disconnected
        if server.listener.leave_on_half_close:
            protocol.on_half_close = self._disconnected

    # State --------------------------------------------------------------------------------------------------

    def _disconnected(self) -> None:
        self.closing = True
        if self.request is not None:
            self._server.counts["clients_left"] += not self.request.finished.done()
            self._server.handle(ev.ClientDisconnected(self.request.request_id))
            self.request.finish()

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, by the kernel's word; its request ends then.

        Of a client that sent so much that reading is paused the event loop never learns, and of any other a busy loop
        learns late.
        """
        events = DISCONNECTED_EVENTS if self._server.listener.leave_on_half_close else LOST_EVENTS
        disconnected = self.writer.transport.is_closing() or is_ready(self.writer, events)
        if disconnected:
            self._disconnected()
        return disconnected

    @property
    def has_read_ahead(self) -> bool:
        """Whether bytes have been read behind the present request: they may be a request that is owed its response."""
        return bool(self.http.buffered or self.reader.buffered)

    def close_idle(self) -> bool:
        """Close a connection between two requests; False where one may have begun."""
        if self.closing:
            return False
        bytes_read = self.has_partial_request or bool(self.reader.buffered)
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
            while not self.closing:
                head = await self._read_head()
                if head is None or self.closing:  # it came as the gateway closed: no response is owed
                    await self._linger()
                    break
                await self._serve(head)
                if not await self._continues():
                    break
        except ProtocolError as error:
            if self.http.can_respond and not self.closing:
                self.send_local_reply(error.status, error.reason)
            await self._linger()
        except (ConnectionError, TimeoutError, OSError):
            pass
        finally:
            self.writer.close()
            self._abort_stalled(math.inf)

    def _abort_stalled(self, unsent_before: float) -> None:
        """Cut off a closed connection whose client has stopped taking what is still to be written.

        It would hold its descriptor for ever.
        """
        transport = self.writer.transport
        unsent = transport.get_write_buffer_size()
        if unsent >= unsent_before:
            transport.abort()
        elif unsent:
            delay_s = self._server.upstream.answer_idle_ms / MS_PER_S
            self._server.loop.call_later(delay_s, self._abort_stalled, unsent)

    async def _next_event(self) -> RequestHead | Data | EndOfMessage | ConnectionClosed:
        """The next event of the client's bytes; raises ProtocolError."""
        while True:
            event = self.http.next_event()
            if event is not None:
                return event
            data = await self.reader.read(READ_BYTES)
            self._received += len(data)
            if self.request is None and not self.has_partial_request:
                self.has_partial_request, self.waiting_since = True, now_ms()
            self.http.feed(data)

    async def _read_head(self) -> RequestHead | None:
        self.waiting_since = now_ms()
        self.has_partial_request = bool(self.http.buffered)
        idle_clients = self._server.idle_clients
        if self.is_established:
            idle_clients[self] = None
        event = await self._next_event()
        idle_clients.pop(self, None)
        return event if isinstance(event, RequestHead) else None

    async def _serve(self, head: RequestHead) -> None:
        """Carry one request to its final response."""
        server = self._server
        if head.length is not None and head.length > server.listener.body_bytes:
            await self._reject_body()
            return
        body: RequestBody | None = None
        if head.length or head.chunked:
            body = RequestBody(server.upstream.keep_body_bytes, head.length)
        else:
            self.http.next_event()  # the end of a message without a body
        if server.listener.whole_body:
            if body is not None and not await self._read_complete_body(body):
                return
            self.reader.discard_excess()  # elsewhere what stands behind may be long, and waits
        request_id = server.next_request_id()
        request = ClientRequest(request_id, self, body, server.loop.create_future())
        self.request = server.requests[request_id] = request
        try:
            arrived_at = self.reader.arrival_time(self._received - self.http.buffered)
            server.handle(
                ev.RequestReceived(request_id, head.method, head.target, head.headers, self.client_address, arrived_at)
            )
            await request.finished
            await self._stop_reading_body(request)
            await self._drain()
        finally:
            self.request, self.reader.discards_excess = None, False
            if request.attempt_task is None and request.upstream is None:
                server.requests.pop(request_id, None)

    @staticmethod
    async def _stop_reading_body(request: ClientRequest) -> None:
        task = request.body_reader
        if task is not None and not task.done():
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def _drain(self) -> None:
        """Wait until the client has taken its response.

        A client that stops taking it is cut off: its connection would hold a place, and the end of the gateway, for
        ever.
        """
        transport = self.writer.transport
        while not transport.is_closing():
            unsent = transport.get_write_buffer_size()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._server.upstream.answer_idle_ms / MS_PER_S):
                    await self.writer.drain()
                return
            if transport.get_write_buffer_size() >= unsent:
                self.abort()

    async def _continues(self) -> bool:
        """Whether another request can follow on this connection; else it has been closed."""
        closes = (self._server.stopping or self._server.draining) and not self.has_read_ahead
        if not (self.closing or closes or self.reader.has_discarded) and self.http.start_next_request():
            return True
        await self._linger()
        return False

    # Bodies -------------------------------------------------------------------------------------------------

    async def _reject_body(self) -> None:
        self.send_local_reply(CONTENT_TOO_LARGE, "body too large")
        await self._linger()

    async def _read_complete_body(self, body: RequestBody) -> bool:
        """Read a body to its end before the engine learns of its request; False where nothing is to be served.

        The sweep limits how long it takes.
        """
        self.has_partial_request = True
        if not await self._read_to_end(body, unlimited=True):
            await self._reject_body()
            return False
        return not self.closing

    async def _read_to_end(self, body: RequestBody, unlimited: bool) -> bool:
        """Read a body to its end, no further ahead of its attempt than may be buffered unless `unlimited`.

        False where it is too large.  Raises ProtocolError.
        """
        interim_response = self.http.continue_response()
        if interim_response:
            self.writer.write(interim_response)
        while not body.complete:
            if not unlimited:
                await body.may_read.wait()
            event = await self._next_event()
            if isinstance(event, Data):
                body.append(event.data)
                if body.size > self._server.listener.body_bytes:
                    return False
            elif isinstance(event, EndOfMessage):
                body.finish()
        return True

    async def read_body(self, request: ClientRequest) -> None:
        """Read a request's body as its attempt writes it."""
        body = request.body
        assert body is not None
        try:
            if not await self._read_to_end(body, unlimited=False):
                self._reject_begun(request, CONTENT_TOO_LARGE, "body too large")
        except ProtocolError as error:
            self._reject_begun(request, error.status, error.reason)
        except (ConnectionError, OSError):
            self._disconnected()

    def _reject_begun(self, request: ClientRequest, status: int, reason: str) -> None:
        """The body is at fault, though the request is on its way: for the engine its client has disconnected."""
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
        except InvalidMessageError:  # a length that does not fit what came: it must not pass for complete
            self.abort()
            return
        self.writer.write(b"".join(out))

    def send_local_reply(self, status: int, reason: str) -> None:
        """Send a response of the gateway's own outside the engine; the connection closes after it."""
        headers, body = self._server.local_reply(reason)
        self.closing = True
        self.send_response(status, [*headers, CLOSE_HEADER], [body])

    def time_out_request(self) -> None:
        """Answer a client that takes too long over its request.

        What still comes of it is read: a close over it would reset the connection, and the response with it.
        """
        self._server.counts["requests_too_slow"] += 1
        self.send_local_reply(REQUEST_TIMEOUT, "head too slow")
        self._close_half()  # `run` still reads, and lingers
        self._server.loop.call_later(LINGER_MS / MS_PER_S, self.writer.close)

    async def reject(self) -> None:
        """Answer a connection beyond the limit.  A request that comes must not turn the close into a reset."""
        self.send_local_reply(UNAVAILABLE, "full house")
        await self._linger(REJECTED_LINGER_MS)
        self.writer.close()

    # Close --------------------------------------------------------------------------------------------------

    def abort(self) -> None:
        """Reset the connection, so that the client sees that its response is not complete."""
        self.closing = True
        self.writer.transport.abort()

    async def _linger(self, timeout_ms: float = LINGER_MS) -> None:
        """Close the gateway's half, and read on for a while what the client still writes.

        Closing over what is unread, or on its way, would reset the connection, and the response with it.
        """
        if self.lingering or self.writer.transport.is_closing():
            return
        self.closing = self.lingering = True
        self._close_half()
        read_bytes = 0
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                while read_bytes < MAX_LINGER_BYTES:
                    data = await self.reader.read(READ_BYTES)
                    if not data:
                        break
                    read_bytes += len(data)

    def _close_half(self) -> None:
        with suppress(OSError, RuntimeError):
            self.writer.write_eof()
