"""Derives from a request's head what the policy needs: class, customer, plan, units and deadline."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import unquote

from martenstep.config import door_pb2 as pb
from martenstep.config.policy_settings import build_plan, build_request_class, customer_id
from martenstep.policy import messages as api
from martenstep.proxy.dependencies import RoutedRequest, RouteRejection, UnauthenticatedRequest
from martenstep.proxy.engine_messages import Headers
from martenstep.proxy.headers import get_header, parse_path

ANONYMOUS_CUSTOMER = "anonymous"


@dataclass(frozen=True, slots=True)
class _Route:
    """One route of the settings."""

    methods: frozenset[bytes]  # empty: all methods
    path_prefix: str
    request_class: api.RequestClass
    units: float
    customer_header: bytes  # empty: `customer_segment` of the path names the customer
    customer_segment: int
    authenticate: bool
    fail_open: bool


class _Customer(NamedTuple):
    """One customer of the settings."""

    number: int
    plan: api.Plan
    instances: int
    first_instance: int


class GatewayRouteTable:
    """The routes and customers of the settings."""

    def __init__(self, gateway_settings: pb.Door) -> None:
        """The settings must define every class and plan that they refer to."""
        self.classes: Mapping[str, api.RequestClass] = {
            entry.name: build_request_class(entry) for entry in getattr(gateway_settings, "class")
        }
        self._plans = {entry.name: build_plan(entry) for entry in gateway_settings.plan}
        self._instances = gateway_settings.instances
        self._default_plan = self._plans.get(gateway_settings.default_plan)
        self._customers = {
            entry.key: _Customer(
                customer_id(entry.key),
                self._plans[entry.plan],
                entry.doors or gateway_settings.instances,
                entry.first_door,
            )
            for entry in gateway_settings.customer
        }
        self._routes = [self._make_route(entry) for entry in gateway_settings.route]
        self._deadline_header = gateway_settings.listener.deadline_header.lower().encode()

    def _make_route(self, entry: pb.Route) -> _Route:
        return _Route(
            frozenset(method.encode() for method in entry.method),
            entry.path_prefix,
            self.classes[getattr(entry, "class")],
            entry.units,
            entry.customer_header.lower().encode(),
            entry.customer_segment,
            entry.authenticate,
            entry.fail_open,
        )

    def route(
        self, method: bytes, target: bytes, headers: Headers
    ) -> RoutedRequest | UnauthenticatedRequest | RouteRejection:
        """Classify a request by the first route that matches its method and path."""
        path = parse_path(target)
        if path is None:
            return RouteRejection(400, "bad target")
        route = self._match(method, path)
        if route is None:
            return RouteRejection(404, "no route")
        if route.authenticate:
            return UnauthenticatedRequest(route.request_class, route.units, route.fail_open)
        if route.customer_header:
            value = get_header(headers, route.customer_header)
            customer_key = value.decode("latin-1").strip() if value else ""
        else:
            segments = path.split("/")
            has_segment = route.customer_segment < len(segments)
            customer_key = unquote(segments[route.customer_segment]) if has_segment else ""
        return self._resolve_customer(route.request_class, route.units, customer_key)

    def _match(self, method: bytes, path: str) -> _Route | None:
        for route in self._routes:
            if path.startswith(route.path_prefix) and (not route.methods or method in route.methods):
                return route
        return None

    def class_of_target(self, method: bytes, target: bytes) -> str | None:
        """Return the name of the request class of a target, or None if no route matches."""
        path = parse_path(target)
        route = self._match(method, path) if path is not None else None
        return route.request_class.name if route is not None else None

    def reclassify(
        self, routed: RoutedRequest, request_class: str, customer_key: str, plan: str, units: float
    ) -> RoutedRequest:
        """Return a request with another class, customer, plan or units; the settings must define each of them."""
        customer, instances, first_instance = routed.customer, routed.instances, routed.first_instance
        if customer_key != routed.customer_key:
            other = self._customers[customer_key]
            customer, instances, first_instance = other.number, other.instances, other.first_instance
            # The new customer's own plan, unless the hook chose one.
            plan = plan if plan != routed.plan.name else other.plan.name
        chosen = routed.plan if plan == routed.plan.name else self._plans[plan]
        return RoutedRequest(
            self.classes[request_class], chosen, customer, customer_key, units, instances, first_instance
        )

    def _resolve_customer(
        self,
        request_class: api.RequestClass,
        units: float,
        customer_key: str,
        plan: api.Plan | None = None,
    ) -> RoutedRequest | RouteRejection:
        """Route a request to a customer, under the customer's own plan unless `plan` is given."""
        if not customer_key:
            return RouteRejection(403, "no customer")
        customer = self._customers.get(customer_key)
        if customer is None:
            default_plan = plan or self._default_plan
            if default_plan is None:
                return RouteRejection(403, "unknown customer")
            customer = _Customer(customer_id(customer_key), default_plan, self._instances, 0)
        return RoutedRequest(
            request_class,
            plan or customer.plan,
            customer.number,
            customer_key,
            units,
            customer.instances,
            customer.first_instance,
        )

    def identify(
        self, unauthenticated: UnauthenticatedRequest, customer_key: str, plan: str
    ) -> RoutedRequest | RouteRejection:
        """Route a request after an authentication service has named its customer.

        An unknown plan is a fault of the service: the request is rejected, not admitted under another plan.
        """
        named_plan = self._plans.get(plan) if plan else None
        if plan and named_plan is None:
            return RouteRejection(502, "unknown plan")
        return self._resolve_customer(unauthenticated.request_class, unauthenticated.units, customer_key, named_plan)

    def anonymous(self, unauthenticated: UnauthenticatedRequest) -> RoutedRequest | RouteRejection:
        """Route a request that is admitted without a verdict of an authentication service."""
        return self._resolve_customer(unauthenticated.request_class, unauthenticated.units, ANONYMOUS_CUSTOMER)

    def deadline_ms(self, request_class: api.RequestClass, headers: Headers) -> float | None:
        """Return the smaller of the class's and the header's deadline; None if the header is not a number above 0."""
        value = get_header(headers, self._deadline_header)
        if value is None:
            return request_class.deadline_ms
        try:
            requested_ms = float(value)
        except ValueError:
            return None
        return min(requested_ms, request_class.deadline_ms) if 0 < requested_ms < math.inf else None
