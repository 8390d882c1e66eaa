"""A seeded simulation of the endpoints, counter, clients and clock of one gateway, for the trace of its decisions."""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from dataclasses import dataclass

from martenstep import Gateway
from martenstep.policy import messages as api

BLOCK = 100  # events per digest
READ = api.RequestClass("read", 400.0, 2500.0, api.Idempotency.IDEMPOTENT)
WRITE_ZONE = api.RequestClass("write-zone", 600.0, 3000.0, api.Idempotency.KEYED, api.DeduplicationScope.ZONE, 1500.0)
WRITE_CELL = api.RequestClass(
    "write-cell", 600.0, 3000.0, api.Idempotency.KEYED, api.DeduplicationScope.CELL, 1500.0, 2.0
)
WRITE_ALL = api.RequestClass("write-all", 600.0, 3000.0, api.Idempotency.KEYED, api.DeduplicationScope.ALL, 2500.0)
PAY = api.RequestClass("pay", 800.0, 4000.0, api.Idempotency.AT_MOST_ONCE, late_value_share=0.3)
CLASSES = (READ, WRITE_ZONE, WRITE_CELL, WRITE_ALL, PAY)


@dataclass(frozen=True)
class Scenario:
    """One simulation: the gateway's settings, the requests, and the behaviour of the endpoints and the counter."""

    name: str
    seed: int
    settings: api.Settings
    plans: tuple[str, ...]
    endpoints: int
    requests_per_s: float
    customers: int
    latency_ms: float
    error_share: float  # share of attempts that do not succeed
    list_every_ms: float
    counter_ms: float = 3.0
    counter_fault_share: float = 0.0
    clock_step_every_ms: float = math.inf
    events: int = 1500
    strays: bool = False  # events arrive that match no request, attempt, call or timer of the gateway


def trace_line(action: api.Action) -> str:
    """Return one action as a line with all its fields, floats to the last digit."""
    match action:
        case api.StartAttempt():
            return f"send {action.id} {action.endpoint} {action.timeout_ms!r} {action.over_quota}"
        case api.Reject():
            reason = list(api.RejectionReason).index(action.reason)
            return f"reject {action.id} {action.retry_after_ms!r} {reason}"
        case api.Fail():
            return f"fail {action.id}"
        case api.IncrementCounter():
            return f"count {action.key} {action.units!r} {action.expire_ms!r} {action.bounds_ceiling}"
        case api.SetTimer():
            return f"timer {action.at_ms!r} {action.token}"
        case api.CancelAttempt():
            return f"cancel {action.id} {action.attempt}"
        case api.HealthCheck():
            return f"probe {action.endpoint}"
        case api.Subscribe():
            return "subscribe"
        case api.Log():
            return f"log {action.text}"


class World:
    """The endpoints, counter, clients and clock of one gateway; one seed determines all random draws."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.gateway = Gateway(scenario.settings, scenario.seed * 31)
        self.now = 10_000.0
        self.queue: list[tuple[float, int, api.Event]] = []
        self.sequence = 0
        self.requests = 0
        self.attempts: dict[str, int] = {}  # number of the last attempt, by request
        self.running: dict[tuple[str, int], tuple[float, int]] = {}  # start time and endpoint, by attempt
        self.totals: dict[int, float] = {}
        self.started = [0.0] * scenario.endpoints
        self.states = [api.EndpointState.UP] * scenario.endpoints
        self.latency_factors = [self.rng.uniform(0.5, 2.5) for _ in range(scenario.endpoints)]
        self.lines: list[str] = []

    def schedule(self, delay_ms: float, event: api.Event) -> None:
        """Schedule an event."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay_ms, self.sequence, event))

    def endpoint(self, number: int) -> api.Endpoint:
        """Return an endpoint's entry in a list."""
        zone, kind = "ab"[number % 2], ("std", "big")[number % 3 == 0]
        size = 1.0 + number % 3 * 0.5 if self.scenario.settings.has_capacity_weights else 1.0
        return api.Endpoint(number + 1, zone, kind, number % 4, self.states[number], size, self.started[number])

    def listed_endpoints(self) -> tuple[api.Endpoint, ...]:
        """Return the full list, without removed endpoints."""
        entries = [self.endpoint(number) for number in range(self.scenario.endpoints)]
        return tuple(entry for entry in entries if entry.state is not api.EndpointState.REMOVED)

    def next_list(self) -> api.EndpointListUpdate:
        """Remove, drain or restart some endpoints, and return a delta, a full list or the loss of the list."""
        changed = [self.rng.randrange(self.scenario.endpoints) for _ in range(self.rng.randrange(1, 4))]
        for number in changed:
            old = self.states[number]
            choices = [
                api.EndpointState.UP,
                api.EndpointState.UP,
                api.EndpointState.DRAINING,
                api.EndpointState.REMOVED,
            ]
            self.states[number] = self.rng.choice(choices)
            if old is not api.EndpointState.UP and self.states[number] is api.EndpointState.UP:
                self.started[number] = self.now - self.rng.uniform(0.0, 500.0)
        kind = self.rng.random()
        if kind < 0.6:
            return api.EndpointListUpdate(
                api.EndpointListScope.DELTA, tuple(self.endpoint(number) for number in changed)
            )
        if kind < 0.85:
            return api.EndpointListUpdate(api.EndpointListScope.FULL, self.listed_endpoints())
        return (
            api.EndpointListUpdate(api.EndpointListScope.LOST)
            if kind < 0.93
            else api.EndpointListUpdate(api.EndpointListScope.CACHED, self.listed_endpoints())
        )

    def next_request(self) -> api.Request:
        """Return a request of a random customer in a random class; each customer has one plan."""
        self.requests += 1
        customer = min(int(self.rng.expovariate(4.0 / self.scenario.customers)), self.scenario.customers - 1)
        plan = self.scenario.plans[customer % len(self.scenario.plans)]
        request_class = CLASSES[self.rng.randrange(len(CLASSES))]
        remaining = request_class.deadline_ms * self.rng.choice((1.0, 1.0, 0.5, 0.05))
        units = float(self.rng.choice((1, 1, 1, 2, 4)))
        spread = 1 + customer % self.scenario.settings.instances
        first = customer % self.scenario.settings.instances
        rid = f"{self.requests:016x}"
        return api.Request(
            rid, request_class.name, plan, customer, remaining, units, spread, first, self.requests % 5 == 0
        )

    def start_attempt(self, send: api.StartAttempt) -> None:
        """Start an attempt and schedule its end."""
        number = self.attempts[send.id] = self.attempts.get(send.id, -1) + 1
        self.running[send.id, number] = self.now, send.endpoint
        rtt = self.scenario.latency_ms * self.latency_factors[send.endpoint - 1] * self.rng.uniform(0.6, 1.8)
        result = api.CallResult.OK
        if self.rng.random() < self.scenario.error_share:
            result = self.rng.choice(
                [v for v in api.CallResult if v not in (api.CallResult.OK, api.CallResult.CANCELLED)]
            )
            rtt *= {api.CallResult.TIMEOUT: 8.0, api.CallResult.ERROR: 1.0}.get(result, 0.1)
        if rtt >= send.timeout_ms:
            result, rtt = api.CallResult.TIMEOUT, send.timeout_ms
        ended = result is api.CallResult.OK or rtt >= send.timeout_ms
        self.schedule(rtt, api.AttemptEnded(send.id, number, send.endpoint, result, rtt, ended, 1.5, (1.0, 2.0)))
        if self.rng.random() < 0.05:
            self.schedule(rtt * 0.5, api.ResponseStarted(send.id))

    def increment_counter(self, call: api.IncrementCounter) -> None:
        """Apply a counter call and schedule its reply; a fault loses the call or the reply."""
        delay = self.scenario.counter_ms * self.rng.uniform(0.5, 2.5)
        fault = self.rng.random() < self.scenario.counter_fault_share
        applied = not fault or self.rng.random() < 0.5
        if applied:
            elsewhere = self.rng.choice((0.0, 0.0, 1.0, 3.0))
            self.totals[call.key] = self.totals.get(call.key, 0.0) + call.units + elsewhere
        if fault:
            result = self.rng.choice((api.CallResult.TIMEOUT, api.CallResult.ERROR, api.CallResult.CONNECT_FAILED))
            self.schedule(self.scenario.settings.counter_timeout_ms, api.CounterReply(call.key, result, delay))
            return
        kept = self.rng.choice((math.inf, math.inf, math.inf, self.rng.uniform(0.0, 8000.0)))
        self.schedule(delay, api.CounterReply(call.key, api.CallResult.OK, delay, self.totals[call.key], kept))

    def execute(self, action: api.Action) -> None:
        """Schedule the events that follow from one action."""
        match action:
            case api.StartAttempt():
                self.start_attempt(action)
            case api.IncrementCounter():
                self.increment_counter(action)
            case api.SetTimer():
                self.schedule(max(action.at_ms - self.now, 0.0), api.TimerFired(action.token))
            case api.CancelAttempt():
                since, server = self.running[action.id, action.attempt]
                rtt = self.now - since
                self.schedule(
                    0.2, api.AttemptEnded(action.id, action.attempt, server, api.CallResult.CANCELLED, rtt + 0.2, False)
                )

    def next_event(self) -> api.Event:
        """Return the next event; an attempt's second end, which follows a cancellation, is skipped."""
        while True:
            self.now, _, event = heapq.heappop(self.queue)
            if not isinstance(event, api.AttemptEnded):
                return event
            if self.running.pop((event.id, event.attempt), None) is not None:
                return event

    def schedule_next(self, event: api.Event) -> None:
        """Schedule the next event of a kind that recurs."""
        scenario, rng = self.scenario, self.rng
        if isinstance(event, api.Request):
            burst = 0.1 if self.requests % 200 < 60 else 1.0
            self.schedule(rng.expovariate(1.0) * 1000.0 / scenario.requests_per_s * burst, self.next_request())
            if rng.random() < 0.03:
                self.schedule(rng.uniform(1.0, 200.0), api.ClientDisconnected(event.id))
        elif isinstance(event, api.EndpointListUpdate):
            self.schedule(rng.uniform(0.5, 1.5) * scenario.list_every_ms, self.next_list())
        elif isinstance(event, api.ClockStepped):
            step = rng.choice((10.0, 900.0, -7000.0, 3_600_000.0))
            self.schedule(scenario.clock_step_every_ms, api.ClockStepped(event.shift_ms + step))
        elif isinstance(event, api.HealthCheckResult):
            self.schedule(1000.0, api.HealthCheckResult(1, api.CallResult.OK, 5.0, (1.0,)))
            if scenario.strays:
                self.running["nobody", 0] = self.now, 9999
                self.schedule(1.0, api.AttemptEnded("nobody", 0, 9999, api.CallResult.ERROR, 5.0, False))
                self.schedule(2.0, api.CounterReply(12345, api.CallResult.OK, 5.0, 7.0))
                self.schedule(3.0, api.TimerFired(10**9))
                self.schedule(4.0, api.ClientDisconnected("nobody"))

    def run(self) -> list[str]:
        """Run the scenario and return one digest of the trace lines for each block of events."""
        self.schedule(0.0, api.EndpointListUpdate(api.EndpointListScope.CACHED, self.listed_endpoints()))
        self.schedule(1.0, self.next_request())
        self.schedule(2.0, api.HealthCheckResult(1, api.CallResult.OK, 5.0, (1.0,)))
        if math.isfinite(self.scenario.clock_step_every_ms):
            self.schedule(self.scenario.clock_step_every_ms, api.ClockStepped(500.0))
        digests: list[str] = []
        for number in range(self.scenario.events):
            event = self.next_event()
            actions = self.gateway.handle(self.now, event)
            self.lines.append(f"{number} {self.now!r}")
            self.lines.extend(trace_line(action) for action in actions)
            for action in actions:
                self.execute(action)
            self.schedule_next(event)
            if number % 10 == 9:
                self.lines.append(
                    f"room {self.gateway.available_units(self.now, number // 10 % self.scenario.customers)!r}"
                )
            if number % BLOCK == BLOCK - 1:
                digests.append(hashlib.sha256("\n".join(self.lines).encode()).hexdigest()[:16])
                self.lines.clear()
        return digests
