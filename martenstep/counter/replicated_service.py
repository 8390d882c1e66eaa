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

from martenstep.config.text_format import SettingsError
from martenstep.counter import counter_pb2 as pb
from martenstep.counter.connection import DoorConnection, cut_off_silent
from martenstep.counter.protocol import (
    VERSION,
    Add,
    Frame,
    FrameError,
    Hello,
    Read,
    Record,
    Refused,
    Reply,
    Status,
    Total,
    Welcome,
    encode,
    without,
)
from martenstep.counter.replicated_counter import CopiedCounter, asked
from martenstep.counter.service import limits_of
from martenstep.counter.steady_clock import SteadyClock
from martenstep.event_log import EventLog
from martenstep.lifetime import until_stopped
from martenstep.membership.keyring import KeyFileError, read_keyring
from martenstep.replication.errors import IndeterminateError, NotLeaderError, ReplicaStorageError
from martenstep.replication.messages import Configuration
from martenstep.replication.placement import (
    AddReplica,
    ChangeConfiguration,
    GroupView,
    TransferLeadership,
    next_step,
    with_learner,
)
from martenstep.replication.raft import Role
from martenstep.replication.replica import Replica
from martenstep.replication.replica_storage import ReplicaStorage
from martenstep.replication.transport import Transport
from martenstep.storage.files import Disk

TEND_S = 0.25  # between two looks at whether the group is as it is listed
HAND_OVER_S = 0.2  # for another to take over before this one ends


Waiting = Reply | asyncio.Future[Reply]


@dataclass(frozen=True, slots=True)
class Bounds:
    """What one copy takes; whoever asks for more is told FULL, or cut off."""

    connections: int = 1000
    waiting: int = 4096  # commands of one connection without their reply
    unsent_bytes: int = 1_000_000  # a door that does not read is cut off
    hang_s: float = 5.0  # for a frame that has begun, and for the first one
    map_version: int | None = None  # that a door must name; None: any


class CopiedService:
    """The listener of a machine that holds copies."""

    def __init__(
        self,
        held: Callable[[str], Replica | None],
        where: Callable[[str, int | None], str | None],
        bounds: Bounds | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """`held` gives the copy of a group that is here, its machine a CopiedCounter; `where` the address for doors, as
        HOST:PORT, of one copy of a group, or of any that may know who leads; `clock` Unix seconds, where it is not
        to be the wall clock as of now, carried on steadily."""
        self.held, self.bounds = held, bounds or Bounds()
        self._where, self._clock = where, clock or SteadyClock().now_s
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Bind; gives the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port)
        self._sweeper = loop.create_task(cut_off_silent(self.connections, self.bounds.hang_s))
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

    def ask(self, hello: Hello, command: Hello | Add | Read | Record) -> Waiting:
        """What comes of a command, or a future of it; `reply` makes the answer of either."""
        host = self.held(hello.group)
        if host is None:
            return Refused(Status.MOVED, self._where(hello.group, None) or "")
        if isinstance(command, Read):
            return asyncio.get_running_loop().create_task(self._read(host, command))
        try:
            return host.submit(asked(self._clock() * 1000, hello.door, hello.epoch, command))
        except NotLeaderError as error:
            return self._moved(hello, error.leader)
        except (ValueError, FrameError) as error:  # larger than an entry may be
            return Refused(Status.BAD, str(error)) if isinstance(command, Hello) else without(command, Status.BAD)

    @staticmethod
    async def _read(host: Replica, command: Read) -> Reply:
        await host.confirm_leadership()
        assert isinstance(host.state_machine, CopiedCounter)
        return Total(command.sequence, Status.DONE, host.state_machine.total(command.name))

    def _moved(self, hello: Hello, leader: int | None) -> Refused:
        return Refused(Status.MOVED, (self._where(hello.group, leader) or "") if leader is not None else "")

    def reply(self, hello: Hello, waiting: Waiting) -> Reply:
        """The answer; MOVED, with the leader's address if it is known, where this machine cannot say."""
        if not isinstance(waiting, asyncio.Future):
            return waiting
        try:
            reply = waiting.result()
        except NotLeaderError as error:
            return self._moved(hello, error.leader)
        except IndeterminateError:
            host = self.held(hello.group)
            leader = host.raft.leader if host is not None and host.raft.leader != host.raft.replica_id else None
            return self._moved(hello, leader)
        if isinstance(reply, Welcome):
            reply.map_version = hello.map_version
        return reply


class _Connection(DoorConnection):
    """One door's connection."""

    def __init__(self, service: CopiedService) -> None:
        super().__init__(service.bounds.unsent_bytes)
        self._service = service
        self._hello: Hello | None = None
        self._out: deque[Waiting] = deque()
        self._telling: asyncio.Task[None] | None = None

    @property
    def hangs(self) -> bool:
        """Whether a frame is owed: the first one, or the rest of one."""
        return super().hangs or self._hello is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if len(self._service.connections) >= self._service.bounds.connections:
            self.end(Status.FULL, "no more connections are taken")
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

    def take(self, frame: Frame) -> None:
        """One frame."""
        if isinstance(frame, Hello) and self._hello is None:
            if frame.version != VERSION:
                self.end(Status.VERSION, f"version {frame.version} is not spoken here; {VERSION} is")
                return
            wanted = self._service.bounds.map_version
            if wanted is not None and frame.map_version != wanted:
                self.end(Status.MAP, f"names are split in another way here: {wanted}, not {frame.map_version}")
                return
            self._hello = frame
            self._ask(frame, frame)
        elif isinstance(frame, Add | Read | Record) and self._hello is not None:
            self._ask(self._hello, frame)
        else:
            raise FrameError(f"{type(frame).__name__} where it was not expected")

    def _ask(self, hello: Hello, command: Hello | Add | Read | Record) -> None:
        full = len(self._out) >= self._service.bounds.waiting and not isinstance(command, Hello)
        self._out.append(
            without(command, Status.FULL)
            if full and not isinstance(command, Hello)
            else self._service.ask(hello, command)
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
                reply = self._service.reply(hello, self._out.popleft())
                if isinstance(reply, Refused):
                    self.send(b"".join(parts))
                    self.end(reply.status, reply.reason)
                    return
                parts.append(encode(reply))
            self.send(b"".join(parts))


def _renew(listed: Listed, load: Callable[[], pb.Service]) -> None:
    """Take up a new list of copies; what is wrong with it changes nothing."""
    try:
        listed.take(load().copies)
    except (SettingsError, OSError) as error:
        _log_event("copies not taken up", {"error": str(error)})
    else:
        _log_event("copies taken up", {"copies": list(listed.copies)})


class CopyError(Exception):
    """A copy that cannot start as the settings want it: why."""


def identity_of(directory: Path, witness: Path) -> int:
    """Whose disk a directory is; an empty one becomes a new copy's.  Raises CopyError, LockedError, OSError."""
    with contextlib.ExitStack() as stack:
        disks = [stack.enter_context(contextlib.closing(Disk(path))) for path in (directory, witness)]
        return stack.enter_context(contextlib.closing(_opened(disks[0], disks[1]))).replica_id


def _opened(disk: Disk, witness: Disk) -> ReplicaStorage:
    try:
        return ReplicaStorage(disk, witness, random.SystemRandom())
    except ReplicaStorageError as error:
        raise CopyError(str(error)) from None


def _log_event(event: str, fields: dict[str, Any]) -> None:
    sys.stderr.write(json.dumps({"event": event, **fields}) + "\n")


class Listed:
    """The copies as the settings list them; what they list now is where the group is led to."""

    def __init__(self, copies: pb.Copies) -> None:
        self.take(copies)
        # Danger: were those that came later among them, two of three new ones would make a group of their own.
        self.first = Configuration(tuple(copy.id for copy in copies.copy if not copy.later))

    def take(self, copies: pb.Copies) -> None:
        """Take up another list."""
        self.copies = {copy.id: copy for copy in copies.copy}

    def address(self, place: str) -> tuple[str, int] | None:
        """Where a copy's place is, which is its number."""
        copy = self.copies.get(int(place))
        return (copy.host, copy.port) if copy is not None else None

    def doors(self, copy: int | None) -> str | None:
        """Where doors reach a copy."""
        return self.copies[copy].doors if copy in self.copies else None

    def step(self, config: Configuration, me: int) -> Configuration | TransferLeadership | None:
        """The next thing to do on the way to the list, for who leads."""
        places = [str(copy) for copy in self.copies]
        homes = tuple((copy, str(copy)) for copy in config.members)
        located = Configuration(config.voters, config.learners, homes)
        told = next_step(located, GroupView(me, places, (), places, len(places)))
        if isinstance(told, AddReplica):
            return with_learner(config, int(told.node), told.node)
        return told.configuration if isinstance(told, ChangeConfiguration) else told


async def _lead_to(listed: Listed, host: Replica, log_event: EventLog) -> None:
    """Lead the group to what is listed, one change after another, wherever this copy leads."""
    while True:
        await asyncio.sleep(TEND_S)
        copy = host.raft
        step = listed.step(copy.configuration, copy.replica_id) if copy.role is Role.LEADER else None
        if isinstance(step, TransferLeadership):
            host.transfer_leadership(step.to)
        elif step is not None and host.change_configuration(step):
            log_event("copies change", {"voters": step.voters, "learners": step.learners})


async def serve(settings: pb.Service, load: Callable[[], pb.Service] | None = None) -> int:
    """Run one copy until SIGTERM; gives the exit code.  Raises CopyError, LockedError or OSError.

    `load` reads the settings anew, on SIGHUP: the list of copies is taken up from them."""
    told = settings.copies
    try:
        keys = read_keyring(Path(told.key_file))
    except KeyFileError as error:
        raise CopyError(str(error)) from None
    disk, witness = Disk(Path(settings.log.directory)), Disk(Path(told.witness))
    try:
        store = _opened(disk, witness)
        listed = Listed(told)
        if store.replica_id not in listed.copies:
            raise CopyError(
                f"{settings.log.directory} is the disk of copy {store.replica_id}, not among those of the settings "
                f"({', '.join(map(str, listed.copies))}): an emptied disk is another copy"
            )
        machine = CopiedCounter(limits_of(settings))
        links = Transport(told.group, str(store.replica_id), lambda: keys, listed.address)
        host = Replica(told.group, store, listed.first, machine, links, _log_event, find_node=str)
        service = CopiedService(
            lambda group: host,
            lambda group, copy: listed.doors(copy),
            Bounds(settings.max_connections, settings.max_waiting, settings.unsent_bytes, settings.idle_ms / 1000),
        )
        mine = listed.copies[store.replica_id]
        await links.start(mine.host, mine.port)
        host.start()
        tending = asyncio.get_running_loop().create_task(_lead_to(listed, host, _log_event))
        port = await service.start(settings.host, settings.port)
        if load is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _renew, listed, load)
        await until_stopped({"port": port}, copy=store.replica_id, proven=store.disk_verified)
        tending.cancel()
        if host.transfer_leadership():  # so that nobody waits for an election
            await asyncio.sleep(HAND_OVER_S)
        await service.stop()
        await host.stop()
        links.stop()
        store.close()
    finally:
        disk.close()
        witness.close()
    return 0
