"""The client of the endpoint feed: polls it over a socket, and caches the list on disk."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections.abc import Callable
from pathlib import Path

import h11

from martenstep.backoff import Backoff
from martenstep.config import door_pb2 as pb
from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.discovery.endpoint_list_state import EndpointListState
from martenstep.discovery.feed_protocol import FeedError, poll_target
from martenstep.policy.messages import EndpointListScope

MIN_RETRY_MS, MAX_RETRY_MS = 100.0, 2000.0  # between polls that fail
RESPONSE_GRACE_MS = 5000.0  # a poll without a response this long after its wait has failed
MAX_RESPONSE_BYTES = 16 << 20
READ_BYTES = 65536
CACHE_SUFFIX = ".new"
POLL_ERRORS = (OSError, TimeoutError, FeedError, h11.ProtocolError, asyncio.IncompleteReadError)


class EndpointFeed:
    """Polls the feed for one instance and reports each change."""

    def __init__(
        self,
        settings: pb.MembersFeed,
        instance: str,
        on_event: Callable[[EndpointListEvent], None],
        log_text: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        """`log_text` takes the name of a log event and its text; `clock` is monotonic, in milliseconds."""
        self._settings = settings
        self._instance = instance
        self._on_event = on_event
        self._log_text = log_text
        self._clock = clock
        self._state = EndpointListState()
        self._cache_path = Path(settings.warm_copy) if settings.warm_copy else None
        self.backoff = Backoff(MIN_RETRY_MS, MAX_RETRY_MS)
        self._subscribed = asyncio.Event()
        self._is_lost = False

    def restore(self) -> None:
        """Report the cached list, or an empty one if there is none or it cannot be read."""
        event = EndpointListEvent(EndpointListScope.CACHED)
        if self._cache_path is not None:
            try:
                event = self._state.restore(self._cache_path.read_bytes(), self._clock(), time.time() * 1000)
            except FileNotFoundError:
                pass
            except (OSError, FeedError) as error:
                self._log_text("cached endpoint list unusable", str(error))
        self._on_event(event)

    def subscribe(self) -> None:
        """Start polling, since the policy subscribes to changes of the endpoint list."""
        self._subscribed.set()

    async def run(self) -> None:
        """Wait for `subscribe`, then poll until cancelled."""
        await self._subscribed.wait()
        while True:
            try:
                await self._poll()
            except POLL_ERRORS as error:
                if not self._is_lost:
                    self._is_lost = True
                    self._log_text("endpoint feed lost", f"{type(error).__name__}: {error}")
                    self._on_event(EndpointListEvent(EndpointListScope.LOST))
                await asyncio.sleep(self.backoff.failed() / 1000)

    async def _poll(self) -> None:
        """Poll over one connection until it fails."""
        async with asyncio.timeout(RESPONSE_GRACE_MS / 1000):
            reader, writer = await asyncio.open_connection(self._settings.host, self._settings.port)
        connection = h11.Connection(h11.CLIENT)
        try:
            while True:
                self._send_request(writer, connection)
                async with asyncio.timeout((self._settings.wait_ms + RESPONSE_GRACE_MS) / 1000):
                    body = await self._read_response(reader, connection)
                self._apply(body)
                connection.start_next_cycle()
        finally:
            writer.close()

    def _send_request(self, writer: asyncio.StreamWriter, connection: h11.Connection) -> None:
        settings = self._settings
        target = poll_target(settings.path, self._state.index, settings.wait_ms, self._instance)
        request = h11.Request(method="GET", target=target, headers=[("host", f"{settings.host}:{settings.port}")])
        writer.write(connection.send(request) or b"")
        writer.write(connection.send(h11.EndOfMessage()) or b"")

    @staticmethod
    async def _read_response(reader: asyncio.StreamReader, connection: h11.Connection) -> bytes:
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise FeedError(f"the feed responded with status {event.status_code}, expected 200")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise FeedError(f"the feed's response is longer than {MAX_RESPONSE_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif isinstance(event, h11.ConnectionClosed):
                raise FeedError("the feed closed the connection before its response was complete")

    def _apply(self, body: bytes) -> None:
        update = self._state.apply(body, self._clock())
        self.backoff.succeeded()
        for anomaly in update.anomalies:
            self._log_text("endpoint list anomaly", anomaly)
        if self._is_lost:
            self._is_lost = False
            self._log_text("endpoint feed recovered", f"index {self._state.index}")
        if update.event is not None:
            self._write_cache()
            self._on_event(update.event)

    def _write_cache(self) -> None:
        """Write a temporary file, then rename it, so that a kill leaves either the old list or the new one."""
        if self._cache_path is None:
            return
        temporary = self._cache_path.with_name(self._cache_path.name + CACHE_SUFFIX)
        try:
            temporary.write_bytes(self._state.encode(time.time() * 1000))
            os.replace(temporary, self._cache_path)
        except OSError as error:
            self._log_text("cached endpoint list not written", str(error))
            with contextlib.suppress(OSError):
                temporary.unlink(missing_ok=True)
