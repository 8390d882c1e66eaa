"""Replay protection: tracks which sequence numbers of one sending process have arrived.  It does no I/O."""

from __future__ import annotations


class ReplayWindow:
    """Accepts each number once; a number older than the window counts as seen (as in RFC 4303, section 3.4.3)."""

    SIZE = 1024  # a node sends some tens of datagrams per second in total, so this covers half a minute of reordering

    __slots__ = ("_bits", "_highest")

    def __init__(self) -> None:
        """No number has been seen yet."""
        self._highest, self._bits = -1, 0

    def accept(self, number: int) -> bool:
        """Mark a number as seen; returns False if it was seen before or may have been."""
        ahead = number - self._highest
        if ahead > 0:
            self._bits = ((self._bits << ahead) | 1) & ((1 << self.SIZE) - 1) if ahead < self.SIZE else 1
            self._highest = number
            return True
        if -ahead >= self.SIZE or self._bits >> -ahead & 1:
            return False
        self._bits |= 1 << -ahead
        return True
