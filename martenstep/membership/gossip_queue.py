"""The queue of member records to disseminate; records transmitted least often go first.  It does no I/O."""

from __future__ import annotations

import math
from typing import NamedTuple

from martenstep.membership.codec import encode
from martenstep.membership.member import MemberRecord

RETRANSMIT_MULTIPLIER = 4  # multiplies log10 of the cluster size; memberlist's RetransmitMult, SWIM's lambda


class _Transmission(NamedTuple):
    name: str
    tier: int
    data: bytes


class GossipQueue:
    """Encoded records, one for each name; a new record replaces the queued one of the same name."""

    def __init__(self) -> None:
        """The queue starts empty."""
        self._tiers: list[dict[str, bytes]] = []  # by number of transmissions; each in order of insertion
        self._tier_by_name: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._tier_by_name)

    def __contains__(self, name: str) -> bool:
        return name in self._tier_by_name

    def enqueue(self, record: MemberRecord) -> None:
        """Add a record, with no transmissions counted yet."""
        self.discard(record.name)
        self._insert(record.name, 0, encode(record))

    def discard(self, name: str) -> None:
        """Stop disseminating the record of a name."""
        tier = self._tier_by_name.pop(name, None)
        if tier is not None:
            del self._tiers[tier][name]

    def take(self, max_bytes: int, cluster_size: int) -> list[bytes]:
        """Return encoded records for one datagram, and count one more transmission of each."""
        if not self._tier_by_name:
            return []
        max_transmissions = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(cluster_size + 1))
        taken = self._select(max_bytes)
        for name, tier, data in taken:
            self.discard(name)
            if tier + 1 < max_transmissions:
                self._insert(name, tier + 1, data)
        return [transmission.data for transmission in taken]

    def _select(self, max_bytes: int) -> list[_Transmission]:
        """Return the records from the head of the queue up to the first that does not fit."""
        selected: list[_Transmission] = []
        for tier, waiting in enumerate(self._tiers):
            for name, data in waiting.items():
                if len(data) > max_bytes:
                    return selected
                max_bytes -= len(data)
                selected.append(_Transmission(name, tier, data))
        return selected

    def _insert(self, name: str, tier: int, data: bytes) -> None:
        while len(self._tiers) <= tier:
            self._tiers.append({})
        self._tiers[tier][name] = data
        self._tier_by_name[name] = tier
