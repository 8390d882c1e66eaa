"""Clients that send requests on a schedule, with deadlines of their own, retries through other gateways, and some that
misbehave.

The load is open-loop: no request waits for the response to another.  The schedule is a file of JSON lines, made by the
lab: the same file gives the same requests at the same times.
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

ABUSE_PAUSE_MS = 5.0  # between two attempts of a client that retries regardless of the response
ABUSE_ATTEMPTS = 40
MAX_IDLE = 64  # connections kept for each gateway


class ScheduledRequest(msgspec.Struct):
    """One request of the schedule."""

    at_ms: float
    rid: str
    customer: str
    cls: str
    units: float
    doors: list[int]  # the gateways, in the order in which the attempts use them
    patience_ms: float
    body: int = 0
    leave_ms: float = 0.0  # the client disconnects after this; 0: it waits for the response
    credential: str = ""  # sent unchanged; empty: none is sent
    abuse: bool = False


class ClientBehavior(msgspec.Struct):
    """How all clients behave, as JSON on the command line."""

    ports: list[int]
    retries: int = 1
    wait_ms: float = 200.0
    honour: bool = True
    advice_most_ms: float = 500.0
    repeat_after_failure: list[str] = msgspec.field(default_factory=list)  # request classes that are safe to retry
    seed: int = 1


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.protocol = h11.Connection(h11.CLIENT)


class ClientPool:
    """All clients of a run, and their idle connections to each gateway."""

    def __init__(self, behavior: ClientBehavior, trace: Trace) -> None:
        self._behavior, self._trace = behavior, trace
        self._rng = random.Random(behavior.seed)
        self._idle: dict[int, list[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, schedule: list[ScheduledRequest], start_ms: float) -> None:
        """Send each request at its time; returns when the last one has ended."""
        for scheduled in schedule:
            pause_ms = start_ms + scheduled.at_ms - now_ms()
            if pause_ms > 0:
                await asyncio.sleep(pause_ms / 1000)
            task = asyncio.create_task(self._request(scheduled))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _request(self, scheduled: ScheduledRequest) -> None:
        """Send a request, and retry it as its client would."""
        behavior = self._behavior
        max_attempts = ABUSE_ATTEMPTS if scheduled.abuse else behavior.retries + 1
        until_ms = now_ms() + scheduled.patience_ms * (1 + behavior.retries)
        for number in range(max_attempts):
            gateway = scheduled.doors[number % len(scheduled.doors)]
            retry, advice_ms = await self._attempt(scheduled, f"{scheduled.rid}.{number}", gateway, number)
            if not retry:
                return
            pause_ms = advice_ms if behavior.honour and advice_ms else behavior.wait_ms
            pause_ms = min(pause_ms, behavior.advice_most_ms) * self._rng.uniform(1.0, 1.2)
            if scheduled.abuse:
                pause_ms = ABUSE_PAUSE_MS
            if now_ms() + pause_ms >= until_ms:
                return
            await asyncio.sleep(pause_ms / 1000)

    async def _attempt(self, scheduled: ScheduledRequest, rid: str, gateway: int, number: int) -> tuple[bool, float]:
        """Make one attempt; returns whether the client may retry, and the advised delay in milliseconds."""
        patience_ms = scheduled.patience_ms
        self._trace.write(
            "try",
            rid=rid,
            door=gateway,
            customer=scheduled.customer,
            cls=scheduled.cls,
            units=scheduled.units,
            deadline_ms=patience_ms,
            first=scheduled.rid,
            number=number,
            bad=bool(scheduled.credential) and not scheduled.credential.endswith(scheduled.customer),
        )
        connection: _Connection | None = None
        received: list[int] = []  # the status, as soon as the head of the response was received
        safe = scheduled.cls in self._behavior.repeat_after_failure
        leave_ms = scheduled.leave_ms if scheduled.leave_ms and scheduled.leave_ms < patience_ms else 0.0
        try:
            async with asyncio.timeout((leave_ms or patience_ms + 1000.0) / 1000):
                connection = await self._connection(gateway)
                if connection is None:
                    self._trace.write("unreached", rid=rid)
                    return True, 0.0
                status, headers, complete = await self._exchange(connection, scheduled, rid, received)
        except TimeoutError:
            if connection is not None:
                reset(connection.writer)
            self._trace.write("left" if leave_ms else "no answer", rid=rid)
            return safe and not leave_ms, 0.0
        except (OSError, h11.ProtocolError) as error:
            if connection is not None:
                connection.writer.transport.abort()
            self._trace.write("broken", rid=rid, how=type(error).__name__, status=received[0] if received else 0)
            return safe, 0.0
        advice_ms = float(headers.get(b"retry-after-ms", b"0"))
        self._trace.write(
            "answer",
            rid=rid,
            status=status,
            whole=complete,
            advice=advice_ms,
            reason=headers.get(b"x-reason", b"").decode("latin-1"),
        )
        if status in (429, 503):
            return True, advice_ms
        return safe and status in (502, 504), 0.0

    async def _connection(self, gateway: int) -> _Connection | None:
        idle = self._idle.setdefault(gateway, [])
        while idle:
            connection = idle.pop()
            if not connection.writer.transport.is_closing() and not connection.reader.at_eof():
                return connection
            connection.writer.close()
        try:
            return _Connection(*await asyncio.open_connection("127.0.0.1", self._behavior.ports[gateway]))
        except OSError:
            return None

    async def _exchange(
        self, connection: _Connection, scheduled: ScheduledRequest, rid: str, received: list[int]
    ) -> tuple[int, dict[bytes, bytes], bool]:
        """Send a request and read its response: status, headers, and whether it is complete."""
        protocol = connection.protocol
        headers = [
            ("host", "door"),
            ("x-request-id", rid),
            ("x-customer", scheduled.customer),
            ("x-deadline-ms", f"{scheduled.patience_ms:.3f}"),
        ]
        if scheduled.credential:
            headers.append(("authorization", scheduled.credential))
        if scheduled.body:
            headers.append(("content-length", str(scheduled.body)))
        method = "POST" if scheduled.body else "GET"
        out = [protocol.send(h11.Request(method=method, target=f"/{scheduled.cls}/{rid}", headers=headers)) or b""]
        if scheduled.body:
            out.append(protocol.send(h11.Data(data=b"b" * scheduled.body)) or b"")
        out.append(protocol.send(h11.EndOfMessage()) or b"")
        connection.writer.write(b"".join(out))
        status, response_headers, size = 0, {}, 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await connection.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status, response_headers = event.status_code, dict(event.headers)
                received.append(status)
            elif isinstance(event, h11.Data):
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the gateway closed the connection before the response was complete")
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
            for idle in self._idle.values():
                del idle[MAX_IDLE:]
            self._idle[scheduled.doors[int(rid.rpartition(".")[2]) % len(scheduled.doors)]].append(connection)
        else:
            connection.writer.close()
        return status, response_headers, True


async def run(schedule: Path, behavior: ClientBehavior, trace: Path | None) -> None:
    """Run the clients: the command `begin` starts the schedule, `state` reports whether it is done."""
    trace_file = Trace(trace)
    scheduled = [
        msgspec.json.decode(line, type=ScheduledRequest) for line in schedule.read_bytes().splitlines() if line
    ]
    pool = ClientPool(behavior, trace_file)
    state: dict[str, Any] = {"done": False, "task": None}

    async def play(start_ms: float) -> None:
        await pool.play(scheduled, start_ms)
        state["done"] = True

    def handle_command(command: str, arguments: dict[str, Any]) -> dict[str, Any]:
        if command == "begin":
            state["task"] = asyncio.get_running_loop().create_task(play(float(arguments["at"])))
            return {"ok": True}
        if command == "state":
            return {"done": state["done"], "out": len(pool._tasks)}
        if command == "ports":
            behavior.ports[:] = arguments["ports"]
            return {"ok": True}
        return {"error": f"no such command: {command}"}

    control_port = ControlPort(handle_command)
    await until_stopped({"control": await control_port.start()})
    if state["task"] is not None:
        state["task"].cancel()
        with suppress(asyncio.CancelledError):
            await state["task"]
    trace_file.close()
