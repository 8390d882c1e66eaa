"""An adaptive limit on the attempts in flight at all endpoints together, by the latency of their responses.

The endpoints are taken to bear a fixed number of attempts each from all instances, of which each instance has its
part; quick responses at the limit raise it, slow ones lower it.
"""

from __future__ import annotations

import random

from martenstep.policy.endpoint_set import INITIAL_LATENCY_SHARE

ATTEMPTS_PER_ENDPOINT = 6.0  # of all instances together, before responses tell what an endpoint bears
INITIAL_EXTRA = 1.0  # of an instance above its part: arrivals are uneven; hundreds of instances fill all endpoints
DECREASE_PER_SLOW_RESPONSE = 0.5
LATENCY_EWMA_WEIGHT = 0.2  # of one response in the latency of all endpoints together
MAX_QUICK_LATENCY_SHARE = 0.42  # of each class's latency objective, up to which responses count as quick
RANDOM_CHOICE_REDUCTION = 0.65  # of it, where endpoints are chosen by chance alone
HALF_OPEN_SHARE = 0.25  # of the limit, that is left to unconfirmed requests while responses are slow
HALF_OPEN_IDLE_MS = 2000.0  # without an attempt, one is admitted though responses were slow: else no recovery is seen


class ConcurrencyLimit:
    """The limit of one instance.  `endpoints` is how many are up, in all methods."""

    def __init__(self, instances: int, rng: random.Random) -> None:
        """Begin with this instance's part, and a little more."""
        self._instances = instances
        self._rng = rng
        self._extra = INITIAL_EXTRA  # how many more than its part this instance may have in flight
        self.latency_share = INITIAL_LATENCY_SHARE  # EWMA over responses, in parts of the class's latency objective
        self.in_flight = 0

    def _part(self, endpoints: int) -> float:
        """This instance's part of what the endpoints bear of all instances' attempts."""
        return ATTEMPTS_PER_ENDPOINT * endpoints / self._instances

    def responds_quickly(self, randomness: float) -> bool:
        """Whether what responds at all does so quickly: what is lost then is lost for another reason.

        `randomness` is how far endpoints are chosen by chance, 0 to 1.  Queues differ much then, and the same mean
        hides endpoints that are overloaded, so it must be lower.  The cost: where all endpoints are slow but not
        overloaded, fewer attempts are admitted than they would bear.
        """
        return self.latency_share <= MAX_QUICK_LATENCY_SHARE * (1 - RANDOM_CHOICE_REDUCTION * randomness)

    def is_half_open(self, endpoints: int, idle_ms: float) -> bool:
        """Whether so little is in flight that nothing can be learnt without one more attempt.

        Idle time alone would not let the limit recover: one response in 2 s proves little, and `responds_quickly` asks
        for a lower latency the fewer attempts there are.
        """
        few = self._rng.random() < HALF_OPEN_SHARE * (self._part(endpoints) + self._extra) - self.in_flight
        return few or idle_ms > HALF_OPEN_IDLE_MS

    def is_reached(self, endpoints: int) -> bool:
        """Whether as much is in flight as may be; by chance where a part of one attempt is left."""
        return self._rng.random() >= self._part(endpoints) + self._extra - self.in_flight

    def record_response(self, endpoints: int, rtt_ms: float, objective_ms: float, randomness: float) -> None:
        """Learn from the time of a successful response, against its class's latency objective."""
        self._update_latency(rtt_ms, objective_ms)
        part = self._part(endpoints)
        limit = part + self._extra
        if not self.responds_quickly(randomness):
            self._extra = max(self._extra - DECREASE_PER_SLOW_RESPONSE, -part / 2)
        elif self.in_flight + 1 >= limit:  # only a limit that was reached is known to be borne
            self._extra += 1 / max(limit, 1.0)

    def record_timeout(self, endpoints: int, rtt_ms: float, objective_ms: float, randomness: float) -> None:
        """Learn from an attempt without a response; it is a sign of load only where the others respond slowly."""
        if not self.responds_quickly(randomness):
            self._update_latency(rtt_ms, objective_ms)
            part = self._part(endpoints)
            self._extra = max((self._extra - part) / 2, -part / 2)

    def _update_latency(self, rtt_ms: float, objective_ms: float) -> None:
        self.latency_share += LATENCY_EWMA_WEIGHT * (min(rtt_ms / objective_ms, 1.0) - self.latency_share)
