"""The platform's protocol: its heads to and from the engine's terms, and what an answer's status proves.  No I/O.

A request that is not in the protocol's form is the client's fault and never reaches the module: whatever of it could be
guessed would be charged to a customer, or sent to a backend under an id that nobody gave.

| what comes back | verdict | has it run? |
| --- | --- | --- |
| 200 and a body | OK | yes |
| 503 or 504 with `X-Never-Ran: 1` | FULL | never |
| any other status, or a length that no answer has | ERROR | it may have |

What ends without a status is in door.verdicts, which holds here as well.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Callable

from martenstep.node.config import ANSWER_BYTES, MARGIN_MS, Config
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

ID, CLASS, PLAN, DEADLINE, RETRY, QUOTA, KEY = (
    b"x-trace-id",
    b"x-qos",
    b"x-plan",
    b"x-expires-in-ms",
    b"x-second-try",
    b"x-quota",
    b"idempotency-key",
)
LENGTH, CODING, NEVER_RAN = b"content-length", b"transfer-encoding", b"x-never-ran"
PASSED = frozenset((b"host", ID, KEY, LENGTH))  # of a client's headers those that go on
OWN = frozenset((ID, CLASS, PLAN, DEADLINE, RETRY, QUOTA, KEY))
READY_PATH = b"/_health"
CUSTOMER = re.compile(rb"[0-9a-f]{16}")
MOST_CUSTOMER = 1 << 33
TOKEN = re.compile(rb"[0-9A-Za-z._~-]{1,64}")  # an id or a key: anything else could not be told from a fault
SHARE = re.compile(rb"units=(\d{1,9}(?:\.\d{1,9})?), ?spread=(\d{1,6}), ?first=(\d{1,6})")
DIGITS = re.compile(rb"\d{1,9}")
ATTEMPTED = ("failed", "timed out")  # reasons of final answers that promise nothing
IDS_SPARE_MS = 1000.0  # an id is remembered for so much longer than any client waits for its answer
MOST_IDS = 20_000  # of those: what more would take is memory that a stray client decides on
SECOND_MS = 1000.0


class Ids:
    """Ids met lately: a request under one that is open is not the client's own.

    Two attempts under one id would count as two copies of it.
    """

    def __init__(self, clock: Callable[[], float], keep_ms: float) -> None:
        self._clock, self._keep_ms = clock, keep_ms
        self._met: OrderedDict[bytes, float] = OrderedDict()

    def new(self, label: bytes) -> bool:
        """Note an id; False where it was met."""
        now, met = self._clock(), self._met
        while met:
            oldest = next(iter(met))
            if now - met[oldest] < self._keep_ms and len(met) < MOST_IDS:
                break
            del met[oldest]
        if label in met:
            return False
        met[label] = now
        return True


class Requests:
    """What a request's head tells of it (door.parts.RouteTable), and the target that asks after the door itself."""

    def __init__(self, settings: api.Settings, clock: Callable[[], float]) -> None:
        self._classes = {cls.name.encode(): cls for cls in settings.classes}
        self._plans = {plan.name.encode(): plan for plan in settings.plans}
        self._doors, self._most_units = settings.instances, settings.max_units
        self._ids = Ids(clock, max((cls.deadline_ms for cls in settings.classes), default=0.0) + IDS_SPARE_MS)
        self.ready = False

    def normalize(self, method: bytes, target: bytes, headers: Headers) -> NormalizedTarget | TargetRejection:
        """Whether a target is one that goes on; what asks whether the door is ready is answered here."""
        if target == READY_PATH and method == b"GET":
            return TargetRejection(200, "ready", []) if self.ready else TargetRejection(503, "not ready", [])
        if target[:1] != b"/":
            return TargetRejection(400, "bad target", [])
        return NormalizedTarget(target, headers)

    def route(
        self, method: bytes, target: bytes, headers: Headers
    ) -> RoutedRequest | UnauthenticatedRequest | RouteRejection:
        """Where a request belongs, all that the protocol has it tell checked."""
        told: dict[bytes, bytes] = {}
        length = coded = False
        for name, value in headers:
            if name in OWN:
                if name in told:
                    return RouteRejection(400, f"{name.decode()} told twice")
                told[name] = value
            elif name == LENGTH:
                length = value.strip(b"0") != b""
            elif name == CODING:
                coded = True
        cls, plan = self._classes.get(told.get(CLASS, b"")), self._plans.get(told.get(PLAN, b""))
        if cls is None or plan is None:
            return RouteRejection(400, "unknown class" if cls is None else "unknown plan")
        parts = target.partition(b"?")[0].split(b"/")
        customer = parts[-1]
        if len(parts) < 3 or parts[1] != told[CLASS] or CUSTOMER.fullmatch(customer) is None:
            return RouteRejection(400, "bad path")
        number = int(customer, 16)
        if number >= MOST_CUSTOMER:
            return RouteRejection(400, "bad customer")
        keyed = cls.idempotency is Idempotency.KEYED
        if cls.idempotency is Idempotency.IDEMPOTENT:
            if method != b"GET" or length or coded:
                return RouteRejection(400, "bad method")
        elif method != b"POST" or (keyed and TOKEN.fullmatch(told.get(KEY, b"")) is None):
            return RouteRejection(400, "bad method or key")
        share = SHARE.fullmatch(told.get(QUOTA, b""))
        if share is None:
            return RouteRejection(400, "bad quota")
        units, spread, first = float(share[1]), int(share[2]), int(share[3])
        if not 0 < units <= self._most_units or not 1 <= spread <= self._doors or first >= self._doors:
            return RouteRejection(400, "bad quota")
        retry, label = told.get(RETRY), told.get(ID, b"")
        if retry not in (None, b"1") or DIGITS.fullmatch(told.get(DEADLINE, b"")) is None:
            return RouteRejection(400, "bad retry or deadline")
        if TOKEN.fullmatch(label) is None:
            return RouteRejection(400, "bad id")
        if not self._ids.new(label):
            return RouteRejection(409, "id met before")
        return RoutedRequest(cls, plan, number, customer.decode(), units, spread, first, retry is not None)

    def deadline_ms(self, cls: api.RequestClass, headers: Headers) -> float | None:
        """How long the client waits, never longer than its class allows."""
        asked = int(get_header(headers, DEADLINE) or 0)  # digits: a request with others has no route
        return min(float(asked), cls.deadline_ms) if asked > 0 else None

    def identify(self, guarded: UnauthenticatedRequest, key: str, plan: str) -> RoutedRequest | RouteRejection:
        """No request here is guarded: its customer is in its path."""
        return RouteRejection(400, "bad path")

    def anonymous(self, guarded: UnauthenticatedRequest) -> RoutedRequest | RouteRejection:
        """As above."""
        return RouteRejection(400, "bad path")


class NodeStatusClassifier:
    """What the status of a backend's answer proves (door.parts.StatusReader)."""

    def classify(self, status: int, headers: Headers) -> CallResult:
        """OK, FULL or ERROR, by the table above."""
        if status == 200:
            for name, value in headers:
                if name == LENGTH and int(value) > ANSWER_BYTES:
                    return CallResult.ERROR  # it would be read to its end, and is nobody's answer
            return CallResult.OK
        if status in (503, 504) and (NEVER_RAN, b"1") in headers:
            return CallResult.OVERLOADED
        return CallResult.ERROR


class NodeMessageBuilder:
    """How attempts and answers are worded (door.parts.Wording).

    No more than the protocol asks for, since every header is work at both ends.
    """

    sends_rate_limits = False

    def identity_headers(self, label: str) -> Headers:
        """Nothing."""
        return []

    def copied_auth_headers(self, headers: Headers) -> Headers:
        """Nothing: no service is asked."""
        return []

    def request_headers(self, request: UpstreamRequest) -> Headers:
        """The client's id and key, and how long the gateway waits."""
        headers = [pair for pair in request.client_headers if pair[0] in PASSED]
        headers.append(self.deadline_header(request.remaining_ms))
        return headers

    def deadline_header(self, left_ms: float) -> tuple[bytes, bytes]:
        """In whole milliseconds; none left would read as no bound."""
        return DEADLINE, b"%d" % max(left_ms, 1)

    def response_headers(self, headers: Headers) -> Headers:
        """The length alone, where it is told."""
        return [pair for pair in headers if pair[0] == LENGTH]

    def local_reply(self, reason: str, label: str, wait_ms: float | None) -> tuple[Headers, bytes]:
        """The reason as text, and when to come back.

        A fault of the client's ends its connection: strays ask once and stay, by hundreds, and nobody else has faults.
        """
        body = reason.encode()
        headers = [(LENGTH, b"%d" % len(body))]
        if wait_ms is not None:
            headers.append((b"retry-after", b"%.3f" % (wait_ms / SECOND_MS)))
        elif reason not in ATTEMPTED:
            headers.append((b"connection", b"close"))
        return headers, body


def make_dependencies(config: Config, requests: Requests) -> EngineDependencies:
    """An engine's parts by the platform's protocol."""
    settings = config.settings
    return EngineDependencies(
        name=config.name,
        settings=settings,
        route_table=requests,
        targets=requests,
        status_classifier=NodeStatusClassifier(),
        message_builder=NodeMessageBuilder(),
        request_id_header=ID,
        deadline_margin_ms=MARGIN_MS,
        max_in_flight=config.max_open,
        connect_timeout_ms=config.upstream.connect_ms,
        can_cancel=settings.can_cancel,
        max_retry_after_ms=settings.max_retry_after_ms,
        streams_past_deadline=False,
        logs_responses=False,
    )
