"""Heads of requests and responses: parsed by llhttp once they are complete, with stricter checks.

llhttp accepts the following, which is rejected here: two spaces in a request line, HTTP/0.9 and other versions, an
empty line before the head, an HTTP/1.1 request with no Host or several, a target with bytes outside ASCII,
Transfer-Encoding other than one `chunked` or in HTTP/1.0, and any bytes after the end of a head.  A request whose
method is unknown to llhttp is parsed by h11, so that endpoints can use methods of their own.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import h11
import httptools

Headers = list[tuple[bytes, bytes]]
END_OF_HEAD = b"\r\n\r\n"
WHITESPACE = b" \t"
MAX_LENGTH_DIGITS = 19  # of a Content-Length; more digits than any real length has
STATUSES_WITHOUT_BODY = (204, 304)
MIN_STATUS, MAX_STATUS = 100, 599
MAX_FIELDS = 128  # header fields of a message: a parsed field takes many times the memory of its bytes
MAX_LINES = MAX_FIELDS + 2  # of a head, with its first line and the empty one
MINOR_VERSIONS = {"1.1": 1, "1.0": 0}
END_TO_END_HEADERS = frozenset((b"content-length", b"host"))  # each recipient needs them
BAD_REQUEST, HEADERS_TOO_LARGE, NOT_IMPLEMENTED, BAD_GATEWAY, VERSION_NOT_SUPPORTED = 400, 431, 501, 502, 505


@dataclass(slots=True)
class ProtocolError(Exception):
    """Received bytes are not acceptable HTTP; has the status and the reason of the response to a client."""

    status: int
    reason: str


@dataclass(slots=True)
class RequestHead:
    """A request's line and headers, names in lower case.  With `chunked`, `length` is None."""

    method: bytes
    target: bytes
    minor_version: int  # of HTTP/1
    headers: Headers
    length: int | None
    chunked: bool
    keep_alive: bool  # the connection may serve another request
    expects_continue: bool  # the client waits for 100 Continue before it sends the body


@dataclass(slots=True)
class ResponseHead:
    """A response's line and headers.  Without `length` and `chunked`, the body ends with the connection."""

    status: int
    reason: bytes
    minor_version: int
    headers: Headers
    length: int | None
    chunked: bool
    keep_alive: bool


class _HeadCallbacks:
    """The callbacks that llhttp invokes while it parses a head."""

    __slots__ = ("complete", "headers", "status", "target")

    def __init__(self) -> None:
        self.target = self.status = b""
        self.headers: Headers = []
        self.complete = False

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_status(self, part: bytes) -> None:
        self.status += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value.strip(WHITESPACE)))

    def on_headers_complete(self) -> None:
        self.complete = True


class _Framing(NamedTuple):
    """What the headers state about the message's body and the connection."""

    length: int | None
    chunked: bool
    keep_alive: bool
    expects_continue: bool
    host_count: int
    connection_options: frozenset[bytes]  # in lower case


def _read_framing(headers: Headers, minor_version: int) -> _Framing:
    """Read the headers that frame a message; raises ProtocolError if one is invalid or they contradict each other."""
    length: int | None = None
    chunked = close = expects_continue = keep_alive = False
    host_count = 0
    options: frozenset[bytes] = frozenset()
    for name, value in headers:
        match name:
            case b"content-length":
                if length is not None or not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
                    raise ProtocolError(BAD_REQUEST, "bad request")
                length = int(value)
            case b"transfer-encoding":
                if chunked or value.lower() != b"chunked":
                    raise ProtocolError(NOT_IMPLEMENTED, "transfer coding not known")
                chunked = True
            case b"connection":
                options |= {option.strip(WHITESPACE) for option in value.lower().split(b",")}
                close, keep_alive = b"close" in options, b"keep-alive" in options
            case b"expect":
                expects_continue = value.lower() == b"100-continue"
            case b"host":
                host_count += 1
    if chunked and (length is not None or minor_version == 0):
        # RFC 9112 6.1 and 6.3: with two lengths, or a coding that an HTTP/1.0 recipient does not understand, recipients
        # may disagree about where a request ends, which enables request smuggling.
        reason = "both content-length and transfer-encoding" if length is not None else "bad request"
        raise ProtocolError(BAD_REQUEST, reason)
    persistent = not close and (minor_version == 1 or keep_alive)
    return _Framing(length, chunked, persistent, expects_continue and minor_version == 1, host_count, options)


def parse_request_head(raw: bytes) -> RequestHead:
    """Parse a complete head, which includes its empty line; raises ProtocolError."""
    if raw.count(b"\n") > MAX_LINES:
        raise ProtocolError(HEADERS_TOO_LARGE, "head too large")
    callbacks = _HeadCallbacks()
    parser = httptools.HttpRequestParser(callbacks)
    try:
        parser.feed_data(raw)
        method = parser.get_method()
    except httptools.HttpParserUpgrade:  # upgrades are not supported: an ordinary request
        method = parser.get_method()
    except httptools.HttpParserInvalidMethodError:
        return _parse_by_h11(raw)
    except httptools.HttpParserError as error:
        _parse_by_h11(raw)  # raises a different status for an unknown transfer coding than for a malformed head
        raise ProtocolError(BAD_REQUEST, "bad request") from error
    version, target = parser.get_http_version(), callbacks.target
    minor_version = MINOR_VERSIONS.get(version)
    if not callbacks.complete or minor_version is None or not target.isascii():
        other_version = callbacks.complete and minor_version is None and version != "0.9"
        raise ProtocolError(VERSION_NOT_SUPPORTED if other_version else BAD_REQUEST, "bad request")
    if not raw.startswith(b"%b %b HTTP/%b\r\n" % (method, target, version.encode())):
        raise ProtocolError(BAD_REQUEST, "bad request")
    return _make_request_head(method, target, minor_version, callbacks.headers)


def _make_request_head(method: bytes, target: bytes, minor_version: int, headers: Headers) -> RequestHead:
    framing = _read_framing(headers, minor_version)
    if framing.host_count > 1 or (not framing.host_count and minor_version):
        raise ProtocolError(BAD_REQUEST, "bad request")
    if framing.connection_options & END_TO_END_HEADERS:
        # RFC 9110 7.6.1: a sender must not list these.  Without its length a body would be read as the next request.
        raise ProtocolError(BAD_REQUEST, "connection names a header of the whole request")
    return RequestHead(
        method,
        target,
        minor_version,
        headers,
        framing.length,
        framing.chunked,
        framing.keep_alive,
        framing.expects_continue,
    )


def _parse_by_h11(raw: bytes) -> RequestHead:
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=len(raw) + 1)
    try:
        connection.receive_data(raw)
        event = connection.next_event()
    except h11.RemoteProtocolError as error:
        raise ProtocolError(error.error_status_hint, "bad request") from error
    if not isinstance(event, h11.Request):
        raise ProtocolError(BAD_REQUEST, "bad request")
    headers = [(name.lower(), value) for name, value in event.headers.raw_items()]
    minor_version = 1 if event.http_version == b"1.1" else 0
    return _make_request_head(event.method, event.target, minor_version, headers)


def parse_response_head(raw: bytes) -> ResponseHead:
    """Parse a complete head of an endpoint's response; raises ProtocolError, whose status is not used."""
    if raw.count(b"\n") > MAX_LINES:
        raise ProtocolError(BAD_GATEWAY, f"response head: expected at most {MAX_FIELDS} fields")
    callbacks = _HeadCallbacks()
    parser = httptools.HttpResponseParser(callbacks)
    try:
        parser.feed_data(raw)
    except httptools.HttpParserUpgrade:
        pass
    except httptools.HttpParserError as error:
        raise ProtocolError(BAD_GATEWAY, "response head: expected a status line and header fields") from error
    minor_version = MINOR_VERSIONS.get(parser.get_http_version())
    status = parser.get_status_code()
    is_valid = callbacks.complete and minor_version is not None and MIN_STATUS <= status <= MAX_STATUS
    if minor_version is None or not is_valid or not raw.startswith(b"HTTP/1.%d %03d" % (minor_version, status)):
        raise ProtocolError(BAD_GATEWAY, "response status line: expected HTTP/1.0 or 1.1 and a status from 100 to 599")
    framing = _read_framing(callbacks.headers, minor_version)
    return ResponseHead(
        status,
        callbacks.status,
        minor_version,
        callbacks.headers,
        framing.length,
        framing.chunked,
        framing.keep_alive,
    )
