"""Tests of the membership with real gateway processes behind relays that inject network faults.

The tests do not depend on durations: each step waits until the member tables are as expected, and a timeout only ends a
wait in vain.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.lab.fleet.rig import Rig, run_rig
from martenstep.lab.fleet.schedule import Step, parse_schedule
from martenstep.lab.play import ScenarioRunError

TIMEOUT_S = 90.0
SCHEDULE = """
name: "real" members: 4 seeds: 2 period_ms: 100 suspect_least_ms: 2000
trouble { what: CUT source: "d003" both: true }
trouble { what: CUT sink: "d002" }
trouble { what: KILL who: "d001" disk: WIPED }
trouble { what: PAUSE who: "d002" for_ms: 1 }
trouble { what: LEAVE who: "d003" }
"""
Status = dict[str, Any]


def _state(status: Status, name: str) -> str:
    return next((str(member["state"]) for member in status["members"] if member["name"] == name), "unknown")


class FaultInjection:
    """A rig whose faults the test begins and ends itself, by their number in the schedule."""

    def __init__(self, out: Path) -> None:
        self.schedule = parse_schedule(SCHEDULE, "real")
        self.rig = Rig(self.schedule, 1, out, lambda part, what: None)

    def set_active(self, number: int, active: bool) -> None:
        entry = self.schedule.trouble[number]
        self.rig.apply_step(Step(0.0, active, number, entry, (entry.who,) if entry.who else ()))

    async def wait_until(
        self, condition: Callable[[dict[str, Status]], bool], names: str = "d000 d001 d002 d003"
    ) -> None:
        while True:
            statuses = {
                name: status for name in names.split() if (status := await self.rig.fetch_members(name)) is not None
            }
            if len(statuses) == len(names.split()) and condition(statuses):
                return
            await asyncio.sleep(0.05)


def _all_alive(statuses: dict[str, Status]) -> bool:
    return all(
        _state(status, name) == "alive" and status["stage"] == "joined" and not status["deaf"]
        for status in statuses.values()
        for name in statuses
    )


async def _check_each_fault(faults: FaultInjection) -> None:
    await faults.rig.open()
    await faults.wait_until(_all_alive)
    faults.set_active(0, True)  # d003 is cut off in both directions
    await faults.wait_until(
        lambda statuses: all(_state(status, "d003") == "dead" for status in statuses.values()), "d000 d001 d002"
    )
    await faults.wait_until(
        lambda statuses: (
            statuses["d003"]["deaf"]
            and all(_state(statuses["d003"], name) != "dead" for name in ("d000", "d001", "d002"))
        ),
        "d003",
    )
    faults.set_active(0, False)
    await faults.wait_until(_all_alive)
    faults.set_active(1, True)  # d002 receives nothing, but the others receive its messages
    await faults.wait_until(
        lambda statuses: all(
            any(
                member["name"] == "d002" and member["deaf"] and member["state"] == "alive"
                for member in status["members"]
            )
            for status in statuses.values()
        ),
        "d000 d001 d003",
    )
    faults.set_active(1, False)
    await faults.wait_until(_all_alive)
    before_kill = await faults.rig.fetch_members("d001")
    faults.set_active(2, True)  # d001 is killed, and restarted with an empty disk
    await faults.wait_until(
        lambda statuses: all(_state(status, "d001") == "dead" for status in statuses.values()), "d000 d002 d003"
    )
    faults.set_active(2, False)
    await faults.wait_until(_all_alive)
    after_restart = await faults.rig.fetch_members("d001")
    assert before_kill is not None and after_restart is not None
    identities = [
        next(member["identity"] for member in status["members"] if member["name"] == "d001")
        for status in (before_kill, after_restart)
    ]
    assert identities[0] != identities[1]
    before_pause = await faults.rig.fetch_members("d002")
    faults.set_active(3, True)  # d002 is paused until the others declare it dead, and resumed
    await faults.wait_until(
        lambda statuses: all(_state(status, "d002") == "dead" for status in statuses.values()), "d000 d001 d003"
    )
    faults.set_active(3, False)
    await faults.wait_until(_all_alive)
    after_pause = await faults.rig.fetch_members("d002")
    assert before_pause is not None and after_pause is not None and after_pause["life"] == before_pause["life"]
    faults.set_active(4, True)  # d003 leaves after SIGTERM
    await faults.wait_until(
        lambda statuses: all(_state(status, "d003") == "left" for status in statuses.values()), "d000 d001 d002"
    )


def test_member_tables_of_real_gateways_converge_through_cuts_kills_pauses_and_leaves(tmp_path: Path) -> None:
    async def test() -> None:
        faults = FaultInjection(tmp_path)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await _check_each_fault(faults)
        finally:
            await faults.rig.close()
        kinds = {record.kind for record in faults.rig.records() if hasattr(record, "kind")}
        assert {"started", "killed", "paused", "resumed", "leaving", "dead", "back", "replaced", "deaf"} <= kinds

    asyncio.run(test())


def test_a_finished_run_is_checked_again_from_its_output_folder(tmp_path: Path) -> None:
    schedule = parse_schedule('name: "calm" members: 2 seeds: 1 length_ms: 300 settle_ms: 0', "x")
    asyncio.run(run_rig(schedule, 1, tmp_path / "out"))
    result = CliRunner().invoke(cli, ["lab", "fleet", "check", str(tmp_path / "out")])
    assert result.exit_code == 0 and result.output.startswith("calm: kept")
    (tmp_path / "out" / "records.jsonl").write_bytes(b"{}\n")
    result = CliRunner().invoke(cli, ["lab", "fleet", "check", str(tmp_path / "out")])
    assert result.exit_code == 2 and "records.jsonl, line 1" in result.output


def test_a_schedule_that_real_processes_cannot_run_is_rejected(tmp_path: Path) -> None:
    for text, reason in (
        ('name: "x" members: 40', "too many processes"),
        ('name: "x" trouble { what: LATE who: "d000" ms: 5 }', "emulated only"),
    ):
        with pytest.raises(ScenarioRunError, match=reason):
            asyncio.run(run_rig(parse_schedule(text, "x"), 1, tmp_path / "out"))
    (tmp_path / "other").mkdir()
    (tmp_path / "other" / "file").write_text("kept")
    with pytest.raises(ScenarioRunError, match="something else"):
        asyncio.run(run_rig(parse_schedule('name: "x"', "x"), 1, tmp_path / "other"))
    assert (tmp_path / "other" / "file").read_text() == "kept"


def test_the_command_line_emulates_schedules_and_reports_invalid_ones(tmp_path: Path) -> None:
    file = tmp_path / "s.txtpb"
    file.write_text('name: "s" members: 5 length_ms: 9000 settle_ms: 1000 trouble { what: KILL who: "d003" }')
    result = CliRunner().invoke(cli, ["lab", "fleet", "emulate", str(file), "--seeds", "2", "--workers", "2"])
    assert result.exit_code == 0 and result.output.count("kept") == 2 and "known_to_all_ms" in result.output
    file.write_text('name: "s" members: 1')
    result = CliRunner().invoke(cli, ["lab", "fleet", "emulate", str(file)])
    assert result.exit_code == 2 and f"{file}:1" in result.output and "members" in result.output
