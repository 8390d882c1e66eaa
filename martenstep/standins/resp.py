"""The Redis serialization protocol, RESP2 and RESP3, without sockets; from the public specification."""

from __future__ import annotations

MAX_ARGUMENTS = 1024 * 1024
MAX_BULK_BYTES = 512 * 1024 * 1024
MAX_INLINE_BYTES = 64 * 1024


class RespError(Exception):
    """The received bytes are not a command: the server replies with this error and closes the connection."""


class SimpleString(str):
    """A simple string, for example OK."""


class ErrorReply(str):
    """An error reply, with its code as the first word."""


class Push(list["Reply"]):
    """A message that the server sends without a request: a push in RESP3, an array in RESP2."""


Reply = SimpleString | ErrorReply | int | float | bytes | None | list["Reply"] | dict[str, "Reply"]


class CommandParser:
    """Parses received bytes into complete commands: arrays of bulk strings, or inline words."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the commands that are complete; raises RespError on bytes that are not a command."""
        self._buffer += data
        commands: list[list[bytes]] = []
        while True:
            command, used = self._parse_command()
            if command is None:
                return commands
            del self._buffer[:used]
            if command:
                commands.append(command)

    def _parse_line(self, at: int) -> tuple[bytes, int] | None:
        """Return the line that starts at an offset, and the offset behind it; None if it is not complete."""
        end = self._buffer.find(b"\r\n", at)
        if end < 0:
            if len(self._buffer) - at > MAX_INLINE_BYTES:
                raise RespError("Protocol error: too big inline request")
            return None
        return bytes(self._buffer[at:end]), end + 2

    def _parse_length(self, line: bytes, minimum: int, maximum: int, kind: str) -> int:
        try:
            length = int(line)
        except ValueError:
            length = minimum - 1
        if not minimum <= length <= maximum:
            raise RespError(f"Protocol error: invalid {kind} length")
        return length

    def _parse_command(self) -> tuple[list[bytes] | None, int]:
        """Return the first command in the buffer and its size; None if it is not complete."""
        if not self._buffer:
            return None, 0
        head = self._parse_line(0)
        if head is None:
            return None, 0
        line, at = head
        if line[:1] != b"*":
            return line.split(), at
        words = []
        for _ in range(max(self._parse_length(line[1:], -1, MAX_ARGUMENTS, "multibulk"), 0)):
            head = self._parse_line(at)
            if head is None:
                return None, 0
            line, at = head
            if line[:1] != b"$":
                raise RespError(f"Protocol error: expected '$', got {line[:1].decode('latin-1')!r}")
            size = self._parse_length(line[1:], 0, MAX_BULK_BYTES, "bulk")
            if len(self._buffer) < at + size + 2:
                return None, 0
            words.append(bytes(self._buffer[at : at + size]))
            at += size + 2
        return words, at


def encode(reply: Reply, protocol: int) -> bytes:
    """Encode a reply in RESP2 or RESP3."""
    match reply:
        case SimpleString():
            return f"+{reply}\r\n".encode()
        case ErrorReply():
            return f"-{reply}\r\n".encode()
        case None:
            return b"_\r\n" if protocol == 3 else b"$-1\r\n"
        case int():
            return b":%d\r\n" % reply
        case float():
            text = f"{reply:.17g}".encode()
            return b",%s\r\n" % text if protocol == 3 else b"$%d\r\n%s\r\n" % (len(text), text)
        case bytes():
            return b"$%d\r\n%s\r\n" % (len(reply), reply)
        case Push():
            sign = b">" if protocol == 3 else b"*"
            return sign + b"%d\r\n" % len(reply) + b"".join(encode(part, protocol) for part in reply)
        case list():
            return b"*%d\r\n" % len(reply) + b"".join(encode(part, protocol) for part in reply)
        case dict():
            parts = [encode(part, protocol) for key, value in reply.items() for part in (key.encode(), value)]
            head = b"%%%d\r\n" % len(reply) if protocol == 3 else b"*%d\r\n" % (2 * len(reply))
            return head + b"".join(parts)
