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
    MAX_BODY_BYTES,
    Ack,
    ExchangeDone,
    Frame,
    Gossip,
    IndirectPing,
    IndirectPingResponse,
    Keyring,
    Message,
    Ping,
    ProtocolError,
    PullRequest,
    PullResponse,
    PushState,
    ReceiverView,
    ReplayWindow,
    Sender,
    WrongBootId,
    cluster_hash,
    decode_frame,
    decode_message,
    encode,
    open_datagram,
    seal_datagram,
)
from martenstep.membership.dissemination import GossipQueue, is_news, suspicion_timeout_ms
from martenstep.membership.member_table import (
    BUCKET_COUNT,
    MemberRecord,
    MemberState,
    MemberTable,
    SelfReport,
    bucket_index,
    with_state,
)

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
class MembershipSettings:
    """Of one door's membership; times in milliseconds."""

    cluster: str
    seeds: tuple[Address, ...] = ()
    probe_interval_ms: float = 500.0  # one probe each
    ack_timeout_ms: float = 150.0  # a direct answer takes at most this on a path that is well
    gossip_interval_ms: float = 200.0
    min_suspicion_ms: float = 4000.0
    forget_after_ms: float = 3_600_000.0  # a dead or left member is forgotten after this

    @property
    def tolerated_pause_ms(self) -> float:
        """No member is called dead for a pause that is shorter."""
        return self.min_suspicion_ms - LEAST_SPREAD_MS


class Stage(Enum):
    """Of this door in its fleet."""

    JOINING = "alone"  # nobody was reached yet
    CLAIMING_NAME = "claiming"  # the name is held by another, who is being asked whether it is there
    NAME_CONFLICT = "refused"  # the name is another's; tried again later
    JOINED = "joined"
    LEAVING = "leaving"
    LEFT = "gone"


@dataclass(slots=True)
class SendDatagram:
    """To be sent."""

    to: Address
    data: bytes


@dataclass(slots=True)
class OpenExchange:
    """An exchange is to be opened; its bytes are asked of `exchange_opens`."""

    to: Address
    token: int


@dataclass(slots=True)
class MemberEvent:
    """What happened, for logs, metrics and those who use the view."""

    kind: str
    member: str = ""
    fields: dict[str, Any] = field(default_factory=dict)


Action = SendDatagram | OpenExchange | MemberEvent


@dataclass(slots=True)
class _Probe:
    target: MemberRecord
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
    fact: MemberRecord
    began: float
    accusers: set[str]
    until: float


class MembershipCore:
    """One door's part in the membership."""

    def __init__(
        self, settings: MembershipSettings, me: MemberRecord, keys: Keyring, rng: random.Random, now: float
    ) -> None:
        """`me` is this door's own saying, alive, with the life and incarnation of this start."""
        self.settings, self.keys, self._rng = settings, keys, rng
        self.record = me
        self.stage = Stage.JOINING
        self.table = MemberTable()
        self.counters: Counter[str] = Counter()
        self.health_score = 0  # Lifeguard's multiplier less one
        self.out: list[Action] = []
        self._cluster = cluster_hash(settings.cluster)
        self._sender = Sender(me.name, me.host, me.port)
        self._number = 0
        self._windows: OrderedDict[int, ReplayWindow] = OrderedDict()
        self._lives: dict[Address, int] = {}  # as told by challenges, until a saying tells the same
        self._spread = GossipQueue()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        self._probes: dict[int, _Probe] = {}
        self._errands: dict[int, _Errand] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._round: list[str] = []
        self._talked_to: tuple[int, list[MemberRecord]] = (-1, [])  # of a version of the table
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
        self._at(now + rng.uniform(0.0, settings.probe_interval_ms), self._period)
        self._at(now + rng.uniform(0.0, settings.gossip_interval_ms), self._gossip)
        self._look_at = now
        self._joins = 0  # the chain of tries that is in force
        self._at(now, self._join, 0)
        self._at(now + rng.uniform(0.5, 1.5) * REACH_PERIODS * settings.probe_interval_ms, self._reach)
        self._at(now + 1000.0, self._housekeeping)

    # Time.

    def _at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heapq.heappush(self._heap, (when, self._order, call, args))

    @property
    def next_due_ms(self) -> float:
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
        self.counters["stood"] += 1
        self._worse()
        self._probes.clear()
        self._errands.clear()
        fresh = now + LEAST_FRESH_PERIODS * self.settings.probe_interval_ms
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
        self._tell_event("late", self.record.name, ms=round(late, 1))
        if late > self.settings.min_suspicion_ms and self.stage is Stage.JOINED:
            # Others may have called this door dead, and it knows nothing of what came after: it asks at once.
            self._last_exchange = -1e12
            self._differs = True

    def _tell_event(self, kind: str, name: str = "", **fields: Any) -> None:
        self.out.append(MemberEvent(kind, name, fields))

    # Own state.

    def _worse(self) -> None:
        self.health_score = min(self.health_score + 1, MOST_HEALTH)

    def _better(self) -> None:
        self.health_score = max(self.health_score - 1, 0)

    def _say(
        self,
        now: float,
        incarnation: int | None = None,
        state: MemberState = MemberState.ALIVE,
        says: int | None = None,
    ) -> None:
        """Raise the own saying."""
        me = self.record
        self.record = msgspec.structs.replace(
            me,
            incarnation=me.incarnation + 1 if incarnation is None else incarnation,
            state=state,
            self_report=me.self_report if says is None else says,
        )
        self._raised_at = now
        self._behind.clear()
        self.table.put(now, self.record)
        self._spread.enqueue(self.record)

    def _become(self, now: float, says: SelfReport, on: bool) -> None:
        """Say of itself that it is deaf or unheard, or no more."""
        if bool(self.record.self_report & says) == on:
            return
        if on:
            # Its own accusations came about while nothing of it, or to it, got through.
            for name in [name for name, held in self._suspicions.items() if held.accusers == {self.record.name}]:
                self._withdraw(now, name)
        self._say(now, says=self.record.self_report | says if on else self.record.self_report & ~says)
        self._tell_event("deaf" if says is SelfReport.RECEIVE_PARTITIONED else "unheard", self.record.name, on=on)

    @property
    def joined(self) -> bool:
        """It is a member, as far as it knows."""
        return self.stage is Stage.JOINED

    @property
    def receive_partitioned(self) -> bool:
        """It gets nothing."""
        return bool(self.record.self_report & SelfReport.RECEIVE_PARTITIONED)

    @property
    def send_partitioned(self) -> bool:
        """Others do not get what it sends."""
        return bool(self.record.self_report & SelfReport.SEND_PARTITIONED)

    # Sending.

    def _seen(self, name: str) -> ReceiverView | None:
        fact = self.table.get(name)
        return None if fact is None else ReceiverView(fact.epoch, fact.node_id, fact.incarnation, fact.state)

    def _send(self, to: Address, life: int, message: Message) -> None:
        self._number += 1
        data = seal_datagram(
            self.keys, self._cluster, self.record.boot_id, self._lives.get(to, life), self._number, message
        )
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)
        self.out.append(SendDatagram(to, data))

    def _send_with_news(self, to: Address, life: int, name: str, message: Ping | Ack | Gossip) -> None:
        """With as many sayings as there is room for."""
        room = MAX_BODY_BYTES - len(encode(message)) - 8
        facts: list[Any] = []
        seen = message.receiver_view
        if seen is not None and seen.state is not MemberState.ALIVE:
            # The whole saying beside the short word for it: the receiver may never have heard it.
            fact = self.table.get(name)
            if fact is not None:
                told = encode(fact)
                room -= len(told)
                facts.append(msgspec.Raw(told))
        facts += [msgspec.Raw(data) for data in self._spread.take(room, self.table.present_count)]
        message.records = facts
        self._send(to, life, message)

    def _others(self) -> list[MemberRecord]:
        """Who can be talked to."""
        version, others = self._talked_to
        if version != self.table.version:
            others = [fact for fact in self.table if fact.present and fact.name != self.record.name]
            self._talked_to = self.table.version, others
        return others

    # Probing.

    def _period(self, now: float) -> None:
        settings = self.settings
        self._at(now + settings.probe_interval_ms * (1 + self.health_score), self._period)
        if self.stage is not Stage.JOINED:
            return
        self._judge_self(now)
        target = self._next_target(now)
        if target is not None:
            self._ask(now, target)

    def _next_target(self, now: float) -> MemberRecord | None:
        """Round robin over a shuffled list, so that every member is met within bounded time (SWIM, section 4.3)."""
        fresh = False
        while True:
            while self._round:
                fact = self.table.get(self._round.pop())
                if fact is not None and fact.present and fact.name != self.record.name and not self._excused(now, fact):
                    return fact
            if fresh:
                return None
            fresh = True
            self._round = [fact.name for fact in self._others()]
            self._rng.shuffle(self._round)

    def _excused(self, now: float, fact: MemberRecord) -> bool:
        """A deaf member cannot answer; it is there as long as it says so."""
        if not fact.self_report & SelfReport.RECEIVE_PARTITIONED:
            return False
        return now - self._renewed.get(fact.name, now) < self.settings.min_suspicion_ms

    def _ask(self, now: float, target: MemberRecord, tried: bool = False) -> None:
        nonce = self._rng.getrandbits(62)
        self._probes[nonce] = _Probe(target, tried=tried)
        self._send_with_news(
            target.address,
            target.boot_id,
            target.name,
            Ping(self._sender, nonce, target.name, self._seen(target.name), self.table.digest),
        )
        slower = 1 + self.health_score
        if tried:
            self._at(now + self.settings.probe_interval_ms * slower, self._verdict, nonce)
            return
        self._at(now + self.settings.ack_timeout_ms * slower, self._ask_helpers, nonce)
        self._at(now + self.settings.probe_interval_ms * slower * 0.95, self._verdict, nonce)

    def _ask_helpers(self, now: float, nonce: int) -> None:
        probe = self._probes.get(nonce)
        if probe is None or probe.answered:
            return
        helpers = self._helpers(now, probe.target)
        probe.helpers = len(helpers)
        target = probe.target
        life = self._lives.get(target.address, target.boot_id)
        for helper in helpers:
            self._send(
                helper.address,
                helper.boot_id,
                IndirectPing(self._sender, nonce, target.name, target.host, target.port, life),
            )

    def _helpers(self, now: float, target: MemberRecord) -> list[MemberRecord]:
        """From different zones as far as there are some: a cut between two zones is then seen round."""
        usable = [
            fact
            for fact in self._others()
            if fact.state is MemberState.ALIVE
            and fact.name != target.name
            and not fact.self_report & SelfReport.RECEIVE_PARTITIONED
        ]
        self._rng.shuffle(usable)
        chosen: list[MemberRecord] = []
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
            if self.stage is Stage.CLAIMING_NAME:
                self._claim_unanswered(now)
            return
        self.counters["probes_failed"] += 1
        if probe.denied < probe.helpers:
            self._worse()  # helpers that answer nothing either: the fault may be on this side
        if not probe.denied:
            self._failed_row += 1
            self.counters["without_witness"] += 1
            return
        self._failed_row = 0
        fact = self.table.get(probe.target.name)
        target = probe.target
        if fact is None or (fact.owner, fact.incarnation) != (target.owner, target.incarnation):
            return  # it has said something since
        if now < self._fresh_until or self.receive_partitioned or self.send_partitioned:
            return
        if fact.present:  # one that is suspected has one more who cannot reach it
            self._take(now, with_state(fact, MemberState.SUSPECT, self.record.name))

    def _judge_self(self, now: float) -> None:
        """Whether it is this door that does not get or give."""
        if not self._others() or self.stage is not Stage.JOINED:
            return
        silent = now - self._heard_at
        if not self.receive_partitioned and silent > DEAF_PERIODS * self.settings.probe_interval_ms:
            self._deaf_since = self._heard_at
            self._become(now, SelfReport.RECEIVE_PARTITIONED, True)
            self._become(now, SelfReport.SEND_PARTITIONED, False)  # it cannot tell any more
            self._deaf_beat_at = now
        elif self.receive_partitioned and now - self._deaf_beat_at >= DEAF_BEAT * self.settings.min_suspicion_ms:
            self._deaf_beat_at = now
            self._say(now)
        if not self.receive_partitioned and not self.send_partitioned and self._failed_row >= UNHEARD_PROBES:
            self._become(now, SelfReport.SEND_PARTITIONED, True)

    # Suspicion.

    def _suspect(self, now: float, fact: MemberRecord) -> None:
        name = fact.name
        held = self._suspicions.get(name)
        if held is not None and held.fact.precedence == fact.precedence:
            if fact.reported_by and fact.reported_by not in held.accusers and len(held.accusers) < 4:
                held.accusers.add(fact.reported_by)
                held.until = max(held.began + self._suspicion_ms(held), now)
                self._at(held.until, self._ran_out, name)
                self._spread.enqueue(fact)  # each further accuser counts at others as well
            return
        held = _Suspicion(fact, now, {fact.reported_by}, 0.0)
        held.until = now + self._suspicion_ms(held)
        self._suspicions[name] = held
        self._at(held.until, self._ran_out, name)

    def _suspicion_ms(self, held: _Suspicion) -> float:
        return suspicion_timeout_ms(
            self.table.present_count,
            len(held.accusers) - 1,
            self.settings.probe_interval_ms,
            self.settings.min_suspicion_ms,
        )

    def _ran_out(self, now: float, name: str) -> None:
        held = self._suspicions.get(name)
        if held is None or now < held.until:
            return
        if (
            self.receive_partitioned
            or now - self._heard_at > DEAF_PERIODS * self.settings.probe_interval_ms
            or now < self._fresh_until
        ):
            # Danger: the refutation may be among what does not arrive here.
            held.until = now + self.settings.probe_interval_ms
            self._at(held.until, self._ran_out, name)
            return
        fact = self.table.get(name)
        if fact is not None and fact.state is MemberState.SUSPECT and fact.precedence == held.fact.precedence:
            self._take(now, with_state(fact, MemberState.DEAD, self.record.name))

    def _withdraw(self, now: float, name: str) -> None:
        """Take back an accusation that only this door made.  Others hold it still; the member refutes it there."""
        held = self._suspicions.pop(name)
        fact = self.table.get(name)
        if fact is not None and fact.state is MemberState.SUSPECT and fact.precedence == held.fact.precedence:
            self.table.put(now, with_state(fact, MemberState.ALIVE, ""))
            self._spread.discard(name)
            self._tell_event("withdrawn", name)

    # Sayings.

    def _take(self, now: float, fact: MemberRecord) -> bool:
        """Take in a saying; True where it holds from now on."""
        if fact.name == self.record.name:
            self._take_of_me(now, fact)
            return False
        before = self.table.get(fact.name)
        if before is not None:
            if fact.precedence == before.precedence:
                if fact.state is MemberState.SUSPECT:
                    self._suspect(now, fact)
                return False
            if fact.precedence < before.precedence:
                return False
        elif fact.state is MemberState.SUSPECT:
            fact = with_state(
                fact, MemberState.ALIVE, ""
            )  # of one that was not known: whoever accuses it will say so again
        if not is_news(before, fact):
            # Kept, so that the views agree; an older saying that calls it alive changes nothing then.
            self.table.put(now, fact)
            return True
        self.table.put(now, fact)
        self._spread.enqueue(fact)
        if fact.present and (before is None or not before.present):
            # At a random place of the round under way (SWIM, section 4.3).  Danger: left to the next round, one that
            # came and died would be asked by nobody for as many periods as there are doors.
            self._round.insert(self._rng.randrange(len(self._round) + 1), fact.name)
        if (
            fact.boot_id
            and self._lives.get(fact.address, fact.boot_id) != fact.boot_id
            and (before is None or before.boot_id != fact.boot_id)
        ):
            del self._lives[fact.address]
        if fact.self_report & SelfReport.RECEIVE_PARTITIONED and (
            before is None or fact.incarnation > before.incarnation
        ):
            self._renewed[fact.name] = now
        elif fact.name in self._renewed and not fact.self_report & SelfReport.RECEIVE_PARTITIONED:
            del self._renewed[fact.name]
        if fact.state is MemberState.SUSPECT:
            self._suspect(now, fact)
        else:
            self._suspicions.pop(fact.name, None)
        self._report(before, fact)
        return True

    def _report(self, before: MemberRecord | None, fact: MemberRecord) -> None:
        """Tell what a saying changed."""
        name, fields = fact.name, {"by": fact.reported_by, "incarnation": fact.incarnation}
        if fact.state is not MemberState.ALIVE:
            if before is None or before.state is not fact.state or before.owner != fact.owner:
                self._tell_event(fact.state.name.lower(), name, **fields)
            return
        if before is None:
            self._tell_event("joined", name, zone=fact.zone)
        elif before.owner != fact.owner:
            self._tell_event("replaced", name, zone=fact.zone)
        elif before.boot_id != fact.boot_id:
            self._tell_event("restarted", name, incarnation=fact.incarnation)
        elif before.state is MemberState.SUSPECT:
            self._tell_event("refuted", name, incarnation=fact.incarnation)
        elif not before.present:
            self._tell_event("back", name, incarnation=fact.incarnation)
        if before is not None and before.self_report != fact.self_report:
            self._tell_event(
                "says",
                name,
                deaf=bool(fact.self_report & SelfReport.RECEIVE_PARTITIONED),
                unheard=bool(fact.self_report & SelfReport.SEND_PARTITIONED),
            )

    def _take_of_me(self, now: float, fact: MemberRecord) -> None:
        me = self.record
        if fact.owner != me.owner:
            if fact.owner < me.owner or self.stage is not Stage.JOINED:
                return
            if fact.node_id == me.node_id or not fact.present:
                # It joined before it knew of that: somebody else opened the exchange.
                self._stand_above(now, fact)
            else:
                self._tell_event("displaced", me.name, host=fact.host, port=fact.port)
                self._refuse(now)
            return
        if fact.incarnation < me.incarnation or (
            fact.incarnation == me.incarnation and (fact.state <= me.state or me.state is MemberState.LEFT)
        ):
            return
        if fact.boot_id != me.boot_id and fact.present and fact.address != me.address and self.stage is Stage.JOINED:
            # A copy of this door's disk speaks elsewhere.  Refuted all the same: the copy asks first, when it joins.
            self._tell_event("copied", me.name, host=fact.host, port=fact.port)
        if self.stage in (Stage.LEAVING, Stage.LEFT):
            self._say(now, incarnation=fact.incarnation + 1, state=MemberState.LEFT)
            return
        if fact.boot_id == me.boot_id or not fact.present:
            self._worse()
            self.counters["refuted"] += 1
            self._tell_event("accused", me.name, by=fact.reported_by, state=fact.state.name.lower())
        self._say(now, incarnation=fact.incarnation + 1)

    def _hear_seen(self, now: float, sender: str, seen: ReceiverView | None) -> None:
        """How a sender sees this door."""
        me = self.record
        if seen is None or (seen.epoch, seen.node_id) != (me.epoch, me.node_id):
            return
        if seen.incarnation == me.incarnation:
            self._behind.clear()
            if self.send_partitioned and not self._failed_row:
                self._become(now, SelfReport.SEND_PARTITIONED, False)
        elif seen.incarnation < me.incarnation and now - self._raised_at > LEAST_SPREAD_MS:
            self._behind.add(sender)
            if len(self._behind) >= min(BEHIND, self.table.present_count - 1) and not self.receive_partitioned:
                self._become(now, SelfReport.SEND_PARTITIONED, True)
        if seen.incarnation >= me.incarnation and seen.state > me.state:
            fact = msgspec.structs.replace(me, incarnation=seen.incarnation, state=seen.state, reported_by="")
            self._take_of_me(now, fact)

    # Gossip.

    def _gossip(self, now: float) -> None:
        self._at(now + self.settings.gossip_interval_ms, self._gossip)
        if self.stage is Stage.LEAVING:
            self._left_rounds += 1
            if self._left_rounds > LEAVE_ROUNDS:
                self.stage = Stage.LEFT
                self._tell_event("gone", self.record.name)
        if self.stage not in (Stage.JOINED, Stage.LEAVING) or not len(self._spread):
            return
        others = self._others()
        for fact in self._rng.sample(others, min(FANOUT, len(others))):
            self._send_with_news(
                fact.address, fact.boot_id, fact.name, Gossip(self._sender, self._seen(fact.name), self.table.digest)
            )

    def leave(self, now: float) -> None:
        """Say that this door goes; `gone` is told once that is spread."""
        self._enter(now)
        if self.stage in (Stage.LEAVING, Stage.LEFT):
            return
        joined = self.stage is Stage.JOINED
        self.stage = Stage.LEAVING
        if not joined or not self._others():
            self.stage = Stage.LEFT
            self._tell_event("gone", self.record.name)
            return
        self._say(now, state=MemberState.LEFT)

    # Joining, and finding each other again.

    def _join(self, now: float, chain: int) -> None:
        if chain != self._joins or self.stage not in (Stage.JOINING, Stage.NAME_CONFLICT):
            return
        self.stage = Stage.JOINING
        self._at(now + self._again_ms * self._rng.uniform(0.7, 1.3), self._join, chain)
        self._again_ms = min(self._again_ms * 1.5, MOST_AGAIN_MS)
        seeds = [seed for seed in self.settings.seeds if seed != self.record.address]
        if seeds:
            self._dial(now, self._rng.choice(seeds), "join")

    def _reach(self, now: float) -> None:
        """Try one that is held dead, or a seed that nobody is known at: how a healed cut is found out."""
        self._at(now + REACH_PERIODS * self.settings.probe_interval_ms * self._rng.uniform(0.7, 1.3), self._reach)
        if self.stage is not Stage.JOINED:
            return
        lost = [fact for fact in self.table if fact.state is MemberState.DEAD]
        known = {fact.address for fact in self.table if fact.present}
        seeds = [seed for seed in self.settings.seeds if seed not in known and seed != self.record.address]
        if lost and (not seeds or self._rng.random() < 0.8):
            self._ask(now, self._rng.choice(lost), tried=True)
        elif seeds:
            self._dial(now, self._rng.choice(seeds), "reach")

    def _housekeeping(self, now: float) -> None:
        self._at(now + 1000.0, self._housekeeping)
        if (
            self.stage is Stage.JOINED
            and self._differs
            and not self.receive_partitioned
            and now - self._last_exchange > self._settle_ms
        ):
            self._differs = False
            others = [fact for fact in self._others() if fact.state is MemberState.ALIVE]
            if others:
                self._dial(now, self._rng.choice(others).address, "settle")
        if now < self._look_at:
            return
        self._look_at = now + LOOK_MS
        gone = [
            fact.name
            for fact in self.table
            if not fact.present
            and fact.name != self.record.name
            and now - self.table.state_since_ms[fact.name] > self.settings.forget_after_ms
        ]
        for name in gone:
            self.table.remove(name)
            self._spread.discard(name)
            self._tell_event("forgotten", name)
        live = {fact.address for fact in self.table}
        for address in [address for address in self._lives if address not in live]:
            del self._lives[address]

    def _claim(self, now: float, holder: MemberRecord) -> None:
        """The name is another's, as the fleet has it: is that one there?"""
        self.stage = Stage.CLAIMING_NAME
        self._holder = holder
        self._claims = 0
        self._ask(now, holder, tried=True)

    def _claim_unanswered(self, now: float) -> None:
        self._claims += 1
        if self._claims < CLAIM_PROBES:
            self._ask(now, self._holder, tried=True)
            return
        self._succeed(now, self._holder)

    def _succeed(self, now: float, holder: MemberRecord) -> None:
        """Take the name over from one that is not there any more, or go on as oneself."""
        self._stand_above(now, holder)
        self._joined(now)

    def _stand_above(self, now: float, holder: MemberRecord) -> None:
        """Say what holds over what is said of this door's name: of an earlier life, or of a holder that is gone."""
        if holder.node_id == self.record.node_id:
            # Danger: an era is not kept on the disk.  Without it, what this door says of itself counts for nothing.
            self.record = msgspec.structs.replace(self.record, epoch=max(self.record.epoch, holder.epoch))
            self._say(now, incarnation=max(holder.incarnation, self.record.incarnation) + 1)
        else:
            self.record = msgspec.structs.replace(self.record, epoch=holder.epoch + 1)
            self._say(now)

    def _claim_answered(self, now: float) -> None:
        self._tell_event("refused", self.record.name, host=self._holder.host, port=self._holder.port)
        self._refuse(now)

    def _refuse(self, now: float) -> None:
        """The name is another's for now."""
        self.stage = Stage.NAME_CONFLICT
        self._joins += 1
        self._at(now + MOST_AGAIN_MS, self._join, self._joins)

    def _joined(self, now: float) -> None:
        self.stage = Stage.JOINED
        self._heard_at = now
        self._again_ms = AGAIN_MS
        self._spread.enqueue(self.record)
        self._tell_event("in", self.record.name, members=self.table.present_count)

    # Exchanges.

    def _dial(self, now: float, to: Address, why: str) -> None:
        token = self._rng.getrandbits(62)
        self._exchanges[token] = why
        self._last_exchange = now
        self.counters["exchanges"] += 1
        self.out.append(OpenExchange(to, token))

    def open_exchange(self, token: int) -> bytes:
        """The first frame of an exchange that this door opens."""
        return encode(PullRequest(self._sender, self.table.bucket_digests, self.record))

    def serve_exchange(self, now: float, body: bytes) -> bytes:
        """Answer a frame of an exchange that another opened; raises WireError."""
        self._enter(now)
        message = decode_frame(body)
        if self.stage in (Stage.NAME_CONFLICT, Stage.CLAIMING_NAME, Stage.LEFT):
            raise ProtocolError("not a member")
        self._heard(now, message)
        if isinstance(message, PullRequest):
            parts = {
                number for number in range(BUCKET_COUNT) if message.digests[number] != self.table.bucket_digests[number]
            }
            facts = self.table.in_buckets(parts)
            held = self.table.get(message.own_record.name)
            if held is not None and bucket_index(held.name) not in parts:
                facts.append(held)
            answer = encode(PullResponse(self._sender, self.record, sorted(parts), facts))
            if self.stage is Stage.JOINING and message.own_record.name != self.record.name:
                self._joined(now)
            if (
                held is None
                or held.node_id == message.own_record.node_id
                or not held.present
                or held.address == message.own_record.address
            ):
                self._take_joining(now, message.own_record)
            return answer
        if isinstance(message, PushState):
            self._take_all(now, message.records)
            return encode(ExchangeDone())
        raise ProtocolError("frame")

    def _take_joining(self, now: float, own: MemberRecord) -> None:
        """Who opens an exchange says of itself that it is there."""
        if own.name != self.record.name and own.state is MemberState.ALIVE and self.table.get(own.name) is not None:
            self._take(now, own)

    def continue_exchange(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """An answer, or that none came; gives the next frame, None where the exchange is over."""
        self._enter(now)
        why = self._exchanges.get(token)
        if why is None:
            return None
        if body is None:
            del self._exchanges[token]
            self.counters["exchanges_failed"] += 1
            return None
        try:
            message = decode_frame(body)
        except ProtocolError:
            del self._exchanges[token]
            self.counters["dropped_body"] += 1
            return None
        if not isinstance(message, PullResponse):
            del self._exchanges[token]
            return None
        self._heard(now, message)
        parts = {number for number in message.buckets if 0 <= number < BUCKET_COUNT}
        if self.stage is Stage.JOINING:
            if message.own_record.name == self.record.name and message.own_record.address != self.record.address:
                self._name_held(now, message.own_record)
            else:
                self._meet(now, message.records)
            if not self.joined:
                del self._exchanges[token]
                return None
        told = {fact.name: fact.precedence for fact in message.records}
        stale = self._deaf_since is not None and now - self._deaf_since > self.settings.forget_after_ms / 2
        if stale:
            self._forget_all(now, message.records)
        if why == "join":
            # The whole fleet as it is: news to nobody but this door.
            for fact in message.records:
                if self._take(now, fact):
                    self._spread.discard(fact.name)
        else:
            self._take_all(now, message.records)
        self._deaf_since = None if not self.receive_partitioned else self._deaf_since
        mine = [fact for fact in self.table.in_buckets(parts) if fact.precedence > told.get(fact.name, (-1, 0, 0, 0))]
        del self._exchanges[token]
        self._settle_ms = SETTLE_MS if parts else min(self._settle_ms * 2, MOST_SETTLE_MS)
        if not mine:
            return None
        self._exchanges[token] = "push"
        return encode(PushState(self._sender, mine))

    def _forget_all(self, now: float, told: list[MemberRecord]) -> None:
        """After a silence so long that others may have forgotten what this door still holds: what they do not tell of
        is not there any more.  Danger: it would be told on as alive."""
        known = {fact.name for fact in told} | {self.record.name}
        for fact in list(self.table):
            if fact.name not in known:
                self.table.remove(fact.name)
                self._suspicions.pop(fact.name, None)
                self._spread.discard(fact.name)
                self._tell_event("forgotten", fact.name)

    def _meet(self, now: float, facts: list[MemberRecord]) -> None:
        """The first view: may this door's name be used?"""
        held = next((fact for fact in facts if fact.name == self.record.name), None)
        if held is None or (held.owner == self.record.owner and held.boot_id == self.record.boot_id):
            self._joined(now)
        else:
            self._name_held(now, held)

    def _name_held(self, now: float, held: MemberRecord) -> None:
        if not held.present or held.address == self.record.address:
            self._succeed(now, held)  # it went, or it cannot be where this door is
        else:
            self._claim(now, held)

    def _take_all(self, now: float, facts: list[MemberRecord]) -> None:
        for fact in facts:
            self._take(now, fact)

    # Receiving.

    def _heard(self, now: float, message: Message | Frame) -> None:
        if isinstance(message, ExchangeDone):
            return
        self._heard_at = now
        if self.receive_partitioned:
            self._become(now, SelfReport.RECEIVE_PARTITIONED, False)
            self._differs = True
            self._last_exchange = -1e12

    def receive(self, now: float, data: bytes) -> None:
        """Take in what came; whatever is wrong with it is counted and changes nothing."""
        self._enter(now)
        if self.stage is Stage.LEFT:
            return
        try:
            opened = open_datagram(self.keys, self._cluster, data)
            if opened.source_boot_id == self.record.boot_id:
                raise ProtocolError("own")
            message = decode_message(opened.body)
            if opened.target_boot_id != self.record.boot_id:
                self._not_mine(now, opened.source_boot_id, message)
                raise ProtocolError("life")
            window = self._windows.get(opened.source_boot_id)
            if window is None:
                window = self._windows[opened.source_boot_id] = ReplayWindow()
                if len(self._windows) > MOST_WINDOWS:
                    self._windows.popitem(last=False)
            else:
                self._windows.move_to_end(opened.source_boot_id)
            if not window.accept(opened.number):
                raise ProtocolError("replay")
        except ProtocolError as error:
            self.counters[f"dropped_{error.reason}"] += 1
            return
        self.counters["received"] += 1
        self.counters["received_bytes"] += len(data)
        source = message.sender.host, message.sender.port
        if isinstance(message, WrongBootId):
            self._challenge(now, source, message)
            return
        if self.stage in (Stage.JOINING, Stage.NAME_CONFLICT, Stage.CLAIMING_NAME) and not isinstance(message, Ack):
            return  # not a member yet: what it would answer could be taken for the one whose name it wants
        self._heard(now, message)
        if isinstance(message, Ping):
            self._pinged(now, opened.source_boot_id, source, message)
        elif isinstance(message, Ack):
            self._hear_seen(now, message.sender.name, message.receiver_view)
            self._take_all(now, message.records)
            self._acked(now, message)
        elif isinstance(message, IndirectPing):
            self._relay(now, opened.source_boot_id, source, message)
        elif isinstance(message, IndirectPingResponse):
            self._relayed(now, message)
        else:
            self._hear_seen(now, message.sender.name, message.receiver_view)
            self._take_all(now, message.records)
            self._compare(message.digest)

    def _not_mine(self, now: float, source: int, message: Message) -> None:
        """Tell who is here, at a bounded rate, to one that takes this process for another."""
        if isinstance(message, WrongBootId):
            return
        since, number = self._challenged
        if now - since >= 1000.0:
            since, number = now, 0
        self._challenged = since, number + 1
        if number < CHALLENGES_A_S:
            self._send_plain(
                (message.sender.host, message.sender.port),
                source,
                WrongBootId(self._sender, self.record.boot_id, self.record.node_id),
            )

    def _send_plain(self, to: Address, life: int, message: Message) -> None:
        """To the very life that wrote, whatever is known of the address."""
        self._lives.pop(to, None)
        self._send(to, life, message)

    def _challenge(self, now: float, source: Address, message: WrongBootId) -> None:
        fact = next((fact for fact in self.table if fact.address == source), None)
        if fact is None or fact.name != message.sender.name or fact.node_id != message.node_id:
            return  # another has this address: who was there does not answer
        if self._lives.get(source, fact.boot_id) == message.boot_id:
            return
        self._lives[source] = message.boot_id
        for nonce, probe in self._probes.items():
            if probe.target.address == source and not probe.answered:
                self._send_with_news(
                    source,
                    message.boot_id,
                    fact.name,
                    Ping(self._sender, nonce, fact.name, self._seen(fact.name), self.table.digest),
                )

    def _pinged(self, now: float, life: int, source: Address, message: Ping) -> None:
        if message.target != self.record.name:
            return
        self._hear_seen(now, message.sender.name, message.receiver_view)
        self._take_all(now, message.records)
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
            self._send(errand.asker, errand.asker_life, IndirectPingResponse(self._sender, errand.nonce, True))
            return
        probe = self._probes.get(message.nonce)
        if probe is None or message.sender.name != probe.target.name:
            return
        self._answered(now, probe)
        if probe.tried:
            del self._probes[message.nonce]
            if self.stage is Stage.CLAIMING_NAME:
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
        if self.send_partitioned:
            self._become(now, SelfReport.SEND_PARTITIONED, False)
        held = self._suspicions.get(probe.target.name)
        if held is not None and held.accusers == {self.record.name}:
            self._withdraw(now, probe.target.name)

    def _compare(self, digest: int) -> None:
        if digest != self.table.digest and not len(self._spread):
            self._differs = True

    def _relay(self, now: float, life: int, source: Address, message: IndirectPing) -> None:
        nonce = self._rng.getrandbits(62)
        self._errands[nonce] = _Errand(source, life, message.nonce)
        target = message.host, message.port
        self._send_with_news(
            target,
            message.boot_id,
            message.target,
            Ping(self._sender, nonce, message.target, self._seen(message.target), self.table.digest),
        )
        self._at(now + self.settings.ack_timeout_ms, self._errand_over, nonce)

    def _errand_over(self, now: float, nonce: int) -> None:
        errand = self._errands.pop(nonce, None)
        if errand is not None:
            self._send(errand.asker, errand.asker_life, IndirectPingResponse(self._sender, errand.nonce, False))

    def _relayed(self, now: float, message: IndirectPingResponse) -> None:
        probe = self._probes.get(message.nonce)
        if probe is None or probe.answered:
            return
        if message.acknowledged:
            self._answered(now, probe)
        else:
            probe.denied += 1
