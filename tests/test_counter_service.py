"""The counter on sockets: groups, bad frames, slow readers, kills, and the door's client through all of it."""

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
from hypothesis import settings as hypo
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

EVERY: list[fr.Frame] = [
    fr.Hello("door-0", 7, 2),
    fr.Add(1, 2**63 - 1, -2.5, 1e6),
    fr.Read(3, 9),
    fr.Welcome(5),
    fr.RecordAttempt(4, 1.7e12, 2.0, True, "r-1", "ä", "plan", "c"),
    fr.TotalReply(1, fr.Status.DONE, 3.5),
    fr.RecordReply(2, fr.Status.KNOWN),
    fr.Rejection(fr.Status.FENCED, "over"),
]


@given(st.lists(st.sampled_from(EVERY), max_size=12), st.data())
@hypo(max_examples=100, deadline=None, derandomize=True)
def test_frames_come_out_however_they_are_cut(sent: list[fr.Frame], data: st.DataObject) -> None:
    stream, reader, got = b"".join(fr.encode(frame) for frame in sent), fr.FrameDecoder(), []
    while stream:
        size = data.draw(st.integers(1, 60))
        got += [fr.decode(payload) for payload in reader.feed(stream[:size])]
        stream = stream[size:]
    assert got == sent and not reader.has_partial_frame


def test_an_add_byte_by_byte() -> None:
    assert fr.encode(fr.Add(1, 2, 1.0, 8.0)).hex() == (
        "00000021" + f"{fr.crc32c(bytes.fromhex(ADD_PAYLOAD)):08x}" + ADD_PAYLOAD
    )


ADD_PAYLOAD = "02" + "0000000000000001" + "0000000000000002" + "3ff0000000000000" + "4020000000000000"


@given(st.binary(max_size=80))
@hypo(max_examples=200, deadline=None, derandomize=True)
def test_no_payload_brings_the_reader_down(payload: bytes) -> None:
    with suppress(fr.ProtocolError):
        fr.decode(payload)


def test_a_bad_checksum_or_length_ends_the_connection() -> None:
    good = fr.encode(EVERY[1])
    for bad in (good[:-1] + b"\0", b"\0\1\0\1" + good[4:], b"\0\0\0\0" + good[4:]):
        if bad != good:
            with pytest.raises(fr.ProtocolError):
                fr.FrameDecoder().feed(bad)


def config(directory: Path, more: str = "") -> str:
    return f'name: "counter" log {{ directory: "{directory}" commit_ms: 1 }} {more}'


@asynccontextmanager
async def served(directory: Path, more: str = "") -> AsyncIterator[tuple[Service, int]]:
    settings = parse_service(config(directory, more), "counter.txtpb")
    keeper, disk = open_pipeline(settings)
    service = Service(settings, keeper)
    try:
        yield service, await service.start()
    finally:
        await service.stop()
        disk.close()


class Wire:
    """A client by hand."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self._frames = reader, writer, fr.FrameDecoder()
        self.got: list[fr.Frame] = []

    @classmethod
    async def to(cls, port: int, hello: fr.Hello | None = None) -> Wire:
        made = cls(*await asyncio.open_connection("127.0.0.1", port))
        if hello is not None:
            made.send(hello)
            assert isinstance(await made.next(), fr.Welcome)
        return made

    def send(self, *frames: fr.Frame) -> None:
        self.writer.write(b"".join(fr.encode(frame) for frame in frames))

    async def next(self) -> fr.Frame:
        while not self.got:
            data = await self.reader.read(65536)
            if not data:
                raise EOFError
            self.got += [fr.decode(payload) for payload in self._frames.feed(data)]
        return self.got.pop(0)


def test_pipelined_commands_are_answered_in_order_and_in_groups(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (service, port):
            wire = await Wire.to(port, fr.Hello("door-0", 1))
            wire.send(*(fr.Add(n, n % 7, 1.0, 1e6) for n in range(1, 1001)), fr.Read(0, 3))
            replies = [await wire.next() for _ in range(1001)]
            assert [r.sequence for r in replies[:-1]] == list(range(1, 1001))  # type: ignore[union-attr]
            assert replies[-1] == fr.TotalReply(0, fr.Status.DONE, 143.0)
            assert service.committed_groups < 200  # one sync for many
        assert rebuild_from_log(tmp_path, CounterLimits()).total(3) == 143.0

    run(test())


def test_ten_thousand_doors_worth_of_frames_over_few_sockets(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path, "window: 100000") as (service, port):
            wires = [await Wire.to(port, fr.Hello(f"door-{n}", 1)) for n in range(4)]

            async def load(wire: Wire, number: int) -> float:
                wire.send(*(fr.Add(n, n * 4 + number, 1.0, 1e9) for n in range(1, 10_001)))
                replies = [await wire.next() for _ in range(10_000)]
                assert replies == [fr.TotalReply(n, fr.Status.DONE, 1.0) for n in range(1, 10_001)]
                return sum(reply.total for reply in replies if isinstance(reply, fr.TotalReply))

            assert await asyncio.gather(*(load(wire, n) for n, wire in enumerate(wires))) == [10_000.0] * 4
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
def test_what_cannot_be_served_is_told_and_closed(tmp_path: Path, sent: bytes, status: fr.Status) -> None:
    async def test() -> None:
        async with served(tmp_path) as (_, port):
            await Wire.to(port, fr.Hello("old", 5))
            wire = await Wire.to(port)
            wire.writer.write(sent)
            refused = await wire.next()
            assert isinstance(refused, fr.Rejection) and refused.status is status
            with pytest.raises(EOFError):
                await wire.next()

    run(test())


def test_half_a_frame_that_hangs_is_cut_off_and_others_are_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path, "idle_ms: 100") as (_, port):
            hangs, fine = await Wire.to(port, fr.Hello("a", 1)), await Wire.to(port, fr.Hello("b", 1))
            hangs.writer.write(fr.encode(fr.Add(1, 1, 1.0, 1.0))[:20])
            refused = await hangs.next()
            assert isinstance(refused, fr.Rejection) and "half a frame" in refused.reason
            fine.send(fr.Add(1, 1, 1.0, 1e6))
            assert await fine.next() == fr.TotalReply(1, fr.Status.DONE, 1.0)  # idle, but between frames

    run(test())


def test_a_slow_reader_is_cut_off_and_its_commands_stand(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path, "unsent_bytes: 4096") as (service, port):
            slow = await Wire.to(port, fr.Hello("slow", 1))
            count = 0
            while service.connections:
                slow.send(*(fr.Add(n, 1, 1.0, 1e9) for n in range(count + 1, count + 2001)))
                count += 2000
                await asyncio.sleep(0.001)
            again = await Wire.to(port, fr.Hello("slow", 1))
            again.send(fr.Add(1, 1, 1.0, 1e9), fr.Read(0, 1))
            first, total = await again.next(), await again.next()
            assert isinstance(first, fr.TotalReply) and first.status in (fr.Status.REPEATED, fr.Status.TOO_OLD)
            assert (
                isinstance(total, fr.TotalReply)
                and total.total == service.pipeline.state.gateway("slow").highest_sequence
            )

    run(test())


def test_a_second_process_on_the_directory_and_one_that_cannot_be_written_are_told(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path):
            with pytest.raises(LockedError, match="another process holds it"):
                open_pipeline(parse_service(config(tmp_path), "c"))
            file = tmp_path.parent / "counter.txtpb"
            file.write_text(config(tmp_path))
            done = await asyncio.to_thread(CliRunner().invoke, cli, ["counter", "serve", str(file)])
            assert done.exit_code == 1 and "another process" in done.output
        (tmp_path / "plain").write_text("")
        file.write_text(config(tmp_path / "plain" / "log"))
        done = await asyncio.to_thread(CliRunner().invoke, cli, ["counter", "serve", str(file)])
        assert done.exit_code == 1 and "Traceback" not in done.output
        bad = tmp_path / "no.pem"
        bad.write_text("no certificate")
        file.write_text(config(tmp_path / "tls", f'tls {{ certificate: "{bad}" key: "{bad}" }}'))
        done = await asyncio.to_thread(CliRunner().invoke, cli, ["counter", "serve", str(file)])
        assert done.exit_code == 1 and "no.pem" in done.output
        file.write_text('name: "" log { commit_ms: -1 }')
        done = await asyncio.to_thread(CliRunner().invoke, cli, ["counter", "serve", str(file)])
        assert done.exit_code == 2 and len(done.output.splitlines()) == 3

    run(test())


# The door's client --------------------------------------------------------------------------------------


class Desk:
    """A door's client, its answers and its own records."""

    def __init__(self, port: int, journal: Path, name: str = "door-0", **words: Any) -> None:
        self.answers: dict[int, tuple[CallResult, float]] = {}
        self.notes: list[str] = []
        self.client = CounterClient(
            [("127.0.0.1", port)],
            AttemptJournal(journal, 100_000),
            self._answer,
            lambda event, fields: self.notes.append(event),
            ClientOptions(name, **words),
        )
        self.client.start()
        self._call = 0

    def _answer(self, call: int, verdict: CallResult, total: float, kept_ms: float) -> None:
        assert call not in self.answers
        self.answers[call] = verdict, total

    def add(self, name: int, units: float = 1.0) -> int:
        self._call += 1
        self.client.add(self._call, name, units, 1e9)
        return self._call

    async def quiet(self) -> None:
        while self.client.pending_count or len(self.answers) < self._call:
            await asyncio.sleep(0.005)


def test_a_client_adds_and_records_and_is_told_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "log") as (_, port):
            desk = Desk(port, tmp_path / "door", timeout_ms=5000.0)
            calls = [desk.add(5) for _ in range(50)]
            assert desk.client.record(AttemptRecord("r1", time.time() * 1000, 1.0, False, "ada", "basic", "read"))
            await desk.quiet()
            assert [desk.answers[call] for call in calls] == [(CallResult.OK, n + 1.0) for n in range(50)]
            await desk.client.stop()
            assert not AttemptJournal(tmp_path / "door", 10).pending

    run(test())


def test_without_a_service_nothing_is_added_and_tries_wait_in_the_journal(tmp_path: Path) -> None:
    async def test() -> None:
        listener = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        desk = Desk(port, tmp_path / "door", timeout_ms=30.0)
        call = desk.add(5)
        now = time.time() * 1000
        assert desk.client.record(AttemptRecord("r1", now, 2.0, True, "ada", "basic", "read"))
        while call not in desk.answers:
            await asyncio.sleep(0.005)
        assert desk.answers[call] == (CallResult.CONNECT_FAILED, 0.0)
        await desk.client.stop()
        listener.close()
        async with served(tmp_path / "log") as (service, port):
            again = Desk(port, tmp_path / "door", timeout_ms=5000.0)  # the door's next life
            await again.quiet()
            await again.client.stop()
            assert service.pipeline.state.total(5) == 0.0
        [(door, told)] = iterate_attempts(tmp_path / "log")
        assert (door, told.request_id, told.units, told.over_quota, told.time_ms) == ("door-0", "r1", 2.0, True, now)

    run(test())


def test_the_journal_is_bounded_and_survives_a_cut_line(tmp_path: Path) -> None:
    journal = AttemptJournal(tmp_path, 2)
    made = [fr.RecordAttempt(0, 1.0, 1.0, False, f"r{n}", "a", "p", "c") for n in range(3)]
    assert [journal.append(one) for one in made] == [True, True, False]
    journal.acknowledge("r0")
    assert journal.append(made[2])
    for _ in range(20):
        journal.acknowledge("r2")
        assert journal.append(made[2])
    assert len((tmp_path / "tries.jsonl").read_text().splitlines()) <= 9  # written anew past its bound
    journal.close()
    with (tmp_path / "tries.jsonl").open("a") as file:
        file.write('{"time_ms": 1.0, "req')
    again = AttemptJournal(tmp_path, 2)
    assert list(again.pending) == ["r1", "r2"] and again.epoch > journal.epoch
    again.close()


KILLS = 6
ROUNDS_A_KILL = 300  # of each gateway's load: a slow start must not make more work, and 75 at most come before a kill


def test_real_kills_under_load_lose_nothing_and_count_nothing_twice(tmp_path: Path) -> None:
    """The process is killed again and again; each add and each try counts once, and the totals are the doors' own."""

    async def test() -> None:
        from martenstep.lab.copies import started
        from martenstep.lab.ports import held_ports

        [port] = held_ports(1)
        file = tmp_path / "counter.txtpb"
        file.write_text(
            f'name: "c" port: {port} log {{ directory: "{tmp_path / "log"}" commit_ms: 1 '
            "segment_bytes: 20000 snapshot_records: 900 }"
        )
        process, _ = await started(file)
        desks = [Desk(port, tmp_path / f"door-{n}", f"door-{n}", timeout_ms=200.0) for n in range(2)]
        sent: dict[int, float] = {}
        stop = asyncio.Event()
        allowed_rounds = ROUNDS_A_KILL
        rounds = [0, 0]

        async def load(desk: Desk, number: int) -> None:
            tries = 0
            while not stop.is_set():
                if rounds[number] == allowed_rounds:  # until the next kill
                    await asyncio.sleep(0.002)
                    continue
                rounds[number] += 1
                for _ in range(5):
                    call = desk.add(tries % 3, 1.0)
                    if call not in desk.answers:
                        sent[tries % 3] = sent.get(tries % 3, 0.0) + 1.0
                    # Every other try is sent by both doors, as by a client that repeats.
                    request = f"r{tries}" if tries % 2 else f"r{number}-{tries}"
                    desk.client.record(AttemptRecord(request, time.time() * 1000, 1.0, False, "ada", "basic", "read"))
                    requests.add(request)
                    tries += 1
                await asyncio.sleep(0.002)

        requests: set[str] = set()
        loads = [asyncio.create_task(load(desk, number)) for number, desk in enumerate(desks)]
        for _ in range(KILLS):
            await asyncio.sleep(0.15)
            assert max(rounds) < allowed_rounds  # it is killed under load
            process.kill()
            await process.wait()
            process, _ = await started(file)
            allowed_rounds += ROUNDS_A_KILL
        stop.set()
        await asyncio.gather(*loads)
        for desk in desks:
            await desk.quiet()
            await desk.client.stop()
        dropped = sum(verdict is CallResult.CONNECT_FAILED for desk in desks for verdict, _ in desk.answers.values())
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        assert sum(desk.client.resent for desk in desks) > 0  # some had to be sent again
        made = rebuild_from_log(tmp_path / "log", CounterLimits())
        assert sum(made.total(name) for name in sent) == sum(sent.values()) - dropped
        assert sum(use.attempts for use in made.usage().values()) == len(requests)
        names = [told.request_id for _, told in iterate_attempts(tmp_path / "log")]
        assert sorted(names) == sorted(requests)
        assert verify(tmp_path / "log").records > 0

    run(test(), LONG_TEST_TIMEOUT_S)


def test_the_log_is_read_back_on_the_command_line(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path) as (_, port):
            wire = await Wire.to(port, fr.Hello("door-0", 1))
            now = time.time() * 1000
            for n, customer in enumerate(("ada", "ada", "bob"), 1):
                wire.send(fr.RecordAttempt(n, now + n, 2.0, n == 2, f"r{n}", customer, "basic", "read"))
            for _ in range(3):
                assert isinstance(await wire.next(), fr.RecordReply)

    run(test())

    def call(*words: str) -> Any:
        done = CliRunner().invoke(cli, ["counter", *words])
        return done.exit_code, [json.loads(line) for line in done.stdout.splitlines() if line.startswith("{")], done

    code, lines, _ = call("history", str(tmp_path), "ada")
    assert code == 0 and [line["request"] for line in lines] == ["r1", "r2"] and lines[1]["beyond"]
    assert lines[0]["door"] == "door-0"
    code, lines, _ = call("history", str(tmp_path), "ada", "--from", str(lines[1]["time_ms"]))
    assert [line["request"] for line in lines] == ["r2"]
    assert len(call("export", str(tmp_path))[1]) == 3
    code, lines, _ = call("rebuild", str(tmp_path))
    assert code == 0 and [(line["customer"], line["tries"], line["units"], line["beyond"]) for line in lines] == [
        ("ada", 2, 4.0, 2.0),
        ("bob", 1, 2.0, 0.0),
    ]
    assert call("verify", str(tmp_path))[0] == 0
    [segment] = tmp_path.glob("seg-*")
    data = bytearray(segment.read_bytes())
    data[60] ^= 1
    segment.write_bytes(bytes(data))
    code, _, done = call("verify", str(tmp_path))
    assert code == 1 and segment.name in done.output and "at byte 32" in done.output
    assert call("repair", str(tmp_path), "--file", "nope", "--upto", "32")[0] == 1
    assert call("repair", str(tmp_path), "--file", segment.name, "--upto", "32")[0] == 0
    assert call("verify", str(tmp_path))[0] == 0 and not call("export", str(tmp_path))[1]
