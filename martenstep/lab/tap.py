"""Turns the recording of a simulator run (a tap) into a scenario with the same kinds of faults at the same times.

A tap holds the batches and replies of the simulator's text protocol, with `>>` and `<<` lines between them.  These are
read from it: the rate of first tries in each second (phases); the plans and classes of the settings; instances that
stop and start again (gateways killed); servers that drain, go or restart; servers whose attempts time out while others
answer (silent servers); and periods in which counter calls time out (store paused).  Size and rate are scaled to what
one machine can run: the scenario keeps the kinds of events, not their scale.
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
from martenstep.lab.day import MAX_LENGTH_MS

SECOND_MS = 1000.0
PHASE_MS = 2000.0  # length of a phase, over which the rate is averaged
MIN_SILENT_ATTEMPTS = 3  # a server is silent after this many attempts in a row without an answer
MIN_PAUSE_MS = 300.0  # shorter periods of unanswered counter calls occur without a paused store
EFFECTS = {"idempotent": cfg.SAFE, "deduplicated": cfg.KEYED, "at_most_once": cfg.UNSAFE}
GROUPS = {"all": cfg.ALL, "zone": cfg.ZONE, "cell": cfg.CELL}
WORK_MS = (20.0, 40.0)  # of a request on one core; a tap does not contain the simulated work


class TapError(Exception):
    """Lines that are not a tap."""


@dataclass
class _Recording:
    """What was read from a tap."""

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
    servers: dict[str, tuple[str, float]] = field(default_factory=dict)  # state and start in the latest list
    drains: list[tuple[str, float, str]] = field(default_factory=list)  # server, time, drained or restarted
    unanswered_attempts: dict[str, tuple[float, int]] = field(default_factory=dict)  # by server: since when, how many
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


def read_tap(lines: Iterable[str]) -> _Recording:
    """Read a tap; raises TapError with the number of the wrong line."""
    recording = _Recording()
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
                recording.start = now if math.isnan(recording.start) else recording.start
                recording.end = max(recording.end, now)
            elif math.isnan(now):
                raise TapError(f"{name!r} before the first BATCH")
            else:
                _read_event(recording, now, name, pairs)
    except KeyError as error:
        raise TapError(f"line {number}: no field {error.args[0]}") from None
    except (TapError, ValueError) as error:
        raise TapError(f"line {number}: {error}") from None
    if not recording.settings or not recording.arrivals:
        raise TapError("not a tap of a run: it has no UP or no QUERY line")
    if recording.waiting_since is not None:
        recording.unanswered.append((recording.waiting_since, recording.end))
    return recording


def _read_event(recording: _Recording, now: float, name: str, pairs: dict[str, str]) -> None:
    if name == "UP":
        door = pairs["door"]
        recording.doors.add(door)
        if not recording.settings:
            recording.settings = json.loads(pairs["params"])
        if door in recording.stopped:
            recording.kills.append((door, recording.stopped.pop(door), now))
    elif name == "DETACH":
        recording.stopped[pairs["door"]] = now
    elif name == "QUERY":
        recording.arrivals[int((now - recording.start) / SECOND_MS)] += 1
        recording.plans[pairs["grade_of_service"]] += 1
        recording.classes[pairs["cls"]] += 1
        recording.callers[pairs["grade_of_service"]].add(pairs["caller"])
    elif name == "BACKEND":
        _read_server(recording, now, pairs["backend"], pairs["condition"], float(pairs.get("born_ms", "0")))
    elif name == "COMPLETED":
        _read_attempt_end(recording, now, pairs["backend"], pairs["verdict"])
    elif name == "TOTAL":
        if pairs["verdict"] == "Ok":
            if recording.waiting_since is not None:
                recording.unanswered.append((recording.waiting_since, now))
            recording.waiting_since = None
        elif recording.waiting_since is None:
            recording.waiting_since = now


def _read_server(recording: _Recording, now: float, server: str, state: str, born: float) -> None:
    before = recording.servers.get(server)
    recording.servers[server] = state, born
    if before is None:
        return
    if before[0] == "U" and state != "U":
        recording.drains.append((server, now, "drained"))
    elif state == "U" and born > before[1]:
        recording.drains.append((server, now, "restarted"))


def _read_attempt_end(recording: _Recording, now: float, server: str, verdict: str) -> None:
    since, count = recording.unanswered_attempts.get(server, (now, 0))
    if verdict in ("TimedOut", "Canceled"):
        recording.unanswered_attempts[server] = since, count + 1
    elif verdict in ("Ok", "Failed", "QueueFull"):
        if count >= MIN_SILENT_ATTEMPTS:
            recording.silences.append((server, since, now))
        recording.unanswered_attempts.pop(server, None)


def _add_classes(recording: _Recording, scenario: pb.Day) -> None:
    total = sum(recording.classes.values())
    for entry in recording.settings["classes"]:
        idempotency = entry["idempotency"]
        if idempotency not in EFFECTS:
            raise TapError(f"classes[].idempotency: expected one of {', '.join(EFFECTS)}, got {idempotency!r}")
        request_class = getattr(scenario, "class").add(
            name=entry["name"],
            aim_ms=entry["slo_ms"],
            deadline_ms=entry["deadline_ms"],
            effect=EFFECTS[idempotency],
            worth=entry.get("worth", 1.0),
        )
        if idempotency == "deduplicated":
            request_class.group, request_class.window_ms = GROUPS[entry.get("group", "all")], entry["window_ms"]
        if recording.classes[entry["name"]]:
            work = scenario.work.add(
                share=round(recording.classes[entry["name"]] / total, 4), least_ms=WORK_MS[0], most_ms=WORK_MS[1]
            )
            setattr(work, "class", entry["name"])


def _add_plans(recording: _Recording, scenario: pb.Day, scale: float) -> None:
    total = sum(recording.plans.values())
    for entry in recording.settings["contracts"]:
        name = entry["name"]
        scenario.plan.add(
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
        if recording.plans[name]:
            number = max(round(len(recording.callers[name]) * scale), 1)
            scenario.customers.add(
                plan=name,
                number=number,
                share=round(recording.plans[name] / total, 4),
                doors=min(2, scenario.fleet.doors),
                skew=0.5,
            )


def scenario_from_tap(lines: Iterable[str], name: str, rate: float, servers: int, doors: int) -> pb.Day:
    """A scenario with the events of the tap, scaled to the given rate, servers and gateways; raises TapError."""
    recording = read_tap(lines)
    length = recording.end - recording.start
    mean = sum(recording.arrivals.values()) / max(length, SECOND_MS) * SECOND_MS
    scale = rate / mean
    scenario = pb.Day(name=name, about="From a tap of a bench run; scaled down.")
    scenario.fleet.doors, scenario.fleet.servers = (
        min(doors, len(recording.doors)),
        min(servers, max(len(recording.servers), 1)),
    )
    _add_classes(recording, scenario)
    _add_plans(recording, scenario, scale)
    step = int(PHASE_MS / SECOND_MS)
    last = min(int(length / SECOND_MS), int(MAX_LENGTH_MS / SECOND_MS) - step)
    for second in range(0, last + 1, step):
        count = sum(recording.arrivals[second + more] for more in range(step))
        scenario.phase.add(for_ms=PHASE_MS, rate=round(count / step * scale, 2))
    rules, scenario_rules = recording.settings["rules"], scenario.rules
    scenario_rules.answer_slack_ms, scenario_rules.drain_grace_ms = rules["answer_slack_ms"], rules["drain_grace_ms"]
    scenario_rules.cold_from, scenario_rules.warm_within_ms = rules["cold_from"], rules["warm_within_ms"]
    scenario_rules.fall_multiple, scenario_rules.fall_window_ms = rules["fall_multiple"], rules["overload_for_ms"]
    scenario.upstream.max_attempts = recording.settings["policy_limits"]["try_limit"]
    scenario.upstream.cancel = bool(recording.settings["policy_limits"]["cancelling"])
    scenario.store_timeout_ms = recording.settings["family_info"]["counter_timeout_ms"] or 50.0
    _add_events(recording, scenario)
    return scenario


def _add_events(recording: _Recording, scenario: pb.Day) -> None:
    """Add the faults; the tap's gateways and servers are mapped to those of the smaller fleet in turn."""
    gateway_numbers = {door: index % scenario.fleet.doors for index, door in enumerate(sorted(recording.doors))}
    server_numbers = {server: index % scenario.fleet.servers for index, server in enumerate(sorted(recording.servers))}
    length = sum(phase.for_ms for phase in scenario.phase)

    def add(fault: pb.Trouble, at: float, for_ms: float, target: int | None) -> None:
        at_ms = round(min(max(at - recording.start, 0.0), length), 1)
        event = scenario.event.add(trouble=fault, at_ms=at_ms, for_ms=round(for_ms, 1))
        if target is not None:
            event.target.append(target)

    killed: dict[int, float] = {}
    for door, at, back in sorted(recording.kills, key=lambda kill: kill[1]):
        if at >= killed.get(gateway_numbers[door], -math.inf):  # several gateways of the tap map to one of the scenario
            add(pb.DOOR_KILLED, at, max(back - at, 200.0), gateway_numbers[door])
            killed[gateway_numbers[door]] = back
    faulty_until: dict[int, float] = {}
    for server, since, until in sorted(recording.silences, key=lambda span: span[1]):
        if since >= faulty_until.get(server_numbers[server], -math.inf):
            add(pb.SERVER_SILENT, since, max(until - since, 500.0), server_numbers[server])
            faulty_until[server_numbers[server]] = until
    for server, at, what in sorted(recording.drains, key=lambda drain: drain[1]):
        if what != "drained" or at < faulty_until.get(server_numbers[server], -math.inf):
            continue
        restarts = [
            when for other, when, how in recording.drains if other == server and how == "restarted" and when > at
        ]
        add(
            pb.SERVER_RESTARTED if restarts else pb.SERVER_DRAINED,
            at,
            restarts[0] - at if restarts else scenario.rules.drain_grace_ms * 2,
            server_numbers[server],
        )
        faulty_until[server_numbers[server]] = restarts[0] if restarts else math.inf
    for since, until in recording.unanswered:
        if until - since >= MIN_PAUSE_MS:
            add(pb.STORE_PAUSED, since, until - since, None)
