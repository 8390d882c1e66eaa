"""The members that own a key: a pure function of the member list, so that nodes with the same list agree.

Rendezvous hashing (Thaler and Ravishankar 1998): each member has a hash score for each key, and the members with the
highest scores own it, so that the loss of a member moves only the keys that it owned.  Owners are spread over zones:
first the best member of each zone, then the second best of each, and so on.  Removing a member changes only the ranks
within its zone, each by one, so that at most one owner of a key changes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import xxhash


def select_owners(key: str, members: Iterable[tuple[str, str]], count: int) -> list[str]:
    """Return the names of the `count` members that own a key, first owner first; all if there are fewer members.

    A member is a pair of name and zone.  Names must be unique; the order of `members` does not matter.
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
