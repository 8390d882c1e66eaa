"""Models of photo servers: cores, a bounded queue, a warm-up, idempotency keys, and every fault of the stand-in."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from martenstep.lab.emulate.core import RandomBuffer, Sim, Timer
from martenstep.standins.photo import ClassWork, OverloadDetector, PhotoConfig

Write = Callable[..., None]


class ServerConnection(Protocol):
    """The server's end of a connection."""

    def job_ended(self, job: Job, how: str, size: int) -> None:
        """Send the job's response, or end the connection: ok, repeat, refused, error, cut or reset."""

    def server_closed(self) -> None:
        """Handle that the server closes the connection."""


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at a server, from its arrival to its end."""

    trace_fields: dict[str, Any]
    cls: str
    key: str
    connection: ServerConnection
    work: ClassWork
    work_ms: float
    on_core: bool = False
    timer: Timer | None = None
    ended: bool = False


class EmulatedServer:
    """One photo server."""

    def __init__(self, sim: Sim, config: PhotoConfig, random_numbers: RandomBuffer, write: Write) -> None:
        self._sim, self.config, self._random, self._write = sim, config, random_numbers, write
        self._free_cores = config.cores
        self._queue: deque[Job] = deque()
        self.connections: dict[ServerConnection, None] = {}
        self._jobs: dict[Job, None] = {}
        self.down = False
        self.factor = 1.0
        self.fault_shares = {"errors": 0.0, "resets": 0.0, "cuts": 0.0, "lost": 0.0}
        self.class_fails = ""
        self._start(config.cold)

    def _start(self, cold: bool) -> None:
        self._started = self._sim.now if cold else -1e12
        self.overloaded = self.silent = self.draining = False
        self._keys: dict[str, float] = {}
        self._cold_overload = OverloadDetector(self.config)

    def restart(self) -> None:
        """Start again as a cold server without connections."""
        self._start(True)
        self.close_connections()

    def close_connections(self) -> None:
        """Close every connection, which ends its work."""
        for connection in list(self.connections):
            connection.server_closed()
        self.connections.clear()

    @property
    def accepts_connections(self) -> bool:
        """Whether the server accepts one more connection."""
        return not self.down and not self.overloaded and len(self.connections) < self.config.connections

    @property
    def load(self) -> int:
        """The number of jobs on cores and in the queue."""
        return len(self._jobs)

    def receive_request(
        self, connection: ServerConnection, trace_fields: dict[str, Any], cls: str, key: str, customer: str
    ) -> Job | None:
        """Handle a complete request; returns its job unless the request overloads the cold server."""
        sim, config = self._sim, self.config
        work = config.work.get(cls) or ClassWork()
        work_ms = self._random.uniform(work.least_ms, work.most_ms)
        self._write("arrive", **trace_fields, cls=cls, key=key, customer=customer)
        if self._cold_overload.offer(sim.now, work_ms / config.speed, sim.now - self._started):
            self.overloaded = True
            self._write("fell", server=config.id)
            self._write("closed", **trace_fields)
            self.close_connections()
            return None
        job = Job(trace_fields, cls, key, connection, work, work_ms)
        self._jobs[job] = None
        if self.silent or cls == self.class_fails:
            return job  # unanswered until its connection closes
        if self.draining:
            self._finish_job(job, "refused")
        elif key and work.key_window_ms and sim.now - self._keys.get(key, -1e12) < work.key_window_ms:
            self._finish_job(job, "repeat")
        elif self._free_cores > 0:
            self._record_key(job)
            self._run_job(job)
        elif len(self._queue) < config.queue:
            self._record_key(job)
            self._queue.append(job)
        else:
            self._finish_job(job, "refused")
        return job

    def _record_key(self, job: Job) -> None:
        if job.key and job.work.key_window_ms:
            self._keys[job.key] = self._sim.now

    def cancel_job(self, job: Job) -> None:
        """End a job whose connection has closed."""
        if job.ended:
            return
        self._write("closed", **job.trace_fields)
        self._remove_job(job)

    def _run_job(self, job: Job) -> None:
        self._free_cores -= 1
        job.on_core = True
        share = self._cold_overload.capacity(self._sim.now - self._started)
        job.timer = self._sim.after(job.work_ms * self.factor / self.config.speed / share, self._work_done, job)

    def _work_done(self, job: Job) -> None:
        draw = self._random.random()
        for how, name in (("error", "errors"), ("reset", "resets"), ("cut", "cuts"), ("lost", "lost")):
            draw -= self.fault_shares[name]
            if draw < 0:
                if how == "lost":
                    self._release_core(job)  # the work is done, but its response is never sent
                else:
                    self._finish_job(job, how)
                return
        self._finish_job(job, "ok")

    def _finish_job(self, job: Job, how: str) -> None:
        self._write("end", **job.trace_fields, how=how)
        self._remove_job(job)
        job.connection.job_ended(job, how, job.work.answer_bytes if how in ("ok", "repeat", "cut") else 100)

    def _remove_job(self, job: Job) -> None:
        job.ended = True
        self._jobs.pop(job, None)
        if job.timer is not None:
            job.timer.cancel()
        if job.on_core:
            self._release_core(job)
        elif job in self._queue:
            self._queue.remove(job)

    def _release_core(self, job: Job) -> None:
        if job.on_core:
            job.on_core = False
            self._free_cores += 1
            if self._queue:
                self._run_job(self._queue.popleft())
