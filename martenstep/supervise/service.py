"""A door as a service: one process or a supervisor with workers, under whatever process manager there is.

Exit codes: 0 told to stop; 1 could not start; 2 bad usage or settings; 4 its workers died again and again.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from martenstep.config import door_pb2 as pb
from martenstep.config.changes import differences
from martenstep.config.text_format import SettingsError
from martenstep.config.tls import TlsError
from martenstep.event_log import EventLog
from martenstep.proxy.daemon import Daemon, loop_fault
from martenstep.proxy.event_logger import EventLogger, configure
from martenstep.supervise import early, resources
from martenstep.supervise.lock import LockedError, PidFile
from martenstep.supervise.notify import Notifier
from martenstep.supervise.supervisor import GAVE_UP, Supervisor

MOST_LISTED = 50  # changes in one line


def fit(door: pb.Door, log_event: EventLog) -> None:
    """Hold the settings against the machine's bounds, before anything is opened; raises ResourceError."""
    need = resources.need_of(door)
    workers = max(door.workers.count, 1)
    files = resources.raise_files(-(-need.files // workers) + resources.OWN_FILES) * workers
    left = resources.fit_connections(need, door.listener.max_connections, files)
    if left < door.listener.max_connections:
        log_event(
            "fewer connections",
            {
                "max_connections": left,
                "instead_of": door.listener.max_connections,
                "open_files": files,
                "needed": need.files,
            },
        )
        door.listener.max_connections = left
    has = resources.memory()
    if has is not None and need.bytes > has:
        log_event(
            "memory may not suffice",
            {
                "held_at_most_mb": need.bytes >> 20,
                "free_mb": has >> 20,
                "lower": "listener.max_open, upstream.keep_body_bytes or hold_answer_bytes",
            },
        )


def _ready(ports: dict[str, int]) -> None:
    sys.stdout.write(json.dumps({"ready": ports, "pid": os.getpid()}) + "\n")
    sys.stdout.flush()


class Reloader:
    """SIGHUP: the settings' file read again, all that changed or nothing."""

    def __init__(
        self,
        load: Callable[[], pb.Door] | None,
        log_event: EventLog,
        notifier: Notifier,
        present: Callable[[], pb.Door],
        take_up: Callable[[pb.Door], Coroutine[Any, Any, str]],
        renew: Callable[[], None],
    ) -> None:
        """`load` reads the settings and raises SettingsError; `renew` reads hooks and certificates anew,
        which stand in files of their own."""
        self._load, self._log_event, self._notifier = load, log_event, notifier
        self._present, self._take_up, self._renew = present, take_up, renew
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """From a signal handler."""
        self._task = asyncio.create_task(self.reload())

    async def reload(self) -> None:
        """Once more; a second one waits for the first."""
        async with self._lock:
            # systemd asks for the time with Type=notify-reload.
            self._notifier.tell(RELOADING=1, MONOTONIC_USEC=_monotonic_us())
            await self._settings()
            self._renew()
            self._notifier.tell(READY=1)

    async def _settings(self) -> None:
        if self._load is None:
            return
        try:
            door = await asyncio.to_thread(self._load)
        except SettingsError as error:
            self._refused({"errors": [fault.describe(error.file) for fault in error.problems][:MOST_LISTED]})
            return
        door.listener.max_connections = min(door.listener.max_connections, self._most(door))
        changes = differences(self._present(), door)
        stuck = [change.describe() for change in changes if not change.live]
        if stuck:
            self._refused({"need_a_restart": stuck[:MOST_LISTED]})
            return
        if not changes:
            return
        wrong = await self._take_up(door)
        if wrong:
            self._refused({"errors": [wrong]})
        else:
            self._log_event("settings taken up", {"changes": [change.describe() for change in changes][:MOST_LISTED]})

    def _most(self, door: pb.Door) -> int:
        """Connections that the open files leave room for, as at the start."""
        held = pb.Door()
        held.CopyFrom(door)
        try:
            fit(held, lambda event, fields: None)
        except resources.ResourceError:
            return self._present().listener.max_connections
        return held.listener.max_connections

    def _refused(self, fields: dict[str, Any]) -> None:
        self._log_event("settings not taken up", fields)


def _monotonic_us() -> int:
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000


async def _until_told(stop: asyncio.Event, notifier: Notifier, reloader: Reloader) -> None:
    """Signals, and the process manager's watchdog: what cannot turn its loop within half the time is not well."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.begin)
    if early.asked():
        reloader.begin()
    while not stop.is_set():
        try:
            await asyncio.wait_for(stop.wait(), notifier.watchdog_s or None)
        except TimeoutError:
            notifier.tell(WATCHDOG=1)


async def serve_one(
    door: pb.Door, load: Callable[[], pb.Door] | None, seed: int | None, event_logger: EventLogger
) -> int:
    """One process."""
    notifier, stop = Notifier(), asyncio.Event()
    daemon = Daemon(door, seed)
    asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_fault(daemon, context))

    async def take_up(made: pb.Door) -> str:
        daemon.reconfigure(made)
        return ""

    reloader = Reloader(load, daemon.event_logger.log, notifier, lambda: daemon.door, take_up, daemon.renew)
    await daemon.start()
    _ready(daemon.ports)
    notifier.tell(READY=1, STATUS=f"serves at port {daemon.ports['listener']}")
    await _until_told(stop, notifier, reloader)
    notifier.tell(STOPPING=1)
    await daemon.stop()
    return 0


async def serve_many(
    door: pb.Door, load: Callable[[], pb.Door] | None, seed: int | None, event_logger: EventLogger
) -> int:
    """A supervisor and its workers."""
    notifier, stop = Notifier(), asyncio.Event()
    supervisor = Supervisor(door, event_logger.log, seed)
    supervisor.bind()
    reloader = Reloader(load, event_logger.log, notifier, lambda: supervisor.door, supervisor.take_up, supervisor.renew)
    told = False

    def changed() -> None:
        nonlocal told
        status = f"{supervisor.serving} of {door.workers.count} workers serve at port {supervisor.port}"
        if supervisor.all_ready.is_set() and not told:
            told = True
            admins = {
                f"admin-{number}": ports["admin"] for number, ports in enumerate(supervisor.workers) if "admin" in ports
            }
            first = {"admin": admins["admin-0"]} if "admin-0" in admins else {}
            _ready({"listener": supervisor.port, **first, **admins})
            notifier.tell(READY=1, STATUS=status)
        else:
            notifier.tell(STATUS=status)

    supervisor.start(changed)
    telling = asyncio.create_task(_until_told(stop, notifier, reloader))
    ending = asyncio.create_task(supervisor.wait())
    await asyncio.wait((telling, ending), return_when=asyncio.FIRST_COMPLETED)
    telling.cancel()
    ending.cancel()
    notifier.tell(STOPPING=1)
    await supervisor.stop()
    if supervisor.gave_up:
        notifier.tell(STATUS=supervisor.gave_up, ERRNO=GAVE_UP)
        return GAVE_UP
    return 0


def run(door: pb.Door, load: Callable[[], pb.Door] | None = None, seed: int | None = None) -> int:
    """Run a door in this process, or in workers of it; `load` reads its settings again.  Gives the exit code."""
    configure(door.log.form)
    event_logger = EventLogger(door.log, door.name)
    lock = PidFile(Path(door.pid_file)) if door.pid_file else None
    try:
        if lock is not None:
            lock.take()
        fit(door, event_logger.log)
        serve = serve_many if door.workers.count > 1 else serve_one
        return asyncio.run(serve(door, load, seed, event_logger))
    except (TlsError, LockedError, resources.ResourceError) as error:
        event_logger.log("cannot start", {"error": str(error)})
        return 1
    except OSError as error:
        event_logger.log("cannot start", {"error": f"{error.filename or ''} {error.strerror or error}".strip()})
        return 1
    finally:
        if lock is not None:
            lock.drop()
