"""One worker: a door that its supervisor steers over standard input."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys

import msgspec
from google.protobuf.message import DecodeError

from martenstep.config import door_pb2 as pb
from martenstep.config.changes import differences
from martenstep.config.tls import TlsError
from martenstep.proxy.daemon import Daemon, log_loop_error
from martenstep.proxy.event_logger import EventLogger, configure
from martenstep.supervise import frames
from martenstep.supervise.frames import Begin, Commit, Prepare, Renew, Said


def _say(said: Said) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(said) + b"\n")
    sys.stdout.buffer.flush()


def _door(data: bytes) -> pb.Door:
    door = pb.Door()
    door.ParseFromString(data)
    return door


class Worker:
    """A running daemon and what was prepared for it."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self._prepared: tuple[int, pb.Door] | None = None

    def prepare(self, frame: Prepare) -> Said:
        """Whether its settings could be taken up."""
        try:
            door = _door(frame.door)
        except DecodeError as error:
            return Said(prepared=frame.number, error=str(error))
        stuck = [change.path for change in differences(self._daemon.settings, door) if not change.live]
        if stuck:
            return Said(prepared=frame.number, error=f"needs a restart: {', '.join(stuck)}")
        self._prepared = frame.number, door
        return Said(prepared=frame.number)

    def commit(self, frame: Commit) -> None:
        """Take up what was prepared."""
        if self._prepared is not None and self._prepared[0] == frame.number:
            self._daemon.reconfigure(self._prepared[1])
            self._prepared = None
        self._daemon.renew()


async def work() -> int:
    """Serve until SIGTERM or the input's end; gives the exit code."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reader = asyncio.StreamReader(limit=2**20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(0, "rb", 0))
    try:
        begin = await frames.read(reader)
    except frames.FrameError as error:
        sys.stderr.write(f"worker: {error}\n")
        return 2
    if not isinstance(begin, Begin):
        return 2
    door = _door(begin.door)
    configure(door.log.form)
    try:
        daemon = Daemon(door, begin.seed)
        loop.set_exception_handler(lambda _, context: log_loop_error(daemon, context))
        sock = socket.socket(fileno=begin.socket) if begin.socket >= 0 else None
        await daemon.start(sock, begin.reuse_port)
    except (TlsError, OSError) as error:
        EventLogger(door.log, door.name).log("cannot start", {"error": getattr(error, "strerror", None) or str(error)})
        return 1
    _say(Said(ready=daemon.ports))
    steering = asyncio.create_task(_steered(reader, Worker(daemon), stop))
    await stop.wait()
    steering.cancel()
    await daemon.stop()
    return 0


async def _steered(reader: asyncio.StreamReader, worker: Worker, stop: asyncio.Event) -> None:
    """Do what the supervisor says; its end is ours."""
    try:
        while (frame := await frames.read(reader)) is not None:
            match frame:
                case Prepare():
                    _say(worker.prepare(frame))
                case Commit():
                    worker.commit(frame)
                case Renew():
                    worker.commit(Commit(0))
    except frames.FrameError as error:
        sys.stderr.write(f"worker: {error}\n")
    finally:
        stop.set()
