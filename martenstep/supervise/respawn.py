"""When a worker that died is started again, and when the whole is given up.

No I/O, no clock.

Waits double from death to death, drawn by chance, and begin anew once a worker has served for a while.  A worker that
dies again and again is told of loudly and tried at long intervals: the others serve on.  Only where none serves and
every one has died so often without having served is the whole given up, since whoever started the supervisor can do
more then than it can (RESTART_AND_WAIT).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from martenstep.backoff import Backoff

LEAST_MS, MOST_MS = 100.0, 5_000.0
STEADY_MS = 10_000.0  # a worker that has served so long is well again
FLAPS = 8  # deaths in a row: told, and tried at long intervals
FLAP_MS = 30_000.0
AT_START = 3  # deaths in a row without having served, of each worker: the whole is given up


@dataclass(frozen=True, slots=True)
class Again:
    """Start the worker again at a moment; `flaps` is set where it keeps dying."""

    at: float
    flaps: bool = False


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Start nothing more."""

    reason: str


@dataclass(slots=True)
class _Slot:
    backoff: Backoff
    ready_at: float | None = None  # of the worker that runs, once it serves
    deaths: int = 0  # in a row, of those that did not serve for long
    unready: int = 0  # in a row, of those that never served
    last: str = field(default="")


class Respawn:
    """The workers of one supervisor, by number."""

    def __init__(self, workers: int, rng: random.Random) -> None:
        self._slots = [_Slot(Backoff(LEAST_MS, MOST_MS, rng)) for _ in range(workers)]

    def ready(self, now: float, worker: int) -> None:
        """A worker serves."""
        slot = self._slots[worker]
        slot.ready_at, slot.unready = now, 0

    def died(self, now: float, worker: int, how: str) -> Again | GiveUp:
        """A worker ended that was not told to."""
        slot = self._slots[worker]
        served, slot.ready_at = slot.ready_at, None
        slot.last = how
        if served is None:
            slot.unready += 1
        elif now - served >= STEADY_MS:
            slot.backoff.succeeded()
            slot.deaths = 0
        slot.deaths += 1
        if all(one.ready_at is None and one.unready >= AT_START for one in self._slots):
            return GiveUp(f"each worker died {AT_START} times without having served, the last one by {how}")
        if slot.deaths >= FLAPS:
            return Again(now + FLAP_MS, True)
        return Again(now + slot.backoff.failed())
