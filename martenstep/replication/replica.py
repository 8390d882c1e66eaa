"""One copy of a group as it runs: the core, its disk, its links, and the state machine that the entries feed.

Writes are made by a thread, one sync for all that came together (group commit); what the core promised on them leaves
only when it is told that they are durable.  A write that fails halts the copy: it says nothing more until it is started
again, and the group goes on without it.  Snapshots are made by a child (`aside`): the loop does not wait for them.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from martenstep.event_log import EventLog
from martenstep.replication.background_snapshot import Aside
from martenstep.replication.messages import Config, Kind, Message
from martenstep.replication.raft import Became, Committed, Copy, Installed, Role, Send, Settings, Write
from martenstep.replication.replica_storage import ENTRY_BYTES, Store
from martenstep.replication.transport import Links, Port

COMPACT_ENTRIES = 10_000  # delivered since the last snapshot
READ_S = 1.0  # a read that finds no lease by then is given up


class Machine(Protocol):
    """What entries feed: the same entries in the same order make the same state."""

    def apply(self, data: bytes) -> Any:
        """One command; gives its result, for who proposed it."""

    def snapshot(self) -> bytes:
        """All of the state."""

    def restore(self, body: bytes) -> None:
        """In place of all that was."""


class NotLeaderError(Exception):
    """Another leads, `leader` where it is known; nothing was proposed."""

    def __init__(self, leader: int | None) -> None:
        self.leader = leader
        super().__init__(f"not the leader; {leader} may be" if leader is not None else "not the leader")


class InDoubtError(Exception):
    """It was proposed, and whether it stands is not known here: ask again with the same sequence."""


def now_ms() -> float:
    """The machine's monotonic clock."""
    return time.monotonic() * 1000


class Host:
    """One copy."""

    def __init__(
        self,
        group: str,
        store: Store,
        first: Config,
        machine: Machine,
        links: Links,
        log_event: EventLog,
        settings: Settings | None = None,
        place_of: Callable[[int], str | None] | None = None,
    ) -> None:
        """`links` are the machine's; `place_of` tells where a copy is, without it the group's own homes do."""
        self.group, self.store, self.machine, self._log_event = group, store, machine, log_event
        self._links, self._place_of = links, place_of or self.home
        kept = store.image()
        if kept.snapshot is not None:
            machine.restore(kept.snapshot.body)
        self.copy = Copy(
            store.id,
            kept,
            first,
            settings or Settings(),
            random.Random(random.SystemRandom().random()),
            now_ms(),
            store.proven,
        )
        self._port: Port | None = None
        self._waiting: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._writes: list[Write] = []
        self._news = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._writing: asyncio.Task[None] | None = None
        self._proved_at: int | None = None  # ticket after which the disk counts as proven
        self._moved = asyncio.Event()
        self._feeding = False
        self._ending = False
        self._aside: Aside | None = None
        self._folding: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Take part."""
        self._port = self._links.open(self.group, self.copy.me, self._place_of, self._take)
        self._writing = asyncio.get_running_loop().create_task(self._write())
        self._after()

    @property
    def heard(self) -> set[str]:
        """The places that others of the group spoke from."""
        return set(self._port.heard.values()) if self._port is not None else set()

    def home(self, copy: int) -> str | None:
        """At which place a copy of the group is, as far as is known here."""
        return self.copy.home_of(copy)

    async def stop(self) -> None:
        """End.  Nothing is told: to hand over first is `hand_over`."""
        if self._timer is not None:
            self._timer.cancel()
        if self._port is not None:
            self._port.close()
        self._ending = True
        if self._aside is not None and self._folding is not None:
            self._aside.end()
            await asyncio.gather(self._folding, return_exceptions=True)
        self._news.set()
        if self._writing is not None:
            # Not cancelled.  Danger: the thread would write on, its witness too, in folders that the next start holds.
            await asyncio.gather(self._writing, return_exceptions=True)
        for _, future in self._waiting.values():
            if not future.done():
                future.set_exception(InDoubtError("this copy ended"))
        self._waiting.clear()

    # What users ask.

    async def propose(self, data: bytes) -> Any:
        """The machine's result, once the entry stands.  Raises NotLeaderError, InDoubtError, ValueError."""
        return await self.proposed(data)

    def proposed(self, data: bytes) -> asyncio.Future[Any]:
        """The machine's result, once the entry stands, or InDoubtError.  Raises NotLeaderError, ValueError at once."""
        if len(data) > ENTRY_BYTES:
            raise ValueError(f"an entry has at most {ENTRY_BYTES} bytes, this one {len(data)}")
        index = self.copy.propose(now_ms(), data, feed=False)
        if index is None:
            raise NotLeaderError(self.copy.leader)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        self._waiting[index] = self.copy.term, future
        if not self._feeding:  # all that is proposed in this turn of the loop goes in one message and one write
            self._feeding = True
            loop.call_soon(self._feed)
        return future

    def _feed(self) -> None:
        self._feeding = False
        self.copy.feed(now_ms())
        self._after()

    async def read(self) -> None:
        """Return once what the machine holds misses nothing that stood when this was asked.  Raises NotLeaderError."""
        try:
            async with asyncio.timeout(READ_S):
                while not self.copy.may_read(now_ms()):
                    if self.copy.role is not Role.LEADER:
                        raise NotLeaderError(self.copy.leader)
                    await self._moved.wait()
        except TimeoutError:
            raise NotLeaderError(None) from None

    def change(self, config: Config) -> bool:
        """Another group, one voter more or less; False where that may not be now."""
        done = self.copy.change(now_ms(), config)
        self._after()
        return done

    def hand_over(self, to: int | None = None) -> bool:
        """Let another lead."""
        done = self.copy.hand_over(now_ms(), to)
        self._after()
        return done

    # The core.

    def _take(self, source: int, message: Message) -> None:
        self.copy.message(now_ms(), source, message)
        self._after()

    def _wake(self) -> None:
        self.copy.wake(now_ms())
        self._after()

    def _after(self) -> None:
        copy = self.copy
        while copy.out:
            actions, copy.out = copy.out, []
            self._carry_out(actions)
            # The machine holds all that is delivered now, and no write of before is left behind.
            if copy.commit - copy.base >= COMPACT_ENTRIES and self._folding is None and not self._ending:
                self._fold(copy.commit)
        if copy.proven and not self.store.proven and self._proved_at is None:
            self._proved_at = max((write.ticket for write in self._writes), default=0)
        if self._timer is not None:
            self._timer.cancel()
        if copy.next_at < float("inf") and not copy.halted:
            self._timer = asyncio.get_running_loop().call_at(copy.next_at / 1000, self._wake)
        self._moved.set()
        self._moved = asyncio.Event()

    def _fold(self, index: int) -> None:
        """Begin a snapshot of the machine as it is now, in place of all entries up to `index`."""
        try:
            aside = self._aside = Aside(self.machine.snapshot)
        except OSError as error:
            self._log_event("no snapshot", {"group": self.group, "error": str(error)})
            return
        self._folding = asyncio.get_running_loop().create_task(self._folded(index, aside))

    async def _folded(self, index: int, aside: Aside) -> None:
        body = await aside.body()
        self._folding = self._aside = None
        if body is None:
            self._log_event("no snapshot", {"group": self.group, "error": "its process failed"})
        elif not self._ending and not self.copy.halted:
            self.copy.compact(index, body)  # where another snapshot was installed meanwhile, that one stays
            self._after()

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert self._port is not None
                self._port.send(action.to, action.message)
            elif isinstance(action, Write):
                self._writes.append(action)
                self._news.set()
            elif isinstance(action, Committed):
                self._committed(action)
            elif isinstance(action, Installed):
                self.machine.restore(action.snapshot.body)
            else:
                self._became(action)

    def _committed(self, committed: Committed) -> None:
        entry = committed.entry
        result = self.machine.apply(entry.data) if entry.kind is Kind.COMMAND else None
        term, future = self._waiting.pop(entry.index, (0, None))
        if future is not None and not future.done():
            if term == entry.term:
                future.set_result(result)
            else:
                future.set_exception(InDoubtError("another entry stands in its place: it does not"))

    def _became(self, became: Became) -> None:
        self._log_event(
            "copy", {"group": self.group, "role": became.role.value, "term": became.term, "leader": became.leader}
        )
        if became.role is not Role.LEADER:
            # Whether they stand, the next leader knows.
            for _, future in self._waiting.values():
                if not future.done():
                    future.set_exception(InDoubtError("this copy leads no more"))
            self._waiting.clear()

    async def _write(self) -> None:
        while not self._ending:
            await self._news.wait()
            self._news.clear()
            batch, self._writes = self._writes, []
            if not batch or self._ending:
                continue
            try:
                await asyncio.to_thread(self.store.write, batch)
            except OSError as error:
                self._log_event("copy halted", {"group": self.group, "error": str(error)})
                self.copy.failed()
                self._became(Became(Role.FOLLOWER, self.copy.term, None))
                return
            if self._ending:
                return
            if self._proved_at is not None and batch[-1].ticket >= self._proved_at:
                self.store.proved()
                self._proved_at = None
            self.copy.written(now_ms(), batch[-1].ticket)
            self._after()
