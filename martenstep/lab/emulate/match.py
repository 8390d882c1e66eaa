"""Whether the emulator says what the sockets said: one day, played and emulated, within stated tolerances."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from martenstep.lab.day import load_scenario
from martenstep.lab.emulate.judged import traffic_of
from martenstep.lab.emulate.world import World
from martenstep.lab.measures import comparable_figures
from martenstep.lab.report import check_traces, figures


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How far two runs of one day may part: by so much, or by this part of the played figure."""

    by: float
    part: float = 0.0


# A played day parts from itself, played again, by about half of these: its processes share one noisy machine.
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
    """One figure from both."""

    name: str
    played: float
    emulated: float

    @property
    def within(self) -> bool:
        """Whether they agree."""
        tolerance = TOLERANCES[self.name]
        return abs(self.played - self.emulated) <= max(tolerance.by, tolerance.part * abs(self.played))


def match(folder: Path) -> list[Pair]:
    """A played day's figures beside those of its emulation; raises SettingsError, TraceError, NotEmulatedError."""
    day = load_scenario(folder / "day.txtpb")
    traffic, _ = check_traces(folder, day)
    played = comparable_figures(day, traffic, figures(day, traffic))
    made = traffic_of(World(day).play())
    emulated = comparable_figures(day, made, figures(day, made))
    return [Pair(name, played[name], emulated[name]) for name in TOLERANCES]
