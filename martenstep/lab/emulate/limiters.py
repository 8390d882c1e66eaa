"""Other ways to keep customers to their plans, to hold the program's own against: each admits or refuses before the
engine, which then only finds a server.

No I/O; the store of the central one is a model with the network's latency and the day's troubles.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

Answer = Callable[[float | None], None]  # None: admitted; else the wait in ms


@dataclass(slots=True)
class Bucket:
    """GCRA: a theoretical arrival time against a rate a millisecond and a burst."""

    per_unit: float
    tolerance: float
    tat: float = 0.0

    def take(self, now: float, units: float) -> float:
        """Takes the units, and gives 0; or what is to be waited for them, and takes nothing."""
        wait = max(self.tat, now) - now + units * self.per_unit - self.tolerance
        if wait > 1e-9:
            return wait
        self.tat = max(self.tat, now) + units * self.per_unit
        return 0.0


class Buckets:
    """A bucket a customer."""

    def __init__(self) -> None:
        self._held: dict[str, Bucket] = {}

    def take(self, now: float, customer: str, rate: float, burst: float, units: float) -> float:
        """As `Bucket.take`; rate in units a second."""
        bucket = self._held.get(customer)
        if bucket is None:
            bucket = self._held[customer] = Bucket(1000.0 / rate, burst * 1000.0 / rate)
        return bucket.take(now, units)

    def clear(self) -> None:
        """Forget all."""
        self._held.clear()


def share(kind: str, doors: int) -> float:
    """What part of a customer's rate and burst one door's own bucket has."""
    return 1.0 / doors if kind == "split" else 1.0
