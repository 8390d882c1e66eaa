"""The order book: a state machine that the copies of one group feed with the same entries.

Entries are what somebody asked (a request, a start, an end) and what the leader sees (`Sight`), each with the leader's
time; what follows, who is granted and whose lease is over, is worked out where an entry is applied, at every copy
alike.  So a leader decides nothing: one that was paused with an entry in its buffer can at most put in what it saw.

A request's life: waiting, granted (a token; its machine may start within the lease), out, coming (the work is done, the
machine is not healthy yet), ended.  A token is never given twice, and only the latest of a request counts.  `Start` is
the moment from which a machine counts as out for good, until it is seen healthy again.

The book's time never runs faster than real time, and no wall clock is in it: a leader counts on from what the book
held when it began to lead, by its monotonic clock (`Clock`).  While nobody leads it stands.  So a lease that is over in
the book is over at its machine, which counts from before it asked.
"""

from __future__ import annotations

import math
from enum import StrEnum

import msgspec

from martenstep.maintenance import admission_rules as rule

DRIFT = 0.02  # clocks run apart by no more than this part
MOST_REQUESTS = 5000  # that have not ended: more are refused
MOST_ENDED = 2000  # kept for who asks again
MOST_WORDS = 200  # characters of a reason


class State(StrEnum):
    """Of a request."""

    WAITING = "waiting"
    GRANTED = "granted"
    OUT = "out"
    COMING = "coming"
    ENDED = "ended"


class Request(msgspec.Struct):
    """A machine to be taken out."""

    id: str
    machine: str
    for_ms: float
    reason: str = ""
    urgent: bool = False
    before: float = 0.0  # Unix ms; 0: no matter when
    plan: str = ""  # of a roll of many; one that went wrong stops the rest
    number: int = 0
    asked: float = 0.0  # book's time
    state: State = State.WAITING
    token: int = 0
    since: float = 0.0  # of the present state
    lease_until: float = 0.0
    due: float = 0.0  # out longer than this is overdue
    end: str = ""
    away: bool = False  # it was seen not healthy since it started to leave


class Limits(msgspec.Struct, frozen=True):
    """Under which machines go."""

    most_out: int = 1
    most_out_zone: int = 1
    most_share: float = 0.34  # of the fleet's capacity
    by_zone: bool = False  # one zone is done before the next begins
    overdue_holds: bool = True  # nobody goes while one is not back in time
    lease_ms: float = 30_000.0
    grace_ms: float = 60_000.0  # beyond what was asked, until a machine is overdue
    starve_ms: float = 3_600_000.0  # one that has waited for so long is passed by nobody any more


class Machine(msgspec.Struct, frozen=True):
    """As the leader sees it."""

    name: str
    zone: str = ""
    capacity: float = 1.0
    healthy: bool = True  # present, and what it holds is caught up
    leads: bool = False  # the book


class Group(msgspec.Struct, frozen=True):
    """Copies that must not be out together."""

    name: str
    machines: tuple[str, ...]
    whole: bool = True


class Ask(msgspec.Struct, tag=1, frozen=True):
    """A request; the same id twice is one."""

    id: str
    machine: str
    for_ms: float
    reason: str = ""
    urgent: bool = False
    before: float = 0.0
    plan: str = ""


class Cancel(msgspec.Struct, tag=2, frozen=True):
    """It is not wanted any more; one that is out already is not to be cancelled."""

    id: str


class Start(msgspec.Struct, tag=3, frozen=True):
    """The machine goes now."""

    id: str
    token: int


class Done(msgspec.Struct, tag=4, frozen=True):
    """The work is done, or went wrong.  `back`: the machine says so itself, with a process that began after it left;
    from a person it is taken only once the machine was seen away."""

    id: str
    token: int
    ok: bool = True
    why: str = ""
    back: bool = False


class Extend(msgspec.Struct, tag=5, frozen=True):
    """It takes longer: so long from now."""

    id: str
    token: int
    for_ms: float


class Pause(msgspec.Struct, tag=6, frozen=True):
    """Nobody is granted, or again; with a plan, nobody of that."""

    on: bool
    why: str = ""
    plan: str = ""


class SetLimits(msgspec.Struct, tag=7, frozen=True):
    """Other limits; what was granted and has not started is called back where it does not fit them."""

    limits: Limits


class Sight(msgspec.Struct, tag=8, frozen=True):
    """What the leader sees: all machines, groups whose copies must not be out together, and why the fleet is short."""

    machines: tuple[Machine, ...]
    groups: tuple[Group, ...] = ()
    short: tuple[str, ...] = ()


class GiveUp(msgspec.Struct, tag=9, frozen=True):
    """A person says that a machine will not come back, or not leave: its request ends, once its lease is over.  As long
    as it is not healthy it counts as out all the same."""

    id: str


class Tick(msgspec.Struct, tag=10, frozen=True):
    """Time passes."""


What = Ask | Cancel | Start | Done | Extend | Pause | SetLimits | Sight | GiveUp | Tick


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """What was asked or seen, and the book's time at the leader (ms)."""

    at: float
    what: What


class Answer(msgspec.Struct, frozen=True):
    """What comes of an entry."""

    ok: bool
    text: str = ""
    request: Request | None = None


class _Image(msgspec.Struct):
    now: float
    number: int
    token: int
    limits: Limits
    paused: str | None
    plans: dict[str, str]
    sight: Sight
    sight_at: float
    requests: list[Request]


_encode = msgspec.msgpack.Encoder().encode
_entry = msgspec.msgpack.Decoder(Entry).decode
_image = msgspec.msgpack.Decoder(_Image).decode


class Clock:
    """The book's time at one leader, from its monotonic clock."""

    def __init__(self, held: float, now: float) -> None:
        """`held` is the book's time when it began to lead, at `now`."""
        self._held, self._since = held, now

    def at(self, now: float) -> float:
        """The book's time."""
        return self._held + (now - self._since) * (1 - DRIFT)


def entry(at: float, what: What) -> bytes:
    """An entry's bytes."""
    return _encode(Entry(at, what))


class Book:
    """One copy's state."""

    def __init__(self) -> None:
        self.now = 0.0
        self.limits = Limits()
        self.paused: str | None = None  # why, where nobody is granted
        self.plans: dict[str, str] = {}  # plans that stand, and why
        self.sight = Sight(())
        self.sight_at = 0.0  # when the leader looked last
        self.requests: dict[str, Request] = {}
        self._number = self._token = 0

    # The machine of a group.

    def apply(self, data: bytes) -> Answer:
        """One entry.  Never raises: what one copy cannot read, none can."""
        try:
            told = _entry(data)
        except msgspec.MsgspecError as error:
            return Answer(False, f"an entry that cannot be read: {error}")
        if not math.isfinite(told.at):
            return Answer(False, "an entry of no time")
        self.now = max(self.now, told.at)
        self._settle()
        answer = self._take(told.what)
        self._settle()
        if answer.request is not None:
            return Answer(answer.ok, answer.text, msgspec.structs.replace(answer.request))
        return answer

    def snapshot(self) -> bytes:
        """All of the state."""
        return _encode(
            _Image(
                self.now,
                self._number,
                self._token,
                self.limits,
                self.paused,
                self.plans,
                self.sight,
                self.sight_at,
                list(self.requests.values()),
            )
        )

    def restore(self, body: bytes) -> None:
        """In place of all that was; raises ValueError where it is no snapshot."""
        try:
            told = _image(body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not an order book's snapshot: {error}") from None
        self.now, self._number, self._token, self.limits = told.now, told.number, told.token, told.limits
        self.paused, self.plans, self.sight, self.sight_at = told.paused, told.plans, told.sight, told.sight_at
        self.requests = {one.id: one for one in told.requests}

    # What is asked.

    def _take(self, what: What) -> Answer:
        match what:
            case Ask():
                return self._ask(what)
            case Pause():
                return self._pause(what)
            case SetLimits():
                return self._set_limits(what.limits)
            case Sight():
                self.sight, self.sight_at = what, self.now
                ill = {one.name for one in what.machines if not one.healthy}
                for one in self.requests.values():
                    one.away = one.away or (one.state is State.OUT and one.machine in ill)
                return Answer(True)
            case Tick():
                return Answer(True)
        held = self.requests.get(what.id)
        if held is None:
            return Answer(False, f"no request {what.id}")
        match what:
            case Cancel():
                return self._cancel(held)
            case GiveUp():
                return self._give_up(held)
        if what.token != held.token or not held.token:
            return Answer(False, f"token {what.token} is not that of {held.id}, which is {held.state}", held)
        match what:
            case Start():
                return self._start(held)
            case Done():
                return self._done(held, what)
        if held.state is not State.OUT or not 0 < what.for_ms < math.inf:
            return Answer(False, f"{held.id} is {held.state}", held)
        held.due = max(held.due, self.now + what.for_ms + self.limits.grace_ms)
        return Answer(True, "", held)

    def _ask(self, what: Ask) -> Answer:
        held = self.requests.get(what.id)
        if held is not None:
            same = (held.machine, held.for_ms) == (what.machine, what.for_ms)
            return Answer(same, "" if same else f"{what.id} is another request, for {held.machine}", held)
        if not what.id or not what.machine or not 0 < what.for_ms < math.inf or not 0 <= what.before < math.inf:
            return Answer(False, "a request needs an id, a machine and a time above 0")
        if len([one for one in self.requests.values() if one.state is not State.ENDED]) >= MOST_REQUESTS:
            return Answer(False, f"{MOST_REQUESTS} requests wait already")
        never = self.never(what.machine)
        if never:
            return Answer(False, never)
        for other in self.requests.values():
            if other.machine == what.machine and other.state is not State.ENDED:
                return Answer(False, f"{what.machine} has request {other.id}, which is {other.state}", other)
        self._number += 1
        made = Request(
            what.id,
            what.machine,
            what.for_ms,
            what.reason[:MOST_WORDS],
            what.urgent,
            what.before,
            what.plan,
            self._number,
            self.now,
            since=self.now,
        )
        self.requests[made.id] = made
        return Answer(True, "", made)

    def never(self, machine: str) -> str:
        """Why the limits forbid a machine for good; empty where they do not."""
        limits, seen = self.limits, {one.name: one for one in self.sight.machines}
        if limits.most_out < 1 or limits.most_out_zone < 1:
            return "the limits let no machine out"
        if self.sight.machines and machine not in seen:
            return f"no machine {machine} is known"
        total = sum(one.capacity for one in seen.values())
        if machine in seen and total and seen[machine].capacity > limits.most_share * total:
            return (
                f"{machine} alone is {seen[machine].capacity / total:.0%} of the capacity, and "
                f"{limits.most_share:.0%} may be out"
            )
        return ""

    def _cancel(self, held: Request) -> Answer:
        if held.state in (State.WAITING, State.GRANTED):
            self._end(held, "cancelled")
            return Answer(True, "", held)
        return Answer(held.end == "cancelled", f"{held.id} is {held.state}", held)

    def _give_up(self, held: Request) -> Answer:
        if held.state not in (State.OUT, State.COMING):
            return Answer(False, f"{held.id} is {held.state}", held)
        # Danger: a machine that was paused with its start in hand could still leave by it until its own lease ends; and
        # one that left unseen would count as there.
        if self.now <= held.lease_until:
            return Answer(False, f"{held.machine} may still be leaving: its lease runs", held)
        healthy = {one.name for one in self.sight.machines if one.healthy}
        if self.sight_at <= held.lease_until and held.machine in healthy:
            return Answer(False, f"{held.machine} was not looked at since its lease ended", held)
        self._end(held, "given up")
        return Answer(True, "", held)

    def _start(self, held: Request) -> Answer:
        if held.state is State.OUT:
            held.lease_until = self.now + self.limits.lease_ms  # told again
            return Answer(True, "", held)
        if held.state is not State.GRANTED:
            return Answer(False, f"{held.id} is {held.state}", held)
        held.state, held.since = State.OUT, self.now
        held.lease_until = self.now + self.limits.lease_ms
        held.due = self.now + held.for_ms + self.limits.grace_ms
        return Answer(True, "", held)

    def _done(self, held: Request, what: Done) -> Answer:
        if held.state is State.OUT and not (what.back or held.away):
            # Danger: it may still drain.  It would count as back, and another would go beside it.
            return Answer(False, f"{held.machine} has not left yet", held)
        if held.state is State.OUT:
            held.state, held.since = State.COMING, self.now
            if not what.ok:
                held.end = f"went wrong: {what.why[:MOST_WORDS]}"
                if held.plan:
                    self.plans[held.plan] = f"{held.machine} went wrong: {what.why[:MOST_WORDS]}"
                else:
                    self.paused = f"{held.machine} went wrong: {what.why[:MOST_WORDS]}"
            return Answer(True, "", held)
        return Answer(held.state in (State.COMING, State.ENDED), f"{held.id} is {held.state}", held)

    def _pause(self, what: Pause) -> Answer:
        why = what.why[:MOST_WORDS] or "paused"
        if what.plan:
            if what.on:
                self.plans[what.plan] = why
            else:
                self.plans.pop(what.plan, None)
        else:
            self.paused = why if what.on else None
        return Answer(True)

    def _set_limits(self, limits: Limits) -> Answer:
        if (
            limits.most_out < 0
            or limits.most_out_zone < 0
            or not 0 <= limits.most_share <= 1
            or not all(0 < value < math.inf for value in (limits.lease_ms, limits.grace_ms, limits.starve_ms))
        ):
            return Answer(False, "limits that are none")
        self.limits = limits
        return Answer(True)

    # What follows.

    def _end(self, held: Request, end: str) -> None:
        held.state, held.since, held.end = State.ENDED, self.now, held.end or end
        ended = [one for one in self.requests.values() if one.state is State.ENDED]
        for old in sorted(ended, key=lambda one: one.since)[: max(0, len(ended) - MOST_ENDED)]:
            del self.requests[old.id]

    def _settle(self) -> None:
        """Leases that are over, machines that are back, grants that do not fit any more, and who is granted next."""
        healthy = {one.name for one in self.sight.machines if one.healthy}
        for held in self.requests.values():
            if held.state is State.GRANTED and (self.now > held.lease_until or rule.against(self, held)):
                held.state, held.since, held.token = State.WAITING, self.now, 0
            elif held.state is State.COMING and held.machine in healthy:
                self._end(held, "done")
        while (held_next := rule.next_up(self)) is not None:
            self._token += 1
            held_next.state, held_next.since, held_next.token = State.GRANTED, self.now, self._token
            held_next.lease_until = self.now + self.limits.lease_ms
