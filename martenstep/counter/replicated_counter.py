"""The counter as a replicated state machine: several replicas apply the same entries (`replication.replica`).

An entry holds a **request**, with the gateway, its epoch and the time at the leader that proposed it.  The result is
computed when the entry is applied, and is the same at every replica.  The log of the single service holds results
instead.  A leader of replicas cannot log results, because the entries that they would depend on may never be committed.

Commands count exactly once across any failover, because sessions (gateway, epoch, sequence) are part of the state.  For
an indeterminate command a gateway sends the same sequence again to the current leader, and gets the first result.

The state depends on the entries alone: its time is the greatest time in any entry, so a leader whose clock is behind
the previous leader's neither extends the life of a key nor removes an attempt too early.
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
    """A request, its gateway and epoch, and the leader's time."""

    now_ms: float
    gateway: str
    epoch: int
    command: ReplicatedCommand


def encode_entry(now_ms: float, gateway: str, epoch: int, command: ReplicatedCommand) -> bytes:
    """Encode an entry; raises ProtocolError if it is too large.  A Hello must have the same gateway and epoch."""
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
    """The counter of one replica."""

    def __init__(self, limits: CounterLimits | None = None) -> None:
        """Create an empty counter."""
        self._limits = limits or CounterLimits()
        self.state = CounterState(self._limits)

    def apply(self, data: bytes) -> Reply:
        """Apply one entry and return its reply; an entry that cannot be decoded is rejected alike at every replica."""
        try:
            entry = _decode_entry(data)
        except ProtocolError as error:
            return Rejection(Status.BAD, str(error))
        self.state.advance_clock(entry.now_ms)
        # The first command begins a session if no Hello did, so a gateway need not send one to a new leader.
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
        """Rebuild the counter of a stopped replica by applying all entries on its disk."""
        counter = cls()
        if stored.snapshot is not None:
            counter.restore(stored.snapshot.body)
        for entry in stored.entries:
            if entry.kind is EntryKind.COMMAND:
                counter.apply(entry.data)
        return counter

    def total(self, key: int) -> float:
        """Return a key's total, 0 if unknown; the caller must have confirmed the leadership."""
        return self.state.total(key)

    def snapshot(self) -> bytes:
        """Encode the whole state, including sessions."""
        return self.state.snapshot()

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's; raises ValueError if the body is not a snapshot."""
        try:
            self.state = CounterState.from_snapshot(self._limits, body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a counter's snapshot: {error}") from None
