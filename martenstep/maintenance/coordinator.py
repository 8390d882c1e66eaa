"""The order book at one door: asks and answers over the copies' links, what the leader sees, and the door's own part.

Every door tells whoever leads the book how it is (`Report`): that it serves, and of the groups that it leads, where
their copies are and whether they are whole.  The leader makes its `Sight` of the reports that are no older than a
stated time and of the membership; it is put into the book when it changes.  A door that reports nothing counts as not
healthy.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from martenstep.event_log import EventLog
from martenstep.maintenance import admission_rules as rule
from martenstep.maintenance.lease_holder import Agent, AskDone, AskStart, Leave
from martenstep.maintenance.queue import (
    Answer,
    Book,
    Clock,
    Group,
    Limits,
    Machine,
    Request,
    Sight,
    Start,
    State,
    What,
    entry,
)
from martenstep.replication.errors import IndeterminateError, LeaderUnreachableError, NotLeaderError
from martenstep.replication.replica import Replica, now_ms
from martenstep.replication.replica_manager import ReplicaManager

GROUP = "orders"
TEND_S = 0.5
SIGHT_MS = 2000.0  # between two entries of a leader that sees nothing new
REPORT_MS = 4000.0  # an older report says nothing
WITHIN_S = 5.0  # a question is given up after this


class Report(msgspec.Struct, tag=50, frozen=True):
    """How a door is."""

    machine: str
    zone: str
    capacity: float
    ready: bool
    groups: tuple[Group, ...] = ()


class Look(msgspec.Struct, tag=51, frozen=True):
    """Tell the whole book."""


class View(msgspec.Struct, frozen=True):
    """The book as its leader has it, with what each waiting request waits for."""

    leader: str
    limits: Limits
    paused: str | None
    plans: dict[str, str]
    requests: list[Request]
    waits: dict[str, str]
    order: list[str]
    machines: list[Machine]
    short: list[str]


Question = What | Report | Look
_question = msgspec.msgpack.Decoder(Question).decode
_answer = msgspec.msgpack.Decoder(Answer).decode
_view = msgspec.msgpack.Decoder(View).decode
_encode = msgspec.msgpack.Encoder().encode


def view_of(book: Book, leader: str) -> View:
    """What is told of a book."""
    order = rule.order(book)
    return View(
        leader,
        book.limits,
        book.paused,
        book.plans,
        list(book.requests.values()),
        {held.id: rule.waits_for(book, held) or "its turn" for held in order},
        [held.id for held in order],
        list(book.sight.machines),
        list(book.sight.short),
    )


class Orders:
    """One door's part."""

    def __init__(
        self,
        me: str,
        zone: str,
        capacity: float,
        keeper: ReplicaManager,
        ready: Callable[[], bool],
        known: Callable[[], Iterable[tuple[str, str]]],
        leave: Callable[[str], None],
        log_event: EventLog,
    ) -> None:
        """`known` are all machines that the membership has heard of, with their zones; `leave` begins to stop this
        door, given the request."""
        self.me, self._zone, self._capacity, self._keeper = me, zone, capacity, keeper
        self._ready, self._known, self._leave, self._log_event = ready, known, leave, log_event
        self.agent: Agent | None = None
        self._clock: tuple[int, Clock] | None = None  # of the term in which this door leads
        self._reports: dict[str, tuple[float, Report]] = {}
        self._told_at = 0.0
        self._tending: asyncio.Task[None] | None = None
        keeper.leader_handlers[GROUP] = self._asked

    def start(self) -> None:
        """Take part."""
        self._tending = asyncio.get_running_loop().create_task(self._tend())

    def stop(self) -> None:
        """End."""
        if self._tending is not None:
            self._tending.cancel()

    # Asking.

    async def tell(self, what: What) -> Answer:
        """Put something into the book; raises UnansweredError where nobody leads it within some seconds.  It is then in
        doubt: the same again is one."""
        return _answer(await self._keeper.request_leader(GROUP, _encode(what), WITHIN_S))

    async def look(self) -> View:
        """The book; raises UnansweredError."""
        return _view(await self._keeper.request_leader(GROUP, _encode(Look()), WITHIN_S))

    # Answering, where this door leads the book.

    async def _asked(self, host: Replica, data: bytes) -> bytes:
        """Raises NotLeaderError, InDoubtError."""
        try:
            question = _question(data)
        except msgspec.MsgspecError as error:
            return _encode(Answer(False, f"a question that cannot be read: {error}"))
        if isinstance(question, Report):
            if host.raft.leader != host.raft.replica_id:
                raise NotLeaderError(host.raft.leader)
            self._reports[question.machine] = now_ms(), question
            return _encode(Answer(True))
        assert isinstance(host.state_machine, Book)
        if isinstance(question, Look):
            await host.confirm_leadership()
            return _encode(view_of(host.state_machine, self.me))
        return _encode(await self._put(host, question))

    async def _put(self, host: Replica, what: What) -> Answer:
        answer: Answer = await host.propose(entry(self._time(host), what))
        return answer

    def _time(self, host: Replica) -> float:
        """The book's time now; only a leader's entries stand, so a clock of a term that is over does no harm."""
        assert isinstance(host.state_machine, Book)
        term = host.raft.term
        if self._clock is None or self._clock[0] != term:
            self._clock = term, Clock(host.state_machine.now, now_ms())
            self._reports = {name: told for name, told in self._reports.items() if told[0] > now_ms() - REPORT_MS}
        return self._clock[1].at(now_ms())

    def _sight(self, book: Book) -> Sight:
        """What this door, leading, sees."""
        fresh = {name: told for name, (at, told) in self._reports.items() if at > now_ms() - REPORT_MS}
        zones = {one.name: one.zone for one in book.sight.machines} | dict(self._known())
        zones |= {name: told.zone for name, told in fresh.items()}
        capacity = {one.name: one.capacity for one in book.sight.machines}
        machines = tuple(
            Machine(
                name,
                zones[name],
                fresh[name].capacity if name in fresh else capacity.get(name, 1.0),
                name in fresh and fresh[name].ready,
                name == self.me,
            )
            for name in sorted(zones)
        )
        groups = {group.name: group for told in fresh.values() for group in told.groups}
        for group in book.sight.groups:
            groups.setdefault(group.name, msgspec.structs.replace(group, whole=False))  # nobody tells that it leads it
        return Sight(machines, tuple(groups[name] for name in sorted(groups)))

    # Each turn.

    async def _tend(self) -> None:
        while True:
            await asyncio.sleep(TEND_S)
            try:
                await self._turn()
            except (NotLeaderError, IndeterminateError, LeaderUnreachableError):
                pass  # nobody leads just now
            except Exception as error:  # a door goes on serving whatever is wrong with its orders
                self._log_event("fault", {"where": "orders", "error": repr(error)})

    async def _turn(self) -> None:
        await self._keeper.request_leader(GROUP, _encode(self._report()), WITHIN_S)
        host = self._keeper.replica(GROUP)
        if host is not None and host.raft.can_serve_read(now_ms()) and isinstance(host.state_machine, Book):
            sight, now = self._sight(host.state_machine), now_ms()
            if sight != host.state_machine.sight or now - self._told_at > SIGHT_MS:
                await self._put(host, sight)
                self._told_at = now
        await self._own(await self.look())

    def _report(self) -> Report:
        led = []
        for one in self._keeper.led_groups():
            if one.group != GROUP:
                led.append(Group(one.group, tuple(sorted(one.nodes)), one.healthy))
        return Report(self.me, self._zone, self._capacity, self._ready(), tuple(led))

    async def _own(self, view: View) -> None:
        """This door's own request."""
        if self.agent is None:
            self.agent = Agent(self.me, view.limits.lease_ms)
        agent = self.agent
        agent.lease_ms = view.limits.lease_ms
        now = now_ms()
        if self._ready() or agent.step.value != "here":
            agent.seen(now, view.requests)
        agent.wake(now)
        actions, agent.out = agent.out, []
        for action in actions:
            if isinstance(action, AskStart):
                await self._start(agent, action.start)
            elif isinstance(action, AskDone):
                await self.tell(action.done)

    async def _start(self, agent: Agent, start: Start) -> None:
        asked = now_ms()
        answer = await self.tell(start)
        agent.started(now_ms(), start, asked, answer)
        self._log_event(
            "maintenance start", {"request": start.id, "token": start.token, "ok": answer.ok, "why": answer.text}
        )
        for action in agent.out:
            if isinstance(action, Leave):
                self._leave(action.request)

    def gauges(self) -> dict[str, float]:
        """For metrics, of the copy that is here."""
        host = self._keeper.replica(GROUP)
        if host is None or not isinstance(host.state_machine, Book):
            return {}
        states = [held.state for held in host.state_machine.requests.values()]
        return {f"maintenance_{state.value}": states.count(state) for state in State}
