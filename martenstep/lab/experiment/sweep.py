"""Generates random scenarios, checks each by every rule, and shrinks and saves those that violate one.

A search varies the faults of one scenario.  A sweep varies everything: the fleet, the plans and their ceilings, which
customers use which gateways, how clients behave, and overlapping faults.  Scenario N of a plan is the same on every
machine and with any number of processes.  A scenario that raises an exception counts as broken, under CRASHED.
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
from martenstep.lab.emulate.world import UNSUPPORTED_FAULTS
from martenstep.lab.experiment.pool import worker_pool
from martenstep.lab.experiment.run import load_journal, revision
from martenstep.lab.experiment.search import Found, random_fault, shrink

JOURNAL, SUMMARY = "days.jsonl", "summary.md"
CRASHED = "crashed"
SHRINK_RUNS = 40
MAX_SAVED = 20  # broken scenarios to shrink and save: so many share one cause, or show enough different ones
FAULT_KINDS = tuple(
    value
    for name, value in pb.Trouble.items()
    if not name.startswith(UNSUPPORTED_FAULTS) and value not in (pb.NONE, pb.DOOR_LOST, *AUTH_FAULTS)
)
FLEET_SIZES = (1, 2, 4, 8, 16, 32, 64, 128, 256, 512)  # lower bounds of the gateways in each row of the summary
NETWORK_CUTS = (
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
Emulate = Callable[[pb.Day], dict[str, Any]]


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
        if kind not in FAULT_KINDS:
            check.report(root.at("trouble"), f"a sweep does not generate {pb.Trouble.Name(kind)}")


def parse_sweep(text: str, file: str) -> plan_pb2.Sweep:
    """Parse and validate a sweep's plan; raises SettingsError."""
    return parse_checked(text, plan_pb2.Sweep(), file, _check)


def load_sweep(path: Path) -> plan_pb2.Sweep:
    """Load and validate a sweep's plan; raises SettingsError."""
    return parse_sweep(read_text(path), str(path))


# One scenario ------------------------------------------------------------------------------------------


def _log_uniform(rng: random.Random, least: float, most: float, digits: int = 2) -> float:
    """A random number whose logarithm is uniformly distributed."""
    return round(math.exp(rng.uniform(math.log(least), math.log(most))), digits)


def _add_classes(rng: random.Random, scenario: pb.Day) -> None:
    for name, effect in zip(CLASSES, (cfg.SAFE, cfg.KEYED, cfg.UNSAFE), strict=True):
        aim = round(rng.uniform(300, 1500), -1)
        request_class = getattr(scenario, "class").add(
            name=name, aim_ms=aim, deadline_ms=round(aim * rng.uniform(1.5, 4), -1), effect=effect
        )
        if effect == cfg.KEYED:
            request_class.group = rng.choice((cfg.ALL, cfg.ZONE, cfg.CELL))
            request_class.window_ms = round(rng.uniform(500, 4000), -1)
        least = round(rng.uniform(10, 80), 0)
        scenario.work.add(
            **{"class": name},
            share=round(rng.uniform(0.05, 1), 2),
            least_ms=least,
            most_ms=round(least * rng.uniform(1, 4), 0),
            answer_bytes=rng.randrange(100, 20_000),
            units=rng.choice((1, 1, 1, 2)),
        )


def _add_plans(rng: random.Random, scenario: pb.Day) -> None:
    units = max(work.units for work in scenario.work)
    for number in range(rng.randint(1, 3)):
        rate = _log_uniform(rng, 0.5, 20)
        burst = max(round(rate * rng.uniform(0.8, 6), 1), 2 * units)
        plan = scenario.plan.add(
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
        scenario.customers.add(
            plan=plan.name,
            number=rng.choice((1, 3, 10, 40)),
            share=round(rng.uniform(0.1, 1), 2),
            doors=rng.randint(1, scenario.fleet.doors),
            skew=round(rng.uniform(0, 1.5), 1),
            once_share=rng.choice((0, 0, 0.1)),
        )


def _add_phases(rng: random.Random, scenario: pb.Day, tries: float) -> None:
    number = rng.randint(1, 3)
    for _ in range(number):
        for_ms = round(rng.uniform(1500, 5000), -2)
        phase = scenario.phase.add(
            for_ms=for_ms,
            rate=round(tries / number / for_ms * 1000, 1),
            first_door_share=round(rng.uniform(0, 1), 1),
            shift_share=rng.choice((0, 0.5, 1)),
        )
        if rng.random() < 0.3:
            phase.burst_times = round(rng.uniform(2, 8), 1)
        if rng.random() < 0.4:
            phase.only_plan = rng.choice(scenario.plan).name
            phase.hot_share = rng.choice((0, 0.3, 0.8))


def _add_faults(rng: random.Random, scenario: pb.Day, plan: plan_pb2.Sweep) -> None:
    kinds = tuple(plan.trouble) or FAULT_KINDS
    if scenario.HasField("auth_services") and not plan.trouble:
        kinds += tuple(AUTH_FAULTS)
    for _ in range(rng.randint(0, plan.troubles_most)):
        event = random_fault(rng, scenario, kinds)
        if event.trouble == pb.STORE_FAILOVER:
            scenario.store_topology = cfg.Store.SENTINEL
        elif event.trouble == pb.STORE_CUTS or event.trouble in AUTH_FAULTS:
            event.share = round(rng.uniform(0.05, 1), 2)
        elif event.trouble == pb.SERVER_CLASS_FAILS:
            setattr(event, "class", rng.choice(CLASSES))
        elif event.trouble == pb.NET_CUT:
            event.source, event.sink = rng.choice(NETWORK_CUTS)
            event.both_ways = rng.random() < 0.5
        if event.trouble == pb.AUTH_SLOW:
            event.factor = round(rng.uniform(50, 1500), 0)
        if event.trouble in (*AUTH_FAULTS, pb.NET_CUT):
            event.ClearField("count")
        scenario.event.append(event)
    if scenario.event and rng.random() < 0.4:  # faults then start close together more often than by chance
        first = scenario.event[0].at_ms
        for event in scenario.event[1:]:
            event.at_ms = round(min(first + rng.uniform(0, 600), 0.8 * length_ms(scenario)), -1)


def generate_scenario(plan: plan_pb2.Sweep, number: int) -> pb.Day:
    """Scenario `number` of a sweep."""
    rng = random.Random(f"{plan.seed}/{number}")
    scenario = pb.Day(name=f"{plan.name}-{number}", seed=rng.randrange(1 << 31))
    scenario.fleet.doors = round(_log_uniform(rng, 1, plan.doors_most))
    scenario.fleet.servers, scenario.fleet.zones, scenario.fleet.cores = (
        rng.randint(2, 12),
        rng.randint(1, 3),
        rng.randint(1, 4),
    )
    scenario.fleet.slow_share, scenario.fleet.slow_factor = rng.choice((0, 0.3)), 2
    scenario.fleet.feed_lag_ms = round(rng.uniform(50, 1000), -1)
    _add_classes(rng, scenario)
    _add_plans(rng, scenario)
    _add_phases(rng, scenario, plan.tries_most * rng.uniform(0.2, 1))
    clients = scenario.clients
    clients.retries, clients.wait_ms = rng.randint(0, 4), round(_log_uniform(rng, 5, 500), 0)
    clients.advice = rng.choice((pb.Clients.HONOUR, pb.Clients.IGNORE))
    clients.leave_share = rng.choice((0, 0.05, 0.3))
    if rng.random() < 0.05:
        clients.abuse_plan = scenario.plan[0].name
    if rng.random() < 0.1:
        scenario.auth_services.number, scenario.auth_services.max_age_s = rng.randint(1, 3), rng.choice((0, 5))
        scenario.auth_services.bad_share = rng.choice((0, 0.2))
    _add_faults(rng, scenario, plan)
    rules = scenario.rules
    rules.answer_slack_ms, rules.drain_grace_ms, rules.cold_from = 8, rng.choice((500, 1000)), 0.25
    rules.warm_within_ms, rules.fall_multiple, rules.fall_window_ms = rng.choice((2000, 5000)), 4, 1000
    upstream = scenario.upstream
    upstream.max_attempts, upstream.cancel, upstream.connect_ms = rng.randint(1, 4), rng.random() < 0.8, 250
    # Without cancellation, an attempt that a network cut delays may be delivered after its request has ended.
    upstream.cancel = upstream.cancel or any(event.trouble == pb.NET_CUT for event in scenario.event)
    scenario.store_timeout_ms = round(rng.uniform(20, 100), 0)
    scenario.judge_slack_ms = 20
    return scenario


# The sweep ---------------------------------------------------------------------------------------------


def find_violations(scenario: pb.Day, run_checked: Emulate = emulate) -> tuple[list[str], str]:
    """The rules that a scenario violates, and a text of the first violation of each."""
    try:
        result = run_checked(scenario)
    except Exception:  # an exception of any kind is a failure that the sweep reports
        return [CRASHED], traceback.format_exc(limit=-3)
    rules = {rule: found for rule, found in result["rules"].items() if not found["kept"]}
    texts = [f"{rule}: {found['first'][0]['text']}" for rule, found in rules.items()]
    return sorted(rules), "; ".join(texts)


def run_scenario(plan: bytes, number: int) -> Row:
    """Emulate and check one scenario; returns its row."""
    begin = time.perf_counter()
    scenario = generate_scenario(plan_pb2.Sweep.FromString(plan), number)
    broken, violations = find_violations(scenario)
    return {
        "number": number,
        "doors": scenario.fleet.doors,
        "ceilings": sum(p.ceiling_rate > 0 for p in scenario.plan),
        "troubles": [pb.Trouble.Name(event.trouble) for event in scenario.event],
        "broken": broken,
        "told": violations,
        "seconds": round(time.perf_counter() - begin, 2),
    }


def shrink_scenario(
    scenario: pb.Day, rules: list[str], runs: int = SHRINK_RUNS, run_checked: Emulate = emulate
) -> pb.Day:
    """The smallest scenario found that still violates one of the rules."""

    def badness(candidate: pb.Day) -> float:
        return float("inf") if set(find_violations(candidate, run_checked)[0]) & set(rules) else 0.0

    return shrink(Found(scenario, float("inf"), 0), badness, runs).scenario


def _shrunk_text(plan: bytes, number: int, rules: list[str]) -> str:
    return text_format.MessageToString(
        shrink_scenario(generate_scenario(plan_pb2.Sweep.FromString(plan), number), rules)
    )


def _completed_rows(pool: ProcessPoolExecutor, plan: bytes, numbers: Iterator[int], ahead: int) -> Iterator[Row]:
    """Yield rows as their runs end, with at most `ahead` runs submitted."""
    pending: set[Future[Row]] = set()
    while True:
        while len(pending) < ahead and (number := next(numbers, None)) is not None:
            pending.add(pool.submit(run_scenario, plan, number))
        if not pending:
            return
        completed, pending = wait(pending, return_when=FIRST_COMPLETED)
        yield from (future.result() for future in completed)


def run_sweep(plan: plan_pb2.Sweep, out: Path, workers: int, progress: Callable[[int, int, float], None]) -> list[Row]:
    """Emulate the missing scenarios, and shrink and save broken ones in the folder.

    Raises RunError and OSError.
    """
    data = plan.SerializeToString(deterministic=True)
    head: Row = {"plan": data.hex(), "revision": revision()}
    out.mkdir(parents=True, exist_ok=True)
    rows = load_journal(out / JOURNAL, head)
    done = {row["number"] for row in rows}
    missing = [number for number in range(plan.days) if number not in done]
    begin = time.monotonic()
    with (out / JOURNAL).open("ab") as file, worker_pool(workers) as pool:
        file.write(b"\n" if rows else json.dumps(head).encode() + b"\n" if not file.tell() else b"")
        for finished, row in enumerate(_completed_rows(pool, data, iter(missing), 2 * workers), 1):
            rows.append(row)
            file.write(json.dumps(row).encode() + b"\n")
            file.flush()
            progress(len(rows), plan.days, (time.monotonic() - begin) / finished * (len(missing) - finished))
        rows.sort(key=lambda row: int(row["number"]))
        broken = [row for row in rows if row["broken"]][:MAX_SAVED]
        shrunk = [
            (row, pool.submit(_shrunk_text, data, row["number"], row["broken"]))
            for row in broken
            if not (out / f"broken-{row['number']}.txtpb").exists()
        ]
        for row, text in shrunk:
            (out / f"broken-{row['number']}.txtpb").write_text(text.result(), encoding="utf-8")
    (out / SUMMARY).write_text(summary(plan, rows), encoding="utf-8")
    return rows


def summary(plan: plan_pb2.Sweep, rows: list[Row]) -> str:
    """A Markdown summary by fleet size and by fault, with the violations."""
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
    for low, high in zip(FLEET_SIZES, (*FLEET_SIZES[1:], math.inf), strict=True):
        group = [row for row in rows if low <= row["doors"] < high]
        if group:
            name = str(low) if high == low + 1 else f"{low} to {min(high - 1, plan.doors_most):g}"
            lines.append(
                f"| {name} | {len(group)} | {sum(row['ceilings'] > 0 for row in group)} | "
                f"{sum(bool(row['broken']) for row in group)} |"
            )
    lines += ["", "| Trouble | Days with it | Broken |", "| --- | --- | --- |"]
    with_it = Counter(name for row in rows for name in set(row["troubles"] or ["none"]))
    broke = Counter(name for row in broken for name in set(row["troubles"] or ["none"]))
    lines += [
        f"| {name.lower().replace('_', ' ')} | {number} | {broke[name]} |" for name, number in sorted(with_it.items())
    ]
    if broken:
        lines += ["", *(f"- day {row['number']}: {row['told'].splitlines()[-1]}" for row in broken[:MAX_SAVED])]
    return "\n".join(lines) + "\n"
