"""What is to be told on, least told first.  Pure."""

from __future__ import annotations

import math

from martenstep.membership.codec import encode
from martenstep.membership.member_table import MemberRecord, MemberState

RETRANSMIT_MULTIPLIER = (
    4  # times log10 of the fleet that a saying is sent by each door: SWIM's lambda, as memberlist has it
)


class GossipQueue:
    """Sayings under way, one a name: a newer one replaces an older one."""

    def __init__(self) -> None:
        self._lines: list[dict[str, bytes]] = []  # by how often they were told, in the order in which they came
        self._line_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._line_of)

    def __contains__(self, name: str) -> bool:
        return name in self._line_of

    def enqueue(self, fact: MemberRecord) -> None:
        """Tell this from now on."""
        self.discard(fact.name)
        self._place(fact.name, 0, encode(fact))

    def _place(self, name: str, line: int, data: bytes) -> None:
        while len(self._lines) <= line:
            self._lines.append({})
        self._lines[line][name] = data
        self._line_of[name] = line

    def discard(self, name: str) -> None:
        """Tell it no more."""
        line = self._line_of.pop(name, None)
        if line is not None:
            del self._lines[line][name]

    def take(self, room: int, fleet: int) -> list[bytes]:
        """Sayings for one datagram, at most so many bytes; each counts as told once more."""
        if not self._line_of:
            return []
        most = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(fleet + 1))
        taken: list[tuple[str, int, bytes]] = []
        for line, waiting in enumerate(self._lines):
            for name, data in waiting.items():
                if len(data) > room:
                    break
                room -= len(data)
                taken.append((name, line, data))
            else:
                continue
            break
        for name, line, data in taken:
            self.discard(name)
            if line + 1 < most:
                self._place(name, line + 1, data)
        return [data for _, _, data in taken]


def suspicion_timeout_ms(fleet: int, others: int, period_ms: float, least_ms: float) -> float:
    """How long a suspicion stands before it is a death, after so many further accusers (Lifeguard, section IV.B).

    The least is SWIM's alpha * log10(n) periods with alpha 4, never below what the settings say; without any other
    accuser it is six times that, so that one door's fault alone kills slowly.
    """
    least = max(least_ms, 4.0 * math.log10(max(fleet, 10)) * period_ms)
    needed = min(3, fleet - 3)  # the accuser, the accused and this door cannot confirm
    if needed < 1:
        return least
    most = 6.0 * least
    return max(least, most - (most - least) * math.log(others + 1) / math.log(needed + 1))


def is_news(before: MemberRecord | None, fact: MemberRecord) -> bool:
    """Whether a saying that has just been taken in is news to others.  Of the dead that nobody knew it is not: they
    would be told of for ever by doors that forget at different times."""
    return before is not None or fact.state is not MemberState.DEAD
