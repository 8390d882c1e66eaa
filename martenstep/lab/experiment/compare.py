"""What two arms differ by: bootstrap intervals of means, and of paired differences over the same seeds."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import numpy as np

RESAMPLES = 4000
Row = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean, and where 95% of the resampled means lie."""

    mean: float
    low: float
    high: float
    runs: int

    @property
    def differs(self) -> bool:
        """Whether 0 lies outside, of a difference."""
        return self.low > 0 or self.high < 0


def interval(values: list[float], name: str = "") -> Interval:
    """The mean's bootstrap interval by percentiles; the same for the same values."""
    held = np.asarray(values, dtype=float)
    if len(held) == 0:
        return Interval(float("nan"), float("nan"), float("nan"), 0)
    rng = np.random.default_rng(zlib.crc32(name.encode()))
    means = rng.choice(held, (RESAMPLES, len(held))).mean(axis=1)
    low, high = np.percentile(means, (2.5, 97.5))
    return Interval(float(held.mean()), float(low), float(high), len(held))


def of_arm(rows: list[Row], arm: str, metric: str) -> dict[int, float]:
    """A metric of an arm, by repetition."""
    return {row["repetition"]: float(row[metric]) for row in rows if row["arm"] == arm}


def difference(rows: list[Row], arm: str, baseline: str, metric: str) -> Interval:
    """Arm less baseline, run by run with the same seed."""
    one, other = of_arm(rows, arm, metric), of_arm(rows, baseline, metric)
    shared = sorted(one.keys() & other.keys())
    return interval([one[number] - other[number] for number in shared], metric)


def arms(rows: list[Row]) -> list[str]:
    """The arms, in the order of the plan."""
    return list(dict.fromkeys(row["arm"] for row in rows))


def metrics(rows: list[Row]) -> list[str]:
    """What was measured."""
    held = ("repetition", "seed")
    return [
        name
        for name, value in rows[0].items()
        if isinstance(value, float) and name not in held and not name.startswith("value_")
    ]


def table(rows: list[Row], names: list[str], baseline: str = "") -> str:
    """Means with their intervals, and the differences from a baseline, as a Markdown table."""
    lines = ["| arm | " + " | ".join(names) + " | rules |", "| --- |" + " --- |" * (len(names) + 1)]
    for arm in arms(rows):
        cells = []
        for name in names:
            found = interval(list(of_arm(rows, arm, name).values()), name)
            cell = f"{found.mean:.4g} [{found.low:.4g}, {found.high:.4g}]"
            if baseline and arm != baseline:
                less = difference(rows, arm, baseline, name)
                cell += f" ({less.mean:+.3g}{'*' if less.differs else ''})"
            cells.append(cell)
        broken = sorted({rule for row in rows if row["arm"] == arm for rule in row["broken"]})
        lines.append(f"| {arm} | {' | '.join(cells)} | {'kept' if not broken else 'BROKEN: ' + ', '.join(broken)} |")
    return "\n".join(lines)
