"""Drives an engine in virtual time and records the actions that it returns."""

from __future__ import annotations

from typing import TypeVar

from martenstep.config import door_pb2 as pb
from martenstep.config.loading import parse_door
from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.hooks.release_manager import ReleaseManager
from martenstep.policy.messages import CallResult, Endpoint, EndpointListScope, EndpointState
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_factory import make_engine

SETTINGS = """
name: "door-0" instance: 0 instances: 2 zone: "a" max_units: 4
listener { answer_margin_ms: 0 }
upstream { max_attempts: 3 connect_ms: 200 }
store { port: 1 timeout_ms: 50 }
members { port: 1 }
class { name: "read" aim_ms: 1000 deadline_ms: 4000 }
class { name: "write" aim_ms: 1000 deadline_ms: 4000 effect: KEYED group: ZONE window_ms: 3000 }
class { name: "pay" aim_ms: 1000 deadline_ms: 4000 effect: UNSAFE }
plan { name: "plain" rate: 10 burst: 20 }
plan { name: "open" }
customer { key: "anna" plan: "plain" }
customer { key: "free" plan: "open" }
route { name: "read" path_prefix: "/read/" class: "read" customer_header: "x-customer" }
route { name: "write" method: "POST" path_prefix: "/write/" class: "write" customer_segment: 2 }
route { name: "pay" path_prefix: "/pay/" class: "pay" customer_header: "x-customer" units: 2 }
rules { answer_slack_ms: 8 }
"""
START_MS = 100_000.0
ActionT = TypeVar("ActionT")


def gateway_settings(text: str = "") -> pb.Door:
    """SETTINGS parsed, with the settings in `text` merged in."""
    gateway = parse_door(SETTINGS, "door.txtpb")
    if text:
        from google.protobuf import text_format

        text_format.Merge(text, gateway)
    return gateway


def endpoint_list_event(
    *numbers: int, scope: EndpointListScope = EndpointListScope.FULL, state: EndpointState = EndpointState.UP
) -> EndpointListEvent:
    """An update of the endpoint list: endpoints with odd numbers are in zone "a", the others in zone "b"."""
    endpoints = tuple(Endpoint(n, "a" if n % 2 else "b", "std", n % 2, state) for n in numbers)
    return EndpointListEvent(scope, endpoints, {n: ("127.0.0.1", 9000 + n) for n in numbers})


class Rig:
    """An engine, its virtual clock and all actions that the engine has returned."""

    def __init__(
        self,
        text: str = "",
        endpoints: tuple[int, ...] = (1, 2, 3, 4),
        seed: int = 1,
        hook_releases: ReleaseManager | None = None,
    ) -> None:
        self.engine = make_engine(gateway_settings(text), seed, hook_releases)
        self.now = START_MS
        self.actions: list[ev.Action] = []
        self._request_id = 0
        self.handle(endpoint_list_event(*endpoints, scope=EndpointListScope.CACHED))

    def handle(self, event: ev.Event) -> list[ev.Action]:
        """Pass one event to the engine at the current time."""
        actions = self.engine.handle(self.now, event)
        self.actions += actions
        return actions

    def pass_time(self, ms: float) -> list[ev.Action]:
        """Advance the clock; each timer fires at the time for which it is scheduled."""
        until, out = self.now + ms, []
        while (at := self.engine.next_at()) is not None and at <= until:
            self.now = max(self.now, at)
            out += self.handle(ev.Tick())
        self.now = until
        return out

    def send(self, path: str = "/read/1", customer: str = "free", method: str = "GET", **headers: str) -> int:
        """Pass the head of a client request to the engine; returns the request's id."""
        self._request_id += 1
        sent = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
        sent.append((b"x-customer", customer.encode()))
        self.handle(ev.RequestReceived(self._request_id, method.encode(), path.encode(), sent, "10.0.0.1"))
        return self._request_id

    def actions_of(self, kind: type[ActionT], request_id: int | None = None) -> list[ActionT]:
        """All actions of a type so far, of one request or of all."""
        return [
            action
            for action in self.actions
            if isinstance(action, kind)
            and (request_id is None or getattr(action, "request_id", request_id) == request_id)
        ]

    def last_attempt(self, request_id: int) -> ev.OpenAttempt:
        """The last attempt of a request."""
        return self.actions_of(ev.OpenAttempt, request_id)[-1]

    def write(self, request_id: int) -> None:
        """Report that the first bytes of the last attempt are being written."""
        self.handle(ev.AttemptWritten(request_id, self.last_attempt(request_id).attempt))

    def serve(self, request_id: int, status: int = 200, headers: ev.Headers | None = None) -> list[ev.Action]:
        """Report that the last attempt was written and has a complete response."""
        number = self.last_attempt(request_id).attempt
        self.write(request_id)
        out = self.handle(ev.ResponseHeadReceived(request_id, number, status, headers or []))
        return out + self.handle(ev.ResponseCompleted(request_id, number))

    def fail_attempt(self, request_id: int, failure: ev.AttemptFailure, written: bool = True) -> list[ev.Action]:
        """Report that the last attempt ended without a complete response."""
        if written:
            self.write(request_id)
        return self.handle(ev.AttemptFailed(request_id, self.last_attempt(request_id).attempt, failure))

    def answer_counter_calls(self, total: float) -> None:
        """Reply with `total` to each counter call so far, and to those that the engine makes in response."""
        answered: set[int] = set()
        while pending := [call.call_id for call in self.actions_of(ev.AddToCounter) if call.call_id not in answered]:
            answered.add(pending[0])
            self.handle(ev.CounterReplied(pending[0], CallResult.OK, total))

    def responses(self, request_id: int) -> list[ev.SendLocalReply | ev.RelayResponse | ev.ResetClientConnection]:
        """The final responses of a request, from the gateway or from an endpoint."""
        return [
            action
            for action in self.actions
            if isinstance(action, ev.SendLocalReply | ev.RelayResponse) and action.request_id == request_id
        ]

    def reply(self, request_id: int) -> ev.SendLocalReply:
        """The gateway's own response to a request; fails unless there is exactly one."""
        [found] = self.actions_of(ev.SendLocalReply, request_id)
        return found

    def held(self) -> dict[str, int]:
        """The numbers of requests and calls that the engine holds; timers and endpoints are not among them."""
        return {name: self.engine.held_counts[name] for name in ("exchanges", "calls", "open")}


NOTHING_HELD = {"exchanges": 0, "calls": 0, "open": 0}


def header(action: ev.SendLocalReply | ev.RelayResponse | ev.OpenAttempt, name: str) -> str | None:
    """The value of an action's first header with a name; None if there is none."""
    return next((value.decode() for key, value in action.headers if key == name.encode()), None)
