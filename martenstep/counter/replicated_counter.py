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
from martenstep.counter.protocol import Add, FrameError, Hello, Record, Refused, Reply, Status, Welcome
from martenstep.counter.state import Counter, Limits
from martenstep.replication.messages import EntryKind
from martenstep.replication.raft import PersistentState

_HEAD = struct.Struct(">dQH")  # time at the leader (Unix ms), epoch, length of the door's name


def asked(now: float, door: str, epoch: int, command: Hello | Add | Record) -> bytes:
    """An entry's bytes.  A Hello names the same door and epoch.  Raises FrameError where it is too large."""
    name = door.encode()
    if len(name) > 0xFFFF:
        raise FrameError(f"a door's name of {len(name)} bytes")
    return _HEAD.pack(now, epoch, len(name)) + name + frames.encode(command)[frames.HEAD.size :]


def _read(data: bytes) -> tuple[float, str, int, Hello | Add | Record]:
    try:
        now, epoch, size = _HEAD.unpack_from(data)
        door = data[_HEAD.size : _HEAD.size + size].decode()
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(f"an entry that cannot be read: {error}") from None
    command = frames.decode(data[_HEAD.size + size :])
    if not isinstance(command, Hello | Add | Record) or not math.isfinite(now):
        raise FrameError("an entry that asks for nothing")
    return now, door, epoch, command


def command_of(data: bytes) -> Hello | Add | Record:
    """What an entry asks for; raises FrameError."""
    return _read(data)[3]


class CopiedCounter:
    """One copy's counter."""

    def __init__(self, limits: Limits | None = None) -> None:
        self._limits = limits or Limits()
        self.counter = Counter(self._limits)

    def apply(self, data: bytes) -> Reply:
        """What comes of one entry.  Never raises: what one copy cannot read, none can, and all go on."""
        try:
            now, name, epoch, command = _read(data)
        except FrameError as error:
            return Refused(Status.BAD, str(error))
        counter = self.counter
        counter.clock(now)
        # A session begins with its first command as well: a door that comes to a new leader need not greet it.
        door, _ = counter.hello(name, epoch)
        if isinstance(command, Hello):
            return Refused(Status.FENCED, "a later epoch was seen") if door is None else Welcome(door.highest)
        if door is None:
            return frames.without(command, Status.FENCED)
        try:
            return counter.command(door, epoch, command)[0]
        except FrameError:
            return frames.without(command, Status.BAD)

    @classmethod
    def of(cls, kept: PersistentState) -> CopiedCounter:
        """What a copy that is down would hold, all entries of its disk applied."""
        made = cls()
        if kept.snapshot is not None:
            made.restore(kept.snapshot.body)
        for entry in kept.entries:
            if entry.kind is EntryKind.COMMAND:
                made.apply(entry.data)
        return made

    def total(self, name: int) -> float:
        """A name's total, for who has the leader's word that nothing is missing; 0 where it is not known."""
        return self.counter.total(name)

    def snapshot(self) -> bytes:
        """All of the state, sessions with it."""
        return self.counter.snapshot()

    def restore(self, body: bytes) -> None:
        """In place of all that was; raises ValueError where it is no snapshot."""
        try:
            self.counter = Counter.restored(self._limits, body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a counter's snapshot: {error}") from None
