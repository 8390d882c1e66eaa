"""The extension points at which hooks act on a request: the arguments of each hook, and how its result is applied.

No I/O.  The limits come from the settings; `hooks.result_validation` rejects a result that exceeds them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from martenstep.config import door_pb2 as pb
from martenstep.hooks import result_validation
from martenstep.hooks.runner import Runner
from martenstep.proxy.dependencies import HookSubject, RejectionSummary, ResponseSummary, RoutedRequest
from martenstep.proxy.engine_messages import Headers
from martenstep.proxy.headers import encode_headers, parse_path
from martenstep.proxy.route_table import GatewayRouteTable

# Hooks must not read credentials; the settings may name more headers that carry them.
CREDENTIAL_HEADERS = frozenset((b"authorization", b"cookie", b"proxy-authorization"))
MAX_HOOK_HEADERS = 100
DEFAULT_CONTENT_TYPE = "text/plain"
MS_PER_S = 1000.0
HookResult = TypeVar("HookResult")


def origin_form(target: bytes) -> str:
    """Return a request target in origin form: path and query, without scheme, authority and fragment."""
    if target[:1] != b"/":
        target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
    return target.partition(b"#")[0].decode("latin-1")


def _first_entry(value: bytes) -> str:
    """Return the first entry of a header's list, without its parameters."""
    return str(value.partition(b",")[0].partition(b";")[0].strip(), "latin-1") if value else ""


def _visible_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the response headers that hooks may read."""
    return [
        (str(name, "latin-1"), str(value, "latin-1"))
        for name, value in headers[:MAX_HOOK_HEADERS]
        if name != b"set-cookie"
    ]


def _build_response_record(response: ResponseSummary, headers: list[tuple[str, str]]) -> tuple[Any, ...]:
    """Build the Answer record (see hooks.types)."""
    return float(response.status), float(response.attempts), response.took_ms, headers


class HookExtensionPoints:
    """The five extension points of one gateway."""

    def __init__(
        self,
        gateway_settings: pb.Door,
        route_table: GatewayRouteTable,
        credential_headers: set[bytes],
        protected_headers: set[bytes],
        epoch_ms: float,
    ) -> None:
        """Hooks may neither read nor set `credential_headers`, and may not set `protected_headers`.

        `epoch_ms` is added to the engine's clock to get Unix time.
        """
        settings = gateway_settings.hooks
        self._route_table, self._epoch_ms = route_table, epoch_ms
        self._hidden_headers = CREDENTIAL_HEADERS | credential_headers
        self._min_units, self._max_units = settings.least_units, settings.most_units or gateway_settings.max_units
        self._has_min_units = settings.HasField("least_units")
        self._plans, self._customers = frozenset(settings.plan), frozenset(settings.customer)
        self._path_prefixes = tuple(settings.path_prefix)
        self._protected_headers = result_validation.PROTECTED_HEADERS | {
            name.decode("latin-1").replace("_", "-") for name in credential_headers | protected_headers
        }
        classes = route_table.classes
        self._limits_cache: dict[tuple[str, float], result_validation.ResultLimits] = {}
        self._allowed_classes = {
            name: frozenset(
                other
                for other in getattr(settings, "class")
                if result_validation.may_change_class(request_class, classes[other])
            )
            for name, request_class in classes.items()
        }

    # Extension points ---------------------------------------------------------------------------------------

    def classify(self, now: float, runner: Runner, subject: HookSubject) -> RoutedRequest:
        """Return the request's class, customer, plan and units."""
        route = subject.route
        before = result_validation.Classification(
            route.request_class.name, route.customer_key, route.plan.name, route.units
        )
        limits = self._limits(route)
        classification = self._call(
            now,
            runner,
            subject,
            "classify",
            lambda: (self._request_record(subject),),
            lambda returned: result_validation.validate_classification(returned, before, limits),
            before,
        )
        if classification == before:
            return route
        return self._route_table.reclassify(
            route, classification.class_name, classification.customer, classification.plan, classification.units
        )

    def sending(self, now: float, runner: Runner, subject: HookSubject) -> tuple[bytes, Headers]:
        """Return target and additional headers of the forwarded request; every attempt uses the same."""
        received, route = subject.received, subject.route
        limits, before = self._limits(route), origin_form(received.target)

        def accept(returned: Any) -> tuple[bytes, Headers]:  # noqa: ANN401  # any value of a hook
            forwarded = result_validation.validate_forwarded_request(returned, before, limits)
            path, headers = forwarded.path, forwarded.headers
            if path == before:
                return received.target, encode_headers(headers)
            target = path.encode("latin-1")
            # Retries follow the rules of the request's own class, which may allow what the path's class forbids.
            if parse_path(target) is None or not self._may_rewrite(received.method, target, route):
                raise result_validation.InvalidResultError(
                    f"path {path[:64]!r}: belongs to another request class, and is below no path_prefix of the settings"
                )
            return target, encode_headers(headers)

        unchanged: tuple[bytes, Headers] = received.target, []
        return self._call(now, runner, subject, "sending", lambda: (self._request_record(subject),), accept, unchanged)

    def _may_rewrite(self, method: bytes, target: bytes, route: RoutedRequest) -> bool:
        if target.decode("latin-1").startswith(self._path_prefixes):
            return True
        return self._route_table.class_of_target(method, target) == route.request_class.name

    def refusal(
        self, now: float, runner: Runner, subject: HookSubject, rejection: RejectionSummary
    ) -> result_validation.RejectionContent | None:
        """Return the response to a rejected request; None for the gateway's default response."""
        limits = self._limits(subject.route)
        status, reason, retry_after_ms = rejection

        def accept(returned: Any) -> result_validation.RejectionContent | None:  # noqa: ANN401  # any value of a hook
            body, content_type, retry_after, headers = returned
            content = (body, content_type or DEFAULT_CONTENT_TYPE, retry_after, headers)
            return result_validation.validate_rejection(content, retry_after_ms, limits)

        return self._call(
            now,
            runner,
            subject,
            "refusal",
            lambda: (self._request_record(subject), (float(status), reason, retry_after_ms)),
            accept,
            None,
        )

    def answer(
        self, now: float, runner: Runner, subject: HookSubject, response: ResponseSummary, headers: Headers
    ) -> Headers:
        """Return additional headers of a relayed response."""
        limits = self._limits(subject.route)
        return self._call(
            now,
            runner,
            subject,
            "answer",
            lambda: (self._request_record(subject), _build_response_record(response, _visible_headers(headers))),
            lambda returned: encode_headers(result_validation.validate_headers(returned, limits)),
            [],
        )

    def fields(self, now: float, runner: Runner, subject: HookSubject, response: ResponseSummary) -> dict[str, str]:
        """Return additional fields of the log line of a response."""
        return self._call(
            now,
            runner,
            subject,
            "log",
            lambda: (self._request_record(subject), _build_response_record(response, [])),
            result_validation.validate_log_fields,
            {},
        )

    # Arguments and limits of hooks --------------------------------------------------------------------------

    @staticmethod
    def _call(  # noqa: PLR0913  # the parameters of Runner.call
        now: float,
        runner: Runner,
        subject: HookSubject,
        point: str,
        arguments: Callable[[], tuple[Any, ...]],
        accept: Callable[[Any], HookResult],
        default: HookResult,
    ) -> HookResult:
        """Return the result of the hook at a point if `accept` accepts it; `default` if the hook fails."""
        route = subject.route
        return runner.call(now, point, route.customer_key, route.plan.name, arguments, accept, default)

    def _limits(self, route: RoutedRequest) -> result_validation.ResultLimits:
        key = route.request_class.name, route.units
        limits = self._limits_cache.get(key)
        if limits is None:  # the cache has at most one entry for each route
            limits = self._limits_cache[key] = self._build_limits(route)
        return limits

    def _build_limits(self, route: RoutedRequest) -> result_validation.ResultLimits:
        min_units = min(route.units, self._min_units) if self._has_min_units else route.units
        return result_validation.ResultLimits(
            self._allowed_classes[route.request_class.name],
            self._plans,
            self._customers,
            min_units,
            max(self._max_units, route.units),
            self._protected_headers,
        )

    def _request_record(self, subject: HookSubject) -> tuple[Any, ...]:
        """Return the Request record (see hooks.types), built once and reused until the request's route changes."""
        if subject.hook_record is None or subject.hook_record_route is not subject.route:
            subject.hook_record_route = subject.route
            subject.hook_record = self._build_request_record(subject)
        return subject.hook_record

    def _build_request_record(self, subject: HookSubject) -> tuple[Any, ...]:
        received, route = subject.received, subject.route
        host = language = accept = b""
        visible = []
        for name, value in received.headers:
            if name == b"host":
                host = host or value
            elif name == b"accept-language":
                language = language or value
            elif name == b"accept":
                accept = accept or value
            elif name in self._hidden_headers:
                continue
            visible.append((str(name, "latin-1"), str(value, "latin-1")))
        return (
            str(received.method, "latin-1"),
            origin_form(received.target),
            str(host, "latin-1"),
            route.customer_key,
            route.plan.name,
            route.request_class.name,
            float(route.units),
            _first_entry(language),
            _first_entry(accept),
            visible[:MAX_HOOK_HEADERS],
            (subject.arrived_at + self._epoch_ms) / MS_PER_S,
        )
