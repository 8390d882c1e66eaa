"""An emulated gateway: the engine, store client and endpoint list follower of the daemon on modelled connections.

The processor time of the daemon is modelled as one worker that processes requests and responses one after the other.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from martenstep.config import door_pb2 as cfg
from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.discovery.endpoint_list_state import EndpointListState
from martenstep.lab.emulate.auth import EmulatedAuthService
from martenstep.lab.emulate.core import Sim, Timer
from martenstep.lab.emulate.net import Location, Network, Pipe
from martenstep.lab.emulate.servers import EmulatedServer, Job
from martenstep.lab.emulate.store import EmulatedStore
from martenstep.policy.messages import EndpointListScope
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_factory import make_engine
from martenstep.proxy.engine_messages import AttemptFailure
from martenstep.proxy.headers import get_header
from martenstep.redis_counter import messages as store
from martenstep.redis_counter.core import Core
from martenstep.redis_counter.messages import AddCall

STORE_NODE = "store"
STORE_ZONE = "store"


@dataclass(frozen=True, slots=True)
class ProcessingCosts:
    """Processor time of a gateway's process: about 0.7 ms for each request over sockets (docs/measurements.md)."""

    request_ms: float = 0.35
    answer_ms: float = 0.35


@dataclass(slots=True, eq=False)
class ClientConnection:
    """The gateway's side of a client connection: where the response goes."""

    reply: Callable[[int, ev.Headers, bool], None]  # status, headers, whether the response is complete
    pipe: Pipe


class UpstreamConnection:
    """One connection from a gateway to a server, with the state of both ends."""

    __slots__ = (
        "_gateway",
        "attempt",
        "closed_at_server",
        "delivered",
        "established",
        "job",
        "request_id",
        "server",
        "to_gateway",
        "to_server",
    )

    def __init__(self, gateway: EmulatedGateway, server: EmulatedServer, to_server: Pipe, to_gateway: Pipe) -> None:
        self._gateway, self.server, self.to_server, self.to_gateway = gateway, server, to_server, to_gateway
        self.request_id = self.attempt = -1  # the attempt in progress
        self.job: Job | None = None
        self.established = False
        self.delivered = True  # whether the last request has arrived at the server
        self.closed_at_server = False

    # At the server's end --------------------------------------------------------------------------------

    def request_arrived(self, trace_fields: dict[str, Any], cls: str, key: str, customer: str) -> None:
        """Run at the server when a request has arrived."""
        self.delivered = True
        if not self.closed_at_server:
            self.job = self.server.receive_request(self, trace_fields, cls, key, customer)

    def gateway_closed(self) -> None:
        """Run at the server when the gateway's close has arrived."""
        if not self.closed_at_server:
            self.closed_at_server = True
            self.server.connections.pop(self, None)
            if self.job is not None:
                self.server.cancel_job(self.job)

    def job_ended(self, job: Job, how: str, size: int) -> None:
        """Send the server's response to the gateway."""
        if self.closed_at_server:
            return
        self.job = None
        if how in ("reset", "cut"):
            self.closed_at_server = True
            self.server.connections.pop(self, None)
        self.to_gateway.send(self._gateway.receive_response, self, self.request_id, self.attempt, how, size=size)

    def server_closed(self) -> None:
        """Close the connection at the server and cancel its job."""
        if not self.closed_at_server:
            self.closed_at_server = True
            if self.job is not None:
                self.server.cancel_job(self.job)
            self.to_gateway.send(self._gateway.connection_lost, self)


class EmulatedGateway:
    """The process of one gateway."""

    def __init__(
        self,
        sim: Sim,
        net: Network,
        settings: cfg.Door,
        number: int,
        seed: int,
        servers: dict[int, EmulatedServer],
        zones: dict[int, str],
        redis: EmulatedStore | None,
        costs: ProcessingCosts,
        subscribe: Callable[[EmulatedGateway], None],
        services: dict[int, EmulatedAuthService],
    ) -> None:
        """Create a running gateway.

        `services` maps the ports in the settings to authentication services, `zones` maps the servers' numbers to
        their zones, and `subscribe` asks the feed to send changes.
        """
        self._services = services
        self._checks: dict[int, int] = {}  # the attempt of each check in progress
        self._sim, self._net, self.settings, self.number = sim, net, settings, number
        self.name, self._servers, self._redis, self._costs = settings.name, servers, redis, costs
        self.location = Location(settings.name, settings.zone)
        self.engine = make_engine(settings, seed)
        self._zones, self._subscribe = zones, subscribe
        self.alive, self.stopping = True, False
        self.endpoint_list = EndpointListState()
        self.subscribed = False
        self._client_connections: dict[int, ClientConnection] = {}
        self._last_request_id = 0
        self._busy_until = 0.0
        self._idle: dict[int, list[UpstreamConnection]] = {}
        self._connection_counts: dict[int, int] = {}  # connections to each server, established or being opened
        self._active_attempts: dict[int, UpstreamConnection] = {}  # by request id
        self._actions: deque[ev.Action] = deque()
        self._performing = False
        self._timer: Timer | None = None
        self._timer_at = 0.0
        self.reason_counts: dict[str, int] = {}
        self._store_timer: Timer | None = None
        self._store_client: Core | None = None
        if redis is not None:
            options = settings.store
            self._store_client = Core(
                store.CoreOptions(
                    options.timeout_ms,
                    options.connections,
                    options.waiting,
                    options.gather_ms,
                    options.prefix,
                    options.scripts,
                ),
                random.Random(seed),
            )
            self._store_pipes: dict[store.ConnectionId, tuple[Pipe, Pipe]] = {}
            self._store_location = Location(STORE_NODE, STORE_ZONE)
            self._store_client.set_topology(sim.now, [STORE_NODE])
            self._perform_store_actions()
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            ev.OpenAttempt: self._open_attempt,
            ev.AbortAttempt: self._abort_attempt,
            ev.RelayResponse: self._relay_response,
            ev.SendLocalReply: self._send_local_reply,
            ev.ResetClientConnection: self._reset_client,
            ev.AddToCounter: self._add_to_counter,
            ev.SubscribeEndpoints: self._subscribe_endpoints,
            ev.LogEvent: self._log_event,
            ev.StartAuthCheck: self._start_auth_check,
            ev.StopAuthCheck: self._stop_auth_check,
        }

    # Engine ---------------------------------------------------------------------------------------------

    def handle_event(self, event: ev.Event) -> None:
        """Pass an event to the engine and perform the actions that it returns."""
        if self.alive:
            self._perform(self.engine.handle(self._sim.now, event))

    def _perform(self, actions: list[ev.Action]) -> None:
        self._actions.extend(actions)
        if self._performing:
            return
        self._performing = True
        while self._actions:
            action = self._actions.popleft()
            handler = self._action_handlers.get(type(action))
            if handler is not None:
                handler(action)
        self._performing = False
        at = self.engine.next_at()
        if at is not None and (self._timer is None or at < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = at
            self._timer = self._sim.at(at, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.handle_event(ev.Tick())

    def _queue_work(self, cost: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call for the time at which the process has spent `cost` on it, after all earlier work."""
        self._busy_until = max(self._sim.now, self._busy_until) + cost
        self._sim.at(self._busy_until, call, *args)

    def _log_event(self, action: ev.LogEvent) -> None:
        if action.event in ("request finished", "request rejected"):
            reason = action.fields["reason"]
            self.reason_counts[reason] = self.reason_counts.get(reason, 0) + 1

    # Clients --------------------------------------------------------------------------------------------

    def accepts_connections(self) -> bool:
        """Whether the gateway accepts a client's connection."""
        return self.alive and not self.stopping

    def receive_request(self, client: ClientConnection, method: bytes, target: bytes, headers: ev.Headers) -> int:
        """Accept a client's request; returns its id."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self._client_connections[request_id] = client
        self._queue_work(self._costs.request_ms, self._process_request, request_id, method, target, headers)
        return request_id

    def _process_request(self, request_id: int, method: bytes, target: bytes, headers: ev.Headers) -> None:
        if request_id in self._client_connections:
            self.handle_event(ev.RequestReceived(request_id, method, target, headers, "127.0.0.1"))

    def client_disconnected(self, request_id: int) -> None:
        """Notify the engine that the client has closed its connection."""
        if self._client_connections.pop(request_id, None) is not None:
            self.handle_event(ev.ClientDisconnected(request_id))

    def _send_local_reply(self, action: ev.SendLocalReply) -> None:
        client = self._client_connections.pop(action.request_id, None)
        if client is not None:
            client.pipe.send(client.reply, action.status, action.headers, True, size=len(action.body) + 300)

    def _relay_response(self, action: ev.RelayResponse) -> None:
        client = self._client_connections.get(action.request_id)
        if client is not None and action.complete:
            del self._client_connections[action.request_id]
            client.pipe.send(client.reply, action.status, action.headers, True, size=2000)

    def _reset_client(self, action: ev.ResetClientConnection) -> None:
        client = self._client_connections.pop(action.request_id, None)
        if client is not None:
            client.pipe.send(client.reply, 0, [], False)

    # Servers --------------------------------------------------------------------------------------------

    def _open_attempt(self, action: ev.OpenAttempt) -> None:
        server = self._servers[action.endpoint]
        idle = self._idle.get(action.endpoint)
        while idle:
            connection = idle.pop()
            if connection.established:
                self._write_request(connection, action)
                return
        open_connections = self._connection_counts.get(action.endpoint, 0)
        if open_connections >= self.settings.upstream.connections:
            self.handle_event(ev.AttemptFailed(action.request_id, action.attempt, AttemptFailure.CONNECTION_LIMIT))
            return
        self._connection_counts[action.endpoint] = open_connections + 1
        server_location = Location(f"server-{action.endpoint}", self._server_zone(action.endpoint))
        connection = UpstreamConnection(
            self,
            server,
            Pipe(self._net, self.location, server_location),
            Pipe(self._net, server_location, self.location),
        )
        connection.request_id, connection.attempt = action.request_id, action.attempt
        self._active_attempts[action.request_id] = connection
        connection.to_server.send(self._connect_at_server, connection, action, size=60)

    def _server_zone(self, server: int) -> str:
        return self._zones.get(server, "")

    def _connect_at_server(self, connection: UpstreamConnection, action: ev.OpenAttempt) -> None:
        """Run at the server when the request to connect has arrived."""
        if connection.server.accepts_connections:
            connection.server.connections[connection] = None
            connection.to_gateway.send(self._connected, connection, action, size=60)
        else:
            connection.closed_at_server = True
            connection.to_gateway.send(self._connect_refused, connection, action, size=60)

    def _connected(self, connection: UpstreamConnection, action: ev.OpenAttempt) -> None:
        if self._active_attempts.get(action.request_id) is connection and not connection.established and self.alive:
            connection.established = True
            self._write_request(connection, action)
        else:  # the attempt was aborted in the meantime
            self._close(connection)

    def _connect_refused(self, connection: UpstreamConnection, action: ev.OpenAttempt) -> None:
        if self._active_attempts.get(action.request_id) is connection:
            del self._active_attempts[action.request_id]
            self._release_connection(connection)
            self.handle_event(ev.AttemptFailed(action.request_id, action.attempt, AttemptFailure.NOT_CONNECTED))

    def _write_request(self, connection: UpstreamConnection, action: ev.OpenAttempt) -> None:
        connection.request_id, connection.attempt = action.request_id, action.attempt
        self._active_attempts[action.request_id] = connection
        self.handle_event(ev.AttemptWritten(action.request_id, action.attempt))
        if self._active_attempts.get(action.request_id) is not connection:
            return
        headers = action.headers
        trace_fields = {
            "rid": (get_header(headers, b"x-request-id") or b"").decode(),
            "attempt": action.attempt,
            "door": self.name,
            "server": action.endpoint,
        }
        cls = action.target.decode("latin-1").split("/")[1]
        key = (get_header(headers, b"idempotency-key") or b"").decode()
        customer = (get_header(headers, b"x-auth-customer") or get_header(headers, b"x-customer") or b"").decode()
        connection.delivered = False
        connection.to_server.send(connection.request_arrived, trace_fields, cls, key, customer)
        if action.deliver_by is not None:
            self._sim.at(action.deliver_by, self._delivery_timed_out, connection, action)

    def _delivery_timed_out(self, connection: UpstreamConnection, action: ev.OpenAttempt) -> None:
        """Close the connection, as the kernel does when its bytes are not acknowledged in time."""
        same = self._active_attempts.get(action.request_id) is connection and connection.attempt == action.attempt
        if same and not connection.delivered and self.alive:
            del self._active_attempts[action.request_id]
            self._close(connection)
            self.handle_event(ev.AttemptFailed(action.request_id, action.attempt, AttemptFailure.CLOSED))

    def _abort_attempt(self, action: ev.AbortAttempt) -> None:
        connection = self._active_attempts.pop(action.request_id, None)
        if connection is not None:
            self._close(connection)

    def _close(self, connection: UpstreamConnection) -> None:
        """Close the connection; the server receives the close later."""
        connection.established = False
        connection.to_gateway.open = False
        self._release_connection(connection)
        connection.to_server.reset()
        connection.to_server.send(connection.gateway_closed, size=60)

    def _release_connection(self, connection: UpstreamConnection) -> None:
        number = connection.server.config.id
        self._connection_counts[number] -= 1

    def connection_lost(self, connection: UpstreamConnection) -> None:
        """Handle that the server has closed the connection."""
        if not connection.established and connection.request_id not in self._active_attempts:
            return
        connection.established = False
        self._release_connection(connection)
        if self._active_attempts.get(connection.request_id) is connection:
            del self._active_attempts[connection.request_id]
            self.handle_event(ev.AttemptFailed(connection.request_id, connection.attempt, AttemptFailure.CLOSED))
        else:
            idle = self._idle.get(connection.server.config.id, [])
            if connection in idle:
                idle.remove(connection)

    def receive_response(self, connection: UpstreamConnection, request_id: int, attempt: int, how: str) -> None:
        """Queue a server's response for processing."""
        if self._active_attempts.get(request_id) is not connection or connection.attempt != attempt:
            return
        self._queue_work(self._costs.answer_ms, self._process_response, connection, request_id, attempt, how)

    def _process_response(self, connection: UpstreamConnection, request_id: int, attempt: int, how: str) -> None:
        if self._active_attempts.get(request_id) is not connection or connection.attempt != attempt or not self.alive:
            return
        if how in ("reset", "cut"):
            connection.established = False
            self._release_connection(connection)
            del self._active_attempts[request_id]
            self.handle_event(ev.AttemptFailed(request_id, attempt, AttemptFailure.CLOSED))
            return
        upstream = self.settings.upstream
        status = {"error": 500, "refused": upstream.refusal_status}.get(how, 200)
        headers: ev.Headers = [(upstream.refusal_header.encode(), b"1")] if how == "refused" else []
        self.handle_event(ev.ResponseHeadReceived(request_id, attempt, status, headers))
        if self._active_attempts.get(request_id) is connection:  # otherwise the engine has aborted the attempt
            del self._active_attempts[request_id]
            self._idle.setdefault(connection.server.config.id, []).append(connection)
            self.handle_event(ev.ResponseCompleted(request_id, attempt))

    # Store ----------------------------------------------------------------------------------------------

    def _add_to_counter(self, action: ev.AddToCounter) -> None:
        assert self._store_client is not None
        self._store_client.add(
            self._sim.now, AddCall(action.call_id, action.key, action.units, action.expire_ms, action.bounds_ceiling)
        )
        self._perform_store_actions()

    def _perform_store_actions(self) -> None:
        client = self._store_client
        assert client is not None
        for action in client.take_actions():
            match action:
                case store.AnswerCall(call=call, result=verdict, total=total, retained_ms=retained_ms):
                    self.handle_event(ev.CounterReplied(call, verdict, total, retained_ms))
                case store.WriteOperations(connection=connection_id):
                    self._store_pipes[connection_id][0].send(
                        self._write_at_store, action, size=120 * len(action.operations)
                    )
                case store.OpenConnection(connection=connection_id):
                    pipes = (
                        Pipe(self._net, self.location, self._store_location),
                        Pipe(self._net, self._store_location, self.location),
                    )
                    self._store_pipes[connection_id] = pipes
                    pipes[0].send(self._connect_at_store, connection_id, pipes, size=60)
                case store.CloseConnection(connection=connection_id):
                    closed = self._store_pipes.pop(connection_id, None)
                    if closed is not None:
                        closed[1].open = False
                case _:
                    pass
        if self._store_timer is not None:
            self._store_timer.cancel()
        at = client.next_timer_ms(self._sim.now)
        self._store_timer = self._sim.at(at, self._store_timer_due) if at < float("inf") else None

    def _store_timer_due(self) -> None:
        if self.alive and self._store_client is not None:
            self._store_client.on_timer(self._sim.now)
            self._perform_store_actions()

    def _connect_at_store(self, connection_id: store.ConnectionId, pipes: tuple[Pipe, Pipe]) -> None:
        assert self._redis is not None
        pipes[1].send(self._store_connected, connection_id, pipes, not self._redis.down, size=60)

    def _store_connected(self, connection_id: store.ConnectionId, pipes: tuple[Pipe, Pipe], accepted: bool) -> None:
        if self._store_pipes.get(connection_id) is not pipes or not self.alive or self._store_client is None:
            return
        if accepted:
            self._store_client.on_opened(self._sim.now, connection_id)
        else:
            del self._store_pipes[connection_id]
            self._store_client.on_connect_failed(self._sim.now, connection_id, "refused")
        self._perform_store_actions()

    def _write_at_store(self, write: store.WriteOperations) -> None:
        assert self._redis is not None and self._store_client is not None
        pipes = self._store_pipes.get(write.connection)
        if self._redis.down:
            return
        done, answers = self._redis.execute(self.name, write, self._store_client.store_key)
        if answers is not None and pipes is not None:
            self._sim.at(done, pipes[1].send, self._store_replied, write.connection, pipes, answers)
        elif pipes is not None and self._redis.cut_share:
            self._sim.at(done, pipes[1].send, self.store_connection_lost, write.connection, pipes)

    def _store_replied(
        self,
        connection_id: store.ConnectionId,
        pipes: tuple[Pipe, Pipe],
        answers: list[store.StatementReply | store.StoreError],
    ) -> None:
        if self._store_pipes.get(connection_id) is pipes and self.alive and self._store_client is not None:
            for answer in answers:
                self._store_client.on_reply(self._sim.now, connection_id, answer)
            self._perform_store_actions()

    def store_connection_lost(self, connection_id: store.ConnectionId, pipes: tuple[Pipe, Pipe]) -> None:
        """Handle that a connection to the store has ended."""
        if self._store_pipes.get(connection_id) is pipes and self.alive and self._store_client is not None:
            del self._store_pipes[connection_id]
            pipes[1].open = False
            self._store_client.on_connection_lost(self._sim.now, connection_id, "broke")
            self._perform_store_actions()

    def break_store_connections(self) -> None:
        """End all connections to the store."""
        for connection_id, pipes in list(self._store_pipes.items()) if self._store_client is not None else ():
            self.store_connection_lost(connection_id, pipes)

    # Authentication -------------------------------------------------------------------------------------

    def _start_auth_check(self, action: ev.StartAuthCheck) -> None:
        self._checks[action.check_id] = action.attempt
        service = self._services[action.address[1]]
        to_service, to_gateway = (
            Pipe(self._net, self.location, service.location),
            Pipe(self._net, service.location, self.location),
        )
        credential = (get_header(action.headers, b"authorization") or b"").decode("latin-1")
        rid = (get_header(action.headers, b"x-request-id") or b"").decode("latin-1")

        def reply(status: int, headers: ev.Headers, body: bytes) -> None:
            to_gateway.send(self._auth_check_replied, action, status, headers, body)

        to_service.send(service.check, credential, rid, reply, lambda: to_gateway.send(self._auth_check_failed, action))

    def _auth_check_replied(self, action: ev.StartAuthCheck, status: int, headers: ev.Headers, body: bytes) -> None:
        if self._checks.get(action.check_id) == action.attempt:
            del self._checks[action.check_id]
            self.handle_event(ev.AuthCheckReplied(action.check_id, action.attempt, status, list(headers), body))

    def _auth_check_failed(self, action: ev.StartAuthCheck) -> None:
        if self._checks.get(action.check_id) == action.attempt:
            del self._checks[action.check_id]
            self.handle_event(ev.AuthCheckFailed(action.check_id, action.attempt))

    def _stop_auth_check(self, action: ev.StopAuthCheck) -> None:
        self._checks.pop(action.check_id, None)

    # Feed -----------------------------------------------------------------------------------------------

    def _subscribe_endpoints(self, _: ev.SubscribeEndpoints) -> None:
        self.subscribed = True
        self._subscribe(self)

    def receive_endpoint_list(self, body: bytes) -> None:
        """Apply the feed's response to a poll."""
        if self.alive:
            listed, _ = self.endpoint_list.apply(body, self._sim.now)
            if listed is not None:
                self.handle_event(listed)

    def restore_endpoint_list(self, body: bytes | None) -> None:
        """Restore the cached endpoint list of the previous process."""
        self.handle_event(
            self.endpoint_list.restore(body, self._sim.now, self._sim.now)
            if body
            else EndpointListEvent(EndpointListScope.CACHED)
        )

    def feed_lost(self) -> None:
        """Notify the engine that the feed cannot be reached."""
        self.handle_event(EndpointListEvent(EndpointListScope.LOST))

    # Process --------------------------------------------------------------------------------------------

    def kill(self) -> None:
        """End as by SIGKILL: no further response is sent, and every connection ends."""
        self.alive = False
        for client in self._client_connections.values():
            client.pipe.send(client.reply, 0, [], False)
        self._client_connections.clear()
        for connection in [
            *self._active_attempts.values(),
            *(connection for idle in self._idle.values() for connection in idle),
        ]:
            connection.to_server.reset()  # as the kernel does for connections of a ConnectionPool
            connection.to_server.send(connection.gateway_closed, size=60)
        for timer in (self._timer, self._store_timer):
            if timer is not None:
                timer.cancel()

    def shut_down(self, done: Callable[[], None]) -> None:
        """Shut down as by SIGTERM: reject new connections, answer accepted requests, end within `stop_ms`."""
        self.stopping = True
        self._await_answers(self._sim.now + self.settings.stop_ms, done)

    def _await_answers(self, until: float, done: Callable[[], None]) -> None:
        # The engine does not count requests that still wait for the process, but `_client_connections` holds them.
        if (self.engine.unanswered or self._client_connections) and self._sim.now < until:
            self._sim.after(10.0, self._await_answers, until, done)
            return
        self._perform(self.engine.stop(self._sim.now))
        self._sim.after(50.0, self._shutdown_complete, done)

    def _shutdown_complete(self, done: Callable[[], None]) -> None:
        self.kill()
        done()
