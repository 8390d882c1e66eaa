"""Streams between nodes that hold replicas.

Each direction between two nodes has one connection for all groups.  The sender opens it, and reopens it when it breaks.

The server sends a nonce; the client answers with its own nonce and a Hello.  The server closes the connection if the
Hello names another node or cluster.  A replica is identified by its disk: a message for a replica that is not on this
node is dropped, and `on_unknown_replica` is called.

Messages that cannot be sent at once wait in a bounded queue.  Messages may be lost, as on any network; Raft resends
those that matter.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections import Counter
from collections.abc import Callable

import msgspec

from martenstep.backoff import Backoff
from martenstep.membership.keyring import Keyring
from martenstep.replication.errors import FrameError
from martenstep.replication.frames import (
    NONCE_BYTES,
    AuthenticatedFrames,
    Envelope,
    Hello,
    decode_body,
    encode_body,
)
from martenstep.replication.messages import RaftMessage, decode_raft_message, encode
from martenstep.replication.node_messages import NodeMessage, decode_node_message, encode_node_message
from martenstep.replication.outbound_queue import OutboundQueue

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
MIN_RECONNECT_MS = 50.0
MAX_RECONNECT_MS = 1000.0
Address = tuple[str, int]
FindNode = Callable[[int], str | None]  # returns the node of a replica
DeliverMessage = Callable[[int, RaftMessage], None]  # receives the sending replica and its message


class ReplicaChannel:
    """One replica's end of the transport."""

    def __init__(
        self, transport: Transport, group: str, replica: int, find_node: FindNode, deliver: DeliverMessage
    ) -> None:
        """`deliver` receives the messages to this replica."""
        self.group = group
        self.replica = replica
        self.deliver = deliver
        self.sender_nodes: dict[int, str] = {}  # last node that each replica sent from
        self._transport = transport
        self._find_node = find_node

    def send(self, to: int, message: RaftMessage) -> None:
        """Send to another replica of the group; the message is dropped if its node is not known."""
        node = self._find_node(to) or self.sender_nodes.get(to)
        if node is not None:
            self._transport.send(node, Envelope(self.group, self.replica, to), encode(message))

    def close(self) -> None:
        """Stop receiving messages."""
        self._transport.remove_channel(self)


class Transport:
    """One node's connections to and from other nodes."""

    def __init__(  # noqa: PLR0913 (combines all parts)
        self,
        cluster: str,
        node: str,
        keys: Callable[[], Keyring],
        find_address: Callable[[str], Address | None],
        on_node_message: Callable[[str, str, int, NodeMessage], None] = lambda node, group, replica, message: None,
        on_unknown_replica: Callable[[str, str, int, int], None] = lambda node, group, source, target: None,
    ) -> None:
        """`find_address` returns the current address of a node.

        `on_node_message` receives messages between nodes (node, group, replica, message); `on_unknown_replica` is
        called for a message to a replica that is not on this node (node, group, source, target).
        """
        self._cluster = cluster
        self._node = node
        self._keys = keys
        self._find_address = find_address
        self._on_node_message = on_node_message
        self._on_unknown_replica = on_unknown_replica
        self._channels: dict[str, ReplicaChannel] = {}
        self._queues: dict[str, OutboundQueue] = {}
        self._server: asyncio.Server | None = None
        self._served: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()  # shown as metrics under these names

    async def start(self, host: str, port: int) -> int:
        """Listen for connections; returns the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for queue in self._queues.values():
            if queue.sender is not None:
                queue.sender.cancel()
        for task in list(self._served):
            task.cancel()

    def open(self, group: str, replica: int, find_node: FindNode, deliver: DeliverMessage) -> ReplicaChannel:
        """Open the channel of a replica, one per group; `deliver` receives the messages to it."""
        channel = self._channels[group] = ReplicaChannel(self, group, replica, find_node, deliver)
        return channel

    def remove_channel(self, channel: ReplicaChannel) -> None:
        """Remove a replica's channel, unless it was replaced by another one of its group."""
        if self._channels.get(channel.group) is channel:
            del self._channels[channel.group]

    # Sending.

    def send_to_node(self, node: str, group: str, message: NodeMessage, replica: int = 0) -> None:
        """Send a message to a node about a group or one of its replicas."""
        self.send(node, Envelope(group, replica, 0), encode_node_message(message))

    def send(self, node: str, envelope: Envelope, message: bytes) -> None:
        """Queue a message for sending; it may be lost when the queue is full or the connection breaks."""
        queue = self._queues.get(node)
        if queue is None:
            queue = self._queues[node] = OutboundQueue()
            queue.sender = asyncio.get_running_loop().create_task(self._send_forever(node, queue))
        self.counts["let_go"] += queue.put(encode_body(envelope, message))

    async def _send_forever(self, node: str, queue: OutboundQueue) -> None:
        backoff = Backoff(MIN_RECONNECT_MS, MAX_RECONNECT_MS)
        while True:
            await queue.changed.wait()
            address = self._find_address(node)
            if address is not None:
                with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                    await self._connect_and_send(node, address, queue, backoff)
            queue.clear()  # messages queued while disconnected are outdated
            await asyncio.sleep(backoff.failed() / 1000)

    async def _connect_and_send(self, node: str, address: Address, queue: OutboundQueue, backoff: Backoff) -> None:
        """Send over one connection until it ends."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                server_nonce = await reader.readexactly(NONCE_BYTES)
            client_nonce = secrets.token_bytes(NONCE_BYTES)
            frames = AuthenticatedFrames(self._keys(), server_nonce, client_nonce)
            hello = Hello(self._cluster, self._node, node)
            writer.write(client_nonce + frames.encode(msgspec.msgpack.encode(hello)))
            await self._send_queued(reader, writer, frames, queue, backoff)
        finally:
            writer.close()

    @staticmethod
    async def _send_queued(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        frames: AuthenticatedFrames,
        queue: OutboundQueue,
        backoff: Backoff,
    ) -> None:
        """Send all queued messages until the server closes the connection; after its nonce it sends no data."""
        loop = asyncio.get_running_loop()
        ended = loop.create_task(reader.read(1))
        try:
            while not ended.done():
                queue.changed.clear()
                while queue:
                    writer.write(frames.encode(queue.pop()))
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await writer.drain()
                backoff.succeeded()
                changed = loop.create_task(queue.changed.wait())
                try:
                    await asyncio.wait({changed, ended}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    changed.cancel()
        finally:
            ended.cancel()

    # Receiving.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._served.add(task)
        try:
            await self._receive(reader, writer)
        except FrameError as error:
            self.counts[f"dropped_{error.reason}"] += 1
        except msgspec.DecodeError:
            self.counts["dropped_body"] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection ended; only `stop` cancels this task, and no other task awaits it
        finally:
            self._served.discard(task)
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Deliver the messages of one connection until it ends."""
        server_nonce = secrets.token_bytes(NONCE_BYTES)
        writer.write(server_nonce)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            frames = AuthenticatedFrames(self._keys(), server_nonce, await reader.readexactly(NONCE_BYTES))
            hello = msgspec.msgpack.decode(await frames.read(reader), type=Hello)
        if (hello.cluster, hello.target) != (self._cluster, self._node):
            self.counts["not_for_this_place"] += 1
            return
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                body = await frames.read(reader)
            self._deliver(hello.source, body)

    def _deliver(self, node: str, body: bytes) -> None:
        """Deliver the message of one frame; raises msgspec.DecodeError."""
        envelope, message = decode_body(body)
        if not envelope.target:
            self._on_node_message(node, envelope.group, envelope.source, decode_node_message(message))
            return
        channel = self._channels.get(envelope.group)
        if channel is None or channel.replica != envelope.target:
            self.counts["not_for_this_disk"] += 1
            self._on_unknown_replica(node, envelope.group, envelope.source, envelope.target)
            return
        channel.sender_nodes[envelope.source] = node
        channel.deliver(envelope.source, decode_raft_message(message))
