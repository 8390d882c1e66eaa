"""The server of a gateway: the engine on sockets.

One task for each client connection reads requests in turn; responses are relayed as their bytes come, and only
connecting, long bodies and slow clients take tasks of their own.  Whatever is to be decided goes to the engine as an
event, and the actions that it returns are carried out at once.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from martenstep.event_log import EventLog
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.acceptor import Acceptor
from martenstep.proxy.attempt_sender import AttemptSender
from martenstep.proxy.client_connection import ClientConnection
from martenstep.proxy.client_request import ClientRequest
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.connection_pool import ConnectionPool
from martenstep.proxy.dependencies import ListenerLimits, UpstreamLimits
from martenstep.proxy.engine import Engine
from martenstep.proxy.graceful_shutdown import GracefulShutdown
from martenstep.proxy.loop_lag import ClockNow, LoopClock
from martenstep.proxy.response_relay import RecordUsage, ResponseRelay
from martenstep.proxy.server_state import ServerState
from martenstep.tasks import start_supervised

if TYPE_CHECKING:  # loaded where the settings name them
    from martenstep.config.tls import ClientContext, ServerContext
    from martenstep.proxy.auth_requests import AuthClient
    from martenstep.proxy.traces import Trace

SWEEP_MS = 250.0  # how often idle and stalled connections are looked for
AddToCounter = Callable[[int, int, float, float, bool], None]


class ProxyServer:
    """One gateway on sockets."""

    def __init__(  # noqa: PLR0913  # puts the parts together
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
        """To be made in a running event loop.  `clock` tells when what the loop finds ready came at the earliest."""
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
        self._acceptor = Acceptor(self.state, tls, clock or ClockNow())
        self._relay = ResponseRelay(self.state, self.pool)
        self._sender = AttemptSender(self.state, self.pool, self._relay)
        self._shutdown = GracefulShutdown(self.state, self._acceptor)
        self.add_to_counter: AddToCounter | None = None  # where there is a counter
        self.subscribe_endpoints: Callable[[], None] | None = None  # where discovery has to be asked for changes
        self.export_trace: Callable[[Trace], None] | None = None
        self.auth_client: AuthClient | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self.state.dispatch_to(self._action_handlers())

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

    # Life ---------------------------------------------------------------------------------------------------

    async def start(self, sock: socket.socket | None = None, reuse_port: bool = False) -> int:
        """Bind, or take a socket that is bound already, and accept; returns the port.  Raises OSError."""
        port = self._acceptor.start(sock, reuse_port)
        self._sweeper = start_supervised(self._sweep, self.log_task_failure)
        return port

    def reconfigure(self, listener: ListenerLimits, upstream: UpstreamLimits) -> None:
        """Take over limits that differ only in what may change in service."""
        self.state.listener, self.state.upstream = listener, upstream

    async def stop(self, timeout_ms: float, accept_ms: float = 0.0, serve_ms: float = 0.0) -> bool:
        """Drain, answer what is in flight within `timeout_ms`, and close; True where all was answered by itself.

        Connections are accepted for `accept_ms`, and those that stand are served for `serve_ms` in all.
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

    def handle(self, event: ev.Event) -> None:
        """Hand an event to the engine, and carry out its actions."""
        self.state.handle(event)

    # Parts around -------------------------------------------------------------------------------------------

    def set_auth_client(self, auth_client: AuthClient) -> None:
        """Set what carries checks to authentication services."""
        self.auth_client = auth_client
        self.client_tls += auth_client.tls

    def set_usage_recorder(self, record_usage: RecordUsage, timeout_ms: float = 0.0) -> None:
        """Set what records the usage of requests.

        Where it returns a future, the response waits for that, and no longer than `timeout_ms`.
        """
        self._relay.record_usage, self._relay.record_timeout_ms = record_usage, timeout_ms

    def set_staleness_check(self, endpoint_list_is_stale: Callable[[], bool]) -> None:
        """Set what tells whether the endpoint list may lack what counts as notified: attempts wait then."""
        self._sender.endpoint_list_is_stale = endpoint_list_is_stale

    # Observation --------------------------------------------------------------------------------------------

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that it runs in."""
        return self.state.loop

    @property
    def listening(self) -> bool:
        """Whether clients could come."""
        return self._acceptor.listener is not None

    @property
    def counts(self) -> dict[str, int]:
        """Totals since the start, by the names that the metrics have."""
        return self.state.counts

    @property
    def requests(self) -> Mapping[int, ClientRequest]:
        """The requests in flight, by id."""
        return self.state.requests

    @property
    def clients(self) -> set[ClientConnection]:
        """The clients' connections."""
        return self.state.clients

    # Log ----------------------------------------------------------------------------------------------------

    def log_task_failure(self, where: str, error: BaseException) -> None:
        """Log that a background task ended by an error that nobody expected, and is started anew."""
        self.state.log_task_failure(where, error)

    def log_rejected_server(self, address: str, reason: str) -> None:
        """Log that a server is not the one that its certificate must show."""
        self.state.log_event("upstream certificate rejected", {"address": address, "reason": reason})

    # Actions ------------------------------------------------------------------------------------------------

    def _add_to_counter(self, action: ev.AddToCounter) -> None:
        assert self.add_to_counter is not None, "the policy counts only where the settings name a counter"
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
        assert self.auth_client is not None, "the engine authorizes only where the settings name a service"
        self.auth_client.start(action)

    def _stop_auth_check(self, action: ev.StopAuthCheck) -> None:
        assert self.auth_client is not None
        self.auth_client.stop(action)
