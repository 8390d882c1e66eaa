"""Every decision of a gateway.  The types it takes and gives are in martenstep/interface.py.

Parts in order: quota (GCRA, counter reports, ceiling, open cap), servers (membership, load, health, cold
ramp), requests (pick, time-out, retry, final answer), and the Gateway that ties them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Literal

from martenstep.interface import (
    Action, Cancel, Count, Due, Effect, Event, Fail, Group, Left, Members, Outcome, Plan, Refuse, Request,
    RequestClass, Scope, Send, Server, Settings, State, Subscribe, Total, Verdict, Wake, Where,
)

SECOND_MS = 1000.0  # quotas are told per second, the clock runs in milliseconds
# Quota
PERIOD_BURSTS = 1.0  # length of a counter period in burst/rate: the design's own figure
PERIOD_LEAST_MS = 1000.0  # a period shorter than this would be closed more often than used
PERIOD_MOST_MS = 20_000.0  # the counter forgets names after 60 s; a period and the next must fit well
FLUSH_SHARE = 0.5  # units sent unheard are reported after this part of a period
HOLD_TIMES = 4.0  # counter time-outs a client must have left to be held: twice the longest hold
HEAD_PART = 0.7  # of the ceiling's headroom is used: confirmed sends may pass the quota by what is read late
NAME_LIVES = 2.5  # a name lives for this many periods: its own, and the next for the closing read
WINDOW_START = 32.0  # counter calls out at once before anything is known of its speed
WINDOW_MOST = 256.0  # and at most, lest a recovery take for ever to be noticed
DOWN_AFTER = 3  # counter calls lost in a row, and ...
DOWN_TIMES = 4.0  # ... this many time-outs without an answer, make it count as down: less is crowding
RECHECK_MS = 250.0  # a counter that is down is tried with one call this often
SHARE_PERIODS = 2.0  # memory of the others' rate: long against chance, short against a shift of traffic
LEAST_PART = 0.5  # of an even share is kept for a gateway that saw little of a customer: traffic moves
STALE_TOLERANCES = 4.0  # an entry is dropped when its TAT plus tolerance lies this many tolerances back
SWEEP_MS = 2000.0  # how often stale entries are looked for
# Servers
EWMA_GAIN = 0.15  # weight of a new latency or failure: about the last six answers count
BASE_GAIN_DOWN = 0.1  # an answer below the base latency pulls it down by this, ...
BASE_GAIN_UP = 0.02  # ... one above it lifts it by this: it settles where few answers come sooner
QUEUE_TAU_MS = 1000.0  # how fast news of a queue fades: about the time in which one is worked off
RATE_TAU_MS = 3000.0  # memory of the own send rate, long against a tick and short against a ramp
GUESS_OF_AIM = 0.12  # an unseen server is taken to answer in this part of the shortest aim
OTHER_ZONE = 1.06  # a server elsewhere must be this much quicker to be worth the crossing
JITTER = 0.08  # random part of a server's cost, so that gateways do not move in step
FAIL_COST = 6.0  # a server that always fails costs this many times more than a sound one
SILENT_TIMES = 4.0  # no answer for this many expected latencies is silence
SILENT_OF_AIM = 0.35  # and no less than this part of the aim, so that one long request is not silence
FAILS_TO_LEAVE = 3  # failures in a row that take a server out: two may be chance
SILENT_TO_LEAVE = 2  # attempts given up with no answer between that take a server out: one may be just long
FULL_REST_MS = 200.0  # a server that was full is left alone for this long: time to work off some queue
TRIAL_MS = 1000.0  # a server taken out is tried again with one request after this long, then twice that ...
TRIAL_MOST_MS = 8000.0  # ... up to this
SOUND_SHARE = 0.5  # with fewer sound servers than this, suspicion is laid to the network and set aside
COLD_SAFETY = 0.5  # part of a cold server's budget that is used: its size and the others' use are guesses
COLD_LEAST = 0.5  # sends per fall window to a cold server when nothing is known of the usual load
# Requests
LIMIT_START = 6.0  # attempts out at a server, of all gateways together, before answers tell what it bears
LIMIT_MOST = 64.0  # no bound is learnt beyond this: it would take too long to come down
LIMIT_USED = 0.8  # part of the limit that counts as reached
LIMIT_DOWN = 0.5  # taken off for each answer while the latency is over the target
TARGET_OF_AIM = 0.3  # latency that keeps queues short: servers that hold much lose efficiency
FIT_OF_AIM = 0.75  # a send must be expected to end within this part of the aim that is left
OPEN_WAIT_MS = 100.0  # retry-after where the plan's limit of attempts out is reached: about one answer
BEYOND_FIT = 0.25  # and a send beyond the quota within this one: only an idle back end has room for it
RETRY_SHARE = 0.1  # further attempts per first send: bounds the extra load when much fails at once
RETRY_SAVED = 20.0  # further attempts that may be saved up for the loss of a server
MASK = (1 << 63) - 1  # counter names are below 2^63


def name_of(customer: int, period: int) -> int:
    """The counter name of a customer's period: the same at every gateway, spread by a fixed mix."""
    x = (customer * 0x9E3779B97F4A7C15 + period * 0xD1B54A32D192ED03 + 0x8CB92BA72F3D8DD7) & (2**64 - 1)
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & (2**64 - 1)
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & (2**64 - 1)
    return (x ^ (x >> 31)) & MASK


# Quota ------------------------------------------------------------------------------------------------


class Meter:
    """One GCRA: a theoretical arrival time against a rate and a burst, both per millisecond and in units."""

    __slots__ = ("per_unit", "tat", "tolerance")

    def __init__(self, rate: float, burst: float, tat: float) -> None:
        self.per_unit = SECOND_MS / rate if rate > 0 else math.inf
        self.tolerance = burst * self.per_unit if rate > 0 else 0.0
        self.tat = tat

    def wait(self, now: float, units: float) -> float:
        """How long until a request conforms; 0 or less where it does now.

        The tolerance is less by the request's own units, so that the burst holds them: a plain TAT test lets
        one request more through after each idle spell, which the plan counts as beyond the quota.
        """
        return self.tat - now + min(units * self.per_unit - self.tolerance, 0.0)

    def room(self, now: float) -> float:
        """Units left of the burst."""
        return (now + self.tolerance - max(self.tat, now)) / self.per_unit

    def take(self, units: float, since: float) -> None:
        """Push the TAT forward by units used since that time."""
        self.tat = max(self.tat, since) + units * self.per_unit


class Ledger:
    """What this gateway knows of one customer's use."""

    def __init__(
        self, plan: Plan, customer: int, spread: int, now: float, started: float, epoch: int
    ) -> None:
        self.plan, self.customer, self.spread = plan, customer, spread
        self.quota = Meter(plan.rate, plan.burst, now)
        self.quota.tat = now + self.quota.tolerance * (1 - 1 / spread)
        self.own = Meter(plan.rate, plan.burst, now)  # its rate is set to the own part before each use
        # The ceiling's part above the quota, less a reserve, is split evenly for sends the counter has not
        # confirmed.  It fills from the instance's start, since a restart refills nothing.
        self.head: Meter | None = None
        if plan.ceiling_rate > 0:
            part, depth = HEAD_PART / spread, max(plan.ceiling_burst - plan.burst, 0.0)
            self.head = Meter(max(plan.ceiling_rate - plan.rate, 0) * part, depth * part, started)
            self.head.tat = started + self.head.tolerance
        length = PERIOD_BURSTS * plan.burst / plan.rate * SECOND_MS if plan.rate > 0 else PERIOD_MOST_MS
        self.period_ms = min(max(length, PERIOD_LEAST_MS), PERIOD_MOST_MS)
        self.period = -1
        self.base = self.last_base = 0.0  # totals last seen under this period's name and the one before
        self.mine = self.others = 0.0  # EWMA of units a second, this gateway's and the others'
        self.owed = 0.0  # units sent and in no call yet; below 0: reported but not sent
        self.maybe = 0.0  # units in calls that timed out
        self.asked: dict[int, float] = {}  # names with a call out and the units in it
        self.pending: list[str] = []  # requests whose units are in the call that is out
        self.waiting: list[str] = []  # requests for the next call
        self.seen = now  # when the counter last told of the others
        self.epoch = epoch
        self.told = False
        self.used = now
        self.open = 0
        self.flushing = False  # a Wake is set to report what is owed


    def part(self) -> float:
        """The own part of the quota while nothing is heard: each gateway is taken to go on as last seen, and
        what was unused is split evenly."""
        unused = max(self.plan.rate - self.mine - self.others, 0.0) / self.spread
        return min(max((self.mine + unused) / self.plan.rate, LEAST_PART / self.spread), 1.0)


class Quota:
    """Keeps every customer's ledger and the calls to the counter."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._plans = {plan.name: plan for plan in settings.plans}
        self._ledgers: dict[int, Ledger] = {}
        self._calls: dict[int, Ledger] = {}
        self._window = WINDOW_START
        self._lost = 0
        self._heard = math.nan  # when the counter last answered
        self._down = self._doubted = False
        self._epoch = 0
        self._next_try = self._cut_until = -math.inf
        self._swept = -math.inf
        self._started = math.nan

    def ledger(self, now: float, request: Request) -> Ledger:
        """The customer's ledger, new where it is not known; stale ones are dropped on the way."""
        if math.isnan(self._started):
            self._started = self._heard = now
        if now - self._swept >= SWEEP_MS:
            self._swept = now
            self._ledgers = {key: led for key, led in self._ledgers.items() if not self._stale(led, now)}
        found = self._ledgers.get(request.customer)
        if found is None:
            plan = self._plans.get(request.plan)
            if plan is None:
                raise ValueError(f"plan {request.plan!r} is not among the settings")
            spread = max(1, min(request.spread, self._settings.gateways))
            found = Ledger(plan, request.customer, spread, now, self._started, self._epoch)
            self._ledgers[request.customer] = found
        found.used = now
        return found

    @staticmethod
    def _stale(led: Ledger, now: float) -> bool:
        idle = now - max(led.quota.tat, led.used)
        return (idle > STALE_TOLERANCES * max(led.quota.tolerance, led.period_ms) and not led.asked
                and not led.open and not led.waiting and not led.pending
                and not led.flushing)  # its report would take a new entry's call, and lose who waits for it

    def can_ask(self, now: float) -> bool:
        """Whether the counter is there and has room for a call."""
        if not self._settings.has_counter:
            return False
        if self._down:
            return now >= self._next_try
        return len(self._calls) < self._window

    def ask(self, now: float, led: Ledger, units_of: Callable[[str], float]) -> list[Action]:
        """Report what is owed and what the waiting requests would use, and read the total back."""
        if led.asked or (not led.waiting and led.owed <= 0):
            return []
        out: list[Action] = []
        period = math.floor(now / led.period_ms)
        expire = NAME_LIVES * led.period_ms
        if period != led.period:
            # Closing read: units that others added near the old period's end, or before this gateway came.
            led.last_base = led.base if period == led.period + 1 else 0.0
            led.base, led.period = 0.0, period
            led.owed = max(led.owed, 0.0)
            out.append(self._call(led, name_of(led.customer, period - 1), 0.0, expire))
        led.pending, led.waiting = led.waiting, []
        need = led.owed + sum(units_of(rid) for rid in led.pending)
        add = max(need, 0.0)
        led.owed = need - add
        out.append(self._call(led, name_of(led.customer, period), add, expire))
        if self._down:
            self._next_try = now + RECHECK_MS
        return out

    def _call(self, led: Ledger, name: int, units: float, expire: float) -> Action:
        led.asked[name] = units
        self._calls[name] = led
        return Count(name, units, expire)

    def total(self, now: float, event: Total) -> tuple[Ledger, bool] | None:
        """Take in an answer; gives the ledger and whether its waiting requests may count on it."""
        led = self._calls.pop(event.name, None)
        if led is None:
            return None
        units = led.asked.pop(event.name)
        current = event.name == name_of(led.customer, led.period)
        if event.verdict is not Verdict.OK:
            self._lost += 1
            if now >= self._cut_until:  # once for each round of calls
                self._window = max(1.0, self._window / 2)
                self._cut_until = now + self._settings.counter_timeout_ms
            quiet = now - self._heard >= DOWN_TIMES * self._settings.counter_timeout_ms
            if self._lost >= DOWN_AFTER and quiet and not self._down:
                self._down = True
                self._doubted = True
                self._next_try = now + RECHECK_MS
            if event.verdict is Verdict.TIMEOUT:
                led.maybe += units
            else:
                led.owed += units
            return led, False
        self._lost, self._down, self._heard = 0, False, now
        self._window = min(WINDOW_MOST, self._window + 1 / self._window)
        base = led.base if current else led.last_base
        others = event.total - base - units
        if others < 0:  # the counter forgot: what it holds now is all new, and the TAT stays
            others = event.total - units
            led.epoch = -1
            self._epoch += self._doubted  # once for each outage: every name may lack units
            self._doubted = False
        elif current and led.maybe:
            others = max(others - led.maybe, 0.0)
            led.maybe = 0.0
        if led.epoch != self._epoch:
            quota = led.quota  # as a new customer: others may have sent what was never told
            quota.tat = max(quota.tat, now + quota.tolerance * (1 - 1 / led.spread))
            led.epoch = self._epoch
        if not led.told:
            # The start value stands in only until the counter has told of a customer that is new here: then
            # what was used in the period before, and since, is known, if not just when.
            if current:
                begun = led.period * led.period_ms
                quota = led.quota
                quota.tat = max(begun - led.period_ms / 2 + led.last_base * quota.per_unit, begun)
                quota.tat = max(quota.tat + others * quota.per_unit, now)
                led.told = True
        elif others > 0:
            led.quota.take(others, led.seen)
        if current and now > led.seen:
            weight = 1 - math.exp((led.seen - now) / (SHARE_PERIODS * led.period_ms))
            led.others += weight * (others / (now - led.seen) * SECOND_MS - led.others)
            led.mine += weight * (units / (now - led.seen) * SECOND_MS - led.mine)
        if current:
            led.base = event.total
            led.seen = now
        else:
            led.last_base = event.total
        return led, True


# Servers ----------------------------------------------------------------------------------------------


class Peer:
    """What this gateway knows of one server."""

    def __init__(self, info: Server, limit: float) -> None:
        self.info = info
        self.out: dict[tuple[str, int], tuple[float, int]] = {}  # attempts out: when, behind how many
        self.base = 0.0  # latency with no queue: follows low answers fast and high ones slowly; 0: unknown
        self.latency = self.behind = 0.0  # EWMA of latency, and of own attempts out at its send
        self.limit = limit  # own attempts out at most
        self.timed = -math.inf  # when the latency was last measured
        self.failing = 0.0  # EWMA of failures
        self.fails = 0  # in a row
        self.answered = -math.inf
        self.barred_until = -math.inf
        self.trial_ms = 0.0  # above 0 while out: the pause before the next trial
        self.warm_from = info.started_ms  # when it started, or is presumed to have
        self.cold_tat = -math.inf


class Fleet:
    """Membership, load and health of the servers, and the choice among them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self._peers: dict[int, Peer] = {}
        self._up: list[Peer] = []
        self._start = max(LIMIT_START / settings.gateways, 1.0)
        self._aim = min((c.aim_ms for c in settings.classes), default=SECOND_MS)
        self._mean = GUESS_OF_AIM * self._aim
        self._sent, self._sent_at = 0.0, 0.0

    def members(self, event: Members) -> None:
        """Take in a list: whole ones replace, changes apply to what is held."""
        if event.scope is Scope.LOST:
            return
        listed = {server.id: server for server in event.servers}
        if event.scope is not Scope.CHANGES:
            for key in self._peers:
                if key not in listed:
                    self._peers[key].info = replace(self._peers[key].info, state=State.GONE)
        for key, server in listed.items():
            peer = self._peers.get(key)
            if peer is None:
                self._peers[key] = Peer(server, self._start)
                continue
            if server.started_ms > peer.info.started_ms:
                fresh = Peer(server, self._start)
                fresh.out = peer.out
                fresh.base = peer.base
                self._peers[key] = fresh
            peer = self._peers[key]
            peer.info = server
            peer.warm_from = max(peer.warm_from, server.started_ms)
        self._peers = {k: p for k, p in self._peers.items() if p.info.state is not State.GONE or p.out}
        self._up = [p for p in self._peers.values() if p.info.state is State.UP]

    def _expect(self, now: float, peer: Peer) -> tuple[float, float]:
        """Latency without a queue, and the queue's delay; news of a queue fades, lest a server be shunned for
        a queue that is long gone."""
        if not peer.base:
            return self._mean / max(peer.info.size, 0.1), 0.0
        queue = max(peer.latency - peer.base, 0.0) * math.exp((peer.timed - now) / QUEUE_TAU_MS)
        return peer.base, queue * (1 + len(peer.out)) / (1 + peer.behind)

    def patience(self, now: float, peer_id: int, aim: float) -> float:
        """How long without an answer is silence."""
        return max(SILENT_TIMES * sum(self._expect(now, self._peers[peer_id])), SILENT_OF_AIM * aim)

    def _cold_gap(self, now: float, peer: Peer) -> float:
        """The least time between sends to a server that is cold; 0 for a warm one."""
        s = self._settings
        age = now - peer.warm_from
        if peer.warm_from <= 0 or age >= s.warm_within_ms:
            return 0.0
        part = s.cold_from + (1 - s.cold_from) * max(age, 0.0) / s.warm_within_ms
        usual = self.send_rate(now) / max(1, len(self._up))
        least = COLD_LEAST / max(s.fall_window_ms, SECOND_MS)
        return 1 / max(COLD_SAFETY * s.fall_multiple * part * usual, least)

    def send_rate(self, now: float) -> float:
        """Own sends per millisecond."""
        return self._sent * math.exp(-(now - self._sent_at) / RATE_TAU_MS) / RATE_TAU_MS

    def pick(self, now: float, allowed: Where, tried: list[int]) -> tuple[int, float] | None:
        """The server with the least expected delay, and that delay; None where none may be used."""
        panic = self._panic()
        best: tuple[float, Peer] | None = None
        home, draw = self._settings.zone, self._rng.random
        for peer in self._up:
            trial = peer.trial_ms > 0 and not panic
            if now < peer.cold_tat or (now < peer.barred_until and (trial or not peer.trial_ms)):
                continue
            if len(peer.out) >= peer.limit or (trial and peer.out) or (allowed and not allowed(peer.info)):
                continue
            base, queue = self._expect(now, peer)
            cost = (base * (1 + len(peer.out)) + queue) * (1 + FAIL_COST * peer.failing)
            cost *= 1 + JITTER * draw()
            if peer.info.zone != home:
                cost *= OTHER_ZONE
            if peer.info.id in tried:
                cost *= FAIL_COST
            if trial:
                cost = 0.0  # its turn for a trial
            if best is None or cost < best[0]:
                best = cost, peer
        return None if best is None else (best[1].info.id, sum(self._expect(now, best[1])))

    def sent(self, now: float, server: int, key: tuple[str, int]) -> None:
        """Book a send."""
        peer = self._peers[server]
        peer.out[key] = now, len(peer.out)
        self._sent = self._sent * math.exp(-(now - self._sent_at) / RATE_TAU_MS) + 1
        self._sent_at = now
        gap = self._cold_gap(now, peer)
        peer.cold_tat = now + gap if gap else -math.inf
        if peer.trial_ms:
            peer.trial_ms = min(2 * peer.trial_ms, TRIAL_MOST_MS)
            peer.barred_until = now + peer.trial_ms

    def outcome(self, now: float, event: Outcome) -> None:
        """Learn from how an attempt ended."""
        peer = self._peers.get(event.server)
        if peer is None:
            return
        _, behind = peer.out.pop((event.id, event.attempt), (now, 0))
        bad = event.verdict not in (Verdict.OK, Verdict.MOOT, Verdict.CANCELLED)
        if event.verdict in (Verdict.OK, Verdict.ERROR, Verdict.FULL):
            peer.answered = now
        if event.verdict is Verdict.OK:
            rtt = event.rtt_ms
            if not peer.base:
                peer.base = peer.latency = self._mean / max(peer.info.size, 0.1)
            peer.base += (BASE_GAIN_DOWN if rtt < peer.base else BASE_GAIN_UP) * (rtt - peer.base)
            peer.latency += EWMA_GAIN * (rtt - peer.latency)
            peer.behind += EWMA_GAIN * (behind - peer.behind)
            peer.timed = now
            self._mean += EWMA_GAIN / max(1, len(self._up)) * (peer.base - self._mean)
            if peer.latency > TARGET_OF_AIM * self._aim:
                peer.limit = max(peer.limit - LIMIT_DOWN, 1.0)
            elif behind + 1 >= LIMIT_USED * peer.limit:  # only a limit that was reached is known to be borne
                peer.limit = min(peer.limit + 1 / peer.limit, LIMIT_MOST)
            peer.fails = 0
            if peer.trial_ms > 2 * TRIAL_MS:  # a trial failed too: so long a silence is presumed a restart
                peer.warm_from = now
            peer.trial_ms, peer.barred_until = 0.0, -math.inf
        elif event.verdict is Verdict.FULL:
            # A full queue is the longest there is, though its answer comes at once: without this a full
            # server would look idle and draw all traffic.
            peer.barred_until = max(peer.barred_until, now + FULL_REST_MS)
            self._jammed(now, peer, self._aim)
            bad = False
        elif bad:
            if event.verdict is Verdict.TIMEOUT:
                self._jammed(now, peer, event.rtt_ms)
            peer.fails += 1
            if peer.fails >= FAILS_TO_LEAVE:
                self._leave(now, peer)
        if event.verdict not in (Verdict.MOOT, Verdict.CANCELLED):
            peer.failing += EWMA_GAIN * (bad - peer.failing)

    def silent(self, now: float, server: int, key: tuple[str, int], patience: float) -> bool:
        """Whether nothing has come from a server for so long that an attempt there is given up."""
        peer = self._peers.get(server)
        if peer is None or key not in peer.out or now - peer.answered < patience:
            return False
        # What the attempt has waited is the least its answer would take: without this a slow fleet would not
        # show in the latencies, as only the quick answers are counted.
        self._jammed(now, peer, now - peer.out[key][0])
        peer.fails += 1
        if peer.fails >= SILENT_TO_LEAVE:
            self._leave(now, peer)
        return not self._panic()

    def _panic(self) -> bool:
        """So few sound servers that the network, or overload, is more likely than so many losses."""
        return sum(1 for p in self._up if not p.trial_ms) < SOUND_SHARE * len(self._up)

    def _jammed(self, now: float, peer: Peer, waited: float) -> None:
        """No answer in time: the queue is this long at least, and work given up may still be in it."""
        peer.latency, peer.behind, peer.timed = max(peer.latency, waited), len(peer.out), now
        peer.limit = max(min(peer.limit, len(peer.out)) / 2, 1.0)

    def _leave(self, now: float, peer: Peer) -> None:
        if not peer.trial_ms:
            peer.trial_ms = TRIAL_MS
            peer.barred_until = now + TRIAL_MS


# Requests ---------------------------------------------------------------------------------------------


class Job:
    """One request from its arrival to its final answer."""

    def __init__(self, request: Request, cls: RequestClass, ledger: Ledger, now: float) -> None:
        self.request, self.cls, self.ledger = request, cls, ledger
        self.arrived, self.deadline = now, now + request.remaining_ms
        self.attempts: list[int] = []  # the server of each
        self.out = False  # an attempt is out
        self.first_risk: tuple[int, float] | None = None  # first attempt that may have run: where and when


class Gateway:
    """Ties quota, servers and requests: one event in, its actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        self._quota = Quota(settings)
        self._fleet = Fleet(settings, random.Random(seed))
        self._jobs: dict[str, Job] = {}
        self._sites: dict[int, Server] = {}
        self._wakes: dict[int, Ledger | tuple[str, int, float]] = {}
        self._token = 0
        self._retries = RETRY_SAVED

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event."""
        match event:
            case Request():
                return self._request(now, event)
            case Outcome():
                return self._outcome(now, event)
            case Total():
                return self._total(now, event)
            case Due():
                return self._due(now, event.token)
            case Left():
                self._drop(event.id)
                return []
            case Members():
                self._fleet.members(event)
                for server in event.servers:
                    self._sites[server.id] = server
                subscribe = event.scope in (Scope.WARM_COPY, Scope.LOST) and self._settings.must_subscribe
                return [Subscribe()] if subscribe else []
        return []

    def _drop(self, rid: str) -> Job | None:
        return self._jobs.pop(rid, None)

    def _wake(self, at: float, purpose: Ledger | tuple[str, int, float]) -> Action:
        self._token += 1
        self._wakes[self._token] = purpose
        return Wake(at, self._token)

    def _request(self, now: float, event: Request) -> list[Action]:
        cls = self._classes.get(event.cls)
        if cls is None:
            raise ValueError(f"class {event.cls!r} is not among the settings")
        led = self._quota.ledger(now, event)
        job = self._jobs[event.id] = Job(event, cls, led, now)
        if led.plan.rate <= 0:
            return self._send(now, job)
        wait = led.quota.wait(now, event.units)
        if led.plan.open_limit and led.open >= max(led.plan.open_limit * led.part(), 1.0):
            wait = max(wait, OPEN_WAIT_MS)  # the others' attempts out are guessed by their part of the units
        if wait > 0:
            return self._beyond(now, job, wait)
        if self._quota.can_ask(now) and event.remaining_ms > HOLD_TIMES * self._settings.counter_timeout_ms:
            led.waiting.append(event.id)
            return self._quota.ask(now, led, self._units)
        return self._unconfirmed(now, job)

    def _units(self, rid: str) -> float:
        job = self._jobs.get(rid)
        return job.request.units if job else 0.0

    def _unconfirmed(self, now: float, job: Job) -> list[Action]:
        """Decide without the counter: the own part of the quota, and of the ceiling's headroom."""
        led, units = job.ledger, job.request.units
        led.own.per_unit = led.quota.per_unit / led.part()
        wait = max(led.quota.wait(now, units), led.own.wait(now, units))
        if wait > 0:
            return self._beyond(now, job, wait)
        if led.head and led.head.room(now) < units:
            return self._refuse(now, job, led.head.per_unit)
        actions = self._send(now, job)
        if job.attempts:
            led.told = True
            led.own.take(units, now)
            led.quota.take(units, now)
            led.owed += units
            if led.head:
                led.head.take(units, now)
            if self._settings.has_counter and not led.flushing:
                led.flushing = True
                actions.append(self._wake(now + FLUSH_SHARE * led.period_ms, led))
        return actions

    def _beyond(self, now: float, job: Job, wait: float) -> list[Action]:
        """Refuse with the retry-after, unless a send beyond the quota earns more than it costs.

        Acts only where the plan says so, the back end has room to spare and the own part of the ceiling's
        headroom holds it: what is sent so is in nobody else's books.
        """
        led, units = job.ledger, job.request.units
        if led.plan.over_worth <= led.plan.over_cost or (led.head and led.head.room(now) < units):
            return self._refuse(now, job, wait)
        actions = self._send(now, job, BEYOND_FIT)
        if job.attempts and led.head:
            led.head.take(units, now)
        return actions

    def _total(self, now: float, event: Total) -> list[Action]:
        answer = self._quota.total(now, event)
        if answer is None:
            return []
        led, good = answer
        if led.asked:
            return []
        actions: list[Action] = []
        pending, led.pending = led.pending, []
        for rid in pending:
            job = self._jobs.get(rid)
            if job is None:
                continue
            if not good:
                led.owed -= job.request.units  # it is in the call already, if in any
                actions += self._unconfirmed(now, job)
                continue
            wait = led.quota.wait(now, job.request.units)
            if wait > 0:
                led.owed -= job.request.units
                actions += self._beyond(now, job, wait)
                continue
            actions += self._send(now, job)
            if job.attempts:
                led.quota.take(job.request.units, now)
            else:
                led.owed -= job.request.units
        if led.waiting:
            if self._quota.can_ask(now):
                actions += self._quota.ask(now, led, self._units)
            else:
                waiting, led.waiting = led.waiting, []
                for rid in waiting:
                    job = self._jobs.get(rid)
                    if job:
                        actions += self._unconfirmed(now, job)
        return actions

    def _refuse(self, now: float, job: Job, wait: float) -> list[Action]:
        self._drop(job.request.id)
        return [Refuse(job.request.id, max(wait, 1.0))]

    def _allowed(self, now: float, job: Job) -> Where | Literal[False]:
        """Which servers the class's rule on repeats leaves: a test, None for all, False for none."""
        risk = job.first_risk
        if risk is None or job.cls.effect is Effect.SAFE:
            return None
        if job.cls.effect is Effect.UNSAFE or now >= risk[1] + job.cls.window_ms:
            return False
        first = self._sites[risk[0]]
        if job.cls.group is Group.ZONE:
            return lambda server: server.zone == first.zone
        if job.cls.group is Group.CELL:
            return lambda server: server.cell == first.cell
        return None

    def _send(self, now: float, job: Job, fit: float = FIT_OF_AIM) -> list[Action]:
        """Start an attempt where it can still be answered in time, else give the final answer."""
        left = job.deadline - now
        aim_left = min(job.arrived + job.cls.aim_ms, job.deadline) - now
        allowed = self._allowed(now, job)
        spent = len(job.attempts) >= self._settings.max_attempts
        if allowed is False or spent or left <= self._settings.tick_ms:
            return self._give_up(now, job)
        choice = self._fleet.pick(now, allowed, job.attempts)
        if choice is None or choice[1] > fit * aim_left:
            return self._give_up(now, job)
        server, attempt = choice[0], len(job.attempts)
        if attempt == 0:
            self._retries = min(self._retries + RETRY_SHARE, RETRY_SAVED)
            job.ledger.open += 1
        job.attempts.append(server)
        job.out = True
        patience = self._fleet.patience(now, server, job.cls.aim_ms)
        self._fleet.sent(now, server, (job.request.id, attempt))
        actions: list[Action] = [Send(job.request.id, server, left)]
        if self._settings.can_cancel and patience < left:
            actions.append(self._wake(now + patience, (job.request.id, attempt, patience)))
        return actions

    def _give_up(self, now: float, job: Job) -> list[Action]:
        """The final answer: a refusal where a client's retry is certain to do no harm, else a failure."""
        harmless = (job.first_risk is None or job.cls.effect is Effect.SAFE
                    or (job.cls.effect is Effect.KEYED and job.cls.group is Group.ALL))
        if harmless:
            return self._refuse(now, job, job.cls.aim_ms * 0.1)
        self._drop(job.request.id)
        return [Fail(job.request.id)]

    def _outcome(self, now: float, event: Outcome) -> list[Action]:
        self._fleet.outcome(now, event)
        job = self._jobs.get(event.id)
        if job is None:
            return []
        if event.ended:
            self._drop(event.id)
            job.ledger.open -= 1
            return []
        job.out = False
        if not event.verdict.never_ran and job.first_risk is None:
            job.first_risk = event.server, now - event.rtt_ms
        job.ledger.open -= 1
        if self._retries < 1:
            return self._give_up(now, job)
        self._retries -= 1
        actions = self._send(now, job)
        if job.out:
            job.ledger.open += 1
        return actions

    def _due(self, now: float, token: int) -> list[Action]:
        purpose = self._wakes.pop(token, ("", 0, 0.0))
        if isinstance(purpose, Ledger):
            # What was sent unheard is reported as soon as the counter takes calls, asked for or not.
            purpose.flushing = purpose.owed > 0 and not self._quota.can_ask(now)
            if purpose.flushing:
                return [self._wake(now + FLUSH_SHARE * purpose.period_ms, purpose)]
            return self._quota.ask(now, purpose, self._units)
        rid, attempt, patience = purpose
        job = self._jobs.get(rid)
        if job is None or not job.out or len(job.attempts) != attempt + 1:
            return []
        silent = self._fleet.silent(now, job.attempts[-1], (rid, attempt), patience)
        # Only where another attempt can follow: in an overload everything is slow, and calling it off would
        # waste the work done and put the same load on once more.
        if silent and self._retries >= 1 and len(job.attempts) < self._settings.max_attempts:
            return [Cancel(rid, attempt)]
        return []
