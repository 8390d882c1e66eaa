"""A door whose quota is kept by another limiter than the module."""

from __future__ import annotations

from typing import Any

from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import customers_of
from martenstep.lab.emulate.doors import EmuDoor
from martenstep.lab.emulate.limiters import Buckets, share
from martenstep.lab.emulate.net import Pipe
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.headers import get_header, local_reply

CLOSED_WAIT_MS = 200.0  # retry-after where the store does not answer and nothing passes without it


class LimitedDoor(EmuDoor):
    """Asks a limiter first; what it admits goes to the engine as of a plan without a quota."""

    def __init__(self, day: pb.Day, central: Buckets, *words: Any) -> None:
        self._kind, self._timeout, self._call_ms = day.limiter, day.store_timeout_ms, day.store_call_ms
        self._own, self._central = Buckets(), central
        self._plans = {plan.name: plan for plan in day.plan}
        self._known = {
            customer.key: (customer.plan, len(customer.gateways)) for group in customers_of(day) for customer in group
        }
        self._units = {getattr(work, "class"): work.units for work in day.work}
        self._default = day.customers[0].plan
        super().__init__(*words)

    def _arrived(self, request_id: int, method: bytes, target: bytes, headers: ev.Headers) -> None:
        if request_id not in self._callers or not self.alive:
            return
        customer = (get_header(headers, b"x-customer") or b"").decode()
        plan_name, doors = self._known.get(customer, (self._default, self.settings.instances))
        plan = self._plans[plan_name]
        units = self._units[target.decode().split("/")[1]]
        event = ev.RequestReceived(request_id, method, target, headers, "127.0.0.1")
        if plan.rate <= 0:
            self.act(event)
        elif self._kind.startswith("central"):
            self._ask(event, customer, plan, units)
        else:
            part = share(self._kind, doors)
            wait = self._own.take(self._sim.now, customer, plan.rate * part, max(plan.burst * part, units), units)
            self._decided(event, wait)

    def _ask(self, event: ev.RequestReceived, customer: str, plan: Any, units: float) -> None:
        """One bucket for all, in the store; without an answer in time the request passes, or does not."""
        done = [False]

        def answer(wait: float) -> None:
            if not done[0]:
                done[0] = True
                self._decided(event, wait)

        forth, back = Pipe(self._net, self.place, self._store_place), Pipe(self._net, self._store_place, self.place)
        forth.send(self._at_central, customer, plan, units, back, answer, size=120)
        late = 0.0 if self._kind.endswith("open") else CLOSED_WAIT_MS
        self._sim.after(self._timeout, answer, late)

    def _at_central(self, customer: str, plan: Any, units: float, back: Pipe, answer: Any) -> None:
        redis = self._redis
        assert redis is not None
        if redis.down or redis.hangs or redis.error:
            return
        leaves = redis.serve(self._call_ms)
        redis.calls += 1
        wait = self._central.take(self._sim.now, customer, plan.rate, plan.burst, units)
        self._sim.at(leaves, lambda: back.send(answer, wait, size=60))

    def _decided(self, event: ev.RequestReceived, wait: float) -> None:
        if wait <= 0:
            self.act(event)
            return
        caller = self._callers.pop(event.request_id, None)
        if caller is not None:
            self.answers["quota"] = self.answers.get("quota", 0) + 1
            headers, body = local_reply("quota", "", min(wait, self.settings.max_retry_after_ms))
            caller.pipe.send(caller.reply, 429, headers, True, size=len(body) + 300)
