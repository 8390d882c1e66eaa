"""What one client connection holds in memory, reported to the budget of its server."""

from __future__ import annotations

import asyncio

from martenstep.proxy.buffer_budget import BufferBudget, BufferHolder
from martenstep.proxy.client_request import ClientRequest, RequestBody
from martenstep.proxy.http1.message_head import RequestHead
from martenstep.proxy.http1.server_connection import Http1ServerConnection
from martenstep.proxy.transport import WatchedReader

FIELD_BYTES = 256  # memory that one parsed header field takes, with its objects


class ClientBuffers:
    """The buffers of one connection."""

    def __init__(
        self,
        budget: BufferBudget,
        reader: WatchedReader,
        http: Http1ServerConnection,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Nothing is held yet."""
        self._budget = budget
        self._reader, self._http, self._writer = reader, http, writer
        self.head: RequestHead | None = None  # of the request that is being read or served
        self.body: RequestBody | None = None

    @property
    def unsent_bytes(self) -> int:
        """The bytes of responses that the client has not taken yet."""
        return self._writer.transport.get_write_buffer_size()

    def update(self, holder: BufferHolder, request: ClientRequest | None) -> None:
        """Tell the budget how much is held now; `holder` is the connection, `request` the one in flight."""
        held = self._reader.buffered + self._http.buffered + self.unsent_bytes
        if self.head is not None:
            held += FIELD_BYTES * len(self.head.headers)
        if self.body is not None:
            held += len(self.body.buffer)
        if request is not None:
            held += request.response_buffer_bytes
        self._budget.update(holder, held)

    def drop_request(self) -> None:
        """Forget the request that was read or served."""
        self.head = self.body = None

    def release(self, holder: BufferHolder) -> None:
        """Drop everything: the connection is closed."""
        self.drop_request()
        self._reader.release()
        self._budget.update(holder, 0)
