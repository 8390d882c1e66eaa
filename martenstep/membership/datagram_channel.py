"""Datagrams to and from other members: boot ids, sequence numbers, replay protection and piggybacked records.

A datagram is addressed to the boot id of one process.  A member's record names the boot id; if the member has restarted
since, its process replies with `WrongBootId`, and the channel uses the boot id from there until a record arrives that
names a new process.
"""

from __future__ import annotations

from collections import OrderedDict

from martenstep.membership.actions import SendDatagram
from martenstep.membership.codec import (
    MAX_BODY_BYTES,
    DatagramHeader,
    GossipCarrier,
    Message,
    OpenedDatagram,
    WrongBootId,
    attach_encoded,
    cluster_hash,
    decode_message,
    encode,
    encode_datagram,
    open_datagram,
)
from martenstep.membership.errors import DropReason, ProtocolError
from martenstep.membership.keyring import Keyring
from martenstep.membership.local_node import LocalNode
from martenstep.membership.member import Address, MemberRecord, MemberState
from martenstep.membership.replay_window import ReplayWindow

MAX_WRONG_BOOT_IDS_PER_S = 50  # bounds the cost of a burst of datagrams that are addressed to another process
MAX_REPLAY_WINDOWS = 4096  # sending processes; the one unused for longest is dropped
RECORDS_OVERHEAD_BYTES = 8  # for the header of the array that holds the records


class DatagramChannel:
    """Signs outgoing datagrams, and verifies and decodes incoming ones."""

    def __init__(self, node: LocalNode, keyring: Keyring) -> None:
        """`keyring` may be replaced at any time."""
        self._node = node
        self.keyring = keyring
        self._cluster = cluster_hash(node.settings.cluster)
        self._sent_number = 0
        self.replay_windows: OrderedDict[int, ReplayWindow] = OrderedDict()  # by boot id of the sender
        self._learned_boot_ids: dict[Address, int] = {}  # overrides the boot id of a member's record
        self._rate_limit_start_ms = 0.0
        self._rate_limit_count = 0

    # Sending.

    def boot_id_at(self, address: Address, boot_id: int) -> int:
        """Return the boot id learned for an address, or `boot_id` if none was learned."""
        return self._learned_boot_ids.get(address, boot_id)

    def send(self, to: Address, boot_id: int, message: Message) -> None:
        """Queue a message to a process for sending."""
        node = self._node
        self._sent_number += 1
        target_boot_id = self.boot_id_at(to, boot_id)
        header = DatagramHeader(node.record.boot_id, target_boot_id, self._sent_number)
        data = encode_datagram(self.keyring, self._cluster, header, message)
        node.counters["sent"] += 1
        node.counters["sent_bytes"] += len(data)
        node.actions.append(SendDatagram(to, data))

    def send_with_gossip(self, to: Address, boot_id: int, receiver: str, message: GossipCarrier) -> None:
        """Queue a message for sending, with as many records from the gossip queue as fit."""
        node = self._node
        max_bytes = MAX_BODY_BYTES - len(encode(message)) - RECORDS_OVERHEAD_BYTES
        encoded: list[bytes] = []
        view = message.receiver_view
        if view is not None and view.state is not MemberState.ALIVE:
            # A receiver whose record here is not alive gets that whole record too, which it may never have received.
            record = node.table.get(receiver)
            if record is not None:
                encoded.append(encode(record))
                max_bytes -= len(encoded[0])
        encoded += node.gossip_queue.take(max_bytes, node.table.present_count)
        attach_encoded(message, encoded)
        self.send(to, boot_id, message)

    # Receiving.

    def receive(self, now: float, data: bytes) -> tuple[OpenedDatagram, Message]:
        """Verify and decode a datagram, and reply to one for another process; raises ProtocolError."""
        own_boot_id = self._node.record.boot_id
        opened = open_datagram(self.keyring, self._cluster, data)
        if opened.header.source_boot_id == own_boot_id:
            raise ProtocolError(DropReason.OWN)
        message = decode_message(opened.body)
        if opened.header.target_boot_id != own_boot_id:
            self._answer_wrong_boot_id(now, opened.header.source_boot_id, message)
            raise ProtocolError(DropReason.BOOT_ID)
        if not self._replay_window(opened.header.source_boot_id).accept(opened.header.number):
            raise ProtocolError(DropReason.REPLAY)
        self._node.counters["received"] += 1
        self._node.counters["received_bytes"] += len(data)
        return opened, message

    def _replay_window(self, source_boot_id: int) -> ReplayWindow:
        window = self.replay_windows.get(source_boot_id)
        if window is not None:
            self.replay_windows.move_to_end(source_boot_id)
            return window
        window = self.replay_windows[source_boot_id] = ReplayWindow()
        if len(self.replay_windows) > MAX_REPLAY_WINDOWS:
            self.replay_windows.popitem(last=False)
        return window

    def _answer_wrong_boot_id(self, now: float, source_boot_id: int, message: Message) -> None:
        """Reply with this process's boot id to a datagram that was addressed to another process, at a bounded rate."""
        if isinstance(message, WrongBootId):
            return
        if now - self._rate_limit_start_ms >= 1000.0:
            self._rate_limit_start_ms, self._rate_limit_count = now, 0
        self._rate_limit_count += 1
        if self._rate_limit_count > MAX_WRONG_BOOT_IDS_PER_S:
            return
        to = message.sender.host, message.sender.port
        # The reply must reach the process that sent the datagram, so a boot id learned for its address is dropped.
        self._learned_boot_ids.pop(to, None)
        own = self._node.record
        self.send(to, source_boot_id, WrongBootId(self._node.sender, own.boot_id, own.node_id))

    # Boot ids.

    def learn_boot_id(self, record: MemberRecord, boot_id: int) -> bool:
        """Store the boot id of the process at a member's address; False if it was known already."""
        if self.boot_id_at(record.address, record.boot_id) == boot_id:
            return False
        self._learned_boot_ids[record.address] = boot_id
        return True

    def on_record(self, previous: MemberRecord | None, record: MemberRecord) -> None:
        """Drop the boot id learned for a member's address if the member's new record names a new process."""
        if not record.boot_id or self.boot_id_at(record.address, record.boot_id) == record.boot_id:
            return
        if previous is None or previous.boot_id != record.boot_id:
            del self._learned_boot_ids[record.address]

    def forget_unknown_addresses(self) -> None:
        """Drop the boot ids learned for addresses that no member has any more."""
        known = {record.address for record in self._node.table}
        for address in [address for address in self._learned_boot_ids if address not in known]:
            del self._learned_boot_ids[address]
