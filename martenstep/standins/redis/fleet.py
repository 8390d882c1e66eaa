"""Several Redis servers as one: a primary with a replica told of by sentinels, or a cluster of primaries with replicas.

A replica holds what its primary held some time ago; a failover promotes it as it is, so that the last writes are lost.
"""

from __future__ import annotations

import asyncio
from collections import deque
from pathlib import Path
from typing import Any

from martenstep.lifetime import until_stopped
from martenstep.redis_counter.slots import SLOTS, slot_of
from martenstep.standins.base import ControlPort, Trace, now_ms
from martenstep.standins.redis.keyspace import Session, Value, key_of
from martenstep.standins.redis.server import RedisServer
from martenstep.standins.resp import ErrorReply, Reply

ALONE, SENTINEL, CLUSTER = "alone", "sentinel", "cluster"
MASTER = b"counts"  # what the sentinels call the primary
HOST = b"127.0.0.1"
APPLY_MS = 2.0  # a replica looks so often for what is due


class Pair:
    """A primary and its replica, whose changes come a lag later; alone, a primary without one."""

    def __init__(self, trace: Trace, number: int, replicated: bool, lag_ms: float, port: int) -> None:
        self.primary = RedisServer(trace, port, f"redis-{number}a")
        self.replica = RedisServer(trace, name=f"redis-{number}b") if replicated else None
        self.lag_ms = lag_ms
        self._stream: deque[tuple[float, int, bytes, Value | None, float]] = deque()
        self._follow()

    @property
    def servers(self) -> list[RedisServer]:
        """The primary, and the replica where there is one."""
        return [self.primary] if self.replica is None else [self.primary, self.replica]

    def _follow(self) -> None:
        if self.replica is not None:
            self.primary.keyspace.replica, self.primary.keyspace.changed = False, self._changed
            self.replica.keyspace.replica, self.replica.keyspace.changed = True, None

    def _changed(self, database: int, key: bytes, value: Value | None, expires: float) -> None:
        self._stream.append((now_ms() + self.lag_ms, database, key, value, expires))

    def apply(self, now: float) -> None:
        """Bring the replica up to what is due."""
        while self.replica is not None and self._stream and self._stream[0][0] <= now:
            _, database, key, value, expires = self._stream.popleft()
            self.replica.keyspace.take(database, key, value, expires)

    def promote(self) -> RedisServer:
        """The replica becomes the primary, without what has not come; gives the old one, which has a stream no more."""
        assert self.replica is not None
        self.apply(now_ms())
        self._stream.clear()
        old, self.primary = self.primary, self.replica
        old.keyspace.changed = None
        self.primary.keyspace.replica = False
        self.replica = None
        return old

    def rejoin(self, old: RedisServer) -> None:
        """The old primary gives up its contents for the new one's, and follows it."""
        old.keyspace.empty()
        self._stream.clear()
        for database, key, value, expires in self.primary.keyspace.contents():
            old.keyspace.take(database, key, value, expires)
        self.replica = old
        self._follow()
        old.drop()


class Fleet:
    """All servers of a topology, steered as one."""

    def __init__(
        self,
        trace: Trace,
        kind: str = ALONE,
        *,
        shards: int = 3,
        sentinels: int = 3,
        lag_ms: float = 100.0,
        port: int = 0,
    ) -> None:
        self.kind, self._trace = kind, trace
        count = shards if kind == CLUSTER else 1
        self.pairs = [
            Pair(trace, number, kind != ALONE, lag_ms, port if kind == ALONE else 0) for number in range(count)
        ]
        self.sentinels = [RedisServer(Trace(None), name=f"sentinel-{n}") for n in range(sentinels * (kind == SENTINEL))]
        self._owner = [slot * count // SLOTS for slot in range(SLOTS)]  # pair by slot
        self._moving: dict[int, int] = {}  # slots under way, and to which pair
        self._tasks: set[asyncio.Task[None]] = set()
        for server in self.servers:
            server.outside = self._answer(server)
        for sentinel in self.sentinels:
            sentinel.outside = self._sentinel

    @property
    def servers(self) -> list[RedisServer]:
        """Of all pairs."""
        return [server for pair in self.pairs for server in pair.servers]

    @property
    def ports(self) -> list[int]:
        """Where to ask first: of sentinels where there are any, else of primaries."""
        return [server.port for server in self.sentinels or [pair.primary for pair in self.pairs]]

    async def start(self) -> None:
        """Bind all."""
        for server in [*self.servers, *self.sentinels]:
            await server.start()
        if self.kind != ALONE:
            self._task(self._replicate())

    async def stop(self) -> None:
        """Stop all."""
        for task in self._tasks:
            task.cancel()
        for pair in self.pairs:
            pair.primary.tell_contents()
        for server in [*self.servers, *self.sentinels]:
            await server.stop()

    def _task(self, made: Any) -> None:
        task = asyncio.ensure_future(made)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replicate(self) -> None:
        while True:
            for pair in self.pairs:
                pair.apply(now_ms())
            await asyncio.sleep(APPLY_MS / 1000)

    def control(self, do: str, words: dict[str, Any]) -> dict[str, Any]:
        """Steer the topology; what it does not know goes to every primary."""
        if do == "failover":
            self._trace.write("control", do=do, **words)
            self.failover(int(words.get("pair", 0)), float(words.get("split_ms", 0.0)))
        elif do == "move":
            self._trace.write("control", do=do, **words)
            self.move(int(words["slots"]), int(words["to"]), float(words.get("for_ms", 0.0)))
        elif do == "state":
            found = [server.control("state", {}) for server in self.servers]
            return {key: sum(one[key] for one in found) for key in ("commands", "connections")}
        else:
            answers = [pair.primary.control(do, words) for pair in self.pairs]
            return next((answer for answer in answers if "error" in answer), answers[0])
        return {"ok": True}

    def failover(self, number: int = 0, split_ms: float = 0.0) -> None:
        """Promote a replica; the old primary goes on by itself for some time, and then follows the new one."""
        pair = self.pairs[number]
        before = pair.primary.port
        old = pair.promote()
        message = b"%s %s %d %s %d" % (MASTER, HOST, before, HOST, pair.primary.port)
        for sentinel in self.sentinels:
            sentinel.publish(b"+switch-master", message)

        async def rejoin() -> None:
            await asyncio.sleep(split_ms / 1000)
            pair.rejoin(old)

        if split_ms:
            self._task(rejoin())
        else:
            pair.rejoin(old)

    def move(self, slots: int, to: int, for_ms: float = 0.0) -> None:
        """Bring the first so many slots of other pairs to one pair, with their keys: they are asked for there with ASK
        while it lasts, and with MOVED from then on."""
        chosen = [slot for slot, owner in enumerate(self._owner) if owner != to][:slots]
        self._moving.update(dict.fromkeys(chosen, to))
        found = set(chosen)
        for number, pair in enumerate(self.pairs):
            if number == to:
                continue
            source, target = pair.primary.keyspace, self.pairs[to].primary.keyspace
            for database, key, value, expires in list(source.contents()):
                if slot_of(key) in found and self._owner[slot_of(key)] == number:
                    target.take(database, key, value, expires)
                    source.take(database, key, None, 0.0)

        async def settle() -> None:
            await asyncio.sleep(for_ms / 1000)
            self._settle(chosen)

        if for_ms:
            self._task(settle())
        else:
            self._settle(chosen)

    def _settle(self, slots: list[int]) -> None:
        for slot in slots:
            self._owner[slot] = self._moving.pop(slot)

    def _answer(self, server: RedisServer) -> Any:
        def answer(session: Session, words: list[bytes]) -> Reply | None:
            if self.kind != CLUSTER:
                return None
            if words[0].upper() == b"CLUSTER":
                return self._cluster(words)
            asking, session.asking = session.asking, False
            key = key_of(words)
            if key is None:
                return None
            slot = slot_of(key)
            owner = self.pairs[self._owner[slot]].primary
            to = self._moving.get(slot)
            if server is owner and to is not None:
                return ErrorReply(f"ASK {slot} 127.0.0.1:{self.pairs[to].primary.port}")
            if server is owner or (server.keyspace.changed is None and not server.keyspace.replica):
                return None  # an old primary that does not know yet goes on by itself
            if asking and to is not None and server is self.pairs[to].primary:
                return None
            return ErrorReply(f"MOVED {slot} 127.0.0.1:{owner.port}")

        return answer

    def _cluster(self, words: list[bytes]) -> Reply:
        what = words[1].upper() if len(words) > 1 else b""
        if what == b"KEYSLOT" and len(words) == 3:
            return slot_of(words[2])
        if what == b"INFO":
            return b"cluster_state:ok\r\ncluster_slots_assigned:16384\r\ncluster_size:%d\r\n" % len(self.pairs)
        if what not in (b"SLOTS", b"SHARDS"):
            return ErrorReply("ERR unknown subcommand or wrong number of arguments for 'cluster'")
        ranges: list[tuple[int, int, Pair]] = []
        for slot, owner in enumerate(self._owner):
            pair = self.pairs[owner]
            if ranges and ranges[-1][2] is pair:
                ranges[-1] = ranges[-1][0], slot, pair
            else:
                ranges.append((slot, slot, pair))
        if what == b"SLOTS":
            return [[first, last, *self._nodes(pair)] for first, last, pair in ranges]
        shards: list[Reply] = []
        for pair in self.pairs:
            slots: list[Reply] = []
            for first, last, owner_ in ranges:
                if owner_ is pair:
                    slots += [first, last]
            nodes: list[Reply] = [
                {
                    "id": server.keyspace.run_id.encode(),
                    "port": server.port,
                    "ip": HOST,
                    "endpoint": HOST,
                    "role": b"replica" if server.keyspace.replica else b"master",
                    "replication-offset": server.keyspace.offset,
                    "health": b"online",
                }
                for server in pair.servers
            ]
            shards.append({"slots": slots, "nodes": nodes})
        return shards

    @staticmethod
    def _nodes(pair: Pair) -> list[Reply]:
        return [[HOST, server.port, server.keyspace.run_id.encode(), []] for server in pair.servers]

    def _sentinel(self, session: Session, words: list[bytes]) -> Reply | None:
        if words[0].upper() != b"SENTINEL":
            return None
        what = words[1].upper() if len(words) > 1 else b""
        pair = self.pairs[0]
        if what == b"GET-MASTER-ADDR-BY-NAME" and len(words) == 3:
            return [HOST, b"%d" % pair.primary.port] if words[2] == MASTER else None
        if what == b"MASTERS":
            return [
                {
                    "name": MASTER,
                    "ip": HOST,
                    "port": b"%d" % pair.primary.port,
                    "flags": b"master",
                    "num-slaves": b"%d" % (pair.replica is not None),
                    "num-other-sentinels": b"%d" % (len(self.sentinels) - 1),
                    "quorum": b"2",
                }
            ]
        if what in (b"REPLICAS", b"SLAVES", b"SENTINELS"):
            if words[2:] != [MASTER]:
                return ErrorReply("ERR No such master with that name")
            others = self.sentinels if what == b"SENTINELS" else [pair.replica] if pair.replica else []
            flags = b"sentinel" if what == b"SENTINELS" else b"slave"
            return [
                {"name": b"%s:%d" % (HOST, server.port), "ip": HOST, "port": b"%d" % server.port, "flags": flags}
                for server in others
            ]
        return ErrorReply("ERR Unknown sentinel subcommand")


async def run(port: int, trace: Path | None, kind: str = ALONE, shards: int = 3, lag_ms: float = 100.0) -> None:
    """A topology until it is stopped."""
    told = Trace(trace)
    fleet = Fleet(told, kind, shards=shards, lag_ms=lag_ms, port=port)
    await fleet.start()
    control = await ControlPort(fleet.control).start()
    await until_stopped({"port": fleet.ports[0], "ports": fleet.ports, "control": control}, fleet.stop)
    told.close()
