"""What a gateway writes for its operators, clients and authentication services, and the names of its settings.

The expected texts are literals or files under `formats/proxy`: dashboards, scripts and settings files rely on them.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from martenstep.config import door_pb2 as pb
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.admin import AdminListener, GatewayCollector
from martenstep.proxy.daemon import Daemon
from martenstep.proxy.headers import REASON_TEXTS, REJECTION_STATUS, local_reply
from tests.engine_rig import Rig, gateway_settings
from tests.hook_rig import HookRig, release
from tests.schema_text import file_lines
from tests.socket_rig import Peer, request_head, run, running_gateway

FORMATS = Path(__file__).parent / "formats" / "proxy"
HEAD_END = b"\r\n\r\n"
# These tests hold the fields of the events, not the names of the events.
FINAL, REJECTED = "request finished", "request rejected"


def expected_text(name: str) -> str:
    return (FORMATS / name).read_text(encoding="utf-8")


# Admin pages --------------------------------------------------------------------------------------------


class FakeAdminParts:
    """Stands in for the membership, the replicas and the maintenance queue behind the admin listener."""

    def view(self) -> dict[str, Any]:
        return {"version": 3, "list": [{"name": "d0", "share": 0.5}], "none": None, "flag": True, "text": "ä"}

    async def wait_newer(self, version: int, wait_s: float) -> None:
        assert (version, wait_s) == (2, 0.25)

    async def leave(self) -> None: ...

    def transfer_leadership(self, group: str, to: str) -> bool:
        return (group, to) == ("g", "d1")

    async def submit(self, what: Any) -> Any:
        return what

    async def fetch(self) -> Any:
        return self.view()


REQUESTS = """GET /healthz
GET /readyz
GET /no
GET /members
GET /members?after=2&wait_ms=250
GET /members?after=x
GET /members?wait_ms=60001
GET /members/leave
POST /members/leave
GET /members/no
GET /copies
GET /copies/no
GET /copies/move
POST /copies/move?group=g&to=d1
POST /copies/move?group=g&to=d2
GET /maintenance
GET /maintenance/no
POST /maintenance?what=no"""


def test_the_responses_of_the_admin_listener() -> None:
    transcript: list[str] = []
    ready: list[bool] = []

    async def test() -> None:
        admin, view = AdminListener(GatewayCollector(dict, dict), lambda: bool(ready)), FakeAdminParts()
        port = await admin.start("127.0.0.1", 0)

        async def ask(line: str) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"{line} HTTP/1.1\r\nhost: a\r\n\r\n".encode())
            transcript.append(f"{line}\n{(await reader.read()).decode()}\n")
            writer.close()

        for line in ("GET /readyz", "GET /members", "GET /copies", "GET /maintenance"):
            await ask(line)
        ready.append(True)
        admin.membership = view
        admin.replication = view
        admin.maintenance = view
        for line in REQUESTS.splitlines():
            await ask(line)
        admin.stop()

    run(test())
    assert "".join(transcript).replace("\r\n", "\n") == expected_text("admin_pages.txt")


def metric_lines(text: str) -> Iterator[str]:
    """The name, labels and type of each metric, without its value and help."""
    for line in text.splitlines():
        if line.startswith("# TYPE "):
            yield line
        elif not line.startswith("#"):
            yield line.rpartition(" ")[0]


def test_the_metrics_of_a_gateway() -> None:
    async def test() -> None:
        text = 'auth { service { port: 1 } } hooks { directory: "none" } forward_auth { } listener { max_open: 10 }'
        daemon = Daemon(gateway_settings(text), 1)
        admin = AdminListener(GatewayCollector(daemon.counts, daemon.gauges), lambda: True)
        status, kind, body = admin.respond_status("/metrics")
        assert (status, kind) == (200, "text/plain; version=0.0.4")
        assert "\n".join(metric_lines(body.decode())) + "\n" == expected_text("metrics.txt")

    run(test())


# Log ----------------------------------------------------------------------------------------------------


def log_fields(rig: Rig, event: str) -> list[list[str]]:
    return [list(note.fields) for note in rig.actions_of(ev.LogEvent) if note.event == event]


def test_the_fields_of_the_line_of_each_response() -> None:
    rig = Rig()
    rig.serve(rig.send())
    rig.send(customer="anna")
    rig.answer_counter_calls(500.0)
    fields = ["request", "customer", "plan", "class", "status", "reason", "attempts", "servers", "ms"]
    assert log_fields(rig, FINAL) == [fields, [*fields, "retry_after_ms"]]
    assert log_fields(rig, REJECTED) == []
    rig.send("/none")
    assert log_fields(rig, REJECTED) == [["request", "status", "reason"]]


def test_the_values_of_the_line_of_a_response() -> None:
    rig = Rig()
    request = rig.send("/pay/1", x_request_id="abc")
    rig.pass_time(12.3456)
    rig.serve(request)
    [line] = [note.fields for note in rig.actions_of(ev.LogEvent) if note.event == FINAL]
    servers = line.pop("servers")
    assert len(servers) == 1 and servers[0] in (1, 2, 3, 4)
    assert line == {
        "request": "abc",
        "customer": "free",
        "plan": "open",
        "class": "pay",
        "status": 200,
        "reason": "served",
        "attempts": 1,
        "ms": 12.346,
    }


def test_hooks_add_their_version_and_fields() -> None:
    rig = HookRig(release(7, 'on log(r, a) { [Field { name: "tier", value: "gold" }] }'))
    rig.serve(rig.send())
    [names] = log_fields(rig, FINAL)
    assert names[9:] == ["hooks", "hook_tier"]


# Local replies ------------------------------------------------------------------------------------------


def test_the_responses_that_a_gateway_generates_itself() -> None:
    lines: list[str] = []
    for reason in (*REASON_TEXTS, "another reason"):
        for wait_ms in (None, 1234.5678):
            headers, body = local_reply(reason, "id-1", wait_ms)
            head = "".join(f"{name.decode()}: {value.decode()}\n" for name, value in headers)
            lines.append(f"{head}\n{body.decode()}\n")
    assert "".join(lines) == expected_text("own_responses.txt")


def test_the_status_of_each_rejection_reason() -> None:
    assert {reason.value: status for reason, status in REJECTION_STATUS.items()} == {
        "quota": 429,
        "unheard": 429,
        "ceiling": 429,
        "open limit": 429,
        "overload": 503,
        "no server": 503,
        "spent": 503,
        "late": 503,
    }


def test_the_messages_of_a_gateway_to_backends_and_clients() -> None:
    sent: list[bytes] = []
    received: list[bytes] = []

    async def backend(peer: Peer) -> None:
        while True:
            head = await peer.reader.readuntil(HEAD_END)
            match = re.search(rb"content-length: (\d+)", head)
            sent.append(head + await peer.read(int(match[1]) if match else 0))
            await peer.send_response("served", extra_headers="X-Other: 1\r\nConnection: x-gone\r\nX-Gone: 1\r\n")

    async def test() -> None:
        async with running_gateway(backend) as gateway:
            for text in (
                request_head(extra_headers="X-Request-Id: r1\r\nConnection: x-hop\r\nX-Hop: 1\r\nAccept: */*\r\n"),
                request_head("/write/free/1", "X-Request-Id: r2\r\nContent-Length: 3\r\n", "POST") + "abc",
                request_head("/none", "X-Request-Id: r3\r\n"),
                request_head("/read/../1", "X-Request-Id: r4\r\n"),
                "nonsense\r\n\r\n",
            ):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writer.write(text.encode())
                head = await reader.readuntil(HEAD_END)
                match = re.search(rb"content-length: (\d+)", head)
                received.append(head + await reader.readexactly(int(match[1]) if match else 0))
                writer.close()

    run(test())
    to_backends = re.sub(rb"(?m)^x-deadline-ms: \d+", b"x-deadline-ms: N", b"\n".join(sent))
    to_backends = re.sub(rb"(?m)^host: 127.0.0.1:\d+", b"host: N", to_backends)
    assert to_backends == (FORMATS / "to_backends.bin").read_bytes()
    assert b"\n".join(received) == (FORMATS / "to_clients.bin").read_bytes()


def test_the_bytes_of_a_sub_request_for_authentication() -> None:
    check_requests: list[bytes] = []
    sent: list[bytes] = []

    async def service(peer: Peer) -> None:
        check_requests.append(await peer.reader.readuntil(HEAD_END))
        await peer.send_response("", extra_headers="x-auth-customer: free\r\nx-role: owner\r\nx-other: 1\r\n")
        try:
            await peer.read_to_end()
        finally:
            peer.close()

    async def backend(peer: Peer) -> None:
        sent.append(await peer.reader.readuntil(HEAD_END))
        await peer.send_response()
        await peer.read_to_end()

    async def test() -> None:
        server = await asyncio.start_server(lambda reader, writer: service(Peer(reader, writer)), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        text = (
            f'auth {{ service {{ port: {port} }} path: "/check" copy_header: "x-role" }} default_plan: "open" '
            'route { name: "safe" path_prefix: "/safe/" class: "read" authenticate: true }'
        )
        async with running_gateway(backend, text=text) as gateway:
            more = "Authorization: Bearer t\r\nCookie: c=1\r\nX-Role: admin\r\nX-Request-Id: r1\r\nX-Else: 1\r\n"
            assert (await gateway.get("/safe/1?q=2", more))[0] == 200
        server.close()
        assert check_requests == [
            b"GET /check HTTP/1.1\r\n"
            b"host: 127.0.0.1:%d\r\n"
            b"authorization: Bearer t\r\n"
            b"cookie: c=1\r\n"
            b"x-forwarded-method: GET\r\n"
            b"x-forwarded-proto: http\r\n"
            b"x-forwarded-host: door\r\n"
            b"x-forwarded-uri: /safe/1?q=2\r\n"
            b"x-forwarded-for: 127.0.0.1\r\n"
            b"x-request-id: r1\r\n\r\n" % port
        ]

    run(test())
    assert sent[0].count(b"x-role: owner\r\n") == 1 and b"admin" not in sent[0] and b"x-other" not in sent[0]


# Settings -----------------------------------------------------------------------------------------------


@pytest.mark.filterwarnings("ignore::DeprecationWarning")
def test_the_messages_of_the_settings() -> None:
    assert "\n".join(file_lines(pb.DESCRIPTOR)) + "\n" == expected_text("door_descriptor.txt")
