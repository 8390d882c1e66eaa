"""Photo servers as models: cores, a bounded queue, a cold ramp, keys, and every way of failing of the stand-in."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from martenstep.lab.emulate.core import Draws, Sim, Timer
from martenstep.standins.photo import ClassWork, OverloadDetector, PhotoConfig

Write = Callable[..., None]


class Caller(Protocol):
    """The server's end of a connection."""

    def answered(self, job: Job, how: str, size: int) -> None:
        """The job's answer goes out: ok, repeat, refused, error, cut, reset."""

    def dropped(self) -> None:
        """The server drops the connection."""


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at a server."""

    told: dict[str, Any]
    cls: str
    key: str
    caller: Caller
    work: ClassWork
    ms: float
    on_core: bool = False
    timer: Timer | None = None
    over: bool = False


class EmuServer:
    """One server."""

    def __init__(self, sim: Sim, config: PhotoConfig, draws: Draws, write: Write) -> None:
        self._sim, self.config, self._draws, self._write = sim, config, draws, write
        self._free = config.cores
        self._queue: deque[Job] = deque()
        self.callers: dict[Caller, None] = {}
        self._jobs: dict[Job, None] = {}
        self.down = False
        self.factor = 1.0
        self.shares = {"errors": 0.0, "resets": 0.0, "cuts": 0.0, "lost": 0.0}
        self.class_fails = ""
        self._begin(config.cold)

    def _begin(self, cold: bool) -> None:
        self._started = self._sim.now if cold else -1e12
        self.fallen = self.silent = self.draining = False
        self._keys: dict[str, float] = {}
        self._fall = OverloadDetector(self.config)

    def restart(self) -> None:
        """Cold again, every connection gone."""
        self._begin(True)
        self.drop()

    def drop(self) -> None:
        """Every connection ends, and with it the work for it."""
        for caller in list(self.callers):
            caller.dropped()
        self.callers.clear()

    @property
    def takes(self) -> bool:
        """Whether it accepts one more connection."""
        return not self.down and not self.fallen and len(self.callers) < self.config.connections

    @property
    def load(self) -> int:
        """Jobs on cores and in the queue."""
        return len(self._jobs)

    def arrive(self, caller: Caller, told: dict[str, Any], cls: str, key: str, customer: str) -> Job | None:
        """A whole request has come; gives the job, where there is one."""
        sim, config = self._sim, self.config
        work = config.work.get(cls) or ClassWork()
        ms = self._draws.between(work.least_ms, work.most_ms)
        self._write("arrive", **told, cls=cls, key=key, customer=customer)
        if self._fall.offer(sim.now, ms / config.speed, sim.now - self._started):
            self.fallen = True
            self._write("fell", server=config.id)
            self._write("closed", **told)
            self.drop()
            return None
        job = Job(told, cls, key, caller, work, ms)
        self._jobs[job] = None
        if self.silent or cls == self.class_fails:
            return job  # for ever, or until it is given up
        if self.draining:
            self._end(job, "refused")
        elif key and work.key_window_ms and sim.now - self._keys.get(key, -1e12) < work.key_window_ms:
            self._end(job, "repeat")
        elif self._free > 0:
            self._mark(job)
            self._run(job)
        elif len(self._queue) < config.queue:
            self._mark(job)
            self._queue.append(job)
        else:
            self._end(job, "refused")
        return job

    def _mark(self, job: Job) -> None:
        if job.key and job.work.key_window_ms:
            self._keys[job.key] = self._sim.now

    def give_up(self, job: Job) -> None:
        """Its connection is gone."""
        if job.over:
            return
        self._write("closed", **job.told)
        self._leave(job)

    def _run(self, job: Job) -> None:
        self._free -= 1
        job.on_core = True
        share = self._fall.capacity(self._sim.now - self._started)
        job.timer = self._sim.after(job.ms * self.factor / self.config.speed / share, self._done, job)

    def _done(self, job: Job) -> None:
        draw = self._draws.unit()
        for how, name in (("error", "errors"), ("reset", "resets"), ("cut", "cuts"), ("lost", "lost")):
            draw -= self.shares[name]
            if draw < 0:
                if how == "lost":
                    self._give_core(job)  # the work is done, its answer never leaves
                else:
                    self._end(job, how)
                return
        self._end(job, "ok")

    def _end(self, job: Job, how: str) -> None:
        self._write("end", **job.told, how=how)
        self._leave(job)
        job.caller.answered(job, how, job.work.answer_bytes if how in ("ok", "repeat", "cut") else 100)

    def _leave(self, job: Job) -> None:
        job.over = True
        self._jobs.pop(job, None)
        if job.timer is not None:
            job.timer.cancel()
        if job.on_core:
            self._give_core(job)
        elif job in self._queue:
            self._queue.remove(job)

    def _give_core(self, job: Job) -> None:
        if job.on_core:
            job.on_core = False
            self._free += 1
            if self._queue:
                self._run(self._queue.popleft())
