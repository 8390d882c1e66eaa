"""The timers that an instance has set, and what each is for."""

from __future__ import annotations

from dataclasses import dataclass

from martenstep.policy.customer_state import CustomerState
from martenstep.policy.messages import SetTimer


@dataclass(slots=True)
class SilenceCheck:
    """Look whether the endpoint of an attempt has been silent for too long."""

    request_id: str
    attempt: int
    timeout_ms: float


@dataclass(slots=True)
class CounterReport:
    """Report to the counter the units that were sent without it."""

    customer: CustomerState


class Timers:
    """Hands out tokens for timers and gives back their purpose."""

    def __init__(self) -> None:
        """Begin without timers."""
        self._purposes: dict[int, SilenceCheck | CounterReport] = {}
        self._last_token = 0

    def set(self, at_ms: float, purpose: SilenceCheck | CounterReport) -> SetTimer:
        """The action that sets a timer."""
        self._last_token += 1
        self._purposes[self._last_token] = purpose
        return SetTimer(at_ms, self._last_token)

    def fired(self, token: int) -> SilenceCheck | CounterReport | None:
        """The purpose of a timer that has fired; None for one that is not known."""
        return self._purposes.pop(token, None)
