"""Models of clients that act as the stand-in does.

They form an open loop with deadlines, retry through other gateways, and follow or ignore the advised retry delay.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from martenstep.config import door_pb2 as cfg
from martenstep.lab import day_pb2 as pb
from martenstep.lab.emulate.core import RandomBuffer, Sim, Timer
from martenstep.lab.emulate.doors import ClientConnection, EmulatedGateway
from martenstep.lab.emulate.net import Location, Network, Pipe
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.headers import get_header
from martenstep.standins.clients import ABUSE_ATTEMPTS, ABUSE_PAUSE_MS, ClientBehavior, ScheduledRequest

EXTRA_WAIT_MS = 1000.0  # a client closes its connection this long after its deadline if the gateway sends nothing


class EmulatedClients:
    """All clients of a scenario."""

    def __init__(
        self,
        sim: Sim,
        net: Network,
        gateways: dict[int, EmulatedGateway],
        manners: ClientBehavior,
        random_numbers: RandomBuffer,
        write: Callable[..., None],
    ) -> None:
        self._sim, self._net, self._gateways, self._manners = sim, net, gateways, manners
        self._random, self._write = random_numbers, write
        self._schedule: Iterator[ScheduledRequest] = iter(())
        self.active_requests = 0
        self.schedule_ended = False

    def start_schedule(self, schedule: Iterator[ScheduledRequest], start: float) -> None:
        """Schedule every request at its planned time, counted from `start`."""
        self._schedule = schedule
        self._schedule_next(start)

    def _schedule_next(self, start: float) -> None:
        planned = next(self._schedule, None)
        if planned is None:
            self.schedule_ended = True
            return
        self._sim.at(start + planned.at_ms, self._start_request, planned, start)

    def _start_request(self, planned: ScheduledRequest, start: float) -> None:
        self.active_requests += 1
        retry_until = self._sim.now + planned.patience_ms * (1 + self._manners.retries)
        _ClientTry(self, planned, 0, retry_until).start_try()
        self._schedule_next(start)

    def schedule_retry(self, client_try: _ClientTry, allowed: bool, retry_after_ms: float) -> None:
        """Schedule the client's next try, or end the request if no try is allowed or left."""
        manners, planned = self._manners, client_try.planned
        max_tries = ABUSE_ATTEMPTS if planned.abuse else manners.retries + 1
        pause = retry_after_ms if manners.honour and retry_after_ms else manners.wait_ms
        pause = min(pause, manners.advice_most_ms) * self._random.uniform(1.0, 1.2)
        if planned.abuse:
            pause = ABUSE_PAUSE_MS
        if not allowed or client_try.number + 1 >= max_tries or self._sim.now + pause >= client_try.retry_until:
            self.active_requests -= 1
            return
        self._sim.after(pause, _ClientTry(self, planned, client_try.number + 1, client_try.retry_until).start_try)


class _ClientTry:
    """One try of one client request, through one gateway."""

    __slots__ = (
        "_clients",
        "_connection",
        "_finished",
        "_gateway",
        "_request_id",
        "_timer",
        "_to_gateway",
        "number",
        "planned",
        "retry_until",
        "rid",
    )

    def __init__(self, clients: EmulatedClients, planned: ScheduledRequest, number: int, retry_until: float) -> None:
        self._clients, self.planned, self.number, self.retry_until = clients, planned, number, retry_until
        self.rid = f"{planned.rid}.{number}"
        self._finished = False
        self._request_id: int | None = None
        self._timer: Timer | None = None

    def start_try(self) -> None:
        """Connect to the gateway and send the request."""
        clients, planned = self._clients, self.planned
        number = planned.doors[self.number % len(planned.doors)]
        self._gateway = clients._gateways[number]
        clients._write(
            "try",
            rid=self.rid,
            door=number,
            customer=planned.customer,
            cls=planned.cls,
            units=planned.units,
            deadline_ms=planned.patience_ms,
            first=planned.rid,
            number=self.number,
            bad=bool(planned.credential) and not planned.credential.endswith(planned.customer),
        )
        client_location = Location("client", self._gateway.location.zone)
        self._to_gateway = Pipe(clients._net, client_location, self._gateway.location)
        self._connection = ClientConnection(
            self._response_arrived, Pipe(clients._net, self._gateway.location, client_location)
        )
        leave_ms = planned.leave_ms if planned.leave_ms and planned.leave_ms < planned.patience_ms else 0.0
        self._timer = clients._sim.after(leave_ms or planned.patience_ms + EXTRA_WAIT_MS, self._give_up, bool(leave_ms))
        self._to_gateway.send(self._request_arrived, size=500 + planned.body)

    def _request_arrived(self) -> None:
        """Run at the gateway when the request has arrived."""
        planned, gateway = self.planned, self._gateway
        if self._finished:
            return
        if not gateway.accepts_connections():
            self._connection.pipe.send(self._connect_refused)
            return
        headers: ev.Headers = [
            (b"host", b"door"),
            (b"x-request-id", self.rid.encode()),
            (b"x-customer", planned.customer.encode()),
            (b"x-deadline-ms", f"{planned.patience_ms:.3f}".encode()),
        ]
        if planned.credential:
            headers.append((b"authorization", planned.credential.encode()))
        if planned.body:
            headers.append((b"content-length", str(planned.body).encode()))
        self._request_id = gateway.receive_request(
            self._connection, b"POST" if planned.body else b"GET", f"/{planned.cls}/{self.rid}".encode(), headers
        )

    def _finish(self) -> bool:
        if self._finished:
            return False
        self._finished = True
        if self._timer is not None:
            self._timer.cancel()
        return True

    @property
    def _may_repeat(self) -> bool:
        return self.planned.cls in self._clients._manners.repeat_after_failure

    def _connect_refused(self) -> None:
        if self._finish():
            self._clients._write("unreached", rid=self.rid)
            self._clients.schedule_retry(self, True, 0.0)

    def _give_up(self, leaves: bool) -> None:
        if not self._finish():
            return
        self._clients._write("left" if leaves else "no answer", rid=self.rid)
        self._to_gateway.send(self._close_arrived, size=60)
        self._clients.schedule_retry(self, self._may_repeat and not leaves, 0.0)

    def _close_arrived(self) -> None:
        """Run at the gateway when the close of the connection has arrived."""
        if self._request_id is not None:
            self._gateway.client_disconnected(self._request_id)

    def _response_arrived(self, status: int, headers: ev.Headers, whole: bool) -> None:
        if not self._finish():
            return
        if not whole:
            self._clients._write("broken", rid=self.rid, how="reset", status=status)
            self._clients.schedule_retry(self, self._may_repeat, 0.0)
            return
        retry_after_ms = float(get_header(headers, b"retry-after-ms") or 0)
        reason = (get_header(headers, b"x-reason") or b"").decode()
        self._clients._write("answer", rid=self.rid, status=status, whole=True, advice=retry_after_ms, reason=reason)
        if status in (429, 503):
            self._clients.schedule_retry(self, True, retry_after_ms)
        else:
            self._clients.schedule_retry(self, self._may_repeat and status in (502, 504), 0.0)


def client_manners(scenario: pb.Day) -> ClientBehavior:
    """How the clients of a scenario behave."""
    clients = scenario.clients
    safe = [entry.name for entry in getattr(scenario, "class") if entry.effect == cfg.SAFE]
    return ClientBehavior(
        [],
        clients.retries,
        clients.wait_ms,
        clients.advice == pb.Clients.HONOUR,
        clients.advice_most_ms,
        safe,
        scenario.seed,
    )
