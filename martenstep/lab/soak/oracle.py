"""Checks the protocol's rules from the traffic alone, as clients, backends and discovery observe it.  No I/O.

Times are seconds on the monotonic clock of the process that runs clients, backends and discovery.  The bounds are those
of the protocol and standing pages: every limit is extended by RULE_SLACK_S, and a gateway may be paused for MAX_PAUSE_S
between reading its clock and writing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

RULE_SLACK_S = 0.05
MAX_PAUSE_S = 0.15
LATE_RESPONSE_S = 0.5  # a response this long after the deadline is only worthless; later, the request counts as lost
GATEWAY_STOPPED = "gateway stopped"
EVENT_REORDER_S = 0.03  # within this time, events of two connections may be observed in either order
AFTER_CLOSE_GRACE_S = 0.1  # longer than this after its client closed, no attempt may begin


class Rule(Enum):
    """The rules that the oracle checks."""

    LOST = "a request without its response"
    AFTER_CLOSE = "an attempt that began after its client had closed"
    DUPLICATE = "a request that was executed twice"
    PARALLEL = "two attempts of a request at the same time"
    DRAIN = "an attempt sent to a backend that discovery had reported as draining"
    SLOW_START = "more attempts than a cold backend can serve"
    CEILING = "more requests forwarded for a customer than its ceiling allows"
    EXPIRY = "an attempt with a later deadline than its client set"
    CRASH = "a gateway that exited, failed internally or did not start"
    WRONG_ANSWER = "a response that no backend made for the request"


@dataclass(frozen=True, slots=True)
class Violation:
    rule: Rule
    at: float
    gateway: str
    detail: str


@dataclass(slots=True)
class SentRequest:
    """A request as its client sent it, and what was observed of it since."""

    gateway: str
    deadline: float
    effect: str  # safe, keyed, unsafe
    window_s: float = 0.0
    capped_customer: str = ""  # the customer, if its plan has a ceiling
    closed_at: float | None = None  # when the client closed its connection
    excuse: str = ""  # why the gateway need not respond
    attempts: list[float] = field(default_factory=list)
    open_attempts: int = 0
    overlap_at: float | None = None  # when an attempt arrived while another seemed to be open
    executions: int = 0


@dataclass(slots=True)
class Ceiling:
    """A plan's ceiling, a token bucket that starts full and whose balance may fall to `-tolerance_units`."""

    units_per_s: float
    burst_units: float
    tolerance_units: float


@dataclass(slots=True)
class SlowStart:
    """The settings of slow start: how much work a backend that has just started can do."""

    initial_share: float
    warm_up_s: float
    overload_multiple: float
    window_s: float


class Oracle:
    """Records what was observed, and the violations of the rules."""

    def __init__(self, drain_grace_s: float, slow_start: SlowStart, warm_rate: float, ceiling: Ceiling) -> None:
        """`warm_rate` is the number of requests a second that a warm backend can serve."""
        self._ceiling = ceiling
        self._balances: dict[str, tuple[float, float]] = {}  # units left of each customer's ceiling, and at which time
        self._drain_grace_s, self._slow_start, self._warm_rate = drain_grace_s, slow_start, warm_rate
        self.requests: dict[str, SentRequest] = {}
        self.violations: list[Violation] = []
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._reading_short: dict[str, int] = {}  # faults that make reads of a gateway short
        self._stopped: set[str] = set()  # gateways that are paused for longer than MAX_PAUSE_S
        self._drain_announced: dict[tuple[str, str], float] = {}  # when, by gateway and backend
        self._cold: dict[str, tuple[float, list[float]]] = {}  # time of its start, and of each attempt since

    def add_violation(self, rule: Rule, at: float, gateway: str, detail: str) -> None:
        self.violations.append(Violation(rule, at, gateway, detail))

    # Clients ------------------------------------------------------------------------------------------

    def request_sent(self, request_id: str, request: SentRequest) -> None:
        """A client has written a complete request."""
        self.requests[request_id] = request
        self.counts["requests"] += 1
        if request.gateway in self._stopped:
            request.excuse = GATEWAY_STOPPED

    def gateway_stopped(self, gateway: str) -> None:
        """A gateway was paused for longer than MAX_PAUSE_S, so late or missing responses are no violations."""
        self._stopped.add(gateway)
        for request in self.requests.values():
            if request.gateway == gateway:
                request.excuse = request.excuse or GATEWAY_STOPPED

    def gateway_resumed(self, gateway: str) -> None:
        self._stopped.discard(gateway)

    def short_reads_begin(self, gateway: str) -> None:
        """Reads of a gateway return less than has arrived, which the kernel does not do by itself."""
        self._reading_short[gateway] = self._reading_short.get(gateway, 0) + 1

    def short_reads_end(self, gateway: str) -> None:
        """Such a fault has ended."""
        self._reading_short[gateway] -= 1

    def client_closed(self, request_id: str, at: float) -> None:
        """The client has closed its connection, so no response is expected any more."""
        request = self.requests[request_id]
        request.closed_at, request.excuse = at, "client left"

    def response_received(self, request_id: str, at: float, status: int, body: str, previous_at: float = 0.0) -> None:
        """A client has received a complete response.

        `previous_at` is when the response before it on the connection came: responses keep the order of requests.
        """
        request = self.requests[request_id]
        self.counts[f"status {status}"] += 1
        due = max(request.deadline, previous_at)
        if at > due + LATE_RESPONSE_S and request.excuse != GATEWAY_STOPPED:
            self.add_violation(
                Rule.LOST,
                at,
                request.gateway,
                f"{request_id}: status {status} came {at - request.deadline:.3f} s after the deadline",
            )
        if status == 200 and body != request_id:
            self.add_violation(
                Rule.WRONG_ANSWER, at, request.gateway, f"{request_id}: the response's body is {body[:40]!r}"
            )
        if status in (429, 503) and request.executions and request.effect == "unsafe":
            self.add_violation(
                Rule.DUPLICATE, at, request.gateway, f"{request_id}: rejected with {status} after it had been executed"
            )

    def response_missing(self, request_id: str, at: float, how: str) -> None:
        """The connection ended, or the time was over, before a complete response."""
        request = self.requests[request_id]
        if request.excuse:
            self.counts["excused"] += 1
        else:
            self.add_violation(Rule.LOST, at, request.gateway, f"{request_id}: {how}")

    # Backends -----------------------------------------------------------------------------------------

    def attempt_received(
        self, request_id: str, backend: str, gateway: str, begun: float, at: float, expires_s: float
    ) -> None:
        """A backend has received a complete attempt; `begun` is when it received the first byte."""
        request = self.requests.get(request_id)
        if request is None:
            self.add_violation(Rule.DUPLICATE, at, gateway, f"{request_id}: no client sent a request with this id")
            return
        self.counts["attempts"] += 1
        if request.closed_at is not None and begun > request.closed_at + AFTER_CLOSE_GRACE_S:
            self.add_violation(
                Rule.AFTER_CLOSE,
                at,
                gateway,
                f"{request_id}: an attempt began {begun - request.closed_at:.3f} s after the client had closed",
            )
        # After a stop, the age of bytes that a short read left behind cannot be known.
        age_unknown = bool(self._reading_short.get(gateway)) and request.excuse == GATEWAY_STOPPED
        if expires_s > request.deadline - begun + MAX_PAUSE_S and not age_unknown:
            self.add_violation(
                Rule.EXPIRY,
                at,
                gateway,
                f"{request_id}: {expires_s:.3f} s sent to the backend, {request.deadline - begun:.3f} s left",
            )
        announced = self._drain_announced.get((gateway, backend), math.inf)
        if begun > announced + self._drain_grace_s + RULE_SLACK_S:
            detail = f"{request_id} to {backend}: {begun - announced:.3f} s after its drain was announced"
            self.add_violation(Rule.DRAIN, at, gateway, detail)
        if request.open_attempts:
            request.overlap_at = at
        if request.executions and request.effect == "unsafe":
            self.add_violation(
                Rule.DUPLICATE, at, gateway, f"{request_id} at {backend}: not idempotent, and executed before"
            )
        elif (
            request.executions
            and request.effect == "keyed"
            and at > request.attempts[0] + request.window_s + MAX_PAUSE_S
        ):
            self.add_violation(
                Rule.DUPLICATE, at, gateway, f"{request_id} at {backend}: after the deduplication window of its key"
            )
        if request.capped_customer and not request.attempts:
            self._charge_ceiling(request, at)
        request.attempts.append(at)
        request.open_attempts += 1
        if backend in self._cold:
            self._cold[backend][1].append(at)

    def _charge_ceiling(self, request: SentRequest, at: float) -> None:
        ceiling, customer = self._ceiling, request.capped_customer
        balance, since = self._balances.get(customer, (ceiling.burst_units, at))
        balance = min(balance + max(at - since, 0.0) * ceiling.units_per_s, ceiling.burst_units) - 1.0
        self._balances[customer] = balance, at
        self.counts["least of a ceiling"] = min(self.counts["lowest ceiling balance"], math.floor(balance))
        if balance < -ceiling.tolerance_units - MAX_PAUSE_S * ceiling.units_per_s:
            detail = f"customer {customer}: {-balance:.1f} units beyond its ceiling"
            self.add_violation(Rule.CEILING, at, request.gateway, detail)

    def attempt_ended(self, request_id: str, executed: bool, at: float) -> None:
        """A backend has written its response to an attempt, or the connection has ended."""
        request = self.requests[request_id]
        request.open_attempts -= 1
        request.executions += executed
        if request.overlap_at is not None and at < request.overlap_at + EVENT_REORDER_S:
            request.overlap_at = None  # this attempt ended before the other began, but was observed later

    def check_overlaps(self) -> None:
        """Report requests that had two open attempts at the same time."""
        for request_id, request in self.requests.items():
            if request.overlap_at is not None:
                self.add_violation(Rule.PARALLEL, request.overlap_at, request.gateway, request_id)

    # Discovery ----------------------------------------------------------------------------------------

    def drain_announced(self, gateway: str, backend: str, at: float) -> None:
        """From `at` on, the gateway counts as notified that the backend takes no new requests."""
        self._drain_announced.setdefault((gateway, backend), at)

    def backend_started(self, backend: str, at: float) -> None:
        """A backend has started, cold."""
        self._cold[backend] = at, []

    def check_slow_starts(self) -> None:
        """Check every window of every cold backend against the bound of the standing page."""
        settings = self._slow_start
        for backend, (start, attempts) in self._cold.items():
            for first, at in enumerate(attempts):
                if at + settings.window_s > start + settings.warm_up_s:
                    break  # the backend becomes warm within this window and stays warm
                age = at + settings.window_s - start
                share = settings.initial_share + (1 - settings.initial_share) * age / settings.warm_up_s
                allowed = settings.overload_multiple * share * self._warm_rate * settings.window_s
                bound = allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)
                count = sum(1 for later in attempts[first:] if later < at + settings.window_s)
                if count > bound:
                    self.add_violation(
                        Rule.SLOW_START, at, "all", f"{backend}: {count} attempts in a window, {bound:.1f} allowed"
                    )
                    break
