"""The counter service and its clients under a stepped wall clock, and over a disk that fails for a while."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import pytest

from martenstep.counter.journal import AttemptJournal
from martenstep.counter.log_inspection import iterate_attempts
from martenstep.counter.pending_increments import AttemptRecord
from martenstep.storage.disk_faults import DISK_FAULTS_VARIABLE
from tests.socket_rig import run
from tests.test_counter_service import GatewayClient, running_service

HOUR_S = 3600.0
KEY_TTL_MS = 20_000.0


class WallClock:
    """Replaces the wall clock of this process by one that can be stepped."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self._real_time, self.step_s = time.time, 0.0
        patch.setattr(time, "time", self.read)

    def read(self) -> float:
        """Return the stepped time in Unix seconds."""
        return self._real_time() + self.step_s


def test_keys_keep_their_time_to_live_when_the_services_clock_steps(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lifetimes that follow the wall clock.

    A step forward by an hour expired all keys at once, and a step back by an hour kept expired keys for that hour.
    """

    async def test(step_s: float, folder: Path) -> None:
        clock.step_s = 0.0
        async with running_service(folder / "log") as (_, port):
            gateway = GatewayClient(port, folder / "door", timeout_ms=5000.0)
            for key, ttl_ms in ((5, KEY_TTL_MS), (6, 50.0)):
                gateway.client.add(1000 + key, key, 3.0, ttl_ms)
            while len(gateway.results) < 2:
                await asyncio.sleep(0.005)
            clock.step_s = step_s
            await asyncio.sleep(0.1)  # the second key expires
            for key in (5, 6):
                gateway.client.add(2000 + key, key, 1.0, KEY_TTL_MS)
            while len(gateway.results) < 4:
                await asyncio.sleep(0.005)
            assert [gateway.results[call][1] for call in (2005, 2006)] == [4.0, 1.0]
            await gateway.client.stop()

    clock = WallClock(monkeypatch)
    for step_s in (HOUR_S, -HOUR_S):
        run(test(step_s, tmp_path / f"{step_s}"))


def test_an_attempt_is_recorded_despite_a_wrong_clock_at_the_gateway(tmp_path: Path) -> None:
    """Guards against attempts that are silently lost.

    The time of an attempt was too far from the service's time, so the service rejected the attempt, and the client
    removed it from the journal without a log line.
    """

    async def test(step_s: float, folder: Path) -> None:
        async with running_service(folder / "log") as (service, port):
            gateway = GatewayClient(port, folder / "door", timeout_ms=5000.0)
            for number in range(5):
                at_ms = (time.time() + step_s) * 1000
                assert gateway.client.record(AttemptRecord(f"r{number}", at_ms, 1.0, False, "ada", "basic", "read"))
            async with asyncio.timeout(5):
                await gateway.wait_until_answered()
            await gateway.client.stop()
            usage = service.pipeline.state.usage().values()
            assert sum(totals.attempts for totals in usage) == 5
        assert not AttemptJournal(folder / "door", 10).pending
        assert sorted(attempt.request_id for _, attempt in iterate_attempts(folder / "log")) == [
            f"r{number}" for number in range(5)
        ]

    for step_s in (0.0, 90.0, HOUR_S, -900.0, -HOUR_S):
        run(test(step_s, tmp_path / f"{step_s}"))


def test_the_service_acknowledges_again_once_its_disk_works(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a service that acknowledges nothing after a disk failure until a person restarts it.

    Everything that was acknowledged must remain, and nothing may count twice.
    """

    async def test(fault: str, folder: Path) -> None:
        faults = tmp_path / f"faults-{fault}"
        monkeypatch.setenv(DISK_FAULTS_VARIABLE, str(faults))
        async with running_service(folder / "log") as (_, port):
            gateway = GatewayClient(port, folder / "door", timeout_ms=200.0)
            first = gateway.add(5, 3.0)
            await gateway.wait_until_answered()
            assert gateway.results[first][1] == 3.0
            faults.write_text(json.dumps({fault: 1}))
            unacknowledged = gateway.add(5)
            assert gateway.client.record(AttemptRecord("r1", time.time() * 1000, 1.0, False, "ada", "basic", "read"))
            while unacknowledged not in gateway.results:
                await asyncio.sleep(0.005)
            faults.write_text("{}")
            async with asyncio.timeout(5):
                while gateway.client.pending_count:
                    await asyncio.sleep(0.01)
            last = gateway.add(5)
            await gateway.wait_until_answered()
            # The total is 3, 1 that was written in time or sent again, and 1 for the last add.
            assert gateway.results[last][1] == 5.0
            await gateway.client.stop()
        monkeypatch.delenv(DISK_FAULTS_VARIABLE)
        async with running_service(folder / "log") as (service, _):
            assert service.pipeline.state.total(5) == 5.0
        assert [attempt.request_id for _, attempt in iterate_attempts(folder / "log")] == ["r1"]

    for fault in ("full", "sync_fails"):
        run(test(fault, tmp_path / fault))
