"""The counter service: an asyncio server around the commit pipeline, with one thread that writes and syncs the log.

Commands change the state as they arrive.  A group is closed `commit_ms` after its first command, or earlier once
`commit_records` commands wait, and the writing thread writes it while the next group gathers.  A connection with a slow
reader is closed at a bound of unsent bytes.  Its commands remain counted, and their sequences are recognized when the
gateway reconnects.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections import defaultdict
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from martenstep.config.tls import ServerContext, TlsError
from martenstep.counter import counter_pb2 as pb
from martenstep.counter.commit_pipeline import AddressedReply, CommitPipeline, LogOptions, Session
from martenstep.counter.connection import GatewayConnection, close_idle_connections
from martenstep.counter.log_output import log_event
from martenstep.counter.log_shipping import FollowerLink, LogShipper
from martenstep.counter.protocol import (
    PROTOCOL_VERSION,
    Add,
    FollowAck,
    FollowRequest,
    Frame,
    Hello,
    ProtocolError,
    Read,
    RecordAttempt,
    Status,
    Welcome,
    encode,
    reply_without_result,
)
from martenstep.counter.settings import build_limits
from martenstep.counter.steady_clock import SteadyClock
from martenstep.lifetime import until_stopped
from martenstep.storage.files import Disk
from martenstep.storage.log import LogError

RECOVERY_INTERVAL_S = 0.2  # between two attempts to recover a log that could not be written


def open_pipeline(settings: pb.Service) -> tuple[CommitPipeline[ClientConnection], Disk]:
    """Open the log directory and build its pipeline; raises LogError, LockedError or OSError."""
    log = settings.log
    disk = Disk(Path(log.directory))
    try:
        pipeline: CommitPipeline[ClientConnection] = CommitPipeline(
            disk, build_limits(settings), LogOptions(log.segment_bytes, log.durable, log.snapshot_records, log.keep_ms)
        )
    except BaseException:
        disk.close()
        raise
    return pipeline, disk


class ClientConnection(GatewayConnection):
    """A connection from a gateway or a follower."""

    def __init__(self, service: Service) -> None:
        """Create a connection whose commands `service` executes."""
        super().__init__(service.settings.unsent_bytes)
        self._service = service
        self._session: Session | None = None
        self._follower: FollowerLink | None = None
        self._writable = asyncio.Event()  # set if the write buffer has room, or the connection is lost
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or reject it."""
        super().connection_made(transport)
        if not self._service.admit(self):
            self.reject(Status.FULL, "no more connections are taken")

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection, and stop shipping the log to it."""
        super().connection_lost(exc)
        self._writable.set()
        self._service.connections.discard(self)
        if self._follower is not None:
            self._follower.stop()

    def pause_writing(self) -> None:
        """Pause shipping to a follower."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume shipping to a follower."""
        self._writable.set()

    def handle_frame(self, frame: Frame) -> None:
        """Handle one frame."""
        is_first_frame = self._session is None and self._follower is None
        if isinstance(frame, Add | Read | RecordAttempt):
            if self._session is None:
                raise ProtocolError("a command before HELLO")
            self._service.submit(self, self._session, frame)
        elif isinstance(frame, Hello) and is_first_frame:
            self._open_session(frame)
        elif isinstance(frame, FollowRequest) and is_first_frame:
            self._follower = FollowerLink(self._service.shipper, self, self._writable, frame)
        elif isinstance(frame, FollowAck) and self._follower is not None:
            self._follower.on_ack(frame.next_index)
        else:
            raise ProtocolError(f"{type(frame).__name__} where a command was expected")

    def _open_session(self, hello: Hello) -> None:
        service = self._service
        pipeline = service.pipeline
        if hello.version != PROTOCOL_VERSION:
            self.reject(Status.VERSION, f"version {hello.version} is not spoken here; {PROTOCOL_VERSION} is")
        elif pipeline.fence_if_superseded(hello.term):
            self.reject(Status.FENCED, pipeline.failure)
        elif hello.map_version != service.settings.map_version:
            self.reject(Status.MAP, f"the map has version {service.settings.map_version}: reload it")
        elif pipeline.failure:
            self.reject(Status.UNWRITTEN, f"the log cannot be written: {pipeline.failure}")
        else:
            self._session = service.open_session(self, hello)
            if self._session is None:
                self.reject(Status.FENCED, f"epoch {hello.epoch} of {hello.gateway} is over")


class Service:
    """The counter service on one listener."""

    def __init__(self, settings: pb.Service, pipeline: CommitPipeline[ClientConnection]) -> None:
        """Create the service; `start` binds the socket."""
        self.settings = settings
        self.pipeline = pipeline
        self.connections: set[ClientConnection] = set()
        self.committed_groups = 0
        self.shipper = LogShipper(pipeline, settings.recent_bytes)
        self._clock = SteadyClock()
        self._commands_pending = asyncio.Event()
        self._group_full = asyncio.Event()
        self._writer = ThreadPoolExecutor(1, "log")
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self._last_recovery_error = ""  # used to log a repeated error only once
        self._tls: ServerContext | None = None

    # Commands

    def admit(self, connection: ClientConnection) -> bool:
        """Register one more connection; returns False if the limit is reached."""
        if len(self.connections) >= self.settings.max_connections:
            return False
        self.connections.add(connection)
        return True

    def open_session(self, connection: ClientConnection, hello: Hello) -> Session | None:
        """Begin a gateway's session; WELCOME is sent once the session's entry is durable."""
        state = self.pipeline.state
        state.advance_clock(self._clock.now_ms())
        session = self.pipeline.open_session(hello.gateway, hello.epoch)
        if session is not None:
            welcome = Welcome(session.gateway.highest_sequence, hello.map_version, PROTOCOL_VERSION, state.term)
            self.pipeline.pending_group.replies.append((connection, welcome))
            self._commands_pending.set()
        return session

    def submit(self, connection: ClientConnection, session: Session, frame: Add | Read | RecordAttempt) -> None:
        """Execute one command."""
        pipeline = self.pipeline
        pipeline.state.advance_clock(self._clock.now_ms())
        if len(pipeline.pending_group.replies) >= self.settings.max_waiting:
            connection.send(encode(reply_without_result(frame, Status.FULL)))
            return
        pipeline.submit(connection, session, frame)
        if len(pipeline.pending_group.replies) >= self.settings.log.commit_records:
            self._group_full.set()
        self._commands_pending.set()

    @staticmethod
    def _send_replies(replies: Sequence[AddressedReply[ClientConnection]]) -> None:
        by_connection: defaultdict[ClientConnection, list[bytes]] = defaultdict(list)
        for connection, reply in replies:
            by_connection[connection].append(encode(reply))
        for connection, parts in by_connection.items():
            connection.send(b"".join(parts))

    def _close_connections(self) -> None:
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()

    # Running

    async def start(self) -> int:
        """Begin to listen; returns the port."""
        loop = asyncio.get_running_loop()
        self._tls = ServerContext(self.settings.tls) if self.settings.HasField("tls") else None
        self._server = await loop.create_server(
            lambda: ClientConnection(self),
            self.settings.host,
            self.settings.port,
            ssl=self._tls.context if self._tls else None,
        )
        self._tasks = [
            asyncio.create_task(self._commit_forever()),
            asyncio.create_task(close_idle_connections(self.connections, self.settings.idle_ms / 1000)),
        ]
        return int(self._server.sockets[0].getsockname()[1])

    def reload(self) -> None:
        """Reload the certificate; open connections keep the old one."""
        if self._tls is not None:
            try:
                self._tls.reload()
            except TlsError as error:
                log_event("certificate not reloaded", {"error": str(error)})

    async def _commit_forever(self) -> None:
        """Repeatedly close a group, write it, and send its replies, while the next group gathers."""
        loop = asyncio.get_running_loop()
        pipeline = self.pipeline
        while True:
            await self._gather_group()
            group = pipeline.take_group()
            failure = ""
            if group.entries:
                failure = await loop.run_in_executor(self._writer, pipeline.write_group, group)
                if not failure:
                    next_index = self.shipper.publish(group)
                    if self.settings.wait_for_follower:
                        await self.shipper.wait_for_follower(next_index)
            self.committed_groups += 1
            self._send_replies(pipeline.finish_group(group, failure))
            if pipeline.failure and not pipeline.fenced:
                await self._recover()
            if pipeline.snapshot_due() and not pipeline.pending_group.entries:
                await self._store_snapshot()

    async def _gather_group(self) -> None:
        """Wait for a command, and then for further commands of the same group."""
        log = self.settings.log
        await self._commands_pending.wait()
        if log.commit_ms > 0 and not self._group_full.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(log.commit_ms / 1000):
                    await self._group_full.wait()
        self._commands_pending.clear()
        self._group_full.clear()

    async def _store_snapshot(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            record_count, body = self.pipeline.encode_snapshot()
            await loop.run_in_executor(self._writer, self.pipeline.store_snapshot, record_count, body)
        except OSError as error:
            log_event("snapshot not stored", {"error": str(error)})

    async def _recover(self) -> None:
        """Retry to recover the log until it is writable again.

        All gateways then have to open new sessions: unacknowledged entries may be lost, including those of sessions.
        """
        pipeline = self.pipeline
        log_event("log cannot be written", {"error": pipeline.failure})
        loop = asyncio.get_running_loop()
        while pipeline.failure and not pipeline.fenced:
            await asyncio.sleep(RECOVERY_INTERVAL_S)
            self._send_pending_replies()
            try:
                recovered = await loop.run_in_executor(self._writer, pipeline.recover_log)
            except (OSError, LogError) as error:
                self._log_recovery_error(str(error))
                continue
            self._send_pending_replies()
            if pipeline.fenced:
                break
            pipeline.resume(recovered)
            self.shipper.clear_recent()
            self._close_connections()
            log_event("log is writable again", {"records": pipeline.record_count})

    def _send_pending_replies(self) -> None:
        """Send the replies to commands that arrived since the failure; writes among them are rejected."""
        self._send_replies(self.pipeline.finish_group(self.pipeline.take_group(), self.pipeline.failure))

    def _log_recovery_error(self, error: str) -> None:
        if error != self._last_recovery_error:
            log_event("log not recovered", {"error": error})
        self._last_recovery_error = error

    async def stop(self) -> None:
        """Stop listening, write the pending group, send its replies, and close the log."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        loop = asyncio.get_running_loop()
        group = self.pipeline.take_group()
        failure = await loop.run_in_executor(self._writer, self.pipeline.write_group, group)
        replies = self.pipeline.finish_group(group, failure)
        if not self.settings.wait_for_follower:  # otherwise no follower has acknowledged them
            self._send_replies(replies)
        self._close_connections()
        await asyncio.sleep(0)
        self.pipeline.close()
        self._writer.shutdown()


async def serve(settings: pb.Service) -> int:
    """Run until SIGTERM; returns the exit code.  Raises LogError, LockedError, OSError if the start fails."""
    pipeline, disk = open_pipeline(settings)
    service = Service(settings, pipeline)
    try:
        port = await service.start()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, service.reload)
        await until_stopped({"port": port}, service.stop, records=pipeline.record_count, cut=pipeline.truncated_bytes)
    finally:
        disk.close()
    return 0
