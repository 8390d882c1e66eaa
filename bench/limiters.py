"""The shared store at its worst, under this project's doors and under other limiters: `python -m bench.limiters`.

Each run is a store of one topology with one fault, six doors and twelve customers, half of them at four times their
quota.  Times are of one machine; counts do not depend on its speed as long as it keeps up.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import math
import random
import sys
import time
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from typing import Any

import redis.asyncio as redis
from limits import RateLimitItemPerSecond
from limits.aio.storage import RedisClusterStorage, RedisSentinelStorage, RedisStorage
from limits.aio.storage.redis.bridge import RedisBridge
from limits.aio.strategies import FixedWindowRateLimiter, MovingWindowRateLimiter
from redis.asyncio.cluster import ClusterNode, RedisCluster
from redis.asyncio.sentinel import Sentinel
from redis.exceptions import RedisError

from martenstep.config import door_pb2 as pb
from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from martenstep.redis_counter.redis_client import RedisCounter
from martenstep.standins.base import Trace
from martenstep.standins.redis.fleet import ALONE, CLUSTER, SENTINEL, Fleet

DOORS, CUSTOMERS = 6, 12
RATE, BURST, CEILING, SLACK = 20.0, 20.0, 44.0, 8.0
LASTS_S, FAULT_AT_S, FAULT_S = 12.0, 4.0, 3.0
TIMEOUT_MS = 50.0
CALM_S = 0.5  # it has recovered when no call has failed for so long
FAULTS: dict[str, tuple[tuple[str, dict[str, Any]], tuple[str, dict[str, Any]] | None]] = {
    "none": (("state", {}), None),
    "paused 2 s": (("pause", {"ms": 2000}), None),
    "emptied": (("restart", {}), None),
    "20 ms slow": (("slow", {"ms": 20}), ("slow", {"ms": 0})),
    "down": (("down", {"on": True}), ("down", {"on": False})),
    "hangs on writes": (("hang_writes", {"on": True}), ("hang_writes", {"on": False})),
    "full": (("memory", {"bytes": 1}), ("memory", {"bytes": 0})),
    "loading": (("error", {"code": "LOADING"}), ("error", {"code": ""})),
    "partial replies": (("partial", {"share": 0.2}), ("partial", {"share": 0.0})),
    "failover": (("failover", {}), None),
    "two primaries 3 s": (("failover", {"split_ms": 3000}), None),
    "slots move 1 s": (("move", {"slots": 6000, "to": 0, "for_ms": 1000}), None),
}
COMMON = [
    "none",
    "paused 2 s",
    "emptied",
    "20 ms slow",
    "down",
    "hangs on writes",
    "full",
    "loading",
    "partial replies",
]
RUNS = {
    ALONE: COMMON,
    SENTINEL: ["none", "paused 2 s", "failover", "two primaries 3 s"],
    CLUSTER: ["none", "paused 2 s", "failover", "slots move 1 s"],
}


class Limiter(ABC):
    """One door."""

    def __init__(self) -> None:
        self.calls = 0
        self.took: list[float] = []
        self.failed: list[float] = []  # when calls failed

    async def start(self) -> None:
        """Before the first try."""
        return None

    async def stop(self) -> None:
        """After the last."""
        return None

    @abstractmethod
    async def admit(self, customer: int) -> bool:
        """Whether a try is sent on."""


class Ours(Limiter):
    """The module over the door's store."""

    def __init__(self, number: int, kind: str, ports: list[int], scripts: bool) -> None:
        super().__init__()
        plan = api.Plan("studio", RATE, BURST, ceiling_rate=CEILING, ceiling_burst=CEILING, ceiling_slack=SLACK)
        cls = api.RequestClass("read", 1000.0, 4000.0, api.Idempotency.IDEMPOTENT)
        self.gateway = Gateway(
            api.Settings(
                instance=number,
                instances=DOORS,
                zone="a",
                tick_ms=2.0,
                classes=(cls,),
                plans=(plan,),
                has_counter=True,
                counter_timeout_ms=TIMEOUT_MS,
                max_attempts=3,
                can_cancel=True,
                sends_retry_after=True,
                slow_start_initial_share=1.0,
                slow_start_window_ms=0.0,
                overload_multiple=1.0,
                overload_window_ms=0.0,
                answer_slack_ms=8.0,
            ),
            number,
        )
        topology = {ALONE: pb.Store.ALONE, SENTINEL: pb.Store.SENTINEL, CLUSTER: pb.Store.CLUSTER}[kind]
        settings = pb.Store(
            topology=topology,
            timeout_ms=TIMEOUT_MS,
            scripts=scripts,
            primary_name="counts",
            node=[pb.Store.Node(port=port) for port in ports],
            port=ports[0],
        )
        self.store = RedisCounter(settings, self._counted, f"door-{number}")
        self._names: dict[int, tuple[int, float]] = {}
        self._waiting: dict[str, asyncio.Future[bool]] = {}
        self._number = number

    async def start(self) -> None:
        self.store.start()
        servers = tuple(api.Endpoint(n, "a", "std", 0, api.EndpointState.UP) for n in range(1, 9))
        self._act(self.gateway.handle(self._now(), api.EndpointListUpdate(api.EndpointListScope.CACHED, servers)))

    async def stop(self) -> None:
        await self.store.stop()

    async def admit(self, customer: int) -> bool:
        rid = f"{self._number}-{self.calls}-{len(self._waiting)}-{time.monotonic_ns()}"
        made: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting[rid] = made
        self._act(self.gateway.handle(self._now(), api.Request(rid, "read", "studio", customer, 4000.0, 1.0, DOORS)))
        return bool(await made)

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    def _counted(self, call: int, verdict: api.CallResult, total: float, kept_ms: float) -> None:
        name, at = self._names.pop(call)
        rtt = self._now() - at
        self.took.append(rtt)
        if verdict is not api.CallResult.OK:
            self.failed.append(time.monotonic())
        self._act(self.gateway.handle(self._now(), api.CounterReply(name, verdict, rtt, total, kept_ms)))

    def _act(self, actions: list[api.Action]) -> None:
        loop = asyncio.get_running_loop()
        for action in actions:
            match action:
                case api.IncrementCounter():
                    self.calls += 1
                    self._names[self.calls] = action.key, self._now()
                    self.store.add(self.calls, action.key, action.units, action.expire_ms, action.bounds_ceiling)
                case api.StartAttempt():
                    if action.id in self._waiting:
                        self._waiting.pop(action.id).set_result(True)
                    loop.call_later(0.02, self._ended, action)
                case api.Reject():
                    self._waiting.pop(action.id).set_result(False)
                case api.SetTimer():
                    loop.call_later(max(action.at_ms - self._now(), 0.0) / 1000, self._due, action.token)

    def _ended(self, send: api.StartAttempt) -> None:
        self._act(
            self.gateway.handle(self._now(), api.AttemptEnded(send.id, 0, send.endpoint, api.CallResult.OK, 20.0, True))
        )

    def _due(self, token: int) -> None:
        self._act(self.gateway.handle(self._now(), api.TimerFired(token)))


class OverClient(Limiter):
    """A limiter over a client; where the store fails, the try is let through, as such limiters are used."""

    async def admit(self, customer: int) -> bool:
        self.calls += 1
        began = time.monotonic()
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                return await self.ask(customer)
        except Exception:  # a client that is cut off in the middle raises what it likes
            self.failed.append(time.monotonic())
            return True
        finally:
            self.took.append((time.monotonic() - began) * 1000)

    @abstractmethod
    async def ask(self, customer: int) -> bool:
        """One call."""


class Naive(OverClient):
    """INCR and EXPIRE on a window of a second."""

    def __init__(self, kind: str, ports: list[int]) -> None:
        super().__init__()
        self.client: Any
        if kind == SENTINEL:
            self.client = Sentinel(  # type: ignore[no-untyped-call]
                [("127.0.0.1", port) for port in ports]
            ).master_for("counts")
        elif kind == CLUSTER:
            self.client = RedisCluster(startup_nodes=[ClusterNode("127.0.0.1", port) for port in ports])
        else:
            self.client = redis.Redis(port=ports[0])

    async def ask(self, customer: int) -> bool:
        key = f"naive:{customer}:{int(time.time())}"
        count = await self.client.incrby(key, 1)
        if count == 1:
            await self.client.pexpire(key, 2000)
        return bool(count <= BURST)

    async def start(self) -> None:
        with suppress(RedisError, OSError):
            await self.client.ping()

    async def stop(self) -> None:
        await self.client.aclose()


class Library(OverClient):
    """The `limits` library."""

    def __init__(self, kind: str, ports: list[int], moving: bool) -> None:
        super().__init__()
        hosts = ",".join(f"127.0.0.1:{port}" for port in ports)
        storage: Any
        if kind == SENTINEL:
            storage = RedisSentinelStorage(f"async+redis+sentinel://{hosts}/counts", implementation="redispy")
        elif kind == CLUSTER:
            storage = RedisClusterStorage(f"async+redis+cluster://{hosts}", implementation="redispy")
        else:
            storage = RedisStorage(f"async+redis://127.0.0.1:{ports[0]}", implementation="redispy")
        self.limiter = MovingWindowRateLimiter(storage) if moving else FixedWindowRateLimiter(storage)
        self.item = RateLimitItemPerSecond(int(RATE))

    async def ask(self, customer: int) -> bool:
        return await self.limiter.hit(self.item, str(customer))


def twins() -> dict[str, Any]:
    """What the library's two scripts do, by their digests."""

    def fixed(get: Any, put: Any, keys: list[bytes], args: list[bytes]) -> Any:
        count = int(get(keys[0]) or b"0") + int(args[1])
        put(keys[0], b"%d" % count, float(args[0]) * 1000 if count == int(args[1]) else 0.0)
        return count

    def moving(get: Any, put: Any, keys: list[bytes], args: list[bytes]) -> Any:
        stamp, limit, expiry, amount = float(args[0]), int(args[1]), float(args[2]), int(args[3])
        entries = [float(word) for word in (get(keys[0]) or b"").split()]
        at = limit - amount
        if at < 0 or (at < len(entries) and entries[at] >= stamp - expiry):
            return None
        entries = ([stamp] * amount + entries)[:limit]
        put(keys[0], b" ".join(b"%.17g" % entry for entry in entries), expiry * 1000)
        return 1

    return {
        hashlib.sha1(text).hexdigest(): twin
        for text, twin in ((RedisBridge.SCRIPT_INCR_EXPIRE, fixed), (RedisBridge.SCRIPT_ACQUIRE_MOVING_WINDOW, moving))
    }


LIMITERS: dict[str, Any] = {
    "martenstep": lambda number, kind, ports: Ours(number, kind, ports, True),
    "martenstep, plain adds": lambda number, kind, ports: Ours(number, kind, ports, False),
    "INCR and EXPIRE": lambda number, kind, ports: Naive(kind, ports),
    "limits, fixed window": lambda number, kind, ports: Library(kind, ports, False),
    "limits, moving window": lambda number, kind, ports: Library(kind, ports, True),
}


def beyond(times: list[float], rate: float, burst: float) -> float:
    """Units beyond a bucket: what it would have to go below nothing, at most."""
    held, last, worst = burst, -math.inf, 0.0
    for at in sorted(times):
        held = min(held + (at - last) * rate, burst) - 1.0
        last = at
        worst = max(worst, -held)
    return worst


def short(tries: list[tuple[float, bool]]) -> int:
    """How many tries fewer were sent on than one bucket for all doors would have sent on."""
    held, last, good = BURST, -math.inf, 0
    for at, _ in sorted(tries):
        held = min(held + (at - last) * RATE, BURST)
        last = at
        if held >= 1.0:
            held -= 1.0
            good += 1
    return max(good - sum(admitted for _, admitted in tries), 0)


async def _play(limiter: str, kind: str, fault: str) -> dict[str, Any]:
    fleet = Fleet(Trace(None), kind, lag_ms=300.0)
    for server in fleet.servers:
        server.keyspace.script_functions = twins()
    await fleet.start()
    doors = [LIMITERS[limiter](number, kind, fleet.ports) for number in range(DOORS)]
    for door in doors:
        await door.start()
    rng = random.Random(7)
    arrivals = sorted(
        (at, customer) for customer in range(CUSTOMERS) for at in _poisson(rng, 4 * RATE if customer % 2 else RATE / 2)
    )
    tries: dict[int, list[tuple[float, bool]]] = defaultdict(list)
    waits: list[float] = []
    begin = time.monotonic() + 0.3
    tasks = set()

    async def one(customer: int, door: Limiter) -> None:
        at = time.monotonic()
        admitted = await door.admit(customer)
        tries[customer].append((time.monotonic(), admitted))
        waits.append((time.monotonic() - at) * 1000)

    async def faulty() -> None:
        on, off = FAULTS[fault]
        await asyncio.sleep(max(begin + FAULT_AT_S - time.monotonic(), 0.0))
        fleet.control(*on)
        if off is not None:
            await asyncio.sleep(FAULT_S)
            fleet.control(*off)

    tasks.add(asyncio.create_task(faulty()))
    for at, customer in arrivals:
        await asyncio.sleep(max(begin + at - time.monotonic(), 0.0))
        tasks.add(asyncio.create_task(one(customer, rng.choice(doors))))
    await asyncio.gather(*tasks)
    ends = {"paused 2 s": 2.0, "emptied": 0.0, "failover": 0.0, "slots move 1 s": 1.0}
    end = begin + FAULT_AT_S + ends.get(fault, FAULT_S)
    late = sorted(at - end for door in doors for at in door.failed if at > end)
    recovery = 0.0
    for at in late:
        if at - recovery > CALM_S:
            break
        recovery = at
    admitted = {customer: [at for at, good in found if good] for customer, found in tries.items()}
    count = sum(len(found) for found in tries.values())
    result = {
        "over ceiling": max(beyond(times, CEILING, CEILING + SLACK) for times in admitted.values()),
        "over quota": sum(beyond(times, RATE, BURST) for times in admitted.values()),
        "short": sum(short(found) for found in tries.values()),
        "tries": count,
        "calls": sum(door.calls for door in doors) / count,
        "recovery_ms": recovery * 1000,
        "p99_wait": sorted(waits)[int(0.99 * len(waits))],
        "counts": dict(sum((door.store.core.counts for door in doors if isinstance(door, Ours)), Counter())),
    }
    for door in doors:
        await door.stop()
    await fleet.stop()
    return result


def _poisson(rng: random.Random, rate: float) -> list[float]:
    at, found = 0.0, []
    while (at := at + rng.expovariate(rate)) < LASTS_S:
        found.append(at)
    return found


def play(limiter: str, kind: str, fault: str) -> tuple[str, str, str, dict[str, Any]]:
    """One run, in a process of its own."""
    try:
        return limiter, kind, fault, asyncio.run(_play(limiter, kind, fault))
    except Exception as error:  # another's client may not get on with the topology: the table says so
        return limiter, kind, fault, {"error": f"{type(error).__name__}: {error}"}


def main() -> None:
    """Print a table."""
    words = argparse.ArgumentParser()
    words.add_argument("--only", default="", help="limiters whose names hold this")
    words.add_argument("--kind", default="", help="this topology alone")
    words.add_argument("--fault", default="", help="this fault alone")
    words.add_argument("--at-once", type=int, default=4)
    told = words.parse_args()
    runs = [
        (limiter, kind, fault)
        for limiter in LIMITERS
        if told.only in limiter
        for kind, faults in RUNS.items()
        if told.kind in ("", kind)
        for fault in faults
        if told.fault in ("", fault)
    ]
    print(
        "| topology | fault | limiter | over ceiling | over quota | short of one bucket | recovery | p99 wait | "
        "calls a try |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    with ProcessPoolExecutor(told.at_once) as pool:
        found = [done.result() for done in [pool.submit(play, *run) for run in runs]]
    for limiter, kind, fault, made in sorted(found, key=lambda one: (one[1], list(FAULTS).index(one[2]))):
        if "error" in made:
            print(f"| {kind} | {fault} | {limiter} | did not run: {made['error'][:80]} | | | | | |")
            continue
        print(
            f"| {kind} | {fault} | {limiter} | {made['over ceiling']:.0f} | {made['over quota']:.0f} | "
            f"{made['short']} of {made['tries']} | {made['recovery_ms']:.0f} ms | {made['p99_wait']:.0f} ms | "
            f"{made['calls']:.2f} |"
        )
        sys.stderr.write(json.dumps([limiter, kind, fault, made["counts"]]) + "\n")


if __name__ == "__main__":
    main()
