"""Checks emulated scenarios with the invariant checkers and figures of those that run on sockets."""

from __future__ import annotations

from typing import Any

from martenstep.lab import day_pb2 as pb
from martenstep.lab.emulate.world import Emulation, Traces
from martenstep.lab.report import build_result
from martenstep.lab.rules import CHECKED, RULES, InvariantChecker, Traffic, check_verdicts, join_traces


def gather_traffic(traces: Traces) -> Traffic:
    """Combine the traces into the traffic that the checkers work on."""
    return join_traces(traces.clients, traces.servers, traces.feed, traces.events)


def check_traces(scenario: pb.Day, traces: Traces) -> dict[str, Any]:
    """Check an emulated scenario; the result has the same form as for a scenario on sockets."""
    traffic = gather_traffic(traces)
    violations = InvariantChecker(scenario, traffic).violations()
    has_auth = scenario.HasField("auth_services")
    if has_auth:
        violations += check_verdicts(traffic, traces.auth, scenario.judge_slack_ms)
    return build_result(scenario, traffic, violations, (*RULES, *([CHECKED] if has_auth else [])))


def emulate(scenario: pb.Day, seed: int | None = None) -> dict[str, Any]:
    """Run a scenario in virtual time and check its invariants; raises NotEmulatedError."""
    emulation = Emulation(scenario, seed)
    result = check_traces(scenario, emulation.run())
    result["events"] = emulation.sim.events
    return result
