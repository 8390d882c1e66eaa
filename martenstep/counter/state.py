"""The counter's state machine: commands and the time in, replies and log entries out.  No clock, no file, no socket.

The log holds what was done, not what was requested: an entry carries all that is needed to do it again, and `apply` is
the only place where state changes, live and on rebuild alike.  So the state after a restart is the state before it.

Deduplication: each command carries its gateway, the gateway's epoch and a sequence.  The results of the last
`deduplication_window` sequences of a gateway's present epoch are kept, with a digest of the command: the same command
again gets the first result, another command under the same sequence is rejected as REUSED, and one from before the
window as TOO_OLD.  A later epoch ends the earlier one.

Attempts: one with a request id that is known is not recorded once more.  Ids are known for `attempt_window_ms` after
the attempt's own time; an attempt older than that is refused, so that nothing forgotten can be recorded twice.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import msgspec
import xxhash

from martenstep.counter.log_entries import (
    ADD_LAYOUT,
    ENTRY_ADD,
    ENTRY_ATTEMPT,
    ENTRY_GATEWAY,
    ENTRY_TERM,
    AttemptEntry,
    GatewayEntry,
    decode_attempt,
    decode_gateway,
    decode_term,
    encode_attempt,
    encode_gateway,
)
from martenstep.counter.protocol import (
    Add,
    Read,
    RecordAttempt,
    RecordReply,
    Reply,
    Status,
    TotalReply,
    reply_without_result,
)

MAX_CLOCK_SKEW_MS = 60_000.0  # an attempt's time may be so far ahead of the service's


@dataclass(frozen=True, slots=True)
class CounterLimits:
    """Configured bounds of the state."""

    deduplication_window: int = 8192  # sequences of each gateway
    attempt_window_ms: float = 600_000.0
    max_attempts: int = 5_000_000
    max_keys: int = 5_000_000
    period_ms: float = 3_600_000.0  # usage is summed for each such span


@dataclass(slots=True)
class GatewayState:
    """What is kept of one gateway in its present epoch."""

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


class _Snapshot(
    msgspec.Struct,
    rename={
        "now_ms": "now",
        "keys": "names",
        "gateways": "doors",
        "attempts": "tries",
        "usage": "uses",
        "applied_entries": "applied",
    },
):
    """The state as snapshots hold it, under the names that stand in stored files."""

    now_ms: float
    keys: list[tuple[int, float, float]]  # key, total, expiry
    gateways: list[tuple[int, str, int, int, list[tuple[int, int, float]]]]
    attempts: list[tuple[bytes, float]]
    usage: list[tuple[str, str, int, int, float, float]]
    applied_entries: int
    term: int = 0


def _digest_add(key: int, units: float, ttl_ms: float) -> int:
    """Tell adds under one sequence apart."""
    return xxhash.xxh64_intdigest(repr((key, units, ttl_ms)).encode())


def _digest_attempt(attempt: RecordAttempt | AttemptEntry) -> int:
    """Tell attempts under one sequence apart; the time is left out, as the service may have corrected it."""
    fields = (
        attempt.request_id,
        attempt.customer,
        attempt.plan,
        attempt.request_class,
        attempt.units,
        attempt.over_quota,
    )
    return xxhash.xxh64_intdigest(repr(fields).encode())


def attempt_key(request_id: str) -> bytes:
    """Return what is kept of a request's id: 16 bytes, whatever its length."""
    return xxhash.xxh128_digest(request_id.encode())


class CounterState:
    """All totals, gateways, known attempts and usage."""

    def __init__(self, limits: CounterLimits) -> None:
        """Begin empty."""
        self._limits = limits
        self.now_ms = 0.0  # the service's time, Unix ms: never goes back, whatever the clock does
        self._keys: dict[int, tuple[float, float]] = {}  # total, and expiry
        self._expiries: deque[tuple[float, int]] = deque()  # in order of creation, roughly in order of time
        self._gateways: dict[str, GatewayState] = {}
        self._gateways_by_number: list[GatewayState] = []
        self._attempts: OrderedDict[bytes, float] = OrderedDict()
        self._horizon_ms = -math.inf  # attempts before this are too old: ids from before it were forgotten
        self._usage: dict[tuple[str, str, int], UsageTotals] = {}
        self.applied_entries = 0
        self.term = 0  # raised each time a follower is promoted: a leader of an older one may write no more

    # Commands

    def advance_clock(self, unix_ms: float) -> None:
        """Advance the time.  A clock that went back stands still here until it has caught up."""
        self.now_ms = max(self.now_ms, unix_ms)

    def begin_session(self, name: str, epoch: int) -> tuple[GatewayState | None, bytes | None]:
        """Begin a gateway's session: the gateway, or None if its epoch is over; and the entry to log, if any."""
        gateway = self._gateways.get(name)
        if gateway is not None and epoch < gateway.epoch:
            return None, None
        if gateway is not None and epoch == gateway.epoch:
            return gateway, None
        number = gateway.number if gateway else len(self._gateways_by_number)
        entry = encode_gateway(GatewayEntry(self.now_ms, number, epoch, name))
        self.apply(entry)
        return self._gateways[name], entry

    def execute(
        self, gateway: GatewayState, epoch: int, command: Add | Read | RecordAttempt
    ) -> tuple[Reply, bytes | None]:
        """Execute one command: its reply, to be sent once the entry, if any, is durable."""
        if isinstance(command, Read):
            return TotalReply(command.sequence, Status.DONE, self.total(command.key)), None
        if epoch != gateway.epoch:
            return reply_without_result(command, Status.FENCED), None
        sequence = command.sequence
        result = gateway.results.get(sequence)
        if result is not None:
            return self._repeat(command, *result), None
        if sequence <= gateway.highest_sequence - self._limits.deduplication_window:
            return reply_without_result(command, Status.TOO_OLD), None
        if isinstance(command, Add):
            return self._add(gateway, command)
        return self._record(gateway, command)

    @staticmethod
    def _repeat(command: Add | RecordAttempt, digest: int, value: float) -> Reply:
        """Reply to a sequence that was used before."""
        if isinstance(command, Add):
            if digest != _digest_add(command.key, command.units, command.ttl_ms):
                return reply_without_result(command, Status.REUSED)
            return TotalReply(command.sequence, Status.REPEATED, value)
        if digest != _digest_attempt(command):
            return reply_without_result(command, Status.REUSED)
        return RecordReply(command.sequence, Status.KNOWN if value else Status.REPEATED)

    def _add(self, gateway: GatewayState, command: Add) -> tuple[Reply, bytes | None]:
        if not (math.isfinite(command.units) and 0 < command.ttl_ms < math.inf):
            return reply_without_result(command, Status.BAD), None
        if self._find_live(command.key) is None and len(self._keys) >= self._limits.max_keys:
            self._remove_expired()
            if len(self._keys) >= self._limits.max_keys:
                return reply_without_result(command, Status.FULL), None
        entry = ADD_LAYOUT.pack(
            ENTRY_ADD, self.now_ms, gateway.number, command.sequence, command.key, command.units, command.ttl_ms
        )
        self.apply(entry)
        return TotalReply(command.sequence, Status.DONE, gateway.results[command.sequence][1]), entry

    def _record(self, gateway: GatewayState, command: RecordAttempt) -> tuple[Reply, bytes | None]:
        if not (math.isfinite(command.time_ms) and math.isfinite(command.units)):
            return reply_without_result(command, Status.BAD), None
        if command.time_ms < max(self._horizon_ms, self.now_ms - self._limits.attempt_window_ms):
            return reply_without_result(command, Status.TOO_OLD), None
        # A clock that is ahead of this one by more than clocks differ was stepped: the attempt was made just now.
        time_ms = command.time_ms if command.time_ms <= self.now_ms + MAX_CLOCK_SKEW_MS else self.now_ms
        duplicate = attempt_key(command.request_id) in self._attempts
        if not duplicate and len(self._attempts) >= self._limits.max_attempts:
            self._forget_attempts()
            if len(self._attempts) >= self._limits.max_attempts:
                return reply_without_result(command, Status.FULL), None
        entry = encode_attempt(self.now_ms, gateway.number, command, time_ms, duplicate)
        self.apply(entry)
        return RecordReply(command.sequence, Status.KNOWN if duplicate else Status.DONE), entry

    # Entries

    def apply(self, entry: bytes) -> None:
        """Do what an entry says: live, just before it is written, and on rebuild."""
        entry_type = entry[0]
        self.applied_entries += 1
        if entry_type == ENTRY_ADD:
            self._apply_add(entry)
        elif entry_type == ENTRY_ATTEMPT:
            self._apply_attempt(decode_attempt(entry))
        elif entry_type == ENTRY_GATEWAY:
            self._apply_gateway(decode_gateway(entry))
        elif entry_type == ENTRY_TERM:
            self.term = max(self.term, decode_term(entry))

    def _apply_add(self, entry: bytes) -> None:
        _, now_ms, number, sequence, key, units, ttl_ms = ADD_LAYOUT.unpack(entry)
        self.now_ms = max(self.now_ms, now_ms)
        live = self._find_live(key)
        total = units + (live[0] if live else 0.0)
        expiry_ms = live[1] if live else now_ms + ttl_ms
        self._keys[key] = total, expiry_ms
        if live is None:
            self._expiries.append((expiry_ms, key))
            self._expire()
        self._remember(self._gateways_by_number[number], sequence, _digest_add(key, units, ttl_ms), total)

    def _apply_attempt(self, entry: AttemptEntry) -> None:
        self.now_ms = max(self.now_ms, entry.logged_at_ms)
        gateway = self._gateways_by_number[entry.gateway_number]
        self._remember(gateway, entry.sequence, _digest_attempt(entry), float(entry.duplicate))
        if not entry.duplicate:
            self._attempts[attempt_key(entry.request_id)] = entry.time_ms
            period = int(entry.time_ms // self._limits.period_ms)
            totals = self._usage.setdefault((entry.customer, entry.plan, period), UsageTotals())
            totals.attempts += 1
            totals.units += entry.units
            totals.over_quota_units += entry.units if entry.over_quota else 0.0
        self._forget_attempts()

    def _apply_gateway(self, entry: GatewayEntry) -> None:
        self.now_ms = max(self.now_ms, entry.logged_at_ms)
        gateway = GatewayState(entry.number, entry.name, entry.epoch)
        self._gateways[entry.name] = gateway
        if entry.number < len(self._gateways_by_number):
            self._gateways_by_number[entry.number] = gateway
        else:
            self._gateways_by_number.append(gateway)

    def _remember(self, gateway: GatewayState, sequence: int, digest: int, value: float) -> None:
        """Keep a command's result, and forget those that leave the window."""
        gateway.results[sequence] = digest, value
        if sequence <= gateway.highest_sequence:
            return
        previous = gateway.highest_sequence
        gateway.highest_sequence = sequence
        window = self._limits.deduplication_window
        if sequence - previous > window:
            floor = sequence - window
            gateway.results = {key: result for key, result in gateway.results.items() if key > floor}
        else:
            for forgotten in range(previous - window + 1, sequence - window + 1):
                gateway.results.pop(forgotten, None)

    def _find_live(self, key: int) -> tuple[float, float] | None:
        found = self._keys.get(key)
        return found if found is not None and found[1] > self.now_ms else None

    def _expire(self) -> None:
        """Remove keys that expired, as far as they stand at the front."""
        while self._expiries and self._expiries[0][0] <= self.now_ms:
            expiry_ms, key = self._expiries.popleft()
            found = self._keys.get(key)
            if found is not None and found[1] == expiry_ms:
                del self._keys[key]

    def _remove_expired(self) -> None:
        """Remove all keys that expired."""
        self._keys = {key: found for key, found in self._keys.items() if found[1] > self.now_ms}
        self._expiries = deque(sorted((found[1], key) for key, found in self._keys.items()))

    def _forget_attempts(self) -> None:
        """Forget ids that are older than the window; from then on such attempts are too old."""
        oldest_ms = self.now_ms - self._limits.attempt_window_ms
        while self._attempts:
            key, time_ms = next(iter(self._attempts.items()))
            if time_ms >= oldest_ms:
                break
            del self._attempts[key]
            self._horizon_ms = max(self._horizon_ms, oldest_ms)

    # Reading

    def gateway(self, name: str) -> GatewayState:
        """Return a gateway that began a session; a later epoch replaces what was kept of it."""
        return self._gateways[name]

    def total(self, key: int) -> float:
        """Return a key's total; 0 if it is not known."""
        live = self._find_live(key)
        return live[0] if live else 0.0

    def usage(self) -> dict[tuple[str, str, int], UsageTotals]:
        """Return the totals by customer, plan and period's number."""
        return self._usage

    @property
    def sizes(self) -> dict[str, int]:
        """How much is kept, under the names that the command line prints."""
        return {
            "names": len(self._keys),
            "doors": len(self._gateways),
            "tries": len(self._attempts),
            "uses": len(self._usage),
            "applied": self.applied_entries,
        }

    # Snapshots

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        self._remove_expired()
        return msgspec.msgpack.encode(
            _Snapshot(
                self.now_ms,
                [(key, total, expiry_ms) for key, (total, expiry_ms) in sorted(self._keys.items())],
                [
                    (
                        gateway.number,
                        gateway.name,
                        gateway.epoch,
                        gateway.highest_sequence,
                        [(sequence, digest, value) for sequence, (digest, value) in gateway.results.items()],
                    )
                    for gateway in self._gateways_by_number
                ],
                list(self._attempts.items()),
                [(*key, totals.attempts, totals.units, totals.over_quota_units) for key, totals in self._usage.items()],
                self.applied_entries,
                self.term,
            )
        )

    @classmethod
    def from_snapshot(cls, limits: CounterLimits, data: bytes) -> CounterState:
        """Restore a state; raises msgspec.DecodeError."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        state = cls(limits)
        state.now_ms = snapshot.now_ms
        state.applied_entries = snapshot.applied_entries
        state.term = snapshot.term
        state._keys = {key: (total, expiry_ms) for key, total, expiry_ms in snapshot.keys}
        state._expiries = deque(sorted((expiry_ms, key) for key, _, expiry_ms in snapshot.keys))
        for number, name, epoch, highest_sequence, results in snapshot.gateways:
            by_sequence = {sequence: (digest, value) for sequence, digest, value in results}
            gateway = GatewayState(number, name, epoch, highest_sequence, by_sequence)
            state._gateways[name] = gateway
            state._gateways_by_number.append(gateway)
        state._attempts = OrderedDict(snapshot.attempts)
        state._usage = {
            (customer, plan, period): UsageTotals(attempts, units, over_quota_units)
            for customer, plan, period, attempts, units, over_quota_units in snapshot.usage
        }
        state._horizon_ms = snapshot.now_ms - limits.attempt_window_ms
        return state
