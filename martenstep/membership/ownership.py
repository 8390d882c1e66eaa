"""Which members own a key: one pure function over a membership view, the same at every node that has the same view.

Rendezvous hashing (Thaler and Ravishankar 1998): each member draws a score for each key, and the greatest own it, so
that a member's loss moves only what it owned.  Spread over zones: first the best of each zone, then the second best of
each, and so on.  Removing a member shifts only the ranks of its own zone by one, so that of a key's owners at most one
changes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import xxhash


def select_owners(key: str, members: Iterable[tuple[str, str]], count: int) -> list[str]:
    """The names of the `count` members (name, zone) that own a key, the first one first; fewer where there are fewer.

    Names must differ.  The order in which members are given does not matter.
    """
    scored = sorted(
        ((xxhash.xxh3_128_intdigest(f"{key}\0{name}".encode()), name, zone) for name, zone in members), reverse=True
    )
    next_rank: defaultdict[str, int] = defaultdict(int)  # by zone
    ranked = []
    for order, (_, name, zone) in enumerate(scored):
        ranked.append((next_rank[zone], order, name))
        next_rank[zone] += 1
    return [name for _, _, name in sorted(ranked)[:count]]
