"""The judge of played days on what was emulated: the same rules, the same figures."""

from __future__ import annotations

from typing import Any

from martenstep.lab import day_pb2 as pb
from martenstep.lab.emulate.world import Traces, World
from martenstep.lab.report import build_result
from martenstep.lab.rules import CHECKED, RULES, InvariantChecker, Traffic, check_verdicts, join_traces


def traffic_of(traces: Traces) -> Traffic:
    """The traces put together."""
    return join_traces(traces.clients, traces.servers, traces.feed, traces.events)


def judged(day: pb.Day, traces: Traces) -> dict[str, Any]:
    """The result of an emulated day, in the form of a played one's."""
    traffic = traffic_of(traces)
    breaches = InvariantChecker(day, traffic).violations()
    guarded = day.HasField("auth_services")
    if guarded:
        breaches += check_verdicts(traffic, traces.auth, day.judge_slack_ms)
    return build_result(day, traffic, breaches, (*RULES, *([CHECKED] if guarded else [])))


def emulate(day: pb.Day, seed: int | None = None) -> dict[str, Any]:
    """Play a day in virtual time and judge it; raises NotEmulatedError."""
    world = World(day, seed)
    result = judged(day, world.play())
    result["events"] = world.sim.events
    return result
