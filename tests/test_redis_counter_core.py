"""The store's decisions one by one."""

from __future__ import annotations

import random

from martenstep.policy.messages import CallResult
from martenstep.redis_counter.core import Core
from martenstep.redis_counter.messages import AddCall, AnswerCall, ConnectionId, CoreOptions, WriteOperations
from martenstep.redis_counter.slots import SLOTS, slot_of
from tests.redis_counter_world import World


def test_a_call_that_was_written_is_never_told_as_not_added_though_its_new_lane_is_full() -> None:
    core = Core(CoreOptions(connections_per_node=1, max_pending=1, dynamic_topology=True), random.Random(1))
    slots = ["one:1"] * SLOTS
    slots[slot_of(core.store_key(2))] = "two:2"
    core.set_topology(0.0, slots)
    core.add(1.0, AddCall(1, 1, 1.0, 60_000.0))
    core.add(1.0, AddCall(2, 2, 1.0, 60_000.0))  # its lane is not open yet: it waits there, and the lane is full
    core.on_opened(2.0, ConnectionId("one:1", 0))
    assert any(isinstance(action, WriteOperations) for action in core.take_actions())
    core.set_topology(3.0, ["two:2"] * SLOTS)
    assert [(a.call, a.result) for a in core.take_actions() if isinstance(a, AnswerCall)] == [(1, CallResult.TIMEOUT)]


# The proof that nothing was lost ------------------------------------------------------------------------


def asked(world: World, name: int, door: int = 0, proof: bool = True) -> float:
    """One call and its answer; for how long nothing was lost, as it was told."""
    call = world.add(door, name, 1.0, 60_000.0, proof)
    for _ in range(3):
        world.deliver()
    assert world.told[call][0] is CallResult.OK
    return world.kept[call]


def calm(world: World, ms: float) -> None:
    """Time passes, and all that is sent arrives."""
    for _ in range(int(ms / 10)):
        world.pass_time(10.0)
        world.deliver()


def test_the_proof_grows_with_time_and_names_asked_for_again_need_no_witness() -> None:
    world = World(1)
    assert asked(world, 1) == 0.0
    calm(world, 500.0)
    assert asked(world, 2) == 500.0  # a name never seen: the witness was there
    witnesses = world.cores[0].counts["witnesses"]
    assert witnesses == 2
    calm(world, 100.0)
    assert asked(world, 1) == 600.0 and world.cores[0].counts["witnesses"] == witnesses


def test_a_loss_ends_the_proof_for_names_that_this_door_never_saw() -> None:
    world = World(2)
    asked(world, 1)
    calm(world, 100.0)
    asked(world, 7, door=1)
    world.keys.empty()
    assert asked(world, 7) == 0.0  # what the other door had there is gone, and this one says so
    calm(world, 50.0)
    assert asked(world, 7) == 50.0


def test_a_connection_that_broke_ends_the_proof() -> None:
    """A replica may have taken over that has the witness, and not the newest of the others."""
    world = World(1)
    asked(world, 1)
    calm(world, 500.0)
    for wire in list(world.wires):
        world.cut(wire)
    assert asked(world, 1) == 0.0


def test_without_scripts_or_without_asking_nothing_is_proved() -> None:
    assert asked(World(1, scripts=False), 1) == 0.0
    world = World(1)
    asked(world, 1, proof=False)
    assert not world.cores[0].counts["witnesses"]


def test_a_witness_stands_at_the_node_that_it_proves() -> None:
    core = Core(CoreOptions(connections_per_node=1, dynamic_topology=True), random.Random(1))
    core.set_topology(0.0, ["one:1"] * 100 + ["two:2"] * (SLOTS - 100))
    name = next(n for n in range(100_000) if slot_of(core.store_key(n)) < 100)
    core.add(1.0, AddCall(1, name, 1.0, 60_000.0, True))
    core.on_opened(2.0, ConnectionId("one:1", 0))
    [write] = [action for action in core.take_actions() if isinstance(action, WriteOperations)]
    assert [slot_of(core.store_key(op.key)) < 100 for op in write.operations] == [True, True] and write.operations[
        1
    ].key == name
