"""Which requests the counter is called for: a sample, so that all instances together stay within its capacity.

Calls for all requests of a large fleet would overload the counter.  So a call is made for a sample of them, at a
sampling rate that falls as the counter's replies get later.  A sampled request waits for the reply and is decided by
the total.  A request that is not sampled is decided unconfirmed, and where it is sent, no call reports its units.  The
sampled request stands for those too: its call adds its units times a sampling weight, which is the reciprocal of the
probability with which it was sampled, up to a bound.
"""

from __future__ import annotations

import math
import random

from martenstep.policy.customer_state import CustomerState
from martenstep.policy.messages import CallResult, CounterReply, Settings

SAMPLING_RATE_STEP = 0.12  # of the rate's logarithm, up for a reply without delay; a failed call takes 3 steps down
QUEUEING_DELAY_SHARE = 0.25  # of the counter timeout: a reply later than usual by more indicates a queue at the counter
MIN_SAMPLING_RATE = 0.05  # kept even while no call is answered, so that the counter's recovery is detected
MAX_SAMPLING_RATE = 8.0  # above 1, so that without a queue requests whose reply is worth less are sampled too
MEAN_VALUE_EWMA_WEIGHT = 0.05  # of one request in the mean value of a reply
MAX_SAMPLING_WEIGHT = 4.0  # requests that one may stand for; with more, chance alone could exhaust a burst
# The least cost of a send over quota, in values of one request: it takes capacity even where the plan's cost is 0.
MIN_OVER_QUOTA_COST = 0.1
# The conforming fraction is limited to this and 1 less this: at 0 or 1 the calls that could correct it would stop.
MAX_CONFORMING_FRACTION = 0.85
# EWMA weights of a reply in the baseline latency.  An early reply lowers it faster than a late one raises it, so it
# settles at the latency of calls that meet no queue.
BASELINE_WEIGHT_DOWN = 0.1
BASELINE_WEIGHT_UP = 0.02


class CounterCallSampler:
    """Samples the requests for counter calls, by how soon the counter replies and what a reply is worth."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Start with a call for each request if there is a counter."""
        self._rng = rng
        self._has_counter = settings.has_counter
        self._timeout_ms = settings.counter_timeout_ms
        # The probability of a call for a request whose reply has the mean value.  Above 1 that call is certain, and a
        # call for a request whose reply is worth less gets more probable.
        self.sampling_rate = 1.0 if settings.has_counter else 0.0
        self._mean_value = 0.0  # EWMA of what a reply is worth
        self._baseline_latency_ms = QUEUEING_DELAY_SHARE * settings.counter_timeout_ms  # of a call that meets no queue

    def record_reply(self, reply: CounterReply) -> None:
        """Adjust the sampling rate to a reply or a failed call: the later it came, the fewer calls are made."""
        delay_share = 1.0
        if reply.result is CallResult.OK:
            delay_ms = reply.rtt_ms - self._baseline_latency_ms
            weight = BASELINE_WEIGHT_DOWN if delay_ms < 0 else BASELINE_WEIGHT_UP
            self._baseline_latency_ms += weight * delay_ms
            delay_share = max(delay_ms, 0.0) / max(self._timeout_ms, 1.0)
        step = SAMPLING_RATE_STEP * (1 - delay_share / QUEUEING_DELAY_SHARE)
        self.sampling_rate = min(max(self.sampling_rate * math.exp(step), MIN_SAMPLING_RATE), MAX_SAMPLING_RATE)

    def sampling_weight(self, now: float, customer: CustomerState, units: float) -> float:
        """How many requests a counter call for this one stands for; 0 if no call is made for it.

        The probability of a call follows the value of the reply: a correct send where the request would otherwise be
        rejected, or a wrong send avoided.  It falls while the counter is overloaded, slow or down.  The cost: calls are
        needlessly avoided where its replies are slow for another reason.
        """
        sends_unconfirmed = customer.unconfirmed_send_is_worthwhile() and customer.has_headroom(now, units)
        conforming = min(max(customer.conforming_fraction, 1 - MAX_CONFORMING_FRACTION), MAX_CONFORMING_FRACTION)
        if sends_unconfirmed:
            benefit = (1 - conforming) * max(customer.plan.over_quota_cost, MIN_OVER_QUOTA_COST)
        else:
            benefit = conforming
        value = units * customer.plan.priority_weight * benefit
        self._mean_value += MEAN_VALUE_EWMA_WEIGHT * (value - self._mean_value)
        probability = self.sampling_rate
        if self._mean_value:
            probability = max(self.sampling_rate * value / self._mean_value, MIN_SAMPLING_RATE)
        if not self._has_counter or self._rng.random() >= probability:
            return 0.0
        # Without the weight of the requests that are sent without a call, the totals would be too low, and all requests
        # would seem to conform.
        return min(1 / min(probability, 1.0), MAX_SAMPLING_WEIGHT) if sends_unconfirmed else 1.0

    def may_exceed_instance_share(self) -> bool:
        """Whether an unconfirmed send may use more than the instance's share: by chance, while the counter replies."""
        return self._rng.random() < self.sampling_rate - MIN_SAMPLING_RATE

    def has_spare_capacity(self) -> bool:
        """Whether the counter has capacity for a call that no request waits for.

        Such a call subtracts units that were reported and not sent; otherwise the customer's next call does so.  It is
        made by chance, the more often the further the counter is from a queue.  The cost: if the customer has no other
        request in the period, its total stays too high.
        """
        return self._rng.random() < self.sampling_rate / MAX_SAMPLING_RATE
