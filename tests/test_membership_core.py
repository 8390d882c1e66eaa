"""Tests of the membership core without sockets: failure detection, joining, signatures, replays and convergence."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from martenstep.membership import codec
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

KEY, OTHER_KEY = b"k" * 32, b"o" * 32
START_MS = 1000.0
SETTINGS = MembershipSettings("c", seeds=(("10.0.0.1", 1),))


def make_record(number: int, **changes: object) -> MemberRecord:
    record = MemberRecord(
        f"d{number}", 0, 100 + number, 1, MemberState.ALIVE, 1000 + number, f"10.0.0.{number}", 1, "z"
    )
    return msgspec.structs.replace(record, **changes)


class CoreNetwork:
    """Several cores; the test advances time and delivers their datagrams and exchanges."""

    def __init__(self, count: int, settings: MembershipSettings = SETTINGS) -> None:
        self.now = START_MS
        self.settings = settings
        self.cores: dict[Address, MembershipCore] = {}
        self.events: list[tuple[str, MemberEvent]] = []
        self.blocked_links: set[tuple[str, str]] = set()  # pairs of sender and receiver
        self.in_flight: list[tuple[str, SendDatagram]] = []  # with the sender's name
        for number in range(1, count + 1):
            self.start(make_record(number))

    def start(self, record: MemberRecord) -> MembershipCore:
        core = MembershipCore(self.settings, record, Keyring([KEY]), random.Random(record.boot_id), self.now)
        self.cores[record.address] = core
        return core

    def core(self, number: int) -> MembershipCore:
        return self.cores[f"10.0.0.{number}", 1]

    def collect(self) -> None:
        """Take the actions of all cores: queue datagrams, carry out exchanges, and store events."""
        for core in list(self.cores.values()):
            for action in core.take_actions():
                if isinstance(action, SendDatagram):
                    self.in_flight.append((core.record.name, action))
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
                and not {(core.record.name, target.record.name), (target.record.name, core.record.name)}
                & self.blocked_links
            ):
                try:
                    answer = target.serve_exchange(self.now, body)
                except ProtocolError:
                    answer = None
            body = core.continue_exchange(self.now, action.token, answer)

    def deliver(self) -> None:
        """Deliver the datagrams in flight, and those sent in response, up to a bound."""
        for _ in range(20):
            self.collect()
            if not self.in_flight:
                return
            sent, self.in_flight = self.in_flight, []
            for source, datagram in sent:
                target = self.cores.get(datagram.to)
                if target is not None and (source, target.record.name) not in self.blocked_links:
                    target.receive(self.now, datagram.data)

    def run(self, ms: float, paused: frozenset[str] = frozenset()) -> None:
        """Advance time in steps of 10 ms, and wake the cores that are due."""
        until = self.now + ms
        while self.now < until:
            self.now += 10.0
            for core in list(self.cores.values()):
                if core.record.name not in paused and core.next_due_ms <= self.now:
                    core.wake(self.now)
            self.deliver()

    def events_of_kind(self, kind: str) -> list[tuple[str, str]]:
        """Return pairs of the node that emitted an event and the member that it is about."""
        return [(node, event.member) for node, event in self.events if event.kind == kind]


def test_members_find_each_other_and_converge() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    assert {core.stage for core in network.cores.values()} == {Stage.JOINED}
    assert {core.table.digest for core in network.cores.values()} == {network.core(1).table.digest}
    assert all(core.table.present_count == 5 for core in network.cores.values())


def test_all_members_hold_a_failed_member_dead_and_a_leaving_one_left() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    del network.cores["10.0.0.4", 1]
    network.core(5).leave(network.now)
    network.run(9000)
    for number in (1, 2, 3):
        states = {record.name: record.state for record in network.core(number).table}
        assert states["d4"] is MemberState.DEAD and states["d5"] is MemberState.LEFT
    assert ("d5", "d5") in network.events_of_kind("gone")


def test_a_paused_member_suspects_no_member_and_refutes_the_suspicion_of_itself() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    paused = network.cores.pop(("10.0.0.3", 1))
    network.run(2000)
    assert network.events_of_kind("suspect")
    network.cores["10.0.0.3", 1] = paused
    paused.wake(network.now)
    network.events.clear()
    network.run(5000)
    assert not network.events_of_kind("suspect") and not network.events_of_kind("dead")
    assert paused.counters["stood"] == 1 and paused.record.incarnation > 1
    assert all(record.state is MemberState.ALIVE for core in network.cores.values() for record in core.table)


def test_a_suspicion_that_expired_during_a_pause_declares_no_member_dead() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    observer = network.core(1)
    suspect = observer.table.get("d3")
    assert suspect is not None
    observer.merger.apply(network.now, suspect.with_state(MemberState.SUSPECT, "d2"))
    network.run(10)
    paused = network.cores.pop(("10.0.0.1", 1))
    network.run(10)
    network.in_flight.clear()
    network.now += 60_000.0  # all members are paused, and d3's refutation is not processed yet
    network.cores["10.0.0.1", 1] = paused
    for core in network.cores.values():
        core.wake(network.now)
    network.run(6000)
    assert not network.events_of_kind("dead")


def test_a_receive_partitioned_member_reports_it_suspects_no_member_and_is_not_declared_dead() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    network.blocked_links = {(f"d{number}", "d3") for number in (1, 2, 4, 5)}
    network.run(20_000)
    assert network.core(3).receive_partitioned
    assert ("d1", "d3") not in network.events_of_kind("dead")
    assert all(member == "d3" for _, member in network.events_of_kind("suspect"))
    network.blocked_links.clear()
    network.run(5000)
    assert not network.core(3).receive_partitioned and all(
        core.table.present_count == 5 for core in network.cores.values()
    )


def test_a_send_partitioned_member_reports_it_and_suspects_no_member() -> None:
    network = CoreNetwork(5)
    network.run(4000)
    network.blocked_links = {("d3", f"d{number}") for number in (1, 2, 4, 5)}
    network.run(25_000)
    assert network.core(3).send_partitioned and not network.core(3).receive_partitioned
    assert all(record.state is MemberState.ALIVE for record in network.core(3).table)
    record = network.core(1).table.get("d3")
    assert record is not None and record.state is MemberState.DEAD
    network.blocked_links.clear()
    network.run(6000)
    assert not network.core(3).send_partitioned and network.core(1).table.present_count == 5


def test_joining_under_the_name_of_a_running_member_is_rejected_until_that_member_is_dead() -> None:
    network = CoreNetwork(4)
    network.run(4000)
    duplicate = network.start(make_record(9, name="d3"))
    network.run(6000)
    assert duplicate.stage.value == "refused" and ("d3", "d3") in network.events_of_kind("refused")
    record = network.core(1).table.get("d3")
    assert record is not None and record.node_id == 103
    del network.cores["10.0.0.3", 1]
    network.run(25_000)  # the owner is declared dead, and the name becomes free
    record = network.core(1).table.get("d3")
    assert duplicate.joined
    assert record is not None and (record.node_id, record.epoch) == (109, 1)


def test_a_member_that_just_joined_is_probed_in_the_current_round() -> None:
    """Otherwise a member that died soon after it joined would not be probed for a whole round."""
    network = CoreNetwork(5)
    network.run(4000)
    for core in network.cores.values():
        core.probe_round.remaining = ["d1", "d2"] * 50
    network.start(make_record(6))
    network.run(1500)
    others = [core for core in network.cores.values() if core.record.name != "d6"]
    assert all(core.table.present_count == 6 and "d6" in core.probe_round.remaining for core in others)


def test_a_node_with_a_new_disk_at_its_old_address_takes_its_name_over_at_once() -> None:
    network = CoreNetwork(4)
    network.run(4000)
    del network.cores["10.0.0.3", 1]
    network.start(make_record(3, node_id=555, boot_id=777))
    network.run(1500)
    record = network.core(1).table.get("d3")
    assert record is not None and (record.node_id, record.boot_id, record.epoch) == (555, 777, 1)
    assert ("d1", "d3") in network.events_of_kind("replaced")


def test_a_node_that_took_a_name_over_keeps_it_after_restarts() -> None:
    """The disk does not store the epoch under which its node took the name over."""
    network = CoreNetwork(4)
    network.run(4000)
    del network.cores["10.0.0.2", 1]
    network.run(30_000)
    assert network.core(1).table.get("d2").state is MemberState.DEAD  # type: ignore[union-attr]
    for boot_id, start_count in ((91, 1), (92, 2), (93, 3)):
        network.start(make_record(2, node_id=999, boot_id=boot_id, incarnation=start_count))
        network.run(3000)
        records = [core.table.get("d2") for core in network.cores.values() if core.record.name != "d2"]
        assert all(
            record is not None and record.present and (record.boot_id, record.epoch) == (boot_id, 1)
            for record in records
        ), records
        assert network.core(2).stage is Stage.JOINED and network.core(2).record.epoch == 1


def test_a_node_that_joins_by_an_exchange_from_another_member_supersedes_claims_of_its_name() -> None:
    """Another member, which holds the former owner of the name dead, opens the first exchange."""
    network = CoreNetwork(3)
    network.run(4000)
    del network.cores["10.0.0.2", 1]
    network.run(30_000)
    newcomer = network.start(make_record(2, node_id=5, boot_id=91))  # loses to the former owner in the same epoch
    network.core(3).dialer.dial(network.now, newcomer.record.address, ExchangePurpose.RECONNECT)
    network.collect()
    assert newcomer.stage is Stage.JOINED
    network.run(20_000)
    for number in (1, 3):
        record = network.core(number).table.get("d2")
        assert record is not None and record.present and record.boot_id == 91, record


def test_a_node_with_a_restored_disk_rejoins_above_its_known_incarnation() -> None:
    network = CoreNetwork(4)
    network.run(4000)
    network.core(3).node.announce(network.now, incarnation=9)
    network.run(2000)
    del network.cores["10.0.0.3", 1]
    network.start(make_record(3, incarnation=2, boot_id=888))
    network.run(2000)
    record = network.core(1).table.get("d3")
    assert record is not None and record.boot_id == 888 and record.incarnation == 10


def test_a_restarted_member_is_reached_although_its_new_boot_id_is_unknown() -> None:
    network = CoreNetwork(3)
    network.run(4000)
    core = network.core(2)
    restarted = MembershipCore(
        SETTINGS, msgspec.structs.replace(core.record, boot_id=4242), Keyring([KEY]), random.Random(1), network.now
    )
    restarted.node.stage = Stage.JOINED
    for record in core.table:
        if record.name != "d2":
            restarted.table.put(network.now, record)
    network.cores["10.0.0.2", 1] = restarted
    network.run(3000)
    assert restarted.counters["dropped_life"] and not network.events_of_kind("dead")
    assert restarted.counters["received"]


def test_tables_that_differ_without_gossip_converge_by_an_exchange() -> None:
    network = CoreNetwork(4)
    network.run(4000)
    network.core(1).table.put(network.now, make_record(8, state=MemberState.LEFT))  # without gossip
    network.run(20_000)
    assert all(core.table.get("d8") is not None for core in network.cores.values())


def test_replayed_and_forged_datagrams_change_nothing() -> None:
    network = CoreNetwork(3)
    network.run(4000)
    core = network.core(1)
    network.collect()
    captured: list[SendDatagram] = []
    for _ in range(300):
        network.now += 10
        for member in network.cores.values():
            if member.next_due_ms <= network.now:
                member.wake(network.now)
        network.collect()
        captured += [datagram for _, datagram in network.in_flight if datagram.to == core.record.address]
        network.deliver()
    assert captured
    before = core.table.digest, core.table.version, len(core.channel.replay_windows)
    for datagram in captured:
        core.receive(network.now, datagram.data)
    assert core.counters["dropped_replay"] == len(captured)
    corrupted = bytearray(captured[0].data)
    corrupted[40] ^= 1
    core.receive(network.now, bytes(corrupted))
    assert core.counters["dropped_mac"] == 1
    restarted = MembershipCore(SETTINGS, make_record(1, boot_id=31337), Keyring([KEY]), random.Random(2), network.now)
    restarted.node.stage = Stage.JOINED
    for datagram in captured:
        restarted.receive(network.now, datagram.data)
    assert len(restarted.table) == 1 and restarted.counters["dropped_life"] == len(captured)
    assert before == (core.table.digest, core.table.version, len(core.channel.replay_windows))


@given(st.binary(max_size=1400))
def test_arbitrary_bytes_neither_crash_a_core_nor_change_its_table(data: bytes) -> None:
    network = CoreNetwork(2)
    core = network.core(1)
    core.receive(START_MS, data)
    assert len(core.table) == 1 and not core.counters["received"]
    with pytest.raises(ProtocolError):
        core.serve_exchange(START_MS, b"\xc1" + data)


@given(st.binary(max_size=600))
def test_an_arbitrary_signed_body_does_not_crash_a_core(body: bytes) -> None:
    core = CoreNetwork(2).core(1)
    keyring = Keyring([KEY])
    unsigned = codec.HEADER.pack(b"MG", 1, 0, codec.cluster_hash("c"), 7, core.record.boot_id, 1) + body
    core.receive(START_MS, unsigned + keyring.sign(unsigned))
    assert sum(core.counters[f"dropped_{reason}"] for reason in ("body", "length")) == 1 or core.counters["received"]


def test_keys_are_rotated_one_by_one_and_datagrams_of_other_clusters_are_dropped() -> None:
    both, new = Keyring([OTHER_KEY, KEY]), Keyring([OTHER_KEY])
    assert new.verify(b"x", both.sign(b"x")) and both.verify(b"x", Keyring([KEY]).sign(b"x"))
    assert not new.verify(b"x", Keyring([KEY]).sign(b"x"))
    network = CoreNetwork(1)
    foreign = MembershipCore(
        replace(SETTINGS, cluster="other"), make_record(2), Keyring([KEY]), random.Random(1), START_MS
    )
    foreign.channel.send(("10.0.0.1", 1), 1001, codec.IndirectPingResponse(codec.Sender("d2", "10.0.0.2", 1), 1, True))
    (sent,) = [action for action in foreign.take_actions() if isinstance(action, SendDatagram)]
    network.core(1).receive(START_MS, sent.data)
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
def test_the_table_does_not_depend_on_the_order_of_records(received: list[MemberRecord], rng: random.Random) -> None:
    def build_table(order: list[MemberRecord]) -> MemberTable:
        table = MemberTable()
        for record in order:
            previous = table.get(record.name)
            if previous is None or record.precedence > previous.precedence:
                table.put(START_MS, record)
        return table

    shuffled = list(received)
    rng.shuffle(shuffled)
    table, other = build_table(received), build_table(shuffled)
    assert {record.name: record.precedence for record in table} == {record.name: record.precedence for record in other}
    assert table.bucket_digests == other.bucket_digests
    assert table.present_count == sum(record.present for record in table)
    for record in list(table):
        table.remove(record.name)
    assert table.bucket_digests == [0] * BUCKET_COUNT and table.present_count == 0


members = st.dictionaries(st.text("abcdef", min_size=1, max_size=4), st.sampled_from("xyz"), min_size=1, max_size=12)


@given(members, st.integers(1, 5), st.data())
def test_losing_a_member_moves_only_the_keys_that_it_owned(
    zones: dict[str, str], count: int, data: st.DataObject
) -> None:
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
    members = [(f"d{number}", f"z{number % 3}") for number in range(9)]
    owners = [select_owners(str(key), members, 3)[0] for key in range(3000)]
    assert all(200 < owners.count(name) < 470 for name, _ in members)


def test_each_record_is_transmitted_a_bounded_number_of_times_newest_first() -> None:
    queue = GossipQueue()
    queue.enqueue(make_record(1))
    first = queue.take(1000, 99)
    queue.enqueue(make_record(2))
    assert queue.take(len(first[0]), 99) == [codec.encode(make_record(2))]
    datagrams = 2
    while queue.take(1000, 99):
        datagrams += 1
    assert datagrams == 9 and not len(queue)


def test_the_suspicion_timeout_is_longest_with_a_single_reporter() -> None:
    unconfirmed = suspicion_timeout_ms(24, 0, 500, 4000)
    confirmed = [suspicion_timeout_ms(24, confirmations, 500, 4000) for confirmations in (1, 2, 3, 9)]
    assert unconfirmed == 24_000 and confirmed == sorted(confirmed, reverse=True) and confirmed[-1] == 4000
    assert suspicion_timeout_ms(3, 0, 500, 4000) == 4000


class FaultyNetworkMachine(RuleBasedStateMachine):
    """Four members with pauses, cut links, and lost, duplicated and reordered datagrams; all converge at the end."""

    def __init__(self) -> None:
        super().__init__()
        self.network = CoreNetwork(4)
        self.highest_precedence: dict[tuple[str, str], tuple[int, int, int]] = {}

    @initialize()
    def join(self) -> None:
        self.network.run(3000)

    @rule(ms=st.integers(10, 700))
    def run_for(self, ms: int) -> None:
        self.network.run(ms)

    @rule(number=st.integers(1, 4), ms=st.integers(200, 9000))
    def pause_member(self, number: int, ms: int) -> None:
        self.network.run(ms, paused=frozenset({f"d{number}"}))

    @rule(source=st.integers(1, 4), to=st.integers(1, 4), ms=st.integers(200, 9000))
    def cut_link(self, source: int, to: int, ms: int) -> None:
        self.network.blocked_links = {(f"d{source}", f"d{to}")}
        self.network.run(ms)
        self.network.blocked_links = set()

    @rule(data=st.data(), ms=st.integers(10, 200))
    def lose_duplicate_or_reorder(self, data: st.DataObject, ms: int) -> None:
        self.network.now += ms
        for core in self.network.cores.values():
            if core.next_due_ms <= self.network.now:
                core.wake(self.network.now)
        self.network.collect()
        sent = self.network.in_flight
        if sent:
            self.network.in_flight = data.draw(st.lists(st.sampled_from(sent), max_size=2 * len(sent)))

    @invariant()
    def precedence_never_decreases(self) -> None:
        for core in self.network.cores.values():
            for record in core.table:
                precedence = record.epoch, record.node_id, record.incarnation
                key = core.record.name, record.name
                assert precedence >= self.highest_precedence.get(key, precedence)
                self.highest_precedence[key] = precedence

    def teardown(self) -> None:
        self.network.run(40_000)
        assert all(
            core.table.present_count == 4 and core.table.digest == self.network.core(1).table.digest
            for core in self.network.cores.values()
        )


def test_members_converge_after_loss_duplication_reordering_cuts_and_pauses() -> None:
    from hypothesis import settings

    run_state_machine_as_test(
        FaultyNetworkMachine,
        settings=settings(max_examples=12, stateful_step_count=12, deadline=None, derandomize=True),
    )
