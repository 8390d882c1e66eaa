"""Three copies of the counter as processes of the program, broken under load: the door's own record is the measure."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.counter.client import ClientOptions, CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.pending_increments import AttemptRecord
from martenstep.lab.copies import Copies
from martenstep.policy.messages import CallResult
from tests.socket_rig import LONG_TEST_TIMEOUT_S, run


def door(copies: Copies, told: list[CallResult]) -> CounterClient:
    return CounterClient(
        copies.addresses,
        AttemptJournal(copies.folder / "journal", 5000),
        lambda call, verdict, total, kept: told.append(verdict),
        lambda event, fields: None,
        ClientOptions("door", timeout_ms=300.0),
    )


def test_killed_and_paused_copies_lose_and_double_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        copies, told = Copies(tmp_path), list[CallResult]()
        await copies.start_all()
        client, stop, sent = door(copies, told), asyncio.Event(), 0
        client.start()

        async def load() -> None:
            nonlocal sent
            while not stop.is_set():
                client.add(sent, 7, 1.0, 86_400_000.0)
                assert client.record(AttemptRecord(f"r{sent}", time.time() * 1000, 1.0, False, "c", "p", "k"))
                sent += 1
                await asyncio.sleep(0.01)

        loading = asyncio.create_task(load())
        try:
            await copies.leader()
            while CallResult.OK not in told:
                await asyncio.sleep(0.02)
            for _ in range(2):
                lost, before = await copies.leader()
                await copies.kill(lost)
                _, after = await copies.leader()
                assert after >= before  # nothing that was told is missing at the next leader
                await copies.start(lost)
            paused, before = await copies.leader()
            copies.running[paused].send_signal(signal.SIGSTOP)
            process = copies.running.pop(paused)
            _, after = await copies.leader()
            process.send_signal(signal.SIGCONT)
            copies.running[paused] = process
            assert after >= before
            stop.set()
            await loading
            assert await client.flush(20_000)
            _, total = await copies.leader()
            assert len(told) == sent and set(told) <= {CallResult.OK, CallResult.TIMEOUT, CallResult.CONNECT_FAILED}
            assert total == sent - told.count(CallResult.CONNECT_FAILED)  # these had never left the door
            assert told.count(CallResult.OK) > 0 and not client.pending_count
        finally:
            stop.set()
            await client.stop()
            await copies.stop()
        # By the disks alone: a majority holds every try and every add, once.
        kept = [copies.on_disk(number) for number in range(3)]
        assert sorted(counter.total(7) == total for counter in kept)[1:] == [True, True]
        assert sorted(sum(use.attempts for use in counter.usage().values()) == sent for counter in kept)[1:] == [
            True,
            True,
        ]

    run(test(), LONG_TEST_TIMEOUT_S)


def test_one_copy_becomes_three_without_a_stop_and_bears_its_own_loss(tmp_path: Path) -> None:
    async def test() -> None:
        copies, told = Copies(tmp_path), list[CallResult]()
        copies.write([0], began=1)
        await copies.start(0)
        client, sent = door(copies, told), 0
        client.start()

        async def load() -> None:
            nonlocal sent
            while True:
                client.add(sent, 7, 1.0, 86_400_000.0)
                sent += 1
                await asyncio.sleep(0.01)

        async def voters(number: int, wanted: set[int]) -> None:
            while not any(set(note.get("voters", ())) == wanted for note in copies.notes(number)):
                await asyncio.sleep(0.02)

        loading = asyncio.create_task(load())
        try:
            while told.count(CallResult.OK) < 50:
                await asyncio.sleep(0.02)
            copies.write(range(3), began=1)
            await asyncio.gather(copies.start(1), copies.start(2))  # they alone make no group
            copies.running[0].send_signal(signal.SIGHUP)
            await voters(0, set(copies.ids))
            _, before = await copies.leader()
            await copies.kill(0)  # the one that was all of it is lost
            leader, after = await copies.leader()
            assert leader != 0 and after >= before
            loading.cancel()
            assert await client.flush(60_000)
            _, total = await copies.leader()
            assert total == sent - told.count(CallResult.CONNECT_FAILED) and len(told) == sent
        finally:
            loading.cancel()
            await client.stop()
            await copies.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_disk_that_is_not_among_the_copies_is_told(tmp_path: Path) -> None:
    copies = Copies(tmp_path)
    for path in (tmp_path / "log-1").iterdir():
        path.unlink()
    done = CliRunner().invoke(cli, ["counter", "serve", str(copies.file(1))])
    assert done.exit_code == 1 and "not among those of the settings" in done.output


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        (('log-0" }', 'log-0" durable: false }'), "log.durable: copies promise only what is durable"),
        (('group: "g"', ""), "copies.group: missing"),
        (("  } ", " later: true } "), ": all came later"),
        (('doors: "127.0.0.1:', 'doors: "127.0.0.1'), "copies.copy[0].doors: expected HOST:PORT"),
    ],
)
def test_settings_that_no_group_can_run_on_are_named(tmp_path: Path, change: tuple[str, str], fault: str) -> None:
    copies = Copies(tmp_path)
    file = copies.file(0)
    file.write_text(file.read_text().replace(*change))
    done = CliRunner().invoke(cli, ["counter", "serve", str(file)])
    assert done.exit_code == 2 and fault in done.output, done.output
