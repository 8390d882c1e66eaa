"""The member table: the winning record of each name, with digests to compare two tables.  It does no I/O."""

from __future__ import annotations

from collections.abc import Iterator

import xxhash

from martenstep.membership.member import U64, MemberRecord, MemberState

BUCKET_COUNT = 16  # buckets are compared separately, so that one change transfers a sixteenth of the table
Digest = U64


def bucket_index(name: str) -> int:
    """Return the bucket of a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT


def _record_hash(record: MemberRecord) -> int:
    # A suspicion ends within seconds and is not worth an exchange, so suspect counts as alive.
    state = MemberState.ALIVE if record.state is MemberState.SUSPECT else record.state
    text = f"{record.name}\0{record.epoch}\0{record.node_id}\0{record.incarnation}\0{int(state)}"
    return xxhash.xxh3_64_intdigest(text.encode())


class MemberTable:
    """The current records, one for each name, and the digests of their buckets."""

    def __init__(self) -> None:
        """The table starts empty."""
        self._records: dict[str, MemberRecord] = {}
        self._hashes: dict[str, int] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.state_since_ms: dict[str, float] = {}  # when each name entered its current state
        self.version = 0
        self.present_count = 0  # members alive or suspect

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def get(self, name: str) -> MemberRecord | None:
        """Return the current record of a name; None if there is none."""
        return self._records.get(name)

    @property
    def digest(self) -> int:
        """Return the digest of the whole table."""
        combined = 0
        for bucket_digest in self.bucket_digests:
            combined ^= bucket_digest
        return combined

    def put(self, now: float, record: MemberRecord) -> MemberRecord | None:
        """Store a record and return the one that it replaces.  The caller has compared their precedence."""
        previous = self._records.get(record.name)
        if previous is None or previous.state is not record.state or previous.owner != record.owner:
            self.state_since_ms[record.name] = now
        self._records[record.name] = record
        record_hash = _record_hash(record)
        self.bucket_digests[bucket_index(record.name)] ^= self._hashes.get(record.name, 0) ^ record_hash
        self._hashes[record.name] = record_hash
        self.present_count += int(record.present) - int(previous is not None and previous.present)
        self.version += 1
        return previous

    def remove(self, name: str) -> None:
        """Remove the record of a name; raises KeyError if there is none."""
        previous = self._records.pop(name)
        self.bucket_digests[bucket_index(name)] ^= self._hashes.pop(name)
        self.state_since_ms.pop(name, None)
        self.present_count -= int(previous.present)
        self.version += 1

    def in_buckets(self, wanted: set[int]) -> list[MemberRecord]:
        """Return the records of the given buckets."""
        return [record for record in self._records.values() if bucket_index(record.name) in wanted]
