"""Kills between real doors that hold a counter for each other: `python -m bench.copies_promises --kills 100`.

Each fleet is a rig of its own: doors as processes behind relays, and doors that ask at an even rate.  Again and again
one thing is drawn: a door killed and started with its disk, without it, or with an old copy of it; paused; cut off, in
one direction or both; a disk that is slow, full, or whose sync fails; with `--hard` also all doors killed at once, as
processes or as machines, a zone lost with its disks, and, with five copies, two disks lost a second apart.  Before the
next one, every slot is whole again, or that is given up after a stated time and told.  At the end all is answered, the
doors end, and the disks are held against what was told.  Exit 3 where a promise is broken.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import statistics
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click

from martenstep.lab.fleet import fleet_pb2 as pb
from martenstep.lab.fleet.promises import CounterWorkload
from martenstep.lab.fleet.rig import Rig
from martenstep.lab.fleet.schedule import Step, parse_schedule

WHOLE_S = 90.0
KINDS = (
    "kept",
    "kept",
    "wiped",
    "wiped",
    "wiped",
    "old",
    "paused",
    "cut",
    "unheard",
    "deaf",
    "slow disk",
    "full disk",
    "sync fails",
)
HARD = ("all processes", "all machines", "zone lost")
KILLS = ("kept", "wiped")


class Campaign:
    """One fleet."""

    def __init__(self, out: Path, seed: int, doors: int, slots: int, count: int, per_s: float, hard: bool) -> None:
        self.rng = random.Random(seed)
        self.kinds = KINDS + (HARD if hard else ()) + (("two wiped",) if hard and count == 5 else ())
        self.slots, self.count, self._per_s = slots, count, per_s
        text = (
            f'name: "promises" members: {doors} zones: 3 seeds: 3 period_ms: 200 suspect_least_ms: 2000 '
            f"slots: {slots} copies: {count} final_ms: 600000"
        )
        self.schedule = parse_schedule(text, "promises")
        self.rig = Rig(self.schedule, seed, out, lambda part, what: None)
        self.names = [f"d{number:03d}" for number in range(doors)]
        self.counts: Counter[str] = Counter()
        self._lost: set[int] = set()  # copies whose disk is gone
        self.whole_s: list[float] = []
        self.gaps: dict[str, list[float]] = {}
        self.notes: list[str] = []
        self.promises = CounterWorkload(out / "askers", [], slots, seed=seed)

    async def _groups(self) -> dict[str, dict[str, Any]]:
        """Each slot as its latest leader has it."""
        groups: dict[str, dict[str, Any]] = {}
        for view in await asyncio.gather(*(self.rig.fetch_replicas(name) for name in self.names)):
            for group in view["groups"] if view is not None else []:
                if group["role"] == "leader" and group["term"] > groups.get(group["group"], {"term": -1})["term"]:
                    groups[group["group"]] = group
        return groups

    async def whole(self) -> bool:
        """Every slot has a leader, and all its copies are there and near, none of them one whose disk is lost."""
        groups = await self._groups()
        if {one["copy"] for group in groups.values() for one in group["at"]} & self._lost:
            return False
        return len(groups) == self.slots and all(
            len(group["at"]) == self.count
            and all(one["counts"] and one["present"] and (one["behind"] or 0) < 1000 for one in group["at"])
            and sorted(one["place"] for one in group["at"]) == sorted(group["wanted"])
            for group in groups.values()
        )

    async def until_whole(self) -> None:
        begin = time.monotonic()
        while not await self.whole():
            if time.monotonic() - begin > WHOLE_S:
                self.notes.append(f"not whole after {WHOLE_S:.0f} s")
                return
            await asyncio.sleep(0.1)
        self.whole_s.append(time.monotonic() - begin)

    def _step(self, entry: pb.Break, on: bool, who: str = "") -> None:
        self.rig.apply_step(Step(0.0, on, 0, entry, (who,) if who else ()))

    async def _leads(self) -> str:
        """A door that leads something, mostly."""
        views = await asyncio.gather(*(self.rig.fetch_replicas(name) for name in self.names))
        leading = [
            name
            for name, view in zip(self.names, views, strict=True)
            if view is not None and any(group["role"] == "leader" for group in view["groups"])
        ]
        return self.rng.choice(leading) if leading and self.rng.random() < 0.7 else self.rng.choice(self.names)

    async def _again(self, who: list[str], kind: str, down_s: float) -> None:
        """Kill doors, and start them again."""
        disk = {"wiped": pb.WIPED, "old": pb.OLD}.get(kind, pb.KEPT)
        for name in who if kind == "wiped" else []:
            view = await self.rig.fetch_replicas(name)
            self._lost |= {group["copy"] for group in (view["groups"] if view is not None else [])}
        entries = [pb.Break(what=pb.KILL, who=name, disk=disk) for name in who]
        for entry in entries:
            self._step(entry, True, entry.who)
        await asyncio.sleep(down_s)
        for name in who:
            place = self.rig._places[name]
            while place.process is not None and place.process.running:
                await asyncio.sleep(0.02)
            if kind == "all machines":
                shutil.rmtree(place.witness, ignore_errors=True)
        for entry in entries:
            self._step(entry, False, entry.who)

    async def _later(self, who: str) -> None:
        await asyncio.sleep(1.0)
        await self._again([who], "wiped", 2.0)

    async def one(self) -> None:
        """One trouble, and until all is whole again."""
        kind, who = self.rng.choice(self.kinds), await self._leads()
        self.counts[kind] += 1
        before = time.monotonic()
        if kind in KILLS:
            await self._again([who], kind, self.rng.choice((0.0, 0.2, 1.0, 3.0)))
        elif kind == "two wiped":
            other = self.rng.choice([name for name in self.names if name != who])
            await asyncio.gather(self._again([who], "wiped", 2.0), self._later(other))
        elif kind == "zone lost":
            zone = self.rig._places[who].member.zone
            lost = [name for name in self.names if self.rig._places[name].member.zone == zone]
            await self._again(lost, "wiped", self.rng.uniform(1.0, 4.0))
        elif kind in ("all processes", "all machines"):
            await self._again(self.names, kind, 0.5)
        elif kind == "old":
            place = self.rig._places[who]
            shutil.rmtree(place.folder / "old", ignore_errors=True)
            await asyncio.to_thread(shutil.copytree, place.disk, place.folder / "old", ignore_dangling_symlinks=True)
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            await self._again([who], kind, 0.2)
        elif kind in ("full disk", "sync fails"):
            entry = pb.Break(what=pb.DISK_FULL if kind == "full disk" else pb.SYNC_FAILS, who=who)
            self._step(entry, True, who)
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            self._step(entry, False, who)
            await self._again([who], "kept", 0.2)  # a copy that could not write says nothing until it is started again
        elif kind == "paused":
            entry = pb.Break(what=pb.PAUSE, who=who)
            self._step(entry, True, who)
            await asyncio.sleep(self.rng.uniform(0.3, 4.0))
            self._step(entry, False, who)
        elif kind == "slow disk":
            entry = pb.Break(what=pb.SYNC_SLOW, who=who, ms=500.0)
            self._step(entry, True, who)
            await asyncio.sleep(2.0)
            self._step(entry, False, who)
        else:
            entry = pb.Break(
                what=pb.CUT,
                source=who if kind != "deaf" else "*",
                sink=who if kind == "deaf" else "*",
                both=kind == "cut",
            )
            self._step(entry, True)
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
            self._step(entry, False)
        await asyncio.sleep(0.5)
        await self.until_whole()
        if kind in KILLS:
            self.gaps.setdefault(kind, []).append(self.promises.longest_answer_gap_s(before))

    async def play(self, kills: int) -> None:
        """So many kills, with what else is drawn between them."""
        await self.rig.open()
        await self.until_whole()
        self.promises = CounterWorkload(self.rig._out / "askers", self.rig.counter_addresses(), self.slots, seed=1)
        self.promises.start(self._per_s)
        await asyncio.sleep(1.0)
        while self.counts["kept"] + self.counts["wiped"] < kills:
            await self.one()
        if not await self.promises.settle(60.0):
            self.notes.append("not all was answered within 60 s")


def campaign(work: tuple[str, int, int, int, int, int, float, bool]) -> dict[str, Any]:
    """One fleet's play, in a process of its own."""
    out, seed, kills, doors, slots, count, per_s, hard = work
    made = Campaign(Path(out), seed, doors, slots, count, per_s, hard)

    async def run() -> None:
        try:
            await made.play(kills)
        finally:
            await made.rig.close()

    asyncio.run(run())
    breaches = made.promises.find_violations(made.rig.replica_folders())
    return {
        "seed": seed,
        "breaches": breaches,
        "notes": made.notes + made.rig._errors,
        "counts": dict(made.counts),
        "whole_s": made.whole_s,
        "gaps": made.gaps,
        "told": made.promises.acknowledged_count,
        "tries": sum(len(caller.attempts) for caller in made.promises.callers),
        **made.promises.summary(),
    }


def part(values: list[float], share: float) -> float:
    """A quantile."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else float("nan")


@click.command()
@click.option("--kills", default=100, show_default=True, help="Of all fleets together.")
@click.option("--fleets", default=2, show_default=True)
@click.option("--doors", default=5, show_default=True)
@click.option("--slots", default=4, show_default=True)
@click.option("--copies", type=click.Choice(["3", "5"]), default="3", show_default=True)
@click.option("--per-s", default=100.0, show_default=True, help="Adds, and as many tries, a second and fleet.")
@click.option("--seed", default=1, show_default=True)
@click.option("--hard", is_flag=True, help="All doors at once, and whole zones, too.")
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), default=Path("out/promises"))
def main(
    kills: int, fleets: int, doors: int, slots: int, copies: str, per_s: float, seed: int, hard: bool, out: Path
) -> None:
    """Play them all."""
    works = [
        (str(out / f"{seed + number}"), seed + number, -(-kills // fleets), doors, slots, int(copies), per_s, hard)
        for number in range(fleets)
    ]
    for folder, *_ in works:
        shutil.rmtree(folder, ignore_errors=True)  # what an earlier play held would be held beside this one's
        Path(folder).mkdir(parents=True)
    broken, counts, told, tries, whole = 0, Counter[str](), 0, 0, list[float]()
    gaps: dict[str, list[float]] = {}
    begin = time.monotonic()
    with ProcessPoolExecutor(fleets) as pool:
        for made in pool.map(campaign, works):
            for line in (*made["breaches"], *made["notes"]):
                click.echo(f"seed {made['seed']}: {line}")
            broken += bool(made["breaches"])
            counts.update(made["counts"])
            told, tries, whole = told + made["told"], tries + made["tries"], whole + made["whole_s"]
            for kind, values in made["gaps"].items():
                gaps.setdefault(kind, []).extend(values)
            click.echo(
                f"seed {made['seed']}: {made['verdicts']}, p50 {made['p50_ms']:.1f} ms, p99 {made['p99_ms']:.0f} ms"
            )
    click.echo(
        f"{fleets} fleets of {doors} doors, {slots} slots of {copies} copies, {time.monotonic() - begin:.0f} s: "
        + ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
    )
    click.echo(f"{told} adds acknowledged, {tries} tries promised, {broken} fleets with a broken promise")
    for kind, values in sorted(gaps.items()):
        click.echo(
            f"longest of any slot without answers after a kill, disk {kind}: p50 {part(values, 0.5):.2f} s, "
            f"p99 {part(values, 0.99):.2f} s, longest {max(values):.2f} s"
        )
    if whole:
        click.echo(
            f"whole again, from 0.5 s after the trouble's end: p50 {statistics.median(whole):.1f} s, "
            f"longest {max(whole):.1f} s"
        )
    sys.exit(3 if broken else 0)


if __name__ == "__main__":
    main()
