"""The external formats of the membership: bytes of messages, stored files, JSON and metric names.

The expected files under `formats/membership/` were written before identifiers were renamed; no test writes them.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from martenstep.cli import members as command
from martenstep.cli.main import cli
from martenstep.config import door_pb2 as pb
from martenstep.membership import codec, identity
from martenstep.membership.actions import MemberEvent, OpenExchange, SendDatagram
from martenstep.membership.codec import (
    Ack,
    ExchangeDone,
    Gossip,
    IndirectPing,
    IndirectPingResponse,
    Ping,
    PullRequest,
    PullResponse,
    PushState,
    ReceiverView,
    Sender,
    WrongBootId,
)
from martenstep.membership.core import MembershipCore
from martenstep.membership.keyring import Keyring
from martenstep.membership.member import Address, MemberRecord, MemberState
from martenstep.membership.member_table import BUCKET_COUNT
from martenstep.membership.ownership import select_owners
from martenstep.membership.service import MembershipService
from martenstep.membership.settings import MembershipSettings
from martenstep.proxy.admin import AdminListener, GatewayCollector
from martenstep.storage.files import Disk

FORMATS = Path(__file__).parent / "formats" / "membership"
CLUSTER = "formats"
KEYS = [b"first key " * 3, b"second key" * 3]
SOURCE, TARGET, NUMBER = 0x1122334455667788, 0x99AABBCCDDEEFF00, 77
HEADER = codec.DatagramHeader(SOURCE, TARGET, NUMBER)
SERVER_NONCE, CLIENT_NONCE = bytes(range(16)), bytes(range(100, 116))

OWN_RECORD = MemberRecord("d001", 2, 1001, 7, MemberState.ALIVE, 2001, "10.0.0.1", 7946, "a", 3)
SUSPECT_RECORD = MemberRecord("d002", 0, 1002, 1, MemberState.SUSPECT, 2002, "::1", 65535, "", 0, "d001")
LEFT_RECORD = MemberRecord(
    "d003", 1, (1 << 62) - 1, (1 << 32) - 1, MemberState.LEFT, 0, "host.example", 1, "zone-b", 1, ""
)
DEAD_RECORD = MemberRecord("d004", 0, 5, 0, MemberState.DEAD, 9, "10.0.0.4", 80, "c", 2, "d002")
SENDER = Sender("d001", "10.0.0.1", 7946)
RECEIVER_VIEW = ReceiverView(2, 1002, 9, MemberState.SUSPECT)
DATAGRAMS: dict[str, codec.Message] = {
    "ping": Ping(SENDER, 123456789, "d002", RECEIVER_VIEW, 0xFEDCBA9876543210, [SUSPECT_RECORD, DEAD_RECORD]),
    "ping bare": Ping(SENDER, 1, "d002", None, 0),
    "ack": Ack(SENDER, 123456789, RECEIVER_VIEW, 0xFEDCBA9876543210, [OWN_RECORD]),
    "relay": IndirectPing(SENDER, 55, "d002", "::1", 65535, 2002),
    "relayed": IndirectPingResponse(SENDER, 55, True),
    "relayed not": IndirectPingResponse(SENDER, 55, False),
    "tell": Gossip(
        SENDER, ReceiverView(0, 1, 2, MemberState.DEAD), 3, [OWN_RECORD, SUSPECT_RECORD, LEFT_RECORD, DEAD_RECORD]
    ),
    "challenge": WrongBootId(SENDER, 2001, 1001),
}
FRAMES: dict[str, codec.Frame] = {
    "want": PullRequest(SENDER, list(range(BUCKET_COUNT)), OWN_RECORD),
    "have": PullResponse(SENDER, OWN_RECORD, [0, 3, 15], [OWN_RECORD, SUSPECT_RECORD, LEFT_RECORD, DEAD_RECORD]),
    "push": PushState(SENDER, [LEFT_RECORD]),
    "done": ExchangeDone(),
}


def expected_json(name: str) -> Any:
    return json.loads((FORMATS / name).read_bytes())


@pytest.mark.parametrize("kind", DATAGRAMS)
def test_each_datagram_keeps_its_bytes(kind: str) -> None:
    expected = {part: bytes.fromhex(text) for part, text in expected_json("datagrams.json")[kind].items()}
    cluster = codec.cluster_hash(CLUSTER)
    assert codec.encode(DATAGRAMS[kind]) == expected["body"]
    for key_index, key in enumerate(KEYS):
        signed = codec.encode_datagram(Keyring([key]), cluster, HEADER, DATAGRAMS[kind])
        assert signed == expected[f"sealed by key {key_index}"]
        opened = codec.open_datagram(Keyring(KEYS), cluster, signed)
        assert tuple(opened.header) == (SOURCE, TARGET, NUMBER)
        assert codec.decode_message(opened.body) == DATAGRAMS[kind]
    assert codec.encode_datagram(Keyring(KEYS), cluster, HEADER, DATAGRAMS[kind]) == expected["sealed by key 0"]


@pytest.mark.parametrize("kind", FRAMES)
def test_each_frame_of_an_exchange_keeps_its_bytes(kind: str) -> None:
    expected = {part: bytes.fromhex(text) for part, text in expected_json("frames.json")[kind].items()}
    body = codec.encode(FRAMES[kind])
    assert body == expected["body"] and codec.decode_frame(body) == FRAMES[kind]
    for index in range(4):
        context = codec.frame_context(codec.cluster_hash(CLUSTER), SERVER_NONCE, CLIENT_NONCE, index)
        for key_index, key in enumerate(KEYS):
            signed = codec.encode_frame(Keyring([key]), context, body)
            assert signed == expected[f"place {index} by key {key_index}"]
            assert codec.open_frame(Keyring(KEYS), context, signed[4:]) == body


def test_a_member_record_and_the_cluster_hash_keep_their_bytes() -> None:
    assert codec.cluster_hash(CLUSTER) == 10237396799762836215
    assert codec.encode(LEFT_RECORD).hex() == expected_json("datagrams.json")["saying"]["body"]
    assert msgspec.msgpack.decode(codec.encode(LEFT_RECORD)) == [
        "d003",
        1,
        (1 << 62) - 1,
        (1 << 32) - 1,
        3,
        0,
        "host.example",
        1,
        "zone-b",
        1,
        "",
    ]


class FixedRandom(random.Random):
    """Returns the same number at each draw."""

    def getrandbits(self, k: int) -> int:
        return 4242


def test_the_identity_file_keeps_its_format(tmp_path: Path) -> None:
    expected = (FORMATS / "identity.json").read_bytes()
    with_addresses = (FORMATS / "identity-kept.json").read_bytes()
    disk = Disk(tmp_path)
    new_identity, problem = identity.load_identity(disk, FixedRandom())
    assert problem == "" and (tmp_path / "identity.json").read_bytes() == expected
    assert (new_identity.node_id, new_identity.start_count, new_identity.addresses) == (4242, 1, [])
    (tmp_path / "identity.json").write_bytes(with_addresses)
    loaded, problem = identity.load_identity(disk, FixedRandom())
    assert problem == "" and loaded.node_id == 77 and loaded.start_count == 10
    assert loaded.addresses == [("10.0.0.2", 7946), ("::1", 1)]
    loaded.start_count = 9
    assert identity.store_identity(disk, loaded) == "" and (tmp_path / "identity.json").read_bytes() == with_addresses
    disk.close()


def make_service(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> MembershipService:
    """Return a service that is not started, with a fixed clock."""
    monkeypatch.setattr(time, "monotonic", lambda: 50.0)
    (tmp_path / "key").write_text("ab" * 32)
    fleet = pb.Fleet(cluster=CLUSTER, key_file=str(tmp_path / "key"))
    return MembershipService(fleet, "d001", "a", lambda event, fields: None)


def make_core(record: MemberRecord, seeds: tuple[Address, ...] = (), now: float = 40_000.0) -> MembershipCore:
    return MembershipCore(
        MembershipSettings(CLUSTER, seeds=seeds), record, Keyring([KEYS[0]]), random.Random(record.boot_id), now
    )


def test_the_admin_page_of_the_members_and_the_metrics_keep_their_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    service = make_service(tmp_path, monkeypatch)
    assert msgspec.json.encode(service.view()) == b'{"stage":"off","members":[]}'
    assert service.counters() == {} and service.gauges() == {}
    service.core = make_core(OWN_RECORD)
    for number, record in enumerate((SUSPECT_RECORD, LEFT_RECORD, DEAD_RECORD)):
        service.core.table.put(45_000.0 + number * 1000.0, record)
    service.core.counters["sent"] = 5
    admin = AdminListener(GatewayCollector(service.counters, service.gauges), lambda: True)
    admin.membership = service
    status, kind, body = asyncio.run(admin.respond("GET", "/members", ""))
    assert (status, kind) == (200, "application/json") and body == (FORMATS / "members-page.json").read_bytes()
    metrics = admin.respond_status("/metrics")[2]
    assert metrics == (FORMATS / "members-metrics.txt").read_bytes()


def test_the_command_line_output_keeps_its_format(monkeypatch: pytest.MonkeyPatch) -> None:
    page = expected_json("members-page.json")
    monkeypatch.setattr(command, "send_request", lambda admin, method, target: page)
    result = CliRunner().invoke(cli, ["members", "show", "--admin", "h:1"])
    assert result.exit_code == 0 and result.output == (FORMATS / "members-cli.txt").read_text()
    result = CliRunner().invoke(cli, ["members", "show", "--json", "--admin", "h:1"])
    assert json.loads(result.output) == page
    result = CliRunner().invoke(cli, ["members", "leave", "--admin", "h:1"])
    assert result.output == "d001 is alone\n"


class CoreNetwork:
    """Several cores whose time advances in fixed steps, with datagrams and exchanges delivered in order."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.cores: dict[Address, MembershipCore] = {}
        self.events: list[tuple[str, str, str, dict[str, Any]]] = []
        self.paused: set[str] = set()
        self.in_flight: dict[Address, list[bytes]] = {}
        self.counts: dict[str, dict[str, int]] = {}

    def start(self, number: int, start_count: int) -> MembershipCore:
        record = MemberRecord(
            f"d{number}",
            0,
            100 + number,
            start_count,
            MemberState.ALIVE,
            1000 * start_count + number,
            f"10.0.0.{number}",
            1,
            "ab"[number % 2],
        )
        core = make_core(record, (("10.0.0.1", 1),), self.now)
        self.cores[record.address] = core
        return core

    def collect_actions(self) -> bool:
        """Take the actions of all cores; returns whether there were any."""
        found = False
        for core in list(self.cores.values()):
            for action in core.take_actions():
                found = True
                if isinstance(action, SendDatagram):
                    self.in_flight.setdefault(action.to, []).append(action.data)
                elif isinstance(action, OpenExchange):
                    self.run_exchange(core, action)
                elif isinstance(action, MemberEvent):
                    self.events.append(
                        (core.record.name, action.kind.value, action.member, dict(action.recorded_fields))
                    )
        return found

    def run_exchange(self, core: MembershipCore, action: OpenExchange) -> None:
        body: bytes | None = core.open_exchange()
        while body is not None:
            target = self.cores.get(action.to)
            answer = target.serve_exchange(self.now, body) if target and target.record.name not in self.paused else None
            body = core.continue_exchange(self.now, action.token, answer)

    def run(self, until: float) -> None:
        while self.now < until:
            self.now += 10.0
            for core in list(self.cores.values()):
                if core.record.name not in self.paused and core.next_due_ms <= self.now:
                    core.wake(self.now)
            while self.collect_actions():
                for address, core in list(self.cores.items()):
                    if core.record.name not in self.paused:
                        for data in self.in_flight.pop(address, []):
                            core.receive(self.now, data)


def test_a_run_of_several_cores_keeps_its_events_and_counters() -> None:
    network = CoreNetwork()
    for number in range(1, 7):
        network.start(number, 1)
    network.run(8_000.0)
    network.paused.add("d2")  # d2 is paused, and refutes the suspicion of it afterwards
    network.run(11_500.0)
    network.paused.clear()
    network.run(14_000.0)
    del network.cores["10.0.0.3", 1]  # d3 is killed, and restarted later
    network.cores["10.0.0.4", 1].leave(network.now)
    network.run(32_000.0)
    network.start(3, 2)
    for data in (b"", b"x" * 60, b"MG\x02" + b"x" * 60, b"MG\x01" + b"x" * 60):
        network.cores["10.0.0.1", 1].receive(network.now, data)
    network.cores["10.0.0.5", 1].receive(
        network.now,
        codec.encode_datagram(
            Keyring([KEYS[0]]), codec.cluster_hash(CLUSTER), codec.DatagramHeader(1, 2, 3), DATAGRAMS["ping"]
        ),
    )
    network.run(40_000.0)
    expected = expected_json("run.json")
    assert [list(event) for event in network.events] == expected["events"]
    assert {core.record.name: dict(core.counters) for core in network.cores.values()} == expected["counts"]
    assert {core.record.name: core.stage.value for core in network.cores.values()} == expected["stages"]


def test_the_lines_of_the_record_of_beliefs_keep_their_format(tmp_path: Path) -> None:
    async def test() -> list[dict[str, Any]]:
        (tmp_path / "key").write_text("ab" * 32)
        fleet = pb.Fleet(cluster=CLUSTER, key_file=str(tmp_path / "key"), record=str(tmp_path / "record"))
        service = MembershipService(fleet, "d001", "a", lambda event, fields: None)
        port = await service.start()
        await service.leave()
        await service.stop()
        lines = [json.loads(line) for line in (tmp_path / "record").read_bytes().splitlines()]
        assert lines[0]["fields"].pop("port") == port
        assert isinstance(lines[0]["fields"].pop("life"), int)
        assert all(isinstance(line.pop("at_ms"), float) for line in lines)
        return lines

    assert asyncio.run(test()) == [
        {"type": "belief", "place": "d001", "kind": "life", "about": "d001", "fields": {"host": "127.0.0.1"}},
        {"type": "belief", "place": "d001", "kind": "gone", "about": "d001", "fields": {}},
    ]


def test_the_owners_of_keys_stay_the_same() -> None:
    members = [(f"d{number:03}", "abc"[number % 3]) for number in range(12)]
    assert {key: select_owners(key, members, 4) for key in ("orders", "counter-0", "")} == expected_json("holders.json")
