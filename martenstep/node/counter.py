"""Client of the platform's counter: pipelined calls of `ADDGET NAME AMOUNT LIFE_MS` over RESP2.

`ReplyReader` is the protocol of one connection without its socket: it matches replies to the pending calls, in order.
Calls are spread over a few connections, so that an invalid reply leaves only the calls of its own connection
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

MAX_CONNECTIONS = 4  # the counter accepts 32 from one gateway
MAX_CALLS_PER_CONNECTION = 256  # a call behind more than this would be answered long after its timeout
CONNECT_TIMEOUT_S = 0.5
REPLY_TIMEOUT_MS = 2000.0  # with pending calls and no reply for this long, the connection may be lost silently
# The counter closes idle connections after about 10 s; a call sent at that moment would be indeterminate.
IDLE_TIMEOUT_MS = 8000.0
SWEEP_INTERVAL_S = 0.5
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 1000.0
MIN_LIFETIME_MS = 1000.0  # a connection that ends earlier without a reply counts as a failed connect
MAX_LINE_BYTES = 512  # of one reply; a total has few digits
MAX_TOTAL = 1e15
CRLF = b"\r\n"
ReplyCallback = Callable[[int, CallResult, float], None]  # the id of a call, its result, the total


class InvalidReplyError(Exception):
    """Received bytes that are not a valid reply: the connection cannot be used further."""


def encode_call(key: int, units: float, expire_ms: float) -> bytes:
    """Encode one call.  The amount has no exponent: the counter accepts decimal numbers only."""
    amount = f"{units:.6f}".rstrip("0").rstrip(".").encode() or b"0"
    arguments = (b"%d" % key, amount, b"%d" % max(round(expire_ms), 1))
    return b"*4\r\n$6\r\nADDGET\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in arguments)


class ReplyReader:
    """Reads the replies of one connection.  Each call ends once: by its reply, or indeterminate with the connection."""

    def __init__(self, replied: ReplyCallback) -> None:
        """`replied` is called once for each call."""
        self._replied = replied
        self._data = bytearray()
        self.pending: deque[int] = deque()  # ids of calls, in the order in which they were sent

    def feed(self, data: bytes) -> None:
        """Process received bytes; raises InvalidReplyError, after which `connection_lost` must be called."""
        self._data += data
        while self.pending:
            reply = self._next_reply()
            if reply is None:
                return
            self._replied(self.pending.popleft(), *reply)
        if self._data:
            raise InvalidReplyError(f"received {len(self._data)} bytes without a pending call")

    def _next_reply(self) -> tuple[CallResult, float] | None:
        """Remove the next reply from the buffer and return its result and total; None while it is incomplete."""
        data = self._data
        end = data.find(CRLF)
        if end < 0:
            if len(data) > MAX_LINE_BYTES:
                raise InvalidReplyError(
                    f"reply: expected CRLF within {MAX_LINE_BYTES} bytes, got {len(data)} without one"
                )
            return None
        first, line = data[:1], bytes(data[1:end])
        if first == b"-":  # -BUSY or -ERR: the amount was not added
            del data[: end + 2]
            return CallResult.OVERLOADED, 0.0
        if first != b"$" or not line.isdigit() or int(line) > MAX_LINE_BYTES:
            raise InvalidReplyError(
                f"reply: expected a bulk string of up to {MAX_LINE_BYTES} bytes, got {first + line!r}"
            )
        size, start = int(line), end + 2
        if len(data) < start + size + 2:
            return None
        text = bytes(data[start : start + size])
        if data[start + size : start + size + 2] != CRLF:
            raise InvalidReplyError(f"total: expected CRLF after {size} bytes, got {text!r} without it")
        try:
            total = float(text)
        except ValueError:
            raise InvalidReplyError(f"total: expected a decimal number, got {text!r}") from None
        if not -MAX_TOTAL < total < MAX_TOTAL:
            raise InvalidReplyError(f"total: expected less than {MAX_TOTAL:g} in magnitude, got {text!r}")
        del data[: start + size + 2]
        return CallResult.OK, total

    def connection_lost(self) -> None:
        """End the pending calls after the connection ended: their amounts may have been added."""
        pending, self.pending = self.pending, deque()
        for call_id in pending:
            self._replied(call_id, CallResult.TIMEOUT, 0.0)  # the policy treats this result as indeterminate


class _Connection(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, owner: CounterClient) -> None:
        self._owner = owner
        self.replies = ReplyReader(owner.replied)
        self.transport: asyncio.Transport | None = None
        self.unsent: list[bytes] = []  # calls for the next write
        self.connected_at = now_ms()
        self.active_at = self.connected_at  # time of the last reply, or of the first call after none was pending
        self.has_replied = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.connected_at = self.active_at = now_ms()

    def data_received(self, data: bytes) -> None:
        """Process replies; an invalid one closes the connection."""
        self.active_at = now_ms()
        if not self.has_replied:
            self.has_replied = True
            self._owner.connection_replied()
        try:
            self.replies.feed(data)
        except InvalidReplyError:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from its owner and end its pending calls."""
        self._owner.connection_lost(self)
        self.replies.connection_lost()

    def close(self) -> None:
        """Close the connection; pending calls become indeterminate."""
        if self.transport is not None:
            self.transport.abort()


class CounterClient:
    """Makes the counter calls of one gateway."""

    def __init__(
        self,
        address: tuple[str, int],
        replied: ReplyCallback,
        task_failed: Callable[[str, BaseException], None] = lambda where, error: None,
    ) -> None:
        """`task_failed` is called when a background task fails with an unexpected error."""
        self._address, self.replied, self._task_failed = address, replied, task_failed
        self._connections: list[_Connection] = []
        self._retired: list[_Connection] = []  # to a previous address: replies to their pending calls still count
        self._connect_task: asyncio.Task[None] | None = None
        self._backoff = Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS)
        self._was_refused = False  # the last connection that ended did so at once, without a reply
        self._flush_scheduled = False
        self._sweeper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the connections."""
        self._sweeper = start_supervised(self._sweep, self._task_failed)
        self._ensure_connecting()

    def stop(self) -> None:
        """Close all connections."""
        for task in (self._sweeper, self._connect_task):
            if task is not None:
                task.cancel()
        connections = [*self._connections, *self._retired]
        self._connections, self._retired = [], []  # emptied first, or each lost connection would be replaced
        for connection in connections:
            connection.close()

    def change_address(self, address: tuple[str, int]) -> None:
        """Use the counter at another address; the old connections stay open until their pending calls are answered."""
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
        self._was_refused = False
        self._ensure_connecting()

    def add(self, call_id: int, key: int, units: float, expire_ms: float, bounds_ceiling: bool) -> None:
        """Make a call.  `bounds_ceiling` has no effect: this counter cannot prove how long it has lost no data."""
        connection = min(self._connections, key=lambda one: len(one.replies.pending), default=None)
        if connection is None or len(connection.replies.pending) >= MAX_CALLS_PER_CONNECTION:
            # Reported in the next turn of the loop, since the policy has not finished the decision that made this call.
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
        """Write all calls of this turn of the loop to each connection at once."""
        self._flush_scheduled = False
        for connection in self._connections + self._retired:
            if connection.unsent and connection.transport is not None:
                out, connection.unsent = connection.unsent, []
                connection.transport.write(b"".join(out))

    def connection_replied(self) -> None:
        """Record that the counter serves calls."""
        self._backoff.succeeded()

    def connection_lost(self, connection: _Connection) -> None:
        """Remove a connection that ended; replace it if it was in use."""
        is_young = now_ms() - connection.connected_at < MIN_LIFETIME_MS
        self._was_refused = is_young and not connection.has_replied
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
            if self._was_refused:  # a counter that accepts and closes would be dialled without a pause
                self._was_refused = False
                await asyncio.sleep(self._backoff.failed() / MS_PER_S)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, connection = await loop.create_connection(lambda: _Connection(self), *self._address)
            except (OSError, TimeoutError):
                await asyncio.sleep(self._backoff.failed() / MS_PER_S)
                continue
            if connection.transport is not None and not connection.transport.is_closing():
                self._connections.append(connection)

    async def _sweep(self) -> None:
        """Close silent connections, and idle ones before the counter would close them under a call."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = now_ms()
            for connection in [*self._connections, *self._retired]:
                if now - connection.active_at > self._timeout_ms(connection):
                    connection.close()

    def _timeout_ms(self, connection: _Connection) -> float:
        """Return how long a connection may be without a reply."""
        if connection.replies.pending:
            return REPLY_TIMEOUT_MS
        return 0.0 if connection in self._retired else IDLE_TIMEOUT_MS
