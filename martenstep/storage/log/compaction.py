"""Removing what snapshots have made needless."""

from __future__ import annotations

from itertools import pairwise

from martenstep.storage.files import Files
from martenstep.storage.log.segment import segments
from martenstep.storage.log.snapshot import snapshots

RETAINED_SNAPSHOTS = 2  # the older stands in where the newer is damaged


def compact(files: Files, keep_from: int) -> list[str]:
    """Remove needless segments and snapshots; gives their names.

    Segments go that lie before the first record to be kept and are whole in both of the newest snapshots, and all older
    snapshots.
    """
    found = snapshots(files)
    in_both = found[RETAINED_SNAPSHOTS - 1][1] if len(found) >= RETAINED_SNAPSHOTS else 0
    removed = [
        segment.name for segment, following in pairwise(segments(files)) if following.first <= min(in_both, keep_from)
    ]
    removed += [name for name, _ in found[RETAINED_SNAPSHOTS:]]
    for name in removed:
        files.remove(name)
    return removed
