"""What a copy keeps on its disk, and how it knows that the disk is as it left it.

On the log of `storage`: each durable write of the core is one or more lines, read back in order; a snapshot of all that
holds bounds the log.  Lines of one write that a crash cuts apart promise nothing: what answers a write leaves only once
all of it is durable.

The **witness** is a small file in another place that a copied disk does not bring along: memory that a restart of the
machine clears (`/run`, `/dev/shm`), or better another disk.  It tells how many lines this copy had made durable when it
last promised something, in two slots written in turn, so that a torn one leaves the other.  A start whose log holds
fewer, or that finds no witness, cannot prove its disk; it takes the witness away, so that neither can the next, until
the core has proven itself (`proved`).
"""

from __future__ import annotations

import random
import struct
from dataclasses import dataclass, replace

import google_crc32c
import msgspec

from martenstep.replication.messages import Entry, Snapshot
from martenstep.replication.raft import Kept, Write
from martenstep.storage.files import Files
from martenstep.storage.log import LogError, Writer, compact, open_log, write_snapshot

IDENTITY, WITNESS = "copy.json", "witness"
SEGMENT_BYTES = 4 << 20
LINE_BYTES = 96 << 10  # of the entries of one line: below what the log takes for damage
SLOT = 64  # bytes of a witness's mark, far within a sector
_MARK = struct.Struct(">QQQ")
ENTRY_BYTES = 64 << 10  # of one entry's data: more is refused where it is proposed


class Line(msgspec.Struct, array_like=True, frozen=True):
    """One durable write, or a part of it."""

    term: int
    vote: int | None
    floor: tuple[int, int]
    cut_from: int | None
    entries: tuple[Entry, ...]


class Image(msgspec.Struct, array_like=True, frozen=True):
    """All that holds, as a snapshot of the log has it."""

    term: int
    vote: int | None
    floor: tuple[int, int]
    snapshot: Snapshot | None
    entries: list[Entry]


class Identity(msgspec.Struct):
    """Whose disk this is."""

    id: int


@dataclass(frozen=True, slots=True)
class Mark:
    """What the witness knows: of `number` marks the latest."""

    number: int
    id: int
    lines: int

    def packed(self) -> bytes:
        """One slot's bytes."""
        told = _MARK.pack(self.number, self.id, self.lines)
        return told + int(google_crc32c.value(told)).to_bytes(4, "big")


def mark_of(data: bytes) -> Mark | None:
    """The latest of a witness's slots that are whole."""
    marks = []
    for at in (0, SLOT):
        told, check = data[at : at + _MARK.size], data[at + _MARK.size : at + _MARK.size + 4]
        if len(check) == 4 and google_crc32c.value(told) == int.from_bytes(check, "big"):
            marks.append(Mark(*_MARK.unpack(told)))
    return max(marks, key=lambda mark: mark.number, default=None)


_encode = msgspec.msgpack.Encoder().encode
_line = msgspec.msgpack.Decoder(Line).decode
_image = msgspec.msgpack.Decoder(Image).decode


class StoreError(Exception):
    """A disk that cannot be read: what is wrong, and where."""


def apply(kept: Kept, line: Line | Write) -> None:
    """Let a durable write hold."""
    kept.term, kept.vote, kept.floor = line.term, line.vote, line.floor
    if line.cut_from is not None:
        kept.entries = [entry for entry in kept.entries if entry.index < line.cut_from]
    if isinstance(line, Write) and line.snapshot is not None:
        kept.snapshot = line.snapshot
        kept.entries = [entry for entry in kept.entries if entry.index > line.snapshot.index]
    kept.entries += line.entries


def together(writes: list[Write]) -> list[Write]:
    """Writes that only add entries, joined with the one before: a group that is synced together needs few lines."""
    groups: list[list[Write]] = []
    for write in writes:
        last = groups[-1][-1] if groups else None
        if (
            last is not None
            and write.cut_from is None
            and write.snapshot is None
            and last.snapshot is None
            and (write.term, write.vote, write.floor) == (last.term, last.vote, last.floor)
        ):
            groups[-1].append(write)
        else:
            groups.append([write])
    return [
        replace(group[0], ticket=group[-1].ticket, entries=tuple(entry for one in group for entry in one.entries))
        for group in groups
    ]


def lines_of(write: Write) -> list[bytes]:
    """A write as lines, none longer than the log takes."""
    made: list[bytes] = []
    part: list[Entry] = []
    size, cut = 0, write.cut_from
    for entry in write.entries:
        if part and size + len(entry.data) > LINE_BYTES:
            made.append(_encode(Line(write.term, write.vote, write.floor, cut, tuple(part))))
            part, size, cut = [], 0, None
        part.append(entry)
        size += len(entry.data)
    made.append(_encode(Line(write.term, write.vote, write.floor, cut, tuple(part))))
    return made


class Store:
    """One copy's disk."""

    def __init__(
        self, files: Files, witness: Files | None, rng: random.Random, founding: int | None = None, alone: bool = False
    ) -> None:
        """Read all that is there; raises StoreError where it is damaged.  An empty disk becomes a new identity: a drawn
        one, or the one that is given to a copy that founds its group.

        A founding copy is not proven, but where it is `alone` in a group whose name was drawn just now.  Danger: its
        identity follows from the settings, so a disk that was put back from before the founding would get it again, and
        with it a vote that it has given already."""
        self._files, self._witness = files, witness
        self._marks, self._marked = 0, False  # marks so far, and whether the file is there as this process wrote it
        try:
            opened = open_log(files)
            self.kept = self._image(opened.snapshot)
            for entry in opened.entries:
                if len(entry) > 1:  # a seal says nothing
                    apply(self.kept, _line(entry))
            self._writer = Writer(files, opened, SEGMENT_BYTES)
        except LogError as error:
            raise StoreError(str(error)) from None
        except msgspec.DecodeError as error:
            raise StoreError(f"a line that is none: {error}") from None
        self.id, fresh = self._identity(rng, founding)
        self.proven = (fresh and (founding is None or alone)) or (not fresh and self._proven())
        if not self.proven:
            self._forget()
        elif fresh:
            self._mark()

    @staticmethod
    def _image(body: bytes | None) -> Kept:
        if body is None:
            return Kept()
        image = _image(body)
        return Kept(image.term, image.vote, list(image.entries), image.snapshot, image.floor)

    def _identity(self, rng: random.Random, founding: int | None) -> tuple[int, bool]:
        """Drawn once, before the first line; lines without it are nobody's."""
        if IDENTITY in self._files.names():
            try:
                return msgspec.json.decode(self._files.read(IDENTITY), type=Identity).id, False
            except msgspec.DecodeError as error:
                raise StoreError(f"{IDENTITY}: {error}") from None
        if self.kept.term or self.kept.entries or self.kept.snapshot is not None:
            raise StoreError(f"{IDENTITY} is missing beside a log that promises something: empty the disk to join anew")
        drawn = rng.getrandbits(53) if founding is None else founding
        self._files.write_aside(IDENTITY, msgspec.json.encode(Identity(drawn)))
        return drawn, True

    def _proven(self) -> bool:
        if self._witness is None or WITNESS not in self._witness.names():
            return False
        mark = mark_of(self._witness.read(WITNESS))
        if mark is None:
            return False
        self._marks = mark.number
        return mark.id == self.id and mark.lines <= self._writer.next

    def _forget(self) -> None:
        if self._witness is not None and WITNESS in self._witness.names():
            self._witness.remove(WITNESS)

    def _mark(self) -> None:
        if self._witness is None:
            return
        self._marks += 1
        data = Mark(self._marks, self.id, self._writer.synced).packed()
        if self._marked:
            self._witness.patch(WITNESS, self._marks % 2 * SLOT, data)
        else:
            self._witness.write_aside(WITNESS, data.ljust(SLOT, b"\0") * 2)
            self._marked = True

    def proved(self) -> None:
        """The core was told by all others, or a person vouched; what it made of that is durable."""
        if not self.proven:
            self.proven = True
            self._mark()

    def write(self, writes: list[Write]) -> None:
        """Make writes durable, in order, with one sync; then the witness knows of them.  Raises OSError: the core is to
        be told that it failed."""
        lines: list[bytes] = []
        for write in together(writes):
            apply(self.kept, write)
            lines += lines_of(write)
        self._writer.write(lines, durable=True)
        if any(write.snapshot is not None for write in writes):
            kept = self.kept
            image = Image(kept.term, kept.vote, kept.floor, kept.snapshot, kept.entries)
            write_snapshot(self._files, self._writer.synced, _encode(image))
            compact(self._files, self._writer.synced)
        if self.proven:
            self._mark()

    def close(self) -> None:
        """Let go."""
        self._writer.close()

    def image(self) -> Kept:
        """What holds now, as its own."""
        return replace(self.kept, entries=list(self.kept.entries))
