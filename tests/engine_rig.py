"""An engine in virtual time, and what it did."""

from __future__ import annotations

from typing import TypeVar

from martenstep.config import door_pb2 as pb
from martenstep.config.loading import parse_door
from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.hooks.release_manager import ReleaseManager
from martenstep.policy.messages import CallResult, Endpoint, EndpointListScope, EndpointState
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_factory import make_engine

DOOR = """
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
START = 100_000.0
A = TypeVar("A")


def settings(text: str = "") -> pb.Door:
    """The usual door, or with settings merged in."""
    door = parse_door(DOOR, "door.txtpb")
    if text:
        from google.protobuf import text_format

        text_format.Merge(text, door)
    return door


def listed(
    *numbers: int, scope: EndpointListScope = EndpointListScope.FULL, state: EndpointState = EndpointState.UP
) -> EndpointListEvent:
    """Servers by number, in two zones."""
    servers = tuple(Endpoint(n, "a" if n % 2 else "b", "std", n % 2, state) for n in numbers)
    return EndpointListEvent(scope, servers, {n: ("127.0.0.1", 9000 + n) for n in numbers})


class Rig:
    """The engine, its clock and all actions so far."""

    def __init__(
        self,
        text: str = "",
        servers: tuple[int, ...] = (1, 2, 3, 4),
        seed: int = 1,
        shelf: ReleaseManager | None = None,
    ) -> None:
        self.engine = make_engine(settings(text), seed, shelf)
        self.now = START
        self.did: list[ev.Action] = []
        self._request_id = 0
        self.tell(listed(*servers, scope=EndpointListScope.CACHED))

    def tell(self, event: ev.Event) -> list[ev.Action]:
        """One event at the present time."""
        actions = self.engine.handle(self.now, event)
        self.did += actions
        return actions

    def pass_time(self, ms: float) -> list[ev.Action]:
        """Let time pass; every timer fires at its own moment."""
        until, out = self.now + ms, []
        while (at := self.engine.next_at()) is not None and at <= until:
            self.now = max(self.now, at)
            out += self.tell(ev.Tick())
        self.now = until
        return out

    def ask(self, path: str = "/read/1", customer: str = "free", method: str = "GET", **headers: str) -> int:
        """A client request; gives its request_id."""
        self._request_id += 1
        told = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
        told.append((b"x-customer", customer.encode()))
        self.tell(ev.RequestReceived(self._request_id, method.encode(), path.encode(), told, "10.0.0.1"))
        return self._request_id

    def of(self, kind: type[A], request_id: int | None = None) -> list[A]:
        """All actions of a kind so far, of one request or of all."""
        return [
            action
            for action in self.did
            if isinstance(action, kind)
            and (request_id is None or getattr(action, "request_id", request_id) == request_id)
        ]

    def opened(self, request_id: int) -> ev.OpenAttempt:
        """The last attempt of a request."""
        return self.of(ev.OpenAttempt, request_id)[-1]

    def write(self, request_id: int) -> None:
        """The last attempt's first bytes are written."""
        self.tell(ev.AttemptWritten(request_id, self.opened(request_id).attempt))

    def serve(self, request_id: int, status: int = 200, headers: ev.Headers | None = None) -> list[ev.Action]:
        """The last attempt is written and answered whole."""
        number = self.opened(request_id).attempt
        self.write(request_id)
        out = self.tell(ev.ResponseHeadReceived(request_id, number, status, headers or []))
        return out + self.tell(ev.ResponseCompleted(request_id, number))

    def end(self, request_id: int, how: ev.AttemptFailure, written: bool = True) -> list[ev.Action]:
        """The last attempt ends without an answer."""
        if written:
            self.write(request_id)
        return self.tell(ev.AttemptFailed(request_id, self.opened(request_id).attempt, how))

    def count_all(self, total: float) -> None:
        """The store answers every Add that is out, and those that follow."""
        answered: set[int] = set()
        while todo := [add.call_id for add in self.of(ev.AddToCounter) if add.call_id not in answered]:
            answered.add(todo[0])
            self.tell(ev.CounterReplied(todo[0], CallResult.OK, total))

    def finals(self, request_id: int) -> list[ev.SendLocalReply | ev.RelayResponse | ev.ResetClientConnection]:
        """The final answers of a request: there must be one."""
        return [
            action
            for action in self.did
            if isinstance(action, ev.SendLocalReply | ev.RelayResponse) and action.request_id == request_id
        ]

    def reply(self, request_id: int) -> ev.SendLocalReply:
        """The door's own answer to a request."""
        [found] = self.of(ev.SendLocalReply, request_id)
        return found

    def quiet(self) -> dict[str, int]:
        """What is still kept when all is quiet, but for timers and servers."""
        return {name: self.engine.held_counts[name] for name in ("exchanges", "calls", "open")}


QUIET = {"exchanges": 0, "calls": 0, "open": 0}


def head(action: ev.SendLocalReply | ev.RelayResponse | ev.OpenAttempt, name: str) -> str | None:
    """A header of an action."""
    return next((value.decode() for key, value in action.headers if key == name.encode()), None)
