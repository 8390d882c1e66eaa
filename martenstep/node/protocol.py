"""The platform's protocol: maps its heads to and from the engine's types, and classifies response statuses.  No I/O.

A request that violates the protocol is rejected as the client's fault and never reaches the policy: with guessed values
it would be charged to a customer, or sent to an endpoint under an id that no client chose.

| response | result | was the request executed? |
| --- | --- | --- |
| 200 and a body | OK | yes |
| 503 or 504 with `X-Never-Ran: 1` | OVERLOADED | never |
| any other status, or a length above the limit of a response | ERROR | it may have been |

Attempts that end without a status are classified in proxy.attempt_outcomes, which applies here as well.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

from martenstep.node.config import DEADLINE_MARGIN_MS, MAX_RESPONSE_BYTES, Config
from martenstep.node.recent_ids import RecentIds
from martenstep.policy import messages as api
from martenstep.policy.messages import CallResult, Idempotency
from martenstep.proxy.dependencies import (
    EngineDependencies,
    RoutedRequest,
    RouteRejection,
    UnauthenticatedRequest,
    UpstreamRequest,
)
from martenstep.proxy.engine_messages import Headers
from martenstep.proxy.headers import get_header
from martenstep.proxy.targets import NormalizedTarget, TargetRejection

# The protocol's headers, each constant named for what its header states.
ID_HEADER = b"x-trace-id"
CLASS_HEADER = b"x-qos"
PLAN_HEADER = b"x-plan"
DEADLINE_HEADER = b"x-expires-in-ms"
RETRY_HEADER = b"x-second-try"
QUOTA_HEADER = b"x-quota"
KEY_HEADER = b"idempotency-key"
NEVER_EXECUTED_HEADER = b"x-never-ran"
LENGTH_HEADER, CODING_HEADER = b"content-length", b"transfer-encoding"
FORWARDED_HEADERS = frozenset((b"host", ID_HEADER, KEY_HEADER, LENGTH_HEADER))
# A request may have each of these at most once.
PROTOCOL_HEADERS = frozenset(
    (ID_HEADER, CLASS_HEADER, PLAN_HEADER, DEADLINE_HEADER, RETRY_HEADER, QUOTA_HEADER, KEY_HEADER)
)
READY_PATH = b"/_health"
CUSTOMER = re.compile(rb"[0-9a-f]{16}")
MAX_CUSTOMER = 1 << 33
TOKEN = re.compile(rb"[0-9A-Za-z._~-]{1,64}")  # an id or a key; any other form cannot be distinguished from a fault
QUOTA = re.compile(rb"units=(\d{1,9}(?:\.\d{1,9})?), ?spread=(\d{1,6}), ?first=(\d{1,6})")
DIGITS = re.compile(rb"\d{1,9}")
MIN_PATH_SEGMENTS = 3
# Reasons of final responses to requests that may have been executed.
INDETERMINATE_REASONS = ("failed", "timed out")
OK, BAD_REQUEST, CONFLICT, UNAVAILABLE, GATEWAY_TIMEOUT = 200, 400, 409, 503, 504
MS_PER_S = 1000.0


class _InvalidRequestError(Exception):
    """A request that violates the protocol.  Its reason is sent to the client as the body of the response."""

    def __init__(self, reason: str, status: int = BAD_REQUEST) -> None:
        super().__init__(reason)
        self.rejection = RouteRejection(status, reason)


class _Fields(NamedTuple):
    """The values of a request's protocol headers, and whether the request has a body."""

    values: dict[bytes, bytes]
    has_body: bool

    def get(self, name: bytes) -> bytes:
        """Return a header's value, empty if the request does not have it."""
        return self.values.get(name, b"")


class _Quota(NamedTuple):
    """A request's cost in units, and the gateways that its customer uses."""

    units: float
    instances: int
    first_instance: int


def _read_fields(headers: Headers) -> _Fields:
    values: dict[bytes, bytes] = {}
    has_body = False
    for name, value in headers:
        if name in PROTOCOL_HEADERS:
            if name in values:
                raise _InvalidRequestError(f"{name.decode()} told twice")
            values[name] = value
        elif name == CODING_HEADER or (name == LENGTH_HEADER and value.strip(b"0") != b""):
            has_body = True
    return _Fields(values, has_body)


def _read_customer(target: bytes, class_name: bytes) -> bytes:
    """Return the customer's key, which is the last segment of the path."""
    segments = target.partition(b"?")[0].split(b"/")
    customer_key = segments[-1]
    is_valid = len(segments) >= MIN_PATH_SEGMENTS and segments[1] == class_name
    if not is_valid or CUSTOMER.fullmatch(customer_key) is None:
        raise _InvalidRequestError("bad path")
    if int(customer_key, 16) >= MAX_CUSTOMER:
        raise _InvalidRequestError("bad customer")
    return customer_key


def _check_method(method: bytes, request_class: api.RequestClass, fields: _Fields) -> None:
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        if method != b"GET" or fields.has_body:
            raise _InvalidRequestError("bad method")
        return
    needs_key = request_class.idempotency is Idempotency.KEYED
    if method != b"POST" or (needs_key and TOKEN.fullmatch(fields.get(KEY_HEADER)) is None):
        raise _InvalidRequestError("bad method or key")


class NodeRequestReader:
    """Reads request heads (proxy.dependencies.RouteTable) and answers the readiness check of this node."""

    def __init__(self, settings: api.Settings, clock: Callable[[], float]) -> None:
        """`clock` returns milliseconds."""
        self._classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        self._plans = {plan.name.encode(): plan for plan in settings.plans}
        self._instances, self._max_units = settings.instances, settings.max_units
        longest_ms = max((request_class.deadline_ms for request_class in settings.classes), default=0.0)
        self._recent_ids = RecentIds(clock, longest_ms)
        self.ready = False

    def normalize(self, method: bytes, target: bytes, headers: Headers) -> NormalizedTarget | TargetRejection:
        """Check that a target can be forwarded.  The readiness check of this node is answered here."""
        if target == READY_PATH and method == b"GET":
            if self.ready:
                return TargetRejection(OK, "ready", [])
            return TargetRejection(UNAVAILABLE, "not ready", [])
        if target[:1] != b"/":
            return TargetRejection(BAD_REQUEST, "bad target", [])
        return NormalizedTarget(target, headers)

    def route(
        self, method: bytes, target: bytes, headers: Headers
    ) -> RoutedRequest | UnauthenticatedRequest | RouteRejection:
        """Return the class, plan and customer of a request, after checking all of its protocol headers."""
        try:
            return self._route(method, target, headers)
        except _InvalidRequestError as error:
            return error.rejection

    def _route(self, method: bytes, target: bytes, headers: Headers) -> RoutedRequest:
        fields = _read_fields(headers)
        request_class = self._classes.get(fields.get(CLASS_HEADER))
        plan = self._plans.get(fields.get(PLAN_HEADER))
        if request_class is None or plan is None:
            raise _InvalidRequestError("unknown class" if request_class is None else "unknown plan")
        customer_key = _read_customer(target, fields.get(CLASS_HEADER))
        _check_method(method, request_class, fields)
        quota = self._read_quota(fields)
        is_retry = RETRY_HEADER in fields.values
        if is_retry and fields.get(RETRY_HEADER) != b"1":
            raise _InvalidRequestError("bad retry or deadline")
        if DIGITS.fullmatch(fields.get(DEADLINE_HEADER)) is None:
            raise _InvalidRequestError("bad retry or deadline")
        self._check_id(fields.get(ID_HEADER))
        customer = int(customer_key, 16)
        return RoutedRequest(request_class, plan, customer, customer_key.decode(), *quota, is_retry)

    def _read_quota(self, fields: _Fields) -> _Quota:
        match = QUOTA.fullmatch(fields.get(QUOTA_HEADER))
        if match is None:
            raise _InvalidRequestError("bad quota")
        quota = _Quota(float(match[1]), int(match[2]), int(match[3]))
        has_valid_units = 0 < quota.units <= self._max_units
        has_valid_instances = 1 <= quota.instances <= self._instances and quota.first_instance < self._instances
        if not has_valid_units or not has_valid_instances:
            raise _InvalidRequestError("bad quota")
        return quota

    def _check_id(self, request_id: bytes) -> None:
        if TOKEN.fullmatch(request_id) is None:
            raise _InvalidRequestError("bad id")
        if not self._recent_ids.add(request_id):
            raise _InvalidRequestError("id met before", CONFLICT)

    def deadline_ms(self, request_class: api.RequestClass, headers: Headers) -> float | None:
        """Return how long the client waits, at most its class's deadline; None if its deadline has passed."""
        # The value consists of digits: `route` rejects a request with any other.
        requested_ms = int(get_header(headers, DEADLINE_HEADER) or 0)
        return min(float(requested_ms), request_class.deadline_ms) if requested_ms > 0 else None

    def identify(
        self, unauthenticated: UnauthenticatedRequest, customer_key: str, plan: str
    ) -> RoutedRequest | RouteRejection:
        """Reject: no request is authenticated here, since its path states the customer."""
        return RouteRejection(BAD_REQUEST, "bad path")

    def anonymous(self, unauthenticated: UnauthenticatedRequest) -> RoutedRequest | RouteRejection:
        """Reject, for the same reason as `identify`."""
        return RouteRejection(BAD_REQUEST, "bad path")


class NodeStatusClassifier:
    """Classifies the status of an endpoint's response (proxy.dependencies.StatusClassifier)."""

    def classify(self, status: int, headers: Headers) -> CallResult:
        """Return OK, OVERLOADED or ERROR, by the table at the head of this module."""
        if status == OK:
            for name, value in headers:
                if name == LENGTH_HEADER and int(value) > MAX_RESPONSE_BYTES:
                    return CallResult.ERROR  # no valid response is so long, and this one would be read to its end
            return CallResult.OK
        if status in (UNAVAILABLE, GATEWAY_TIMEOUT) and (NEVER_EXECUTED_HEADER, b"1") in headers:
            return CallResult.OVERLOADED
        return CallResult.ERROR


class NodeMessageBuilder:
    """Builds the headers of attempts and responses (proxy.dependencies.MessageBuilder).

    They have only the headers that the protocol requires, since each one costs processor time at both ends.
    """

    sends_rate_limits = False

    def identity_headers(self, correlation_id: str) -> Headers:
        """Return no headers."""
        return []

    def copied_auth_headers(self, headers: Headers) -> Headers:
        """Return no headers: no auth service is called."""
        return []

    def request_headers(self, request: UpstreamRequest) -> Headers:
        """Return the client's id, key, host and length, and how long the gateway waits."""
        headers = [pair for pair in request.client_headers if pair[0] in FORWARDED_HEADERS]
        headers.append(self.deadline_header(request.remaining_ms))
        return headers

    def deadline_header(self, remaining_ms: float) -> tuple[bytes, bytes]:
        """Return the header in whole milliseconds, at least 1: an endpoint would read 0 as no limit."""
        return DEADLINE_HEADER, b"%d" % max(remaining_ms, 1)

    def response_headers(self, headers: Headers) -> Headers:
        """Keep only the length, where the response states it."""
        return [pair for pair in headers if pair[0] == LENGTH_HEADER]

    def local_reply(self, reason: str, correlation_id: str, retry_after_ms: float | None) -> tuple[Headers, bytes]:
        """Return a response with the reason as its body, and when the client may retry.

        The connection closes after a fault of the client: only misdirected clients send faulty requests, and hundreds
        of them send one request each and keep their connections open.
        """
        body = reason.encode()
        headers = [(LENGTH_HEADER, b"%d" % len(body))]
        if retry_after_ms is not None:
            headers.append((b"retry-after", b"%.3f" % (retry_after_ms / MS_PER_S)))
        elif reason not in INDETERMINATE_REASONS:
            headers.append((b"connection", b"close"))
        return headers, body


def make_dependencies(config: Config, request_reader: NodeRequestReader) -> EngineDependencies:
    """Assemble an engine's dependencies for the platform's protocol."""
    settings = config.settings
    return EngineDependencies(
        name=config.name,
        settings=settings,
        route_table=request_reader,
        targets=request_reader,
        status_classifier=NodeStatusClassifier(),
        message_builder=NodeMessageBuilder(),
        request_id_header=ID_HEADER,
        deadline_margin_ms=DEADLINE_MARGIN_MS,
        max_in_flight=config.max_in_flight,
        connect_timeout_ms=config.upstream.connect_ms,
        can_cancel=settings.can_cancel,
        max_retry_after_ms=settings.max_retry_after_ms,
        streams_past_deadline=False,
        logs_responses=False,
        max_customers=config.memory.customers,
    )
