"""The server of a gateway: connects the engine to sockets.

One task for each client connection reads its requests one after another.  Responses are relayed in callbacks as their
bytes are received; only opening connections, long bodies and slow clients need tasks of their own.  Every decision is
the engine's: the server passes it events and performs the actions that it returns at once.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.event_log import EventLog
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.acceptor import Acceptor
from martenstep.proxy.attempt_sender import AttemptSender
from martenstep.proxy.client_connection import ClientConnection
from martenstep.proxy.client_request import ClientRequest
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.connection_pool import ConnectionPool
from martenstep.proxy.dependencies import ListenerLimits, UpstreamLimits
from martenstep.proxy.endpoint_processes import EndpointProcesses
from martenstep.proxy.engine import Engine
from martenstep.proxy.graceful_shutdown import GracefulShutdown
from martenstep.proxy.loop_lag import LoopClock, UntrackedLoopClock
from martenstep.proxy.response_relay import RecordUsage, ResponseRelay
from martenstep.proxy.server_state import ServerState
from martenstep.tasks import start_supervised

if TYPE_CHECKING:  # loaded only if the settings name them
    from martenstep.config.tls import ClientContext, ServerContext
    from martenstep.proxy.auth_requests import AuthClient
    from martenstep.proxy.traces import Trace

SWEEP_MS = 250.0  # interval between checks for idle and stalled connections
AddToCounter = Callable[[int, int, float, float, bool], None]


class ProxyServer:
    """The server of one gateway."""

    def __init__(  # noqa: PLR0913  # assembles the parts of the server
        self,
        listener: ListenerLimits,
        upstream: UpstreamLimits,
        engine: Engine,
        log_event: EventLog,
        tls: ServerContext | None = None,
        upstream_tls: ClientContext | None = None,
        server_name: str = "",
        clock: LoopClock | None = None,
    ) -> None:
        """Requires a running event loop.  `clock` gives the earliest arrival time of what the loop finds ready."""
        self.engine, self.tls = engine, tls
        self.client_tls = [upstream_tls] if upstream_tls is not None else []
        self.state = ServerState(listener, upstream, engine, log_event)
        self.pool = ConnectionPool(
            upstream.connections,
            upstream.idle_ms,
            self.log_rejected_server,
            upstream_tls.context if upstream_tls is not None else None,
            server_name,
            upstream.all_connections,
        )
        self._acceptor = Acceptor(self.state, tls, clock or UntrackedLoopClock())
        self._processes = EndpointProcesses(lambda: engine.addresses, self.pool.retire_address)
        self._relay = ResponseRelay(self.state, self.pool)
        self._sender = AttemptSender(self.state, self.pool, self._relay)
        self._shutdown = GracefulShutdown(self.state, self._acceptor)
        self.add_to_counter: AddToCounter | None = None  # set if there is a counter
        self.subscribe_endpoints: Callable[[], None] | None = None  # set if discovery sends changes only on request
        self.export_trace: Callable[[Trace], None] | None = None
        self.auth_client: AuthClient | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self.state.set_action_handlers(self._action_handlers())

    def _action_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        return {
            ev.OpenAttempt: self._sender.open,
            ev.AbortAttempt: self._relay.abort_attempt,
            ev.RelayResponse: self._relay.relay,
            ev.SendLocalReply: self._relay.send_local_reply,
            ev.ResetClientConnection: self._relay.reset_client,
            ev.AddToCounter: self._add_to_counter,
            ev.RecordUsage: self._relay.record,
            ev.SubscribeEndpoints: self._subscribe_endpoints,
            ev.LogEvent: self._log,
            ev.ExportTrace: self._export_trace,
            ev.StartAuthCheck: self._start_auth_check,
            ev.StopAuthCheck: self._stop_auth_check,
        }

    # Lifecycle ----------------------------------------------------------------------------------------------

    async def start(self, sock: socket.socket | None = None, reuse_port: bool = False) -> int:
        """Start accepting on a new socket, or on one that is bound already; returns the port.  Raises OSError."""
        port = self._acceptor.start(sock, reuse_port)
        self._sweeper = start_supervised(self._sweep, self.log_task_failure)
        return port

    def reconfigure(self, listener: ListenerLimits, upstream: UpstreamLimits) -> None:
        """Apply limits that differ only in settings that may change without a restart."""
        self.state.listener, self.state.upstream = listener, upstream
        self.state.buffers.max_bytes = listener.buffer_bytes

    async def stop(self, timeout_ms: float, accept_ms: float = 0.0, serve_ms: float = 0.0) -> bool:
        """Drain, finish the requests in flight within `timeout_ms`, and close.

        New connections are accepted for `accept_ms`, and open ones are served for `serve_ms` in total.  True if every
        request was answered before `timeout_ms` ran out.
        """
        await self._shutdown.drain(accept_ms, serve_ms)
        all_answered = await self._shutdown.finish_requests(timeout_ms)
        await self._shutdown.close_clients()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for request in list(self.state.requests.values()):
            if request.attempt_task is not None:
                request.attempt_task.cancel()
        self.pool.close()
        if self.auth_client is not None:
            self.auth_client.close()
        self.state.cancel_tick()
        return all_answered

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_MS / MS_PER_S)
            now = now_ms()
            self.pool.close_expired()
            if self.auth_client is not None:
                self.auth_client.pool.close_expired()
            self._acceptor.close_expired(now)
            self._relay.fail_stalled(now)
            self.state.buffers.refresh()

    def handle(self, event: ev.Event) -> None:
        """Pass an event to the engine and perform the actions that it returns."""
        if isinstance(event, EndpointListEvent):
            self._processes.update(event, self.state.handle)
        else:
            self.state.handle(event)

    # Optional parts -----------------------------------------------------------------------------------------

    def set_auth_client(self, auth_client: AuthClient) -> None:
        """Set the client that sends checks to authentication services."""
        self.auth_client = auth_client
        self.client_tls += auth_client.tls

    def set_usage_recorder(self, record_usage: RecordUsage, timeout_ms: float = 0.0) -> None:
        """Set the callback that records the usage of requests.

        If it returns a future, the response waits for that, for at most `timeout_ms`.
        """
        self._relay.record_usage, self._relay.record_timeout_ms = record_usage, timeout_ms

    def set_staleness_check(self, endpoint_list_is_stale: Callable[[], bool]) -> None:
        """Set the check whether the endpoint list may lack a change that counts as notified; attempts then wait."""
        self._sender.endpoint_list_is_stale = endpoint_list_is_stale

    # Observation --------------------------------------------------------------------------------------------

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that the server runs in."""
        return self.state.loop

    @property
    def listening(self) -> bool:
        """Whether the server was started."""
        return self._acceptor.listener is not None

    @property
    def counts(self) -> dict[str, int]:
        """Totals since the start, by metric name."""
        return self.state.counts

    @property
    def requests(self) -> Mapping[int, ClientRequest]:
        """The requests in flight by id."""
        return self.state.requests

    @property
    def clients(self) -> set[ClientConnection]:
        """The open client connections."""
        return self.state.clients

    # Log ----------------------------------------------------------------------------------------------------

    def log_task_failure(self, where: str, error: BaseException) -> None:
        """Log that a background task ended with an unexpected error and is restarted."""
        self.state.log_task_failure(where, error)

    def log_rejected_server(self, address: str, reason: str) -> None:
        """Log that TLS rejected the certificate of an endpoint or of an authentication service."""
        self.state.log_event("upstream certificate rejected", {"address": address, "reason": reason})

    # Actions ------------------------------------------------------------------------------------------------

    def _add_to_counter(self, action: ev.AddToCounter) -> None:
        assert self.add_to_counter is not None, "AddToCounter action, but the settings name no counter"
        self.add_to_counter(action.call_id, action.key, action.units, action.expire_ms, action.bounds_ceiling)

    def _subscribe_endpoints(self, action: ev.SubscribeEndpoints) -> None:
        if self.subscribe_endpoints is not None:
            self.subscribe_endpoints()

    def _log(self, action: ev.LogEvent) -> None:
        self.state.log_event(action.event, action.fields)

    def _export_trace(self, action: ev.ExportTrace) -> None:
        if self.export_trace is not None:
            self.export_trace(action.trace)

    def _start_auth_check(self, action: ev.StartAuthCheck) -> None:
        assert self.auth_client is not None, "StartAuthCheck action, but the settings name no authentication service"
        self.auth_client.start(action)

    def _stop_auth_check(self, action: ev.StopAuthCheck) -> None:
        assert self.auth_client is not None, "StopAuthCheck action, but the settings name no authentication service"
        self.auth_client.stop(action)
