"""The judge of played days on what was emulated: the same rules, the same figures."""

from __future__ import annotations

from typing import Any

from martenstep.lab import day_pb2 as pb
from martenstep.lab.emulate.world import Traces, World
from martenstep.lab.report import result_of
from martenstep.lab.rules import CHECKED, RULES, Judge, Traffic, checked, gather


def traffic_of(traces: Traces) -> Traffic:
    """The traces put together."""
    return gather(traces.clients, traces.servers, traces.feed, traces.events)


def judged(day: pb.Day, traces: Traces) -> dict[str, Any]:
    """The result of an emulated day, in the form of a played one's."""
    traffic = traffic_of(traces)
    breaches = Judge(day, traffic).all()
    guarded = day.HasField("auth_services")
    if guarded:
        breaches += checked(traffic, traces.auth, day.judge_slack_ms)
    return result_of(day, traffic, breaches, (*RULES, *([CHECKED] if guarded else [])))


def emulate(day: pb.Day, seed: int | None = None) -> dict[str, Any]:
    """Play a day in virtual time and judge it; raises NotEmulatedError."""
    world = World(day, seed)
    result = judged(day, world.play())
    result["events"] = world.sim.events
    return result
