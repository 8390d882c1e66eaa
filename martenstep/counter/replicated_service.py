"""Where doors reach a counter that several copies hold: the protocol of `frames` in front of a machine's copies.

Only the leader answers, and only what stands: an add's or a try's reply leaves once a majority holds it durably, a
read's once the leader knows that nothing is missing (`replication.host.Host`).  Any other copy names the leader's
address and ends the connection (MOVED); a leader that lost its place while commands were out does so as well, and the
door asks again under the same sequences, at whoever leads now.  So a reply is never a guess, and a command that got
none is in doubt until it is asked again.

Replies keep the order of the commands, however their entries come to stand.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from martenstep.config.text import Faults
from martenstep.counter import counter_pb2 as pb
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
from martenstep.counter.service import limits_of
from martenstep.counter.steady_clock import SteadyClock
from martenstep.event_log import EventLog
from martenstep.lifetime import until_stopped
from martenstep.membership.keys import KeyFileError, read_keys
from martenstep.replication.messages import Config
from martenstep.replication.placement import Change, HandOver, Invite, learning, next_step
from martenstep.replication.raft import Role
from martenstep.replication.replica import Host, InDoubtError, NotLeaderError
from martenstep.replication.replica_storage import Store, StoreError
from martenstep.replication.transport import Links
from martenstep.storage.files import Disk

TEND_S = 0.25  # between two looks at whether the group is as it is listed
HAND_OVER_S = 0.2  # for another to take over before this one ends


Waiting = Reply | asyncio.Future[Reply]


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What one copy takes; whoever asks for more is told FULL, or cut off."""

    max_connections: int = 1000
    max_pending: int = 4096  # commands of one connection without their reply
    max_unsent_bytes: int = 1_000_000  # a door that does not read is cut off
    idle_timeout_s: float = 5.0  # for a frame that has begun, and for the first one
    map_version: int | None = None  # that a door must name; None: any


class ReplicatedService:
    """The listener of a machine that holds copies."""

    def __init__(
        self,
        held: Callable[[str], Host | None],
        where: Callable[[str, int | None], str | None],
        bounds: ServiceLimits | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """`held` gives the copy of a group that is here, its machine a CopiedCounter; `where` the address for doors, as
        HOST:PORT, of one copy of a group, or of any that may know who leads; `clock` Unix seconds, where it is not
        to be the wall clock as of now, carried on steadily."""
        self.find_replica, self.limits = held, bounds or ServiceLimits()
        self._where, self._clock = where, clock or SteadyClock().now_s
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Bind; gives the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port)
        self._sweeper = loop.create_task(close_idle_connections(self.connections, self.limits.idle_timeout_s))
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Take nobody more and end every connection: what is out there is in doubt."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def submit(self, hello: Hello, command: Hello | Add | Read | RecordAttempt) -> Waiting:
        """What comes of a command, or a future of it; `reply` makes the answer of either."""
        host = self.find_replica(hello.group)
        if host is None:
            return Rejection(Status.MOVED, self._where(hello.group, None) or "")
        if isinstance(command, Read):
            return asyncio.get_running_loop().create_task(self._read(host, command))
        try:
            return host.proposed(encode_entry(self._clock() * 1000, hello.gateway, hello.epoch, command))
        except NotLeaderError as error:
            return self._moved(hello, error.leader)
        except (ValueError, ProtocolError) as error:  # larger than an entry may be
            return (
                Rejection(Status.BAD, str(error))
                if isinstance(command, Hello)
                else reply_without_result(command, Status.BAD)
            )

    @staticmethod
    async def _read(host: Host, command: Read) -> Reply:
        await host.read()
        assert isinstance(host.machine, ReplicatedCounter)
        return TotalReply(command.sequence, Status.DONE, host.machine.total(command.key))

    def _moved(self, hello: Hello, leader: int | None) -> Rejection:
        return Rejection(Status.MOVED, (self._where(hello.group, leader) or "") if leader is not None else "")

    def resolve(self, hello: Hello, waiting: Waiting) -> Reply:
        """The answer; MOVED, with the leader's address if it is known, where this machine cannot say."""
        if not isinstance(waiting, asyncio.Future):
            return waiting
        try:
            reply = waiting.result()
        except NotLeaderError as error:
            return self._moved(hello, error.leader)
        except InDoubtError:
            host = self.find_replica(hello.group)
            leader = host.copy.leader if host is not None and host.copy.leader != host.copy.me else None
            return self._moved(hello, leader)
        if isinstance(reply, Welcome):
            reply.map_version = hello.map_version
        return reply


class _Connection(GatewayConnection):
    """One door's connection."""

    def __init__(self, service: ReplicatedService) -> None:
        super().__init__(service.limits.max_unsent_bytes)
        self._service = service
        self._hello: Hello | None = None
        self._out: deque[Waiting] = deque()
        self._telling: asyncio.Task[None] | None = None

    @property
    def owes_frame(self) -> bool:
        """Whether a frame is owed: the first one, or the rest of one."""
        return super().owes_frame or self._hello is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if len(self._service.connections) >= self._service.limits.max_connections:
            self.reject(Status.FULL, "no more connections are taken")
        else:
            self._service.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._service.connections.discard(self)
        if self._telling is not None:
            self._telling.cancel()
        for waiting in self._out:
            if isinstance(waiting, asyncio.Future):
                waiting.cancel()  # the entries stand or not as they would: nobody is there to be told

    def handle_frame(self, frame: Frame) -> None:
        """One frame."""
        if isinstance(frame, Hello) and self._hello is None:
            if frame.version != PROTOCOL_VERSION:
                self.reject(Status.VERSION, f"version {frame.version} is not spoken here; {PROTOCOL_VERSION} is")
                return
            wanted = self._service.limits.map_version
            if wanted is not None and frame.map_version != wanted:
                self.reject(Status.MAP, f"names are split in another way here: {wanted}, not {frame.map_version}")
                return
            self._hello = frame
            self._ask(frame, frame)
        elif isinstance(frame, Add | Read | RecordAttempt) and self._hello is not None:
            self._ask(self._hello, frame)
        else:
            raise ProtocolError(f"{type(frame).__name__} where it was not expected")

    def _ask(self, hello: Hello, command: Hello | Add | Read | RecordAttempt) -> None:
        full = len(self._out) >= self._service.limits.max_pending and not isinstance(command, Hello)
        self._out.append(
            reply_without_result(command, Status.FULL)
            if full and not isinstance(command, Hello)
            else self._service.submit(hello, command)
        )
        if len(self._out) == 1:
            self._telling = asyncio.get_running_loop().create_task(self._tell(hello))

    async def _tell(self, hello: Hello) -> None:
        while self._out:
            first = self._out[0]
            if isinstance(first, asyncio.Future) and not first.done():
                await asyncio.wait((first,))
            parts: list[bytes] = []  # all that is there by now, in one write
            while self._out and not (isinstance(self._out[0], asyncio.Future) and not self._out[0].done()):
                reply = self._service.resolve(hello, self._out.popleft())
                if isinstance(reply, Rejection):
                    self.send(b"".join(parts))
                    self.reject(reply.status, reply.reason)
                    return
                parts.append(encode(reply))
            self.send(b"".join(parts))


def _renew(listed: ReplicaList, load: Callable[[], pb.Service]) -> None:
    """Take up a new list of copies; what is wrong with it changes nothing."""
    try:
        listed.update(load().copies)
    except (Faults, OSError) as error:
        _log_event("copies not taken up", {"error": str(error)})
    else:
        _log_event("copies taken up", {"copies": list(listed.replicas)})


class ReplicaError(Exception):
    """A copy that cannot start as the settings want it: why."""


def read_identity(directory: Path, witness: Path) -> int:
    """Whose disk a directory is; an empty one becomes a new copy's.  Raises CopyError, LockedError, OSError."""
    with contextlib.ExitStack() as stack:
        disks = [stack.enter_context(contextlib.closing(Disk(path))) for path in (directory, witness)]
        return stack.enter_context(contextlib.closing(_opened(disks[0], disks[1]))).id


def _opened(disk: Disk, witness: Disk) -> Store:
    try:
        return Store(disk, witness, random.SystemRandom())
    except StoreError as error:
        raise ReplicaError(str(error)) from None


def _log_event(event: str, fields: dict[str, Any]) -> None:
    sys.stderr.write(json.dumps({"event": event, **fields}) + "\n")


class ReplicaList:
    """The copies as the settings list them; what they list now is where the group is led to."""

    def __init__(self, copies: pb.Copies) -> None:
        self.update(copies)
        # Danger: were those that came later among them, two of three new ones would make a group of their own.
        self.bootstrap_config = Config(tuple(copy.id for copy in copies.copy if not copy.later))

    def update(self, copies: pb.Copies) -> None:
        """Take up another list."""
        self.replicas = {copy.id: copy for copy in copies.copy}

    def address(self, place: str) -> tuple[str, int] | None:
        """Where a copy's place is, which is its number."""
        copy = self.replicas.get(int(place))
        return (copy.host, copy.port) if copy is not None else None

    def gateway_address(self, copy: int | None) -> str | None:
        """Where doors reach a copy."""
        return self.replicas[copy].doors if copy in self.replicas else None

    def next_change(self, config: Config, me: int) -> Config | HandOver | None:
        """The next thing to do on the way to the list, for who leads."""
        places = [str(copy) for copy in self.replicas]
        homes = tuple((copy, str(copy)) for copy in config.everyone)
        told = next_step(Config(config.voters, config.learners, homes), me, places, (), places, len(places), True)
        if isinstance(told, Invite):
            return learning(config, int(told.place), told.place)
        return told.config if isinstance(told, Change) else told


async def _lead_to(listed: ReplicaList, host: Host, log_event: EventLog) -> None:
    """Lead the group to what is listed, one change after another, wherever this copy leads."""
    while True:
        await asyncio.sleep(TEND_S)
        copy = host.copy
        step = listed.next_change(copy.config, copy.me) if copy.role is Role.LEADER else None
        if isinstance(step, HandOver):
            host.hand_over(step.to)
        elif step is not None and host.change(step):
            log_event("copies change", {"voters": step.voters, "learners": step.learners})


async def serve(settings: pb.Service, load: Callable[[], pb.Service] | None = None) -> int:
    """Run one copy until SIGTERM; gives the exit code.  Raises CopyError, LockedError or OSError.

    `load` reads the settings anew, on SIGHUP: the list of copies is taken up from them."""
    told = settings.copies
    try:
        keys = read_keys(Path(told.key_file))
    except KeyFileError as error:
        raise ReplicaError(str(error)) from None
    disk, witness = Disk(Path(settings.log.directory)), Disk(Path(told.witness))
    try:
        store = _opened(disk, witness)
        listed = ReplicaList(told)
        if store.id not in listed.replicas:
            raise ReplicaError(
                f"{settings.log.directory} is the disk of copy {store.id}, not among those of the settings "
                f"({', '.join(map(str, listed.replicas))}): an emptied disk is another copy"
            )
        machine = ReplicatedCounter(limits_of(settings))
        links = Links(told.group, str(store.id), lambda: keys, listed.address)
        host = Host(told.group, store, listed.bootstrap_config, machine, links, _log_event, place_of=str)
        service = ReplicatedService(
            lambda group: host,
            lambda group, copy: listed.gateway_address(copy),
            ServiceLimits(
                settings.max_connections, settings.max_waiting, settings.unsent_bytes, settings.idle_ms / 1000
            ),
        )
        mine = listed.replicas[store.id]
        await links.start(mine.host, mine.port)
        host.start()
        tending = asyncio.get_running_loop().create_task(_lead_to(listed, host, _log_event))
        port = await service.start(settings.host, settings.port)
        if load is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _renew, listed, load)
        await until_stopped({"port": port}, copy=store.id, proven=store.proven)
        tending.cancel()
        if host.hand_over():  # so that nobody waits for an election
            await asyncio.sleep(HAND_OVER_S)
        await service.stop()
        await host.stop()
        links.stop()
        store.close()
    finally:
        disk.close()
        witness.close()
    return 0
