"""Decides on authorization checks: at which service, with which timeout, how often, and how long a verdict is cached.

This module does no I/O and reads no clock; random numbers come from a generator that the caller provides.

A *check* asks a service about one credential and is shared by all waiting requests with that credential.  A denial that
the service made for one client (Answer.is_personal) goes to the request that the check was made for; the others get
checks of their own, and so do later requests with that credential until a verdict can be shared again.  Every waiting
request receives exactly one of Allow, Deny and NoVerdict, at the latest when the configured share of its client's
deadline is over; a request whose client disconnected receives none.  A check never has two attempts in flight.

Verdicts are cached as long as the service's Cache-Control allows, within configured limits.  A verdict against a
credential also denies the requests that were allowed with it and have not been forwarded yet.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from martenstep.auth.messages import Action, Allow, Answer, Deny, NoVerdict, Reason, Rules, Start, Stop, Unasked
from martenstep.auth.service_health import ServiceHealth
from martenstep.auth.verdict_cache import AllowedRequests, VerdictCache, parse_cache_lifetime_ms
from martenstep.auth.wait_queue import GroupedWaitQueue, WaitingRequest

__all__ = [
    "Action",
    "Allow",
    "Answer",
    "Core",
    "Deny",
    "NoVerdict",
    "Reason",
    "Rules",
    "Start",
    "Stop",
    "Unasked",
    "parse_cache_lifetime_ms",
]

RETRY_AFTER_MS = 100.0  # about the duration of a check; sent with a request that ended without a verdict
MIN_RETRY_MS = 1.0  # with less time before all deadlines no further attempt is made


@dataclass(slots=True)
class _Check:
    number: int
    credential: bytes
    owner: int  # the request that the check was made for
    payload: object  # of that request; returned with each Start
    requests: dict[int, WaitingRequest] = field(default_factory=dict)
    attempt: int = -1
    service: int | None = None  # the one with an attempt in flight; None if there is none
    attempted_services: set[int] = field(default_factory=set)
    attempt_started_at: float = 0.0


class _RequestDeadline(NamedTuple):
    request_id: int


class _AttemptTimeout(NamedTuple):
    check: int
    attempt: int


class _BreakerHalfOpens(NamedTuple):
    """Waiting checks may start again at a service whose breaker was open."""


class _Timer(NamedTuple):
    at: float
    order: int  # timers of the same time are handled in the order in which they were set
    purpose: _RequestDeadline | _AttemptTimeout | _BreakerHalfOpens


class Core:
    """All checks of one gateway instance; times are in milliseconds on the clock that `now` is read from."""

    def __init__(self, rules: Rules, services: int, rng: random.Random) -> None:
        """Begin without checks; `services` is the number of authentication services."""
        self._rules = rules
        self._rng = rng
        self._services = [
            ServiceHealth(rules.max_in_flight_per_service, rules.initial_breaker_open_ms) for _ in range(services)
        ]
        self._requests: dict[int, WaitingRequest] = {}
        self._checks: dict[int, _Check] = {}
        self._checks_by_credential: dict[bytes, _Check] = {}
        self._queue: OrderedDict[int, _Check] = OrderedDict()  # those without an attempt in flight, oldest first
        self._queued_requests = GroupedWaitQueue()  # the requests of the checks in `_queue`
        self._cache = VerdictCache(rules)
        self._unshared: OrderedDict[bytes, None] = OrderedDict()  # credentials whose last verdict was personal
        self._allowed = AllowedRequests()
        self._timers: list[_Timer] = []
        self._timers_set = 0
        self._last_check_number = 0
        self._actions: list[Action] = []

    # Interface ------------------------------------------------------------------------------------------

    @property
    def held(self) -> dict[str, int]:
        """Numbers of requests, checks and cached verdicts held in memory, by their names in metrics and logs."""
        return {
            "asks": len(self._requests),
            "checks": len(self._checks),
            "queued": len(self._queue),
            "cached": len(self._cache),
            "passed": len(self._allowed),
            "out": self._attempts_in_flight(),
        }

    def next_at(self) -> float | None:
        """When `tick` is due; None if no timer is set."""
        return self._timers[0].at if self._timers else None

    def ask(  # noqa: PLR0913 - properties of one request, each of a different type
        self,
        now: float,
        request_id: int,
        credential: bytes,
        remaining_ms: float,
        group: str,
        fail_open: bool,
        payload: object,
    ) -> list[Action]:
        """Check a request's credential; `credential` is its digest.

        If too many requests wait, the oldest request of the largest `group` is shed.
        """
        cached = self._cache.get(now, credential)
        if cached is not None:
            self._apply_verdict(request_id, credential, cached)
            return self._take_actions()
        check = self._checks_by_credential.get(credential)
        if check is None or credential in self._unshared:
            check = self._new_check(credential, request_id, payload)
        deadline = now + self._rules.max_deadline_share * remaining_ms
        request = WaitingRequest(request_id, deadline, group, fail_open, check.number, payload)
        check.requests[request_id] = self._requests[request_id] = request
        if check.number in self._queue:
            self._queued_requests.add(request)
        self._set_timer(deadline, _RequestDeadline(request_id))
        self._start_checks(now)
        self._shed()
        return self._take_actions()

    def left(self, now: float, request_id: int) -> list[Action]:
        """Handle a request that ended without this check: its client disconnected, or it was answered otherwise."""
        self._allowed.remove(request_id)
        request = self._requests.pop(request_id, None)
        if request is not None:
            self._remove_waiting(request)
            self._start_checks(now)
        return self._take_actions()

    def sent(self, request_id: int) -> None:
        """Handle an allowed request that was forwarded or has ended: a later verdict no longer denies it."""
        self._allowed.remove(request_id)

    def answered(self, now: float, number: int, attempt: int, answer: Answer) -> list[Action]:
        """Handle a service's verdict."""
        check = self._find_in_flight(number, attempt)
        if check is None:
            return []
        self._end_attempt(check).record_response(now - check.attempt_started_at)
        self._cache.put(now, check.credential, answer)
        self._remove_check(check)
        self._record_sharing(check.credential, answer)
        if not answer.allows:
            for request_id in self._allowed.by_credential(check.credential):
                self._allowed.remove(request_id)
                self._actions.append(Deny(request_id, answer.verdict()))
        for request in list(check.requests.values()):
            if answer.is_personal and request.request_id != check.owner:
                self._check_alone(request, check.credential)
            else:
                del self._requests[request.request_id]
                self._apply_verdict(request.request_id, check.credential, answer)
        self._start_checks(now)
        self._shed()
        return self._take_actions()

    def failed(self, now: float, number: int, attempt: int) -> list[Action]:
        """Handle an attempt without a verdict: no connection, a lost one, a 5xx, or a response that cannot be read."""
        check = self._find_in_flight(number, attempt)
        if check is not None:
            self._attempt_failed(now, check)
            self._start_checks(now)
            self._shed()  # a check that waits again adds all its requests to the queue
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Handle the timers that are due."""
        while self._timers and self._timers[0].at <= now:
            self._handle_timer(now, heapq.heappop(self._timers))
        self._start_checks(now)
        self._shed()
        return self._take_actions()

    # Requests -------------------------------------------------------------------------------------------

    def _apply_verdict(self, request_id: int, credential: bytes, answer: Answer) -> None:
        """Allow or deny a request according to a verdict."""
        if answer.allows:
            self._allowed.add(request_id, credential)
            self._actions.append(Allow(request_id, answer))
        else:
            self._actions.append(Deny(request_id, answer))

    def _remove_waiting(self, request: WaitingRequest) -> None:
        """Remove a request that no longer waits; a check without waiting requests is cancelled and removed."""
        self._queued_requests.remove(request)
        check = self._checks.get(request.check_number)
        if check is None:
            return
        check.requests.pop(request.request_id, None)
        if not check.requests:
            if check.service is not None:
                self._actions.append(Stop(check.number, check.attempt))
                self._end_attempt(check)
            self._remove_check(check)

    def _end_without_verdict(self, request: WaitingRequest, reason: Reason) -> None:
        del self._requests[request.request_id]
        if request.fail_open:
            self._actions.append(Allow(request.request_id, None))
        else:
            self._actions.append(NoVerdict(request.request_id, reason, RETRY_AFTER_MS))
        self._remove_waiting(request)

    def _shed(self) -> None:
        """While too many requests wait, shed the oldest request of the largest group.

        Therefore a burst of one group does not cause requests of other groups to be shed.
        """
        while self._queued_requests.total > self._rules.max_waiting:
            self._end_without_verdict(self._queued_requests.oldest_of_largest_group(), Reason.SHED)

    # Checks ---------------------------------------------------------------------------------------------

    def _record_sharing(self, credential: bytes, answer: Answer) -> None:
        """Remember whether the verdicts on a credential can be shared."""
        self._unshared.pop(credential, None)
        if answer.is_personal:
            self._unshared[credential] = None
            if len(self._unshared) > self._rules.max_cache_entries:
                self._unshared.popitem(last=False)

    def _check_alone(self, request: WaitingRequest, credential: bytes) -> None:
        """Give a waiting request a check of its own."""
        check = self._new_check(credential, request.request_id, request.payload)
        request.check_number = check.number
        check.requests[request.request_id] = request
        self._queued_requests.add(request)

    def _new_check(self, credential: bytes, owner: int, payload: object) -> _Check:
        self._last_check_number += 1
        check = _Check(self._last_check_number, credential, owner, payload)
        self._checks[check.number] = self._checks_by_credential[credential] = check
        self._queue[check.number] = check
        return check

    def _find_in_flight(self, number: int, attempt: int) -> _Check | None:
        """The check with this number; None unless this attempt of it is in flight."""
        check = self._checks.get(number)
        return check if check is not None and check.attempt == attempt and check.service is not None else None

    def _start_checks(self, now: float) -> None:
        """Start the checks that the limits and the breakers allow, the oldest first."""
        while self._queue and self._attempts_in_flight() < self._rules.max_in_flight:
            check = next(iter(self._queue.values()))
            service = self._choose_service(now, check.attempted_services)
            if service is None:
                return
            del self._queue[check.number]
            for request in check.requests.values():
                self._queued_requests.remove(request)
            self._start_attempt(now, check, service)

    def _start_attempt(self, now: float, check: _Check, service: int) -> None:
        check.attempt += 1
        check.service = service
        check.attempted_services.add(service)
        check.attempt_started_at = now
        self._services[service].in_flight += 1
        self._set_timer(now + self._rules.attempt_timeout_ms, _AttemptTimeout(check.number, check.attempt))
        self._actions.append(Start(check.number, check.attempt, service, check.payload))

    def _choose_service(self, now: float, attempted_services: set[int]) -> int | None:
        """The admitting service with the least expected wait; services without an attempt of this check come first."""
        admitting = [number for number, service in enumerate(self._services) if service.admits(now)]
        not_attempted = [number for number in admitting if number not in attempted_services]
        if not admitting:
            return None
        return min(
            not_attempted or admitting, key=lambda number: (self._services[number].expected_wait(), self._rng.random())
        )

    def _attempts_in_flight(self) -> int:
        return sum(service.in_flight for service in self._services)

    def _end_attempt(self, check: _Check) -> ServiceHealth:
        """Record that a check's attempt is no longer in flight; return the health of its service."""
        assert check.service is not None
        service = self._services[check.service]
        check.service = None
        service.in_flight -= 1
        return service

    def _attempt_failed(self, now: float, check: _Check) -> None:
        """Queue a check for another attempt, or end its requests if no further attempt is allowed."""
        open_until = self._end_attempt(check).record_failure(now, self._rng)
        if open_until is not None:
            self._set_timer(open_until, _BreakerHalfOpens())
        latest_deadline = max((request.deadline for request in check.requests.values()), default=now)
        if check.attempt + 1 >= self._rules.max_attempts or latest_deadline - now < MIN_RETRY_MS:
            for request in list(check.requests.values()):
                self._end_without_verdict(request, Reason.FAILED)
            self._remove_check(check)
        else:
            self._queue[check.number] = check
            self._queue.move_to_end(check.number, last=False)  # it has waited the longest
            for request in check.requests.values():
                self._queued_requests.add(request)

    def _remove_check(self, check: _Check) -> None:
        self._checks.pop(check.number, None)
        if self._queue.pop(check.number, None) is not None:
            for request in check.requests.values():
                self._queued_requests.remove(request)
        if self._checks_by_credential.get(check.credential) is check:
            del self._checks_by_credential[check.credential]

    # Timers and actions ---------------------------------------------------------------------------------

    def _set_timer(self, at: float, purpose: _RequestDeadline | _AttemptTimeout | _BreakerHalfOpens) -> None:
        self._timers_set += 1
        heapq.heappush(self._timers, _Timer(at, self._timers_set, purpose))

    def _handle_timer(self, now: float, timer: _Timer) -> None:
        match timer.purpose:
            case _RequestDeadline(request_id=request_id):
                request = self._requests.get(request_id)
                if request is not None and request.deadline <= now:
                    self._end_without_verdict(request, Reason.LATE)
            case _AttemptTimeout(check=number, attempt=attempt):
                check = self._find_in_flight(number, attempt)
                if check is not None:
                    self._actions.append(Stop(number, attempt))
                    self._attempt_failed(now, check)

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
