"""Compares arms by bootstrap intervals of their means and of paired differences over the same seeds."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import numpy as np

RESAMPLES = 4000
Row = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean, and the range that holds 95% of the resampled means."""

    mean: float
    low: float
    high: float
    runs: int

    @property
    def excludes_zero(self) -> bool:
        """Whether a difference is distinct from 0, because its interval excludes 0."""
        return self.low > 0 or self.high < 0


def bootstrap_interval(values: list[float], name: str = "") -> Interval:
    """The percentile bootstrap interval of the mean; equal values and names give equal intervals."""
    sample = np.asarray(values, dtype=float)
    if len(sample) == 0:
        return Interval(float("nan"), float("nan"), float("nan"), 0)
    rng = np.random.default_rng(zlib.crc32(name.encode()))
    means = rng.choice(sample, (RESAMPLES, len(sample))).mean(axis=1)
    low, high = np.percentile(means, (2.5, 97.5))
    return Interval(float(sample.mean()), float(low), float(high), len(sample))


def values_by_repetition(rows: list[Row], arm: str, metric: str) -> dict[int, float]:
    """The values of an arm's metric by repetition."""
    return {row["repetition"]: float(row[metric]) for row in rows if row["arm"] == arm}


def paired_difference(rows: list[Row], arm: str, baseline: str, metric: str) -> Interval:
    """The difference of arm and baseline, paired by runs with the same seed."""
    values, baseline_values = values_by_repetition(rows, arm, metric), values_by_repetition(rows, baseline, metric)
    shared = sorted(values.keys() & baseline_values.keys())
    return bootstrap_interval([values[number] - baseline_values[number] for number in shared], metric)


def arms(rows: list[Row]) -> list[str]:
    """The names of the arms, in the order of the plan."""
    return list(dict.fromkeys(row["arm"] for row in rows))


def metrics(rows: list[Row]) -> list[str]:
    """The names of the metrics that the rows contain."""
    identifying = ("repetition", "seed")
    return [
        name
        for name, value in rows[0].items()
        if isinstance(value, float) and name not in identifying and not name.startswith("value_")
    ]


def table(rows: list[Row], names: list[str], baseline: str = "") -> str:
    """A Markdown table of means with their intervals and their differences from a baseline."""
    lines = ["| arm | " + " | ".join(names) + " | rules |", "| --- |" + " --- |" * (len(names) + 1)]
    for arm in arms(rows):
        cells = []
        for name in names:
            interval = bootstrap_interval(list(values_by_repetition(rows, arm, name).values()), name)
            cell = f"{interval.mean:.4g} [{interval.low:.4g}, {interval.high:.4g}]"
            if baseline and arm != baseline:
                paired = paired_difference(rows, arm, baseline, name)
                cell += f" ({paired.mean:+.3g}{'*' if paired.excludes_zero else ''})"
            cells.append(cell)
        broken = sorted({rule for row in rows if row["arm"] == arm for rule in row["broken"]})
        lines.append(f"| {arm} | {' | '.join(cells)} | {'kept' if not broken else 'BROKEN: ' + ', '.join(broken)} |")
    return "\n".join(lines)
