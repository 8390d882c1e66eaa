"""The counter's state machine: it takes commands and the time, and returns replies and log entries.

It uses no clock, file or socket of its own.

The log holds results, not requests: an entry carries everything that is needed to repeat the change, and `apply` is the
only place where state changes, both live and on rebuild.  Therefore a restart restores exactly the state before it.

Deduplication: each command carries its gateway, the gateway's epoch and a sequence.  The results of the last
`deduplication_window` sequences of a gateway's current epoch are kept, each with a digest of its command.  A repeated
command gets the first result, a different command under a used sequence is rejected as REUSED, and a sequence from
before the window is rejected as TOO_OLD.  A later epoch ends the earlier one.

Attempts: an attempt whose request id is already known is not recorded again.  An id is kept for `attempt_window_ms`
after the attempt's own time.  Older attempts are rejected, because an attempt whose id was removed could otherwise be
recorded twice.
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

MAX_CLOCK_SKEW_MS = 60_000.0  # how far an attempt's time may be ahead of the service's time


@dataclass(frozen=True, slots=True)
class CounterLimits:
    """The configured bounds of the state."""

    deduplication_window: int = 8192  # sequences of each gateway
    attempt_window_ms: float = 600_000.0
    max_attempts: int = 5_000_000
    max_keys: int = 5_000_000
    period_ms: float = 3_600_000.0  # the length of the periods for which usage is summed


@dataclass(slots=True)
class GatewayState:
    """What the counter keeps about one gateway in its current epoch."""

    number: int
    name: str
    epoch: int
    highest_sequence: int = 0
    # By sequence: the command's digest, and the resulting total or whether the attempt was a duplicate.
    results: dict[int, tuple[int, float]] = field(default_factory=dict)


@dataclass(slots=True)
class UsageTotals:
    """The usage of one customer under one plan in one period."""

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
    """The state as stored in snapshots; `rename` gives the field names of the stored form."""

    now_ms: float
    keys: list[tuple[int, float, float]]  # key, total, expiry
    gateways: list[tuple[int, str, int, int, list[tuple[int, int, float]]]]
    attempts: list[tuple[bytes, float]]
    usage: list[tuple[str, str, int, int, float, float]]
    applied_entries: int
    term: int = 0


def _digest_add(key: int, units: float, ttl_ms: float) -> int:
    """Return a digest that distinguishes different adds under the same sequence."""
    return xxhash.xxh64_intdigest(repr((key, units, ttl_ms)).encode())


def _digest_attempt(attempt: RecordAttempt | AttemptEntry) -> int:
    """Return a digest that distinguishes different attempts under the same sequence.

    It leaves out the time, because the service may have corrected it.
    """
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
    """Return the 16-byte hash that is kept in place of a request id, which may be long."""
    return xxhash.xxh128_digest(request_id.encode())


class CounterState:
    """The totals of all keys, the gateways, the known attempts, and the usage."""

    def __init__(self, limits: CounterLimits) -> None:
        """Create an empty state."""
        self._limits = limits
        self.now_ms = 0.0  # the service's time in Unix ms; it never goes back, even if the clock does
        self._keys: dict[int, tuple[float, float]] = {}  # key: total, expiry
        self._expiries: deque[tuple[float, int]] = deque()  # in order of creation, roughly in order of expiry
        self._gateways: dict[str, GatewayState] = {}
        self._gateways_by_number: list[GatewayState] = []
        self._attempts: OrderedDict[bytes, float] = OrderedDict()
        self._oldest_accepted_ms = -math.inf  # older attempts are rejected: their ids may have been removed
        self._usage: dict[tuple[str, str, int], UsageTotals] = {}
        self.applied_entries = 0
        self.term = 0  # raised by each promotion of a follower; a leader of an older term may no longer write

    # Commands

    def advance_clock(self, unix_ms: float) -> None:
        """Advance the time; if the clock went back, the time stays the same until the clock has caught up."""
        self.now_ms = max(self.now_ms, unix_ms)

    def begin_session(self, name: str, epoch: int) -> tuple[GatewayState | None, bytes | None]:
        """Begin a session; returns the gateway, or None if its epoch is over, and the entry to log, if any."""
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
        """Execute a command; returns its reply, to be sent once the entry is durable, and the entry to log, if any."""
        if isinstance(command, Read):
            return TotalReply(command.sequence, Status.DONE, self.total(command.key)), None
        if epoch != gateway.epoch:
            return reply_without_result(command, Status.FENCED), None
        sequence = command.sequence
        result = gateway.results.get(sequence)
        if result is not None:
            return self._reply_to_repeat(command, *result), None
        if sequence <= gateway.highest_sequence - self._limits.deduplication_window:
            return reply_without_result(command, Status.TOO_OLD), None
        if isinstance(command, Add):
            return self._add(gateway, command)
        return self._record(gateway, command)

    @staticmethod
    def _reply_to_repeat(command: Add | RecordAttempt, digest: int, value: float) -> Reply:
        """Build the reply to a command whose sequence was used before."""
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
        if self._find_unexpired(command.key) is None and len(self._keys) >= self._limits.max_keys:
            self._remove_all_expired()
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
        if command.time_ms < max(self._oldest_accepted_ms, self.now_ms - self._limits.attempt_window_ms):
            return reply_without_result(command, Status.TOO_OLD), None
        # A gateway's clock that is further ahead than clocks normally differ was stepped, so this clock's time is used.
        time_ms = command.time_ms if command.time_ms <= self.now_ms + MAX_CLOCK_SKEW_MS else self.now_ms
        duplicate = attempt_key(command.request_id) in self._attempts
        if not duplicate and len(self._attempts) >= self._limits.max_attempts:
            self._remove_expired_attempts()
            if len(self._attempts) >= self._limits.max_attempts:
                return reply_without_result(command, Status.FULL), None
        entry = encode_attempt(self.now_ms, gateway.number, command, time_ms, duplicate)
        self.apply(entry)
        return RecordReply(command.sequence, Status.KNOWN if duplicate else Status.DONE), entry

    # Entries

    def apply(self, entry: bytes) -> None:
        """Apply one entry: live, just before the entry is written, and on rebuild."""
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
        current = self._find_unexpired(key)
        total = units + (current[0] if current else 0.0)
        expiry_ms = current[1] if current else now_ms + ttl_ms
        self._keys[key] = total, expiry_ms
        if current is None:
            self._expiries.append((expiry_ms, key))
            self._remove_expired_at_front()
        self._store_result(self._gateways_by_number[number], sequence, _digest_add(key, units, ttl_ms), total)

    def _apply_attempt(self, entry: AttemptEntry) -> None:
        self.now_ms = max(self.now_ms, entry.logged_at_ms)
        gateway = self._gateways_by_number[entry.gateway_number]
        self._store_result(gateway, entry.sequence, _digest_attempt(entry), float(entry.duplicate))
        if not entry.duplicate:
            self._attempts[attempt_key(entry.request_id)] = entry.time_ms
            period = int(entry.time_ms // self._limits.period_ms)
            totals = self._usage.setdefault((entry.customer, entry.plan, period), UsageTotals())
            totals.attempts += 1
            totals.units += entry.units
            totals.over_quota_units += entry.units if entry.over_quota else 0.0
        self._remove_expired_attempts()

    def _apply_gateway(self, entry: GatewayEntry) -> None:
        self.now_ms = max(self.now_ms, entry.logged_at_ms)
        gateway = GatewayState(entry.number, entry.name, entry.epoch)
        self._gateways[entry.name] = gateway
        if entry.number < len(self._gateways_by_number):
            self._gateways_by_number[entry.number] = gateway
        else:
            self._gateways_by_number.append(gateway)

    def _store_result(self, gateway: GatewayState, sequence: int, digest: int, value: float) -> None:
        """Keep a command's result, and remove the results that leave the deduplication window."""
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
            for expired_sequence in range(previous - window + 1, sequence - window + 1):
                gateway.results.pop(expired_sequence, None)

    def _find_unexpired(self, key: int) -> tuple[float, float] | None:
        found = self._keys.get(key)
        return found if found is not None and found[1] > self.now_ms else None

    def _remove_expired_at_front(self) -> None:
        """Remove the expired keys at the front of the queue of expiries, up to the first that has not expired."""
        while self._expiries and self._expiries[0][0] <= self.now_ms:
            expiry_ms, key = self._expiries.popleft()
            found = self._keys.get(key)
            if found is not None and found[1] == expiry_ms:
                del self._keys[key]

    def _remove_all_expired(self) -> None:
        """Remove all expired keys, wherever they are in the queue of expiries."""
        self._keys = {key: found for key, found in self._keys.items() if found[1] > self.now_ms}
        self._expiries = deque(sorted((found[1], key) for key, found in self._keys.items()))

    def _remove_expired_attempts(self) -> None:
        """Remove ids that are older than the attempt window; attempts that old are rejected from then on."""
        oldest_ms = self.now_ms - self._limits.attempt_window_ms
        while self._attempts:
            key, time_ms = next(iter(self._attempts.items()))
            if time_ms >= oldest_ms:
                break
            del self._attempts[key]
            self._oldest_accepted_ms = max(self._oldest_accepted_ms, oldest_ms)

    # Reading

    def gateway(self, name: str) -> GatewayState:
        """Return a gateway that has begun a session, in its latest epoch."""
        return self._gateways[name]

    def total(self, key: int) -> float:
        """Return a key's total; 0 if it is not known."""
        current = self._find_unexpired(key)
        return current[0] if current else 0.0

    def usage(self) -> dict[tuple[str, str, int], UsageTotals]:
        """Return the totals by customer, plan and period's number."""
        return self._usage

    @property
    def sizes(self) -> dict[str, int]:
        """The numbers of stored items, under the names that the command line prints."""
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
        self._remove_all_expired()
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
        state._oldest_accepted_ms = snapshot.now_ms - limits.attempt_window_ms
        return state
