"""What a supervisor says to its workers, on their standard input: a length of four bytes, then MessagePack.

The end of the input means that the supervisor is gone: a worker then leaves as on SIGTERM.  What a worker says goes the
other way as JSON lines.
"""

from __future__ import annotations

import asyncio

import msgspec

MOST_BYTES = 64 * 1024 * 1024  # of one frame: settings with a few hundred thousand customers


class FrameError(Exception):
    """What came is no frame."""


class Begin(msgspec.Struct, tag=True):
    """Serve with these settings (a serialized Door), on a passed socket if `socket` is not negative."""

    door: bytes
    socket: int = -1
    reuse_port: bool = False
    seed: int | None = None


class Prepare(msgspec.Struct, tag=True):
    """Say whether these settings could be taken up; take up nothing."""

    number: int
    door: bytes


class Commit(msgspec.Struct, tag=True):
    """Take up the settings that were prepared under this number, and what files hold anew."""

    number: int


class Renew(msgspec.Struct, tag=True):
    """Read hooks and certificates anew."""


Frame = Begin | Prepare | Commit | Renew
_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class Said(msgspec.Struct, omit_defaults=True):
    """A worker's line."""

    ready: dict[str, int] | None = None
    prepared: int = 0  # the number
    error: str = ""  # why it was not


def encode(frame: Frame) -> bytes:
    """A frame as bytes."""
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(4, "big") + data


async def read(reader: asyncio.StreamReader) -> Frame | None:
    """The next frame; None at the end.  Raises FrameError."""
    try:
        size = int.from_bytes(await reader.readexactly(4), "big")
        if size > MOST_BYTES:
            raise FrameError(f"a frame of {size} bytes")
        return _DECODER.decode(await reader.readexactly(size))
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise FrameError("a frame broke off") from None
        return None
    except msgspec.DecodeError as error:
        raise FrameError(str(error)) from None
