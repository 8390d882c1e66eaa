"""The contents of a fake Redis and the effect of each command, from the public documentation of the commands.

Commands and a time go in, and replies come out, without sockets.  A script is identified by its digest and run as a
Python function.  The gateway's own script is built in; a test or a benchmark can register functions for other scripts.
"""

from __future__ import annotations

import hashlib
import math
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from martenstep.redis_counter import script
from martenstep.standins.resp import ErrorReply, Reply, SimpleString

OK = SimpleString("OK")
NOT_INTEGER = ErrorReply("ERR value is not an integer or out of range")
NOT_FLOAT = ErrorReply("ERR value is not a valid float")
SWEEP_INTERVAL_COMMANDS = 1000  # expired keys are removed once in this number of commands
VERSION = "7.4.0"
KEY_BYTES, FIELD_BYTES = 64, 16  # overhead of a key and of a hash field, which counts towards maxmemory
WRONG_TYPE = ErrorReply("WRONGTYPE Operation against a key holding the wrong kind of value")
NO_SCRIPT = ErrorReply("NOSCRIPT No matching script. Please use EVAL.")
OOM = ErrorReply("OOM command not allowed when used memory > 'maxmemory'.")
READ_ONLY = ErrorReply("READONLY You can't write against a read only replica.")
WRITE_COMMANDS = {
    b"SET",
    b"DEL",
    b"INCRBYFLOAT",
    b"INCRBY",
    b"PEXPIRE",
    b"HSET",
    b"HINCRBYFLOAT",
    b"EVAL",
    b"EVALSHA",
    b"FLUSHALL",
}
MEMORY_COMMANDS = WRITE_COMMANDS - {b"DEL", b"PEXPIRE", b"FLUSHALL"}  # rejected when the memory limit is reached
FIRST_KEY = {
    name: 1
    for name in (
        b"GET",
        b"SET",
        b"DEL",
        b"PTTL",
        b"TTL",
        b"EXISTS",
        b"INCRBYFLOAT",
        b"INCRBY",
        b"PEXPIRE",
        b"HGET",
        b"HSET",
        b"HINCRBYFLOAT",
        b"HGETALL",
        b"TYPE",
    )
}
FIRST_KEY |= {b"EVAL": 3, b"EVALSHA": 3}
COMMANDS_BEFORE_AUTH = (b"HELLO", b"AUTH", b"QUIT")

Value = bytes | dict[bytes, bytes]
# A script as a function.  Arguments: a function that reads a key, a function that writes a key with a time to live in
# milliseconds (0 keeps the present one), the script's keys, and its arguments.
ScriptFunction = Callable[
    [Callable[[bytes], bytes | None], Callable[[bytes, bytes, float], None], list[bytes], list[bytes]], "Reply"
]


def key_of(words: list[bytes]) -> bytes | None:
    """Return the key of a command; None for a command without a key."""
    at = FIRST_KEY.get(words[0].upper())
    if at is None or len(words) <= at or (at == 3 and words[2] != b"1"):
        return None
    return words[at]


def size_of(key: bytes, value: Value) -> int:
    """Return about how many bytes a key and its value take."""
    if isinstance(value, bytes):
        return KEY_BYTES + len(key) + len(value)
    return KEY_BYTES + len(key) + sum(FIELD_BYTES + len(name) + len(content) for name, content in value.items())


@dataclass
class User:
    """A user's password and allowed commands; an empty set allows all."""

    password: str
    commands: frozenset[bytes] = field(default_factory=frozenset)


class Session:
    """The server's state of one connection."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.protocol = 2
        self.name = b""
        self.database = 0
        self.queued: list[list[bytes]] | None = None  # inside MULTI
        self.has_queue_error = False  # a queued command was invalid, so that EXEC is rejected
        self.user: User | None = None
        self.asking = False  # the next command may use a slot that is being moved to this node
        self.channels: set[bytes] = set()


class Keyspace:
    """The contents of the databases, and the commands."""

    def __init__(self) -> None:
        self.run_id = secrets.token_hex(20)
        self._databases: dict[int, dict[bytes, tuple[Value, float]]] = {}  # value and expiry time
        self.users: dict[str, User] = {}  # if empty, no authentication is required
        self.replica = False
        self.offset = 0  # number of changes
        # Called with each change, for replicas: database, key, value and expiry time.
        self.on_change: Callable[[int, bytes, Value | None, float], None] | None = None
        self.scripts: set[str] = set()
        self.script_functions: dict[str, ScriptFunction] = {}  # by digest
        self.skew_ms = 0.0  # of the clock by which keys expire
        self.max_bytes = 0  # 0: no limit
        self.evicts = False  # at the limit the key written longest ago is evicted; otherwise writes are rejected
        self.evicted = 0
        self._bytes = 0
        self._since_sweep = 0
        self.commands = 0
        # Called with each add: key, amount and total.
        self.on_add: Callable[[bytes, bytes, bytes], None] | None = None
        # Called with each statement that changed its register: key, gateway epoch, version, sum, total, expiry time.
        self.on_statement: Callable[[bytes, bytes, int, float, float, float], None] | None = None
        self._table: dict[bytes, tuple[int, Callable[[Session, float, list[bytes]], Reply]]] = {
            b"PING": (-1, self._ping),
            b"ECHO": (2, lambda s, n, a: a[1]),
            b"GET": (2, self._get),
            b"SET": (-3, self._set),
            b"DEL": (-2, self._del),
            b"PTTL": (2, self._pttl),
            b"TTL": (2, self._ttl),
            b"EXISTS": (-2, self._exists),
            b"INFO": (-1, self._info),
            b"CLIENT": (-2, self._client),
            b"HELLO": (-1, self._hello),
            b"SELECT": (2, self._select),
            b"DBSIZE": (1, self._dbsize),
            b"FLUSHALL": (-1, self._flushall),
            b"INCRBYFLOAT": (3, self._incrbyfloat),
            b"INCRBY": (3, self._incrby),
            b"PEXPIRE": (-3, self._pexpire),
            b"COMMAND": (-1, self._command),
            b"QUIT": (-1, lambda s, n, a: OK),
            b"TYPE": (2, self._type),
            b"AUTH": (-2, self._auth),
            b"HGET": (3, self._hget),
            b"HSET": (-4, self._hset),
            b"HGETALL": (2, self._hgetall),
            b"HINCRBYFLOAT": (4, self._hincrbyfloat),
            b"EVALSHA": (-3, self._evalsha),
            b"EVAL": (-3, self._eval),
            b"SCRIPT": (-2, self._script),
            b"ROLE": (1, self._role),
            b"ASKING": (1, self._asking),
        }

    def run(self, session: Session, now: float, words: list[bytes]) -> Reply:
        """Run one command of a connection, MULTI and EXEC included."""
        self.commands += 1
        now += self.skew_ms
        self._since_sweep += 1
        if self._since_sweep >= SWEEP_INTERVAL_COMMANDS:
            self._sweep(now)
        name = words[0].upper()
        if self.users and session.user is None and name not in COMMANDS_BEFORE_AUTH:
            return ErrorReply("NOAUTH Authentication required.")
        if session.user is not None and session.user.commands and name not in session.user.commands:
            return ErrorReply(f"NOPERM User has no permissions to run the '{name.decode().lower()}' command")
        if name == b"MULTI":
            if session.queued is not None:
                return ErrorReply("ERR MULTI calls can not be nested")
            session.queued, session.has_queue_error = [], False
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
            if session.has_queue_error:
                return ErrorReply("EXECABORT Transaction discarded because of previous errors.")
            return [self._call(session, now, command) for command in queued]
        error = self._syntax_error(name, words)
        if session.queued is not None:
            if error is not None:
                session.has_queue_error = True
                return error
            session.queued.append(words)
            return SimpleString("QUEUED")
        return error if error is not None else self._call(session, now, words)

    def empty(self) -> None:
        """Remove all contents, as a restart without a dump does."""
        self._databases.clear()
        self._bytes = 0

    def contents(self) -> Iterable[tuple[int, bytes, Value, float]]:
        """Return the database, key, value and expiry time of all keys."""
        return [
            (number, key, value if isinstance(value, bytes) else dict(value), expires)
            for number, data in self._databases.items()
            for key, (value, expires) in data.items()
        ]

    def apply_change(self, database: int, key: bytes, value: Value | None, expires: float) -> None:
        """Apply a change that the primary made."""
        self.offset += 1
        data = self._databases.setdefault(database, {})
        before = data.pop(key, None)
        self._bytes -= size_of(key, before[0]) if before is not None else 0
        if value is not None:
            self._bytes += size_of(key, value)
            data[key] = value, expires

    def lose_expiry(self) -> None:
        """Remove the expiry of all present keys."""
        for data in self._databases.values():
            for key, (value, _) in data.items():
                data[key] = value, math.inf

    def _put(self, session: Session, key: bytes, value: Value, expires: float) -> None:
        data = self._data(session)
        before = data.pop(key, None)  # so that the key is inserted last, and the first is the one written longest ago
        self._bytes += size_of(key, value) - (size_of(key, before[0]) if before is not None else 0)
        data[key] = value, expires
        self.offset += 1
        if self.on_change is not None:
            self.on_change(session.database, key, value, expires)

    def _remove(self, session: Session, key: bytes) -> None:
        value, _ = self._data(session).pop(key)
        self._bytes -= size_of(key, value)
        self.offset += 1
        if self.on_change is not None:
            self.on_change(session.database, key, None, 0.0)

    def _is_full(self, session: Session) -> bool:
        """Whether a command that needs memory is rejected; evicts keys first if that is enabled."""
        data = self._data(session)
        if self.max_bytes and self.evicts:
            while self._bytes > self.max_bytes and data:
                self._remove(session, next(iter(data)))
                self.evicted += 1
        return 0 < self.max_bytes < self._bytes

    def _syntax_error(self, name: bytes, words: list[bytes]) -> ErrorReply | None:
        known = self._table.get(name)
        if known is None:
            return ErrorReply(f"ERR unknown command '{words[0].decode('latin-1')}'")
        count = known[0]
        if (count > 0 and len(words) != count) or len(words) < abs(count):
            return ErrorReply(f"ERR wrong number of arguments for '{name.decode().lower()}' command")
        return None

    def _call(self, session: Session, now: float, words: list[bytes]) -> Reply:
        name = words[0].upper()
        if self.replica and name in WRITE_COMMANDS:
            return READ_ONLY
        if name in MEMORY_COMMANDS and self._is_full(session):
            return OOM
        return self._table[name][1](session, now, words)

    def _data(self, session: Session) -> dict[bytes, tuple[Value, float]]:
        return self._databases.setdefault(session.database, {})

    def _value(self, session: Session, now: float, key: bytes) -> Value | None:
        found = self._data(session).get(key)
        if found is None:
            return None
        if found[1] <= now:
            if not self.replica:
                self._remove(session, key)
            return None
        return found[0]

    def _hash(self, session: Session, now: float, key: bytes) -> dict[bytes, bytes] | None:
        """Return a copy of a hash, empty if the key does not exist; None if the value is not a hash."""
        value = self._value(session, now, key)
        return None if isinstance(value, bytes) else dict(value or {})

    def _expires(self, session: Session, key: bytes) -> float:
        found = self._data(session).get(key)
        return math.inf if found is None else found[1]

    def _sweep(self, now: float) -> None:
        self._since_sweep = 0
        for data in self._databases.values():
            for key in [key for key, found in data.items() if found[1] <= now]:
                self._bytes -= size_of(key, data.pop(key)[0])

    def _ping(self, session: Session, now: float, words: list[bytes]) -> Reply:
        return words[1] if len(words) > 1 else SimpleString("PONG")

    def _get(self, session: Session, now: float, words: list[bytes]) -> Reply:
        value = self._value(session, now, words[1])
        return WRONG_TYPE if isinstance(value, dict) else value

    def _type(self, session: Session, now: float, words: list[bytes]) -> Reply:
        value = self._value(session, now, words[1])
        return SimpleString("none" if value is None else "string" if isinstance(value, bytes) else "hash")

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
        self._put(session, words[1], words[2], expires)
        return OK

    def _del(self, session: Session, now: float, words: list[bytes]) -> Reply:
        found = [key for key in words[1:] if self._value(session, now, key) is not None]
        for key in found:
            self._remove(session, key)
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
        if isinstance(present, dict):
            return WRONG_TYPE
        try:
            amount, value = float(words[2]), float(present or b"0")
        except ValueError:
            return NOT_FLOAT
        total = value + amount
        if not math.isfinite(total):
            return ErrorReply("ERR increment would produce NaN or Infinity")
        written = f"{total:.17g}".encode()
        self._put(session, words[1], written, self._expires(session, words[1]))
        if self.on_add is not None:
            self.on_add(words[1], words[2], written)
        return written

    def _incrby(self, session: Session, now: float, words: list[bytes]) -> Reply:
        present = self._value(session, now, words[1])
        if isinstance(present, dict):
            return WRONG_TYPE
        try:
            total = int(present or b"0") + int(words[2])
        except ValueError:
            return NOT_INTEGER
        self._put(session, words[1], str(total).encode(), self._expires(session, words[1]))
        return total

    def _hget(self, session: Session, now: float, words: list[bytes]) -> Reply:
        fields = self._hash(session, now, words[1])
        return WRONG_TYPE if fields is None else fields.get(words[2])

    def _hgetall(self, session: Session, now: float, words: list[bytes]) -> Reply:
        fields = self._hash(session, now, words[1])
        if fields is None:
            return WRONG_TYPE
        return {name.decode("latin-1"): value for name, value in fields.items()}

    def _hset(self, session: Session, now: float, words: list[bytes]) -> Reply:
        if len(words) % 2:
            return ErrorReply("ERR wrong number of arguments for 'hset' command")
        fields = self._hash(session, now, words[1])
        if fields is None:
            return WRONG_TYPE
        pairs = dict(zip(words[2::2], words[3::2], strict=True))
        new = len(pairs.keys() - fields.keys())
        self._put(session, words[1], fields | pairs, self._expires(session, words[1]))
        return new

    def _hincrbyfloat(self, session: Session, now: float, words: list[bytes]) -> Reply:
        fields = self._hash(session, now, words[1])
        if fields is None:
            return WRONG_TYPE
        try:
            total = float(fields.get(words[2], b"0")) + float(words[3])
        except ValueError:
            return ErrorReply("ERR hash value is not a float")
        if not math.isfinite(total):
            return ErrorReply("ERR increment would produce NaN or Infinity")
        fields[words[2]] = written = b"%.17g" % total
        self._put(session, words[1], fields, self._expires(session, words[1]))
        if self.on_add is not None:
            self.on_add(words[1], words[3], written)
        return written

    def _script(self, session: Session, now: float, words: list[bytes]) -> Reply:
        subcommand = words[1].upper()
        if subcommand == b"LOAD" and len(words) == 3:
            digest = hashlib.sha1(words[2]).hexdigest()
            if digest != script.DIGEST and digest not in self.script_functions:
                return ErrorReply("ERR the stand-in does not know this script")
            self.scripts.add(digest)
            return digest.encode()
        if subcommand == b"EXISTS":
            return [int(word.decode("latin-1").lower() in self.scripts) for word in words[2:]]
        if subcommand == b"FLUSH":
            self.scripts.clear()
            return OK
        return ErrorReply("ERR unknown subcommand or wrong number of arguments for 'script'")

    def _eval(self, session: Session, now: float, words: list[bytes]) -> Reply:
        loaded = self._script(session, now, [b"SCRIPT", b"LOAD", words[1]])
        return loaded if isinstance(loaded, ErrorReply) else self._apply_statement(session, now, words)

    def _evalsha(self, session: Session, now: float, words: list[bytes]) -> Reply:
        if words[1].decode("latin-1").lower() not in self.scripts:
            return NO_SCRIPT
        function = self.script_functions.get(words[1].decode("latin-1").lower())
        if function is None:
            return self._apply_statement(session, now, words)
        return self._run_script(session, now, words, function)

    def _run_script(self, session: Session, now: float, words: list[bytes], function: ScriptFunction) -> Reply:
        def get(key: bytes) -> bytes | None:
            value = self._value(session, now, key)
            return value if isinstance(value, bytes) else None

        def put(key: bytes, value: bytes, ttl_ms: float) -> None:
            self._put(session, key, value, now + ttl_ms if ttl_ms else self._expires(session, key))

        count = int(words[2])
        return function(get, put, words[3 : 3 + count], words[3 + count :])

    def _apply_statement(self, session: Session, now: float, words: list[bytes]) -> Reply:
        if len(words) != 8 or words[2] != b"1":
            return ErrorReply("ERR the script takes one key and four arguments")
        key, gateway_epoch = words[3], words[4]
        fields = self._hash(session, now, key)
        if fields is None:
            return WRONG_TYPE
        try:
            version, own_sum, ttl_ms = int(words[5]), float(words[6]), int(words[7])
            total, previous_version, changed = script.apply_statement(fields, gateway_epoch, version, own_sum)
        except ValueError:
            return NOT_FLOAT
        if changed:
            expires = self._expires(session, key)
            self._put(session, key, fields, now + ttl_ms if expires == math.inf else expires)
            if self.on_statement is not None:
                self.on_statement(key, gateway_epoch, version, own_sum, total, self._expires(session, key))
        return [b"%.17g" % total, str(previous_version).encode()]

    def _command(self, session: Session, now: float, words: list[bytes]) -> Reply:
        """Return name, arity, flags and key positions of the commands; cluster clients find the slot with them."""
        listed: list[Reply] = []
        for name, (arity, _) in self._table.items():
            first = FIRST_KEY.get(name, 0) % 3  # 0 for scripts, whose keys have no fixed position
            flags: list[Reply] = [SimpleString("write" if name in WRITE_COMMANDS else "readonly")]
            if name in (b"EVAL", b"EVALSHA"):
                flags.append(SimpleString("movablekeys"))
            listed.append([name.lower(), arity, flags, first, first, first, [], [], [], []])
        return listed

    def _role(self, session: Session, now: float, words: list[bytes]) -> Reply:
        if self.replica:
            return [b"slave", b"127.0.0.1", 0, b"connected", self.offset]
        return [b"master", self.offset, []]

    def _asking(self, session: Session, now: float, words: list[bytes]) -> Reply:
        session.asking = True
        return OK

    def _auth(self, session: Session, now: float, words: list[bytes]) -> Reply:
        name, password = (words[1], words[2]) if len(words) == 3 else (b"default", words[1])
        user = self.users.get(name.decode("latin-1"))
        if user is None or user.password != password.decode("latin-1"):
            return ErrorReply("WRONGPASS invalid username-password pair or user is disabled.")
        session.user = user
        return OK

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
        if (
            (b"NX" in options and has)
            or (b"XX" in options and not has)
            or (b"GT" in options and (not has or now + span <= expires))
            or (b"LT" in options and has and now + span >= expires)
        ):
            return 0
        if span <= 0:
            self._remove(session, words[1])
        else:
            self._put(session, words[1], value, now + span)
        return 1

    def _info(self, session: Session, now: float, words: list[bytes]) -> Reply:
        keys = sum(len(data) for data in self._databases.values())
        lines = [
            "# Server",
            f"redis_version:{VERSION}",
            f"run_id:{self.run_id}",
            "# Memory",
            f"used_memory:{self._bytes}",
            f"maxmemory:{self.max_bytes}",
            "# Stats",
            f"total_commands_processed:{self.commands}",
            f"evicted_keys:{self.evicted}",
            "# Replication",
            f"role:{'slave' if self.replica else 'master'}",
            f"master_repl_offset:{self.offset}",
            "# Keyspace",
            f"db0:keys={keys},expires=0",
        ]
        return "".join(line + "\r\n" for line in lines).encode()

    def _client(self, session: Session, now: float, words: list[bytes]) -> Reply:
        subcommand = words[1].upper()
        if subcommand == b"SETNAME" and len(words) == 3:
            session.name = words[2]
            return OK
        if subcommand == b"GETNAME":
            return session.name or None
        if subcommand == b"ID":
            return session.number
        if subcommand == b"SETINFO" and len(words) == 4:
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
            elif option == b"AUTH" and at + 2 < len(words):
                answer = self._auth(session, now, words[at : at + 3])
                if isinstance(answer, ErrorReply):
                    return answer
                at += 3
            else:
                return ErrorReply("ERR syntax error in HELLO option")
        if self.users and session.user is None:
            return ErrorReply(
                "NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO "
                "<proto> AUTH <user> <pass> option can be used to authenticate the client"
            )
        session.protocol = protocol
        return {
            "server": b"redis",
            "version": VERSION.encode(),
            "proto": protocol,
            "id": session.number,
            "mode": b"standalone",
            "role": b"replica" if self.replica else b"master",
            "modules": [],
        }

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
        for key in list(self._data(session)):
            self._remove(session, key)
        return OK
