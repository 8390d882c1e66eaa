"""Compares the figures of a scenario that ran on sockets with those of its emulation, within stated tolerances."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from martenstep.lab.day import load_scenario
from martenstep.lab.emulate.judged import gather_traffic
from martenstep.lab.emulate.world import Emulation
from martenstep.lab.measures import comparable_figures
from martenstep.lab.report import check_traces, figures


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How far two figures may differ: absolutely, or as a part of the figure on sockets; the larger bound counts."""

    absolute: float
    relative: float = 0.0


# Two runs of one scenario on sockets differ by about half of these, because the processes share one noisy machine.
TOLERANCES = {
    "requests_served": Tolerance(0.02),
    "tries_a_request": Tolerance(0.05, 0.06),
    "tries_refused": Tolerance(0.05),
    "tries_otherwise": Tolerance(0.03),
    "attempts_a_sent": Tolerance(0.02),
    "p50_ms": Tolerance(5.0, 0.1),
    "p99_ms": Tolerance(20.0, 0.15),
    "over_share": Tolerance(0.01),
}


@dataclass(frozen=True, slots=True)
class Pair:
    """One figure on sockets and in the emulation."""

    name: str
    played: float
    emulated: float

    @property
    def within(self) -> bool:
        """Whether the two agree within the tolerance."""
        tolerance = TOLERANCES[self.name]
        return abs(self.played - self.emulated) <= max(tolerance.absolute, tolerance.relative * abs(self.played))


def match(folder: Path) -> list[Pair]:
    """Compare a run on sockets with its emulation; raises SettingsError, TraceError, NotEmulatedError."""
    scenario = load_scenario(folder / "day.txtpb")
    played_traffic, _ = check_traces(folder, scenario)
    played = comparable_figures(scenario, played_traffic, figures(scenario, played_traffic))
    emulated_traffic = gather_traffic(Emulation(scenario).run())
    emulated = comparable_figures(scenario, emulated_traffic, figures(scenario, emulated_traffic))
    return [Pair(name, played[name], emulated[name]) for name in TOLERANCES]
