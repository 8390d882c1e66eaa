"""The counter as a state machine that several replicas feed with the same entries (`replication.replica`).

An entry is what was **requested**, with the gateway, its epoch and the time at the leader that proposed it; what comes
of it is decided where it is applied, at every replica alike.  The service's own log holds what was done; a leader of
replicas cannot log that, as the entries that it would decide on need not be committed in the end.

Exactly once over any failover: sessions (gateway, epoch, sequence) are part of the state.  A gateway that does not know
what became of a command sends it again under the same sequence, wherever the leader is now, and gets the first result.

Everything here follows from the entries alone: the time is the greatest that an entry held, so that a leader whose
clock stands behind the last one's neither lets a key live longer nor forgets an attempt sooner.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass

import msgspec

from martenstep.counter import protocol
from martenstep.counter.protocol import (
    Add,
    Hello,
    ProtocolError,
    RecordAttempt,
    Rejection,
    Reply,
    Status,
    Welcome,
    reply_without_result,
)
from martenstep.counter.state import CounterLimits, CounterState
from martenstep.replication.messages import EntryKind
from martenstep.replication.raft import PersistentState

MAX_GATEWAY_NAME_BYTES = 0xFFFF
_HEADER = struct.Struct(">dQH")  # time at the leader (Unix ms), epoch, length of the gateway's name

ReplicatedCommand = Hello | Add | RecordAttempt


@dataclass(frozen=True, slots=True)
class _Entry:
    """What was requested, by whom, and the leader's time."""

    now_ms: float
    gateway: str
    epoch: int
    command: ReplicatedCommand


def encode_entry(now_ms: float, gateway: str, epoch: int, command: ReplicatedCommand) -> bytes:
    """Encode an entry.  A Hello names the same gateway and epoch.  Raises ProtocolError if it is too large."""
    name = gateway.encode()
    if len(name) > MAX_GATEWAY_NAME_BYTES:
        raise ProtocolError(f"a door's name of {len(name)} bytes")
    payload = protocol.encode(command)[protocol.FRAME_HEADER.size :]
    return _HEADER.pack(now_ms, epoch, len(name)) + name + payload


def _decode_entry(data: bytes) -> _Entry:
    try:
        now_ms, epoch, size = _HEADER.unpack_from(data)
        gateway = data[_HEADER.size : _HEADER.size + size].decode()
    except (struct.error, UnicodeDecodeError) as error:
        raise ProtocolError(f"an entry that cannot be read: {error}") from None
    command = protocol.decode(data[_HEADER.size + size :])
    if not isinstance(command, Hello | Add | RecordAttempt) or not math.isfinite(now_ms):
        raise ProtocolError("an entry that asks for nothing")
    return _Entry(now_ms, gateway, epoch, command)


def decode_command(data: bytes) -> ReplicatedCommand:
    """Return what an entry requests; raises ProtocolError."""
    return _decode_entry(data).command


class ReplicatedCounter:
    """One replica's counter."""

    def __init__(self, limits: CounterLimits | None = None) -> None:
        """Begin empty."""
        self._limits = limits or CounterLimits()
        self.state = CounterState(self._limits)

    def apply(self, data: bytes) -> Reply:
        """Apply one entry and return its reply.  Never raises: what one replica cannot read, none can."""
        try:
            entry = _decode_entry(data)
        except ProtocolError as error:
            return Rejection(Status.BAD, str(error))
        self.state.advance_clock(entry.now_ms)
        # A session begins with its first command as well: a gateway that comes to a new leader need not greet it.
        gateway, _ = self.state.begin_session(entry.gateway, entry.epoch)
        command = entry.command
        if isinstance(command, Hello):
            if gateway is None:
                return Rejection(Status.FENCED, "a later epoch was seen")
            return Welcome(gateway.highest_sequence)
        if gateway is None:
            return reply_without_result(command, Status.FENCED)
        try:
            reply, _ = self.state.execute(gateway, entry.epoch, command)
        except ProtocolError:
            return reply_without_result(command, Status.BAD)
        return reply

    @classmethod
    def from_stored(cls, stored: PersistentState) -> ReplicatedCounter:
        """Rebuild what a replica that is down would hold, all entries of its disk applied."""
        counter = cls()
        if stored.snapshot is not None:
            counter.restore(stored.snapshot.body)
        for entry in stored.entries:
            if entry.kind is EntryKind.COMMAND:
                counter.apply(entry.data)
        return counter

    def total(self, key: int) -> float:
        """Return a key's total, after the leader knows that nothing is missing; 0 if it is not known."""
        return self.state.total(key)

    def snapshot(self) -> bytes:
        """Encode the whole state, sessions with it."""
        return self.state.snapshot()

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's; raises ValueError if it is none."""
        try:
            self.state = CounterState.from_snapshot(self._limits, body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a counter's snapshot: {error}") from None
