"""Keeps a number of workers running behind one address.

The listener's socket is bound once and outlives every worker.  Settings are taken up by all workers or by none: each is
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
from martenstep.supervise import frames
from martenstep.supervise.frames import Begin, Commit, Frame, Prepare, Renew, Said
from martenstep.supervise.respawn import Again, GiveUp, Respawn
from martenstep.supervise.workers import worker_door

PREPARE_S = 5.0  # a worker answers within this, or the settings are not taken up
KILL_S = 3.0  # beyond the settings' stop_ms, a worker that was told to leave is killed
BACKLOG = 1024
GAVE_UP = 4  # exit code
WORDS = (sys.executable, "-m", "martenstep", "worker")


class _Slot:
    """One worker's place."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.process: asyncio.subprocess.Process | None = None
        self.ports: dict[str, int] | None = None  # once it serves
        self.generation = 0  # of the settings that it has
        self.answers: dict[int, asyncio.Future[str]] = {}  # to Prepare, by number


class Supervisor:
    """The workers of one door."""

    def __init__(
        self,
        door: pb.Door,
        log_event: EventLog,
        seed: int | None = None,
        words: tuple[str, ...] = WORDS,
        rng: random.Random | None = None,
    ) -> None:
        self.door, self._log_event, self._seed, self._words = door, log_event, seed, words
        count = door.workers.count
        self._slots = [_Slot(number) for number in range(count)]
        self._respawn = Respawn(count, rng or random.SystemRandom())
        self._listener: socket.socket | None = None
        self._generation = 0
        self._stopping = asyncio.Event()
        self.all_ready = asyncio.Event()
        self._changed: Callable[[], None] = lambda: None
        self._gave_up = ""
        self._tasks: list[asyncio.Task[None]] = []
        self.port = 0

    @property
    def serving(self) -> int:
        """Workers that serve."""
        return sum(1 for slot in self._slots if slot.ports is not None)

    @property
    def gave_up(self) -> str:
        """Why no worker is started any more, where that is so."""
        return self._gave_up

    @property
    def workers(self) -> list[dict[str, int]]:
        """Process and ports of each worker that serves."""
        return [
            {"pid": slot.process.pid, **slot.ports}
            for slot in self._slots
            if slot.process is not None and slot.ports is not None
        ]

    def bind(self) -> None:
        """Bind the listener's address; raises OSError.

        With a socket for each worker this one only holds the port, so that no other takes it while all are down.
        """
        told = self.door.listener
        [family, kind, protocol, _, address] = socket.getaddrinfo(told.host, told.port, type=socket.SOCK_STREAM)[0]
        self._listener = made = socket.socket(family, kind, protocol)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._own_sockets:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.bind(address)
        self.port = int(made.getsockname()[1])
        if not self._own_sockets:
            made.listen(BACKLOG)  # clients wait in it, not in vain, while a worker starts

    @property
    def _own_sockets(self) -> bool:
        return self.door.workers.share == pb.Workers.REUSE_PORT

    def start(self, changed: Callable[[], None] = lambda: None) -> None:
        """Start all workers; `changed` is called when one serves or ends."""
        self._changed = changed
        self._tasks = [asyncio.create_task(self._keep(slot)) for slot in self._slots]

    async def wait(self) -> None:
        """Until it is told to stop, or gives up."""
        await self._stopping.wait()

    async def stop(self) -> None:
        """Ask all workers to leave, and kill those that don't."""
        self._stopping.set()
        for slot in self._slots:
            self._signal(slot, signal.SIGTERM)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=self.door.stop_ms / 1000 + KILL_S)
        for slot in self._slots:
            if slot.process is not None and slot.process.returncode is None:
                self._log_event("worker killed", {"worker": slot.number})
                self._signal(slot, signal.SIGKILL)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=KILL_S)
        if self._listener is not None:
            self._listener.close()

    def _signal(self, slot: _Slot, number: signal.Signals) -> None:
        if slot.process is not None and slot.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                slot.process.send_signal(number)

    # Workers --------------------------------------------------------------------------------------------

    async def _keep(self, slot: _Slot) -> None:
        """Run a worker, again and again."""
        while not self._stopping.is_set():
            how = await self._run(slot)
            slot.ports, slot.process = None, None
            for answer in slot.answers.values():
                if not answer.done():
                    answer.set_result("the worker died")
            self._changed()
            if self._stopping.is_set():
                return
            now = time.monotonic() * 1000
            decided = self._respawn.died(now, slot.number, how)
            self._log_event("worker died", {"worker": slot.number, "how": how})
            match decided:
                case GiveUp(reason=reason):
                    self._gave_up = reason
                    self._log_event("supervisor gives up", {"reason": reason})
                    self._stopping.set()
                    return
                case Again(at=at, flaps=flaps):
                    if flaps:
                        self._log_event("worker keeps dying", {"worker": slot.number, "again_in_ms": round(at - now)})
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._stopping.wait(), (at - now) / 1000)

    async def _run(self, slot: _Slot) -> str:
        """One worker from its start to its end; gives how it ended."""
        assert self._listener is not None
        passed = () if self._own_sockets else (self._listener.fileno(),)
        try:
            process = await asyncio.create_subprocess_exec(
                *self._words,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                pass_fds=passed,
                process_group=0,
            )  # a terminal's SIGINT is the supervisor's to pass on
        except OSError as error:
            return f"not started: {error.strerror}"
        slot.process, slot.generation = process, self._generation
        self._send(
            slot,
            Begin(
                self._settings(slot).SerializeToString(),
                passed[0] if passed else -1,
                self._own_sockets,
                None if self._seed is None else self._seed + slot.number,
            ),
        )
        if self._stopping.is_set():
            self._signal(slot, signal.SIGTERM)
        assert process.stdout is not None
        while line := await process.stdout.readline():
            try:
                self._heard(slot, msgspec.json.decode(line, type=Said))
            except msgspec.DecodeError:
                self._log_event(
                    "worker said nothing that is known",
                    {"worker": slot.number, "line": line[:200].decode("utf-8", "replace")},
                )
        code = await process.wait()
        return f"signal {signal.Signals(-code).name}" if code < 0 else f"exit code {code}"

    def _send(self, slot: _Slot, frame: Frame) -> None:
        if slot.process is not None and slot.process.stdin is not None and not slot.process.stdin.is_closing():
            slot.process.stdin.write(frames.encode(frame))

    def _heard(self, slot: _Slot, said: Said) -> None:
        if said.ready is not None:
            slot.ports = said.ready
            self._respawn.ready(time.monotonic() * 1000, slot.number)
            assert slot.process is not None
            self._log_event("worker serves", {"worker": slot.number, "pid": slot.process.pid, **said.ready})
            if slot.generation != self._generation:  # it was started with what held before
                self._send(slot, Prepare(self._generation, self._settings(slot).SerializeToString()))
                self._send(slot, Commit(self._generation))
                slot.generation = self._generation
            if self.serving == len(self._slots):
                self.all_ready.set()
            self._changed()
        elif said.prepared in slot.answers and not slot.answers[said.prepared].done():
            slot.answers[said.prepared].set_result(said.error)

    # Settings -------------------------------------------------------------------------------------------

    def renew(self) -> None:
        """Hooks and certificates are read anew by all."""
        for slot in self._slots:
            if slot.ports is not None:
                self._send(slot, Renew())

    async def take_up(self, door: pb.Door) -> str:
        """Settings that differ only in what can change in service, by all workers or none; gives why not."""
        number = self._generation + 1
        asked = [slot for slot in self._slots if slot.ports is not None]
        whom = {slot.number: slot.process for slot in asked}
        loop = asyncio.get_running_loop()
        for slot in asked:
            slot.answers[number] = loop.create_future()
            self._send(slot, Prepare(number, self._settings(slot, door).SerializeToString()))
        wrong = ""
        try:
            async with asyncio.timeout(PREPARE_S):
                for slot in asked:
                    error = await slot.answers[number]
                    # One that died comes back with what is decided now: it bars nothing.
                    if error and error != "the worker died":
                        wrong = wrong or f"worker {slot.number}: {error}"
        except TimeoutError:
            wrong = "a worker did not answer"
        finally:
            for slot in asked:
                slot.answers.pop(number, None)
        self._generation = number  # never used again, so that what was prepared under it stays there
        if wrong:
            for slot in self._slots:
                slot.generation = number if slot.generation == number - 1 else slot.generation
            return wrong
        self.door = door
        for slot in self._slots:
            if slot.ports is not None and slot.generation == number - 1:
                if slot.process is not whom.get(slot.number):  # it came while the others were asked
                    self._send(slot, Prepare(number, self._settings(slot).SerializeToString()))
                self._send(slot, Commit(number))
                slot.generation = number
        return ""

    def _settings(self, slot: _Slot, door: pb.Door | None = None) -> pb.Door:
        """One worker's part of the settings."""
        made = worker_door(door or self.door, slot.number)
        if self._own_sockets:
            made.listener.port = self.port
        return made
