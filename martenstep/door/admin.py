"""The admin listener: health, readiness, metrics.  For operators only: bind it to a host that clients don't reach."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11
import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

ANSWER_MS = 5000.0


class DoorCollector(Collector):
    """The door's counts as Prometheus metrics, read when they are asked for."""

    def __init__(self, counts: Callable[[], dict[str, float]], gauges: Callable[[], dict[str, float]]) -> None:
        self._counts, self._gauges = counts, gauges

    def collect(self) -> list[Metric]:
        """All of them."""
        made: list[Metric] = [CounterMetricFamily(f"martenstep_{name}", name.replace("_", " "), value=value)
                              for name, value in self._counts().items()]
        made += [GaugeMetricFamily(f"martenstep_{name}", name.replace("_", " "), value=value)
                 for name, value in self._gauges().items()]
        return made


class Admin:
    """Answers GETs of a few paths."""

    def __init__(self, collector: Collector, ready: Callable[[], bool]) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(collector)
        self._ready = ready
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Bind; gives the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()

    def answer(self, path: str) -> tuple[int, str, bytes]:
        """Status, content type and body for a path."""
        if path == "/healthz":
            return 200, "text/plain", b"ok\n"
        if path == "/readyz":
            return (200, "text/plain", b"ready\n") if self._ready() else (503, "text/plain", b"not ready\n")
        if path == "/metrics":
            return 200, "text/plain; version=0.0.4", prometheus_client.generate_latest(self._registry)
        return 404, "text/plain", b"there are: /healthz /readyz /metrics\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            async with asyncio.timeout(ANSWER_MS / 1000):
                while (event := connection.next_event()) is h11.NEED_DATA:
                    connection.receive_data(await reader.read(4096))
            if isinstance(event, h11.Request):
                status, kind, body = self.answer(event.target.decode("latin-1").partition("?")[0])
                head = h11.Response(status_code=status, headers=[
                    ("content-type", kind), ("content-length", str(len(body))), ("connection", "close")])
                writer.write(connection.send(head) or b"")
                writer.write(connection.send(h11.Data(data=body)) or b"")
                writer.write(connection.send(h11.EndOfMessage()) or b"")
                await writer.drain()
        except (TimeoutError, OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()
