"""Clients as the stand-in plays them: open loop, deadlines, retries through other doors, advice kept or not."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from martenstep.config import door_pb2 as cfg
from martenstep.lab import day_pb2 as pb
from martenstep.lab.emulate.core import Draws, Sim, Timer
from martenstep.lab.emulate.doors import Caller, EmuDoor
from martenstep.lab.emulate.net import Network, Pipe, Place
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.headers import get_header
from martenstep.standins.clients import ABUSE_ATTEMPTS, ABUSE_PAUSE_MS, ClientBehavior, ScheduledRequest

LATE_MS = 1000.0  # beyond its patience a client waits no longer, whatever the door does


class EmuCrowd:
    """All clients of a day."""

    def __init__(
        self,
        sim: Sim,
        net: Network,
        doors: dict[int, EmuDoor],
        manners: ClientBehavior,
        draws: Draws,
        write: Callable[..., None],
    ) -> None:
        self._sim, self._net, self._doors, self._manners = sim, net, doors, manners
        self._draws, self._write = draws, write
        self._schedule: Iterator[ScheduledRequest] = iter(())
        self.out = 0
        self.done = False

    def play(self, schedule: Iterator[ScheduledRequest], start: float) -> None:
        """Send everything at its time."""
        self._schedule = schedule
        self._next(start)

    def _next(self, start: float) -> None:
        planned = next(self._schedule, None)
        if planned is None:
            self.done = True
            return
        self._sim.at(start + planned.at_ms, self._due, planned, start)

    def _due(self, planned: ScheduledRequest, start: float) -> None:
        self.out += 1
        until = self._sim.now + planned.patience_ms * (1 + self._manners.retries)
        _Try(self, planned, 0, until).begin()
        self._next(start)

    def again(self, tried: _Try, may: bool, advice: float) -> None:
        """What a client does after a try."""
        manners, planned = self._manners, tried.planned
        tries = ABUSE_ATTEMPTS if planned.abuse else manners.retries + 1
        pause = advice if manners.honour and advice else manners.wait_ms
        pause = min(pause, manners.advice_most_ms) * self._draws.between(1.0, 1.2)
        if planned.abuse:
            pause = ABUSE_PAUSE_MS
        if not may or tried.number + 1 >= tries or self._sim.now + pause >= tried.until:
            self.out -= 1
            return
        self._sim.after(pause, _Try(self, planned, tried.number + 1, tried.until).begin)


class _Try:
    """One try of one request."""

    __slots__ = (
        "_caller",
        "_crowd",
        "_door",
        "_forth",
        "_over",
        "_ticket",
        "_timer",
        "number",
        "planned",
        "rid",
        "until",
    )

    def __init__(self, crowd: EmuCrowd, planned: ScheduledRequest, number: int, until: float) -> None:
        self._crowd, self.planned, self.number, self.until = crowd, planned, number, until
        self.rid = f"{planned.rid}.{number}"
        self._over = False
        self._ticket: int | None = None
        self._timer: Timer | None = None

    def begin(self) -> None:
        """Connect and ask."""
        crowd, planned = self._crowd, self.planned
        number = planned.doors[self.number % len(planned.doors)]
        self._door = crowd._doors[number]
        crowd._write(
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
        here = Place("client", self._door.place.zone)
        self._forth = Pipe(crowd._net, here, self._door.place)
        self._caller = Caller(self._answer, Pipe(crowd._net, self._door.place, here))
        leave = planned.leave_ms if planned.leave_ms and planned.leave_ms < planned.patience_ms else 0.0
        self._timer = crowd._sim.after(leave or planned.patience_ms + LATE_MS, self._late, bool(leave))
        self._forth.send(self._came, size=500 + planned.body)

    def _came(self) -> None:
        """At the door."""
        planned, door = self.planned, self._door
        if self._over:
            return
        if not door.accepts():
            self._caller.pipe.send(self._unreached)
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
        self._ticket = door.asked(
            self._caller, b"POST" if planned.body else b"GET", f"/{planned.cls}/{self.rid}".encode(), headers
        )

    def _finish(self) -> bool:
        if self._over:
            return False
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        return True

    @property
    def _safe(self) -> bool:
        return self.planned.cls in self._crowd._manners.repeat_after_failure

    def _unreached(self) -> None:
        if self._finish():
            self._crowd._write("unreached", rid=self.rid)
            self._crowd.again(self, True, 0.0)

    def _late(self, leaves: bool) -> None:
        if not self._finish():
            return
        self._crowd._write("left" if leaves else "no answer", rid=self.rid)
        self._forth.send(self._gone, size=60)
        self._crowd.again(self, self._safe and not leaves, 0.0)

    def _gone(self) -> None:
        """At the door: the connection is closed."""
        if self._ticket is not None:
            self._door.client_left(self._ticket)

    def _answer(self, status: int, headers: ev.Headers, whole: bool) -> None:
        if not self._finish():
            return
        if not whole:
            self._crowd._write("broken", rid=self.rid, how="reset", status=status)
            self._crowd.again(self, self._safe, 0.0)
            return
        advice = float(get_header(headers, b"retry-after-ms") or 0)
        reason = (get_header(headers, b"x-reason") or b"").decode()
        self._crowd._write("answer", rid=self.rid, status=status, whole=True, advice=advice, reason=reason)
        if status in (429, 503):
            self._crowd.again(self, True, advice)
        else:
            self._crowd.again(self, self._safe and status in (502, 504), 0.0)


def manners_of(day: pb.Day) -> ClientBehavior:
    """How a day's clients behave."""
    told = day.clients
    safe = [entry.name for entry in getattr(day, "class") if entry.effect == cfg.SAFE]
    return ClientBehavior(
        [], told.retries, told.wait_ms, told.advice == pb.Clients.HONOUR, told.advice_most_ms, safe, day.seed
    )
