"""Which counter calls are worth making: so few that all instances together stay below what the counter takes."""

from __future__ import annotations

import math
import random

from martenstep.policy.customer_state import CustomerState
from martenstep.policy.messages import CallResult, CounterReply, Settings

PROBABILITY_EWMA_WEIGHT = 0.12  # the probability of a call moves by about this part with each reply
QUEUED_REPLY_SHARE = 0.25  # of the time-out: a reply that comes so much later than usual is a sign of a queue
MIN_PROBABILITY = 0.05  # while no call is answered, so that a recovery is noticed
MAX_PROBABILITY = 8.0  # above 1, so that requests of less than usual value are asked for too without a queue
VALUE_EWMA_WEIGHT = 0.05
MAX_CALL_WEIGHT = 4.0  # requests that one asked for stands for at most: more would fill a burst by chance alone
MIN_OVER_QUOTA_COST = 0.1  # of its value a send over quota costs at least: it takes capacity even where it is free
MAX_CERTAINTY = 0.85  # a conforming share is taken to lie between this and 1 less this: else nobody asks again
USUAL_LATENCY_WEIGHT_DOWN = 0.1  # a reply that came sooner than usual pulls the usual latency down by this, ...
USUAL_LATENCY_WEIGHT_UP = 0.02  # ... a later one lifts it by this: it settles where calls meet no queue


class CounterCallAdmission:
    """The probability of a counter call, from how soon the counter replies and what a reply is worth."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Begin with a call for each request where there is a counter."""
        self._rng = rng
        self._has_counter = settings.has_counter
        self._timeout_ms = settings.counter_timeout_ms
        self.probability = 1.0 if settings.has_counter else 0.0  # where a reply has the usual value
        self._usual_value = 0.0  # EWMA of what a reply is worth
        self._usual_latency_ms = QUEUED_REPLY_SHARE * settings.counter_timeout_ms  # of a call that meets no queue

    def record_reply(self, reply: CounterReply) -> None:
        """Learn from a reply, or from a call that failed: the later it came, the fewer calls are made."""
        late_share = 1.0
        if reply.result is CallResult.OK:
            late_ms = reply.rtt_ms - self._usual_latency_ms
            weight = USUAL_LATENCY_WEIGHT_DOWN if late_ms < 0 else USUAL_LATENCY_WEIGHT_UP
            self._usual_latency_ms += weight * late_ms
            late_share = max(late_ms, 0.0) / max(self._timeout_ms, 1.0)
        step = PROBABILITY_EWMA_WEIGHT * (1 - late_share / QUEUED_REPLY_SHARE)
        self.probability = min(max(self.probability * math.exp(step), MIN_PROBABILITY), MAX_PROBABILITY)

    def call_weight(self, now: float, customer: CustomerState, units: float) -> float:
        """How many requests the one that asks stands for; 0 for no call.

        The odds follow what the reply is worth: a correct send where the request would otherwise be rejected, or a
        wrong one avoided.  They fall while the counter is overloaded, slow or down; the cost is needless caution where
        its replies are slow for another reason.
        """
        sends_unconfirmed = customer.unconfirmed_pays() and customer.headroom_holds(now, units)
        conforming = min(max(customer.conforming_share, 1 - MAX_CERTAINTY), MAX_CERTAINTY)
        if sends_unconfirmed:
            benefit = (1 - conforming) * max(customer.plan.over_quota_cost, MIN_OVER_QUOTA_COST)
        else:
            benefit = conforming
        value = units * customer.plan.priority_weight * benefit
        self._usual_value += VALUE_EWMA_WEIGHT * (value - self._usual_value)
        odds = self.probability
        if self._usual_value:
            odds = max(self.probability * value / self._usual_value, MIN_PROBABILITY)
        if not self._has_counter or self._rng.random() >= odds:
            return 0.0
        # A request that is asked for stands for those that are not and are sent all the same: without their weight
        # the totals are too low, and all conform.
        return min(1 / min(odds, 1.0), MAX_CALL_WEIGHT) if sends_unconfirmed else 1.0

    def unconfirmed_share_is_raised(self) -> bool:
        """Whether an unconfirmed send may use more than the own share: by chance, while the counter replies."""
        return self._rng.random() < self.probability - MIN_PROBABILITY

    def has_spare_capacity(self) -> bool:
        """Whether the counter has capacity for a call that no request waits for.

        Such a call takes back units that were reported and not sent; else they go with the customer's next call.
        By chance, with odds by how far the counter is from a queue.  The cost: the total of a customer without another
        request in the period stays too high.
        """
        return self._rng.random() < self.probability / MAX_PROBABILITY
