"""Streams between machines that hold copies: one connection for each direction of a pair, for all groups, opened by who
sends, opened again when it breaks.

The server greets with 16 bytes drawn for the connection; the client answers with 16 of its own and a hello that names
its place and the one that it means.  Who is not at that place closes.  Frames: `u32 length, body, HMAC` over the
connection's context, the frame's number and the body, so that none passes twice or elsewhere.  A body is an envelope
(`u16 length`, MessagePack: group, source, target) and a message.  A copy is its disk: what is meant for a copy that is
not here goes no further, and whoever sent it is told so.

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
from martenstep.membership.keyring import MAC_BYTES, Keyring
from martenstep.replication.messages import Message, Word, encode, message_of, word_of

MOST_FRAME = 8 << 20
MOST_WAITING = 4096  # frames to one place
MOST_WAITING_BYTES = 16 << 20
CONNECT_S, IDLE_S = 1.0, 30.0
LEAST_AGAIN_MS, MOST_AGAIN_MS = 50.0, 1000.0
DRAW = 16
Address = tuple[str, int]


class Hello(msgspec.Struct, array_like=True):
    """Who opens a connection, and whom it means; `cluster` keeps fleets apart that share a key."""

    cluster: str
    source: str
    target: str


class Envelope(msgspec.Struct, array_like=True):
    """Of one message: the group, and the copies; between places, where no copy is meant, both are 0."""

    group: str
    source: int
    target: int


class LinkError(Exception):
    """A frame that is none, or not sealed: the connection ends."""


class Sealed:
    """Frames of one direction of a connection."""

    def __init__(self, keys: Keyring, server: bytes, client: bytes) -> None:
        self._keys = keys
        self._context = hashlib.sha256(b"martenstep copies 2" + server + client).digest()
        self._number = 0

    def _sealed(self, body: bytes) -> bytes:
        bound = self._context + struct.pack(">Q", self._number) + body
        self._number += 1
        return bound

    def frame(self, body: bytes) -> bytes:
        """The next frame."""
        return struct.pack(">I", len(body) + MAC_BYTES) + body + self._keys.sign(self._sealed(body))

    async def read(self, reader: asyncio.StreamReader) -> bytes:
        """The next frame's body; raises LinkError."""
        (length,) = struct.unpack(">I", await reader.readexactly(4))
        if not MAC_BYTES <= length <= MOST_FRAME:
            raise LinkError("length")
        data = await reader.readexactly(length)
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not self._keys.verify(self._sealed(body), mac):
            raise LinkError("mac")
        return body


class _Out:
    """What goes to one place."""

    def __init__(self) -> None:
        self.waiting: deque[bytes] = deque()
        self.bytes = 0
        self.news = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def put(self, frame: bytes) -> int:
        """One more; gives how many went for it."""
        gone = 0
        self.waiting.append(frame)
        self.bytes += len(frame)
        while len(self.waiting) > MOST_WAITING or (self.bytes > MOST_WAITING_BYTES and len(self.waiting) > 1):
            self.bytes -= len(self.waiting.popleft())
            gone += 1
        self.news.set()
        return gone

    def take(self) -> bytes:
        """The oldest."""
        frame = self.waiting.popleft()
        self.bytes -= len(frame)
        return frame

    def clear(self) -> None:
        """All goes."""
        self.waiting.clear()
        self.bytes = 0
        self.news.clear()


class Port:
    """One copy's end of the links."""

    def __init__(
        self,
        links: Links,
        group: str,
        me: int,
        place_of: Callable[[int], str | None],
        take: Callable[[int, Message], None],
    ) -> None:
        self.group, self.me, self.take = group, me, take
        self._links, self._place_of = links, place_of
        self.heard: dict[int, str] = {}  # where copies spoke from that nothing else tells of yet

    def send(self, to: int, message: Message) -> None:
        """To another copy of the group; lost where nobody knows its place."""
        place = self._place_of(to) or self.heard.get(to)
        if place is not None:
            self._links.send(place, Envelope(self.group, self.me, to), encode(message))

    def close(self) -> None:
        """Nothing more is taken."""
        self._links.closed(self)


class Links:
    """One machine's connections."""

    def __init__(
        self,
        cluster: str,
        me: str,
        keys: Callable[[], Keyring],
        address_of: Callable[[str], Address | None],
        words: Callable[[str, str, int, Word], None] = lambda place, group, copy, word: None,
        nobody: Callable[[str, str, int, int], None] = lambda place, group, source, target: None,
    ) -> None:
        """`me` is this machine's place, `address_of` tells where a place is now.  `words` is given what places say to
        each other (place, group, copy, word); `nobody` is told of a message for a copy that is not here (place, group,
        source, target)."""
        self._cluster, self._me, self._keys = cluster, me, keys
        self._address_of, self._words, self._nobody = address_of, words, nobody
        self._ports: dict[str, Port] = {}
        self._outs: dict[str, _Out] = {}
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

    def open(
        self, group: str, me: int, place_of: Callable[[int], str | None], take: Callable[[int, Message], None]
    ) -> Port:
        """A copy's end, one a group; `take` is given what others send to it."""
        port = self._ports[group] = Port(self, group, me, place_of, take)
        return port

    def closed(self, port: Port) -> None:
        """A copy is here no more."""
        if self._ports.get(port.group) is port:
            del self._ports[port.group]

    def say(self, place: str, group: str, word: Word, copy: int = 0) -> None:
        """To a place, of a group or of one copy there."""
        self.send(place, Envelope(group, copy, 0), msgspec.msgpack.encode(word))

    def send(self, place: str, envelope: Envelope, body: bytes) -> None:
        """As soon as may be; lost where the line is full or the connection breaks."""
        out = self._outs.get(place)
        if out is None:
            out = self._outs[place] = _Out()
            out.task = asyncio.get_running_loop().create_task(self._run(place, out))
        head = msgspec.msgpack.encode(envelope)
        self.counts["let_go"] += out.put(len(head).to_bytes(2, "big") + head + body)

    async def _run(self, place: str, out: _Out) -> None:
        backoff = Backoff(LEAST_AGAIN_MS, MOST_AGAIN_MS)
        while True:
            await out.news.wait()
            address = self._address_of(place)
            if address is not None:
                with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                    await self._connected(place, address, out, backoff)
            out.clear()  # it was meant for a moment that has passed
            await asyncio.sleep(backoff.failed() / 1000)

    async def _connected(self, place: str, address: Address, out: _Out, backoff: Backoff) -> None:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            async with asyncio.timeout(CONNECT_S):
                server, client = await reader.readexactly(DRAW), secrets.token_bytes(DRAW)
            sealed = Sealed(self._keys(), server, client)
            writer.write(client + sealed.frame(msgspec.msgpack.encode(Hello(self._cluster, self._me, place))))
            # It says nothing more: what comes is its end.
            ended = asyncio.get_running_loop().create_task(reader.read(1))
            try:
                while not ended.done():
                    out.news.clear()
                    while out.waiting:
                        writer.write(sealed.frame(out.take()))
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
                sealed = Sealed(self._keys(), mine, await reader.readexactly(DRAW))
                hello = msgspec.msgpack.decode(await sealed.read(reader), type=Hello)
            if (hello.cluster, hello.target) != (self._cluster, self._me):
                self.counts["not_for_this_place"] += 1
                return
            while True:
                async with asyncio.timeout(IDLE_S):
                    body = await sealed.read(reader)
                self._came(hello.source, body)
        except LinkError as error:
            self.counts[f"dropped_{error}"] += 1
        except msgspec.DecodeError:
            self.counts["dropped_body"] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled only by `stop`, and nobody waits for this task
        finally:
            self._served.discard(task)
            writer.close()

    def _came(self, place: str, body: bytes) -> None:
        """One frame; raises msgspec.DecodeError."""
        size = int.from_bytes(body[:2], "big")
        envelope = msgspec.msgpack.decode(body[2 : 2 + size], type=Envelope)
        if not envelope.target:
            self._words(place, envelope.group, envelope.source, word_of(body[2 + size :]))
            return
        port = self._ports.get(envelope.group)
        if port is None or port.me != envelope.target:
            self.counts["not_for_this_disk"] += 1
            self._nobody(place, envelope.group, envelope.source, envelope.target)
            return
        port.heard[envelope.source] = place
        port.take(envelope.source, message_of(body[2 + size :]))
