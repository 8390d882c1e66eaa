"""Decides on checks: whom to ask, how long, how often, and what a verdict is good for.  No I/O, no clock; chance comes
from a generator that is given.

One *ask* is one request that waits for a verdict; one *check* is one question at a service, shared by all asks with the
same credential in flight.  Every ask ends in exactly one of Allow, Deny and Unsure, no later than its part of the
client's deadline; an ask whose client left ends in none.  A check never has two attempts out.

Verdicts are kept as long as the service's Cache-Control allows, within bounds.  A verdict against a credential also
meets the requests that were let pass with it and have not been sent on yet.

Each service has a limit of checks out that halves with a failure and grows by one with a limit's worth of answers, and
a breaker: after failures in a row it is left alone for a while that doubles, then tried with one check at a time.  So a
service that comes back is not met by all that waited for it at once.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

LIMIT_DOWN = 0.5  # of a service's limit is left by a failure
OPEN_AFTER = 3  # failures in a row that open the breaker: one or two are chance
OPEN_MOST_TIMES = 16.0  # of `open_ms`: the longest a service is left alone
LATENCY_GAIN = 0.2  # weight of one answer in a service's latency
WAIT_LEAST_MS = 100.0  # retry-after of a request whose check could not be made: about one check
LEFT_LEAST_MS = 1.0  # of an ask's time below which no further attempt is made


@dataclass(frozen=True, slots=True)
class Unasked:
    """Why a sub-request is turned away."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class Rules:
    """Stated bounds; times in milliseconds."""

    share: float = 0.5  # of what is left of the client's deadline goes to its check at most
    attempt_ms: float = 500.0  # one attempt takes no longer
    attempts: int = 2  # of one check, each at another service where there is one
    per_service: int = 64  # checks out at one service
    total: int = 256  # and at all of them
    waiting: int = 2000  # asks that wait for a check to begin
    cache_entries: int = 10_000
    cache_ms: float = 60_000.0  # a verdict for a credential is kept no longer, whatever the service allows
    deny_ms: float = 5_000.0  # and one against it
    open_ms: float = 500.0  # a service whose breaker opens is left alone so long at first


class Reason(Enum):
    """Why there is no verdict."""

    LATE = "check late"  # the ask's part of the deadline is over
    FAILED = "check failed"  # no service gave one
    SHED = "check shed"  # too many wait


@dataclass(frozen=True, slots=True)
class Answer:
    """A service's verdict; status 2xx lets the request pass."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    keep_ms: float = 0.0  # as its Cache-Control allows

    @property
    def allows(self) -> bool:
        """Whether the request may pass."""
        return 200 <= self.status < 300


# Actions ----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Start:
    """Ask a service; payload is what the first ask brought."""

    check: int
    attempt: int
    service: int
    payload: Any


@dataclass(slots=True)
class Stop:
    """Stop an attempt; what still comes of it counts for nothing."""

    check: int
    attempt: int


@dataclass(slots=True)
class Allow:
    """The request may pass; answer is None where it passes without a verdict (fail open)."""

    ticket: int
    answer: Answer | None


@dataclass(slots=True)
class Deny:
    """The request may not pass: the service's answer is the client's."""

    ticket: int
    answer: Answer


@dataclass(slots=True)
class Unsure:
    """No verdict, and the route fails closed."""

    ticket: int
    reason: Reason
    wait_ms: float


Action = Start | Stop | Allow | Deny | Unsure


@dataclass(slots=True)
class _Ask:
    ticket: int
    until: float
    group: str
    fail_open: bool
    check: _Check


@dataclass(slots=True)
class _Check:
    number: int
    key: bytes
    payload: Any
    asks: dict[int, _Ask] = field(default_factory=dict)
    attempt: int = -1
    service: int | None = None  # where an attempt is out
    tried: set[int] = field(default_factory=set)
    began: float = 0.0


class _Service:
    """What is known of one service."""

    def __init__(self, most: int) -> None:
        self.most, self.limit = float(most), float(most)
        self.out = 0
        self.latency = 0.0
        self.failed = 0  # in a row
        self.open_until = float("-inf")
        self.opened = 0  # times in a row

    def room(self, now: float) -> bool:
        """Whether a check may begin: one at a time after the breaker opened, none while it is open."""
        if now < self.open_until:
            return False
        return self.out < (1 if self.opened else max(int(self.limit), 1))


class Crowd:
    """The asks that wait for a check to begin, by group: the oldest of the largest group at hand, each step in constant
    time, however many groups there are."""

    def __init__(self) -> None:
        self._groups: dict[str, OrderedDict[int, _Ask]] = {}
        self._sizes: dict[int, OrderedDict[str, None]] = {}
        self._largest = 0
        self.total = 0

    def _move(self, group: str, old: int, new: int) -> None:
        if old:
            at = self._sizes[old]
            del at[group]
            if not at:
                del self._sizes[old]
        if new:
            self._sizes.setdefault(new, OrderedDict())[group] = None
        self._largest = max(self._largest, new)
        while self._largest and self._largest not in self._sizes:
            self._largest -= 1

    def add(self, ask: _Ask) -> None:
        """One more waits."""
        asks = self._groups.setdefault(ask.group, OrderedDict())
        asks[ask.ticket] = ask
        self.total += 1
        self._move(ask.group, len(asks) - 1, len(asks))

    def remove(self, ask: _Ask) -> None:
        """One waits no longer; nothing where it did not."""
        asks = self._groups.get(ask.group)
        if asks is None or asks.pop(ask.ticket, None) is None:
            return
        self.total -= 1
        self._move(ask.group, len(asks) + 1, len(asks))
        if not asks:
            del self._groups[ask.group]

    def oldest_of_largest(self) -> _Ask:
        """Who gives way."""
        group = next(iter(self._sizes[self._largest]))
        return next(iter(self._groups[group].values()))


class Core:
    """All checks of one door."""

    def __init__(self, rules: Rules, services: int, rng: random.Random) -> None:
        self._rules, self._rng = rules, rng
        self._services = [_Service(rules.per_service) for _ in range(services)]
        self._asks: dict[int, _Ask] = {}
        self._checks: dict[int, _Check] = {}
        self._by_key: dict[bytes, _Check] = {}
        self._queue: OrderedDict[int, _Check] = OrderedDict()  # checks with no attempt out, oldest first
        self._crowd = Crowd()  # and their asks
        self._cache: OrderedDict[bytes, tuple[float, Answer]] = OrderedDict()
        self._passed: dict[int, bytes] = {}  # let pass and not sent on yet: the key of its credential
        self._passed_by: dict[bytes, set[int]] = {}
        self._timers: list[tuple[float, int, str, int, int]] = []
        self._order = 0
        self._number = 0
        self._did: list[Action] = []

    # Outside --------------------------------------------------------------------------------------------

    @property
    def held(self) -> dict[str, int]:
        """What is kept."""
        return {
            "asks": len(self._asks),
            "checks": len(self._checks),
            "queued": len(self._queue),
            "cached": len(self._cache),
            "passed": len(self._passed),
            "out": sum(service.out for service in self._services),
        }

    def next_at(self) -> float | None:
        """When `tick` is due."""
        return self._timers[0][0] if self._timers else None

    def ask(
        self, now: float, ticket: int, key: bytes, left_ms: float, group: str, fail_open: bool, payload: Any
    ) -> list[Action]:
        """A request waits for the verdict on its credential, of which `key` is a digest."""
        kept = self._cache.get(key)
        if kept is not None:
            if kept[0] > now:
                self._cache.move_to_end(key)
                self._settle(ticket, key, kept[1])
                return self._done()
            del self._cache[key]
        check = self._by_key.get(key)
        if check is None:
            self._number += 1
            check = _Check(self._number, key, payload)
            self._checks[check.number] = self._by_key[key] = check
            self._queue[check.number] = check
        ask = _Ask(ticket, now + self._rules.share * left_ms, group, fail_open, check)
        check.asks[ticket] = self._asks[ticket] = ask
        if check.number in self._queue:
            self._crowd.add(ask)
        self._timer(ask.until, "ask", ticket, 0)
        self._begin(now)
        self._shed()
        return self._done()

    def left(self, now: float, ticket: int) -> list[Action]:
        """A client has gone, or its request was answered otherwise."""
        self.sent(ticket)
        ask = self._asks.pop(ticket, None)
        if ask is not None:
            self._leave(ask)
            self._begin(now)
        return self._done()

    def sent(self, ticket: int) -> None:
        """A request that was let pass is sent on, or over: a later verdict does not meet it any more."""
        key = self._passed.pop(ticket, None)
        if key is not None:
            tickets = self._passed_by[key]
            tickets.discard(ticket)
            if not tickets:
                del self._passed_by[key]

    def answered(self, now: float, number: int, attempt: int, answer: Answer) -> list[Action]:
        """A service gave a verdict."""
        check = self._live(number, attempt)
        if check is None:
            return []
        service = self._ended(check)
        took = now - check.began
        service.latency += LATENCY_GAIN * (took - service.latency) if service.latency else took
        service.failed = service.opened = 0
        service.limit = min(service.limit + 1 / service.limit, service.most)
        most = self._rules.cache_ms if answer.allows else self._rules.deny_ms
        keep = min(answer.keep_ms, most)
        if keep > 0:
            self._cache[check.key] = now + keep, answer
            self._cache.move_to_end(check.key)
            while len(self._cache) > self._rules.cache_entries:
                self._cache.popitem(last=False)
        else:
            self._cache.pop(check.key, None)
        self._forget(check)
        if not answer.allows:
            for ticket in sorted(self._passed_by.get(check.key, ())):
                self.sent(ticket)
                self._did.append(Deny(ticket, answer))
        for ticket in list(check.asks):
            del self._asks[ticket]
            self._settle(ticket, check.key, answer)
        self._begin(now)
        return self._done()

    def failed(self, now: float, number: int, attempt: int) -> list[Action]:
        """An attempt gave no verdict: no connection, a break, a 5xx, an answer that cannot be read."""
        check = self._live(number, attempt)
        if check is not None:
            self._fail(now, check)
            self._begin(now)
            self._shed()  # a check that waits once more brings all its asks back
        return self._done()

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        while self._timers and self._timers[0][0] <= now:
            kind, number, attempt = heapq.heappop(self._timers)[2:]
            if kind == "ask":
                ask = self._asks.get(number)
                if ask is not None and ask.until <= now:
                    self._unsure(ask, Reason.LATE)
            elif kind == "attempt":
                check = self._live(number, attempt)
                if check is not None:
                    self._did.append(Stop(number, attempt))
                    self._fail(now, check)
        self._begin(now)
        self._shed()
        return self._done()

    # Inside ---------------------------------------------------------------------------------------------

    def _done(self) -> list[Action]:
        did, self._did = self._did, []
        return did

    def _timer(self, at: float, kind: str, number: int, attempt: int) -> None:
        self._order += 1
        heapq.heappush(self._timers, (at, self._order, kind, number, attempt))

    def _live(self, number: int, attempt: int) -> _Check | None:
        check = self._checks.get(number)
        return check if check is not None and check.attempt == attempt and check.service is not None else None

    def _ended(self, check: _Check) -> _Service:
        """An attempt is no longer out."""
        assert check.service is not None
        service = self._services[check.service]
        check.service = None
        service.out -= 1
        return service

    def _forget(self, check: _Check) -> None:
        self._checks.pop(check.number, None)
        if self._queue.pop(check.number, None) is not None:
            for ask in check.asks.values():
                self._crowd.remove(ask)
        if self._by_key.get(check.key) is check:
            del self._by_key[check.key]

    def _settle(self, ticket: int, key: bytes, answer: Answer) -> None:
        if answer.allows:
            self._passed[ticket] = key
            self._passed_by.setdefault(key, set()).add(ticket)
            self._did.append(Allow(ticket, answer))
        else:
            self._did.append(Deny(ticket, answer))

    def _leave(self, ask: _Ask) -> None:
        """An ask ends; a check that nobody waits for ends with it."""
        check = ask.check
        check.asks.pop(ask.ticket, None)
        self._crowd.remove(ask)
        if not check.asks and check.number in self._checks:
            if check.service is not None:
                self._did.append(Stop(check.number, check.attempt))
                self._ended(check)
            self._forget(check)

    def _unsure(self, ask: _Ask, reason: Reason) -> None:
        del self._asks[ask.ticket]
        if ask.fail_open:
            self._did.append(Allow(ask.ticket, None))
        else:
            self._did.append(Unsure(ask.ticket, reason, WAIT_LEAST_MS))
        self._leave(ask)

    def _fail(self, now: float, check: _Check) -> None:
        service = self._ended(check)
        service.limit = max(service.limit * LIMIT_DOWN, 1.0)
        service.failed += 1
        if service.failed >= OPEN_AFTER or service.opened:
            span = self._rules.open_ms * min(2.0**service.opened, OPEN_MOST_TIMES)
            service.open_until = now + span * (0.5 + self._rng.random())  # doors must not come back in step
            service.opened += 1
            self._timer(service.open_until, "breaker", 0, 0)
        latest = max((ask.until for ask in check.asks.values()), default=now)
        if check.attempt + 1 >= self._rules.attempts or latest - now < LEFT_LEAST_MS:
            for ask in list(check.asks.values()):
                self._unsure(ask, Reason.FAILED)
            self._forget(check)
        else:
            self._queue[check.number] = check
            self._queue.move_to_end(check.number, last=False)  # it has waited longest
            for ask in check.asks.values():
                self._crowd.add(ask)

    def _begin(self, now: float) -> None:
        """Start what may start, the oldest first."""
        while self._queue and sum(service.out for service in self._services) < self._rules.total:
            check = next(iter(self._queue.values()))
            place = self._choose(now, check.tried)
            if place is None:
                return
            del self._queue[check.number]
            for ask in check.asks.values():
                self._crowd.remove(ask)
            check.attempt += 1
            check.service = place
            check.tried.add(place)
            check.began = now
            self._services[place].out += 1
            self._timer(now + self._rules.attempt_ms, "attempt", check.number, check.attempt)
            self._did.append(Start(check.number, check.attempt, place, check.payload))

    def _choose(self, now: float, tried: set[int]) -> int | None:
        """The service with the least expected wait among those with room; one not tried yet goes first."""
        free = [place for place, service in enumerate(self._services) if service.room(now)]
        fresh = [place for place in free if place not in tried]
        if not free:
            return None

        def cost(place: int) -> tuple[float, float]:
            service = self._services[place]
            return (service.latency or 1.0) * (1 + service.out), self._rng.random()

        return min(fresh or free, key=cost)

    def _shed(self) -> None:
        """Too many wait: the oldest of the group that waits most gives way, so that one studio's crowd does not put
        out the others'."""
        while self._crowd.total > self._rules.waiting:
            self._unsure(self._crowd.oldest_of_largest(), Reason.SHED)


def keep_of(headers: Sequence[tuple[bytes, bytes]]) -> float:
    """How long Cache-Control lets a shared cache keep an answer, in milliseconds; 0 where it says nothing.
    Source: RFC 9111, 5.2.2."""
    seconds: float | None = None
    for name, value in headers:
        if name.lower() != b"cache-control":
            continue
        for part in value.lower().split(b","):
            word, _, figure = part.strip().partition(b"=")
            if word in (b"no-store", b"no-cache", b"private"):
                return 0.0
            if word in (b"max-age", b"s-maxage"):
                try:
                    told = max(int(figure.strip(b'"')), 0)
                except ValueError:
                    return 0.0
                if seconds is None or word == b"s-maxage":
                    seconds = told
    return (seconds or 0.0) * 1000.0
