"""Plays schedules over seeds, several at once, and puts their figures together."""

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
from martenstep.lab.fleet.virtual import World


@dataclass(frozen=True, slots=True)
class Played:
    """One play."""

    name: str
    members: int
    seed: int
    breaches: list[str]
    figures: dict[str, Any]


def play(text: str, file: str, seed: int, out: Path | None = None) -> Played:
    """One schedule with one seed, in virtual time."""
    schedule = parse_schedule(text, file)
    records = World(schedule, seed).play()
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        write_records(out / "records.jsonl", records)
        (out / "schedule.txtpb").write_text(text, encoding="utf-8")
    verdict = judge(schedule, records)
    return Played(schedule.name, schedule.members, seed, verdict.breaches, verdict.figures)


def _one(work: tuple[str, str, int]) -> Played:
    return play(*work)


def play_all(texts: Iterable[tuple[str, str]], seeds: Iterable[int], workers: int = 0) -> Iterator[Played]:
    """(text, file) each with each seed; in order, each as soon as it and those before it are done."""
    works = [(text, file, seed) for text, file in texts for seed in seeds]
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        yield from pool.map(_one, works)
