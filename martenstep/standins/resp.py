"""The Redis serialization protocol, RESP2 and RESP3, without sockets; from the public specification."""

from __future__ import annotations

MOST_ARGUMENTS = 1024 * 1024
MOST_BYTES = 512 * 1024 * 1024
INLINE_BYTES = 64 * 1024


class RespError(Exception):
    """Bytes that are not a command: the connection ends with this as its error."""


class Simple(str):
    """A simple string, such as OK."""


class ErrorReply(str):
    """An error, its code first."""


class Push(list["Reply"]):
    """What the server tells by itself: a push in RESP3, an array before it."""


Reply = Simple | ErrorReply | int | float | bytes | None | list["Reply"] | dict[str, "Reply"]


class Commands:
    """Takes bytes as they come and gives whole commands: arrays of bulk strings, or inline words."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The commands that are whole; raises RespError on bytes that can be none."""
        self._buffer += data
        found: list[list[bytes]] = []
        while True:
            command, used = self._one()
            if command is None:
                return found
            del self._buffer[:used]
            if command:
                found.append(command)

    def _line(self, at: int) -> tuple[bytes, int] | None:
        end = self._buffer.find(b"\r\n", at)
        if end < 0:
            if len(self._buffer) - at > INLINE_BYTES:
                raise RespError("Protocol error: too big inline request")
            return None
        return bytes(self._buffer[at:end]), end + 2

    def _number(self, line: bytes, least: int, most: int, what: str) -> int:
        try:
            number = int(line)
        except ValueError:
            number = least - 1
        if not least <= number <= most:
            raise RespError(f"Protocol error: invalid {what} length")
        return number

    def _one(self) -> tuple[list[bytes] | None, int]:
        if not self._buffer:
            return None, 0
        head = self._line(0)
        if head is None:
            return None, 0
        line, at = head
        if line[:1] != b"*":
            return line.split(), at
        words = []
        for _ in range(max(self._number(line[1:], -1, MOST_ARGUMENTS, "multibulk"), 0)):
            head = self._line(at)
            if head is None:
                return None, 0
            line, at = head
            if line[:1] != b"$":
                raise RespError(f"Protocol error: expected '$', got {line[:1].decode('latin-1')!r}")
            size = self._number(line[1:], 0, MOST_BYTES, "bulk")
            if len(self._buffer) < at + size + 2:
                return None, 0
            words.append(bytes(self._buffer[at : at + size]))
            at += size + 2
        return words, at


def encode(reply: Reply, protocol: int) -> bytes:
    """A reply in RESP2 or RESP3."""
    match reply:
        case Simple():
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
