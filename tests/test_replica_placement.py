"""Replica placement: the steps lead to it from anywhere, one at a time, and no quorum is given up on the way."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from martenstep.replication.messages import Configuration
from martenstep.replication.placement import (
    AbsenceTracker,
    AddReplica,
    ChangeConfiguration,
    GroupView,
    TransferLeadership,
    desired_nodes,
    next_step,
    with_learner,
)

NODES = [f"d{number}" for number in range(7)]


@dataclass
class World:
    """A group whose steps all succeed; each node that is invited begins a replica of its own."""

    config: Configuration
    present: set[str]
    missing: set[int]
    count: int
    leader: int = 0
    last: int = 1000
    steps: list[object] = field(default_factory=list)

    def sound(self, config: Configuration) -> set[int]:
        return {
            replica
            for replica, node in config.locations
            if replica in config.voters and node in self.present and replica not in self.missing
        }

    def leads(self) -> int | None:
        able = sorted(self.sound(self.config))
        if len(able) < self.config.quorum:
            return None
        return self.leader if self.leader in able else able[0]

    def step(self, nodes: list[str]) -> bool:
        me = self.leads()
        assert me is not None
        self.leader = me
        step = next_step(self.config, GroupView(me, nodes, self.missing, self.present, self.count))
        self.steps.append(step)
        if isinstance(step, AddReplica):
            assert step.node in self.present
            self.last += 1
            self.config = with_learner(self.config, self.last, step.node)
        elif isinstance(step, TransferLeadership):
            assert step.to != me and step.to in self.sound(self.config)
            self.leader = step.to
        elif isinstance(step, ChangeConfiguration):
            before, after = set(self.config.voters), set(step.configuration.voters)
            assert len(before ^ after) <= 1 and len(after) >= min(len(before), self.count)
            self.config = step.configuration
        return step is not None


@st.composite
def worlds(draw: st.DrawFn) -> World:
    count = draw(st.sampled_from([3, 5]))
    size = draw(st.integers(max(1, count - 1), count + 1))
    homes = draw(st.lists(st.sampled_from(NODES), min_size=size, max_size=size))  # one node may stand twice: wiped
    learner = draw(st.lists(st.sampled_from(NODES), max_size=1))
    voters = tuple(range(1, size + 1))
    learners = tuple(range(50, 50 + len(learner)))
    config = Configuration(voters, learners, tuple(zip((*voters, *learners), (*homes, *learner), strict=True)))
    twice = {number + 1 for number, node in enumerate(homes) if node in homes[number + 1 :]}
    absence = set(draw(st.lists(st.sampled_from(NODES), max_size=2)))
    return World(config, set(NODES) - absence, twice, count)


@given(worlds(), st.randoms(use_true_random=False))
def test_the_steps_make_a_group_whole_and_then_end(world: World, draw: object) -> None:
    if world.leads() is None:
        return  # its majority is lost: nothing may be done
    zones = {node: "ab"[number % 2] for number, node in enumerate(NODES)}
    lost = set(NODES) - world.present  # for good
    taken = 0
    while world.step(desired_nodes("g", world.config, zones, world.present, lost, world.count)):
        taken += 1
        assert taken < 60, world.steps
    nodes = desired_nodes("g", world.config, zones, world.present, lost, world.count)
    home = dict(world.config.locations)
    assert sorted(home[replica] for replica in world.config.voters) == sorted(nodes)
    assert not world.config.learners and not world.missing & set(world.config.voters)
    assert set(home) == set(world.config.voters)


def test_a_node_that_knows_few_others_yet_moves_nothing() -> None:
    config = Configuration((1, 2, 3), (), ((1, "d1"), (2, "d2"), (3, "d3")))
    zones = dict.fromkeys(NODES, "a")
    known = desired_nodes("g", config, {}, {"d1"}, set(), 3)
    assert sorted(known) == ["d1", "d2", "d3"]
    assert next_step(config, GroupView(1, known, (), {"d1"}, 3)) is None
    absence = AbsenceTracker(1000.0)
    absence.observe(0.0, {"d1"}, ["d1", "d2", "d3"])
    assert absence.lost(999.0) == set()
    absence.observe(500.0, {"d1", "d2"}, ["d1", "d2", "d3"])  # d2 was back in between
    absence.observe(900.0, {"d1"}, ["d1", "d2", "d3"])
    assert absence.lost(1000.0) == {"d3"}
    nodes = desired_nodes("g", config, zones, {"d1", "d4", "d5"}, {"d3"}, 3)
    assert "d3" not in nodes and len(nodes) == 3


def test_a_nodes_loss_moves_at_most_one_replica_of_each_group() -> None:
    zones = {node: "abc"[number % 3] for number, node in enumerate(NODES)}
    for number in range(50):
        group = f"slot-{number}"
        before = desired_nodes(group, Configuration(()), zones, NODES, set(), 3)
        assert len({zones[node] for node in before}) == 3
        for node in NODES:
            after = desired_nodes(group, Configuration(()), zones, set(NODES) - {node}, set(), 3)
            assert len(set(before) - set(after)) == (1 if node in before else 0)


def test_no_replica_is_added_while_others_learn_nor_on_an_absent_node() -> None:
    config = Configuration((1, 2, 3), (), ((1, "d1"), (2, "d2"), (3, "d3")))
    nodes = ["d1", "d2", "d4"]
    assert next_step(config, GroupView(1, nodes, (), NODES, 3)) == AddReplica("d4")
    assert next_step(config, GroupView(1, nodes, (), NODES, 3, may_add=False)) is None
    assert next_step(config, GroupView(1, nodes, (), ["d1", "d2", "d3"], 3)) is None
    full = Configuration((1, 2, 3, 4), (), (*config.locations, (4, "d4")))
    step = next_step(full, GroupView(3, nodes, (), NODES, 3))
    assert step == TransferLeadership(1) or step == TransferLeadership(2) or step == TransferLeadership(4)
    step = next_step(full, GroupView(1, nodes, (), NODES, 3))
    assert isinstance(step, ChangeConfiguration) and step.configuration.voters == (1, 2, 4)
