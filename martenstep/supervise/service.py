"""Runs a gateway as a service: one process, or a supervisor with workers, with or without a process manager.

Exit codes: 0 stopped by a signal; 1 could not start; 2 bad usage or settings; 4 every worker kept exiting at its start.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.config.tls import TlsError
from martenstep.exit_signals import ending_quietly
from martenstep.proxy.daemon import Daemon, log_loop_error
from martenstep.proxy.event_logger import EventLogger, configure
from martenstep.proxy.loop_lag import LoopClock, run_with_clock
from martenstep.supervise import early_signals, resources
from martenstep.supervise.pid_file import PidFile, PidFileLockedError
from martenstep.supervise.process_manager import Notifier
from martenstep.supervise.reloader import Reloader, ReloadTarget
from martenstep.supervise.supervisor import EXIT_GAVE_UP, Supervisor

EXIT_CANNOT_START = 1


def _write_ready(ports: dict[str, int]) -> None:
    sys.stdout.write(json.dumps({"ready": ports, "pid": os.getpid()}) + "\n")
    sys.stdout.flush()


def _stop_on_signals(stop: asyncio.Event) -> None:
    """Set `stop` on SIGTERM and SIGINT; before the gateway is ready, since they may follow at once."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)


async def _wait_for_stop(stop: asyncio.Event, notifier: Notifier, reloader: Reloader) -> None:
    """Wait for `stop`, and notify the watchdog twice per interval; a blocked event loop fails to do so."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reloader.schedule)
    if early_signals.take_reload_request():
        reloader.schedule()
    while not stop.is_set():
        try:
            async with asyncio.timeout(notifier.watchdog_s or None):
                await stop.wait()
        except TimeoutError:
            notifier.notify(WATCHDOG=1)


async def serve_one(
    settings: pb.Door, load: Callable[[], pb.Door] | None, seed: int | None, clock: LoopClock | None = None
) -> int:
    """Run a gateway in this process; returns the exit code.  `clock` is that of the event loop, if it has one."""
    notifier = Notifier()
    stop = asyncio.Event()
    daemon = Daemon(settings, seed, clock)
    asyncio.get_running_loop().set_exception_handler(lambda _, context: log_loop_error(daemon, context))

    async def apply(new_settings: pb.Door) -> str:
        daemon.reconfigure(new_settings)
        return ""

    reloader = Reloader(
        load, daemon.event_logger.log, notifier, ReloadTarget(lambda: daemon.settings, apply, daemon.renew)
    )
    _stop_on_signals(stop)
    await daemon.start()
    _write_ready(daemon.ports)
    notifier.notify(READY=1, STATUS=f"serves at port {daemon.ports['listener']}")
    await _wait_for_stop(stop, notifier, reloader)
    notifier.notify(STOPPING=1)
    await daemon.stop()
    return 0


class _SupervisorStatus:
    """Notifies the process manager how many workers serve, and once that the service is ready."""

    def __init__(self, supervisor: Supervisor, notifier: Notifier) -> None:
        self._supervisor = supervisor
        self._notifier = notifier
        self._ready = False

    def update(self) -> None:
        """Send the present state; called whenever a worker becomes ready or exits."""
        supervisor = self._supervisor
        count = supervisor.settings.workers.count
        status = f"{supervisor.ready_count} of {count} workers serve at port {supervisor.port}"
        if not supervisor.all_ready.is_set() or self._ready:
            self._notifier.notify(STATUS=status)
            return
        self._ready = True
        admin_ports = {
            f"admin-{number}": ports["admin"] for number, ports in enumerate(supervisor.workers) if "admin" in ports
        }
        first = {"admin": admin_ports["admin-0"]} if "admin-0" in admin_ports else {}
        _write_ready({"listener": supervisor.port, **first, **admin_ports})
        self._notifier.notify(READY=1, STATUS=status)


async def serve_many(
    settings: pb.Door, load: Callable[[], pb.Door] | None, seed: int | None, event_logger: EventLogger
) -> int:
    """Run a supervisor and its workers; returns the exit code."""
    notifier = Notifier()
    stop = asyncio.Event()
    supervisor = Supervisor(settings, event_logger.log, seed)
    supervisor.bind()
    reloader = Reloader(
        load,
        event_logger.log,
        notifier,
        ReloadTarget(lambda: supervisor.settings, supervisor.apply_settings, supervisor.reload_files),
    )
    _stop_on_signals(stop)
    supervisor.start(_SupervisorStatus(supervisor, notifier).update)
    stopping = asyncio.create_task(_wait_for_stop(stop, notifier, reloader))
    giving_up = asyncio.create_task(supervisor.wait())
    await asyncio.wait((stopping, giving_up), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    giving_up.cancel()
    notifier.notify(STOPPING=1)
    await supervisor.stop()
    if supervisor.gave_up:
        notifier.notify(STATUS=supervisor.gave_up, ERRNO=EXIT_GAVE_UP)
        return EXIT_GAVE_UP
    return 0


def run(
    settings: pb.Door,
    load: Callable[[], pb.Door] | None = None,
    seed: int | None = None,
    has_loop_policy: bool = False,
) -> int:
    """Run a gateway in this process or in workers; `load` reads its settings again.  Returns the exit code.

    With `has_loop_policy` another event loop than the standard library's was chosen, which records no arrival times.
    """
    configure(settings.log.form)
    event_logger = EventLogger(settings.log, settings.name)
    pid_file = PidFile(Path(settings.pid_file)) if settings.pid_file else None
    try:
        if pid_file is not None:
            pid_file.acquire()
        resources.apply_limits(settings, event_logger.log)
        if settings.workers.count > 1:
            return asyncio.run(ending_quietly(serve_many(settings, load, seed, event_logger)))
        if has_loop_policy:
            return asyncio.run(ending_quietly(serve_one(settings, load, seed)))
        return run_with_clock(lambda clock: ending_quietly(serve_one(settings, load, seed, clock)))
    except (TlsError, PidFileLockedError, resources.ResourceError) as error:
        event_logger.log("cannot start", {"error": str(error)})
        return EXIT_CANNOT_START
    except OSError as error:
        event_logger.log("cannot start", {"error": f"{error.filename or ''} {error.strerror or error}".strip()})
        return EXIT_CANNOT_START
    finally:
        if pid_file is not None:
            pid_file.release()
