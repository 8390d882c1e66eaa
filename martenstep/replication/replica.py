"""One running replica of a group: the Raft node, its disk, its transport and the group's state machine.

A thread performs the writes, with one sync for all writes queued so far (group commit).  Votes and acknowledgements
that depend on a write are sent only once it is durable.  A failed write halts the replica: it sends nothing until it is
restarted, and the group continues without it.  A child process makes snapshots, so that the event loop does not wait.
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

SNAPSHOT_INTERVAL_ENTRIES = 10_000  # entries applied since the last snapshot
READ_TIMEOUT_S = 1.0  # for a leader to obtain a lease
CommandResult: TypeAlias = Any  # the type depends on the state machine


class StateMachine(Protocol):
    """The deterministic state of a group: the same entries in the same order produce the same state."""

    def apply(self, data: bytes) -> CommandResult:
        """Apply one command; returns its result for the proposer."""

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot."""


def now_ms() -> float:
    """Return the machine's monotonic clock in ms."""
    return time.monotonic() * 1000


@dataclass(slots=True)
class _Proposal:
    """A command proposed here that is not committed yet."""

    term: int
    result: asyncio.Future[CommandResult]

    def fail(self, reason: str) -> None:
        """Report that the command may or may not be committed."""
        if not self.result.done():
            self.result.set_exception(IndeterminateError(reason))


class Replica:
    """One replica.

    `bootstrap` is the group's first configuration.  `find_node` returns the node of a replica; without it, the group's
    configuration is used.
    """

    def __init__(  # noqa: PLR0913 (combines all parts)
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
        """Restore the state machine and the Raft node from the storage."""
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
        self._disk_verified_by: int | None = None  # write that makes the result of a recovery durable
        self._timer: asyncio.TimerHandle | None = None  # next timer of the Raft node
        self._changed = asyncio.Event()  # set, then replaced, whenever actions were processed
        self._snapshot: BackgroundSnapshot | None = None  # in progress
        self._compacting: asyncio.Task[None] | None = None

    def _restore(self, bootstrap: Configuration, settings: RaftSettings) -> RaftNode:
        """Restore the state machine's state from the storage, and return the Raft node."""
        storage = self.storage
        stored = storage.read_state()
        if stored.snapshot is not None:
            self.state_machine.restore(stored.snapshot.body)
        rng = random.Random(random.SystemRandom().random())
        return RaftNode(storage.replica_id, stored, bootstrap, settings, rng, now_ms(), storage.disk_verified)

    def start(self) -> None:
        """Start to take part in the group."""
        self._channel = self._transport.open(self.group, self.raft.replica_id, self._find_node, self._receive)
        self._writer = asyncio.get_running_loop().create_task(self._write_forever())
        self._process_actions()

    @property
    def sender_nodes(self) -> set[str]:
        """The nodes from which other replicas of the group have sent messages."""
        return set(self._channel.sender_nodes.values()) if self._channel is not None else set()

    def find_node(self, replica: int) -> str | None:
        """Return the node of a replica of the group; None if it is not known here."""
        return self.raft.find_node(replica)

    async def stop(self) -> None:
        """Stop.  Leadership is not transferred; call `transfer_leadership` before if it should be."""
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
            # The writer is not cancelled: its thread would continue to write the log and the witness in folders that
            # the next start may have locked by then.
            await asyncio.gather(self._writer, return_exceptions=True)
        self._fail_proposals("this replica stopped")

    # Requests by users of the group.

    async def propose(self, data: bytes) -> CommandResult:
        """Propose a command; returns the state machine's result once it is committed.

        Raises NotLeaderError, IndeterminateError, ValueError.
        """
        return await self.submit(data)

    def submit(self, data: bytes) -> asyncio.Future[CommandResult]:
        """Propose a command; the future gets the result once it is committed, or IndeterminateError.

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
        if not self._replication_scheduled:  # one message carries all proposals of this loop iteration
            self._replication_scheduled = True
            loop.call_soon(self._replicate)
        return result

    def _replicate(self) -> None:
        self._replication_scheduled = False
        self.raft.replicate()
        self._process_actions()

    async def confirm_leadership(self) -> None:
        """Return once the state machine has applied everything that was committed before this call.

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
        """Propose a configuration that adds or removes at most one voter; False if it is not allowed now."""
        changed = self.raft.change_configuration(configuration)
        self._process_actions()
        return changed

    def transfer_leadership(self, to: int | None = None) -> bool:
        """Start handing leadership to another replica; False if there is none that could lead."""
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
        """Carry out the Raft node's actions, and schedule its next timer."""
        raft = self.raft
        while raft.actions:
            actions, raft.actions = raft.actions, []
            for action in actions:
                self._process(action)
            # All actions are processed: the state machine is at the commit index, and all writes before it are queued.
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
        """Apply a committed entry, and complete its proposal if it was proposed here."""
        result = self.state_machine.apply(entry.data) if entry.kind is EntryKind.COMMAND else None
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term != entry.term:
            proposal.fail("an entry of another term was committed at its index")
        elif not proposal.result.done():
            proposal.result.set_result(result)

    def _role_changed(self, change: RoleChanged) -> None:
        fields = {"group": self.group, "role": change.role.value, "term": change.term, "leader": change.leader}
        self._log_event("replica role changed", fields)
        if change.role is not Role.LEADER:
            self._fail_proposals("this replica is no longer the leader")  # the next leader may still commit them

    def _fail_proposals(self, reason: str) -> None:
        for proposal in self._proposals.values():
            proposal.fail(reason)
        self._proposals.clear()

    # Snapshots.

    def _start_snapshot(self, index: int) -> None:
        """Start a snapshot of the state machine's current state, to replace all entries up to `index`."""
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
            self._log_snapshot_failed("the snapshot process failed")
        elif not self._stopping and not self.raft.halted:
            self.raft.compact(index, body)  # has no effect if a later snapshot was installed meanwhile
            self._process_actions()

    def _log_snapshot_failed(self, error: str) -> None:
        self._log_event("replica snapshot failed", {"group": self.group, "error": error})

    # Writes.

    async def _write_forever(self) -> None:
        """Perform queued writes until this replica stops or a write fails."""
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
        """Halt the replica after a failed write."""
        self._log_event("replica halted", {"group": self.group, "error": str(error)})
        self.raft.write_failed()
        self._role_changed(RoleChanged(Role.FOLLOWER, self.raft.term, None))
