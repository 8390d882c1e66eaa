"""Verdicts that are cached, and the requests that were allowed by one and not forwarded yet."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from martenstep.auth.messages import Answer, Rules

MS_PER_S = 1000.0


class VerdictCache:
    """The verdicts on credentials, by digest, as long as the service and the configured bounds allow."""

    def __init__(self, rules: Rules) -> None:
        """Begin empty."""
        self._rules = rules
        self._entries: OrderedDict[bytes, tuple[float, Answer]] = OrderedDict()  # until when, and the verdict

    def __len__(self) -> int:
        """Number of entries."""
        return len(self._entries)

    def get(self, now: float, credential: bytes) -> Answer | None:
        """The verdict on a credential, if one is cached and fresh."""
        entry = self._entries.get(credential)
        if entry is None:
            return None
        if entry[0] <= now:
            del self._entries[credential]
            return None
        self._entries.move_to_end(credential)
        return entry[1]

    def put(self, now: float, credential: bytes, answer: Answer) -> None:
        """Take in a new verdict, in place of any other on this credential."""
        max_ms = self._rules.cache_ms if answer.allows else self._rules.deny_ms
        lifetime_ms = min(answer.keep_ms, max_ms)
        if lifetime_ms <= 0:
            self._entries.pop(credential, None)
            return
        self._entries[credential] = now + lifetime_ms, answer
        self._entries.move_to_end(credential)
        while len(self._entries) > self._rules.cache_entries:
            self._entries.popitem(last=False)


class AllowedRequests:
    """The requests that were allowed and not forwarded yet: a later verdict against their credential denies them."""

    def __init__(self) -> None:
        """Begin empty."""
        self._credentials: dict[int, bytes] = {}  # by request id
        self._requests: dict[bytes, set[int]] = {}  # by credential

    def __len__(self) -> int:
        """Number of requests."""
        return len(self._credentials)

    def add(self, request_id: int, credential: bytes) -> None:
        """A request was allowed."""
        self._credentials[request_id] = credential
        self._requests.setdefault(credential, set()).add(request_id)

    def remove(self, request_id: int) -> None:
        """A request was forwarded, or is over; nothing where it was not allowed."""
        credential = self._credentials.pop(request_id, None)
        if credential is not None:
            requests = self._requests[credential]
            requests.discard(request_id)
            if not requests:
                del self._requests[credential]

    def by_credential(self, credential: bytes) -> list[int]:
        """The requests that were allowed with a credential, oldest id first."""
        return sorted(self._requests.get(credential, ()))


def parse_cache_lifetime_ms(headers: Sequence[tuple[bytes, bytes]]) -> float:
    """How long Cache-Control lets a shared cache store a response, in milliseconds; 0 where it does not say.

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
