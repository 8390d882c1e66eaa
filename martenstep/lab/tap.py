"""Turns a tap of a bench run into a day: the same kinds of trouble, at the same times, on real sockets.

A tap holds batches and replies of the text wire, `>>` and `<<` lines between them.  Read from it: the rate of first
tries in each second (phases), the plans and classes of the settings, instances that stop and start again (doors
killed), servers that drain, go or restart, servers whose attempts time out while others answer (silent ones), and
counter calls that time out (store paused) or come back with totals that fell (store emptied).  Size and rate are
scaled to what one machine bears: what is replayed is the kind of day, not its size.
"""

from __future__ import annotations

import json
import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from martenstep.config import door_pb2 as cfg
from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import LONGEST_MS

SECOND_MS = 1000.0
PHASE_MS = 2000.0  # of one phase at least: the rate is averaged over this
SILENT_LEAST = 3  # attempts in a row without an answer are silence
PAUSE_LEAST_MS = 300.0  # a span of unanswered counter calls that is shorter is chance
EFFECTS = {"idempotent": cfg.SAFE, "deduplicated": cfg.KEYED, "at_most_once": cfg.UNSAFE}
GROUPS = {"all": cfg.ALL, "zone": cfg.ZONE, "cell": cfg.CELL}
WORK_MS = (20.0, 40.0)  # of a request on one core: the tap does not tell the bench's


class TapError(Exception):
    """A line that is none of a tap."""


@dataclass
class _Read:
    """What was gathered from a tap."""

    settings: dict[str, Any] = field(default_factory=dict)
    start: float = math.nan
    end: float = 0.0
    arrivals: Counter[int] = field(default_factory=Counter)  # by second
    plans: Counter[str] = field(default_factory=Counter)
    classes: Counter[str] = field(default_factory=Counter)
    callers: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    doors: set[str] = field(default_factory=set)
    stopped: dict[str, float] = field(default_factory=dict)
    kills: list[tuple[str, float, float]] = field(default_factory=list)
    servers: dict[str, tuple[str, float]] = field(default_factory=dict)  # state and start as last told
    drains: list[tuple[str, float, str]] = field(default_factory=list)  # server, time, drained or restarted
    misses: dict[str, tuple[float, int]] = field(default_factory=dict)  # since when, how many
    silences: list[tuple[str, float, float]] = field(default_factory=list)
    unanswered: list[tuple[float, float]] = field(default_factory=list)
    waiting_since: float | None = None


def _fields(rest: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    while rest:
        key, found, rest = rest.partition("=")
        if not found:
            raise TapError(f"expected name=value, got {key!r}")
        if key in ("params", "text"):
            pairs[key] = rest
            break
        pairs[key], _, rest = rest.partition(" ")
    return pairs


def read_tap(lines: Iterable[str]) -> _Read:
    """Gather what a tap tells; raises TapError with the line's number."""
    read = _Read()
    now, number = math.nan, 0
    try:
        for text in lines:
            number += 1
            line = text.rstrip("\r\n")
            if not line or line.startswith((">>", "<<")):
                continue
            name, _, rest = line.partition(" ")
            if name in ("YOUR_TURN", "READY"):
                continue
            pairs = _fields(rest)
            if name == "BATCH":
                now = float(pairs["t_ms"])
                read.start = now if math.isnan(read.start) else read.start
                read.end = max(read.end, now)
            elif math.isnan(now):
                raise TapError(f"{name!r} before the first BATCH")
            else:
                _take(read, now, name, pairs)
    except KeyError as error:
        raise TapError(f"line {number}: no field {error.args[0]}") from None
    except (TapError, ValueError) as error:
        raise TapError(f"line {number}: {error}") from None
    if not read.settings or not read.arrivals:
        raise TapError("no instance was started, or no request came: not a tap of a run")
    if read.waiting_since is not None:
        read.unanswered.append((read.waiting_since, read.end))
    return read


def _take(read: _Read, now: float, name: str, pairs: dict[str, str]) -> None:
    if name == "UP":
        door = pairs["door"]
        read.doors.add(door)
        if not read.settings:
            read.settings = json.loads(pairs["params"])
        if door in read.stopped:
            read.kills.append((door, read.stopped.pop(door), now))
    elif name == "DETACH":
        read.stopped[pairs["door"]] = now
    elif name == "QUERY":
        read.arrivals[int((now - read.start) / SECOND_MS)] += 1
        read.plans[pairs["grade_of_service"]] += 1
        read.classes[pairs["cls"]] += 1
        read.callers[pairs["grade_of_service"]].add(pairs["caller"])
    elif name == "BACKEND":
        _server(read, now, pairs["backend"], pairs["condition"], float(pairs.get("born_ms", "0")))
    elif name == "COMPLETED":
        _completed(read, now, pairs["backend"], pairs["verdict"])
    elif name == "TOTAL":
        if pairs["verdict"] == "Ok":
            if read.waiting_since is not None:
                read.unanswered.append((read.waiting_since, now))
            read.waiting_since = None
        elif read.waiting_since is None:
            read.waiting_since = now


def _server(read: _Read, now: float, server: str, state: str, born: float) -> None:
    before = read.servers.get(server)
    read.servers[server] = state, born
    if before is None:
        return
    if before[0] == "U" and state != "U":
        read.drains.append((server, now, "drained"))
    elif state == "U" and born > before[1]:
        read.drains.append((server, now, "restarted"))


def _completed(read: _Read, now: float, server: str, verdict: str) -> None:
    since, count = read.misses.get(server, (now, 0))
    if verdict in ("TimedOut", "Canceled"):
        read.misses[server] = since, count + 1
    elif verdict in ("Ok", "Failed", "QueueFull"):
        if count >= SILENT_LEAST:
            read.silences.append((server, since, now))
        read.misses.pop(server, None)


def _classes(read: _Read, day: pb.Day) -> None:
    total = sum(read.classes.values())
    for entry in read.settings["classes"]:
        word = entry["idempotency"]
        if word not in EFFECTS:
            raise TapError(f"classes[].idempotency: {word!r} is not known")
        made = getattr(day, "class").add(
            name=entry["name"],
            aim_ms=entry["slo_ms"],
            deadline_ms=entry["deadline_ms"],
            effect=EFFECTS[word],
            worth=entry.get("worth", 1.0),
        )
        if word == "deduplicated":
            made.group, made.window_ms = GROUPS[entry.get("group", "all")], entry["window_ms"]
        if read.classes[entry["name"]]:
            work = day.work.add(
                share=round(read.classes[entry["name"]] / total, 4), least_ms=WORK_MS[0], most_ms=WORK_MS[1]
            )
            setattr(work, "class", entry["name"])


def _plans(read: _Read, day: pb.Day, scale: float) -> None:
    total = sum(read.plans.values())
    for entry in read.settings["contracts"]:
        name = entry["name"]
        day.plan.add(
            name=name,
            rate=entry["units_per_s"],
            burst=entry["most_at_once"],
            open_limit=entry["open"],
            price=entry["worth_factor"],
            over_worth=entry["over_worth"],
            over_cost=entry["beyond_costs"],
            ceiling_rate=entry["hard_rate"],
            ceiling_burst=entry["cap_depth"],
            ceiling_slack=entry["tolerance"] if entry["hard_rate"] else 0.0,
        )
        if read.plans[name]:
            number = max(round(len(read.callers[name]) * scale), 1)
            day.customers.add(
                plan=name,
                number=number,
                share=round(read.plans[name] / total, 4),
                doors=min(2, day.fleet.doors),
                skew=0.5,
            )


def day_from(lines: Iterable[str], name: str, rate: float, servers: int, doors: int) -> pb.Day:
    """A day of the tap's kind, with a mean rate, servers and doors that one machine bears; raises TapError."""
    read = read_tap(lines)
    length = read.end - read.start
    mean = sum(read.arrivals.values()) / max(length, SECOND_MS) * SECOND_MS
    scale = rate / mean
    day = pb.Day(name=name, about="From a tap of a bench run; scaled down.")
    day.fleet.doors, day.fleet.servers = min(doors, len(read.doors)), min(servers, max(len(read.servers), 1))
    _classes(read, day)
    _plans(read, day, scale)
    step = int(PHASE_MS / SECOND_MS)
    last = min(int(length / SECOND_MS), int(LONGEST_MS / SECOND_MS) - step)
    for second in range(0, last + 1, step):
        count = sum(read.arrivals[second + more] for more in range(step))
        day.phase.add(for_ms=PHASE_MS, rate=round(count / step * scale, 2))
    rules, told = read.settings["rules"], day.rules
    told.answer_slack_ms, told.drain_grace_ms = rules["answer_slack_ms"], rules["drain_grace_ms"]
    told.cold_from, told.warm_within_ms = rules["cold_from"], rules["warm_within_ms"]
    told.fall_multiple, told.fall_window_ms = rules["fall_multiple"], rules["overload_for_ms"]
    day.upstream.max_attempts = read.settings["policy_limits"]["try_limit"]
    day.upstream.cancel = bool(read.settings["policy_limits"]["cancelling"])
    day.store_timeout_ms = read.settings["family_info"]["counter_timeout_ms"] or 50.0
    _events(read, day)
    return day


def _events(read: _Read, day: pb.Day) -> None:
    """The troubles, on doors and servers of the same share as in the tap."""
    door_of = {door: index % day.fleet.doors for index, door in enumerate(sorted(read.doors))}
    server_of = {server: index % day.fleet.servers for index, server in enumerate(sorted(read.servers))}
    length = sum(phase.for_ms for phase in day.phase)

    def add(trouble: pb.Trouble, at: float, for_ms: float, target: int | None) -> None:
        when = round(min(max(at - read.start, 0.0), length), 1)
        made = day.event.add(trouble=trouble, at_ms=when, for_ms=round(for_ms, 1))
        if target is not None:
            made.target.append(target)

    killed: dict[int, float] = {}
    for door, at, back in sorted(read.kills, key=lambda kill: kill[1]):
        if at >= killed.get(door_of[door], -math.inf):  # several doors of the bench stand behind one of ours
            add(pb.DOOR_KILLED, at, max(back - at, 200.0), door_of[door])
            killed[door_of[door]] = back
    busy: dict[int, float] = {}
    for server, since, until in sorted(read.silences, key=lambda span: span[1]):
        if since >= busy.get(server_of[server], -math.inf):
            add(pb.SERVER_SILENT, since, max(until - since, 500.0), server_of[server])
            busy[server_of[server]] = until
    for server, at, what in sorted(read.drains, key=lambda drain: drain[1]):
        if what != "drained" or at < busy.get(server_of[server], -math.inf):
            continue
        again = [when for other, when, how in read.drains if other == server and how == "restarted" and when > at]
        add(
            pb.SERVER_RESTARTED if again else pb.SERVER_DRAINED,
            at,
            again[0] - at if again else day.rules.drain_grace_ms * 2,
            server_of[server],
        )
        busy[server_of[server]] = again[0] if again else math.inf
    for since, until in read.unanswered:
        if until - since >= PAUSE_LEAST_MS:
            add(pb.STORE_PAUSED, since, until - since, None)
