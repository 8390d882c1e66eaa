"""Quotas and ceilings of customers, as one gateway decides: GCRA, the counter's totals, shares between gateways.

No I/O.  The types it takes and gives are in martenstep/policy/messages.py;
what drives it is in martenstep/policy/gateway.py.
"""

from __future__ import annotations

import math
import random

from martenstep.policy.messages import Action, CallResult, CounterReply, IncrementCounter, Plan, Request, Settings

SECOND_MS = 1000.0  # quotas are told per second, the clock runs in milliseconds
PERIOD_LEAST_MS = 1000.0  # a period shorter than this would be closed more often than used
PERIOD_MOST_MS = 20_000.0  # the counter forgets names after 60 s; a period and the next must fit well
FLUSH_SHARE = 0.5  # units sent unheard are reported after this part of a period
HOLD_TIMES = 4.0  # counter time-outs a client must have left to be held: twice the longest hold
HEAD_PART = 0.9  # of the ceiling's headroom is used: confirmed sends may pass the quota by what is read late
CLOCKS_MS = 10.0  # gateways' clocks part by no more: so close to a name's end its total is not counted on
STEP_SEEN_MS = 250.0  # after a step of the wall clock all gateways number periods by it: one is held up for 150 ms
NO_PERIOD = -1  # of a ledger that has not asked the counter, or not since the wall clock was stepped
NAME_LIVES = 2.5  # a name lives for this many periods: its own, and the next for the closing read
CALL_GAIN = 0.12  # the chance of a call moves by about this part with each answer
CALL_BUSY = 0.25  # of the time-out: an answer so much later than without a line tells of one at the counter
CALL_LEAST = 0.05  # chance of a call while none is answered, so that a recovery is noticed
CALL_MOST = 8.0  # above 1, so that tries of less than usual worth are asked for too while there is no crowd
CLOSE_BELOW = 0.75  # of the burst left: under this the old period's end matters, and is read
PRIOR_GAIN = 0.05  # weight of one answered try in a plan's share that conforms: about the last twenty
WEIGHT_MOST = 4.0  # tries that one asked for stands for at most: more would fill a burst by chance alone
COST_LEAST = 0.1  # of its worth a send beyond the quota costs at least: it takes room even where it is free
PAYS_LEAST = -0.15  # of its worth an unheard send may seem to earn: the share is read from few answers
PRIOR = 0.5  # of a plan nobody has asked for yet
SURE = 0.85  # a share that conforms is held to lie between this and 1 less this: else nobody asks again
CONFORM_GAIN = 0.4  # and in a customer's own, which starts from its plan's
FRESH_PERIODS = 4.0  # a reading may be gone on from for this long at the rates seen
SHARE_PERIODS = 2.0  # memory of the others' rate: long against chance, short against a shift of traffic
LEAST_PART = 0.5  # of an even share is kept for a gateway that saw little of a customer: traffic moves
STALE_TOLERANCES = 4.0  # an entry is dropped when its TAT plus tolerance lies this many tolerances back
SWEEP_MS = 2000.0  # how often stale entries are looked for
NEAR_GAIN_DOWN = 0.1  # an answer of the counter that came sooner than usual pulls the usual time down by this, ...
NEAR_GAIN_UP = 0.02  # ... a later one lifts it by this: it settles where calls find no line
MASK = (1 << 63) - 1  # counter names are below 2^63


def name_of(customer: int, period: int) -> int:
    """The counter name of a customer's period: the same at every gateway, spread by a fixed mix."""
    x = (customer * 0x9E3779B97F4A7C15 + period * 0xD1B54A32D192ED03 + 0x8CB92BA72F3D8DD7) & (2**64 - 1)
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & (2**64 - 1)
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & (2**64 - 1)
    return (x ^ (x >> 31)) & MASK


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

    __slots__ = (
        "abandoned",
        "asked",
        "base",
        "cap",
        "cap_empty_at",
        "conform",
        "counted",
        "customer",
        "flushing",
        "guessed",
        "head",
        "last_base",
        "maybe",
        "mine",
        "open",
        "others",
        "owed",
        "own",
        "pending",
        "period",
        "period_ms",
        "phase",
        "plan",
        "quota",
        "renumbered",
        "seen",
        "shift_ms",
        "since",
        "spread",
        "stranger",
        "told",
        "turned",
        "unclosed",
        "used",
        "waiting",
    )

    def __init__(
        self,
        plan: Plan,
        request: Request,
        settings: Settings,
        now: float,
        started: float,
        shift_ms: float = 0.0,
        cap_empty_at: float = -math.inf,
    ) -> None:
        self.plan, self.customer = plan, request.customer
        self.spread = spread = max(1, min(request.instances, settings.instances))
        self.quota = Meter(plan.rate, plan.burst, now)
        self.quota.tat = now + self.quota.tolerance * (1 - 1 / spread)
        self.own = Meter(plan.rate, plan.burst, now)  # its rate is set to the own part before each use
        # The ceiling's part above the quota, less a reserve, is split evenly for sends the counter has not
        # confirmed.  It fills from the instance's start, since a restart refills nothing.  Where an even part
        # is less than one request, the first so many of the customer's gateways hold one each: else all
        # would pass, or nobody.
        self.head: Meter | None = None
        # What is left of the ceiling bounds the sends that the counter confirmed.  The cap's TAT is never too
        # early, whatever could not be read (docs/design.md, "The ceiling").
        self.cap: Meter | None = None
        self.turned = self.counted = 0.0  # its TAT before the old period's rest; units of this one, as read
        self.since = now  # the last reading that it counts, or its period's start
        if plan.ceiling_rate > 0:
            depth = HEAD_PART * max(plan.ceiling_burst + plan.ceiling_slack - plan.burst, 0.0)
            holders = min(spread, int(depth / max(settings.max_units, 1.0)))
            place = (settings.instance - request.first_instance) % settings.instances
            part = (place < holders) / max(holders, 1)
            rate = HEAD_PART * max(plan.ceiling_rate - plan.rate, 0.0)
            self.head = Meter(rate * part, depth * part, started)
            self.head.tat = started + self.head.tolerance
            rate = plan.ceiling_rate - rate
            late = rate * settings.counter_timeout_ms / SECOND_MS  # a send follows its add so late at most
            self.cap = Meter(rate, plan.ceiling_burst + plan.ceiling_slack - depth - late, now)
        length = plan.burst / plan.rate * SECOND_MS if plan.rate > 0 else PERIOD_MOST_MS
        self.period_ms = min(max(length, PERIOD_LEAST_MS), PERIOD_MOST_MS)
        self.phase = name_of(self.customer, -1) / MASK  # customers' periods end at different times
        self.period = NO_PERIOD
        self.shift_ms = shift_ms  # of the wall clock against `now`: periods are numbered by the wall clock
        self.renumbered = False  # by a step of the wall clock, and not read since
        self.abandoned: dict[int, None] = {}  # names with a call out, of the numbering before a step
        # The cap is taken to have been empty then: before a step of the wall clock was seen by all, others may have
        # added to names that are not read any more.
        self.cap_empty_at = cap_empty_at
        self.base = 0.0  # total last seen under this period's name
        self.last_base = 0.0  # and under the one before
        self.unclosed = False  # the old period's end has not been read
        self.mine = self.others = 0.0  # EWMA of units a second, this gateway's and the others'
        self.owed = 0.0  # units sent and in no call yet; below 0: reported but not sent
        self.guessed = 0.0  # units of unheard sends elsewhere that the tries in the call stand for
        self.maybe = 0.0  # units in calls that timed out
        self.asked: dict[int, float] = {}  # names with a call out and the units in it
        self.pending: dict[str, float] = {}  # requests, and their units, in the call that is out
        self.waiting: dict[str, float] = {}  # and for the next call
        self.seen = now  # when the counter last told of the others
        self.told = False  # of this period, or of the one before and this gateway's own use since
        self.stranger = False  # was not, before the last answer
        self.conform = PRIOR  # share of its tries that conformed when the counter was asked
        self.used = now
        self.open = 0
        self.flushing = False  # a Wake is set to report what is owed

    def part(self) -> float:
        """The own part of the quota while nothing is heard: each gateway is taken to go on as last seen, and
        what was unused is split evenly."""
        unused = max(self.plan.rate - self.mine - self.others, 0.0) / self.spread
        return min(max((self.mine + unused) / self.plan.rate, LEAST_PART / self.spread), 1.0)

    def start(self) -> float:
        """When the current period began, by the clock of all."""
        return (self.period - self.phase) * self.period_ms - self.shift_ms

    def renumber(self, shift_ms: float, cap_empty_at: float) -> None:
        """The wall clock was stepped: what was read, told and asked stands under names that nobody uses any more.

        Until all gateways have noticed, others add to the old names; so the cap counts as empty until then."""
        self.shift_ms, self.period, self.renumbered = shift_ms, NO_PERIOD, True
        self.cap_empty_at = cap_empty_at
        self.told = self.unclosed = False
        self.base = self.last_base = self.maybe = 0.0
        self.owed = max(self.owed, 0.0)
        self.abandoned.update(dict.fromkeys(self.asked))

    def turn(self, period: int, follows: bool) -> None:
        """A new period: until the old one's end is read, the cap is taken to have been empty at the turn, and
        at the old one's begin too, where that is not known either."""
        self.period = period
        if self.cap:
            empty = max(self.start(), self.cap_empty_at) + self.cap.tolerance
            self.turned = self.cap.tat if follows else empty - self.period_ms
            self.cap.tat, self.since = empty, self.start() - CLOCKS_MS

    def read(self, now: float, cap: Meter, total: float, units: float, doubted: float) -> None:
        """Push the cap by what others have added, as if it were sent now.  After a doubt all that the counter
        holds may be new, and the cap was empty at the doubt; emptier than now it never is."""
        doubted = max(doubted, self.cap_empty_at)
        known = self.base if doubted <= self.since else 0.0
        tat = cap.tat if doubted <= self.since else max(cap.tat, doubted + cap.tolerance)
        cap.tat = min(max(tat, now) + max(total - units - known, 0.0) * cap.per_unit, now + cap.tolerance)
        self.since, self.counted = now, total - units

    def close(self, cap: Meter, total: float, doubted: float) -> None:
        """The old period's end is read: what stood at the turn is known."""
        start, rest = self.start(), max(total - self.last_base, 0.0) * cap.per_unit
        doubted = max(doubted, self.cap_empty_at)
        if doubted <= start - self.period_ms - CLOCKS_MS:
            turned = min(max(self.turned, start) + rest, start + cap.tolerance)
            cap.tat = min(cap.tat, max(turned, self.since) + self.counted * cap.per_unit)

    def book(self, now: float, units: float) -> Meter | None:
        """The meter that holds a confirmed send under the ceiling: the cap, else the own headroom, if any."""
        in_period = self.cap_empty_at <= now < self.start() + self.period_ms - CLOCKS_MS
        if self.cap and in_period and self.cap.wait(now, units) <= 0:
            return self.cap
        return self.head if self.head and self.head.room(now) >= units else None

    def in_use(self, now: float) -> bool:
        """Whether the entry is kept.  One with a report to come is: dropped, its report would take a new
        entry's call, and lose who waits for it."""
        idle = now - max(self.quota.tat, self.used)
        busy = self.asked or self.open or self.waiting or self.pending or self.flushing
        if self.head and self.head.tat > now:  # a new entry's is full
            return True
        return bool(busy) or idle <= STALE_TOLERANCES * max(self.quota.tolerance, self.period_ms)


class Quota:
    """Keeps every customer's ledger and the calls to the counter."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self._plans = {plan.name: plan for plan in settings.plans}
        self._ledgers: dict[int, Ledger] = {}
        self._calls: dict[int, Ledger] = {}
        self._chance = 1.0 if settings.has_counter else 0.0  # of a call, where its answer has the usual worth
        self._worth = 0.0  # EWMA of what an answer is worth
        self._near = CALL_BUSY * settings.counter_timeout_ms  # a call where none stands in line
        self._conform = {plan.name: PRIOR for plan in settings.plans}  # EWMA of the asked
        self._swept = -math.inf
        self._started = math.nan
        self._shift_ms = 0.0  # of the wall clock against that of the events
        self._cap_empty_at = -math.inf  # of every ledger

    def ledger(self, now: float, request: Request) -> Ledger:
        """The customer's ledger, new where it is not known; stale ones are dropped on the way."""
        if math.isnan(self._started):
            self._started = now
        if now - self._swept >= SWEEP_MS:
            self._swept = now
            self._ledgers = {key: led for key, led in self._ledgers.items() if led.in_use(now)}
        found = self._ledgers.get(request.customer)
        if found is None:
            plan = self._plans.get(request.plan)
            if plan is None:
                raise ValueError(f"plan {request.plan!r} is not among the settings")
            found = Ledger(plan, request, self._settings, now, self._started, self._shift_ms, self._cap_empty_at)
            found.conform = self._conform[plan.name]
            self._ledgers[request.customer] = found
        found.used = now
        return found

    def clock_stepped(self, now: float, shift_ms: float) -> None:
        """Number the periods by the wall clock as it reads now, as gateways do that start now.  One that has met no
        request has been starting for longer than others take to notice a step."""
        self._shift_ms = shift_ms
        self._cap_empty_at = now if math.isnan(self._started) else now + STEP_SEEN_MS
        for led in self._ledgers.values():
            led.renumber(shift_ms, self._cap_empty_at)

    def room(self, now: float, customer: int) -> float | None:
        """Units left of a customer's burst; None where no ledger is kept or there is no quota."""
        led = self._ledgers.get(customer)
        return None if led is None or led.plan.rate <= 0 else max(led.quota.room(now), 0.0)

    @staticmethod
    def _pays(led: Ledger) -> bool:
        """Whether a send without the counter's word earns about what it costs, as such tries go."""
        return led.conform + (1 - led.conform) * (led.plan.over_quota_value - led.plan.over_quota_cost) > PAYS_LEAST

    def unheard_wait(self, now: float, led: Ledger, units: float) -> float:
        """The wait without the counter's word.  While it answers, a part of 1/sqrt of the set holds by chance
        in place of the own part: few that are within their quota come by one gateway more often."""
        wait = led.quota.wait(now, units) if led.told else 0.0
        part = led.part()
        if self._rng.random() < self._chance - CALL_LEAST:
            part = max(part, led.spread**-0.5)
        led.own.per_unit = led.quota.per_unit / part
        wait = max(wait, led.own.wait(now, units))
        return wait if self._pays(led) else max(wait, led.quota.per_unit)

    def call_weight(self, now: float, led: Ledger, units: float) -> float:
        """0 for no call: by chance, so that all gateways together stay below what the counter takes, with
        odds by what the answer is worth: a right send where it would else be refused, or a wrong one spared.
        Covers a counter that is crowded, slow or down; harms where calls are slow for another reason."""
        blind = self._pays(led) and (led.head is None or led.head.room(now) >= units)
        good = min(max(led.conform, 1 - SURE), SURE)
        worth = (
            units
            * led.plan.priority_weight
            * ((1 - good) * max(led.plan.over_quota_cost, COST_LEAST) if blind else good)
        )
        self._worth += PRIOR_GAIN * (worth - self._worth)
        odds = max(self._chance * worth / self._worth, CALL_LEAST) if self._worth else self._chance
        if not self._settings.has_counter or self._rng.random() >= odds:
            return 0.0
        # A try that is asked for stands for those that are not and are sent all the same: without their
        # weight the totals are too low, and all conform.
        return min(1 / min(odds, 1.0), WEIGHT_MOST) if blind else 1.0

    def to_spare(self) -> bool:
        """Whether the counter has room for a call that no try waits for, to take back what was told and not
        sent; else that goes with the customer's next.  By chance, with odds by how far the counter is from a
        line: beside a full one every fifth call was such, and tries not asked for were refused with room or
        sent beyond the quota.  Harms a customer who comes no more within the period: its total stays high."""
        return self._rng.random() < self._chance / CALL_MOST

    def spare(self, now: float, led: Ledger, units: float) -> bool:
        """Whether the last reading leaves so much room that a call is better spent elsewhere, the more so the
        more the counter is crowded: the units are then gathered and told afterwards."""
        unseen = led.others * (now - led.seen) / SECOND_MS
        room = led.quota.room(now) - unseen - units
        fresh = led.told and now - led.seen < FRESH_PERIODS * led.period_ms
        return (
            fresh
            and room > min(self._chance, 1.0) * led.plan.burst
            and (led.head is None or led.head.room(now) >= units)
        )

    def judged(self, led: Ledger, good: bool) -> None:
        """Learn from a try that the counter told of whether such tries conform."""
        self._conform[led.plan.name] += PRIOR_GAIN * (good - self._conform[led.plan.name])
        led.conform += CONFORM_GAIN * (good - led.conform)

    def ask(self, now: float, led: Ledger, guessed: float = 0.0) -> list[Action]:
        """Report what is owed and what the waiting requests would use, and read the total back."""
        if led.asked or (not led.waiting and not led.owed):
            return []
        period = math.floor((now + led.shift_ms) / led.period_ms + led.phase)
        if period != led.period:
            follows = period == led.period + 1
            led.last_base = led.base if follows else 0.0
            led.turn(period, follows)
            # Who read nothing in the period before knows no more of it than who came now.
            led.told = led.told and follows and led.seen >= led.start() - led.period_ms
            led.base, led.unclosed = 0.0, True
            led.owed = max(led.owed, 0.0)
        led.pending, led.waiting = led.waiting, {}
        add = led.owed + guessed + sum(led.pending.values())
        led.owed, led.guessed = 0.0, guessed
        return [self._call(led, period, add)]

    def _call(self, led: Ledger, period: int, units: float) -> Action:
        name = name_of(led.customer, period)
        led.asked[name] = units
        self._calls[name] = led
        return IncrementCounter(name, units, NAME_LIVES * led.period_ms, led.cap is not None)

    def total(self, now: float, event: CounterReply) -> tuple[Ledger, bool, list[Action]] | None:
        """Take in an answer; gives the ledger, whether its requests may count on it, and further calls."""
        led = self._calls.pop(event.key, None)
        if led is None:
            return None
        units, quota = led.asked.pop(event.key), led.quota
        current = event.key == name_of(led.customer, led.period)
        good = event.result is CallResult.OK
        late = 1.0
        if good:
            more = event.rtt_ms - self._near
            self._near += (NEAR_GAIN_DOWN if more < 0 else NEAR_GAIN_UP) * more
            late = max(more, 0.0) / max(self._settings.counter_timeout_ms, 1.0)
        step = CALL_GAIN * (1 - late / CALL_BUSY)
        self._chance = min(max(self._chance * math.exp(step), CALL_LEAST), CALL_MOST)
        if event.key in led.abandoned:
            del led.abandoned[event.key]
            return led, False, []
        if not good:
            if not current:  # the closing read: what was told of this period stands
                return led, True, []
            if event.result is CallResult.TIMEOUT:
                led.maybe += units
            else:
                led.owed += units
            return led, False, []
        if not current:
            led.unclosed = False
            if led.cap:
                led.close(led.cap, event.total, now - event.retained_ms)
            rest = max(event.total - led.last_base, 0.0)
            if led.stranger:
                rest = max(rest - led.plan.burst / 2, 0.0)
            quota.tat += rest * quota.per_unit
            return led, True, []
        others = max(event.total - led.base - units - led.maybe, 0.0) + led.guessed
        if led.cap:
            led.read(now, led.cap, event.total, units, now - event.retained_ms)
        led.maybe = 0.0
        led.stranger = not led.told
        if led.told:
            quota.take(others, led.seen)
        else:
            used = led.start() + others * quota.per_unit
            quota.tat = max(quota.tat, used) if led.renumbered else used
            led.told, led.renumbered = True, False
        if now > led.seen:
            weight = 1 - math.exp((led.seen - now) / (SHARE_PERIODS * led.period_ms))
            led.others += weight * (others / (now - led.seen) * SECOND_MS - led.others)
            led.mine += weight * (units / (now - led.seen) * SECOND_MS - led.mine)
        led.base, led.seen = event.total, now
        most = 1.0 if led.plan.ceiling_rate > 0 or self._chance >= 1 else CLOSE_BELOW
        short = led.unclosed and (
            quota.room(now) < most * led.plan.burst or (led.cap is not None and led.cap.wait(now, units) > 0)
        )
        if short and self.call_weight(now, led, 1.0):
            return led, True, [self._call(led, led.period - 1, 0.0)]
        return led, True, []
