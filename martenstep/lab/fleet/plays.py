"""Runs schedules in virtual time with several seeds, in several processes."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from martenstep.lab.fleet.judge import judge
from martenstep.lab.fleet.records import write_records
from martenstep.lab.fleet.schedule import parse_schedule
from martenstep.lab.fleet.virtual import VirtualFleet


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of one schedule with one seed."""

    name: str
    members: int
    seed: int
    violations: list[str]
    figures: dict[str, Any]


def run_schedule(text: str, file: str, seed: int, out: Path | None = None) -> RunResult:
    """Run one schedule with one seed in virtual time, and write its records where a folder is given."""
    schedule = parse_schedule(text, file)
    records = VirtualFleet(schedule, seed).run()
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        write_records(out / "records.jsonl", records)
        (out / "schedule.txtpb").write_text(text, encoding="utf-8")
    verdict = judge(schedule, records)
    return RunResult(schedule.name, schedule.members, seed, verdict.violations, verdict.figures)


def _run_task(task: tuple[str, str, int]) -> RunResult:
    return run_schedule(*task)


def run_schedules(texts: Iterable[tuple[str, str]], seeds: Iterable[int], workers: int = 0) -> Iterator[RunResult]:
    """Run each schedule, given as text and file name, with each seed; yield the results in order as they complete."""
    tasks = [(text, file, seed) for text, file in texts for seed in seeds]
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        yield from pool.map(_run_task, tasks)
