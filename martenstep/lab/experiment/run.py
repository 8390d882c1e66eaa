"""Runs a plan in parallel processes and stores each run when it ends, so that a kill loses only the runs in progress.

The result is one Parquet file with a row for each run; its metadata contains the plan and the revision of the code.
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
from martenstep.lab.emulate.judged import gather_traffic
from martenstep.lab.emulate.world import Emulation
from martenstep.lab.experiment.plan import runs_of
from martenstep.lab.experiment.pool import worker_pool
from martenstep.lab.measures import comparable_figures
from martenstep.lab.play import run_scenario
from martenstep.lab.report import check_traces, figures
from martenstep.lab.rules import InvariantChecker

JOURNAL, RESULT, PLAN = "rows.jsonl", "result.parquet", "plan.txtpb"
ROOT = Path(__file__).resolve().parents[3]
Row = dict[str, Any]


class RunError(Exception):
    """An experiment cannot continue, or its result cannot be read."""


def revision() -> str:
    """The commit of the code, with a "+" if files differ from it; empty outside a git checkout."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()

    try:
        return git("rev-parse", "--short=12", "HEAD") + ("+" if git("status", "--porcelain", "martenstep") else "")
    except (OSError, subprocess.CalledProcessError):
        return ""


def measure(scenario: day_pb2.Day, seed: int | None = None) -> Row:
    """Emulate one scenario; returns its metrics."""
    begin = time.perf_counter()
    emulation = Emulation(scenario, seed)
    traffic = gather_traffic(emulation.run())
    metrics = comparable_figures(scenario, traffic, figures(scenario, traffic))
    violations = InvariantChecker(scenario, traffic).violations()
    tries = max(len(traffic.tries), 1)
    return {
        **metrics,
        "breaches": float(len(violations)),
        "broken": sorted({violation.rule for violation in violations}),
        "tries": float(tries),
        "store_calls_a_1000_tries": 1000.0 * emulation.redis.calls / tries,
        "events": float(emulation.sim.events),
        "seconds": round(time.perf_counter() - begin, 3),
    }


def measure_on_sockets(scenario: day_pb2.Day, folder: Path) -> Row:
    """Run one scenario on loopback sockets; returns the same metrics.  Raises ScenarioRunError."""
    begin = time.perf_counter()
    asyncio.run(run_scenario(scenario, folder, lambda part, what: None))
    traffic, violations = check_traces(folder, scenario)
    metrics = comparable_figures(scenario, traffic, figures(scenario, traffic))
    return {
        **metrics,
        "breaches": float(len(violations)),
        "broken": sorted({violation.rule for violation in violations}),
        "tries": float(len(traffic.tries)),
        "store_calls_a_1000_tries": 0.0,
        "events": 0.0,
        "seconds": round(time.perf_counter() - begin, 3),
    }


def _measure_run(
    arm: str,
    levels: tuple[tuple[str, str], ...],
    values: tuple[float, ...],
    repetition: int,
    seed: int,
    data: bytes,
    folder: Path | None,
) -> Row:
    scenario = day_pb2.Day()
    scenario.ParseFromString(data)
    metrics = (
        measure(scenario)
        if folder is None
        else measure_on_sockets(scenario, folder / f"{arm.replace('/', '-')}-{repetition}")
    )
    return {
        "arm": arm,
        "repetition": repetition,
        "seed": seed,
        **{f"factor_{name}": level for name, level in levels},
        **{f"value_{name}": value for (name, _), value in zip(levels, values, strict=True)},
        **metrics,
    }


def _key(row: Row) -> tuple[str, int]:
    return row["arm"], row["repetition"]


def load_journal(journal: Path, head: Row) -> list[Row]:
    """Rows of an earlier run of the same plan and code; raises RunError if they are of another plan or revision."""
    if not journal.exists():
        return []
    rows = []
    for number, line in enumerate(journal.read_bytes().splitlines()):
        try:
            row = json.loads(line)
        except ValueError:
            continue  # the process was killed while it wrote this line
        if number == 0:
            if row != head:
                raise RunError(f"{journal.parent}: contains runs of another plan or revision; choose another folder")
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
    """Run the plan's missing runs, in virtual time or on loopback sockets; returns the path of the result.

    On sockets, runs are made one at a time because the machine is part of what is measured.  `progress` receives the
    number of completed runs, of all runs, and an estimate of the remaining seconds.  Raises RunError, SettingsError,
    OSError.
    """
    runs = runs_of(plan, folder)
    out.mkdir(parents=True, exist_ok=True)
    scenarios_digest = hashlib.sha256(b"".join(run.scenario for run in runs)).hexdigest()[:16]
    head: Row = {
        "plan": hashlib.sha256(text.encode()).hexdigest()[:16],
        "days": scenarios_digest,
        "revision": revision(),
        "sockets": sockets,
    }
    workers = 1 if sockets else workers
    journal = out / JOURNAL
    rows = load_journal(journal, head)
    done = {_key(row) for row in rows}
    missing = [run for run in runs if (run.arm.name, run.repetition) not in done]
    with journal.open("ab") as file:
        if not rows and not file.tell():
            file.write(json.dumps(head).encode() + b"\n")
        elif rows:
            file.write(b"\n")  # terminates a line that an earlier process did not finish
        begin = time.monotonic()
        finished = 0
        with worker_pool(workers) as pool:
            pending: set[Future[Row]] = set()
            remaining = iter(missing)
            while True:
                for run in remaining:
                    arm = run.arm
                    pending.add(
                        pool.submit(
                            _measure_run,
                            arm.name,
                            arm.levels,
                            arm.values,
                            run.repetition,
                            run.seed,
                            run.scenario,
                            out / "played" if sockets else None,
                        )
                    )
                    if len(pending) >= 2 * workers:
                        break
                if not pending:
                    break
                completed, pending = wait(pending, return_when=FIRST_COMPLETED)
                for future in completed:
                    row = future.result()
                    rows.append(row)
                    finished += 1
                    file.write(json.dumps(row).encode() + b"\n")
                    file.flush()
                    seconds_per_run = (time.monotonic() - begin) / finished
                    progress(len(rows), len(runs), seconds_per_run * (len(missing) - finished))
    order = {(run.arm.name, run.repetition): number for number, run in enumerate(runs)}
    rows.sort(key=lambda row: order[_key(row)])
    table = pyarrow.Table.from_pylist(rows).replace_schema_metadata(
        {b"plan": text.encode(), b"revision": str(head["revision"]).encode(), b"name": plan.name.encode()}
    )
    pyarrow.parquet.write_table(table, out / (RESULT + ".new"))
    (out / (RESULT + ".new")).replace(out / RESULT)
    return out / RESULT


def load_result(path: Path) -> tuple[list[Row], dict[str, str]]:
    """The rows and metadata of a result, given as its folder or file; raises RunError."""
    file = path / RESULT if path.is_dir() else path
    try:
        table = pyarrow.parquet.read_table(file)
    except (OSError, pyarrow.ArrowException) as error:
        raise RunError(f"{file}: {error}") from None
    metadata = table.schema.metadata or {}
    return table.to_pylist(), {
        name.decode(): value.decode() for name, value in metadata.items() if name != b"ARROW:schema"
    }
