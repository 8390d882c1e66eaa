"""Removal of segments and snapshots that newer snapshots replace."""

from __future__ import annotations

from itertools import pairwise

from martenstep.storage.files import Files
from martenstep.storage.log.segment import segments
from martenstep.storage.log.snapshot import snapshots

RETAINED_SNAPSHOTS = 2  # the older one is used if the newer one is damaged


def compact(files: Files, keep_from: int) -> list[str]:
    """Remove segments and snapshots that are no longer needed; returns their names.

    A segment is removed if all its records are below `keep_from` and included in both of the two newest snapshots.  All
    older snapshots are removed.
    """
    found = snapshots(files)
    covered = found[RETAINED_SNAPSHOTS - 1][1] if len(found) >= RETAINED_SNAPSHOTS else 0
    removed = [
        segment.name for segment, following in pairwise(segments(files)) if following.first <= min(covered, keep_from)
    ]
    removed += [name for name, _ in found[RETAINED_SNAPSHOTS:]]
    for name in removed:
        files.remove(name)
    return removed
