"""Pending increments: another gateway delivers a lost gateway's attempts once, and its group is dissolved."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenstep.counter.increment_ledger import IncrementLedger, is_ledger_group
from martenstep.counter.pending_increments import (
    Acknowledge,
    AddPending,
    AttemptRecord,
    Entry,
    FenceOwner,
    PendingIncrements,
    SetOwner,
    encode_entry,
    split_acknowledged,
    split_pending,
)
from martenstep.replication.replica_manager import ReplicaManager
from martenstep.replication.transport import Transport
from tests.replica_fleet_rig import FAST_RAFT_SETTINGS, KEYS, ReplicaFleet
from tests.replica_rig import Sum
from tests.socket_rig import LONG_TEST_TIMEOUT_S, run


def make_attempt(request_id: str) -> AttemptRecord:
    return AttemptRecord(request_id, 1e12, 1.0, False, "ada", "pro", "read")


def test_an_attempt_is_pending_until_acknowledged_and_a_fenced_owner_adds_no_more() -> None:
    increments = PendingIncrements()
    assert increments.apply(encode_entry(SetOwner("d1")))
    assert increments.apply(encode_entry(SetOwner("d2")))
    assert increments.owner == "d1"
    assert increments.apply(encode_entry(AddPending((make_attempt("a"), make_attempt("b")))))
    assert increments.apply(encode_entry(Acknowledge(("a", "zz"))))
    assert list(increments.pending) == ["b"] and increments.acknowledged_count == 1
    assert increments.apply(encode_entry(FenceOwner()))
    assert not increments.apply(encode_entry(AddPending((make_attempt("c"),))))
    assert list(increments.pending) == ["b"]
    assert not increments.apply(b"\xff\x00")
    assert increments.apply(encode_entry(Acknowledge(("b",))))
    assert not increments.pending


ENTRIES = st.lists(
    st.one_of(
        st.builds(
            lambda ids: AddPending(tuple(map(make_attempt, ids))), st.lists(st.sampled_from("abcdef"), max_size=3)
        ),
        st.builds(lambda ids: Acknowledge(tuple(ids)), st.lists(st.sampled_from("abcdef"), max_size=3)),
        st.builds(SetOwner, st.sampled_from(["d1", "d2"])),
        st.just(FenceOwner()),
    ),
    max_size=20,
)


@given(ENTRIES, st.integers(0, 20))
def test_a_replica_restored_from_a_snapshot_continues_like_one_that_applied_all_entries(
    entries: list[Entry], cut: int
) -> None:
    complete, restored = PendingIncrements(), PendingIncrements()
    for entry in entries[:cut]:
        complete.apply(encode_entry(entry))
    restored.restore(complete.snapshot())
    for entry in entries[cut:]:
        assert restored.apply(encode_entry(entry)) == complete.apply(encode_entry(entry))
    assert (restored.pending, restored.owner, restored.fenced, restored.acknowledged_count) == (
        complete.pending,
        complete.owner,
        complete.fenced,
        complete.acknowledged_count,
    )


def test_large_entries_are_split_and_an_invalid_snapshot_is_reported() -> None:
    attempts = [
        AttemptRecord("r" * 64 + str(number), 1e12, 1.0, True, "c" * 64, "p" * 64, "k" * 64) for number in range(250)
    ]
    entries = list(split_pending(attempts))
    assert [attempt for entry in entries for attempt in entry.attempts] == attempts
    assert max(len(encode_entry(entry)) for entry in entries) < 65536
    acknowledgements = split_acknowledged([attempt.request_id for attempt in attempts])
    assert sum(len(entry.request_ids) for entry in acknowledgements) == 250
    with pytest.raises(ValueError, match="not a snapshot of pending increments"):
        PendingIncrements().restore(b"\x01")


class LedgerFleet(ReplicaFleet):
    """Gateways with increment ledgers; a dict of deliveries stands in for the counter."""

    def __init__(self, folder: Path, names: str, node_lost_after_ms: float) -> None:
        super().__init__(folder, names, groups=(), node_lost_after_ms=node_lost_after_ms)
        self.ledgers: dict[str, IncrementLedger] = {}
        self.deliveries: dict[str, list[str]] = {}  # by request id: the gateways that delivered it
        self.counter_down = False
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, *names: str) -> None:
        for name in names:

            def owner(group: str, name: str = name) -> str | None:
                replica = self.managers[name].replica(group)
                if replica is None or not isinstance(replica.state_machine, PendingIncrements):
                    return None
                return replica.state_machine.owner or None

            manager = self.managers[name] = ReplicaManager(
                name,
                self.folder / name,
                self.folder / f"{name}-witness",
                self.replication,
                lambda group: PendingIncrements() if is_ledger_group(group) else Sum(),
                self.cluster_nodes,
                lambda event, fields: self.events.append((event, fields)),
                FAST_RAFT_SETTINGS,
                is_own_group=is_ledger_group,
                preferred_node=owner,
            )
            transport = self.transports[name] = Transport(
                "f", name, lambda: KEYS, self.addresses.get, manager.receive, manager.report_unknown_replica
            )
            host, port = self.addresses.get(name, ("127.0.0.1", 0))
            self.addresses[name] = host, await transport.start(host, port)
            await manager.start(transport)
            ledger = self.ledgers[name] = IncrementLedger(
                name, manager, partial(self.deliver, name), lambda event, fields: self.events.append((event, fields))
            )
            await ledger.start()

    def deliver(self, name: str, attempt: AttemptRecord) -> bool:
        if self.counter_down:
            return False
        self.deliveries.setdefault(attempt.request_id, []).append(name)
        asyncio.get_running_loop().call_soon(self.ledgers[name].on_acknowledged, attempt.request_id)
        return True

    async def kill(self, name: str, wipe: bool = False) -> None:
        await self.ledgers.pop(name).stop()
        await super().kill(name, wipe)

    async def replicate(self, name: str, request_id: str) -> None:
        """Repeat until an attempt is fully replicated, because an election may interrupt it."""
        while not await self.ledgers[name].replicate(make_attempt(request_id)):
            await asyncio.sleep(0.02)

    def state(self, name: str, group: str) -> Any:
        manager = self.managers.get(name)
        replica = manager.replica(group) if manager is not None else None
        return replica.state_machine if replica is not None else None

    async def wait_for_own_group(self, name: str) -> str:
        """Wait until a gateway's own group has three replicas and its owner leads it; returns the group."""
        ledger = self.ledgers[name]
        await self.until(
            lambda: (
                len(self.voter_nodes(ledger.own_group)) == 3
                and name
                in [
                    node
                    for node in self.managers
                    if any(led.replica.group == ledger.own_group for led in self.ledgers[node].led_groups())
                ]
            )
        )
        return ledger.own_group


def test_another_gateway_delivers_the_attempts_of_a_lost_one_and_dissolves_its_group(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = LedgerFleet(tmp_path, "abcd", node_lost_after_ms=2000.0)
        await fleet.start(*"abcd")
        own = await fleet.wait_for_own_group("a")
        fleet.counter_down = True  # no gateway can deliver yet
        await asyncio.gather(*(fleet.replicate("a", f"r{number}") for number in range(250)))
        assert fleet.ledgers["a"].counts["promised"] == 250
        await fleet.kill("a", wipe=True)  # the gateway is lost with its disk and its journal
        fleet.counter_down = False
        await fleet.until(lambda: len(fleet.deliveries) == 250)
        assert all(len(senders) == 1 and senders[0] in "bcd" for senders in fleet.deliveries.values())
        # The owner is lost for good: its group is fenced, and dissolved everywhere once all attempts are recorded.
        await fleet.until(lambda: all(fleet.state(name, own) is None for name in "bcd"))
        assert any(event == "increment group fenced" for event, _ in fleet.events)
        await fleet.start("a")
        assert fleet.ledgers["a"].own_group != own
        await fleet.wait_for_own_group("a")
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_gateway_that_was_wrongly_declared_lost_finds_its_group_fenced_and_creates_another(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        fleet = LedgerFleet(tmp_path, "abcd", node_lost_after_ms=600.0)
        await fleet.start(*"abcd")
        own = await fleet.wait_for_own_group("a")
        fleet.counter_down = True
        await fleet.replicate("a", "r1")
        fleet.names.remove("a")  # the membership is wrong: the gateway still has its disk and its group
        await fleet.kill("a")
        await fleet.until(lambda: any(getattr(fleet.state(name, own), "fenced", False) for name in "bcd"))
        fleet.names.append("a")
        await fleet.start("a")
        await fleet.until(lambda: fleet.ledgers["a"].own_group != own)  # the old group is fenced
        await fleet.wait_for_own_group("a")
        fleet.counter_down = False
        await fleet.until(lambda: "r1" in fleet.deliveries)
        await fleet.replicate("a", "r2")
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_an_attempt_in_an_incomplete_group_is_reported_as_not_replicated(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = LedgerFleet(tmp_path, "a", node_lost_after_ms=3_600_000.0)
        await fleet.start("a")
        await fleet.until(lambda: fleet.ledgers["a"].led_groups())
        assert not await fleet.ledgers["a"].replicate(make_attempt("r1")) and fleet.ledgers["a"].counts["thin"] == 1
        await fleet.kill("a")
        await fleet.start("a")  # with the same group and its pending attempt
        await fleet.until(lambda: "r1" in fleet.deliveries)
        await fleet.until(lambda: not fleet.state("a", fleet.ledgers["a"].own_group).pending)
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)
