"""Settings of the membership protocol at one node, and the stages of the node's own membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from martenstep.membership.member import Address

MIN_DISSEMINATION_MS = 1500.0  # a refutation reaches all members within this time


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the protocol; times are in milliseconds."""

    cluster: str
    seeds: tuple[Address, ...] = ()
    probe_interval_ms: float = 500.0
    ack_timeout_ms: float = 150.0  # after which a direct probe is followed by indirect ones
    gossip_interval_ms: float = 200.0
    min_suspicion_ms: float = 4000.0
    forget_after_ms: float = 3_600_000.0  # after which a dead or left member is removed from the table

    @property
    def tolerated_pause_ms(self) -> float:
        """Return the pause below which a paused member is not declared dead."""
        return self.min_suspicion_ms - MIN_DISSEMINATION_MS


class Stage(Enum):
    """The stage of this node's own membership; the values are those of the admin API."""

    JOINING = "alone"  # no other member has been reached yet
    CLAIMING_NAME = "claiming"  # another node owns the name, and is being probed
    NAME_CONFLICT = "refused"  # another node owns the name; joining is retried later
    JOINED = "joined"
    LEAVING = "leaving"
    LEFT = "gone"
