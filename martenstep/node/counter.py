"""The platform's counter: `ADDGET NAME AMOUNT LIFE_MS` over RESP2, calls written back to back.

`Lane` is one connection's protocol without its socket: what is out, in order, and what each answer proves.  Calls
spread over a few connections, so that one answer that cannot be read leaves only those of its own connection in doubt.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from martenstep.backoff import Backoff
from martenstep.policy.messages import CallResult
from martenstep.proxy.clock import now_ms
from martenstep.tasks import start_supervised

LANES = 4  # connections; the counter takes 32 of a front door
LANE_CALLS = 256  # out on one: what stands behind more would be answered long after its time
CONNECT_S = 0.5
SILENT_MS = 2000.0  # with calls out and no answer for so long the connection may be gone without a word
IDLE_MS = 8000.0  # the counter closes a connection that idles about 10 s: a call that crosses it is in doubt
SWEEP_S = 0.5
AGAIN_LEAST_MS, AGAIN_MOST_MS = 50.0, 1000.0
LINE_BYTES = 512  # of one answer: a total has few digits
CRLF = b"\r\n"
Answered = Callable[[int, CallResult, float], None]  # a call's number, how it ended, the total


class UnreadableError(Exception):
    """An answer that is none: the connection is of no further use."""


def worded(name: int, units: float, life_ms: float) -> bytes:
    """One call.  The amount is written out in full: an exponent is no decimal number."""
    told = (b"%d" % name, f"{units:.6f}".rstrip("0").rstrip(".").encode() or b"0", b"%d" % max(round(life_ms), 1))
    return b"*4\r\n$6\r\nADDGET\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in told)


class Lane:
    """The answers of one connection.  Each call ends once: by its answer, or in doubt with the connection."""

    def __init__(self, answered: Answered) -> None:
        self._answered = answered
        self._data = bytearray()
        self.out: deque[int] = deque()

    def feed(self, data: bytes) -> None:
        """Bytes that have come; raises UnreadableError, after which `lost` is owed."""
        self._data += data
        while self.out:
            read = self._one()
            if read is None:
                return
            verdict, total = read
            self._answered(self.out.popleft(), verdict, total)
        if self._data:
            raise UnreadableError("an answer that nobody asked for")

    def _one(self) -> tuple[CallResult, float] | None:
        """The next answer, taken off the front; None where more of it must come."""
        data = self._data
        end = data.find(CRLF)
        if end < 0:
            if len(data) > LINE_BYTES:
                raise UnreadableError("a line without an end")
            return None
        first, line = data[:1], bytes(data[1:end])
        if first == b"-":  # -BUSY and -ERR: nothing was added
            del data[: end + 2]
            return CallResult.OVERLOADED, 0.0
        if first != b"$" or not line.isdigit() or int(line) > LINE_BYTES:
            raise UnreadableError("not a total")
        size, start = int(line), end + 2
        if len(data) < start + size + 2:
            return None
        text = bytes(data[start : start + size])
        if data[start + size : start + size + 2] != CRLF:
            raise UnreadableError("a total without an end")
        try:
            total = float(text)
        except ValueError:
            raise UnreadableError("not a number") from None
        if not -1e15 < total < 1e15:
            raise UnreadableError("not a number that can be")
        del data[: start + size + 2]
        return CallResult.OK, total

    def lost(self) -> None:
        """The connection is over: what was out on it may have been added."""
        out, self.out = self.out, deque()
        for call in out:
            self._answered(call, CallResult.TIMEOUT, 0.0)  # the module's word for what may have been added


class _Link(asyncio.Protocol):
    """One connection."""

    def __init__(self, owner: Counter) -> None:
        self._owner = owner
        self.lane = Lane(owner.tell)
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []  # for the next write
        self.heard = now_ms()  # last answer, or the first call after none was out

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        self.transport = cast(asyncio.Transport, transport)
        self.heard = now_ms()

    def data_received(self, data: bytes) -> None:
        """Answers."""
        self.heard = now_ms()
        try:
            self.lane.feed(data)
        except UnreadableError:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over."""
        self._owner.gone(self)
        self.lane.lost()

    def close(self) -> None:
        """End it; what is out is in doubt."""
        if self.transport is not None:
            self.transport.abort()


class Counter:
    """The calls of one front door."""

    def __init__(
        self,
        address: tuple[str, int],
        answered: Answered,
        failed: Callable[[str, BaseException], None] = lambda where, error: None,
    ) -> None:
        """`failed` is told where a standing task ended by what nobody expected."""
        self._address, self.tell, self._failed = address, answered, failed
        self._links: list[_Link] = []
        self._old: list[_Link] = []  # of an address that has been left: their answers still count
        self._dialling: asyncio.Task[None] | None = None
        self._backoff = Backoff(AGAIN_LEAST_MS, AGAIN_MOST_MS)
        self._flushing = False
        self._sweeper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Connect."""
        self._sweeper = start_supervised(self._sweep, self._failed)
        self._dial()

    def stop(self) -> None:
        """End every connection."""
        for task in (self._sweeper, self._dialling):
            if task is not None:
                task.cancel()
        links, self._links, self._old = [*self._links, *self._old], [], []  # else each would be dialled anew as it ends
        for link in links:
            link.close()

    def move(self, address: tuple[str, int]) -> None:
        """The counter is elsewhere from now on; answers that are still owed by the old one are waited for."""
        if address == self._address:
            return
        self._address = address
        self._old, self._links = self._old + self._links, []
        for link in self._old:
            if not link.lane.out:
                link.close()
        if self._dialling is not None:
            self._dialling.cancel()
            self._dialling = None
        self._backoff.succeeded()
        self._dial()

    def add(self, call: int, name: int, units: float, expire_ms: float, proof: bool) -> None:
        """Make a call; how long nothing was lost cannot be proved here."""
        links = self._links
        link = min(links, key=lambda one: len(one.lane.out), default=None)
        if link is None or len(link.lane.out) >= LANE_CALLS:
            # Told after this turn of the loop: the module is in the midst of what made it ask.
            verdict = CallResult.CONNECT_FAILED if link is None else CallResult.OVERLOADED
            asyncio.get_running_loop().call_soon(self.tell, call, verdict, 0.0)
            return
        if not link.lane.out:
            link.heard = now_ms()
        link.lane.out.append(call)
        link.waiting.append(worded(name, units, expire_ms))
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """One write for all that came up in this turn of the loop."""
        self._flushing = False
        for link in self._links + self._old:
            if link.waiting and link.transport is not None:
                out, link.waiting = link.waiting, []
                link.transport.write(b"".join(out))

    def gone(self, link: _Link) -> None:
        """A connection is over."""
        if link in self._links:
            self._links.remove(link)
            self._dial()
        elif link in self._old:
            self._old.remove(link)

    def _dial(self) -> None:
        if self._dialling is None or self._dialling.done():
            self._dialling = start_supervised(self._connect, self._failed)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        while len(self._links) < LANES:
            try:
                async with asyncio.timeout(CONNECT_S):
                    _, link = await loop.create_connection(lambda: _Link(self), *self._address)
            except (OSError, TimeoutError):
                await asyncio.sleep(self._backoff.failed() / 1000)
                continue
            self._backoff.succeeded()
            self._links.append(link)

    async def _sweep(self) -> None:
        """Close what has fallen silent, and what would be closed for idling while a call is under way."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = now_ms()
            for link in [*self._links, *self._old]:
                quiet = now - link.heard
                if quiet > (SILENT_MS if link.lane.out else 0.0 if link in self._old else IDLE_MS):
                    link.close()
