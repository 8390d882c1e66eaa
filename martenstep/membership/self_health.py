"""Lifeguard's local health: a node with signs of its own slowness or disconnection probes and times out more slowly."""

from __future__ import annotations

MAX_HEALTH_SCORE = 8  # bounds the multiplier, as in Lifeguard


class LocalHealth:
    """The local health score of Lifeguard, section IV.A; 0 is healthy."""

    def __init__(self) -> None:
        """A node starts healthy."""
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Return the factor for probe intervals and timeouts."""
        return 1 + self.score

    def degrade(self) -> None:
        """Raise the score after a sign that this node is slow or disconnected."""
        self.score = min(self.score + 1, MAX_HEALTH_SCORE)

    def improve(self) -> None:
        """Lower the score after a probe that was acknowledged in time."""
        self.score = max(self.score - 1, 0)
