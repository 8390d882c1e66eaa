"""Encodes heads and chunks."""

from __future__ import annotations

from http import HTTPStatus

from martenstep.proxy.http1.message_head import Headers

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
LAST_CHUNK = b"0\r\n\r\n"


class InvalidMessageError(Exception):
    """A message that a recipient would read as another one, or would reject."""


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode a head with a first line; raises InvalidMessageError.

    Names and values have been checked by a parser, the settings or the checks of hooks.  That none of them contains a
    line break is checked once more for the whole head, which costs almost nothing.
    """
    out = b"%b\r\n%b\r\n" % (first_line, b"".join([b"%b: %b\r\n" % pair for pair in headers]))
    line_count = len(headers) + 2
    if out.count(b"\n") != line_count or out.count(b"\r") != line_count or out.count(b"\0"):
        raise InvalidMessageError("message head: the first line or a header contains a CR, LF or NUL")
    return out


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk; nothing for empty `data`, since an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
