"""The listener through which gateways reach a replicated counter: it serves the replicas of one machine.

Only the leader answers, and only with committed results.  The reply to an add or an attempt is sent once a majority
holds it durably, and the reply to a read once the leader has confirmed its leadership (`replication.replica`).  Any
other replica ends the connection with the leader's address (MOVED).  So does a leader that loses its term while
commands are pending; the gateway then sends them again to the new leader, under the same sequences.  A reply is
therefore always final, and a command without a reply is indeterminate until it is sent again.

Replies are sent in the order of the commands, regardless of when their entries are committed.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from martenstep.counter.connection import GatewayConnection, close_idle_connections
from martenstep.counter.protocol import (
    PROTOCOL_VERSION,
    Add,
    Frame,
    Hello,
    ProtocolError,
    Read,
    RecordAttempt,
    Rejection,
    Reply,
    Status,
    TotalReply,
    Welcome,
    encode,
    reply_without_result,
)
from martenstep.counter.replicated_counter import ReplicatedCounter, encode_entry
from martenstep.counter.steady_clock import SteadyClock
from martenstep.replication.errors import IndeterminateError, NotLeaderError
from martenstep.replication.replica import Replica

PendingReply = Reply | asyncio.Future[Reply]
Request = Hello | Add | Read | RecordAttempt


def _is_ready(pending: PendingReply) -> bool:
    return not isinstance(pending, asyncio.Future) or pending.done()


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """The limits of one listener; a gateway that exceeds one gets FULL, or is disconnected."""

    max_connections: int = 1000
    max_pending: int = 4096  # commands of one connection that have no reply yet
    max_unsent_bytes: int = 1_000_000  # a gateway that reads too slowly is disconnected
    idle_timeout_s: float = 5.0  # for the rest of a frame, and for the first frame
    map_version: int | None = None  # the version that a gateway must have; None: any


class ReplicatedService:
    """The counter's listener at a machine that holds replicas."""

    def __init__(
        self,
        find_replica: Callable[[str], Replica | None],
        find_address: Callable[[str, int | None], str | None],
        limits: ServiceLimits | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Serve the replicas of this machine.

        `find_replica` returns the local replica of a group, whose state machine is a ReplicatedCounter.
        `find_address` returns the address for gateways, as HOST:PORT, of one replica of a group, or for None of any
        replica that may know the leader.  `clock` returns Unix seconds; the default is a `SteadyClock`.
        """
        self.find_replica = find_replica
        self.limits = limits or ServiceLimits()
        self.connections: set[_Connection] = set()
        self._find_address = find_address
        self._clock = clock or SteadyClock().now_s
        self._server: asyncio.Server | None = None
        self._idle_check: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Begin to listen; returns the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port)
        self._idle_check = loop.create_task(close_idle_connections(self.connections, self.limits.idle_timeout_s))
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and end every connection; pending commands are indeterminate."""
        if self._idle_check is not None:
            self._idle_check.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def submit(self, hello: Hello, command: Request) -> PendingReply:
        """Submit a command of a session; `resolve` turns the result into the reply."""
        replica = self.find_replica(hello.group)
        if replica is None:
            return Rejection(Status.MOVED, self._find_address(hello.group, None) or "")
        if isinstance(command, Read):
            return asyncio.get_running_loop().create_task(self._read(replica, command))
        try:
            entry = encode_entry(self._clock() * 1000, hello.gateway, hello.epoch, command)
            return replica.submit(entry)
        except NotLeaderError as error:
            return self._moved(hello, error.leader)
        except (ValueError, ProtocolError) as error:  # the entry is too large
            if isinstance(command, Hello):
                return Rejection(Status.BAD, str(error))
            return reply_without_result(command, Status.BAD)

    @staticmethod
    async def _read(replica: Replica, command: Read) -> Reply:
        await replica.confirm_leadership()
        assert isinstance(replica.state_machine, ReplicatedCounter)
        return TotalReply(command.sequence, Status.DONE, replica.state_machine.total(command.key))

    def _moved(self, hello: Hello, leader: int | None) -> Rejection:
        address = self._find_address(hello.group, leader) if leader is not None else None
        return Rejection(Status.MOVED, address or "")

    def resolve(self, hello: Hello, pending: PendingReply) -> Reply:
        """Return the reply, or MOVED with the leader's address, if known, when the result is not available here."""
        if not isinstance(pending, asyncio.Future):
            return pending
        try:
            reply = pending.result()
        except NotLeaderError as error:
            return self._moved(hello, error.leader)
        except IndeterminateError:
            replica = self.find_replica(hello.group)
            leads_elsewhere = replica is not None and replica.raft.leader != replica.raft.replica_id
            leader = replica.raft.leader if replica is not None and leads_elsewhere else None
            return self._moved(hello, leader)
        if isinstance(reply, Welcome):
            reply.map_version = hello.map_version
        return reply


class _Connection(GatewayConnection):
    """One gateway's connection."""

    def __init__(self, service: ReplicatedService) -> None:
        super().__init__(service.limits.max_unsent_bytes)
        self._service = service
        self._hello: Hello | None = None
        self._pending: deque[PendingReply] = deque()
        self._reply_task: asyncio.Task[None] | None = None

    @property
    def expects_frame(self) -> bool:
        """Whether the gateway has not sent its first frame yet, or only part of a frame."""
        return super().expects_frame or self._hello is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if len(self._service.connections) >= self._service.limits.max_connections:
            self.reject(Status.FULL, "no more connections are taken")
        else:
            self._service.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._service.connections.discard(self)
        if self._reply_task is not None:
            self._reply_task.cancel()
        for pending in self._pending:
            if isinstance(pending, asyncio.Future):
                pending.cancel()  # this does not affect the entries; only their replies have no receiver

    def handle_frame(self, frame: Frame) -> None:
        """Handle one frame."""
        if isinstance(frame, Hello) and self._hello is None:
            self._open_session(frame)
        elif isinstance(frame, Add | Read | RecordAttempt) and self._hello is not None:
            self._submit(self._hello, frame)
        else:
            raise ProtocolError(f"{type(frame).__name__} where it was not expected")

    def _open_session(self, hello: Hello) -> None:
        if hello.version != PROTOCOL_VERSION:
            self.reject(Status.VERSION, f"version {hello.version} is not spoken here; {PROTOCOL_VERSION} is")
            return
        map_version = self._service.limits.map_version
        if map_version is not None and hello.map_version != map_version:
            reason = f"names are split in another way here: {map_version}, not {hello.map_version}"
            self.reject(Status.MAP, reason)
            return
        self._hello = hello
        self._submit(hello, hello)

    def _submit(self, hello: Hello, command: Request) -> None:
        full = len(self._pending) >= self._service.limits.max_pending
        if full and not isinstance(command, Hello):
            self._pending.append(reply_without_result(command, Status.FULL))
        else:
            self._pending.append(self._service.submit(hello, command))
        if len(self._pending) == 1:
            self._reply_task = asyncio.get_running_loop().create_task(self._send_replies(hello))

    async def _send_replies(self, hello: Hello) -> None:
        while self._pending:
            first = self._pending[0]
            if isinstance(first, asyncio.Future) and not first.done():
                await asyncio.wait((first,))
            parts: list[bytes] = []  # all replies that are ready are sent in one write
            while self._pending and _is_ready(self._pending[0]):
                reply = self._service.resolve(hello, self._pending.popleft())
                if isinstance(reply, Rejection):
                    self.send(b"".join(parts))
                    self.reject(reply.status, reply.reason)
                    return
                parts.append(encode(reply))
            self.send(b"".join(parts))
