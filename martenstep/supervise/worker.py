"""Runs one worker: a gateway that its supervisor controls over standard input."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from dataclasses import dataclass

import msgspec
from google.protobuf.message import DecodeError

from martenstep.config import door_pb2 as pb
from martenstep.config.changes import differences
from martenstep.config.tls import TlsError
from martenstep.proxy.daemon import Daemon, log_loop_error
from martenstep.proxy.event_logger import EventLogger, configure
from martenstep.proxy.loop_lag import LoopClock
from martenstep.supervise.protocol import (
    CommitSettings,
    PrepareSettings,
    ProtocolError,
    ReloadFiles,
    StartWorker,
    WorkerMessage,
    read_frame,
)

STDIN_BUFFER_BYTES = 2**20
EXIT_CANNOT_START = 1
EXIT_BAD_USAGE = 2
NO_GENERATION = 0  # under which no settings are prepared


def _write_message(message: WorkerMessage) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


def _parse_settings(data: bytes) -> pb.Door:
    settings = pb.Door()
    settings.ParseFromString(data)
    return settings


@dataclass(frozen=True, slots=True)
class _Prepared:
    """Settings that could be applied, and their generation."""

    generation: int
    settings: pb.Door


class Worker:
    """A running daemon and the settings that were prepared for it."""

    def __init__(self, daemon: Daemon) -> None:
        """Start without prepared settings."""
        self._daemon = daemon
        self._prepared: _Prepared | None = None

    def prepare(self, frame: PrepareSettings) -> WorkerMessage:
        """Check whether settings could be applied, and keep them for `commit`."""
        try:
            settings = _parse_settings(frame.settings)
        except DecodeError as error:
            return WorkerMessage(prepared_generation=frame.generation, error=str(error))
        need_restart = [change.path for change in differences(self._daemon.settings, settings) if not change.live]
        if need_restart:
            error_text = f"needs a restart: {', '.join(need_restart)}"
            return WorkerMessage(prepared_generation=frame.generation, error=error_text)
        self._prepared = _Prepared(frame.generation, settings)
        return WorkerMessage(prepared_generation=frame.generation)

    def commit(self, generation: int) -> None:
        """Apply the settings that were prepared under this generation, if any, and reload files."""
        if self._prepared is not None and self._prepared.generation == generation:
            self._daemon.reconfigure(self._prepared.settings)
            self._prepared = None
        self._daemon.renew()


async def _open_stdin() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=STDIN_BUFFER_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(0, "rb", 0))
    return reader


async def run_worker(clock: LoopClock) -> int:
    """Serve until SIGTERM, SIGINT or the end of the input; returns the exit code.  `clock` is the event loop's."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reader = await _open_stdin()
    try:
        start = await read_frame(reader)
    except ProtocolError as error:
        sys.stderr.write(f"worker: {error}\n")
        return EXIT_BAD_USAGE
    if not isinstance(start, StartWorker):
        return EXIT_BAD_USAGE
    settings = _parse_settings(start.settings)
    configure(settings.log.form)
    try:
        daemon = Daemon(settings, start.seed, clock)
        loop.set_exception_handler(lambda _, context: log_loop_error(daemon, context))
        listener = socket.socket(fileno=start.socket) if start.socket >= 0 else None
        await daemon.start(listener, start.reuse_port)
    except (TlsError, OSError) as error:
        event_logger = EventLogger(settings.log, settings.name)
        event_logger.log("cannot start", {"error": getattr(error, "strerror", None) or str(error)})
        return EXIT_CANNOT_START
    _write_message(WorkerMessage(ready=daemon.ports))
    frame_task = asyncio.create_task(_handle_frames(reader, Worker(daemon), stop))
    await stop.wait()
    frame_task.cancel()
    await daemon.stop()
    return 0


async def _handle_frames(reader: asyncio.StreamReader, worker: Worker, stop: asyncio.Event) -> None:
    """Carry out the supervisor's frames; stop the worker when the input ends, since the supervisor has then exited."""
    try:
        while (frame := await read_frame(reader)) is not None:
            match frame:
                case PrepareSettings():
                    _write_message(worker.prepare(frame))
                case CommitSettings():
                    worker.commit(frame.generation)
                case ReloadFiles():
                    worker.commit(NO_GENERATION)
    except ProtocolError as error:
        sys.stderr.write(f"worker: {error}\n")
    finally:
        stop.set()
