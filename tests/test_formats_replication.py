"""Wire format between replicas: every message, the frames that carry them, and the opening of a stream."""

from __future__ import annotations

import asyncio
import struct
from typing import Any

import msgspec
import pytest

from martenstep.membership.keyring import Keyring
from martenstep.replication import messages, node_messages, outbound_queue
from martenstep.replication.frames import AuthenticatedFrames, Envelope, Hello
from martenstep.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotResponse,
    LogEntry,
    RecoveryQuery,
    RecoveryResponse,
    RequestVote,
    Snapshot,
    TimeoutNow,
    VoteResponse,
    decode_configuration,
    decode_raft_message,
    encode,
)
from martenstep.replication.node_messages import (
    CreateReplica,
    LeaderRequest,
    LeaderResponse,
    MembershipQuery,
    RemovedFromGroup,
    ReplicaCreated,
    ReplicaNotFound,
    decode_node_message,
)
from martenstep.replication.transport import Transport
from tests.socket_rig import run

CONFIGURATION = Configuration((1, 1 << 52), (3,), ((1, "d1"), (1 << 52, "d2"), (3, "d3")))
ENTRIES = (
    LogEntry(8, 2, EntryKind.NO_OP),
    LogEntry(9, 2, EntryKind.COMMAND, b"add"),
    LogEntry(10, 3, EntryKind.CONFIGURATION, encode(Configuration((1, 2, 3)))),
)

MESSAGES: list[tuple[Any, str]] = [
    (RequestVote(4, 10, 3, True, False), "9601040a03c3c2"),
    (RequestVote(1 << 40, 10, 3, False, True), "9601cf00000100000000000a03c2c3"),
    (VoteResponse(5, True, False), "940205c3c2"),
    (VoteResponse(5, False, True), "940205c2c3"),
    (
        AppendEntries(3, 7, 2, ENTRIES, 8, 21),
        "97030307029394080200c40094090201c403616464940a0302c407939301020390900815",
    ),
    (AppendEntries(3, 7, 2, (), 0, 0), "9703030702900000"),
    (AppendEntriesResponse(3, True, 10, 21), "950403c30a15"),
    (AppendEntriesResponse(4, False, 6, 0), "950404c20600"),
    (
        InstallSnapshot(3, 100, 2, CONFIGURATION, 32768, b"part", 40000, 22),
        "9905036402939201cf00100000000000009103939201a2643192cf0010000000000000a264329203a26433cd8000c40470617274cd9c4016",
    ),
    (InstallSnapshotResponse(3, 100, 32772, 22), "95060364cd800416"),
    (TimeoutNow(7), "920707"),
    (RecoveryQuery((1 << 62) - 1), "9208cf3fffffffffffffff"),
    (
        RecoveryResponse(99, 3, 10, 2, CONFIGURATION, 5, True),
        "980963030a02939201cf00100000000000009103939201a2643192cf0010000000000000a264329203a2643305c3",
    ),
    (RecoveryResponse(99, 0, 0, 0, Configuration((1, 2, 3))), "9809630000009393010203909000c2"),
]
NODE_MESSAGES: list[tuple[Any, str]] = [
    (CreateReplica(12, (1, 2, 3)), "93010c93010203"),
    (ReplicaCreated(4), "920204"),
    (ReplicaNotFound(5), "920305"),
    (MembershipQuery(6), "920406"),
    (RemovedFromGroup(7, 12), "9305070c"),
    (LeaderRequest(1 << 59, b"ask"), "9306cf0800000000000000c40361736b"),
    (LeaderResponse(8, b"told", None), "940708c404746f6c64c0"),
    (LeaderResponse(8, None, "d2"), "940708c0a26432"),
]
VALUES: list[tuple[Any, str]] = [
    (CONFIGURATION, "939201cf00100000000000009103939201a2643192cf0010000000000000a264329203a26433"),
    (Configuration((1,)), "9391019090"),
    (ENTRIES[0], "94080200c400"),
    (ENTRIES[1], "94090201c403616464"),
    (ENTRIES[2], "940a0302c40793930102039090"),
    (
        Snapshot(100, 2, CONFIGURATION, b"state"),
        "946402939201cf00100000000000009103939201a2643192cf0010000000000000a264329203a26433c4057374617465",
    ),
    (Envelope("counter-0", 11, 0), "93a9636f756e7465722d300b00"),
    (Hello("fleet", "a", "b"), "93a5666c656574a161a162"),
]


@pytest.mark.parametrize(("message", "golden"), MESSAGES)
def test_each_message_between_replicas_has_these_bytes(message: Any, golden: str) -> None:
    assert encode(message).hex() == golden
    assert decode_raft_message(bytes.fromhex(golden)) == message


@pytest.mark.parametrize(("message", "golden"), NODE_MESSAGES)
def test_each_message_between_nodes_has_these_bytes(message: Any, golden: str) -> None:
    assert msgspec.msgpack.encode(message).hex() == golden
    assert decode_node_message(bytes.fromhex(golden)) == message


@pytest.mark.parametrize(("value", "golden"), VALUES)
def test_each_part_of_a_message_has_these_bytes(value: Any, golden: str) -> None:
    assert msgspec.msgpack.encode(value).hex() == golden
    assert msgspec.msgpack.decode(bytes.fromhex(golden), type=type(value)) == value


def test_every_kind_of_message_has_an_expected_form() -> None:
    kinds = {type(message) for message, _ in MESSAGES}
    node_kinds = {type(message) for message, _ in NODE_MESSAGES}
    assert kinds == set(messages.RaftMessage.__args__) and node_kinds == set(node_messages.NodeMessage.__args__)
    assert len(kinds) == 9 and len(node_kinds) == 7


def test_a_configuration_entry_is_read_field_by_field() -> None:
    data = bytes.fromhex("939201cf00100000000000009103939201a2643192cf0010000000000000a264329203a26433")
    config = decode_configuration(data)
    assert config.voters == (1, 1 << 52) and config.learners == (3,)
    assert config.locations == ((1, "d1"), (1 << 52, "d2"), (3, "d3"))
    assert encode(config) == data


def test_entry_kinds_have_these_numbers() -> None:
    assert [int(kind) for kind in EntryKind] == [0, 1, 2]
    assert (int(EntryKind.NO_OP), int(EntryKind.COMMAND), int(EntryKind.CONFIGURATION)) == (0, 1, 2)


# Streams.

KEY = bytes(range(32))
SERVER, CLIENT = b"server draws 16!", b"client draws 16!"
HELLO = "0000001b93a5666c656574a161a1627a0ddc831ebb7ddb0858296196c024cc"
FIRST = "00000022000d93a9636f756e7465722d300b0c9207076a4df8a514bcfece40e5baf1ff85c707"
SECOND = "00000022000d93a9636f756e7465722d30000092030511f00cd26efda0242c4647e40675ed9e"


def body() -> bytes:
    envelope = msgspec.msgpack.encode(Envelope("counter-0", 11, 12))
    return struct.pack(">H", len(envelope)) + envelope + encode(TimeoutNow(7))


def node_message_body() -> bytes:
    envelope = msgspec.msgpack.encode(Envelope("counter-0", 0, 0))
    return struct.pack(">H", len(envelope)) + envelope + msgspec.msgpack.encode(ReplicaNotFound(5))


def test_frames_are_authenticated_in_order_with_these_bytes() -> None:
    frames = AuthenticatedFrames(Keyring([KEY]), SERVER, CLIENT)
    assert frames.encode(msgspec.msgpack.encode(Hello("fleet", "a", "b"))).hex() == HELLO
    assert frames.encode(body()).hex() == FIRST
    assert frames.encode(node_message_body()).hex() == SECOND


def test_a_stream_opens_and_carries_messages_with_these_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("secrets.token_bytes", lambda size: CLIENT[:size])
    golden = CLIENT + bytes.fromhex(HELLO + FIRST + SECOND)

    async def test() -> None:
        got: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(SERVER)
            got.set_result(await reader.readexactly(len(golden)))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        sender = Transport("fleet", "a", lambda: Keyring([KEY]), lambda node: ("127.0.0.1", port))
        sender.send("b", Envelope("counter-0", 11, 12), encode(TimeoutNow(7)))
        sender.send_to_node("b", "counter-0", ReplicaNotFound(5))
        assert await got == golden
        sender.stop()
        server.close()

    run(test())


def test_a_stream_with_these_bytes_is_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("secrets.token_bytes", lambda size: SERVER[:size])

    async def test() -> None:
        received: list[Any] = []
        receiver = Transport(
            "fleet",
            "b",
            lambda: Keyring([KEY]),
            lambda node: None,
            lambda *message: received.append(message),
            lambda *unknown: received.append(unknown),
        )
        receiver.open("counter-0", 12, lambda copy: None, lambda *message: received.append(message))
        port = await receiver.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        assert await reader.readexactly(16) == SERVER
        writer.write(CLIENT + bytes.fromhex(HELLO + FIRST + SECOND))
        while len(received) < 2:
            await asyncio.sleep(0.001)
        assert received == [(11, TimeoutNow(7)), ("a", "counter-0", 0, ReplicaNotFound(5))]
        writer.close()
        receiver.stop()

    run(test())


def test_a_stream_with_other_bytes_is_counted_under_these_names(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("secrets.token_bytes", lambda size: SERVER[:size])
    monkeypatch.setattr(outbound_queue, "MAX_QUEUED_FRAMES", 1)
    hello, first = bytes.fromhex(HELLO), bytes.fromhex(FIRST)

    async def test() -> None:
        receiver = Transport("fleet", "b", lambda: Keyring([KEY]), lambda node: None)
        other = Transport("fleet", "c", lambda: Keyring([KEY]), lambda node: None)
        ports = await receiver.start("127.0.0.1", 0), await other.start("127.0.0.1", 0)

        async def send(data: bytes, port: int = ports[0]) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(CLIENT + data)
            await reader.read()
            writer.close()

        wrong = hello[:-1] + bytes([hello[-1] ^ 1])
        await send(wrong)
        await send(b"\xff" * 4)
        await send(hello, ports[1])
        bad = AuthenticatedFrames(Keyring([KEY]), SERVER, CLIENT)
        await send(bad.encode(b"\xc1"))
        stream = asyncio.create_task(send(hello + first))
        while not receiver.counts["not_for_this_disk"]:
            await asyncio.sleep(0.001)
        assert dict(receiver.counts) == {
            "dropped_mac": 1,
            "dropped_length": 1,
            "dropped_body": 1,
            "not_for_this_disk": 1,
        }
        assert dict(other.counts) == {"not_for_this_place": 1}
        for _ in range(3):
            other.send("d", Envelope("g", 1, 2), b"")
        assert other.counts["let_go"] == 2
        receiver.stop()
        other.stop()
        await stream

    run(test())
