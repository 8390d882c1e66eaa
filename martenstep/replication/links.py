"""Streams between copies: a connection for each direction of a pair, opened by who sends, opened again when it breaks.

The server greets with 16 bytes drawn for the connection; the client answers with 16 of its own and a hello that names
the group, itself and whom it means.  Who is not that copy (another disk on that machine) closes.  Frames: `u32 length,
body, HMAC` over the connection's context, the frame's number and the body, so that none passes twice or elsewhere.

What cannot be sent at once waits in a bounded line; past its bound the oldest goes.  That loses messages, as a network
may: the core sends again what matters.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import secrets
import struct
from collections import Counter, deque
from collections.abc import Callable

import msgspec

from martenstep.backoff import Backoff
from martenstep.members.gossip.wire import MAC_BYTES, Keys
from martenstep.replication.messages import Message, encode, message_of

MOST_FRAME = 8 << 20
MOST_WAITING = 512  # messages to one copy
CONNECT_S, IDLE_S = 1.0, 30.0
LEAST_AGAIN_MS, MOST_AGAIN_MS = 50.0, 1000.0
DRAW = 16
Address = tuple[str, int]


class Hello(msgspec.Struct, array_like=True):
    """Who opens a connection, for which group, and whom it means."""

    group: str
    source: int
    target: int


class LinkError(Exception):
    """A frame that is none, or not sealed: the connection ends."""


class Sealed:
    """Frames of one direction of a connection."""

    def __init__(self, keys: Keys, server: bytes, client: bytes) -> None:
        self._keys = keys
        self._context = hashlib.sha256(b"martenstep copies 1" + server + client).digest()
        self._number = 0

    def _sealed(self, body: bytes) -> bytes:
        bound = self._context + struct.pack(">Q", self._number) + body
        self._number += 1
        return bound

    def frame(self, body: bytes) -> bytes:
        """The next frame."""
        return struct.pack(">I", len(body) + MAC_BYTES) + body + self._keys.seal(self._sealed(body))

    async def read(self, reader: asyncio.StreamReader) -> bytes:
        """The next frame's body; raises LinkError."""
        (length,) = struct.unpack(">I", await reader.readexactly(4))
        if not MAC_BYTES <= length <= MOST_FRAME:
            raise LinkError("length")
        data = await reader.readexactly(length)
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not self._keys.opens(self._sealed(body), mac):
            raise LinkError("mac")
        return body


class _Out:
    """What goes to one copy."""

    def __init__(self) -> None:
        self.waiting: deque[bytes] = deque(maxlen=MOST_WAITING)
        self.news = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class Links:
    """One copy's connections."""

    def __init__(self, group: str, me: int, keys: Keys, address_of: Callable[[int], Address | None],
                 take: Callable[[int, Message], None]) -> None:
        """`address_of` tells where a copy is now; `take` is given what others send."""
        self._group, self._me, self._keys = group, me, keys
        self._address_of, self._take = address_of, take
        self._outs: dict[int, _Out] = {}
        self._server: asyncio.Server | None = None
        self._served: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()

    async def start(self, host: str, port: int) -> int:
        """Bind; gives the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Let go of all."""
        if self._server is not None:
            self._server.close()
        for out in self._outs.values():
            if out.task is not None:
                out.task.cancel()
        for task in list(self._served):
            task.cancel()

    def send(self, to: int, message: Message) -> None:
        """As soon as may be; lost where the line is full or the connection breaks."""
        out = self._outs.get(to)
        if out is None:
            out = self._outs[to] = _Out()
            out.task = asyncio.get_running_loop().create_task(self._run(to, out))
        if len(out.waiting) == MOST_WAITING:
            self.counts["let_go"] += 1
        out.waiting.append(encode(message))
        out.news.set()

    async def _run(self, to: int, out: _Out) -> None:
        backoff = Backoff(LEAST_AGAIN_MS, MOST_AGAIN_MS)
        while True:
            await out.news.wait()
            address = self._address_of(to)
            if address is not None:
                with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                    await self._connected(to, address, out, backoff)
            out.waiting.clear()  # it was meant for a moment that has passed
            out.news.clear()
            await asyncio.sleep(backoff.failed() / 1000)

    async def _connected(self, to: int, address: Address, out: _Out, backoff: Backoff) -> None:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            async with asyncio.timeout(CONNECT_S):
                server, client = await reader.readexactly(DRAW), secrets.token_bytes(DRAW)
            sealed = Sealed(self._keys, server, client)
            writer.write(client + sealed.frame(msgspec.msgpack.encode(Hello(self._group, self._me, to))))
            # It says nothing more: what comes is its end.
            ended = asyncio.get_running_loop().create_task(reader.read(1))
            try:
                while not ended.done():
                    out.news.clear()
                    while out.waiting:
                        writer.write(sealed.frame(out.waiting.popleft()))
                    async with asyncio.timeout(CONNECT_S):
                        await writer.drain()
                    backoff.succeeded()
                    news = asyncio.get_running_loop().create_task(out.news.wait())
                    try:
                        await asyncio.wait({news, ended}, return_when=asyncio.FIRST_COMPLETED)
                    finally:
                        news.cancel()
            finally:
                ended.cancel()
        finally:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._served.add(task)
        mine = secrets.token_bytes(DRAW)
        try:
            writer.write(mine)
            async with asyncio.timeout(CONNECT_S):
                sealed = Sealed(self._keys, mine, await reader.readexactly(DRAW))
                hello = msgspec.msgpack.decode(await sealed.read(reader), type=Hello)
            if (hello.group, hello.target) != (self._group, self._me):
                self.counts["not_for_this_disk"] += 1
                return
            while True:
                async with asyncio.timeout(IDLE_S):
                    body = await sealed.read(reader)
                self._take(hello.source, message_of(body))
        except LinkError as error:
            self.counts[f"dropped_{error}"] += 1
        except msgspec.DecodeError:
            self.counts["dropped_body"] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled only by `stop`, and nobody waits for this task
        finally:
            self._served.discard(task)
            writer.close()
