"""Real doors that hold a counter for each other, and what breaks between them: nothing told is lost or doubled.

Each step waits for what must come about; a bound only ends a fault.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.lab.fleet.promises import CounterWorkload
from martenstep.lab.fleet.rig import Rig
from martenstep.lab.fleet.schedule import Step, parse_schedule

BOUND_S = 120.0
SLOTS = 4
TEXT = """
name: "held" members: 5 zones: 3 seeds: 2 period_ms: 100 suspect_least_ms: 2000 slots: 4 final_ms: 6000
trouble { what: KILL who: "d000" disk: WIPED }
trouble { what: CUT source: "d001" both: true }
trouble { what: PAUSE who: "d002" for_ms: 1 }
trouble { what: KILL who: "d003" }
"""
View = dict[str, Any]


class Play:
    """A rig whose faults begin and end by hand, and the doors that ask."""

    def __init__(self, out: Path) -> None:
        self.schedule = parse_schedule(TEXT, "held")
        self.rig = Rig(self.schedule, 1, out, lambda part, what: None)
        self.promises: CounterWorkload | None = None

    def step(self, number: int, on: bool) -> None:
        entry = self.schedule.trouble[number]
        self.rig.apply_step(Step(0.0, on, number, entry, (entry.who,) if entry.who else ()))

    async def leading(self) -> dict[str, tuple[str, View]]:
        """Each slot's latest leader, and the group as it has it."""
        found: dict[str, tuple[str, View]] = {}
        for number in range(self.schedule.members):
            name = f"d{number:03d}"
            view = await self.rig.fetch_replicas(name)
            for group in view["groups"] if view is not None else []:
                before = found.get(group["group"])
                if group["role"] == "leader" and (before is None or group["term"] > before[1]["term"]):
                    found[group["group"]] = name, group
        return found

    async def until(self, holds: Callable[[dict[str, tuple[str, View]]], bool]) -> dict[str, tuple[str, View]]:
        while not holds(leading := await self.leading()):
            await asyncio.sleep(0.1)
        return leading

    async def more(self, adds: int) -> None:
        """Wait until so many more have been told."""
        assert self.promises is not None
        wanted = self.promises.acknowledged_count + adds
        while self.promises.acknowledged_count < wanted:
            await asyncio.sleep(0.02)


def whole(leading: dict[str, tuple[str, View]]) -> bool:
    return len(leading) == SLOTS and all(
        len(group["at"]) == 3
        and all(one["counts"] and one["present"] for one in group["at"])
        and sorted(one["place"] for one in group["at"]) == sorted(group["wanted"])
        for _, group in leading.values()
    )


async def _hard_cases(play: Play) -> None:
    rig = play.rig
    await rig.open()
    await play.until(whole)
    promises = play.promises = CounterWorkload(rig._out / "askers", rig.counter_addresses(), SLOTS)
    promises.start(per_s=200)
    await play.more(200)
    play.step(0, True)  # a machine is lost with its disk, for good: its copies are made elsewhere
    await play.more(200)
    await play.until(
        lambda leading: whole(leading) and all("d000" not in group["wanted"] for _, group in leading.values())
    )
    play.step(0, False)  # it comes back as another disk, and is filled
    await play.until(lambda leading: whole(leading) and any("d000" in group["wanted"] for _, group in leading.values()))
    play.step(1, True)  # cut off from the others, and reached by who asks
    await play.more(300)
    play.step(1, False)
    play.step(2, True)  # stands, and resumes with what is in its buffers
    await play.more(100)
    play.step(2, False)
    play.step(3, True)  # killed and started again with its disk
    await play.more(100)
    play.step(3, False)
    await play.until(whole)
    leading = await play.leading()
    group, (door, held) = next(iter(leading.items()))
    to = next(one["place"] for one in held["at"] if one["place"] != door)
    port = rig._places[door].process.ready["admin"]  # type: ignore[union-attr]
    told = await asyncio.to_thread(CliRunner().invoke, cli, ["copies", "show", "--admin", f"127.0.0.1:{port}"])
    assert told.exit_code == 0 and group in told.output, told.output
    told = await asyncio.to_thread(
        CliRunner().invoke, cli, ["copies", "move", group, "--to", to, "--admin", f"127.0.0.1:{port}"]
    )
    assert told.exit_code == 0, told.output
    await play.until(lambda leading: group in leading and leading[group][0] == to)
    assert await promises.settle(60.0)


def test_what_the_doors_promise_each_other_outlives_lost_machines_cuts_and_pauses(tmp_path: Path) -> None:
    async def test() -> None:
        play = Play(tmp_path / "out")
        try:
            async with asyncio.timeout(BOUND_S):
                await _hard_cases(play)
        finally:
            await play.rig.close()
        assert play.promises is not None
        folders = play.rig.replica_folders()
        assert play.promises.find_violations(folders) == [], play.promises.summary()
        told = CliRunner().invoke(cli, ["copies", "verify", *map(str, folders)])
        assert told.exit_code == 0, told.output
        caller = play.promises.callers[0]
        caller.sent[next(iter(caller.sent))] += 1  # what would be lost is seen
        caller.attempts.pop()  # and what would be doubled
        assert len(play.promises.find_violations(folders)) == 2

    asyncio.run(test())
