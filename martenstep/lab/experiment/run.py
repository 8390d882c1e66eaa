"""Runs a plan: in parallel over processes, each run kept as it ends, so that a kill costs only what was under way.

The result is one Parquet file with a row a run; the plan and the code's revision stand in its metadata.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import subprocess
import time
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, wait
from pathlib import Path
from typing import Any

import pyarrow
import pyarrow.parquet

from martenstep.lab import day_pb2, plan_pb2
from martenstep.lab.emulate.judged import traffic_of
from martenstep.lab.emulate.world import World
from martenstep.lab.experiment.plan import runs_of
from martenstep.lab.experiment.pool import workers as made_workers
from martenstep.lab.measures import comparable_figures
from martenstep.lab.play import run_scenario
from martenstep.lab.report import check_traces, figures
from martenstep.lab.rules import InvariantChecker

JOURNAL, RESULT, PLAN = "rows.jsonl", "result.parquet", "plan.txtpb"
ROOT = Path(__file__).resolve().parents[3]
Row = dict[str, Any]


class RunError(Exception):
    """An experiment that cannot go on."""


def revision() -> str:
    """The code's commit, with a mark where files differ from it; nothing outside a checkout."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()

    try:
        return git("rev-parse", "--short=12", "HEAD") + ("+" if git("status", "--porcelain", "martenstep") else "")
    except (OSError, subprocess.CalledProcessError):
        return ""


def measure(day: day_pb2.Day, seed: int | None = None) -> Row:
    """Emulate one day; gives its figures."""
    begin = time.perf_counter()
    world = World(day, seed)
    traffic = traffic_of(world.play())
    told = comparable_figures(day, traffic, figures(day, traffic))
    breaches = InvariantChecker(day, traffic).violations()
    tries = max(len(traffic.tries), 1)
    return {
        **told,
        "breaches": float(len(breaches)),
        "broken": sorted({breach.rule for breach in breaches}),
        "tries": float(tries),
        "store_calls_a_1000_tries": 1000.0 * world.redis.calls / tries,
        "events": float(world.sim.events),
        "seconds": round(time.perf_counter() - begin, 3),
    }


def measure_played(day: day_pb2.Day, folder: Path) -> Row:
    """Play one day on loopback sockets; gives the same figures.  Raises ScenarioRunError."""
    begin = time.perf_counter()
    asyncio.run(run_scenario(day, folder, lambda part, what: None))
    traffic, breaches = check_traces(folder, day)
    told = comparable_figures(day, traffic, figures(day, traffic))
    return {
        **told,
        "breaches": float(len(breaches)),
        "broken": sorted({breach.rule for breach in breaches}),
        "tries": float(len(traffic.tries)),
        "store_calls_a_1000_tries": 0.0,
        "events": 0.0,
        "seconds": round(time.perf_counter() - begin, 3),
    }


def _one(
    arm: str,
    levels: tuple[tuple[str, str], ...],
    values: tuple[float, ...],
    repetition: int,
    seed: int,
    data: bytes,
    folder: Path | None,
) -> Row:
    day = day_pb2.Day()
    day.ParseFromString(data)
    found = measure(day) if folder is None else measure_played(day, folder / f"{arm.replace('/', '-')}-{repetition}")
    return {
        "arm": arm,
        "repetition": repetition,
        "seed": seed,
        **{f"factor_{name}": level for name, level in levels},
        **{f"value_{name}": value for (name, _), value in zip(levels, values, strict=True)},
        **found,
    }


def _key(row: Row) -> tuple[str, int]:
    return row["arm"], row["repetition"]


def kept_rows(journal: Path, head: Row) -> list[Row]:
    """Rows that an earlier run of the same plan and code has left; raises RunError where they are another's."""
    if not journal.exists():
        return []
    rows = []
    for number, line in enumerate(journal.read_bytes().splitlines()):
        try:
            row = json.loads(line)
        except ValueError:
            continue  # cut off by a kill
        if number == 0:
            if row != head:
                raise RunError(f"{journal.parent}: holds runs of another plan or revision; take another folder")
            continue
        rows.append(row)
    return rows


def run_plan(
    plan: plan_pb2.Plan,
    text: str,
    folder: Path,
    out: Path,
    workers: int,
    progress: Callable[[int, int, float], None],
    sockets: bool = False,
) -> Path:
    """Run what is not there yet, in virtual time or on loopback sockets (one at a time, since the machine is part of
    what is measured there); gives the result's file.  `progress` is told of runs done, of all, and of the seconds
    left about.  Raises RunError, SettingsError, OSError."""
    runs = runs_of(plan, folder)
    out.mkdir(parents=True, exist_ok=True)
    days = hashlib.sha256(b"".join(run.day for run in runs)).hexdigest()[:16]
    head: Row = {
        "plan": hashlib.sha256(text.encode()).hexdigest()[:16],
        "days": days,
        "revision": revision(),
        "sockets": sockets,
    }
    workers = 1 if sockets else workers
    journal = out / JOURNAL
    rows = kept_rows(journal, head)
    done = {_key(row) for row in rows}
    left = [run for run in runs if (run.arm.name, run.repetition) not in done]
    with journal.open("ab") as file:
        if not rows and not file.tell():
            file.write(json.dumps(head).encode() + b"\n")
        elif rows:
            file.write(b"\n")  # a last line that was cut off ends here
        begin = time.monotonic()
        finished = 0
        with made_workers(workers) as pool:
            out_now: set[Future[Row]] = set()
            todo = iter(left)
            while True:
                for run in todo:
                    arm = run.arm
                    out_now.add(
                        pool.submit(
                            _one,
                            arm.name,
                            arm.levels,
                            arm.values,
                            run.repetition,
                            run.seed,
                            run.day,
                            out / "played" if sockets else None,
                        )
                    )
                    if len(out_now) >= 2 * workers:
                        break
                if not out_now:
                    break
                ended, out_now = wait(out_now, return_when=FIRST_COMPLETED)
                for one in ended:
                    row = one.result()
                    rows.append(row)
                    finished += 1
                    file.write(json.dumps(row).encode() + b"\n")
                    file.flush()
                    each = (time.monotonic() - begin) / finished
                    progress(len(rows), len(runs), each * (len(left) - finished))
    order = {(run.arm.name, run.repetition): number for number, run in enumerate(runs)}
    rows.sort(key=lambda row: order[_key(row)])
    table = pyarrow.Table.from_pylist(rows).replace_schema_metadata(
        {b"plan": text.encode(), b"revision": str(head["revision"]).encode(), b"name": plan.name.encode()}
    )
    pyarrow.parquet.write_table(table, out / (RESULT + ".new"))
    (out / (RESULT + ".new")).replace(out / RESULT)
    return out / RESULT


def load_result(path: Path) -> tuple[list[Row], dict[str, str]]:
    """Rows and metadata of a result, a folder's or a file; raises RunError."""
    file = path / RESULT if path.is_dir() else path
    try:
        table = pyarrow.parquet.read_table(file)
    except (OSError, pyarrow.ArrowException) as error:
        raise RunError(f"{file}: {error}") from None
    held = table.schema.metadata or {}
    return table.to_pylist(), {name.decode(): value.decode() for name, value in held.items() if name != b"ARROW:schema"}
