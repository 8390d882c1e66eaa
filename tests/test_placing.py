"""Where copies should be: the steps lead there from anywhere, one at a time, and no majority is given up on the way."""

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

PLACES = [f"d{number}" for number in range(7)]


@dataclass
class World:
    """A group whose steps all succeed; each place that is invited begins a copy of its own."""

    config: Configuration
    present: set[str]
    gone: set[int]
    count: int
    leader: int = 0
    last: int = 1000
    steps: list[object] = field(default_factory=list)

    def sound(self, config: Configuration) -> set[int]:
        return {
            copy
            for copy, place in config.locations
            if copy in config.voters and place in self.present and copy not in self.gone
        }

    def leads(self) -> int | None:
        able = sorted(self.sound(self.config))
        if len(able) < self.config.quorum:
            return None
        return self.leader if self.leader in able else able[0]

    def step(self, places: list[str]) -> bool:
        me = self.leads()
        assert me is not None
        self.leader = me
        step = next_step(self.config, GroupView(me, places, self.gone, self.present, self.count))
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
    homes = draw(st.lists(st.sampled_from(PLACES), min_size=size, max_size=size))  # one place may stand twice: wiped
    learner = draw(st.lists(st.sampled_from(PLACES), max_size=1))
    voters = tuple(range(1, size + 1))
    learners = tuple(range(50, 50 + len(learner)))
    config = Configuration(voters, learners, tuple(zip((*voters, *learners), (*homes, *learner), strict=True)))
    twice = {number + 1 for number, place in enumerate(homes) if place in homes[number + 1 :]}
    away = set(draw(st.lists(st.sampled_from(PLACES), max_size=2)))
    return World(config, set(PLACES) - away, twice, count)


@given(worlds(), st.randoms(use_true_random=False))
def test_the_steps_make_a_group_whole_and_then_end(world: World, draw: object) -> None:
    if world.leads() is None:
        return  # its majority is lost: nothing may be done
    zones = {place: "ab"[number % 2] for number, place in enumerate(PLACES)}
    lost = set(PLACES) - world.present  # for good
    taken = 0
    while world.step(desired_nodes("g", world.config, zones, world.present, lost, world.count)):
        taken += 1
        assert taken < 60, world.steps
    places = desired_nodes("g", world.config, zones, world.present, lost, world.count)
    home = dict(world.config.locations)
    assert sorted(home[copy] for copy in world.config.voters) == sorted(places)
    assert not world.config.learners and not world.gone & set(world.config.voters)
    assert set(home) == set(world.config.voters)


def test_a_machine_that_knows_few_others_yet_moves_nothing() -> None:
    config = Configuration((1, 2, 3), (), ((1, "d1"), (2, "d2"), (3, "d3")))
    zones = dict.fromkeys(PLACES, "a")
    known = desired_nodes("g", config, {}, {"d1"}, set(), 3)
    assert sorted(known) == ["d1", "d2", "d3"]
    assert next_step(config, GroupView(1, known, (), {"d1"}, 3)) is None
    away = AbsenceTracker(1000.0)
    away.observe(0.0, {"d1"}, ["d1", "d2", "d3"])
    assert away.lost(999.0) == set()
    away.observe(500.0, {"d1", "d2"}, ["d1", "d2", "d3"])  # d2 was back in between
    away.observe(900.0, {"d1"}, ["d1", "d2", "d3"])
    assert away.lost(1000.0) == {"d3"}
    places = desired_nodes("g", config, zones, {"d1", "d4", "d5"}, {"d3"}, 3)
    assert "d3" not in places and len(places) == 3


def test_a_machines_loss_moves_at_most_one_copy_of_each_group() -> None:
    zones = {place: "abc"[number % 3] for number, place in enumerate(PLACES)}
    for number in range(50):
        group = f"slot-{number}"
        before = desired_nodes(group, Configuration(()), zones, PLACES, set(), 3)
        assert len({zones[place] for place in before}) == 3
        for place in PLACES:
            after = desired_nodes(group, Configuration(()), zones, set(PLACES) - {place}, set(), 3)
            assert len(set(before) - set(after)) == (1 if place in before else 0)


def test_filling_waits_while_others_are_filled_and_a_place_away_is_not_invited() -> None:
    config = Configuration((1, 2, 3), (), ((1, "d1"), (2, "d2"), (3, "d3")))
    places = ["d1", "d2", "d4"]
    assert next_step(config, GroupView(1, places, (), PLACES, 3)) == AddReplica("d4")
    assert next_step(config, GroupView(1, places, (), PLACES, 3, may_add=False)) is None
    assert next_step(config, GroupView(1, places, (), ["d1", "d2", "d3"], 3)) is None
    full = Configuration((1, 2, 3, 4), (), (*config.locations, (4, "d4")))
    step = next_step(full, GroupView(3, places, (), PLACES, 3))
    assert step == TransferLeadership(1) or step == TransferLeadership(2) or step == TransferLeadership(4)
    step = next_step(full, GroupView(1, places, (), PLACES, 3))
    assert isinstance(step, ChangeConfiguration) and step.configuration.voters == (1, 2, 4)
