"""Settings of one member's part in the protocol, and the stages of its membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from martenstep.membership.member import Address

MIN_DISSEMINATION_MS = 1500.0  # a refutation reaches all members within this


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times are in milliseconds."""

    cluster: str
    seeds: tuple[Address, ...] = ()
    probe_interval_ms: float = 500.0
    ack_timeout_ms: float = 150.0  # of a direct probe, before helpers are asked
    gossip_interval_ms: float = 200.0
    min_suspicion_ms: float = 4000.0
    forget_after_ms: float = 3_600_000.0  # a dead or left member is dropped from the table after this

    @property
    def tolerated_pause_ms(self) -> float:
        """No member is declared dead for a pause that is shorter."""
        return self.min_suspicion_ms - MIN_DISSEMINATION_MS


class Stage(Enum):
    """The stage of this node's own membership; the values are those of the admin API."""

    JOINING = "alone"  # nobody was reached yet
    CLAIMING_NAME = "claiming"  # another node owns the name, and is being probed
    NAME_CONFLICT = "refused"  # another node owns the name; joining is retried later
    JOINED = "joined"
    LEAVING = "leaving"
    LEFT = "gone"
