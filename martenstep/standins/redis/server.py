"""One Redis on a socket, and the faults it is steered into while it runs."""

from __future__ import annotations

import asyncio
import random
import secrets
import zlib
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from martenstep.standins.base import READ_BYTES, FakeServer, Trace, now_ms
from martenstep.standins.redis.keyspace import WRITES, Keyspace, Session, key_of
from martenstep.standins.resp import Commands, ErrorReply, Push, Reply, RespError, encode

ERRORS = {
    "LOADING": "LOADING Redis is loading the dataset in memory",
    "BUSY": "BUSY Redis is busy running a script. You can only call SCRIPT KILL or SHUTDOWN NOSAVE.",
    "MASTERDOWN": "MASTERDOWN Link with MASTER is down and replica-serve-stale-data is set to 'no'.",
    "NOREPLICAS": "NOREPLICAS Not enough good replicas to write.",
    "CLUSTERDOWN": "CLUSTERDOWN The cluster is down",
    "TRYAGAIN": "TRYAGAIN Multiple keys request during rehashing of slot",
}
NO_WRITES = ("NOREPLICAS",)  # these answer writes alone
AT_ALL_TIMES = (b"HELLO", b"AUTH", b"CLIENT", b"PING", b"QUIT", b"SUBSCRIBE", b"ROLE", b"SCRIPT")
Outside = Callable[[Session, list[bytes]], Reply | None]


class RedisServer(FakeServer):
    """The keyspace on a socket."""

    def __init__(self, trace: Trace, port: int = 0, name: str = "") -> None:
        super().__init__(trace, port)
        self.name = name
        self.keyspace = Keyspace()
        self.keyspace.told = self._added
        self.keyspace.stated = self._stated
        self.outside: Outside | None = None  # commands that a topology answers, and redirections
        self._paused_until = 0.0
        self._slow_ms = 0.0
        self._slow_names = (0.0, 0.0)  # share of the keys, and their milliseconds
        self._error = ""
        self._hangs = False
        self._partial = 0.0
        self._rng = random.Random(1)
        self._sessions = 0
        self._subscribers: dict[bytes, dict[asyncio.StreamWriter, Session]] = defaultdict(dict)
        self.accepted: list[float] = []  # when each connection came

    @property
    def port(self) -> int:
        """Where it is bound."""
        return self._port

    async def stop(self) -> None:
        """Accept no more, drop what there is."""
        await super().stop()
        self._abort_connections()

    def publish(self, channel: bytes, message: bytes) -> None:
        """A message to all that subscribed."""
        for writer, session in self._subscribers[channel].items():
            if not writer.transport.is_closing():
                writer.write(encode(Push([b"message", channel, message]), session.protocol))

    def drop(self) -> None:
        """Break all connections."""
        self._abort_connections()

    def _added(self, key: bytes, amount: bytes, total: bytes) -> None:
        self._trace.write("add", key=key.decode("latin-1"), amount=float(amount), total=float(total), node=self.name)

    def _stated(self, key: bytes, door: bytes, version: int, own: float, total: float, until: float) -> None:
        self._trace.write(
            "stated",
            key=key.decode("latin-1"),
            door=door.decode("latin-1"),
            version=version,
            sum=own,
            total=total,
            until=until,
            node=self.name,
        )

    def tell_contents(self) -> None:
        """What each name holds, into the trace."""
        for _, key, value, _ in self.keyspace.contents():
            if isinstance(value, dict):
                self._trace.write(
                    "held",
                    key=key.decode("latin-1"),
                    node=self.name,
                    fields={name.decode("latin-1"): held.decode("latin-1") for name, held in value.items()},
                )

    def _execute_command(self, do: str, words: dict[str, Any]) -> dict[str, Any] | None:
        keys = self.keyspace
        if do == "pause":
            self._paused_until = now_ms() + float(words["ms"])
        elif do == "slow":
            self._slow_ms = float(words["ms"])
        elif do == "slow_names":
            self._slow_names = float(words["share"]), float(words.get("ms", 0.0))
        elif do == "empty":
            keys.empty()
        elif do == "drop":
            self._abort_connections()
        elif do == "restart":
            keys.empty()
            keys.scripts.clear()
            keys.run_id = secrets.token_hex(20)
            self._abort_connections()
        elif do == "error":
            if words["code"] not in ("", *ERRORS):
                return {"error": f"no such error: {words['code']}"}
            self._error = str(words["code"])
        elif do == "hang_writes":
            self._hangs = bool(words["on"])
        elif do == "partial":
            self._partial = float(words["share"])
        elif do == "skew":
            keys.skew_ms = float(words["ms"])
        elif do == "lose_expiry":
            keys.lose_expiry()
        elif do == "flush_scripts":
            keys.scripts.clear()
        elif do == "memory":
            keys.max_bytes, keys.evicts = int(words["bytes"]), bool(words.get("evicts", False))
        elif do == "state":
            return {"commands": keys.commands, "connections": len(self._writers)}
        else:
            return super()._execute_command(do, words)
        return None

    def _run(self, session: Session, words: list[bytes], writer: asyncio.StreamWriter) -> Reply:
        name = words[0].upper()
        if name == b"SUBSCRIBE" and len(words) > 1:
            for channel in words[1:]:
                self._subscribers[channel][writer] = session
                session.channels.add(channel)
            replies: list[Reply] = [b"subscribe", words[-1], len(session.channels)]
            return Push(replies)
        if self._error and name not in AT_ALL_TIMES and (self._error not in NO_WRITES or name in WRITES):
            return ErrorReply(ERRORS[self._error])
        if self.outside is not None:
            answer = self.outside(session, words)
            if answer is not None:
                return answer
        return self.keyspace.run(session, now_ms(), words)

    async def _wait(self, found: list[list[bytes]]) -> None:
        """All that keeps an answer back: a pause, slowness, names that are slow."""
        while (pause := self._paused_until - now_ms()) > 0:
            await asyncio.sleep(pause / 1000)
        wait = self._slow_ms
        share, ms = self._slow_names
        if share and any(zlib.crc32(key) < share * 2**32 for words in found if (key := key_of(words))):
            wait += ms
        if wait:
            await asyncio.sleep(wait / 1000)
        while self._hangs and any(words[0].upper() in WRITES for words in found):
            await asyncio.sleep(0.01)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._sessions += 1
        self.accepted.append(now_ms())
        session, commands = Session(self._sessions), Commands()
        try:
            while data := await reader.read(READ_BYTES):
                found = commands.feed(data)
                await self._wait(found)
                out = b"".join(encode(self._run(session, words, writer), session.protocol) for words in found)
                if out and self._rng.random() < self._partial:
                    writer.write(out[: self._rng.randrange(len(out))])
                    await writer.drain()
                    return
                writer.write(out)
                await writer.drain()
                if any(words[0].upper() == b"QUIT" for words in found):
                    break
        except RespError as error:
            writer.write(encode(ErrorReply(f"ERR {error}"), session.protocol))
        finally:
            for channel in session.channels:
                self._subscribers[channel].pop(writer, None)
