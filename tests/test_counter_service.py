"""The counter service and its client over sockets: group commits, invalid frames, slow readers, and kills."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from martenstep.cli.main import cli
from martenstep.counter import protocol as fr
from martenstep.counter.client import ClientOptions, CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.log_inspection import iterate_attempts, rebuild_from_log, verify
from martenstep.counter.pending_increments import AttemptRecord
from martenstep.counter.service import Service, open_pipeline
from martenstep.counter.settings import parse_service
from martenstep.counter.state import CounterLimits
from martenstep.policy.messages import CallResult
from martenstep.storage.files import LockedError
from tests.socket_rig import LONG_TEST_TIMEOUT_S, run

FRAME_SAMPLES: list[fr.Frame] = [
    fr.Hello("door-0", 7, 2),
    fr.Add(1, 2**63 - 1, -2.5, 1e6),
    fr.Read(3, 9),
    fr.Welcome(5),
    fr.RecordAttempt(4, 1.7e12, 2.0, True, "r-1", "ä", "plan", "c"),
    fr.TotalReply(1, fr.Status.DONE, 3.5),
    fr.RecordReply(2, fr.Status.KNOWN),
    fr.Rejection(fr.Status.FENCED, "over"),
]


@given(st.lists(st.sampled_from(FRAME_SAMPLES), max_size=12), st.data())
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_frames_are_decoded_however_the_stream_is_split(sent: list[fr.Frame], data: st.DataObject) -> None:
    stream, decoder, received = b"".join(fr.encode(frame) for frame in sent), fr.FrameDecoder(), []
    while stream:
        size = data.draw(st.integers(1, 60))
        received += [fr.decode(payload) for payload in decoder.feed(stream[:size])]
        stream = stream[size:]
    assert received == sent and not decoder.has_partial_frame


def test_the_encoded_bytes_of_an_add() -> None:
    assert fr.encode(fr.Add(1, 2, 1.0, 8.0)).hex() == (
        "00000021" + f"{fr.crc32c(bytes.fromhex(ADD_PAYLOAD)):08x}" + ADD_PAYLOAD
    )


ADD_PAYLOAD = "02" + "0000000000000001" + "0000000000000002" + "3ff0000000000000" + "4020000000000000"


@given(st.binary(max_size=80))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_decoding_any_payload_raises_only_a_protocol_error(payload: bytes) -> None:
    with suppress(fr.ProtocolError):
        fr.decode(payload)


def test_a_bad_checksum_or_length_ends_the_connection() -> None:
    valid = fr.encode(FRAME_SAMPLES[1])
    for invalid in (valid[:-1] + b"\0", b"\0\1\0\1" + valid[4:], b"\0\0\0\0" + valid[4:]):
        if invalid != valid:
            with pytest.raises(fr.ProtocolError):
                fr.FrameDecoder().feed(invalid)


def config(directory: Path, more: str = "") -> str:
    return f'name: "counter" log {{ directory: "{directory}" commit_ms: 1 }} {more}'


@asynccontextmanager
async def running_service(directory: Path, more: str = "") -> AsyncIterator[tuple[Service, int]]:
    settings = parse_service(config(directory, more), "counter.txtpb")
    pipeline, disk = open_pipeline(settings)
    service = Service(settings, pipeline)
    try:
        yield service, await service.start()
    finally:
        await service.stop()
        disk.close()


class ProtocolConnection:
    """A connection that sends and receives single frames."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self._decoder = reader, writer, fr.FrameDecoder()
        self.received: list[fr.Frame] = []

    @classmethod
    async def connect(cls, port: int, hello: fr.Hello | None = None) -> ProtocolConnection:
        connection = cls(*await asyncio.open_connection("127.0.0.1", port))
        if hello is not None:
            connection.send(hello)
            assert isinstance(await connection.next(), fr.Welcome)
        return connection

    def send(self, *frames: fr.Frame) -> None:
        self.writer.write(b"".join(fr.encode(frame) for frame in frames))

    async def next(self) -> fr.Frame:
        while not self.received:
            data = await self.reader.read(65536)
            if not data:
                raise EOFError
            self.received += [fr.decode(payload) for payload in self._decoder.feed(data)]
        return self.received.pop(0)


def test_pipelined_commands_are_answered_in_order_and_in_groups(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path) as (service, port):
            connection = await ProtocolConnection.connect(port, fr.Hello("door-0", 1))
            connection.send(*(fr.Add(n, n % 7, 1.0, 1e6) for n in range(1, 1001)), fr.Read(0, 3))
            replies = [await connection.next() for _ in range(1001)]
            assert [r.sequence for r in replies[:-1]] == list(range(1, 1001))  # type: ignore[union-attr]
            assert replies[-1] == fr.TotalReply(0, fr.Status.DONE, 143.0)
            assert service.committed_groups < 200  # one sync serves many commands
        assert rebuild_from_log(tmp_path, CounterLimits()).total(3) == 143.0

    run(test())


def test_forty_thousand_adds_over_four_connections_are_each_answered(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path, "window: 100000") as (service, port):
            connections = [await ProtocolConnection.connect(port, fr.Hello(f"door-{n}", 1)) for n in range(4)]

            async def load(connection: ProtocolConnection, number: int) -> float:
                connection.send(*(fr.Add(n, n * 4 + number, 1.0, 1e9) for n in range(1, 10_001)))
                replies = [await connection.next() for _ in range(10_000)]
                assert replies == [fr.TotalReply(n, fr.Status.DONE, 1.0) for n in range(1, 10_001)]
                return sum(reply.total for reply in replies if isinstance(reply, fr.TotalReply))

            assert (
                await asyncio.gather(*(load(connection, n) for n, connection in enumerate(connections)))
                == [10_000.0] * 4
            )
            assert service.pipeline.state.sizes["names"] == 40_000

    run(test())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (fr.encode(fr.Add(1, 1, 1.0, 1.0)), fr.Status.BAD),
        (fr.encode(fr.Hello("d", 1, version=9)), fr.Status.VERSION),
        (fr.encode(fr.Hello("d", 1, map_version=4)), fr.Status.MAP),
        (fr.encode(fr.Hello("old", 3)), fr.Status.FENCED),
        (b"GET / HTTP/1.1\r\n\r\n", fr.Status.BAD),
        (fr.encode(fr.Welcome(1)), fr.Status.BAD),
    ],
)
def test_an_invalid_frame_is_rejected_with_its_status_and_closes_the_connection(
    tmp_path: Path, sent: bytes, status: fr.Status
) -> None:
    async def test() -> None:
        async with running_service(tmp_path) as (_, port):
            await ProtocolConnection.connect(port, fr.Hello("old", 5))
            connection = await ProtocolConnection.connect(port)
            connection.writer.write(sent)
            rejection = await connection.next()
            assert isinstance(rejection, fr.Rejection) and rejection.status is status
            with pytest.raises(EOFError):
                await connection.next()

    run(test())


def test_a_connection_with_an_incomplete_frame_is_closed_while_others_are_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path, "idle_ms: 100") as (_, port):
            stalled = await ProtocolConnection.connect(port, fr.Hello("a", 1))
            idle = await ProtocolConnection.connect(port, fr.Hello("b", 1))
            stalled.writer.write(fr.encode(fr.Add(1, 1, 1.0, 1.0))[:20])
            rejection = await stalled.next()
            assert isinstance(rejection, fr.Rejection) and "half a frame" in rejection.reason
            idle.send(fr.Add(1, 1, 1.0, 1e6))
            assert await idle.next() == fr.TotalReply(1, fr.Status.DONE, 1.0)  # idle between frames is allowed

    run(test())


def test_a_slow_reader_is_disconnected_and_its_commands_remain_counted(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path, "unsent_bytes: 4096") as (service, port):
            slow = await ProtocolConnection.connect(port, fr.Hello("slow", 1))
            count = 0
            while service.connections:
                slow.send(*(fr.Add(n, 1, 1.0, 1e9) for n in range(count + 1, count + 2001)))
                count += 2000
                await asyncio.sleep(0.001)
            reconnected = await ProtocolConnection.connect(port, fr.Hello("slow", 1))
            reconnected.send(fr.Add(1, 1, 1.0, 1e9), fr.Read(0, 1))
            first, total = await reconnected.next(), await reconnected.next()
            assert isinstance(first, fr.TotalReply) and first.status in (fr.Status.REPEATED, fr.Status.TOO_OLD)
            assert (
                isinstance(total, fr.TotalReply)
                and total.total == service.pipeline.state.gateway("slow").highest_sequence
            )

    run(test())


def test_a_locked_or_unwritable_directory_and_wrong_settings_are_reported(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path):
            with pytest.raises(LockedError, match="another process holds it"):
                open_pipeline(parse_service(config(tmp_path), "c"))
            file = tmp_path.parent / "counter.txtpb"
            file.write_text(config(tmp_path))
            result = await asyncio.to_thread(CliRunner().invoke, cli, ["counter", "serve", str(file)])
            assert result.exit_code == 1 and "another process" in result.output
        (tmp_path / "plain").write_text("")
        file.write_text(config(tmp_path / "plain" / "log"))
        result = await asyncio.to_thread(CliRunner().invoke, cli, ["counter", "serve", str(file)])
        assert result.exit_code == 1 and "Traceback" not in result.output
        invalid = tmp_path / "no.pem"
        invalid.write_text("no certificate")
        file.write_text(config(tmp_path / "tls", f'tls {{ certificate: "{invalid}" key: "{invalid}" }}'))
        result = await asyncio.to_thread(CliRunner().invoke, cli, ["counter", "serve", str(file)])
        assert result.exit_code == 1 and "no.pem" in result.output
        file.write_text('name: "" log { commit_ms: -1 }')
        result = await asyncio.to_thread(CliRunner().invoke, cli, ["counter", "serve", str(file)])
        assert result.exit_code == 2 and len(result.output.splitlines()) == 3

    run(test())


# The gateway's client


class GatewayClient:
    """A gateway's client, with the results of its adds and the events that it logged."""

    def __init__(self, port: int, journal: Path, name: str = "door-0", **options: Any) -> None:
        self.results: dict[int, tuple[CallResult, float]] = {}
        self.events: list[str] = []
        self.client = CounterClient(
            [("127.0.0.1", port)],
            AttemptJournal(journal, 100_000),
            self._on_result,
            lambda event, fields: self.events.append(event),
            ClientOptions(name, **options),
        )
        self.client.start()
        self._last_call = 0

    def _on_result(self, call: int, result: CallResult, total: float, retained_ms: float) -> None:
        assert call not in self.results
        self.results[call] = result, total

    def add(self, key: int, units: float = 1.0) -> int:
        self._last_call += 1
        self.client.add(self._last_call, key, units, 1e9)
        return self._last_call

    async def wait_until_answered(self) -> None:
        while self.client.pending_count or len(self.results) < self._last_call:
            await asyncio.sleep(0.005)


def test_a_client_gets_the_result_of_each_add_and_its_attempts_leave_the_journal(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "log") as (_, port):
            gateway = GatewayClient(port, tmp_path / "door", timeout_ms=5000.0)
            calls = [gateway.add(5) for _ in range(50)]
            assert gateway.client.record(AttemptRecord("r1", time.time() * 1000, 1.0, False, "ada", "basic", "read"))
            await gateway.wait_until_answered()
            assert [gateway.results[call] for call in calls] == [(CallResult.OK, n + 1.0) for n in range(50)]
            await gateway.client.stop()
            assert not AttemptJournal(tmp_path / "door", 10).pending

    run(test())


def test_without_a_service_adds_fail_and_attempts_stay_in_the_journal(tmp_path: Path) -> None:
    async def test() -> None:
        listener = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        gateway = GatewayClient(port, tmp_path / "door", timeout_ms=30.0)
        call = gateway.add(5)
        now = time.time() * 1000
        assert gateway.client.record(AttemptRecord("r1", now, 2.0, True, "ada", "basic", "read"))
        while call not in gateway.results:
            await asyncio.sleep(0.005)
        assert gateway.results[call] == (CallResult.CONNECT_FAILED, 0.0)
        await gateway.client.stop()
        listener.close()
        async with running_service(tmp_path / "log") as (service, port):
            restarted = GatewayClient(port, tmp_path / "door", timeout_ms=5000.0)  # the same gateway after a restart
            await restarted.wait_until_answered()
            await restarted.client.stop()
            assert service.pipeline.state.total(5) == 0.0
        [(gateway_name, attempt)] = iterate_attempts(tmp_path / "log")
        assert (gateway_name, attempt.request_id, attempt.units, attempt.over_quota, attempt.time_ms) == (
            "door-0",
            "r1",
            2.0,
            True,
            now,
        )

    run(test())


def test_the_journal_is_bounded_and_ignores_an_incomplete_last_line(tmp_path: Path) -> None:
    journal = AttemptJournal(tmp_path, 2)
    attempts = [fr.RecordAttempt(0, 1.0, 1.0, False, f"r{n}", "a", "p", "c") for n in range(3)]
    assert [journal.append(attempt) for attempt in attempts] == [True, True, False]
    journal.acknowledge("r0")
    assert journal.append(attempts[2])
    for _ in range(20):
        journal.acknowledge("r2")
        assert journal.append(attempts[2])
    assert len((tmp_path / "tries.jsonl").read_text().splitlines()) <= 9  # rewritten beyond its bound
    journal.close()
    with (tmp_path / "tries.jsonl").open("a") as file:
        file.write('{"time_ms": 1.0, "req')
    reopened = AttemptJournal(tmp_path, 2)
    assert list(reopened.pending) == ["r1", "r2"] and reopened.epoch > journal.epoch
    reopened.close()


KILLS = 6
ROUNDS_PER_KILL = 300  # bounds each gateway's load during a slow restart; at most 75 rounds precede a kill


def test_killed_services_under_load_lose_nothing_and_count_nothing_twice(tmp_path: Path) -> None:
    """Each add and each attempt counts once although the process is killed repeatedly."""

    async def test() -> None:
        from martenstep.lab.copies import start_counter
        from martenstep.lab.ports import reserve_ports

        [port] = reserve_ports(1)
        file = tmp_path / "counter.txtpb"
        file.write_text(
            f'name: "c" port: {port} log {{ directory: "{tmp_path / "log"}" commit_ms: 1 '
            "segment_bytes: 20000 snapshot_records: 900 }"
        )
        process, _ = await start_counter(file)
        gateways = [GatewayClient(port, tmp_path / f"door-{n}", f"door-{n}", timeout_ms=200.0) for n in range(2)]
        sent: dict[int, float] = {}
        stop = asyncio.Event()
        allowed_rounds = ROUNDS_PER_KILL
        rounds = [0, 0]

        async def load(gateway: GatewayClient, number: int) -> None:
            attempts = 0
            while not stop.is_set():
                if rounds[number] == allowed_rounds:  # until the next kill adds rounds
                    await asyncio.sleep(0.002)
                    continue
                rounds[number] += 1
                for _ in range(5):
                    call = gateway.add(attempts % 3, 1.0)
                    if call not in gateway.results:
                        sent[attempts % 3] = sent.get(attempts % 3, 0.0) + 1.0
                    # Both gateways send every other attempt, like a client that repeats its request.
                    request_id = f"r{attempts}" if attempts % 2 else f"r{number}-{attempts}"
                    gateway.client.record(
                        AttemptRecord(request_id, time.time() * 1000, 1.0, False, "ada", "basic", "read")
                    )
                    request_ids.add(request_id)
                    attempts += 1
                await asyncio.sleep(0.002)

        request_ids: set[str] = set()
        loads = [asyncio.create_task(load(gateway, number)) for number, gateway in enumerate(gateways)]
        for _ in range(KILLS):
            await asyncio.sleep(0.15)
            assert max(rounds) < allowed_rounds  # the load goes on until the kill
            process.kill()
            await process.wait()
            process, _ = await start_counter(file)
            allowed_rounds += ROUNDS_PER_KILL
        stop.set()
        await asyncio.gather(*loads)
        for gateway in gateways:
            await gateway.wait_until_answered()
            await gateway.client.stop()
        dropped = sum(
            result is CallResult.CONNECT_FAILED for gateway in gateways for result, _ in gateway.results.values()
        )
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        assert sum(gateway.client.resent for gateway in gateways) > 0  # some commands had to be sent again
        state = rebuild_from_log(tmp_path / "log", CounterLimits())
        assert sum(state.total(key) for key in sent) == sum(sent.values()) - dropped
        assert sum(totals.attempts for totals in state.usage().values()) == len(request_ids)
        recorded_ids = [attempt.request_id for _, attempt in iterate_attempts(tmp_path / "log")]
        assert sorted(recorded_ids) == sorted(request_ids)
        assert verify(tmp_path / "log").records > 0

    run(test(), LONG_TEST_TIMEOUT_S)


def test_the_command_line_tools_read_verify_and_repair_the_log(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path) as (_, port):
            connection = await ProtocolConnection.connect(port, fr.Hello("door-0", 1))
            now = time.time() * 1000
            for n, customer in enumerate(("ada", "ada", "bob"), 1):
                connection.send(fr.RecordAttempt(n, now + n, 2.0, n == 2, f"r{n}", customer, "basic", "read"))
            for _ in range(3):
                assert isinstance(await connection.next(), fr.RecordReply)

    run(test())

    def run_command(*arguments: str) -> Any:
        result = CliRunner().invoke(cli, ["counter", *arguments])
        return (
            result.exit_code,
            [json.loads(line) for line in result.stdout.splitlines() if line.startswith("{")],
            result,
        )

    code, lines, _ = run_command("history", str(tmp_path), "ada")
    assert code == 0 and [line["request"] for line in lines] == ["r1", "r2"] and lines[1]["beyond"]
    assert lines[0]["door"] == "door-0"
    code, lines, _ = run_command("history", str(tmp_path), "ada", "--from", str(lines[1]["time_ms"]))
    assert [line["request"] for line in lines] == ["r2"]
    assert len(run_command("export", str(tmp_path))[1]) == 3
    code, lines, _ = run_command("rebuild", str(tmp_path))
    assert code == 0 and [(line["customer"], line["tries"], line["units"], line["beyond"]) for line in lines] == [
        ("ada", 2, 4.0, 2.0),
        ("bob", 1, 2.0, 0.0),
    ]
    assert run_command("verify", str(tmp_path))[0] == 0
    [segment] = tmp_path.glob("seg-*")
    data = bytearray(segment.read_bytes())
    data[60] ^= 1
    segment.write_bytes(bytes(data))
    code, _, result = run_command("verify", str(tmp_path))
    assert code == 1 and segment.name in result.output and "at byte 32" in result.output
    assert run_command("repair", str(tmp_path), "--file", "nope", "--upto", "32")[0] == 1
    assert run_command("repair", str(tmp_path), "--file", segment.name, "--upto", "32")[0] == 0
    assert run_command("verify", str(tmp_path))[0] == 0 and not run_command("export", str(tmp_path))[1]
