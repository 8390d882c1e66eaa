"""Clients: open loop by a schedule, with their own deadlines, retries through other doors, and bad manners.

An arrival never waits for an answer.  The schedule is a file of JSON lines, made by the lab: the same file gives the
same requests at the same times.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from pathlib import Path
from typing import Any

import h11
import msgspec

from martenstep.lifetime import until_stopped
from martenstep.standins.base import READ_BYTES, ControlPort, Trace, now_ms, reset

ABUSE_PAUSE_MS = 5.0  # a client that repeats without end still takes this long
ABUSE_TRIES = 40


class Planned(msgspec.Struct):
    """One request of the schedule."""

    at_ms: float
    rid: str
    customer: str
    cls: str
    units: float
    doors: list[int]  # in the order in which its tries take them
    patience_ms: float
    body: int = 0
    leave_ms: float = 0.0  # goes away after this; 0: waits
    credential: str = ""  # given as it is; empty: none
    abuse: bool = False


class Manners(msgspec.Struct):
    """How all clients behave."""

    ports: list[int]
    retries: int = 1
    wait_ms: float = 200.0
    honour: bool = True
    advice_most_ms: float = 500.0
    repeat_after_failure: list[str] = msgspec.field(default_factory=list)  # classes that are safe to repeat
    seed: int = 1


class _Wire:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.h11 = h11.Connection(h11.CLIENT)


class Crowd:
    """All clients of a day."""

    def __init__(self, manners: Manners, trace: Trace) -> None:
        self._manners, self._trace = manners, trace
        self._rng = random.Random(manners.seed)
        self._idle: dict[int, list[_Wire]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, schedule: list[Planned], start: float) -> None:
        """Send everything at its time; returns when the last has ended."""
        for planned in schedule:
            pause = start + planned.at_ms - now_ms()
            if pause > 0:
                await asyncio.sleep(pause / 1000)
            task = asyncio.create_task(self._request(planned))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _request(self, planned: Planned) -> None:
        """One request through all its tries."""
        manners = self._manners
        tries = ABUSE_TRIES if planned.abuse else manners.retries + 1
        until = now_ms() + planned.patience_ms * (1 + manners.retries)
        for number in range(tries):
            door = planned.doors[number % len(planned.doors)]
            again, advice = await self._try(planned, f"{planned.rid}.{number}", door, number)
            if not again:
                return
            pause = advice if manners.honour and advice else manners.wait_ms
            pause = min(pause, manners.advice_most_ms) * self._rng.uniform(1.0, 1.2)
            if planned.abuse:
                pause = ABUSE_PAUSE_MS
            if now_ms() + pause >= until:
                return
            await asyncio.sleep(pause / 1000)

    async def _try(self, planned: Planned, rid: str, door: int, number: int) -> tuple[bool, float]:
        """One try; gives whether the client may repeat it, and the advice it got."""
        patience = planned.patience_ms
        self._trace.write(
            "try",
            rid=rid,
            door=door,
            customer=planned.customer,
            cls=planned.cls,
            units=planned.units,
            deadline_ms=patience,
            first=planned.rid,
            number=number,
            bad=bool(planned.credential) and not planned.credential.endswith(planned.customer),
        )
        wire: _Wire | None = None
        seen: list[int] = []  # the status, as soon as the head has come
        safe = planned.cls in self._manners.repeat_after_failure
        leave = planned.leave_ms if planned.leave_ms and planned.leave_ms < patience else 0.0
        try:
            async with asyncio.timeout((leave or patience + 1000.0) / 1000):
                wire = await self._wire(door)
                if wire is None:
                    self._trace.write("unreached", rid=rid)
                    return True, 0.0
                status, headers, whole = await self._exchange(wire, planned, rid, patience, seen)
        except TimeoutError:
            if wire is not None:
                reset(wire.writer)
            self._trace.write("left" if leave else "no answer", rid=rid)
            return safe and not leave, 0.0
        except (OSError, h11.ProtocolError) as error:
            if wire is not None:
                wire.writer.transport.abort()
            self._trace.write("broken", rid=rid, how=type(error).__name__, status=seen[0] if seen else 0)
            return safe, 0.0
        advice = float(headers.get(b"retry-after-ms", b"0"))
        self._trace.write(
            "answer",
            rid=rid,
            status=status,
            whole=whole,
            advice=advice,
            reason=headers.get(b"x-reason", b"").decode("latin-1"),
        )
        if status in (429, 503):
            return True, advice
        return safe and status in (502, 504), 0.0

    async def _wire(self, door: int) -> _Wire | None:
        idle = self._idle.setdefault(door, [])
        while idle:
            wire = idle.pop()
            if not wire.writer.transport.is_closing() and not wire.reader.at_eof():
                return wire
            wire.writer.close()
        try:
            return _Wire(*await asyncio.open_connection("127.0.0.1", self._manners.ports[door]))
        except OSError:
            return None

    async def _exchange(
        self, wire: _Wire, planned: Planned, rid: str, patience: float, seen: list[int]
    ) -> tuple[int, dict[bytes, bytes], bool]:
        door = wire
        headers = [
            ("host", "door"),
            ("x-request-id", rid),
            ("x-customer", planned.customer),
            ("x-deadline-ms", f"{patience:.3f}"),
        ]
        if planned.credential:
            headers.append(("authorization", planned.credential))
        if planned.body:
            headers.append(("content-length", str(planned.body)))
        method = "POST" if planned.body else "GET"
        out = [door.h11.send(h11.Request(method=method, target=f"/{planned.cls}/{rid}", headers=headers)) or b""]
        if planned.body:
            out.append(door.h11.send(h11.Data(data=b"b" * planned.body)) or b"")
        out.append(door.h11.send(h11.EndOfMessage()) or b"")
        wire.writer.write(b"".join(out))
        status, told, size = 0, {}, 0
        while True:
            event = wire.h11.next_event()
            if event is h11.NEED_DATA:
                wire.h11.receive_data(await wire.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status, told = event.status_code, dict(event.headers)
                seen.append(status)
            elif isinstance(event, h11.Data):
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the answer")
        if wire.h11.our_state is h11.DONE and wire.h11.their_state is h11.DONE:
            wire.h11.start_next_cycle()
            for idle in self._idle.values():
                del idle[64:]
            self._idle[planned.doors[int(rid.rpartition(".")[2]) % len(planned.doors)]].append(wire)
        else:
            wire.writer.close()
        return status, told, True


async def run(schedule: Path, manners: Manners, trace: Path | None) -> None:
    """Clients that begin when they are told to, and tell when all is done."""
    seen = Trace(trace)
    planned = [msgspec.json.decode(line, type=Planned) for line in schedule.read_bytes().splitlines() if line]
    crowd = Crowd(manners, seen)
    state: dict[str, Any] = {"done": False, "task": None}

    async def play(start: float) -> None:
        await crowd.play(planned, start)
        state["done"] = True

    def control(do: str, words: dict[str, Any]) -> dict[str, Any]:
        if do == "begin":
            state["task"] = asyncio.get_running_loop().create_task(play(float(words["at"])))
            return {"ok": True}
        if do == "state":
            return {"done": state["done"], "out": len(crowd._tasks)}
        if do == "ports":
            manners.ports[:] = words["ports"]
            return {"ok": True}
        return {"error": f"no such command: {do}"}

    port = ControlPort(control)
    await until_stopped({"control": await port.start()})
    if state["task"] is not None:
        state["task"].cancel()
        with suppress(asyncio.CancelledError):
            await state["task"]
    seen.close()
