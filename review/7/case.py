"""Bad clients, each with a body of 60 MB to send, come by the hundreds beside the usual ones."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import BROKEN, HELD, HOST, NOT_RUN, TROUBLE, Agent, Arrival, Case, Door, Front, Server, head, main, ok

SERVERS = 4
MEMORY_MB, SOCKETS = 192, 1024  # the most that a front door gets on the days that count
USUAL_PER_S, PLAY_S = 40.0, 75.0
WAVE, PERIOD_S = 200, 3.0  # "by the hundreds"
BODY_BYTES = 60_000_000
OWED_S = 6.0  # within which a client with 60 MB to send is owed an error or a close
SHOPS = 200


def settings() -> dict[str, Any]:
    """Return the settings of the front door."""
    return {
        "me": 0,
        "instances": 3,
        "zone": "sala-norte",
        "tick_ms": 4.0,
        "discovery": "automatic",
        "classes": [
            {"name": "ver-orden", "slo_ms": 1500.0, "deadline_ms": 5000.0, "idempotency": "idempotent", "worth": 1.0},
            {
                "name": "cargar-ingreso",
                "slo_ms": 2000.0,
                "deadline_ms": 5000.0,
                "idempotency": "deduplicated",
                "group": "all",
                "window_ms": 5000.0,
                "worth": 2.0,
            },
        ],
        "contracts": [{"name": "comercio", "units_per_s": 3.0, "most_at_once": 14.0, "beyond_costs": 1.0}],
        "family_info": {"has_counter": False, "max_units": 1.0},
        "policy_limits": {
            "try_limit": 3,
            "cancelling": True,
            "conn_idle_ms": 30_000.0,
            "dial_timeout_ms": 250.0,
            "max_open": 20_000,
            "retry_after": True,
            "max_retry_after_ms": 500.0,
        },
        "rules": {
            "answer_slack_ms": 5.0,
            "cold_from": 0.29,
            "warm_within_ms": 16_000.0,
            "drain_grace_ms": 1000.0,
            "fall_multiple": 2.0,
            "overload_for_ms": 1000.0,
        },
    }


def memory_mb(pid: int) -> float:
    """Return the memory that a process holds now, as the platform counts it at least."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class Load:
    """The usual clients and the bad ones."""

    def __init__(self, case: Case, door: Door, rng: random.Random) -> None:
        """Nothing is sent before `usual` and `bad`."""
        self.record, self.door, self.rng = case.record, door, rng
        self.front = Front(case.record, door)
        self.statuses: dict[int, int] = {}
        self.bad_ends: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_id = 0

    async def usual(self, until: float) -> None:
        """Let usual clients come at random moments."""
        while self.record.now() < until:
            await asyncio.sleep(self.rng.expovariate(USUAL_PER_S))
            self._begin(self._usual)

    async def bad(self, until: float) -> None:
        """Let bad clients come in waves."""
        while self.record.now() < until:
            for _ in range(WAVE):
                self._begin(self._bad)
            await asyncio.sleep(PERIOD_S)

    def _begin(self, client: Callable[[int], Coroutine[Any, Any, None]]) -> None:
        self._last_id += 1
        task = asyncio.create_task(client(self._last_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _usual(self, number: int) -> None:
        request_id, customer = f"{number:016x}", self.rng.randrange(SHOPS)
        data = head(request_id, "ver-orden", "comercio", customer, 5000, "units=1,spread=3,first=0")
        answer = await self.front.send(request_id, data, 6.0)
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1

    async def _bad(self, number: int) -> None:
        """Send a request whose body has 60 MB, at full speed, until an error or a close comes."""
        reader, writer = await asyncio.open_connection(HOST, self.door.port)
        quota = "units=1,spread=3,first=0"
        data = head(f"{number:016x}", "cargar-ingreso", "comercio", 7000 + number % 50, 5000, quota, key=f"k{number}")
        writer.write(data.replace(b"Content-Length: 0", b"Content-Length: %d" % BODY_BYTES))

        async def push() -> None:
            with contextlib.suppress(OSError):
                for _ in range(BODY_BYTES // 65_536):
                    writer.write(b"x" * 65_536)
                    await writer.drain()

        pushing = asyncio.create_task(push())
        end = "nothing"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OWED_S):
                try:
                    end = (await reader.readline()).decode("latin-1").strip() or "closed"
                except OSError:
                    end = "reset"
        pushing.cancel()
        writer.transport.abort()
        self.bad_ends[end] = self.bad_ends.get(end, 0) + 1
        self.record.add("bad client", number=number, end=end)

    async def finish(self) -> None:
        """Wait for the clients that are still there."""
        await asyncio.gather(*self._tasks)


async def play(case: Case) -> int:
    """Play the case and judge it."""
    record, rng = case.record, random.Random(10)

    async def work(arrival: Arrival) -> bytes:
        await asyncio.sleep(0.05 + rng.expovariate(1 / 0.1))
        return ok(arrival.id.encode())

    agent = Agent(record, "agent")
    await agent.start()
    for number in range(SERVERS):
        server = Server(f"s-{number}", record, work)
        await server.start()
        case.servers.append(server)
        address = f"{HOST}:{server.port}"
        agent.set(server.name, endpoint=address, az="sala-norte", model="estandar-3", pod_group=0, state="ready")
    door = Door(
        case.folder,
        record,
        "n0",
        discovery=f"{HOST}:{agent.port}",
        known=agent.whole(),
        settings=settings(),
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    )
    case.doors.append(door)
    await door.start()
    assert door.process is not None
    load = Load(case, door, rng)
    until = record.now() + PLAY_S
    sending = [asyncio.create_task(load.usual(until))]
    if TROUBLE:
        sending.append(asyncio.create_task(load.bad(until)))
    highest, at, count = 0.0, 0.0, 0
    while record.now() < until and highest <= MEMORY_MB:
        await asyncio.sleep(0.25)
        held = memory_mb(door.process.pid)
        record.add("memory", mb=round(held, 1))
        if held > highest:
            highest, at, count = held, record.now(), sum(load.bad_ends.values())
    for task in sending:
        task.cancel()
    await load.finish()
    broken = highest > MEMORY_MB
    record.add("judged", highest_mb=round(highest, 1), answers=load.statuses, bad=load.bad_ends, broken=broken)
    print(
        f"memory: at most {highest:.0f} MB of {MEMORY_MB}, at {at:.0f} s after {count} bad clients; "
        f"answers {load.statuses}; bad clients {load.bad_ends}"
    )
    if not load.statuses.get(200):
        return NOT_RUN
    return BROKEN if broken else HELD


if __name__ == "__main__":
    main(__file__, play)
