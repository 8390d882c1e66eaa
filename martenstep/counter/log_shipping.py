"""The leader's side of its followers: sends them the log, and waits for what they hold."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from martenstep.counter.commit_pipeline import CommitGroup, CommitPipeline
from martenstep.counter.connection import GatewayConnection
from martenstep.counter.protocol import (
    PROTOCOL_VERSION,
    FollowRequest,
    LogRecords,
    Rejection,
    Status,
    encode,
)
from martenstep.storage.log import RECORD, LogError, decode_records, fingerprint_entry, read_records

MAX_FRAME_RECORD_BYTES = 60_000  # below the maximum of a frame


def count_records(data: bytes) -> int:
    """Count the records in some bytes."""
    offset = 0
    count = 0
    while offset < len(data):
        offset += RECORD.size + RECORD.unpack_from(data, offset)[0]
        count += 1
    return count


def split_records(first_index: int, data: bytes) -> Iterator[LogRecords]:
    """Split records over frames, between records."""
    frame_index = index = first_index
    begin = offset = 0
    while offset < len(data):
        end = offset + RECORD.size + RECORD.unpack_from(data, offset)[0]
        if end - begin > MAX_FRAME_RECORD_BYTES and offset > begin:
            yield LogRecords(frame_index, data[begin:offset])
            begin = offset
            frame_index = index
        offset = end
        index += 1
    yield LogRecords(frame_index, data[begin:])


@dataclass(frozen=True, slots=True)
class RecordRange:
    """Records of the log, one behind the other."""

    first_index: int
    data: bytes
    next_index: int


class LogShipper:
    """What all followers share: the records that are still in memory, and who holds how many."""

    def __init__(self, pipeline: CommitPipeline[Any], recent_bytes: int) -> None:
        """Records of `recent_bytes` are kept in memory for followers that keep up."""
        self.pipeline = pipeline
        self.links: set[FollowerLink] = set()
        self.new_records = asyncio.Event()  # set, and replaced, when more is durable
        self._recent_bytes_limit = recent_bytes
        self._recent: deque[RecordRange] = deque()
        self._recent_bytes = 0
        self._progressed = asyncio.Event()

    def publish(self, group: CommitGroup[Any]) -> int:
        """Take a group that was written; returns the number behind its last record."""
        next_index = group.first_index + count_records(group.records)
        self._recent.append(RecordRange(group.first_index, group.records, next_index))
        self._recent_bytes += len(group.records)
        while self._recent_bytes > self._recent_bytes_limit and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft().data)
        published, self.new_records = self.new_records, asyncio.Event()
        published.set()
        return next_index

    def forget_recent(self) -> None:
        """Drop the records in memory: the log was read anew."""
        self._recent.clear()
        self._recent_bytes = 0

    def find_recent(self, first_index: int) -> RecordRange | None:
        """Return durable records from one on, if a group that is still in memory begins with it."""
        for recent in reversed(self._recent):  # a follower that keeps up wants the last
            if recent.first_index <= first_index:
                durable = recent.next_index <= self.pipeline.durable_count
                return recent if recent.first_index == first_index and durable else None
        return None

    async def read_stored(self, first_index: int, until_index: int) -> RecordRange:
        """Read records that may no longer be in memory, up to the end of their segment; raises LogError, OSError."""
        data, next_index = await asyncio.get_running_loop().run_in_executor(
            None, read_records, self.pipeline.files, first_index, until_index
        )
        return RecordRange(first_index, data, next_index)

    def on_progress(self) -> None:
        """Wake those that wait, as a follower holds more."""
        self._progressed.set()

    async def wait_for_follower(self, next_index: int) -> None:
        """Wait until a follower holds all before this."""
        while not any(link.acknowledged_index >= next_index for link in self.links):
            self._progressed.clear()
            await self._progressed.wait()


class FollowerLink:
    """One follower: what it has been sent, and what it holds."""

    def __init__(
        self, shipper: LogShipper, connection: GatewayConnection, writable: asyncio.Event, request: FollowRequest
    ) -> None:
        """Begin to ship.  `writable` is set while the connection takes more bytes, and once it is lost."""
        self._shipper = shipper
        self._connection = connection
        self._writable = writable
        self._request = request
        self.acknowledged_index = 0  # records before it are durable there
        self._sent_index = request.next_index
        self._task = asyncio.get_running_loop().create_task(self._ship())

    def stop(self) -> None:
        """Stop, as the connection is lost."""
        self._task.cancel()
        self._shipper.links.discard(self)

    def on_ack(self, next_index: int) -> None:
        """Note that the follower holds all before this."""
        self.acknowledged_index = max(self.acknowledged_index, next_index)
        self._shipper.on_progress()

    async def _check_request(self) -> Rejection | None:
        """Check that the follower's log is the beginning of this one."""
        request = self._request
        pipeline = self._shipper.pipeline
        if request.version != PROTOCOL_VERSION:
            reason = f"version {request.version} is not spoken here; {PROTOCOL_VERSION} is"
            return Rejection(Status.VERSION, reason)
        if pipeline.fence_if_superseded(request.term):
            return Rejection(Status.FENCED, pipeline.failure)
        if request.next_index > pipeline.durable_count:
            reason = (
                f"the follower holds {request.next_index} records, this log {pipeline.durable_count}: they have parted"
            )
            return Rejection(Status.BAD, reason)
        if request.next_index:
            return await self._check_last_record(request.next_index - 1)
        return None

    async def _check_last_record(self, last_index: int) -> Rejection | None:
        try:
            records = await self._shipper.read_stored(last_index, last_index + 1)
            [entry] = decode_records(records.data, last_index)
        except (LogError, ValueError) as error:
            return Rejection(Status.BAD, f"{error}: copy the directory first")
        except OSError as error:
            return Rejection(Status.UNWRITTEN, f"the log cannot be read: {error}")
        if fingerprint_entry(last_index, entry) != self._request.previous_checksum:
            return Rejection(Status.BAD, f"the logs part before record {last_index + 1}")
        return None

    async def _ship(self) -> None:
        rejection = await self._check_request()
        if rejection is not None:
            self._connection.reject(rejection.status, rejection.reason)
            return
        self._shipper.links.add(self)
        self.acknowledged_index = self._sent_index
        while True:
            new_records = self._shipper.new_records
            while self._sent_index < self._shipper.pipeline.durable_count:
                if not await self._ship_next():
                    return
            await new_records.wait()

    async def _ship_next(self) -> bool:
        """Send the next records; False if the connection ends."""
        shipper = self._shipper
        try:
            records = shipper.find_recent(self._sent_index)
            if records is None:
                records = await shipper.read_stored(self._sent_index, shipper.pipeline.durable_count)
        except LogError as error:
            self._connection.reject(Status.BAD, f"{error}: copy the directory first")
            return False
        except OSError as error:  # a segment that was compacted away meanwhile, or a disk: it may ask again
            self._connection.reject(Status.UNWRITTEN, f"the log cannot be read: {error}")
            return False
        for frame in split_records(self._sent_index, records.data):
            await self._writable.wait()  # it is waited for, not disconnected as a gateway is
            transport = self._connection.transport
            if transport is None or transport.is_closing():
                return False
            transport.write(encode(frame))
        self._sent_index = records.next_index
        return True
