"""The client of the platform's discovery: polls the full endpoint list, then watches it for changes.

A watch is a poll that discovery answers when the list changes, or after a time that the poll states.  The next one is
sent as soon as a response arrives.  The agent answers from what it has received, and is silent while discovery is down.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.event_log import EventLog
from martenstep.node.endpoint_list import DiscoveryError, EndpointListFollower, RejectedError
from martenstep.node.poll_timing import AGENT_TIMING, DiscoveryTiming, ListFreshness, PollPace
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.http1.client_connection import Http1ClientConnection
from martenstep.proxy.http1.message_head import ProtocolError, ResponseHead
from martenstep.proxy.http1.message_reader import Data, EndOfMessage
from martenstep.proxy.transport import READ_BYTES, WatchedProtocol, WatchedReader, is_ready
from martenstep.tasks import start_supervised

# The agent is on this machine and answers at once.  The gateway counts as notified of what the agent wrote to a
# connection that broke, and must obey a drain within a second of it; so a new connection that is silent as well must
# time out well before that.
CONNECT_TIMEOUT_S = 0.2
MAX_RESPONSE_MS = 1500.0  # a response must be complete within this after it was due, even if it arrives byte by byte
MAX_RESPONSE_BYTES = 4 << 20  # room for thousands of endpoints
REJECTED_STATUSES = (429, 503)
FRESHNESS_CHECK_DELAY_S = 0.001  # after the time at which the list may become stale
OK = 200


class DiscoveryClient:
    """Keeps the endpoint list up to date over one connection at a time."""

    def __init__(
        self,
        address: tuple[str, int],
        follower: EndpointListFollower,
        updated: Callable[[EndpointListEvent], None],
        log_event: EventLog,
        timing: DiscoveryTiming = AGENT_TIMING,
    ) -> None:
        """`updated` is called with each update; `timing` fits an agent or a shared service."""
        self._timing, self._pace = timing, PollPace(timing)
        self._address, self._follower, self._updated, self._log_event = address, follower, updated, log_event
        self._task: asyncio.Task[None] | None = None
        self._lost = False
        self._connection: tuple[WatchedReader, asyncio.StreamWriter] | None = None
        self._poll_at_once = False  # the next watch returns at once, even without changes
        self._freshness, self._is_stale = ListFreshness(), False
        self._freshness_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start polling."""
        self._task = start_supervised(self._run, self._log_failure)

    def change_address(self, address: tuple[str, int]) -> None:
        """Poll discovery at another address, beginning with the full list, since its revisions may differ."""
        if address == self._address:
            return
        self._address, self._pace = address, PollPace(self._timing)
        self._follower.revision = None
        if self._task is not None:  # else `start` has not been called, and will use the new address
            self._task.cancel()
            self.start()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether received bytes are still unprocessed, here or in the kernel."""
        if self._connection is None:
            return False
        reader, writer = self._connection
        return bool(reader.buffered) or is_ready(writer, select.POLLIN)

    def restart_poll(self) -> None:
        """Cancel the current poll and poll again at once.

        Its response may have been sent while the process did not run; the gateway counts as notified of that response,
        although its timeout may have passed.
        """
        if self._task is not None:
            self._task.cancel()
            self._poll_at_once = True
            self.start()

    @property
    def answered_at(self) -> float:
        """The time of discovery's last response, on the gateway's clock."""
        return self._freshness.answered_at

    @property
    def rejected(self) -> bool:
        """Whether discovery rejected the last poll: it could be reached, and sent no list."""
        return self._freshness.rejected

    def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
        if self._freshness_timer is not None:
            self._freshness_timer.cancel()

    async def _run(self) -> None:
        while True:
            backoff_ms = self._timing.min_backoff_ms
            try:
                await self._follow()
            except RejectedError as error:
                self._poll_failed(error, rejected=True)
                backoff_ms = self._pace.rejected(self._freshness.age_ms(now_ms()))
            except Exception as error:  # if this task ended, the list would never change again
                if not isinstance(error, OSError | DiscoveryError | ProtocolError):
                    self._log_failure("discovery", error)
                    self._lost = True
                if isinstance(error, TimeoutError):
                    self._pace.timed_out()
                self._poll_failed(error)
                backoff_ms = self._pace.failed()
                # After a connection failure the last response is still valid, so the next poll requests the changes
                # since then, at once; after any other error it requests the full list.
                self._poll_at_once = isinstance(error, OSError)
                if not self._poll_at_once:
                    self._follower.revision = None
            await asyncio.sleep(backoff_ms / MS_PER_S)

    def _log_failure(self, where: str, error: BaseException) -> None:
        self._log_event("fault", {"where": where, "error": repr(error)})

    def _poll_failed(self, error: Exception, rejected: bool = False) -> None:
        if not self._lost:
            self._log_event("discovery connection lost", {"error": repr(error)})
        self._lost = True
        self._freshness.poll_failed(rejected)
        self._check_freshness()

    def _check_freshness(self) -> None:
        """Report the list as draining once it is stale and in full once it is fresh; set a timer for the next check."""
        now = now_ms()
        is_stale = self._freshness.is_stale(now)
        if is_stale is not self._is_stale:
            self._log_event("endpoint list stale" if is_stale else "endpoint list fresh", {})
            self._updated(self._follower.draining_list() if is_stale else self._follower.full_list())
            self._is_stale = is_stale
        if self._freshness_timer is not None:
            self._freshness_timer.cancel()
        next_at = self._freshness.next_change_at(now)
        self._freshness_timer = None
        if next_at is not None:
            delay_s = (next_at - now) / MS_PER_S + FRESHNESS_CHECK_DELAY_S
            self._freshness_timer = asyncio.get_running_loop().call_later(delay_s, self._check_freshness)

    async def _follow(self) -> None:
        """Poll over one connection until it ends or fails."""
        loop = asyncio.get_running_loop()
        reader = WatchedReader()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, protocol = await loop.create_connection(lambda: WatchedProtocol(reader), *self._address)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        self._connection = reader, writer
        http, pace = Http1ClientConnection(), self._pace
        try:
            while http.reusable:
                await self._poll(reader, writer, http, pace)
        finally:
            self._connection = None
            writer.close()

    async def _poll(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        http: Http1ClientConnection,
        pace: PollPace,
    ) -> None:
        """Send one poll and apply its response."""
        is_watch, began_at = self._follower.revision is not None, now_ms()
        due_ms = pace.watch_ms if is_watch and not self._poll_at_once else 0.0
        self._poll_at_once = False
        target = self._follower.next_target(due_ms).encode()
        host = f"{self._address[0]}:{self._address[1]}".encode()
        writer.write(http.encode_head(b"GET", target, [(b"host", host)]) + http.encode_end())
        self._freshness.poll_started(began_at, is_watch)
        self._check_freshness()
        body = await self._read_response(reader, http, due_ms + pace.response_timeout_ms(due_ms))
        update = self._follower.apply_response(body)
        self._freshness.poll_succeeded(now_ms())
        late_ms = now_ms() - began_at - due_ms
        pace.succeeded(late_ms if late_ms >= 0 else None)
        if self._lost:
            self._lost = False
            self._log_event("discovery connection recovered", {"rev": self._follower.revision})
        if update is not None and not self._is_stale:
            self._updated(update)
        self._check_freshness()  # reports the full list if it was stale

    async def _read_response(self, reader: asyncio.StreamReader, http: Http1ClientConnection, wait_ms: float) -> bytes:
        """Return the body of a response; raises TimeoutError.

        Its first byte must arrive within `wait_ms`, each further part within the read timeout, and all of it within
        `wait_ms` plus MAX_RESPONSE_MS.
        """
        body = bytearray()
        async with asyncio.timeout((wait_ms + MAX_RESPONSE_MS) / MS_PER_S):
            while True:
                event = http.next_event()
                if event is None:
                    async with asyncio.timeout(wait_ms / MS_PER_S):
                        http.feed(await reader.read(READ_BYTES))
                    wait_ms = self._timing.read_timeout_ms
                elif isinstance(event, ResponseHead):
                    if event.status in REJECTED_STATUSES:
                        raise RejectedError(f"discovery rejected the poll with status {event.status}")
                    if event.status != OK:
                        raise DiscoveryError(f"response status: expected {OK}, got {event.status}")
                elif isinstance(event, Data):
                    body += event.data
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise DiscoveryError(
                            f"response body: expected at most {MAX_RESPONSE_BYTES} bytes, got {len(body)}"
                        )
                elif isinstance(event, EndOfMessage):
                    return bytes(body)
                else:
                    raise ConnectionResetError("discovery closed the connection before the response was complete")
