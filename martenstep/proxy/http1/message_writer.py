"""Heads as they are written."""

from __future__ import annotations

from http import HTTPStatus

from martenstep.proxy.http1.message_head import Headers

PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class UnwritableError(Exception):
    """A message that would be read as another one, or that nobody takes."""


def head_of(first: bytes, headers: Headers) -> bytes:
    """A head of this first line; raises UnwritableError.

    Names and values came through a parser, the settings or a hook's border; that none of them opens a line of its own
    is checked once more for the head as a whole, which costs next to nothing."""
    out = b"%b\r\n%b\r\n" % (first, b"".join([b"%b: %b\r\n" % pair for pair in headers]))
    lines = len(headers) + 2
    if out.count(b"\n") != lines or out.count(b"\r") != lines or out.count(b"\0"):
        raise UnwritableError("a head with a line of its own in it")
    return out


def chunk(part: bytes) -> bytes:
    """A chunk; none for no bytes, which would be the last one."""
    return b"%x\r\n%b\r\n" % (len(part), part) if part else b""


LAST_CHUNK = b"0\r\n\r\n"
