"""The load tool: open loop whatever the gateway does, every answer counted, bounds kept, the highest rate found."""

from __future__ import annotations

import asyncio
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.lab import load as loading
from martenstep.lab.emulate.match import TOLERANCES, Pair


class HoldingServer:
    """A server on the loopback, in a thread; it holds all answers back until it has received a number of requests."""

    def __init__(self, hold: int, answer: bytes) -> None:
        self._hold, self._answer = hold, answer
        self.received = 0
        self.customers: Counter[str] = Counter()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                self.received += 1
                self.customers[head.partition("x-customer: ")[2].partition("\r")[0]] += 1
                if self.received >= self._hold:
                    self._released.set()
                await self._released.wait()
                if not self._answer:
                    break
                writer.write(self._answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def _run(self, ready: threading.Event) -> None:
        self._released = asyncio.Event()
        self._stop = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1000)
        self.port = server.sockets[0].getsockname()[1]
        ready.set()
        await self._stop.wait()
        server.close()

    @contextmanager
    def up(self) -> Iterator[HoldingServer]:
        """Serve while the context is entered."""
        ready = threading.Event()
        thread = threading.Thread(target=lambda: asyncio.run(self._run(ready)))
        thread.start()
        ready.wait()
        try:
            yield self
        finally:
            self._loop.call_soon_threadsafe(self._stop.set)
            thread.join()


GOOD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def test_requests_are_sent_on_time_while_no_answer_arrives() -> None:
    """Answers are held back until forty requests have arrived: a closed-loop load would never send them."""
    with HoldingServer(40, GOOD).up() as server:
        result = loading.load(
            loading.LoadTarget("127.0.0.1", server.port, ("/a",), customers=3), 300.0, 0.5, processes=2
        )
    total = sum(result.answers.values())
    assert result.answers == {"200": total} and total == server.received >= 40 and result.successes == total
    assert set(server.customers) == {"c0", "c1", "c2"} and result.latencies.get_total_count() == total
    assert result.percentile_ms(100) >= result.percentile_ms(50) > 0


@pytest.mark.parametrize(
    ("answer", "what", "good"),
    [
        (b"HTTP/1.1 503 no\r\ncontent-length: 0\r\n\r\n", "503", True),
        (b"HTTP/1.1 502 no\r\ncontent-length: 0\r\n\r\n", "502", False),
        (b"", "broken", False),
        (b"nonsense\r\n\r\n", "broken", False),
    ],
)
def test_each_outcome_is_counted_by_its_kind(answer: bytes, what: str, good: bool) -> None:
    with HoldingServer(1, answer).up() as server:
        result = loading.load(loading.LoadTarget("127.0.0.1", server.port), 100.0, 0.2)
    total = sum(result.answers.values())
    assert result.answers == {what: total} and total > 0 and result.successes == (total if good else 0)


def test_load_out_of_bounds_or_beyond_the_loopback_is_refused() -> None:
    for rate, seconds in ((0, 1), (1e9, 1), (1, 1e9), (90_000, 590), (float("nan"), 1)):
        with pytest.raises(loading.LoadError):
            loading.check_bounds(rate, seconds)
    for host in ("127.0.0.1", "::1", "localhost"):
        loading.check_host(host, False)
    for host in ("192.0.2.1", "example.org"):
        with pytest.raises(loading.LoadError, match="not on the loopback"):
            loading.check_host(host, False)
        loading.check_host(host, True)


@pytest.mark.parametrize("limit", [137.0, 450.0, 999.0, 20.0])
def test_the_highest_sustained_rate_is_found(limit: float) -> None:
    def run(rate: float) -> loading.LoadResult:
        result = loading.LoadResult(rate, Counter({"200": 1000}))
        result.latencies.record_value(1000 if rate <= limit else 90_000)
        return result

    steps = loading.find_highest_rate(run, 50.0, 10_000.0, 10.0, 0.001, 30)
    held = max((rate for rate, good, _ in steps if good), default=0.0)
    assert held <= limit and (held >= limit * 0.9 or limit < 50) and len(steps) < 30
    fails = loading.find_highest_rate(
        lambda rate: loading.LoadResult(rate, Counter({"200": 90, "504": 10})), 50.0, 100.0, 1e9, 0.001, 9
    )
    assert not any(good for _, good, _ in fails)


def test_the_command_prints_a_table_and_refuses_invalid_arguments(tmp_path: Path) -> None:
    with HoldingServer(1, GOOD).up() as server:
        done = CliRunner().invoke(
            cli,
            ["load", str(server.port), "--rate", "50", "--seconds", "0.3", "--processes", "1", "--header", "x-a: b"],
        )
        found = CliRunner().invoke(
            cli,
            [
                "load",
                str(server.port),
                "--rate",
                "40",
                "--seconds",
                "0.2",
                "--processes",
                "1",
                "--until-p99",
                "60000",
                "--most",
                "80",
            ],
        )
    assert done.exit_code == 0 and "| 50 |" in done.output and "200 " in done.output
    assert found.exit_code == 0 and "highest with p99 below 60000 ms: 80 a second" in found.output
    for words in (["1", "--host", "192.0.2.1"], ["1", "--header", "x"], ["1", "--rate", "-1"], ["0"]):
        assert CliRunner().invoke(cli, ["load", *words]).exit_code == 2
    closed = CliRunner().invoke(cli, ["load", str(server.port), "--rate", "20", "--seconds", "0.2"])
    assert closed.exit_code == 1 and "refused" in closed.output


# Real runs compared with emulated runs -----------------------------------------------------------------


def test_figures_that_differ_by_more_than_their_tolerance_are_reported() -> None:
    assert Pair("requests_served", 0.90, 0.915).within and not Pair("requests_served", 0.90, 0.93).within
    assert Pair("p99_ms", 800.0, 700.0).within and not Pair("p99_ms", 800.0, 600.0).within
    assert Pair("p99_ms", 50.0, 69.0).within and set(TOLERANCES) >= {"over_share", "attempts_a_sent", "p50_ms"}


def test_a_folder_without_a_scenario_cannot_be_compared(tmp_path: Path) -> None:
    done = CliRunner().invoke(cli, ["lab", "match", str(tmp_path)])
    assert done.exit_code == 2 and "Traceback" not in done.output
