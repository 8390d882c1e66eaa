"""The gateway's client: adds and attempts count exactly once across broken connections and gateway restarts.

Every command has a sequence in the gateway's current epoch.  Once written, a command is sent again after each reconnect
until it is answered, so a timeout is not ambiguous for the counts: the caller gets TIMEOUT, and the add counts once.
An add that was never written is dropped at its timeout, and the caller gets CONNECT_FAILED, because nothing was added.
The epoch is kept in a file and raised at each start.

Attempts go through a journal: a file that holds each attempt until it is acknowledged.  After a restart the remaining
attempts are sent under the new epoch; the service recognizes an attempt by its request id, and records it once.  The
journal is bounded: beyond the bound `record` returns False, and the gateway's log holds the attempt instead.
"""

from __future__ import annotations

import asyncio
import math
import ssl
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from martenstep.backoff import Backoff
from martenstep.counter.errors import CounterError
from martenstep.counter.journal import AttemptJournal as AttemptJournal
from martenstep.counter.pending_increments import AttemptRecord
from martenstep.counter.protocol import (
    Add,
    Command,
    Frame,
    FrameDecoder,
    Hello,
    ProtocolError,
    RecordAttempt,
    RecordReply,
    Rejection,
    Status,
    TotalReply,
    Welcome,
    decode,
    encode,
)
from martenstep.event_log import EventLog
from martenstep.policy.messages import CallResult

MIN_RECONNECT_MS = 20.0
MAX_RECONNECT_MS = 1000.0
READ_BYTES = 262_144
SILENCE_TIMEOUT_S = 1.0  # with several replicas: one that owes a reply for this long may have lost its term
FLUSH_POLL_INTERVAL_S = 0.005
FINAL_STATUSES = (Status.DONE, Status.REPEATED, Status.KNOWN, Status.TOO_OLD, Status.BAD, Status.REUSED)
NOT_RECORDED_STATUSES = (Status.TOO_OLD, Status.BAD)  # final statuses after which the attempt is recorded nowhere
FUTURE_TIME_MS = 1e15  # so far ahead that every service replaces this attempt time by its own time
Address = tuple[str, int]
AddCallback = Callable[[int, CallResult, float, float], None]  # call, result, total, retained_ms


def _direct_route(address: Address) -> Address:
    return address


def _ignore_acknowledgement(request_id: str) -> None:
    pass


class _MovedError(CounterError):
    """Another replica leads; `leader` is its address as HOST:PORT, or empty if unknown."""

    def __init__(self, leader: str) -> None:
        super().__init__(leader)
        self.leader = leader


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Options of a client."""

    gateway: str  # the gateway's name
    timeout_ms: float = 50.0  # for the reply to an add
    max_pending: int = 10_000  # commands without a reply; further adds are rejected
    map_version: int = 1
    tls: ssl.SSLContext | None = None
    server_name: str = ""  # in the service's certificate
    group: str = ""  # the replica group, if a listener serves several
    route: Callable[[Address], Address] = _direct_route  # returns the address through which an address is reached
    on_acknowledged: Callable[[str], None] = _ignore_acknowledgement  # called with each attempt's request id


class CounterClient:
    """A client of one counter service, or of the replicas that hold one."""

    def __init__(
        self,
        addresses: Sequence[Address] | Callable[[], Sequence[Address]],
        journal: AttemptJournal,
        answer: AddCallback,
        log_event: EventLog,
        options: ClientOptions,
    ) -> None:
        """Create a client of one service, or of the replicas that hold the counter, of which one leads at a time.

        If the replicas may change, `addresses` is a function that returns the current ones, the most likely leader
        first.  `answer` is called once for each add; its `retained_ms` is the time during which the service has
        provably lost no total.
        """
        self._options = options
        self._addresses = addresses if callable(addresses) else lambda: addresses
        self._undirected_reconnects = 0  # reconnects to an address that no replica named
        self._address: Address | None = None  # the chosen address, if any
        self._silence_timeout_s = SILENCE_TIMEOUT_S if callable(addresses) or len(addresses) > 1 else None
        self._journal = journal
        self._answer = answer
        self._log_event = log_event
        self._timeout_s = options.timeout_ms / 1000
        self.backoff = Backoff(MIN_RECONNECT_MS, MAX_RECONNECT_MS)
        self._sequence = 0
        self._pending: OrderedDict[int, Command] = OrderedDict()  # in order of sequence
        self._calls: dict[int, int] = {}  # of adds: the caller's call by sequence, until its timeout
        self._writer: asyncio.StreamWriter | None = None
        self._session_open = False
        self._task: asyncio.Task[None] | None = None
        self._written: set[int] = set()  # the pending sequences that may have arrived at the service
        self.resent = 0
        self._journaled_in_epoch: set[str] = set()  # request ids of this epoch; their time may still be corrected
        self._connected_at_s = math.inf  # when the current session was opened

    def start(self) -> None:
        """Connect, and send the attempts that an earlier epoch left in the journal."""
        self._task = asyncio.create_task(self._run())
        for attempt in list(self._journal.pending.values()):
            self._send_attempt(attempt)

    async def flush(self, within_ms: float) -> bool:
        """Wait until all commands are acknowledged; returns False if that took too long."""
        deadline = time.monotonic() + within_ms / 1000
        while self._pending and time.monotonic() < deadline:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
        return not self._pending

    async def stop(self) -> None:
        """Close; attempts that are not acknowledged stay in the journal."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._calls.clear()
        self._journal.close()

    @property
    def pending_count(self) -> int:
        """The number of commands that wait for their reply."""
        return len(self._pending)

    # Commands

    def add(self, call: int, key: int, units: float, ttl_ms: float, bounds_ceiling: bool = False) -> None:
        """Request one add; `answer` is called once for it, within the timeout.

        `bounds_ceiling` changes nothing here.  The reported `retained_ms` begins with the connection, because another
        connection may lead to a service that was promoted, or that lost the tail of its log.
        """
        if len(self._pending) >= self._options.max_pending:
            self._answer(call, CallResult.OVERLOADED, 0.0, 0.0)
            return
        sequence = self._next_sequence()
        self._calls[sequence] = call
        asyncio.get_running_loop().call_later(self._timeout_s, self._on_timeout, sequence)
        self._send(sequence, Add(sequence, key, units, ttl_ms))

    def _on_timeout(self, sequence: int) -> None:
        call = self._calls.pop(sequence, None)
        if call is None:
            return
        if sequence in self._written:
            self._answer(call, CallResult.TIMEOUT, 0.0, 0.0)
        else:
            self._pending.pop(sequence, None)
            self._answer(call, CallResult.CONNECT_FAILED, 0.0, 0.0)

    def record(self, record: AttemptRecord) -> bool:
        """Journal an attempt and send it; returns False if the journal does not accept it."""
        attempt = RecordAttempt(
            0,
            record.time_ms,
            record.units,
            record.over_quota,
            record.request_id,
            record.customer,
            record.plan,
            record.request_class,
        )
        if not self._journal.append(attempt):
            return False
        self._journaled_in_epoch.add(record.request_id)
        self._send_attempt(attempt)
        return True

    def _on_record_reply(self, command: RecordAttempt, status: Status) -> None:
        """Remove an attempt that has a final status, but send it again if only its time was rejected as too old.

        Its time is too old because a clock was stepped, so it is sent again with a time that the service replaces.  An
        attempt of an earlier epoch is not sent again, because the service may have recorded it and removed its id.
        """
        request_id = command.request_id
        if status is Status.TOO_OLD and request_id in self._journaled_in_epoch:
            self._journaled_in_epoch.discard(request_id)
            self._send_attempt(replace(command, time_ms=FUTURE_TIME_MS))
            return
        if status in NOT_RECORDED_STATUSES:
            self._log_lost_attempt(command, status)
        self._journaled_in_epoch.discard(request_id)
        self._journal.acknowledge(request_id)
        self._options.on_acknowledged(request_id)

    def _log_lost_attempt(self, command: RecordAttempt, status: Status) -> None:
        self._log_event(
            "attempt rejected by the counter",
            {
                "request": command.request_id,
                "customer": command.customer,
                "plan": command.plan,
                "units": command.units,
                "beyond": command.over_quota,
                "status": status.name,
            },
        )

    def _send_attempt(self, attempt: RecordAttempt) -> None:
        sequence = self._next_sequence()
        self._send(sequence, replace(attempt, sequence=sequence))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _send(self, sequence: int, command: Command) -> None:
        self._pending[sequence] = command
        if self._session_open and self._writer is not None and not self._writer.is_closing():
            self._written.add(sequence)
            self._writer.write(encode(command))

    # Connections

    async def _run(self) -> None:
        redirected = False
        while True:
            redirected_before = redirected
            leader = ""
            try:
                await self._serve_connection()
            except _MovedError as error:
                leader = error.leader
            except (OSError, ProtocolError, asyncio.IncompleteReadError) as error:
                self._log_event("counter connection lost", {"error": f"{type(error).__name__}: {error}"})
            finally:
                self._session_open = False
                if self._writer is not None:
                    self._writer.close()
                    self._writer = None
            redirected = self._choose_address(leader)
            if redirected_before or not redirected:  # two replicas that each name the other must not cause a busy loop
                # The delay grows after a round over all replicas: after a leader's loss any may be the next.
                self._undirected_reconnects += 1
                all_tried = self._undirected_reconnects % max(1, len(self._addresses())) == 0
                await asyncio.sleep((self.backoff.failed() if all_tried else MIN_RECONNECT_MS) / 1000)

    def _choose_address(self, leader: str) -> bool:
        """Choose the named leader, or else the next replica; returns whether the named leader was chosen.

        Only listed addresses are used: a reply must not direct a gateway to an address outside of the cluster.
        """
        known = list(self._addresses())
        named = next(
            (address for address in known if "{}:{}".format(*address) == leader and address != self._address), None
        )
        if named is not None or not known:
            self._address = named
        elif self._address in known:
            self._address = known[(known.index(self._address) + 1) % len(known)]
        else:
            self._address = known[0]
        return named is not None

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """Read the next bytes; raises ProtocolError if a replica that owes a reply is silent, as another may lead."""
        while True:
            expects_reply = bool(self._pending) or not self._session_open
            try:
                async with asyncio.timeout(self._silence_timeout_s):
                    return await reader.read(READ_BYTES)
            except TimeoutError:
                if expects_reply:
                    raise ProtocolError("the replica owes a reply and has sent nothing in time") from None

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._address is None:
            self._choose_address("")
        if self._address is None:
            raise ConnectionError("no address of a counter replica is known")
        host, port = self._options.route(self._address)
        tls = self._options.tls
        server_name = (self._options.server_name or None) if tls else None
        try:
            async with asyncio.timeout(self._silence_timeout_s):
                return await asyncio.open_connection(host, port, ssl=tls, server_hostname=server_name)
        except TimeoutError:
            raise ConnectionError("the connection was not established in time") from None

    async def _serve_connection(self) -> None:
        """Connect, and handle frames until the connection ends; raises _MovedError, OSError, ProtocolError."""
        reader, writer = await self._connect()
        self._writer = writer
        options = self._options
        hello = Hello(
            options.gateway, self._journal.epoch, options.map_version, term=self._journal.term, group=options.group
        )
        writer.write(encode(hello))
        decoder = FrameDecoder()
        while data := await self._read(reader):
            for payload in decoder.feed(data):
                self._handle_frame(decode(payload), writer)

    def _handle_frame(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        if isinstance(frame, TotalReply | RecordReply):
            self._handle_reply(frame)
        elif isinstance(frame, Welcome):
            self._journal.observe_term(frame.term)
            self._session_open = True
            self._connected_at_s = time.monotonic()
            self.backoff.succeeded()
            self.resent += len(self._written)
            self._written.update(self._pending)
            writer.write(b"".join(encode(command) for command in self._pending.values()))
        elif isinstance(frame, Rejection) and frame.status is Status.MOVED:
            raise _MovedError(frame.reason)
        elif isinstance(frame, Rejection):
            raise ProtocolError(f"{frame.status.name}: {frame.reason}")

    def _handle_reply(self, reply: TotalReply | RecordReply) -> None:
        if reply.status is Status.UNWRITTEN:
            raise ProtocolError("the service cannot write its log")  # all is sent again after the reconnect
        command = self._pending.pop(reply.sequence, None)
        self._written.discard(reply.sequence)
        if isinstance(command, RecordAttempt) and reply.status in FINAL_STATUSES:
            self._on_record_reply(command, reply.status)
        call = self._calls.pop(reply.sequence, None)
        if isinstance(reply, TotalReply) and call is not None:
            counted = reply.status in (Status.DONE, Status.REPEATED)
            result = CallResult.OK if counted else CallResult.OVERLOADED
            retained_ms = (time.monotonic() - self._connected_at_s) * 1000
            self._answer(call, result, reply.total, retained_ms)
