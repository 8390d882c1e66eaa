"""The bytes that a node sends to its clients, backends, counter and discovery, and the keys of NODE_CONFIG it reads.

The expected bytes are literals or files under `formats/proxy`.  Programs of others depend on them: they never change.
"""

from __future__ import annotations

import asyncio
import copy
import json
import re
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from martenstep.node.config import Config, ConfigError, load_config, read_config
from martenstep.node.counter import CounterClient
from martenstep.node.daemon import GatewayNode
from martenstep.node.discovery import DiscoveryClient
from martenstep.node.endpoint_list import EndpointListFollower
from tests.node_rig import endpoint_entry, raw_config, request
from tests.socket_rig import Peer, ScriptedServer, run

FORMATS = Path(__file__).parent / "formats" / "proxy"
HEAD_END = b"\r\n\r\n"
LIST = json.dumps({"rev": 7, "all": True, "targets": [endpoint_entry("s-a")]})
NODE_CONFIG = FORMATS / "node_config.json"


async def until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.001)


# NODE_CONFIG -------------------------------------------------------------------------------------------


def leaves(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of each number, string, flag and null of a JSON document."""
    entries = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else None
    if entries is None:
        return [path]
    return [found for key, entry in entries for found in leaves(entry, (*path, key))]


def without(document: dict[str, Any], path: tuple[Any, ...]) -> str:
    """Return the document as JSON text without one entry."""
    changed = copy.deepcopy(document)
    parent: Any = changed
    for key in path[:-1]:
        parent = parent[key]
    del parent[path[-1]]
    return json.dumps(changed)


def outcome(text: str) -> Config | str:
    """Return the configuration, or the text of the error."""
    try:
        return read_config(text)
    except ConfigError as error:
        return str(error)


def test_only_the_listed_keys_of_node_config_are_read() -> None:
    document = json.loads(NODE_CONFIG.read_text(encoding="utf-8"))
    whole = read_config(json.dumps(document))
    read = [
        ".".join(str(key) for key in path) for path in leaves(document) if outcome(without(document, path)) != whole
    ]
    assert read == (FORMATS / "node_config_keys.txt").read_text(encoding="utf-8").splitlines()


def test_node_config_is_read_into_the_expected_values() -> None:
    config = load_config(NODE_CONFIG)
    assert (config.name, config.seed, config.max_in_flight) == ("n7", 0x2F, 123)
    assert (config.discovery, config.counter) == (("127.0.0.9", 8501), ("127.0.0.8", 6401))
    assert (config.listener.host, config.listener.port, config.listener.max_connections) == ("127.0.0.7", 8082, 470)
    upstream = config.upstream
    assert (upstream.connections, upstream.all_connections) == (110, 184)
    assert (upstream.idle_ms, upstream.connect_ms) == (16_800.0, 210.0)
    assert config.cached_list == {"rev": 4, "all": True, "targets": []}


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        (("listen",), None, "listen: expected host:port, got None"),
        (("discovery",), "x", "discovery: expected host:port, got 'x'"),
        (("counter",), None, "counter: missing, and the settings have one"),
        (("seed",), "z", "seed: expected hex digits, got 'z'"),
        (("limits", "sockets"), 8, "limits.sockets: expected a number of at least 64, got 8"),
        (("settings", "classes", 0, "slo_ms"), 0, "settings.classes[read].slo_ms: expected more than 0, got 0.0"),
        (
            ("settings", "policy_limits", "max_open"),
            0,
            "settings.policy_limits.max_open: expected a number of at least 1, got 0",
        ),
    ],
)
def test_an_error_of_node_config_names_the_key(path: tuple[Any, ...], value: Any, message: str) -> None:
    document = json.loads(NODE_CONFIG.read_text(encoding="utf-8"))
    parent: Any = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    assert outcome(json.dumps(document)) == message


# Counter and discovery ----------------------------------------------------------------------------------


def test_calls_to_the_counter_have_the_expected_bytes() -> None:
    expected = (
        b"*4\r\n$6\r\nADDGET\r\n$2\r\n12\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n",
        b"*4\r\n$6\r\nADDGET\r\n$10\r\n9876543210\r\n$8\r\n0.000001\r\n$1\r\n1\r\n",
        b"*4\r\n$6\r\nADDGET\r\n$1\r\n3\r\n$1\r\n0\r\n$5\r\n60000\r\n",
    )
    received: list[bytes] = []

    async def test() -> None:
        async def counter(peer: Peer) -> None:
            while data := await peer.reader.read(4096):
                received.append(data)
                await peer.write(b"$1\r\n5\r\n")

        back, answers = ScriptedServer(counter), list[tuple[Any, ...]]()
        calls = CounterClient(("127.0.0.1", await back.start()), lambda *answer: answers.append(answer))
        calls.start()
        for number, call in enumerate(((12, -2.5, 4000.2), (9876543210, 1e-6, 0.2), (3, 0.0, 60_000.0)), 1):
            while True:
                calls.add(number, *call, False)
                await until(lambda: bool(answers))
                result = answers.pop()
                if result[2]:  # otherwise there was no connection yet, and nothing was written
                    break
                await asyncio.sleep(0.005)
        calls.stop()
        back.stop()

    run(test())
    assert tuple(received) == expected


def test_requests_to_discovery_have_the_expected_bytes() -> None:
    received: list[bytes] = []
    ports: list[int] = []

    async def test() -> None:
        async def agent(peer: Peer) -> None:
            received.append(await peer.reader.readuntil(HEAD_END))
            await peer.send_response(LIST)
            received.append(await peer.reader.readuntil(HEAD_END))
            peer.close()

        back, lists = ScriptedServer(agent), list[Any]()
        ports.append(await back.start())
        discovery = DiscoveryClient(
            ("127.0.0.1", ports[0]), EndpointListFollower(), lists.append, lambda event, fields: None
        )
        discovery.start()
        await until(lambda: len(received) >= 3)
        discovery.stop()
        back.stop()

    run(test())
    host = b" HTTP/1.1\r\nhost: 127.0.0.1:%d\r\n\r\n" % ports[0]
    assert received[:3] == [
        b"GET /catalog/members" + host,
        b"GET /catalog/members?after=7&wait_ms=1500" + host,
        b"GET /catalog/members?after=7&wait_ms=0" + host,
    ]


# Clients and backends -----------------------------------------------------------------------------------


async def exchange(node_port: int, text: str) -> bytes:
    """Send one request on a connection of its own; return all bytes of its response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node_port)
    writer.write(text.encode())
    head = await reader.readuntil(HEAD_END)
    match = re.search(rb"(?i)content-length: (\d+)", head)
    body = await reader.readexactly(int(match[1]) if match else 0)
    writer.close()
    return head + body


def masked(message: bytes) -> bytes:
    """Return a message with its time-dependent values replaced."""
    return re.sub(rb"(?m)^(x-expires-in-ms|retry-after): [0-9.]+", rb"\1: N", message)


def test_messages_to_backends_and_clients_have_the_expected_bytes(tmp_path: Path) -> None:
    sent: list[bytes] = []
    answers = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Other: 1\r\n\r\nserved",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
    ]
    requests = [
        request(1, X_Plan="small"),
        request(2, "book", method="POST", body="room 5"),
        request(3, "book", method="POST", body="x", X_Expires_In_Ms="300"),
        request(1),
        request(4, X_Qos="none"),
        request(5, X_Quota="units=9,spread=3,first=0"),
        "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n",
        "nonsense\r\n\r\n",
        request(6, X_Plan="small", X_Quota="units=3,spread=1,first=0"),
        request(7, X_Plan="small", X_Quota="units=3,spread=1,first=0"),
    ]
    received: list[bytes] = []

    async def backend(peer: Peer) -> None:
        while True:
            head = await peer.reader.readuntil(HEAD_END)
            match = re.search(rb"content-length: (\d+)", head)
            sent.append(head + await peer.read(int(match[1]) if match else 0))
            await peer.write(answers[min(len(sent), 3) - 1])

    async def counting(peer: Peer) -> None:
        while True:
            for _ in range(9):
                await peer.reader.readline()
            await peer.write(b"$3\r\n500\r\n" if len(received) > 7 else b"$1\r\n0\r\n")

    async def test() -> None:
        back = ScriptedServer(backend)
        body = json.dumps({"rev": 1, "all": True, "targets": [endpoint_entry("s-a", await back.start())]})

        async def agent(peer: Peer) -> None:
            await peer.read_head()
            await peer.send_response(body)
            await peer.read_to_end()

        lists, counter = ScriptedServer(agent), ScriptedServer(counting)
        path = tmp_path / "config.json"
        addresses = {name: f"127.0.0.1:{await of.start()}" for name, of in (("discovery", lists), ("counter", counter))}
        path.write_text(json.dumps(raw_config(**addresses)), encoding="utf-8")
        config = load_config(path)
        node = GatewayNode(replace(config, listener=replace(config.listener, port=0)), path)
        port = await node.start()
        for text in requests:
            received.append(await exchange(port, text))
        node.drain_plan = replace(node.drain_plan, accept_ms=0.0, serve_ms=0.0, answer_ms=1000.0)
        await node.stop()
        for one in (back, lists, counter):
            one.stop()

    run(test())
    assert masked(b"".join(sent[:3])) == (FORMATS / "node_to_backends.bin").read_bytes()
    assert masked(b"".join(message + b"\n" for message in received)) == (FORMATS / "node_to_clients.bin").read_bytes()
