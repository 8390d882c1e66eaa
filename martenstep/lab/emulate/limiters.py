"""Alternative limiters that the engine's own quotas are compared with.

Each admits or rejects a request before the engine, which then only selects a server.  They do no I/O: the store of the
central limiter is a model with the network's latency and the scenario's faults.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

Answer = Callable[[float | None], None]  # None if admitted, else the wait in ms


@dataclass(slots=True)
class Bucket:
    """A GCRA limiter: its emission interval and its tolerance are in milliseconds."""

    emission_interval: float
    tolerance: float
    tat: float = 0.0

    def take(self, now: float, units: float) -> float:
        """Take the units and return 0, or take nothing and return the wait in milliseconds until they are available."""
        wait = max(self.tat, now) - now + units * self.emission_interval - self.tolerance
        if wait > 1e-9:
            return wait
        self.tat = max(self.tat, now) + units * self.emission_interval
        return 0.0


class CustomerBuckets:
    """One bucket for each customer."""

    def __init__(self) -> None:
        self._buckets: dict[str, Bucket] = {}

    def take(self, now: float, customer: str, rate: float, burst: float, units: float) -> float:
        """As `Bucket.take`, from the customer's bucket; `rate` is in units per second."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = self._buckets[customer] = Bucket(1000.0 / rate, burst * 1000.0 / rate)
        return bucket.take(now, units)

    def clear(self) -> None:
        """Discard all buckets, so that every customer starts with a full burst."""
        self._buckets.clear()


def bucket_share(limiter: str, gateways: int) -> float:
    """The part of a customer's rate and burst that the bucket of one gateway has."""
    return 1.0 / gateways if limiter == "split" else 1.0
