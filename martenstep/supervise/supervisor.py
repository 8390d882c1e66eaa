"""Keeps a number of workers running behind one address.

The listener's socket is bound once and outlives every worker.  Settings are applied by all workers or by none: each is
asked first whether it could, and a worker that starts meanwhile is brought up to what was decided.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import sys
import time
from collections.abc import Callable

import msgspec

from martenstep.config import door_pb2 as pb
from martenstep.event_log import EventLog
from martenstep.supervise import protocol
from martenstep.supervise.protocol import (
    NO_SOCKET,
    CommitSettings,
    Frame,
    PrepareSettings,
    ReloadFiles,
    StartWorker,
    WorkerMessage,
)
from martenstep.supervise.restart_policy import GiveUp, RestartAt, RestartPolicy
from martenstep.supervise.worker_settings import build_worker_settings

PREPARE_TIMEOUT_S = 5.0  # a worker answers within this, or the settings are not applied
KILL_TIMEOUT_S = 3.0  # beyond the settings' stop_ms, a worker that was told to stop is killed
LISTEN_BACKLOG = 1024
MAX_LOGGED_LINE_BYTES = 200
EXIT_GAVE_UP = 4
WORKER_COMMAND = (sys.executable, "-m", "martenstep", "worker")
WORKER_DIED = "the worker died"


class _Worker:
    """One worker, over all its processes."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.process: asyncio.subprocess.Process | None = None
        self.ports: dict[str, int] | None = None  # once it serves
        self.generation = 0  # of the settings that it has
        self.prepare_answers: dict[int, asyncio.Future[str]] = {}  # by generation

    def send(self, frame: Frame) -> None:
        """Write a frame, if the process runs."""
        if self.process is not None and self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(protocol.encode(frame))

    def send_signal(self, number: signal.Signals) -> None:
        """Signal the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def on_exit(self) -> None:
        """Note that the process ended."""
        self.ports = None
        self.process = None
        for answer in self.prepare_answers.values():
            if not answer.done():
                answer.set_result(WORKER_DIED)

    def on_prepared(self, message: WorkerMessage) -> None:
        """Take the answer to PrepareSettings."""
        answer = self.prepare_answers.get(message.prepared_generation)
        if answer is not None and not answer.done():
            answer.set_result(message.error)


class Supervisor:
    """The workers of one gateway."""

    def __init__(
        self,
        settings: pb.Door,
        log_event: EventLog,
        seed: int | None = None,
        worker_command: tuple[str, ...] = WORKER_COMMAND,
        rng: random.Random | None = None,
    ) -> None:
        """Each worker gets `seed` plus its number; `rng` draws the jitter of restarts."""
        self.settings = settings
        self._log_event = log_event
        self._seed = seed
        self._worker_command = worker_command
        count = settings.workers.count
        self._workers = [_Worker(number) for number in range(count)]
        self._restart_policy = RestartPolicy(count, rng or random.SystemRandom())
        self._listener: socket.socket | None = None
        self._generation = 0
        self._stopping = asyncio.Event()
        self.all_ready = asyncio.Event()
        self._on_change: Callable[[], None] = lambda: None
        self._gave_up = ""
        self._tasks: list[asyncio.Task[None]] = []
        self.port = 0

    @property
    def ready_count(self) -> int:
        """Workers that serve."""
        return sum(1 for worker in self._workers if worker.ports is not None)

    @property
    def gave_up(self) -> str:
        """Why no worker is started any more, if that is so."""
        return self._gave_up

    @property
    def workers(self) -> list[dict[str, int]]:
        """Process and ports of each worker that serves."""
        return [
            {"pid": worker.process.pid, **worker.ports}
            for worker in self._workers
            if worker.process is not None and worker.ports is not None
        ]

    def bind(self) -> None:
        """Bind the listener's address; raises OSError.

        With a socket for each worker this one only holds the port, so that no other takes it while all are down.
        """
        listener = self.settings.listener
        addresses = socket.getaddrinfo(listener.host, listener.port, type=socket.SOCK_STREAM)
        family, kind, protocol_number, _, address = addresses[0]
        self._listener = bound = socket.socket(family, kind, protocol_number)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._reuses_port:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind(address)
        self.port = int(bound.getsockname()[1])
        if not self._reuses_port:
            bound.listen(LISTEN_BACKLOG)  # clients wait in it, not in vain, while a worker starts

    @property
    def _reuses_port(self) -> bool:
        return self.settings.workers.share == pb.Workers.REUSE_PORT

    def start(self, on_change: Callable[[], None] = lambda: None) -> None:
        """Start all workers; `on_change` is called when one serves or exits."""
        self._on_change = on_change
        self._tasks = [asyncio.create_task(self._keep_running(worker)) for worker in self._workers]

    async def wait(self) -> None:
        """Wait until it is told to stop, or gives up."""
        await self._stopping.wait()

    async def stop(self) -> None:
        """Ask all workers to shut down, and kill those that don't."""
        self._stopping.set()
        for worker in self._workers:
            worker.send_signal(signal.SIGTERM)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=self.settings.stop_ms / 1000 + KILL_TIMEOUT_S)
        for worker in self._workers:
            if worker.process is not None and worker.process.returncode is None:
                self._log_event("worker killed", {"worker": worker.number})
                worker.send_signal(signal.SIGKILL)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=KILL_TIMEOUT_S)
        if self._listener is not None:
            self._listener.close()

    # Workers

    async def _keep_running(self, worker: _Worker) -> None:
        """Run a worker, again and again."""
        while not self._stopping.is_set():
            reason = await self._run(worker)
            worker.on_exit()
            self._on_change()
            if self._stopping.is_set():
                return
            now_ms = time.monotonic() * 1000
            decision = self._restart_policy.on_exit(now_ms, worker.number, reason)
            self._log_event("worker exited", {"worker": worker.number, "how": reason})
            match decision:
                case GiveUp():
                    self._give_up(decision.reason)
                    return
                case RestartAt():
                    await self._wait_for_restart(worker, now_ms, decision)

    def _give_up(self, reason: str) -> None:
        self._gave_up = reason
        self._log_event("supervisor gives up", {"reason": reason})
        self._stopping.set()

    async def _wait_for_restart(self, worker: _Worker, now_ms: float, restart: RestartAt) -> None:
        delay_ms = restart.at_ms - now_ms
        if restart.crash_loop:
            self._log_event("worker crash loop", {"worker": worker.number, "again_in_ms": round(delay_ms)})
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_ms / 1000):
                await self._stopping.wait()

    async def _run(self, worker: _Worker) -> str:
        """Run one process of a worker from its start to its end; returns how it ended."""
        assert self._listener is not None
        passed_sockets = () if self._reuses_port else (self._listener.fileno(),)
        try:
            process = await asyncio.create_subprocess_exec(
                *self._worker_command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                pass_fds=passed_sockets,
                process_group=0,
            )  # a terminal's SIGINT is the supervisor's to pass on
        except OSError as error:
            return f"not started: {error.strerror}"
        worker.process = process
        worker.generation = self._generation
        worker.send(
            StartWorker(
                self._settings_for(worker).SerializeToString(),
                passed_sockets[0] if passed_sockets else NO_SOCKET,
                self._reuses_port,
                None if self._seed is None else self._seed + worker.number,
            )
        )
        if self._stopping.is_set():
            worker.send_signal(signal.SIGTERM)
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self._handle_line(worker, line)
        code = await process.wait()
        return f"signal {signal.Signals(-code).name}" if code < 0 else f"exit code {code}"

    def _handle_line(self, worker: _Worker, line: bytes) -> None:
        try:
            message = msgspec.json.decode(line, type=WorkerMessage)
        except msgspec.DecodeError:
            text = line[:MAX_LOGGED_LINE_BYTES].decode("utf-8", "replace")
            self._log_event("worker message not understood", {"worker": worker.number, "line": text})
            return
        if message.ready is not None:
            self._on_ready(worker, message.ready)
        else:
            worker.on_prepared(message)

    def _on_ready(self, worker: _Worker, ports: dict[str, int]) -> None:
        worker.ports = ports
        self._restart_policy.on_ready(time.monotonic() * 1000, worker.number)
        assert worker.process is not None
        self._log_event("worker ready", {"worker": worker.number, "pid": worker.process.pid, **ports})
        if worker.generation != self._generation:  # it was started with the settings before
            self._prepare(worker, self._generation)
            worker.send(CommitSettings(self._generation))
            worker.generation = self._generation
        if self.ready_count == len(self._workers):
            self.all_ready.set()
        self._on_change()

    # Settings

    def reload_files(self) -> None:
        """Have all workers load hooks and certificates anew."""
        for worker in self._workers:
            if worker.ports is not None:
                worker.send(ReloadFiles())

    async def apply_settings(self, settings: pb.Door) -> str:
        """Apply settings that differ only in what can change in service, by all workers or none; returns why not."""
        generation = self._generation + 1
        asked = [worker for worker in self._workers if worker.ports is not None]
        processes = {worker.number: worker.process for worker in asked}
        error = await self._prepare_all(asked, generation, settings)
        self._generation = generation  # never used again, so that what was prepared under it stays there
        if error:
            for worker in self._workers:
                if worker.generation == generation - 1:
                    worker.generation = generation
            return error
        self.settings = settings
        for worker in self._workers:
            if worker.ports is not None and worker.generation == generation - 1:
                if worker.process is not processes.get(worker.number):  # it came while the others were asked
                    self._prepare(worker, generation)
                worker.send(CommitSettings(generation))
                worker.generation = generation
        return ""

    async def _prepare_all(self, workers: list[_Worker], generation: int, settings: pb.Door) -> str:
        """Ask workers whether they could apply settings; returns the first reason that one could not."""
        loop = asyncio.get_running_loop()
        for worker in workers:
            worker.prepare_answers[generation] = loop.create_future()
            self._prepare(worker, generation, settings)
        first_error = ""
        try:
            async with asyncio.timeout(PREPARE_TIMEOUT_S):
                for worker in workers:
                    error = await worker.prepare_answers[generation]
                    # One that died comes back with what is decided now: it blocks nothing.
                    if error and error != WORKER_DIED:
                        first_error = first_error or f"worker {worker.number}: {error}"
        except TimeoutError:
            first_error = "a worker did not answer"
        finally:
            for worker in workers:
                worker.prepare_answers.pop(generation, None)
        return first_error

    def _prepare(self, worker: _Worker, generation: int, settings: pb.Door | None = None) -> None:
        worker.send(PrepareSettings(generation, self._settings_for(worker, settings).SerializeToString()))

    def _settings_for(self, worker: _Worker, settings: pb.Door | None = None) -> pb.Door:
        """Return one worker's settings."""
        result = build_worker_settings(settings or self.settings, worker.number)
        if self._reuses_port:
            result.listener.port = self.port
        return result
