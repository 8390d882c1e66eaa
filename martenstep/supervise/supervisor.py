"""Keeps a number of worker processes running behind one address.

The listener's socket is bound once and outlives every worker.  Settings are applied by all workers or by none: each
worker first prepares them and answers whether it could apply them.  A worker that starts meanwhile receives the
settings that were decided on once it is ready.
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

PREPARE_TIMEOUT_S = 5.0  # without every worker's answer by then, the settings are not applied
KILL_TIMEOUT_S = 3.0  # after the settings' stop_ms, before a worker that still runs is killed
LISTEN_BACKLOG = 1024
MAX_LOGGED_LINE_BYTES = 200
EXIT_GAVE_UP = 4
WORKER_COMMAND = (sys.executable, "-m", "martenstep", "worker")
WORKER_DIED = "the worker died"


class _Worker:
    """One worker through all its successive processes."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.process: asyncio.subprocess.Process | None = None
        self.ports: dict[str, int] | None = None  # by name; None unless it serves
        self.generation = 0  # of the settings that it received
        self.prepare_answers: dict[int, asyncio.Future[str]] = {}  # by generation

    def send(self, frame: Frame) -> None:
        """Write a frame if the process runs."""
        if self.process is not None and self.process.stdin is not None and not self.process.stdin.is_closing():
            self.process.stdin.write(protocol.encode(frame))

    def send_signal(self, number: signal.Signals) -> None:
        """Signal the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def on_exit(self) -> None:
        """Record that the process exited, and answer its pending preparations with WORKER_DIED."""
        self.ports = None
        self.process = None
        for answer in self.prepare_answers.values():
            if not answer.done():
                answer.set_result(WORKER_DIED)

    def on_prepared(self, message: WorkerMessage) -> None:
        """Record the answer to PrepareSettings."""
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
        """The number of workers that serve."""
        return sum(1 for worker in self._workers if worker.ports is not None)

    @property
    def gave_up(self) -> str:
        """Why the supervisor gave up; empty if it has not."""
        return self._gave_up

    @property
    def workers(self) -> list[dict[str, int]]:
        """The process id and ports of each worker that serves."""
        return [
            {"pid": worker.process.pid, **worker.ports}
            for worker in self._workers
            if worker.process is not None and worker.ports is not None
        ]

    def bind(self) -> None:
        """Bind the listener's address; raises OSError.

        If each worker has its own socket, this one only reserves the port, so that no other process takes it while no
        worker runs.
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
            bound.listen(LISTEN_BACKLOG)  # while a worker starts, connections wait here instead of being refused

    @property
    def _reuses_port(self) -> bool:
        return self.settings.workers.share == pb.Workers.REUSE_PORT

    def start(self, on_change: Callable[[], None] = lambda: None) -> None:
        """Start all workers; `on_change` is called when one serves or exits."""
        self._on_change = on_change
        self._tasks = [asyncio.create_task(self._keep_running(worker)) for worker in self._workers]

    async def wait(self) -> None:
        """Wait until `stop` is called or the supervisor gives up."""
        await self._stopping.wait()

    async def stop(self) -> None:
        """Ask all workers to shut down, and kill those that do not in time."""
        self._stopping.set()
        self._close_listener()
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

    def _close_listener(self) -> None:
        """Close this process's copy of the listening socket.

        The kernel completes connections as long as any process has it open.  The workers close theirs after they have
        emptied the accept queue; what is accepted after that would be reset unanswered when the last copy is closed.
        """
        if self._listener is not None:
            self._listener.close()

    # Workers

    async def _keep_running(self, worker: _Worker) -> None:
        """Run a worker, and restart it whenever it exits, until the supervisor stops or gives up."""
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
        """Run one process of a worker from its start to its exit; returns how it exited."""
        assert self._listener is not None
        passed_sockets = () if self._reuses_port else (self._listener.fileno(),)
        try:
            process = await asyncio.create_subprocess_exec(
                *self._worker_command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                pass_fds=passed_sockets,
                process_group=0,  # a terminal's SIGINT must reach only the supervisor, which stops its workers itself
            )
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
        if worker.generation != self._generation:  # it was started with older settings
            self._prepare(worker, self._generation)
            worker.send(CommitSettings(self._generation))
            worker.generation = self._generation
        if self.ready_count == len(self._workers):
            self.all_ready.set()
        self._on_change()

    # Settings

    def reload_files(self) -> None:
        """Have all workers that serve reload hooks and certificates."""
        for worker in self._workers:
            if worker.ports is not None:
                worker.send(ReloadFiles())

    async def apply_settings(self, settings: pb.Door) -> str:
        """Have all workers or none apply settings that differ only in what can change in service; returns why not."""
        generation = self._generation + 1
        ready_workers = [worker for worker in self._workers if worker.ports is not None]
        prepared_processes = {worker.number: worker.process for worker in ready_workers}
        error = await self._prepare_all(ready_workers, generation, settings)
        # The number is not used again even on an error, so that settings that a worker prepared under it are never
        # committed.
        self._generation = generation
        if error:
            for worker in self._workers:
                if worker.generation == generation - 1:
                    worker.generation = generation
            return error
        self.settings = settings
        for worker in self._workers:
            if worker.ports is not None and worker.generation == generation - 1:
                # This process became ready while the others prepared the settings.
                if worker.process is not prepared_processes.get(worker.number):
                    self._prepare(worker, generation)
                worker.send(CommitSettings(generation))
                worker.generation = generation
        return ""

    async def _prepare_all(self, workers: list[_Worker], generation: int, settings: pb.Door) -> str:
        """Ask workers whether they could apply settings; returns the first reason why one could not."""
        loop = asyncio.get_running_loop()
        for worker in workers:
            worker.prepare_answers[generation] = loop.create_future()
            self._prepare(worker, generation, settings)
        first_error = ""
        try:
            async with asyncio.timeout(PREPARE_TIMEOUT_S):
                for worker in workers:
                    error = await worker.prepare_answers[generation]
                    # A worker that died receives the decision when it restarts, so it does not block the others.
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
        """Build one worker's settings."""
        result = build_worker_settings(settings or self.settings, worker.number)
        if self._reuses_port:
            result.listener.port = self.port
        return result
