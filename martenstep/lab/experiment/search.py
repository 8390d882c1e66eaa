"""Searches for faults under which a scenario's figure is worst or a rule is violated, and shrinks the scenario found.

Random search generates scenarios from a base: faults of the given kinds at random times, with random durations and
targets.  The worst half of those kept is mutated.  The scenario found is shrunk as long as it stays nearly as bad, by
fewer or shorter faults, fewer targets and less traffic.  It can be saved and run again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import length_ms

FAULT_KINDS = (
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
GATEWAY_FAULTS = (pb.DOOR_KILLED, pb.DOOR_ROLLED, pb.DOOR_CUT_FROM_FEED)
INSTANT_FAULTS = (pb.STORE_EMPTIED, pb.STORE_FAILOVER)  # faults without a duration
MAX_FAULTS = 6
SHRINK_THRESHOLD = 0.9  # a smaller scenario must keep this part of the badness
POPULATION_SIZE = 8  # scenarios kept for mutation
Badness = Callable[[pb.Day], float]  # higher is worse; infinite if a rule is violated
Progress = Callable[[int, float], None]  # scenarios tried and the worst badness so far


@dataclass(slots=True)
class Found:
    """The scenario found, its badness, and the number of scenarios tried."""

    scenario: pb.Day
    badness: float
    tried: int


def random_fault(rng: random.Random, scenario: pb.Day, kinds: tuple[int, ...]) -> pb.Event:
    """A random fault of one of these kinds at a random time."""
    length = length_ms(scenario)
    event = pb.Event(at_ms=round(rng.uniform(0.05, 0.8) * length, -2), trouble=rng.choice(kinds))  # type: ignore[arg-type]
    if event.trouble not in INSTANT_FAULTS:
        event.for_ms = max(round(rng.uniform(0.03, 0.3) * length, -2), 100.0)
    if event.trouble in GATEWAY_FAULTS:
        event.count = rng.randint(1, max(scenario.fleet.doors // 2, 1))
    elif pb.Trouble.Name(event.trouble).startswith("SERVER") or event.trouble == pb.ANSWERS_LOST:
        event.count = rng.randint(1, max(scenario.fleet.servers // 3, 1))
        event.factor, event.share = round(rng.uniform(2, 10), 1), round(rng.uniform(0.1, 1.0), 2)
    elif event.trouble == pb.STORE_SLOW:
        event.factor = round(rng.uniform(5, 60), 0)
    elif event.trouble == pb.FEED_PARTIAL:
        event.share = round(rng.uniform(0.1, 0.6), 2)
    return event


def _random_scenario(rng: random.Random, base: pb.Day, kinds: tuple[int, ...]) -> pb.Day:
    scenario = pb.Day()
    scenario.CopyFrom(base)
    del scenario.event[:]
    for _ in range(rng.randint(1, MAX_FAULTS)):
        scenario.event.append(random_fault(rng, base, kinds))
    return scenario


def _mutate(rng: random.Random, scenario: pb.Day, kinds: tuple[int, ...]) -> pb.Day:
    """A copy of the scenario with one fault added, removed or replaced."""
    mutant = pb.Day()
    mutant.CopyFrom(scenario)
    if len(mutant.event) > 1 and rng.random() < 0.3:
        del mutant.event[rng.randrange(len(mutant.event))]
    elif len(mutant.event) < MAX_FAULTS and rng.random() < 0.5:
        mutant.event.append(random_fault(rng, scenario, kinds))
    else:
        mutant.event[rng.randrange(len(mutant.event))].CopyFrom(random_fault(rng, scenario, kinds))
    return mutant


def search(
    base: pb.Day,
    badness: Badness,
    runs: int,
    seed: int,
    kinds: tuple[int, ...] = FAULT_KINDS,
    progress: Progress = lambda tried, worst: None,
) -> Found:
    """The worst of `runs` generated scenarios; stops at the first violation of a rule."""
    rng = random.Random(seed)
    population: list[tuple[float, int, pb.Day]] = []
    for number in range(runs):
        fresh = len(population) < POPULATION_SIZE or rng.random() < 0.4
        scenario = (
            _random_scenario(rng, base, kinds)
            if fresh
            else _mutate(rng, rng.choice(population[: POPULATION_SIZE // 2])[2], kinds)
        )
        population.append((badness(scenario), -number, scenario))
        population.sort(key=lambda entry: entry[:2], reverse=True)
        del population[POPULATION_SIZE:]
        progress(number + 1, population[0][0])
        if population[0][0] == float("inf"):
            return Found(population[0][2], population[0][0], number + 1)
    return Found(population[0][2], population[0][0], runs)


def _smaller_scenarios(scenario: pb.Day) -> list[pb.Day]:
    """Scenarios that are one step smaller; for each fault, the largest reduction comes first."""
    candidates = []

    def copy() -> pb.Day:
        other = pb.Day()
        other.CopyFrom(scenario)
        candidates.append(other)
        return other

    for number, event in enumerate(scenario.event):
        if len(scenario.event) > 1:
            del copy().event[number]
        if event.for_ms >= 400:
            copy().event[number].for_ms = round(event.for_ms / 2, -2)
        if event.HasField("count") and event.count > 1:
            copy().event[number].count = event.count // 2
    for number, phase in enumerate(scenario.phase):
        if phase.rate > 4:
            copy().phase[number].rate = round(phase.rate * 0.7, 1)
    return candidates


def shrink(found: Found, badness: Badness, runs: int) -> Found:
    """Shrink a scenario step by step while it stays nearly as bad."""
    best, tried = found, 0
    improved = True
    while improved and tried < runs:
        improved = False
        for scenario in _smaller_scenarios(best.scenario):
            tried += 1
            value = badness(scenario)
            if value >= SHRINK_THRESHOLD * found.badness:
                best, improved = Found(scenario, value, best.tried + 1), True
                break
            if tried >= runs:
                break
    return Found(best.scenario, best.badness, found.tried + tried)
