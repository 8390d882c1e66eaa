"""One replica of a group as it runs: the Raft node, its disk, its transport and the state machine of the group.

Writes are made by a thread, one sync for all that came together (group commit); what the Raft node promised on them
is sent only once they are durable.  A write that fails halts the replica: it sends nothing more until it is started
again, and the group goes on without it.  Snapshots are made by a child process: the loop does not wait for them.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias

from martenstep.event_log import EventLog
from martenstep.replication.background_snapshot import BackgroundSnapshot
from martenstep.replication.errors import IndeterminateError, NotLeaderError
from martenstep.replication.messages import Configuration, EntryKind, LogEntry, RaftMessage
from martenstep.replication.raft import (
    Action,
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

SNAPSHOT_INTERVAL_ENTRIES = 10_000  # applied since the last snapshot
READ_TIMEOUT_S = 1.0  # for a lease
CommandResult: TypeAlias = Any  # of a state machine; who proposes a command knows its type


class StateMachine(Protocol):
    """What entries feed: the same entries in the same order make the same state."""

    def apply(self, data: bytes) -> CommandResult:
        """Apply one command; gives its result, for who proposed it."""

    def snapshot(self) -> bytes:
        """All of the state."""

    def restore(self, body: bytes) -> None:
        """Put a snapshot in place of the state."""


def now_ms() -> float:
    """The machine's monotonic clock."""
    return time.monotonic() * 1000


@dataclass(slots=True)
class _Proposal:
    """A command of this replica that is not committed yet."""

    term: int
    result: asyncio.Future[CommandResult]

    def fail(self, reason: str) -> None:
        """Whether it will be committed is not known here."""
        if not self.result.done():
            self.result.set_exception(IndeterminateError(reason))


class Replica:
    """One replica.

    `bootstrap` is the group as it began; `find_node` tells which node a replica is on, without it the group's own
    configuration does.
    """

    def __init__(  # noqa: PLR0913 (puts the parts together)
        self,
        group: str,
        storage: ReplicaStorage,
        bootstrap: Configuration,
        state_machine: StateMachine,
        transport: Transport,
        log_event: EventLog,
        settings: RaftSettings | None = None,
        find_node: Callable[[int], str | None] | None = None,
    ) -> None:
        """Restore the state machine from what the storage holds."""
        self.group = group
        self.storage = storage
        self.state_machine = state_machine
        self._log_event = log_event
        self._transport = transport
        self._find_node = find_node or self.find_node
        self.raft = self._restore(bootstrap, settings or RaftSettings())
        self._channel: ReplicaChannel | None = None
        self._stopping = False
        self._proposals: dict[int, _Proposal] = {}  # by index
        self._replication_scheduled = False
        self._queued_writes: list[DurableWrite] = []
        self._writes_queued = asyncio.Event()
        self._writer: asyncio.Task[None] | None = None
        self._disk_verified_by: int | None = None  # the write that makes the end of a recovery durable
        self._timer: asyncio.TimerHandle | None = None  # of the Raft node
        self._changed = asyncio.Event()  # of the Raft node's state
        self._snapshot: BackgroundSnapshot | None = None  # that is being made
        self._compacting: asyncio.Task[None] | None = None

    def _restore(self, bootstrap: Configuration, settings: RaftSettings) -> RaftNode:
        """The Raft node and the state machine's state, as they are stored."""
        storage = self.storage
        stored = storage.read_state()
        if stored.snapshot is not None:
            self.state_machine.restore(stored.snapshot.body)
        rng = random.Random(random.SystemRandom().random())
        return RaftNode(storage.replica_id, stored, bootstrap, settings, rng, now_ms(), storage.disk_verified)

    def start(self) -> None:
        """Take part in the group."""
        self._channel = self._transport.open(self.group, self.raft.replica_id, self._find_node, self._receive)
        self._writer = asyncio.get_running_loop().create_task(self._write_forever())
        self._process_actions()

    @property
    def contacted_nodes(self) -> set[str]:
        """The nodes that other replicas of the group spoke from."""
        return set(self._channel.contacted_nodes.values()) if self._channel is not None else set()

    def find_node(self, replica: int) -> str | None:
        """The node that a replica of the group is on, as far as is known here."""
        return self.raft.find_node(replica)

    async def stop(self) -> None:
        """End.  Leadership is not handed over: `transfer_leadership` does that before."""
        if self._timer is not None:
            self._timer.cancel()
        if self._channel is not None:
            self._channel.close()
        self._stopping = True
        if self._snapshot is not None and self._compacting is not None:
            self._snapshot.cancel()
            await asyncio.gather(self._compacting, return_exceptions=True)
        self._writes_queued.set()
        if self._writer is not None:
            # Not cancelled.  Danger: the thread would write on, its witness too, in folders that the next start holds.
            await asyncio.gather(self._writer, return_exceptions=True)
        self._fail_proposals("this replica ended")

    # What users of the group ask.

    async def propose(self, data: bytes) -> CommandResult:
        """The state machine's result, once the command is committed.

        Raises NotLeaderError, IndeterminateError, ValueError.
        """
        return await self.submit(data)

    def submit(self, data: bytes) -> asyncio.Future[CommandResult]:
        """The state machine's result, once the command is committed, or IndeterminateError.

        Raises NotLeaderError, ValueError at once.
        """
        if len(data) > MAX_ENTRY_BYTES:
            raise ValueError(f"an entry has at most {MAX_ENTRY_BYTES} bytes, this one {len(data)}")
        index = self.raft.propose(data, replicate=False)
        if index is None:
            raise NotLeaderError(self.raft.leader)
        loop = asyncio.get_running_loop()
        result: asyncio.Future[CommandResult] = loop.create_future()
        self._proposals[index] = _Proposal(self.raft.term, result)
        if not self._replication_scheduled:  # all that is proposed in this turn of the loop goes in one message
            self._replication_scheduled = True
            loop.call_soon(self._replicate)
        return result

    def _replicate(self) -> None:
        self._replication_scheduled = False
        self.raft.replicate()
        self._process_actions()

    async def confirm_leadership(self) -> None:
        """Return once the state machine misses nothing that was committed before this was asked.

        Raises NotLeaderError.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                while not self.raft.can_serve_read(now_ms()):
                    if self.raft.role is not Role.LEADER:
                        raise NotLeaderError(self.raft.leader)
                    await self._changed.wait()
        except TimeoutError:
            raise NotLeaderError(None) from None

    def change_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration with one voter more or less in place; False where that may not be now."""
        changed = self.raft.change_configuration(configuration)
        self._process_actions()
        return changed

    def transfer_leadership(self, to: int | None = None) -> bool:
        """Let another replica lead; False where none can."""
        transferring = self.raft.transfer_leadership(now_ms(), to)
        self._process_actions()
        return transferring

    # The Raft node.

    def _receive(self, source: int, message: RaftMessage) -> None:
        self.raft.receive(now_ms(), source, message)
        self._process_actions()

    def _run_timers(self) -> None:
        self.raft.run_due_timers(now_ms())
        self._process_actions()

    def _process_actions(self) -> None:
        """Carry out what the Raft node wants, and wait for its next timer."""
        raft = self.raft
        while raft.actions:
            actions, raft.actions = raft.actions, []
            for action in actions:
                self._process(action)
            # The state machine holds all that is applied now, and no write of before is left behind.
            if raft.commit_index - raft.snapshot_index >= SNAPSHOT_INTERVAL_ENTRIES:
                self._start_snapshot(raft.commit_index)
        if raft.disk_verified and not self.storage.disk_verified and self._disk_verified_by is None:
            self._disk_verified_by = max((write.sequence for write in self._queued_writes), default=0)
        if self._timer is not None:
            self._timer.cancel()
        next_timer_at = raft.next_timer_at
        if next_timer_at < float("inf") and not raft.halted:
            self._timer = asyncio.get_running_loop().call_at(next_timer_at / 1000, self._run_timers)
        self._changed.set()
        self._changed = asyncio.Event()

    def _process(self, action: Action) -> None:
        if isinstance(action, Send):
            assert self._channel is not None
            self._channel.send(action.to, action.message)
        elif isinstance(action, DurableWrite):
            self._queued_writes.append(action)
            self._writes_queued.set()
        elif isinstance(action, EntryCommitted):
            self._apply(action.entry)
        elif isinstance(action, SnapshotInstalled):
            self.state_machine.restore(action.snapshot.body)
        else:
            self._role_changed(action)

    def _apply(self, entry: LogEntry) -> None:
        """Apply a committed entry, and answer who proposed it here."""
        result = self.state_machine.apply(entry.data) if entry.kind is EntryKind.COMMAND else None
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term != entry.term:
            proposal.fail("another entry is committed at its index: it is not")
        elif not proposal.result.done():
            proposal.result.set_result(result)

    def _role_changed(self, change: RoleChanged) -> None:
        fields = {"group": self.group, "role": change.role.value, "term": change.term, "leader": change.leader}
        self._log_event("replica role changed", fields)
        if change.role is not Role.LEADER:
            self._fail_proposals("this replica leads no more")  # whether they are committed, the next leader knows

    def _fail_proposals(self, reason: str) -> None:
        for proposal in self._proposals.values():
            proposal.fail(reason)
        self._proposals.clear()

    # Snapshots.

    def _start_snapshot(self, index: int) -> None:
        """Begin a snapshot of the state machine as it is now, in place of all entries up to `index`."""
        if self._compacting is not None or self._stopping:
            return
        try:
            snapshot = BackgroundSnapshot(self.state_machine.snapshot)
        except OSError as error:
            self._log_snapshot_failed(str(error))
            return
        self._snapshot = snapshot
        self._compacting = asyncio.get_running_loop().create_task(self._compact(index, snapshot))

    async def _compact(self, index: int, snapshot: BackgroundSnapshot) -> None:
        body = await snapshot.result()
        self._compacting = self._snapshot = None
        if body is None:
            self._log_snapshot_failed("its process failed")
        elif not self._stopping and not self.raft.halted:
            self.raft.compact(index, body)  # where another snapshot was installed meanwhile, that one stays
            self._process_actions()

    def _log_snapshot_failed(self, error: str) -> None:
        self._log_event("replica snapshot failed", {"group": self.group, "error": error})

    # Writes.

    async def _write_forever(self) -> None:
        """Write what is queued, until this replica stops or a write fails."""
        while not self._stopping:
            await self._writes_queued.wait()
            self._writes_queued.clear()
            batch, self._queued_writes = self._queued_writes, []
            if not batch or self._stopping:
                continue
            try:
                await asyncio.to_thread(self.storage.write, batch)
            except OSError as error:
                self._halt(error)
                return
            if self._stopping:
                return
            self._writes_completed(batch[-1].sequence)

    def _writes_completed(self, sequence: int) -> None:
        if self._disk_verified_by is not None and sequence >= self._disk_verified_by:
            self.storage.confirm_disk()
            self._disk_verified_by = None
        self.raft.write_completed(now_ms(), sequence)
        self._process_actions()

    def _halt(self, error: OSError) -> None:
        """Promise nothing any more, after a write that failed."""
        self._log_event("replica halted", {"group": self.group, "error": str(error)})
        self.raft.write_failed()
        self._role_changed(RoleChanged(Role.FOLLOWER, self.raft.term, None))
