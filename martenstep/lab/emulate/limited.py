"""A gateway whose quotas are enforced by an alternative limiter instead of the engine's own."""

from __future__ import annotations

from typing import Any

from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import customers_of
from martenstep.lab.emulate.doors import EmulatedGateway
from martenstep.lab.emulate.limiters import CustomerBuckets, bucket_share
from martenstep.lab.emulate.net import Pipe
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.headers import get_header, local_reply

CLOSED_WAIT_MS = 200.0  # retry-after if the store does not reply and the limiter fails closed


class LimitedGateway(EmulatedGateway):
    """Asks the limiter first; the engine then handles an admitted request as of a plan without a quota."""

    def __init__(self, scenario: pb.Day, central: CustomerBuckets, *arguments: Any) -> None:
        self._limiter, self._timeout_ms, self._call_ms = (
            scenario.limiter,
            scenario.store_timeout_ms,
            scenario.store_call_ms,
        )
        self._own_buckets, self._central_buckets = CustomerBuckets(), central
        self._plans = {plan.name: plan for plan in scenario.plan}
        self._customers = {
            customer.key: (customer.plan, len(customer.gateways))
            for group in customers_of(scenario)
            for customer in group
        }
        self._units = {getattr(work, "class"): work.units for work in scenario.work}
        self._default_plan = scenario.customers[0].plan
        super().__init__(*arguments)

    def _process_request(self, request_id: int, method: bytes, target: bytes, headers: ev.Headers) -> None:
        if request_id not in self._client_connections or not self.alive:
            return
        customer = (get_header(headers, b"x-customer") or b"").decode()
        plan_name, gateways = self._customers.get(customer, (self._default_plan, self.settings.instances))
        plan = self._plans[plan_name]
        units = self._units[target.decode().split("/")[1]]
        event = ev.RequestReceived(request_id, method, target, headers, "127.0.0.1")
        if plan.rate <= 0:
            self.handle_event(event)
        elif self._limiter.startswith("central"):
            self._ask_central(event, customer, plan, units)
        else:
            share = bucket_share(self._limiter, gateways)
            wait = self._own_buckets.take(
                self._sim.now, customer, plan.rate * share, max(plan.burst * share, units), units
            )
            self._apply_decision(event, wait)

    def _ask_central(self, event: ev.RequestReceived, customer: str, plan: Any, units: float) -> None:
        """Ask the store's central bucket; without a reply in time the limiter fails open or closed."""
        decided = [False]

        def answer(wait: float) -> None:
            if not decided[0]:
                decided[0] = True
                self._apply_decision(event, wait)

        to_store, to_gateway = (
            Pipe(self._net, self.location, self._store_location),
            Pipe(self._net, self._store_location, self.location),
        )
        to_store.send(self._central_received, customer, plan, units, to_gateway, answer, size=120)
        timeout_wait_ms = 0.0 if self._limiter.endswith("open") else CLOSED_WAIT_MS
        self._sim.after(self._timeout_ms, answer, timeout_wait_ms)

    def _central_received(self, customer: str, plan: Any, units: float, to_gateway: Pipe, answer: Any) -> None:
        redis = self._redis
        assert redis is not None
        if redis.down or redis.hangs or redis.error:
            return
        replies_at = redis.occupy(self._call_ms)
        redis.calls += 1
        wait = self._central_buckets.take(self._sim.now, customer, plan.rate, plan.burst, units)
        self._sim.at(replies_at, lambda: to_gateway.send(answer, wait, size=60))

    def _apply_decision(self, event: ev.RequestReceived, wait: float) -> None:
        if wait <= 0:
            self.handle_event(event)
            return
        client = self._client_connections.pop(event.request_id, None)
        if client is not None:
            self.reason_counts["quota"] = self.reason_counts.get("quota", 0) + 1
            headers, body = local_reply("quota", "", min(wait, self.settings.max_retry_after_ms))
            client.pipe.send(client.reply, 429, headers, True, size=len(body) + 300)
