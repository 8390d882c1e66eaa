"""From a request's head to what the module is told of it: class, customer, plan, units, deadline."""

from __future__ import annotations

import math
from dataclasses import dataclass
from urllib.parse import unquote

from martenstep import interface as api
from martenstep.config import door_pb2 as pb
from martenstep.config.settings import class_of, customer_id, plan_of
from martenstep.door.events import Headers
from martenstep.door.http import header, path_of


@dataclass(slots=True)
class Routed:
    """Where a request belongs."""

    cls: api.RequestClass
    plan: api.Plan
    customer: int
    key: str
    units: float
    spread: int
    first: int


@dataclass(frozen=True, slots=True)
class Unroutable:
    """Why it belongs nowhere: a status and a reason."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class _Rule:
    methods: frozenset[bytes]
    prefix: str
    cls: api.RequestClass
    units: float
    header: bytes
    segment: int


class Routes:
    """The route table and the customers, as the settings give them."""

    def __init__(self, door: pb.Door) -> None:
        self._classes = {entry.name: class_of(entry) for entry in getattr(door, "class")}
        self._plans = {entry.name: plan_of(entry) for entry in door.plan}
        self._doors = door.instances
        self._default = self._plans.get(door.default_plan)
        self._customers = {
            entry.key: (customer_id(entry.key), self._plans[entry.plan], entry.doors or door.instances,
                        entry.first_door)
            for entry in door.customer
        }
        self._rules = [
            _Rule(frozenset(method.encode() for method in entry.method), entry.path_prefix,
                  self._classes[getattr(entry, "class")], entry.units,
                  entry.customer_header.lower().encode(), entry.customer_segment)
            for entry in door.route
        ]
        self._deadline = door.listener.deadline_header.lower().encode()

    def route(self, method: bytes, target: bytes, headers: Headers) -> Routed | Unroutable:
        """The first rule that fits decides."""
        path = path_of(target)
        if path is None:
            return Unroutable(400, "bad target")
        for rule in self._rules:
            if path.startswith(rule.prefix) and (not rule.methods or method in rule.methods):
                break
        else:
            return Unroutable(404, "no route")
        if rule.header:
            value = header(headers, rule.header)
            key = value.decode("latin-1").strip() if value else ""
        else:
            parts = path.split("/")
            key = unquote(parts[rule.segment]) if rule.segment < len(parts) else ""
        if not key:
            return Unroutable(403, "no customer")
        known = self._customers.get(key)
        if known is None:
            if self._default is None:
                return Unroutable(403, "unknown customer")
            known = customer_id(key), self._default, self._doors, 0
        number, plan, spread, first = known
        return Routed(rule.cls, plan, number, key, rule.units, spread, first)

    def deadline_ms(self, cls: api.RequestClass, headers: Headers) -> float | None:
        """The least of the class's deadline and the one a header asks for; None where that is no figure."""
        value = header(headers, self._deadline)
        if value is None:
            return cls.deadline_ms
        try:
            asked = float(value)
        except ValueError:
            return None
        return min(asked, cls.deadline_ms) if 0 < asked < math.inf else None
