"""The door without its sockets: events and the time in, actions out.

It owes the module one Outcome for each Send, one Total for each Count, a Due for each Wake, a Left when a client
goes, and the member lists in order; it gives the module nothing of a request after its final answer but the
outcome of an attempt that was still out.  It decides nothing of its own beyond HTTP.  Two guards stand behind the
module: a request whose deadline comes while nothing is out is answered all the same, and an Add that the store
never answers ends as a time-out.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from martenstep.auth import core as auth
from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from martenstep.policy.messages import CallResult
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.attempt_outcomes import of_ending, of_stop
from martenstep.proxy.dependencies import Guarded, Parts, Routed, Unroutable
from martenstep.proxy.headers import STATUS, encoded, header, overlaid, rate_limit, reason_header, waits
from martenstep.proxy.permission import AttemptFacts, Denial, may_begin
from martenstep.proxy.targets import Declined

if TYPE_CHECKING:  # a door without them does not load them: hooks, traces and sub-requests weigh more than the rest
    from martenstep.hooks.releases import Edition, Shelf
    from martenstep.hooks.runner import Runner
    from martenstep.proxy.traces import Trace

FULL_HOUSE_WAIT_MS = 1000.0  # retry-after where the door holds all it may: about the time a request takes
COUNT_GRACE_MS = 1.0  # the store answers its time-outs itself; this long after them the engine does
ID_BYTES = 200  # of a client's request id at most: longer ones are cut
EDGE = 0  # the number of the edge proxy as a server
PLANS_KNOWN = 20_000  # credentials whose plan is kept, to shed by it
NO_CONTENT = 204
NO_HEADERS: ev.Headers = []
NOBODY = api.Plan("")  # of a request whose customer is not known yet
# Of a denying answer, what a client needs to do better: where to log in, and how.
DENY_HEADERS = frozenset(
    (b"content-type", b"www-authenticate", b"location", b"set-cookie", b"retry-after", b"cache-control")
)
GATEWAY_ERROR, GATEWAY_TIMEOUT, UNAVAILABLE = 502, 504, 503


class Attempt:
    """One attempt, from its Send to its Outcome."""

    __slots__ = ("begun", "headers", "number", "open", "sent_at", "server", "status", "written")

    def __init__(self, number: int, server: int, sent_at: float) -> None:
        self.number, self.server, self.sent_at = number, server, sent_at
        self.open, self.written, self.begun = True, False, False
        self.status = 0
        self.headers: ev.Headers = []


class Exchange:
    """One client request, from its head to the end of its last attempt."""

    __slots__ = (
        "arrived",
        "attempt",
        "credential",
        "deadline",
        "edition",
        "guarded",
        "head",
        "label",
        "one_attempt",
        "rid",
        "risk_at",
        "routed",
        "runner",
        "sending",
        "servers",
        "settled",
        "shown",
        "shown_as",
        "ticket",
        "timed_out",
        "told",
        "trace",
        "verdict",
    )

    def __init__(self, arrived: ev.Arrived, routed: Routed, rid: str, label: str, now: float, deadline: float) -> None:
        self.ticket, self.rid, self.label, self.routed = arrived.ticket, rid, label, routed
        self.head = arrived
        self.arrived, self.deadline = now, deadline
        self.attempt: Attempt | None = None  # the last one
        self.servers: list[int] = []  # of all attempts
        self.settled = False  # it has its final answer, or its client is gone
        self.guarded: Guarded | None = None  # an authentication service is to tell its customer
        self.verdict: auth.Answer | None = None  # what it said
        self.credential = b""  # a digest
        self.told = False  # the module knows of it
        self.trace: Trace | None = None
        self.one_attempt = False  # its body cannot be written again
        self.risk_at: float | None = None  # the first attempt that may have run was sent
        self.edition: Edition | None = None  # the hooks that act at its begin
        self.runner: Runner | None = None  # those of them that are its customer's
        self.shown: tuple[Any, ...] | None = None  # the record that hooks are given,
        self.shown_as: Routed | None = None  # and what the request was then
        self.sending: tuple[bytes, ev.Headers] | None = None  # what a hook made of its target, for all attempts
        self.timed_out = False


class Engine:
    """One door: the module's Gateway, its requests, its timers."""

    def __init__(self, parts: Parts, seed: int, shelf: Shelf | None = None) -> None:
        """`shelf` holds the hooks, where there are any."""
        self.settings = parts.settings
        self._gateway = Gateway(self.settings, seed)
        self._status, self._wording = parts.status, parts.wording
        self._name, self._id_header = parts.name, parts.id_header
        self._connect_ms, self._cancel, self._streams = parts.connect_ms, parts.cancel, parts.streams
        self._records, self._noted = parts.records, parts.noted
        self._max_wait = parts.max_wait_ms
        self._sampler = parts.sampler
        self._plan_of: OrderedDict[bytes, str] = OrderedDict()  # by credential, as last told
        self._auth: auth.Core | None = None
        if parts.auth is not None:
            told = self._auth_told = parts.auth
            self._auth = auth.Core(told.rules, len(told.services), random.Random(seed))
        # Asked by an edge proxy: what the module sends on goes to the proxy itself, the one server there is.
        self._answerer = parts.answerer
        if self._answerer is not None:
            edge = api.Endpoint(EDGE, self.settings.zone, "edge", 0, api.EndpointState.UP)
            self._gateway.handle(0.0, api.EndpointListUpdate(api.EndpointListScope.FULL, (edge,)))
        self._shelf = shelf
        self.reconfigure(parts)
        self._exchanges: dict[int, Exchange] = {}  # by ticket, while anything of them is left
        self._rids: dict[str, Exchange] = {}
        self._open = 0  # requests without a final answer
        self.answers: dict[str, int] = {}  # final ones, by reason
        self.verdicts: dict[str, int] = {}  # on attempts
        self.denials: dict[str, int] = {}  # of attempts, at the moment of their first byte, by name
        self._taking: set[int] = set()  # servers that take requests, as last told
        self._addresses: dict[int, tuple[str, int]] = {}
        self._serial = 0
        self._seed = seed
        self._timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        # Bound once, so that a timer is known by its object.
        self._at_uncounted, self._at_deadline, self._at_unconnected = (
            self._uncounted,
            self._deadline,
            self._unconnected,
        )
        self._calls: dict[int, tuple[int, float]] = {}  # Adds out: name, and since when
        self._out: list[ev.Action] = []
        self._todo: deque[api.Event] = deque()  # what the module is to be told next
        self._now = 0.0
        self._stopped = False  # no request is taken any more
        self._handlers: dict[type, Callable[[Any], None]] = {
            ev.Arrived: self._arrived,
            ev.ClockStepped: self._clock_stepped,
            ev.ClientLeft: self._client_left,
            ev.BodyDropped: self._body_dropped,
            ev.Written: self._written,
            ev.AnswerHead: self._answer_head,
            ev.AnswerBegun: self._answer_begun,
            ev.AnswerWhole: self._answer_whole,
            ev.AttemptEnded: self._attempt_ended,
            ev.Counted: self._counted,
            ev.Listed: self._listed,
            ev.Tick: self._tick,
            ev.Checked: self._checked,
            ev.CheckFailed: self._check_failed,
        }

    # Outside --------------------------------------------------------------------------------------------

    @property
    def open(self) -> int:
        """Requests that are owed a final answer."""
        return self._open

    @property
    def held(self) -> dict[str, int]:
        """What is kept, for metrics and for tests that all books balance."""
        held = {
            "exchanges": len(self._exchanges),
            "calls": len(self._calls),
            "timers": len(self._timers),
            "servers": len(self._addresses),
            "open": self._open,
        }
        if self._auth is not None:
            held.update({f"auth_{name}": count for name, count in self._auth.held.items()})
        return held

    @property
    def addresses(self) -> Mapping[int, tuple[str, int]]:
        """Where the listed servers are."""
        return self._addresses

    def next_at(self) -> float | None:
        """When the next Tick is due."""
        timers = self._timers
        while timers and self._passed_by(timers[0][2], timers[0][3]):
            heapq.heappop(timers)
        own = timers[0][0] if timers else None
        asked = self._auth.next_at() if self._auth is not None else None
        return own if asked is None else asked if own is None else min(own, asked)

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Take in one event; gives what is to be done, in order."""
        self._now = max(now, self._now)
        due = self.next_at()
        if due is not None and due <= self._now and type(event) is not ev.Tick:
            self._tick(event)  # what was due before this event goes first, however late the driver is
        self._handlers[type(event)](event)
        out, self._out = self._out, []
        return out

    def reconfigure(self, parts: Parts) -> None:
        """Take up parts that differ only in what can change in service; requests that are inside keep theirs."""
        self._routes, self._targets, self._points = parts.routes, parts.targets, parts.points
        self._margin, self._max_open = parts.margin_ms, parts.max_open

    def may_begin(self, now: float, action: ev.Open) -> Denial | None:
        """Why an attempt may not be written now; none where it may.  Asked at the moment of its first byte."""
        exchange = self._exchanges.get(action.ticket)
        attempt = exchange.attempt if exchange is not None else None
        if exchange is None or attempt is None:
            return Denial.ANSWERED
        cls = exchange.routed.cls
        return self._denied_now(
            exchange,
            may_begin(
                AttemptFacts(
                    now,
                    exchange.deadline,
                    exchange.settled,
                    self._stopped,
                    attempt.number == action.attempt and attempt.open,
                    self._answerer is not None or action.server in self._taking,
                    cls.idempotency,
                    exchange.risk_at,
                    cls.deduplication_window_ms,
                )
            ),
        )

    def _denied_now(self, exchange: Exchange, denial: Denial | None) -> Denial | None:
        if denial is not None:
            self.denials[denial.name] = self.denials.get(denial.name, 0) + 1
            self._out.append(
                ev.LogEvent(
                    "attempt denied", {"request": exchange.label, "why": denial.value, "servers": exchange.servers}
                )
            )
        return denial

    def worded(self, reason: str) -> tuple[ev.Headers, bytes]:
        """Headers and body of an answer to what is no request of the engine's."""
        return self._wording.own(reason, "", None)

    def stop(self, now: float) -> list[ev.Action]:
        """The daemon's time is over: every request that is still held gets its answer now, and no further attempt."""
        self._now, self._stopped = max(now, self._now), True
        for exchange in list(self._exchanges.values()):
            attempt = exchange.attempt
            if exchange.settled or (attempt and attempt.begun):  # the end of the connection tells that it is not whole
                self._deadline(exchange.ticket)
                continue
            if exchange.told:
                self._tell(
                    api.ClientDisconnected(exchange.rid)
                )  # else the module would answer its outcome with another attempt
            open_attempt = attempt if attempt and attempt.open else None
            may_have_run = exchange.risk_at is not None or (open_attempt is not None and open_attempt.written)
            exchange.timed_out = True
            self._give_up(
                exchange, not may_have_run or exchange.routed.cls.idempotency is api.Idempotency.IDEMPOTENT, "stopping"
            )
            if open_attempt:
                self._stop(exchange, open_attempt, CallResult.TIMEOUT)
        out, self._out = self._out, []
        return out

    # The module -----------------------------------------------------------------------------------------

    def _tell(self, event: api.Event) -> None:
        """Tell the module, and carry out what it decides; what that causes to be told goes in order."""
        self._todo.append(event)
        if len(self._todo) > 1:
            return
        while self._todo:
            for action in self._gateway.handle(self._now, self._todo[0]):
                self._carry(action)
            self._todo.popleft()

    def _carry(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._send(action)
            case api.Reject(id=rid, retry_after_ms=wait, reason=reason):
                self._answer(self._rids[rid], STATUS[reason], reason.value, min(wait, self._max_wait))
            case api.Fail(id=rid):
                self._fail(self._rids[rid])
            case api.IncrementCounter(key=name, units=units, expire_ms=expire_ms, bounds_ceiling=proof):
                self._serial += 1
                self._calls[self._serial] = name, self._now
                self._timer(
                    self._now + self.settings.counter_timeout_ms + COUNT_GRACE_MS, self._at_uncounted, self._serial
                )
                self._out.append(ev.Add(self._serial, name, units, expire_ms, proof))
            case api.SetTimer(at_ms=at, token=token):
                self._timer(at, self._due, token)
            case api.CancelAttempt(id=rid, attempt=number):
                exchange = self._rids[rid]
                attempt = exchange.attempt
                if attempt and attempt.number == number and attempt.open and not attempt.begun:
                    self._stop(exchange, attempt, CallResult.CANCELLED)
            case api.Subscribe():
                self._out.append(ev.Listen())
            case api.Log(text=text):
                self._out.append(ev.LogEvent("module", {"text": text}))

    def _send(self, action: api.StartAttempt) -> None:
        exchange = self._rids[action.id]
        number = len(exchange.servers)
        exchange.servers.append(action.endpoint)
        trace = exchange.trace
        if trace is not None:
            trace.end("counter", self._now)
        if self._records and number == 0:
            routed = exchange.routed
            self._out.append(
                ev.Tried(
                    exchange.label,
                    routed.key,
                    routed.plan.name,
                    routed.cls.name,
                    routed.units,
                    action.over_quota,
                    exchange.ticket,
                )
            )
        if self._answerer is not None:
            self._let_pass(exchange, number, action.endpoint)
            return
        if number == 0 and self._auth is not None:
            self._auth.sent(exchange.ticket)
        address = self._addresses.get(action.endpoint)
        attempt = exchange.attempt = Attempt(number, action.endpoint, self._now)
        if exchange.settled or address is None:
            attempt.open = False
            self._tell(api.AttemptEnded(action.id, number, action.endpoint, CallResult.NOT_SENT, 0.0, exchange.settled))
            return
        head = exchange.head
        wording, verdict = self._wording, exchange.verdict
        copied = wording.copied(list(verdict.headers)) if verdict is not None else []
        left = max(exchange.deadline - self._now, 0.0)
        target, given = head.target, NO_HEADERS
        if exchange.runner is not None and exchange.runner.has("sending"):
            assert self._points is not None
            if exchange.sending is None:
                exchange.sending = self._points.sending(self._now, exchange.runner, exchange)
            target, given = exchange.sending
        parent = b""
        if trace is not None:
            parent = trace.outgoing(trace.begin("attempt", self._now, attempt=number, server=action.endpoint))
        headers = wording.headers(
            head.headers,
            copied,
            given,
            exchange.label,
            exchange.rid,
            number,
            left,
            head.peer,
            parent,
            exchange.routed.cls.idempotency is api.Idempotency.KEYED,
        )
        self._timer(min(self._now + self._connect_ms, exchange.deadline), self._at_unconnected, exchange.ticket, number)
        self._out.append(
            ev.Open(
                exchange.ticket,
                number,
                action.endpoint,
                address,
                head.method,
                target,
                headers,
                exchange.deadline,
                self._deliver_by(exchange),
            )
        )

    def restate(self, now: float, action: ev.Open) -> None:
        """Have an attempt tell what is left by now, after its dial: a server that believes more works for nobody."""
        name, value = self._wording.expiry(max(action.expires - now, 0.0))
        action.headers = [(name, value) if pair[0] == name else pair for pair in action.headers]

    @staticmethod
    def _deliver_by(exchange: Exchange) -> float | None:
        """A repeat of a keyed request must come to its server while servers still know its key: what the network holds
        for longer is not to be delivered any more."""
        cls, risk = exchange.routed.cls, exchange.risk_at
        return (
            risk + cls.deduplication_window_ms
            if risk is not None and cls.idempotency is api.Idempotency.KEYED
            else None
        )

    def _let_pass(self, exchange: Exchange, number: int, server: int) -> None:
        """The edge proxy may forward the request: that is the sub-request's answer, and the outcome that is owed.  How
        the request itself ends never comes back here: the module learns of no latency and no failure, so its brake
        stays open, and what it keeps is quota and ceiling."""
        routed = exchange.routed
        headers: ev.Headers = [
            (b"content-length", b"0"),
            *self._limits(routed),
            (b"x-customer", routed.key.encode("latin-1", "replace")),
            (b"x-plan", routed.plan.name.encode()),
            *self._wording.signed(exchange.label),
        ]
        self._settle(exchange, 200, "let pass", None)
        self._out.append(ev.Reply(exchange.ticket, 200, headers, b""))
        self._forget(exchange)
        self._tell(api.AttemptEnded(exchange.rid, number, server, CallResult.OK, self._now - exchange.arrived, True))

    def _outcome(self, exchange: Exchange, attempt: Attempt, verdict: CallResult, ended: bool) -> None:
        """End an attempt; the one place that does."""
        attempt.open = False
        self.verdicts[verdict.value] = self.verdicts.get(verdict.value, 0) + 1
        if exchange.trace is not None:
            exchange.trace.end("attempt", self._now, verdict=verdict.value, written=attempt.written)
        rtt = self._now - attempt.sent_at
        if exchange.risk_at is None and not verdict.never_executed:
            exchange.risk_at = attempt.sent_at
        self._tell(api.AttemptEnded(exchange.rid, attempt.number, attempt.server, verdict, rtt, ended))

    def _stop(self, exchange: Exchange, attempt: Attempt, wanted: CallResult) -> None:
        """The door itself stops an attempt."""
        attempt.open = False  # nothing that still comes from it counts
        self._out.append(ev.Abandon(exchange.ticket, attempt.number))
        self._ended(exchange, attempt, of_stop(wanted, attempt.written))

    def _ended(self, exchange: Exchange, attempt: Attempt, verdict: CallResult) -> None:
        """An attempt ended without an answer that can be passed on."""
        if exchange.settled:
            self._outcome(exchange, attempt, verdict, True)
            self._forget(exchange)
        elif attempt.begun:
            self._settle(exchange, 0, "broken answer", None)
            self._out.append(ev.Break(exchange.ticket))
            self._outcome(exchange, attempt, verdict, True)
            self._forget(exchange)
        elif exchange.one_attempt:
            # Its body is partly gone: the module is not asked for a further attempt that cannot be made.
            harmless = exchange.routed.cls.idempotency is api.Idempotency.IDEMPOTENT or verdict.never_executed
            self._give_up(exchange, harmless, "spent")
            self._outcome(exchange, attempt, verdict, True)
            self._forget(exchange)
        else:
            self._outcome(exchange, attempt, verdict, False)

    # Answers --------------------------------------------------------------------------------------------

    def _limits(self, routed: Routed) -> ev.Headers:
        plan = routed.plan
        if plan.rate <= 0 or not self._wording.tells_limits:
            return []
        room = self._gateway.available_units(self._now, routed.customer)
        full = 0.0 if room is None else max(plan.burst - room, 0.0) / plan.rate * 1000.0
        return rate_limit(plan, room, full)

    def _fail(self, exchange: Exchange) -> None:
        """The final answer that promises nothing."""
        late = exchange.timed_out
        self._answer(exchange, GATEWAY_TIMEOUT if late else GATEWAY_ERROR, "timed out" if late else "failed", None)

    def _give_up(self, exchange: Exchange, harmless: bool, reason: str) -> None:
        """The final answer where the module is not asked for a further attempt: a refusal for `reason` if a retry
        does no harm."""
        if harmless:
            self._answer(exchange, UNAVAILABLE, reason, exchange.routed.cls.latency_objective_ms * 0.1)
        else:
            self._fail(exchange)

    def _answer(self, exchange: Exchange, status: int, reason: str, wait: float | None) -> None:
        """A final answer of the door's own."""
        headers, body = self._wording.own(reason, exchange.label, wait)
        runner, edition = exchange.runner, exchange.edition
        if runner is None and edition is not None:
            runner = edition.runner(exchange.routed.key)
        if wait is not None and runner is not None and runner.has("refusal"):
            assert self._points is not None
            words = self._points.refusal(self._now, runner, exchange, status, reason, wait)
            if words is not None:
                wait = min(words.retry_after_ms, max(self._max_wait, wait))
                body = words.body
                headers = [
                    (b"content-type", words.content_type.encode()),
                    reason_header(reason),
                    *waits(wait),
                    (b"content-length", str(len(body)).encode()),
                    *encoded(words.headers),
                ]
        headers += [*self._limits(exchange.routed), *self._wording.signed(exchange.label)]
        self._settle(exchange, status, reason, wait)
        self._out.append(ev.Reply(exchange.ticket, status, headers, body))
        self._forget(exchange)

    def _settle(self, exchange: Exchange, status: int, reason: str, wait: float | None) -> None:
        """Book the final answer: the one place where a request stops being owed one."""
        exchange.settled = True
        if self._auth is not None:
            self._ask_did(self._auth.left(self._now, exchange.ticket))
        if exchange.trace is not None:
            root = exchange.trace.root
            root.end = self._now
            root.attributes.update(
                {"status": status, "reason": reason, "customer": exchange.routed.key, "plan": exchange.routed.plan.name}
            )
            for name in ("auth", "counter"):
                exchange.trace.end(name, self._now)
        self._open -= 1
        self.answers[reason] = self.answers.get(reason, 0) + 1
        if not self._noted:
            return
        routed = exchange.routed
        fields: dict[str, Any] = {
            "request": exchange.label,
            "customer": routed.key,
            "plan": routed.plan.name,
            "class": routed.cls.name,
            "status": status,
            "reason": reason,
            "attempts": len(exchange.servers),
            "servers": exchange.servers,
            "ms": round(self._now - exchange.arrived, 3),
        }
        if wait is not None:
            fields["retry_after_ms"] = round(wait, 3)
        runner = exchange.runner
        if runner is not None:
            fields["hooks"] = runner.release.version
            if runner.has("log"):
                assert self._points is not None
                fields.update(
                    self._points.fields(
                        self._now, runner, exchange, status, len(exchange.servers), self._now - exchange.arrived
                    )
                )
        self._out.append(ev.LogEvent("answer", fields))

    def _forget(self, exchange: Exchange) -> None:
        """Let go of a request that is settled and has nothing out."""
        if exchange.settled and not (exchange.attempt and exchange.attempt.open):
            self._exchanges.pop(exchange.ticket, None)
            self._rids.pop(exchange.rid, None)
            if exchange.trace is not None:
                trace, exchange.trace = exchange.trace, None
                self._out.append(ev.Traced(trace))

    # Clients --------------------------------------------------------------------------------------------

    def _arrived(self, event: ev.Arrived) -> None:
        label = header(event.headers, self._id_header)
        self._serial += 1
        rid = f"{self._serial:x}"
        named = label.decode("latin-1")[:ID_BYTES] if label else f"{self._name}-{self._seed:x}-{rid}"
        method, target = event.method, event.target
        if self._answerer is not None:
            about = self._answerer.read(method, target, event.headers, event.peer)
            if isinstance(about, auth.Unasked):
                self._turn_away(event, about.status, about.reason, named, None)
                return
            method, target = about.method, about.target
        else:
            taken = self._targets.take(method, target, event.headers)
            if isinstance(taken, Declined):
                self._turn_away(event, taken.status, taken.reason, named, None, taken.headers)
                return
            target = event.target = taken.target
            event.headers = taken.headers
        routed = self._routes.route(method, target, event.headers)
        if isinstance(routed, Unroutable):
            self._turn_away(event, routed.status, routed.reason, named, None)
            return
        guarded = routed if isinstance(routed, Guarded) else None
        if isinstance(routed, Guarded):
            routed = Routed(routed.cls, NOBODY, 0, "", routed.units, 1, 0)
        remaining = self._routes.deadline_ms(routed.cls, event.headers)
        if remaining is None:
            self._turn_away(event, 400, "bad deadline", named, None)
            return
        if self._stopped:
            self._turn_away(event, UNAVAILABLE, "stopping", named, FULL_HOUSE_WAIT_MS)
            return
        if self._open >= self._max_open:
            self._turn_away(event, UNAVAILABLE, "full house", named, FULL_HOUSE_WAIT_MS)
            return
        arrived = self._now if event.at is None else min(event.at, self._now)
        remaining = max(arrived + remaining - self._margin - self._now, 0.0)
        exchange = Exchange(event, routed, rid, named, arrived, self._now + remaining)
        if self._sampler is not None:
            exchange.trace = self._sampler.trace(
                header(event.headers, b"traceparent"),
                self._now,
                request=named,
                door=self._name,
                method=method.decode("latin-1"),
                path=target.partition(b"?")[0].decode("latin-1"),
            )
            if exchange.trace is not None:
                exchange.trace.root.attributes["class"] = routed.cls.name
        if self._shelf is not None:
            exchange.edition = self._shelf.edition
        self._exchanges[event.ticket] = self._rids[rid] = exchange
        self._open += 1
        self._timer(exchange.deadline, self._at_deadline, event.ticket)
        if guarded is not None:
            exchange.guarded = guarded
            self._ask(exchange, guarded, remaining)
        else:
            self._admit(exchange, routed)

    def _admit(self, exchange: Exchange, routed: Routed) -> None:
        """Who the customer is is known: the module decides."""
        if exchange.trace is not None:
            exchange.trace.end("auth", self._now)
        runner = exchange.edition.runner(routed.key) if exchange.edition is not None else None
        exchange.runner = runner
        if runner is not None and runner.has("classify"):
            assert self._points is not None
            exchange.routed = before = routed
            routed = self._points.classify(self._now, runner, exchange)
            if routed.cls.deadline_ms < before.cls.deadline_ms:  # an earlier end takes effect, a later one never
                exchange.deadline = min(
                    exchange.deadline, max(exchange.arrived + routed.cls.deadline_ms - self._margin, self._now)
                )
                self._timer(exchange.deadline, self._at_deadline, exchange.ticket)
        exchange.routed, exchange.told = routed, True
        self._tell(
            api.Request(
                exchange.rid,
                routed.cls.name,
                routed.plan.name,
                routed.customer,
                max(exchange.deadline - self._now, 0.0),
                routed.units,
                routed.spread,
                routed.first,
                routed.retry,
            )
        )
        if exchange.trace is not None and not exchange.settled and not exchange.servers:
            exchange.trace.begin("counter", self._now)  # the module waits for the total

    # Authentication -------------------------------------------------------------------------------------

    def _ask(self, exchange: Exchange, guarded: Guarded, remaining: float) -> None:
        """Wait for a verdict on the request's credential."""
        assert self._auth is not None, "the settings' check lets no route authenticate without a service"
        if exchange.trace is not None:
            exchange.trace.begin("auth", self._now)
        head = exchange.head
        digest = hashlib.blake2b(digest_size=16)
        sent: ev.Headers = []
        for name, value in head.headers:
            if name in self._auth_told.credentials:
                sent.append((name, value))
                digest.update(b"%d %b %d %b " % (len(name), name, len(value), value))
        if self._auth_told.by_target:
            digest.update(head.method + b" " + head.target)
        host = header(head.headers, b"host") or b""
        sent += [
            (b"x-forwarded-method", head.method),
            (b"x-forwarded-proto", b"http"),
            (b"x-forwarded-host", host),
            (b"x-forwarded-uri", head.target),
            (b"x-forwarded-for", head.peer.encode()),
            (self._id_header, exchange.label.encode("latin-1", "replace")),
        ]
        # Who gives way where too many wait goes by plan, as the credential's last verdict told it; those that nobody
        # has vouched for yet go by host.
        key = exchange.credential = digest.digest()
        group = self._plan_of.get(key) or "host " + host.decode("latin-1")
        self._ask_did(self._auth.ask(self._now, exchange.ticket, key, remaining, group, guarded.fail_open, sent))

    def _ask_did(self, actions: list[auth.Action]) -> None:
        for action in actions:
            match action:
                case auth.Start(check=check, attempt=attempt, service=service, payload=payload):
                    told = self._auth_told
                    self._out.append(ev.Ask(check, attempt, told.services[service], told.path, payload))
                case auth.Stop(check=check, attempt=attempt):
                    self._out.append(ev.StopAsking(check, attempt))
                case auth.Allow(ticket=ticket, answer=answer):
                    self._allowed(self._exchanges[ticket], answer)
                case auth.Deny(ticket=ticket, answer=answer):
                    self._denied(self._exchanges[ticket], answer)
                case auth.Unsure(ticket=ticket, reason=reason, wait_ms=wait):
                    self._answer(self._exchanges[ticket], UNAVAILABLE, reason.value, wait)

    def _allowed(self, exchange: Exchange, answer: auth.Answer | None) -> None:
        assert exchange.guarded is not None
        if answer is None:
            routed = self._routes.anonymous(exchange.guarded)
        else:
            exchange.verdict = answer
            found = list(answer.headers)
            key, plan = header(found, self._auth_told.customer_header), header(found, self._auth_told.plan_header)
            routed = self._routes.identify(
                exchange.guarded, (key or b"").decode("latin-1").strip(), (plan or b"").decode("latin-1").strip()
            )
        if isinstance(routed, Unroutable):
            self._answer(exchange, routed.status, routed.reason, None)
        else:
            if answer is not None:
                self._plan_of[exchange.credential] = routed.plan.name
                self._plan_of.move_to_end(exchange.credential)
                if len(self._plan_of) > PLANS_KNOWN:
                    self._plan_of.popitem(last=False)
            self._admit(exchange, routed)

    def _denied(self, exchange: Exchange, answer: auth.Answer) -> None:
        """The service's answer is the client's, also where the request waits for the counter by now."""
        if exchange.told:
            self._tell(api.ClientDisconnected(exchange.rid))
        headers = [pair for pair in answer.headers if pair[0] in DENY_HEADERS]
        headers += [
            (b"content-length", str(len(answer.body)).encode()),
            (b"x-reason", b"denied"),
            *self._wording.signed(exchange.label),
        ]
        self._settle(exchange, answer.status, "denied", None)
        self._out.append(ev.Reply(exchange.ticket, answer.status, headers, answer.body))
        self._forget(exchange)

    def _checked(self, event: ev.Checked) -> None:
        assert self._auth is not None
        if event.status >= 500 or event.status < 200:  # a fault of the service is no verdict
            self._ask_did(self._auth.failed(self._now, event.check, event.attempt))
            return
        answer = auth.Answer(event.status, tuple(event.headers), event.body, auth.keep_of(event.headers))
        self._ask_did(self._auth.answered(self._now, event.check, event.attempt, answer))

    def _check_failed(self, event: ev.CheckFailed) -> None:
        assert self._auth is not None
        self._ask_did(self._auth.failed(self._now, event.check, event.attempt))

    def _turn_away(
        self, event: ev.Arrived, status: int, reason: str, label: str, wait: float | None, more: ev.Headers = NO_HEADERS
    ) -> None:
        """Answer what never reaches the module."""
        headers, body = self._wording.own(reason, label, wait) if status != NO_CONTENT else ([], b"")
        headers += [*more, *self._wording.signed(label)]
        if status >= 400:  # a probe that is answered well is not turned away: on a quiet door it would be most lines
            self._out.append(ev.LogEvent("turned away", {"request": label, "status": status, "reason": reason}))
        self._out.append(ev.Reply(event.ticket, status, headers, body))

    def _client_left(self, event: ev.ClientLeft) -> None:
        exchange = self._exchanges.get(event.ticket)
        if exchange is None or exchange.settled:
            return
        self._settle(exchange, 0, "client left", None)
        if exchange.told:
            self._tell(api.ClientDisconnected(exchange.rid))
        attempt = exchange.attempt
        if attempt and attempt.open and not attempt.written:
            self._withdraw(exchange, attempt)
        elif attempt and attempt.open and (self._cancel or attempt.begun):
            self._stop(exchange, attempt, CallResult.CANCELLED)
        self._forget(exchange)

    def _withdraw(self, exchange: Exchange, attempt: Attempt) -> None:
        """Never begin an attempt that is not written: no work of its server's is called off, and no failure of its."""
        attempt.open = False
        self._out.append(ev.Abandon(exchange.ticket, attempt.number))
        self._outcome(exchange, attempt, CallResult.NOT_SENT, exchange.settled)

    def _body_dropped(self, event: ev.BodyDropped) -> None:
        exchange = self._exchanges.get(event.ticket)
        if exchange is not None:
            exchange.one_attempt = True

    # Servers --------------------------------------------------------------------------------------------

    def _live(self, ticket: int, number: int) -> tuple[Exchange, Attempt] | None:
        """The attempt that an event speaks of, where it is still out."""
        exchange = self._exchanges.get(ticket)
        attempt = exchange.attempt if exchange else None
        if exchange is None or attempt is None or attempt.number != number or not attempt.open:
            return None
        return exchange, attempt

    def _written(self, event: ev.Written) -> None:
        live = self._live(event.ticket, event.attempt)
        if live:
            live[1].written = True

    def _answer_head(self, event: ev.AnswerHead) -> None:
        live = self._live(event.ticket, event.attempt)
        if live is None:
            return
        exchange, attempt = live
        verdict = self._status.verdict(event.status, event.headers)
        if verdict is not CallResult.OK:
            attempt.open = False
            self._out.append(ev.Abandon(event.ticket, event.attempt))
            self._ended(exchange, attempt, verdict)
            return
        attempt.status, attempt.headers = event.status, event.headers

    def _passed(self, exchange: Exchange, attempt: Attempt, whole: bool) -> None:
        headers = self._wording.passed(attempt.headers)
        runner = exchange.runner
        if runner is not None and runner.has("answer"):
            assert self._points is not None
            headers = overlaid(
                headers,
                self._points.answer(
                    self._now,
                    runner,
                    exchange,
                    attempt.status,
                    len(exchange.servers),
                    self._now - exchange.arrived,
                    headers,
                ),
            )
        headers += [*self._limits(exchange.routed), *self._wording.signed(exchange.label)]
        self._out.append(ev.Pass(exchange.ticket, attempt.number, attempt.status, headers, whole))

    def _answer_begun(self, event: ev.AnswerBegun) -> None:
        live = self._live(event.ticket, event.attempt)
        if live is None or live[1].begun or live[0].settled:
            return
        live[1].begun = True
        self._tell(api.ResponseStarted(live[0].rid))
        self._passed(live[0], live[1], False)

    def _answer_whole(self, event: ev.AnswerWhole) -> None:
        live = self._live(event.ticket, event.attempt)
        if live is None:
            return
        exchange, attempt = live
        if not exchange.settled:
            if not attempt.begun:
                self._passed(exchange, attempt, True)
            self._settle(exchange, attempt.status, "served", None)
        self._outcome(exchange, attempt, CallResult.OK, True)
        self._forget(exchange)

    def _attempt_ended(self, event: ev.AttemptEnded) -> None:
        live = self._live(event.ticket, event.attempt)
        if live is not None:
            live[1].open = False
            self._ended(live[0], live[1], of_ending(event.how))

    # Clock, store and feed -------------------------------------------------------------------------------------

    def _clock_stepped(self, event: ev.ClockStepped) -> None:
        if event.shift_ms:
            self._out.append(ev.LogEvent("clock stepped", {"shift_ms": round(event.shift_ms, 3)}))
        self._tell(api.ClockStepped(event.shift_ms))

    def _counted(self, event: ev.Counted) -> None:
        call = self._calls.pop(event.call, None)
        if call is not None:  # else its time-out was told already
            self._tell(api.CounterReply(call[0], event.verdict, self._now - call[1], event.total, event.kept_ms))

    def _listed(self, event: ev.Listed) -> None:
        self._addresses.update(event.addresses)
        if event.scope is api.EndpointListScope.FULL:
            listed = {server.id for server in event.servers}
            self._addresses = {key: at for key, at in self._addresses.items() if key in listed}
        self._tell(api.EndpointListUpdate(event.scope, event.servers))
        for server in event.servers:  # one that is gone comes back under another number, if at all
            if server.state is api.EndpointState.REMOVED:
                self._addresses.pop(server.id, None)
        taking = {server.id for server in event.servers if server.state is api.EndpointState.UP}
        if event.scope in (api.EndpointListScope.FULL, api.EndpointListScope.CACHED):
            self._taking = set(taking)
        else:
            self._taking.difference_update(server.id for server in event.servers)
            self._taking |= taking
        told = None if event.scope is api.EndpointListScope.FULL else {server.id for server in event.servers}
        for exchange in list(self._exchanges.values()):
            attempt = exchange.attempt
            if (
                attempt
                and attempt.open
                and not attempt.written
                and attempt.server not in taking
                and (told is None or attempt.server in told)
            ):
                # Its dial may come up after the grace that a drain leaves: a dial may take longer than that.
                self._withdraw(exchange, attempt)

    # Timers ---------------------------------------------------------------------------------------------

    def _passed_by(self, what: Callable[..., None], words: tuple[Any, ...]) -> bool:
        """Whether a timer's cause has passed: most have by their time, and each would wake the process for nothing."""
        if what is self._at_uncounted:
            return words[0] not in self._calls
        if what is self._at_deadline:
            return words[0] not in self._exchanges
        if what is self._at_unconnected:
            live = self._live(*words)
            return live is None or live[1].written
        return False

    def _timer(self, at: float, what: Callable[..., None], *words: Any) -> None:
        self._order += 1
        heapq.heappush(self._timers, (at, self._order, what, words))

    def _tick(self, event: ev.Event) -> None:
        while self._timers and self._timers[0][0] <= self._now:
            what, words = heapq.heappop(self._timers)[2:]
            what(*words)
        if self._auth is not None:
            self._ask_did(self._auth.tick(self._now))

    def _due(self, token: int) -> None:
        self._tell(api.TimerFired(token))

    def _uncounted(self, call: int) -> None:
        self._counted(ev.Counted(call, CallResult.TIMEOUT))

    def _unconnected(self, ticket: int, number: int) -> None:
        live = self._live(ticket, number)
        if live and not live[1].written:
            self._stop(*live, CallResult.CONNECT_FAILED)

    def _deadline(self, ticket: int) -> None:
        """The request's time is over: what is out ends, and the answer goes out at once."""
        exchange = self._exchanges.get(ticket)
        if exchange is None:
            return
        attempt = exchange.attempt
        if attempt and attempt.begun and self._streams:
            return  # a streamed answer that has begun belongs to the client
        exchange.timed_out = True
        if exchange.settled:
            if attempt and attempt.open:  # its client has left, and calling it off is not allowed
                self._stop(exchange, attempt, CallResult.TIMEOUT)
            return
        if attempt and attempt.open:
            self._stop(exchange, attempt, CallResult.TIMEOUT)
        if not exchange.settled:  # nothing was out: the module holds it, and can no longer be waited for
            self._answer(exchange, GATEWAY_TIMEOUT, "timed out", None)
            if exchange.told:
                self._tell(api.ClientDisconnected(exchange.rid))
