"""What the decisions on authorization checks take in and give out: bounds, replies and actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any


@dataclass(frozen=True, slots=True)
class Unasked:
    """Why a sub-request of an edge proxy is rejected."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class Rules:
    """Configured bounds; times in milliseconds."""

    share: float = 0.5  # of what is left of the client's deadline goes to its check at most
    attempt_ms: float = 500.0  # time-out of one attempt
    attempts: int = 2  # of one check, each at another service where there is one
    per_service: int = 64  # checks in flight at one service
    total: int = 256  # and at all of them
    waiting: int = 2000  # requests that wait for a check to begin
    cache_entries: int = 10_000
    cache_ms: float = 60_000.0  # a verdict for a credential is cached no longer, whatever the service allows
    deny_ms: float = 5_000.0  # and one against it
    open_ms: float = 500.0  # how long a breaker stays open at first


class Reason(Enum):
    """Why there is no verdict, as logs and error responses give it."""

    LATE = "check late"  # the request's part of the deadline is over
    FAILED = "check failed"  # no service gave one
    SHED = "check shed"  # too many wait


@dataclass(frozen=True, slots=True)
class Answer:
    """A service's verdict; status 2xx allows the request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    keep_ms: float = 0.0  # how long it may be cached, by its Cache-Control

    @property
    def allows(self) -> bool:
        """Whether the request is allowed."""
        return 200 <= self.status < 300


# Actions ----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Start:
    """Start an attempt of a check at a service; `payload` is what the first request brought."""

    check: int
    attempt: int
    service: int
    payload: Any


@dataclass(slots=True)
class Stop:
    """Cancel an attempt; what still comes of it is ignored."""

    check: int
    attempt: int


@dataclass(slots=True)
class Allow:
    """The request is allowed; `answer` is None where it passes without a verdict (fail open)."""

    request_id: int
    answer: Answer | None


@dataclass(slots=True)
class Deny:
    """The request is denied: the service's answer is the client's."""

    request_id: int
    answer: Answer


@dataclass(slots=True)
class NoVerdict:
    """No verdict, and the route fails closed."""

    request_id: int
    reason: Reason
    retry_after_ms: float


Action = Start | Stop | Allow | Deny | NoVerdict
