"""HTTP rules of the engine: which headers are forwarded, and what the gateway's own responses contain.

Sources: RFC 9110 (7.6.1 connection-specific fields, 7.6.3 Via, 10.2.3 Retry-After) and the IETF draft
"RateLimit header fields for HTTP" (RateLimit, RateLimit-Policy).
"""

from __future__ import annotations

import math
from urllib.parse import unquote

from martenstep.policy.messages import Plan, RejectionReason
from martenstep.proxy.engine_messages import Headers

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
NOT_FORWARDED = HOP_BY_HOP_HEADERS | {b"expect"}  # the gateway itself responds to `Expect: 100-continue`
REJECTION_STATUS = {
    RejectionReason.OVER_QUOTA: 429,
    RejectionReason.UNCONFIRMED: 429,
    RejectionReason.CEILING: 429,
    RejectionReason.CONCURRENCY_LIMIT: 429,
    RejectionReason.OVERLOAD: 503,
    RejectionReason.NO_ENDPOINT: 503,
    RejectionReason.RETRIES_EXHAUSTED: 503,
    RejectionReason.DEADLINE: 503,
}
# The texts shown to clients, by the reason that responses and logs contain.
REASON_TEXTS = {
    "quota": "the plan's quota is used for now",
    "unheard": "the plan's quota may be used: its count is not known at the moment",
    "ceiling": "the plan's ceiling leaves no room",
    "open limit": "the plan's limit of requests at once is reached",
    "overload": "the servers have no room in time",
    "no server": "no server can take the request",
    "spent": "no further attempt is allowed",
    "late": "too little time is left",
    "full house": "the door holds as many requests as it may",
    "failed": "no server gave an answer that can be passed on",
    "timed out": "no answer came in time",
    "no route": "no route fits the request",
    "no customer": "the request does not say whose it is",
    "unknown customer": "the customer is not known here",
    "peer not trusted": "this address may not ask about others' requests",
    "no request told": "the sub-request does not tell of exactly one request",
    "target too long": "the told target is too long",
    "unknown plan": "the authentication service named a plan that is not known here",
    "check late": "the authentication check took its part of the time",
    "check failed": "no authentication service gave a verdict",
    "check shed": "too many requests wait for the authentication service",
    "bad target": "the request's target cannot be read",
    "misdirected": "this door does not answer for the named host or scheme",
    "no tunnels": "this door makes no tunnels",
    "bad deadline": "the deadline header is not a number above 0",
}
MS_PER_S = 1000.0


def connection_header_names(headers: Headers, names: frozenset[bytes]) -> frozenset[bytes]:
    """Return `names` together with the header names that the message lists in its Connection header."""
    connection_options = [value for name, value in headers if name == b"connection"]
    if not connection_options:
        return names
    return names | {part.strip().lower() for value in connection_options for part in value.split(b",")}


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers of a message without its hop-by-hop headers and Expect."""
    excluded = connection_header_names(headers, NOT_FORWARDED)
    return [pair for pair in headers if pair[0] not in excluded]


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None if the message does not have it."""
    for key, value in headers:
        if key == name:
            return value
    return None


def parse_path(target: bytes) -> str | None:
    """Return the path of a request target, or None if the target cannot be routed.

    Plain and percent-encoded dot segments are rejected: an endpoint may resolve them, and would then execute another
    request than the one that was routed.
    """
    if target[:1] != b"/":
        scheme, found, rest = target.partition(b"://")
        if not found or scheme.lower() not in (b"http", b"https"):
            return None
        target = b"/" + rest.partition(b"/")[2]
    path = target.partition(b"?")[0].partition(b"#")[0].decode("latin-1")
    if "." in path or "%" in path:
        decoded = unquote(path, "latin-1")
        if any(part in (".", "..") for part in decoded.split("/")) or "\0" in decoded:
            return None
    return path


def rate_limit_headers(plan: Plan, remaining: float | None, full_in_ms: float) -> Headers:
    """Return RateLimit-Policy and RateLimit; none if the plan has no quota or its remaining quota is unknown."""
    if plan.rate <= 0 or remaining is None:
        return []
    window_s = max(math.ceil(plan.burst / plan.rate), 1)
    reset_s = math.ceil(full_in_ms / MS_PER_S)
    return [
        (b"ratelimit-policy", f'"{plan.name}";q={math.floor(plan.burst)};w={window_s}'.encode()),
        (b"ratelimit", f'"{plan.name}";r={math.floor(remaining)};t={reset_s}'.encode()),
    ]


def override_headers(headers: Headers, overrides: Headers) -> Headers:
    """Return the headers with `overrides` in place of all headers of the same names."""
    if not overrides:
        return headers
    names = {name for name, _ in overrides}
    return [pair for pair in headers if pair[0] not in names] + overrides


def retry_after_headers(retry_after_ms: float) -> Headers:
    """Return Retry-After in whole seconds (RFC 9110), and a header with the exact time in milliseconds."""
    return [
        (b"retry-after", str(math.ceil(retry_after_ms / MS_PER_S)).encode()),
        (b"retry-after-ms", f"{retry_after_ms:.3f}".encode()),
    ]


def reason_header(reason: str) -> tuple[bytes, bytes]:
    """Return the header that distinguishes a response of the gateway itself from an endpoint's response."""
    return b"x-reason", reason.replace(" ", "-").encode()


def local_reply(reason: str, correlation_id: str, retry_after_ms: float | None) -> tuple[Headers, bytes]:
    """Return headers and body of a response that the gateway itself generates."""
    content: dict[str, object] = {
        "reason": reason,
        "text": REASON_TEXTS.get(reason, reason),
        "request": correlation_id,
    }
    headers: Headers = [(b"content-type", b"application/json"), reason_header(reason)]
    if retry_after_ms is not None:
        content["retry_after_ms"] = round(retry_after_ms, 3)
        headers += retry_after_headers(retry_after_ms)
    import msgspec  # here, since a gateway of the platform has no use for it, and little memory

    body = msgspec.json.encode(content) + b"\n"
    headers.append((b"content-length", str(len(body)).encode()))
    return headers, body


def encode_headers(pairs: tuple[tuple[str, str], ...]) -> Headers:
    """Encode headers that a hook returned; result validation has checked that they are Latin-1."""
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in pairs]
