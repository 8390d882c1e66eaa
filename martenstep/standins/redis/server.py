"""One fake Redis on a socket, with faults that are injected through its control port while it runs."""

from __future__ import annotations

import asyncio
import random
import secrets
import zlib
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from martenstep.standins.base import READ_BYTES, FakeServer, Trace, now_ms
from martenstep.standins.redis.keyspace import WRITE_COMMANDS, Keyspace, Session, key_of
from martenstep.standins.resp import CommandParser, ErrorReply, Push, Reply, RespError, encode

ERRORS = {
    "LOADING": "LOADING Redis is loading the dataset in memory",
    "BUSY": "BUSY Redis is busy running a script. You can only call SCRIPT KILL or SHUTDOWN NOSAVE.",
    "MASTERDOWN": "MASTERDOWN Link with MASTER is down and replica-serve-stale-data is set to 'no'.",
    "NOREPLICAS": "NOREPLICAS Not enough good replicas to write.",
    "CLUSTERDOWN": "CLUSTERDOWN The cluster is down",
    "TRYAGAIN": "TRYAGAIN Multiple keys request during rehashing of slot",
}
WRITE_ERRORS = ("NOREPLICAS",)  # only write commands are answered with these
COMMANDS_WITHOUT_ERRORS = (b"HELLO", b"AUTH", b"CLIENT", b"PING", b"QUIT", b"SUBSCRIBE", b"ROLE", b"SCRIPT")
Interceptor = Callable[[Session, list[bytes]], Reply | None]


class RedisServer(FakeServer):
    """Serves a keyspace on a socket."""

    def __init__(self, trace: Trace, port: int = 0, name: str = "") -> None:
        super().__init__(trace, port)
        self.name = name
        self.keyspace = Keyspace()
        self.keyspace.on_add = self._trace_add
        self.keyspace.on_statement = self._trace_statement
        self.interceptor: Interceptor | None = None  # answers the commands of a topology, and redirects
        self._paused_until = 0.0
        self._slow_ms = 0.0
        self._slow_keys = (0.0, 0.0)  # the share of keys that are slow, and their delay in milliseconds
        self._error = ""
        self._hang_writes = False
        self._partial_reply_share = 0.0
        self._rng = random.Random(1)
        self._sessions = 0
        self._subscribers: dict[bytes, dict[asyncio.StreamWriter, Session]] = defaultdict(dict)
        self.accepted: list[float] = []  # the time at which each connection was accepted

    @property
    def port(self) -> int:
        """The port that the server is bound to."""
        return self._port

    async def stop(self) -> None:
        """Stop accepting, and break all connections."""
        await super().stop()
        self._abort_connections()

    def publish(self, channel: bytes, message: bytes) -> None:
        """Send a message to all subscribers of a channel."""
        for writer, session in self._subscribers[channel].items():
            if not writer.transport.is_closing():
                writer.write(encode(Push([b"message", channel, message]), session.protocol))

    def drop(self) -> None:
        """Break all connections."""
        self._abort_connections()

    def _trace_add(self, key: bytes, amount: bytes, total: bytes) -> None:
        self._trace.write("add", key=key.decode("latin-1"), amount=float(amount), total=float(total), node=self.name)

    def _trace_statement(
        self, key: bytes, gateway_epoch: bytes, version: int, own_sum: float, total: float, expires: float
    ) -> None:
        self._trace.write(
            "stated",
            key=key.decode("latin-1"),
            door=gateway_epoch.decode("latin-1"),
            version=version,
            sum=own_sum,
            total=total,
            until=expires,
            node=self.name,
        )

    def trace_contents(self) -> None:
        """Write the contents of each key to the trace."""
        for _, key, value, _ in self.keyspace.contents():
            if isinstance(value, dict):
                self._trace.write(
                    "held",
                    key=key.decode("latin-1"),
                    node=self.name,
                    fields={name.decode("latin-1"): content.decode("latin-1") for name, content in value.items()},
                )

    def _execute_command(self, do: str, words: dict[str, Any]) -> dict[str, Any] | None:
        keys = self.keyspace
        if do == "pause":
            self._paused_until = now_ms() + float(words["ms"])
        elif do == "slow":
            self._slow_ms = float(words["ms"])
        elif do == "slow_names":
            self._slow_keys = float(words["share"]), float(words.get("ms", 0.0))
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
            self._hang_writes = bool(words["on"])
        elif do == "partial":
            self._partial_reply_share = float(words["share"])
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
        if (
            self._error
            and name not in COMMANDS_WITHOUT_ERRORS
            and (self._error not in WRITE_ERRORS or name in WRITE_COMMANDS)
        ):
            return ErrorReply(ERRORS[self._error])
        if self.interceptor is not None:
            reply = self.interceptor(session, words)
            if reply is not None:
                return reply
        return self.keyspace.run(session, now_ms(), words)

    async def _delay_replies(self, commands: list[list[bytes]]) -> None:
        """Wait for as long as injected faults delay the replies: a pause, slowness, slow keys, writes that hang."""
        while (pause := self._paused_until - now_ms()) > 0:
            await asyncio.sleep(pause / 1000)
        delay_ms = self._slow_ms
        share, slow_key_ms = self._slow_keys
        if share and any(zlib.crc32(key) < share * 2**32 for words in commands if (key := key_of(words))):
            delay_ms += slow_key_ms
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        while self._hang_writes and any(words[0].upper() in WRITE_COMMANDS for words in commands):
            await asyncio.sleep(0.01)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._sessions += 1
        self.accepted.append(now_ms())
        session, parser = Session(self._sessions), CommandParser()
        try:
            while data := await reader.read(READ_BYTES):
                commands = parser.feed(data)
                await self._delay_replies(commands)
                out = b"".join(encode(self._run(session, words, writer), session.protocol) for words in commands)
                if out and self._rng.random() < self._partial_reply_share:
                    writer.write(out[: self._rng.randrange(len(out))])
                    await writer.drain()
                    return
                writer.write(out)
                await writer.drain()
                if any(words[0].upper() == b"QUIT" for words in commands):
                    break
        except RespError as error:
            writer.write(encode(ErrorReply(f"ERR {error}"), session.protocol))
        finally:
            for channel in session.channels:
                self._subscribers[channel].pop(writer, None)
