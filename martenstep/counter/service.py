"""The counter on a socket: asyncio around the keeper, one thread that writes and syncs.

Commands change the state as they come; a group is closed `commit_ms` after its first command, or sooner when
`commit_records` wait, and goes to the writing thread while the next one gathers.  A connection whose reader is slow is
cut off at a bound of unsent bytes; its commands stand, and are known by their sequence when it comes back.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections import defaultdict, deque
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from martenstep.config.tls import ServerContext, TlsError
from martenstep.counter import counter_pb2 as pb
from martenstep.counter.commit_pipeline import CommitGroup, CommitPipeline, Session
from martenstep.counter.connection import GatewayConnection, close_idle_connections
from martenstep.counter.protocol import (
    PROTOCOL_VERSION,
    Add,
    FollowAck,
    FollowRequest,
    Frame,
    Hello,
    LogRecords,
    ProtocolError,
    Read,
    RecordAttempt,
    Reply,
    Status,
    Welcome,
    encode,
    reply_without_result,
)
from martenstep.counter.state import CounterLimits
from martenstep.counter.steady_clock import SteadyClock
from martenstep.lifetime import until_stopped
from martenstep.storage.files import Disk
from martenstep.storage.log import RECORD, LogError, likeness, read_records, records_of

RECOVER_S = 0.2  # between two tries to write a log that could not be written
PART_BYTES = 60_000  # of records in one frame: below the bound of a frame


def _log_event(event: str, fields: dict[str, Any]) -> None:
    sys.stderr.write(json.dumps({"event": event, **fields}) + "\n")


def count_records(data: bytes) -> int:
    """How many records stand in some bytes."""
    at = count = 0
    while at < len(data):
        at += RECORD.size + RECORD.unpack_from(data, at)[0]
        count += 1
    return count


def limits_of(service: pb.Service) -> CounterLimits:
    """The bounds that the settings state."""
    return CounterLimits(service.window, service.try_window_ms, service.max_tries, service.max_names, service.period_ms)


def open_pipeline(service: pb.Service) -> tuple[CommitPipeline, Disk]:
    """The keeper over the directory; raises LogError, LockedError or OSError."""
    log = service.log
    disk = Disk(Path(log.directory))
    try:
        keeper = CommitPipeline(
            disk, limits_of(service), log.segment_bytes, log.durable, log.snapshot_records, log.keep_ms
        )
    except BaseException:
        disk.close()
        raise
    return keeper, disk


class ClientConnection(GatewayConnection):
    """One door's connection."""

    def __init__(self, service: Service) -> None:
        super().__init__(service.settings.unsent_bytes)
        self._service = service
        self.session: Session | None = None
        self.link: FollowerLink | None = None
        self.room = asyncio.Event()  # what was written is on its way, or nobody is there any more
        self.room.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if not self._service.admit(self):
            self.reject(Status.FULL, "no more connections are taken")

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.room.set()
        self._service.connections.discard(self)
        if self.link is not None:
            self.link.stop()

    def pause_writing(self) -> None:
        self.room.clear()

    def resume_writing(self) -> None:
        self.room.set()

    def handle_frame(self, frame: Frame) -> None:
        """One frame."""
        if isinstance(frame, Add | Read | RecordAttempt):
            if self.session is None:
                raise ProtocolError("a command before HELLO")
            self._service.submit(self, self.session, frame)
        elif isinstance(frame, Hello) and self.session is None and self.link is None:
            self._hello(frame)
        elif isinstance(frame, FollowRequest) and self.session is None and self.link is None:
            self.link = FollowerLink(self._service, self, frame)
        elif isinstance(frame, FollowAck) and self.link is not None:
            self.link.on_ack(frame.next_index)
        else:
            raise ProtocolError(f"{type(frame).__name__} where a command was expected")

    def _hello(self, hello: Hello) -> None:
        service = self._service
        if hello.version != PROTOCOL_VERSION:
            self.reject(Status.VERSION, f"version {hello.version} is not spoken here; {PROTOCOL_VERSION} is")
        elif service.pipeline.fence_if_superseded(hello.term):
            self.reject(Status.FENCED, service.pipeline.failure)
        elif hello.map_version != service.settings.map_version:
            self.reject(Status.MAP, f"the map has version {service.settings.map_version}: reload it")
        elif service.pipeline.failure:
            self.reject(Status.UNWRITTEN, f"the log cannot be written: {service.pipeline.failure}")
        else:
            self.session = service.open_session(self, hello)
            if self.session is None:
                self.reject(Status.FENCED, f"epoch {hello.epoch} of {hello.gateway} is over")


class FollowerLink:
    """One follower: what it has been sent, and what it holds."""

    def __init__(self, service: Service, connection: ClientConnection, follow: FollowRequest) -> None:
        self._service, self._connection, self._follow = service, connection, follow
        self.acknowledged_index = 0  # records that are durable there
        self._sent = follow.next_index
        self._task = asyncio.get_running_loop().create_task(self._ship())

    def stop(self) -> None:
        """The connection is gone."""
        self._task.cancel()
        self._service.links.discard(self)

    def on_ack(self, upto: int) -> None:
        """The follower holds all before this."""
        self.acknowledged_index = max(self.acknowledged_index, upto)
        self._service.confirm()

    async def _why_not(self) -> tuple[Status, str] | None:
        """Whether the follower's log is the beginning of this one."""
        service, follow = self._service, self._follow
        keeper = service.pipeline
        if follow.version != PROTOCOL_VERSION:
            return Status.VERSION, f"version {follow.version} is not spoken here; {PROTOCOL_VERSION} is"
        if keeper.fence_if_superseded(follow.term):
            return Status.FENCED, keeper.failure
        if follow.next_index > keeper.durable_count:
            return (
                Status.BAD,
                f"the follower holds {follow.next_index} records, this log {keeper.durable_count}: they have parted",
            )
        if follow.next_index:
            try:
                data, _ = await self._old(follow.next_index - 1, follow.next_index)
                [entry] = records_of(data, follow.next_index - 1)
            except (LogError, ValueError) as error:
                return Status.BAD, f"{error}: copy the directory first"
            except OSError as error:
                return Status.UNWRITTEN, f"the log cannot be read: {error}"
            if likeness(follow.next_index - 1, entry) != follow.previous_checksum:
                return Status.BAD, f"the logs part before record {follow.next_index}"
        return None

    async def _ship(self) -> None:
        service = self._service
        fault = await self._why_not()
        if fault is not None:
            self._connection.reject(*fault)
            return
        service.links.add(self)
        self.acknowledged_index = self._sent
        while True:
            news = service.news
            while self._sent < service.pipeline.durable_count:
                try:
                    data, after = service.recent(self._sent) or await self._old(
                        self._sent, service.pipeline.durable_count
                    )
                except LogError as error:
                    self._connection.reject(Status.BAD, f"{error}: copy the directory first")
                    return
                except OSError as error:  # a segment that was compacted away meanwhile, or a disk: it may ask again
                    self._connection.reject(Status.UNWRITTEN, f"the log cannot be read: {error}")
                    return
                for frame in _parts(self._sent, data):
                    await self._connection.room.wait()  # it is waited for, not cut off as a door is
                    transport = self._connection.transport
                    if transport is None or transport.is_closing():
                        return
                    transport.write(encode(frame))
                self._sent = after
            await news.wait()

    async def _old(self, first: int, until: int) -> tuple[bytes, int]:
        """Records that may no longer be in memory, up to the end of their segment, and the number behind them."""
        return await asyncio.get_running_loop().run_in_executor(
            None, read_records, self._service.pipeline.files, first, until
        )


def _parts(first: int, data: bytes) -> Iterator[LogRecords]:
    """Records cut into frames, between records."""
    begin, number, start, at = first, first, 0, 0
    while at < len(data):
        end = at + RECORD.size + RECORD.unpack_from(data, at)[0]
        if end - start > PART_BYTES and at > start:
            yield LogRecords(begin, data[start:at])
            start, begin = at, number
        at, number = end, number + 1
    yield LogRecords(begin, data[start:])


class Service:
    """The counter as a server."""

    def __init__(self, settings: pb.Service, keeper: CommitPipeline) -> None:
        self.settings, self.pipeline = settings, keeper
        self._clock = SteadyClock()
        self.connections: set[ClientConnection] = set()
        self.committed_groups = 0
        self.links: set[FollowerLink] = set()
        self.news = asyncio.Event()  # set, and replaced, when more is durable
        self._confirmed = asyncio.Event()
        self._recent: deque[tuple[int, bytes, int]] = deque()  # records still in memory: first, bytes, next
        self._recent_bytes = 0
        self._wake = asyncio.Event()
        self._full = asyncio.Event()
        self._writer = ThreadPoolExecutor(1, "log")
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self._recovery_error = ""  # the last one, so that it is told once
        self._tls: ServerContext | None = None

    def admit(self, connection: ClientConnection) -> bool:
        """Whether one more connection is taken."""
        if len(self.connections) >= self.settings.max_connections:
            return False
        self.connections.add(connection)
        return True

    def open_session(self, connection: ClientConnection, hello: Hello) -> Session | None:
        """A door begins; WELCOME waits for its entry to be durable, as every reply does."""
        self.pipeline.state.advance_clock(self._clock.now_ms())
        session = self.pipeline.open_session(hello.gateway, hello.epoch)
        if session is not None:
            welcome = Welcome(
                session.gateway.highest_sequence, hello.map_version, PROTOCOL_VERSION, self.pipeline.state.term
            )
            self.pipeline.pending_group.replies.append((connection, welcome))
            self._wake.set()
        return session

    def submit(self, connection: ClientConnection, session: Session, frame: Add | Read | RecordAttempt) -> None:
        """One command."""
        keeper = self.pipeline
        keeper.state.advance_clock(self._clock.now_ms())
        if len(keeper.pending_group.replies) >= self.settings.max_waiting:
            connection.send(encode(reply_without_result(frame, Status.FULL)))
            return
        keeper.submit(connection, session, frame)
        if len(keeper.pending_group.replies) >= self.settings.log.commit_records:
            self._full.set()
        self._wake.set()

    def recent(self, first: int) -> tuple[bytes, int] | None:
        """Durable records from one on, where a group that is still in memory begins with it, and the number behind."""
        for begin, data, after in reversed(self._recent):  # a follower in step wants the last
            if begin <= first:
                return (data, after) if begin == first and after <= self.pipeline.durable_count else None
        return None

    def confirm(self) -> None:
        """A follower holds more."""
        self._confirmed.set()

    async def _held(self, upto: int) -> None:
        """Wait until a follower holds all before this."""
        while not any(link.acknowledged_index >= upto for link in self.links):
            self._confirmed.clear()
            await self._confirmed.wait()

    def _tell(self, group: CommitGroup) -> int:
        """More is written, and followers may have it once it is durable; gives the number behind the group's last
        record."""
        after = group.first_index + count_records(group.records)
        self._recent.append((group.first_index, group.records, after))
        self._recent_bytes += len(group.records)
        while self._recent_bytes > self.settings.recent_bytes and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft()[1])
        news, self.news = self.news, asyncio.Event()
        news.set()
        return after

    async def start(self) -> int:
        """Bind; gives the port."""
        loop = asyncio.get_running_loop()
        self._tls = ServerContext(self.settings.tls) if self.settings.HasField("tls") else None
        self._server = await loop.create_server(
            lambda: ClientConnection(self),
            self.settings.host,
            self.settings.port,
            ssl=self._tls.context if self._tls else None,
        )
        self._tasks = [
            asyncio.create_task(self._commit()),
            asyncio.create_task(close_idle_connections(self.connections, self.settings.idle_ms / 1000)),
        ]
        return int(self._server.sockets[0].getsockname()[1])

    def reload(self) -> None:
        """Take up a new certificate; connections that stand keep theirs."""
        if self._tls is not None:
            try:
                self._tls.reload()
            except TlsError as error:
                sys.stderr.write(json.dumps({"event": "certificate not taken up", "error": str(error)}) + "\n")

    async def _commit(self) -> None:
        """Close a group, write it, answer it; the next gathers meanwhile."""
        loop, log = asyncio.get_running_loop(), self.settings.log
        while True:
            await self._wake.wait()
            if log.commit_ms > 0 and not self._full.is_set():
                try:
                    async with asyncio.timeout(log.commit_ms / 1000):
                        await self._full.wait()
                except TimeoutError:
                    pass
            self._wake.clear()
            self._full.clear()
            group = self.pipeline.take_group()
            fault = ""
            if group.entries:
                fault = await loop.run_in_executor(self._writer, self.pipeline.write_group, group)
                if not fault:
                    after = self._tell(group)
                    if self.settings.wait_for_follower:
                        await self._held(after)
            self.committed_groups += 1
            self._answer(self.pipeline.finish_group(group, fault))
            if self.pipeline.failure and not self.pipeline.fenced:
                await self._recover()
            if self.pipeline.snapshot_due() and not self.pipeline.pending_group.entries:
                try:
                    await loop.run_in_executor(
                        self._writer, self.pipeline.store_snapshot, *self.pipeline.encode_snapshot()
                    )
                except OSError as error:
                    sys.stderr.write(json.dumps({"event": "snapshot not kept", "error": str(error)}) + "\n")

    async def _recover(self) -> None:
        """Read the log anew until it can be written again.  Its doors say hello anew: what was not acknowledged may be
        gone, also that they did."""
        _log_event("log cannot be written", {"error": self.pipeline.failure})
        loop = asyncio.get_running_loop()
        while self.pipeline.failure and not self.pipeline.fenced:
            await asyncio.sleep(RECOVER_S)
            self._answer(self.pipeline.finish_group(self.pipeline.take_group(), self.pipeline.failure))
            try:
                recovered = await loop.run_in_executor(self._writer, self.pipeline.recover_log)
            except (OSError, LogError) as error:
                last, self._recovery_error = self._recovery_error, str(error)
                if last != self._recovery_error:
                    _log_event("log not recovered", {"error": self._recovery_error})
                continue
            self._answer(self.pipeline.finish_group(self.pipeline.take_group(), self.pipeline.failure))
            if self.pipeline.fenced:
                break
            self.pipeline.resume(recovered)
            self._recent.clear()
            self._recent_bytes = 0
            for connection in list(self.connections):
                if connection.transport is not None:
                    connection.transport.close()
            _log_event("log written again", {"records": self.pipeline.record_count})

    @staticmethod
    def _answer(replies: list[tuple[Any, Reply]]) -> None:
        by: defaultdict[ClientConnection, list[bytes]] = defaultdict(list)
        for connection, reply in replies:
            by[connection].append(encode(reply))
        for connection, parts in by.items():
            connection.send(b"".join(parts))

    async def stop(self) -> None:
        """Accept no more, make durable what there is, answer it, close."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        loop = asyncio.get_running_loop()
        group = self.pipeline.take_group()
        fault = await loop.run_in_executor(self._writer, self.pipeline.write_group, group)
        replies = self.pipeline.finish_group(group, fault)
        if not self.settings.wait_for_follower:  # else nobody has confirmed them
            self._answer(replies)
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()
        await asyncio.sleep(0)
        self.pipeline.close()
        self._writer.shutdown()


async def serve(settings: pb.Service) -> int:
    """Run until SIGTERM; gives the exit code.  Raises LogError, LockedError, OSError where it cannot start."""
    keeper, disk = open_pipeline(settings)
    service = Service(settings, keeper)
    try:
        port = await service.start()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, service.reload)
        await until_stopped({"port": port}, service.stop, records=keeper.record_count, cut=keeper.truncated_bytes)
    finally:
        disk.close()
    return 0
