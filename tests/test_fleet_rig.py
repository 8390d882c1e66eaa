"""Real doors, each a process of its own, behind relays: what breaks between them, and what each comes to hold.

Nothing here rests on how long anything takes: each step waits until the doors hold what they must come to hold, and a
bound only ends a fault.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.lab.fleet.rig import Rig, play_rig
from martenstep.lab.fleet.schedule import Step, parse_schedule
from martenstep.lab.play import PlayError

BOUND_S = 90.0
TEXT = """
name: "real" members: 4 seeds: 2 period_ms: 100 suspect_least_ms: 2000
trouble { what: CUT source: "d003" both: true }
trouble { what: CUT sink: "d002" }
trouble { what: KILL who: "d001" disk: WIPED }
trouble { what: PAUSE who: "d002" for_ms: 1 }
trouble { what: LEAVE who: "d003" }
"""
View = dict[str, Any]


def _state(view: View, name: str) -> str:
    return next((str(one["state"]) for one in view["members"] if one["name"] == name), "unknown")


class Play:
    """A rig whose faults begin and end by hand."""

    def __init__(self, out: Path) -> None:
        self.schedule = parse_schedule(TEXT, "real")
        self.rig = Rig(self.schedule, 1, out, lambda part, what: None)

    def step(self, number: int, on: bool) -> None:
        entry = self.schedule.trouble[number]
        self.rig.apply(Step(0.0, on, number, entry, (entry.who,) if entry.who else ()))

    async def until(self, holds: Callable[[dict[str, View]], bool], names: str = "d000 d001 d002 d003") -> None:
        while True:
            views = {name: view for name in names.split() if (view := await self.rig.view(name)) is not None}
            if len(views) == len(names.split()) and holds(views):
                return
            await asyncio.sleep(0.05)


def _all_alive(views: dict[str, View]) -> bool:
    return all(
        _state(view, name) == "alive" and view["stage"] == "joined" and not view["deaf"]
        for view in views.values()
        for name in views
    )


async def _hard_cases(play: Play) -> None:
    await play.rig.open()
    await play.until(_all_alive)
    play.step(0, True)  # cut off both ways
    await play.until(lambda views: all(_state(view, "d003") == "dead" for view in views.values()), "d000 d001 d002")
    await play.until(
        lambda views: (
            views["d003"]["deaf"] and all(_state(views["d003"], name) != "dead" for name in ("d000", "d001", "d002"))
        ),
        "d003",
    )
    play.step(0, False)
    await play.until(_all_alive)
    play.step(1, True)  # d002 gets nothing, and is heard
    await play.until(
        lambda views: all(
            any(one["name"] == "d002" and one["deaf"] and one["state"] == "alive" for one in view["members"])
            for view in views.values()
        ),
        "d000 d001 d003",
    )
    play.step(1, False)
    await play.until(_all_alive)
    first = await play.rig.view("d001")
    play.step(2, True)  # killed, and started again with an empty disk
    await play.until(lambda views: all(_state(view, "d001") == "dead" for view in views.values()), "d000 d002 d003")
    play.step(2, False)
    await play.until(_all_alive)
    again = await play.rig.view("d001")
    assert first is not None and again is not None
    identities = [next(one["identity"] for one in view["members"] if one["name"] == "d001") for view in (first, again)]
    assert identities[0] != identities[1]
    before = await play.rig.view("d002")
    play.step(3, True)  # stands until the others call it dead, and goes on
    await play.until(lambda views: all(_state(view, "d002") == "dead" for view in views.values()), "d000 d001 d003")
    play.step(3, False)
    await play.until(_all_alive)
    after = await play.rig.view("d002")
    assert before is not None and after is not None and after["life"] == before["life"]
    play.step(4, True)  # leaves by SIGTERM
    await play.until(lambda views: all(_state(view, "d003") == "left" for view in views.values()), "d000 d001 d002")


def test_real_doors_come_to_hold_what_is_so_through_every_hard_case(tmp_path: Path) -> None:
    async def test() -> None:
        play = Play(tmp_path)
        try:
            async with asyncio.timeout(BOUND_S):
                await _hard_cases(play)
        finally:
            await play.rig.close()
        kinds = {record.kind for record in play.rig.records() if hasattr(record, "kind")}
        assert {"started", "killed", "paused", "resumed", "leaving", "dead", "back", "replaced", "deaf"} <= kinds

    asyncio.run(test())


def test_a_played_schedule_is_judged_again_from_its_folder(tmp_path: Path) -> None:
    schedule = parse_schedule('name: "calm" members: 2 seeds: 1 length_ms: 300 settle_ms: 0', "x")
    asyncio.run(play_rig(schedule, 1, tmp_path / "out"))
    done = CliRunner().invoke(cli, ["lab", "fleet", "check", str(tmp_path / "out")])
    assert done.exit_code == 0 and done.output.startswith("calm: kept")
    (tmp_path / "out" / "records.jsonl").write_bytes(b"{}\n")
    done = CliRunner().invoke(cli, ["lab", "fleet", "check", str(tmp_path / "out")])
    assert done.exit_code == 2 and "records.jsonl, line 1" in done.output


def test_what_cannot_be_played_between_processes_is_told(tmp_path: Path) -> None:
    for text, told in (
        ('name: "x" members: 40', "too many processes"),
        ('name: "x" trouble { what: LATE who: "d000" ms: 5 }', "emulated only"),
    ):
        with pytest.raises(PlayError, match=told):
            asyncio.run(play_rig(parse_schedule(text, "x"), 1, tmp_path / "out"))
    (tmp_path / "mine").mkdir()
    (tmp_path / "mine" / "file").write_text("kept")
    with pytest.raises(PlayError, match="something else"):
        asyncio.run(play_rig(parse_schedule('name: "x"', "x"), 1, tmp_path / "mine"))
    assert (tmp_path / "mine" / "file").read_text() == "kept"


def test_schedules_are_emulated_from_the_command_line(tmp_path: Path) -> None:
    file = tmp_path / "s.txtpb"
    file.write_text('name: "s" members: 5 length_ms: 9000 settle_ms: 1000 trouble { what: KILL who: "d003" }')
    done = CliRunner().invoke(cli, ["lab", "fleet", "emulate", str(file), "--seeds", "2", "--workers", "2"])
    assert done.exit_code == 0 and done.output.count("kept") == 2 and "known_to_all_ms" in done.output
    file.write_text('name: "s" members: 1')
    done = CliRunner().invoke(cli, ["lab", "fleet", "emulate", str(file)])
    assert done.exit_code == 2 and f"{file}:1" in done.output and "members" in done.output
