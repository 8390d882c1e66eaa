"""The decisions of one gateway instance: each event gives a list of actions.

This code has no I/O and no clock, and its only source of randomness is seeded.  The types of events and actions are in
martenstep/policy/messages.py.
"""

from __future__ import annotations

import random

from martenstep.policy.admission import Admission
from martenstep.policy.messages import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    ClockStepped,
    CounterReply,
    EndpointListScope,
    EndpointListUpdate,
    Event,
    Request,
    Settings,
    Subscribe,
    TimerFired,
)
from martenstep.policy.quota import MAX_CUSTOMERS, QuotaLimiter
from martenstep.policy.request_lifecycle import RequestLifecycle
from martenstep.policy.timers import CounterReport, SilenceCheck, Timers
from martenstep.policy.upstream_cluster import UpstreamCluster


class Gateway:
    """Passes each event to the component that decides on it."""

    def __init__(self, settings: Settings, seed: int, max_customers: int = MAX_CUSTOMERS) -> None:
        """Begin without endpoints and customers; equal seeds and events give equal actions.

        The state of at most `max_customers` is kept, unless more are in use.
        """
        rng = random.Random(seed)
        self._must_subscribe = settings.must_subscribe
        self._timers = Timers()
        self._quota = QuotaLimiter(settings, rng, max_customers)
        self._cluster = UpstreamCluster(settings, rng)
        self._requests = RequestLifecycle(settings, self._cluster, self._timers)
        self._admission = Admission(settings, self._quota, self._cluster, self._requests, self._timers)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Return the actions for one event; `now` is in milliseconds on the host's clock.

        Raises ValueError for a request whose class or plan is not in the settings.
        """
        match event:
            case Request():
                return self._admission.admit(now, event)
            case AttemptEnded():
                return self._requests.attempt_ended(now, event)
            case CounterReply():
                return self._admission.counter_replied(now, event)
            case TimerFired():
                return self._timer_fired(now, event.token)
            case ClientDisconnected():
                self._requests.forget(event.id)
            case ClockStepped():
                self._quota.clock_stepped(now, event.shift_ms)
            case EndpointListUpdate():
                return self._endpoints_updated(event)
        return []

    def available_units(self, now: float, customer: int) -> float | None:
        """Return the units left of a customer's burst by this instance's readings, for the host to report."""
        return self._quota.available_units(now, customer)

    def _timer_fired(self, now: float, token: int) -> list[Action]:
        match self._timers.pop_purpose(token):
            case SilenceCheck() as check:
                return self._requests.check_silence(now, check)
            case CounterReport(customer=customer):
                customer.report_scheduled = False
                return self._quota.call_counter(now, customer)
        return []

    def _endpoints_updated(self, event: EndpointListUpdate) -> list[Action]:
        self._cluster.update_endpoints(event)
        may_be_stale = event.scope in (EndpointListScope.CACHED, EndpointListScope.LOST)
        return [Subscribe()] if may_be_stale and self._must_subscribe else []
