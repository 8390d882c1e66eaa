"""The four forms of a target with their Hosts, and that endpoints parse the forwarded request as intended."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from martenstep.proxy.engine_messages import Headers
from martenstep.proxy.http1.client_connection import Http1ClientConnection
from martenstep.proxy.targets import NormalizedTarget, TargetNormalizer, TargetRejection, split_authority

HOST: Headers = [(b"host", b"a.example"), (b"accept", b"*/*")]
TARGET_CASES: list[tuple[bytes, bytes, int | tuple[bytes, bytes]]] = [
    # method, target, and the status of the rejection or the forwarded target and Host
    (b"GET", b"/x", (b"/x", b"a.example")),
    (b"GET", b"/x?y#z", (b"/x?y#z", b"a.example")),
    (b"GET", b"//b.example/x", (b"//b.example/x", b"a.example")),  # a path, although it looks like an authority
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


@pytest.mark.parametrize(("method", "target", "expected"), TARGET_CASES)
def test_each_form_of_target_is_normalized_or_rejected(
    method: bytes, target: bytes, expected: int | tuple[bytes, bytes]
) -> None:
    result = TargetNormalizer(False, []).normalize(method, target, HOST)
    if isinstance(result, TargetRejection):
        assert result.status == expected
    else:
        assert (result.target, dict(result.headers)[b"host"]) == expected
        assert (b"accept", b"*/*") in result.headers
        assert sum(name == b"host" for name, _ in result.headers) == 1


def test_connect_is_rejected_with_allow_and_closes_the_connection() -> None:
    result = TargetNormalizer(False, []).normalize(b"CONNECT", b"b.example:443", HOST)
    assert isinstance(result, TargetRejection)
    assert (b"connection", b"close") in result.headers and dict(result.headers)[b"allow"]


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
def test_a_gateway_with_configured_names_rejects_other_hosts(host: bytes, target: bytes, status: int) -> None:
    names = ["photos.example", "b.example:8443", "[::1]:443"]
    result = TargetNormalizer(True, names).normalize(b"GET", target, [(b"host", host)])
    assert (result.status if isinstance(result, TargetRejection) else 200) == status


def test_authorities_are_split_into_host_and_port() -> None:
    assert split_authority(b"A.example:80") == ("a.example", 80)
    assert split_authority(b"[::1]") == ("::1", None)
    assert split_authority(b"") is None and split_authority(b"a@b") is None and split_authority(b"a:b") is None


NAMES = st.sampled_from([b"accept", b"x-a", b"cookie", b"content-type"])
VALUES = st.text('abc ;=,/"', max_size=12).map(lambda text: text.strip().encode())
TARGET_CHARACTERS = "/abc?&=%#:@[]*!$'()+,;._~-"


@given(
    st.sampled_from([b"GET", b"POST", b"OPTIONS", b"DELETE"]),
    st.one_of(
        st.text(TARGET_CHARACTERS, min_size=1, max_size=20),
        st.text(TARGET_CHARACTERS, max_size=20).map("/{}".format),
        st.text(TARGET_CHARACTERS, max_size=20).map("http://h.example{}".format),
    ),
    st.lists(st.tuples(NAMES, VALUES), max_size=4),
    st.sampled_from([b"h", b"[::1]:8", b"h.example"]),
)
@hypothesis_settings(max_examples=400, deadline=None, derandomize=True)
def test_a_forwarded_request_is_read_unchanged_by_another_http_parser(
    method: bytes, target: str, extra_headers: Headers, host: bytes
) -> None:
    result = TargetNormalizer(False, []).normalize(method, target.encode(), [(b"host", host), *extra_headers])
    if isinstance(result, TargetRejection):
        return
    assert isinstance(result, NormalizedTarget) and result.target.startswith(b"/")
    server = h11.Connection(h11.SERVER)
    upstream = Http1ClientConnection()
    server.receive_data(upstream.encode_head(method, result.target, result.headers) + upstream.encode_end())
    event = server.next_event()
    assert isinstance(event, h11.Request) and (event.method, event.target) == (method, result.target)
    assert sorted(event.headers) == sorted(result.headers)
    assert isinstance(server.next_event(), h11.EndOfMessage) and not server.trailing_data[0]
