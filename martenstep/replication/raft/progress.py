"""Replication progress that a leader keeps for each other replica."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Progress of one follower or learner in the leader's current term."""

    next_index: int  # index of the next entry to send
    match_index: int = 0  # all entries up to here are durable on that replica
    acked_round: int = 0  # the latest heartbeat round that the replica answered
    snapshot_offset: int | None = None  # offset of the next chunk while a snapshot is sent; otherwise None
    snapshot_index: int = 0  # last index that the snapshot being sent includes
