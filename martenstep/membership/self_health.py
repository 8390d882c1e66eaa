"""Lifeguard's local health: how much slower a node judges that has cause to doubt itself."""

from __future__ import annotations

MAX_HEALTH_SCORE = 8  # Lifeguard's bound of the multiplier


class LocalHealth:
    """The awareness score of Lifeguard, section IV.A: 0 is healthy."""

    def __init__(self) -> None:
        """Healthy."""
        self.score = 0

    @property
    def multiplier(self) -> int:
        """By which probe intervals and timeouts are multiplied."""
        return 1 + self.score

    def degrade(self) -> None:
        """A sign that this node is slow or cut off."""
        self.score = min(self.score + 1, MAX_HEALTH_SCORE)

    def improve(self) -> None:
        """A probe was acknowledged in time."""
        self.score = max(self.score - 1, 0)
