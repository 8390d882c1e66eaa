"""Streams of the standard library that report what happens to their connection, and looks at sockets.

The reader tells at once of the end of its connection and of bytes that nobody asked for, so that no task has to wait on
an idle connection and none is reused after its end has come.
"""

from __future__ import annotations

import asyncio
import select
import socket
import ssl
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

from martenstep.proxy.loop_lag import LoopClock

ConnectionCallback = Callable[[], None]
DataCallback = Callable[[bytes], None]
HandshakeRejected = Callable[[str, str], None]  # whose handshake, and why
ConnectionAccepted = Callable[["WatchedReader", asyncio.StreamWriter, "WatchedProtocol"], None]

LOST_EVENTS = select.POLLHUP | select.POLLERR
DISCONNECTED_EVENTS = LOST_EVENTS | select.POLLRDHUP  # the other side has closed its half, or all
ARRIVAL_MERGE_MS = 10.0  # bytes that come so soon after others count as having come with them
ACCEPT_ARRIVAL_MS = 20.0  # bytes found so soon after a connection was accepted may have come with it
READ_BYTES = 65_536  # of one read, and what a stream buffers before it stops reading


class WatchedReader(asyncio.StreamReader):
    """A stream reader that remembers whether anything came since it was last asked.

    It can hand on what comes at once: a task that waits for it costs more than all that is done with a short response.
    """

    def __init__(self, clock: LoopClock | None = None) -> None:
        """`clock` tells when bytes that the loop hands on now came at the earliest; None: nobody asks."""
        super().__init__(limit=READ_BYTES)
        self._clock = clock
        self._arrivals: deque[tuple[int, float]] = deque()  # bytes up to a count, and when the last of them came
        self._received = 0
        # When the connection was made at the earliest, and when it was accepted.
        self.connect_times: tuple[float, float] | None = None
        self.has_activity = False  # bytes or an end have come
        self.ended = False
        self.on_data: DataCallback | None = None  # takes the bytes in place of the buffer; none at the end
        self.discards_excess = False
        self.has_discarded = False  # bytes were discarded: nothing can follow on this connection

    @property
    def buffered(self) -> int:
        """Bytes that the loop has read and nobody has taken yet."""
        return len(self._buffer)  # type: ignore[attr-defined]  # the standard library tells it nowhere

    def feed_data(self, data: Any) -> None:  # noqa: ANN401  # as the standard library has it  # as the standard library has it
        """Bytes from the transport."""
        self.has_activity = True
        if self._clock is not None:
            self._received += len(data)
            self._record_arrival(self._clock)
        if self.on_data is not None:
            self.on_data(bytes(data))
        else:
            super().feed_data(data)
            if self.discards_excess:
                self.discard_excess()

    def _record_arrival(self, clock: LoopClock) -> None:
        """Keep when the bytes up to here came.

        Those that came soon after others count as having come with them: a client that writes byte by byte must not
        fill the memory.
        """
        at, arrivals = clock.arrived_ms, self._arrivals
        if self.connect_times is not None:
            connected_at, accepted_at = self.connect_times
            if clock.looked_ms - accepted_at < ACCEPT_ARRIVAL_MS:  # they may have come before it was accepted
                at = min(at, connected_at)
            self.connect_times = None
        if arrivals and at - arrivals[-1][1] < ARRIVAL_MERGE_MS:
            at = arrivals.pop()[1]
        arrivals.append((self._received, at))

    def arrival_time(self, byte_count: int) -> float | None:
        """When the last of the first `byte_count` bytes came, at the earliest; None where that is not kept.

        To be asked for in rising order.
        """
        arrivals = self._arrivals
        while len(arrivals) > 1 and arrivals[0][0] < byte_count:
            arrivals.popleft()
        return arrivals[0][1] if arrivals else None

    def discard_excess(self) -> None:
        """From now on, until `discards_excess` is cleared, discard what is more than the buffer holds.

        While a client's request is in flight nobody takes what stands behind it; where reading stopped for that, the
        end of the client's connection would not be noticed, and attempts would be begun for nobody.
        """
        self.discards_excess = True
        if self.buffered > READ_BYTES:
            self.has_discarded = True
            del self._buffer[READ_BYTES:]  # type: ignore[attr-defined]
            self._maybe_resume_transport()  # type: ignore[attr-defined]

    def feed_eof(self) -> None:
        """The other side has closed its half."""
        self.has_activity = True
        super().feed_eof()
        self._end()

    def set_exception(self, exc: Exception) -> None:
        """The connection is lost."""
        self.has_activity = True
        super().set_exception(exc)
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            if self.on_data is not None:
                self.on_data(b"")


class WatchedProtocol(asyncio.StreamReaderProtocol):
    """Tells when the connection is lost, and whether the other side closed only its half."""

    def __init__(self, reader: WatchedReader) -> None:
        """Its bytes go to `reader`."""
        super().__init__(reader)
        self.on_lost: ConnectionCallback | None = None
        self.on_half_close: ConnectionCallback | None = None
        self.secure = False

    def eof_received(self) -> bool:
        """The other side's half is closed; ours stays open, but under TLS, which knows no half."""
        super().eof_received()
        if self.on_half_close is not None:
            self.on_half_close()
        return not self.secure

    def connection_lost(self, exc: Exception | None) -> None:
        """Both halves are closed."""
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()


class ClientProtocol(WatchedProtocol):
    """Of a connection that a client made: hands its streams on."""

    def __init__(self, reader: WatchedReader, accepted: ConnectionAccepted) -> None:
        """`accepted` takes the streams once the connection is made."""
        super().__init__(reader)
        self._client_reader, self._accepted = reader, accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is made."""
        super().connection_made(transport)
        # Not every loop's transports are asyncio's by class: uvloop's only behave alike.
        write_transport = cast(asyncio.WriteTransport, transport)
        disable_nagle(write_transport)
        writer = asyncio.StreamWriter(write_transport, self, self._client_reader, asyncio.get_running_loop())
        self._accepted(self._client_reader, writer, self)


class TlsHandshakeProtocol(asyncio.Protocol):
    """Of a connection that a client made and that TLS must secure first.

    The outcome of the handshake is known here, so that a failed one can be reported.
    """

    def __init__(
        self, protocol: ClientProtocol, context: ssl.SSLContext, timeout_s: float, failed: HandshakeRejected
    ) -> None:
        """`protocol` takes over after the handshake, `failed` is called where there is none."""
        self._protocol, self._context, self._timeout_s, self._failed = protocol, context, timeout_s, failed
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is made; nothing is read before the handshake."""
        plain = cast(asyncio.Transport, transport)
        plain.pause_reading()
        self._task = asyncio.get_running_loop().create_task(self._secure(plain))

    async def _secure(self, plain: asyncio.Transport) -> None:
        peer = plain.get_extra_info("peername")
        try:
            secured = await asyncio.get_running_loop().start_tls(
                plain,
                self._protocol,
                self._context,
                server_side=True,
                ssl_handshake_timeout=self._timeout_s,
            )
        except (ssl.SSLError, OSError, TimeoutError) as error:
            plain.abort()
            reason = getattr(error, "reason", None) or str(error) or "closed"
            self._failed(str(peer[0]) if peer else "", reason)
            return
        if secured is None:  # the connection ended meanwhile
            return
        self._protocol.secure = True
        self._protocol.connection_made(secured)


def disable_nagle(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once: what the kernel held back would be lost with a close that resets.

    The loop does so only for sockets that were made with the protocol's number, which accepted ones have from their
    listener.
    """
    with suppress(OSError):  # it has ended already
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def is_ready(writer: asyncio.StreamWriter, events: int) -> bool:
    """Whether the kernel reports one of `events` (select.POLL...) of a connection now, before the loop has looked."""
    descriptor = writer.get_extra_info("socket").fileno()
    return descriptor < 0 or poll_descriptor(descriptor, events)


def has_pending_connections(listener: socket.socket) -> bool:
    """Whether connections wait in a listener's queue."""
    return listener.fileno() >= 0 and poll_descriptor(listener.fileno(), select.POLLIN)


def poll_descriptor(descriptor: int, events: int) -> bool:
    """Whether the kernel reports one of `events` of a descriptor now."""
    poll = select.poll()
    poll.register(descriptor, events)
    return any(reported & events for _, reported in poll.poll(0))
