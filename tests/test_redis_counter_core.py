"""Single decisions of the Redis counter's core."""

from __future__ import annotations

import random

from martenstep.policy.messages import CallResult
from martenstep.redis_counter.core import Core
from martenstep.redis_counter.messages import AddCall, AnswerCall, ConnectionId, CoreOptions, WriteOperations
from martenstep.redis_counter.slots import SLOTS, slot_of
from tests.redis_counter_world import CounterSimulator


def test_a_written_call_ends_as_a_timeout_if_it_moves_to_a_connection_whose_queue_is_full() -> None:
    """The store may have applied the call, so that OVERLOADED, which says that it was not added, would be wrong."""
    core = Core(CoreOptions(connections_per_node=1, max_pending=1, dynamic_topology=True), random.Random(1))
    slots = ["one:1"] * SLOTS
    slots[slot_of(core.store_key(2))] = "two:2"
    core.set_topology(0.0, slots)
    core.add(1.0, AddCall(1, 1, 1.0, 60_000.0))
    core.add(1.0, AddCall(2, 2, 1.0, 60_000.0))  # fills the queue of its connection, which is not open yet
    core.on_opened(2.0, ConnectionId("one:1", 0))
    assert any(isinstance(action, WriteOperations) for action in core.take_actions())
    core.set_topology(3.0, ["two:2"] * SLOTS)
    assert [(a.call, a.result) for a in core.take_actions() if isinstance(a, AnswerCall)] == [(1, CallResult.TIMEOUT)]


# The proof that nothing was lost ------------------------------------------------------------------------


def proved_ms(simulator: CounterSimulator, key: int, gateway: int = 0, needs_proof: bool = True) -> float:
    """Make one call, and return for how long the store is proved to have lost nothing."""
    call = simulator.add(gateway, key, 1.0, 60_000.0, needs_proof)
    for _ in range(3):
        simulator.deliver_all()
    assert simulator.answers[call][0] is CallResult.OK
    return simulator.retained_ms[call]


def run_without_faults(simulator: CounterSimulator, ms: float) -> None:
    """Advance the time, and deliver all messages."""
    for _ in range(int(ms / 10)):
        simulator.advance_time(10.0)
        simulator.deliver_all()


def test_the_proved_time_grows_and_a_key_that_is_called_again_needs_no_witness() -> None:
    simulator = CounterSimulator(1)
    assert proved_ms(simulator, 1) == 0.0
    run_without_faults(simulator, 500.0)
    assert proved_ms(simulator, 2) == 500.0  # a new key, whose proof is the witness
    witnesses = simulator.cores[0].counts["witnesses"]
    assert witnesses == 2
    run_without_faults(simulator, 100.0)
    assert proved_ms(simulator, 1) == 600.0 and simulator.cores[0].counts["witnesses"] == witnesses


def test_a_loss_ends_the_proof_for_keys_that_this_gateway_never_called() -> None:
    simulator = CounterSimulator(2)
    proved_ms(simulator, 1)
    run_without_faults(simulator, 100.0)
    proved_ms(simulator, 7, gateway=1)
    simulator.keyspace.empty()
    assert proved_ms(simulator, 7) == 0.0  # the units of the other gateway are lost, and the witness shows it
    run_without_faults(simulator, 50.0)
    assert proved_ms(simulator, 7) == 50.0


def test_a_broken_connection_ends_the_proof() -> None:
    """A replica may have taken over that holds the witness, but not the newest registers of other gateways."""
    simulator = CounterSimulator(1)
    proved_ms(simulator, 1)
    run_without_faults(simulator, 500.0)
    for connection in list(simulator.connections):
        simulator.break_connection(connection)
    assert proved_ms(simulator, 1) == 0.0


def test_without_scripts_or_without_a_request_for_a_proof_nothing_is_proved() -> None:
    assert proved_ms(CounterSimulator(1, scripts=False), 1) == 0.0
    simulator = CounterSimulator(1)
    proved_ms(simulator, 1, needs_proof=False)
    assert not simulator.cores[0].counts["witnesses"]


def test_the_key_of_a_witness_belongs_to_the_node_that_it_proves() -> None:
    core = Core(CoreOptions(connections_per_node=1, dynamic_topology=True), random.Random(1))
    core.set_topology(0.0, ["one:1"] * 100 + ["two:2"] * (SLOTS - 100))
    key = next(n for n in range(100_000) if slot_of(core.store_key(n)) < 100)
    core.add(1.0, AddCall(1, key, 1.0, 60_000.0, True))
    core.on_opened(2.0, ConnectionId("one:1", 0))
    [write] = [action for action in core.take_actions() if isinstance(action, WriteOperations)]
    assert [slot_of(core.store_key(operation.key)) < 100 for operation in write.operations] == [True, True]
    assert write.operations[1].key == key
