"""Gateway processes that hold the replicated counter themselves: no acknowledged add is lost or applied twice.

Each step waits for its expected state; the time limit only ends a test that fails.
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

TIME_LIMIT_S = 120.0
SLOTS = 4
SCHEDULE = """
name: "held" members: 5 zones: 3 seeds: 2 period_ms: 100 suspect_least_ms: 2000 slots: 4 final_ms: 6000
trouble { what: KILL who: "d000" disk: WIPED }
trouble { what: CUT source: "d001" both: true }
trouble { what: PAUSE who: "d002" for_ms: 1 }
trouble { what: KILL who: "d003" }
"""
View = dict[str, Any]


class ManualRig:
    """A rig whose faults the test begins and ends itself, and the clients that add to the counter."""

    def __init__(self, out: Path) -> None:
        self.schedule = parse_schedule(SCHEDULE, "held")
        self.rig = Rig(self.schedule, 1, out, lambda part, what: None)
        self.promises: CounterWorkload | None = None

    def set_fault(self, number: int, on: bool) -> None:
        entry = self.schedule.trouble[number]
        self.rig.apply_step(Step(0.0, on, number, entry, (entry.who,) if entry.who else ()))

    async def leaders(self) -> dict[str, tuple[str, View]]:
        """By replica group: the leader of the latest term, and its view of the group."""
        found: dict[str, tuple[str, View]] = {}
        for number in range(self.schedule.members):
            name = f"d{number:03d}"
            view = await self.rig.fetch_replicas(name)
            for group in view["groups"] if view is not None else []:
                before = found.get(group["group"])
                if group["role"] == "leader" and (before is None or group["term"] > before[1]["term"]):
                    found[group["group"]] = name, group
        return found

    async def wait_until(self, holds: Callable[[dict[str, tuple[str, View]]], bool]) -> dict[str, tuple[str, View]]:
        while not holds(leaders := await self.leaders()):
            await asyncio.sleep(0.1)
        return leaders

    async def wait_for_acknowledged(self, adds: int) -> None:
        """Wait until this many more adds have been acknowledged."""
        assert self.promises is not None
        wanted = self.promises.acknowledged_count + adds
        while self.promises.acknowledged_count < wanted:
            await asyncio.sleep(0.02)


def fully_replicated(leaders: dict[str, tuple[str, View]]) -> bool:
    return len(leaders) == SLOTS and all(
        len(group["at"]) == 3
        and all(one["counts"] and one["present"] for one in group["at"])
        and sorted(one["place"] for one in group["at"]) == sorted(group["wanted"])
        for _, group in leaders.values()
    )


async def _run_faults(manual_rig: ManualRig) -> None:
    rig = manual_rig.rig
    await rig.open()
    await manual_rig.wait_until(fully_replicated)
    promises = manual_rig.promises = CounterWorkload(rig._out / "askers", rig.counter_addresses(), SLOTS)
    promises.start(per_s=200)
    await manual_rig.wait_for_acknowledged(200)
    manual_rig.set_fault(0, True)  # a machine is lost with its disk; its replicas are created elsewhere
    await manual_rig.wait_for_acknowledged(200)
    await manual_rig.wait_until(
        lambda leaders: (
            fully_replicated(leaders) and all("d000" not in group["wanted"] for _, group in leaders.values())
        )
    )
    manual_rig.set_fault(0, False)  # it returns with another disk, and receives replicas
    await manual_rig.wait_until(
        lambda leaders: fully_replicated(leaders) and any("d000" in group["wanted"] for _, group in leaders.values())
    )
    manual_rig.set_fault(1, True)  # cut off from the other gateways, while clients still reach it
    await manual_rig.wait_for_acknowledged(300)
    manual_rig.set_fault(1, False)
    manual_rig.set_fault(2, True)  # is paused, and resumes with the messages in its buffers
    await manual_rig.wait_for_acknowledged(100)
    manual_rig.set_fault(2, False)
    manual_rig.set_fault(3, True)  # killed and restarted with its disk
    await manual_rig.wait_for_acknowledged(100)
    manual_rig.set_fault(3, False)
    await manual_rig.wait_until(fully_replicated)
    leaders = await manual_rig.leaders()
    group, (door, held) = next(iter(leaders.items()))
    to = next(one["place"] for one in held["at"] if one["place"] != door)
    port = rig._places[door].process.ready["admin"]  # type: ignore[union-attr]
    told = await asyncio.to_thread(CliRunner().invoke, cli, ["copies", "show", "--admin", f"127.0.0.1:{port}"])
    assert told.exit_code == 0 and group in told.output, told.output
    told = await asyncio.to_thread(
        CliRunner().invoke, cli, ["copies", "move", group, "--to", to, "--admin", f"127.0.0.1:{port}"]
    )
    assert told.exit_code == 0, told.output
    await manual_rig.wait_until(lambda leaders: group in leaders and leaders[group][0] == to)
    assert await promises.settle(60.0)


def test_acknowledged_adds_survive_lost_machines_network_cuts_and_pauses(tmp_path: Path) -> None:
    async def test() -> None:
        manual_rig = ManualRig(tmp_path / "out")
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await _run_faults(manual_rig)
        finally:
            await manual_rig.rig.close()
        assert manual_rig.promises is not None
        folders = manual_rig.rig.replica_folders()
        assert manual_rig.promises.find_violations(folders) == [], manual_rig.promises.summary()
        told = CliRunner().invoke(cli, ["copies", "verify", *map(str, folders)])
        assert told.exit_code == 0, told.output
        caller = manual_rig.promises.callers[0]
        caller.sent[next(iter(caller.sent))] += 1  # the checker must report a lost add
        caller.attempts.pop()  # and an add that was applied twice
        assert len(manual_rig.promises.find_violations(folders)) == 2

    asyncio.run(test())
