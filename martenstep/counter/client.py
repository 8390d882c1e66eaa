"""The door's side: adds and tries that count exactly once, through broken connections and the door's own restarts.

Every command has a sequence in the door's present life (epoch).  Once written it is sent again after each reconnect
until it is answered, so a time-out is no longer ambiguous for the counts: the module is told TIMEOUT, and the add
counts once.  An add that was never written is dropped at its time-out, and the module is told that nothing was added.
The epoch is kept in a file and raised at each start.

Tries go through a journal: a file that holds each one until it is acknowledged.  After a restart what is left in it is
sent under the new epoch; the service knows a try by its request id, and records it once.  The journal is bounded: past
the bound `record` gives False, and the door's log tells of the try instead.
"""

from __future__ import annotations

import asyncio
import math
import ssl
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import replace

from martenstep.backoff import Backoff
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.protocol import (
    Add,
    Command,
    FrameDecoder,
    Hello,
    ProtocolError,
    RecordAttempt,
    RecordReply,
    Rejection,
    Reply,
    Status,
    TotalReply,
    Welcome,
    decode,
    encode,
)
from martenstep.event_log import EventLog
from martenstep.policy.messages import CallResult

AGAIN_LEAST_MS, AGAIN_MOST_MS = 20.0, 1000.0  # between attempts to connect
READ_BYTES = 262_144
SILENT_S = 1.0  # with several copies: one that owes an answer for so long may have lost its place, or be paused
FINAL = (Status.DONE, Status.REPEATED, Status.KNOWN, Status.TOO_OLD, Status.BAD, Status.REUSED)
LOST = (Status.TOO_OLD, Status.BAD)  # of those: the try is recorded nowhere
LATEST_MS = 1e15  # a try's time that every service takes for its own
Address = tuple[str, int]
Answer = Callable[[int, CallResult, float, float], None]  # call, verdict, total, ms for which nothing was lost


class _MovedError(Exception):
    """Another copy leads, at the address that is named, if any is."""


class CounterClient:
    """A store port over one counter service."""

    def __init__(
        self,
        addresses: Sequence[Address] | Callable[[], Sequence[Address]],
        door: str,
        journal: AttemptJournal,
        answer: Answer,
        log_event: EventLog,
        *,
        timeout_ms: float = 50.0,
        waiting: int = 10_000,
        map_version: int = 1,
        tls: ssl.SSLContext | None = None,
        server_name: str = "",
        group: str = "",
        way: Callable[[Address], Address] = lambda address: address,
        recorded: Callable[[str], None] = lambda request: None,
    ) -> None:
        """Several `addresses` are those of the copies that hold the counter: one of them leads at a time.  Where they
        change, a function gives those of now, the likeliest first; `group` is the one that is meant there, and `way`
        leads to an address.  `recorded` is told of each try that is acknowledged, by its request."""
        self._tls, self._server_name, self._group = tls, server_name, group
        self._addresses = addresses if callable(addresses) else lambda: addresses
        self._way, self._recorded = way, recorded
        self._hops = 0
        self._to: Address | None = None  # who is asked, once somebody was
        self._door = door
        self._silent_s = SILENT_S if callable(addresses) or len(addresses) > 1 else None
        self._journal, self._answer, self._log_event = journal, answer, log_event
        self._timeout, self._bound, self._map_version = timeout_ms / 1000, waiting, map_version
        self.backoff = Backoff(AGAIN_LEAST_MS, AGAIN_MOST_MS)
        self._sequence = 0
        self._out: OrderedDict[int, Command] = OrderedDict()  # unanswered, in order of sequence
        self._calls: dict[int, int] = {}  # adds: the module's call by sequence, until its time-out
        self._writer: asyncio.StreamWriter | None = None
        self._ready = False
        self._task: asyncio.Task[None] | None = None
        self._written: set[int] = set()  # of the unanswered: those that may have come through
        self.resent = 0
        self._promised_here: set[str] = set()  # tries of this life whose time may still be mended
        self._welcomed = math.inf  # when the present connection was taken

    def start(self) -> None:
        """Connect, and send what an earlier life had promised."""
        self._task = asyncio.create_task(self._run())
        for made in list(self._journal.pending.values()):
            self._queue_record(made)

    async def flush(self, within_ms: float) -> bool:
        """Wait until all is acknowledged; False where it was not in time."""
        until = time.monotonic() + within_ms / 1000
        while self._out and time.monotonic() < until:
            await asyncio.sleep(0.005)
        return not self._out

    async def stop(self) -> None:
        """Close; what is not acknowledged stays in the journal."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._calls.clear()
        self._journal.close()

    @property
    def pending_count(self) -> int:
        """Commands that wait for their answer."""
        return len(self._out)

    def add(self, call: int, name: int, units: float, expire_ms: float, proof: bool = False) -> None:
        """Ask for one add; `answer` is called once for it, within the time-out, with a proof if asked or not.

        The proof begins with the connection: another one may lead to a service that was promoted, or lost its tail."""
        if len(self._out) >= self._bound:
            self._answer(call, CallResult.OVERLOADED, 0.0, 0.0)
            return
        sequence = self._next()
        self._calls[sequence] = call
        asyncio.get_running_loop().call_later(self._timeout, self._late, sequence)
        self._send(sequence, Add(sequence, name, units, expire_ms))

    def _late(self, sequence: int) -> None:
        call = self._calls.pop(sequence, None)
        if call is None:
            return
        if sequence in self._written:
            self._answer(call, CallResult.TIMEOUT, 0.0, 0.0)
        else:
            self._out.pop(sequence, None)
            self._answer(call, CallResult.CONNECT_FAILED, 0.0, 0.0)

    def record(
        self, time_ms: float, units: float, beyond: bool, request: str, customer: str, plan: str, cls: str
    ) -> bool:
        """Promise a try; False where the journal is full, and nothing is promised."""
        made = RecordAttempt(0, time_ms, units, beyond, request, customer, plan, cls)
        if not self._journal.append(made):
            return False
        self._promised_here.add(request)
        self._queue_record(made)
        return True

    def _record_ended(self, command: RecordAttempt, status: Status) -> None:
        """A try needs nothing more, unless its time alone was refused: clocks were stepped, and it is made anew as of
        now.  One of an earlier life is not: the service may have recorded it, and forgotten that."""
        if status is Status.TOO_OLD and command.request_id in self._promised_here:
            self._promised_here.discard(command.request_id)
            self._queue_record(replace(command, time_ms=LATEST_MS))
            return
        if status in LOST:
            self._log_event(
                "try refused by the counter",
                {
                    "request": command.request_id,
                    "customer": command.customer,
                    "plan": command.plan,
                    "units": command.units,
                    "beyond": command.over_quota,
                    "status": status.name,
                },
            )
        self._promised_here.discard(command.request_id)
        self._journal.acknowledge(command.request_id)
        self._recorded(command.request_id)

    def _queue_record(self, made: RecordAttempt) -> None:
        sequence = self._next()
        self._send(sequence, replace(made, sequence=sequence))

    def _next(self) -> int:
        self._sequence += 1
        return self._sequence

    def _send(self, sequence: int, command: Command) -> None:
        self._out[sequence] = command
        if self._ready and self._writer is not None and not self._writer.is_closing():
            self._written.add(sequence)
            self._writer.write(encode(command))

    async def _run(self) -> None:
        moved = False
        while True:
            hopped, leader = moved, ""
            try:
                await self._connection()
            except _MovedError as error:
                leader = str(error)
            except (OSError, ProtocolError, asyncio.IncompleteReadError) as error:
                self._log_event("counter lost", {"error": f"{type(error).__name__}: {error}"})
            finally:
                self._ready = False
                if self._writer is not None:
                    self._writer.close()
                    self._writer = None
            moved = self._elsewhere(leader)
            if hopped or not moved:  # two copies that each name the other must not be run between
                # Each is asked once before the wait grows: after a leader's loss the next may be any of them.
                self._hops += 1
                whole = self._hops % max(1, len(self._addresses())) == 0
                await asyncio.sleep((self.backoff.failed() if whole else AGAIN_LEAST_MS) / 1000)

    def _elsewhere(self, leader: str) -> bool:
        """Ask another copy next: the leader that was named, else the one after this.  Whether it was named.

        Only addresses that are known are gone to: a reply must not lead a door to strangers."""
        known = list(self._addresses())
        named = next((one for one in known if "{}:{}".format(*one) == leader and one != self._to), None)
        if named is None and known:
            self._to = known[(known.index(self._to) + 1) % len(known)] if self._to in known else known[0]
        else:
            self._to = named
        return named is not None

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """The next bytes; raises FrameError where another copy may lead by now, as this one says nothing."""
        while True:
            waiting = bool(self._out) or not self._ready
            try:
                async with asyncio.timeout(self._silent_s):
                    return await reader.read(READ_BYTES)
            except TimeoutError:
                if waiting:
                    raise ProtocolError("the copy says nothing") from None

    async def _connection(self) -> None:
        if self._to is None:
            self._elsewhere("")
        if self._to is None:
            raise ConnectionError("nobody is known who may hold it")
        host, port = self._way(self._to)
        try:
            async with asyncio.timeout(self._silent_s):
                reader, writer = await asyncio.open_connection(
                    host, port, ssl=self._tls, server_hostname=(self._server_name or None) if self._tls else None
                )
        except TimeoutError:
            raise ConnectionError("no connection in time") from None
        self._writer = writer
        writer.write(
            encode(
                Hello(self._door, self._journal.epoch, self._map_version, term=self._journal.term, group=self._group)
            )
        )
        frames = FrameDecoder()
        while data := await self._read(reader):
            for payload in frames.feed(data):
                reply = decode(payload)
                if isinstance(reply, Welcome):
                    self._journal.observe_term(reply.term)
                    self._ready, self._welcomed = True, time.monotonic()
                    self.backoff.succeeded()
                    self.resent += len(self._written)
                    self._written.update(self._out)
                    writer.write(b"".join(encode(command) for command in self._out.values()))
                elif isinstance(reply, Rejection) and reply.status is Status.MOVED:
                    raise _MovedError(reply.reason)
                elif isinstance(reply, Rejection):
                    raise ProtocolError(f"{reply.status.name}: {reply.reason}")
                elif isinstance(reply, TotalReply | RecordReply):
                    self._take(reply)

    def _take(self, reply: Reply) -> None:
        assert isinstance(reply, TotalReply | RecordReply)
        if reply.status is Status.UNWRITTEN:
            raise ProtocolError("the service cannot write its log")  # all is sent again once it can
        command = self._out.pop(reply.sequence, None)
        self._written.discard(reply.sequence)
        if isinstance(command, RecordAttempt) and reply.status in FINAL:
            self._record_ended(command, reply.status)
        call = self._calls.pop(reply.sequence, None)
        if isinstance(reply, TotalReply) and call is not None:
            good = reply.status in (Status.DONE, Status.REPEATED)
            self._answer(
                call,
                CallResult.OK if good else CallResult.OVERLOADED,
                reply.total,
                (time.monotonic() - self._welcomed) * 1000,
            )
