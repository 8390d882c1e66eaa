"""The cache of verdicts, and the requests that were allowed but have not been forwarded yet."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from martenstep.auth.messages import Answer, Rules

MS_PER_S = 1000.0


class VerdictCache:
    """Verdicts by the credential's digest, kept as long as both the service and the configured limits allow."""

    def __init__(self, rules: Rules) -> None:
        """Create an empty cache."""
        self._rules = rules
        self._entries: OrderedDict[bytes, tuple[float, Answer]] = (
            OrderedDict()
        )  # expiry time and verdict, the least recently used first

    def __len__(self) -> int:
        """Number of entries."""
        return len(self._entries)

    def get(self, now: float, credential: bytes) -> Answer | None:
        """The verdict on a credential; None if none is cached or it has expired."""
        entry = self._entries.get(credential)
        if entry is None:
            return None
        if entry[0] <= now:
            del self._entries[credential]
            return None
        self._entries.move_to_end(credential)
        return entry[1]

    def put(self, now: float, credential: bytes, answer: Answer) -> None:
        """Store a new verdict, which replaces an earlier one on this credential even if it may not be cached itself.

        A denial that was made for one client is not cached.
        """
        max_ms = self._rules.max_allow_cache_ms if answer.allows else self._rules.max_deny_cache_ms
        lifetime_ms = 0.0 if answer.is_personal else min(answer.cache_lifetime_ms, max_ms)
        if lifetime_ms <= 0:
            self._entries.pop(credential, None)
            return
        self._entries[credential] = now + lifetime_ms, answer
        self._entries.move_to_end(credential)
        while len(self._entries) > self._rules.max_cache_entries:
            self._entries.popitem(last=False)


class AllowedRequests:
    """Requests that were allowed but not forwarded yet; a later verdict against their credential still denies them."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._credentials: dict[int, bytes] = {}  # by request id
        self._requests: dict[bytes, set[int]] = {}  # by credential

    def __len__(self) -> int:
        """Number of requests."""
        return len(self._credentials)

    def add(self, request_id: int, credential: bytes) -> None:
        """Add a request that was allowed."""
        self._credentials[request_id] = credential
        self._requests.setdefault(credential, set()).add(request_id)

    def remove(self, request_id: int) -> None:
        """Remove a request that was forwarded or has ended; does nothing if it is not in the collection."""
        credential = self._credentials.pop(request_id, None)
        if credential is not None:
            requests = self._requests[credential]
            requests.discard(request_id)
            if not requests:
                del self._requests[credential]

    def by_credential(self, credential: bytes) -> list[int]:
        """The requests that were allowed with a credential, sorted by id."""
        return sorted(self._requests.get(credential, ()))


def parse_cache_lifetime_ms(headers: Sequence[tuple[bytes, bytes]]) -> float:
    """How long Cache-Control allows a shared cache to store a response, in milliseconds; 0 if it gives no time.

    Source: RFC 9111, 5.2.2.
    """
    lifetime_s: float | None = None
    for name, value in headers:
        if name.lower() != b"cache-control":
            continue
        for part in value.lower().split(b","):
            directive, _, argument = part.strip().partition(b"=")
            if directive in (b"no-store", b"no-cache", b"private"):
                return 0.0
            if directive in (b"max-age", b"s-maxage"):
                try:
                    seconds = max(int(argument.strip(b'"')), 0)
                except ValueError:
                    return 0.0
                if lifetime_s is None or directive == b"s-maxage":
                    lifetime_s = seconds
    return (lifetime_s or 0.0) * MS_PER_S
