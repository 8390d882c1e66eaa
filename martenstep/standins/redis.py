"""A Redis, as far as the project needs one: from the public protocol and command pages.

The keyspace is a core of its own (commands and a time in, replies out), so that it can be tested and emulated without
sockets.  Steered while it runs: paused, slow, dropping its connections, emptied, restarted, down.
"""

from __future__ import annotations

import asyncio
import math
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

from martenstep.standins.base import READ_BYTES, StandIn, Trace, now_ms
from martenstep.standins.resp import Commands, ErrorReply, Reply, RespError, Simple, encode

OK = Simple("OK")
NOT_INTEGER = ErrorReply("ERR value is not an integer or out of range")
NOT_FLOAT = ErrorReply("ERR value is not a valid float")
SWEEP_KEYS = 1000  # after so many commands, all that has expired is dropped
VERSION = "7.4.0"


class Session:
    """What the server keeps of one connection."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.protocol = 2
        self.name = b""
        self.database = 0
        self.queued: list[list[bytes]] | None = None  # inside MULTI
        self.spoilt = False  # a queued command was wrong: EXEC will not run


class Keyspace:
    """The contents, and what each command does to them."""

    def __init__(self) -> None:
        self.run_id = secrets.token_hex(20)
        self._databases: dict[int, dict[bytes, tuple[bytes, float]]] = {}  # value, and when it expires
        self._since_sweep = 0
        self.commands = 0
        self.told: Callable[[bytes, bytes, bytes], None] | None = None  # each add: key, amount, total
        self._table: dict[bytes, tuple[int, Callable[[Session, float, list[bytes]], Reply]]] = {
            b"PING": (-1, self._ping), b"ECHO": (2, lambda s, n, a: a[1]), b"GET": (2, self._get),
            b"SET": (-3, self._set), b"DEL": (-2, self._del), b"PTTL": (2, self._pttl), b"TTL": (2, self._ttl),
            b"EXISTS": (-2, self._exists), b"INFO": (-1, self._info), b"CLIENT": (-2, self._client),
            b"HELLO": (-1, self._hello), b"SELECT": (2, self._select), b"DBSIZE": (1, self._dbsize),
            b"FLUSHALL": (-1, self._flushall), b"INCRBYFLOAT": (3, self._incrbyfloat),
            b"INCRBY": (3, self._incrby), b"PEXPIRE": (-3, self._pexpire), b"COMMAND": (-1, lambda s, n, a: []),
            b"QUIT": (-1, lambda s, n, a: OK),
        }

    def run(self, session: Session, now: float, words: list[bytes]) -> Reply:
        """Run one command of a connection, MULTI and EXEC included."""
        self.commands += 1
        self._since_sweep += 1
        if self._since_sweep >= SWEEP_KEYS:
            self._sweep(now)
        name = words[0].upper()
        if name == b"MULTI":
            if session.queued is not None:
                return ErrorReply("ERR MULTI calls can not be nested")
            session.queued, session.spoilt = [], False
            return OK
        if name == b"DISCARD":
            if session.queued is None:
                return ErrorReply("ERR DISCARD without MULTI")
            session.queued = None
            return OK
        if name == b"EXEC":
            if session.queued is None:
                return ErrorReply("ERR EXEC without MULTI")
            queued, session.queued = session.queued, None
            if session.spoilt:
                return ErrorReply("EXECABORT Transaction discarded because of previous errors.")
            return [self._call(session, now, command) for command in queued]
        wrong = self._wrong(name, words)
        if session.queued is not None:
            if wrong is not None:
                session.spoilt = True
                return wrong
            session.queued.append(words)
            return Simple("QUEUED")
        return wrong if wrong is not None else self._call(session, now, words)

    def empty(self) -> None:
        """Lose all contents, as a restart without a dump does."""
        self._databases.clear()

    def _wrong(self, name: bytes, words: list[bytes]) -> ErrorReply | None:
        known = self._table.get(name)
        if known is None:
            return ErrorReply(f"ERR unknown command '{words[0].decode('latin-1')}'")
        count = known[0]
        if (count > 0 and len(words) != count) or len(words) < abs(count):
            return ErrorReply(f"ERR wrong number of arguments for '{name.decode().lower()}' command")
        return None

    def _call(self, session: Session, now: float, words: list[bytes]) -> Reply:
        return self._table[words[0].upper()][1](session, now, words)

    def _data(self, session: Session) -> dict[bytes, tuple[bytes, float]]:
        return self._databases.setdefault(session.database, {})

    def _value(self, session: Session, now: float, key: bytes) -> bytes | None:
        data = self._data(session)
        found = data.get(key)
        if found is None:
            return None
        if found[1] <= now:
            del data[key]
            return None
        return found[0]

    def _sweep(self, now: float) -> None:
        self._since_sweep = 0
        for data in self._databases.values():
            for key in [key for key, found in data.items() if found[1] <= now]:
                del data[key]

    def _ping(self, session: Session, now: float, words: list[bytes]) -> Reply:
        return words[1] if len(words) > 1 else Simple("PONG")

    def _get(self, session: Session, now: float, words: list[bytes]) -> Reply:
        return self._value(session, now, words[1])

    def _set(self, session: Session, now: float, words: list[bytes]) -> Reply:
        expires, at, options = math.inf, 3, [word.upper() for word in words]
        while at < len(words):
            if options[at] in (b"PX", b"EX") and at + 1 < len(words):
                try:
                    span = int(words[at + 1])
                except ValueError:
                    return NOT_INTEGER
                if span <= 0:
                    return ErrorReply("ERR invalid expire time in 'set' command")
                expires = now + span * (1 if options[at] == b"PX" else 1000)
                at += 2
            elif options[at] in (b"NX", b"XX"):
                if (self._value(session, now, words[1]) is None) != (options[at] == b"NX"):
                    return None
                at += 1
            else:
                return ErrorReply("ERR syntax error")
        self._data(session)[words[1]] = words[2], expires
        return OK

    def _del(self, session: Session, now: float, words: list[bytes]) -> Reply:
        found = [key for key in words[1:] if self._value(session, now, key) is not None]
        for key in found:
            self._data(session).pop(key, None)
        return len(found)

    def _exists(self, session: Session, now: float, words: list[bytes]) -> Reply:
        return sum(self._value(session, now, key) is not None for key in words[1:])

    def _pttl(self, session: Session, now: float, words: list[bytes]) -> Reply:
        if self._value(session, now, words[1]) is None:
            return -2
        expires = self._data(session)[words[1]][1]
        return -1 if expires == math.inf else max(round(expires - now), 0)

    def _ttl(self, session: Session, now: float, words: list[bytes]) -> Reply:
        left = self._pttl(session, now, words)
        return left if not isinstance(left, int) or left < 0 else round(left / 1000)

    def _incrbyfloat(self, session: Session, now: float, words: list[bytes]) -> Reply:
        present = self._value(session, now, words[1])
        try:
            amount, value = float(words[2]), float(present or b"0")
        except ValueError:
            return NOT_FLOAT
        total = value + amount
        if not math.isfinite(total):
            return ErrorReply("ERR increment would produce NaN or Infinity")
        written = f"{total:.17g}".encode()
        expires = math.inf if present is None else self._data(session)[words[1]][1]
        self._data(session)[words[1]] = written, expires
        if self.told is not None:
            self.told(words[1], words[2], written)
        return written

    def _incrby(self, session: Session, now: float, words: list[bytes]) -> Reply:
        present = self._value(session, now, words[1])
        try:
            total = int(present or b"0") + int(words[2])
        except ValueError:
            return NOT_INTEGER
        expires = math.inf if present is None else self._data(session)[words[1]][1]
        self._data(session)[words[1]] = str(total).encode(), expires
        return total

    def _pexpire(self, session: Session, now: float, words: list[bytes]) -> Reply:
        try:
            span = int(words[2])
        except ValueError:
            return NOT_INTEGER
        options = {word.upper() for word in words[3:]}
        if not options <= {b"NX", b"XX", b"GT", b"LT"}:
            return ErrorReply("ERR Unsupported option")
        value = self._value(session, now, words[1])
        if value is None:
            return 0
        expires = self._data(session)[words[1]][1]
        has = expires != math.inf
        if ((b"NX" in options and has) or (b"XX" in options and not has)
                or (b"GT" in options and (not has or now + span <= expires))
                or (b"LT" in options and has and now + span >= expires)):
            return 0
        if span <= 0:
            del self._data(session)[words[1]]
        else:
            self._data(session)[words[1]] = value, now + span
        return 1

    def _info(self, session: Session, now: float, words: list[bytes]) -> Reply:
        keys = sum(len(data) for data in self._databases.values())
        lines = ["# Server", f"redis_version:{VERSION}", f"run_id:{self.run_id}", "# Stats",
                 f"total_commands_processed:{self.commands}", "# Replication", "role:master",
                 "# Keyspace", f"db0:keys={keys},expires=0"]
        return "".join(line + "\r\n" for line in lines).encode()

    def _client(self, session: Session, now: float, words: list[bytes]) -> Reply:
        what = words[1].upper()
        if what == b"SETNAME" and len(words) == 3:
            session.name = words[2]
            return OK
        if what == b"GETNAME":
            return session.name or None
        if what == b"ID":
            return session.number
        if what == b"SETINFO" and len(words) == 4:
            return OK
        return ErrorReply(f"ERR unknown subcommand '{words[1].decode('latin-1')}'. Try CLIENT HELP.")

    def _hello(self, session: Session, now: float, words: list[bytes]) -> Reply:
        protocol = session.protocol
        if len(words) > 1:
            if words[1] not in (b"2", b"3"):
                return ErrorReply("NOPROTO unsupported protocol version")
            protocol = int(words[1])
        at = 2
        while at < len(words):
            option = words[at].upper()
            if option == b"SETNAME" and at + 1 < len(words):
                session.name = words[at + 1]
                at += 2
            elif option == b"AUTH":
                return ErrorReply("WRONGPASS invalid username-password pair or user is disabled.")
            else:
                return ErrorReply("ERR syntax error in HELLO option")
        session.protocol = protocol
        return {"server": b"redis", "version": VERSION.encode(), "proto": protocol, "id": session.number,
                "mode": b"standalone", "role": b"master", "modules": []}

    def _select(self, session: Session, now: float, words: list[bytes]) -> Reply:
        try:
            number = int(words[1])
        except ValueError:
            return NOT_INTEGER
        if not 0 <= number < 16:
            return ErrorReply("ERR DB index is out of range")
        session.database = number
        return OK

    def _dbsize(self, session: Session, now: float, words: list[bytes]) -> Reply:
        self._sweep(now)
        return len(self._data(session))

    def _flushall(self, session: Session, now: float, words: list[bytes]) -> Reply:
        self.empty()
        return OK


class RedisServer(StandIn):
    """The keyspace on a socket."""

    def __init__(self, trace: Trace, port: int = 0) -> None:
        super().__init__(trace, port)
        self.keyspace = Keyspace()
        self.keyspace.told = self._added
        self._paused_until = 0.0
        self._slow_ms = 0.0
        self._sessions = 0

    async def stop(self) -> None:
        """Accept no more, drop what there is."""
        await super().stop()
        self._drop()

    def _added(self, key: bytes, amount: bytes, total: bytes) -> None:
        self._trace.write("add", key=key.decode("latin-1"), amount=float(amount), total=float(total))

    def _steered(self, do: str, words: dict[str, Any]) -> dict[str, Any] | None:
        if do == "pause":
            self._paused_until = now_ms() + float(words["ms"])
        elif do == "slow":
            self._slow_ms = float(words["ms"])
        elif do == "empty":
            self.keyspace.empty()
        elif do == "drop":
            self._drop()
        elif do == "restart":
            self.keyspace.empty()
            self.keyspace.run_id = secrets.token_hex(20)
            self._drop()
        elif do == "state":
            return {"commands": self.keyspace.commands, "connections": len(self._writers)}
        else:
            return super()._steered(do, words)
        return None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._sessions += 1
        session, commands = Session(self._sessions), Commands()
        try:
            while data := await reader.read(READ_BYTES):
                found = commands.feed(data)
                while (pause := self._paused_until - now_ms()) > 0:
                    await asyncio.sleep(pause / 1000)
                if self._slow_ms:
                    await asyncio.sleep(self._slow_ms / 1000)
                out = [encode(self.keyspace.run(session, now_ms(), words), session.protocol) for words in found]
                writer.write(b"".join(out))
                await writer.drain()
                if any(words[0].upper() == b"QUIT" for words in found):
                    break
        except RespError as error:
            writer.write(encode(ErrorReply(f"ERR {error}"), session.protocol))


async def run(port: int, trace: Path | None) -> None:
    """One Redis until it is stopped."""
    await RedisServer(Trace(trace), port).run()
