"""A follower: tails the leader's log, acknowledges what it has on its own disk, and can be promoted by hand.

With `wait_for_follower` at the leader nothing is acknowledged to a door that a follower does not hold: a leader's
machine may be lost with nothing that was acknowledged.  Without it the follower lags: what it had not acknowledged when
the machine was lost is lost with it.

Promotion begins a new term in the follower's log.  A leader of an older term that hears of the new one, from a door or
a follower, is fenced: it refuses all writes with a plain message.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

from martenstep.backoff import Backoff
from martenstep.counter.commit_pipeline import CommitPipeline, rebuild_state
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
from martenstep.counter.state import ENTRY_TERM, CounterLimits, decode_term
from martenstep.storage.files import Disk
from martenstep.storage.log import Writer, likeness, open_log, read_records, records_of

READ_BYTES = 1 << 20
AGAIN_LEAST_MS, AGAIN_MOST_MS = 50.0, 2000.0


class LeaderRejectedError(Exception):
    """The leader will not be followed: a person must look."""


class Follower:
    """A copy of a leader's log."""

    def __init__(self, directory: Path, segment_bytes: int = 64 << 20) -> None:
        self._disk = Disk(directory)
        try:
            opened = open_log(self._disk)
            self.term = rebuild_state(opened, CounterLimits()).term
            self._writer = Writer(self._disk, opened, segment_bytes)
        except BaseException:
            self._disk.close()
            raise
        self._last = 0  # likeness of the last record
        if self._writer.next:
            data, _ = read_records(self._disk, self._writer.next - 1, self._writer.next)
            [entry] = records_of(data, self._writer.next - 1)
            self._last = likeness(self._writer.next - 1, entry)

    @property
    def record_count(self) -> int:
        """Records held."""
        return self._writer.next

    def append_records(self, entries: LogRecords) -> FollowAck:
        """Make records durable; raises LogError where they are not whole, FrameError where they do not follow."""
        if entries.first_index != self._writer.next:
            raise ProtocolError(f"record {entries.first_index} after {self._writer.next - 1}")
        found = records_of(entries.data, entries.first_index)
        self._writer.copy(found)
        self._last = likeness(self._writer.next - 1, found[-1])
        for entry in found:
            if entry[0] == ENTRY_TERM:
                self.term = max(self.term, decode_term(entry))
        return FollowAck(self._writer.next)

    def close(self) -> None:
        """Close the log and let the directory go."""
        self._writer.close()
        self._disk.close()

    async def follow(self, host: str, port: int) -> None:
        """Follow over one connection until it ends; raises RefusedError, OSError, FrameError."""
        reader, writer = await asyncio.open_connection(host, port)
        loop = asyncio.get_running_loop()
        try:
            writer.write(encode(FollowRequest(self.term, self._writer.next, self._last)))
            frames = FrameDecoder()
            while data := await reader.read(READ_BYTES):
                for payload in frames.feed(data):
                    frame = decode(payload)
                    if isinstance(frame, Rejection):
                        if frame.status in (Status.BAD, Status.FENCED, Status.VERSION):
                            raise LeaderRejectedError(f"{frame.status.name}: {frame.reason}")
                        raise ProtocolError(frame.reason)
                    if isinstance(frame, LogRecords):
                        writer.write(encode(await loop.run_in_executor(None, self.append_records, frame)))
        finally:
            writer.close()

    async def run(self, host: str, port: int) -> None:
        """Follow for good, through the leader's restarts; raises RefusedError."""
        backoff = Backoff(AGAIN_LEAST_MS, AGAIN_MOST_MS)
        while True:
            held = self.record_count
            try:
                await self.follow(host, port)
            except (OSError, ProtocolError) as error:
                sys.stderr.write(json.dumps({"event": "leader lost", "error": str(error), "records": held}) + "\n")
            if self.record_count > held:
                backoff.succeeded()
            await asyncio.sleep(backoff.failed() / 1000)


def promote(directory: Path) -> int:
    """Begin a new term in a follower's log: whoever serves it is the leader.  Gives the term."""
    with Disk(directory) as disk:
        keeper = CommitPipeline(disk, CounterLimits())
        term = keeper.begin_term()
        keeper.close()
        return term
