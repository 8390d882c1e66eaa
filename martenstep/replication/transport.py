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
from martenstep.membership.codec import MAC_BYTES, Keys
from martenstep.replication.messages import NodeMessage, RaftMessage, decode_node_message, decode_raft_message, encode

MAX_FRAME_BYTES = 8 << 20
MAX_QUEUED_FRAMES = 4096  # frames to one place
MAX_QUEUED_BYTES = 16 << 20
CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S = 1.0, 30.0
MIN_RECONNECT_MS, MAX_RECONNECT_MS = 50.0, 1000.0
NONCE_BYTES = 16
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


class TransportError(Exception):
    """A frame that is none, or not sealed: the connection ends."""


class AuthenticatedFrames:
    """Frames of one direction of a connection."""

    def __init__(self, keys: Keys, server: bytes, client: bytes) -> None:
        self._keys = keys
        self._context = hashlib.sha256(b"martenstep copies 2" + server + client).digest()
        self._number = 0

    def _bind(self, body: bytes) -> bytes:
        bound = self._context + struct.pack(">Q", self._number) + body
        self._number += 1
        return bound

    def encode(self, body: bytes) -> bytes:
        """The next frame."""
        return struct.pack(">I", len(body) + MAC_BYTES) + body + self._keys.seal(self._bind(body))

    async def read(self, reader: asyncio.StreamReader) -> bytes:
        """The next frame's body; raises LinkError."""
        (length,) = struct.unpack(">I", await reader.readexactly(4))
        if not MAC_BYTES <= length <= MAX_FRAME_BYTES:
            raise TransportError("length")
        data = await reader.readexactly(length)
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not self._keys.opens(self._bind(body), mac):
            raise TransportError("mac")
        return body


class _OutboundQueue:
    """What goes to one place."""

    def __init__(self) -> None:
        self.frames: deque[bytes] = deque()
        self.bytes = 0
        self.changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def put(self, frame: bytes) -> int:
        """One more; gives how many went for it."""
        gone = 0
        self.frames.append(frame)
        self.bytes += len(frame)
        while len(self.frames) > MAX_QUEUED_FRAMES or (self.bytes > MAX_QUEUED_BYTES and len(self.frames) > 1):
            self.bytes -= len(self.frames.popleft())
            gone += 1
        self.changed.set()
        return gone

    def take(self) -> bytes:
        """The oldest."""
        frame = self.frames.popleft()
        self.bytes -= len(frame)
        return frame

    def clear(self) -> None:
        """All goes."""
        self.frames.clear()
        self.bytes = 0
        self.changed.clear()


class ReplicaChannel:
    """One copy's end of the links."""

    def __init__(
        self,
        links: Transport,
        group: str,
        me: int,
        place_of: Callable[[int], str | None],
        take: Callable[[int, RaftMessage], None],
    ) -> None:
        self.group, self.replica, self.deliver = group, me, take
        self._transport, self._find_node = links, place_of
        self.contacted_nodes: dict[int, str] = {}  # where copies spoke from that nothing else tells of yet

    def send(self, to: int, message: RaftMessage) -> None:
        """To another copy of the group; lost where nobody knows its place."""
        place = self._find_node(to) or self.contacted_nodes.get(to)
        if place is not None:
            self._transport.send(place, Envelope(self.group, self.replica, to), encode(message))

    def close(self) -> None:
        """Nothing more is taken."""
        self._transport.remove_channel(self)


class Transport:
    """One machine's connections."""

    def __init__(
        self,
        cluster: str,
        me: str,
        keys: Callable[[], Keys],
        address_of: Callable[[str], Address | None],
        words: Callable[[str, str, int, NodeMessage], None] = lambda place, group, copy, word: None,
        nobody: Callable[[str, str, int, int], None] = lambda place, group, source, target: None,
    ) -> None:
        """`me` is this machine's place, `address_of` tells where a place is now.  `words` is given what places say to
        each other (place, group, copy, word); `nobody` is told of a message for a copy that is not here (place, group,
        source, target)."""
        self._cluster, self._node, self._keys = cluster, me, keys
        self._find_address, self._on_node_message, self._on_unknown_replica = address_of, words, nobody
        self._channels: dict[str, ReplicaChannel] = {}
        self._queues: dict[str, _OutboundQueue] = {}
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
        for out in self._queues.values():
            if out.task is not None:
                out.task.cancel()
        for task in list(self._served):
            task.cancel()

    def open(
        self, group: str, me: int, place_of: Callable[[int], str | None], take: Callable[[int, RaftMessage], None]
    ) -> ReplicaChannel:
        """A copy's end, one a group; `take` is given what others send to it."""
        port = self._channels[group] = ReplicaChannel(self, group, me, place_of, take)
        return port

    def remove_channel(self, port: ReplicaChannel) -> None:
        """A copy is here no more."""
        if self._channels.get(port.group) is port:
            del self._channels[port.group]

    def send_to_node(self, place: str, group: str, word: NodeMessage, copy: int = 0) -> None:
        """To a place, of a group or of one copy there."""
        self.send(place, Envelope(group, copy, 0), msgspec.msgpack.encode(word))

    def send(self, place: str, envelope: Envelope, body: bytes) -> None:
        """As soon as may be; lost where the line is full or the connection breaks."""
        out = self._queues.get(place)
        if out is None:
            out = self._queues[place] = _OutboundQueue()
            out.task = asyncio.get_running_loop().create_task(self._run(place, out))
        head = msgspec.msgpack.encode(envelope)
        self.counts["let_go"] += out.put(len(head).to_bytes(2, "big") + head + body)

    async def _run(self, place: str, out: _OutboundQueue) -> None:
        backoff = Backoff(MIN_RECONNECT_MS, MAX_RECONNECT_MS)
        while True:
            await out.changed.wait()
            address = self._find_address(place)
            if address is not None:
                with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                    await self._connected(place, address, out, backoff)
            out.clear()  # it was meant for a moment that has passed
            await asyncio.sleep(backoff.failed() / 1000)

    async def _connected(self, place: str, address: Address, out: _OutboundQueue, backoff: Backoff) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                server, client = await reader.readexactly(NONCE_BYTES), secrets.token_bytes(NONCE_BYTES)
            sealed = AuthenticatedFrames(self._keys(), server, client)
            writer.write(client + sealed.encode(msgspec.msgpack.encode(Hello(self._cluster, self._node, place))))
            # It says nothing more: what comes is its end.
            ended = asyncio.get_running_loop().create_task(reader.read(1))
            try:
                while not ended.done():
                    out.changed.clear()
                    while out.frames:
                        writer.write(sealed.encode(out.take()))
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        await writer.drain()
                    backoff.succeeded()
                    news = asyncio.get_running_loop().create_task(out.changed.wait())
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
        mine = secrets.token_bytes(NONCE_BYTES)
        try:
            writer.write(mine)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                sealed = AuthenticatedFrames(self._keys(), mine, await reader.readexactly(NONCE_BYTES))
                hello = msgspec.msgpack.decode(await sealed.read(reader), type=Hello)
            if (hello.cluster, hello.target) != (self._cluster, self._node):
                self.counts["not_for_this_place"] += 1
                return
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    body = await sealed.read(reader)
                self._deliver(hello.source, body)
        except TransportError as error:
            self.counts[f"dropped_{error}"] += 1
        except msgspec.DecodeError:
            self.counts["dropped_body"] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled only by `stop`, and nobody waits for this task
        finally:
            self._served.discard(task)
            writer.close()

    def _deliver(self, place: str, body: bytes) -> None:
        """One frame; raises msgspec.DecodeError."""
        size = int.from_bytes(body[:2], "big")
        envelope = msgspec.msgpack.decode(body[2 : 2 + size], type=Envelope)
        if not envelope.target:
            self._on_node_message(place, envelope.group, envelope.source, decode_node_message(body[2 + size :]))
            return
        port = self._channels.get(envelope.group)
        if port is None or port.replica != envelope.target:
            self.counts["not_for_this_disk"] += 1
            self._on_unknown_replica(place, envelope.group, envelope.source, envelope.target)
            return
        port.contacted_nodes[envelope.source] = place
        port.deliver(envelope.source, decode_raft_message(body[2 + size :]))
