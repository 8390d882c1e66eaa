"""Drawn days of many shapes, each judged by every rule; what breaks one is shrunk and saved as a day.

A search varies the troubles of one day; a sweep varies all: the fleet, the plans and their ceilings, who comes through
which doors, how clients behave, and troubles that overlap.  Day N of a plan is the same on every machine and with any
number of processes.  A day that brings the program down counts as broken, under CRASHED.
"""

from __future__ import annotations

import json
import math
import random
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from pathlib import Path
from typing import Any

from google.protobuf import text_format

from martenstep.config import door_pb2 as cfg
from martenstep.config.checker import SettingsChecker
from martenstep.config.loading import parse_checked, read_text
from martenstep.config.text_format import FieldPosition
from martenstep.lab import day_pb2 as pb
from martenstep.lab import plan_pb2
from martenstep.lab.day import AUTH_FAULTS, length_ms
from martenstep.lab.emulate.judged import emulate
from martenstep.lab.emulate.world import NOT_HERE
from martenstep.lab.experiment.pool import workers as made_workers
from martenstep.lab.experiment.run import kept_rows, revision
from martenstep.lab.experiment.search import Found, event_of, shrink

JOURNAL, SUMMARY = "days.jsonl", "summary.md"
CRASHED = "crashed"
SHRINK_RUNS = 40
MOST_SAVED = 20  # breaches that are shrunk and saved: behind so many lies one cause, or several that are enough
KINDS = tuple(
    value
    for name, value in pb.Trouble.items()
    if not name.startswith(NOT_HERE) and value not in (pb.NONE, pb.DOOR_LOST, *AUTH_FAULTS)
)
SIZES = (1, 2, 4, 8, 16, 32, 64, 128, 256, 512)  # of fleets, for the summary's rows
CUTS = (
    ("door-*", "store"),
    ("store", "door-*"),
    ("door-0", "store"),
    ("store", "door-0"),
    ("door-0", "server-*"),
    ("server-1", "door-*"),
    ("zone-a", "zone-b"),
)
CLASSES = ("read", "write", "pay")
Row = dict[str, Any]
Emulates = Callable[[pb.Day], dict[str, Any]]


def _check(check: SettingsChecker, plan: plan_pb2.Sweep, root: FieldPosition) -> None:
    check.require_present(plan, root, "name")
    for name, least, most in (
        ("days", 1, 1_000_000),
        ("doors_most", 1, 512),
        ("tries_most", 10, 100_000),
        ("troubles_most", 0, 50),
    ):
        check.require_range(plan, root, name, least, most)
    for kind in plan.trouble:
        if kind not in KINDS:
            check.report(root.at("trouble"), f"{pb.Trouble.Name(kind)} is not drawn in a sweep")


def parse_sweep(text: str, file: str) -> plan_pb2.Sweep:
    """A sweep's plan from text; raises SettingsError."""
    return parse_checked(text, plan_pb2.Sweep(), file, _check)


def load_sweep(path: Path) -> plan_pb2.Sweep:
    """A sweep's plan from a file; raises SettingsError."""
    return parse_sweep(read_text(path), str(path))


# A day -------------------------------------------------------------------------------------------------


def _log(rng: random.Random, least: float, most: float, digits: int = 2) -> float:
    """Drawn evenly by its logarithm."""
    return round(math.exp(rng.uniform(math.log(least), math.log(most))), digits)


def _classes(rng: random.Random, day: pb.Day) -> None:
    for name, effect in zip(CLASSES, (cfg.SAFE, cfg.KEYED, cfg.UNSAFE), strict=True):
        aim = round(rng.uniform(300, 1500), -1)
        made = getattr(day, "class").add(
            name=name, aim_ms=aim, deadline_ms=round(aim * rng.uniform(1.5, 4), -1), effect=effect
        )
        if effect == cfg.KEYED:
            made.group = rng.choice((cfg.ALL, cfg.ZONE, cfg.CELL))
            made.window_ms = round(rng.uniform(500, 4000), -1)
        least = round(rng.uniform(10, 80), 0)
        day.work.add(
            **{"class": name},
            share=round(rng.uniform(0.05, 1), 2),
            least_ms=least,
            most_ms=round(least * rng.uniform(1, 4), 0),
            answer_bytes=rng.randrange(100, 20_000),
            units=rng.choice((1, 1, 1, 2)),
        )


def _plans(rng: random.Random, day: pb.Day) -> None:
    units = max(work.units for work in day.work)
    for number in range(rng.randint(1, 3)):
        rate = _log(rng, 0.5, 20)
        burst = max(round(rate * rng.uniform(0.8, 6), 1), 2 * units)
        plan = day.plan.add(
            name=f"p{number}",
            rate=rate,
            burst=burst,
            price=round(rng.uniform(0.5, 2), 1),
            over_cost=round(rng.uniform(0, 1.2), 1),
            over_worth=rng.choice((0, 0, 0.2, 1)),
        )
        if rng.random() < 0.7:
            plan.ceiling_rate = round(rate * rng.uniform(1.05, 3), 2)
            plan.ceiling_burst = round(max(burst * rng.uniform(1, 2), 4 * units), 1)
            plan.ceiling_slack = round(max(0.1 * plan.ceiling_burst, units) * rng.uniform(1, 2), 1)
        if rng.random() < 0.15:
            plan.open_limit = rng.randint(2, 20)
        day.customers.add(
            plan=plan.name,
            number=rng.choice((1, 3, 10, 40)),
            share=round(rng.uniform(0.1, 1), 2),
            doors=rng.randint(1, day.fleet.doors),
            skew=round(rng.uniform(0, 1.5), 1),
            once_share=rng.choice((0, 0, 0.1)),
        )


def _phases(rng: random.Random, day: pb.Day, tries: float) -> None:
    number = rng.randint(1, 3)
    for _ in range(number):
        for_ms = round(rng.uniform(1500, 5000), -2)
        phase = day.phase.add(
            for_ms=for_ms,
            rate=round(tries / number / for_ms * 1000, 1),
            first_door_share=round(rng.uniform(0, 1), 1),
            shift_share=rng.choice((0, 0.5, 1)),
        )
        if rng.random() < 0.3:
            phase.burst_times = round(rng.uniform(2, 8), 1)
        if rng.random() < 0.4:
            phase.only_plan = rng.choice(day.plan).name
            phase.hot_share = rng.choice((0, 0.3, 0.8))


def _events(rng: random.Random, day: pb.Day, plan: plan_pb2.Sweep) -> None:
    kinds = tuple(plan.trouble) or KINDS
    if day.HasField("auth_services") and not plan.trouble:
        kinds += tuple(AUTH_FAULTS)
    for _ in range(rng.randint(0, plan.troubles_most)):
        event = event_of(rng, day, kinds)
        if event.trouble == pb.STORE_FAILOVER:
            day.store_topology = cfg.Store.SENTINEL
        elif event.trouble == pb.STORE_CUTS or event.trouble in AUTH_FAULTS:
            event.share = round(rng.uniform(0.05, 1), 2)
        elif event.trouble == pb.SERVER_CLASS_FAILS:
            setattr(event, "class", rng.choice(CLASSES))
        elif event.trouble == pb.NET_CUT:
            event.source, event.sink = rng.choice(CUTS)
            event.both_ways = rng.random() < 0.5
        if event.trouble == pb.AUTH_SLOW:
            event.factor = round(rng.uniform(50, 1500), 0)
        if event.trouble in (*AUTH_FAULTS, pb.NET_CUT):
            event.ClearField("count")
        day.event.append(event)
    if day.event and rng.random() < 0.4:  # troubles come together more than by chance
        first = day.event[0].at_ms
        for event in day.event[1:]:
            event.at_ms = round(min(first + rng.uniform(0, 600), 0.8 * length_ms(day)), -1)


def drawn(plan: plan_pb2.Sweep, number: int) -> pb.Day:
    """Day `number` of a sweep."""
    rng = random.Random(f"{plan.seed}/{number}")
    day = pb.Day(name=f"{plan.name}-{number}", seed=rng.randrange(1 << 31))
    day.fleet.doors = round(_log(rng, 1, plan.doors_most))
    day.fleet.servers, day.fleet.zones, day.fleet.cores = rng.randint(2, 12), rng.randint(1, 3), rng.randint(1, 4)
    day.fleet.slow_share, day.fleet.slow_factor = rng.choice((0, 0.3)), 2
    day.fleet.feed_lag_ms = round(rng.uniform(50, 1000), -1)
    _classes(rng, day)
    _plans(rng, day)
    _phases(rng, day, plan.tries_most * rng.uniform(0.2, 1))
    clients = day.clients
    clients.retries, clients.wait_ms = rng.randint(0, 4), round(_log(rng, 5, 500), 0)
    clients.advice = rng.choice((pb.Clients.HONOUR, pb.Clients.IGNORE))
    clients.leave_share = rng.choice((0, 0.05, 0.3))
    if rng.random() < 0.05:
        clients.abuse_plan = day.plan[0].name
    if rng.random() < 0.1:
        day.auth_services.number, day.auth_services.max_age_s = rng.randint(1, 3), rng.choice((0, 5))
        day.auth_services.bad_share = rng.choice((0, 0.2))
    _events(rng, day, plan)
    rules = day.rules
    rules.answer_slack_ms, rules.drain_grace_ms, rules.cold_from = 8, rng.choice((500, 1000)), 0.25
    rules.warm_within_ms, rules.fall_multiple, rules.fall_window_ms = rng.choice((2000, 5000)), 4, 1000
    upstream = day.upstream
    upstream.max_attempts, upstream.cancel, upstream.connect_ms = rng.randint(1, 4), rng.random() < 0.8, 250
    # What may not be called off is delivered whenever the network lets it, after its request's end as well.
    upstream.cancel = upstream.cancel or any(event.trouble == pb.NET_CUT for event in day.event)
    day.store_timeout_ms = round(rng.uniform(20, 100), 0)
    day.judge_slack_ms = 20
    return day


# Many ---------------------------------------------------------------------------------------------------


def broken_in(day: pb.Day, emulates: Emulates = emulate) -> tuple[list[str], str]:
    """The rules that a day breaks, and the first breach in words."""
    try:
        result = emulates(day)
    except Exception:  # whatever it is, it is what a sweep looks for
        return [CRASHED], traceback.format_exc(limit=-3)
    rules = {rule: found for rule, found in result["rules"].items() if not found["kept"]}
    told = [f"{rule}: {found['first'][0]['text']}" for rule, found in rules.items()]
    return sorted(rules), "; ".join(told)


def one(plan: bytes, number: int) -> Row:
    """Emulate and judge one day; its row."""
    begin = time.perf_counter()
    day = drawn(plan_pb2.Sweep.FromString(plan), number)
    broken, told = broken_in(day)
    return {
        "number": number,
        "doors": day.fleet.doors,
        "ceilings": sum(p.ceiling_rate > 0 for p in day.plan),
        "troubles": [pb.Trouble.Name(event.trouble) for event in day.event],
        "broken": broken,
        "told": told,
        "seconds": round(time.perf_counter() - begin, 2),
    }


def smallest(day: pb.Day, rules: list[str], runs: int = SHRINK_RUNS, emulates: Emulates = emulate) -> pb.Day:
    """The smallest day found that breaks one of the same rules."""

    def badness(made: pb.Day) -> float:
        return float("inf") if set(broken_in(made, emulates)[0]) & set(rules) else 0.0

    return shrink(Found(day, float("inf"), 0), badness, runs).day


def _small_text(plan: bytes, number: int, rules: list[str]) -> str:
    return text_format.MessageToString(smallest(drawn(plan_pb2.Sweep.FromString(plan), number), rules))


def _all(pool: ProcessPoolExecutor, plan: bytes, numbers: Iterator[int], ahead: int) -> Iterator[Row]:
    """Rows as they end, with a bounded number under way."""
    out: set[Future[Row]] = set()
    while True:
        while len(out) < ahead and (number := next(numbers, None)) is not None:
            out.add(pool.submit(one, plan, number))
        if not out:
            return
        ended, out = wait(out, return_when=FIRST_COMPLETED)
        yield from (future.result() for future in ended)


def run_sweep(plan: plan_pb2.Sweep, out: Path, workers: int, progress: Callable[[int, int, float], None]) -> list[Row]:
    """Emulate the days that are not there yet; each broken one is shrunk and saved in the folder.  Raises RunError and
    OSError."""
    data = plan.SerializeToString(deterministic=True)
    head: Row = {"plan": data.hex(), "revision": revision()}
    out.mkdir(parents=True, exist_ok=True)
    rows = kept_rows(out / JOURNAL, head)
    done = {row["number"] for row in rows}
    left = [number for number in range(plan.days) if number not in done]
    begin = time.monotonic()
    with (out / JOURNAL).open("ab") as file, made_workers(workers) as pool:
        file.write(b"\n" if rows else json.dumps(head).encode() + b"\n" if not file.tell() else b"")
        for finished, row in enumerate(_all(pool, data, iter(left), 2 * workers), 1):
            rows.append(row)
            file.write(json.dumps(row).encode() + b"\n")
            file.flush()
            progress(len(rows), plan.days, (time.monotonic() - begin) / finished * (len(left) - finished))
        rows.sort(key=lambda row: int(row["number"]))
        broken = [row for row in rows if row["broken"]][:MOST_SAVED]
        small = [
            (row, pool.submit(_small_text, data, row["number"], row["broken"]))
            for row in broken
            if not (out / f"broken-{row['number']}.txtpb").exists()
        ]
        for row, made in small:
            (out / f"broken-{row['number']}.txtpb").write_text(made.result(), encoding="utf-8")
    (out / SUMMARY).write_text(summary(plan, rows), encoding="utf-8")
    return rows


def summary(plan: plan_pb2.Sweep, rows: list[Row]) -> str:
    """What was swept, by size of fleet and by trouble, and what broke."""
    broken = [row for row in rows if row["broken"]]
    by_rule = Counter(rule for row in broken for rule in row["broken"])
    lines = [
        f"# Sweep {plan.name}",
        "",
        f"{len(rows)} days drawn from seed {plan.seed}, {len(broken)} of them broke a rule"
        + "".join(f"; {rule}: {number}" for rule, number in sorted(by_rule.items()))
        + ".",
        "",
        "| Doors | Days | Of them with a ceiling | Broken |",
        "| --- | --- | --- | --- |",
    ]
    for low, high in zip(SIZES, (*SIZES[1:], math.inf), strict=True):
        of = [row for row in rows if low <= row["doors"] < high]
        if of:
            name = str(low) if high == low + 1 else f"{low} to {min(high - 1, plan.doors_most):g}"
            lines.append(
                f"| {name} | {len(of)} | {sum(row['ceilings'] > 0 for row in of)} | "
                f"{sum(bool(row['broken']) for row in of)} |"
            )
    lines += ["", "| Trouble | Days with it | Broken |", "| --- | --- | --- |"]
    with_it = Counter(name for row in rows for name in set(row["troubles"] or ["none"]))
    broke = Counter(name for row in broken for name in set(row["troubles"] or ["none"]))
    lines += [
        f"| {name.lower().replace('_', ' ')} | {number} | {broke[name]} |" for name, number in sorted(with_it.items())
    ]
    if broken:
        lines += ["", *(f"- day {row['number']}: {row['told'].splitlines()[-1]}" for row in broken[:MOST_SAVED])]
    return "\n".join(lines) + "\n"
