"""A gateway that checks requests at an authentication service first: in virtual time, and on sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from martenstep.config.loading import parse_door
from martenstep.config.text_format import SettingsError
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_messages import AttemptFailure
from tests.engine_rig import NOTHING_HELD, SETTINGS, Rig, header
from tests.socket_rig import Peer, RunningGateway, Script, ScriptedServer, request_head, run, running_gateway

AUTH_SETTINGS = """
auth { service { port: 7001 } service { port: 7002 } attempt_ms: 300
  copy_header: "x-auth-customer" copy_header: "x-role" }
default_plan: "open"
route { name: "safe" path_prefix: "/safe/" class: "read" authenticate: true }
route { name: "loose" path_prefix: "/loose/" class: "read" authenticate: true fail_open: true }
route { name: "bill" path_prefix: "/bill/" class: "pay" authenticate: true }
"""
ALLOW_HEADERS: ev.Headers = [(b"x-auth-customer", b"anna"), (b"x-role", b"owner"), (b"x-secret", b"s")]


class AuthRig(Rig):
    """A rig with authentication services, whose last check the test answers."""

    def __init__(self, more: str = "") -> None:
        super().__init__(AUTH_SETTINGS + more)

    def last_check(self) -> ev.StartAuthCheck:
        return self.actions_of(ev.StartAuthCheck)[-1]

    def send_verdict(self, status: int = 200, headers: ev.Headers | None = None, body: bytes = b"") -> list[ev.Action]:
        check = self.last_check()
        return self.handle(
            ev.AuthCheckReplied(
                check.check_id, check.attempt, status, ALLOW_HEADERS if headers is None else headers, body
            )
        )


def test_no_request_is_forwarded_without_a_verdict_and_only_the_service_sets_identity_headers() -> None:
    rig = AuthRig()
    request_id = rig.send(
        "/safe/1",
        authorization="Bearer t",
        cookie="c=1",
        x_auth_customer="eve",
        x_role="admin",
        x_forwarded_uri="/else",
        accept="image/*",
    )
    assert not rig.actions_of(ev.OpenAttempt) and not rig.actions_of(ev.AddToCounter)
    check = rig.last_check()
    headers = dict(check.headers)
    assert check.target == b"/auth" and headers[b"authorization"] == b"Bearer t" and headers[b"cookie"] == b"c=1"
    assert headers[b"x-forwarded-uri"] == b"/safe/1" and headers[b"x-forwarded-method"] == b"GET"
    assert headers[b"x-forwarded-for"] == b"10.0.0.1" and b"accept" not in headers and b"x-auth-customer" not in headers
    rig.send_verdict()
    assert rig.actions_of(ev.AddToCounter)  # anna's plan has a quota, so that the policy needs the counter
    rig.answer_counter_calls(1.0)
    sent = rig.last_attempt(request_id)
    names = [(name, value) for name, value in sent.headers if name in (b"x-auth-customer", b"x-role", b"x-secret")]
    assert names == [
        (b"x-auth-customer", b"anna"),
        (b"x-role", b"owner"),
    ]  # the copied headers, as the service set them
    rig.serve(request_id)
    assert len(rig.responses(request_id)) == 1
    assert rig.held() == NOTHING_HELD and rig.engine.held_counts["auth_passed"] == 0


def test_identity_headers_spelled_with_underscores_are_not_forwarded() -> None:
    rig = AuthRig()
    request_id = rig._request_id = 1
    rig.handle(ev.RequestReceived(1, b"GET", b"/safe/1", [(b"x_auth_customer", b"eve"), (b"x_role", b"admin")]))
    rig.send_verdict(headers=[(b"x-auth-customer", b"free")])
    sent = rig.last_attempt(request_id)
    assert header(sent, "x_auth_customer") is None and header(sent, "x_role") is None


def test_a_verdict_other_than_2xx_is_relayed_to_the_client() -> None:
    rig = AuthRig()
    request_id = rig.send("/safe/1", authorization="bad")
    rig.send_verdict(401, [(b"www-authenticate", b"Bearer"), (b"server", b"x")], b"log in")
    reply = rig.reply(request_id)
    assert (reply.status, reply.body) == (401, b"log in")
    assert header(reply, "www-authenticate") == "Bearer" and header(reply, "server") is None
    redirected = rig.send("/safe/1", authorization="none")
    rig.send_verdict(302, [(b"location", b"/login")])
    assert rig.reply(redirected).status == 302 and header(rig.reply(redirected), "location") == "/login"
    assert not rig.actions_of(ev.OpenAttempt) and not rig.actions_of(ev.AddToCounter) and rig.held() == NOTHING_HELD


def test_a_check_beyond_its_share_of_the_deadline_is_rejected_as_check_late_and_not_charged() -> None:
    rig = AuthRig("auth { attempt_ms: 5000 }")
    request_id = rig.send("/safe/1", x_deadline_ms="1500", authorization="t")
    rig.pass_time(749)
    assert not rig.responses(request_id)
    rig.pass_time(1)
    reply = rig.reply(request_id)
    assert reply.status == 503 and json.loads(reply.body)["reason"] == "check late" and header(reply, "retry-after")
    rig.pass_time(650)  # 1.4 s of the 1.5 s: the request is over, and the verdict is ignored
    rig.send_verdict()
    assert (
        not rig.actions_of(ev.OpenAttempt)
        and not rig.actions_of(ev.AddToCounter)
        and len(rig.responses(request_id)) == 1
        and rig.held() == NOTHING_HELD
    )


def test_a_failed_check_is_retried_at_another_service_before_the_route_fails_closed_or_open() -> None:
    rig = AuthRig()
    closed, opened = rig.send("/safe/1", authorization="a"), rig.send("/loose/1", authorization="b")
    for _ in range(2):
        for check in rig.actions_of(ev.StartAuthCheck)[-2:]:
            rig.handle(ev.AuthCheckFailed(check.check_id, check.attempt))
    checks = rig.actions_of(ev.StartAuthCheck)
    assert len(checks) == 4 and {check.address[1] for check in checks} == {7001, 7002}
    assert json.loads(rig.reply(closed).body)["reason"] == "check failed"
    rig.answer_counter_calls(1.0)
    assert rig.last_attempt(opened) and header(rig.last_attempt(opened), "x-auth-customer") is None


def test_a_5xx_of_the_service_is_no_verdict() -> None:
    rig = AuthRig()
    request_id = rig.send("/safe/1")
    rig.send_verdict(500, [])
    assert not rig.responses(request_id) and len(rig.actions_of(ev.StartAuthCheck)) == 2
    rig.send_verdict()
    rig.answer_counter_calls(1.0)
    assert rig.last_attempt(request_id)


def test_a_verdict_with_an_unknown_plan_or_without_a_customer_rejects_the_request() -> None:
    rig = AuthRig()
    request_id = rig.send("/safe/1")
    rig.send_verdict(200, [(b"x-auth-customer", b"anna"), (b"x-auth-plan", b"gold")])
    assert rig.reply(request_id).status == 502 and not rig.actions_of(ev.OpenAttempt)
    unnamed = rig.send("/safe/1", authorization="x")
    rig.send_verdict(200, [])
    assert rig.reply(unnamed).status == 403


def test_a_request_whose_credential_is_revoked_during_its_counter_call_is_not_forwarded() -> None:
    rig = AuthRig()
    waits = rig.send("/safe/1", authorization="t")
    rig.send_verdict()  # allowed; its counter call is in flight
    assert rig.actions_of(ev.AddToCounter) and not rig.actions_of(ev.OpenAttempt)
    rig.send("/safe/2", authorization="t")
    rig.send_verdict(403, [], b"revoked")
    assert rig.reply(waits).status == 403
    rig.answer_counter_calls(1.0)
    assert not rig.actions_of(ev.OpenAttempt) and rig.held() == NOTHING_HELD


def test_a_client_that_disconnects_during_its_check_stops_the_check() -> None:
    rig = AuthRig()
    request_id = rig.send("/safe/1")
    rig.handle(ev.ClientDisconnected(request_id))
    assert rig.actions_of(ev.StopAuthCheck)
    assert rig.held() == NOTHING_HELD and rig.engine.held_counts["auth_checks"] == 0
    rig.send_verdict()
    assert not rig.responses(request_id) and not rig.actions_of(ev.OpenAttempt)


def test_concurrent_requests_with_one_credential_share_one_check() -> None:
    rig = AuthRig("listener { max_open: 9000 }")
    request_ids = [rig.send("/safe/1", authorization="same") for _ in range(5000)]
    assert len(rig.actions_of(ev.StartAuthCheck)) == 1
    rig.send_verdict(200, [(b"x-auth-customer", b"anna")])
    rig.answer_counter_calls(1000.0)
    rig.pass_time(10_000)
    assert all(len(rig.responses(request_id)) == 1 for request_id in request_ids[::50]) and rig.held() == NOTHING_HELD
    assert len(rig.actions_of(ev.SendLocalReply)) + len(rig.actions_of(ev.RelayResponse)) == 5000


def test_too_many_waiting_requests_shed_the_oldest_of_the_plan_with_the_most() -> None:
    rig = AuthRig("auth { waiting: 6 total: 1 per_service: 1 }")
    for plan, customers in (("plain", ("p1", "p2")), ("open", ("o1", "o2", "o3", "o4", "o5", "o6"))):
        for customer in customers:  # the first verdict on a credential determines its plan
            rig.send("/safe/1", authorization=customer)
            rig.send_verdict(200, [(b"x-auth-customer", customer.encode()), (b"x-auth-plan", plan.encode())])
            rig.answer_counter_calls(1.0)
    rig.send("/safe/1", authorization="first")  # the only check that may be in flight
    waits = {name: rig.send("/safe/2", authorization=name) for name in ("p1", "p2", "o1", "o2", "o3", "o4", "o5", "o6")}
    shed = {name for name, request_id in waits.items() if rig.responses(request_id)}
    assert shed == {"o1", "o2"} and all(b"check shed" in rig.reply(waits[name]).body for name in shed)


def test_an_unsafe_request_is_checked_once_for_all_its_attempts() -> None:
    rig = AuthRig()
    request_id = rig.send("/bill/1", authorization="t")
    rig.send_verdict(200, [(b"x-auth-customer", b"free")])
    rig.fail_attempt(request_id, AttemptFailure.NOT_CONNECTED, written=False)
    assert len(rig.actions_of(ev.OpenAttempt, request_id)) == 2 and len(rig.actions_of(ev.StartAuthCheck)) == 1


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("route { name: 'x' class: 'read' authenticate: true }", "there is no auth to ask"),
        ("auth { path: 'x' service { port: 1 } }", "expected a path that begins with"),
        ("auth { }", "missing: at least one is needed"),
        ("route { name: 'x' class: 'read' customer_header: 'y' fail_open: true }", "is of use only with authenticate"),
        ("auth { service { port: 1 } share: 2 }", "expected from 0.01 to 1"),
    ],
)
def test_invalid_authentication_settings_are_rejected(text: str, message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        parse_door(SETTINGS + text, "d")


# On sockets -----------------------------------------------------------------------------------------------


@asynccontextmanager
async def gateway_with_auth(
    service: Script, *servers: Script, more: str = ""
) -> AsyncIterator[tuple[RunningGateway, ScriptedServer]]:
    back = ScriptedServer(service)
    port = await back.start()
    text = (
        f'auth {{ service {{ port: {port} }} attempts: 1 {more} }} default_plan: "open" '
        'route { name: "safe" path_prefix: "/safe/" class: "read" authenticate: true }'
    )
    async with running_gateway(*servers, text=text) as door:
        yield door, back
    back.stop()


async def echo_path(peer: Peer) -> None:
    while True:
        await peer.send_response((await peer.read_head()).split()[1])


async def allow_credential(peer: Peer) -> None:
    while True:
        request = await peer.read_head()
        customer = request.split("authorization: ")[1].split()[0] if "authorization: " in request else ""
        if customer:
            await peer.send_response("", extra_headers=f"x-auth-customer: {customer}\r\n")
        else:
            await peer.send_response("who are you?", "401 Unauthorized", "www-authenticate: Basic\r\n")


def test_a_request_with_a_credential_is_served_and_one_without_gets_the_services_response() -> None:
    async def test() -> None:
        async with gateway_with_auth(allow_credential, echo_path) as (door, _):
            assert (await door.get("/safe/1", "authorization: anna\r\n"))[2] == b"/safe/1"
            status, headers, body = await door.get("/safe/1")
            assert (status, body) == (401, b"who are you?") and "www-authenticate: basic" in headers
            assert (await door.get("/read/1"))[0] == 200  # other routes make no check

    run(test())


def test_a_surplus_response_of_the_service_is_not_the_next_requests_verdict() -> None:
    async def twice(peer: Peer) -> None:
        while True:
            request = await peer.read_head()
            customer = request.split("authorization: ")[1].split()[0]
            if customer == "anna":  # sends a second, surplus response that allows
                await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-auth-customer: anna\r\n\r\n" * 2)
            else:
                await peer.send_response("no", "403 Forbidden")

    async def test() -> None:
        async with gateway_with_auth(twice, echo_path) as (door, back):
            for _ in range(3):
                assert (await door.get("/safe/1", "authorization: anna\r\n"))[0] == 200
                assert (await door.get("/safe/1", "authorization: eve\r\n"))[0] == 403
            assert back.connections >= 3

    run(test())


@pytest.mark.parametrize(
    "bad",
    [
        "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf",
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nbad header\r\n\r\n",
        "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
        "",
        "HTTP/1.1 200 OK\r\ncontent-length: 999999\r\n\r\n" + "x" * 200_000,
    ],
)
def test_an_unusable_response_of_the_service_fails_the_check(bad: str) -> None:
    async def broken(peer: Peer) -> None:
        await peer.read_head()
        await peer.write(bad)

    async def test() -> None:
        async with gateway_with_auth(broken, echo_path) as (door, _):
            status, _, body = await door.get("/safe/1", "authorization: anna\r\n")
            assert status == 503 and json.loads(body)["reason"] == "check failed"

    run(test())


def test_a_verdict_cut_off_by_a_reset_fails_the_check() -> None:
    """The response has no length and ends with its connection; a reset must not count as that end."""

    async def cuts(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("HTTP/1.1 200 OK\r\nx-auth-customer: anna\r\n\r\nhalf")
        peer.reset()

    async def test() -> None:
        async with gateway_with_auth(cuts, echo_path) as (door, _):
            status, _, body = await door.get("/safe/1", "authorization: anna\r\n")
            assert status == 503 and json.loads(body)["reason"] == "check failed"

    run(test())


def test_a_verdict_after_a_1xx_that_arrives_byte_by_byte_is_read() -> None:
    async def drips(peer: Peer) -> None:
        await peer.read_head()
        early, final = b"HTTP/1.1 103 Early Hints\r\n\r\n", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
        for byte in early + final + b"x-auth-customer: a\r\n\r\nok":
            await peer.write(bytes([byte]))
            await asyncio.sleep(0)
        await peer.read_to_end()

    async def test() -> None:
        async with gateway_with_auth(drips, echo_path) as (door, _):
            assert (await door.get("/safe/1", "authorization: a\r\n"))[0] == 200

    run(test())


def test_a_silent_service_fails_the_check_and_its_connection_is_closed() -> None:
    async def silent(peer: Peer) -> None:
        await peer.read_to_end()

    async def test() -> None:
        async with gateway_with_auth(silent, echo_path, more="attempt_ms: 60") as (door, _):
            peer = await door.connect()
            await peer.write(request_head("/safe/1"))
            status, _, body = await peer.read_response()
            assert status == 503 and json.loads(body)["reason"] == "check failed"
            assert door.server.auth_client is not None and not door.server.auth_client.pool.connections

    run(test())


def test_a_late_second_verdict_is_not_that_on_the_next_credential() -> None:
    """Guards against a revoked credential that is let in: the second verdict comes as the next check was written."""

    async def verdict_twice(peer: Peer) -> None:
        last: tuple[str, str] | None = None
        while True:
            request = await peer.read_head()
            if last is not None:
                await peer.send_response("", *last)
            allowed = "authorization: anna" in request
            last = ("200 OK", "x-auth-customer: anna\r\n") if allowed else ("403 Forbidden", "")
            await peer.send_response("", *last)

    async def test() -> None:
        async with gateway_with_auth(verdict_twice, echo_path) as (door, _):
            assert door.server.auth_client is not None
            assert door.server.auth_client.pool.reuse_delay_ms >= 1400.0  # as late as the service may answer
            assert (await door.get("/safe/1", "authorization: anna\r\n"))[0] == 200
            assert (await door.get("/safe/2", "authorization: revoked\r\n"))[0] == 403
            assert (await door.get("/safe/3", "authorization: other\r\n"))[0] == 403

    run(test())


def test_visitors_who_wait_for_one_check_get_each_a_session_of_their_own() -> None:
    """Guards against a Set-Cookie, a Location or a body that was made for another client."""
    rig = AuthRig()
    visitors = [rig.send(f"/safe/{number}") for number in range(3)]
    rig.send_verdict(401, [(b"set-cookie", b"s=0")], b"for 0")
    checks = rig.actions_of(ev.StartAuthCheck)
    assert [dict(check.headers)[b"x-forwarded-uri"] for check in checks] == [b"/safe/0", b"/safe/1", b"/safe/2"]
    for number, check in enumerate(checks[1:], 1):
        session = [(b"set-cookie", b"s=%d" % number)]
        rig.handle(ev.AuthCheckReplied(check.check_id, check.attempt, 401, session, b"for %d" % number))
    replies = [rig.reply(visitor) for visitor in visitors]
    assert [header(reply, "set-cookie") for reply in replies] == ["s=0", "s=1", "s=2"]
    assert [reply.body for reply in replies] == [b"for 0", b"for 1", b"for 2"]
    assert rig.held() == NOTHING_HELD
