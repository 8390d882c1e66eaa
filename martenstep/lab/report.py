"""From a day's traces to figures, rules and a short table."""

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
from martenstep.lab.day import load_day
from martenstep.lab.held import recorded_tries
from martenstep.lab.rules import (
    CHECKED,
    COUNTED,
    RECORDED,
    REFUSED,
    RULES,
    SERVED_BELOW,
    Breach,
    Judge,
    Traffic,
    checked,
    counted,
    gather,
    read_lines,
    recorded,
)
from martenstep.storage.files import LockedError
from martenstep.storage.log import LogError

SHOWN = 20  # breaches of a rule in the result


class TraceError(Exception):
    """A folder that holds no whole day."""


def percentile(values: list[float], part: float) -> float | None:
    """The least value that this part of them does not exceed."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def figures(day: pb.Day, traffic: Traffic) -> dict[str, Any]:
    """Counts and times of the day."""
    classes = {entry.name: entry for entry in getattr(day, "class")}
    refused: Counter[str] = Counter()
    other: Counter[str] = Counter()
    served = in_aim = 0
    times: list[float] = []
    firsts: dict[str, bool] = {}
    for tried in traffic.tries.values():
        first = tried.rid.rpartition(".")[0]
        firsts.setdefault(first, False)
        end: dict[str, Any] = tried.ends[0] if tried.ends else {"what": "nothing"}
        if end["what"] != "answer":
            other[end["what"]] += 1
            continue
        if end["reason"] == "denied":
            other["denied"] += 1
        elif end["status"] < SERVED_BELOW and end["status"] not in REFUSED:
            served += 1
            took = end["t"] - tried.at
            times.append(took)
            in_aim += took <= classes[tried.cls].aim_ms
            firsts[first] = True
        elif end["status"] in REFUSED:
            refused[end["reason"] or str(end["status"])] += 1
        else:
            other[f"failed {end['status']}"] += 1
    sent = sum(bool(tried.visits) for tried in traffic.tries.values())
    attempts = len(traffic.visits)
    return {
        "requests": len(firsts),
        "requests_served": sum(firsts.values()),
        "tries": len(traffic.tries),
        "served": served,
        "served_in_aim": in_aim,
        "refused": dict(sorted(refused.items())),
        "otherwise": dict(sorted(other.items())),
        "sent_on": sent,
        "attempts": attempts,
        "p50_ms": percentile(times, 0.5),
        "p99_ms": percentile(times, 0.99),
    }


def judged_traffic(folder: Path, day: pb.Day) -> tuple[Traffic, list[Breach]]:
    """A played day's traffic and what it broke; raises TraceError where the folder holds no whole day."""
    store = () if day.own_counter else ("redis.jsonl",)
    missing = [name for name in ("clients.jsonl", "feed.jsonl", "events.jsonl", *store) if not (folder / name).exists()]
    if missing:
        raise TraceError(f"{folder}: no {', '.join(missing)}")
    servers = [line for path in sorted(folder.glob("server-*.jsonl")) for line in read_lines(path)]
    traffic = gather(
        read_lines(folder / "clients.jsonl"),
        servers,
        read_lines(folder / "feed.jsonl"),
        read_lines(folder / "events.jsonl"),
    )
    if not traffic.tries:
        raise TraceError(f"{folder}: no request was made")
    breaches = Judge(day, traffic).all()
    if day.own_counter:
        try:
            exported = (
                recorded_tries(folder)
                if day.HasField("held_by_doors")
                else [(told.request_id, told.customer, told.units) for _, told in iterate_attempts(folder / "counter")]
            )
        except (LogError, LockedError, OSError, ValueError) as error:
            raise TraceError(f"{folder}: {error}") from None
        breaches += recorded(traffic, exported)
    else:
        breaches += counted(traffic, read_lines(folder / "redis.jsonl"), day.judge_slack_ms)
    if day.HasField("auth_services"):
        verdicts = [line for path in sorted(folder.glob("auth-*.jsonl")) for line in read_lines(path)]
        breaches += checked(traffic, verdicts, day.judge_slack_ms)
    return traffic, breaches


def result_of(day: pb.Day, traffic: Traffic, breaches: list[Breach], names: Iterable[str]) -> dict[str, Any]:
    """A day's result: its figures, and for each of these rules how often it was broken."""
    rules = {}
    for rule in names:
        found = [breach for breach in breaches if breach.rule == rule]
        rules[rule] = {
            "kept": not found,
            "breaches": len(found),
            "first": [msgspec.to_builtins(breach) for breach in found[:SHOWN]],
        }
    return {"day": day.name, "kept": not breaches, "figures": figures(day, traffic), "rules": rules}


def judge_folder(folder: Path) -> dict[str, Any]:
    """Judge a folder's traces; raises TraceError where it holds no day."""
    try:
        day = load_day(folder / "day.txtpb")
    except SettingsError as error:
        raise TraceError(str(error)) from None
    traffic, breaches = judged_traffic(folder, day)
    guarded = [CHECKED] if day.HasField("auth_services") else []
    return result_of(day, traffic, breaches, (*RULES, RECORDED if day.own_counter else COUNTED, *guarded))


def write_result(folder: Path, result: dict[str, Any]) -> None:
    """Keep the result beside its traces."""
    (folder / "result.json").write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")


def table(result: dict[str, Any]) -> str:
    """The short table that a person reads."""
    told = result["figures"]
    p50, p99 = (f"{told[name]:.0f} ms" if told[name] is not None else "-" for name in ("p50_ms", "p99_ms"))
    refused = ", ".join(f"{reason} {number}" for reason, number in told["refused"].items()) or "none"
    otherwise = ", ".join(f"{what} {number}" for what, number in told["otherwise"].items()) or "none"
    rows = [
        ("day", result["day"]),
        ("requests", f"{told['requests']} in {told['tries']} tries"),
        ("requests served", f"{told['requests_served']}"),
        ("tries served", f"{told['served']}, in their aim {told['served_in_aim']}"),
        ("refused", refused),
        ("otherwise", otherwise),
        ("sent on", f"{told['sent_on']} in {told['attempts']} attempts"),
        ("p50, p99", f"{p50}, {p99}"),
    ]
    for rule, found in result["rules"].items():
        rows.append((f"rule: {rule}", "kept" if found["kept"] else f"BROKEN {found['breaches']} times"))
        for breach in found["first"][:3]:
            times = ", ".join(f"{time:.1f}" for time in breach["times"])
            rows.append(("", f"{breach['rid']} {breach['text']} (servers {list(breach['servers'])}, at {times})"))
    width = max(len(name) for name, _ in rows)
    return "\n".join(f"{name:<{width}}  {value}" for name, value in rows)
