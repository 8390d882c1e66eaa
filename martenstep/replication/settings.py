"""The parts of the settings and of the membership that replication needs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClusterNode:
    """A machine of the fleet in the view of the membership."""

    name: str
    zone: str
    present: bool


@dataclass(frozen=True, slots=True)
class BootstrapMember:
    """A node that holds the groups at their bootstrap, and the id of the disk that it must have."""

    node: str
    disk_id: int


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Which groups there are, and how they are replicated."""

    groups: tuple[str, ...]
    bootstrap_members: tuple[BootstrapMember, ...]
    replication_factor: int = 3
    node_lost_after_ms: float = 600_000.0  # a node that is absent for this long counts as lost
