"""Framing, case by case, by our readers and by h11: what h11 refuses is refused, what both take they read alike."""

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

BOUND = 2000
HOST = b"Host: h\r\n"
CHUNKED = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
Read = tuple[list[Any], int]  # messages, as (method, target, body) or (status, body); a status of refusal, or 0


def requests(raw: bytes, cuts: list[int] | None = None, ends: bool = True) -> Read:
    """What our reader makes of a connection's bytes, cut into so many feeds."""
    reader, made, body = RequestReader(BOUND), [], b""
    head: RequestHead | None = None
    for part in [*_cut(raw, cuts or []), *([b""] if ends else [])]:
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
                        made.append((head.method, head.target, body))
                        if not head.keep_alive:
                            return made, 0
                        reader.start_next()
                    case ConnectionClosed():
                        return made, 0
        except ProtocolError as fault:
            return made, fault.status
    return made, 0


def _cut(raw: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(min(cut, len(raw)) for cut in cuts), len(raw)]
    return [raw[low:high] for low, high in pairwise(edges) if low < high]


def by_h11(raw: bytes) -> Read:
    """What h11 makes of them."""
    connection, made, body = h11.Connection(h11.SERVER, max_incomplete_event_size=BOUND), [], b""
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
                made.append((head.method, head.target, body))
                connection.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
                connection.send(h11.EndOfMessage())
                if connection.our_state is not h11.DONE:
                    return made, 0
                connection.start_next_cycle()
            else:
                return made, 0
    except h11.RemoteProtocolError as error:
        return made, error.error_status_hint


OK: list[bytes] = [
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
# Refused by both, with our status.
BAD: list[tuple[bytes, int]] = [
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
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 /\r\n\r\n", 400),  # TLS on the clear port
]
# Taken by h11 and not here.
STRICTER: list[tuple[bytes, int]] = [
    (b"GET / HTTP/1.1\r\n" + HOST + b"X-A: " + b"a" * BOUND + b"\r\n\r\n", 431),  # whole at once
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


@pytest.mark.parametrize("raw", OK)
def test_what_is_taken_is_read_as_h11_reads_it(raw: bytes) -> None:
    read = requests(raw)
    assert read == by_h11(raw) and read[0] and not read[1]
    assert requests(raw, list(range(len(raw)))) == read  # byte by byte


@pytest.mark.parametrize(("raw", "status"), BAD)
def test_what_h11_refuses_is_refused(raw: bytes, status: int) -> None:
    assert by_h11(raw)[1], "h11 takes it"
    assert requests(raw) == ([], status) == requests(raw, list(range(len(raw))))


@pytest.mark.parametrize(("raw", "status"), STRICTER)
def test_what_only_h11_takes_is_refused_on_purpose(raw: bytes, status: int) -> None:
    assert by_h11(raw)[0]
    assert requests(raw) == ([], status)


@given(st.lists(st.sampled_from(OK), min_size=1, max_size=4), st.lists(st.integers(0, 400), max_size=12))
@hypo(max_examples=150, deadline=None, derandomize=True)
def test_pipelined_requests_read_the_same_however_they_are_cut(raws: list[bytes], cuts: list[int]) -> None:
    raw = b"".join(raws)
    assert requests(raw, cuts) == requests(raw)


@given(st.lists(st.binary(min_size=1, max_size=40), max_size=20), st.lists(st.integers(0, 900), max_size=12))
@hypo(max_examples=150, deadline=None, derandomize=True)
def test_any_chunks_come_together_as_what_was_sent(parts: list[bytes], cuts: list[int]) -> None:
    writer = h11.Connection(h11.CLIENT)
    out = writer.send(h11.Request(method="POST", target="/", headers=[("host", "h"), ("transfer-encoding", "chunked")]))
    raw = (out or b"") + b"".join(writer.send(h11.Data(data=part)) or b"" for part in parts)
    raw += writer.send(h11.EndOfMessage()) or b""
    assert requests(raw, cuts) == ([(b"POST", b"/", b"".join(parts))], 0)


@given(st.binary(max_size=60), st.sampled_from(OK), st.integers(0, 80))
@hypo(max_examples=400, deadline=None, derandomize=True)
def test_no_bytes_bring_it_down_and_what_h11_refuses_first_is_refused(noise: bytes, raw: bytes, at: int) -> None:
    """Noise in the middle of a good request: never taken as more than h11 takes."""
    spoilt = raw[:at] + noise + raw[at:]
    ours, theirs = requests(spoilt), by_h11(spoilt)
    if theirs[1] and not theirs[0]:
        assert ours[1], "h11 refuses its first request"


def test_the_table_is_long_enough_to_mean_something() -> None:
    assert len({*OK, *(raw for raw, _ in (*BAD, *STRICTER))}) >= 90


def test_the_next_request_is_not_looked_at_before_its_turn() -> None:
    reader = RequestReader(BOUND)
    reader.feed(OK[0] + b"nonsense\r\n\r\n")
    assert isinstance(reader.next_event(), RequestHead) and isinstance(reader.next_event(), EndOfMessage)
    assert reader.next_event() is None and reader.buffered == len(b"nonsense\r\n\r\n")
    reader.start_next()
    with pytest.raises(ProtocolError):
        reader.next_event()


def test_a_hundred_thousand_chunks_of_one_byte_are_read() -> None:
    raw = CHUNKED + b"" + b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"
    [(_, _, body)], status = requests(raw, list(range(0, len(raw), 65536)))
    assert body == b"x" * 100_000 and not status


def test_a_head_without_end_is_refused_at_the_bound_and_not_before() -> None:
    reader = RequestReader(BOUND)
    reader.feed(b"GET / HTTP/1.1\r\nX-A: " + b"a" * (BOUND - 21))
    assert reader.next_event() is None
    reader.feed(b"a")
    with pytest.raises(ProtocolError, match="431"):
        reader.next_event()


# Answers ------------------------------------------------------------------------------------------------


def answers(raw: bytes, method: bytes = b"GET", ends: bool = True) -> tuple[list[tuple[int, bytes]], bool, bool]:
    """Status and body of each answer; whether they were refused; whether the connection may go on."""
    reader, made, body, keep = ResponseReader(BOUND), [], b"", True
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
                made.append((head.status, body))
                reader.start_next()
            else:
                break
    except ProtocolError:
        return made, True, False
    return made, False, keep


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
def test_answers_are_read_by_their_framing(raw: bytes, method: bytes, wanted: list[tuple[int, bytes]]) -> None:
    assert answers(raw, method)[:2] == (wanted, False)


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
def test_an_answer_that_is_none_is_refused(raw: bytes) -> None:
    made, refused, _ = answers(raw)
    assert refused and not made


def test_an_answer_that_ends_its_connection_says_so() -> None:
    assert answers(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")[2]
    assert not answers(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")[2]
    assert not answers(b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n")[2]


# Asking -------------------------------------------------------------------------------------------------


@given(
    st.lists(
        st.tuples(st.sampled_from([b"x-a", b"x-b"]), st.text("a:\r\n\0 \t", max_size=8).map(str.encode)), max_size=4
    ),
    st.text("/a \r\n\0", max_size=8).map(str.encode),
    st.booleans(),
)
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_no_header_or_target_opens_a_line_of_its_own(more: Headers, target: bytes, host: bool) -> None:
    headers = [*([(b"host", b"h")] if host else []), *more]
    asking = Http1ClientConnection()
    try:
        raw = asking.encode_head(b"GET", target, headers) + asking.encode_end()
    except InvalidMessageError:
        assert not host or any(byte in b"".join((target, *(value for _, value in more))) for byte in b"\r\n\0 ")
        return
    reader = RequestReader(BOUND)
    reader.feed(raw)
    try:
        head = reader.next_event()
    except ProtocolError:
        assert not target.startswith(b"/")  # which no request that is routed has
        return
    assert isinstance(head, RequestHead) and (head.target, len(head.headers)) == (target, len(headers))
    assert isinstance(reader.next_event(), EndOfMessage) and not reader.buffered


def test_a_connection_is_asked_again_only_when_all_of_the_last_is_whole() -> None:
    def asked(answer: bytes, *, whole: bool = True, chunked: bool = False) -> bool:
        asking = Http1ClientConnection()
        coding = [(b"transfer-encoding", b"chunked")] if chunked else [(b"content-length", b"2")]
        asking.encode_head(b"POST", b"/", [(b"host", b"h"), *coding])
        assert asking.encode_data(b"ab") == (b"2\r\nab\r\n" if chunked else b"ab")
        if whole:
            assert asking.encode_end() == (b"0\r\n\r\n" if chunked else b"")
        asking.feed(answer)
        while isinstance(asking.next_event(), ResponseHead | Data):
            pass
        return asking.reusable

    good = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
    assert asked(good) and asked(good, chunked=True)
    assert not asked(good, whole=False)  # an early answer
    assert not asked(good[:-1]) and not asked(good + b"y")
    assert not asked(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
