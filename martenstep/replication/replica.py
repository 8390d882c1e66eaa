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
from martenstep.replication.background_snapshot import BackgroundSnapshot
from martenstep.replication.messages import Configuration, EntryKind, RaftMessage
from martenstep.replication.raft import (
    DurableWrite,
    EntryCommitted,
    RaftNode,
    RaftSettings,
    Role,
    RoleChanged,
    Send,
    SnapshotInstalled,
)
from martenstep.replication.replica_storage import MAX_ENTRY_BYTES, ReplicaStorage
from martenstep.replication.transport import ReplicaChannel, Transport

SNAPSHOT_INTERVAL_ENTRIES = 10_000  # delivered since the last snapshot
READ_TIMEOUT_S = 1.0  # a read that finds no lease by then is given up


class StateMachine(Protocol):
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


class IndeterminateError(Exception):
    """It was proposed, and whether it stands is not known here: ask again with the same sequence."""


def now_ms() -> float:
    """The machine's monotonic clock."""
    return time.monotonic() * 1000


class Replica:
    """One copy."""

    def __init__(
        self,
        group: str,
        store: ReplicaStorage,
        first: Configuration,
        machine: StateMachine,
        links: Transport,
        log_event: EventLog,
        settings: RaftSettings | None = None,
        place_of: Callable[[int], str | None] | None = None,
    ) -> None:
        """`links` are the machine's; `place_of` tells where a copy is, without it the group's own homes do."""
        self.group, self.storage, self.state_machine, self._log_event = group, store, machine, log_event
        self._links, self._place_of = links, place_of or self.find_node
        kept = store.read_state()
        if kept.snapshot is not None:
            machine.restore(kept.snapshot.body)
        self.raft = RaftNode(
            store.replica_id,
            kept,
            first,
            settings or RaftSettings(),
            random.Random(random.SystemRandom().random()),
            now_ms(),
            store.disk_verified,
        )
        self._port: ReplicaChannel | None = None
        self._waiting: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._writes: list[DurableWrite] = []
        self._news = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._writing: asyncio.Task[None] | None = None
        self._proved_at: int | None = None  # ticket after which the disk counts as proven
        self._moved = asyncio.Event()
        self._feeding = False
        self._ending = False
        self._aside: BackgroundSnapshot | None = None
        self._folding: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Take part."""
        self._port = self._links.open(self.group, self.raft.replica_id, self._place_of, self._take)
        self._writing = asyncio.get_running_loop().create_task(self._write())
        self._after()

    @property
    def contacted_nodes(self) -> set[str]:
        """The places that others of the group spoke from."""
        return set(self._port.contacted_nodes.values()) if self._port is not None else set()

    def find_node(self, copy: int) -> str | None:
        """At which place a copy of the group is, as far as is known here."""
        return self.raft.find_node(copy)

    async def stop(self) -> None:
        """End.  Nothing is told: to hand over first is `hand_over`."""
        if self._timer is not None:
            self._timer.cancel()
        if self._port is not None:
            self._port.close()
        self._ending = True
        if self._aside is not None and self._folding is not None:
            self._aside.cancel()
            await asyncio.gather(self._folding, return_exceptions=True)
        self._news.set()
        if self._writing is not None:
            # Not cancelled.  Danger: the thread would write on, its witness too, in folders that the next start holds.
            await asyncio.gather(self._writing, return_exceptions=True)
        for _, future in self._waiting.values():
            if not future.done():
                future.set_exception(IndeterminateError("this copy ended"))
        self._waiting.clear()

    # What users ask.

    async def propose(self, data: bytes) -> Any:
        """The machine's result, once the entry stands.  Raises NotLeaderError, InDoubtError, ValueError."""
        return await self.submit(data)

    def submit(self, data: bytes) -> asyncio.Future[Any]:
        """The machine's result, once the entry stands, or InDoubtError.  Raises NotLeaderError, ValueError at once."""
        if len(data) > MAX_ENTRY_BYTES:
            raise ValueError(f"an entry has at most {MAX_ENTRY_BYTES} bytes, this one {len(data)}")
        index = self.raft.propose(data, replicate=False)
        if index is None:
            raise NotLeaderError(self.raft.leader)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        self._waiting[index] = self.raft.term, future
        if not self._feeding:  # all that is proposed in this turn of the loop goes in one message and one write
            self._feeding = True
            loop.call_soon(self._feed)
        return future

    def _feed(self) -> None:
        self._feeding = False
        self.raft.replicate()
        self._after()

    async def confirm_leadership(self) -> None:
        """Return once what the machine holds misses nothing that stood when this was asked.  Raises NotLeaderError."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                while not self.raft.can_serve_read(now_ms()):
                    if self.raft.role is not Role.LEADER:
                        raise NotLeaderError(self.raft.leader)
                    await self._moved.wait()
        except TimeoutError:
            raise NotLeaderError(None) from None

    def change_configuration(self, config: Configuration) -> bool:
        """Another group, one voter more or less; False where that may not be now."""
        done = self.raft.change_configuration(config)
        self._after()
        return done

    def transfer_leadership(self, to: int | None = None) -> bool:
        """Let another lead."""
        done = self.raft.transfer_leadership(now_ms(), to)
        self._after()
        return done

    # The core.

    def _take(self, source: int, message: RaftMessage) -> None:
        self.raft.receive(now_ms(), source, message)
        self._after()

    def _wake(self) -> None:
        self.raft.run_due_timers(now_ms())
        self._after()

    def _after(self) -> None:
        copy = self.raft
        while copy.actions:
            actions, copy.actions = copy.actions, []
            self._carry_out(actions)
            # The machine holds all that is delivered now, and no write of before is left behind.
            if (
                copy.commit_index - copy.snapshot_index >= SNAPSHOT_INTERVAL_ENTRIES
                and self._folding is None
                and not self._ending
            ):
                self._fold(copy.commit_index)
        if copy.disk_verified and not self.storage.disk_verified and self._proved_at is None:
            self._proved_at = max((write.sequence for write in self._writes), default=0)
        if self._timer is not None:
            self._timer.cancel()
        if copy.next_timer_at < float("inf") and not copy.halted:
            self._timer = asyncio.get_running_loop().call_at(copy.next_timer_at / 1000, self._wake)
        self._moved.set()
        self._moved = asyncio.Event()

    def _fold(self, index: int) -> None:
        """Begin a snapshot of the machine as it is now, in place of all entries up to `index`."""
        try:
            aside = self._aside = BackgroundSnapshot(self.state_machine.snapshot)
        except OSError as error:
            self._log_event("no snapshot", {"group": self.group, "error": str(error)})
            return
        self._folding = asyncio.get_running_loop().create_task(self._folded(index, aside))

    async def _folded(self, index: int, aside: BackgroundSnapshot) -> None:
        body = await aside.result()
        self._folding = self._aside = None
        if body is None:
            self._log_event("no snapshot", {"group": self.group, "error": "its process failed"})
        elif not self._ending and not self.raft.halted:
            self.raft.compact(index, body)  # where another snapshot was installed meanwhile, that one stays
            self._after()

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert self._port is not None
                self._port.send(action.to, action.message)
            elif isinstance(action, DurableWrite):
                self._writes.append(action)
                self._news.set()
            elif isinstance(action, EntryCommitted):
                self._committed(action)
            elif isinstance(action, SnapshotInstalled):
                self.state_machine.restore(action.snapshot.body)
            else:
                self._became(action)

    def _committed(self, committed: EntryCommitted) -> None:
        entry = committed.entry
        result = self.state_machine.apply(entry.data) if entry.kind is EntryKind.COMMAND else None
        term, future = self._waiting.pop(entry.index, (0, None))
        if future is not None and not future.done():
            if term == entry.term:
                future.set_result(result)
            else:
                future.set_exception(IndeterminateError("another entry stands in its place: it does not"))

    def _became(self, became: RoleChanged) -> None:
        self._log_event(
            "copy", {"group": self.group, "role": became.role.value, "term": became.term, "leader": became.leader}
        )
        if became.role is not Role.LEADER:
            # Whether they stand, the next leader knows.
            for _, future in self._waiting.values():
                if not future.done():
                    future.set_exception(IndeterminateError("this copy leads no more"))
            self._waiting.clear()

    async def _write(self) -> None:
        while not self._ending:
            await self._news.wait()
            self._news.clear()
            batch, self._writes = self._writes, []
            if not batch or self._ending:
                continue
            try:
                await asyncio.to_thread(self.storage.write, batch)
            except OSError as error:
                self._log_event("copy halted", {"group": self.group, "error": str(error)})
                self.raft.write_failed()
                self._became(RoleChanged(Role.FOLLOWER, self.raft.term, None))
                return
            if self._ending:
                return
            if self._proved_at is not None and batch[-1].sequence >= self._proved_at:
                self.storage.confirm_disk()
                self._proved_at = None
            self.raft.write_completed(now_ms(), batch[-1].sequence)
            self._after()
