"""Inputs and outputs of the logic of authorization checks: configured limits, verdicts and actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

# Headers of a denial that the service made for one client: a session, or where it goes on with its own request.
PERSONAL_HEADERS = frozenset((b"set-cookie", b"location"))
UNAUTHORIZED = 401


@dataclass(frozen=True, slots=True)
class Unasked:
    """The rejection of an edge proxy's sub-request: the response's status and reason."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class Rules:
    """Configured limits; times in milliseconds."""

    max_deadline_share: float = 0.5  # share of a request's remaining time before its deadline that its check may take
    attempt_timeout_ms: float = 500.0
    max_attempts: int = 2  # of one check, each at a different service if there is one
    max_in_flight_per_service: int = 64  # checks
    max_in_flight: int = 256  # checks at all services together
    max_waiting: int = 2000  # requests whose check has not started
    max_cache_entries: int = 10_000
    max_allow_cache_ms: float = 60_000.0  # a verdict that allows is cached no longer, whatever the service permits
    max_deny_cache_ms: float = 5_000.0  # the same limit for a verdict that denies
    initial_breaker_open_ms: float = 500.0  # how long a circuit breaker stays open when it opens for the first time


class Reason(Enum):
    """Why there is no verdict; logs and error responses contain the value."""

    LATE = "check late"  # the share of the request's deadline that its check may take is over
    FAILED = "check failed"  # no service returned a verdict
    SHED = "check shed"  # too many requests wait for a check


@dataclass(frozen=True, slots=True)
class Answer:
    """A service's verdict; a 2xx status allows the request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    cache_lifetime_ms: float = 0.0  # how long its Cache-Control header allows it to be cached

    @property
    def allows(self) -> bool:
        """Whether the request is allowed."""
        return 200 <= self.status < 300

    @property
    def is_personal(self) -> bool:
        """Whether it is a denial made for one client: no other request may receive it."""
        return not self.allows and any(name in PERSONAL_HEADERS for name, _ in self.headers)

    def verdict(self) -> Answer:
        """The denial as it is shared with requests that it was not made for; a redirect becomes a plain denial."""
        if not self.is_personal:
            return self
        is_redirect = any(name == b"location" for name, _ in self.headers)
        headers = tuple(pair for pair in self.headers if pair[0] == b"www-authenticate")
        return Answer(UNAUTHORIZED if is_redirect else self.status, headers)


# Actions ----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Start:
    """Start an attempt of a check at a service; `payload` is the one given with the check's first request."""

    check: int
    attempt: int
    service: int
    payload: Any


@dataclass(slots=True)
class Stop:
    """Cancel an attempt; a response or failure that still arrives for it is ignored."""

    check: int
    attempt: int


@dataclass(slots=True)
class Allow:
    """The request is allowed; `answer` is None if there is no verdict and the route fails open."""

    request_id: int
    answer: Answer | None


@dataclass(slots=True)
class Deny:
    """The request is denied: the client receives the service's answer."""

    request_id: int
    answer: Answer


@dataclass(slots=True)
class NoVerdict:
    """There is no verdict and the route fails closed, so the request is rejected."""

    request_id: int
    reason: Reason
    retry_after_ms: float


Action = Start | Stop | Allow | Deny | NoVerdict
