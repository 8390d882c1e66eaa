"""State exchange (anti-entropy): two members compare bucket digests and exchange the records of differing buckets."""

from __future__ import annotations

from martenstep.membership.actions import EventKind
from martenstep.membership.codec import (
    ExchangeDone,
    PullRequest,
    PullResponse,
    PushState,
    decode_frame,
    encode,
)
from martenstep.membership.core_parts import CoreParts
from martenstep.membership.errors import DropReason, ProtocolError
from martenstep.membership.exchange_dialer import ExchangePurpose
from martenstep.membership.member import MemberRecord, MemberState, SelfReport
from martenstep.membership.member_table import BUCKET_COUNT, bucket_index
from martenstep.membership.record_merger import RecordMerger
from martenstep.membership.settings import Stage

STALE_TABLE_SHARE = 0.5  # of `forget_after_ms`; after receiving nothing for longer, a table may be outdated
UNKNOWN_PRECEDENCE = (-1, 0, 0, 0)  # lower than the precedence of any record


class StateExchange:
    """Handles the frames of exchanges, for the member that opens one and for the member that serves it."""

    def __init__(self, parts: CoreParts, merger: RecordMerger) -> None:
        """Use the components in `parts`; the exchange itself holds no state."""
        self._node = parts.node
        self._merger = merger
        self._suspicions = parts.suspicions
        self._partitions = parts.partitions
        self._joiner = parts.joiner
        self._dialer = parts.dialer

    # Serving an exchange.

    def serve(self, now: float, body: bytes) -> bytes:
        """Process a frame of an exchange that another member opened and return the answer; raises ProtocolError."""
        frame = decode_frame(body)
        if self._node.stage in (Stage.NAME_CONFLICT, Stage.CLAIMING_NAME, Stage.LEFT):
            raise ProtocolError(DropReason.NOT_A_MEMBER)
        if not isinstance(frame, ExchangeDone):
            self._partitions.message_received(now)
        if isinstance(frame, PullRequest):
            return self._serve_pull(now, frame)
        if isinstance(frame, PushState):
            self._merger.apply_all(now, frame.records)
            return encode(ExchangeDone())
        raise ProtocolError(DropReason.UNEXPECTED_FRAME)

    def _serve_pull(self, now: float, request: PullRequest) -> bytes:
        node = self._node
        digests = node.table.bucket_digests
        buckets = {number for number in range(BUCKET_COUNT) if request.digests[number] != digests[number]}
        records = node.table.in_buckets(buckets)
        requester = request.own_record
        known = node.table.get(requester.name)
        if known is not None and bucket_index(known.name) not in buckets:
            records.append(known)
        response = encode(PullResponse(node.sender, node.record, sorted(buckets), records))
        if node.stage is Stage.JOINING and requester.name != node.record.name:
            self._joiner.mark_joined(now)
        if (
            known is None
            or known.node_id == requester.node_id
            or not known.present
            or known.address == requester.address
        ):
            self._apply_requester(now, requester)
        return response

    def _apply_requester(self, now: float, requester: MemberRecord) -> None:
        """Merge the requester's own record, which announces it to a member that has a record of its name."""
        node = self._node
        is_known = node.table.get(requester.name) is not None
        if is_known and requester.name != node.record.name and requester.state is MemberState.ALIVE:
            self._merger.apply(now, requester)

    # Opening an exchange.

    def open(self) -> bytes:
        """Return the first frame of an exchange."""
        node = self._node
        return encode(PullRequest(node.sender, node.table.bucket_digests, node.record))

    def handle_response(self, now: float, token: int, body: bytes | None) -> bytes | None:
        """Process an answer, None if the exchange failed; returns the next frame, None if the exchange is over."""
        purpose = self._dialer.purpose(token)
        if purpose is None:
            return None
        response = self._decode_response(body)
        if response is None:
            self._dialer.close(token)
            return None
        self._partitions.message_received(now)
        if self._node.stage is Stage.JOINING and not self._join(now, response):
            self._dialer.close(token)
            return None
        return self._merge(now, token, purpose, response)

    def _decode_response(self, body: bytes | None) -> PullResponse | None:
        """Decode the answer to a pull; None if it is missing, invalid or not a pull response."""
        if body is None:
            self._node.counters["exchanges_failed"] += 1
            return None
        try:
            frame = decode_frame(body)
        except ProtocolError:
            self._node.counters["dropped_body"] += 1
            return None
        return frame if isinstance(frame, PullResponse) else None

    def _join(self, now: float, response: PullResponse) -> bool:
        """Try to join with the first records of the cluster; returns whether this node has joined."""
        own, answered_by = self._node.record, response.own_record
        if answered_by.name == own.name and answered_by.address != own.address:
            self._joiner.handle_name_owner(now, answered_by)
        else:
            self._joiner.join_with_view(now, response.records)
        return self._node.stage is Stage.JOINED

    def _merge(self, now: float, token: int, purpose: ExchangePurpose, response: PullResponse) -> bytes | None:
        node = self._node
        buckets = {number for number in response.buckets if 0 <= number < BUCKET_COUNT}
        received = {record.name: record.precedence for record in response.records}
        if self._table_may_be_stale(now):
            self._remove_unlisted(response.records)
        if purpose is ExchangePurpose.JOIN:
            self._apply_initial_view(now, response.records)
        else:
            self._merger.apply_all(now, response.records)
        if not node.reports(SelfReport.RECEIVE_PARTITIONED):
            self._partitions.receiving_nothing_since_ms = None
        newer_here = [
            record
            for record in node.table.in_buckets(buckets)
            if record.precedence > received.get(record.name, UNKNOWN_PRECEDENCE)
        ]
        self._dialer.note_result(had_differences=bool(buckets))
        if not newer_here:
            self._dialer.close(token)
            return None
        self._dialer.expect_push_done(token)
        return encode(PushState(node.sender, newer_here))

    def _apply_initial_view(self, now: float, records: list[MemberRecord]) -> None:
        """Merge the records of the cluster without passing them on, because the other members have them already."""
        for record in records:
            if self._merger.apply(now, record):
                self._node.gossip_queue.discard(record.name)

    def _table_may_be_stale(self, now: float) -> bool:
        since_ms = self._partitions.receiving_nothing_since_ms
        if since_ms is None:
            return False
        return now - since_ms > self._node.settings.forget_after_ms * STALE_TABLE_SHARE

    def _remove_unlisted(self, records: list[MemberRecord]) -> None:
        """Remove the members that a received list of the cluster lacks, after a long time without messages.

        Others may have forgotten members that this node still holds alive and would disseminate as alive again.
        """
        node = self._node
        known_names = {record.name for record in records} | {node.record.name}
        for record in list(node.table):
            if record.name not in known_names:
                node.table.remove(record.name)
                self._suspicions.clear(record.name)
                node.gossip_queue.discard(record.name)
                node.emit(EventKind.MEMBER_FORGOTTEN, record.name)
