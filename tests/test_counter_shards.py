"""Keys and customers split over several counter services."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

import pytest

from martenstep.config.loading import parse_door
from martenstep.config.text_format import SettingsError
from martenstep.counter.client import ClientOptions, CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.log_inspection import iterate_attempts, rebuild_from_log
from martenstep.counter.pending_increments import AttemptRecord
from martenstep.counter.shards import ShardedClient, owning_service
from martenstep.counter.state import CounterLimits
from martenstep.policy.messages import CallResult
from tests.engine_rig import SETTINGS
from tests.socket_rig import run
from tests.test_counter_service import running_service


def test_a_service_that_joins_or_leaves_moves_only_its_own_keys() -> None:
    keys = [f"n{number:x}" for number in range(20_000)]
    three = {key: owning_service(["a", "b", "c"], key) for key in keys}
    # The order in which the services are listed does not matter.
    assert three == {key: owning_service(["c", "a", "b"], key) for key in keys}
    assert all(6000 < count < 7400 for count in Counter(three.values()).values())
    two = {key: owning_service(["a", "b"], key) for key in keys}
    assert {three[key] for key in keys if three[key] != two[key]} == {"c"}
    four = {key: owning_service(["a", "b", "c", "d"], key) for key in keys}
    moved = [key for key in keys if three[key] != four[key]]
    assert {four[key] for key in moved} == {"d"} and 0.2 < len(moved) / len(keys) < 0.3


def test_each_add_and_attempt_goes_to_one_service_and_counts_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "a") as (_, a), running_service(tmp_path / "b") as (_, b):
            results: dict[int, tuple[CallResult, float]] = {}

            def start_client(name: str) -> ShardedClient:
                client = ShardedClient(
                    {
                        service: CounterClient(
                            [("127.0.0.1", port)],
                            AttemptJournal(tmp_path / name / service, 1000),
                            lambda call, result, total, retained_ms: results.__setitem__(call, (result, total)),
                            lambda event, fields: None,
                            ClientOptions(name, timeout_ms=5000.0),
                        )
                        for service, port in (("a", a), ("b", b))
                    }
                )
                client.start()
                return client

            first, second = start_client("door-0"), start_client("door-1")
            now = time.time() * 1000
            for number in range(200):
                (first if number % 2 else second).add(number, number // 4, 1.0, 1e9)
                for client in (first, second):  # the same attempt from both
                    assert client.record(
                        AttemptRecord(f"r{number}", now, 1.0, False, f"customer-{number % 9}", "basic", "read")
                    )
            assert all(await asyncio.gather(first.flush(9000.0), second.flush(9000.0)))
            await asyncio.gather(first.stop(), second.stop())
            assert sorted(total for _, total in results.values()) == sorted([1.0, 2.0, 3.0, 4.0] * 50)
        states = [rebuild_from_log(tmp_path / service, CounterLimits()) for service in ("a", "b")]
        assert all(sorted(state.total(key) for state in states) == [0.0, 4.0] for key in range(50))
        attempts = [attempt for service in ("a", "b") for _, attempt in iterate_attempts(tmp_path / service)]
        assert sorted(attempt.request_id for attempt in attempts) == sorted(f"r{number}" for number in range(200))
        for number in range(9):
            recorded = [
                any(attempt.customer == f"customer-{number}" for _, attempt in iterate_attempts(tmp_path / service))
                for service in ("a", "b")
            ]
            assert sorted(recorded) == [False, True]  # one log holds all attempts of a customer

    run(test())


def test_a_client_with_an_old_map_version_is_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "log", "map_version: 2") as (service, port):
            errors: list[str] = []
            client = CounterClient(
                [("127.0.0.1", port)],
                AttemptJournal(tmp_path / "door", 10),
                lambda call, result, total, retained_ms: None,
                lambda event, fields: errors.append(str(fields)),
                ClientOptions("door-0", map_version=1),
            )
            client.start()
            client.add(1, 1, 1.0, 1e9)
            while not errors:
                await asyncio.sleep(0.002)
            assert "MAP: the map has version 2: reload it" in errors[0]
            await client.stop()
            assert service.pipeline.state.total(1) == 0.0

    run(test())


def test_the_settings_of_several_services_are_checked() -> None:
    base = SETTINGS.replace("store { port: 1 timeout_ms: 50 }", 'counter { journal: "/tmp/j" SERVICES }')
    valid = 'service { name: "a" port: 1 } service { name: "b" port: 2 }'
    assert len(parse_door(base.replace("SERVICES", valid), "d").counter.service) == 2
    settings = parse_door(base.replace("SERVICES", 'service { name: "a" copy { port: 1 } copy { port: 2 } }'), "d")
    assert [copy.port for copy in settings.counter.service[0].copy] == [1, 2]
    for invalid, error in (
        (valid.replace('"b"', '"a"'), "is taken by"),
        (valid + " port: 5", "given beside service"),
        ('service { name: "a" }', "missing, expected a port"),
        ("", "missing, expected a port"),
        ('service { name: "a" port: 1 copy { port: 2 } }', "given beside copy"),
        ('service { name: "a" copy { port: 2 } copy { } }', "missing, expected a port"),
        ("port: 1 timeout_ms: 4000", "counter.timeout_ms: expected below the shortest deadline of 4000"),
    ):
        with pytest.raises(SettingsError, match=error):
            parse_door(base.replace("SERVICES", invalid), "d")
