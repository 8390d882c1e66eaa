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
from tests.test_counter_service import Desk, served

HOUR_S = 3600.0
LIFE_MS = 20_000.0


class WallClock:
    """The wall clock of this process, stepped."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self._real, self.shift_s = time.time, 0.0
        patch.setattr(time, "time", self.read)

    def read(self) -> float:
        """Unix seconds."""
        return self._real() + self.shift_s


def test_names_in_use_outlast_a_step_of_the_services_clock(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Forward by an hour it forgot all names; back by one it forgot none for an hour."""

    async def test(step_s: float, folder: Path) -> None:
        clock.shift_s = 0.0
        async with served(folder / "log") as (_, port):
            desk = Desk(port, folder / "door", timeout_ms=5000.0)
            for number, life_ms in ((5, LIFE_MS), (6, 50.0)):
                desk.client.add(1000 + number, number, 3.0, life_ms)
            while len(desk.answers) < 2:
                await asyncio.sleep(0.005)
            clock.shift_s = step_s
            await asyncio.sleep(0.1)  # the second name's life is over
            for number in (5, 6):
                desk.client.add(2000 + number, number, 1.0, LIFE_MS)
            while len(desk.answers) < 4:
                await asyncio.sleep(0.005)
            assert [desk.answers[call][1] for call in (2005, 2006)] == [4.0, 1.0]
            await desk.client.stop()

    clock = WallClock(monkeypatch)
    for step_s in (HOUR_S, -HOUR_S):
        run(test(step_s, tmp_path / f"{step_s}"))


def test_a_try_is_recorded_whatever_the_doors_clock_says(tmp_path: Path) -> None:
    """Its time lay too far from the service's: it was refused, and struck from the journal without a word."""

    async def test(step_s: float, folder: Path) -> None:
        async with served(folder / "log") as (service, port):
            desk = Desk(port, folder / "door", timeout_ms=5000.0)
            for number in range(5):
                at_ms = (time.time() + step_s) * 1000
                assert desk.client.record(AttemptRecord(f"r{number}", at_ms, 1.0, False, "ada", "basic", "read"))
            async with asyncio.timeout(5):
                await desk.quiet()
            await desk.client.stop()
            uses = service.pipeline.state.usage().values()
            assert sum(use.attempts for use in uses) == 5
        assert not AttemptJournal(folder / "door", 10).pending
        assert sorted(told.request_id for _, told in iterate_attempts(folder / "log")) == [
            f"r{number}" for number in range(5)
        ]

    for step_s in (0.0, 90.0, HOUR_S, -900.0, -HOUR_S):
        run(test(step_s, tmp_path / f"{step_s}"))


def test_the_service_acknowledges_again_once_its_disk_works(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """It waited for a person to restart it.  What was acknowledged stays, and nothing counts twice."""

    async def test(fault: str, folder: Path) -> None:
        faults = tmp_path / f"faults-{fault}"
        monkeypatch.setenv(DISK_FAULTS_VARIABLE, str(faults))
        async with served(folder / "log") as (_, port):
            desk = Desk(port, folder / "door", timeout_ms=200.0)
            first = desk.add(5, 3.0)
            await desk.quiet()
            assert desk.answers[first][1] == 3.0
            faults.write_text(json.dumps({fault: 1}))
            lost = desk.add(5)
            assert desk.client.record(AttemptRecord("r1", time.time() * 1000, 1.0, False, "ada", "basic", "read"))
            while lost not in desk.answers:
                await asyncio.sleep(0.005)
            faults.write_text("{}")
            async with asyncio.timeout(5):
                while desk.client.pending_count:
                    await asyncio.sleep(0.01)
            last = desk.add(5)
            await desk.quiet()
            assert desk.answers[last][1] == 5.0, "3, and one that was written in time or sent again, and one"
            await desk.client.stop()
        monkeypatch.delenv(DISK_FAULTS_VARIABLE)
        async with served(folder / "log") as (service, _):
            assert service.pipeline.state.total(5) == 5.0
        assert [told.request_id for _, told in iterate_attempts(folder / "log")] == ["r1"]

    for fault in ("full", "sync_fails"):
        run(test(fault, tmp_path / fault))
