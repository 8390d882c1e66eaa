"""Framing of messages, compared with h11: what h11 rejects is rejected, and what both accept is read alike."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import h11
import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.proxy.http1.client_connection import Http1ClientConnection
from martenstep.proxy.http1.message_head import Headers, ProtocolError, RequestHead, ResponseHead
from martenstep.proxy.http1.message_reader import ConnectionClosed, Data, EndOfMessage, RequestReader, ResponseReader
from martenstep.proxy.http1.message_writer import InvalidMessageError

MAX_HEAD_BYTES = 2000
HOST = b"Host: h\r\n"
CHUNKED = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
ReadResult = tuple[list[Any], int]  # (method, target, body) of each message; the status of a rejection, or 0


def read_requests(raw: bytes, cuts: list[int] | None = None, ends: bool = True) -> ReadResult:
    """Read a connection's bytes with RequestReader, split at `cuts` into several calls of `feed`."""
    reader, messages, body = RequestReader(MAX_HEAD_BYTES), [], b""
    head: RequestHead | None = None
    for part in [*_split(raw, cuts or []), *([b""] if ends else [])]:
        reader.feed(part)
        try:
            while (event := reader.next_event()) is not None:
                match event:
                    case RequestHead():
                        head, body = event, b""
                    case Data(data=data):
                        body += data
                    case EndOfMessage():
                        assert head is not None
                        messages.append((head.method, head.target, body))
                        if not head.keep_alive:
                            return messages, 0
                        reader.start_next()
                    case ConnectionClosed():
                        return messages, 0
        except ProtocolError as error:
            return messages, error.status
    return messages, 0


def _split(raw: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(min(cut, len(raw)) for cut in cuts), len(raw)]
    return [raw[low:high] for low, high in pairwise(edges) if low < high]


def read_by_h11(raw: bytes) -> ReadResult:
    """Read a connection's bytes with h11."""
    connection, messages, body = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES), [], b""
    head: h11.Request | None = None
    connection.receive_data(raw)
    connection.receive_data(b"")
    try:
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                messages.append((head.method, head.target, body))
                connection.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
                connection.send(h11.EndOfMessage())
                if connection.our_state is not h11.DONE:
                    return messages, 0
                connection.start_next_cycle()
            else:
                return messages, 0
    except h11.RemoteProtocolError as error:
        return messages, error.error_status_hint


ACCEPTED: list[bytes] = [
    b"GET / HTTP/1.1\r\n" + HOST + b"\r\n",
    b"GET /?a=%20b HTTP/1.1\r\n" + HOST + b"Accept: */*\r\n\r\n",
    b"GET / HTTP/1.1\r\nHOST: h\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost:h\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost:  \t h \t\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost:\r\n\r\n",
    b"GET / HTTP/1.0\r\n\r\n",
    b"GET / HTTP/1.0\r\nHost: h\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"X-A:\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"X-A: \xe9\xff\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"X-A: a\r\nX-A: b\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"Connection: close\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"Connection: x-a, Close\r\n\r\nGET /2 HTTP/1.1\r\n" + HOST + b"\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"Upgrade: websocket\r\nConnection: upgrade\r\n\r\n",
    b"FIND / HTTP/1.1\r\n" + HOST + b"\r\n",  # a method that llhttp has no number for
    b"a!#$%&'*+-.^_`|~9 / HTTP/1.1\r\n" + HOST + b"\r\n",
    b"OPTIONS * HTTP/1.1\r\n" + HOST + b"\r\n",
    b"GET http://h/x HTTP/1.1\r\n" + HOST + b"\r\n",
    b"GET /1 HTTP/1.1\r\n" + HOST + b"\r\nGET /2 HTTP/1.1\r\n" + HOST + b"\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 0\r\n\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\nabc",
    b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 003\r\n\r\nabc",
    b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\nabcGET /2 HTTP/1.1\r\n" + HOST + b"\r\n",
    b"GET / HTTP/1.1\r\n" + HOST + b"Content-Length: 2\r\n\r\nab",
    b"POST / HTTP/1.1\r\n" + HOST + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\na",
    CHUNKED + b"0\r\n\r\n",
    b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    CHUNKED + b"00a\r\n0123456789\r\nB\r\n0123456789a\r\n0\r\n\r\n",
    CHUNKED + b"1;a=b;c\r\nx\r\n0;d\r\n\r\n",
    CHUNKED + b"1 \r\nx\r\n0\r\n\r\n",
    CHUNKED + b"1\r\nx\r\n0\r\nX-T: a\r\nX-U:\r\n\r\n",
    CHUNKED + b"1\r\nx\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n" + HOST + b"\r\n",
]
# Rejected by both; the status is that of RequestReader.
REJECTED: list[tuple[bytes, int]] = [
    (b"\r\nGET / HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"\nGET / HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b" GET / HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET  / HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET /  HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET / HTTP/1.1 \r\n" + HOST + b"\r\n", 400),
    (b"GET\t/ HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET / http/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET / HTTP/1.11\r\n" + HOST + b"\r\n", 400),
    (b"GET / HTTP/11\r\n" + HOST + b"\r\n", 400),
    (b"GET /\r\n" + HOST + b"\r\n", 400),
    (b"GET HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"/ HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET /a b HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET /\x00 HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET /\x7f HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET /\xe9 HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"G(T / HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    (b"GET / HTTP/1.1\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + HOST + b"X-A : b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + HOST + b"X-A\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + HOST + b": b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + HOST + b"X(A: b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: \x00\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: a\rb\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: +3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: -3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 0x3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3 3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3, 4\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length:\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 99999999999999999999999\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\nab", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", 501),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n0\r\n\r\n", 501),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: identity\r\n\r\n0\r\n\r\n", 501),
    (CHUNKED + b"g\r\nx\r\n0\r\n\r\n", 400),
    (CHUNKED + b"-1\r\nx\r\n0\r\n\r\n", 400),
    (CHUNKED + b"0x1\r\nx\r\n0\r\n\r\n", 400),
    (CHUNKED + b"\r\nx\r\n0\r\n\r\n", 400),
    (CHUNKED + b"1\r\nxy\r\n0\r\n\r\n", 400),
    (CHUNKED + b"1\r\nx", 400),
    (CHUNKED + b"1" + b"0" * 30 + b"\r\nx\r\n0\r\n\r\n", 400),
    (CHUNKED + b"0\r\nX T: a\r\n\r\n", 400),
    (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 /\r\n\r\n", 400),  # a TLS handshake on the port for plain HTTP
]
# Accepted by h11 and rejected by RequestReader.
STRICTER: list[tuple[bytes, int]] = [
    # A body without its length would be read as the next request (RFC 9110 7.6.1).
    (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\nconnection: close, content-length\r\n\r\nx", 400),
    (b"GET / HTTP/1.1\r\nhost: a\r\nconnection: Host\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nhost: a\r\nconnection: keep-alive\r\nconnection:\tContent-Length \r\n\r\n", 400),
    (
        b"GET / HTTP/1.1\r\n" + HOST + b"X-A: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n",
        431,
    ),  # the complete head arrives at once
    (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: \x01\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nX-A: a\r\n\tb\r\n" + HOST + b"\r\n", 400),
    (b"GET / HTTP/1.1\r\n" + HOST + b" X-A: b\r\n\r\n", 400),  # obsolete folding
    (b"GET / HTTP/1.1\nHost: h\n\n", 400),
    (b"GET / HTTP/1.1\r\nHost: h\n\r\n", 400),
    (b"GET / HTTP/2.0\r\n" + HOST + b"\r\n", 505),
    (b"GET / HTTP/1.2\r\n" + HOST + b"\r\n", 400),
    (b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400),
    (CHUNKED + b"1;a=\x01\r\nx\r\n0\r\n\r\n", 400),
]


@pytest.mark.parametrize("raw", ACCEPTED)
def test_accepted_requests_are_read_as_h11_reads_them(raw: bytes) -> None:
    read = read_requests(raw)
    assert read == read_by_h11(raw) and read[0] and not read[1]
    assert read_requests(raw, list(range(len(raw)))) == read  # byte by byte


@pytest.mark.parametrize(("raw", "status"), REJECTED)
def test_requests_that_h11_rejects_are_rejected(raw: bytes, status: int) -> None:
    assert read_by_h11(raw)[1], "h11 accepts it"
    assert read_requests(raw) == ([], status) == read_requests(raw, list(range(len(raw))))


@pytest.mark.parametrize(("raw", "status"), STRICTER)
def test_requests_that_only_h11_accepts_are_rejected(raw: bytes, status: int) -> None:
    assert read_by_h11(raw)[0]
    assert read_requests(raw) == ([], status)


@given(st.lists(st.sampled_from(ACCEPTED), min_size=1, max_size=4), st.lists(st.integers(0, 400), max_size=12))
@hypo(max_examples=150, deadline=None, derandomize=True)
def test_pipelined_requests_are_read_alike_however_the_bytes_are_split(raws: list[bytes], cuts: list[int]) -> None:
    raw = b"".join(raws)
    assert read_requests(raw, cuts) == read_requests(raw)


@given(st.lists(st.binary(min_size=1, max_size=40), max_size=20), st.lists(st.integers(0, 900), max_size=12))
@hypo(max_examples=150, deadline=None, derandomize=True)
def test_chunks_are_joined_to_the_body_that_was_sent(parts: list[bytes], cuts: list[int]) -> None:
    writer = h11.Connection(h11.CLIENT)
    out = writer.send(h11.Request(method="POST", target="/", headers=[("host", "h"), ("transfer-encoding", "chunked")]))
    raw = (out or b"") + b"".join(writer.send(h11.Data(data=part)) or b"" for part in parts)
    raw += writer.send(h11.EndOfMessage()) or b""
    assert read_requests(raw, cuts) == ([(b"POST", b"/", b"".join(parts))], 0)


@given(st.binary(max_size=60), st.sampled_from(ACCEPTED), st.integers(0, 80))
@hypo(max_examples=400, deadline=None, derandomize=True)
def test_random_bytes_are_rejected_if_h11_rejects_them(noise: bytes, raw: bytes, at: int) -> None:
    """Random bytes in a valid request raise only ProtocolError; a first request that h11 rejects is rejected."""
    damaged = raw[:at] + noise + raw[at:]
    ours, theirs = read_requests(damaged), read_by_h11(damaged)
    if theirs[1] and not theirs[0]:
        assert ours[1], "h11 rejects the first request"


def test_the_tables_have_at_least_90_different_requests() -> None:
    assert len({*ACCEPTED, *(raw for raw, _ in (*REJECTED, *STRICTER))}) >= 90


def test_pipelined_request_is_not_parsed_before_start_next() -> None:
    reader = RequestReader(MAX_HEAD_BYTES)
    reader.feed(ACCEPTED[0] + b"nonsense\r\n\r\n")
    assert isinstance(reader.next_event(), RequestHead) and isinstance(reader.next_event(), EndOfMessage)
    assert reader.next_event() is None and reader.buffered == len(b"nonsense\r\n\r\n")
    reader.start_next()
    with pytest.raises(ProtocolError):
        reader.next_event()


def test_body_of_100_000_chunks_of_one_byte_is_read() -> None:
    raw = CHUNKED + b"" + b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"
    [(_, _, body)], status = read_requests(raw, list(range(0, len(raw), 65536)))
    assert body == b"x" * 100_000 and not status


def test_incomplete_head_is_rejected_only_above_the_limit() -> None:
    reader = RequestReader(MAX_HEAD_BYTES)
    reader.feed(b"GET / HTTP/1.1\r\nX-A: " + b"a" * (MAX_HEAD_BYTES - 21))
    assert reader.next_event() is None
    reader.feed(b"a")
    with pytest.raises(ProtocolError, match="431"):
        reader.next_event()


# Responses ----------------------------------------------------------------------------------------------


def read_responses(raw: bytes, method: bytes = b"GET", ends: bool = True) -> tuple[list[tuple[int, bytes]], bool, bool]:
    """Status and body of each response; whether one was rejected; whether the connection persists."""
    reader, messages, body, keep = ResponseReader(MAX_HEAD_BYTES), [], b"", True
    reader.feed(raw)
    if ends:
        reader.feed(b"")
    reader.request_sent(method)
    head: ResponseHead | None = None
    try:
        while (event := reader.next_event()) is not None:
            if isinstance(event, ResponseHead):
                head, body, keep = event, b"", event.keep_alive
            elif isinstance(event, Data):
                body += event.data
            elif isinstance(event, EndOfMessage):
                assert head is not None
                messages.append((head.status, body))
                reader.start_next()
            else:
                break
    except ProtocolError:
        return messages, True, False
    return messages, False, keep


@pytest.mark.parametrize(
    ("raw", "method", "wanted"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", b"GET", [(200, b"ab")]),
        (b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab", b"GET", [(200, b"ab")]),
        (b"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nab", b"GET", [(200, b"ab")]),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", b"GET", [(200, b"ab")]),
        (b"HTTP/1.1 200 OK\r\n\r\nab", b"GET", [(200, b"ab")]),
        (b"HTTP/1.0 200 OK\r\n\r\nab", b"GET", [(200, b"ab")]),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", b"HEAD", [(200, b"")]),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", b"GET", [(304, b"")]),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b"GET", [(204, b"")]),
        (
            b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"GET",
            [(200, b"")],
        ),
        (
            b"HTTP/1.1 429 Slow\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"GET",
            [(429, b"x"), (200, b"")],
        ),
    ],
)
def test_responses_are_read_by_their_framing(raw: bytes, method: bytes, wanted: list[tuple[int, bytes]]) -> None:
    assert read_responses(raw, method)[:2] == (wanted, False)


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 99 X\r\n\r\n",
        b"HTTP/1.1 600 X\r\n\r\n",
        b"HTTP/1.1 20 X\r\n\r\n",
        b"HTTP/2.0 200 OK\r\n\r\n",
        b"HTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1  200 OK\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab",
        b"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
)
def test_invalid_responses_are_rejected(raw: bytes) -> None:
    messages, rejected, _ = read_responses(raw)
    assert rejected and not messages


def test_response_head_tells_whether_the_connection_persists() -> None:
    assert read_responses(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")[2]
    assert not read_responses(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")[2]
    assert not read_responses(b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n")[2]


# Writing requests ---------------------------------------------------------------------------------------


@given(
    st.lists(
        st.tuples(st.sampled_from([b"x-a", b"x-b"]), st.text("a:\r\n\0 \t", max_size=8).map(str.encode)), max_size=4
    ),
    st.text("/a \r\n\0", max_size=8).map(str.encode),
    st.booleans(),
)
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_no_header_or_target_can_add_a_line_to_a_request(more: Headers, target: bytes, host: bool) -> None:
    headers = [*([(b"host", b"h")] if host else []), *more]
    connection = Http1ClientConnection()
    try:
        raw = connection.encode_head(b"GET", target, headers) + connection.encode_end()
    except InvalidMessageError:
        assert not host or any(byte in b"".join((target, *(value for _, value in more))) for byte in b"\r\n\0 ")
        return
    reader = RequestReader(MAX_HEAD_BYTES)
    reader.feed(raw)
    try:
        head = reader.next_event()
    except ProtocolError:
        assert not target.startswith(b"/")  # every routed request has a target with a leading slash
        return
    assert isinstance(head, RequestHead) and (head.target, len(head.headers)) == (target, len(headers))
    assert isinstance(reader.next_event(), EndOfMessage) and not reader.buffered


def test_connection_is_reusable_only_after_a_complete_exchange() -> None:
    def reusable_after(response: bytes, *, request_complete: bool = True, chunked: bool = False) -> bool:
        connection = Http1ClientConnection()
        coding = [(b"transfer-encoding", b"chunked")] if chunked else [(b"content-length", b"2")]
        connection.encode_head(b"POST", b"/", [(b"host", b"h"), *coding])
        assert connection.encode_data(b"ab") == (b"2\r\nab\r\n" if chunked else b"ab")
        if request_complete:
            assert connection.encode_end() == (b"0\r\n\r\n" if chunked else b"")
        connection.feed(response)
        while isinstance(connection.next_event(), ResponseHead | Data):
            pass
        return connection.reusable

    good = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
    assert reusable_after(good) and reusable_after(good, chunked=True)
    assert not reusable_after(good, request_complete=False)  # the response came before the end of the request
    assert not reusable_after(good[:-1]) and not reusable_after(good + b"y")
    assert not reusable_after(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
