"""Views of replicas for operators: the JSON of the admin page, the command's table, and names of metrics."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec

from martenstep.cli.copies import COLUMNS, format_table
from martenstep.membership.keyring import Keyring
from martenstep.replication.messages import AppendEntriesResponse, VoteResponse
from martenstep.replication.node_disk import derive_replica_id
from martenstep.replication.raft import DurableWrite, Role
from martenstep.replication.replica import Replica
from martenstep.replication.replica_manager import ReplicaManager
from martenstep.replication.settings import BootstrapMember, ClusterNode, ReplicationSettings
from martenstep.replication.transport import Transport
from tests.replica_rig import Sum
from tests.socket_rig import run

FORMATS = Path(__file__).parent / "formats" / "replication"
REPLICATION = ReplicationSettings(
    ("g-0", "g-1"), (BootstrapMember("a", 1), BootstrapMember("b", 2), BootstrapMember("c", 3))
)
NODES = [ClusterNode("a", "z1", True), ClusterNode("b", "z2", True), ClusterNode("c", "z3", False)]


def complete_writes(replica: Replica, now: float) -> None:
    writes = [action for action in replica.raft.actions if isinstance(action, DurableWrite)]
    replica.raft.actions.clear()
    if writes:
        replica.raft.write_completed(now, writes[-1].sequence)


def make_leader(replica: Replica) -> None:
    """Make a replica leader by the vote of `b`'s replica, which then lags by one entry."""
    raft, other = replica.raft, derive_replica_id(2, replica.group)
    now = raft.next_timer_at
    raft.confirm_disk(now)
    while raft.role.value != "trying":
        now = raft.next_timer_at
        raft.run_due_timers(now)
    raft.receive(now, other, VoteResponse(raft.term + 1, True, True))
    complete_writes(replica, now)
    raft.receive(now, other, VoteResponse(raft.term, False, True))
    complete_writes(replica, now)
    raft.receive(now, other, AppendEntriesResponse(raft.term, True, 1, 1))
    assert raft.propose(b"5") == 2
    complete_writes(replica, now)


async def collect_views(folder: Path) -> tuple[dict[str, Any], dict[str, float], Any]:
    (folder / "node").mkdir()
    (folder / "node" / "disk.json").write_bytes(b'{"id":1}')
    manager = ReplicaManager(
        "a",
        folder / "node",
        folder / "witness",
        REPLICATION,
        lambda group: Sum(),
        lambda: NODES,
        lambda event, fields: None,
    )
    await manager.start(Transport("fleet", "a", lambda: Keyring([bytes(32)]), lambda node: None))
    replica = manager.replica("g-0")
    assert replica is not None
    make_leader(replica)
    view, gauges = manager.view(), manager.gauges()
    led = [[one.group, one.nodes, one.healthy] for one in manager.led_groups()]
    await manager.stop()
    return view, gauges, led


def test_the_page_of_replicas_its_table_and_its_gauges(tmp_path: Path) -> None:
    async def test() -> None:
        view, gauges, led = await collect_views(tmp_path)
        assert msgspec.json.encode(view) == (FORMATS / "view.json").read_bytes()
        assert format_table(view) == (FORMATS / "table.txt").read_text()
        assert led == [["g-0", ["a", "b", "c"], False]]
        assert gauges == {
            "copies_held": 2,
            "copies_led": 1,
            "copies_under_strength": 1,
            "copies_halted": 0,
            "copies_unproven": 1,
            "copies_no_leader": 1,
            "copies_most_behind": 2,
        }

    run(test())


def test_a_page_is_read_key_by_key() -> None:
    view = json.loads((FORMATS / "view.json").read_bytes())
    assert list(view) == ["me", "disk", "copies", "groups", "counts"]
    leading, following = view["groups"]
    assert list(leading) == ["group", "copy", "role", "term", "commit", "last", "proven", "leader", "at", "wanted"]
    assert list(leading["at"][0]) == ["copy", "place", "counts", "present", "behind"]
    assert (leading["role"], leading["leader"], leading["proven"]) == ("leader", "a", True)
    assert (following["role"], following["leader"], following["proven"]) == ("follower", None, False)
    assert [role.value for role in Role] == ["follower", "trying", "candidate", "leader"]
    assert COLUMNS == ("group", "role", "term", "commit", "leader", "copies", "behind", "notes")


def test_the_counts_of_a_nodes_replicas_have_these_names(tmp_path: Path) -> None:
    async def test() -> None:
        manager = ReplicaManager(
            "d",
            tmp_path / "d",
            tmp_path / "w",
            REPLICATION,
            lambda group: Sum(),
            lambda: NODES,
            lambda event, fields: None,
        )
        await manager.start(Transport("fleet", "d", lambda: Keyring([bytes(32)]), lambda node: None))
        assert (await manager.create_own_group("g-9")) is not None
        manager.abandon_group("g-9")
        assert dict(manager.counts) == {"let_go": 1}
        identity = json.loads((tmp_path / "d" / "disk.json").read_bytes())
        assert list(identity) == ["id", "founded", "alone", "over"]
        assert (identity["founded"], identity["alone"], identity["over"]) == ([], "g-9", ["g-9"])
        while (tmp_path / "d" / "groups" / "g-9").exists():
            await asyncio.sleep(0.001)
        await manager.stop()

    run(test())
