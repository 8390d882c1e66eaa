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
from martenstep.counter.commit_pipeline import Keeper, rebuild
from martenstep.counter.protocol import Ack, Entries, Follow, FrameError, Frames, Refused, Status, decode, encode
from martenstep.counter.state import ENTRY_TERM, Limits, term_of
from martenstep.storage.files import Disk
from martenstep.storage.log import LogWriter, decode_records, fingerprint_entry, open_log, read_records

READ_BYTES = 1 << 20
AGAIN_LEAST_MS, AGAIN_MOST_MS = 50.0, 2000.0


class RefusedError(Exception):
    """The leader will not be followed: a person must look."""


class Follower:
    """A copy of a leader's log."""

    def __init__(self, directory: Path, segment_bytes: int = 64 << 20) -> None:
        self._disk = Disk(directory)
        try:
            opened = open_log(self._disk)
            self.term = rebuild(opened, Limits()).term
            self._writer = LogWriter(self._disk, opened, segment_bytes)
        except BaseException:
            self._disk.close()
            raise
        self._last = 0  # likeness of the last record
        if self._writer.next:
            data, _ = read_records(self._disk, self._writer.next - 1, self._writer.next)
            [entry] = decode_records(data, self._writer.next - 1)
            self._last = fingerprint_entry(self._writer.next - 1, entry)

    @property
    def records(self) -> int:
        """Records held."""
        return self._writer.next

    def take(self, entries: Entries) -> Ack:
        """Make records durable; raises LogError where they are not whole, FrameError where they do not follow."""
        if entries.first != self._writer.next:
            raise FrameError(f"record {entries.first} after {self._writer.next - 1}")
        found = decode_records(entries.data, entries.first)
        self._writer.append_copied(found)
        self._last = fingerprint_entry(self._writer.next - 1, found[-1])
        for entry in found:
            if entry[0] == ENTRY_TERM:
                self.term = max(self.term, term_of(entry))
        return Ack(self._writer.next)

    def close(self) -> None:
        """Close the log and let the directory go."""
        self._writer.close()
        self._disk.close()

    async def follow(self, host: str, port: int) -> None:
        """Follow over one connection until it ends; raises RefusedError, OSError, FrameError."""
        reader, writer = await asyncio.open_connection(host, port)
        loop = asyncio.get_running_loop()
        try:
            writer.write(encode(Follow(self.term, self._writer.next, self._last)))
            frames = Frames()
            while data := await reader.read(READ_BYTES):
                for payload in frames.feed(data):
                    frame = decode(payload)
                    if isinstance(frame, Refused):
                        if frame.status in (Status.BAD, Status.FENCED, Status.VERSION):
                            raise RefusedError(f"{frame.status.name}: {frame.reason}")
                        raise FrameError(frame.reason)
                    if isinstance(frame, Entries):
                        writer.write(encode(await loop.run_in_executor(None, self.take, frame)))
        finally:
            writer.close()

    async def run(self, host: str, port: int) -> None:
        """Follow for good, through the leader's restarts; raises RefusedError."""
        backoff = Backoff(AGAIN_LEAST_MS, AGAIN_MOST_MS)
        while True:
            held = self.records
            try:
                await self.follow(host, port)
            except (OSError, FrameError) as error:
                sys.stderr.write(json.dumps({"event": "leader lost", "error": str(error), "records": held}) + "\n")
            if self.records > held:
                backoff.succeeded()
            await asyncio.sleep(backoff.failed() / 1000)


def promote(directory: Path) -> int:
    """Begin a new term in a follower's log: whoever serves it is the leader.  Gives the term."""
    with Disk(directory) as disk:
        keeper = Keeper(disk, Limits())
        term = keeper.begin_term()
        keeper.close()
        return term
