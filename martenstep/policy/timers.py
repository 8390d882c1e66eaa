"""The timers that an instance has set, and the purpose of each."""

from __future__ import annotations

from dataclasses import dataclass

from martenstep.policy.customer_state import CustomerState
from martenstep.policy.messages import SetTimer


@dataclass(slots=True)
class SilenceCheck:
    """Check whether the endpoint of an attempt has been silent for too long."""

    request_id: str
    attempt: int
    timeout_ms: float


@dataclass(slots=True)
class CounterReport:
    """Report to the counter the units that were sent ahead of their report."""

    customer: CustomerState


class Timers:
    """Assigns a token to each timer and keeps its purpose until the timer fires."""

    def __init__(self) -> None:
        """Begin without timers."""
        self._purposes: dict[int, SilenceCheck | CounterReport] = {}
        self._last_token = 0

    def set(self, at_ms: float, purpose: SilenceCheck | CounterReport) -> SetTimer:
        """Return the action that sets a timer."""
        self._last_token += 1
        self._purposes[self._last_token] = purpose
        return SetTimer(at_ms, self._last_token)

    def pop_purpose(self, token: int) -> SilenceCheck | CounterReport | None:
        """Remove a timer that has fired and return its purpose; None if the token is unknown."""
        return self._purposes.pop(token, None)
