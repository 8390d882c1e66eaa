"""What a leader knows of another replica's log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Of one follower or learner, in the leader's term."""

    next_index: int  # of the entry that is sent next
    match_index: int = 0  # all up to here is durable there
    acked_round: int = 0  # the latest heartbeat round that was answered
    snapshot_offset: int | None = None  # of the next chunk, while a snapshot is sent
    snapshot_index: int = 0  # of that snapshot
