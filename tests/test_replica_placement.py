"""Replica placement: from any configuration single steps reach the desired nodes without losing the quorum."""

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
class SimulatedGroup:
    """A group whose steps all succeed; a node that is asked for a replica creates one with a new id."""

    configuration: Configuration
    present: set[str]
    missing: set[int]
    replication_factor: int
    leader: int = 0
    last_id: int = 1000
    steps: list[object] = field(default_factory=list)

    def reachable_voters(self, configuration: Configuration) -> set[int]:
        return {
            replica
            for replica, node in configuration.locations
            if replica in configuration.voters and node in self.present and replica not in self.missing
        }

    def current_leader(self) -> int | None:
        candidates = sorted(self.reachable_voters(self.configuration))
        if len(candidates) < self.configuration.quorum:
            return None
        return self.leader if self.leader in candidates else candidates[0]

    def step(self, nodes: list[str]) -> bool:
        leader = self.current_leader()
        assert leader is not None
        self.leader = leader
        step = next_step(
            self.configuration, GroupView(leader, nodes, self.missing, self.present, self.replication_factor)
        )
        self.steps.append(step)
        if isinstance(step, AddReplica):
            assert step.node in self.present
            self.last_id += 1
            self.configuration = with_learner(self.configuration, self.last_id, step.node)
        elif isinstance(step, TransferLeadership):
            assert step.to != leader and step.to in self.reachable_voters(self.configuration)
            self.leader = step.to
        elif isinstance(step, ChangeConfiguration):
            before, after = set(self.configuration.voters), set(step.configuration.voters)
            assert len(before ^ after) <= 1 and len(after) >= min(len(before), self.replication_factor)
            self.configuration = step.configuration
        return step is not None


@st.composite
def simulated_groups(draw: st.DrawFn) -> SimulatedGroup:
    replication_factor = draw(st.sampled_from([3, 5]))
    size = draw(st.integers(max(1, replication_factor - 1), replication_factor + 1))
    # A node that occurs twice was wiped, and holds only its last replica.
    nodes = draw(st.lists(st.sampled_from(NODES), min_size=size, max_size=size))
    learner = draw(st.lists(st.sampled_from(NODES), max_size=1))
    voters = tuple(range(1, size + 1))
    learners = tuple(range(50, 50 + len(learner)))
    configuration = Configuration(voters, learners, tuple(zip((*voters, *learners), (*nodes, *learner), strict=True)))
    missing = {number + 1 for number, node in enumerate(nodes) if node in nodes[number + 1 :]}
    absence = set(draw(st.lists(st.sampled_from(NODES), max_size=2)))
    return SimulatedGroup(configuration, set(NODES) - absence, missing, replication_factor)


@given(simulated_groups(), st.randoms(use_true_random=False))
def test_steps_reach_the_desired_placement_and_then_stop(simulated: SimulatedGroup, draw: object) -> None:
    if simulated.current_leader() is None:
        return  # the quorum is lost: no step is possible
    zones = {node: "ab"[number % 2] for number, node in enumerate(NODES)}
    lost = set(NODES) - simulated.present  # permanently
    step_count = 0
    while simulated.step(
        desired_nodes("g", simulated.configuration, zones, simulated.present, lost, simulated.replication_factor)
    ):
        step_count += 1
        assert step_count < 60, simulated.steps
    nodes = desired_nodes("g", simulated.configuration, zones, simulated.present, lost, simulated.replication_factor)
    node_by_replica = dict(simulated.configuration.locations)
    assert sorted(node_by_replica[replica] for replica in simulated.configuration.voters) == sorted(nodes)
    assert not simulated.configuration.learners and not simulated.missing & set(simulated.configuration.voters)
    assert set(node_by_replica) == set(simulated.configuration.voters)


def test_node_that_has_discovered_few_others_moves_no_replica() -> None:
    configuration = Configuration((1, 2, 3), (), ((1, "d1"), (2, "d2"), (3, "d3")))
    zones = dict.fromkeys(NODES, "a")
    known = desired_nodes("g", configuration, {}, {"d1"}, set(), 3)
    assert sorted(known) == ["d1", "d2", "d3"]
    assert next_step(configuration, GroupView(1, known, (), {"d1"}, 3)) is None
    absence = AbsenceTracker(1000.0)
    absence.observe(0.0, {"d1"}, ["d1", "d2", "d3"])
    assert absence.lost(999.0) == set()
    absence.observe(500.0, {"d1", "d2"}, ["d1", "d2", "d3"])  # d2 returned in between
    absence.observe(900.0, {"d1"}, ["d1", "d2", "d3"])
    assert absence.lost(1000.0) == {"d3"}
    nodes = desired_nodes("g", configuration, zones, {"d1", "d4", "d5"}, {"d3"}, 3)
    assert "d3" not in nodes and len(nodes) == 3


def test_loss_of_a_node_moves_at_most_one_replica_of_each_group() -> None:
    zones = {node: "abc"[number % 3] for number, node in enumerate(NODES)}
    for number in range(50):
        group = f"slot-{number}"
        before = desired_nodes(group, Configuration(()), zones, NODES, set(), 3)
        assert len({zones[node] for node in before}) == 3
        for node in NODES:
            after = desired_nodes(group, Configuration(()), zones, set(NODES) - {node}, set(), 3)
            assert len(set(before) - set(after)) == (1 if node in before else 0)


def test_no_replica_is_added_while_too_many_groups_learn_or_on_an_absent_node() -> None:
    configuration = Configuration((1, 2, 3), (), ((1, "d1"), (2, "d2"), (3, "d3")))
    nodes = ["d1", "d2", "d4"]
    assert next_step(configuration, GroupView(1, nodes, (), NODES, 3)) == AddReplica("d4")
    assert next_step(configuration, GroupView(1, nodes, (), NODES, 3, may_add=False)) is None
    assert next_step(configuration, GroupView(1, nodes, (), ["d1", "d2", "d3"], 3)) is None
    full = Configuration((1, 2, 3, 4), (), (*configuration.locations, (4, "d4")))
    step = next_step(full, GroupView(3, nodes, (), NODES, 3))
    assert step == TransferLeadership(1) or step == TransferLeadership(2) or step == TransferLeadership(4)
    step = next_step(full, GroupView(1, nodes, (), NODES, 3))
    assert isinstance(step, ChangeConfiguration) and step.configuration.voters == (1, 2, 4)
