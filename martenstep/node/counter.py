"""The platform's counter: `ADDGET NAME AMOUNT LIFE_MS` over RESP2, calls written back to back.

`ReplyReader` is one connection's protocol without its socket: the pending calls, in order, and what each reply proves.
Calls spread over a few connections, so that one reply that cannot be read leaves only those of its own connection
indeterminate.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from martenstep.backoff import Backoff
from martenstep.policy.messages import CallResult
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.tasks import start_supervised

MAX_CONNECTIONS = 4  # the counter accepts 32 of a gateway
MAX_CALLS_PER_CONNECTION = 256  # what stands behind more would be answered long after its time
CONNECT_TIMEOUT_S = 0.5
REPLY_TIMEOUT_MS = 2000.0  # with pending calls and no reply for so long the connection may be lost without notice
IDLE_TIMEOUT_MS = (
    8000.0  # the counter closes idle connections after about 10 s: a call that crosses it is indeterminate
)
SWEEP_INTERVAL_S = 0.5
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 1000.0
MAX_LINE_BYTES = 512  # of one reply: a total has few digits
CRLF = b"\r\n"
ReplyCallback = Callable[[int, CallResult, float], None]  # a call's id, its result, the total


class InvalidReplyError(Exception):
    """What came is no reply: the connection is of no further use."""


def encode_call(key: int, units: float, expire_ms: float) -> bytes:
    """One call.  The amount is written out in full: an exponent is no decimal number."""
    amount = f"{units:.6f}".rstrip("0").rstrip(".").encode() or b"0"
    arguments = (b"%d" % key, amount, b"%d" % max(round(expire_ms), 1))
    return b"*4\r\n$6\r\nADDGET\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in arguments)


class ReplyReader:
    """The replies of one connection.  Each call ends once: by its reply, or indeterminate with the connection."""

    def __init__(self, replied: ReplyCallback) -> None:
        """`replied` is called with the end of each call."""
        self._replied = replied
        self._data = bytearray()
        self.pending: deque[int] = deque()  # ids of calls, in the order of their replies

    def feed(self, data: bytes) -> None:
        """Bytes that have come; raises InvalidReplyError, after which `connection_lost` must be called."""
        self._data += data
        while self.pending:
            reply = self._next_reply()
            if reply is None:
                return
            self._replied(self.pending.popleft(), *reply)
        if self._data:
            raise InvalidReplyError("a reply that nobody asked for")

    def _next_reply(self) -> tuple[CallResult, float] | None:
        """Result and total of the next reply, taken off the front; None where more of it must come."""
        data = self._data
        end = data.find(CRLF)
        if end < 0:
            if len(data) > MAX_LINE_BYTES:
                raise InvalidReplyError("a line without an end")
            return None
        first, line = data[:1], bytes(data[1:end])
        if first == b"-":  # -BUSY and -ERR: nothing was added
            del data[: end + 2]
            return CallResult.OVERLOADED, 0.0
        if first != b"$" or not line.isdigit() or int(line) > MAX_LINE_BYTES:
            raise InvalidReplyError("not a total")
        size, start = int(line), end + 2
        if len(data) < start + size + 2:
            return None
        text = bytes(data[start : start + size])
        if data[start + size : start + size + 2] != CRLF:
            raise InvalidReplyError("a total without an end")
        try:
            total = float(text)
        except ValueError:
            raise InvalidReplyError("not a number") from None
        if not -1e15 < total < 1e15:
            raise InvalidReplyError("not a number that can be")
        del data[: start + size + 2]
        return CallResult.OK, total

    def connection_lost(self) -> None:
        """The connection has ended: pending calls may have been added."""
        pending, self.pending = self.pending, deque()
        for call_id in pending:
            self._replied(call_id, CallResult.TIMEOUT, 0.0)  # what the policy takes for indeterminate


class _Connection(asyncio.Protocol):
    """One connection."""

    def __init__(self, owner: CounterClient) -> None:
        self._owner = owner
        self.replies = ReplyReader(owner.replied)
        self.transport: asyncio.Transport | None = None
        self.unsent: list[bytes] = []  # for the next write
        self.active_at = now_ms()  # the last reply, or the first call after none was pending

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is made."""
        self.transport = cast(asyncio.Transport, transport)
        self.active_at = now_ms()

    def data_received(self, data: bytes) -> None:
        """Replies have come."""
        self.active_at = now_ms()
        try:
            self.replies.feed(data)
        except InvalidReplyError:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._owner.connection_lost(self)
        self.replies.connection_lost()

    def close(self) -> None:
        """Close it; pending calls are indeterminate."""
        if self.transport is not None:
            self.transport.abort()


class CounterClient:
    """The counter calls of one gateway."""

    def __init__(
        self,
        address: tuple[str, int],
        replied: ReplyCallback,
        task_failed: Callable[[str, BaseException], None] = lambda where, error: None,
    ) -> None:
        """`task_failed` is called where a background task ended by an error that nobody expected."""
        self._address, self.replied, self._task_failed = address, replied, task_failed
        self._connections: list[_Connection] = []
        self._retired: list[_Connection] = []  # to an address that has been left: their replies still count
        self._connect_task: asyncio.Task[None] | None = None
        self._backoff = Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS)
        self._flush_scheduled = False
        self._sweeper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Connect."""
        self._sweeper = start_supervised(self._sweep, self._task_failed)
        self._ensure_connecting()

    def stop(self) -> None:
        """End every connection."""
        for task in (self._sweeper, self._connect_task):
            if task is not None:
                task.cancel()
        connections = [*self._connections, *self._retired]
        self._connections, self._retired = [], []  # else each would be made anew as it ends
        for connection in connections:
            connection.close()

    def move(self, address: tuple[str, int]) -> None:
        """Use the counter at another address from now on; replies that the old one still owes are waited for."""
        if address == self._address:
            return
        self._address = address
        self._retired, self._connections = self._retired + self._connections, []
        for connection in self._retired:
            if not connection.replies.pending:
                connection.close()
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        self._backoff.succeeded()
        self._ensure_connecting()

    def add(self, call_id: int, key: int, units: float, expire_ms: float, bounds_ceiling: bool) -> None:
        """Make a call; how long the counter lost nothing cannot be proved here."""
        connection = min(self._connections, key=lambda one: len(one.replies.pending), default=None)
        if connection is None or len(connection.replies.pending) >= MAX_CALLS_PER_CONNECTION:
            # Reported in the next turn of the loop: the policy is in the midst of the decision that made the call.
            result = CallResult.CONNECT_FAILED if connection is None else CallResult.OVERLOADED
            asyncio.get_running_loop().call_soon(self.replied, call_id, result, 0.0)
            return
        if not connection.replies.pending:
            connection.active_at = now_ms()
        connection.replies.pending.append(call_id)
        connection.unsent.append(encode_call(key, units, expire_ms))
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """One write for all that came up in this turn of the loop."""
        self._flush_scheduled = False
        for connection in self._connections + self._retired:
            if connection.unsent and connection.transport is not None:
                out, connection.unsent = connection.unsent, []
                connection.transport.write(b"".join(out))

    def connection_lost(self, connection: _Connection) -> None:
        """A connection has ended."""
        if connection in self._connections:
            self._connections.remove(connection)
            self._ensure_connecting()
        elif connection in self._retired:
            self._retired.remove(connection)

    def _ensure_connecting(self) -> None:
        if self._connect_task is None or self._connect_task.done():
            self._connect_task = start_supervised(self._connect, self._task_failed)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        while len(self._connections) < MAX_CONNECTIONS:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, connection = await loop.create_connection(lambda: _Connection(self), *self._address)
            except (OSError, TimeoutError):
                await asyncio.sleep(self._backoff.failed() / MS_PER_S)
                continue
            self._backoff.succeeded()
            self._connections.append(connection)

    async def _sweep(self) -> None:
        """Close what has fallen silent, and what the counter would close for idling while a call is under way."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = now_ms()
            for connection in [*self._connections, *self._retired]:
                if now - connection.active_at > self._timeout_ms(connection):
                    connection.close()

    def _timeout_ms(self, connection: _Connection) -> float:
        """How long a connection may be silent."""
        if connection.replies.pending:
            return REPLY_TIMEOUT_MS
        return 0.0 if connection in self._retired else IDLE_TIMEOUT_MS
