"""Subclasses of asyncio's streams that report what happens to their connection, and polls of single sockets.

The reader reports the end of its connection and unsolicited bytes at once.  No task has to wait on an idle connection
for that, and no connection is reused after its end was received.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket
import sys
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any, cast

from martenstep.proxy.loop_lag import LoopClock

if TYPE_CHECKING:  # a gateway without TLS does not load it
    import ssl

ConnectionCallback = Callable[[], None]
DataCallback = Callable[[bytes], None]
HandshakeRejected = Callable[[str, str], None]  # the address of the other side, and the reason
ConnectionAccepted = Callable[["WatchedReader", asyncio.StreamWriter, "WatchedProtocol"], None]

LOST_EVENTS = select.POLLHUP | select.POLLERR
DISCONNECTED_EVENTS = LOST_EVENTS | select.POLLRDHUP  # the other side has shut down writing or closed
ARRIVAL_MERGE_MS = 10.0  # bytes that arrive this soon after others share their arrival time
# Polls of the event loop from the accept to the first that includes the connection: it is registered in between.
POLLS_TO_FIRST = 2
END_POLL_S = 0.05  # between two looks for the end of a connection that is not read
READ_BYTES = 65_536  # the size of one read, and the bytes that a stream buffers before it pauses reading
MIN_REPORTED_BYTES = 4096  # that a reader holds before it calls `on_buffered`


class WatchedReader(asyncio.StreamReader):
    """A stream reader that records whether anything was received since `has_activity` was last cleared.

    It can pass received bytes directly to a callback: waking a task costs more than processing a short response.
    """

    def __init__(self, clock: LoopClock | None = None) -> None:
        """`clock` gives the earliest arrival time of the bytes that the event loop reads; None: no times are kept."""
        super().__init__(limit=READ_BYTES)
        self._clock = clock
        self._arrivals: list[tuple[int, float]] = []  # a byte count, and when the last of these bytes arrived
        self._received = 0
        self._connected_since: float | None = None  # until the first bytes were read
        self._first_poll = 0  # the number of the first poll that includes the connection
        self.has_activity = False  # bytes or the end of the connection were received
        self.ended = False
        self.on_data: DataCallback | None = None  # receives the bytes instead of the buffer; empty bytes at the end
        self.on_buffered: ConnectionCallback | None = (
            None  # called after bytes were added to a buffer that is not small
        )
        self.discards_excess = False
        self.has_discarded = False  # bytes were discarded, so no further request can be read from this connection

    def accepted(self, clock: LoopClock, connected_since: float) -> None:
        """Record that the connection was accepted; it was established at `connected_since` at the earliest."""
        self._connected_since, self._first_poll = connected_since, clock.poll_count + POLLS_TO_FIRST

    @property
    def buffered(self) -> int:
        """The number of bytes that the event loop has read and that are not consumed yet."""
        return len(self._buffer)  # type: ignore[attr-defined]  # the standard library has no public name for it

    def feed_data(self, data: Any) -> None:  # noqa: ANN401  # the signature of the base class
        """Accept bytes from the transport."""
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
            if self.on_buffered is not None and self.buffered >= MIN_REPORTED_BYTES:
                self.on_buffered()

    def _record_arrival(self, clock: LoopClock) -> None:
        """Record when the bytes received so far arrived.

        Bytes that arrive soon after others share their arrival time, so that a client that writes byte by byte cannot
        fill the memory.
        """
        at, arrivals = clock.earliest_arrival_ms, self._arrivals
        if self._connected_since is not None:
            # The first poll that includes the connection finds what arrived before, unless it had to wait for it.
            if clock.poll_count <= self._first_poll and at < clock.last_poll_ms:
                at = min(at, self._connected_since)
            self._connected_since = None
        if arrivals and at - arrivals[-1][1] < ARRIVAL_MERGE_MS:
            at = arrivals.pop()[1]
        arrivals.append((self._received, at))

    def arrival_time(self, byte_count: int) -> float | None:
        """The earliest time at which the last of the first `byte_count` bytes arrived; None if no times are kept.

        Calls must be made with rising counts.
        """
        arrivals = self._arrivals
        while len(arrivals) > 1 and arrivals[0][0] < byte_count:
            del arrivals[0]
        return arrivals[0][1] if arrivals else None

    def discard_excess(self) -> None:
        """Discard bytes that exceed the buffer's limit, now and until `discards_excess` is cleared.

        While a client's request is in flight, the bytes after it are not consumed.  If a full buffer paused reading,
        the end of the client's connection would go unnoticed, and attempts would be made for a client that has gone.
        """
        self.discards_excess = True
        if self.buffered > READ_BYTES:
            self.has_discarded = True
            del self._buffer[READ_BYTES:]  # type: ignore[attr-defined]
            self._maybe_resume_transport()  # type: ignore[attr-defined]

    def discard_all(self) -> None:
        """Discard what is buffered and all that is still received; a task that waits for bytes reads none."""
        self.has_discarded = True
        self.on_data = lambda data: None
        self._buffer.clear()  # type: ignore[attr-defined]
        self._maybe_resume_transport()  # type: ignore[attr-defined]
        self._wakeup_waiter()  # type: ignore[attr-defined]

    async def discard_until_end(self, max_bytes: int, transport: asyncio.BaseTransport) -> None:
        """Discard what is received until the other side has ended.

        After `max_bytes` nothing more is read, and the kernel is asked at intervals for the end of the connection.
        """
        self.discard_all()
        changed, received, finished = asyncio.Event(), 0, False

        def count(data: bytes) -> None:
            nonlocal received, finished
            received += len(data)
            if not data:
                finished = True
                changed.set()
            elif received > max_bytes and not transport.is_closing():
                cast(asyncio.ReadTransport, transport).pause_reading()
                changed.set()

        self.on_data = count
        descriptor = transport.get_extra_info("socket").fileno()
        if not (self.ended or transport.is_closing()):
            await changed.wait()
        while not (self.ended or transport.is_closing() or finished):
            if poll_descriptor(descriptor, DISCONNECTED_EVENTS):
                return
            await asyncio.sleep(END_POLL_S)

    def release(self) -> None:
        """Drop the buffer and all callbacks of a connection that is closed.

        The exception of a connection that was reset refers through its traceback to the tasks that received it, and
        these to this reader: without the cycle the memory is free at once.
        """
        self._buffer.clear()  # type: ignore[attr-defined]
        self._arrivals.clear()
        self.on_data = self.on_buffered = None
        error = self.exception()
        if error is not None:
            error.__traceback__ = None

    def feed_eof(self) -> None:
        """Record that the other side has shut down writing."""
        self.has_activity = True
        super().feed_eof()
        self._end()

    def set_exception(self, exc: Exception) -> None:
        """Record that the connection is lost."""
        self.has_activity = True
        super().set_exception(exc)
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            if self.on_data is not None:
                self.on_data(b"")


def make_receive_buffer() -> memoryview:
    """Make a buffer that the connections of one event loop may share: what is read into it is copied at once."""
    return memoryview(bytearray(READ_BYTES))


class WatchedProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Reports the loss of the connection, and a half-close by the other side.

    The event loop reads into a buffer that connections share.  Otherwise it would allocate the size of a whole read
    each time, which the allocator can only take from the top of its memory while small blocks lie in between.
    """

    def __init__(self, reader: WatchedReader, receive_buffer: memoryview | None = None) -> None:
        """Received bytes go to `reader`, through `receive_buffer`, or through one of the connection's own."""
        super().__init__(reader)
        self._watched_reader = reader
        self._receive_buffer = receive_buffer if receive_buffer is not None else make_receive_buffer()
        self.on_lost: ConnectionCallback | None = None
        self.on_half_close: ConnectionCallback | None = None
        self.secure = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self._watched_reader.feed_data(self._receive_buffer[:nbytes])

    def release(self) -> None:
        """Drop the callbacks of a connection that is closed."""
        self.on_lost = self.on_half_close = None

    def eof_received(self) -> bool:
        """Handle a half-close by the other side: our half stays open, except under TLS, which has no half-close."""
        super().eof_received()
        if self.on_half_close is not None:
            self.on_half_close()
        return not self.secure

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection in both directions."""
        release_transport(self._transport)  # type: ignore[attr-defined]  # the base class has no public name for it
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()


class ClientProtocol(WatchedProtocol):
    """The protocol of an accepted connection: passes its streams on once the connection is ready."""

    def __init__(self, reader: WatchedReader, accepted: ConnectionAccepted, receive_buffer: memoryview) -> None:
        """`accepted` receives the streams once the connection is ready."""
        super().__init__(reader, receive_buffer)
        self._client_reader, self._accepted = reader, accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Create the streams and pass them on."""
        super().connection_made(transport)
        # uvloop's transports behave like asyncio's but do not inherit from them.
        write_transport = cast(asyncio.WriteTransport, transport)
        disable_nagle(write_transport)
        writer = asyncio.StreamWriter(write_transport, self, self._client_reader, asyncio.get_running_loop())
        self._accepted(self._client_reader, writer, self)


class TlsHandshakeProtocol(asyncio.Protocol):
    """The protocol of an accepted connection until its TLS handshake has finished.

    It performs the handshake itself, so that a failure can be reported.
    """

    def __init__(
        self, protocol: ClientProtocol, context: ssl.SSLContext, timeout_s: float, failed: HandshakeRejected
    ) -> None:
        """`protocol` takes over after the handshake; `failed` is called if the handshake fails."""
        self._protocol, self._context, self._timeout_s, self._failed = protocol, context, timeout_s, failed
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake; nothing is read before it."""
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
        except (OSError, TimeoutError) as error:  # an error of TLS is an OSError
            plain.abort()
            reason = getattr(error, "reason", None) or str(error) or "closed"
            self._failed(str(peer[0]) if peer else "", reason)
            return
        if secured is None:  # the connection ended during the handshake
            return
        self._protocol.secure = True
        self._protocol.connection_made(secured)


def disable_nagle(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once: bytes that Nagle's algorithm holds back would be lost with a close that resets.

    The event loop does so only for sockets that were created with an explicit protocol number, which accepted sockets
    inherit from their listener.
    """
    with suppress(OSError):  # the connection has ended already
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def release_transport(transport: asyncio.BaseTransport | None) -> None:
    """Break the reference of a lost connection's transport to itself, so that its memory is free at once.

    The standard library's keeps a bound method of its own as the callback for readiness; uvloop's has none.
    """
    if transport is not None and hasattr(transport, "_read_ready_cb"):
        transport._read_ready_cb = None


def is_tls_error(error: BaseException) -> bool:
    """Whether a connection failed by its TLS; a process that uses none has not loaded the module."""
    module = sys.modules.get("ssl")
    return module is not None and isinstance(error, module.SSLError)


def abort_when_stalled(
    transport: asyncio.WriteTransport,
    loop: asyncio.AbstractEventLoop,
    interval_s: float,
    unsent_before: float = math.inf,
) -> None:
    """Abort a closed connection whose other side has stopped reading what is still to be written.

    The connection would otherwise hold its descriptor for ever.  It is looked at every `interval_s`.
    """
    unsent = transport.get_write_buffer_size()
    if unsent >= unsent_before:
        transport.abort()
    elif unsent:
        loop.call_later(interval_s, abort_when_stalled, transport, loop, interval_s, unsent)


def is_ready(writer: asyncio.StreamWriter, events: int) -> bool:
    """Whether the kernel reports one of `events` (select.POLL*) now, which the event loop may not have seen yet."""
    descriptor = writer.get_extra_info("socket").fileno()
    return descriptor < 0 or poll_descriptor(descriptor, events)


def has_pending_connections(listener: socket.socket) -> bool:
    """Whether connections wait in the accept queue of a listener."""
    return listener.fileno() >= 0 and poll_descriptor(listener.fileno(), select.POLLIN)


def poll_descriptor(descriptor: int, events: int) -> bool:
    """Whether the kernel now reports one of `events` for a descriptor."""
    poll = select.poll()
    poll.register(descriptor, events)
    return any(reported & events for _, reported in poll.poll(0))
