"""An adaptive limit on one instance's attempts in flight at all endpoints together, driven by response latency.

The endpoints are assumed to bear a fixed number of attempts each from all instances together, and each instance starts
from an equal share of them.  Quick responses at the limit raise the limit; slow responses lower it.
"""

from __future__ import annotations

import random

from martenstep.policy.endpoint_set import INITIAL_LATENCY_SHARE

# All instances together may have this many attempts in flight per endpoint before responses show what it bears.
ATTEMPTS_PER_ENDPOINT = 6.0
# An instance begins with this many attempts above its fair share, because arrivals are uneven.  With hundreds of
# instances, these attempts alone fill all endpoints.
INITIAL_EXTRA_ATTEMPTS = 1.0
# A slow response lowers the limit by this many attempts.
DECREASE_PER_SLOW_RESPONSE = 0.5
# A response moves the EWMA of the latency of all endpoints together by this fraction of the difference.
LATENCY_EWMA_WEIGHT = 0.2
# Responses count as quick up to this mean latency, in parts of each class's latency objective.
MAX_QUICK_LATENCY_SHARE = 0.42
# The mean latency that counts as quick is reduced by this fraction where endpoints are chosen purely at random.
RANDOM_CHOICE_REDUCTION = 0.65
# This fraction of the limit stays open to unconfirmed requests while responses are slow.
HALF_OPEN_SHARE = 0.25
# After this many milliseconds without an attempt, one is admitted although responses were slow: without an attempt no
# recovery would be observed.
HALF_OPEN_IDLE_MS = 2000.0


class ConcurrencyLimit:
    """The limit of one instance.  In all methods, `endpoints` is the number of endpoints that are up."""

    def __init__(self, instances: int, rng: random.Random) -> None:
        """Begin with this instance's fair share and the initial extra attempts."""
        self._instances = instances
        self._rng = rng
        self._extra = INITIAL_EXTRA_ATTEMPTS  # the limit less the fair share; negative after slow responses
        self.latency_share = INITIAL_LATENCY_SHARE  # EWMA over responses, in parts of the class's latency objective
        self.in_flight = 0

    def _fair_share(self, endpoints: int) -> float:
        """Return this instance's share of the attempts that the endpoints are assumed to bear."""
        return ATTEMPTS_PER_ENDPOINT * endpoints / self._instances

    def responds_quickly(self, randomness: float) -> bool:
        """Return whether the responses that arrive are quick; then lost attempts have a cause other than load.

        `randomness` is how random the choice of endpoints is, from 0 to 1.  With a random choice the queues differ
        much, and the same mean latency hides overloaded endpoints, so a lower mean is required.  The cost: where all
        endpoints are slow but not overloaded, fewer attempts are admitted than they would bear.
        """
        return self.latency_share <= MAX_QUICK_LATENCY_SHARE * (1 - RANDOM_CHOICE_REDUCTION * randomness)

    def is_half_open(self, endpoints: int, idle_ms: float) -> bool:
        """Return whether so few attempts are in flight that one more is needed to observe a recovery.

        Idle time alone would not let the limit recover: one response in 2 s proves little, and `responds_quickly`
        requires a lower latency the fewer attempts there are.
        """
        has_capacity = (
            self._rng.random() < HALF_OPEN_SHARE * (self._fair_share(endpoints) + self._extra) - self.in_flight
        )
        return has_capacity or idle_ms > HALF_OPEN_IDLE_MS

    def is_reached(self, endpoints: int) -> bool:
        """Return whether the limit is reached; a remaining fraction of an attempt is decided at random."""
        return self._rng.random() >= self._fair_share(endpoints) + self._extra - self.in_flight

    def record_response(self, endpoints: int, rtt_ms: float, objective_ms: float, randomness: float) -> None:
        """Adapt the limit to a successful response, by its time against its class's latency objective."""
        self._update_latency(rtt_ms, objective_ms)
        fair_share = self._fair_share(endpoints)
        limit = fair_share + self._extra
        if not self.responds_quickly(randomness):
            self._extra = max(self._extra - DECREASE_PER_SLOW_RESPONSE, -fair_share / 2)
        elif self.in_flight + 1 >= limit:  # the endpoints are known to bear the limit only while it is reached
            self._extra += 1 / max(limit, 1.0)

    def record_timeout(self, endpoints: int, rtt_ms: float, objective_ms: float, randomness: float) -> None:
        """Halve the limit after an attempt without a response; this is a sign of load only where responses are slow."""
        if not self.responds_quickly(randomness):
            self._update_latency(rtt_ms, objective_ms)
            fair_share = self._fair_share(endpoints)
            self._extra = max((self._extra - fair_share) / 2, -fair_share / 2)

    def _update_latency(self, rtt_ms: float, objective_ms: float) -> None:
        self.latency_share += LATENCY_EWMA_WEIGHT * (min(rtt_ms / objective_ms, 1.0) - self.latency_share)
