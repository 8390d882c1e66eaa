"""Groups of copies over many seeds in virtual time: `python -m bench.copies --seeds 10000 --copies 3`.

Prints each seed that breaks a rule, and what was brought about.  Exit 3 where one broke.  Not part of the tests.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import click

from martenstep.lab.fleet.groups import FaultPlan, GroupSimulation, InvariantError


def one(work: tuple[int, int, int]) -> tuple[int, str, Counter[str]]:
    """One play: its seed, what broke, and its counts."""
    seed, copies, faults = work
    group = GroupSimulation(FaultPlan(replicas=copies, lost_disks=copies // 2, faults=faults), seed)
    try:
        return seed, "", group.run()
    except (InvariantError, AssertionError) as error:
        return seed, str(error), group.counts


@click.command()
@click.option("--seeds", default=10_000, show_default=True)
@click.option("--first", default=0, show_default=True)
@click.option("--copies", type=click.Choice(["3", "5"]), default="3", show_default=True)
@click.option("--faults", default=20, show_default=True, help="Drawn over 12 s.")
@click.option("--workers", default=0, help="All cores otherwise.")
def main(seeds: int, first: int, copies: str, faults: int, workers: int) -> None:
    """Play them all."""
    begin, broken, counts = time.perf_counter(), 0, Counter[str]()
    works = [(seed, int(copies), faults) for seed in range(first, first + seeds)]
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        for seed, breach, found in pool.map(one, works, chunksize=8):
            counts.update(found)
            if breach:
                broken += 1
                click.echo(f"seed {seed}: {breach[:300]}")
    click.echo(f"{seeds} plays of {copies} copies in {time.perf_counter() - begin:.0f} s, {broken} broken")
    click.echo(", ".join(f"{name.strip('_')} {count}" for name, count in sorted(counts.items())))
    sys.exit(3 if broken else 0)


if __name__ == "__main__":
    main()
