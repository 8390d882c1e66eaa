"""Every decision of a gateway.  The types it takes and gives are in martenstep/policy/messages.py.

Parts in order: servers (load, health, cold ramp), requests, and the Gateway.
Quotas and ceilings: martenstep/policy/quota.py.
"""

from __future__ import annotations

import math
import random
from typing import Literal

from martenstep.policy.messages import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    ClockStepped,
    CounterReply,
    DeduplicationScope,
    Endpoint,
    EndpointFilter,
    EndpointListScope,
    EndpointListUpdate,
    Event,
    Fail,
    Idempotency,
    Reject,
    RejectionReason,
    Request,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    Subscribe,
    TimerFired,
)
from martenstep.policy.quota import FLUSH_SHARE, HOLD_TIMES, Ledger, Quota
from martenstep.policy.upstream_cluster import UpstreamCluster

FIT_OF_AIM = 0.75  # a send must be expected to end within this part of the aim that is left
OPEN_WAIT_MS = 100.0  # retry-after where the plan's limit of attempts out is reached: about one answer
BEYOND_FIT = 0.25  # and a send beyond the quota within this one: only an idle back end has room for it
RETRY_SHARE = 0.1  # further attempts per first send: bounds the extra load when much fails at once, ...
RETRY_CALM = 0.4  # ... while answers are slow; while they are quick there is room for more
RETRY_SAVED = 40.0  # further attempts all gateways may save up for the loss of a server, besides one each


# Requests ---------------------------------------------------------------------------------------------


class Job:
    """One request from its arrival to its final answer."""

    def __init__(self, request: Request, cls: RequestClass, ledger: Ledger, now: float) -> None:
        self.request, self.cls, self.ledger = request, cls, ledger
        self.arrived, self.deadline = now, now + request.remaining_ms
        self.attempts: list[int] = []  # the server of each
        self.server: Endpoint | None = None  # where an attempt is out
        self.first_risk: tuple[Endpoint, float] | None = None  # first attempt that may have run: where and when
        self.beyond = False  # sent on beyond the quota


class Gateway:
    """Ties quota, servers and requests: one event in, its actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        rng = random.Random(seed)
        self._quota = Quota(settings, rng)
        self._cluster = UpstreamCluster(settings, rng)
        self._jobs: dict[str, Job] = {}
        self._wakes: dict[int, Ledger | tuple[str, int, float]] = {}
        self._token = 0
        self._retries = self._saved = 1 + RETRY_SAVED / settings.instances

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event."""
        match event:
            case Request():
                return self._request(now, event)
            case AttemptEnded():
                return self._outcome(now, event)
            case CounterReply():
                return self._total(now, event)
            case TimerFired():
                return self._due(now, event.token)
            case ClientDisconnected():
                self._drop(event.id)
            case ClockStepped():
                self._quota.clock_stepped(now, event.shift_ms)
            case EndpointListUpdate():
                self._cluster.update_endpoints(event)
                if event.scope in (EndpointListScope.CACHED, EndpointListScope.LOST) and self._settings.must_subscribe:
                    return [Subscribe()]
        return []

    def room(self, now: float, customer: int) -> float | None:
        """Units left of a customer's burst as far as this gateway knows, for the host to tell."""
        return self._quota.room(now, customer)

    def _drop(self, rid: str) -> None:
        """Forget a request that has its final answer, or whose client left, and free its place."""
        job = self._jobs.pop(rid, None)
        if job is not None:
            self._book(job, None)

    @staticmethod
    def _book(job: Job, server: Endpoint | None) -> None:
        """Book where an attempt is out, if one is: the one place where the open cap's count moves."""
        job.ledger.open += (server is not None) - (job.server is not None)
        job.server = server

    def _wake(self, at: float, purpose: Ledger | tuple[str, int, float]) -> Action:
        self._token += 1
        self._wakes[self._token] = purpose
        return SetTimer(at, self._token)

    def _request(self, now: float, event: Request) -> list[Action]:
        cls = self._classes.get(event.request_class)
        if cls is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        led = self._quota.ledger(now, event)
        job = self._jobs[event.id] = Job(event, cls, led, now)
        if led.plan.rate <= 0:
            return self._send(now, job)
        wait = led.quota.wait(now, event.units) if led.told else 0.0
        if led.plan.concurrency_limit and led.open >= max(led.plan.concurrency_limit * led.part(), 1.0):
            # The others' attempts out are guessed by their part of the units.
            return self._beyond(now, job, max(wait, OPEN_WAIT_MS), RejectionReason.CONCURRENCY_LIMIT)
        if wait > 0:
            return self._beyond(now, job, wait, RejectionReason.OVER_QUOTA)
        if self._quota.spare(now, led, event.units):
            return self._unconfirmed(now, job, True)
        patient = event.remaining_ms > HOLD_TIMES * self._settings.counter_timeout_ms
        weight = 1.0 if led.asked else self._quota.call_weight(now, led, event.units)
        if patient and weight:
            led.waiting[event.id] = event.units
            return self._quota.ask(now, led, event.units * (weight - 1))
        return self._unconfirmed(now, job)

    def _unconfirmed(self, now: float, job: Job, spare: bool = False) -> list[Action]:
        """Decide without the counter: the own part of the quota, and of the ceiling's headroom."""
        led, units = job.ledger, job.request.units
        wait, reason = 0.0 if spare else self._quota.unheard_wait(now, led, units), RejectionReason.UNCONFIRMED
        if not spare and not self._cluster.responds_quickly(now) and not self._cluster.is_half_open(now):
            # What the counter has not confirmed goes first when room gets short: one in four lies beyond its
            # quota, and they fill the servers for those inside.  Covers every overload; harms, mildly, where
            # the counter is down and the servers are slow for a reason that fewer sends do not mend.
            wait, reason = max(wait, led.quota.per_unit), RejectionReason.OVERLOAD if wait <= 0 else reason
        if wait > 0:
            return self._beyond(now, job, wait, reason)
        if led.head and led.head.room(now) < units:
            return self._refuse(now, job, led.quota.per_unit, RejectionReason.CEILING)
        actions = self._send(now, job)
        if job.attempts:
            led.own.take(units, now)
            led.quota.take(units, now)
            led.owed += units if spare else 0.0
            if led.head:
                led.head.take(units, now)
            if spare and not led.flushing:
                led.flushing = True
                actions.append(self._wake(now + FLUSH_SHARE * led.period_ms, led))
        return actions

    def _beyond(self, now: float, job: Job, wait: float, reason: RejectionReason) -> list[Action]:
        """Refuse with the retry-after, unless the plan earns more beyond the quota than it costs, the servers
        have room to spare and the own part of the headroom holds it: it is in nobody else's books."""
        led, units = job.ledger, job.request.units
        if led.plan.over_quota_value <= led.plan.over_quota_cost or (led.head and led.head.room(now) < units):
            return self._refuse(now, job, wait, reason)
        job.beyond = True
        actions = self._send(now, job, BEYOND_FIT)
        if job.attempts and led.head:
            led.head.take(units, now)
        return actions

    def _total(self, now: float, event: CounterReply) -> list[Action]:
        answer = self._quota.total(now, event)
        if answer is None:
            return []
        led, good, actions = answer
        if led.asked or actions:
            return actions
        pending, led.pending = led.pending, {}
        for rid, units in pending.items():
            job = self._jobs.get(rid)
            if job is None or not good:
                led.owed -= units  # it is in the call already, if in any
                if job is not None:
                    actions += self._unconfirmed(now, job)
                continue
            wait = led.quota.wait(now, units)
            self._quota.judged(led, wait <= 0)
            book = led.book(now, units) if wait <= 0 else None
            if wait > 0:
                actions += self._beyond(now, job, wait, RejectionReason.OVER_QUOTA)
            elif led.cap and not book:
                actions += self._refuse(now, job, max(led.cap.wait(now, units), 0.0), RejectionReason.CEILING)
            else:
                actions += self._send(now, job)
            if wait <= 0 and job.attempts:
                led.quota.take(units, now)
                if book:
                    book.take(units, now)
            else:
                led.owed -= units
        if led.waiting or (led.owed < 0 and good and self._quota.to_spare()):
            actions += self._quota.ask(now, led)
        return actions

    def _refuse(self, now: float, job: Job, wait: float, reason: RejectionReason) -> list[Action]:
        self._drop(job.request.id)
        return [Reject(job.request.id, max(wait, 1.0), reason)]

    def _allowed(self, now: float, job: Job) -> EndpointFilter | Literal[False]:
        """Which servers the class's rule on repeats leaves: a test, None for all, False for none."""
        risk = job.first_risk
        if risk is None or job.cls.idempotency is Idempotency.IDEMPOTENT:
            return None
        if job.cls.idempotency is Idempotency.AT_MOST_ONCE or now >= risk[1] + job.cls.deduplication_window_ms:
            return False
        first = risk[0]
        if job.cls.deduplication_scope is DeduplicationScope.ZONE:
            return lambda server: server.zone == first.zone
        if job.cls.deduplication_scope is DeduplicationScope.CELL:
            return lambda server: server.cell == first.cell
        return None

    def _send(self, now: float, job: Job, fit: float = FIT_OF_AIM) -> list[Action]:
        """Start an attempt where it can still be answered in time, else give the final answer."""
        left = job.deadline - now
        aim_left = min(job.arrived + job.cls.latency_objective_ms, job.deadline) - now
        allowed = self._allowed(now, job)
        spent = len(job.attempts) >= self._settings.max_attempts
        if allowed is False or spent or left <= self._settings.tick_ms:
            late = left <= self._settings.tick_ms
            return self._give_up(now, job, RejectionReason.DEADLINE if late else RejectionReason.RETRIES_EXHAUSTED)
        crowded = self._cluster.is_at_limit()
        choice = None if crowded else self._cluster.pick(now, allowed, job.attempts)
        if choice is None or choice[1] > fit * aim_left:
            full = crowded or choice is not None
            return self._give_up(now, job, RejectionReason.OVERLOAD if full else RejectionReason.NO_ENDPOINT)
        server, attempt = choice[0].id, len(job.attempts)
        if attempt == 0:
            share = RETRY_CALM if self._cluster.responds_quickly(now) else RETRY_SHARE
            self._retries = min(self._retries + share, self._saved)
        job.attempts.append(server)
        self._book(job, choice[0])
        patience = self._cluster.silence_timeout_ms(now, server, job.cls.latency_objective_ms)
        self._cluster.attempt_started(now, server, (job.request.id, attempt))
        actions: list[Action] = [StartAttempt(job.request.id, server, left, job.beyond)]
        if self._settings.can_cancel and patience < left:
            actions.append(self._wake(now + patience, (job.request.id, attempt, patience)))
        return actions

    def _give_up(self, now: float, job: Job, reason: RejectionReason) -> list[Action]:
        """The final answer: a refusal where a client's retry is certain to do no harm, else a failure."""
        harmless = (
            job.first_risk is None
            or job.cls.idempotency is Idempotency.IDEMPOTENT
            or (job.cls.idempotency is Idempotency.KEYED and job.cls.deduplication_scope is DeduplicationScope.ALL)
        )
        if harmless:
            return self._refuse(now, job, job.cls.latency_objective_ms * 0.1, reason)
        self._drop(job.request.id)
        return [Fail(job.request.id)]

    def _outcome(self, now: float, event: AttemptEnded) -> list[Action]:
        job = self._jobs.get(event.id)
        self._cluster.attempt_ended(now, event, job.cls.latency_objective_ms if job else math.inf)
        if job is None or event.request_complete:
            self._drop(event.id)
            return []
        if not event.result.never_executed and job.first_risk is None and job.server:
            job.first_risk = job.server, now - event.rtt_ms
        self._book(job, None)
        if self._retries < 1:
            return self._give_up(now, job, RejectionReason.RETRIES_EXHAUSTED)
        self._retries -= 1
        return self._send(now, job)

    def _due(self, now: float, token: int) -> list[Action]:
        purpose = self._wakes.pop(token, ("", 0, 0.0))
        if isinstance(purpose, Ledger):
            purpose.flushing = False
            return self._quota.ask(now, purpose)
        rid, attempt, patience = purpose
        job = self._jobs.get(rid)
        if job is None or not job.server or len(job.attempts) != attempt + 1:
            return []
        silent = self._cluster.abandons_silent(now, job.attempts[-1], (rid, attempt), patience)
        # Only where another attempt can follow: else the work done is wasted for nothing, and an unsafe
        # request, which may have run, fails long before its deadline.
        more = job.cls.idempotency is not Idempotency.AT_MOST_ONCE and len(job.attempts) < self._settings.max_attempts
        return [CancelAttempt(rid, attempt)] if silent and self._retries >= 1 and more else []
