"""A front door dies some seconds after its start and comes back; clients send commands without keys of their own."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import BROKEN, HELD, NOT_RUN, TROUBLE, Arrival, Case, Feed, Front, Server, StandAlone, main, ok

SERVERS = 10  # climate nodes of one building
ASKED_PER_S = 47.0  # a third of 140 requests a second
ACTUATE_SHARE = 0.19
WINDOW_S = 20.0  # how long the nodes of one building drop a repeat
LIFE_S, AWAY_S, AFTER_S = 9.0, 2.5, 12.0  # comes back after 2 to 7.6 s

SETTINGS = """
instance: 0
instances: 3
zone: "main-block"
stop_ms: 3000
members {{ host: "127.0.0.1" port: {feed} warm_copy: "{warm_copy}" }}
upstream {{ connections: 64 connect_ms: 250 max_attempts: 6 }}
class {{ name: "reading" aim_ms: 1200 deadline_ms: 3000 effect: SAFE }}
class {{ name: "actuate" aim_ms: 3000 deadline_ms: 10000 effect: KEYED group: ZONE window_ms: 20000 worth: 3 }}
plan {{ name: "estate" rate: 200 burst: 400 }}
default_plan: "estate"
route {{ method: "GET" path_prefix: "/readings/" class: "reading" customer_segment: 2 }}
route {{ method: "POST" path_prefix: "/actuate/" class: "actuate" customer_segment: 2 }}
rules {{ answer_slack_ms: 8 drain_grace_ms: 500 cold_from: 0.26 warm_within_ms: 16000 fall_multiple: 2.5
  fall_window_ms: 3000 }}
"""


class Building:
    """The climate nodes of one building: they run a command once, and drop what carries the key of one that ran."""

    def __init__(self, case: Case, rng: random.Random) -> None:
        """Nothing has run yet."""
        self.record, self.rng = case.record, rng
        self.run_paths: dict[str, int] = {}  # how often each command ran, by its path
        self._ran: dict[str, tuple[float, str]] = {}  # by key: when it came first, and its path

    async def work(self, arrival: Arrival) -> bytes:
        """Answer a reading with its path, and a command with the path of the command that ran under its key."""
        method, path, _ = arrival.message.line.split()
        if method == "POST":
            key = arrival.message.headers.get("idempotency-key", "")
            first_at, first_path = self._ran.get(key, (-WINDOW_S, ""))
            if key and arrival.at - first_at < WINDOW_S:
                self.record.add("repeat dropped", server=arrival.server.name, key=key, path=path, ran=first_path)
                return ok(first_path.encode())
            self._ran[key] = arrival.at, path
            self.run_paths[path] = self.run_paths.get(path, 0) + 1
            self.record.add("run", server=arrival.server.name, key=key, path=path)
        await asyncio.sleep(0.05 + self.rng.expovariate(1 / 0.1))
        return ok(path.encode())


class Load:
    """The clients; they give up with the front door, and don't repeat what they may have sent."""

    def __init__(self, case: Case, front: Front, building: Building, rng: random.Random) -> None:
        """Nothing is sent before `run`."""
        self.record, self.front, self.building, self.rng = case.record, front, building, rng
        self.counts = {"readings": 0, "commands": 0, "not served": 0, "lost": 0, "foreign": 0, "twice": 0}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_id = 0

    async def run(self, until: float) -> None:
        """Send requests at random moments."""
        while self.record.now() < until:
            await asyncio.sleep(self.rng.expovariate(ASKED_PER_S))
            self._last_id += 1
            task = asyncio.create_task(self._ask(self._last_id, self.rng.random() < ACTUATE_SHARE))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask(self, number: int, command: bool) -> None:
        path = f"/{'actuate' if command else 'readings'}/grower-{number % 9}/{number}"
        method, body = ("POST", b"open") if command else ("GET", b"")
        length = f"Content-Length: {len(body)}\r\n" if command else ""
        data = f"{method} {path} HTTP/1.1\r\nHost: nodes\r\nX-Request-Id: r{number}\r\n{length}\r\n".encode() + body
        answer = await self.front.send(f"r{number}", data, 11.0)
        self.counts["commands" if command else "readings"] += 1
        if answer.status != 200:
            self.counts["not served"] += 1
            return
        runs = self.building.run_paths.get(path, 0)
        wrong = answer.body != path.encode()
        lost = command and not runs
        self.counts["foreign"] += wrong
        self.counts["lost"] += lost
        self.counts["twice"] += runs > 1
        if wrong or lost or runs > 1:
            self.record.add("broken", id=f"r{number}", asked=path, got=answer.body.decode(), runs=runs)

    async def finish(self) -> None:
        """Wait for the requests that are still out."""
        await asyncio.gather(*self._tasks)


async def play(case: Case) -> int:
    """Play the case and judge it."""
    record, rng = case.record, random.Random(9)
    building = Building(case, rng)
    feed = Feed(record)
    await feed.start()
    for number in range(SERVERS):
        server = Server(f"n-{number + 1}", record, building.work)
        await server.start()
        case.servers.append(server)
        feed.set(number + 1, server.port, zone="main-block")
    settings = SETTINGS.format(feed=feed.port, warm_copy=case.folder / "members.json")
    door = StandAlone(case.folder, record, "door-0", settings)
    case.doors.append(door)
    await door.start()
    front = Front(record, door)
    load = Load(case, front, building, rng)
    await asyncio.sleep(0.5)
    await load.run(record.now() + LIFE_S)
    if TROUBLE:
        record.add("door killed")
        await door.kill()
        await load.finish()
        front.close()
        await asyncio.sleep(AWAY_S)
        await door.start()
        await asyncio.sleep(0.3)
    await load.run(record.now() + AFTER_S)
    await load.finish()
    record.add("judged", **load.counts)
    print(f"requests: {load.counts}")
    if not load.counts["commands"] or load.counts["not served"] > 0.2 * load.counts["readings"]:
        return NOT_RUN
    return BROKEN if load.counts["lost"] or load.counts["foreign"] or load.counts["twice"] else HELD


if __name__ == "__main__":
    main(__file__, play)
