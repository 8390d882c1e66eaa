"""Validates the result of a hook at each extension point: it is accepted as a whole, or not at all.  No I/O.

A hook cannot override the gateway's decisions: a rejection keeps its status and its Retry-After may only become later;
a class, plan or customer must be one that the settings allow hooks to choose; units stay within the route's limits.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from martenstep.policy.messages import Idempotency, RequestClass

MAX_BODY_CHARACTERS = 16_384
MAX_HEADERS = 16
MAX_VALUE_CHARACTERS = 1024  # of a header or a log field
MAX_LOG_FIELDS = 16
MAX_RETRY_AFTER_MS = 3_600_000.0
MAX_PATH_CHARACTERS = 4096
MAX_QUOTED_CHARACTERS = 64  # of a rejected value in an error message
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")
HEADER_VALUE = re.compile(r"[\x21-\x7e\x80-\uffff](?:[\x20\t\x21-\x7e\x80-\uffff]*[\x21-\x7e\x80-\uffff])?")
CONTENT_TYPE = re.compile(r"(?:text/(?:plain|html)|application/(?:json|problem\+json))(?:; charset=utf-8)?")
PATH = re.compile(r"/[\x21-\x22\x24-\x7e]*")  # ASCII without blanks, control characters and fragments
LOG_FIELD_NAME = re.compile(r"[a-z][a-z0-9_]{0,31}")
LOG_FIELD_PREFIX = "hook_"
# Headers that frame the message, that the gateway sets itself, or that other services trust, such as the customer.
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


# Records as hooks return them: tuples of the fields that `types` lists.
HeaderRecords = Sequence[tuple[str, str]]
RejectionContentRecord = tuple[str, str, float, HeaderRecords]
ClassificationRecord = tuple[str, str, str, float]
ForwardedRequestRecord = tuple[str, HeaderRecords]
LogFieldRecords = Sequence[tuple[str, str]]


class InvalidResultError(Exception):
    """A hook's result that is not accepted; the message says which part and why."""


@dataclass(frozen=True, slots=True)
class ResultLimits:
    """The values that the settings allow hooks to choose."""

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
        raise InvalidResultError(f"header {name[:MAX_QUOTED_CHARACTERS]!r}: not a valid header name")
    if name.lower().replace("_", "-") in protected:  # some endpoints treat x_customer as x-customer
        raise InvalidResultError(f"header {name!r}: hooks may not set this header")
    if len(value) > MAX_VALUE_CHARACTERS or not HEADER_VALUE.fullmatch(value):
        raise InvalidResultError(
            f"header {name!r}: expected a value of 1 to {MAX_VALUE_CHARACTERS} characters without control characters "
            "and surrounding blanks"
        )
    try:
        value.encode("latin-1")
    except UnicodeEncodeError:
        raise InvalidResultError(f"header {name!r}: its value has a character outside of Latin-1") from None
    return name.lower(), value


def validate_headers(returned: HeaderRecords, limits: ResultLimits) -> tuple[tuple[str, str], ...]:
    """Validate the headers that a hook adds; raises InvalidResultError."""
    if not returned:
        return ()
    if len(returned) > MAX_HEADERS:
        raise InvalidResultError(f"expected at most {MAX_HEADERS} headers, got {len(returned)}")
    headers = tuple(_validate_header(name, value, limits.protected_headers) for name, value in returned)
    names = {name for name, _ in headers}
    if len(names) < len(headers):
        raise InvalidResultError("two headers have the same name")
    return headers


def validate_rejection(
    returned: RejectionContentRecord, retry_after_ms: float, limits: ResultLimits
) -> RejectionContent:
    """Validate a rejection; its Retry-After is never earlier than the gateway's.  Raises InvalidResultError."""
    body, content_type, hook_retry_after_ms, headers = returned
    if len(body) > MAX_BODY_CHARACTERS:
        raise InvalidResultError(f"body: expected at most {MAX_BODY_CHARACTERS} characters, got {len(body)}")
    if not CONTENT_TYPE.fullmatch(content_type):
        raise InvalidResultError(
            f"content type {content_type[:MAX_QUOTED_CHARACTERS]!r}: expected text/plain, text/html, "
            "application/json or application/problem+json"
        )
    if not 0 <= hook_retry_after_ms <= max(MAX_RETRY_AFTER_MS, retry_after_ms):
        expected = f"0 to {max(MAX_RETRY_AFTER_MS, retry_after_ms):g} ms"
        raise InvalidResultError(f"retry-after: expected {expected}, got {hook_retry_after_ms:g} ms")
    try:
        encoded_body = body.encode()
    except UnicodeEncodeError:
        raise InvalidResultError("body: has a lone surrogate, which UTF-8 cannot encode") from None
    later_retry_after_ms = max(hook_retry_after_ms, retry_after_ms)
    return RejectionContent(encoded_body, content_type, later_retry_after_ms, validate_headers(headers, limits))


def may_change_class(before: RequestClass, after: RequestClass) -> bool:
    """Whether a hook may change a request's class: only to one that does not allow more retries."""
    if after.idempotency is Idempotency.AT_MOST_ONCE or after == before:
        return True
    if after.idempotency is not before.idempotency:
        return False
    return after.idempotency is Idempotency.IDEMPOTENT or (
        after.deduplication_scope is before.deduplication_scope
        and after.deduplication_window_ms <= before.deduplication_window_ms
    )


def _validate_choice(field: str, chosen: str, before: str, allowed: Collection[str]) -> str:
    """The value that the hook chose or, if it is empty, the value from before."""
    if chosen and chosen != before and chosen not in allowed:
        raise InvalidResultError(
            f"{field} {chosen[:MAX_QUOTED_CHARACTERS]!r}: the settings do not allow hooks to choose it"
        )
    return chosen or before


def validate_classification(
    returned: ClassificationRecord, before: Classification, limits: ResultLimits
) -> Classification:
    """Validate a classification; empty fields keep the values from before.  Raises InvalidResultError."""
    class_name, customer, plan, units = returned
    class_name = _validate_choice("class", class_name, before.class_name, limits.classes)
    plan = _validate_choice("plan", plan, before.plan, limits.plans)
    customer = _validate_choice("customer", customer, before.customer, limits.customers)
    if units and not limits.min_units <= units <= limits.max_units:
        raise InvalidResultError(f"units: expected {limits.min_units:g} to {limits.max_units:g}, got {units:g}")
    return Classification(class_name, customer, plan, units or before.units)


def validate_forwarded_request(
    returned: ForwardedRequestRecord, path_before: str, limits: ResultLimits
) -> ForwardedRequest:
    """Validate the path and the additional headers of a forwarded request; raises InvalidResultError."""
    path, headers = returned
    quoted_path = path[:MAX_QUOTED_CHARACTERS]
    if path and (len(path) > MAX_PATH_CHARACTERS or not PATH.fullmatch(path)):
        raise InvalidResultError(
            f"path {quoted_path!r}: expected at most {MAX_PATH_CHARACTERS} ASCII characters that begin with '/', "
            "without blanks and '#'"
        )
    if path and any(segment in (".", "..") for segment in path.partition("?")[0].split("/")):
        raise InvalidResultError(f"path {quoted_path!r}: has a segment '.' or '..'")
    return ForwardedRequest(path or path_before, validate_headers(headers, limits))


def validate_log_fields(returned: LogFieldRecords) -> dict[str, str]:
    """Validate fields for a log line, and add LOG_FIELD_PREFIX to their names; raises InvalidResultError."""
    if not returned:
        return {}
    if len(returned) > MAX_LOG_FIELDS:
        raise InvalidResultError(f"expected at most {MAX_LOG_FIELDS} log fields, got {len(returned)}")
    fields: dict[str, str] = {}
    for name, value in returned:
        if not LOG_FIELD_NAME.fullmatch(name) or name in fields:
            quoted_name = name[:MAX_QUOTED_CHARACTERS]
            raise InvalidResultError(
                f"log field {quoted_name!r}: expected a unique name of up to 32 lower-case letters, digits and '_'"
            )
        if len(value) > MAX_VALUE_CHARACTERS:
            raise InvalidResultError(
                f"log field {name!r}: expected at most {MAX_VALUE_CHARACTERS} characters, got {len(value)}"
            )
        fields[name] = value
    return {f"{LOG_FIELD_PREFIX}{name}": value for name, value in fields.items()}
