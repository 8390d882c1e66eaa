"""State that all parts of a Raft node share: term, vote, role, log, timers and writes."""

from __future__ import annotations

import random
from collections.abc import Iterable
from functools import partial

from martenstep.replication.messages import (
    Configuration,
    EntryKind,
    LogEntry,
    RaftMessage,
    RecoveryResponse,
    Snapshot,
    decode_configuration,
)
from martenstep.replication.raft.durability import DurabilityTracker
from martenstep.replication.raft.log import IndexedConfiguration, RaftLog
from martenstep.replication.raft.progress import Progress
from martenstep.replication.raft.timers import TimerQueue
from martenstep.replication.raft.types import (
    Action,
    DurableWrite,
    PersistentState,
    RaftSettings,
    Role,
    RoleChanged,
    Send,
)


class RaftState:
    """The state of one replica, and the operations on it that all parts use.

    `bootstrap` is the group's first configuration, which applies until the log contains one.  `disk_verified` says
    whether the disk is known to be in the state in which this replica left it.
    """

    def __init__(  # noqa: PLR0913 (initial state; each part has a different source)
        self,
        replica_id: int,
        stored: PersistentState,
        bootstrap: Configuration,
        settings: RaftSettings,
        rng: random.Random,
        now: float,
        disk_verified: bool = True,
    ) -> None:
        """Start as a follower with the stored state."""
        self.replica_id = replica_id
        self.settings = settings
        self._rng = rng
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.log = RaftLog(stored.entries, stored.snapshot)
        self._bootstrap = bootstrap
        self._restore_configuration(self.log.last_index)
        self.role = Role.FOLLOWER
        self.leader: int | None = None
        self.commit_index = self.log.snapshot_index
        self._applied_index = self.commit_index
        self.disk_verified = disk_verified
        self.halted = False
        self.actions: list[Action] = []
        self._durability = DurabilityTracker(self.log.last_index)
        self._timers = TimerQueue()
        self._election_timer = 0  # number of the current election timer
        self._votes: set[int] = set()
        self.leader_contact_at = now  # it may have acknowledged a leader just before the restart
        self._reset_leadership(now)
        self.lease_expires_at = 0.0
        self._transfer_target: int | None = None
        self._snapshot_chunks: dict[int, bytearray] = {}  # partial snapshots by their last index
        self._log_floor = stored.log_floor  # a candidate's log must reach it, also this replica's own
        self._recovery_responses: dict[int, RecoveryResponse] = {}
        self._recovery_nonce = rng.getrandbits(62)
        self._reset_election_timer(now)

    def _reset_leadership(self, now: float) -> None:
        """Reset the state that only a leader uses."""
        self._progress: dict[int, Progress] = {}
        self._round = 0  # number of the latest heartbeat round in this term
        self._round_sent_at: dict[int, float] = {}
        self._quorum_contact_at = now

    # The log.

    @property
    def last_index(self) -> int:
        """Index of the log's last entry."""
        return self.log.last_index

    @property
    def snapshot_index(self) -> int:
        """The snapshot covers all entries up to this index."""
        return self.log.snapshot_index

    @property
    def configuration_committed(self) -> bool:
        """Whether the current configuration is committed."""
        return self.configuration_index <= self.commit_index

    def _configuration_at(self, index: int) -> IndexedConfiguration:
        """Return the configuration in effect at an index, committed or not."""
        return self.log.configuration_at(index) or IndexedConfiguration(self._bootstrap, 0)

    def _restore_configuration(self, index: int) -> None:
        """Make the latest configuration up to an index of the log the current one."""
        restored = self._configuration_at(index)
        self.configuration, self.configuration_index = restored.configuration, restored.index

    def _adopt_configuration(self, appended: Iterable[LogEntry]) -> None:
        """Make the latest configuration among appended entries the current one, without searching the whole log."""
        for entry in appended:
            if entry.kind is EntryKind.CONFIGURATION:
                self.configuration, self.configuration_index = decode_configuration(entry.data), entry.index

    # Timers.

    @property
    def next_timer_at(self) -> float:
        """Time at which `run_due_timers` must be called, in ms of the caller's clock."""
        return self._timers.next_due_at

    def run_due_timers(self, now: float) -> None:
        """Run all timers that are due."""
        while not self.halted and (timer := self._timers.pop_due(now)) is not None:
            timer.callback(now)

    def _reset_election_timer(self, now: float) -> None:
        """Restart the election timer with a new random timeout."""
        self._election_timer += 1
        shortest = self.settings.election_timeout_ms
        due_at = now + self._rng.uniform(shortest, 2 * shortest)
        self._timers.schedule(due_at, partial(self._election_timed_out, timer=self._election_timer))

    def _election_timed_out(self, now: float, timer: int) -> None:
        """Handle the expiry of election timer number `timer`."""
        raise NotImplementedError

    # Durable writes and messages.

    def _persist(
        self,
        truncate_from: int | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Request a durable write of the term, the vote, the log floor and a change of the log."""
        write = self._durability.next_write(self.log.last_index)
        self.actions.append(
            DurableWrite(write, self.term, self.voted_for, self._log_floor, truncate_from, entries, snapshot)
        )

    def _send(self, to: int, message: RaftMessage) -> None:
        """Send a message that depends on no durable write."""
        self.actions.append(Send(to, message))

    def _send_when_durable(self, to: int, message: RaftMessage) -> None:
        """Send a message once all writes so far are durable."""
        if self._durability.all_durable:
            self._send(to, message)
        else:
            self._durability.hold_back(Send(to, message))

    # Roles.

    def _change_role(self, role: Role, leader: int | None) -> None:
        """Change to a role; `leader` is None if the leader is unknown."""
        changed = (role, leader) != (self.role, self.leader)
        self.role, self.leader = role, leader
        if role is not Role.LEADER:
            self.lease_expires_at = 0.0
            self._progress.clear()
            self._transfer_target = None
        if changed:
            self.actions.append(RoleChanged(role, self.term, leader))

    def _step_down(self, now: float) -> None:
        """Become a follower without a known leader, and restart the election timer."""
        self._change_role(Role.FOLLOWER, None)
        self._reset_election_timer(now)

    def _enter_term(self, now: float, term: int) -> None:
        """Enter a higher term as a follower."""
        self.term, self.voted_for = term, None
        self._persist()
        self._step_down(now)

    @property
    def is_below_log_floor(self) -> bool:
        """Whether the log ends before entries that this replica may have acknowledged; a leader has to send them."""
        return self.log.last_position < self._log_floor

    def _progress_for(self, replica: int) -> Progress:
        """Return the progress of a replica in this leader's term, created at the first use."""
        progress = self._progress.get(replica)
        if progress is None:
            progress = self._progress[replica] = Progress(self.log.last_index + 1)
        return progress
