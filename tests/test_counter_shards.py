"""Names split over several counter services."""

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
from tests.test_counter_service import served


def test_a_service_that_joins_or_leaves_moves_only_its_own_names() -> None:
    keys = [f"n{number:x}" for number in range(20_000)]
    three = {key: owning_service(["a", "b", "c"], key) for key in keys}
    assert three == {key: owning_service(["c", "a", "b"], key) for key in keys}  # in whatever order they are written
    assert all(6000 < count < 7400 for count in Counter(three.values()).values())
    two = {key: owning_service(["a", "b"], key) for key in keys}
    assert {three[key] for key in keys if three[key] != two[key]} == {"c"}
    four = {key: owning_service(["a", "b", "c", "d"], key) for key in keys}
    moved = [key for key in keys if three[key] != four[key]]
    assert {four[key] for key in moved} == {"d"} and 0.2 < len(moved) / len(keys) < 0.3


def test_adds_and_tries_go_to_one_service_each_and_nothing_is_counted_twice(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "a") as (_, a), served(tmp_path / "b") as (_, b):
            answers: dict[int, tuple[CallResult, float]] = {}

            def desk(name: str) -> ShardedClient:
                made = ShardedClient(
                    {
                        service: CounterClient(
                            [("127.0.0.1", port)],
                            AttemptJournal(tmp_path / name / service, 1000),
                            lambda call, verdict, total, kept: answers.__setitem__(call, (verdict, total)),
                            lambda event, fields: None,
                            ClientOptions(name, timeout_ms=5000.0),
                        )
                        for service, port in (("a", a), ("b", b))
                    }
                )
                made.start()
                return made

            one, two = desk("door-0"), desk("door-1")
            now = time.time() * 1000
            for number in range(200):
                (one if number % 2 else two).add(number, number // 4, 1.0, 1e9)
                for door in (one, two):  # the same try from both
                    assert door.record(
                        AttemptRecord(f"r{number}", now, 1.0, False, f"customer-{number % 9}", "basic", "read")
                    )
            assert all(await asyncio.gather(one.flush(9000.0), two.flush(9000.0)))
            await asyncio.gather(one.stop(), two.stop())
            assert sorted(total for _, total in answers.values()) == sorted([1.0, 2.0, 3.0, 4.0] * 50)
        states = [rebuild_from_log(tmp_path / service, CounterLimits()) for service in ("a", "b")]
        assert all(sorted(state.total(name) for state in states) == [0.0, 4.0] for name in range(50))
        tries = [told for service in ("a", "b") for _, told in iterate_attempts(tmp_path / service)]
        assert sorted(told.request_id for told in tries) == sorted(f"r{number}" for number in range(200))
        for number in range(9):
            held = [
                any(told.customer == f"customer-{number}" for _, told in iterate_attempts(tmp_path / service))
                for service in ("a", "b")
            ]
            assert sorted(held) == [False, True]  # one customer, one log

    run(test())


def test_a_client_with_an_old_map_is_told_to_reload(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "log", "map_version: 2") as (service, port):
            notes: list[str] = []
            client = CounterClient(
                [("127.0.0.1", port)],
                AttemptJournal(tmp_path / "door", 10),
                lambda call, verdict, total, kept: None,
                lambda event, fields: notes.append(str(fields)),
                ClientOptions("door-0", map_version=1),
            )
            client.start()
            client.add(1, 1, 1.0, 1e9)
            while not notes:
                await asyncio.sleep(0.002)
            assert "MAP: the map has version 2: reload it" in notes[0]
            await client.stop()
            assert service.pipeline.state.total(1) == 0.0

    run(test())


def test_the_settings_of_several_services_are_checked() -> None:
    base = SETTINGS.replace("store { port: 1 timeout_ms: 50 }", 'counter { journal: "/tmp/j" SERVICES }')
    good = 'service { name: "a" port: 1 } service { name: "b" port: 2 }'
    assert len(parse_door(base.replace("SERVICES", good), "d").counter.service) == 2
    copies = parse_door(base.replace("SERVICES", 'service { name: "a" copy { port: 1 } copy { port: 2 } }'), "d")
    assert [copy.port for copy in copies.counter.service[0].copy] == [1, 2]
    for bad, told in (
        (good.replace('"b"', '"a"'), "is taken by"),
        (good + " port: 5", "given beside service"),
        ('service { name: "a" }', "missing, expected a port"),
        ("", "missing, expected a port"),
        ('service { name: "a" port: 1 copy { port: 2 } }', "given beside copy"),
        ('service { name: "a" copy { port: 2 } copy { } }', "missing, expected a port"),
        ("port: 1 timeout_ms: 4000", "counter.timeout_ms: expected below the shortest deadline of 4000"),
    ):
        with pytest.raises(SettingsError, match=told):
            parse_door(base.replace("SERVICES", bad), "d")
