"""Time of a decision at 14, 140 and 1,000 endpoints: `python -m bench.decision [CHECKOUT]`.

A decision is all that a gateway does for one request: the request's arrival, its timer and the end of its one attempt.
With a path to another checkout its text is loaded into the same process, both take turns on the same events, and the
median of the paired ratios is printed: above 1, this checkout is slower.  The other checkout must name the messages of
`martenstep/policy/messages.py` as this one does.
"""

from __future__ import annotations

import heapq
import importlib
import statistics
import sys
import time
from pathlib import Path
from types import ModuleType
from typing import Any, NamedTuple

ENDPOINTS = (14, 140, 1000)
PLANS = ("free", "quota")
WARM_UP = 2000  # decisions
ROUNDS = 100
DECISIONS_PER_ROUND = 100
REQUEST_INTERVAL_MS = 2.0
MIN_LATENCY_MS = 10.0
LATENCY_SPREAD_MS = 20
CUSTOMERS = 50
HERE = Path(__file__).resolve().parent.parent


class Checkout(NamedTuple):
    """The text of one checkout."""

    gateway: Any
    messages: ModuleType


def load(path: Path) -> Checkout:
    """Import the decisions of a checkout, beside those that are imported already."""
    sys.path.insert(0, str(path))
    try:
        _forget_modules()
        package = importlib.import_module("martenstep")
        messages = importlib.import_module("martenstep.policy.messages")
    finally:
        sys.path.pop(0)
        _forget_modules()
    if path not in Path(str(messages.__file__)).parents:  # an installed copy was found in its place
        raise FileNotFoundError(f"{path} has no martenstep.policy.messages")
    return Checkout(package.Gateway, messages)


def _forget_modules() -> None:
    for name in [name for name in sys.modules if name.partition(".")[0] == "martenstep"]:
        del sys.modules[name]


class Client:
    """Sends requests to one gateway and answers its attempts, in virtual time."""

    def __init__(self, checkout: Checkout, endpoints: int, plan: str) -> None:
        """Begin with a gateway that knows its endpoints."""
        self._messages = messages = checkout.messages
        read = messages.RequestClass("read", 400.0, 4000.0, messages.Idempotency.IDEMPOTENT)
        plans = (messages.Plan("free"), messages.Plan("quota", rate=1e5, burst=1e5))
        settings = messages.Settings(
            instance=0,
            instances=2,
            zone="a",
            tick_ms=2.0,
            classes=(read,),
            plans=plans,
            max_attempts=3,
            can_cancel=True,
        )
        self._gateway = checkout.gateway(settings, 1)
        self._plan = plan
        self._now = 1000.0
        self._requests = 0
        self._events: list[tuple[float, int, Any]] = []
        listed = tuple(
            messages.Endpoint(number, "ab"[number % 2], "std", 0, messages.EndpointState.UP)
            for number in range(endpoints)
        )
        update = messages.EndpointListUpdate(messages.EndpointListScope.FULL, listed)
        self._gateway.handle(self._now, update)

    def run(self, decisions: int) -> float:
        """The seconds spent in the gateway for so many requests."""
        return sum(self._request() for _ in range(decisions))

    def _request(self) -> float:
        self._requests += 1
        self._now += REQUEST_INTERVAL_MS
        customer = self._requests % CUSTOMERS
        request = self._messages.Request(f"r{self._requests}", "read", self._plan, customer, 4000.0, 1.0, instances=2)
        spent = self._handle(request)
        while self._events and self._events[0][0] <= self._now:
            spent += self._handle(heapq.heappop(self._events)[2])
        return spent

    def _handle(self, event: Any) -> float:
        started = time.perf_counter()
        actions = self._gateway.handle(self._now, event)
        spent = time.perf_counter() - started
        for action in actions:
            self._answer(action)
        return spent

    def _answer(self, action: Any) -> None:
        messages = self._messages
        order = self._requests * 10 + len(self._events) % 10
        if isinstance(action, messages.StartAttempt):
            latency_ms = MIN_LATENCY_MS + self._requests * 7919 % LATENCY_SPREAD_MS
            ended = messages.AttemptEnded(action.id, 0, action.endpoint, messages.CallResult.OK, latency_ms, True)
            heapq.heappush(self._events, (self._now + latency_ms, order, ended))
        elif isinstance(action, messages.SetTimer):
            heapq.heappush(self._events, (action.at_ms, order, messages.TimerFired(action.token)))


def measure(checkouts: list[Checkout], endpoints: int, plan: str) -> list[list[float]]:
    """Seconds a decision, by checkout and round; the checkouts take turns, and who begins alternates."""
    clients = [Client(checkout, endpoints, plan) for checkout in checkouts]
    for client in clients:
        client.run(WARM_UP)
    seconds: list[list[float]] = [[] for _ in clients]
    for number in range(ROUNDS):
        turn = list(zip(clients, seconds, strict=True))
        for client, taken in turn if number % 2 else reversed(turn):
            taken.append(client.run(DECISIONS_PER_ROUND) / DECISIONS_PER_ROUND)
    return seconds


def main(other: str | None) -> None:
    """Print one line for each number of endpoints and plan."""
    checkouts = [load(HERE), *([load(Path(other).resolve())] if other else [])]
    for endpoints in ENDPOINTS:
        for plan in PLANS:
            seconds = measure(checkouts, endpoints, plan)
            line = f"{endpoints:5d} endpoints, plan {plan:5s}: {statistics.median(seconds[0]) * 1e6:7.2f} us"
            if other:
                ratio = statistics.median(ours / theirs for ours, theirs in zip(*seconds, strict=True))
                line += f", other {statistics.median(seconds[1]) * 1e6:7.2f} us, paired ratio {ratio:.3f}"
            print(line)


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else None)
