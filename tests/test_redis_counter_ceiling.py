"""Several gateways over one simulated store in virtual time, with faults of the store.

No customer exceeds its ceiling and slack, and the store's totals are the sums of the units that were answered as added.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass, replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.policy import messages as api
from martenstep.policy.counter_period import KEY_LIFETIME_PERIODS
from martenstep.policy.gateway import Gateway
from martenstep.redis_counter import messages
from martenstep.redis_counter.messages import Action, AnswerCall
from martenstep.redis_counter.replies import ReplyHandler
from tests.policy_events import CAPPED, SETTINGS, endpoint
from tests.redis_counter_world import CounterSimulator

GATEWAYS, CUSTOMERS, STEP_MS = 3, 2, 2.0
FAULT_KINDS = (
    "paused",
    "data lost",
    "older copy restored",
    "connections broken",
    "loading",
    "connections refused",
    "keys evicted",
    "none",
)
MAX_CLOCK_STEP_DELAY_MS = 150.0  # a gateway observes a step of the wall clock within this time


class CeilingSimulator(CounterSimulator):
    """The counter simulator with a gateway for each core; every message takes one step, unless the store is paused."""

    def __init__(self, seed: int, gateways: int = GATEWAYS, plan: api.Plan = CAPPED, scripts: bool = True) -> None:
        super().__init__(gateways, scripts=scripts, seed=seed)
        self.check_totals = False
        self.plan = plan
        self._clock_step_delays = random.Random(seed)
        self.clock_offset_ms = 0.0  # of the wall clock from the simulated time
        self.gateways = [self._start_gateway(number, seed + number) for number in range(gateways)]
        self.event_numbers = itertools.count()
        self.scheduled: list[tuple[float, int, int, Any]] = []
        self.sent: dict[int, list[float]] = {customer: [] for customer in range(CUSTOMERS)}
        self.requests: dict[str, int] = {}
        self.decided: set[str] = set()  # requests that were sent or rejected

    def _start_gateway(self, number: int, seed: int) -> Gateway:
        """Create a gateway that has received its endpoint list and no request."""
        gateway = Gateway(
            replace(SETTINGS, instance=number, instances=len(self.cores), max_units=1.0, plans=(self.plan,)), seed
        )
        gateway.handle(
            self.now, api.EndpointListUpdate(api.EndpointListScope.CACHED, tuple(endpoint(n) for n in range(1, 13)))
        )
        gateway.handle(self.now, api.ClockStepped(self.clock_offset_ms))
        return gateway

    def step_clock(self, by_ms: float) -> None:
        """Step the wall clock; each gateway observes the step after a random delay."""
        self.clock_offset_ms += by_ms
        for gateway in range(len(self.gateways)):
            observed_at = self.now + self._clock_step_delays.uniform(0.0, MAX_CLOCK_STEP_DELAY_MS)
            self._schedule(observed_at, gateway, api.ClockStepped(self.clock_offset_ms))

    def restart(self, gateway: int) -> None:
        """Restart a gateway with its core; it loses its state and its scheduled events."""
        self.gateways[gateway] = self._start_gateway(gateway, self.epochs[gateway] * 7919 + gateway)
        self.scheduled = [entry for entry in self.scheduled if entry[2] != gateway]
        heapq.heapify(self.scheduled)
        super().restart(gateway)

    def request(self, gateway: int, customer: int) -> None:
        """Make one request of a customer to a gateway."""
        request_id = f"r{len(self.requests)}"
        self.requests[request_id] = customer
        self.handle(gateway, api.Request(request_id, "read", self.plan.name, customer, 4000.0, 1.0, len(self.cores)))

    def handle(self, gateway: int, event: Any) -> None:
        """Let a gateway handle an event, and perform its actions."""
        for action in self.gateways[gateway].handle(self.now, event):
            match action:
                case api.IncrementCounter():
                    self.add(gateway, action.key, action.units, action.expire_ms, action.bounds_ceiling)
                case api.StartAttempt():
                    if action.id not in self.decided:
                        self.decided.add(action.id)
                        self.sent[self.requests[action.id]].append(self.now)
                    self._schedule(
                        self.now + 20.0,
                        gateway,
                        api.AttemptEnded(action.id, 0, action.endpoint, api.CallResult.OK, 20.0, True),
                    )
                case api.Reject():
                    self.decided.add(action.id)
                case api.SetTimer():
                    self._schedule(action.at_ms, gateway, api.TimerFired(action.token))

    def step(self, paused: bool) -> None:
        """Advance by one step; unless the store is paused, all messages in transit are delivered."""
        self.advance_time(STEP_MS)
        while self.scheduled and self.scheduled[0][0] <= self.now:
            _, _, gateway, event = heapq.heappop(self.scheduled)
            if isinstance(event, api.ClockStepped):  # the gateway reads the clock now: it may have been stepped again
                event = api.ClockStepped(self.clock_offset_ms)
            self.handle(gateway, event)
        if not paused:
            self.deliver_all()

    def _schedule(self, at: float, gateway: int, event: Any) -> None:
        heapq.heappush(self.scheduled, (at, next(self.event_numbers), gateway, event))

    def _perform(self, gateway: int, action: Action) -> None:
        super()._perform(gateway, action)
        if isinstance(action, AnswerCall):
            _, key, _, called_at = self.calls[action.call]
            self.handle(
                gateway,
                api.CounterReply(key, action.result, self.now - called_at, action.total, action.retained_ms),
            )


@dataclass(frozen=True)
class Fault:
    """A fault of the store, its duration, and the time without a fault that follows."""

    kind: str
    duration_ms: float
    recovery_ms: float


FAULTS = st.lists(
    st.builds(
        Fault, st.sampled_from(FAULT_KINDS), st.sampled_from((40.0, 300.0, 2000.0)), st.sampled_from((600.0, 1500.0))
    ),
    min_size=1,
    max_size=4,
)


def run_faults(faults: list[Fault], seed: int) -> CeilingSimulator:
    """Run the faults in order, with requests far beyond the ceilings through all gateways."""
    simulator, rng = CeilingSimulator(seed), random.Random(seed)
    copy = simulator.copy_contents()

    def run(ms: float, paused: bool) -> None:
        for _ in range(int(ms / STEP_MS)):
            for customer in range(CUSTOMERS):
                if rng.random() < 0.06:  # 30 requests/s for each customer; the plan allows 5 and the ceiling 11
                    simulator.request(rng.randrange(GATEWAYS), customer)
            simulator.step(paused)

    run(1200.0, False)
    for fault in faults:
        match fault.kind:
            case "data lost":
                simulator.keyspace.empty()
            case "older copy restored":
                simulator.restore_contents(copy)
            case "keys evicted":
                for _, key, _, _ in list(simulator.keyspace.contents())[:2]:
                    simulator.keyspace.run(simulator.session, simulator.now, [b"DEL", key])
            case "connections broken":
                for connection in list(simulator.connections):
                    simulator.break_connection(connection)
            case "loading":
                simulator.store_error = "LOADING Redis is loading"
            case "connections refused":
                simulator.refuses_connections = True
                for connection in list(simulator.connections):
                    simulator.break_connection(connection)
        run(fault.duration_ms, fault.kind == "paused")
        simulator.store_error, simulator.refuses_connections = "", False
        copy = simulator.copy_contents()
        run(fault.recovery_ms, False)
    return simulator


def max_excess(times: list[float], plan: api.Plan = CAPPED) -> float:
    """Return by how many units at most the requests sent at the given times exceeded the ceiling."""
    available, last, excess = plan.ceiling_burst, -math.inf, 0.0
    for at in times:
        available = min(available + (at - last) * plan.ceiling_rate / 1000, plan.ceiling_burst) - 1.0
        last, excess = at, max(excess, -available)
    return excess


@given(FAULTS, st.integers(0, 1000))
@hypo(max_examples=25, deadline=None, derandomize=True)
def test_no_customer_exceeds_its_ceiling_and_each_add_counts_once(faults: list[Fault], seed: int) -> None:
    simulator = run_faults(faults, seed)
    for times in simulator.sent.values():
        assert max_excess(times) <= CAPPED.ceiling_slack
    assert len(simulator.sent[0]) > 5  # requests were sent
    simulator.settle()
    assert simulator.answers.keys() == simulator.calls.keys()
    first_call: dict[int, float] = {}
    for _, key, _, called_at in simulator.calls.values():
        first_call.setdefault(key, called_at)
    lifetime_ms = KEY_LIFETIME_PERIODS * 1000.0
    present = [key for key, called_at in first_call.items() if called_at + lifetime_ms > simulator.now + 100.0]
    for key in present:  # other keys have expired, or were created again by a late statement and are not read
        expected = simulator.units_answered(key, api.CallResult.OK, api.CallResult.TIMEOUT)
        assert simulator.stored_total(key) == pytest.approx(expected, abs=1e-6)
    assert present


def test_gateways_that_count_only_their_own_units_exceed_the_ceiling() -> None:
    """The check of ceilings fails if the totals omit the units of the other gateways."""
    assert max_excess([0.0] * 11) == 0 and max_excess([0.0] * 14) == 3
    with pytest.MonkeyPatch.context() as patch:
        on_reply = ReplyHandler.on_reply

        def own_units_only(
            self: ReplyHandler,
            now_ms: float,
            connection: Any,
            operation: messages.Operation,
            reply: messages.StatementReply,
        ) -> None:
            own = messages.StatementReply(operation.total, reply.previous_version)
            on_reply(self, now_ms, connection, operation, own)

        patch.setattr(ReplyHandler, "on_reply", own_units_only)
        simulator = run_faults([Fault("none", 2000.0, 600.0)], 1)
    assert max(max_excess(times) for times in simulator.sent.values()) > CAPPED.ceiling_slack
