"""What a hook may change at each point: its value is taken in here, piece by piece, or not at all.

No I/O.  The module's decisions stand: a refusal stays one with its status, and no retry-after gets earlier; a class, a
plan or a customer must be one of those that the settings leave open; units stay between the route's bounds.  A value
that breaks a bound is refused whole, so that nothing half-changed goes on.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Any

from martenstep.policy.messages import Idempotency, RequestClass

MOST_BODY = 16_384  # characters of a refusal's body
MOST_HEADERS = 16
MOST_VALUE = 1024  # characters of one header's value, or of one field of the log
MOST_FIELDS = 16
MOST_RETRY_MS = 3_600_000.0
MOST_PATH = 4096
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")
VALUE = re.compile(r"[\x21-\x7e\x80-\uffff](?:[\x20\t\x21-\x7e\x80-\uffff]*[\x21-\x7e\x80-\uffff])?")
MEDIA = re.compile(r"(?:text/(?:plain|html)|application/(?:json|problem\+json))(?:; charset=utf-8)?")
PATH = re.compile(r"/[\x21-\x22\x24-\x7e]*")  # no blank, no fragment, nothing that is not ASCII
FIELD = re.compile(r"[a-z][a-z0-9_]{0,31}")
# What frames the message, what the door says itself, and what proves things to others: never a hook's.
KEPT_HEADERS = frozenset(
    {
        "connection",
        "content-encoding",
        "content-length",
        "content-type",
        "date",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "ratelimit",
        "ratelimit-policy",
        "retry-after",
        "retry-after-ms",
        "te",
        "traceparent",
        "tracestate",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "via",
        "x-attempt",
        "x-customer",
        "x-deadline-ms",
        "x-forwarded-for",
        "x-not-run",
        "x-reason",
        "x-request-id",
    }
)


class BorderError(Exception):
    """A value that may not pass: what, and why."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the settings leave open to hooks."""

    classes: Collection[str] = ()
    plans: Collection[str] = ()
    customers: Collection[str] = ()
    least_units: float = 1.0
    most_units: float = 1.0
    kept_headers: frozenset[str] = KEPT_HEADERS


@dataclass(frozen=True, slots=True)
class Words:
    """A refusal as it is worded."""

    body: bytes
    content_type: str
    retry_after_ms: float
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Placed:
    """A request's class, customer, plan and units."""

    cls: str
    customer: str
    plan: str
    units: float


def _header(name: str, value: str, kept: frozenset[str]) -> tuple[str, str]:
    if not TOKEN.fullmatch(name):
        raise BorderError(f"header {name[:64]!r}: not a header's name")
    if name.lower().replace("_", "-") in kept:  # some servers read x_customer as x-customer
        raise BorderError(f"header {name!r}: is not a hook's to set")
    if len(value) > MOST_VALUE or not VALUE.fullmatch(value):
        raise BorderError(f"header {name!r}: its value is too long, empty, or holds a control sign")
    try:
        value.encode("latin-1")
    except UnicodeEncodeError:
        raise BorderError(f"header {name!r}: its value holds a sign beyond Latin-1") from None
    return name.lower(), value


def headers(made: Sequence[Any], bounds: Bounds) -> tuple[tuple[str, str], ...]:
    """Headers that a hook adds; raises BorderError."""
    if not made:
        return ()
    if len(made) > MOST_HEADERS:
        raise BorderError(f"{len(made)} headers, at most {MOST_HEADERS}")
    found = tuple(_header(name, value, bounds.kept_headers) for name, value in made)
    names = [name for name, _ in found]
    if len(set(names)) < len(names):
        raise BorderError("a header is given twice")
    return found


def words(made: Any, retry_after_ms: float, bounds: Bounds) -> Words:
    """A refusal's words: never an earlier retry-after than the module's; raises BorderError."""
    body, content_type, retry, given = made
    if len(body) > MOST_BODY:
        raise BorderError(f"a body of {len(body)} signs, at most {MOST_BODY}")
    if not MEDIA.fullmatch(content_type):
        raise BorderError(
            f"content type {content_type[:64]!r}: expected text/plain, text/html, application/json or "
            "application/problem+json"
        )
    if not 0 <= retry <= max(MOST_RETRY_MS, retry_after_ms):
        raise BorderError(f"a retry-after of {retry:g} ms")
    try:
        encoded = body.encode()
    except UnicodeEncodeError:
        raise BorderError("a body that is no text") from None
    return Words(encoded, content_type, max(retry, retry_after_ms), headers(given, bounds))


def may_become(before: RequestClass, after: RequestClass) -> bool:
    """Whether a request of one class may be handled as of another: never one that lets more of it be repeated."""
    if after.idempotency is Idempotency.AT_MOST_ONCE or after == before:
        return True
    if after.idempotency is not before.idempotency:
        return False
    return after.idempotency is Idempotency.IDEMPOTENT or (
        after.deduplication_scope is before.deduplication_scope
        and after.deduplication_window_ms <= before.deduplication_window_ms
    )


def placed(made: Any, before: Placed, bounds: Bounds) -> Placed:
    """A request's place: what is empty stays as it was; raises BorderError."""
    cls, customer, plan, units = made
    for what, got, was, known in (
        ("class", cls, before.cls, bounds.classes),
        ("plan", plan, before.plan, bounds.plans),
        ("customer", customer, before.customer, bounds.customers),
    ):
        if got and got != was and got not in known:
            raise BorderError(f"{what} {got[:64]!r} is not one that hooks may choose")
    if units and not bounds.least_units <= units <= bounds.most_units:
        raise BorderError(f"{units:g} units, expected {bounds.least_units:g} to {bounds.most_units:g}")
    return Placed(cls or before.cls, customer or before.customer, plan or before.plan, units or before.units)


def sending(made: Any, before: str, bounds: Bounds) -> tuple[str, tuple[tuple[str, str], ...]]:
    """Path and headers of what goes to a server; raises BorderError."""
    path, given = made
    if path and (len(path) > MOST_PATH or not PATH.fullmatch(path)):
        raise BorderError(f"path {path[:64]!r}: expected one that begins with '/' and holds no blank")
    if path and any(part in (".", "..") for part in path.partition("?")[0].split("/")):
        raise BorderError(f"path {path[:64]!r}: goes up or stays")
    return path or before, headers(given, bounds)


def log_fields(made: Sequence[Any]) -> dict[str, str]:
    """Fields of a log line, under names of their own; raises BorderError."""
    if not made:
        return {}
    if len(made) > MOST_FIELDS:
        raise BorderError(f"{len(made)} fields, at most {MOST_FIELDS}")
    found: dict[str, str] = {}
    for name, value in made:
        if not FIELD.fullmatch(name) or name in found:
            raise BorderError(f"field {name[:64]!r}: expected a new name of small letters")
        if len(value) > MOST_VALUE:
            raise BorderError(f"field {name!r}: too long")
        found[name] = value
    return {f"hook_{name}": value for name, value in found.items()}
