"""The frames that a supervisor writes to a worker's standard input: a length of four bytes, then MessagePack.

The end of the input means that the supervisor has exited: the worker then shuts down as on SIGTERM.  A worker sends its
messages to the supervisor as JSON lines on standard output.
"""

from __future__ import annotations

import asyncio

import msgspec

from martenstep.supervise.errors import SuperviseError

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 64 * 1024 * 1024  # settings with a few hundred thousand customers
NO_SOCKET = -1


class ProtocolError(SuperviseError):
    """The bytes received are not a valid frame."""


class StartWorker(msgspec.Struct, tag="Begin", rename={"settings": "door"}):
    """Serve with these settings (a serialized Door), on a passed socket unless `socket` is NO_SOCKET."""

    settings: bytes
    socket: int = NO_SOCKET
    reuse_port: bool = False
    seed: int | None = None


class PrepareSettings(msgspec.Struct, tag="Prepare", rename={"generation": "number", "settings": "door"}):
    """Answer whether these settings could be applied, without applying them."""

    generation: int
    settings: bytes


class CommitSettings(msgspec.Struct, tag="Commit", rename={"generation": "number"}):
    """Apply the settings that were prepared under this generation, and reload files."""

    generation: int


class ReloadFiles(msgspec.Struct, tag="Renew"):
    """Reload hooks and certificates."""


Frame = StartWorker | PrepareSettings | CommitSettings | ReloadFiles
_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class WorkerMessage(msgspec.Struct, omit_defaults=True, rename={"prepared_generation": "prepared"}):
    """One line from a worker."""

    ready: dict[str, int] | None = None  # its ports by name, once it serves
    prepared_generation: int = 0
    error: str = ""  # why the settings were not prepared; empty if they were


def encode(frame: Frame) -> bytes:
    """Encode a frame."""
    data = msgspec.msgpack.encode(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


async def read_frame(reader: asyncio.StreamReader) -> Frame | None:
    """Read the next frame; None at the end of the input.  Raises ProtocolError."""
    try:
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise ProtocolError(f"frame of {size} bytes is longer than the {MAX_FRAME_BYTES} allowed")
        return _DECODER.decode(await reader.readexactly(size))
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ProtocolError("input ended within a frame") from None
        return None
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error)) from None
