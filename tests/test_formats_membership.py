"""The forms of today of the membership: bytes, files, JSON and names.

The files under `formats/membership/` were written by the text before the renames, and are never written by a test.
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
from martenstep.membership import codec as wire
from martenstep.membership import identity
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
HEADER = wire.DatagramHeader(SOURCE, TARGET, NUMBER)
SERVER_DRAW, CLIENT_DRAW = bytes(range(16)), bytes(range(100, 116))

ME = MemberRecord("d001", 2, 1001, 7, MemberState.ALIVE, 2001, "10.0.0.1", 7946, "a", 3)
OTHER = MemberRecord("d002", 0, 1002, 1, MemberState.SUSPECT, 2002, "::1", 65535, "", 0, "d001")
LEFT = MemberRecord("d003", 1, (1 << 62) - 1, (1 << 32) - 1, MemberState.LEFT, 0, "host.example", 1, "zone-b", 1, "")
DEAD = MemberRecord("d004", 0, 5, 0, MemberState.DEAD, 9, "10.0.0.4", 80, "c", 2, "d002")
SENDER = Sender("d001", "10.0.0.1", 7946)
SEEN = ReceiverView(2, 1002, 9, MemberState.SUSPECT)
DATAGRAMS: dict[str, wire.Message] = {
    "ping": Ping(SENDER, 123456789, "d002", SEEN, 0xFEDCBA9876543210, [OTHER, DEAD]),
    "ping bare": Ping(SENDER, 1, "d002", None, 0),
    "ack": Ack(SENDER, 123456789, SEEN, 0xFEDCBA9876543210, [ME]),
    "relay": IndirectPing(SENDER, 55, "d002", "::1", 65535, 2002),
    "relayed": IndirectPingResponse(SENDER, 55, True),
    "relayed not": IndirectPingResponse(SENDER, 55, False),
    "tell": Gossip(SENDER, ReceiverView(0, 1, 2, MemberState.DEAD), 3, [ME, OTHER, LEFT, DEAD]),
    "challenge": WrongBootId(SENDER, 2001, 1001),
}
FRAMES: dict[str, wire.Frame] = {
    "want": PullRequest(SENDER, list(range(BUCKET_COUNT)), ME),
    "have": PullResponse(SENDER, ME, [0, 3, 15], [ME, OTHER, LEFT, DEAD]),
    "push": PushState(SENDER, [LEFT]),
    "done": ExchangeDone(),
}


def stored(name: str) -> Any:
    return json.loads((FORMATS / name).read_bytes())


@pytest.mark.parametrize("kind", DATAGRAMS)
def test_each_datagram_keeps_its_bytes(kind: str) -> None:
    expected = {word: bytes.fromhex(text) for word, text in stored("datagrams.json")[kind].items()}
    cluster = wire.cluster_hash(CLUSTER)
    assert wire.encode(DATAGRAMS[kind]) == expected["body"]
    for place, key in enumerate(KEYS):
        sealed = wire.encode_datagram(Keyring([key]), cluster, HEADER, DATAGRAMS[kind])
        assert sealed == expected[f"sealed by key {place}"]
        opened = wire.open_datagram(Keyring(KEYS), cluster, sealed)
        assert tuple(opened.header) == (SOURCE, TARGET, NUMBER)
        assert wire.decode_message(opened.body) == DATAGRAMS[kind]
    assert wire.encode_datagram(Keyring(KEYS), cluster, HEADER, DATAGRAMS[kind]) == expected["sealed by key 0"]


@pytest.mark.parametrize("kind", FRAMES)
def test_each_frame_of_an_exchange_keeps_its_bytes(kind: str) -> None:
    expected = {word: bytes.fromhex(text) for word, text in stored("frames.json")[kind].items()}
    body = wire.encode(FRAMES[kind])
    assert body == expected["body"] and wire.decode_frame(body) == FRAMES[kind]
    for place in range(4):
        context = wire.frame_context(wire.cluster_hash(CLUSTER), SERVER_DRAW, CLIENT_DRAW, place)
        for number, key in enumerate(KEYS):
            sealed = wire.encode_frame(Keyring([key]), context, body)
            assert sealed == expected[f"place {place} by key {number}"]
            assert wire.open_frame(Keyring(KEYS), context, sealed[4:]) == body


def test_a_saying_keeps_its_bytes_and_what_stands_for_it() -> None:
    assert wire.cluster_hash(CLUSTER) == 10237396799762836215
    assert wire.encode(LEFT).hex() == stored("datagrams.json")["saying"]["body"]
    assert msgspec.msgpack.decode(wire.encode(LEFT)) == [
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


class Draws(random.Random):
    """Gives what the test says."""

    def getrandbits(self, k: int) -> int:
        return 4242


def test_the_identity_on_disk_is_read_and_written_as_before(tmp_path: Path) -> None:
    old = (FORMATS / "identity.json").read_bytes()
    with_addresses = (FORMATS / "identity-kept.json").read_bytes()
    disk = Disk(tmp_path)
    fresh, wrong = identity.load_identity(disk, Draws())
    assert wrong == "" and (tmp_path / "identity.json").read_bytes() == old
    assert (fresh.node_id, fresh.start_count, fresh.addresses) == (4242, 1, [])
    (tmp_path / "identity.json").write_bytes(with_addresses)
    kept, wrong = identity.load_identity(disk, Draws())
    assert wrong == "" and kept.node_id == 77 and kept.start_count == 10
    assert kept.addresses == [("10.0.0.2", 7946), ("::1", 1)]
    kept.start_count = 9
    assert identity.store_identity(disk, kept) == "" and (tmp_path / "identity.json").read_bytes() == with_addresses
    disk.close()


def membership(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> MembershipService:
    """One that is held in the hand, at a time that stands."""
    monkeypatch.setattr(time, "monotonic", lambda: 50.0)
    (tmp_path / "key").write_text("ab" * 32)
    fleet = pb.Fleet(cluster=CLUSTER, key_file=str(tmp_path / "key"))
    return MembershipService(fleet, "d001", "a", lambda event, fields: None)


def core_of(me: MemberRecord, seeds: tuple[Address, ...] = (), now: float = 40_000.0) -> MembershipCore:
    return MembershipCore(
        MembershipSettings(CLUSTER, seeds=seeds), me, Keyring([KEYS[0]]), random.Random(me.boot_id), now
    )


def test_the_admin_page_of_the_members_and_its_metrics_keep_their_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = membership(tmp_path, monkeypatch)
    assert msgspec.json.encode(made.view()) == b'{"stage":"off","members":[]}'
    assert made.counters() == {} and made.gauges() == {}
    made.core = core_of(ME)
    for number, fact in enumerate((OTHER, LEFT, DEAD)):
        made.core.table.put(45_000.0 + number * 1000.0, fact)
    made.core.counters["sent"] = 5
    admin = AdminListener(GatewayCollector(made.counters, made.gauges), lambda: True)
    admin.membership = made
    status, kind, body = asyncio.run(admin.respond("GET", "/members", ""))
    assert (status, kind) == (200, "application/json") and body == (FORMATS / "members-page.json").read_bytes()
    metrics = admin.respond_status("/metrics")[2]
    assert metrics == (FORMATS / "members-metrics.txt").read_bytes()


def test_the_command_line_shows_the_page_as_before(monkeypatch: pytest.MonkeyPatch) -> None:
    page = stored("members-page.json")
    monkeypatch.setattr(command, "send_request", lambda admin, method, target: page)
    done = CliRunner().invoke(cli, ["members", "show", "--admin", "h:1"])
    assert done.exit_code == 0 and done.output == (FORMATS / "members-cli.txt").read_text()
    done = CliRunner().invoke(cli, ["members", "show", "--json", "--admin", "h:1"])
    assert json.loads(done.output) == page
    done = CliRunner().invoke(cli, ["members", "leave", "--admin", "h:1"])
    assert done.output == "d001 is alone\n"


class Net:
    """A few cores in steps of time, whose datagrams and exchanges are carried in order."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.cores: dict[Address, MembershipCore] = {}
        self.events: list[tuple[str, str, str, dict[str, Any]]] = []
        self.asleep: set[str] = set()
        self.waiting: dict[Address, list[bytes]] = {}
        self.counts: dict[str, dict[str, int]] = {}

    def start(self, number: int, life: int) -> MembershipCore:
        me = MemberRecord(
            f"d{number}",
            0,
            100 + number,
            life,
            MemberState.ALIVE,
            1000 * life + number,
            f"10.0.0.{number}",
            1,
            "ab"[number % 2],
        )
        core = core_of(me, (("10.0.0.1", 1),), self.now)
        self.cores[me.address] = core
        return core

    def take(self) -> bool:
        some = False
        for core in list(self.cores.values()):
            for action in core.take_actions():
                some = True
                if isinstance(action, SendDatagram):
                    self.waiting.setdefault(action.to, []).append(action.data)
                elif isinstance(action, OpenExchange):
                    self.exchange(core, action)
                elif isinstance(action, MemberEvent):
                    self.events.append(
                        (core.record.name, action.kind.value, action.member, dict(action.recorded_fields))
                    )
        return some

    def exchange(self, core: MembershipCore, dial: OpenExchange) -> None:
        body: bytes | None = core.open_exchange()
        while body is not None:
            target = self.cores.get(dial.to)
            answer = target.serve_exchange(self.now, body) if target and target.record.name not in self.asleep else None
            body = core.continue_exchange(self.now, dial.token, answer)

    def run(self, until: float) -> None:
        while self.now < until:
            self.now += 10.0
            for core in list(self.cores.values()):
                if core.record.name not in self.asleep and core.next_due_ms <= self.now:
                    core.wake(self.now)
            while self.take():
                for address, core in list(self.cores.items()):
                    if core.record.name not in self.asleep:
                        for data in self.waiting.pop(address, []):
                            core.receive(self.now, data)


def test_a_run_of_the_cores_gives_the_same_events_and_counts() -> None:
    net = Net()
    for number in range(1, 7):
        net.start(number, 1)
    net.run(8_000.0)
    net.asleep.add("d2")  # it stands, and refutes what was said of it
    net.run(11_500.0)
    net.asleep.clear()
    net.run(14_000.0)
    del net.cores["10.0.0.3", 1]  # killed, and started again later
    net.cores["10.0.0.4", 1].leave(net.now)
    net.run(32_000.0)
    net.start(3, 2)
    for data in (b"", b"x" * 60, b"MG\x02" + b"x" * 60, b"MG\x01" + b"x" * 60):
        net.cores["10.0.0.1", 1].receive(net.now, data)
    net.cores["10.0.0.5", 1].receive(
        net.now,
        wire.encode_datagram(
            Keyring([KEYS[0]]), wire.cluster_hash(CLUSTER), wire.DatagramHeader(1, 2, 3), DATAGRAMS["ping"]
        ),
    )
    net.run(40_000.0)
    expected = stored("run.json")
    assert [list(event) for event in net.events] == expected["events"]
    assert {core.record.name: dict(core.counters) for core in net.cores.values()} == expected["counts"]
    assert {core.record.name: core.stage.value for core in net.cores.values()} == expected["stages"]


def test_the_lines_of_the_record_keep_their_form(tmp_path: Path) -> None:
    async def test() -> list[dict[str, Any]]:
        (tmp_path / "key").write_text("ab" * 32)
        fleet = pb.Fleet(cluster=CLUSTER, key_file=str(tmp_path / "key"), record=str(tmp_path / "record"))
        made = MembershipService(fleet, "d001", "a", lambda event, fields: None)
        port = await made.start()
        await made.leave()
        await made.stop()
        lines = [json.loads(line) for line in (tmp_path / "record").read_bytes().splitlines()]
        assert lines[0]["fields"].pop("port") == port
        assert isinstance(lines[0]["fields"].pop("life"), int)
        assert all(isinstance(line.pop("at_ms"), float) for line in lines)
        return lines

    assert asyncio.run(test()) == [
        {"type": "belief", "place": "d001", "kind": "life", "about": "d001", "fields": {"host": "127.0.0.1"}},
        {"type": "belief", "place": "d001", "kind": "gone", "about": "d001", "fields": {}},
    ]


def test_who_holds_what_is_the_same() -> None:
    members = [(f"d{number:03}", "abc"[number % 3]) for number in range(12)]
    assert {key: select_owners(key, members, 4) for key in ("orders", "counter-0", "")} == stored("holders.json")
