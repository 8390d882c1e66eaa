"""The bytes that a gateway sends to Redis: the script, the keys and the arguments."""

from __future__ import annotations

import asyncio
import hashlib
import random
from pathlib import Path
from types import SimpleNamespace

import pytest
from google.protobuf import text_format

from martenstep.config import door_pb2 as pb
from martenstep.policy.messages import CallResult
from martenstep.redis_counter import script
from martenstep.redis_counter.core import Core
from martenstep.redis_counter.messages import AddCall, CoreOptions, StatementReply, WriteOperations
from martenstep.redis_counter.redis_client import RedisCounter
from martenstep.redis_counter.slots import slot_of
from tests.socket_rig import run

STORED = Path(__file__).parent / "formats" / "redis"
WAIT_S = 20.0  # ends a test that hangs; no check depends on it
TIME_NS = 1_700_000_000_000_000_000


class FixedRandom(random.Random):
    """Replaces the random numbers of the system."""

    def __init__(self) -> None:
        super().__init__(7)


class RecordingServer:
    """Records the bytes received on one connection, and sends the given replies."""

    def __init__(self, replies: list[tuple[int, bytes]]) -> None:
        """Each reply is sent once the given number of bytes was received since the last one."""
        self._replies = replies
        self.received = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        for size, reply in self._replies:
            self.received += await reader.readexactly(size)
            writer.write(reply)
        self.received += await reader.read(65536)
        writer.close()


async def record_adds(
    monkeypatch: pytest.MonkeyPatch,
    settings: str,
    adds: list[tuple[int, float, float]],
    replies: list[tuple[int, bytes]],
) -> tuple[bytes, list[tuple[int, CallResult, float]]]:
    """Make adds one after another; returns the bytes that the gateway sent, and the answers to the calls."""
    clock = SimpleNamespace(monotonic=lambda: 1000.0, time_ns=lambda: TIME_NS)
    monkeypatch.setattr("martenstep.redis_counter.redis_client.time", clock)
    monkeypatch.setattr(random, "SystemRandom", FixedRandom)
    recorder = RecordingServer(replies)
    server = await asyncio.start_server(recorder.serve, "127.0.0.1", 0)
    answers: asyncio.Queue[tuple[int, CallResult, float]] = asyncio.Queue()
    text = f"port: {server.sockets[0].getsockname()[1]} connections: 1 timeout_ms: 5000 {settings}"
    store = pb.Store()
    text_format.Merge(text, store)
    client = RedisCounter(
        store, lambda call, result, total, retained_ms: answers.put_nowait((call, result, total)), "door-0"
    )
    client.start()
    received_answers = []
    async with asyncio.timeout(WAIT_S):
        for call, (key, units, ttl_ms) in enumerate(adds):
            client.add(call, key, units, ttl_ms)
            received_answers.append(await answers.get())
        await client.stop()
        server.close()
        await server.wait_closed()
    return recorder.received, received_answers


def test_the_script_is_loaded_and_called_with_the_committed_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        first, rest = (STORED / "script-first.bin").read_bytes(), (STORED / "script-second.bin").read_bytes()
        digest = hashlib.sha1(script.LUA.encode()).hexdigest().encode()
        sent, answers = await record_adds(
            monkeypatch,
            "",
            [(255, 2.5, 60_000.0), (255, 1.0, 60_000.0)],
            [
                (len(first), b"$40\r\n" + digest + b"\r\n*2\r\n$3\r\n2.5\r\n$1\r\n0\r\n"),
                (len(rest), b"*2\r\n$3\r\n9.5\r\n$1\r\n1\r\n"),
            ],
        )
        assert sent == first + rest
        assert answers == [(0, CallResult.OK, 2.5), (1, CallResult.OK, 9.5)]

    run(test())


def test_plain_adds_are_sent_with_the_committed_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        expected = (STORED / "plain.bin").read_bytes()
        queued = b"+QUEUED\r\n"
        sent, answers = await record_adds(
            monkeypatch,
            'scripts: false prefix: "other:"',
            [(2**63, 1 / 3, 60_000.0)],
            [(len(expected), b"+OK\r\n" + queued * 2 + b"*2\r\n$3\r\n0.1\r\n:1\r\n")],
        )
        assert sent == expected
        assert answers == [(0, CallResult.OK, 0.1)]

    run(test())


def test_the_script_and_its_digest_are_the_committed_ones() -> None:
    assert script.LUA.encode() == (STORED / "script.lua").read_bytes()
    assert hashlib.sha1((STORED / "script.lua").read_bytes()).hexdigest() == script.DIGEST
    assert script.TOTAL == b"t"


def test_the_python_reference_writes_the_fields_of_the_script() -> None:
    fields: dict[bytes, bytes] = {}
    assert script.apply_statement(fields, b"door-0:17", 3, 2.5) == (2.5, 0, True)
    assert script.apply_statement(fields, b"door-1:18", 1, 0.1) == (2.6, 0, True)
    assert script.apply_statement(fields, b"door-0:17", 3, 9.0) == (2.6, 3, False)
    assert fields == {b"door-0:17": b"3 2.5", b"door-1:18": b"1 0.10000000000000001", b"t": b"2.6000000000000001"}


def test_names_of_keys_and_their_slots() -> None:
    core = Core(CoreOptions(), random.Random(1))
    assert [core.store_key(key) for key in (0, 255, 2**64 - 1)] == [
        b"mstep:0",
        b"mstep:ff",
        b"mstep:ffffffffffffffff",
    ]
    assert [slot_of(key) for key in (b"mstep:0", b"mstep:ff", b"a{mstep}b", b"a{}b")] == [10110, 4980, 12175, 13694]


def test_the_statements_of_one_write() -> None:
    """The order of statements, their versions, sums and times to live; a witness is first if a call needs a proof."""
    core = Core(CoreOptions(connections_per_node=1, gather_ms=1.0), random.Random(5))
    core.set_topology(0.0, ["n:1"])
    for call, (key, units, needs_proof) in enumerate([(3, 1.0, False), (4, 2.0, True), (3, 0.5, False)]):
        core.add(0.0, AddCall(call, key, units, 600.0, needs_proof))
    [opening] = list(core.take_actions())
    core.on_opened(0.5, opening.connection)  # type: ignore[union-attr]
    core.on_timer(2.0)
    [write] = list(core.take_actions())
    assert isinstance(write, WriteOperations) and write.load_script and not write.plain
    statements = [
        (operation.key, operation.units, operation.version, operation.total, operation.ttl_ms)
        for operation in write.operations
    ]
    assert statements == [
        (1178032213966879813, 0.0, 1, 0.0, 3_600_000),
        (3, 1.0, 2, 1.0, 598),
        (4, 2.0, 3, 2.0, 598),
        (3, 0.5, 4, 1.5, 598),
    ]


@pytest.mark.parametrize("name", ["OK", "FULL", "TIMEOUT", "CONNECT_FAILED"])
def test_results_are_counted_under_the_names_that_metrics_show(name: str) -> None:
    core = Core(CoreOptions(connections_per_node=1, timeout_ms=10.0, max_pending=1), random.Random(5))
    core.set_topology(0.0, ["n:1"])
    core.add(0.0, AddCall(1, 3, 1.0, 600.0))
    core.add(0.0, AddCall(2, 3, 1.0, 600.0))  # the queue is full
    assert core.counts == {"FULL": 1}
    [opening, *_] = list(core.take_actions())
    connection_id = opening.connection  # type: ignore[union-attr]
    if name == "CONNECT_FAILED":
        core.on_connect_failed(1.0, connection_id, "down")
    elif name == "TIMEOUT":
        core.on_opened(1.0, connection_id)
        core.on_timer(20.0)
    elif name == "OK":
        core.on_opened(1.0, connection_id)
        core.on_reply(2.0, connection_id, StatementReply(1.0, 0))
    assert core.counts[name] == 1
    names = {"OK", "FULL", "TIMEOUT", "CONNECT_FAILED", "writes", "statements", "stated again", "witnesses", "losses"}
    assert set(core.counts) <= names
