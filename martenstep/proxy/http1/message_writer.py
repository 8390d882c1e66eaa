"""Heads and chunks as they are written."""

from __future__ import annotations

from http import HTTPStatus

from martenstep.proxy.http1.message_head import Headers

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
LAST_CHUNK = b"0\r\n\r\n"


class InvalidMessageError(Exception):
    """A message that would be read as another one, or that nobody accepts."""


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """A head with this first line; raises InvalidMessageError.

    Names and values came through a parser, the settings or a hook's checks; that none of them opens a line of its own
    is checked once more for the head as a whole, which costs next to nothing.
    """
    out = b"%b\r\n%b\r\n" % (first_line, b"".join([b"%b: %b\r\n" % pair for pair in headers]))
    line_count = len(headers) + 2
    if out.count(b"\n") != line_count or out.count(b"\r") != line_count or out.count(b"\0"):
        raise InvalidMessageError("a head with a line of its own in it")
    return out


def encode_chunk(data: bytes) -> bytes:
    """A chunk; none for no bytes, which would be the last one."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
