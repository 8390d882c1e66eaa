"""The door as the one that is asked by an edge proxy."""

from __future__ import annotations

import json

import pytest
from google.protobuf import text_format
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.auth.answerer import About, Answerer
from martenstep.auth.core import Unasked
from martenstep.config import door_pb2 as pb
from martenstep.config.loading import parse_door
from martenstep.config.text_format import SettingsError
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_factory import make_engine
from tests.engine_rig import NOTHING_HELD, SETTINGS, Rig, header

LINES = [line for line in SETTINGS.split("\n") if not line.startswith("members")]
SAFE = "\n".join(LINES).replace("effect: KEYED group: ZONE window_ms: 3000", "").replace("effect: UNSAFE", "")
FORWARDED = SAFE + "forward_auth { trusted_peer: '10.0.0.0/8' }\n"


class Asked(Rig):
    """A door that is asked."""

    def __init__(self, more: str = "") -> None:
        door = parse_door(FORWARDED, "d")
        text_format.Merge(more, door)
        self.engine = make_engine(door, 1)
        self.now, self.actions, self._request_id = 100_000.0, [], 0

    def sub(self, uri: str = "/read/1", customer: str = "free", peer: str = "10.0.0.1", **more: str) -> int:
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


def test_a_request_that_may_pass_is_answered_at_once_with_what_is_left() -> None:
    rig = Asked()
    request_id = rig.sub(customer="anna")
    rig.answer_counter_calls(1.0)
    reply = rig.reply(request_id)
    assert reply.status == 200 and reply.body == b"" and header(reply, "x-customer") == "anna"
    assert header(reply, "ratelimit-policy") == '"plain";q=20;w=2' and header(reply, "ratelimit")
    assert not rig.actions_of(ev.OpenAttempt) and rig.held() == NOTHING_HELD


def test_one_beyond_its_quota_is_told_when_to_come_back() -> None:
    rig = Asked()
    request_id = rig.sub(customer="anna")
    rig.answer_counter_calls(500.0)
    reply = rig.reply(request_id)
    assert reply.status == 429 and float(header(reply, "retry-after-ms") or "0") > 0
    assert json.loads(reply.body)["reason"] == "quota"


def test_each_send_has_its_outcome_so_that_the_module_never_closes_its_brake() -> None:
    rig = Asked()
    request_ids = [rig.sub() for _ in range(500)]
    assert all(rig.reply(request_id).status == 200 for request_id in request_ids) and rig.held() == NOTHING_HELD
    assert rig.engine._policy.gateway._cluster.limit.in_flight == 0


def test_a_sub_request_is_routed_by_what_it_asks_about() -> None:
    rig = Asked()
    assert rig.reply(rig.sub("/nope")).status == 404
    assert rig.reply(rig.sub("/read/../pay/1")).status == 400
    assert rig.reply(rig.sub(customer="nobody")).status == 403


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
def test_what_does_not_tell_of_one_request_by_a_trusted_peer_is_turned_away(
    changes: dict[str, str], status: int
) -> None:
    rig = Asked()
    assert rig.reply(rig.sub(**changes)).status == status


@pytest.mark.parametrize(("shown", "status"), [("s3cret", 200), ("s3cre", 403), ("", 403), ("S3CRET", 403)])
def test_a_shared_secret_must_be_shown_where_one_is_set(shown: str, status: int) -> None:
    rig = Asked("forward_auth { secret_header: 'X-Edge' secret: 's3cret' }")
    assert rig.reply(rig.sub(x_edge=shown)).status == status


def test_doubled_or_underscored_twins_are_turned_away() -> None:
    for twin in (b"x-forwarded-uri", b"x_forwarded_uri", b"x-forwarded_uri"):
        rig = Asked()
        rig.handle(
            ev.RequestReceived(
                1,
                b"GET",
                b"/auth",
                [
                    (b"x-forwarded-method", b"GET"),
                    (b"x-forwarded-uri", b"/read/1"),
                    (twin, b"/pay/1"),
                    (b"x-customer", b"free"),
                ],
                "10.0.0.1",
            )
        )
        assert rig.reply(1).status == 400


def asked(profile: pb.ForwardAuth.Profile, target: bytes, headers: list[tuple[bytes, bytes]]) -> About | Unasked:
    return Answerer(pb.ForwardAuth(profile=profile)).read(b"POST", target, headers, "127.0.0.1")


def test_the_profiles_of_the_common_proxies() -> None:
    about = About(b"PUT", b"/read/1?x=1")
    forwarded = [(b"x-forwarded-method", b"PUT"), (b"x-forwarded-uri", b"/read/1?x=1")]
    assert asked(pb.ForwardAuth.FORWARDED, b"/auth", forwarded) == about
    for name in (b"x-original-uri", b"x-original-url"):
        told = [(b"x-original-method", b"put"), (name, b"/read/1?x=1")]
        assert asked(pb.ForwardAuth.ORIGINAL, b"/auth", told) == about
    assert asked(pb.ForwardAuth.SAME, b"/auth/read/1?x=1", []) == About(b"POST", b"/read/1?x=1")
    assert asked(pb.ForwardAuth.SAME, b"/auth", []) == About(b"POST", b"/")
    assert asked(pb.ForwardAuth.SAME, b"/authority/read", []) == Unasked(404, "no route")
    assert asked(pb.ForwardAuth.ORIGINAL, b"/auth", forwarded) == Unasked(400, "no request told")


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
def test_no_sub_request_brings_it_down(headers: list[tuple[bytes, bytes]], target: bytes, peer: str) -> None:
    found = Answerer(pb.ForwardAuth()).read(b"GET", b"/auth" + target, headers, peer or "127.0.0.1")
    assert isinstance(found, Unasked) or not any(byte <= 0x20 for byte in found.target)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (SETTINGS + "forward_auth { }", "given beside members"),
        (SAFE + "forward_auth { trusted_peer: '10.0.0.1/8' }", "has host bits set"),
        (SAFE + "forward_auth { path_prefix: 'x' }", "expected a path"),
        ("\n".join(LINES) + "forward_auth { }", "SAFE is all that fits"),
    ],
)
def test_settings_are_checked(text: str, told: str) -> None:
    with pytest.raises(SettingsError, match=told):
        parse_door(text, "d")
