"""What a supervisor says to its workers, on their standard input: a length of four bytes, then MessagePack.

The end of the input means that the supervisor is gone: a worker then shuts down as on SIGTERM.  What a worker says goes
the other way as JSON lines.
"""

from __future__ import annotations

import asyncio

import msgspec

from martenstep.supervise.errors import SuperviseError

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024 * 1024  # settings with a few hundred thousand customers
NO_SOCKET = -1


class ProtocolError(SuperviseError):
    """Bytes that are no frame."""


class StartWorker(msgspec.Struct, tag="Begin", rename={"settings": "door"}):
    """Serve with these settings (a serialized Door), on a passed socket unless `socket` is NO_SOCKET."""

    settings: bytes
    socket: int = NO_SOCKET
    reuse_port: bool = False
    seed: int | None = None


class PrepareSettings(msgspec.Struct, tag="Prepare", rename={"generation": "number", "settings": "door"}):
    """Say whether these settings could be applied; apply nothing."""

    generation: int
    settings: bytes


class CommitSettings(msgspec.Struct, tag="Commit", rename={"generation": "number"}):
    """Apply the settings that were prepared under this number, and load files anew."""

    generation: int


class ReloadFiles(msgspec.Struct, tag="Renew"):
    """Load hooks and certificates anew."""


Frame = StartWorker | PrepareSettings | CommitSettings | ReloadFiles
_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class WorkerMessage(msgspec.Struct, omit_defaults=True, rename={"prepared_generation": "prepared"}):
    """A worker's line."""

    ready: dict[str, int] | None = None  # its ports
    prepared_generation: int = 0
    error: str = ""  # why it was not prepared


def encode(frame: Frame) -> bytes:
    """Encode a frame."""
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


async def read_frame(reader: asyncio.StreamReader) -> Frame | None:
    """Read the next frame; None at the end.  Raises ProtocolError."""
    try:
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise ProtocolError(f"a frame of {size} bytes")
        return _DECODER.decode(await reader.readexactly(size))
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ProtocolError("a frame broke off") from None
        return None
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error)) from None
