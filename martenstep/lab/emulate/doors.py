"""A door in virtual time: the very engine, store and feed follower of the daemon, between modelled connections.

What the daemon's process costs is modelled as one worker that takes requests and answers in turn.
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
from martenstep.lab.emulate.auth import EmuAuth
from martenstep.lab.emulate.core import Sim, Timer
from martenstep.lab.emulate.net import Network, Pipe, Place
from martenstep.lab.emulate.servers import EmuServer, Job
from martenstep.lab.emulate.store import EmuStore
from martenstep.policy.messages import EndpointListScope
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine_factory import make_engine
from martenstep.proxy.engine_messages import AttemptFailure
from martenstep.proxy.headers import get_header
from martenstep.redis_counter import messages as store
from martenstep.redis_counter.core import Core
from martenstep.redis_counter.messages import AddCall

STORE_NODE = "store"
ZONE_OF_STORE = "store"


@dataclass(frozen=True, slots=True)
class Costs:
    """Processor time of a door's process, in ms: measured about 0.7 a request over sockets (docs/measurements.md)."""

    request_ms: float = 0.35
    answer_ms: float = 0.35


@dataclass(slots=True, eq=False)
class Caller:
    """What a door knows of the client that asked: where its answer goes."""

    reply: Callable[[int, ev.Headers, bool], None]  # status, headers; False: broke off
    pipe: Pipe


class Connection:
    """One connection from a door to a server, both ends of it."""

    __slots__ = ("_door", "attempt", "back", "ended", "forth", "job", "reached", "request_id", "server", "up")

    def __init__(self, door: EmuDoor, server: EmuServer, forth: Pipe, back: Pipe) -> None:
        self._door, self.server, self.forth, self.back = door, server, forth, back
        self.request_id = self.attempt = -1  # of the attempt that it carries
        self.job: Job | None = None
        self.up = False
        self.reached = True  # what was written last has come to the server
        self.ended = False  # at the server's end

    # At the server's end --------------------------------------------------------------------------------

    def came(self, told: dict[str, Any], cls: str, key: str, customer: str) -> None:
        """A request has come over it."""
        self.reached = True
        if not self.ended:
            self.job = self.server.arrive(self, told, cls, key, customer)

    def closed(self) -> None:
        """The door has closed it."""
        if not self.ended:
            self.ended = True
            self.server.callers.pop(self, None)
            if self.job is not None:
                self.server.give_up(self.job)

    def answered(self, job: Job, how: str, size: int) -> None:
        """The server's answer goes out."""
        if self.ended:
            return
        self.job = None
        if how in ("reset", "cut"):
            self.ended = True
            self.server.callers.pop(self, None)
        self.back.send(self._door.answered, self, self.request_id, self.attempt, how, size=size)

    def dropped(self) -> None:
        """The server drops it, with what it carries."""
        if not self.ended:
            self.ended = True
            if self.job is not None:
                self.server.give_up(self.job)
            self.back.send(self._door.lost, self)


class EmuDoor:
    """One door's process."""

    def __init__(
        self,
        sim: Sim,
        net: Network,
        settings: cfg.Door,
        number: int,
        seed: int,
        servers: dict[int, EmuServer],
        zones: dict[int, str],
        redis: EmuStore | None,
        costs: Costs,
        subscribe: Callable[[EmuDoor], None],
        services: dict[int, EmuAuth],
    ) -> None:
        """`services` authenticate, by the port that the settings name; `zones` are the servers', by number;
        `subscribe` asks the feed to tell of changes."""
        self._services = services
        self._checks: dict[int, int] = {}  # checks that are out: the attempt
        self._sim, self._net, self.settings, self.number = sim, net, settings, number
        self.name, self._servers, self._redis, self._costs = settings.name, servers, redis, costs
        self.place = Place(settings.name, settings.zone)
        self.engine = make_engine(settings, seed)
        self._zones, self._subscribe = zones, subscribe
        self.alive, self.stopping = True, False
        self.follower = EndpointListState()
        self.listening = False
        self._callers: dict[int, Caller] = {}
        self._last_request_id = 0
        self._busy_until = 0.0
        self._idle: dict[int, list[Connection]] = {}
        self._number: dict[int, int] = {}  # connections of a server, dialled or standing
        self._out: dict[int, Connection] = {}  # by request_id
        self._actions: deque[ev.Action] = deque()
        self._acting = False
        self._timer: Timer | None = None
        self._timer_at = 0.0
        self.answers: dict[str, int] = {}
        self._store_timer: Timer | None = None
        self._core: Core | None = None
        if redis is not None:
            told = settings.store
            self._core = Core(
                store.CoreOptions(
                    told.timeout_ms, told.connections, told.waiting, told.gather_ms, told.prefix, told.scripts
                ),
                random.Random(seed),
            )
            self._lanes: dict[store.ConnectionId, tuple[Pipe, Pipe]] = {}
            self._store_place = Place(STORE_NODE, ZONE_OF_STORE)
            self._core.set_topology(sim.now, [STORE_NODE])
            self._store_act()
        self._does: dict[type, Callable[[Any], None]] = {
            ev.OpenAttempt: self._open,
            ev.AbortAttempt: self._abandon,
            ev.RelayResponse: self._pass,
            ev.SendLocalReply: self._reply,
            ev.ResetClientConnection: self._break,
            ev.AddToCounter: self._add,
            ev.SubscribeEndpoints: self._listen,
            ev.LogEvent: self._log_event,
            ev.StartAuthCheck: self._ask_service,
            ev.StopAuthCheck: self._stop_asking,
        }

    # Engine ---------------------------------------------------------------------------------------------

    def act(self, event: ev.Event) -> None:
        """Tell the engine, and do what it says."""
        if self.alive:
            self._run(self.engine.handle(self._sim.now, event))

    def _run(self, actions: list[ev.Action]) -> None:
        self._actions.extend(actions)
        if self._acting:
            return
        self._acting = True
        while self._actions:
            action = self._actions.popleft()
            does = self._does.get(type(action))
            if does is not None:
                does(action)
        self._acting = False
        at = self.engine.next_at()
        if at is not None and (self._timer is None or at < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = at
            self._timer = self._sim.at(at, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.act(ev.Tick())

    def _in_turn(self, cost: float, call: Callable[..., None], *args: Any) -> None:
        """Do it as soon as the process has come to it."""
        self._busy_until = max(self._sim.now, self._busy_until) + cost
        self._sim.at(self._busy_until, call, *args)

    def _log_event(self, action: ev.LogEvent) -> None:
        if action.event in ("request finished", "request rejected"):
            reason = action.fields["reason"]
            self.answers[reason] = self.answers.get(reason, 0) + 1

    # Clients --------------------------------------------------------------------------------------------

    def accepts(self) -> bool:
        """Whether a client's connection is taken."""
        return self.alive and not self.stopping

    def asked(self, caller: Caller, method: bytes, target: bytes, headers: ev.Headers) -> int:
        """A client's request has come; gives its request_id."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self._callers[request_id] = caller
        self._in_turn(self._costs.request_ms, self._arrived, request_id, method, target, headers)
        return request_id

    def _arrived(self, request_id: int, method: bytes, target: bytes, headers: ev.Headers) -> None:
        if request_id in self._callers:
            self.act(ev.RequestReceived(request_id, method, target, headers, "127.0.0.1"))

    def client_left(self, request_id: int) -> None:
        """The client is gone."""
        if self._callers.pop(request_id, None) is not None:
            self.act(ev.ClientDisconnected(request_id))

    def _reply(self, action: ev.SendLocalReply) -> None:
        caller = self._callers.pop(action.request_id, None)
        if caller is not None:
            caller.pipe.send(caller.reply, action.status, action.headers, True, size=len(action.body) + 300)

    def _pass(self, action: ev.RelayResponse) -> None:
        caller = self._callers.get(action.request_id)
        if caller is not None and action.complete:
            del self._callers[action.request_id]
            caller.pipe.send(caller.reply, action.status, action.headers, True, size=2000)

    def _break(self, action: ev.ResetClientConnection) -> None:
        caller = self._callers.pop(action.request_id, None)
        if caller is not None:
            caller.pipe.send(caller.reply, 0, [], False)

    # Servers --------------------------------------------------------------------------------------------

    def _open(self, action: ev.OpenAttempt) -> None:
        server = self._servers[action.endpoint]
        idle = self._idle.get(action.endpoint)
        while idle:
            connection = idle.pop()
            if connection.up:
                self._begin(connection, action)
                return
        held = self._number.get(action.endpoint, 0)
        if held >= self.settings.upstream.connections:
            self.act(ev.AttemptFailed(action.request_id, action.attempt, AttemptFailure.CONNECTION_LIMIT))
            return
        self._number[action.endpoint] = held + 1
        there = Place(f"server-{action.endpoint}", self._zone_of(action.endpoint))
        connection = Connection(self, server, Pipe(self._net, self.place, there), Pipe(self._net, there, self.place))
        connection.request_id, connection.attempt = action.request_id, action.attempt
        self._out[action.request_id] = connection
        connection.forth.send(self._knock, connection, action, size=60)

    def _zone_of(self, server: int) -> str:
        return self._zones.get(server, "")

    def _knock(self, connection: Connection, action: ev.OpenAttempt) -> None:
        """At the server: the connection is taken or not."""
        if connection.server.takes:
            connection.server.callers[connection] = None
            connection.back.send(self._stands, connection, action, size=60)
        else:
            connection.ended = True
            connection.back.send(self._refused, connection, action, size=60)

    def _stands(self, connection: Connection, action: ev.OpenAttempt) -> None:
        if self._out.get(action.request_id) is connection and not connection.up and self.alive:
            connection.up = True
            self._begin(connection, action)
        else:  # given up meanwhile
            self._drop(connection)

    def _refused(self, connection: Connection, action: ev.OpenAttempt) -> None:
        if self._out.get(action.request_id) is connection:
            del self._out[action.request_id]
            self._uncount(connection)
            self.act(ev.AttemptFailed(action.request_id, action.attempt, AttemptFailure.NOT_CONNECTED))

    def _begin(self, connection: Connection, action: ev.OpenAttempt) -> None:
        connection.request_id, connection.attempt = action.request_id, action.attempt
        self._out[action.request_id] = connection
        self.act(ev.AttemptWritten(action.request_id, action.attempt))
        if self._out.get(action.request_id) is not connection:
            return
        headers = action.headers
        told = {
            "rid": (get_header(headers, b"x-request-id") or b"").decode(),
            "attempt": action.attempt,
            "door": self.name,
            "server": action.endpoint,
        }
        cls = action.target.decode("latin-1").split("/")[1]
        key = (get_header(headers, b"idempotency-key") or b"").decode()
        customer = (get_header(headers, b"x-auth-customer") or get_header(headers, b"x-customer") or b"").decode()
        connection.reached = False
        connection.forth.send(connection.came, told, cls, key, customer)
        if action.deliver_by is not None:
            self._sim.at(action.deliver_by, self._undelivered, connection, action)

    def _undelivered(self, connection: Connection, action: ev.OpenAttempt) -> None:
        """The kernel breaks a connection whose bytes were not acknowledged in their time."""
        same = self._out.get(action.request_id) is connection and connection.attempt == action.attempt
        if same and not connection.reached and self.alive:
            del self._out[action.request_id]
            self._drop(connection)
            self.act(ev.AttemptFailed(action.request_id, action.attempt, AttemptFailure.CLOSED))

    def _abandon(self, action: ev.AbortAttempt) -> None:
        connection = self._out.pop(action.request_id, None)
        if connection is not None:
            self._drop(connection)

    def _drop(self, connection: Connection) -> None:
        """Close it, here and now; the server learns of it a moment later."""
        connection.up = False
        connection.back.open = False
        self._uncount(connection)
        connection.forth.reset()
        connection.forth.send(connection.closed, size=60)

    def _uncount(self, connection: Connection) -> None:
        number = connection.server.config.id
        self._number[number] -= 1

    def lost(self, connection: Connection) -> None:
        """The server has dropped it."""
        if not connection.up and connection.request_id not in self._out:
            return
        connection.up = False
        self._uncount(connection)
        if self._out.get(connection.request_id) is connection:
            del self._out[connection.request_id]
            self.act(ev.AttemptFailed(connection.request_id, connection.attempt, AttemptFailure.CLOSED))
        else:
            idle = self._idle.get(connection.server.config.id, [])
            if connection in idle:
                idle.remove(connection)

    def answered(self, connection: Connection, request_id: int, attempt: int, how: str) -> None:
        """A server's answer has come."""
        if self._out.get(request_id) is not connection or connection.attempt != attempt:
            return
        self._in_turn(self._costs.answer_ms, self._read, connection, request_id, attempt, how)

    def _read(self, connection: Connection, request_id: int, attempt: int, how: str) -> None:
        if self._out.get(request_id) is not connection or connection.attempt != attempt or not self.alive:
            return
        if how in ("reset", "cut"):
            connection.up = False
            self._uncount(connection)
            del self._out[request_id]
            self.act(ev.AttemptFailed(request_id, attempt, AttemptFailure.CLOSED))
            return
        upstream = self.settings.upstream
        status = {"error": 500, "refused": upstream.refusal_status}.get(how, 200)
        headers: ev.Headers = [(upstream.refusal_header.encode(), b"1")] if how == "refused" else []
        self.act(ev.ResponseHeadReceived(request_id, attempt, status, headers))
        if self._out.get(request_id) is connection:  # else the engine has given the attempt up
            del self._out[request_id]
            self._idle.setdefault(connection.server.config.id, []).append(connection)
            self.act(ev.ResponseCompleted(request_id, attempt))

    # Store ----------------------------------------------------------------------------------------------

    def _add(self, action: ev.AddToCounter) -> None:
        assert self._core is not None
        self._core.add(
            self._sim.now, AddCall(action.call_id, action.key, action.units, action.expire_ms, action.bounds_ceiling)
        )
        self._store_act()

    def _store_act(self) -> None:
        core = self._core
        assert core is not None
        for action in core.take_actions():
            match action:
                case store.AnswerCall(call=call, result=verdict, total=total, retained_ms=kept):
                    self.act(ev.CounterReplied(call, verdict, total, kept))
                case store.WriteOperations(connection=lane):
                    self._lanes[lane][0].send(self._at_store, action, size=120 * len(action.operations))
                case store.OpenConnection(connection=lane):
                    pipes = (
                        Pipe(self._net, self.place, self._store_place),
                        Pipe(self._net, self._store_place, self.place),
                    )
                    self._lanes[lane] = pipes
                    pipes[0].send(self._store_knock, lane, pipes, size=60)
                case store.CloseConnection(connection=lane):
                    found = self._lanes.pop(lane, None)
                    if found is not None:
                        found[1].open = False
                case _:
                    pass
        if self._store_timer is not None:
            self._store_timer.cancel()
        at = core.next_timer_ms(self._sim.now)
        self._store_timer = self._sim.at(at, self._store_wake) if at < float("inf") else None

    def _store_wake(self) -> None:
        if self.alive and self._core is not None:
            self._core.on_timer(self._sim.now)
            self._store_act()

    def _store_knock(self, lane: store.ConnectionId, pipes: tuple[Pipe, Pipe]) -> None:
        assert self._redis is not None
        pipes[1].send(self._store_stands, lane, pipes, not self._redis.down, size=60)

    def _store_stands(self, lane: store.ConnectionId, pipes: tuple[Pipe, Pipe], taken: bool) -> None:
        if self._lanes.get(lane) is not pipes or not self.alive or self._core is None:
            return
        if taken:
            self._core.on_opened(self._sim.now, lane)
        else:
            del self._lanes[lane]
            self._core.on_connect_failed(self._sim.now, lane, "refused")
        self._store_act()

    def _at_store(self, write: store.WriteOperations) -> None:
        assert self._redis is not None and self._core is not None
        pipes = self._lanes.get(write.connection)
        if self._redis.down:
            return
        done, answers = self._redis.take(self.name, write, self._core.store_key)
        if answers is not None and pipes is not None:
            self._sim.at(done, pipes[1].send, self._store_said, write.connection, pipes, answers)
        elif pipes is not None and self._redis.cut_share:
            self._sim.at(done, pipes[1].send, self.store_lost, write.connection, pipes)

    def _store_said(
        self, lane: store.ConnectionId, pipes: tuple[Pipe, Pipe], answers: list[store.StatementReply | store.StoreError]
    ) -> None:
        if self._lanes.get(lane) is pipes and self.alive and self._core is not None:
            for answer in answers:
                self._core.on_reply(self._sim.now, lane, answer)
            self._store_act()

    def store_lost(self, lane: store.ConnectionId, pipes: tuple[Pipe, Pipe]) -> None:
        """A connection to the store broke."""
        if self._lanes.get(lane) is pipes and self.alive and self._core is not None:
            del self._lanes[lane]
            pipes[1].open = False
            self._core.on_connection_lost(self._sim.now, lane, "broke")
            self._store_act()

    def store_gone(self) -> None:
        """All connections to the store break."""
        for lane, pipes in list(self._lanes.items()) if self._core is not None else ():
            self.store_lost(lane, pipes)

    # Authentication -------------------------------------------------------------------------------------

    def _ask_service(self, action: ev.StartAuthCheck) -> None:
        self._checks[action.check_id] = action.attempt
        service = self._services[action.address[1]]
        forth, back = Pipe(self._net, self.place, service.place), Pipe(self._net, service.place, self.place)
        credential = (get_header(action.headers, b"authorization") or b"").decode("latin-1")
        rid = (get_header(action.headers, b"x-request-id") or b"").decode("latin-1")

        def reply(status: int, headers: ev.Headers, body: bytes) -> None:
            back.send(self._verdict, action, status, headers, body)

        forth.send(service.ask, credential, rid, reply, lambda: back.send(self._check_failed, action))

    def _verdict(self, action: ev.StartAuthCheck, status: int, headers: ev.Headers, body: bytes) -> None:
        if self._checks.get(action.check_id) == action.attempt:
            del self._checks[action.check_id]
            self.act(ev.AuthCheckReplied(action.check_id, action.attempt, status, list(headers), body))

    def _check_failed(self, action: ev.StartAuthCheck) -> None:
        if self._checks.get(action.check_id) == action.attempt:
            del self._checks[action.check_id]
            self.act(ev.AuthCheckFailed(action.check_id, action.attempt))

    def _stop_asking(self, action: ev.StopAuthCheck) -> None:
        self._checks.pop(action.check_id, None)

    # Feed -----------------------------------------------------------------------------------------------

    def _listen(self, _: ev.SubscribeEndpoints) -> None:
        self.listening = True
        self._subscribe(self)

    def told(self, body: bytes) -> None:
        """The feed's answer."""
        if self.alive:
            listed, _ = self.follower.apply(body, self._sim.now)
            if listed is not None:
                self.act(listed)

    def warm(self, body: bytes | None) -> None:
        """The list as last held."""
        self.act(
            self.follower.restore(body, self._sim.now, self._sim.now)
            if body
            else EndpointListEvent(EndpointListScope.CACHED)
        )

    def feed_lost(self) -> None:
        """The feed cannot be reached."""
        self.act(EndpointListEvent(EndpointListScope.LOST))

    # Life -----------------------------------------------------------------------------------------------

    def kill(self) -> None:
        """SIGKILL: nothing is answered any more, every connection breaks."""
        self.alive = False
        for caller in self._callers.values():
            caller.pipe.send(caller.reply, 0, [], False)
        self._callers.clear()
        for connection in [*self._out.values(), *(one for idle in self._idle.values() for one in idle)]:
            connection.forth.reset()  # as the kernel does: Pool.dial
            connection.forth.send(connection.closed, size=60)
        for timer in (self._timer, self._store_timer):
            if timer is not None:
                timer.cancel()

    def leave(self, done: Callable[[], None]) -> None:
        """SIGTERM: accept no more, answer what is held, leave in a bounded time."""
        self.stopping = True
        self._leaving(self._sim.now + self.settings.stop_ms, done)

    def _leaving(self, until: float, done: Callable[[], None]) -> None:
        if (
            self.engine.unanswered or self._callers
        ) and self._sim.now < until:  # those in turn are not the engine's yet
            self._sim.after(10.0, self._leaving, until, done)
            return
        self._run(self.engine.stop(self._sim.now))
        self._sim.after(50.0, self._left, done)

    def _left(self, done: Callable[[], None]) -> None:
        self.kill()
        done()
