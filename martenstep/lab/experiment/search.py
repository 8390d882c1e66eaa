"""Looks for the day on which a figure is worst, or a rule breaks, in a space of troubles; shrinks it; it replays.

Draws days around a base: so many troubles of the given kinds, at drawn moments, lengths and targets.  The best half is
drawn from again.  What is found is made smaller as long as it stays nearly as bad: fewer troubles, shorter ones, fewer
targets, less traffic.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import length_ms

KINDS = (
    pb.DOOR_KILLED,
    pb.DOOR_ROLLED,
    pb.DOOR_CUT_FROM_FEED,
    pb.SERVER_SILENT,
    pb.SERVER_SLOW,
    pb.SERVER_ERRORS,
    pb.SERVER_RESETS,
    pb.SERVER_DRAINED,
    pb.SERVER_KILLED,
    pb.SERVER_RESTARTED,
    pb.ANSWERS_LOST,
    pb.STORE_PAUSED,
    pb.STORE_EMPTIED,
    pb.STORE_SLOW,
    pb.STORE_DOWN,
    pb.STORE_FULL,
    pb.FEED_STALE,
    pb.FEED_PARTIAL,
    pb.FEED_DOWN,
)
OF_DOORS = (pb.DOOR_KILLED, pb.DOOR_ROLLED, pb.DOOR_CUT_FROM_FEED)
AT_ONCE = (pb.STORE_EMPTIED, pb.STORE_FAILOVER)  # without a length
MOST_TROUBLES = 6
KEEPS = 0.9  # of how bad it was, a smaller day must still be
GENERATION = 8
Badness = Callable[[pb.Day], float]  # the higher the worse; a broken rule is infinite
Told = Callable[[int, float], None]


@dataclass(slots=True)
class Found:
    """A day, and how bad it is."""

    day: pb.Day
    badness: float
    tried: int


def event_of(rng: random.Random, day: pb.Day, kinds: tuple[int, ...]) -> pb.Event:
    """A trouble of one of these kinds, at a drawn moment."""
    length = length_ms(day)
    event = pb.Event(at_ms=round(rng.uniform(0.05, 0.8) * length, -2), trouble=rng.choice(kinds))  # type: ignore[arg-type]
    if event.trouble not in AT_ONCE:
        event.for_ms = max(round(rng.uniform(0.03, 0.3) * length, -2), 100.0)
    if event.trouble in OF_DOORS:
        event.count = rng.randint(1, max(day.fleet.doors // 2, 1))
    elif pb.Trouble.Name(event.trouble).startswith("SERVER") or event.trouble == pb.ANSWERS_LOST:
        event.count = rng.randint(1, max(day.fleet.servers // 3, 1))
        event.factor, event.share = round(rng.uniform(2, 10), 1), round(rng.uniform(0.1, 1.0), 2)
    elif event.trouble == pb.STORE_SLOW:
        event.factor = round(rng.uniform(5, 60), 0)
    elif event.trouble == pb.FEED_PARTIAL:
        event.share = round(rng.uniform(0.1, 0.6), 2)
    return event


def _drawn(rng: random.Random, base: pb.Day, kinds: tuple[int, ...]) -> pb.Day:
    day = pb.Day()
    day.CopyFrom(base)
    del day.event[:]
    for _ in range(rng.randint(1, MOST_TROUBLES)):
        day.event.append(event_of(rng, base, kinds))
    return day


def _mutant(rng: random.Random, day: pb.Day, kinds: tuple[int, ...]) -> pb.Day:
    """One trouble more, less, or another."""
    made = pb.Day()
    made.CopyFrom(day)
    if len(made.event) > 1 and rng.random() < 0.3:
        del made.event[rng.randrange(len(made.event))]
    elif len(made.event) < MOST_TROUBLES and rng.random() < 0.5:
        made.event.append(event_of(rng, day, kinds))
    else:
        made.event[rng.randrange(len(made.event))].CopyFrom(event_of(rng, day, kinds))
    return made


def search(
    base: pb.Day,
    badness: Badness,
    runs: int,
    seed: int,
    kinds: tuple[int, ...] = KINDS,
    told: Told = lambda tried, worst: None,
) -> Found:
    """The worst day of so many drawn ones."""
    rng = random.Random(seed)
    held: list[tuple[float, int, pb.Day]] = []
    for number in range(runs):
        fresh = len(held) < GENERATION or rng.random() < 0.4
        day = _drawn(rng, base, kinds) if fresh else _mutant(rng, rng.choice(held[: GENERATION // 2])[2], kinds)
        held.append((badness(day), -number, day))
        held.sort(key=lambda one: one[:2], reverse=True)
        del held[GENERATION:]
        told(number + 1, held[0][0])
        if held[0][0] == float("inf"):
            return Found(held[0][2], held[0][0], number + 1)
    return Found(held[0][2], held[0][0], runs)


def _smaller(day: pb.Day) -> list[pb.Day]:
    """Days a step smaller, the boldest first."""
    made = []

    def copy() -> pb.Day:
        other = pb.Day()
        other.CopyFrom(day)
        made.append(other)
        return other

    for number, event in enumerate(day.event):
        if len(day.event) > 1:
            del copy().event[number]
        if event.for_ms >= 400:
            copy().event[number].for_ms = round(event.for_ms / 2, -2)
        if event.HasField("count") and event.count > 1:
            copy().event[number].count = event.count // 2
    for number, phase in enumerate(day.phase):
        if phase.rate > 4:
            copy().phase[number].rate = round(phase.rate * 0.7, 1)
    return made


def shrink(found: Found, badness: Badness, runs: int) -> Found:
    """The smallest day, step by step, that stays nearly as bad."""
    best, tried = found, 0
    again = True
    while again and tried < runs:
        again = False
        for day in _smaller(best.day):
            tried += 1
            value = badness(day)
            if value >= KEEPS * found.badness:
                best, again = Found(day, value, best.tried + 1), True
                break
            if tried >= runs:
                break
    return Found(best.day, best.badness, found.tried + tried)
