"""Snapshots: log compaction, and transfer in chunks to replicas that need removed entries (thesis, chapter 5)."""

from __future__ import annotations

from martenstep.replication.messages import (
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Snapshot,
)
from martenstep.replication.raft.lease import LeaderLease
from martenstep.replication.raft.progress import Progress
from martenstep.replication.raft.types import SnapshotInstalled

SNAPSHOT_CHUNK_BYTES = 32 << 10


class SnapshotTransfer(LeaderLease):
    """Log compaction, and sending and receiving InstallSnapshot."""

    @property
    def snapshot(self) -> Snapshot | None:
        """The snapshot that replaces the beginning of the log."""
        return self.log.snapshot

    def compact(self, index: int, body: bytes) -> bool:
        """Replace all entries up to `index` by `body`, the state after them; False if `index` cannot be compacted."""
        term = self.log.term_at(index)
        if not self.log.snapshot_index < index <= self._applied_index or term is None:
            return False
        snapshot = Snapshot(index, term, self._configuration_at(index).configuration, body)
        self.log.compact(snapshot)
        self._persist(snapshot=snapshot)
        return True

    def _send_snapshot_chunk(self, progress: Progress, replica: int, retransmit: bool) -> None:
        """Send the next chunk, one in flight at a time; `retransmit` resends a chunk that may have been lost."""
        snapshot = self.log.snapshot
        assert snapshot is not None
        if progress.snapshot_offset is None or progress.snapshot_index != snapshot.index:
            progress.snapshot_offset, progress.snapshot_index = 0, snapshot.index
        elif not retransmit:
            return
        offset = progress.snapshot_offset
        message = InstallSnapshot(
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.configuration,
            offset,
            snapshot.body[offset : offset + SNAPSHOT_CHUNK_BYTES],
            len(snapshot.body),
            self._round,
        )
        self._send(replica, message)

    def _handle_install_snapshot(self, now: float, source: int, message: InstallSnapshot) -> None:
        """Collect a leader's chunks, and install the snapshot once it is complete."""
        if not self._accept_leader(now, source, message.term):
            return
        index = message.last_included_index
        if index <= self.commit_index:
            self._send_when_durable(source, AppendEntriesResponse(self.term, True, index, message.round))
            return
        received = self._receive_chunk(message)
        if len(received) < message.total_bytes:
            self._send_when_durable(source, InstallSnapshotResponse(self.term, index, len(received), message.round))
            return
        del self._snapshot_chunks[index]
        self._install_snapshot(Snapshot(index, message.last_included_term, message.configuration, bytes(received)))
        self._send_when_durable(source, AppendEntriesResponse(self.term, True, index, message.round))

    def _receive_chunk(self, message: InstallSnapshot) -> bytearray:
        """Append a chunk to the received part of its snapshot, and discard older partial snapshots."""
        index = message.last_included_index
        received = self._snapshot_chunks.setdefault(index, bytearray())
        for older in [older for older in self._snapshot_chunks if older < index]:
            del self._snapshot_chunks[older]
        if message.offset == len(received):
            received += message.data
        return received

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot; later entries are kept if the log matches the snapshot."""
        log_continues = self.log.term_at(snapshot.index) == snapshot.term
        if log_continues:
            self.log.compact(snapshot)
        else:
            self.log.reset(snapshot)
        self._restore_configuration(self.log.last_index)
        self._persist(truncate_from=None if log_continues else snapshot.index + 1, snapshot=snapshot)
        self.commit_index = self._applied_index = snapshot.index
        self.actions.append(SnapshotInstalled(snapshot))

    def _handle_install_snapshot_response(self, now: float, source: int, response: InstallSnapshotResponse) -> None:
        """Send the next chunk."""
        progress = self._record_round(now, source, response.round)
        index = response.last_included_index
        if progress.snapshot_offset is None or progress.snapshot_index != index:
            return
        if self.log.snapshot_index == index:
            progress.snapshot_offset = response.next_offset
            self._send_snapshot_chunk(progress, source, retransmit=True)
