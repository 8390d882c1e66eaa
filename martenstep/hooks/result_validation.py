"""What a hook may change at each extension point: its result is accepted as a whole, or not at all.

No I/O.  The gateway's decisions stand: a rejection stays one with its status, and no Retry-After gets earlier; a class,
a plan or a customer must be one of those that the settings leave open; units stay between the route's limits.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from martenstep.policy.messages import Idempotency, RequestClass

MAX_BODY_CHARACTERS = 16_384
MAX_HEADERS = 16
MAX_VALUE_CHARACTERS = 1024  # of one header, or of one field of the log
MAX_LOG_FIELDS = 16
MAX_RETRY_AFTER_MS = 3_600_000.0
MAX_PATH_CHARACTERS = 4096
MAX_QUOTED_CHARACTERS = 64  # of a wrong value, in a message
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")
HEADER_VALUE = re.compile(r"[\x21-\x7e\x80-\uffff](?:[\x20\t\x21-\x7e\x80-\uffff]*[\x21-\x7e\x80-\uffff])?")
CONTENT_TYPE = re.compile(r"(?:text/(?:plain|html)|application/(?:json|problem\+json))(?:; charset=utf-8)?")
PATH = re.compile(r"/[\x21-\x22\x24-\x7e]*")  # no blank, no fragment, nothing that is not ASCII
LOG_FIELD_NAME = re.compile(r"[a-z][a-z0-9_]{0,31}")
LOG_FIELD_PREFIX = "hook_"
# What frames the message, what the gateway says itself, and what proves something to others.
PROTECTED_HEADERS = frozenset(
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


# Records as hooks return them (see `types`).
HeaderRecords = Sequence[tuple[str, str]]
RejectionContentRecord = tuple[str, str, float, HeaderRecords]
ClassificationRecord = tuple[str, str, str, float]
ForwardedRequestRecord = tuple[str, HeaderRecords]
LogFieldRecords = Sequence[tuple[str, str]]


class InvalidResultError(Exception):
    """A hook's result that is not accepted: what, and why."""


@dataclass(frozen=True, slots=True)
class ResultLimits:
    """What the settings leave open to hooks."""

    classes: Collection[str] = ()
    plans: Collection[str] = ()
    customers: Collection[str] = ()
    min_units: float = 1.0
    max_units: float = 1.0
    protected_headers: frozenset[str] = PROTECTED_HEADERS


@dataclass(frozen=True, slots=True)
class RejectionContent:
    """The content of a rejection's response."""

    body: bytes
    content_type: str
    retry_after_ms: float
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Classification:
    """A request's class, customer, plan and units."""

    class_name: str
    customer: str
    plan: str
    units: float


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """The path of a forwarded request, and its additional headers."""

    path: str
    headers: tuple[tuple[str, str], ...]


def _validate_header(name: str, value: str, protected: frozenset[str]) -> tuple[str, str]:
    if not HEADER_NAME.fullmatch(name):
        raise InvalidResultError(f"header {name[:MAX_QUOTED_CHARACTERS]!r}: not a header's name")
    if name.lower().replace("_", "-") in protected:  # some endpoints read x_customer as x-customer
        raise InvalidResultError(f"header {name!r}: is not a hook's to set")
    if len(value) > MAX_VALUE_CHARACTERS or not HEADER_VALUE.fullmatch(value):
        raise InvalidResultError(f"header {name!r}: its value is too long, empty, or holds a control sign")
    try:
        value.encode("latin-1")
    except UnicodeEncodeError:
        raise InvalidResultError(f"header {name!r}: its value holds a sign beyond Latin-1") from None
    return name.lower(), value


def validate_headers(returned: HeaderRecords, limits: ResultLimits) -> tuple[tuple[str, str], ...]:
    """Headers that a hook adds; raises InvalidResultError."""
    if not returned:
        return ()
    if len(returned) > MAX_HEADERS:
        raise InvalidResultError(f"{len(returned)} headers, at most {MAX_HEADERS}")
    headers = tuple(_validate_header(name, value, limits.protected_headers) for name, value in returned)
    names = {name for name, _ in headers}
    if len(names) < len(headers):
        raise InvalidResultError("a header is given twice")
    return headers


def validate_rejection(
    returned: RejectionContentRecord, retry_after_ms: float, limits: ResultLimits
) -> RejectionContent:
    """The content of a rejection, never with an earlier Retry-After than the gateway's; raises InvalidResultError."""
    body, content_type, hook_retry_after_ms, headers = returned
    if len(body) > MAX_BODY_CHARACTERS:
        raise InvalidResultError(f"a body of {len(body)} signs, at most {MAX_BODY_CHARACTERS}")
    if not CONTENT_TYPE.fullmatch(content_type):
        raise InvalidResultError(
            f"content type {content_type[:MAX_QUOTED_CHARACTERS]!r}: expected text/plain, text/html, "
            "application/json or application/problem+json"
        )
    if not 0 <= hook_retry_after_ms <= max(MAX_RETRY_AFTER_MS, retry_after_ms):
        raise InvalidResultError(f"a retry-after of {hook_retry_after_ms:g} ms")
    try:
        encoded_body = body.encode()
    except UnicodeEncodeError:
        raise InvalidResultError("a body that is no text") from None
    later_retry_after_ms = max(hook_retry_after_ms, retry_after_ms)
    return RejectionContent(encoded_body, content_type, later_retry_after_ms, validate_headers(headers, limits))


def may_change_class(before: RequestClass, after: RequestClass) -> bool:
    """Whether a request of one class may be handled as of another: never one that allows more retries."""
    if after.idempotency is Idempotency.AT_MOST_ONCE or after == before:
        return True
    if after.idempotency is not before.idempotency:
        return False
    return after.idempotency is Idempotency.IDEMPOTENT or (
        after.deduplication_scope is before.deduplication_scope
        and after.deduplication_window_ms <= before.deduplication_window_ms
    )


def _validate_choice(field: str, chosen: str, before: str, allowed: Collection[str]) -> str:
    """The chosen value, or the one from before where none is chosen."""
    if chosen and chosen != before and chosen not in allowed:
        raise InvalidResultError(f"{field} {chosen[:MAX_QUOTED_CHARACTERS]!r} is not one that hooks may choose")
    return chosen or before


def validate_classification(
    returned: ClassificationRecord, before: Classification, limits: ResultLimits
) -> Classification:
    """A request's classification, in which what is empty stays as it was; raises InvalidResultError."""
    class_name, customer, plan, units = returned
    class_name = _validate_choice("class", class_name, before.class_name, limits.classes)
    plan = _validate_choice("plan", plan, before.plan, limits.plans)
    customer = _validate_choice("customer", customer, before.customer, limits.customers)
    if units and not limits.min_units <= units <= limits.max_units:
        raise InvalidResultError(f"{units:g} units, expected {limits.min_units:g} to {limits.max_units:g}")
    return Classification(class_name, customer, plan, units or before.units)


def validate_forwarded_request(
    returned: ForwardedRequestRecord, path_before: str, limits: ResultLimits
) -> ForwardedRequest:
    """Path and headers of what goes to an endpoint; raises InvalidResultError."""
    path, headers = returned
    quoted_path = path[:MAX_QUOTED_CHARACTERS]
    if path and (len(path) > MAX_PATH_CHARACTERS or not PATH.fullmatch(path)):
        raise InvalidResultError(f"path {quoted_path!r}: expected one that begins with '/' and holds no blank")
    if path and any(segment in (".", "..") for segment in path.partition("?")[0].split("/")):
        raise InvalidResultError(f"path {quoted_path!r}: goes up or stays")
    return ForwardedRequest(path or path_before, validate_headers(headers, limits))


def validate_log_fields(returned: LogFieldRecords) -> dict[str, str]:
    """Fields of a log line, under names of their own; raises InvalidResultError."""
    if not returned:
        return {}
    if len(returned) > MAX_LOG_FIELDS:
        raise InvalidResultError(f"{len(returned)} fields, at most {MAX_LOG_FIELDS}")
    fields: dict[str, str] = {}
    for name, value in returned:
        if not LOG_FIELD_NAME.fullmatch(name) or name in fields:
            quoted_name = name[:MAX_QUOTED_CHARACTERS]
            raise InvalidResultError(f"field {quoted_name!r}: expected a new name of small letters")
        if len(value) > MAX_VALUE_CHARACTERS:
            raise InvalidResultError(f"field {name!r}: too long")
        fields[name] = value
    return {f"{LOG_FIELD_PREFIX}{name}": value for name, value in fields.items()}
