"""Figures of the membership: emulated fleets beside plain heartbeats.  `python -m bench.membership OUT [--seeds N]`.

Writes OUT/results.json, OUT/table.md and charts.  Minutes to an hour by the seeds; not part of the tests.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterable
from pathlib import Path
from statistics import mean
from typing import Any

import click
import msgspec

from martenstep.lab.fleet.plays import RunResult, run_schedules

SIZES = (3, 6, 12, 24, 48, 96, 190, 380)
LOSSES = (0.0, 0.05, 0.2, 0.4)
SWIM_PERIODS = 1.582  # e / (e - 1): expected periods until somebody asks the one that failed (SWIM, section 3.1)
PERIOD_MS = 500.0


def _seeds(members: int) -> str:
    return f"members: {members} seeds: {min(3, members)}"


def detection(members: int, plain: bool) -> str:
    """One of them is killed, nothing else happens."""
    return (
        f'name: "detection" {_seeds(members)} heartbeats: {str(plain).lower()} length_ms: 32000 settle_ms: 0 '
        f'trouble {{ what: KILL who: "*" part: {1 / members:.6f} at_ms: 2000 }}'
    )


def quiet(members: int, plain: bool) -> str:
    """Nothing happens: what it costs to be together."""
    return f'name: "quiet" {_seeds(members)} heartbeats: {str(plain).lower()} length_ms: 40000 settle_ms: 0'


def losses(members: int, share: float, plain: bool) -> str:
    """So many datagrams are lost, evenly, for five minutes."""
    lost = f"trouble {{ what: LOSS share: {share} at_ms: 0 }}" if share else ""
    return f'name: "loss" {_seeds(members)} heartbeats: {str(plain).lower()} length_ms: 300000 settle_ms: 0 {lost}'


def pauses(members: int, plain: bool) -> str:
    """A tenth stands for 2.4 s, each at its own moment, again and again."""
    each = " ".join(
        f'trouble {{ what: PAUSE who: "*" part: 0.1 at_ms: {at} for_ms: 2400 }}' for at in range(2000, 290_000, 12_000)
    )
    return f'name: "pauses" {_seeds(members)} heartbeats: {str(plain).lower()} length_ms: 300000 settle_ms: 0 {each}'


def late(members: int, plain: bool) -> str:
    """All loops are late by up to 300 ms at each turn."""
    return (
        f'name: "late loops" {_seeds(members)} heartbeats: {str(plain).lower()} length_ms: 300000 settle_ms: 0 '
        f'trouble {{ what: LATE who: "*" ms: 300 at_ms: 0 }}'
    )


def healing(members: int, plain: bool) -> str:
    """Two halves, cut for 40 s."""
    return (
        f'name: "healing" {_seeds(members)} zones: 2 heartbeats: {str(plain).lower()} length_ms: 50000 '
        f'settle_ms: 40000 trouble {{ what: CUT source: "zone-a" sink: "zone-b" both: true at_ms: 2000 '
        f"for_ms: 40000 }}"
    )


def _most(plays: Iterable[RunResult], figure: str, part: str = "most") -> float | None:
    told = [play.figures[figure][part] for play in plays if figure in play.figures]
    return max(told) if told else None


def _median(plays: Iterable[RunResult], figure: str) -> float | None:
    told = sorted(play.figures[figure]["median"] for play in plays if figure in play.figures)
    return told[len(told) // 2] if told else None


def row(arm: str, members: int, plain: bool, plays: list[RunResult]) -> dict[str, Any]:
    """One line of the table."""
    hours = sum(play.figures["member_hours"] for play in plays)
    false = sum(play.figures["false_deaths"] for play in plays)
    return {
        "arm": arm,
        "members": members,
        "way": "heartbeats" if plain else "membership",
        "plays": len(plays),
        "breaches": sum(len(play.violations) for play in plays),
        "first_suspicion_ms": _median(plays, "first_suspicion_ms"),
        "first_dead_ms": _median(plays, "first_detection_ms"),
        "known_to_all_ms": _median(plays, "known_to_all_ms"),
        "known_to_all_most_ms": _most(plays, "known_to_all_ms"),
        "healed_ms": _median(plays, "healed_ms"),
        "healed_most_ms": _most(plays, "healed_ms"),
        "false_deaths": false,
        "member_hours": round(hours, 2),
        "false_a_member_hour": false / hours if hours else 0.0,
        "packets_a_s": round(mean(play.figures["sent_a_second"] for play in plays), 2),
        "bytes_a_s": round(mean(play.figures["sent_bytes_a_second"] for play in plays), 1),
    }


def table(rows: list[dict[str, Any]]) -> str:
    """As Markdown."""
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    for each in rows:
        cells = [
            "" if each[name] is None else f"{each[name]:.4g}" if isinstance(each[name], float) else str(each[name])
            for name in names
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def charts(rows: list[dict[str, Any]], out: Path) -> None:
    """Detection by size, and bytes by size, both ways."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    for arm, figure, title in (
        ("detection", "known_to_all_ms", "a death known to all, ms"),
        ("quiet", "bytes_a_s", "bytes a second, a member"),
    ):
        drawn, axes = pyplot.subplots(figsize=(6, 4))
        for way in ("membership", "heartbeats"):
            points = [
                (each["members"], each[figure])
                for each in rows
                if each["arm"] == arm and each["way"] == way and each[figure] is not None
            ]
            if points:
                axes.plot(*zip(*points, strict=True), marker="o", label=way)
        axes.set_xscale("log")
        if figure == "bytes_a_s":
            axes.set_yscale("log")
        axes.set_xlabel("doors")
        axes.set_ylabel(title)
        axes.legend()
        drawn.tight_layout()
        drawn.savefig(out / f"{figure}.svg", metadata={"Date": None})
        pyplot.close(drawn)


@click.command()
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--seeds", default=20, show_default=True)
@click.option("--workers", default=0)
@click.option("--sizes", default=",".join(map(str, SIZES)), show_default=True)
@click.option("--only", default="", help="One arm.")
def main(out: Path, seeds: int, workers: int, sizes: str, only: str) -> None:
    """Play all arms."""
    out.mkdir(parents=True, exist_ok=True)
    wanted = [int(size) for size in sizes.split(",")]
    arms: list[tuple[str, int, bool, str]] = []
    for plain in (False, True):
        arms += [("detection", size, plain, detection(size, plain)) for size in wanted]
        arms += [("quiet", size, plain, quiet(size, plain)) for size in wanted]
        arms += [(f"loss {share:g}", 24, plain, losses(24, share, plain)) for share in LOSSES]
        arms += [
            ("pauses of 2.4 s", 24, plain, pauses(24, plain)),
            ("loops late by 300 ms", 24, plain, late(24, plain)),
        ]
        arms += [("healing", size, plain, healing(size, plain)) for size in wanted if size in (24, 96, 380)]
    rows: list[dict[str, Any]] = []
    kept = out / "results.json"
    if kept.exists():
        rows = msgspec.json.decode(kept.read_bytes())
    done = {(each["arm"], each["members"], each["way"]) for each in rows}
    for arm, members, plain, text in arms:
        way = "heartbeats" if plain else "membership"
        if (arm, members, way) in done or (only and not arm.startswith(only)):
            continue
        begin = time.perf_counter()
        plays = list(run_schedules([(text, arm)], range(1, seeds + 1), workers))
        rows.append(row(arm, members, plain, plays))
        kept.write_bytes(msgspec.json.encode(rows))
        sys.stderr.write(f"{arm} {members} {way}: {time.perf_counter() - begin:.0f} s\n")
    (out / "table.md").write_text(
        f"Emulated; {seeds} seeds an arm. The SWIM paper expects the first suspicion after "
        f"{SWIM_PERIODS * PERIOD_MS:.0f} ms plus the probe's own {PERIOD_MS * 0.95:.0f} ms.\n\n" + table(rows),
        encoding="utf-8",
    )
    charts(rows, out)


if __name__ == "__main__":
    main()
