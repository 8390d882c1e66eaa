"""What one client connection holds in memory: reported to the budget of its server, and given up at its request."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from martenstep.proxy.buffer_budget import BufferBudget
from martenstep.proxy.client_request import RequestBody
from martenstep.proxy.http1.message_head import RequestHead
from martenstep.proxy.http1.server_connection import Http1ServerConnection
from martenstep.proxy.transport import MIN_REPORTED_BYTES, WatchedProtocol, WatchedReader

if TYPE_CHECKING:
    from martenstep.proxy.client_connection import ClientConnection

FIELD_BYTES = 256  # memory that one parsed header field takes, with its objects
MIN_REPORTED_FIELDS = 24  # fewer are part of what each connection takes
UNAVAILABLE = 503


class ClientBuffers:
    """The buffers of one connection.

    Less than MIN_REPORTED_BYTES is not reported: it is part of what each connection takes, and most requests are small.
    """

    __slots__ = ("_body", "_budget", "_client", "_head", "_http", "_reader", "_reported_bytes", "_writer")

    def __init__(
        self,
        client: ClientConnection,
        budget: BufferBudget,
        reader: WatchedReader,
        http: Http1ServerConnection,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Nothing is held yet."""
        self._client: ClientConnection | None = client  # None once the connection is released
        self._budget = budget
        self._reader, self._http, self._writer = reader, http, writer
        self._head: RequestHead | None = None  # of the request that is being read or served
        self._body: RequestBody | None = None
        self._reported_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """The bytes of responses that the client has not taken yet."""
        return self._writer.transport.get_write_buffer_size()

    # Report -------------------------------------------------------------------------------------------------

    def update_buffers(self) -> None:
        """Tell the budget how much is held now."""
        held = self._reader.buffered + self._http.buffered + self.unsent_bytes
        if self._head is not None:
            held += FIELD_BYTES * len(self._head.headers)
        if self._body is not None:
            held += len(self._body.buffer)
        if self._client is not None and self._client.request is not None:
            held += self._client.request.response_buffer_bytes
        self._report(held if held >= MIN_REPORTED_BYTES else 0)

    def _report(self, held_bytes: int) -> None:
        if held_bytes != self._reported_bytes:
            self._reported_bytes = held_bytes
            self._budget.update(self, held_bytes)

    def head_received(self, head: RequestHead) -> None:
        """Count the head of a request until `drop_request`."""
        self._head = head
        if self._reported_bytes or len(head.headers) >= MIN_REPORTED_FIELDS:
            self.update_buffers()

    def body_begun(self, body: RequestBody) -> None:
        """Count the body of that request as well."""
        self._body = body

    def input_processed(self) -> None:
        """Count what was received of an incomplete message, if it is much."""
        held = self._http.buffered + (len(self._body.buffer) if self._body is not None else 0)
        if self._reported_bytes or held >= MIN_REPORTED_BYTES:
            self.update_buffers()

    def output_written(self) -> None:
        """Count what the client has not taken yet, if it is much."""
        if self._reported_bytes or self.unsent_bytes >= MIN_REPORTED_BYTES:
            self.update_buffers()

    async def flush(self, interval_s: float) -> bool:
        """Wait until the client has taken its response; False if it has taken nothing for `interval_s`.

        Such a client would hold a slot, and delay the gateway's shutdown, for ever.
        """
        transport = self._writer.transport
        while not transport.is_closing():
            unsent = self.unsent_bytes
            with suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._writer.drain()
                return True
            if self.unsent_bytes >= unsent:
                return False
        return True

    # Release ------------------------------------------------------------------------------------------------

    def drop_request(self) -> None:
        """Forget the request that was read or served."""
        self._head = self._body = None
        if self._reported_bytes:
            self.update_buffers()

    def drop_input(self) -> None:
        """Free what was received: nothing of it is processed any more."""
        if self._body is not None:
            self._body.release()
        self._http.discard_input()
        self.drop_request()

    def release(self, protocol: WatchedProtocol) -> None:
        """Drop everything: the connection is closed.  What is still to be sent counts until the transport is lost."""
        self.drop_input()
        self._reader.release()
        self._client = None
        self.update_buffers()
        protocol.release()
        if self._reported_bytes:
            protocol.on_lost = lambda: self._transport_lost(protocol)

    def _transport_lost(self, protocol: WatchedProtocol) -> None:
        protocol.release()
        self._report(0)

    # Shed ---------------------------------------------------------------------------------------------------

    def shed_buffers(self) -> bool:
        """Give up an incomplete request, with status 503, or a response that its client does not read."""
        client = self._client
        if client is None:
            self._writer.transport.abort()
            self._report(0)
            return True
        request = client.request
        if self.unsent_bytes >= MIN_REPORTED_BYTES or (request is not None and request.streaming and self.unsent_bytes):
            client.break_off()
        elif client.closing or (request is not None and (request.body is None or request.body.complete)):
            return self._shed_read_ahead()
        elif request is not None:
            client.reject_during_body(request, UNAVAILABLE, "overloaded")
            self._reader.discard_all()
        else:
            client.end_with_reply(UNAVAILABLE, "overloaded")
        self.drop_input()
        return True

    def _shed_read_ahead(self) -> bool:
        """Discard what was read behind a complete request; the connection closes after its response."""
        if not self._reader.buffered and not self._http.buffered:
            return False
        self._reader.discard_all()
        self._http.discard_input()
        self.update_buffers()
        return True
