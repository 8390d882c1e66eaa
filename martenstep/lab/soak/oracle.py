"""Checks the protocol's rules from the traffic alone: what clients, backends and discovery saw.  No I/O.

Times are seconds on the monotonic clock of the process that plays clients, backends and discovery.  Bounds are those of
the protocol and standing pages: every limit is extended by RULE_SLACK_S, a gateway may be held up for HELD_UP_S between
reading its clock and writing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

RULE_SLACK_S = 0.05
HELD_UP_S = 0.15
LATE_ANSWER_S = 0.5  # after its deadline an answer only earns nothing; later the request is lost
STOPPED = "gateway stopped"
SAME_LOOK_S = 0.03  # the oracle's process sees events of two connections in either order
AFTER_CLOSE_S = 0.1  # after its client's close no attempt may begin


class Rule(Enum):
    """What can be broken."""

    LOST = "a request without its answer"
    AFTER_CLOSE = "an attempt begun after its client had closed"
    DUPLICATE = "an effect twice"
    PARALLEL = "two attempts out at once"
    DRAIN = "a send to a backend that was told to drain"
    SLOW_START = "a cold backend overloaded"
    CEILING = "a customer sent on beyond its ceiling"
    EXPIRY = "a backend told of more time than its client has"
    CRASH = "a gateway that ended, faulted or did not start"
    WRONG_ANSWER = "an answer that no backend made for the request"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: Rule
    at: float
    gateway: str
    detail: str


@dataclass(slots=True)
class SentRequest:
    """A request as its client sent it."""

    gateway: str
    deadline: float
    effect: str  # safe, keyed, unsafe
    window_s: float = 0.0
    capped_customer: str = ""  # whose plan has a ceiling
    closed_at: float | None = None  # the client closed its connection
    excused: str = ""  # why it is owed no answer
    attempts: list[float] = field(default_factory=list)
    out: int = 0
    overlap_at: float | None = None  # an attempt came while another seemed to be out
    runs: int = 0


@dataclass(slots=True)
class Ceiling:
    """A plan's second store: it starts full, and may go so far below nothing."""

    units_per_s: float
    depth: float
    slack: float


@dataclass(slots=True)
class SlowStart:
    """What the settings tell of cold backends."""

    cold_from: float
    warm_within_s: float
    multiple: float
    window_s: float


class Oracle:
    """All that was seen, and the rules broken by it."""

    def __init__(self, drain_grace_s: float, slow_start: SlowStart, warm_rate: float, ceiling: Ceiling) -> None:
        """`warm_rate` is the requests a second that a warm backend bears."""
        self._ceiling = ceiling
        self._held: dict[str, tuple[float, float]] = {}  # units left of each customer's ceiling, and when
        self._drain_grace_s, self._slow_start, self._warm_rate = drain_grace_s, slow_start, warm_rate
        self.requests: dict[str, SentRequest] = {}
        self.violations: list[Violation] = []
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._stopped: set[str] = set()  # gateways that stand still for longer than they may be held up
        self._told_to_drain: dict[tuple[str, str], float] = {}  # by gateway and backend
        self._cold: dict[str, tuple[float, list[float]]] = {}  # start, and attempts since

    def broken(self, rule: Rule, at: float, gateway: str, detail: str) -> None:
        """A rule was broken."""
        self.violations.append(Violation(rule, at, gateway, detail))

    # Clients ------------------------------------------------------------------------------------------

    def sent(self, request_id: str, request: SentRequest) -> None:
        """A client has written a whole request."""
        self.requests[request_id] = request
        self.counts["requests"] += 1
        if request.gateway in self._stopped:
            request.excused = STOPPED

    def stopped(self, gateway: str) -> None:
        """A gateway stands still from now on, for longer than it may be held up: answers come late."""
        self._stopped.add(gateway)
        for request in self.requests.values():
            if request.gateway == gateway:
                request.excused = request.excused or STOPPED

    def resumed(self, gateway: str) -> None:
        """It runs again."""
        self._stopped.discard(gateway)

    def closed(self, request_id: str, at: float) -> None:
        """Its client has closed its connection: nothing is owed any more."""
        request = self.requests[request_id]
        request.closed_at, request.excused = at, "client left"

    def answered(self, request_id: str, at: float, status: int, body: str) -> None:
        """An answer has come whole."""
        request = self.requests[request_id]
        self.counts[f"status {status}"] += 1
        if at > request.deadline + LATE_ANSWER_S and request.excused != STOPPED:
            self.broken(
                Rule.LOST,
                at,
                request.gateway,
                f"{request_id}: {status} {at - request.deadline:.3f} s after its deadline",
            )
        if status == 200 and body != request_id:
            self.broken(Rule.WRONG_ANSWER, at, request.gateway, f"{request_id}: answered with {body[:40]!r}")
        if status in (429, 503) and request.runs and request.effect == "unsafe":
            self.broken(Rule.DUPLICATE, at, request.gateway, f"{request_id}: refused though it had run")

    def unanswered(self, request_id: str, at: float, how: str) -> None:
        """Its connection ended, or its time was over, without a whole answer."""
        request = self.requests[request_id]
        if request.excused:
            self.counts["excused"] += 1
        else:
            self.broken(Rule.LOST, at, request.gateway, f"{request_id}: {how}")

    # Backends -----------------------------------------------------------------------------------------

    def attempt(self, request_id: str, backend: str, gateway: str, begun: float, at: float, expires_s: float) -> None:
        """A whole attempt has come to a backend; `begun` is when its first byte came."""
        request = self.requests.get(request_id)
        if request is None:
            self.broken(Rule.DUPLICATE, at, gateway, f"{request_id}: an id that no client sent")
            return
        self.counts["attempts"] += 1
        if request.closed_at is not None and begun > request.closed_at + AFTER_CLOSE_S:
            self.broken(
                Rule.AFTER_CLOSE,
                at,
                gateway,
                f"{request_id}: {begun - request.closed_at:.3f} s after its client's close",
            )
        if expires_s > request.deadline - begun + HELD_UP_S:
            self.broken(
                Rule.EXPIRY, at, gateway, f"{request_id}: told {expires_s:.3f} s, left {request.deadline - begun:.3f} s"
            )
        told = self._told_to_drain.get((gateway, backend), math.inf)
        if begun > told + self._drain_grace_s + RULE_SLACK_S:
            self.broken(Rule.DRAIN, at, gateway, f"{request_id} to {backend}: {begun - told:.3f} s after it was told")
        if request.out:
            request.overlap_at = at
        if request.runs and request.effect == "unsafe":
            self.broken(Rule.DUPLICATE, at, gateway, f"{request_id} at {backend}: unsafe, and it ran before")
        elif request.runs and request.effect == "keyed" and at > request.attempts[0] + request.window_s + HELD_UP_S:
            self.broken(Rule.DUPLICATE, at, gateway, f"{request_id} at {backend}: after its key's window")
        if request.capped_customer and not request.attempts:
            self._take_from_ceiling(request, at)
        request.attempts.append(at)
        request.out += 1
        if backend in self._cold:
            self._cold[backend][1].append(at)

    def _take_from_ceiling(self, request: SentRequest, at: float) -> None:
        told, customer = self._ceiling, request.capped_customer
        held, since = self._held.get(customer, (told.depth, at))
        held = min(held + max(at - since, 0.0) * told.units_per_s, told.depth) - 1.0
        self._held[customer] = held, at
        self.counts["least of a ceiling"] = min(self.counts["least of a ceiling"], math.floor(held))
        if held < -told.slack - HELD_UP_S * told.units_per_s:
            self.broken(Rule.CEILING, at, request.gateway, f"customer {customer}: {-held:.1f} units beyond")

    def attempt_ended(self, request_id: str, ran: bool, at: float) -> None:
        """An attempt's answer is written, or its connection has ended; whether the request has run."""
        request = self.requests[request_id]
        request.out -= 1
        request.runs += ran
        if request.overlap_at is not None and at < request.overlap_at + SAME_LOOK_S:
            request.overlap_at = None  # its end came before, and was seen later

    def check_overlaps(self) -> None:
        """Requests that had two attempts out at once."""
        for request_id, request in self.requests.items():
            if request.overlap_at is not None:
                self.broken(Rule.PARALLEL, request.overlap_at, request.gateway, request_id)

    # Discovery ----------------------------------------------------------------------------------------

    def told_to_drain(self, gateway: str, backend: str, at: float) -> None:
        """A gateway counts as told that a backend takes nothing new."""
        self._told_to_drain.setdefault((gateway, backend), at)

    def started_cold(self, backend: str, at: float) -> None:
        """A backend has started."""
        self._cold[backend] = at, []

    def check_slow_starts(self) -> None:
        """Every window of every cold backend against the bound of the standing page."""
        told = self._slow_start
        for backend, (start, attempts) in self._cold.items():
            for first, at in enumerate(attempts):
                if at + told.window_s > start + told.warm_within_s:
                    break  # it is warm within this window, and all later ones
                age = at + told.window_s - start
                part = told.cold_from + (1 - told.cold_from) * age / told.warm_within_s
                allowed = told.multiple * part * self._warm_rate * told.window_s
                bound = allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)
                count = sum(1 for one in attempts[first:] if one < at + told.window_s)
                if count > bound:
                    self.broken(Rule.SLOW_START, at, "all", f"{backend}: {count} in a window, {bound:.1f} allowed")
                    break
