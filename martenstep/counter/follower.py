"""A follower: it copies the leader's log, acknowledges records that are durable, and can be promoted by hand.

With `wait_for_follower` the leader acknowledges a command to a gateway only after a follower holds it, so the loss of
the leader's machine loses nothing that was acknowledged.  Without it the follower may lag: records that it had not
acknowledged are lost with the leader's machine.

Promotion begins a new term in the follower's log.  A leader of an older term that receives the new term from a gateway
or a follower is fenced: it rejects all writes, and names the new term.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import NoReturn

from martenstep.backoff import Backoff
from martenstep.counter.commit_pipeline import DEFAULT_SEGMENT_BYTES, CommitPipeline, rebuild_state
from martenstep.counter.errors import CounterError
from martenstep.counter.log_entries import ENTRY_TERM, decode_term
from martenstep.counter.protocol import (
    FollowAck,
    FollowRequest,
    FrameDecoder,
    LogRecords,
    ProtocolError,
    Rejection,
    Status,
    decode,
    encode,
)
from martenstep.counter.state import CounterLimits
from martenstep.storage.files import Disk
from martenstep.storage.log import LogWriter, decode_records, fingerprint_entry, open_log, read_records

READ_BYTES = 1 << 20
MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 2000.0
FINAL_STATUSES = (Status.BAD, Status.FENCED, Status.VERSION)


class LeaderRejectedError(CounterError):
    """The leader refuses to be followed, and a retry cannot help: a person must intervene."""

    def __init__(self, status: Status, reason: str) -> None:
        """`status` and `reason` are those of the leader's rejection."""
        super().__init__(f"{status.name}: {reason}")
        self.status = status
        self.reason = reason


class Follower:
    """A replica of a leader's log."""

    def __init__(self, directory: Path, segment_bytes: int = DEFAULT_SEGMENT_BYTES) -> None:
        """Open the log in a directory; raises LogError, LockedError, OSError."""
        self._disk = Disk(directory)
        try:
            opened = open_log(self._disk)
            self.term = rebuild_state(opened, CounterLimits()).term
            self._writer = LogWriter(self._disk, opened, segment_bytes)
        except BaseException:
            self._disk.close()
            raise
        self._last_checksum = 0
        if self._writer.next:
            last_index = self._writer.next - 1
            data, _ = read_records(self._disk, last_index, self._writer.next)
            [entry] = decode_records(data, last_index)
            self._last_checksum = fingerprint_entry(last_index, entry)

    @property
    def record_count(self) -> int:
        """The number of records held."""
        return self._writer.next

    def append_records(self, records: LogRecords) -> FollowAck:
        """Make records durable; raises LogError if they are incomplete, ProtocolError if they leave a gap."""
        if records.first_index != self._writer.next:
            raise ProtocolError(f"expected records from {self._writer.next}, got records from {records.first_index}")
        entries = decode_records(records.data, records.first_index)
        self._writer.append_copied(entries)
        self._last_checksum = fingerprint_entry(self._writer.next - 1, entries[-1])
        for entry in entries:
            if entry[0] == ENTRY_TERM:
                self.term = max(self.term, decode_term(entry))
        return FollowAck(self._writer.next)

    def close(self) -> None:
        """Close the log, and unlock the directory."""
        self._writer.close()
        self._disk.close()

    async def follow(self, host: str, port: int) -> None:
        """Follow the leader over one connection until it ends; raises LeaderRejectedError, OSError, ProtocolError."""
        reader, writer = await asyncio.open_connection(host, port)
        loop = asyncio.get_running_loop()
        try:
            writer.write(encode(FollowRequest(self.term, self._writer.next, self._last_checksum)))
            decoder = FrameDecoder()
            while data := await reader.read(READ_BYTES):
                for payload in decoder.feed(data):
                    frame = decode(payload)
                    if isinstance(frame, Rejection):
                        self._raise_rejection(frame)
                    if isinstance(frame, LogRecords):
                        writer.write(encode(await loop.run_in_executor(None, self.append_records, frame)))
        finally:
            writer.close()

    @staticmethod
    def _raise_rejection(rejection: Rejection) -> NoReturn:
        if rejection.status in FINAL_STATUSES:
            raise LeaderRejectedError(rejection.status, rejection.reason)
        raise ProtocolError(rejection.reason)

    async def run(self, host: str, port: int) -> None:
        """Follow permanently, with reconnects after failures; raises LeaderRejectedError."""
        backoff = Backoff(MIN_RETRY_MS, MAX_RETRY_MS)
        while True:
            records_before = self.record_count
            try:
                await self.follow(host, port)
            except (OSError, ProtocolError) as error:
                line = {"event": "leader lost", "error": str(error), "records": records_before}
                sys.stderr.write(json.dumps(line) + "\n")
            if self.record_count > records_before:
                backoff.succeeded()
            await asyncio.sleep(backoff.failed() / 1000)


def promote(directory: Path) -> int:
    """Begin a new term in a follower's log, and return it; a service on that log is then the leader."""
    with Disk(directory) as disk:
        pipeline: CommitPipeline[None] = CommitPipeline(disk, CounterLimits())
        term = pipeline.begin_term()
        pipeline.close()
        return term
