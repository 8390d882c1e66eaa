"""The counter's state machine: commands and the time in, replies and log entries out.  No clock, no file, no socket.

The log holds what was done, not what was asked: an entry carries all that is needed to do it again, and `apply` is the
only place where state changes, live and on rebuild alike.  So the state after a restart is the state before it.

Repeats: each command carries its door, the door's epoch and a sequence.  The results of the last `window` sequences of
a door's present epoch are kept, with a digest of the command: the same command again gets the first result, another
command under the same sequence is told so, and one from before the window is told that it is too old to be known.  A
later epoch ends the earlier one.

Tries: one with a request id that is known is not recorded once more.  Ids are known for `try_window_ms` after the try's
own time; a try older than that is refused, so that nothing forgotten can come in twice.
"""

from __future__ import annotations

import math
import struct
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from martenstep.counter.protocol import (
    Add,
    ProtocolError,
    Read,
    RecordAttempt,
    RecordReply,
    Reply,
    Status,
    TotalReply,
    reply_without_result,
)

ENTRY_ADD, ENTRY_ATTEMPT, ENTRY_GATEWAY, ENTRY_TERM = 1, 2, 3, 5  # 4 is the log's seal, which says nothing
_ADD = struct.Struct(">BdIQQdd")  # kind, time, door, sequence, name, units, expiry
_TRY = struct.Struct(">BdIQddBBHHHH")  # kind, time, door, sequence, try's time, units, beyond, known, lengths
_DOOR = struct.Struct(">BdIQH")  # kind, time, number, epoch, length
_TERM = struct.Struct(">BdQ")  # kind, time, term
MAX_CLOCK_SKEW_MS = 60_000.0  # a try's time may lie so far ahead of the service's: clocks differ


@dataclass(frozen=True, slots=True)
class CounterLimits:
    """Stated bounds."""

    deduplication_window: int = 8192
    attempt_window_ms: float = 600_000.0
    max_attempts: int = 5_000_000
    max_keys: int = 5_000_000
    period_ms: float = 3_600_000.0


@dataclass(slots=True)
class GatewayState:
    """What is kept of one door."""

    number: int
    name: str
    epoch: int
    highest_sequence: int = 0
    results: dict[int, tuple[int, float]] = field(default_factory=dict)  # by sequence: digest, and total or status


@dataclass(slots=True)
class UsageTotals:
    """Totals of one customer and plan in one period."""

    attempts: int = 0
    units: float = 0.0
    over_quota_units: float = 0.0


class _Snapshot(msgspec.Struct):
    now: float
    names: list[tuple[int, float, float]]
    doors: list[tuple[int, str, int, int, list[tuple[int, int, float]]]]
    tries: list[tuple[bytes, float]]
    uses: list[tuple[str, str, int, int, float, float]]
    applied: int
    term: int = 0


def _digest_of(told: Add | RecordAttempt | AttemptEntry) -> int:
    """Tells commands under one sequence apart."""
    words: tuple[Any, ...]
    if isinstance(told, Add):
        words = told.key, told.units, told.ttl_ms
    else:
        words = (
            told.request_id,
            told.customer,
            told.plan,
            told.request_class,
            told.units,
            told.over_quota,
        )  # the time may be mended
    return xxhash.xxh64_intdigest(repr(words).encode())


def attempt_key(request: str) -> bytes:
    """What is kept of a request's id: 16 bytes, whatever its length."""
    return xxhash.xxh128_digest(request.encode())


class CounterState:
    """All counts, doors and known tries."""

    def __init__(self, limits: CounterLimits) -> None:
        self._limits = limits
        self.now_ms = 0.0  # the service's time, Unix ms: never goes back, whatever the clock does
        self._names: dict[int, tuple[float, float]] = {}  # total, and when it is forgotten
        self._expiries: deque[tuple[float, int]] = deque()  # in order of being made, roughly in order of time
        self._doors: dict[str, GatewayState] = {}
        self._by_number: list[GatewayState] = []
        self._tries: OrderedDict[bytes, float] = OrderedDict()
        self._horizon = -math.inf  # tries before this are too old: ids from before it were let go
        self._uses: dict[tuple[str, str, int], UsageTotals] = {}
        self.applied_entries = 0  # entries so far
        self.term = 0  # raised each time a follower is promoted: an older one may write no more

    # Commands -------------------------------------------------------------------------------------------

    def advance_clock(self, unix_ms: float) -> None:
        """Let the time come on.  A clock that went back stands still here until it has caught up."""
        self.now_ms = max(self.now_ms, unix_ms)

    def begin_session(self, name: str, epoch: int) -> tuple[GatewayState | None, bytes | None]:
        """A door begins a session: the door, or None where its epoch is over; and the entry to log, if any."""
        door = self._doors.get(name)
        if door is not None and epoch < door.epoch:
            return None, None
        if door is not None and epoch == door.epoch:
            return door, None
        number = door.number if door else len(self._by_number)
        data = name.encode()
        entry = _DOOR.pack(ENTRY_GATEWAY, self.now_ms, number, epoch, len(data)) + data
        self.apply(entry)
        return self._doors[name], entry

    def execute(
        self, door: GatewayState, epoch: int, command: Add | Read | RecordAttempt
    ) -> tuple[Reply, bytes | None]:
        """One command: its reply, to be sent once the entry, if any, is durable."""
        if isinstance(command, Read):
            return TotalReply(command.sequence, Status.DONE, self.total(command.key)), None
        if epoch != door.epoch:
            return reply_without_result(command, Status.FENCED), None
        sequence = command.sequence
        before = door.results.get(sequence)
        if before is not None:
            if before[0] != _digest_of(command):
                return reply_without_result(command, Status.REUSED), None
            if isinstance(command, Add):
                return TotalReply(sequence, Status.REPEATED, before[1]), None
            return RecordReply(sequence, Status.KNOWN if before[1] else Status.REPEATED), None
        if sequence <= door.highest_sequence - self._limits.deduplication_window:
            return reply_without_result(command, Status.TOO_OLD), None
        if isinstance(command, Add):
            return self._add(door, command)
        return self._record(door, command)

    def _add(self, door: GatewayState, command: Add) -> tuple[Reply, bytes | None]:
        if not (math.isfinite(command.units) and 0 < command.ttl_ms < math.inf):
            return reply_without_result(command, Status.BAD), None
        if self._live(command.key) is None and len(self._names) >= self._limits.max_keys:
            self._sweep()
            if len(self._names) >= self._limits.max_keys:
                return reply_without_result(command, Status.FULL), None
        entry = _ADD.pack(
            ENTRY_ADD, self.now_ms, door.number, command.sequence, command.key, command.units, command.ttl_ms
        )
        self.apply(entry)
        return TotalReply(command.sequence, Status.DONE, door.results[command.sequence][1]), entry

    def _record(self, door: GatewayState, command: RecordAttempt) -> tuple[Reply, bytes | None]:
        if not (math.isfinite(command.time_ms) and math.isfinite(command.units)):
            return reply_without_result(command, Status.BAD), None
        if command.time_ms < max(self._horizon, self.now_ms - self._limits.attempt_window_ms):
            return reply_without_result(command, Status.TOO_OLD), None
        # A clock that is ahead of this one by more than clocks differ was stepped: the try was made just now.
        time_ms = command.time_ms if command.time_ms <= self.now_ms + MAX_CLOCK_SKEW_MS else self.now_ms
        known = attempt_key(command.request_id) in self._tries
        if not known and len(self._tries) >= self._limits.max_attempts:
            self._forget_tries()
            if len(self._tries) >= self._limits.max_attempts:
                return reply_without_result(command, Status.FULL), None
        texts = [text.encode() for text in (command.request_id, command.customer, command.plan, command.request_class)]
        if sum(map(len, texts)) > 0xFFFF:
            raise ProtocolError("a try whose words are too long")
        entry = _TRY.pack(
            ENTRY_ATTEMPT,
            self.now_ms,
            door.number,
            command.sequence,
            time_ms,
            command.units,
            command.over_quota,
            known,
            *map(len, texts),
        ) + b"".join(texts)
        self.apply(entry)
        return RecordReply(command.sequence, Status.KNOWN if known else Status.DONE), entry

    # Entries --------------------------------------------------------------------------------------------

    def apply(self, entry: bytes) -> None:
        """Do what an entry says: live, just before it is written, and on rebuild."""
        kind = entry[0]
        self.applied_entries += 1
        if kind == ENTRY_ADD:
            _, now, number, sequence, name, units, expire_ms = _ADD.unpack(entry)
            self.now_ms = max(self.now_ms, now)
            live = self._live(name)
            total = units + (live[0] if live else 0.0)
            expires = live[1] if live else now + expire_ms
            self._names[name] = total, expires
            if live is None:
                self._expiries.append((expires, name))
                self._expire()
            door = self._by_number[number]
            self._remember(door, sequence, _digest_of(Add(sequence, name, units, expire_ms)), total)
        elif kind == ENTRY_ATTEMPT:
            told = decode_attempt(entry)
            self.now_ms = max(self.now_ms, told.logged_at_ms)
            door = self._by_number[told.gateway_number]
            self._remember(door, told.sequence, _digest_of(told), float(told.duplicate))
            if not told.duplicate:
                self._tries[attempt_key(told.request_id)] = told.time_ms
                use = self._uses.setdefault(
                    (told.customer, told.plan, int(told.time_ms // self._limits.period_ms)), UsageTotals()
                )
                use.attempts += 1
                use.units += told.units
                use.over_quota_units += told.units if told.over_quota else 0.0
            self._forget_tries()
        elif kind == ENTRY_GATEWAY:
            _, now, number, epoch, size = _DOOR.unpack_from(entry)
            self.now_ms = max(self.now_ms, now)
            name = entry[_DOOR.size : _DOOR.size + size].decode()
            fresh = GatewayState(number, name, epoch)
            self._doors[name] = fresh
            if number < len(self._by_number):
                self._by_number[number] = fresh
            else:
                self._by_number.append(fresh)
        elif kind == ENTRY_TERM:
            self.term = max(self.term, _TERM.unpack(entry)[2])

    def _remember(self, door: GatewayState, sequence: int, digest: int, result: float) -> None:
        door.results[sequence] = digest, result
        if sequence > door.highest_sequence:
            old, door.highest_sequence = door.highest_sequence, sequence
            window = self._limits.deduplication_window
            if sequence - old > window:
                floor = sequence - window
                door.results = {key: value for key, value in door.results.items() if key > floor}
            else:
                for gone in range(old - window + 1, sequence - window + 1):
                    door.results.pop(gone, None)

    def _live(self, name: int) -> tuple[float, float] | None:
        found = self._names.get(name)
        return found if found is not None and found[1] > self.now_ms else None

    def _expire(self) -> None:
        """Let go of names whose time is over, as far as they stand at the front."""
        while self._expiries and self._expiries[0][0] <= self.now_ms:
            expires, name = self._expiries.popleft()
            found = self._names.get(name)
            if found is not None and found[1] == expires:
                del self._names[name]

    def _sweep(self) -> None:
        """Let go of all names whose time is over."""
        self._names = {name: found for name, found in self._names.items() if found[1] > self.now_ms}
        self._expiries = deque(sorted((found[1], name) for name, found in self._names.items()))

    def _forget_tries(self) -> None:
        """Let go of ids that are older than the window; from then on such tries are too old."""
        oldest = self.now_ms - self._limits.attempt_window_ms
        while self._tries:
            key, time_ms = next(iter(self._tries.items()))
            if time_ms >= oldest:
                break
            del self._tries[key]
            self._horizon = max(self._horizon, oldest)

    def gateway(self, name: str) -> GatewayState:
        """A door that has said hello; a later epoch replaces what was kept of it."""
        return self._doors[name]

    # Reading --------------------------------------------------------------------------------------------

    def total(self, name: int) -> float:
        """A name's total; 0 where it is not known."""
        live = self._live(name)
        return live[0] if live else 0.0

    def usage(self) -> dict[tuple[str, str, int], UsageTotals]:
        """Totals by customer, plan and period's number."""
        return self._uses

    @property
    def sizes(self) -> dict[str, int]:
        """How much is kept."""
        return {
            "names": len(self._names),
            "doors": len(self._doors),
            "tries": len(self._tries),
            "uses": len(self._uses),
            "applied": self.applied_entries,
        }

    def snapshot(self) -> bytes:
        """The whole state."""
        self._sweep()
        return msgspec.msgpack.encode(
            _Snapshot(
                self.now_ms,
                [(name, total, expires) for name, (total, expires) in sorted(self._names.items())],
                [
                    (
                        door.number,
                        door.name,
                        door.epoch,
                        door.highest_sequence,
                        [(key, digest, result) for key, (digest, result) in door.results.items()],
                    )
                    for door in self._by_number
                ],
                list(self._tries.items()),
                [(*key, use.attempts, use.units, use.over_quota_units) for key, use in self._uses.items()],
                self.applied_entries,
                self.term,
            )
        )

    @classmethod
    def from_snapshot(cls, limits: CounterLimits, data: bytes) -> CounterState:
        """A state from its snapshot; raises msgspec.DecodeError."""
        told = msgspec.msgpack.decode(data, type=_Snapshot)
        made = cls(limits)
        made.now_ms, made.applied_entries, made.term = told.now, told.applied, told.term
        made._names = {name: (total, expires) for name, total, expires in told.names}
        made._expiries = deque(sorted((expires, name) for name, _, expires in told.names))
        for number, name, epoch, highest, results in told.doors:
            door = GatewayState(
                number, name, epoch, highest, {key: (digest, result) for key, digest, result in results}
            )
            made._doors[name] = door
            made._by_number.append(door)
        made._tries = OrderedDict(told.tries)
        made._uses = {
            (customer, plan, period): UsageTotals(tries, units, beyond)
            for customer, plan, period, tries, units, beyond in told.uses
        }
        made._horizon = told.now - limits.attempt_window_ms
        return made


@dataclass(slots=True)
class AddEntry:
    """One add as the log holds it."""

    logged_at_ms: float
    gateway_number: int
    sequence: int
    key: int
    units: float
    ttl_ms: float


def decode_add(entry: bytes) -> AddEntry:
    """An add's entry."""
    return AddEntry(*_ADD.unpack(entry)[1:])


def encode_term(now: float, term: int) -> bytes:
    """The entry that begins a term."""
    return _TERM.pack(ENTRY_TERM, now, term)


def decode_term(entry: bytes) -> int:
    """The term that an entry begins."""
    return int(_TERM.unpack(entry)[2])


def decode_gateway(entry: bytes) -> tuple[float, int, int, str]:
    """A door's entry: time, number, epoch, name."""
    _, at, number, epoch, size = _DOOR.unpack_from(entry)
    return at, number, epoch, entry[_DOOR.size : _DOOR.size + size].decode()


@dataclass(slots=True)
class AttemptEntry:
    """One recorded try as the log holds it."""

    logged_at_ms: float
    gateway_number: int
    sequence: int
    time_ms: float
    units: float
    over_quota: bool
    duplicate: bool
    request_id: str
    customer: str
    plan: str
    request_class: str


def decode_attempt(entry: bytes) -> AttemptEntry:
    """A try's entry."""
    _, at, door, sequence, time_ms, units, beyond, known, *sizes = _TRY.unpack_from(entry)
    texts, place = [], _TRY.size
    for size in sizes:
        texts.append(entry[place : place + size].decode())
        place += size
    return AttemptEntry(at, door, sequence, time_ms, units, bool(beyond), bool(known), *texts)
