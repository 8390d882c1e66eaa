"""Where hooks act on a request: what each is given, and what becomes of what it gives.

No I/O.  The bounds come from the settings; `hooks.border` holds what a hook gives within them.
"""

from __future__ import annotations

from typing import Any, Protocol

from martenstep.config import door_pb2 as pb
from martenstep.hooks import border
from martenstep.hooks.runner import Runner
from martenstep.proxy.dependencies import RoutedRequest
from martenstep.proxy.engine_messages import Headers, RequestReceived
from martenstep.proxy.headers import encode_headers, parse_path
from martenstep.proxy.route_table import Routes

# A hook reads no credential; the settings name more of them.
SECRET = frozenset((b"authorization", b"cookie", b"proxy-authorization"))
MOST_GIVEN = 100  # headers that a hook is given
DEFAULT_BODY = "text/plain"


def origin_form(target: bytes) -> str:
    """A target from its path on, with the query."""
    if target[:1] != b"/":
        target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
    return target.partition(b"#")[0].decode("latin-1")


def _first(value: bytes) -> str:
    """The first entry of a list in a header, without its parameters."""
    return str(value.partition(b",")[0].partition(b";")[0].strip(), "latin-1") if value else ""


class Subject(Protocol):
    """A request, as far as hooks have to do with it."""

    head: RequestReceived
    routed: RoutedRequest
    arrived: float
    shown: tuple[Any, ...] | None  # the record that hooks were given last,
    shown_as: RoutedRequest | None  # and what it was then


class Points:
    """The five points of one door."""

    def __init__(self, door: pb.Door, routes: Routes, secret: set[bytes], kept: set[bytes], epoch_ms: float) -> None:
        """`secret` headers are not shown to hooks, `kept` ones not set by them; `epoch_ms` turns the engine's clock
        into Unix time."""
        told = door.hooks
        self._routes, self._epoch_ms = routes, epoch_ms
        self._secret = SECRET | secret
        self._least, self._most = told.least_units, told.most_units or door.max_units
        self._own_least = not told.HasField("least_units")
        self._plans, self._customers = frozenset(told.plan), frozenset(told.customer)
        self._prefixes = tuple(told.path_prefix)
        self._kept = border.KEPT_HEADERS | {name.decode("latin-1").replace("_", "-") for name in secret | kept}
        classes = routes.classes
        self._known: dict[tuple[str, float], border.Bounds] = {}
        self._classes = {
            name: frozenset(other for other in getattr(told, "class") if border.may_become(cls, classes[other]))
            for name, cls in classes.items()
        }

    def _bounds(self, routed: RoutedRequest) -> border.Bounds:
        found = self._known.get((routed.request_class.name, routed.units))
        if found is None:  # as many as there are routes
            found = self._known[routed.request_class.name, routed.units] = self._bounds_of(routed)
        return found

    def _bounds_of(self, routed: RoutedRequest) -> border.Bounds:
        least = min(routed.units, self._least) if not self._own_least else routed.units
        return border.Bounds(
            self._classes[routed.request_class.name],
            self._plans,
            self._customers,
            least,
            max(self._most, routed.units),
            self._kept,
        )

    def _request(self, subject: Subject) -> tuple[Any, ...]:
        """The Request record (see hooks.types), made once for all points as long as the request stays where it is."""
        routed = subject.routed
        if subject.shown is None or subject.shown_as is not routed:
            head = subject.head
            host = language = accept = b""
            shown = []
            for name, value in head.headers:
                if name == b"host":
                    host = host or value
                elif name == b"accept-language":
                    language = language or value
                elif name == b"accept":
                    accept = accept or value
                elif name in self._secret:
                    continue
                shown.append((str(name, "latin-1"), str(value, "latin-1")))
            subject.shown_as = routed
            subject.shown = (
                str(head.method, "latin-1"),
                origin_form(head.target),
                str(host, "latin-1"),
                routed.customer_key,
                routed.plan.name,
                routed.request_class.name,
                float(routed.units),
                _first(language),
                _first(accept),
                shown[:MOST_GIVEN],
                (subject.arrived + self._epoch_ms) / 1000.0,
            )
        return subject.shown

    def classify(self, now: float, runner: Runner, subject: Subject) -> RoutedRequest:
        """Class, customer, plan and units."""
        routed = subject.routed
        before = border.Placed(routed.request_class.name, routed.customer_key, routed.plan.name, routed.units)
        bounds = self._bounds(routed)
        placed = runner.call(
            now,
            "classify",
            routed.customer_key,
            routed.plan.name,
            lambda: (self._request(subject),),
            lambda made: border.placed(made, before, bounds),
            before,
        )
        return (
            routed
            if placed == before
            else self._routes.placed(routed, placed.cls, placed.customer, placed.plan, placed.units)
        )

    def sending(self, now: float, runner: Runner, subject: Subject) -> tuple[bytes, Headers]:
        """Target and headers of what goes to a server: the same at each attempt, so it is asked for once."""
        head, routed = subject.head, subject.routed
        bounds, before = self._bounds(routed), origin_form(head.target)

        def take(made: Any) -> tuple[bytes, Headers]:
            path, given = border.sending(made, before, bounds)
            if path == before:
                return head.target, encode_headers(given)
            target = path.encode("latin-1")
            # A path of another class could be one whose repeats do what this one's may not.
            if parse_path(target) is None or (
                not path.startswith(self._prefixes)
                and self._routes.class_at(head.method, target) != routed.request_class.name
            ):
                raise border.BorderError(f"path {path[:64]!r}: is of another class, and below no path_prefix")
            return target, encode_headers(given)

        own: tuple[bytes, Headers] = head.target, []
        return runner.call(
            now, "sending", routed.customer_key, routed.plan.name, lambda: (self._request(subject),), take, own
        )

    def refusal(
        self, now: float, runner: Runner, subject: Subject, status: int, reason: str, wait_ms: float
    ) -> border.Words | None:
        """A refusal's words; None: the door's own."""
        routed = subject.routed
        bounds = self._bounds(routed)

        def take(made: Any) -> border.Words | None:
            body, kind, retry, given = made
            return border.words((body, kind or DEFAULT_BODY, retry, given), wait_ms, bounds)

        return runner.call(
            now,
            "refusal",
            routed.customer_key,
            routed.plan.name,
            lambda: (self._request(subject), (float(status), reason, wait_ms)),
            take,
            None,
        )

    def answer(
        self, now: float, runner: Runner, subject: Subject, status: int, attempts: int, took_ms: float, headers: Headers
    ) -> Headers:
        """Headers that a served answer gets besides."""
        routed = subject.routed
        bounds = self._bounds(routed)
        return runner.call(
            now,
            "answer",
            routed.customer_key,
            routed.plan.name,
            lambda: (self._request(subject), (float(status), float(attempts), took_ms, self._shown(headers))),
            lambda made: encode_headers(border.headers(made, bounds)),
            [],
        )

    def fields(
        self, now: float, runner: Runner, subject: Subject, status: int, attempts: int, took_ms: float
    ) -> dict[str, str]:
        """Fields of the answer's line."""
        routed = subject.routed
        return runner.call(
            now,
            "log",
            routed.customer_key,
            routed.plan.name,
            lambda: (self._request(subject), (float(status), float(attempts), took_ms, [])),
            border.log_fields,
            {},
        )

    def _shown(self, headers: Headers) -> list[tuple[str, str]]:
        return [
            (str(name, "latin-1"), str(value, "latin-1"))
            for name, value in headers[:MOST_GIVEN]
            if name != b"set-cookie"
        ]
