"""Tests of the membership on sockets: instances in one event loop, keys, identities, admin API and command line."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.config import door_pb2 as pb
from martenstep.config.loading import parse_door
from martenstep.config.text_format import SettingsError
from martenstep.lab.fleet.rig import fetch_admin_json
from martenstep.membership import identity
from martenstep.membership.keyring import KeyFileError, read_keyring
from martenstep.membership.member import MemberState
from martenstep.membership.service import MembershipService
from martenstep.proxy.admin import AdminListener, GatewayCollector
from martenstep.storage.disk_faults import DISK_FAULTS_VARIABLE
from martenstep.storage.files import Disk
from tests.engine_rig import SETTINGS
from tests.socket_rig import run

OLD_KEY, NEW_KEY = "ab" * 32, "cd" * 32
SHORT_INTERVALS = {"period_ms": 60, "ack_ms": 20, "gossip_ms": 20, "suspect_least_ms": 2000}


def fleet_settings(folder: Path, name: str, seeds: list[int], **overrides: Any) -> pb.Fleet:
    """Return settings of an instance, and write its key file unless it exists."""
    (folder / "keys").mkdir(exist_ok=True)
    key_file = folder / "keys" / name
    if not key_file.exists():
        key_file.write_text(f"{OLD_KEY}  # current\n", encoding="ascii")
    fleet = pb.Fleet(
        cluster="test", key_file=str(key_file), directory=str(folder / name), **{**SHORT_INTERVALS, **overrides}
    )
    for port in seeds:
        fleet.seed.add(port=port)
    return fleet


class Cluster:
    """Several instances in one event loop."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.instances: dict[str, MembershipService] = {}
        self.log_lines: list[tuple[str, dict[str, Any]]] = []

    async def start(self, name: str, **overrides: Any) -> MembershipService:
        seeds = [instance.port for instance in self.instances.values()][:1]
        instance = MembershipService(
            fleet_settings(self.folder, name, seeds, **overrides),
            name,
            "a",
            lambda event, fields: self.log_lines.append((event, fields)),
        )
        await instance.start()
        self.instances[name] = instance
        return instance

    async def wait_until(self, condition: Any) -> None:
        """Wait until a condition holds; the test's own timeout ends a wait in vain."""
        while not condition():
            await asyncio.sleep(0.02)

    def state(self, observer: str, name: str) -> MemberState | None:
        core = self.instances[observer].core
        assert core is not None
        record = core.table.get(name)
        return None if record is None else record.state

    def all_hold(self, state: MemberState | None, name: str) -> bool:
        return all(self.state(observer, name) is state for observer in self.instances if observer != name)

    async def stop(self) -> None:
        for instance in self.instances.values():
            await instance.stop()


def test_instances_join_observe_a_leave_and_recognize_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = Cluster(tmp_path)
        for name in ("d0", "d1", "d2"):
            await cluster.start(name)
        await cluster.wait_until(lambda: all(cluster.all_hold(MemberState.ALIVE, name) for name in cluster.instances))
        status = msgspec.to_builtins(cluster.instances["d2"].view())
        await cluster.instances["d2"].leave()
        await cluster.wait_until(lambda: cluster.all_hold(MemberState.LEFT, "d2"))
        await cluster.instances.pop("d2").stop()
        restarted = await cluster.start("d2")
        await cluster.wait_until(lambda: cluster.all_hold(MemberState.ALIVE, "d2"))
        core = restarted.core
        assert core is not None
        before = next(member for member in status["members"] if member["name"] == "d2")
        assert f"{core.record.node_id:016x}" == before["identity"] and core.record.incarnation > before["incarnation"]
        await cluster.stop()

    run(test())


def test_a_failed_instance_is_declared_dead_and_restarts_as_a_new_node_without_its_identity_file(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        cluster = Cluster(tmp_path)
        for name in ("d0", "d1", "d2", "d3"):
            await cluster.start(name)
        await cluster.wait_until(lambda: all(cluster.all_hold(MemberState.ALIVE, name) for name in cluster.instances))
        failed = cluster.instances.pop("d3")
        assert failed.core is not None
        old_node_id = failed.core.record.node_id
        await failed.stop()
        await cluster.wait_until(lambda: cluster.all_hold(MemberState.DEAD, "d3"))
        (tmp_path / "d3" / identity.IDENTITY_FILE).unlink()
        restarted = await cluster.start("d3")
        await cluster.wait_until(lambda: cluster.all_hold(MemberState.ALIVE, "d3"))
        assert restarted.core is not None and restarted.core.record.node_id != old_node_id
        assert restarted.core.record.epoch == 1
        await cluster.stop()

    run(test())


def test_keys_are_rotated_one_by_one_and_an_instance_with_another_key_cannot_join(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = Cluster(tmp_path)
        for name in ("d0", "d1"):
            await cluster.start(name)
        (tmp_path / "keys" / "x").write_text(NEW_KEY, encoding="ascii")
        outsider = await cluster.start("x")
        core = cluster.instances["d0"].core
        assert core is not None
        await cluster.wait_until(lambda: core.counters["dropped_stream_mac"])
        assert outsider.core is not None and not outsider.core.joined
        for keys in (f"{OLD_KEY}\n{NEW_KEY}", f"{NEW_KEY}\n{OLD_KEY}", NEW_KEY):
            for name in ("d0", "d1"):
                (tmp_path / "keys" / name).write_text(keys, encoding="ascii")
                cluster.instances[name].reload_keys()
        await cluster.wait_until(lambda: cluster.all_hold(MemberState.ALIVE, "x") and outsider.core.joined)
        (tmp_path / "keys" / "d0").write_text("nothing", encoding="ascii")
        cluster.instances["d0"].reload_keys()
        assert (
            cluster.log_lines[-1][0] == "membership keys not reloaded" and "line 1" in cluster.log_lines[-1][1]["error"]
        )
        await cluster.stop()

    run(test())


def test_an_invalid_frame_on_a_stream_is_counted_and_closes_the_stream(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = Cluster(tmp_path)
        instance = await cluster.start("d0")
        assert instance.core is not None
        for body in (b"", b"\xff" * 4, b"\0\0\0\x20" + b"x" * 32):
            reader, writer = await asyncio.open_connection("127.0.0.1", instance.port)
            await reader.readexactly(19)
            writer.write(b"n" * 16 + body)
            writer.write_eof()
            assert await reader.read() == b""
            writer.close()
        assert (
            instance.core.counters["dropped_stream_mac"] == 1 and instance.core.counters["dropped_stream_length"] == 1
        )
        await cluster.stop()

    run(test())


def test_operators_show_and_watch_the_members_and_let_an_instance_leave(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = Cluster(tmp_path)
        for name in ("d0", "d1"):
            await cluster.start(name)
        await cluster.wait_until(lambda: all(cluster.all_hold(MemberState.ALIVE, name) for name in cluster.instances))
        admin = AdminListener(GatewayCollector(dict, cluster.instances["d0"].gauges), lambda: True)
        port = await admin.start("127.0.0.1", 0)
        address = f"127.0.0.1:{port}"
        result = await asyncio.to_thread(CliRunner().invoke, cli, ["members", "show", "--admin", address])
        assert result.exit_code == 1 and "no fleet" in result.output
        admin.membership = cluster.instances["d0"]
        result = await asyncio.to_thread(CliRunner().invoke, cli, ["members", "show", "--admin", address])
        assert (
            result.exit_code == 0 and "d0 is joined; 2 of 2 present" in result.output and "d1    alive" in result.output
        )
        status = await fetch_admin_json(port, "/members")
        waiting = asyncio.create_task(fetch_admin_json(port, f"/members?after={status['version']}&wait_ms=4000"))
        left = await asyncio.to_thread(CliRunner().invoke, cli, ["members", "leave", "--admin", address])
        assert left.output == "d0 is gone\n"
        assert (await waiting)["version"] > status["version"]
        watched = await asyncio.to_thread(
            CliRunner().invoke, cli, ["members", "watch", "--admin", address, "--times", "1"]
        )
        assert "d0 is gone" in watched.output
        assert b"martenstep_fleet_members_left 1" in admin.respond_status("/metrics")[2]
        for path, code in (
            ("/members?after=x", 400),
            ("/members?wait_ms=1e9", 400),
            ("/members/no", 404),
            ("/members/leave", 405),
        ):
            with pytest.raises(ValueError, match=str(code)):
                await fetch_admin_json(port, path)
        admin.stop()
        await cluster.stop()

    run(test())


def test_an_unreachable_instance_is_reported_in_one_line() -> None:
    result = CliRunner().invoke(cli, ["members", "show", "--admin", "127.0.0.1:1"])
    assert result.exit_code == 1 and "127.0.0.1:1" in result.output
    assert CliRunner().invoke(cli, ["members", "show", "--admin", "x"]).exit_code == 2


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("", "expected 1 to 4 keys"),
        ("zz", "line 1: expected a key in hex"),
        ("ab", "line 1: expected at least 16 bytes"),
        ("é", "expected keys in hex"),
    ],
)
def test_unusable_keys_are_reported_and_never_shown(tmp_path: Path, text: str, problem: str) -> None:
    file = tmp_path / "keys"
    file.write_text(text, encoding="utf-8")
    with pytest.raises(KeyFileError, match=problem):
        read_keyring(file)
    with pytest.raises(KeyFileError, match="No such file"):
        read_keyring(tmp_path / "none")


def test_the_identity_is_stored_with_the_number_of_starts_and_disk_faults_prevent_no_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rng = random.Random(1)
    with Disk(tmp_path / "a") as disk:
        first, problem = identity.load_identity(disk, rng)
        second, _ = identity.load_identity(disk, rng)
        assert not problem and (first.node_id, first.start_count, second.start_count) == (second.node_id, 1, 2)
        disk.write_atomically(identity.IDENTITY_FILE, b"{")
        third, problem = identity.load_identity(disk, rng)
        assert third.node_id != first.node_id and third.start_count == 1 and "cannot read identity.json" in problem
    faults = tmp_path / "faults"
    monkeypatch.setenv(DISK_FAULTS_VARIABLE, str(faults))
    for number, (fault, reason) in enumerate((('{"full": 1}', "No space left"), ('{"sync_fails": 1}', "Input/output"))):
        faults.write_text(fault)
        with Disk(tmp_path / "a") as broken:
            loaded, problem = identity.load_identity(broken, rng)
            assert loaded.start_count == 2 and reason in problem, number
    faults.write_text("{}")
    with Disk(tmp_path / "a") as repaired:
        assert identity.load_identity(repaired, rng)[0].start_count == 2


def test_problems_of_the_settings_are_reported_by_field() -> None:
    with pytest.raises(SettingsError) as error:
        parse_door(
            SETTINGS + 'fleet { host: "0.0.0.0" period_ms: 100 ack_ms: 80 suspect_least_ms: 5 seed { } '
            "way { to { port: 1 } } }\nworkers { count: 2 }",
            "d",
        )
    text = str(error.value)
    for field in (
        "fleet.cluster",
        "fleet.key_file",
        "fleet.advertise",
        "fleet.ack_ms",
        "fleet.suspect_least_ms",
        "fleet.seed[0].port",
        "fleet.way[0].through.port",
    ):
        assert field in text, (field, text)
    assert "several workers" in text
    assert json.dumps(text)
