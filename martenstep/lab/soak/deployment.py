"""The deployments that the soak plays: settings and limits, drawn from the seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from martenstep.lab.soak.clients import DEDUPLICATION_WINDOW_S
from martenstep.lab.soak.oracle import Ceiling, SlowStart

DRAIN_GRACE_S = 0.7
WARM_RATE = 25.0  # requests a second that a warm backend can serve
SLOW_START = SlowStart(initial_share=0.2, warm_up_s=6.0, overload_multiple=2.0, window_s=1.0)
CEILING = Ceiling(units_per_s=5.0, burst_units=14.0, tolerance_units=3.0)
DEADLINES_MS = (300.0, 800.0, 1500.0, 3000.0)
MEMORIES_MB, CROWD_MEMORIES_MB = (32, 64, 192), (32, 48, 64)
SOCKETS = (256, 400, 1024)
MAX_KILL_DEADLINE_MS, KILL_MARGIN_S = 3000.0, 0.7  # SIGKILL follows SIGTERM after the longest deadline plus the margin
OBJECTIVE_SHARE = 0.4  # of the deadline
CROWD_SEEDS = 3  # one seed in so many has crowds


@dataclass(frozen=True, slots=True)
class Deployment:
    """What the configuration of every gateway of a run states."""

    deadline_ms: float
    memory_mb: int
    sockets: int
    has_crowds: bool

    @property
    def kill_after_s(self) -> float:
        """The earliest time of SIGKILL after SIGTERM."""
        return min(self.deadline_ms, MAX_KILL_DEADLINE_MS) / 1000 + KILL_MARGIN_S

    def limits(self) -> dict[str, Any]:
        """The limits of one gateway."""
        return {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets}

    def settings(self, instance: int, instances: int) -> dict[str, Any]:
        """The settings of one gateway."""
        common = {"slo_ms": OBJECTIVE_SHARE * self.deadline_ms, "deadline_ms": self.deadline_ms}
        deduplicated = {"idempotency": "deduplicated", "group": "all", "window_ms": DEDUPLICATION_WINDOW_S * 1000}
        return {
            "me": instance,
            "instances": instances,
            "zone": "north",
            "tick_ms": 2.0,
            "classes": [
                {"name": "read", **common, "idempotency": "idempotent"},
                {"name": "book", **common, **deduplicated},
                {"name": "pay", **common, "idempotency": "at_most_once"},
            ],
            "contracts": [
                {
                    "name": "small",
                    "units_per_s": 3.0,
                    "most_at_once": 12.0,
                    "beyond_costs": 0.5,
                    "hard_rate": CEILING.units_per_s,
                    "cap_depth": CEILING.burst_units,
                    "tolerance": CEILING.tolerance_units,
                },
                {"name": "free"},
            ],
            "family_info": {"has_counter": True, "counter_timeout_ms": 40.0, "max_units": 3},
            "policy_limits": {
                "try_limit": 3,
                "cancelling": True,
                "conn_idle_ms": 1500.0,
                "dial_timeout_ms": 200.0,
                "max_open": 500,
                "retry_after": True,
                "max_retry_after_ms": 700.0,
            },
            "rules": {
                "answer_slack_ms": 10.0,
                "cold_from": SLOW_START.initial_share,
                "drain_grace_ms": DRAIN_GRACE_S * 1000,
                "warm_within_ms": SLOW_START.warm_up_s * 1000,
                "fall_multiple": SLOW_START.overload_multiple,
                "overload_for_ms": SLOW_START.window_s * 1000,
            },
        }


def draw_deployment(seed: int) -> Deployment:
    """Draw the deployment of a seed."""
    rng, has_crowds = random.Random(f"deployment {seed}"), seed % CROWD_SEEDS == 0
    memory_mb = rng.choice(CROWD_MEMORIES_MB if has_crowds else MEMORIES_MB)
    return Deployment(rng.choice(DEADLINES_MS), memory_mb, rng.choice(SOCKETS), has_crowds)
