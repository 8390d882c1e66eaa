"""Binds the engine to sockets.

One coroutine a client connection reads requests in turn; answers of servers are handed on as their bytes come, and
only dialling, long bodies and slow clients take tasks of their own.  Whatever is to be decided goes to the engine as
an event, and what it answers is done here and now: between the engine's word and the bytes there is no await, so that
nothing is written for an attempt that was given up.

Bodies are read from the client only once an attempt wants them, and only so far ahead as is kept for a further
attempt; an answer is held back until it is whole or outgrows the stated bound, so that a broken one can still be
replaced by another attempt's.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from martenstep.event_log import EventLog
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.clock_step_detector import StepWatch
from martenstep.proxy.dependencies import ListenerLimits, UpstreamLimits
from martenstep.proxy.engine import Engine
from martenstep.proxy.engine_messages import AttemptFailure
from martenstep.proxy.http1.message_head import AnswerHead, Fault, RequestHead
from martenstep.proxy.http1.message_reader import Data, End
from martenstep.proxy.http1.message_writer import UnwritableError
from martenstep.proxy.http1.server_connection import Answering
from martenstep.proxy.listener import BACKLOG, Listener
from martenstep.proxy.loop_lag import ClockNow, LoopClock
from martenstep.proxy.permission import may_close
from martenstep.proxy.transport import (
    BROKEN,
    GONE,
    READ_BYTES,
    AcceptingProtocol,
    Pool,
    SecuringProtocol,
    Upstream,
    WatchedProtocol,
    WatchedReader,
    now_ms,
    ready_for,
)
from martenstep.tasks import standing

if TYPE_CHECKING:  # loaded where the settings name them
    from martenstep.config.tls import ClientContext, ServerContext
    from martenstep.proxy.auth_requests import Checks
    from martenstep.proxy.traces import Trace

YOUNG_MS = 300.0  # a new connection is not closed for room: its first request may be on its way, and would be lost
SWEEP_MS = 250.0  # how often idle and stalled connections are looked for
PASS_BYTES = 65536  # of an answer that a slow client has not taken yet, before its server is read no further
LINGER_BYTES = 262144  # of an unread body that are read and thrown away, so that a reset does not eat the answer
LINGER_MS = 1000.0
STEP_LOOK_MS = 20.0  # between two looks for a step of the wall clock, well within STEP_SEEN_MS of quota.py
BEHIND_STEP_S = 0.002  # between two looks at whether the list of servers is up to date
QUEUE_MS = 100.0  # and in this time the queue is emptied before the listener closes
END_MS = 150.0  # at its end: clients that were told to go close their connections in this time
TURNED_AWAY_MS = 300.0  # whoever finds a full house has this long to take the answer, ...
TURNED_AWAY = 8  # ... and so many at once: each holds a descriptor beyond the bound
WEIGHED = (429, 502, 503, 504)  # answers of the door's own to requests that it took; others are faults of the client's


class Body:
    """A request's body: what is kept of it for a further attempt, and where the present attempt is."""

    __slots__ = ("_bound", "base", "complete", "kept", "length", "pos", "room", "size", "wake")

    def __init__(self, bound: int, length: int | None) -> None:
        self._bound = max(bound, 1)
        self.length = length  # as the head told; None: chunked
        self.kept = bytearray()
        self.base = 0  # bytes before those that are kept
        self.size = 0  # bytes read so far
        self.pos = 0  # bytes that the present attempt has written
        self.complete = False
        self.wake = asyncio.Event()  # more has come, or the end
        self.room = asyncio.Event()  # more may be read
        self.room.set()

    def put(self, data: bytes) -> None:
        """Bytes from the client."""
        self.kept += data
        self.size += len(data)
        self.wake.set()
        if self.size - self.base > self._bound:
            self.room.clear()

    def take(self) -> bytes:
        """What the present attempt has not written yet."""
        data = bytes(self.kept[self.pos - self.base :])
        self.pos = self.size
        return data

    def trim(self) -> bool:
        """Let go of what has been written, where more must be read than is kept; True the first time."""
        if self.room.is_set():
            return False
        first = self.base == 0
        del self.kept[: self.pos - self.base]
        self.base = self.pos
        if self.size - self.base <= self._bound:
            self.room.set()
        return first

    def rewind(self) -> None:
        """A further attempt begins at the start."""
        self.pos = self.base


class Flight:
    """One client request on its way."""

    __slots__ = (
        "answer_bytes",
        "body",
        "client",
        "done",
        "held",
        "held_bytes",
        "number",
        "passing",
        "progress",
        "promised",
        "pump",
        "task",
        "ticket",
        "upstream",
        "withheld",
    )

    def __init__(self, ticket: int, client: Client, body: Body | None, done: asyncio.Future[None]) -> None:
        self.ticket, self.client, self.body, self.done = ticket, client, body, done
        self.number = 0  # of the present attempt
        self.task: asyncio.Task[None] | None = None  # that dials or writes for it
        self.pump: asyncio.Task[None] | None = None  # reads the client's body
        self.upstream: Upstream | None = None
        self.held: list[bytes] = []  # of the answer, not passed on yet
        self.held_bytes = 0
        self.answer_bytes = 0  # come so far of the present attempt's
        self.passing = False  # the answer has begun to go to the client
        self.progress = 0.0  # when a begun answer last moved
        self.promised: asyncio.Future[bool] | None = None  # its try is not in the book yet
        self.withheld: list[tuple[Upstream, bytes]] = []  # what came of answers meanwhile

    def finish(self) -> None:
        """The client has its answer, or can get none any more."""
        if not self.done.done():
            self.done.set_result(None)


class Client:
    """One client connection."""

    def __init__(
        self, driver: Driver, reader: WatchedReader, writer: asyncio.StreamWriter, protocol: WatchedProtocol
    ) -> None:
        self._driver, self.reader, self.writer = driver, reader, writer
        self.wire = Answering(driver.listener.head_bytes)
        self.flight: Flight | None = None
        self.since = now_ms()  # when it began to wait for a head
        self.partial = False  # a head has begun to come
        self.closing = False
        self.known = False  # a request of its got past the door's own checks
        self._received = 0  # bytes taken from the reader
        self.lingering = False  # the door has ended its half: what still comes is thrown away
        peer = writer.get_extra_info("peername")
        self.peer = str(peer[0]) if peer else ""
        protocol.on_lost = self._lost
        if driver.listener.leave_on_half_close:
            protocol.on_half_close = self._lost

    def _lost(self) -> None:
        self.closing = True
        if self.flight is not None:
            self._driver.counts["clients_left"] += not self.flight.done.done()
            self._driver.act(ev.ClientDisconnected(self.flight.ticket))
            self.flight.finish()

    def has_gone(self) -> bool:
        """Whether the client has gone, by the kernel's word: of one that sent so much that reading stands still the
        loop never hears, and of any other a busy loop hears late.  Its request ends then."""
        writer = self.writer
        events = GONE if self._driver.listener.leave_on_half_close else BROKEN
        gone = writer.transport.is_closing() or ready_for(writer, events)
        if gone:
            self._lost()
        return gone

    @property
    def read_ahead(self) -> bool:
        """Whether bytes have been read behind the present request: they may be a request that is owed its answer."""
        return bool(self.wire.waiting or self.reader.unread)

    @property
    def asking(self) -> bool:
        """Whether bytes have come that are, or may become, a request which has no answer yet: a door that has read
        them and closes has lost it."""
        return not self.closing and (self.flight is not None or self.partial or bool(self.reader.unread))

    def close_idle(self) -> bool:
        """End a connection between two requests; False where one may have begun."""
        if (
            self.closing
            or may_close(
                self.flight is not None, self.partial or bool(self.reader.unread), ready_for(self.writer, select.POLLIN)
            )
            is not None
        ):
            return False
        self.closing = True
        self._driver.counts["connections_closed_idle"] += 1
        self.writer.close()
        return True

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while not self.closing:
                request = await self._head()
                if request is None or self.closing:  # it came as the door told the client to go: nobody has it
                    await self._linger()
                    break
                await self._serve(request)
                if not await self._next():
                    break
        except Fault as fault:
            self._refuse_bytes(fault)
            await self._linger()
        except (ConnectionError, TimeoutError, OSError):
            pass
        finally:
            self.writer.close()
            self._cut(math.inf)

    def _cut(self, left: float) -> None:
        """Cut off a closed connection whose client stops taking what is still to be written: it would hold its
        descriptor for ever."""
        transport = self.writer.transport
        now_left = transport.get_write_buffer_size()
        if now_left >= left:
            transport.abort()
        elif now_left:
            self._driver.loop.call_later(self._driver.upstream.answer_idle_ms / 1000, self._cut, now_left)

    def expire(self) -> None:
        """Answer who is at half a request for too long.  What still comes of it is read: a close over it would
        reset the connection, and the answer with it."""
        self._driver.counts["requests_too_slow"] += 1
        self.plain(408, "head too slow")
        self._end_half()  # `run` still reads, and lingers
        self._driver.loop.call_later(LINGER_MS / 1000, self.writer.close)

    async def reject(self) -> None:
        """Answer where no place is: the request, if one comes, must not turn the close into a reset."""
        self.plain(503, "full house")
        await self._linger(TURNED_AWAY_MS)
        self.writer.close()

    async def _event(self) -> Any:
        """The next event of the client's bytes."""
        while True:
            event = self.wire.next()
            if event is not None:
                return event
            data = await self.reader.read(READ_BYTES)
            self._received += len(data)
            if self.flight is None and not self.partial:
                self.partial, self.since = True, now_ms()
            self.wire.feed(data)

    async def _head(self) -> RequestHead | None:
        self.since = now_ms()
        self.partial = bool(self.wire.waiting)
        idle = self._driver.idle
        if self.known:
            idle[self] = None
        event = await self._event()
        idle.pop(self, None)
        return event if isinstance(event, RequestHead) else None

    def _refuse_bytes(self, fault: Fault) -> None:
        """What came is not HTTP that the door takes: a 4xx, and the connection ends."""
        if self.wire.owed and not self.closing:
            self.plain(fault.status, fault.reason)

    def plain(self, status: int, reason: str) -> None:
        """An answer of the door's own outside the engine; the connection ends after it."""
        headers, body = self._driver.engine.local_reply(reason)
        self.closing = True
        self.answer(status, [*headers, (b"connection", b"close")], [body])

    def answer(self, status: int, headers: ev.Headers, parts: list[bytes]) -> None:
        """A whole answer in one write."""
        if self.writer.transport.is_closing() or not self.wire.owed:
            return
        wire = self.wire
        try:
            out = [wire.head(status, headers), *(wire.data(part) for part in parts), wire.end()]
        except UnwritableError:  # a length that does not fit what came: the client must not take it for whole
            self.abort()
            return
        self.writer.write(b"".join(out))

    def abort(self) -> None:
        """Break the connection, so that the client sees that its answer is not whole."""
        self.closing = True
        self.writer.transport.abort()

    async def _serve(self, request: RequestHead) -> None:
        """One request, to its final answer."""
        driver, headers, length = self._driver, request.headers, request.length
        body: Body | None = None
        if length is not None and length > driver.listener.body_bytes:
            self.plain(413, "body too large")
            await self._linger()
            return
        if length or request.chunked:
            body = Body(driver.upstream.keep_body_bytes, length)
        else:
            self.wire.next()  # the end of a message without a body
        if body is not None and driver.listener.whole_body and not await self._all_of(body):
            return
        if driver.listener.whole_body:  # elsewhere what stands behind may be long, and is waited with
            self.reader.spill()
        ticket = driver.ticket()
        flight = self.flight = Flight(ticket, self, body, driver.loop.create_future())
        driver.flights[ticket] = flight
        try:
            arrived = self.reader.arrival(self._received - self.wire.waiting)
            driver.act(ev.RequestReceived(ticket, request.method, request.target, headers, self.peer, arrived))
            await flight.done
            if flight.pump is not None and not flight.pump.done():
                flight.pump.cancel()
                with suppress(asyncio.CancelledError):
                    await flight.pump
            await self._drained()
        finally:
            self.flight, self.reader.spills = None, False
            if flight.task is None and flight.upstream is None:
                driver.flights.pop(ticket, None)

    async def _drained(self) -> None:
        """Until the client has taken its answer, or has stopped taking it: then it is cut off, since its connection
        would hold a place, and the end of the door, for ever."""
        transport = self.writer.transport
        while not transport.is_closing():
            left = transport.get_write_buffer_size()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._driver.upstream.answer_idle_ms / 1000):
                    await self.writer.drain()
                return
            if transport.get_write_buffer_size() >= left:
                self.abort()

    async def _all_of(self, body: Body) -> bool:
        """Read a body to its end before anybody is told of its request; False where it grew too long.  The sweep
        minds how long it takes."""
        self.partial = True
        if not await self._read_body(body, ahead=True):
            self.plain(413, "body too large")
            await self._linger()
            return False
        return not self.closing

    async def _read_body(self, body: Body, ahead: bool) -> bool:
        """Read a body to its end, no further ahead of its attempt than there is room unless `ahead`; False where it
        grew too long.  Raises Fault."""
        word = self.wire.proceed()
        if word:
            self.writer.write(word)
        while not body.complete:
            if not ahead:
                await body.room.wait()
            event = await self._event()
            if isinstance(event, Data):
                body.put(event.data)
                if body.size > self._driver.listener.body_bytes:
                    return False
            elif isinstance(event, End):
                body.complete = True
                body.wake.set()
        return True

    async def _next(self) -> bool:
        """Whether another request can follow on this connection."""
        leaving = (self._driver.stopping or self._driver.leaving) and not self.read_ahead
        going = self.closing or leaving or self.reader.spilt
        if not going and self.wire.again():
            return True
        await self._linger()
        return False

    async def _linger(self, within_ms: float = LINGER_MS) -> None:
        """End the door's half, and read on for a while what the client still writes: closing over what is unread, or
        on its way, would reset the connection, and the answer with it."""
        if self.lingering or self.writer.transport.is_closing():
            return
        self.closing = self.lingering = True
        self._end_half()
        read = 0
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(within_ms / 1000):
                while read < LINGER_BYTES:
                    data = await self.reader.read(READ_BYTES)
                    if not data:
                        break
                    read += len(data)

    def _end_half(self) -> None:
        with suppress(OSError, RuntimeError):
            self.writer.write_eof()

    async def pump(self, flight: Flight) -> None:
        """Read the body, as far as there is room for it."""
        body = flight.body
        assert body is not None
        try:
            if not await self._read_body(body, ahead=False):
                self._give_up(flight, 413, "body too large")
        except Fault as fault:
            self._give_up(flight, fault.status, fault.reason)
        except (ConnectionError, OSError):
            self._lost()

    def _give_up(self, flight: Flight, status: int, reason: str) -> None:
        """The request itself is at fault: the client's part of it is over."""
        self._driver.act(ev.ClientDisconnected(flight.ticket))
        if flight.passing:
            self.abort()
        else:
            self.plain(status, reason)
        flight.finish()


class Driver:
    """One door on sockets."""

    def __init__(
        self,
        listener: ListenerLimits,
        upstream: UpstreamLimits,
        engine: Engine,
        log_event: EventLog,
        tls: ServerContext | None = None,
        upstream_tls: ClientContext | None = None,
        server_name: str = "",
        clock: LoopClock | None = None,
    ) -> None:
        """`clock` tells when what the loop finds ready came at the earliest."""
        self._clock = clock or ClockNow()
        self.listener, self.upstream = listener, upstream
        self.engine, self._log_event = engine, log_event
        self.loop = asyncio.get_running_loop()
        self.tls = tls
        self.client_tls = [upstream_tls] if upstream_tls is not None else []
        self.pool = Pool(
            upstream.connections,
            upstream.idle_ms,
            self.refused,
            upstream_tls.context if upstream_tls is not None else None,
            server_name,
            upstream.all_connections,
        )
        self.flights: dict[int, Flight] = {}
        self.clients: set[Client] = set()
        self.strangers: dict[Client, None] = {}  # of these, those that are not known yet, the oldest first
        self.idle: dict[Client, None] = {}  # and those that are known and wait for a head, the longest first
        self.leaving = False  # serves what comes, and ends each connection with its answer
        self.stopping = False
        self.add: Callable[[int, int, float, float, bool], None] | None = None  # the store, where there is one
        # The counter service, where there is one.  Where it gives a future, an answer waits until that is done.
        self.record: Callable[[ev.RecordUsage], asyncio.Future[bool] | None] | None = None
        self.record_ms = 0.0  # and no longer than this
        self.listen: Callable[[], None] | None = None  # the feed
        # Whether the list of servers may be behind what counts as told: then attempts wait, for a bounded time.
        self.list_behind: Callable[[], bool] = lambda: False
        self.trace: Callable[[Trace], None] | None = None  # where traces go
        self.counts: dict[str, int] = {
            "connections_turned_away": 0,
            "connections_closed_for_room": 0,
            "requests": 0,
            "attempts": 0,
            "replies": 0,
            "passed": 0,
            "broken": 0,
            "handshakes_refused": 0,
            "answers_not_waited_for": 0,
            "accepts_failed": 0,
            "connections_closed_idle": 0,
            "requests_too_slow": 0,
            "clients_left": 0,
        }
        self._now = -math.inf  # of what is being done
        self._step_watch, self._step_looked = StepWatch(), -math.inf
        self._actions: deque[ev.Action] = deque()
        self._acting = False
        self._due: asyncio.TimerHandle | None = None
        self._due_at = 0.0
        self._ticket = 0
        self._listener: Listener | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._resuming: set[asyncio.Task[None]] = set()
        self._turning_away: set[asyncio.Task[None]] = set()
        self._checks: Checks | None = None
        self._carry: dict[type, Callable[[Any], None]] = {
            ev.OpenAttempt: self._open,
            ev.AbortAttempt: self._abandon,
            ev.RelayResponse: self._pass,
            ev.SendLocalReply: self._reply,
            ev.ResetClientConnection: self._break,
            ev.AddToCounter: self._add,
            ev.RecordUsage: self._tried,
            ev.SubscribeEndpoints: self._listen,
            ev.LogEvent: self._told,
            ev.ExportTrace: self._traced,
        }

    # Life -----------------------------------------------------------------------------------------------

    def check_by(self, checks: Checks) -> None:
        """Who carries checks to authentication services."""
        self._checks = checks
        self.client_tls += checks.tls
        self._carry[ev.StartAuthCheck], self._carry[ev.StopAuthCheck] = checks.ask, checks.stop

    def reconfigure(self, listener: ListenerLimits, upstream: UpstreamLimits) -> None:
        """Take up bounds that differ only in what can change in service."""
        self.listener, self.upstream = listener, upstream

    async def start(self, sock: socket.socket | None = None, reuse_port: bool = False) -> int:
        """Bind, or take a socket that is bound already, and accept; gives the port."""

        def factory(since: float) -> asyncio.Protocol:
            reader = WatchedReader(self._clock)
            reader.connected = since, self._clock.looked_ms
            made = AcceptingProtocol(reader, self._connected)
            if self.tls is None:
                return made
            return SecuringProtocol(made, self.tls.context, self.listener.head_ms / 1000, self._insecure)

        if sock is None:
            family = socket.AF_INET6 if ":" in self.listener.host else socket.AF_INET
            sock = socket.create_server(
                (self.listener.host, self.listener.port), family=family, reuse_port=reuse_port, backlog=BACKLOG
            )
        self._listener = Listener(sock, factory, self._not_accepted, self._clock)
        self._sweeper = standing(self._sweep, self.failed)
        return self._listener.port

    @property
    def listening(self) -> bool:
        """Whether clients could come."""
        return self._listener is not None

    def failed(self, where: str, error: BaseException) -> None:
        """A standing task ended by what nobody expected, and is begun anew."""
        self._log_event("fault", {"where": where, "error": repr(error)})

    def _not_accepted(self, error: OSError) -> None:
        self.counts["accepts_failed"] += 1
        self._log_event("accept failed", {"error": str(error)})

    def _insecure(self, peer: str, reason: str) -> None:
        self.counts["handshakes_refused"] += 1
        self._log_event("handshake refused", {"peer": peer, "reason": reason})

    async def stop(self, within_ms: float, leave_ms: float = 0.0, stay_ms: float = 0.0) -> bool:
        """Accept no more, answer what is held, leave in a bounded time; True where all was answered by itself.

        Before that it serves on, for those whose clients need time to notice: it accepts for `leave_ms`, serves the
        connections that stand for `stay_ms` in all, and ends each with an answer."""
        begun = now_ms()
        self.leaving = True
        if leave_ms:
            await asyncio.sleep(leave_ms / 1000)
        if self._listener is not None:
            await self._listener.close((begun + leave_ms + QUEUE_MS - now_ms()) / 1000)
        if stay_ms:
            await asyncio.sleep(max(begun + stay_ms - now_ms(), 0.0) / 1000)
        self.stopping = True
        until = now_ms() + within_ms
        while True:
            # Who stays has a request, or bytes that may become one and that the loop has perhaps not read yet.
            staying = [client for client in self.clients if not (client.closing or client.close_idle())]
            if now_ms() >= until or not (self.engine.open or staying):
                break
            await asyncio.sleep(0.01)
        clean = not self.engine.open
        self._run(self.engine.stop(now_ms()))
        until = now_ms() + END_MS
        while True:  # the last answers are written, and taken: their clients close
            await asyncio.sleep(0.01)
            if not self.clients or now_ms() >= until:
                break
        if self._sweeper is not None:
            self._sweeper.cancel()
        for client in list(self.clients):
            client.writer.close()
        for flight in list(self.flights.values()):
            if flight.task is not None:
                flight.task.cancel()
        self.pool.close()
        if self._checks is not None:
            self._checks.close()
        if self._due is not None:
            self._due.cancel()
        return clean

    def ticket(self) -> int:
        """A number for the next request."""
        self._ticket += 1
        self.counts["requests"] += 1
        return self._ticket

    def _connected(self, reader: WatchedReader, writer: asyncio.StreamWriter, protocol: WatchedProtocol) -> None:
        client = Client(self, reader, writer, protocol)
        full = len(self.clients) >= self.listener.max_connections
        if self.stopping or (full and not self._make_room()):
            self.counts["connections_turned_away"] += 1
            if len(self._turning_away) >= TURNED_AWAY:
                client.plain(503, "full house")
                writer.close()
                return
            away = self.loop.create_task(client.reject())
            self._turning_away.add(away)
            away.add_done_callback(self._turning_away.discard)
            return
        self.clients.add(client)
        self.strangers[client] = None
        task = self.loop.create_task(client.run())
        task.add_done_callback(lambda done: self._disconnected(client, done))

    def _make_room(self) -> bool:
        """Close a connection without a request: the oldest that never had one which could be taken, else the one that
        has been idle for longest.  Whoever opens hundreds, and says nothing or asks once and stays, must not keep out
        those who ask.  False where a request is open on every one."""
        young = now_ms() - YOUNG_MS
        for one in [*self.strangers, *self.idle]:
            if one in self.strangers and (one.flight is not None or one.since >= young):
                continue
            waiting = bool(one.reader.unread), ready_for(one.writer, select.POLLIN)
            if not one.lingering and may_close(False, *waiting) is not None:
                continue  # a request of which it would be said that the door has lost it
            one.closing = True  # it has its answer, says nothing, or has been at half a request all this time
            one.writer.close()
            self.counts["connections_closed_for_room"] += 1
            self._forget(one)
            return True
        return False

    def _forget(self, client: Client) -> None:
        self.clients.discard(client)
        self.strangers.pop(client, None)
        self.idle.pop(client, None)

    def know(self, client: Client) -> None:
        """A request of a client's has been weighed, whatever came of it."""
        if not client.known:
            client.known = True
            self.strangers.pop(client, None)

    def _disconnected(self, client: Client, task: asyncio.Task[None]) -> None:
        self._forget(client)
        if not task.cancelled() and task.exception() is not None:
            self._log_event("fault", {"where": "client", "error": repr(task.exception())})
            client.abort()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_MS / 1000)
            now = now_ms()
            self.pool.sweep()
            if self._checks is not None:
                self._checks.pool.sweep()
            for client in list(self.clients):
                if client.flight is not None or client.closing:
                    continue
                if client.partial and now - client.since > self.listener.head_ms:
                    client.expire()
                elif not client.partial and now - client.since > self.listener.idle_ms:
                    client.close_idle()
            for flight in list(self.flights.values()):
                if flight.passing and now - flight.progress > self.upstream.answer_idle_ms:
                    self._failed(flight, AttemptFailure.STALLED)

    # Engine ---------------------------------------------------------------------------------------------

    def act(self, event: ev.Event) -> None:
        """Tell the engine, and do what it says."""
        self._now = now = now_ms()
        if now >= self._step_looked + STEP_LOOK_MS:
            self._step_looked = now
            if self._step_watch.stepped():
                self._run(self.engine.handle(now, ev.ClockStepped(self._step_watch.shift_ms)))
        self._run(self.engine.handle(now, event))

    def _run(self, actions: list[ev.Action]) -> None:
        self._actions.extend(actions)
        if self._acting:
            return  # further down this stack the queue is being worked off, in order
        self._acting = True
        try:
            while self._actions:
                action = self._actions.popleft()
                self._carry[type(action)](action)
        finally:
            self._acting = False
        at = self.engine.next_at()
        if at is not None and (self._due is None or at < self._due_at):
            if self._due is not None:
                self._due.cancel()
            self._due_at = at
            self._due = self.loop.call_at(self.loop.time() + max(at - now_ms(), 0.0) / 1000, self._tick)

    def _tick(self) -> None:
        self._due = None
        self.act(ev.Tick())

    def _told(self, action: ev.LogEvent) -> None:
        self._log_event(action.event, action.fields)

    def _add(self, action: ev.AddToCounter) -> None:
        assert self.add is not None, "the module counts only where the settings name a store"
        self.add(action.call_id, action.key, action.units, action.expire_ms, action.bounds_ceiling)

    def _tried(self, action: ev.RecordUsage) -> None:
        if self.record is None:
            return
        promised, flight = self.record(action), self.flights.get(action.request_id)
        if promised is not None and flight is not None:
            flight.promised = promised
            promised.add_done_callback(lambda _: self._promised(flight, promised))
            self.loop.call_later(self.record_ms / 1000, self._promised, flight, promised)

    def _promised(self, flight: Flight, promised: asyncio.Future[bool]) -> None:
        """The try is in the book, or was waited for long enough: what came of its answer meanwhile goes on."""
        if flight.promised is not promised:
            return
        if not promised.done():
            self.counts["answers_not_waited_for"] += 1
        flight.promised, waiting = None, flight.withheld
        flight.withheld = []
        for upstream, data in waiting:
            self._came(flight, upstream, data)

    def _traced(self, action: ev.ExportTrace) -> None:
        if self.trace is not None:
            self.trace(action.trace)

    def _listen(self, action: ev.SubscribeEndpoints) -> None:
        if self.listen is not None:
            self.listen()

    # Answers --------------------------------------------------------------------------------------------

    def _ending(self, flight: Flight, headers: ev.Headers) -> ev.Headers:
        """The headers of an answer, after which the connection ends where the daemon stops or the body is not read."""
        going = (self.stopping or self.leaving) and not flight.client.read_ahead
        ends = going or (flight.body is not None and not flight.body.complete)
        return [*headers, (b"connection", b"close")] if ends else headers

    def refused(self, address: str, reason: str) -> None:
        """A server or an authentication service is not the one that TLS must show."""
        self._log_event("server refused", {"address": address, "reason": reason})

    def _reply(self, action: ev.SendLocalReply) -> None:
        flight = self.flights.get(action.request_id)
        if flight is None:
            return
        self.counts["replies"] += 1
        if action.status in WEIGHED:
            self.know(flight.client)
        flight.client.answer(action.status, self._ending(flight, action.headers), [action.body])
        flight.finish()

    def _pass(self, action: ev.RelayResponse) -> None:
        flight = self.flights.get(action.request_id)
        if flight is None:
            return
        self.counts["passed"] += 1
        self.know(flight.client)
        headers, client = self._ending(flight, action.headers), flight.client
        if action.complete:
            client.answer(action.status, headers, flight.held)
            flight.finish()
            return
        flight.passing, flight.progress = True, now_ms()
        wire = client.wire
        if client.writer.transport.is_closing() or not wire.owed:
            return
        try:
            out = [wire.head(action.status, headers), *(wire.data(part) for part in flight.held)]
        except UnwritableError:
            client.abort()
            return
        flight.held = []
        client.writer.write(b"".join(out))

    def _break(self, action: ev.ResetClientConnection) -> None:
        flight = self.flights.get(action.request_id)
        if flight is not None:
            self.counts["broken"] += 1
            flight.client.abort()
            flight.finish()

    # Attempts -------------------------------------------------------------------------------------------

    def _open(self, action: ev.OpenAttempt) -> None:
        flight = self.flights.get(action.request_id)
        if flight is None:
            return
        if flight.client.has_gone():  # this attempt ends with it, unwritten
            return
        flight.number, flight.held, flight.held_bytes, flight.answer_bytes = action.attempt, [], 0, 0
        if self.list_behind():
            flight.task = self.loop.create_task(self._open_later(flight, action))
        else:
            self._connect(flight, action)

    async def _open_later(self, flight: Flight, action: ev.OpenAttempt) -> None:
        """Begin an attempt once the list is up to date: its server may be draining.  Cancelled when it is given up."""
        while self.list_behind():
            await asyncio.sleep(BEHIND_STEP_S)
        if flight.task is not asyncio.current_task():
            return
        flight.task = None
        if flight.client.has_gone():
            return
        self._now = now_ms()
        self.engine.update_deadline_header(self._now, action)
        self._connect(flight, action)

    def _connect(self, flight: Flight, action: ev.OpenAttempt) -> None:
        """Begin an attempt on an idle connection, or on a new one."""
        self.counts["attempts"] += 1
        upstream = self.pool.take(action.address)
        if upstream is not None:
            self._begin(flight, action, upstream)
        elif self.pool.reserve(action.address):
            flight.task = self.loop.create_task(self._dial(flight, action))
        else:
            self.act(ev.AttemptFailed(action.request_id, action.attempt, AttemptFailure.CONNECTION_LIMIT))

    def _abandon(self, action: ev.AbortAttempt) -> None:
        flight = self.flights.get(action.request_id)
        if flight is not None:
            self._let_go(flight)

    def _let_go(self, flight: Flight) -> None:
        """End the present attempt and its connection, here and now."""
        task, flight.task = flight.task, None
        upstream, flight.upstream = flight.upstream, None
        if upstream is not None:
            upstream.reader.sink = None
            self.pool.drop(upstream)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        if flight.done.done():
            self.flights.pop(flight.ticket, None)

    def _failed(self, flight: Flight, how: AttemptFailure) -> None:
        """Tell of an attempt that ended by itself; its connection is of no more use."""
        self._let_go(flight)
        self.act(ev.AttemptFailed(flight.ticket, flight.number, how))

    async def _dial(self, flight: Flight, action: ev.OpenAttempt) -> None:
        """Make a connection for an attempt.  Cancelled when it is given up."""
        try:
            upstream = await self.pool.dial(action.address)
        except Exception as error:
            if not isinstance(error, OSError):  # an address that no socket takes: an attempt that failed all the same
                self.failed("dial", error)
            if flight.task is asyncio.current_task():
                flight.task = None
                self.act(ev.AttemptFailed(flight.ticket, action.attempt, AttemptFailure.NOT_CONNECTED))
            return
        if flight.task is not asyncio.current_task():  # given up while it was being made
            self.pool.drop(upstream)
            return
        flight.task = None
        if flight.client.has_gone():  # while it was being made; nothing was written to it
            self.pool.put(upstream)
            return
        self._now = now_ms()
        self.engine.update_deadline_header(self._now, action)
        self._begin(flight, action, upstream)

    def _begin(self, flight: Flight, action: ev.OpenAttempt, upstream: Upstream) -> None:
        """Write an attempt to a connection; what comes back goes on at once."""
        flight.upstream = upstream
        if not upstream.sound:
            self._failed(flight, AttemptFailure.NOT_WRITTEN)
            return
        if self.engine.may_begin(self._now, action) is not None:
            self._failed(flight, AttemptFailure.NOT_WRITTEN)
            return
        upstream.deliver_within(action.deliver_by - self._now if action.deliver_by is not None else None)
        upstream.reader.sink = lambda data: self._came(flight, upstream, data)
        try:
            more = self._write(flight, action, upstream)
        except UnwritableError:  # a head that may not be sent on, though it may come
            self._failed(flight, AttemptFailure.NOT_WRITTEN)
            return
        if more:
            if flight.pump is None:
                flight.pump = self.loop.create_task(flight.client.pump(flight))
            flight.task = self.loop.create_task(self._feed(flight, upstream))

    def _write(self, flight: Flight, action: ev.OpenAttempt, upstream: Upstream) -> bool:
        """Write the head, and the body as far as it is at hand; True where more of it is to come."""
        body, headers = flight.body, action.headers
        if body is not None and body.length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        if not any(name == b"host" for name, _ in headers):  # HTTP/1.0 has none
            headers.append((b"host", f"{action.address[0]}:{action.address[1]}".encode()))
        out = [upstream.wire.head(action.method, action.target, headers)]
        more = False
        if body is not None:
            body.rewind()
            data = body.take()
            if data:
                out.append(upstream.wire.data(data))
            more = not body.complete
        if not more:
            out.append(upstream.wire.end())
        # From here it may run.  No await between this word and the write.
        self.act(ev.AttemptWritten(flight.ticket, action.attempt))
        upstream.writer.write(b"".join(out))
        if body is not None and body.trim():
            self.act(ev.RequestBodyNotReplayable(flight.ticket))
        return more

    async def _feed(self, flight: Flight, upstream: Upstream) -> None:
        """Write the rest of the body as it comes from the client."""
        body = flight.body
        assert body is not None
        with suppress(ConnectionError, OSError):  # the reading side tells how it ended
            while flight.upstream is upstream:
                if body.pos < body.size:
                    upstream.writer.write(upstream.wire.data(body.take()))
                    await upstream.writer.drain()
                    if flight.upstream is upstream and body.trim():
                        self.act(ev.RequestBodyNotReplayable(flight.ticket))
                elif body.complete:
                    upstream.writer.write(upstream.wire.end())
                    return
                else:
                    body.wake.clear()
                    await body.wake.wait()

    def _came(self, flight: Flight, upstream: Upstream, data: bytes) -> None:
        """Bytes of an answer, or its connection's end."""
        if flight.upstream is not upstream:
            return
        if flight.promised is not None:
            flight.withheld.append((upstream, data))
            if sum(len(held) for _, held in flight.withheld) > self.upstream.hold_answer_bytes:
                self._promised(flight, flight.promised)
            return
        try:
            upstream.feed(data)
            self._read(flight, upstream)
        except Fault:
            if flight.upstream is upstream:
                self._failed(
                    flight, AttemptFailure.CLOSED if upstream.reader.ended else AttemptFailure.MALFORMED_RESPONSE
                )

    def _read(self, flight: Flight, upstream: Upstream) -> None:
        """Take what there is of an answer; pass it on as the engine says."""
        wire, ticket, number = upstream.wire, flight.ticket, flight.number
        client = flight.client
        while flight.upstream is upstream:
            event = wire.next()
            if event is None:
                return
            if isinstance(event, AnswerHead):
                self.act(ev.ResponseHeadReceived(ticket, number, event.status, event.headers))
            elif isinstance(event, Data):
                flight.progress = now_ms()
                part = event.data
                flight.answer_bytes += len(part)
                if 0 < self.upstream.answer_bytes < flight.answer_bytes:
                    self._failed(flight, AttemptFailure.MALFORMED_RESPONSE)
                    return
                if not flight.passing:
                    flight.held.append(part)
                    flight.held_bytes += len(part)
                    if flight.held_bytes > self.upstream.hold_answer_bytes:
                        self.act(ev.ResponseBufferExceeded(ticket, number))
                elif not client.writer.transport.is_closing():
                    try:
                        client.writer.write(client.wire.data(part))
                    except UnwritableError:
                        client.abort()
                    else:
                        self._hold_back(flight, upstream)
            elif isinstance(event, End):
                self._whole(flight, upstream)
            else:
                self._failed(flight, AttemptFailure.CLOSED)

    def _hold_back(self, flight: Flight, upstream: Upstream) -> None:
        """The server is read no faster than the client reads."""
        if upstream.paused or flight.client.writer.transport.get_write_buffer_size() <= PASS_BYTES:
            return
        upstream.paused = True
        upstream.writer.transport.pause_reading()  # type: ignore[attr-defined]  # of a transport both ways
        task = self.loop.create_task(self._resume(flight, upstream))
        self._resuming.add(task)
        task.add_done_callback(self._resuming.discard)

    async def _resume(self, flight: Flight, upstream: Upstream) -> None:
        with suppress(ConnectionError, OSError):
            await flight.client.writer.drain()
        upstream.paused = False
        flight.progress = now_ms()
        if flight.upstream is upstream and not upstream.writer.transport.is_closing():
            upstream.writer.transport.resume_reading()  # type: ignore[attr-defined]

    def _whole(self, flight: Flight, upstream: Upstream) -> None:
        """The answer is whole: the connection goes back to the pool, the client has its end."""
        client, passing = flight.client, flight.passing
        upstream.reader.sink = None
        task, flight.task, flight.upstream = flight.task, None, None
        if task is not None:
            task.cancel()
        if passing and not client.writer.transport.is_closing():
            try:
                client.writer.write(client.wire.end())
            except UnwritableError:
                client.abort()
        if upstream.paused:
            self.pool.drop(upstream)
        else:
            self.pool.put(upstream)  # dropped there too, after an early answer: the rest of the body is not written
        self.act(ev.ResponseCompleted(flight.ticket, flight.number))
        if passing:
            flight.finish()
        if flight.done.done():
            self.flights.pop(flight.ticket, None)
