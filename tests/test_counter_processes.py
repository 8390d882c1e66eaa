"""Three replicas of the counter as real processes that fail under load; the client's own counts are the reference."""

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
from martenstep.lab.copies import CounterReplicas
from martenstep.policy.messages import CallResult
from tests.socket_rig import LONG_TEST_TIMEOUT_S, run


def make_client(copies: CounterReplicas, results: list[CallResult]) -> CounterClient:
    return CounterClient(
        copies.addresses,
        AttemptJournal(copies.folder / "journal", 5000),
        lambda call, result, total, retained_ms: results.append(result),
        lambda event, fields: None,
        ClientOptions("door", timeout_ms=300.0),
    )


def test_killed_and_paused_replicas_lose_nothing_and_count_nothing_twice(tmp_path: Path) -> None:
    async def test() -> None:
        copies, results = CounterReplicas(tmp_path), list[CallResult]()
        await copies.start_all()
        client, stop, sent = make_client(copies, results), asyncio.Event(), 0
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
            await copies.wait_for_leader()
            while CallResult.OK not in results:
                await asyncio.sleep(0.02)
            for _ in range(2):
                lost, before = await copies.wait_for_leader()
                await copies.kill(lost)
                _, after = await copies.wait_for_leader()
                assert after >= before  # the next leader lacks nothing that was acknowledged
                await copies.start(lost)
            paused, before = await copies.wait_for_leader()
            copies.running[paused].send_signal(signal.SIGSTOP)
            process = copies.running.pop(paused)
            _, after = await copies.wait_for_leader()
            process.send_signal(signal.SIGCONT)
            copies.running[paused] = process
            assert after >= before
            stop.set()
            await loading
            assert await client.flush(20_000)
            _, total = await copies.wait_for_leader()
            assert len(results) == sent and set(results) <= {
                CallResult.OK,
                CallResult.TIMEOUT,
                CallResult.CONNECT_FAILED,
            }
            assert total == sent - results.count(CallResult.CONNECT_FAILED)  # these were never sent
            assert results.count(CallResult.OK) > 0 and not client.pending_count
        finally:
            stop.set()
            await client.stop()
            await copies.stop()
        # On disk a majority of the replicas holds every attempt and every add, once.
        counters = [copies.load_state(number) for number in range(3)]
        assert sorted(counter.total(7) == total for counter in counters)[1:] == [True, True]
        attempt_counts = [sum(totals.attempts for totals in counter.usage().values()) for counter in counters]
        assert sorted(count == sent for count in attempt_counts)[1:] == [True, True]

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_single_replica_grows_to_three_without_a_stop_and_can_then_be_lost(tmp_path: Path) -> None:
    async def test() -> None:
        copies, results = CounterReplicas(tmp_path), list[CallResult]()
        copies.write_settings([0], bootstrap_count=1)
        await copies.start(0)
        client, sent = make_client(copies, results), 0
        client.start()

        async def load() -> None:
            nonlocal sent
            while True:
                client.add(sent, 7, 1.0, 86_400_000.0)
                sent += 1
                await asyncio.sleep(0.01)

        async def wait_for_voters(number: int, expected: set[int]) -> None:
            while not any(set(event.get("voters", ())) == expected for event in copies.logged_events(number)):
                await asyncio.sleep(0.02)

        loading = asyncio.create_task(load())
        try:
            while results.count(CallResult.OK) < 50:
                await asyncio.sleep(0.02)
            copies.write_settings(range(3), bootstrap_count=1)
            await asyncio.gather(copies.start(1), copies.start(2))  # these two must not form a group of their own
            copies.running[0].send_signal(signal.SIGHUP)
            await wait_for_voters(0, set(copies.ids))
            _, before = await copies.wait_for_leader()
            await copies.kill(0)  # the only bootstrap member is lost
            leader, after = await copies.wait_for_leader()
            assert leader != 0 and after >= before
            loading.cancel()
            assert await client.flush(60_000)
            _, total = await copies.wait_for_leader()
            assert total == sent - results.count(CallResult.CONNECT_FAILED) and len(results) == sent
        finally:
            loading.cancel()
            await client.stop()
            await copies.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_disk_of_an_unlisted_replica_is_rejected(tmp_path: Path) -> None:
    copies = CounterReplicas(tmp_path)
    for path in (tmp_path / "log-1").iterdir():
        path.unlink()
    result = CliRunner().invoke(cli, ["counter", "serve", str(copies.file(1))])
    assert result.exit_code == 1 and "which is not among those of the settings" in result.output


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (
            ('log-0" }', 'log-0" durable: false }'),
            "log.durable: expected true, because copies acknowledge only what is durable",
        ),
        (('group: "g"', ""), "copies.group: missing"),
        (("  } ", " later: true } "), ": all are later, expected at least one that began the group"),
        (('doors: "127.0.0.1:', 'doors: "127.0.0.1'), "copies.copy[0].doors: expected HOST:PORT"),
    ],
)
def test_settings_that_no_replica_group_can_use_are_rejected(
    tmp_path: Path, change: tuple[str, str], error: str
) -> None:
    copies = CounterReplicas(tmp_path)
    file = copies.file(0)
    file.write_text(file.read_text().replace(*change))
    result = CliRunner().invoke(cli, ["counter", "serve", str(file)])
    assert result.exit_code == 2 and error in result.output, result.output
