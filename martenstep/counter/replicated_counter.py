"""The counter as a state machine that several copies feed with the same entries (`replication.host.Machine`).

An entry is what was **asked**, with the door, its epoch and the time at the leader that proposed it; what comes of it
is decided where it is applied, at every copy alike.  The service's own log holds what was done; a leader of copies
cannot log that, as the entries that it would decide on need not stand in the end.

Exactly once over any failover: sessions (door, epoch, sequence) are part of the state.  A door that does not know what
became of a command asks again under the same sequence, wherever the leader is now, and gets the first result.

Everything here follows from the entries alone: the time is the greatest that an entry told, so that a leader whose
clock stands behind the last one's neither lets a name live longer nor forgets a try sooner.
"""

from __future__ import annotations

import math
import struct

import msgspec

from martenstep.counter import protocol as frames
from martenstep.counter.protocol import Add, Hello, ProtocolError, RecordAttempt, Rejection, Reply, Status, Welcome
from martenstep.counter.state import CounterLimits, CounterState
from martenstep.replication.messages import Kind
from martenstep.replication.raft import Kept

_HEAD = struct.Struct(">dQH")  # time at the leader (Unix ms), epoch, length of the door's name


def encode_entry(now: float, door: str, epoch: int, command: Hello | Add | RecordAttempt) -> bytes:
    """An entry's bytes.  A Hello names the same door and epoch.  Raises FrameError where it is too large."""
    name = door.encode()
    if len(name) > 0xFFFF:
        raise ProtocolError(f"a door's name of {len(name)} bytes")
    return _HEAD.pack(now, epoch, len(name)) + name + frames.encode(command)[frames.FRAME_HEADER.size :]


def _read(data: bytes) -> tuple[float, str, int, Hello | Add | RecordAttempt]:
    try:
        now, epoch, size = _HEAD.unpack_from(data)
        door = data[_HEAD.size : _HEAD.size + size].decode()
    except (struct.error, UnicodeDecodeError) as error:
        raise ProtocolError(f"an entry that cannot be read: {error}") from None
    command = frames.decode(data[_HEAD.size + size :])
    if not isinstance(command, Hello | Add | RecordAttempt) or not math.isfinite(now):
        raise ProtocolError("an entry that asks for nothing")
    return now, door, epoch, command


def decode_command(data: bytes) -> Hello | Add | RecordAttempt:
    """What an entry asks for; raises FrameError."""
    return _read(data)[3]


class ReplicatedCounter:
    """One copy's counter."""

    def __init__(self, limits: CounterLimits | None = None) -> None:
        self._limits = limits or CounterLimits()
        self.state = CounterState(self._limits)

    def apply(self, data: bytes) -> Reply:
        """What comes of one entry.  Never raises: what one copy cannot read, none can, and all go on."""
        try:
            now, name, epoch, command = _read(data)
        except ProtocolError as error:
            return Rejection(Status.BAD, str(error))
        counter = self.state
        counter.advance_clock(now)
        # A session begins with its first command as well: a door that comes to a new leader need not greet it.
        door, _ = counter.begin_session(name, epoch)
        if isinstance(command, Hello):
            return (
                Rejection(Status.FENCED, "a later epoch was seen") if door is None else Welcome(door.highest_sequence)
            )
        if door is None:
            return frames.reply_without_result(command, Status.FENCED)
        try:
            return counter.execute(door, epoch, command)[0]
        except ProtocolError:
            return frames.reply_without_result(command, Status.BAD)

    @classmethod
    def from_stored(cls, kept: Kept) -> ReplicatedCounter:
        """What a copy that is down would hold, all entries of its disk applied."""
        made = cls()
        if kept.snapshot is not None:
            made.restore(kept.snapshot.body)
        for entry in kept.entries:
            if entry.kind is Kind.COMMAND:
                made.apply(entry.data)
        return made

    def total(self, name: int) -> float:
        """A name's total, for who has the leader's word that nothing is missing; 0 where it is not known."""
        return self.state.total(name)

    def snapshot(self) -> bytes:
        """All of the state, sessions with it."""
        return self.state.snapshot()

    def restore(self, body: bytes) -> None:
        """In place of all that was; raises ValueError where it is no snapshot."""
        try:
            self.state = CounterState.from_snapshot(self._limits, body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a counter's snapshot: {error}") from None
