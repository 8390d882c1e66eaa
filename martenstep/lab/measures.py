"""Compares a scenario's traffic with an ideal limiter: how far the fleet kept each customer to its plan, as a single
token bucket would have done."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from martenstep.lab import day_pb2 as pb
from martenstep.lab.rules import ClientTry, Traffic

# Share of the burst that the bucket must hold beyond the request to count as headroom: without this margin, a
# millisecond more or less would decide.
HEADROOM_MARGIN = 0.1
QUOTA_REASONS = ("quota", "unheard")


@dataclass(frozen=True, slots=True)
class QuotaUse:
    """Units of all customers, measured against one token bucket for each of them."""

    forwarded: float
    excess: float  # units forwarded while the bucket was empty
    refused: float  # units refused for the quota
    refused_with_headroom: float  # units refused for the quota while the bucket had headroom


def quota_use(scenario: pb.Day, traffic: Traffic) -> QuotaUse:
    """Replay each customer's bucket: it is filled at the plan's rate up to the burst, and drained by each try when its
    first attempt reaches a server.  What it lacks for a try is excess; it is not carried over as a debt, so that each
    excess is counted once."""
    plans = {plan.name: plan for plan in scenario.plan}
    by_customer: dict[str, list[tuple[float, bool, ClientTry]]] = defaultdict(list)
    for client_try in traffic.tries.values():
        if client_try.attempts:
            by_customer[client_try.customer].append(
                (min(attempt.at for attempt in client_try.attempts), True, client_try)
            )
        elif client_try.ends and client_try.ends[0].get("reason") in QUOTA_REASONS:
            by_customer[client_try.customer].append((client_try.ends[0]["t"], False, client_try))
    forwarded = excess = refused = refused_with_headroom = 0.0
    for customer, events in by_customer.items():
        plan = plans[customer.rpartition("-")[0].rpartition("-")[0]]
        if plan.rate <= 0:
            continue
        level, at = plan.burst, -1e18
        for when, was_forwarded, client_try in sorted(events, key=lambda event: event[0]):
            level, at = min(level + (when - at) * plan.rate / 1000.0, plan.burst), when
            if was_forwarded:
                forwarded += client_try.units
                excess += max(client_try.units - level, 0.0)
                level = max(level - client_try.units, 0.0)
            else:
                refused += client_try.units
                refused_with_headroom += (
                    client_try.units if level >= client_try.units + HEADROOM_MARGIN * plan.burst else 0.0
                )
    return QuotaUse(forwarded, excess, refused, refused_with_headroom)


def comparable_figures(scenario: pb.Day, traffic: Traffic, figures: dict[str, object]) -> dict[str, float]:
    """The figures by which two runs of one scenario are compared, as shares where that makes them comparable."""
    comparable: dict[str, float] = {}
    tries = max(int(str(figures["tries"])), 1)
    requests = max(int(str(figures["requests"])), 1)
    use = quota_use(scenario, traffic)
    refused = figures["refused"]
    otherwise = figures["otherwise"]
    assert isinstance(refused, dict) and isinstance(otherwise, dict)
    comparable["requests_served"] = int(str(figures["requests_served"])) / requests
    comparable["tries_a_request"] = tries / requests
    comparable["tries_refused"] = sum(refused.values()) / tries
    comparable["tries_otherwise"] = sum(otherwise.values()) / tries
    comparable["attempts_a_sent"] = float(str(figures["attempts"])) / max(float(str(figures["sent_on"])), 1.0)
    for name in ("p50_ms", "p99_ms"):
        comparable[name] = float(str(figures[name] or 0.0))
    comparable["over_share"] = use.excess / use.forwarded if use.forwarded else 0.0
    comparable["with_room_share"] = use.refused_with_headroom / use.refused if use.refused else 0.0
    return comparable
