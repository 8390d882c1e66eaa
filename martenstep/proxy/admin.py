"""The admin listener: health, readiness, metrics, the fleet.  For operators only: bind it to a host that clients don't
reach."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import parse_qs

import h11
import msgspec
import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

ANSWER_MS = 5000.0
MOST_WAIT_MS = 60_000.0  # that a view is waited for
Answer = tuple[int, str, bytes]


class Fleet(Protocol):
    """What the listener asks of the membership."""

    def view(self) -> dict[str, Any]:
        """What this door holds of the others."""

    async def newer(self, version: int, wait_s: float) -> None:
        """Wait until the view is newer."""

    async def leave(self) -> None:
        """Say that this door goes."""


class Copies(Protocol):
    """What the listener asks of the copies that are here."""

    def view(self) -> dict[str, Any]:
        """The groups and their copies."""

    def transfer_leadership(self, group: str, to: str) -> bool:
        """Let the copy at another place lead."""


class Orders(Protocol):
    """What the listener asks of the order book."""

    async def tell(self, what: Any) -> Any:
        """Put something in."""

    async def look(self) -> Any:
        """All of it."""


class DoorCollector(Collector):
    """The door's counts as Prometheus metrics, read when they are asked for."""

    def __init__(self, counts: Callable[[], dict[str, float]], gauges: Callable[[], dict[str, float]]) -> None:
        self._counts, self._gauges = counts, gauges

    def collect(self) -> list[Metric]:
        """All of them."""
        made: list[Metric] = [
            CounterMetricFamily(f"martenstep_{name}", name.replace("_", " "), value=value)
            for name, value in self._counts().items()
        ]
        made += [
            GaugeMetricFamily(f"martenstep_{name}", name.replace("_", " "), value=value)
            for name, value in self._gauges().items()
        ]
        return made


class Admin:
    """Answers GETs of a few paths."""

    def __init__(self, collector: Collector, ready: Callable[[], bool]) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(collector)
        self._ready = ready
        self._server: asyncio.Server | None = None
        self._fleet: Fleet | None = None
        self._copies: Copies | None = None
        self._orders: Orders | None = None

    def fleet(self, fleet: Fleet) -> None:
        """There is a fleet to tell of."""
        self._fleet = fleet

    def copies(self, copies: Copies) -> None:
        """There are copies to tell of."""
        self._copies = copies

    def orders(self, orders: Orders) -> None:
        """There is an order book to ask."""
        self._orders = orders

    async def start(self, host: str, port: int) -> int:
        """Bind; gives the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()

    async def members(self, method: str, path: str, query: str) -> Answer:
        """The fleet: `GET /members?after=VERSION&wait_ms=MS` waits for a newer view, `POST /members/leave` leaves."""
        if self._fleet is None:
            return 404, "text/plain", b"the settings have no fleet\n"
        if path == "/members/leave":
            if method != "POST":
                return 405, "text/plain", b"POST leaves\n"
            await self._fleet.leave()
        elif path != "/members":
            return 404, "text/plain", b"there are: /members /members/leave\n"
        elif query:
            asked = parse_qs(query, keep_blank_values=True)
            try:
                after = int(asked.get("after", ["-1"])[-1])
                wait_ms = float(asked.get("wait_ms", ["0"])[-1])
            except ValueError:
                return 400, "text/plain", b"after and wait_ms are numbers\n"
            if not 0 <= wait_ms <= MOST_WAIT_MS:
                return 400, "text/plain", f"wait_ms: expected 0 to {MOST_WAIT_MS:.0f}\n".encode()
            await self._fleet.newer(after, wait_ms / 1000)
        return 200, "application/json", msgspec.json.encode(self._fleet.view())

    def held(self, method: str, path: str, query: str) -> Answer:
        """The copies: `GET /copies`; `POST /copies/move?group=GROUP&to=DOOR` lets another door lead a group that is led
        here."""
        if self._copies is None:
            return 404, "text/plain", b"the settings have no copies\n"
        if path == "/copies/move":
            if method != "POST":
                return 405, "text/plain", b"POST moves\n"
            asked = parse_qs(query)
            group, to = asked.get("group", [""])[-1], asked.get("to", [""])[-1]
            if not self._copies.transfer_leadership(group, to):
                return 409, "text/plain", b"this door does not lead that group, or the other does not hold it\n"
        elif path != "/copies":
            return 404, "text/plain", b"there are: /copies /copies/move\n"
        return 200, "application/json", msgspec.json.encode(self._copies.view())

    async def maintenance(self, method: str, path: str, query: str) -> Answer:
        """The order book: `GET /maintenance` tells it, `POST /maintenance?what=JSON` puts something in."""
        if self._orders is None:
            return 404, "text/plain", b"the settings have no maintenance\n"
        from martenstep.maintenance.queue import What
        from martenstep.replication.errors import LeaderUnreachableError

        if path != "/maintenance":
            return 404, "text/plain", b"there is: /maintenance\n"
        try:
            if method != "POST":
                return 200, "application/json", msgspec.json.encode(await self._orders.look())
            what = msgspec.json.decode(parse_qs(query).get("what", [""])[-1], type=What)
            return 200, "application/json", msgspec.json.encode(await self._orders.tell(what))
        except msgspec.DecodeError as error:
            return 400, "text/plain", f"what: {error}\n".encode()
        except LeaderUnreachableError as error:
            return 503, "text/plain", f"{error}\n".encode()

    def answer(self, path: str) -> Answer:
        """Status, content type and body for a path."""
        if path == "/healthz":
            return 200, "text/plain", b"ok\n"
        if path == "/readyz":
            return (200, "text/plain", b"ready\n") if self._ready() else (503, "text/plain", b"not ready\n")
        if path == "/metrics":
            return 200, "text/plain; version=0.0.4", prometheus_client.generate_latest(self._registry)
        return 404, "text/plain", b"there are: /healthz /readyz /metrics /members /copies /maintenance\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            async with asyncio.timeout(ANSWER_MS / 1000):
                while (event := connection.next_event()) is h11.NEED_DATA:
                    connection.receive_data(await reader.read(4096))
            if isinstance(event, h11.Request):
                path, _, query = event.target.decode("latin-1").partition("?")
                if path == "/members" or path.startswith("/members/"):
                    status, kind, body = await self.members(event.method.decode(), path, query)
                elif path == "/copies" or path.startswith("/copies/"):
                    status, kind, body = self.held(event.method.decode(), path, query)
                elif path == "/maintenance" or path.startswith("/maintenance/"):
                    status, kind, body = await self.maintenance(event.method.decode(), path, query)
                else:
                    status, kind, body = self.answer(path)
                head = h11.Response(
                    status_code=status,
                    headers=[("content-type", kind), ("content-length", str(len(body))), ("connection", "close")],
                )
                writer.write(connection.send(head) or b"")
                writer.write(connection.send(h11.Data(data=body)) or b"")
                writer.write(connection.send(h11.EndOfMessage()) or b"")
                await writer.drain()
        except (TimeoutError, OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()
