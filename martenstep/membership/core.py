"""The membership core: SWIM with suspicion and incarnations, Lifeguard's local health, and accusations with a witness.

Sans-I/O.  In: datagrams, answers of exchanges, and the time.  Out: datagrams, exchanges to be opened, events.  The
time is the host's monotonic clock in milliseconds; nothing else is read, and draws come from the given generator.

What differs from SWIM, and why (docs/design-membership.md has the ways weighed):

- An accusation needs a witness: another member that answers, in the time of the same probe, that it too got no answer.
  A door that is deaf, unheard or cut off has none and accuses nobody, however its timers run.
- A door whose own clock or loop stood still takes back the probes that were out and prolongs its suspicions by that
  time before it judges anything.
- Every datagram says how its sender sees its receiver, so that who is suspected hears it first.
- A door that gets nothing says of itself that it is deaf and goes on saying so at a slow beat: whoever hears it does
  not probe it, as its answers could not come about.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from martenstep.membership.codec import (
    ROOM,
    Ack,
    Challenge,
    Done,
    Frame,
    Have,
    Keys,
    Message,
    Ping,
    Push,
    Relay,
    Relayed,
    Seen,
    Sender,
    Tell,
    Want,
    Window,
    WireError,
    cluster_number,
    datagram,
    encode,
    frame_of,
    message_of,
    open_datagram,
)
from martenstep.membership.dissemination import Spread, suspicion_ms, worth_telling
from martenstep.membership.member_table import BUCKETS, Fact, Says, State, Table, bucket_of, with_state

Address = tuple[str, int]
HELPERS = 3  # asked where a direct probe failed: SWIM's k; at 5% loss one probe in 1,600 fails through all of them
FANOUT = 3  # doors told at once of what is new: the number that makes a rumour reach all in log(n) rounds
MOST_HEALTH = 8  # Lifeguard's bound on how much slower a door that has cause to doubt itself judges
LATE_MS = 100.0  # a timer so late means that this process stood: loops of loaded doors are late by some tens of ms
LEAST_FRESH_PERIODS = 2  # after standing: so long the answers that wait in the socket are read before it judges
DEAF_PERIODS = 4  # without a datagram from anybody: with four or more expected in each, chance is no cause of it
DEAF_BEAT = 0.5  # of the least suspicion: how often a deaf door says that it is there
UNHEARD_PROBES = 6  # in a row that nobody answered, while others were heard
BEHIND = 4  # doors heard in a row that hold an old saying of this one: what it says does not get out
LEAST_SPREAD_MS = 1500.0  # a refutation reaches all in this: measured at 380 members
REACH_PERIODS = 4  # between two tries to reach somebody who is held dead, or a seed that is not known
AGAIN_MS, MOST_AGAIN_MS = 1000.0, 10_000.0  # between tries to join
SETTLE_MS, MOST_SETTLE_MS = 2000.0, 15_000.0  # between exchanges, while views differ
CHALLENGES_A_S = 50  # answers to datagrams that were not for this life: a bound on what a storm of them costs
LOOK_MS = 10_000.0  # between two looks for members that have been gone for long
MOST_WINDOWS = 4096  # senders' lives that numbers are kept of
CLAIM_PROBES = 3  # of who holds this door's name, before it is taken over
LEAVE_ROUNDS = 5  # of telling, before a door that leaves is done


@dataclass(frozen=True, slots=True)
class Settings:
    """Of one door's membership; times in milliseconds."""

    cluster: str
    seeds: tuple[Address, ...] = ()
    period_ms: float = 500.0  # one probe each
    ack_ms: float = 150.0  # a direct answer takes at most this on a path that is well
    gossip_ms: float = 200.0
    suspect_least_ms: float = 4000.0
    reclaim_ms: float = 3_600_000.0  # a dead or left member is forgotten after this

    @property
    def pause_bound_ms(self) -> float:
        """No member is called dead for a pause that is shorter."""
        return self.suspect_least_ms - LEAST_SPREAD_MS


class Stage(Enum):
    """Of this door in its fleet."""

    ALONE = "alone"  # nobody was reached yet
    CLAIMING = "claiming"  # the name is held by another, who is being asked whether it is there
    REFUSED = "refused"  # the name is another's; tried again later
    JOINED = "joined"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True)
class Datagram:
    """To be sent."""

    to: Address
    data: bytes


@dataclass(slots=True)
class Dial:
    """An exchange is to be opened; its bytes are asked of `exchange_opens`."""

    to: Address
    token: int


@dataclass(slots=True)
class Event:
    """What happened, for logs, metrics and those who use the view."""

    kind: str
    name: str = ""
    fields: dict[str, Any] = field(default_factory=dict)


Action = Datagram | Dial | Event


@dataclass(slots=True)
class _Probe:
    target: Fact
    helpers: int = 0
    denied: int = 0  # helpers who got no answer either
    answered: bool = False
    tried: bool = False  # of one that is held dead, or of who holds this door's name: no accusation follows


@dataclass(slots=True)
class _Errand:
    """A probe for somebody else."""

    asker: Address
    asker_life: int
    nonce: int


@dataclass(slots=True)
class _Suspicion:
    fact: Fact
    began: float
    accusers: set[str]
    until: float


class Gossip:
    """One door's part in the membership."""

    def __init__(self, settings: Settings, me: Fact, keys: Keys, rng: random.Random, now: float) -> None:
        """`me` is this door's own saying, alive, with the life and incarnation of this start."""
        self.settings, self.keys, self._rng = settings, keys, rng
        self.me = me
        self.stage = Stage.ALONE
        self.table = Table()
        self.counts: Counter[str] = Counter()
        self.health = 0  # Lifeguard's multiplier less one
        self.out: list[Action] = []
        self._cluster = cluster_number(settings.cluster)
        self._sender = Sender(me.name, me.host, me.port)
        self._number = 0
        self._windows: OrderedDict[int, Window] = OrderedDict()
        self._lives: dict[Address, int] = {}  # as told by challenges, until a saying tells the same
        self._spread = Spread()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        self._probes: dict[int, _Probe] = {}
        self._errands: dict[int, _Errand] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._round: list[str] = []
        self._talked_to: tuple[int, list[Fact]] = (-1, [])  # of a version of the table
        self._heard_at = now  # anything, from anybody
        self._behind: set[str] = set()  # who was heard to hold an old saying of this door, since it last rose
        self._raised_at = now
        self._failed_row = 0
        self._deaf_beat_at = 0.0
        self._fresh_until = now
        self._last_exchange = -1e12
        self._settle_ms = SETTLE_MS
        self._differs = False
        self._exchanges: dict[int, str] = {}
        self._again_ms = AGAIN_MS
        self._challenged = (0.0, 0)
        self._deaf_since: float | None = None
        self._renewed: dict[str, float] = {}  # when a deaf member's own saying last rose
        self._left_rounds = 0
        self.table.put(now, me)
        self._at(now + rng.uniform(0.0, settings.period_ms), self._period)
        self._at(now + rng.uniform(0.0, settings.gossip_ms), self._gossip)
        self._look_at = now
        self._joins = 0  # the chain of tries that is in force
        self._at(now, self._join, 0)
        self._at(now + rng.uniform(0.5, 1.5) * REACH_PERIODS * settings.period_ms, self._reach)
        self._at(now + 1000.0, self._housekeeping)

    # Time.

    def _at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heapq.heappush(self._heap, (when, self._order, call, args))

    @property
    def next_at(self) -> float:
        """When `wake` is due."""
        return self._heap[0][0]

    def wake(self, now: float) -> None:
        """Let time pass."""
        self._enter(now)
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, call, args = heapq.heappop(heap)
            call(now, *args)

    def _enter(self, now: float) -> None:
        """Before anything else: did this process stand since it last ran?"""
        if not self._heap:
            return
        late = now - self._heap[0][0]
        if late <= LATE_MS:
            return
        # Danger: what ran out meanwhile would accuse others of this door's own pause, and suspicions that were refuted
        # while it stood would become deaths.  All that was being waited for is void or waits as much longer.
        self.counts["stood"] += 1
        self._worse()
        self._probes.clear()
        self._errands.clear()
        fresh = now + LEAST_FRESH_PERIODS * self.settings.period_ms
        self._fresh_until = fresh
        for name, held in self._suspicions.items():
            held.began += late
            held.until = max(held.until + late, fresh)
            self._at(held.until, self._ran_out, name)
        self._heard_at += late
        for name in self._renewed:
            self._renewed[name] += late
        self._heap = [(max(when, now), order, call, args) for when, order, call, args in self._heap]
        heapq.heapify(self._heap)
        self._tell_event("late", self.me.name, ms=round(late, 1))
        if late > self.settings.suspect_least_ms and self.stage is Stage.JOINED:
            # Others may have called this door dead, and it knows nothing of what came after: it asks at once.
            self._last_exchange = -1e12
            self._differs = True

    def _tell_event(self, kind: str, name: str = "", **fields: Any) -> None:
        self.out.append(Event(kind, name, fields))

    # Own state.

    def _worse(self) -> None:
        self.health = min(self.health + 1, MOST_HEALTH)

    def _better(self) -> None:
        self.health = max(self.health - 1, 0)

    def _say(
        self, now: float, incarnation: int | None = None, state: State = State.ALIVE, says: int | None = None
    ) -> None:
        """Raise the own saying."""
        me = self.me
        self.me = msgspec.structs.replace(
            me,
            incarnation=me.incarnation + 1 if incarnation is None else incarnation,
            state=state,
            says=me.says if says is None else says,
        )
        self._raised_at = now
        self._behind.clear()
        self.table.put(now, self.me)
        self._spread.put(self.me)

    def _become(self, now: float, says: Says, on: bool) -> None:
        """Say of itself that it is deaf or unheard, or no more."""
        if bool(self.me.says & says) == on:
            return
        if on:
            # Its own accusations came about while nothing of it, or to it, got through.
            for name in [name for name, held in self._suspicions.items() if held.accusers == {self.me.name}]:
                self._withdraw(now, name)
        self._say(now, says=self.me.says | says if on else self.me.says & ~says)
        self._tell_event(says.name.lower() if says.name else "", self.me.name, on=on)

    @property
    def joined(self) -> bool:
        """It is a member, as far as it knows."""
        return self.stage is Stage.JOINED

    @property
    def deaf(self) -> bool:
        """It gets nothing."""
        return bool(self.me.says & Says.DEAF)

    @property
    def unheard(self) -> bool:
        """Others do not get what it sends."""
        return bool(self.me.says & Says.UNHEARD)

    # Sending.

    def _seen(self, name: str) -> Seen | None:
        fact = self.table.get(name)
        return None if fact is None else Seen(fact.era, fact.identity, fact.incarnation, fact.state)

    def _send(self, to: Address, life: int, message: Message) -> None:
        self._number += 1
        data = datagram(self.keys, self._cluster, self.me.life, self._lives.get(to, life), self._number, message)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self.out.append(Datagram(to, data))

    def _send_with_news(self, to: Address, life: int, name: str, message: Ping | Ack | Tell) -> None:
        """With as many sayings as there is room for."""
        room = ROOM - len(encode(message)) - 8
        facts: list[Any] = []
        seen = message.seen
        if seen is not None and seen.state is not State.ALIVE:
            # The whole saying beside the short word for it: the receiver may never have heard it.
            fact = self.table.get(name)
            if fact is not None:
                told = encode(fact)
                room -= len(told)
                facts.append(msgspec.Raw(told))
        facts += [msgspec.Raw(data) for data in self._spread.take(room, self.table.present)]
        message.facts = facts
        self._send(to, life, message)

    def _others(self) -> list[Fact]:
        """Who can be talked to."""
        version, others = self._talked_to
        if version != self.table.version:
            others = [fact for fact in self.table if fact.present and fact.name != self.me.name]
            self._talked_to = self.table.version, others
        return others

    # Probing.

    def _period(self, now: float) -> None:
        settings = self.settings
        self._at(now + settings.period_ms * (1 + self.health), self._period)
        if self.stage is not Stage.JOINED:
            return
        self._judge_self(now)
        target = self._next_target(now)
        if target is not None:
            self._ask(now, target)

    def _next_target(self, now: float) -> Fact | None:
        """Round robin over a shuffled list, so that every member is met within bounded time (SWIM, section 4.3)."""
        fresh = False
        while True:
            while self._round:
                fact = self.table.get(self._round.pop())
                if fact is not None and fact.present and fact.name != self.me.name and not self._excused(now, fact):
                    return fact
            if fresh:
                return None
            fresh = True
            self._round = [fact.name for fact in self._others()]
            self._rng.shuffle(self._round)

    def _excused(self, now: float, fact: Fact) -> bool:
        """A deaf member cannot answer; it is there as long as it says so."""
        if not fact.says & Says.DEAF:
            return False
        return now - self._renewed.get(fact.name, now) < self.settings.suspect_least_ms

    def _ask(self, now: float, target: Fact, tried: bool = False) -> None:
        nonce = self._rng.getrandbits(62)
        self._probes[nonce] = _Probe(target, tried=tried)
        self._send_with_news(
            target.address,
            target.life,
            target.name,
            Ping(self._sender, nonce, target.name, self._seen(target.name), self.table.digest),
        )
        slower = 1 + self.health
        if tried:
            self._at(now + self.settings.period_ms * slower, self._verdict, nonce)
            return
        self._at(now + self.settings.ack_ms * slower, self._ask_helpers, nonce)
        self._at(now + self.settings.period_ms * slower * 0.95, self._verdict, nonce)

    def _ask_helpers(self, now: float, nonce: int) -> None:
        probe = self._probes.get(nonce)
        if probe is None or probe.answered:
            return
        helpers = self._helpers(now, probe.target)
        probe.helpers = len(helpers)
        target = probe.target
        life = self._lives.get(target.address, target.life)
        for helper in helpers:
            self._send(
                helper.address, helper.life, Relay(self._sender, nonce, target.name, target.host, target.port, life)
            )

    def _helpers(self, now: float, target: Fact) -> list[Fact]:
        """From different zones as far as there are some: a cut between two zones is then seen round."""
        usable = [
            fact
            for fact in self._others()
            if fact.state is State.ALIVE and fact.name != target.name and not fact.says & Says.DEAF
        ]
        self._rng.shuffle(usable)
        chosen: list[Fact] = []
        zones: set[str] = set()
        for fact in usable:
            if fact.zone not in zones:
                zones.add(fact.zone)
                chosen.append(fact)
                if len(chosen) == HELPERS:
                    return chosen
        chosen += [fact for fact in usable if fact not in chosen][: HELPERS - len(chosen)]
        return chosen

    def _verdict(self, now: float, nonce: int) -> None:
        probe = self._probes.pop(nonce, None)
        if probe is None:
            return
        if probe.answered:
            self._better()
            self._failed_row = 0
            return
        if probe.tried:
            if self.stage is Stage.CLAIMING:
                self._claim_unanswered(now)
            return
        self.counts["probes_failed"] += 1
        if probe.denied < probe.helpers:
            self._worse()  # helpers that answer nothing either: the fault may be on this side
        if not probe.denied:
            self._failed_row += 1
            self.counts["without_witness"] += 1
            return
        self._failed_row = 0
        fact = self.table.get(probe.target.name)
        target = probe.target
        if fact is None or (fact.holder, fact.incarnation) != (target.holder, target.incarnation):
            return  # it has said something since
        if now < self._fresh_until or self.deaf or self.unheard:
            return
        if fact.present:  # one that is suspected has one more who cannot reach it
            self._take(now, with_state(fact, State.SUSPECT, self.me.name))

    def _judge_self(self, now: float) -> None:
        """Whether it is this door that does not get or give."""
        if not self._others() or self.stage is not Stage.JOINED:
            return
        silent = now - self._heard_at
        if not self.deaf and silent > DEAF_PERIODS * self.settings.period_ms:
            self._deaf_since = self._heard_at
            self._become(now, Says.DEAF, True)
            self._become(now, Says.UNHEARD, False)  # it cannot tell any more
            self._deaf_beat_at = now
        elif self.deaf and now - self._deaf_beat_at >= DEAF_BEAT * self.settings.suspect_least_ms:
            self._deaf_beat_at = now
            self._say(now)
        if not self.deaf and not self.unheard and self._failed_row >= UNHEARD_PROBES:
            self._become(now, Says.UNHEARD, True)

    # Suspicion.

    def _suspect(self, now: float, fact: Fact) -> None:
        name = fact.name
        held = self._suspicions.get(name)
        if held is not None and held.fact.rank == fact.rank:
            if fact.by and fact.by not in held.accusers and len(held.accusers) < 4:
                held.accusers.add(fact.by)
                held.until = max(held.began + self._suspicion_ms(held), now)
                self._at(held.until, self._ran_out, name)
                self._spread.put(fact)  # each further accuser counts at others as well
            return
        held = _Suspicion(fact, now, {fact.by}, 0.0)
        held.until = now + self._suspicion_ms(held)
        self._suspicions[name] = held
        self._at(held.until, self._ran_out, name)

    def _suspicion_ms(self, held: _Suspicion) -> float:
        return suspicion_ms(
            self.table.present, len(held.accusers) - 1, self.settings.period_ms, self.settings.suspect_least_ms
        )

    def _ran_out(self, now: float, name: str) -> None:
        held = self._suspicions.get(name)
        if held is None or now < held.until:
            return
        if self.deaf or now - self._heard_at > DEAF_PERIODS * self.settings.period_ms or now < self._fresh_until:
            # Danger: the refutation may be among what does not arrive here.
            held.until = now + self.settings.period_ms
            self._at(held.until, self._ran_out, name)
            return
        fact = self.table.get(name)
        if fact is not None and fact.state is State.SUSPECT and fact.rank == held.fact.rank:
            self._take(now, with_state(fact, State.DEAD, self.me.name))

    def _withdraw(self, now: float, name: str) -> None:
        """Take back an accusation that only this door made.  Others hold it still; the member refutes it there."""
        held = self._suspicions.pop(name)
        fact = self.table.get(name)
        if fact is not None and fact.state is State.SUSPECT and fact.rank == held.fact.rank:
            self.table.put(now, with_state(fact, State.ALIVE, ""))
            self._spread.drop(name)
            self._tell_event("withdrawn", name)

    # Sayings.

    def _take(self, now: float, fact: Fact) -> bool:
        """Take in a saying; True where it holds from now on."""
        if fact.name == self.me.name:
            self._take_of_me(now, fact)
            return False
        before = self.table.get(fact.name)
        if before is not None:
            if fact.rank == before.rank:
                if fact.state is State.SUSPECT:
                    self._suspect(now, fact)
                return False
            if fact.rank < before.rank:
                return False
        elif fact.state is State.SUSPECT:
            fact = with_state(fact, State.ALIVE, "")  # of one that was not known: whoever accuses it will say so again
        if not worth_telling(before, fact):
            # Kept, so that the views agree; an older saying that calls it alive changes nothing then.
            self.table.put(now, fact)
            return True
        self.table.put(now, fact)
        self._spread.put(fact)
        if fact.present and (before is None or not before.present):
            # At a random place of the round under way (SWIM, section 4.3).  Danger: left to the next round, one that
            # came and died would be asked by nobody for as many periods as there are doors.
            self._round.insert(self._rng.randrange(len(self._round) + 1), fact.name)
        if (
            fact.life
            and self._lives.get(fact.address, fact.life) != fact.life
            and (before is None or before.life != fact.life)
        ):
            del self._lives[fact.address]
        if fact.says & Says.DEAF and (before is None or fact.incarnation > before.incarnation):
            self._renewed[fact.name] = now
        elif fact.name in self._renewed and not fact.says & Says.DEAF:
            del self._renewed[fact.name]
        if fact.state is State.SUSPECT:
            self._suspect(now, fact)
        else:
            self._suspicions.pop(fact.name, None)
        self._report(before, fact)
        return True

    def _report(self, before: Fact | None, fact: Fact) -> None:
        """Tell what a saying changed."""
        name, fields = fact.name, {"by": fact.by, "incarnation": fact.incarnation}
        if fact.state is not State.ALIVE:
            if before is None or before.state is not fact.state or before.holder != fact.holder:
                self._tell_event(fact.state.name.lower(), name, **fields)
            return
        if before is None:
            self._tell_event("joined", name, zone=fact.zone)
        elif before.holder != fact.holder:
            self._tell_event("replaced", name, zone=fact.zone)
        elif before.life != fact.life:
            self._tell_event("restarted", name, incarnation=fact.incarnation)
        elif before.state is State.SUSPECT:
            self._tell_event("refuted", name, incarnation=fact.incarnation)
        elif not before.present:
            self._tell_event("back", name, incarnation=fact.incarnation)
        if before is not None and before.says != fact.says:
            self._tell_event("says", name, deaf=bool(fact.says & Says.DEAF), unheard=bool(fact.says & Says.UNHEARD))

    def _take_of_me(self, now: float, fact: Fact) -> None:
        me = self.me
        if fact.holder != me.holder:
            if fact.holder < me.holder or self.stage is not Stage.JOINED:
                return
            if fact.identity == me.identity or not fact.present:
                # It joined before it knew of that: somebody else opened the exchange.
                self._stand_above(now, fact)
            else:
                self._tell_event("displaced", me.name, host=fact.host, port=fact.port)
                self._refuse(now)
            return
        if fact.incarnation < me.incarnation or (
            fact.incarnation == me.incarnation and (fact.state <= me.state or me.state is State.LEFT)
        ):
            return
        if fact.life != me.life and fact.present and fact.address != me.address and self.stage is Stage.JOINED:
            # A copy of this door's disk speaks elsewhere.  Refuted all the same: the copy asks first, when it joins.
            self._tell_event("copied", me.name, host=fact.host, port=fact.port)
        if self.stage in (Stage.LEAVING, Stage.GONE):
            self._say(now, incarnation=fact.incarnation + 1, state=State.LEFT)
            return
        if fact.life == me.life or not fact.present:
            self._worse()
            self.counts["refuted"] += 1
            self._tell_event("accused", me.name, by=fact.by, state=fact.state.name.lower())
        self._say(now, incarnation=fact.incarnation + 1)

    def _hear_seen(self, now: float, sender: str, seen: Seen | None) -> None:
        """How a sender sees this door."""
        me = self.me
        if seen is None or (seen.era, seen.identity) != (me.era, me.identity):
            return
        if seen.incarnation == me.incarnation:
            self._behind.clear()
            if self.unheard and not self._failed_row:
                self._become(now, Says.UNHEARD, False)
        elif seen.incarnation < me.incarnation and now - self._raised_at > LEAST_SPREAD_MS:
            self._behind.add(sender)
            if len(self._behind) >= min(BEHIND, self.table.present - 1) and not self.deaf:
                self._become(now, Says.UNHEARD, True)
        if seen.incarnation >= me.incarnation and seen.state > me.state:
            fact = msgspec.structs.replace(me, incarnation=seen.incarnation, state=seen.state, by="")
            self._take_of_me(now, fact)

    # Gossip.

    def _gossip(self, now: float) -> None:
        self._at(now + self.settings.gossip_ms, self._gossip)
        if self.stage is Stage.LEAVING:
            self._left_rounds += 1
            if self._left_rounds > LEAVE_ROUNDS:
                self.stage = Stage.GONE
                self._tell_event("gone", self.me.name)
        if self.stage not in (Stage.JOINED, Stage.LEAVING) or not len(self._spread):
            return
        others = self._others()
        for fact in self._rng.sample(others, min(FANOUT, len(others))):
            self._send_with_news(
                fact.address, fact.life, fact.name, Tell(self._sender, self._seen(fact.name), self.table.digest)
            )

    def leave(self, now: float) -> None:
        """Say that this door goes; `gone` is told once that is spread."""
        self._enter(now)
        if self.stage in (Stage.LEAVING, Stage.GONE):
            return
        joined = self.stage is Stage.JOINED
        self.stage = Stage.LEAVING
        if not joined or not self._others():
            self.stage = Stage.GONE
            self._tell_event("gone", self.me.name)
            return
        self._say(now, state=State.LEFT)

    # Joining, and finding each other again.

    def _join(self, now: float, chain: int) -> None:
        if chain != self._joins or self.stage not in (Stage.ALONE, Stage.REFUSED):
            return
        self.stage = Stage.ALONE
        self._at(now + self._again_ms * self._rng.uniform(0.7, 1.3), self._join, chain)
        self._again_ms = min(self._again_ms * 1.5, MOST_AGAIN_MS)
        seeds = [seed for seed in self.settings.seeds if seed != self.me.address]
        if seeds:
            self._dial(now, self._rng.choice(seeds), "join")

    def _reach(self, now: float) -> None:
        """Try one that is held dead, or a seed that nobody is known at: how a healed cut is found out."""
        self._at(now + REACH_PERIODS * self.settings.period_ms * self._rng.uniform(0.7, 1.3), self._reach)
        if self.stage is not Stage.JOINED:
            return
        lost = [fact for fact in self.table if fact.state is State.DEAD]
        known = {fact.address for fact in self.table if fact.present}
        seeds = [seed for seed in self.settings.seeds if seed not in known and seed != self.me.address]
        if lost and (not seeds or self._rng.random() < 0.8):
            self._ask(now, self._rng.choice(lost), tried=True)
        elif seeds:
            self._dial(now, self._rng.choice(seeds), "reach")

    def _housekeeping(self, now: float) -> None:
        self._at(now + 1000.0, self._housekeeping)
        if (
            self.stage is Stage.JOINED
            and self._differs
            and not self.deaf
            and now - self._last_exchange > self._settle_ms
        ):
            self._differs = False
            others = [fact for fact in self._others() if fact.state is State.ALIVE]
            if others:
                self._dial(now, self._rng.choice(others).address, "settle")
        if now < self._look_at:
            return
        self._look_at = now + LOOK_MS
        gone = [
            fact.name
            for fact in self.table
            if not fact.present
            and fact.name != self.me.name
            and now - self.table.since[fact.name] > self.settings.reclaim_ms
        ]
        for name in gone:
            self.table.drop(name)
            self._spread.drop(name)
            self._tell_event("forgotten", name)
        live = {fact.address for fact in self.table}
        for address in [address for address in self._lives if address not in live]:
            del self._lives[address]

    def _claim(self, now: float, holder: Fact) -> None:
        """The name is another's, as the fleet has it: is that one there?"""
        self.stage = Stage.CLAIMING
        self._holder = holder
        self._claims = 0
        self._ask(now, holder, tried=True)

    def _claim_unanswered(self, now: float) -> None:
        self._claims += 1
        if self._claims < CLAIM_PROBES:
            self._ask(now, self._holder, tried=True)
            return
        self._succeed(now, self._holder)

    def _succeed(self, now: float, holder: Fact) -> None:
        """Take the name over from one that is not there any more, or go on as oneself."""
        self._stand_above(now, holder)
        self._joined(now)

    def _stand_above(self, now: float, holder: Fact) -> None:
        """Say what holds over what is said of this door's name: of an earlier life, or of a holder that is gone."""
        if holder.identity == self.me.identity:
            # Danger: an era is not kept on the disk.  Without it, what this door says of itself counts for nothing.
            self.me = msgspec.structs.replace(self.me, era=max(self.me.era, holder.era))
            self._say(now, incarnation=max(holder.incarnation, self.me.incarnation) + 1)
        else:
            self.me = msgspec.structs.replace(self.me, era=holder.era + 1)
            self._say(now)

    def _claim_answered(self, now: float) -> None:
        self._tell_event("refused", self.me.name, host=self._holder.host, port=self._holder.port)
        self._refuse(now)

    def _refuse(self, now: float) -> None:
        """The name is another's for now."""
        self.stage = Stage.REFUSED
        self._joins += 1
        self._at(now + MOST_AGAIN_MS, self._join, self._joins)

    def _joined(self, now: float) -> None:
        self.stage = Stage.JOINED
        self._heard_at = now
        self._again_ms = AGAIN_MS
        self._spread.put(self.me)
        self._tell_event("in", self.me.name, members=self.table.present)

    # Exchanges.

    def _dial(self, now: float, to: Address, why: str) -> None:
        token = self._rng.getrandbits(62)
        self._exchanges[token] = why
        self._last_exchange = now
        self.counts["exchanges"] += 1
        self.out.append(Dial(to, token))

    def exchange_opens(self, token: int) -> bytes:
        """The first frame of an exchange that this door opens."""
        return encode(Want(self._sender, self.table.digests, self.me))

    def exchange_serves(self, now: float, body: bytes) -> bytes:
        """Answer a frame of an exchange that another opened; raises WireError."""
        self._enter(now)
        message = frame_of(body)
        if self.stage in (Stage.REFUSED, Stage.CLAIMING, Stage.GONE):
            raise WireError("not a member")
        self._heard(now, message)
        if isinstance(message, Want):
            parts = {number for number in range(BUCKETS) if message.digests[number] != self.table.digests[number]}
            facts = self.table.of_buckets(parts)
            held = self.table.get(message.own.name)
            if held is not None and bucket_of(held.name) not in parts:
                facts.append(held)
            answer = encode(Have(self._sender, self.me, sorted(parts), facts))
            if self.stage is Stage.ALONE and message.own.name != self.me.name:
                self._joined(now)
            if (
                held is None
                or held.identity == message.own.identity
                or not held.present
                or held.address == message.own.address
            ):
                self._take_joining(now, message.own)
            return answer
        if isinstance(message, Push):
            self._take_all(now, message.facts)
            return encode(Done())
        raise WireError("frame")

    def _take_joining(self, now: float, own: Fact) -> None:
        """Who opens an exchange says of itself that it is there."""
        if own.name != self.me.name and own.state is State.ALIVE and self.table.get(own.name) is not None:
            self._take(now, own)

    def exchange_answered(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """An answer, or that none came; gives the next frame, None where the exchange is over."""
        self._enter(now)
        why = self._exchanges.get(token)
        if why is None:
            return None
        if body is None:
            del self._exchanges[token]
            self.counts["exchanges_failed"] += 1
            return None
        try:
            message = frame_of(body)
        except WireError:
            del self._exchanges[token]
            self.counts["dropped_body"] += 1
            return None
        if not isinstance(message, Have):
            del self._exchanges[token]
            return None
        self._heard(now, message)
        parts = {number for number in message.parts if 0 <= number < BUCKETS}
        if self.stage is Stage.ALONE:
            if message.own.name == self.me.name and message.own.address != self.me.address:
                self._name_held(now, message.own)
            else:
                self._meet(now, message.facts)
            if not self.joined:
                del self._exchanges[token]
                return None
        told = {fact.name: fact.rank for fact in message.facts}
        stale = self._deaf_since is not None and now - self._deaf_since > self.settings.reclaim_ms / 2
        if stale:
            self._forget_all(now, message.facts)
        if why == "join":
            # The whole fleet as it is: news to nobody but this door.
            for fact in message.facts:
                if self._take(now, fact):
                    self._spread.drop(fact.name)
        else:
            self._take_all(now, message.facts)
        self._deaf_since = None if not self.deaf else self._deaf_since
        mine = [fact for fact in self.table.of_buckets(parts) if fact.rank > told.get(fact.name, (-1, 0, 0, 0))]
        del self._exchanges[token]
        self._settle_ms = SETTLE_MS if parts else min(self._settle_ms * 2, MOST_SETTLE_MS)
        if not mine:
            return None
        self._exchanges[token] = "push"
        return encode(Push(self._sender, mine))

    def _forget_all(self, now: float, told: list[Fact]) -> None:
        """After a silence so long that others may have forgotten what this door still holds: what they do not tell of
        is not there any more.  Danger: it would be told on as alive."""
        known = {fact.name for fact in told} | {self.me.name}
        for fact in list(self.table):
            if fact.name not in known:
                self.table.drop(fact.name)
                self._suspicions.pop(fact.name, None)
                self._spread.drop(fact.name)
                self._tell_event("forgotten", fact.name)

    def _meet(self, now: float, facts: list[Fact]) -> None:
        """The first view: may this door's name be used?"""
        held = next((fact for fact in facts if fact.name == self.me.name), None)
        if held is None or (held.holder == self.me.holder and held.life == self.me.life):
            self._joined(now)
        else:
            self._name_held(now, held)

    def _name_held(self, now: float, held: Fact) -> None:
        if not held.present or held.address == self.me.address:
            self._succeed(now, held)  # it went, or it cannot be where this door is
        else:
            self._claim(now, held)

    def _take_all(self, now: float, facts: list[Fact]) -> None:
        for fact in facts:
            self._take(now, fact)

    # Receiving.

    def _heard(self, now: float, message: Message | Frame) -> None:
        if isinstance(message, Done):
            return
        self._heard_at = now
        if self.deaf:
            self._become(now, Says.DEAF, False)
            self._differs = True
            self._last_exchange = -1e12

    def datagram(self, now: float, data: bytes) -> None:
        """Take in what came; whatever is wrong with it is counted and changes nothing."""
        self._enter(now)
        if self.stage is Stage.GONE:
            return
        try:
            opened = open_datagram(self.keys, self._cluster, data)
            if opened.source == self.me.life:
                raise WireError("own")
            message = message_of(opened.body)
            if opened.target != self.me.life:
                self._not_mine(now, opened.source, message)
                raise WireError("life")
            window = self._windows.get(opened.source)
            if window is None:
                window = self._windows[opened.source] = Window()
                if len(self._windows) > MOST_WINDOWS:
                    self._windows.popitem(last=False)
            else:
                self._windows.move_to_end(opened.source)
            if not window.new(opened.number):
                raise WireError("replay")
        except WireError as error:
            self.counts[f"dropped_{error.reason}"] += 1
            return
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        source = message.sender.host, message.sender.port
        if isinstance(message, Challenge):
            self._challenge(now, source, message)
            return
        if self.stage in (Stage.ALONE, Stage.REFUSED, Stage.CLAIMING) and not isinstance(message, Ack):
            return  # not a member yet: what it would answer could be taken for the one whose name it wants
        self._heard(now, message)
        if isinstance(message, Ping):
            self._pinged(now, opened.source, source, message)
        elif isinstance(message, Ack):
            self._hear_seen(now, message.sender.name, message.seen)
            self._take_all(now, message.facts)
            self._acked(now, message)
        elif isinstance(message, Relay):
            self._relay(now, opened.source, source, message)
        elif isinstance(message, Relayed):
            self._relayed(now, message)
        else:
            self._hear_seen(now, message.sender.name, message.seen)
            self._take_all(now, message.facts)
            self._compare(message.digest)

    def _not_mine(self, now: float, source: int, message: Message) -> None:
        """Tell who is here, at a bounded rate, to one that takes this process for another."""
        if isinstance(message, Challenge):
            return
        since, number = self._challenged
        if now - since >= 1000.0:
            since, number = now, 0
        self._challenged = since, number + 1
        if number < CHALLENGES_A_S:
            self._send_plain(
                (message.sender.host, message.sender.port),
                source,
                Challenge(self._sender, self.me.life, self.me.identity),
            )

    def _send_plain(self, to: Address, life: int, message: Message) -> None:
        """To the very life that wrote, whatever is known of the address."""
        self._lives.pop(to, None)
        self._send(to, life, message)

    def _challenge(self, now: float, source: Address, message: Challenge) -> None:
        fact = next((fact for fact in self.table if fact.address == source), None)
        if fact is None or fact.name != message.sender.name or fact.identity != message.identity:
            return  # another has this address: who was there does not answer
        if self._lives.get(source, fact.life) == message.life:
            return
        self._lives[source] = message.life
        for nonce, probe in self._probes.items():
            if probe.target.address == source and not probe.answered:
                self._send_with_news(
                    source,
                    message.life,
                    fact.name,
                    Ping(self._sender, nonce, fact.name, self._seen(fact.name), self.table.digest),
                )

    def _pinged(self, now: float, life: int, source: Address, message: Ping) -> None:
        if message.to != self.me.name:
            return
        self._hear_seen(now, message.sender.name, message.seen)
        self._take_all(now, message.facts)
        self._compare(message.digest)
        self._send_with_news(
            source,
            life,
            message.sender.name,
            Ack(self._sender, message.nonce, self._seen(message.sender.name), self.table.digest),
        )

    def _acked(self, now: float, message: Ack) -> None:
        errand = self._errands.pop(message.nonce, None)
        if errand is not None:
            self._send(errand.asker, errand.asker_life, Relayed(self._sender, errand.nonce, True))
            return
        probe = self._probes.get(message.nonce)
        if probe is None or message.sender.name != probe.target.name:
            return
        self._answered(now, probe)
        if probe.tried:
            del self._probes[message.nonce]
            if self.stage is Stage.CLAIMING:
                self._claim_answered(now)
            else:
                # One that was held dead.  It has heard so and refutes it; both sides of a cut meet in an exchange.
                self._last_exchange = -1e12
                self._dial(now, probe.target.address, "met")
            return
        self._compare(message.digest)

    def _answered(self, now: float, probe: _Probe) -> None:
        probe.answered = True
        self._failed_row = 0
        if self.unheard:
            self._become(now, Says.UNHEARD, False)
        held = self._suspicions.get(probe.target.name)
        if held is not None and held.accusers == {self.me.name}:
            self._withdraw(now, probe.target.name)

    def _compare(self, digest: int) -> None:
        if digest != self.table.digest and not len(self._spread):
            self._differs = True

    def _relay(self, now: float, life: int, source: Address, message: Relay) -> None:
        nonce = self._rng.getrandbits(62)
        self._errands[nonce] = _Errand(source, life, message.nonce)
        target = message.host, message.port
        self._send_with_news(
            target,
            message.life,
            message.to,
            Ping(self._sender, nonce, message.to, self._seen(message.to), self.table.digest),
        )
        self._at(now + self.settings.ack_ms, self._errand_over, nonce)

    def _errand_over(self, now: float, nonce: int) -> None:
        errand = self._errands.pop(nonce, None)
        if errand is not None:
            self._send(errand.asker, errand.asker_life, Relayed(self._sender, errand.nonce, False))

    def _relayed(self, now: float, message: Relayed) -> None:
        probe = self._probes.get(message.nonce)
        if probe is None or probe.answered:
            return
        if message.answered:
            self._answered(now, probe)
        else:
            probe.denied += 1
