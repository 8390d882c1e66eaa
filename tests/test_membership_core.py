"""The membership core alone: suspicions, signatures, replays, and what a member does about its own faults."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from martenstep.membership import codec as wire
from martenstep.membership.actions import MemberEvent, OpenExchange, SendDatagram
from martenstep.membership.core import MembershipCore
from martenstep.membership.errors import ProtocolError
from martenstep.membership.exchange_dialer import ExchangePurpose
from martenstep.membership.gossip_queue import GossipQueue
from martenstep.membership.keyring import Keyring
from martenstep.membership.member import Address, MemberRecord, MemberState
from martenstep.membership.member_table import BUCKET_COUNT, MemberTable
from martenstep.membership.ownership import select_owners
from martenstep.membership.settings import MembershipSettings, Stage
from martenstep.membership.suspicion import suspicion_timeout_ms

KEY, OTHER = b"k" * 32, b"o" * 32
AT = 1000.0
SETTINGS = MembershipSettings("c", seeds=(("10.0.0.1", 1),))


def make_record(number: int, **changes: object) -> MemberRecord:
    made = MemberRecord(f"d{number}", 0, 100 + number, 1, MemberState.ALIVE, 1000 + number, f"10.0.0.{number}", 1, "z")
    return msgspec.structs.replace(made, **changes)


class CoreNetwork:
    """A few cores whose datagrams and exchanges are carried by hand."""

    def __init__(self, number: int, settings: MembershipSettings = SETTINGS) -> None:
        self.now = AT
        self.settings = settings
        self.cores: dict[Address, MembershipCore] = {}
        self.events: list[tuple[str, MemberEvent]] = []
        self.cut: set[tuple[str, str]] = set()
        self.wire: list[tuple[str, SendDatagram]] = []
        for each in range(1, number + 1):
            self.start(make_record(each))

    def start(self, me: MemberRecord, keys: Keyring | None = None) -> MembershipCore:
        core = MembershipCore(self.settings, me, keys or Keyring([KEY]), random.Random(me.boot_id), self.now)
        self.cores[me.address] = core
        return core

    def core(self, number: int) -> MembershipCore:
        return self.cores[f"10.0.0.{number}", 1]

    def collect(self) -> None:
        for core in list(self.cores.values()):
            for action in core.take_actions():
                if isinstance(action, SendDatagram):
                    self.wire.append((core.record.name, action))
                elif isinstance(action, OpenExchange):
                    self._exchange(core, action)
                else:
                    self.events.append((core.record.name, action))

    def _exchange(self, core: MembershipCore, action: OpenExchange) -> None:
        body: bytes | None = core.open_exchange()
        while body is not None:
            target = self.cores.get(action.to)
            answer = None
            if (
                target is not None
                and not {(core.record.name, target.record.name), (target.record.name, core.record.name)} & self.cut
            ):
                try:
                    answer = target.serve_exchange(self.now, body)
                except ProtocolError:
                    answer = None
            body = core.continue_exchange(self.now, action.token, answer)

    def deliver(self) -> None:
        """All that is on its way."""
        for _ in range(20):
            self.collect()
            if not self.wire:
                return
            sent, self.wire = self.wire, []
            for source, each in sent:
                target = self.cores.get(each.to)
                if target is not None and (source, target.record.name) not in self.cut:
                    target.receive(self.now, each.data)

    def run(self, ms: float, paused: frozenset[str] = frozenset()) -> None:
        """Let time pass in steps of 10 ms."""
        until = self.now + ms
        while self.now < until:
            self.now += 10.0
            for core in list(self.cores.values()):
                if core.record.name not in paused and core.next_due_ms <= self.now:
                    core.wake(self.now)
            self.deliver()

    def kinds(self, kind: str) -> list[tuple[str, str]]:
        return [(who, event.member) for who, event in self.events if event.kind == kind]


def test_members_find_each_other_and_converge() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    assert {core.stage for core in network.cores.values()} == {Stage.JOINED}
    assert {core.table.digest for core in network.cores.values()} == {network.core(1).table.digest}
    assert all(core.table.present_count == 5 for core in network.cores.values())


def test_a_failed_member_is_declared_dead_at_all_and_one_that_leaves_as_left() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    del network.cores["10.0.0.4", 1]
    network.core(5).leave(network.now)
    network.run(9000)
    for number in (1, 2, 3):
        states = {each.name: each.state for each in network.core(number).table}
        assert states["d4"] is MemberState.DEAD and states["d5"] is MemberState.LEFT
    assert ("d5", "d5") in network.kinds("gone")


def test_a_paused_member_suspects_nobody_and_refutes_its_own_suspicion() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    paused = network.cores.pop(("10.0.0.3", 1))
    network.run(2000)
    assert network.kinds("suspect")
    network.cores["10.0.0.3", 1] = paused
    paused.wake(network.now)
    network.events.clear()
    network.run(5000)
    assert not network.kinds("suspect") and not network.kinds("dead")
    assert paused.counters["stood"] == 1 and paused.record.incarnation > 1
    assert all(each.state is MemberState.ALIVE for core in network.cores.values() for each in core.table)


def test_a_suspicion_that_expired_during_a_pause_declares_nobody_dead() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    watcher = network.core(1)
    accused = watcher.table.get("d3")
    assert accused is not None
    watcher.merger.apply(network.now, accused.with_state(MemberState.SUSPECT, "d2"))
    network.run(10)
    held = network.cores.pop(("10.0.0.1", 1))
    network.run(10)
    network.wire.clear()
    network.now += 60_000.0  # all of them stand, and d3's refutation waits in the socket
    network.cores["10.0.0.1", 1] = held
    for core in network.cores.values():
        core.wake(network.now)
    network.run(6000)
    assert not network.kinds("dead")


def test_a_receive_partitioned_member_reports_so_suspects_nobody_and_is_not_declared_dead() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    network.cut = {(f"d{number}", "d3") for number in (1, 2, 4, 5)}
    network.run(20_000)
    assert network.core(3).receive_partitioned
    assert ("d1", "d3") not in network.kinds("dead")
    assert all(about == "d3" for _, about in network.kinds("suspect"))
    network.cut.clear()
    network.run(5000)
    assert not network.core(3).receive_partitioned and all(
        core.table.present_count == 5 for core in network.cores.values()
    )


def test_a_send_partitioned_member_reports_so_and_suspects_nobody() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    network.cut = {("d3", f"d{number}") for number in (1, 2, 4, 5)}
    network.run(25_000)
    assert network.core(3).send_partitioned and not network.core(3).receive_partitioned
    assert all(each.state is MemberState.ALIVE for each in network.core(3).table)
    dead = network.core(1).table.get("d3")
    assert dead is not None and dead.state is MemberState.DEAD
    network.cut.clear()
    network.run(6000)
    assert not network.core(3).send_partitioned and network.core(1).table.present_count == 5


def test_a_name_that_runs_elsewhere_is_rejected_and_its_owner_stays() -> None:
    network = CoreNetwork(4)
    network.run(4000)
    twin = network.start(make_record(9, name="d3"))
    network.run(6000)
    assert twin.stage.value == "refused" and ("d3", "d3") in network.kinds("refused")
    held = network.core(1).table.get("d3")
    assert held is not None and held.node_id == 103
    del network.cores["10.0.0.3", 1]
    network.run(25_000)  # the holder is dead: now the name is free
    held = network.core(1).table.get("d3")
    assert twin.joined
    assert held is not None and (held.node_id, held.epoch) == (109, 1)


def test_a_member_that_just_joined_is_probed_in_the_round_under_way() -> None:
    """Else one that died soon after it had joined would be probed by nobody for a whole round."""
    network = CoreNetwork(5)
    network.run(4000)
    for core in network.cores.values():
        core.probe_round.remaining = ["d1", "d2"] * 50
    network.start(make_record(6))
    network.run(1500)
    others = [core for core in network.cores.values() if core.record.name != "d6"]
    assert all(core.table.present_count == 6 and "d6" in core.probe_round.remaining for core in others)


def test_a_lost_disk_under_an_old_name_at_the_old_address_takes_it_over_at_once() -> None:
    network = CoreNetwork(4)
    network.run(4000)
    del network.cores["10.0.0.3", 1]
    network.start(make_record(3, node_id=555, boot_id=777))
    network.run(1500)
    held = network.core(1).table.get("d3")
    assert held is not None and (held.node_id, held.boot_id, held.epoch) == (555, 777, 1)
    assert ("d1", "d3") in network.kinds("replaced")


def test_a_name_taken_over_is_kept_through_the_next_start() -> None:
    """The era in which a new disk took the name over is not on that disk."""
    network = CoreNetwork(4)
    network.run(4000)
    del network.cores["10.0.0.2", 1]
    network.run(30_000)
    assert network.core(1).table.get("d2").state is MemberState.DEAD  # type: ignore[union-attr]
    for life, starts in ((91, 1), (92, 2), (93, 3)):
        network.start(make_record(2, node_id=999, boot_id=life, incarnation=starts))
        network.run(3000)
        held = [core.table.get("d2") for core in network.cores.values() if core.record.name != "d2"]
        assert all(one is not None and one.present and (one.boot_id, one.epoch) == (life, 1) for one in held), held
        assert network.core(2).stage is Stage.JOINED and network.core(2).record.epoch == 1


def test_a_member_whose_exchange_another_opens_still_supersedes_claims_of_its_name() -> None:
    """Another door that holds its name for gone opens the first exchange."""
    network = CoreNetwork(3)
    network.run(4000)
    del network.cores["10.0.0.2", 1]
    network.run(30_000)
    newcomer = network.start(make_record(2, node_id=5, boot_id=91))  # below the one that was there, in the same era
    network.core(3).dialer.dial(network.now, newcomer.record.address, ExchangePurpose.RECONNECT)
    network.collect()
    assert newcomer.stage is Stage.JOINED
    network.run(20_000)
    for number in (1, 3):
        held = network.core(number).table.get("d2")
        assert held is not None and held.present and held.boot_id == 91, held


def test_a_restored_disk_comes_back_above_what_is_known_of_it() -> None:
    network = CoreNetwork(4)
    network.run(4000)
    network.core(3).node.announce(network.now, incarnation=9)
    network.run(2000)
    del network.cores["10.0.0.3", 1]
    network.start(make_record(3, incarnation=2, boot_id=888))
    network.run(2000)
    held = network.core(1).table.get("d3")
    assert held is not None and held.boot_id == 888 and held.incarnation == 10


def test_a_restarted_receiver_is_reached_though_its_boot_id_is_not_known() -> None:
    network = CoreNetwork(3)
    network.run(4000)
    core = network.core(2)
    again = MembershipCore(
        SETTINGS, msgspec.structs.replace(core.record, boot_id=4242), Keyring([KEY]), random.Random(1), network.now
    )
    again.node.stage = Stage.JOINED
    for each in core.table:
        if each.name != "d2":
            again.table.put(network.now, each)
    network.cores["10.0.0.2", 1] = again
    network.run(3000)
    assert again.counters["dropped_life"] and not network.kinds("dead")
    assert again.counters["received"]


def test_tables_that_differ_without_gossip_converge_by_an_exchange() -> None:
    network = CoreNetwork(4)
    network.run(4000)
    network.core(1).table.put(network.now, make_record(8, state=MemberState.LEFT))  # without a word to others
    network.run(20_000)
    assert all(core.table.get("d8") is not None for core in network.cores.values())


def test_replays_and_forged_datagrams_change_nothing() -> None:
    network = CoreNetwork(3)
    network.run(4000)
    core = network.core(1)
    network.collect()
    captured: list[SendDatagram] = []
    for _ in range(300):
        network.now += 10
        for each in network.cores.values():
            if each.next_due_ms <= network.now:
                each.wake(network.now)
        network.collect()
        captured += [each for _, each in network.wire if each.to == core.record.address]
        network.deliver()
    assert captured
    before = core.table.digest, core.table.version, len(core.channel.replay_windows)
    for old in captured:
        core.receive(network.now, old.data)
    assert core.counters["dropped_replay"] == len(captured)
    spoilt = bytearray(captured[0].data)
    spoilt[40] ^= 1
    core.receive(network.now, bytes(spoilt))
    assert core.counters["dropped_mac"] == 1
    restarted = MembershipCore(SETTINGS, make_record(1, boot_id=31337), Keyring([KEY]), random.Random(2), network.now)
    restarted.node.stage = Stage.JOINED
    for old in captured:
        restarted.receive(network.now, old.data)
    assert len(restarted.table) == 1 and restarted.counters["dropped_life"] == len(captured)
    assert before == (core.table.digest, core.table.version, len(core.channel.replay_windows))


@given(st.binary(max_size=1400))
def test_no_bytes_crash_a_core_or_change_its_table(data: bytes) -> None:
    network = CoreNetwork(2)
    core = network.core(1)
    core.receive(AT, data)
    assert len(core.table) == 1 and not core.counters["received"]
    with pytest.raises(ProtocolError):
        core.serve_exchange(AT, b"\xc1" + data)


@given(st.binary(max_size=600))
def test_no_signed_body_crashes_a_core(body: bytes) -> None:
    core = CoreNetwork(2).core(1)
    keys = Keyring([KEY])
    head = wire.HEADER.pack(b"MG", 1, 0, wire.cluster_hash("c"), 7, core.record.boot_id, 1) + body
    core.receive(AT, head + keys.sign(head))
    assert sum(core.counters[f"dropped_{why}"] for why in ("body", "length")) == 1 or core.counters["received"]


def test_keys_are_rotated_one_by_one_and_other_clusters_are_dropped() -> None:
    both, new = Keyring([OTHER, KEY]), Keyring([OTHER])
    assert new.verify(b"x", both.sign(b"x")) and both.verify(b"x", Keyring([KEY]).sign(b"x"))
    assert not new.verify(b"x", Keyring([KEY]).sign(b"x"))
    network = CoreNetwork(1)
    foreign = MembershipCore(replace(SETTINGS, cluster="other"), make_record(2), Keyring([KEY]), random.Random(1), AT)
    foreign.channel.send(("10.0.0.1", 1), 1001, wire.IndirectPingResponse(wire.Sender("d2", "10.0.0.2", 1), 1, True))
    (sent,) = [each for each in foreign.take_actions() if isinstance(each, SendDatagram)]
    network.core(1).receive(AT, sent.data)
    assert network.core(1).counters["dropped_cluster"] == 1


records = st.builds(
    make_record,
    st.integers(1, 4),
    epoch=st.integers(0, 2),
    node_id=st.integers(1, 3),
    incarnation=st.integers(0, 3),
    state=st.sampled_from(MemberState),
)


@given(st.lists(records, max_size=20), st.randoms())
def test_the_table_is_the_same_whatever_the_order(received: list[MemberRecord], rng: random.Random) -> None:
    def of(order: list[MemberRecord]) -> MemberTable:
        table = MemberTable()
        for each in order:
            before = table.get(each.name)
            if before is None or each.precedence > before.precedence:
                table.put(AT, each)
        return table

    mixed = list(received)
    rng.shuffle(mixed)
    one, other = of(received), of(mixed)
    assert {each.name: each.precedence for each in one} == {each.name: each.precedence for each in other}
    assert one.bucket_digests == other.bucket_digests and one.present_count == sum(each.present for each in one)
    for each in list(one):
        one.remove(each.name)
    assert one.bucket_digests == [0] * BUCKET_COUNT and one.present_count == 0


members = st.dictionaries(st.text("abcdef", min_size=1, max_size=4), st.sampled_from("xyz"), min_size=1, max_size=12)


@given(members, st.integers(1, 5), st.data())
def test_a_lost_member_moves_only_what_it_owned(zones: dict[str, str], count: int, data: st.DataObject) -> None:
    lost = data.draw(st.sampled_from(sorted(zones)))
    for key in map(str, range(20)):
        before = select_owners(key, zones.items(), count)
        after = select_owners(key, [item for item in zones.items() if item[0] != lost], count)
        assert len(set(before)) == min(count, len(zones))
        if lost not in before:
            assert after == before
        else:
            assert set(before) - {lost} <= set(after)
        assert len({zones[name] for name in before}) == min(count, len(set(zones.values())))


def test_owners_are_spread_evenly() -> None:
    names = [(f"d{number}", f"z{number % 3}") for number in range(9)]
    held = [select_owners(str(key), names, 3)[0] for key in range(3000)]
    assert all(200 < held.count(name) < 470 for name, _ in names)


def test_each_record_is_transmitted_a_bounded_number_of_times_the_newest_first() -> None:
    queue = GossipQueue()
    queue.enqueue(make_record(1))
    first = queue.take(1000, 99)
    queue.enqueue(make_record(2))
    assert queue.take(len(first[0]), 99) == [wire.encode(make_record(2))]
    times = 2
    while queue.take(1000, 99):
        times += 1
    assert times == 9 and not len(queue)


def test_a_single_accuser_declares_dead_slowly() -> None:
    alone, more = (
        suspicion_timeout_ms(24, 0, 500, 4000),
        [suspicion_timeout_ms(24, others, 500, 4000) for others in (1, 2, 3, 9)],
    )
    assert alone == 24_000 and more == sorted(more, reverse=True) and more[-1] == 4000
    assert suspicion_timeout_ms(3, 0, 500, 4000) == 4000


class Fleet(RuleBasedStateMachine):
    """Four members whose datagrams are lost, duplicated, delayed and reordered; at the end all converge."""

    def __init__(self) -> None:
        super().__init__()
        self.net = CoreNetwork(4)
        self.rank: dict[tuple[str, str], tuple[int, int, int]] = {}

    @initialize()
    def joined(self) -> None:
        self.net.run(3000)

    @rule(ms=st.integers(10, 700))
    def time(self, ms: int) -> None:
        self.net.run(ms)

    @rule(number=st.integers(1, 4), ms=st.integers(200, 9000))
    def stands(self, number: int, ms: int) -> None:
        self.net.run(ms, paused=frozenset({f"d{number}"}))

    @rule(one=st.integers(1, 4), other=st.integers(1, 4), ms=st.integers(200, 9000))
    def cut(self, one: int, other: int, ms: int) -> None:
        self.net.cut = {(f"d{one}", f"d{other}")}
        self.net.run(ms)
        self.net.cut = set()

    @rule(data=st.data(), ms=st.integers(10, 200))
    def mixed(self, data: st.DataObject, ms: int) -> None:
        self.net.now += ms
        for core in self.net.cores.values():
            if core.next_due_ms <= self.net.now:
                core.wake(self.net.now)
        self.net.collect()
        sent = self.net.wire
        if sent:
            self.net.wire = data.draw(st.lists(st.sampled_from(sent), max_size=2 * len(sent)))

    @invariant()
    def precedence_never_decreases(self) -> None:
        for core in self.net.cores.values():
            for each in core.table:
                rank = each.epoch, each.node_id, each.incarnation
                key = core.record.name, each.name
                assert rank >= self.rank.get(key, rank)
                self.rank[key] = rank

    def teardown(self) -> None:
        self.net.run(40_000)
        assert all(
            core.table.present_count == 4 and core.table.digest == self.net.core(1).table.digest
            for core in self.net.cores.values()
        )


def test_whatever_the_network_does_all_converge_in_the_end() -> None:
    from hypothesis import settings

    run_state_machine_as_test(
        Fleet, settings=settings(max_examples=12, stateful_step_count=12, deadline=None, derandomize=True)
    )
