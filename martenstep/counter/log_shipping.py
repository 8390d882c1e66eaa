"""Log shipping: the leader sends its log to followers, and waits for their acknowledgements."""

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

MAX_FRAME_RECORD_BYTES = 60_000  # below the maximum size of a frame


def count_records(data: bytes) -> int:
    """Count the records in encoded data."""
    offset = 0
    count = 0
    while offset < len(data):
        offset += RECORD.size + RECORD.unpack_from(data, offset)[0]
        count += 1
    return count


def split_records(first_index: int, data: bytes) -> Iterator[LogRecords]:
    """Split records into frames at record boundaries."""
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
    """Consecutive records of the log."""

    first_index: int
    data: bytes
    next_index: int


class LogShipper:
    """State shared by all followers: the records in memory, and the links with their acknowledged records."""

    def __init__(self, pipeline: CommitPipeline[Any], recent_bytes: int) -> None:
        """`recent_bytes` bounds the records kept in memory for followers that keep up."""
        self.pipeline = pipeline
        self.links: set[FollowerLink] = set()
        self.new_records = asyncio.Event()  # set and replaced when more records are durable
        self._recent_bytes_limit = recent_bytes
        self._recent: deque[RecordRange] = deque()
        self._recent_bytes = 0
        self._progressed = asyncio.Event()

    def publish(self, group: CommitGroup[Any]) -> int:
        """Publish a written group to the followers; returns the index after its last record."""
        next_index = group.first_index + count_records(group.records)
        self._recent.append(RecordRange(group.first_index, group.records, next_index))
        self._recent_bytes += len(group.records)
        while self._recent_bytes > self._recent_bytes_limit and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft().data)
        published, self.new_records = self.new_records, asyncio.Event()
        published.set()
        return next_index

    def clear_recent(self) -> None:
        """Remove the records in memory, after the log was read again."""
        self._recent.clear()
        self._recent_bytes = 0

    def find_recent(self, first_index: int) -> RecordRange | None:
        """Return durable records from `first_index` on, if a group in memory begins with that record."""
        for recent in reversed(self._recent):  # a follower that keeps up needs the last group
            if recent.first_index <= first_index:
                durable = recent.next_index <= self.pipeline.durable_count
                return recent if recent.first_index == first_index and durable else None
        return None

    async def read_stored(self, first_index: int, until_index: int) -> RecordRange:
        """Read records from disk, at most up to the end of their segment; raises LogError, OSError."""
        data, next_index = await asyncio.get_running_loop().run_in_executor(
            None, read_records, self.pipeline.files, first_index, until_index
        )
        return RecordRange(first_index, data, next_index)

    def on_progress(self) -> None:
        """Wake waiting tasks after a follower acknowledged more records."""
        self._progressed.set()

    async def wait_for_follower(self, next_index: int) -> None:
        """Wait until one follower holds all records before `next_index`."""
        while not any(link.acknowledged_index >= next_index for link in self.links):
            self._progressed.clear()
            await self._progressed.wait()


class FollowerLink:
    """The link to one follower: what was sent to it, and what it has acknowledged."""

    def __init__(
        self, shipper: LogShipper, connection: GatewayConnection, writable: asyncio.Event, request: FollowRequest
    ) -> None:
        """Begin to ship.  `writable` is set while the connection accepts more bytes, and once it is lost."""
        self._shipper = shipper
        self._connection = connection
        self._writable = writable
        self._request = request
        self.acknowledged_index = 0  # records before it are durable at the follower
        self._sent_index = request.next_index
        self._task = asyncio.get_running_loop().create_task(self._ship())

    def stop(self) -> None:
        """Stop shipping; called when the connection is lost."""
        self._task.cancel()
        self._shipper.links.discard(self)

    def on_ack(self, next_index: int) -> None:
        """Record that the follower holds all records before `next_index`."""
        self.acknowledged_index = max(self.acknowledged_index, next_index)
        self._shipper.on_progress()

    async def _check_request(self) -> Rejection | None:
        """Check that the follower's log is a prefix of this one; returns the rejection if it is not."""
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
        """Send the next records; returns False if the connection ends."""
        shipper = self._shipper
        try:
            records = shipper.find_recent(self._sent_index)
            if records is None:
                records = await shipper.read_stored(self._sent_index, shipper.pipeline.durable_count)
        except LogError as error:
            self._connection.reject(Status.BAD, f"{error}: copy the directory first")
            return False
        except OSError as error:  # a segment that was compacted away meanwhile, or a disk failure: a retry may work
            self._connection.reject(Status.UNWRITTEN, f"the log cannot be read: {error}")
            return False
        for frame in split_records(self._sent_index, records.data):
            await self._writable.wait()  # a slow follower delays shipping; only slow gateways are disconnected
            transport = self._connection.transport
            if transport is None or transport.is_closing():
                return False
            transport.write(encode(frame))
        self._sent_index = records.next_index
        return True
