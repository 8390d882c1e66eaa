"""The load tool: open loop whatever the door does, every answer counted, bounds kept, the highest rate found."""

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


class Back:
    """A server on the loopback, in a thread: holds answers back until so many are asked for."""

    def __init__(self, hold: int, answer: bytes) -> None:
        self._hold, self._answer = hold, answer
        self.seen = 0
        self.customers: Counter[str] = Counter()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                self.seen += 1
                self.customers[head.partition("x-customer: ")[2].partition("\r")[0]] += 1
                if self.seen >= self._hold:
                    self._all.set()
                await self._all.wait()
                if not self._answer:
                    break
                writer.write(self._answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def _run(self, ready: threading.Event) -> None:
        self._all = asyncio.Event()
        self._stop = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1000)
        self.port = server.sockets[0].getsockname()[1]
        ready.set()
        await self._stop.wait()
        server.close()

    @contextmanager
    def up(self) -> Iterator[Back]:
        """Serve meanwhile."""
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


def test_requests_go_out_in_their_time_though_nothing_is_answered() -> None:
    """Forty answers are held until forty requests are there: one that waits for answers would never send them."""
    with Back(40, GOOD).up() as back:
        result = loading.load(loading.Aim("127.0.0.1", back.port, ("/a",), customers=3), 300.0, 0.5, processes=2)
    total = sum(result.answers.values())
    assert result.answers == {"200": total} and total == back.seen >= 40 and result.good == total
    assert set(back.customers) == {"c0", "c1", "c2"} and result.times.get_total_count() == total
    assert result.ms(100) >= result.ms(50) > 0


@pytest.mark.parametrize(
    ("answer", "what", "good"),
    [
        (b"HTTP/1.1 503 no\r\ncontent-length: 0\r\n\r\n", "503", True),
        (b"HTTP/1.1 502 no\r\ncontent-length: 0\r\n\r\n", "502", False),
        (b"", "broken", False),
        (b"nonsense\r\n\r\n", "broken", False),
    ],
)
def test_every_end_is_counted_as_what_it_is(answer: bytes, what: str, good: bool) -> None:
    with Back(1, answer).up() as back:
        result = loading.load(loading.Aim("127.0.0.1", back.port), 100.0, 0.2)
    total = sum(result.answers.values())
    assert result.answers == {what: total} and total > 0 and result.good == (total if good else 0)


def test_load_has_an_end_and_stays_on_this_machine() -> None:
    for rate, seconds in ((0, 1), (1e9, 1), (1, 1e9), (90_000, 590), (float("nan"), 1)):
        with pytest.raises(loading.LoadError):
            loading.bounded(rate, seconds)
    for host in ("127.0.0.1", "::1", "localhost"):
        loading.allowed(host, False)
    for host in ("192.0.2.1", "example.org"):
        with pytest.raises(loading.LoadError, match="not on the loopback"):
            loading.allowed(host, False)
        loading.allowed(host, True)


@pytest.mark.parametrize("limit", [137.0, 450.0, 999.0, 20.0])
def test_the_highest_rate_is_found_within_a_twentieth(limit: float) -> None:
    def run(rate: float) -> loading.Result:
        made = loading.Result(rate, Counter({"200": 1000}))
        made.times.record_value(1000 if rate <= limit else 90_000)
        return made

    steps = loading.highest(run, 50.0, 10_000.0, 10.0, 0.001, 30)
    held = max((rate for rate, good, _ in steps if good), default=0.0)
    assert held <= limit and (held >= limit * 0.9 or limit < 50) and len(steps) < 30
    fails = loading.highest(
        lambda rate: loading.Result(rate, Counter({"200": 90, "504": 10})), 50.0, 100.0, 1e9, 0.001, 9
    )
    assert not any(good for _, good, _ in fails)


def test_the_command_tells_a_table_and_refuses_what_it_must(tmp_path: Path) -> None:
    with Back(1, GOOD).up() as back:
        done = CliRunner().invoke(
            cli, ["load", str(back.port), "--rate", "50", "--seconds", "0.3", "--processes", "1", "--header", "x-a: b"]
        )
        found = CliRunner().invoke(
            cli,
            [
                "load",
                str(back.port),
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
    closed = CliRunner().invoke(cli, ["load", str(back.port), "--rate", "20", "--seconds", "0.2"])
    assert closed.exit_code == 1 and "refused" in closed.output


# Played against emulated --------------------------------------------------------------------------------


def test_figures_that_part_by_more_than_stated_are_told() -> None:
    assert Pair("requests_served", 0.90, 0.915).within and not Pair("requests_served", 0.90, 0.93).within
    assert Pair("p99_ms", 800.0, 700.0).within and not Pair("p99_ms", 800.0, 600.0).within
    assert Pair("p99_ms", 50.0, 69.0).within and set(TOLERANCES) >= {"over_share", "attempts_a_sent", "p50_ms"}


def test_a_folder_without_a_day_cannot_be_matched(tmp_path: Path) -> None:
    done = CliRunner().invoke(cli, ["lab", "match", str(tmp_path)])
    assert done.exit_code == 2 and "Traceback" not in done.output
