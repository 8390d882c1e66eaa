"""Forward authentication: the gateway answers the sub-requests of an edge proxy."""

from __future__ import annotations

import json

import pytest
from google.protobuf import text_format
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.auth.answerer import Answerer, SubjectRequest
from martenstep.auth.core import Unasked
from martenstep.config import door_pb2 as pb
from martenstep.config.loading import parse_door
from martenstep.config.text_format import SettingsError
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_factory import make_engine
from tests.engine_rig import NOTHING_HELD, SETTINGS, Rig, header

SETTINGS_LINES = [line for line in SETTINGS.split("\n") if not line.startswith("members")]
IDEMPOTENT_SETTINGS = (
    "\n".join(SETTINGS_LINES).replace("effect: KEYED group: ZONE window_ms: 3000", "").replace("effect: UNSAFE", "")
)
FORWARD_AUTH_SETTINGS = IDEMPOTENT_SETTINGS + "forward_auth { trusted_peer: '10.0.0.0/8' }\n"


class ForwardAuthRig(Rig):
    """A gateway that answers the sub-requests of an edge proxy."""

    def __init__(self, more: str = "") -> None:
        gateway = parse_door(FORWARD_AUTH_SETTINGS, "d")
        text_format.Merge(more, gateway)
        self.engine = make_engine(gateway, 1)
        self.now, self.actions, self._request_id = 100_000.0, [], 0

    def send_sub_request(
        self, uri: str = "/read/1", customer: str = "free", peer: str = "10.0.0.1", **more: str
    ) -> int:
        self._request_id += 1
        headers = {
            "x-forwarded-method": "GET",
            "x-forwarded-uri": uri,
            "x-customer": customer,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        self.handle(
            ev.RequestReceived(
                self._request_id,
                b"GET",
                b"/auth",
                [(name.encode(), value.encode()) for name, value in headers.items() if value],
                peer,
            )
        )
        return self._request_id


def test_allowed_request_is_answered_with_customer_and_rate_limits() -> None:
    rig = ForwardAuthRig()
    request_id = rig.send_sub_request(customer="anna")
    rig.answer_counter_calls(1.0)
    reply = rig.reply(request_id)
    assert reply.status == 200 and reply.body == b"" and header(reply, "x-customer") == "anna"
    assert header(reply, "ratelimit-policy") == '"plain";q=20;w=2' and header(reply, "ratelimit")
    assert not rig.actions_of(ev.OpenAttempt) and rig.held() == NOTHING_HELD


def test_request_beyond_its_quota_is_rejected_with_retry_after() -> None:
    rig = ForwardAuthRig()
    request_id = rig.send_sub_request(customer="anna")
    rig.answer_counter_calls(500.0)
    reply = rig.reply(request_id)
    assert reply.status == 429 and float(header(reply, "retry-after-ms") or "0") > 0
    assert json.loads(reply.body)["reason"] == "quota"


def test_allowed_requests_leave_no_attempt_in_the_concurrency_limit() -> None:
    rig = ForwardAuthRig()
    request_ids = [rig.send_sub_request() for _ in range(500)]
    assert all(rig.reply(request_id).status == 200 for request_id in request_ids) and rig.held() == NOTHING_HELD
    assert rig.engine._policy.gateway._cluster.limit.in_flight == 0


def test_sub_request_is_routed_by_the_request_that_it_describes() -> None:
    rig = ForwardAuthRig()
    assert rig.reply(rig.send_sub_request("/nope")).status == 404
    assert rig.reply(rig.send_sub_request("/read/../pay/1")).status == 400
    assert rig.reply(rig.send_sub_request(customer="nobody")).status == 403


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"peer": "192.0.2.7"}, 403),
        ({"peer": ""}, 403),
        ({"peer": "not an address"}, 403),
        ({"peer": "::ffff:10.1.2.3"}, 200),
        ({"x_forwarded_uri": ""}, 400),
        ({"x_forwarded_method": ""}, 400),
        ({"x_forwarded_method": "G E T"}, 400),
        ({"uri": "/read/" + "x" * 9000}, 414),
        ({"uri": "/read/ 1"}, 400),
    ],
)
def test_sub_request_from_an_untrusted_peer_or_without_one_valid_request_is_rejected(
    changes: dict[str, str], status: int
) -> None:
    rig = ForwardAuthRig()
    assert rig.reply(rig.send_sub_request(**changes)).status == status


@pytest.mark.parametrize(("secret", "status"), [("s3cret", 200), ("s3cre", 403), ("", 403), ("S3CRET", 403)])
def test_sub_request_must_have_the_shared_secret_if_one_is_set(secret: str, status: int) -> None:
    rig = ForwardAuthRig("forward_auth { secret_header: 'X-Edge' secret: 's3cret' }")
    assert rig.reply(rig.send_sub_request(x_edge=secret)).status == status


def test_duplicate_headers_also_with_underscores_are_rejected() -> None:
    for duplicate in (b"x-forwarded-uri", b"x_forwarded_uri", b"x-forwarded_uri"):
        rig = ForwardAuthRig()
        rig.handle(
            ev.RequestReceived(
                1,
                b"GET",
                b"/auth",
                [
                    (b"x-forwarded-method", b"GET"),
                    (b"x-forwarded-uri", b"/read/1"),
                    (duplicate, b"/pay/1"),
                    (b"x-customer", b"free"),
                ],
                "10.0.0.1",
            )
        )
        assert rig.reply(1).status == 400


def read_sub_request(
    profile: pb.ForwardAuth.Profile, target: bytes, headers: list[tuple[bytes, bytes]]
) -> SubjectRequest | Unasked:
    return Answerer(pb.ForwardAuth(profile=profile)).read(b"POST", target, headers, "127.0.0.1")


def test_profiles_of_common_proxies() -> None:
    about = SubjectRequest(b"PUT", b"/read/1?x=1")
    forwarded = [(b"x-forwarded-method", b"PUT"), (b"x-forwarded-uri", b"/read/1?x=1")]
    assert read_sub_request(pb.ForwardAuth.FORWARDED, b"/auth", forwarded) == about
    for name in (b"x-original-uri", b"x-original-url"):
        original = [(b"x-original-method", b"put"), (name, b"/read/1?x=1")]
        assert read_sub_request(pb.ForwardAuth.ORIGINAL, b"/auth", original) == about
    assert read_sub_request(pb.ForwardAuth.SAME, b"/auth/read/1?x=1", []) == SubjectRequest(b"POST", b"/read/1?x=1")
    assert read_sub_request(pb.ForwardAuth.SAME, b"/auth", []) == SubjectRequest(b"POST", b"/")
    assert read_sub_request(pb.ForwardAuth.SAME, b"/authority/read", []) == Unasked(404, "no route")
    assert read_sub_request(pb.ForwardAuth.ORIGINAL, b"/auth", forwarded) == Unasked(400, "no request told")


@given(
    st.lists(
        st.tuples(
            st.sampled_from([b"x-forwarded-uri", b"x_forwarded_uri", b"x-forwarded-method", b"x-a"]),
            st.binary(max_size=30),
        ),
        max_size=5,
    ),
    st.binary(max_size=30),
    st.text(max_size=20),
)
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_random_sub_requests_raise_no_error(headers: list[tuple[bytes, bytes]], target: bytes, peer: str) -> None:
    found = Answerer(pb.ForwardAuth()).read(b"GET", b"/auth" + target, headers, peer or "127.0.0.1")
    assert isinstance(found, Unasked) or not any(byte <= 0x20 for byte in found.target)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (SETTINGS + "forward_auth { }", "given beside members"),
        (IDEMPOTENT_SETTINGS + "forward_auth { trusted_peer: '10.0.0.1/8' }", "has host bits set"),
        (IDEMPOTENT_SETTINGS + "forward_auth { path_prefix: 'x' }", "expected a path"),
        ("\n".join(SETTINGS_LINES) + "forward_auth { }", "SAFE is all that fits"),
    ],
)
def test_invalid_settings_are_rejected(text: str, message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        parse_door(text, "d")
