"""What a gateway sends to Redis, byte by byte: the script, the keys and the arguments."""

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
WAIT_S = 20.0  # a fault ends a test; no verdict rests on it
TIME_NS = 1_700_000_000_000_000_000


class FixedRandom(random.Random):
    """In place of the system's randomness."""

    def __init__(self) -> None:
        super().__init__(7)


class Recorder:
    """Takes all that comes over one connection, and answers as told, one answer for each write that it waits for."""

    def __init__(self, answers: list[tuple[int, bytes]]) -> None:
        """Each answer goes out once so many bytes came since the last."""
        self._answers = answers
        self.came = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        for size, answer in self._answers:
            self.came += await reader.readexactly(size)
            writer.write(answer)
        self.came += await reader.read(65536)
        writer.close()


async def sent(
    monkeypatch: pytest.MonkeyPatch,
    settings: str,
    adds: list[tuple[int, float, float]],
    answers: list[tuple[int, bytes]],
) -> tuple[bytes, list[tuple[int, CallResult, float]]]:
    """What a gateway sends for some adds, made one after another, and what it is told."""
    clock = SimpleNamespace(monotonic=lambda: 1000.0, time_ns=lambda: TIME_NS)
    monkeypatch.setattr("martenstep.redis_counter.redis_client.time", clock)
    monkeypatch.setattr(random, "SystemRandom", FixedRandom)
    recorder = Recorder(answers)
    server = await asyncio.start_server(recorder.serve, "127.0.0.1", 0)
    told: asyncio.Queue[tuple[int, CallResult, float]] = asyncio.Queue()
    text = f"port: {server.sockets[0].getsockname()[1]} connections: 1 timeout_ms: 5000 {settings}"
    store = pb.Store()
    text_format.Merge(text, store)
    client = RedisCounter(
        store, lambda call, verdict, total, kept_ms: told.put_nowait((call, verdict, total)), "door-0"
    )
    client.start()
    got = []
    async with asyncio.timeout(WAIT_S):
        for call, (name, units, expire_ms) in enumerate(adds):
            client.add(call, name, units, expire_ms)
            got.append(await told.get())
        await client.stop()
        server.close()
        await server.wait_closed()
    return recorder.came, got


def test_scripts_are_loaded_and_called_as_committed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        first, rest = (STORED / "script-first.bin").read_bytes(), (STORED / "script-second.bin").read_bytes()
        digest = hashlib.sha1(script.LUA.encode()).hexdigest().encode()
        came, got = await sent(
            monkeypatch,
            "",
            [(255, 2.5, 60_000.0), (255, 1.0, 60_000.0)],
            [
                (len(first), b"$40\r\n" + digest + b"\r\n*2\r\n$3\r\n2.5\r\n$1\r\n0\r\n"),
                (len(rest), b"*2\r\n$3\r\n9.5\r\n$1\r\n1\r\n"),
            ],
        )
        assert came == first + rest
        assert got == [(0, CallResult.OK, 2.5), (1, CallResult.OK, 9.5)]

    run(test())


def test_plain_adds_are_sent_as_committed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        wanted = (STORED / "plain.bin").read_bytes()
        queued = b"+QUEUED\r\n"
        came, got = await sent(
            monkeypatch,
            'scripts: false prefix: "other:"',
            [(2**63, 1 / 3, 60_000.0)],
            [(len(wanted), b"+OK\r\n" + queued * 2 + b"*2\r\n$3\r\n0.1\r\n:1\r\n")],
        )
        assert came == wanted
        assert got == [(0, CallResult.OK, 0.1)]

    run(test())


def test_the_script_is_the_committed_one() -> None:
    assert script.LUA.encode() == (STORED / "script.lua").read_bytes()
    assert hashlib.sha1((STORED / "script.lua").read_bytes()).hexdigest() == script.DIGEST
    assert script.TOTAL == b"t"


def test_the_script_in_python_does_the_same_to_the_fields() -> None:
    fields: dict[bytes, bytes] = {}
    assert script.apply_statement(fields, b"door-0:17", 3, 2.5) == (2.5, 0, True)
    assert script.apply_statement(fields, b"door-1:18", 1, 0.1) == (2.6, 0, True)
    assert script.apply_statement(fields, b"door-0:17", 3, 9.0) == (2.6, 3, False)
    assert fields == {b"door-0:17": b"3 2.5", b"door-1:18": b"1 0.10000000000000001", b"t": b"2.6000000000000001"}


def test_keys_and_slots() -> None:
    core = Core(CoreOptions(), random.Random(1))
    assert [core.store_key(name) for name in (0, 255, 2**64 - 1)] == [
        b"mstep:0",
        b"mstep:ff",
        b"mstep:ffffffffffffffff",
    ]
    assert [slot_of(key) for key in (b"mstep:0", b"mstep:ff", b"a{mstep}b", b"a{}b")] == [10110, 4980, 12175, 13694]


def test_the_statements_of_one_write() -> None:
    """The order of statements, their versions, sums and lives; with a witness first where a proof is asked for."""
    core = Core(CoreOptions(connections_per_node=1, gather_ms=1.0), random.Random(5))
    core.set_topology(0.0, ["n:1"])
    for call, (name, units, proof) in enumerate([(3, 1.0, False), (4, 2.0, True), (3, 0.5, False)]):
        core.add(0.0, AddCall(call, name, units, 600.0, proof))
    [opening] = list(core.take_actions())
    core.on_opened(0.5, opening.connection)  # type: ignore[union-attr]
    core.on_timer(2.0)
    [write] = list(core.take_actions())
    assert isinstance(write, WriteOperations) and write.load_script and not write.plain
    statements = [(op.key, op.units, op.version, op.total, op.ttl_ms) for op in write.operations]
    assert statements == [
        (1178032213966879813, 0.0, 1, 0.0, 3_600_000),
        (3, 1.0, 2, 1.0, 598),
        (4, 2.0, 3, 2.0, 598),
        (3, 0.5, 4, 1.5, 598),
    ]


@pytest.mark.parametrize("name", ["OK", "FULL", "TIMEOUT", "CONNECT_FAILED"])
def test_the_counts_have_their_names(name: str) -> None:
    """Metrics show these names of what became of calls."""
    core = Core(CoreOptions(connections_per_node=1, timeout_ms=10.0, max_pending=1), random.Random(5))
    core.set_topology(0.0, ["n:1"])
    core.add(0.0, AddCall(1, 3, 1.0, 600.0))
    core.add(0.0, AddCall(2, 3, 1.0, 600.0))  # no place
    assert core.counts == {"FULL": 1}
    [opening, *_] = list(core.take_actions())
    lane = opening.connection  # type: ignore[union-attr]
    if name == "CONNECT_FAILED":
        core.on_connect_failed(1.0, lane, "down")
    elif name == "TIMEOUT":
        core.on_opened(1.0, lane)
        core.on_timer(20.0)
    elif name == "OK":
        core.on_opened(1.0, lane)
        core.on_reply(2.0, lane, StatementReply(1.0, 0))
    assert core.counts[name] == 1
    names = {"OK", "FULL", "TIMEOUT", "CONNECT_FAILED", "writes", "statements", "stated again", "witnesses", "losses"}
    assert set(core.counts) <= names
