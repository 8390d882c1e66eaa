"""Small worlds of copies in every order of events: `python -m bench.copies_explore --most 3000000`.

One process a world.  Prints how many states there are, or that so many were not enough; a breach with its story, and
then exit 3.  Not part of the tests: the larger worlds take from minutes to an hour.
"""

from __future__ import annotations

import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor

import click

from martenstep.lab.explore import Budget, Explorer, InvariantError

NONE = {"heartbeats": 0, "commands": 0, "crashes": 0, "cuts": 0}
WORLDS = [
    Budget(**{**NONE, **told})
    for told in (
        {"timeouts": 1, "commands": 2},
        {"timeouts": 1, "commands": 2, "crashes": 1},
        {"timeouts": 1, "commands": 2, "lost": 1},
        {"timeouts": 1, "commands": 2, "cuts": 1},
        {"timeouts": 1, "commands": 2, "heartbeats": 1},
        {"timeouts": 2, "commands": 1},
        {"timeouts": 2, "crashes": 1},
        {"timeouts": 2, "reverted": 1},
        {"timeouts": 2, "cuts": 1},
        {"timeouts": 2, "commands": 1, "lost": 1},
        {"timeouts": 2, "commands": 1, "crashes": 1},
        {"timeouts": 2, "commands": 1, "reverted": 1},
        {"timeouts": 2, "commands": 1, "cuts": 1},
        {"timeouts": 2, "commands": 2},
        {"timeouts": 2, "commands": 2, "lost": 1, "cuts": 1},
    )
]


def explored(work: tuple[Budget, int]) -> tuple[Budget, bool, str, int, int, float]:
    """One world."""
    budget, most = work
    explorer, begin, breach, whole = Explorer(budget), time.perf_counter(), "", False
    try:
        whole = explorer.run(most)
    except InvariantError as error:
        breach = str(error)
    return budget, whole, breach, explorer.states, explorer.events, time.perf_counter() - begin


@click.command()
@click.option("--most", default=1_000_000, show_default=True, help="States of one world.")
@click.option("--workers", default=0, help="All cores otherwise.")
def main(most: int, workers: int) -> None:
    """Explore them all."""
    broken = 0
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        for budget, whole, breach, states, events, took in pool.map(explored, [(one, most) for one in WORLDS]):
            told = ", ".join(f"{getattr(budget, name)} {name}" for name in budget.__slots__ if getattr(budget, name))
            click.echo(
                f"{told}: {states} states, {events} events, {took:.0f} s, "
                + (breach or ("all" if whole else "not all"))
            )
            broken += bool(breach)
    sys.exit(3 if broken else 0)


if __name__ == "__main__":
    main()
