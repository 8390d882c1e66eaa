"""From a request's head to what the module is told of it: class, customer, plan, units, deadline."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import unquote

from martenstep.config import door_pb2 as pb
from martenstep.config.settings import class_of, customer_id, plan_of
from martenstep.policy import messages as api
from martenstep.proxy.dependencies import RoutedRequest, RouteRejection, UnauthenticatedRequest
from martenstep.proxy.engine_messages import Headers
from martenstep.proxy.headers import get_header, parse_path


@dataclass(frozen=True, slots=True)
class _Rule:
    methods: frozenset[bytes]
    prefix: str
    cls: api.RequestClass
    units: float
    header: bytes
    segment: int
    authenticate: bool
    fail_open: bool


class Routes:
    """The route table and the customers, as the settings give them."""

    def __init__(self, door: pb.Door) -> None:
        self._classes = {entry.name: class_of(entry) for entry in getattr(door, "class")}
        self._plans = {entry.name: plan_of(entry) for entry in door.plan}
        self._doors = door.instances
        self._default = self._plans.get(door.default_plan)
        self._customers: dict[str, tuple[int, api.Plan, int, int]] = {
            entry.key: (
                customer_id(entry.key),
                self._plans[entry.plan],
                entry.doors or door.instances,
                entry.first_door,
            )
            for entry in door.customer
        }
        self._rules = [
            _Rule(
                frozenset(method.encode() for method in entry.method),
                entry.path_prefix,
                self._classes[getattr(entry, "class")],
                entry.units,
                entry.customer_header.lower().encode(),
                entry.customer_segment,
                entry.authenticate,
                entry.fail_open,
            )
            for entry in door.route
        ]
        self.classes: Mapping[str, api.RequestClass] = self._classes
        self._deadline = door.listener.deadline_header.lower().encode()

    def route(
        self, method: bytes, target: bytes, headers: Headers
    ) -> RoutedRequest | UnauthenticatedRequest | RouteRejection:
        """The first rule that fits decides."""
        path = parse_path(target)
        if path is None:
            return RouteRejection(400, "bad target")
        rule = self._rule(method, path)
        if rule is None:
            return RouteRejection(404, "no route")
        if rule.authenticate:
            return UnauthenticatedRequest(rule.cls, rule.units, rule.fail_open)
        if rule.header:
            value = get_header(headers, rule.header)
            key = value.decode("latin-1").strip() if value else ""
        else:
            parts = path.split("/")
            key = unquote(parts[rule.segment]) if rule.segment < len(parts) else ""
        return self._of(rule.cls, rule.units, key)

    def _rule(self, method: bytes, path: str) -> _Rule | None:
        for rule in self._rules:
            if path.startswith(rule.prefix) and (not rule.methods or method in rule.methods):
                return rule
        return None

    def class_at(self, method: bytes, target: bytes) -> str | None:
        """The class of requests to a target; None where none fits."""
        path = parse_path(target)
        rule = self._rule(method, path) if path is not None else None
        return rule.cls.name if rule is not None else None

    def placed(self, routed: RoutedRequest, cls: str, key: str, plan: str, units: float) -> RoutedRequest:
        """A request under another class, customer, plan or units, each one that the settings know."""
        customer, spread, first = routed.customer, routed.instances, routed.first_instance
        if key != routed.customer_key:
            customer, own, spread, first = self._customers[key]
            plan = plan if plan != routed.plan.name else own.name  # the other customer's own, unless one was chosen
        chosen = routed.plan if plan == routed.plan.name else self._plans[plan]
        return RoutedRequest(self._classes[cls], chosen, customer, key, units, spread, first)

    def _of(
        self, cls: api.RequestClass, units: float, key: str, named: api.Plan | None = None
    ) -> RoutedRequest | RouteRejection:
        if not key:
            return RouteRejection(403, "no customer")
        known = self._customers.get(key)
        if known is None:
            fallback = named or self._default
            if fallback is None:
                return RouteRejection(403, "unknown customer")
            known = customer_id(key), fallback, self._doors, 0
        number, plan, spread, first = known
        return RoutedRequest(cls, named or plan, number, key, units, spread, first)

    def identify(self, guarded: UnauthenticatedRequest, key: str, plan: str) -> RoutedRequest | RouteRejection:
        """A guarded request, once a service has told who its customer is; a plan that is not known is the service's
        fault, and the request fails rather than pass under another."""
        named = self._plans.get(plan) if plan else None
        if plan and named is None:
            return RouteRejection(502, "unknown plan")
        return self._of(guarded.request_class, guarded.units, key, named)

    def anonymous(self, guarded: UnauthenticatedRequest) -> RoutedRequest | RouteRejection:
        """A guarded request that passes without a verdict."""
        return self._of(guarded.request_class, guarded.units, "anonymous")

    def deadline_ms(self, cls: api.RequestClass, headers: Headers) -> float | None:
        """The least of the class's deadline and the one a header asks for; None where that is no figure."""
        value = get_header(headers, self._deadline)
        if value is None:
            return cls.deadline_ms
        try:
            asked = float(value)
        except ValueError:
            return None
        return min(asked, cls.deadline_ms) if 0 < asked < math.inf else None
