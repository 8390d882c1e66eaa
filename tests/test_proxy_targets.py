"""Targets in their four forms, Hosts beside them, and that nothing is written which a server reads otherwise."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.proxy.engine_messages import Headers
from martenstep.proxy.http1.client_connection import Http1ClientConnection
from martenstep.proxy.targets import NormalizedTarget, TargetNormalizer, TargetRejection, split_authority

HOST: Headers = [(b"host", b"a.example"), (b"accept", b"*/*")]
TABLE: list[tuple[bytes, bytes, int | tuple[bytes, bytes]]] = [
    # method, target; a status, or the target and Host that go on
    (b"GET", b"/x", (b"/x", b"a.example")),
    (b"GET", b"/x?y#z", (b"/x?y#z", b"a.example")),
    (b"GET", b"//b.example/x", (b"//b.example/x", b"a.example")),  # a path, whatever it looks like
    (b"GET", b"http://b.example/x", (b"/x", b"b.example")),
    (b"GET", b"HTTP://B.example:8080/x?y=/z", (b"/x?y=/z", b"B.example:8080")),
    (b"GET", b"http://b.example", (b"/", b"b.example")),
    (b"GET", b"http://b.example?y", (b"/?y", b"b.example")),
    (b"GET", b"http://b.example:/x", (b"/x", b"b.example:")),
    (b"GET", b"http://[2001:db8::1]:80/x", (b"/x", b"[2001:db8::1]:80")),
    (b"GET", b"http://127.0.0.1/x", (b"/x", b"127.0.0.1")),
    (b"GET", b"https://b.example/x", 421),
    (b"GET", b"ftp://b.example/x", 400),
    (b"GET", b"http:///x", 400),
    (b"GET", b"http:/x", 400),
    (b"GET", b"http://", 400),
    (b"GET", b"http://user@b.example/x", 400),
    (b"GET", b"http://user:pw@b.example/x", 400),
    (b"GET", b"http://b.example:0/x", 400),
    (b"GET", b"http://b.example:70000/x", 400),
    (b"GET", b"http://b.example:80a/x", 400),
    (b"GET", b"http://[::1/x", 400),
    (b"GET", b"http://::1/x", 400),
    (b"GET", b"http://b.example#f/x", 400),
    (b"GET", b"b.example:443", 400),
    (b"GET", b"x", 400),
    (b"GET", b"*", 400),
    (b"POST", b"*", 400),
    (b"OPTIONS", b"*", 204),
    (b"OPTIONS", b"/x", (b"/x", b"a.example")),
    (b"OPTIONS", b"http://b.example", (b"/", b"b.example")),
    (b"CONNECT", b"b.example:443", 405),
    (b"CONNECT", b"/x", 405),
    (b"CONNECT", b"http://b.example/x", 405),
]


@pytest.mark.parametrize(("method", "target", "wanted"), TABLE)
def test_each_form_is_taken_or_declined(method: bytes, target: bytes, wanted: int | tuple[bytes, bytes]) -> None:
    found = TargetNormalizer(False, []).normalize(method, target, HOST)
    if isinstance(found, TargetRejection):
        assert found.status == wanted
    else:
        assert (found.target, dict(found.headers)[b"host"]) == wanted
        assert (b"accept", b"*/*") in found.headers
        assert sum(name == b"host" for name, _ in found.headers) == 1


def test_a_declined_tunnel_ends_its_connection_and_says_what_is_taken() -> None:
    found = TargetNormalizer(False, []).normalize(b"CONNECT", b"b.example:443", HOST)
    assert isinstance(found, TargetRejection)
    assert (b"connection", b"close") in found.headers and dict(found.headers)[b"allow"]


@pytest.mark.parametrize(
    ("host", "target", "status"),
    [
        (b"photos.example", b"/x", 200),
        (b"PHOTOS.example:443", b"/x", 200),
        (b"photos.example:8443", b"/x", 200),
        (b"b.example:8443", b"/x", 200),
        (b"b.example", b"/x", 421),
        (b"[::1]", b"/x", 200),
        (b"other", b"/x", 421),
        (b"a b", b"/x", 400),
        (b"other", b"https://photos.example/x", 200),
        (b"photos.example", b"https://other/x", 421),
        (b"photos.example", b"http://photos.example/x", 421),
    ],
)
def test_a_door_that_knows_its_names_answers_for_no_others(host: bytes, target: bytes, status: int) -> None:
    names = ["photos.example", "b.example:8443", "[::1]:443"]
    found = TargetNormalizer(True, names).normalize(b"GET", target, [(b"host", host)])
    assert (found.status if isinstance(found, TargetRejection) else 200) == status


def test_authorities_are_taken_apart() -> None:
    assert split_authority(b"A.example:80") == ("a.example", 80)
    assert split_authority(b"[::1]") == ("::1", None)
    assert split_authority(b"") is None and split_authority(b"a@b") is None and split_authority(b"a:b") is None


NAMES = st.sampled_from([b"accept", b"x-a", b"cookie", b"content-type"])
VALUES = st.text('abc ;=,/"', max_size=12).map(lambda text: text.strip().encode())
VISIBLE = "/abc?&=%#:@[]*!$'()+,;._~-"


@given(
    st.sampled_from([b"GET", b"POST", b"OPTIONS", b"DELETE"]),
    st.one_of(
        st.text(VISIBLE, min_size=1, max_size=20),
        st.text(VISIBLE, max_size=20).map("/{}".format),
        st.text(VISIBLE, max_size=20).map("http://h.example{}".format),
    ),
    st.lists(st.tuples(NAMES, VALUES), max_size=4),
    st.sampled_from([b"h", b"[::1]:8", b"h.example"]),
)
@hypo(max_examples=400, deadline=None, derandomize=True)
def test_what_is_taken_is_written_so_that_a_server_reads_the_same(
    method: bytes, target: str, more: Headers, host: bytes
) -> None:
    found = TargetNormalizer(False, []).normalize(method, target.encode(), [(b"host", host), *more])
    if isinstance(found, TargetRejection):
        return
    assert isinstance(found, NormalizedTarget) and found.target.startswith(b"/")
    server = h11.Connection(h11.SERVER)
    asking = Http1ClientConnection()
    server.receive_data(asking.encode_head(method, found.target, found.headers) + asking.encode_end())
    read = server.next_event()
    assert isinstance(read, h11.Request) and (read.method, read.target) == (method, found.target)
    assert sorted(read.headers) == sorted(found.headers)
    assert isinstance(server.next_event(), h11.EndOfMessage) and not server.trailing_data[0]
