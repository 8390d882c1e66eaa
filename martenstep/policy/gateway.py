"""Every decision of a gateway.  The types it takes and gives are in martenstep/policy/messages.py.

Parts in order: servers (load, health, cold ramp), requests, and the Gateway.
Quotas and ceilings: martenstep/policy/quota.py.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from dataclasses import replace
from typing import Literal

from martenstep.policy.messages import (
    Action,
    AttemptEnded,
    CallResult,
    CancelAttempt,
    ClientDisconnected,
    ClockStepped,
    CounterReply,
    DeduplicationScope,
    Endpoint,
    EndpointFilter,
    EndpointListScope,
    EndpointListUpdate,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    Reject,
    RejectionReason,
    Request,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    Subscribe,
    TimerFired,
)
from martenstep.policy.quota import FLUSH_SHARE, HOLD_TIMES, Ledger, Quota

SECOND_MS = 1000.0  # quotas are told per second, the clock runs in milliseconds
# Servers
EWMA_GAIN = 0.15  # weight of a new latency or failure: about the last six answers count
BASE_GAIN_DOWN = 0.1  # an answer below the base latency pulls it down by this, ...
BASE_GAIN_UP = 0.02  # ... one above it lifts it by this: it settles where few answers come sooner
BASE_PRIOR = 3.0  # answers that the first guess of a base latency weighs as much as
QUEUE_TAU_MS = 1000.0  # how fast news of a queue fades, and ...
QUEUE_TIMES = 1.5  # ... in this many times its length: a long one is worked off while others still add to it
RATE_TAU_MS = 3000.0  # memory of the own send rate, long against a tick and short against a ramp
GUESS_OF_AIM = 0.12  # an unseen server is taken to answer in this part of the shortest aim
OTHER_ZONE = 1.06  # a server elsewhere must be this much quicker to be worth the crossing
BLUR_LEAST = 0.05  # the choice is by chance at least so much, so that gateways do not move in step
INFORMED = 1.0  # own sends to a server in QUEUE_TAU_MS that tell of its queue; with fewer, chance decides
NEAR_MS = 1500.0  # a gateway keeps to as many servers as it sends to in this time: it hears of each so often
NEAR_LEAST = 3.0  # and to no fewer: with two, one that jams leaves no choice
WIN_MOST = 1e6  # times the least latency: a cost above it proves nothing about the others
ROUNDING = 1e-9  # a draw so near to the proof is reckoned in full
LOW_EVERY = 500  # answers after which the least latency, which may have risen, is looked for anew
TURN_CHANCE = 0.05  # of a choice, that the dearest of them gives way to one not met lately
CONNECTED_MS = 10_000.0  # a server that answered within this is taken to hold a connection still
FAIL_GAIN = 0.4  # weight of one answer, or of none, in a server's failures: two in a row tell
FAIL_TAU_MS = 5000.0  # how fast failures are forgotten, so that a server is tried again
FAIL_COST = 6.0  # a server that always fails costs this many times more than a sound one
SILENT_TIMES = 4.0  # no answer for this many expected latencies is silence
SILENT_OF_POOL = 0.75  # of the latency over all servers is expected at least: few answers tell of each
SILENT_OF_AIM = 0.35  # and no less than this part of the aim, so that one long request is not silence
COLD_SAFETY = 0.5  # part of a cold server's budget that is used: its size and the others' use are guesses
COLD_LEAST = 1.0  # sends of all gateways per fall window to a cold server while no usual load is known
# Requests
POOL_GAIN = 0.2  # weight of one answer in the latency of all servers together
LIMIT_START = 6.0  # attempts out at a server, of all gateways together, before answers tell what it bears
LIMIT_SPARE = 1.0  # and at a gateway above its share: arrivals are uneven; hundreds of them fill a fleet
LIMIT_DOWN = 0.5  # taken off for each answer while the latency is over the target
CALM_OF_AIM = 0.42  # latency over all servers, in parts of each class's aim, up to which they count as quick
BLUR_CALM = 0.65  # of it is taken off where servers are chosen by chance alone
HALF_OPEN_PART = 0.25  # of the attempts that may be out: left to unconfirmed tries while answers are slow
HALF_OPEN_MS = 2000.0  # without a send, one goes though answers were slow: else a recovery is never seen
FIT_OF_AIM = 0.75  # a send must be expected to end within this part of the aim that is left
OPEN_WAIT_MS = 100.0  # retry-after where the plan's limit of attempts out is reached: about one answer
BEYOND_FIT = 0.25  # and a send beyond the quota within this one: only an idle back end has room for it
RETRY_SHARE = 0.1  # further attempts per first send: bounds the extra load when much fails at once, ...
RETRY_CALM = 0.4  # ... while answers are slow; while they are quick there is room for more
RETRY_SAVED = 40.0  # further attempts all gateways may save up for the loss of a server, besides one each


# Servers ----------------------------------------------------------------------------------------------


class Peer:
    """What this gateway knows of one server."""

    def __init__(self, info: Endpoint, rank: float) -> None:
        self.info = info
        self.rank = rank  # place in the order in which servers come into the aperture
        self.out: dict[tuple[str, int], float] = {}  # attempts out, and since when
        self.base = 0.0  # latency with no queue: follows low answers fast and high ones slowly; 0: unknown
        self.latency, self.timed = 0.0, -math.inf  # EWMA, and when it was last measured
        self.guessed = False  # the latency is what was waited in vain, not what an answer took
        self.proven = -math.inf  # when the attempt was sent that was sent last of all that were answered
        self.failing, self.failed = 0.0, -math.inf  # EWMA of failures, and when it last moved
        self.answered, self.answers = -math.inf, 0  # when last, and how many good ones
        self.cold_tat: float | None = None  # no send before this while cold; None: not thought of yet

    def failures(self, now: float) -> float:
        """Share of attempts that fail, as far as it is not forgotten."""
        return self.failing * math.exp((self.failed - now) / FAIL_TAU_MS)

    def judge(self, now: float, bad: bool) -> None:
        """Learn from one answer, or from none."""
        self.failing = (1 - FAIL_GAIN) * self.failures(now) + FAIL_GAIN * bad
        self.failed = now


def by_rank(peer: Peer) -> float:
    """The key of the order in which servers come into the aperture."""
    return peer.rank


class Fleet:
    """Membership, load and health of the servers, and the choice among them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self._peers: dict[int, Peer] = {}
        self._up: list[Peer] = []
        self._aim = min((c.latency_objective_ms for c in settings.classes), default=SECOND_MS)
        self._mean = GUESS_OF_AIM * self._aim
        self._sent, self._sent_at = 0.0, 0.0
        self._began = math.inf  # time of the first send
        self._latency = GUESS_OF_AIM  # EWMA over the answers of all servers, in parts of the class's aim
        self._out = 0  # attempts out at all servers, and ...
        self._unmet = 0.0  # EWMA share of attempts that got no connection
        self._low, self._largest, self._heard = math.inf, 1.0, 0  # see _bounds; answers since
        self._warm_at = -math.inf
        self._more = LIMIT_SPARE  # ... how many more than its part this gateway may have

    def members(self, event: EndpointListUpdate) -> None:
        """Take in a list: whole ones replace, changes apply to what is held."""
        if event.scope is EndpointListScope.DELTA:
            for server in event.endpoints:
                self._change(server)
            return
        listed = {server.id: server for server in event.endpoints}
        if event.scope in (EndpointListScope.FULL, EndpointListScope.CACHED):
            for key in self._peers:
                if key not in listed:
                    self._peers[key].info = replace(self._peers[key].info, state=EndpointState.REMOVED)
        for key, server in listed.items():
            peer = self._peers.get(key)
            if peer is None:
                self._peers[key] = Peer(server, self._rng.random())
                continue
            if server.started_ms > peer.info.started_ms:
                fresh = self._peers[key] = Peer(server, peer.rank)
                fresh.out, fresh.base = peer.out, peer.base
            self._peers[key].info = server
        self._peers = {k: p for k, p in self._peers.items() if p.info.state is not EndpointState.REMOVED or p.out}
        self._up = [p for p in self._peers.values() if p.info.state is EndpointState.UP]
        self._up.sort(key=lambda p: p.rank)
        self._bounds()

    def _change(self, server: Endpoint) -> None:
        """Take in one entry, at a cost that does not grow with the fleet."""
        peer = self._peers.get(server.id)
        if peer is None:
            peer = Peer(server, self._rng.random())
        else:
            self._take_out(peer)
            if server.started_ms > peer.info.started_ms:
                fresh = Peer(server, peer.rank)
                fresh.out, fresh.base = peer.out, peer.base
                peer = fresh
            peer.info = server
        if server.state is EndpointState.REMOVED and not peer.out:
            self._peers.pop(server.id, None)
            return
        self._peers[server.id] = peer
        if server.state is EndpointState.UP:
            insort(self._up, peer, key=by_rank)
            # Bounds that are too wide only look at more than is needed; _bounds narrows them again.
            self._low, self._largest = min(self._low, peer.base or math.inf), max(self._largest, server.capacity)
            if server.started_ms > 0:
                self._warm_at = max(self._warm_at, server.started_ms + self._settings.slow_start_window_ms)

    def _take_out(self, peer: Peer) -> None:
        """Take a server out of the order of the aperture, if it is in it."""
        place = bisect_left(self._up, peer.rank, key=by_rank)
        while place < len(self._up) and self._up[place].rank == peer.rank:
            if self._up[place] is peer:
                del self._up[place]
                return
            place += 1

    def _bounds(self) -> None:
        """No server's base is known to be below the one, none is larger, none cold after the third."""
        self._low = min((p.base for p in self._up if p.base), default=math.inf)
        self._largest, self._heard = max((p.info.capacity for p in self._up), default=1.0), 0
        started = max((p.info.started_ms for p in self._up), default=0.0)
        self._warm_at = started + self._settings.slow_start_window_ms if started > 0 else -math.inf

    def _step_back(self, now: float, peer: Peer) -> None:
        """To any place behind the aperture: memory of a bad server by what was tried since, not by time.  Not
        to the end, where all gateways would leave it until all others had failed them too."""
        if self._up:
            edge = self._up[min(int(self._width(now)), len(self._up) - 1)].rank
            farthest = self._up[-1].rank + 1 / len(self._up)
            listed = peer.info.state is EndpointState.UP
            self._take_out(peer)
            peer.rank = edge + (farthest - edge) * self._rng.random()
            if listed:
                insort(self._up, peer, key=by_rank)

    def _part(self) -> float:
        """This gateway's part of what the servers bear of all gateways' attempts."""
        return LIMIT_START * len(self._up) / self._settings.instances

    def _pace(self, now: float) -> float:
        """Own sends per millisecond, without the lag of a fresh start: a restarted gateway of few would else
        act for its first seconds as one of hundreds."""
        return self.send_rate(now) / (1 - math.exp(-max(now - self._began, SECOND_MS) / RATE_TAU_MS))

    def _width(self, now: float) -> float:
        """How many servers this gateway keeps to."""
        return max(self._pace(now) * NEAR_MS, NEAR_LEAST)

    def _blur(self, now: float) -> float:
        """Part of the choice that is by chance: 1 where nothing is known of the servers' queues."""
        seen = self._pace(now) * QUEUE_TAU_MS / max(1, min(self._width(now), len(self._up)))
        return max(1 - seen / INFORMED, BLUR_LEAST)

    def calm(self, now: float) -> bool:
        """Whether what answers at all does so quickly: what is lost then is lost for another reason.

        Where the choice is by chance, queues differ much, and the same mean hides servers that are jammed: it
        must then be lower.  Covers slow, jammed and uneven servers; harms where all are slow but not full.
        """
        return self._latency <= CALM_OF_AIM * (1 - BLUR_CALM * self._blur(now))

    def idle(self, now: float) -> bool:
        """Whether so little is out that nothing can be learnt without one more: the breaker is half open.  By
        time alone it stayed so: one answer in 2 s is chance, and calm asks more of it the fewer are sent."""
        few = self._rng.random() < HALF_OPEN_PART * (self._part() + self._more) - self._out
        return few or now - self._sent_at > HALF_OPEN_MS

    def crowded(self) -> bool:
        """Whether all is out that may be, over all servers: one at each is hundreds over all gateways."""
        return self._rng.random() >= self._part() + self._more - self._out

    def _expect(self, now: float, peer: Peer) -> tuple[float, float]:
        """Latency without a queue, and the queue's delay; news of a queue fades, lest a server be shunned for
        a queue that is long gone."""
        if not peer.base:
            return self._mean / max(peer.info.capacity, 0.1), 0.0
        queue = max(peer.latency - peer.base, 0.0)
        if queue:
            queue *= math.exp((peer.timed - now) / max(QUEUE_TAU_MS, QUEUE_TIMES * queue))
        for since in peer.out.values():  # what is out there tells before it is answered, the oldest most,
            if since >= peer.proven:  # but for those that later ones overtook
                return peer.base, max(queue, now - since - peer.base)
        return peer.base, queue

    def _cost(self, now: float, peer: Peer) -> float:
        """What one more attempt there would take, dearer where attempts fail; never below its base."""
        base, queue = self._expect(now, peer)
        cost = base * (1 + len(peer.out)) + queue
        return cost * (1 + FAIL_COST * peer.failures(now)) if peer.failing else cost

    def patience(self, now: float, peer_id: int, aim: float) -> float:
        """How long without an answer is silence."""
        usual = max(sum(self._expect(now, self._peers[peer_id])), SILENT_OF_POOL * self._latency * aim)
        return max(SILENT_TIMES * usual, SILENT_OF_AIM * aim)

    def _cold_gap(self, now: float, peer: Peer) -> float:
        """The least time between sends to a server that is cold; 0 for a warm one."""
        s = self._settings
        age = now - peer.info.started_ms
        if peer.info.started_ms <= 0 or age >= s.slow_start_window_ms:
            return 0.0
        part = s.slow_start_initial_share + (1 - s.slow_start_initial_share) * max(age, 0.0) / s.slow_start_window_ms
        usual = self.send_rate(now) / max(1, len(self._up))
        least = COLD_LEAST / max(s.overload_window_ms, SECOND_MS) / s.instances
        return 1 / max(COLD_SAFETY * s.overload_multiple * part * usual, least)

    def _may_warm(self, now: float, peer: Peer) -> bool:
        """Whether a cold server's turn has come.  The first turn is spread over the gap by chance: every
        gateway hears of a new server at about the same moment, and each would send its first at once."""
        gap = self._cold_gap(now, peer)
        if gap and peer.cold_tat is None:
            peer.cold_tat = now + gap * self._rng.random()
        return not gap or peer.cold_tat is None or now >= peer.cold_tat

    def send_rate(self, now: float) -> float:
        """Own sends per millisecond."""
        return self._sent * math.exp(-(now - self._sent_at) / RATE_TAU_MS) / RATE_TAU_MS

    def pick(self, now: float, allowed: EndpointFilter, tried: list[int]) -> tuple[Endpoint, float] | None:
        """The server with the least expected delay, and that delay; None where none may be used."""
        best: tuple[float, Peer] | None = None
        home, draw = self._settings.zone, self._rng.random
        # Aperture: of hundreds of gateways that each meet all servers none knows any, and all go on filling
        # what is slow, jammed or lost.  So each keeps to few, in an order of its own; one that fails it goes
        # to the back.  Covers servers slow, jammed, silent or lost and full tables; harms where the few that
        # look sound to many are too few, which chance and turns even out.  One that sends much meets all.
        # What it has few answers of, it chooses by chance, with odds as 1/cost where it knows nothing.
        # A draw so high that not even the quickest server could win with it settles a server at once.
        width, blur, win = self._width(now), self._blur(now), math.inf
        low = min(self._low, self._mean / max(self._largest, 0.1))
        if allowed or now < self._warm_at:
            met, chances = list[Peer](), list[float]()
            for peer in self._up:
                if allowed and not allowed(peer.info):
                    continue
                if peer.info.started_ms > 0 and not self._may_warm(now, peer):
                    continue
                if width <= len(met):
                    break
                met.append(peer)
                chances.append(draw())
        else:
            met = self._up[: math.ceil(width)]
            chances = [draw() for _ in met]
        for peer, chance in zip(met, chances, strict=True):
            if chance >= win:
                continue
            cost = self._cost(now, peer) * (-math.log(1 - chance)) ** blur
            if peer.info.zone != home:
                cost *= OTHER_ZONE
            if peer.info.id in tried:
                cost *= FAIL_COST
            # Where tables of connections are full, all gateways keep to servers that they are connected to.
            if now - peer.answered >= CONNECTED_MS:
                cost *= 1 + self._unmet * len(self._up)
            if best is None or cost < best[0]:
                best = cost, peer
                least = (cost / low) ** (1 / blur) if low > 0 and cost < low * WIN_MOST else math.inf
                win = 1 - math.exp(-least * (1 + ROUNDING)) + ROUNDING
        if met and width <= len(met) and draw() < TURN_CHANCE:
            self._step_back(now, max(met, key=lambda peer: self._cost(now, peer)))
        return None if best is None else (best[1].info, sum(self._expect(now, best[1])))

    def sent(self, now: float, server: int, key: tuple[str, int]) -> None:
        """Book a send."""
        peer = self._peers[server]
        peer.out[key] = now
        self._out += 1
        self._sent = self._sent * math.exp(-(now - self._sent_at) / RATE_TAU_MS) + 1
        self._sent_at, self._began = now, min(self._began, now)
        peer.cold_tat = now + self._cold_gap(now, peer)

    def outcome(self, now: float, event: AttemptEnded, aim: float) -> None:
        """Learn from how an attempt ended."""
        peer = self._peers.get(event.endpoint)
        self._out -= 1
        if peer is None:
            return
        since = peer.out.pop((event.id, event.attempt), now)
        bad = event.result not in (CallResult.OK, CallResult.NOT_SENT, CallResult.CANCELLED)
        self._unmet += POOL_GAIN * ((event.result is CallResult.CONNECT_FAILED) - self._unmet)
        if event.result in (CallResult.OK, CallResult.ERROR, CallResult.OVERLOADED):
            peer.answered = now
        if event.result is CallResult.OK:
            rtt = event.rtt_ms
            if not peer.base:
                peer.base = peer.latency = self._mean / max(peer.info.capacity, 0.1)
            gain = BASE_GAIN_DOWN if rtt < peer.base else BASE_GAIN_UP
            peer.base += max(gain, 1 / (peer.answers + BASE_PRIOR)) * (rtt - peer.base)
            self._low, self._heard = min(self._low, peer.base), self._heard + 1
            if self._heard >= LOW_EVERY:
                self._bounds()
            peer.answers += 1
            # An answer to what was sent after a guess measures what was guessed: one refutes a wait in vain.
            refuted = peer.guessed and since >= peer.timed
            peer.latency += (1.0 if refuted else EWMA_GAIN) * (rtt - peer.latency)
            peer.timed, peer.proven = now, max(peer.proven, since)
            peer.guessed = peer.guessed and not refuted
            self._latency += POOL_GAIN * (min(rtt / aim, 1.0) - self._latency)
            limit = self._part() + self._more
            if not self.calm(now):
                self._more = max(self._more - LIMIT_DOWN, -self._part() / 2)
            elif self._out + 1 >= limit:  # only a limit that was reached is known to be borne
                self._more += 1 / max(limit, 1.0)
            self._mean += (BASE_GAIN_DOWN if rtt < self._mean else BASE_GAIN_UP) / 2 * (rtt - self._mean)
        elif event.result is CallResult.OVERLOADED:
            # Its answer comes at once: without this a full server would look idle and draw all traffic.
            self._jammed(now, peer, self._aim)
        elif event.result is CallResult.TIMEOUT and since >= peer.proven:  # else of its connection only
            if not self.calm(now):
                self._latency += POOL_GAIN * (min(event.rtt_ms / aim, 1.0) - self._latency)
                self._more = max((self._more - self._part()) / 2, -self._part() / 2)
            self._jammed(now, peer, event.rtt_ms)
        if event.result not in (CallResult.NOT_SENT, CallResult.CANCELLED):
            peer.judge(now, bad)
            if bad:
                self._step_back(now, peer)

    def silent(self, now: float, server: int, key: tuple[str, int], patience: float) -> bool:
        """Whether nothing has come from a server for so long that an attempt there is given up."""
        peer = self._peers.get(server)
        if peer is None or key not in peer.out or now - peer.answered < patience:
            return False
        self._jammed(now, peer, now - peer.out[key])  # else only the quick answers would be counted
        peer.judge(now, True)
        self._step_back(now, peer)
        return self.calm(now)

    def _jammed(self, now: float, peer: Peer, waited: float) -> None:
        """No answer in time: the queue is this long at least, and work given up may still be in it."""
        if waited > peer.latency:
            peer.latency, peer.guessed = waited, True
        peer.timed = now


# Requests ---------------------------------------------------------------------------------------------


class Job:
    """One request from its arrival to its final answer."""

    def __init__(self, request: Request, cls: RequestClass, ledger: Ledger, now: float) -> None:
        self.request, self.cls, self.ledger = request, cls, ledger
        self.arrived, self.deadline = now, now + request.remaining_ms
        self.attempts: list[int] = []  # the server of each
        self.server: Endpoint | None = None  # where an attempt is out
        self.first_risk: tuple[Endpoint, float] | None = None  # first attempt that may have run: where and when
        self.beyond = False  # sent on beyond the quota


class Gateway:
    """Ties quota, servers and requests: one event in, its actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {cls.name: cls for cls in settings.classes}
        rng = random.Random(seed)
        self._quota = Quota(settings, rng)
        self._fleet = Fleet(settings, rng)
        self._jobs: dict[str, Job] = {}
        self._wakes: dict[int, Ledger | tuple[str, int, float]] = {}
        self._token = 0
        self._retries = self._saved = 1 + RETRY_SAVED / settings.instances

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event."""
        match event:
            case Request():
                return self._request(now, event)
            case AttemptEnded():
                return self._outcome(now, event)
            case CounterReply():
                return self._total(now, event)
            case TimerFired():
                return self._due(now, event.token)
            case ClientDisconnected():
                self._drop(event.id)
            case ClockStepped():
                self._quota.clock_stepped(now, event.shift_ms)
            case EndpointListUpdate():
                self._fleet.members(event)
                if event.scope in (EndpointListScope.CACHED, EndpointListScope.LOST) and self._settings.must_subscribe:
                    return [Subscribe()]
        return []

    def room(self, now: float, customer: int) -> float | None:
        """Units left of a customer's burst as far as this gateway knows, for the host to tell."""
        return self._quota.room(now, customer)

    def _drop(self, rid: str) -> None:
        """Forget a request that has its final answer, or whose client left, and free its place."""
        job = self._jobs.pop(rid, None)
        if job is not None:
            self._book(job, None)

    @staticmethod
    def _book(job: Job, server: Endpoint | None) -> None:
        """Book where an attempt is out, if one is: the one place where the open cap's count moves."""
        job.ledger.open += (server is not None) - (job.server is not None)
        job.server = server

    def _wake(self, at: float, purpose: Ledger | tuple[str, int, float]) -> Action:
        self._token += 1
        self._wakes[self._token] = purpose
        return SetTimer(at, self._token)

    def _request(self, now: float, event: Request) -> list[Action]:
        cls = self._classes.get(event.request_class)
        if cls is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        led = self._quota.ledger(now, event)
        job = self._jobs[event.id] = Job(event, cls, led, now)
        if led.plan.rate <= 0:
            return self._send(now, job)
        wait = led.quota.wait(now, event.units) if led.told else 0.0
        if led.plan.concurrency_limit and led.open >= max(led.plan.concurrency_limit * led.part(), 1.0):
            # The others' attempts out are guessed by their part of the units.
            return self._beyond(now, job, max(wait, OPEN_WAIT_MS), RejectionReason.CONCURRENCY_LIMIT)
        if wait > 0:
            return self._beyond(now, job, wait, RejectionReason.OVER_QUOTA)
        if self._quota.spare(now, led, event.units):
            return self._unconfirmed(now, job, True)
        patient = event.remaining_ms > HOLD_TIMES * self._settings.counter_timeout_ms
        weight = 1.0 if led.asked else self._quota.call_weight(now, led, event.units)
        if patient and weight:
            led.waiting[event.id] = event.units
            return self._quota.ask(now, led, event.units * (weight - 1))
        return self._unconfirmed(now, job)

    def _unconfirmed(self, now: float, job: Job, spare: bool = False) -> list[Action]:
        """Decide without the counter: the own part of the quota, and of the ceiling's headroom."""
        led, units = job.ledger, job.request.units
        wait, reason = 0.0 if spare else self._quota.unheard_wait(now, led, units), RejectionReason.UNCONFIRMED
        if not spare and not self._fleet.calm(now) and not self._fleet.idle(now):
            # What the counter has not confirmed goes first when room gets short: one in four lies beyond its
            # quota, and they fill the servers for those inside.  Covers every overload; harms, mildly, where
            # the counter is down and the servers are slow for a reason that fewer sends do not mend.
            wait, reason = max(wait, led.quota.per_unit), RejectionReason.OVERLOAD if wait <= 0 else reason
        if wait > 0:
            return self._beyond(now, job, wait, reason)
        if led.head and led.head.room(now) < units:
            return self._refuse(now, job, led.quota.per_unit, RejectionReason.CEILING)
        actions = self._send(now, job)
        if job.attempts:
            led.own.take(units, now)
            led.quota.take(units, now)
            led.owed += units if spare else 0.0
            if led.head:
                led.head.take(units, now)
            if spare and not led.flushing:
                led.flushing = True
                actions.append(self._wake(now + FLUSH_SHARE * led.period_ms, led))
        return actions

    def _beyond(self, now: float, job: Job, wait: float, reason: RejectionReason) -> list[Action]:
        """Refuse with the retry-after, unless the plan earns more beyond the quota than it costs, the servers
        have room to spare and the own part of the headroom holds it: it is in nobody else's books."""
        led, units = job.ledger, job.request.units
        if led.plan.over_quota_value <= led.plan.over_quota_cost or (led.head and led.head.room(now) < units):
            return self._refuse(now, job, wait, reason)
        job.beyond = True
        actions = self._send(now, job, BEYOND_FIT)
        if job.attempts and led.head:
            led.head.take(units, now)
        return actions

    def _total(self, now: float, event: CounterReply) -> list[Action]:
        answer = self._quota.total(now, event)
        if answer is None:
            return []
        led, good, actions = answer
        if led.asked or actions:
            return actions
        pending, led.pending = led.pending, {}
        for rid, units in pending.items():
            job = self._jobs.get(rid)
            if job is None or not good:
                led.owed -= units  # it is in the call already, if in any
                if job is not None:
                    actions += self._unconfirmed(now, job)
                continue
            wait = led.quota.wait(now, units)
            self._quota.judged(led, wait <= 0)
            book = led.book(now, units) if wait <= 0 else None
            if wait > 0:
                actions += self._beyond(now, job, wait, RejectionReason.OVER_QUOTA)
            elif led.cap and not book:
                actions += self._refuse(now, job, max(led.cap.wait(now, units), 0.0), RejectionReason.CEILING)
            else:
                actions += self._send(now, job)
            if wait <= 0 and job.attempts:
                led.quota.take(units, now)
                if book:
                    book.take(units, now)
            else:
                led.owed -= units
        if led.waiting or (led.owed < 0 and good and self._quota.to_spare()):
            actions += self._quota.ask(now, led)
        return actions

    def _refuse(self, now: float, job: Job, wait: float, reason: RejectionReason) -> list[Action]:
        self._drop(job.request.id)
        return [Reject(job.request.id, max(wait, 1.0), reason)]

    def _allowed(self, now: float, job: Job) -> EndpointFilter | Literal[False]:
        """Which servers the class's rule on repeats leaves: a test, None for all, False for none."""
        risk = job.first_risk
        if risk is None or job.cls.idempotency is Idempotency.IDEMPOTENT:
            return None
        if job.cls.idempotency is Idempotency.AT_MOST_ONCE or now >= risk[1] + job.cls.deduplication_window_ms:
            return False
        first = risk[0]
        if job.cls.deduplication_scope is DeduplicationScope.ZONE:
            return lambda server: server.zone == first.zone
        if job.cls.deduplication_scope is DeduplicationScope.CELL:
            return lambda server: server.cell == first.cell
        return None

    def _send(self, now: float, job: Job, fit: float = FIT_OF_AIM) -> list[Action]:
        """Start an attempt where it can still be answered in time, else give the final answer."""
        left = job.deadline - now
        aim_left = min(job.arrived + job.cls.latency_objective_ms, job.deadline) - now
        allowed = self._allowed(now, job)
        spent = len(job.attempts) >= self._settings.max_attempts
        if allowed is False or spent or left <= self._settings.tick_ms:
            late = left <= self._settings.tick_ms
            return self._give_up(now, job, RejectionReason.DEADLINE if late else RejectionReason.RETRIES_EXHAUSTED)
        crowded = self._fleet.crowded()
        choice = None if crowded else self._fleet.pick(now, allowed, job.attempts)
        if choice is None or choice[1] > fit * aim_left:
            full = crowded or choice is not None
            return self._give_up(now, job, RejectionReason.OVERLOAD if full else RejectionReason.NO_ENDPOINT)
        server, attempt = choice[0].id, len(job.attempts)
        if attempt == 0:
            share = RETRY_CALM if self._fleet.calm(now) else RETRY_SHARE
            self._retries = min(self._retries + share, self._saved)
        job.attempts.append(server)
        self._book(job, choice[0])
        patience = self._fleet.patience(now, server, job.cls.latency_objective_ms)
        self._fleet.sent(now, server, (job.request.id, attempt))
        actions: list[Action] = [StartAttempt(job.request.id, server, left, job.beyond)]
        if self._settings.can_cancel and patience < left:
            actions.append(self._wake(now + patience, (job.request.id, attempt, patience)))
        return actions

    def _give_up(self, now: float, job: Job, reason: RejectionReason) -> list[Action]:
        """The final answer: a refusal where a client's retry is certain to do no harm, else a failure."""
        harmless = (
            job.first_risk is None
            or job.cls.idempotency is Idempotency.IDEMPOTENT
            or (job.cls.idempotency is Idempotency.KEYED and job.cls.deduplication_scope is DeduplicationScope.ALL)
        )
        if harmless:
            return self._refuse(now, job, job.cls.latency_objective_ms * 0.1, reason)
        self._drop(job.request.id)
        return [Fail(job.request.id)]

    def _outcome(self, now: float, event: AttemptEnded) -> list[Action]:
        job = self._jobs.get(event.id)
        self._fleet.outcome(now, event, job.cls.latency_objective_ms if job else math.inf)
        if job is None or event.request_complete:
            self._drop(event.id)
            return []
        if not event.result.never_executed and job.first_risk is None and job.server:
            job.first_risk = job.server, now - event.rtt_ms
        self._book(job, None)
        if self._retries < 1:
            return self._give_up(now, job, RejectionReason.RETRIES_EXHAUSTED)
        self._retries -= 1
        return self._send(now, job)

    def _due(self, now: float, token: int) -> list[Action]:
        purpose = self._wakes.pop(token, ("", 0, 0.0))
        if isinstance(purpose, Ledger):
            purpose.flushing = False
            return self._quota.ask(now, purpose)
        rid, attempt, patience = purpose
        job = self._jobs.get(rid)
        if job is None or not job.server or len(job.attempts) != attempt + 1:
            return []
        silent = self._fleet.silent(now, job.attempts[-1], (rid, attempt), patience)
        # Only where another attempt can follow: else the work done is wasted for nothing, and an unsafe
        # request, which may have run, fails long before its deadline.
        more = job.cls.idempotency is not Idempotency.AT_MOST_ONCE and len(job.attempts) < self._settings.max_attempts
        return [CancelAttempt(rid, attempt)] if silent and self._retries >= 1 and more else []
