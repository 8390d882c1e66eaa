"""The admin listener: health, readiness, metrics, membership, replicas and maintenance.

It is for operators only and must be bound to an address that clients cannot reach.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol
from urllib.parse import parse_qs

import h11
import msgspec
import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

if TYPE_CHECKING:  # loaded only if the settings have maintenance
    from martenstep.maintenance.commands import Command

REQUEST_TIMEOUT_MS = 5000.0
MAX_VIEW_WAIT_MS = 60_000.0
READ_BYTES = 4096
MS_PER_S = 1000.0
TEXT, JSON, METRICS = "text/plain", "application/json", "text/plain; version=0.0.4"
OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED, CONFLICT, UNAVAILABLE = 200, 400, 404, 405, 409, 503


class AdminResponse(NamedTuple):
    """One response of the admin listener."""

    status: int
    content_type: str
    body: bytes


class MembershipAdmin(Protocol):
    """The membership, as the admin listener uses it."""

    def view(self) -> object:
        """Return this gateway's view of the cluster, to be encoded as JSON."""

    async def wait_newer(self, version: int, wait_s: float) -> None:
        """Wait up to `wait_s` for a view newer than `version`."""

    async def leave(self) -> None:
        """Announce that this gateway leaves the cluster."""


class ReplicationAdmin(Protocol):
    """The replicas on this gateway, as the admin listener uses them."""

    def view(self) -> dict[str, Any]:
        """Return the groups and their replicas."""

    def transfer_leadership(self, group: str, to: str) -> bool:
        """Transfer a group's leadership; False if this gateway cannot."""


class MaintenanceAdmin(Protocol):
    """The maintenance queue, as the admin listener uses it."""

    async def submit(self, command: Command) -> object:
        """Submit a change of the queue."""

    async def fetch(self) -> object:
        """Return the whole queue."""


def _text_response(status: int, text: str) -> AdminResponse:
    return AdminResponse(status, TEXT, f"{text}\n".encode())


def _json_response(content: object) -> AdminResponse:
    return AdminResponse(OK, JSON, msgspec.json.encode(content))


class GatewayCollector(Collector):
    """The gateway's counters and gauges as Prometheus metrics, read at each scrape."""

    def __init__(self, counts: Callable[[], dict[str, float]], gauges: Callable[[], dict[str, float]]) -> None:
        """`counts` and `gauges` return values by metric name without the prefix."""
        self._counts, self._gauges = counts, gauges

    def collect(self) -> list[Metric]:
        """Return all metrics."""
        counters: list[Metric] = [
            CounterMetricFamily(f"martenstep_{name}", name.replace("_", " "), value=value)
            for name, value in self._counts().items()
        ]
        gauges = [
            GaugeMetricFamily(f"martenstep_{name}", name.replace("_", " "), value=value)
            for name, value in self._gauges().items()
        ]
        return [*counters, *gauges]


class AdminListener:
    """Serves the admin pages; each connection carries one request."""

    def __init__(self, collector: Collector, is_ready: Callable[[], bool]) -> None:
        """`collector` provides the metrics; `is_ready` returns whether the gateway serves requests."""
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(collector)
        self._is_ready = is_ready
        self._server: asyncio.Server | None = None
        # Each is set once that part of the settings has been started.
        self.membership: MembershipAdmin | None = None
        self.replication: ReplicationAdmin | None = None
        self.maintenance: MaintenanceAdmin | None = None

    async def start(self, host: str, port: int) -> int:
        """Bind the address and return the port; raises OSError."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    # Pages --------------------------------------------------------------------------------------------------

    async def respond(self, method: str, path: str, query: str) -> AdminResponse:
        """Return the response to a request."""
        page = path.split("/")[1] if path.startswith("/") else ""
        if page == "members":
            return await self._respond_membership(method, path, query)
        if page == "copies":
            return self._respond_replication(method, path, query)
        if page == "maintenance":
            return await self._respond_maintenance(method, path, query)
        return self.respond_status(path)

    def respond_status(self, path: str) -> AdminResponse:
        """Return the page of health, readiness or metrics."""
        if path == "/healthz":
            return _text_response(OK, "ok")
        if path == "/readyz":
            return _text_response(OK, "ready") if self._is_ready() else _text_response(UNAVAILABLE, "not ready")
        if path == "/metrics":
            return AdminResponse(OK, METRICS, prometheus_client.generate_latest(self._registry))
        return _text_response(NOT_FOUND, "there are: /healthz /readyz /metrics /members /copies /maintenance")

    async def _respond_membership(self, method: str, path: str, query: str) -> AdminResponse:
        """`GET /members?after=VERSION&wait_ms=MS` waits for a newer view; `POST /members/leave` leaves the cluster."""
        if self.membership is None:
            return _text_response(NOT_FOUND, "the settings have no fleet")
        if path == "/members/leave":
            if method != "POST":
                return _text_response(METHOD_NOT_ALLOWED, "POST leaves")
            await self.membership.leave()
        elif path != "/members":
            return _text_response(NOT_FOUND, "there are: /members /members/leave")
        elif query:
            parameters = parse_qs(query, keep_blank_values=True)
            try:
                after = int(parameters.get("after", ["-1"])[-1])
                wait_ms = float(parameters.get("wait_ms", ["0"])[-1])
            except ValueError:
                return _text_response(BAD_REQUEST, "after and wait_ms are numbers")
            if not 0 <= wait_ms <= MAX_VIEW_WAIT_MS:
                return _text_response(BAD_REQUEST, f"wait_ms: expected 0 to {MAX_VIEW_WAIT_MS:.0f}")
            await self.membership.wait_newer(after, wait_ms / MS_PER_S)
        return _json_response(self.membership.view())

    def _respond_replication(self, method: str, path: str, query: str) -> AdminResponse:
        """`GET /copies` returns the groups; `POST /copies/move?group=GROUP&to=GATEWAY` transfers leadership."""
        if self.replication is None:
            return _text_response(NOT_FOUND, "the settings have no copies")
        if path == "/copies/move":
            if method != "POST":
                return _text_response(METHOD_NOT_ALLOWED, "POST moves")
            parameters = parse_qs(query)
            group, target = parameters.get("group", [""])[-1], parameters.get("to", [""])[-1]
            if not self.replication.transfer_leadership(group, target):
                return _text_response(CONFLICT, "this door does not lead that group, or the other does not hold it")
        elif path != "/copies":
            return _text_response(NOT_FOUND, "there are: /copies /copies/move")
        return _json_response(self.replication.view())

    async def _respond_maintenance(self, method: str, path: str, query: str) -> AdminResponse:
        """`GET /maintenance` returns the queue; `POST /maintenance?what=JSON` submits a change."""
        if self.maintenance is None:
            return _text_response(NOT_FOUND, "the settings have no maintenance")
        if path != "/maintenance":
            return _text_response(NOT_FOUND, "there is: /maintenance")
        from martenstep.maintenance.commands import Command
        from martenstep.replication.errors import LeaderUnreachableError

        try:
            if method != "POST":
                return _json_response(await self.maintenance.fetch())
            command = msgspec.json.decode(parse_qs(query).get("what", [""])[-1], type=Command)
            return _json_response(await self.maintenance.submit(command))
        except msgspec.DecodeError as error:
            return _text_response(BAD_REQUEST, f"what: {error}")
        except LeaderUnreachableError as error:
            return _text_response(UNAVAILABLE, str(error))

    # Connections --------------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_MS / MS_PER_S):
                while (event := connection.next_event()) is h11.NEED_DATA:
                    connection.receive_data(await reader.read(READ_BYTES))
            if isinstance(event, h11.Request):
                path, _, query = event.target.decode("latin-1").partition("?")
                response = await self.respond(event.method.decode(), path, query)
                self._write(connection, writer, response)
                await writer.drain()
        except (TimeoutError, OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _write(connection: h11.Connection, writer: asyncio.StreamWriter, response: AdminResponse) -> None:
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            ("connection", "close"),
        ]
        writer.write(connection.send(h11.Response(status_code=response.status, headers=headers)) or b"")
        writer.write(connection.send(h11.Data(data=response.body)) or b"")
        writer.write(connection.send(h11.EndOfMessage()) or b"")
