"""Connections of the driver: watched streams, and the pool to each server.

Streams of the standard library, but the reader tells at once of the end of its connection and of bytes that nobody
asked for, so that no task has to sit on an idle connection and none is reused after its end has come.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket
import ssl
import struct
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any, cast

from martenstep.proxy.http1.client_connection import Asking
from martenstep.proxy.http1.message_head import Fault

if TYPE_CHECKING:
    from martenstep.proxy.loop_lag import LoopClock

Lost = Callable[[], None]
Refused = Callable[[str, str], None]  # whose handshake, and why
Sink = Callable[[bytes], None]
Accepted = Callable[["WatchedReader", asyncio.StreamWriter, "WatchedProtocol"], None]


GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the other side has closed its half, or all
BROKEN = select.POLLHUP | select.POLLERR
DISCARD = struct.pack("ii", 1, 0)  # SO_LINGER for no time: a close that resets
SAME_ARRIVAL_MS = 10.0
AT_ACCEPT_MS = 20.0  # bytes found so soon after a connection was accepted may have come with it
READ_BYTES = 65536  # of one read, and what a stream buffers before it stops reading


EPOCH_MS = (time.time() - time.monotonic()) * 1000.0  # once: a step of the wall clock must not move what is timed


def now_ms() -> float:
    """The driver's clock: monotonic, and in Unix time as it was at the start.  Doors number the periods of a quota by
    it, so that two machines whose monotonic clocks differ still share their names at the counter."""
    return time.monotonic() * 1000.0 + EPOCH_MS


def wall_clock_ms() -> float:
    """Unix time as it is read now; it may be stepped either way."""
    return time.time() * 1000.0


class WatchedReader(asyncio.StreamReader):
    """A stream reader that remembers whether anything came since it was last asked, and can hand on what comes at
    once: a task that waits for it costs more than all that is done with a short answer."""

    def __init__(self, clock: LoopClock | None = None) -> None:
        """`clock` tells when bytes that the loop hands on now came at the earliest; none: nobody asks."""
        super().__init__(limit=READ_BYTES)
        self._clock = clock
        self._arrivals: deque[tuple[int, float]] = deque()  # bytes in all up to here, and when the last of them came
        self._received = 0
        self.connected: tuple[float, float] | None = None  # when it connected at the earliest, and was accepted
        self.touched = False  # bytes or an end have come
        self.ended = False
        self.sink: Sink | None = None  # takes the bytes in place of the buffer; none at the end
        self.spills = False
        self.spilt = False  # something was thrown away: nothing can follow on this connection

    @property
    def unread(self) -> int:
        """Bytes that the loop has read and nobody has taken yet."""
        return len(self._buffer)  # type: ignore[attr-defined]  # the standard library tells it nowhere

    def feed_data(self, data: Any) -> None:
        """Bytes from the transport."""
        self.touched = True
        if self._clock is not None:
            self._received += len(data)
            self._note_arrival()
        if self.sink is not None:
            self.sink(bytes(data))
        else:
            super().feed_data(data)
            if self.spills:
                self.spill()

    def _note_arrival(self) -> None:
        """Keep when the bytes up to here came.  Those that came soon after others count as having come with them: a
        client that writes byte by byte must not fill the memory."""
        assert self._clock is not None
        at, arrivals = self._clock.arrived_ms, self._arrivals
        if self.connected is not None:
            since, accepted = self.connected
            if self._clock.looked_ms - accepted < AT_ACCEPT_MS:  # they may have come before it was accepted
                at = min(at, since)
            self.connected = None
        if arrivals and at - arrivals[-1][1] < SAME_ARRIVAL_MS:
            at = arrivals.pop()[1]
        arrivals.append((self._received, at))

    def arrival(self, count: int) -> float | None:
        """When the last of the first `count` bytes came, at the earliest; none where that is not kept.  Asked for in
        rising order."""
        arrivals = self._arrivals
        while len(arrivals) > 1 and arrivals[0][0] < count:
            arrivals.popleft()
        return arrivals[0][1] if arrivals else None

    def spill(self) -> None:
        """From now on, until `spills` is taken back, what is more than the buffer holds is thrown away.

        While a client's request is with the door nobody takes what stands behind it; where reading stood still for
        that, the client's going would not be heard, and attempts would be begun for nobody."""
        self.spills = True
        if self.unread > READ_BYTES:
            self.spilt = True
            del self._buffer[READ_BYTES:]  # type: ignore[attr-defined]
            self._maybe_resume_transport()  # type: ignore[attr-defined]

    def feed_eof(self) -> None:
        """The other side has closed its half."""
        self.touched = True
        super().feed_eof()
        self._end()

    def set_exception(self, exc: Exception) -> None:
        """The connection is lost."""
        self.touched = True
        super().set_exception(exc)
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            if self.sink is not None:
                self.sink(b"")


class WatchedProtocol(asyncio.StreamReaderProtocol):
    """Tells when the connection is lost, and whether the other side closed only its half."""

    def __init__(self, reader: WatchedReader) -> None:
        super().__init__(reader)
        self.on_lost: Lost | None = None
        self.on_half_close: Lost | None = None
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


class AcceptingProtocol(WatchedProtocol):
    """Of a connection that a client made: hands its streams on."""

    def __init__(self, reader: WatchedReader, accepted: Accepted) -> None:
        super().__init__(reader)
        self._watched, self._accepted = reader, accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        super().connection_made(transport)
        # Not every loop's transports are asyncio's by class: uvloop's only behave alike.
        made = cast(asyncio.WriteTransport, transport)
        undelayed(made)
        writer = asyncio.StreamWriter(made, self, self._watched, asyncio.get_running_loop())
        self._accepted(self._watched, writer, self)


class SecuringProtocol(asyncio.Protocol):
    """Of a connection that a client made and that TLS must secure first: what comes of the handshake is known here,
    so that a refused one can be told of."""

    def __init__(self, made: AcceptingProtocol, context: ssl.SSLContext, within_s: float, told: Refused) -> None:
        self._made, self._context, self._within, self._told = made, context, within_s, told
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there; nothing is read before the handshake."""
        plain = cast(asyncio.Transport, transport)
        plain.pause_reading()
        self._task = asyncio.get_running_loop().create_task(self._secure(plain))

    async def _secure(self, plain: asyncio.Transport) -> None:
        peer = plain.get_extra_info("peername")
        try:
            secured = await asyncio.get_running_loop().start_tls(
                plain, self._made, self._context, server_side=True, ssl_handshake_timeout=self._within
            )
        except (ssl.SSLError, OSError, TimeoutError) as error:
            plain.abort()
            self._told(str(peer[0]) if peer else "", getattr(error, "reason", None) or str(error) or "closed")
            return
        if secured is None:  # the connection went away meanwhile
            return
        self._made.secure = True
        self._made.connection_made(secured)


def undelayed(transport: asyncio.BaseTransport) -> None:
    """Small writes go out at once: what the kernel held back would be lost with a close that resets.  The loop does so
    only for sockets that were made with the protocol's number, which accepted ones have from their listener."""
    with suppress(OSError):  # it has ended already
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def ready_for(writer: asyncio.StreamWriter, events: int) -> bool:
    """Whether the kernel tells one of `events` (select.POLL...) of a connection now, before the loop has looked."""
    number = writer.get_extra_info("socket").fileno()
    return number < 0 or polled(number, events)


def pending(listener: socket.socket) -> bool:
    """Whether connections stand in a listener's queue."""
    return listener.fileno() >= 0 and polled(listener.fileno(), select.POLLIN)


def polled(number: int, events: int) -> bool:
    """Whether the kernel tells one of `events` of a descriptor now."""
    poll = select.poll()
    poll.register(number, events)
    return any(told & events for _, told in poll.poll(0))


class Upstream:
    """One connection to a server."""

    __slots__ = ("_bounded", "_poll", "address", "idle_since", "made_at", "paused", "reader", "wire", "writer")

    def __init__(self, address: tuple[str, int], reader: WatchedReader, writer: asyncio.StreamWriter) -> None:
        self.address, self.reader, self.writer = address, reader, writer
        self.wire = Asking()
        self.made_at = now_ms()
        self.idle_since = 0.0
        self.paused = False  # reading stands still for a slow client
        self._bounded = False
        self._poll = select.poll()
        self._poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)

    @property
    def sound(self) -> bool:
        """Whether an idle connection may be written to: its end has not come, and nothing unasked."""
        if self.reader.touched or self.writer.transport.is_closing():
            return False
        # What the loop has not read yet counts as well: a second copy of the last answer, still in the kernel, would
        # be taken for the next one's.
        return not self._poll.poll(0)

    def feed(self, data: bytes) -> None:
        """Bytes of an answer, none at the connection's end; raises Fault."""
        if not data and self.reader.exception() is not None:
            # A reset is no end: what came so far of an answer without a length would pass for all of it.
            raise Fault(502, "reset")
        self.wire.feed(data)

    def deliver_within(self, ms: float | None) -> None:
        """The kernel breaks the connection where what is written next is not acknowledged in so many ms (RFC 5482);
        none: as usual."""
        if ms is None and not self._bounded:
            return
        self._bounded = ms is not None
        with suppress(OSError):  # it has ended already
            self.writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(int(ms), 1) if ms is not None else 0
            )

    def abort(self) -> None:
        """Close at once, with a reset (Pool.dial): what is still buffered, here or in the kernel, reaches nobody.

        The transport closes in the next turn of the loop.  Sending is ended here and now: the request's next attempt
        may be written within this turn, and two would be out."""
        transport = self.writer.transport
        if not transport.is_closing() and transport.can_write_eof():
            with suppress(OSError):  # the other side was sooner
                transport.write_eof()
        transport.abort()


class Pool:
    """The connections to all servers: idle ones by address, and how many there are in all."""

    def __init__(
        self,
        bound: int,
        idle_ms: float,
        refused: Refused,
        tls: ssl.SSLContext | None = None,
        server_name: str = "",
        bound_of_all: int = 0,
    ) -> None:
        """`bound` connections to one address, `bound_of_all` together (0: no such bound)."""
        self._bound, self._idle_ms, self._refused = bound, idle_ms, refused
        self._bound_of_all = bound_of_all
        # A connection is not reused so soon after its answer: a second one may come some ms behind, and would be
        # taken for the next request's.
        self.rest_ms = 0.0
        self._tls, self._server_name = tls, server_name
        self._idle: dict[tuple[str, int], list[Upstream]] = {}
        self._count: dict[tuple[str, int], int] = {}
        self._forgotten: dict[tuple[str, int], float] = {}  # when; connections of before are not kept
        self.opened = 0

    @property
    def connections(self) -> int:
        """Connections in use, idle or being made."""
        return sum(self._count.values())

    def take(self, address: tuple[str, int]) -> Upstream | None:
        """An idle connection, the last used first; ended ones are dropped on the way."""
        idle = self._idle.get(address, [])
        rested = now_ms() - self.rest_ms
        for place in reversed(range(len(idle))):
            if idle[place].idle_since > rested:
                continue
            found = idle.pop(place)
            if found.sound:
                return found
            self.drop(found)
        return None

    def reserve(self, address: tuple[str, int]) -> bool:
        """A place for a new connection; False where the bound is reached."""
        if self._count.get(address, 0) >= self._bound:
            idle = self._idle.get(address)  # what is there rests: `take` has found nothing
            if not idle:
                return False
            self.drop(idle.pop(0))
        elif self._bound_of_all and self.connections >= self._bound_of_all and not self._drop_longest_idle():
            return False
        self._count[address] = self._count.get(address, 0) + 1
        return True

    def _drop_longest_idle(self) -> bool:
        """Make room under the bound of all; False where every connection is in use."""
        found = min((idle[0] for idle in self._idle.values() if idle), key=lambda one: one.idle_since, default=None)
        if found is None:
            return False
        self._idle[found.address].remove(found)
        self.drop(found)
        return True

    def forget(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address whose server has gone, and those in use after their answer: another
        may come to it."""
        if address in self._count:
            self._forgotten[address] = now_ms()
        for upstream in self._idle.pop(address, []):
            self.drop(upstream)

    def release(self, address: tuple[str, int]) -> None:
        """Give a place back."""
        left = self._count.get(address, 1) - 1
        if left > 0:
            self._count[address] = left
        else:
            self._count.pop(address, None)
            self._idle.pop(address, None)
            self._forgotten.pop(address, None)

    async def dial(self, address: tuple[str, int]) -> Upstream:
        """Make a connection in a place that is reserved; raises OSError.  Where none is made, the place is given
        back; where TLS refuses the other side, that is told.

        Its close is a reset from the begin, the kernel's as well when the door is killed.  A plain close would go on
        delivering a request that was given up, for minutes where the network lost it: after its final answer, and
        beside its next attempt.
        """
        loop = asyncio.get_running_loop()
        reader = WatchedReader()
        try:
            transport, protocol = await loop.create_connection(
                lambda: WatchedProtocol(reader),
                *address,
                ssl=self._tls,
                server_hostname=(self._server_name or None) if self._tls else None,
            )
        except BaseException as error:
            self.release(address)
            if isinstance(error, ssl.SSLError):
                self._refused(f"{address[0]}:{address[1]}", getattr(error, "verify_message", "") or str(error.reason))
            raise
        sock = transport.get_extra_info("socket")
        with suppress(OSError):  # it has ended already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD)
        undelayed(transport)
        protocol.secure = self._tls is not None
        self.opened += 1
        return Upstream(address, reader, asyncio.StreamWriter(transport, protocol, reader, loop))

    def put(self, upstream: Upstream) -> None:
        """Keep a connection whose answer is whole for the next attempt."""
        unsent = upstream.writer.transport.get_write_buffer_size()  # it was answered before it was all there
        old = upstream.made_at <= self._forgotten.get(upstream.address, -math.inf)
        if not upstream.wire.reusable or upstream.reader.ended or unsent or old:
            self.drop(upstream)
            return
        upstream.reader.touched = False
        upstream.idle_since = now_ms()
        self._idle.setdefault(upstream.address, []).append(upstream)

    def drop(self, upstream: Upstream) -> None:
        """Close a connection and give its place back."""
        upstream.abort()
        self.release(upstream.address)

    def sweep(self) -> None:
        """Close what has been idle for too long, or has ended."""
        now = now_ms()
        for address in list(self._idle):
            keep = []
            for upstream in self._idle[address]:
                if upstream.sound and now - upstream.idle_since < self._idle_ms:
                    keep.append(upstream)
                else:
                    self.drop(upstream)
            if keep and address in self._idle:
                self._idle[address] = keep
            else:
                self._idle.pop(address, None)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in list(self._idle.values()):
            for upstream in list(idle):
                self.drop(upstream)
        self._idle.clear()
