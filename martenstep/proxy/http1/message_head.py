"""Heads of requests and answers: parsed by llhttp in one go once they are whole, and held to more than it asks for.

llhttp takes 6 us for a browser's head where h11 takes 60 (one run, busy machine); what it lets pass and this does not:
two spaces in a request line, HTTP/0.9 and other versions, an empty line in front, an HTTP/1.1 request with no Host or
several, a target with bytes outside ASCII, Transfer-Encoding other than one `chunked` or in HTTP/1.0, and any head that
goes on behind its end.  A method that it has no number for is read by h11, so that a server's own methods pass.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11
import httptools

Headers = list[tuple[bytes, bytes]]
END_OF_HEAD = b"\r\n\r\n"
BLANK = b" \t"
MOST_LENGTH_DIGITS = 19  # of a content-length: more is no length that anybody means
NO_BODY = (204, 304)


@dataclass(slots=True)
class Fault(Exception):
    """What came is not HTTP that is taken; the status that tells a client so."""

    status: int
    reason: str


@dataclass(slots=True)
class RequestHead:
    """A request's line and headers, names in lower case.  A length of None with `chunked`: it is told as it comes."""

    method: bytes
    target: bytes
    minor: int  # of HTTP/1
    headers: Headers
    length: int | None
    chunked: bool
    keep: bool  # the connection may serve another request
    expects: bool  # the client waits for a word before it sends the body


@dataclass(slots=True)
class AnswerHead:
    """An answer's line and headers.  Neither a length nor chunks: its body ends with the connection."""

    status: int
    reason: bytes
    minor: int
    headers: Headers
    length: int | None
    chunked: bool
    keep: bool


class _Parts:
    """What llhttp calls."""

    __slots__ = ("done", "headers", "status", "target")

    def __init__(self) -> None:
        self.target = self.status = b""
        self.headers: Headers = []
        self.done = False

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_status(self, part: bytes) -> None:
        self.status += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value.strip(BLANK)))

    def on_headers_complete(self) -> None:
        self.done = True


def _framing(headers: Headers, minor: int) -> tuple[int | None, bool, bool, bool, int]:
    """Length, chunked, whether the connection ends, whether a body is held back, and the number of Hosts."""
    length: int | None = None
    chunked = close = expects = kept = False
    hosts = 0
    for name, value in headers:
        match name:
            case b"content-length":
                if length is not None or not value.isdigit() or len(value) > MOST_LENGTH_DIGITS:
                    raise Fault(400, "bad request")
                length = int(value)
            case b"transfer-encoding":
                if chunked or value.lower() != b"chunked":
                    raise Fault(501, "transfer coding not known")
                chunked = True
            case b"connection":
                words = {word.strip(BLANK) for word in value.lower().split(b",")}
                close, kept = close or b"close" in words, kept or b"keep-alive" in words
            case b"expect":
                expects = value.lower() == b"100-continue"
            case b"host":
                hosts += 1
    if chunked and (length is not None or minor == 0):
        # RFC 9112 6.1 and 6.3: two lengths, or one that an old reader does not know, are how requests are smuggled.
        raise Fault(400, "both content-length and transfer-encoding" if length is not None else "bad request")
    return length, chunked, close or (minor == 0 and not kept), expects and minor == 1, hosts


def request_head(raw: bytes) -> RequestHead:
    """A whole head, with its empty line; raises Fault."""
    parts = _Parts()
    parser = httptools.HttpRequestParser(parts)
    try:
        parser.feed_data(raw)
        method = parser.get_method()
    except httptools.HttpParserUpgrade:  # nothing here is switched to another protocol: a request like any other
        method = parser.get_method()
    except httptools.HttpParserInvalidMethodError:
        return _read_by_h11(raw)
    except httptools.HttpParserError as error:
        _read_by_h11(raw)  # it tells a coding that is not known from a fault
        raise Fault(400, "bad request") from error
    version, target = parser.get_http_version(), parts.target
    minor = {"1.1": 1, "1.0": 0}.get(version)
    if not parts.done or minor is None or not target.isascii():
        raise Fault(505 if parts.done and minor is None and version != "0.9" else 400, "bad request")
    if not raw.startswith(b"%b %b HTTP/%b\r\n" % (method, target, version.encode())):
        raise Fault(400, "bad request")
    return _request(method, target, minor, parts.headers)


def _request(method: bytes, target: bytes, minor: int, headers: Headers) -> RequestHead:
    length, chunked, ends, expects, hosts = _framing(headers, minor)
    if hosts > 1 or (not hosts and minor):
        raise Fault(400, "bad request")
    return RequestHead(method, target, minor, headers, length, chunked, not ends, expects)


def _read_by_h11(raw: bytes) -> RequestHead:
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=len(raw) + 1)
    try:
        connection.receive_data(raw)
        event = connection.next_event()
    except h11.RemoteProtocolError as error:
        raise Fault(error.error_status_hint, "bad request") from error
    if not isinstance(event, h11.Request):
        raise Fault(400, "bad request")
    headers = [(name.lower(), value) for name, value in event.headers.raw_items()]
    return _request(event.method, event.target, 1 if event.http_version == b"1.1" else 0, headers)


def answer_head(raw: bytes) -> AnswerHead:
    """A whole head of a server's answer; raises Fault, whose status is nobody's concern."""
    parts = _Parts()
    parser = httptools.HttpResponseParser(parts)
    try:
        parser.feed_data(raw)
    except httptools.HttpParserUpgrade:
        pass
    except httptools.HttpParserError as error:
        raise Fault(502, "bad answer") from error
    minor = {"1.1": 1, "1.0": 0}.get(parser.get_http_version())
    status = parser.get_status_code()
    if (
        not parts.done
        or minor is None
        or not 100 <= status <= 599
        or not raw.startswith(b"HTTP/1.%d %03d" % (minor, status))
    ):
        raise Fault(502, "bad answer")
    length, chunked, ends, _, _ = _framing(parts.headers, minor)
    return AnswerHead(status, parts.status, minor, parts.headers, length, chunked, not ends)
