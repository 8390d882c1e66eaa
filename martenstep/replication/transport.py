"""Streams between nodes that hold replicas.

There is one connection for each direction of a pair of nodes, for all groups, opened by the sender, and opened again
when it breaks.

The server greets with a nonce; the client answers with its own and a Hello.  A node that is not the one that is meant
closes.  A replica is its disk: a message for a replica that is not here is dropped, and `on_unknown_replica` is called.

What cannot be sent at once waits in a bounded queue.  Messages may be lost, as on any network: Raft sends again what
matters.
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
FindNode = Callable[[int], str | None]  # the node that a replica is on
DeliverMessage = Callable[[int, RaftMessage], None]  # is given the sending replica and its message


class ReplicaChannel:
    """One replica's end of the transport."""

    def __init__(
        self, transport: Transport, group: str, replica: int, find_node: FindNode, deliver: DeliverMessage
    ) -> None:
        """`deliver` is given the messages to this replica."""
        self.group = group
        self.replica = replica
        self.deliver = deliver
        self.contacted_nodes: dict[int, str] = {}  # nodes of replicas that no configuration has yet
        self._transport = transport
        self._find_node = find_node

    def send(self, to: int, message: RaftMessage) -> None:
        """Send to another replica of the group; lost where its node is not known."""
        node = self._find_node(to) or self.contacted_nodes.get(to)
        if node is not None:
            self._transport.send(node, Envelope(self.group, self.replica, to), encode(message))

    def close(self) -> None:
        """Deliver nothing more."""
        self._transport.remove_channel(self)


class Transport:
    """One node's connections."""

    def __init__(  # noqa: PLR0913 (puts the parts together)
        self,
        cluster: str,
        node: str,
        keys: Callable[[], Keyring],
        find_address: Callable[[str], Address | None],
        on_node_message: Callable[[str, str, int, NodeMessage], None] = lambda node, group, replica, message: None,
        on_unknown_replica: Callable[[str, str, int, int], None] = lambda node, group, source, target: None,
    ) -> None:
        """`find_address` gives the present address of a node.

        `on_node_message` is given what nodes send to each other (node, group, replica, message); `on_unknown_replica`
        is called for a message to a replica that is not here (node, group, source, target).
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
        """Bind; gives the port."""
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
        """Open the channel of a replica, one for each group; `deliver` is given what others send to it."""
        channel = self._channels[group] = ReplicaChannel(self, group, replica, find_node, deliver)
        return channel

    def remove_channel(self, channel: ReplicaChannel) -> None:
        """A replica is here no more."""
        if self._channels.get(channel.group) is channel:
            del self._channels[channel.group]

    # Sending.

    def send_to_node(self, node: str, group: str, message: NodeMessage, replica: int = 0) -> None:
        """Send to a node, about a group or one replica there."""
        self.send(node, Envelope(group, replica, 0), encode_node_message(message))

    def send(self, node: str, envelope: Envelope, message: bytes) -> None:
        """Send as soon as may be; lost where the queue is full or the connection breaks."""
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
            queue.clear()  # it was meant for a moment that has passed
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
        """Send what is queued, and what is added, until the other end closes: it sends nothing else."""
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
            pass  # cancelled only by `stop`, and nobody waits for this task
        finally:
            self._served.discard(task)
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Deliver what comes over one connection until it ends."""
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
        """Deliver one frame's message; raises msgspec.DecodeError."""
        envelope, message = decode_body(body)
        if not envelope.target:
            self._on_node_message(node, envelope.group, envelope.source, decode_node_message(message))
            return
        channel = self._channels.get(envelope.group)
        if channel is None or channel.replica != envelope.target:
            self.counts["not_for_this_disk"] += 1
            self._on_unknown_replica(node, envelope.group, envelope.source, envelope.target)
            return
        channel.contacted_nodes[envelope.source] = node
        channel.deliver(envelope.source, decode_raft_message(message))
