"""The door that asks an authentication service first: in virtual time, and on sockets."""

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

AUTH = """
auth { service { port: 7001 } service { port: 7002 } attempt_ms: 300
  copy_header: "x-auth-customer" copy_header: "x-role" }
default_plan: "open"
route { name: "safe" path_prefix: "/safe/" class: "read" authenticate: true }
route { name: "loose" path_prefix: "/loose/" class: "read" authenticate: true fail_open: true }
route { name: "bill" path_prefix: "/bill/" class: "pay" authenticate: true }
"""
YES: ev.Headers = [(b"x-auth-customer", b"anna"), (b"x-role", b"owner"), (b"x-secret", b"s")]


class Door(Rig):
    """A rig whose last check can be answered."""

    def __init__(self, more: str = "") -> None:
        super().__init__(AUTH + more)

    def asked(self) -> ev.StartAuthCheck:
        return self.actions_of(ev.StartAuthCheck)[-1]

    def verdict(self, status: int = 200, headers: ev.Headers | None = None, body: bytes = b"") -> list[ev.Action]:
        told = self.asked()
        return self.handle(
            ev.AuthCheckReplied(told.check_id, told.attempt, status, YES if headers is None else headers, body)
        )


def test_nothing_goes_to_a_server_without_a_verdict_and_identity_is_the_services() -> None:
    rig = Door()
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
    asked = rig.asked()
    told = dict(asked.headers)
    assert asked.target == b"/auth" and told[b"authorization"] == b"Bearer t" and told[b"cookie"] == b"c=1"
    assert told[b"x-forwarded-uri"] == b"/safe/1" and told[b"x-forwarded-method"] == b"GET"
    assert told[b"x-forwarded-for"] == b"10.0.0.1" and b"accept" not in told and b"x-auth-customer" not in told
    rig.verdict()
    assert rig.actions_of(ev.AddToCounter)  # anna's plan has a quota: the module decides on her
    rig.answer_counter_calls(1.0)
    sent = rig.last_attempt(request_id)
    names = [(name, value) for name, value in sent.headers if name in (b"x-auth-customer", b"x-role", b"x-secret")]
    assert names == [(b"x-auth-customer", b"anna"), (b"x-role", b"owner")]  # by the allow list, and only the service's
    rig.serve(request_id)
    assert len(rig.responses(request_id)) == 1
    assert rig.held() == NOTHING_HELD and rig.engine.held_counts["auth_passed"] == 0


def test_underscored_twins_of_identity_headers_do_not_pass() -> None:
    rig = Door()
    request_id = rig._request_id = 1
    rig.handle(ev.RequestReceived(1, b"GET", b"/safe/1", [(b"x_auth_customer", b"eve"), (b"x_role", b"admin")]))
    rig.verdict(headers=[(b"x-auth-customer", b"free")])
    sent = rig.last_attempt(request_id)
    assert header(sent, "x_auth_customer") is None and header(sent, "x_role") is None


def test_anything_but_2xx_is_the_clients_answer() -> None:
    rig = Door()
    request_id = rig.send("/safe/1", authorization="bad")
    rig.verdict(401, [(b"www-authenticate", b"Bearer"), (b"server", b"x")], b"log in")
    reply = rig.reply(request_id)
    assert (reply.status, reply.body) == (401, b"log in")
    assert header(reply, "www-authenticate") == "Bearer" and header(reply, "server") is None
    redirected = rig.send("/safe/1", authorization="none")
    rig.verdict(302, [(b"location", b"/login")])
    assert rig.reply(redirected).status == 302 and header(rig.reply(redirected), "location") == "/login"
    assert not rig.actions_of(ev.OpenAttempt) and not rig.actions_of(ev.AddToCounter) and rig.held() == NOTHING_HELD


def test_a_check_that_eats_its_part_of_the_time_is_answered_with_the_true_reason_and_uncharged() -> None:
    rig = Door("auth { attempt_ms: 5000 }")
    request_id = rig.send("/safe/1", x_deadline_ms="1500", authorization="t")
    rig.pass_time(749)
    assert not rig.responses(request_id)
    rig.pass_time(1)
    reply = rig.reply(request_id)
    assert reply.status == 503 and json.loads(reply.body)["reason"] == "check late" and header(reply, "retry-after")
    rig.pass_time(650)  # 1.4 s of 1.5: too late, and nobody's
    rig.verdict()
    assert (
        not rig.actions_of(ev.OpenAttempt)
        and not rig.actions_of(ev.AddToCounter)
        and len(rig.responses(request_id)) == 1
        and rig.held() == NOTHING_HELD
    )


def test_a_service_that_fails_is_followed_by_another_then_the_route_fails_closed_or_open() -> None:
    rig = Door()
    closed, opened = rig.send("/safe/1", authorization="a"), rig.send("/loose/1", authorization="b")
    for _ in range(2):
        for asked in rig.actions_of(ev.StartAuthCheck)[-2:]:
            rig.handle(ev.AuthCheckFailed(asked.check_id, asked.attempt))
    checks = rig.actions_of(ev.StartAuthCheck)
    assert len(checks) == 4 and {asked.address[1] for asked in checks} == {7001, 7002}
    assert json.loads(rig.reply(closed).body)["reason"] == "check failed"
    rig.answer_counter_calls(1.0)
    assert rig.last_attempt(opened) and header(rig.last_attempt(opened), "x-auth-customer") is None


def test_a_5xx_of_the_service_is_no_verdict() -> None:
    rig = Door()
    request_id = rig.send("/safe/1")
    rig.verdict(500, [])
    assert not rig.responses(request_id) and len(rig.actions_of(ev.StartAuthCheck)) == 2
    rig.verdict()
    rig.answer_counter_calls(1.0)
    assert rig.last_attempt(request_id)


def test_an_unknown_plan_in_the_answer_fails_rather_than_passes() -> None:
    rig = Door()
    request_id = rig.send("/safe/1")
    rig.verdict(200, [(b"x-auth-customer", b"anna"), (b"x-auth-plan", b"gold")])
    assert rig.reply(request_id).status == 502 and not rig.actions_of(ev.OpenAttempt)
    nobody = rig.send("/safe/1", authorization="x")
    rig.verdict(200, [])
    assert rig.reply(nobody).status == 403


def test_a_credential_revoked_while_the_counter_is_asked_is_not_sent_on() -> None:
    rig = Door()
    waits = rig.send("/safe/1", authorization="t")
    rig.verdict()  # let pass; the counter is asked
    assert rig.actions_of(ev.AddToCounter) and not rig.actions_of(ev.OpenAttempt)
    rig.send("/safe/2", authorization="t")
    rig.verdict(403, [], b"revoked")
    assert rig.reply(waits).status == 403
    rig.answer_counter_calls(1.0)
    assert not rig.actions_of(ev.OpenAttempt) and rig.held() == NOTHING_HELD


def test_the_client_leaves_while_its_check_is_out() -> None:
    rig = Door()
    request_id = rig.send("/safe/1")
    rig.handle(ev.ClientDisconnected(request_id))
    assert rig.actions_of(ev.StopAuthCheck)
    assert rig.held() == NOTHING_HELD and rig.engine.held_counts["auth_checks"] == 0
    rig.verdict()
    assert not rig.responses(request_id) and not rig.actions_of(ev.OpenAttempt)


def test_a_stampede_asks_once_and_is_answered_each_once() -> None:
    rig = Door("listener { max_open: 9000 }")
    request_ids = [rig.send("/safe/1", authorization="same") for _ in range(5000)]
    assert len(rig.actions_of(ev.StartAuthCheck)) == 1
    rig.verdict(200, [(b"x-auth-customer", b"anna")])
    rig.answer_counter_calls(1000.0)
    rig.pass_time(10_000)
    assert all(len(rig.responses(request_id)) == 1 for request_id in request_ids[::50]) and rig.held() == NOTHING_HELD
    assert len(rig.actions_of(ev.SendLocalReply)) + len(rig.actions_of(ev.RelayResponse)) == 5000


def test_where_too_many_wait_the_largest_plan_gives_way() -> None:
    rig = Door("auth { waiting: 6 total: 1 per_service: 1 }")
    for plan, customers in (("plain", ("p1", "p2")), ("open", ("o1", "o2", "o3", "o4", "o5", "o6"))):
        for customer in customers:  # each credential's plan is learnt by a first verdict
            rig.send("/safe/1", authorization=customer)
            rig.verdict(200, [(b"x-auth-customer", customer.encode()), (b"x-auth-plan", plan.encode())])
            rig.answer_counter_calls(1.0)
    rig.send("/safe/1", authorization="first")  # the one check that may be out
    waits = {name: rig.send("/safe/2", authorization=name) for name in ("p1", "p2", "o1", "o2", "o3", "o4", "o5", "o6")}
    shed = {name for name, request_id in waits.items() if rig.responses(request_id)}
    assert shed == {"o1", "o2"} and all(b"check shed" in rig.reply(waits[name]).body for name in shed)


def test_an_unsafe_request_is_checked_once_for_all_its_attempts() -> None:
    rig = Door()
    request_id = rig.send("/bill/1", authorization="t")
    rig.verdict(200, [(b"x-auth-customer", b"free")])
    rig.fail_attempt(request_id, AttemptFailure.NOT_CONNECTED, written=False)
    assert len(rig.actions_of(ev.OpenAttempt, request_id)) == 2 and len(rig.actions_of(ev.StartAuthCheck)) == 1


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("route { name: 'x' class: 'read' authenticate: true }", "there is no auth to ask"),
        ("auth { path: 'x' service { port: 1 } }", "expected a path that begins with"),
        ("auth { }", "missing: at least one is needed"),
        ("route { name: 'x' class: 'read' customer_header: 'y' fail_open: true }", "is of use only with authenticate"),
        ("auth { service { port: 1 } share: 2 }", "expected from 0.01 to 1"),
    ],
)
def test_settings_are_checked(text: str, told: str) -> None:
    with pytest.raises(SettingsError, match=told):
        parse_door(SETTINGS + text, "d")


# On sockets -----------------------------------------------------------------------------------------------


@asynccontextmanager
async def guarded(
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


async def serves(peer: Peer) -> None:
    while True:
        await peer.send_response((await peer.read_head()).split()[1])


async def allows(peer: Peer) -> None:
    while True:
        told = await peer.read_head()
        who = told.split("authorization: ")[1].split()[0] if "authorization: " in told else ""
        if who:
            await peer.send_response("", extra_headers=f"x-auth-customer: {who}\r\n")
        else:
            await peer.send_response("who are you?", "401 Unauthorized", "www-authenticate: Basic\r\n")


def test_a_request_passes_end_to_end_and_one_without_a_credential_does_not() -> None:
    async def test() -> None:
        async with guarded(allows, serves) as (door, _):
            assert (await door.get("/safe/1", "authorization: anna\r\n"))[2] == b"/safe/1"
            status, told, body = await door.get("/safe/1")
            assert (status, body) == (401, b"who are you?") and "www-authenticate: basic" in told
            assert (await door.get("/read/1"))[0] == 200  # other routes ask nobody

    run(test())


def test_a_second_verdict_never_becomes_the_next_requests() -> None:
    async def twice(peer: Peer) -> None:
        while True:
            told = await peer.read_head()
            who = told.split("authorization: ")[1].split()[0]
            if who == "anna":  # allows, and allows once more
                await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-auth-customer: anna\r\n\r\n" * 2)
            else:
                await peer.send_response("no", "403 Forbidden")

    async def test() -> None:
        async with guarded(twice, serves) as (door, back):
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
def test_an_answer_that_cannot_be_used_is_a_failure_and_never_a_pass(bad: str) -> None:
    async def broken(peer: Peer) -> None:
        await peer.read_head()
        await peer.write(bad)

    async def test() -> None:
        async with guarded(broken, serves) as (door, _):
            status, _, body = await door.get("/safe/1", "authorization: anna\r\n")
            assert status == 503 and json.loads(body)["reason"] == "check failed"

    run(test())


def test_a_verdict_that_is_reset_before_its_end_is_none() -> None:
    """It has no length: a reset must not pass for its end."""

    async def cuts(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("HTTP/1.1 200 OK\r\nx-auth-customer: anna\r\n\r\nhalf")
        peer.reset()

    async def test() -> None:
        async with guarded(cuts, serves) as (door, _):
            status, _, body = await door.get("/safe/1", "authorization: anna\r\n")
            assert status == 503 and json.loads(body)["reason"] == "check failed"

    run(test())


def test_1xx_before_the_verdict_and_a_dripping_one_are_read() -> None:
    async def drips(peer: Peer) -> None:
        await peer.read_head()
        early, final = b"HTTP/1.1 103 Early Hints\r\n\r\n", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
        for byte in early + final + b"x-auth-customer: a\r\n\r\nok":
            await peer.write(bytes([byte]))
            await asyncio.sleep(0)
        await peer.read_to_end()

    async def test() -> None:
        async with guarded(drips, serves) as (door, _):
            assert (await door.get("/safe/1", "authorization: a\r\n"))[0] == 200

    run(test())


def test_a_silent_service_costs_its_budget_and_no_connection_is_kept() -> None:
    async def silent(peer: Peer) -> None:
        await peer.read_to_end()

    async def test() -> None:
        async with guarded(silent, serves, more="attempt_ms: 60") as (door, _):
            peer = await door.connect()
            await peer.write(request_head("/safe/1"))
            status, _, body = await peer.read_response()
            assert status == 503 and json.loads(body)["reason"] == "check failed"
            assert door.server.auth_client is not None and not door.server.auth_client.pool.connections

    run(test())
