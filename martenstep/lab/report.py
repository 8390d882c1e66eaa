"""Evaluates the traces of a scenario: figures, invariants and a short table."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from martenstep.config.text_format import SettingsError
from martenstep.counter.log_inspection import iterate_attempts
from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import load_scenario
from martenstep.lab.held import recorded_client_tries
from martenstep.lab.rules import (
    CHECKED,
    COUNTED,
    RECORDED,
    REFUSED,
    RULES,
    SERVED_BELOW,
    InvariantChecker,
    Traffic,
    Violation,
    check_counted,
    check_recorded,
    check_verdicts,
    join_traces,
    read_lines,
)
from martenstep.storage.files import LockedError
from martenstep.storage.log import LogError

MAX_STORED_VIOLATIONS = 20  # of each invariant, in the result


class TraceError(Exception):
    """A folder that does not hold the traces of a whole scenario."""


def percentile(values: list[float], part: float) -> float | None:
    """The value below which this part of the values lies, or the largest one; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def figures(scenario: pb.Day, traffic: Traffic) -> dict[str, Any]:
    """Counts and times of the scenario, under the names of result.json."""
    classes = {entry.name: entry for entry in getattr(scenario, "class")}
    refused: Counter[str] = Counter()
    other: Counter[str] = Counter()
    served = in_objective = 0
    times: list[float] = []
    requests: dict[str, bool] = {}
    for client_try in traffic.tries.values():
        request = client_try.rid.rpartition(".")[0]
        requests.setdefault(request, False)
        end: dict[str, Any] = client_try.ends[0] if client_try.ends else {"what": "nothing"}
        if end["what"] != "answer":
            other[end["what"]] += 1
            continue
        if end["reason"] == "denied":
            other["denied"] += 1
        elif end["status"] < SERVED_BELOW and end["status"] not in REFUSED:
            served += 1
            took = end["t"] - client_try.at
            times.append(took)
            in_objective += took <= classes[client_try.cls].aim_ms
            requests[request] = True
        elif end["status"] in REFUSED:
            refused[end["reason"] or str(end["status"])] += 1
        else:
            other[f"failed {end['status']}"] += 1
    sent = sum(bool(client_try.attempts) for client_try in traffic.tries.values())
    attempts = len(traffic.attempts)
    return {
        "requests": len(requests),
        "requests_served": sum(requests.values()),
        "tries": len(traffic.tries),
        "served": served,
        "served_in_aim": in_objective,
        "refused": dict(sorted(refused.items())),
        "otherwise": dict(sorted(other.items())),
        "sent_on": sent,
        "attempts": attempts,
        "p50_ms": percentile(times, 0.5),
        "p99_ms": percentile(times, 0.99),
    }


def check_traces(folder: Path, scenario: pb.Day) -> tuple[Traffic, list[Violation]]:
    """The traffic and the violations of a scenario that was run; raises TraceError where traces are missing."""
    store = () if scenario.own_counter else ("redis.jsonl",)
    missing = [name for name in ("clients.jsonl", "feed.jsonl", "events.jsonl", *store) if not (folder / name).exists()]
    if missing:
        raise TraceError(f"{folder}: traces missing: {', '.join(missing)}")
    servers = [line for path in sorted(folder.glob("server-*.jsonl")) for line in read_lines(path)]
    traffic = join_traces(
        read_lines(folder / "clients.jsonl"),
        servers,
        read_lines(folder / "feed.jsonl"),
        read_lines(folder / "events.jsonl"),
    )
    if not traffic.tries:
        raise TraceError(f"{folder}: clients.jsonl has no request")
    violations = InvariantChecker(scenario, traffic).violations()
    if scenario.own_counter:
        try:
            exported = (
                recorded_client_tries(folder)
                if scenario.HasField("held_by_doors")
                else [
                    (attempt.request_id, attempt.customer, attempt.units)
                    for _, attempt in iterate_attempts(folder / "counter")
                ]
            )
        except (LogError, LockedError, OSError, ValueError) as error:
            raise TraceError(f"{folder}: {error}") from None
        violations += check_recorded(traffic, exported)
    else:
        violations += check_counted(traffic, read_lines(folder / "redis.jsonl"), scenario.judge_slack_ms)
    if scenario.HasField("auth_services"):
        verdicts = [line for path in sorted(folder.glob("auth-*.jsonl")) for line in read_lines(path)]
        violations += check_verdicts(traffic, verdicts, scenario.judge_slack_ms)
    return traffic, violations


def build_result(
    scenario: pb.Day, traffic: Traffic, violations: list[Violation], names: Iterable[str]
) -> dict[str, Any]:
    """A scenario's result: its figures, and for each of the named invariants how often it was violated."""
    rules = {}
    for rule in names:
        found = [violation for violation in violations if violation.rule == rule]
        rules[rule] = {
            "kept": not found,
            "breaches": len(found),
            "first": [msgspec.to_builtins(violation) for violation in found[:MAX_STORED_VIOLATIONS]],
        }
    return {"day": scenario.name, "kept": not violations, "figures": figures(scenario, traffic), "rules": rules}


def check_folder(folder: Path) -> dict[str, Any]:
    """Check the traces in a folder; raises TraceError where it holds no whole scenario."""
    try:
        scenario = load_scenario(folder / "day.txtpb")
    except SettingsError as error:
        raise TraceError(str(error)) from None
    traffic, violations = check_traces(folder, scenario)
    authenticated = [CHECKED] if scenario.HasField("auth_services") else []
    return build_result(
        scenario, traffic, violations, (*RULES, RECORDED if scenario.own_counter else COUNTED, *authenticated)
    )


def write_result(folder: Path, result: dict[str, Any]) -> None:
    """Write result.json beside the traces."""
    (folder / "result.json").write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")


def format_table(result: dict[str, Any]) -> str:
    """The result as a short text table."""
    values = result["figures"]
    p50, p99 = (f"{values[name]:.0f} ms" if values[name] is not None else "-" for name in ("p50_ms", "p99_ms"))
    refused = ", ".join(f"{reason} {number}" for reason, number in values["refused"].items()) or "none"
    otherwise = ", ".join(f"{what} {number}" for what, number in values["otherwise"].items()) or "none"
    rows = [
        ("day", result["day"]),
        ("requests", f"{values['requests']} in {values['tries']} tries"),
        ("requests served", f"{values['requests_served']}"),
        ("tries served", f"{values['served']}, in their aim {values['served_in_aim']}"),
        ("refused", refused),
        ("otherwise", otherwise),
        ("sent on", f"{values['sent_on']} in {values['attempts']} attempts"),
        ("p50, p99", f"{p50}, {p99}"),
    ]
    for rule, found in result["rules"].items():
        rows.append((f"rule: {rule}", "kept" if found["kept"] else f"BROKEN {found['breaches']} times"))
        for violation in found["first"][:3]:
            times = ", ".join(f"{time:.1f}" for time in violation["times"])
            rows.append(
                ("", f"{violation['rid']} {violation['text']} (servers {list(violation['servers'])}, at {times})")
            )
    width = max(len(name) for name, _ in rows)
    return "\n".join(f"{name:<{width}}  {value}" for name, value in rows)
