"""Several fake Redis servers: a primary with a replica and sentinels, or a cluster of primaries with replicas.

A replica holds what its primary held some time ago.  A failover promotes it as it is, so that the last writes are lost.
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
PRIMARY_NAME = b"counts"  # the name of the primary at the sentinels
HOST = b"127.0.0.1"
APPLY_INTERVAL_MS = 2.0  # between the times at which replicas apply the changes that are due


class Pair:
    """A primary, and a replica that applies its changes after a lag; a standalone primary has no replica."""

    def __init__(self, trace: Trace, number: int, replicated: bool, lag_ms: float, port: int) -> None:
        self.primary = RedisServer(trace, port, f"redis-{number}a")
        self.replica = RedisServer(trace, name=f"redis-{number}b") if replicated else None
        self.lag_ms = lag_ms
        self._stream: deque[tuple[float, int, bytes, Value | None, float]] = deque()
        self._follow()

    @property
    def servers(self) -> list[RedisServer]:
        """The primary, and the replica if there is one."""
        return [self.primary] if self.replica is None else [self.primary, self.replica]

    def _follow(self) -> None:
        if self.replica is not None:
            self.primary.keyspace.replica, self.primary.keyspace.on_change = False, self._on_change
            self.replica.keyspace.replica, self.replica.keyspace.on_change = True, None

    def _on_change(self, database: int, key: bytes, value: Value | None, expires: float) -> None:
        self._stream.append((now_ms() + self.lag_ms, database, key, value, expires))

    def apply(self, now: float) -> None:
        """Apply the changes that are due to the replica."""
        while self.replica is not None and self._stream and self._stream[0][0] <= now:
            _, database, key, value, expires = self._stream.popleft()
            self.replica.keyspace.apply_change(database, key, value, expires)

    def promote(self) -> RedisServer:
        """Promote the replica without the changes that are not due; returns the old primary, which has no replica."""
        assert self.replica is not None
        self.apply(now_ms())
        self._stream.clear()
        old, self.primary = self.primary, self.replica
        old.keyspace.on_change = None
        self.primary.keyspace.replica = False
        self.replica = None
        return old

    def rejoin(self, old: RedisServer) -> None:
        """Replace the old primary's contents by the new one's, and make it the replica."""
        old.keyspace.empty()
        self._stream.clear()
        for database, key, value, expires in self.primary.keyspace.contents():
            old.keyspace.apply_change(database, key, value, expires)
        self.replica = old
        self._follow()
        old.drop()


class Fleet:
    """All servers of a topology, with one control interface."""

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
        self._owner = [slot * count // SLOTS for slot in range(SLOTS)]  # the pair of each slot
        self._moving: dict[int, int] = {}  # the target pair of each slot that is being moved
        self._tasks: set[asyncio.Task[None]] = set()
        for server in self.servers:
            server.interceptor = self._interceptor(server)
        for sentinel in self.sentinels:
            sentinel.interceptor = self._answer_sentinel

    @property
    def servers(self) -> list[RedisServer]:
        """The servers of all pairs."""
        return [server for pair in self.pairs for server in pair.servers]

    @property
    def ports(self) -> list[int]:
        """The ports that clients connect to first: the sentinels' if there are any, otherwise the primaries'."""
        return [server.port for server in self.sentinels or [pair.primary for pair in self.pairs]]

    async def start(self) -> None:
        """Bind all servers."""
        for server in [*self.servers, *self.sentinels]:
            await server.start()
        if self.kind != ALONE:
            self._start_task(self._replicate())

    async def stop(self) -> None:
        """Stop all servers."""
        for task in self._tasks:
            task.cancel()
        for pair in self.pairs:
            pair.primary.trace_contents()
        for server in [*self.servers, *self.sentinels]:
            await server.stop()

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replicate(self) -> None:
        while True:
            for pair in self.pairs:
                pair.apply(now_ms())
            await asyncio.sleep(APPLY_INTERVAL_MS / 1000)

    def control(self, do: str, words: dict[str, Any]) -> dict[str, Any]:
        """Run a control command of the topology; any other command is passed to every primary."""
        if do == "failover":
            self._trace.write("control", do=do, **words)
            self.failover(int(words.get("pair", 0)), float(words.get("split_ms", 0.0)))
        elif do == "move":
            self._trace.write("control", do=do, **words)
            self.move(int(words["slots"]), int(words["to"]), float(words.get("for_ms", 0.0)))
        elif do == "state":
            states = [server.control("state", {}) for server in self.servers]
            return {key: sum(state[key] for state in states) for key in ("commands", "connections")}
        else:
            answers = [pair.primary.control(do, words) for pair in self.pairs]
            return next((answer for answer in answers if "error" in answer), answers[0])
        return {"ok": True}

    def failover(self, number: int = 0, split_ms: float = 0.0) -> None:
        """Promote a replica; the old primary keeps serving for `split_ms`, and then becomes the replica."""
        pair = self.pairs[number]
        old_port = pair.primary.port
        old = pair.promote()
        message = b"%s %s %d %s %d" % (PRIMARY_NAME, HOST, old_port, HOST, pair.primary.port)
        for sentinel in self.sentinels:
            sentinel.publish(b"+switch-master", message)

        async def rejoin() -> None:
            await asyncio.sleep(split_ms / 1000)
            pair.rejoin(old)

        if split_ms:
            self._start_task(rejoin())
        else:
            pair.rejoin(old)

    def move(self, slots: int, to: int, for_ms: float = 0.0) -> None:
        """Move the first `slots` slots of other pairs to one pair, with their keys.

        Clients are redirected with ASK for `for_ms`, and with MOVED from then on.
        """
        chosen = [slot for slot, owner in enumerate(self._owner) if owner != to][:slots]
        self._moving.update(dict.fromkeys(chosen, to))
        moved = set(chosen)
        for number, pair in enumerate(self.pairs):
            if number == to:
                continue
            source, target = pair.primary.keyspace, self.pairs[to].primary.keyspace
            for database, key, value, expires in list(source.contents()):
                if slot_of(key) in moved and self._owner[slot_of(key)] == number:
                    target.apply_change(database, key, value, expires)
                    source.apply_change(database, key, None, 0.0)

        async def finish_later() -> None:
            await asyncio.sleep(for_ms / 1000)
            self._finish_move(chosen)

        if for_ms:
            self._start_task(finish_later())
        else:
            self._finish_move(chosen)

    def _finish_move(self, slots: list[int]) -> None:
        for slot in slots:
            self._owner[slot] = self._moving.pop(slot)

    def _interceptor(self, server: RedisServer) -> Any:
        def intercept(session: Session, words: list[bytes]) -> Reply | None:
            if self.kind != CLUSTER:
                return None
            if words[0].upper() == b"CLUSTER":
                return self._answer_cluster(words)
            asking, session.asking = session.asking, False
            key = key_of(words)
            if key is None:
                return None
            slot = slot_of(key)
            owner = self.pairs[self._owner[slot]].primary
            to = self._moving.get(slot)
            if server is owner and to is not None:
                return ErrorReply(f"ASK {slot} 127.0.0.1:{self.pairs[to].primary.port}")
            if server is owner or (server.keyspace.on_change is None and not server.keyspace.replica):
                return None  # an old primary that has not become a replica yet keeps serving
            if asking and to is not None and server is self.pairs[to].primary:
                return None
            return ErrorReply(f"MOVED {slot} 127.0.0.1:{owner.port}")

        return intercept

    def _answer_cluster(self, words: list[bytes]) -> Reply:
        subcommand = words[1].upper() if len(words) > 1 else b""
        if subcommand == b"KEYSLOT" and len(words) == 3:
            return slot_of(words[2])
        if subcommand == b"INFO":
            return b"cluster_state:ok\r\ncluster_slots_assigned:16384\r\ncluster_size:%d\r\n" % len(self.pairs)
        if subcommand not in (b"SLOTS", b"SHARDS"):
            return ErrorReply("ERR unknown subcommand or wrong number of arguments for 'cluster'")
        ranges: list[tuple[int, int, Pair]] = []
        for slot, owner in enumerate(self._owner):
            pair = self.pairs[owner]
            if ranges and ranges[-1][2] is pair:
                ranges[-1] = ranges[-1][0], slot, pair
            else:
                ranges.append((slot, slot, pair))
        if subcommand == b"SLOTS":
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

    def _answer_sentinel(self, session: Session, words: list[bytes]) -> Reply | None:
        if words[0].upper() != b"SENTINEL":
            return None
        subcommand = words[1].upper() if len(words) > 1 else b""
        pair = self.pairs[0]
        if subcommand == b"GET-MASTER-ADDR-BY-NAME" and len(words) == 3:
            return [HOST, b"%d" % pair.primary.port] if words[2] == PRIMARY_NAME else None
        if subcommand == b"MASTERS":
            return [
                {
                    "name": PRIMARY_NAME,
                    "ip": HOST,
                    "port": b"%d" % pair.primary.port,
                    "flags": b"master",
                    "num-slaves": b"%d" % (pair.replica is not None),
                    "num-other-sentinels": b"%d" % (len(self.sentinels) - 1),
                    "quorum": b"2",
                }
            ]
        if subcommand in (b"REPLICAS", b"SLAVES", b"SENTINELS"):
            if words[2:] != [PRIMARY_NAME]:
                return ErrorReply("ERR No such master with that name")
            others = self.sentinels if subcommand == b"SENTINELS" else [pair.replica] if pair.replica else []
            flags = b"sentinel" if subcommand == b"SENTINELS" else b"slave"
            return [
                {"name": b"%s:%d" % (HOST, server.port), "ip": HOST, "port": b"%d" % server.port, "flags": flags}
                for server in others
            ]
        return ErrorReply("ERR Unknown sentinel subcommand")


async def run(port: int, trace: Path | None, kind: str = ALONE, shards: int = 3, lag_ms: float = 100.0) -> None:
    """Run a topology until it is stopped."""
    trace_file = Trace(trace)
    fleet = Fleet(trace_file, kind, shards=shards, lag_ms=lag_ms, port=port)
    await fleet.start()
    control = await ControlPort(fleet.control).start()
    await until_stopped({"port": fleet.ports[0], "ports": fleet.ports, "control": control}, fleet.stop)
    trace_file.close()
