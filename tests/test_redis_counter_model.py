"""In any order of messages, losses and faults, each add counts once, or its call is answered as not added."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase, seed
from hypothesis import settings as hypo
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from martenstep.policy.messages import CallResult
from martenstep.redis_counter.call_queue import CallQueue
from martenstep.redis_counter.messages import Operation, StatementReply
from martenstep.redis_counter.recovery import Recovery
from martenstep.redis_counter.replies import ReplyHandler
from martenstep.standins.redis.keyspace import Value
from tests.redis_counter_world import TIMEOUT_MS, CounterSimulator

GATEWAYS, KEYS = 3, 2
ERRORS = (
    "LOADING Redis is loading",
    "BUSY running a script",
    "OOM command not allowed",
    "READONLY replica",
    "NOREPLICAS Not enough",
    "TRYAGAIN rehashing",
)
RUNS = hypo(max_examples=100, stateful_step_count=40, deadline=None, derandomize=True)
SEARCH = hypo(RUNS, max_examples=1000, phases=(Phase.generate,))  # without shrinking, since any failure will do

# Without a stated seed Hypothesis derives one from the source text of a machine, so that any rewording changes the
# examples; with some seeds a flaw is not found within the examples of a search.
SEED = 0x91C7B488D1F5FAD8F8C5F7B6F9FF0ED44C26BC08E563365BC6424EFD0D664F441B756EC875581154FCBE01E6892D093
DATA_LOSS_SEED = 0x7099D16F391B06EB967D0784F09BB35A822F8E316379747D54CA05E318BB8AA328BD214E5AC8AE8196E4F79D41F32FA6
PLAIN_ADDS_SEED = 0x6AB21550D417D8301BE1097CA597FC7715CE28061955213A3C80649337A33D0C7AA5AB86F0E398823D6B99C0CAB8CC33


@seed(SEED)
class CounterMachine(RuleBasedStateMachine):
    """Gateways with a store and a network whose messages, delays and errors are drawn at random.

    Hypothesis orders rules by name: if names sort in another order, the same seed gives other examples.
    """

    scripts = True

    def __init__(self) -> None:
        super().__init__()
        self.simulator = CounterSimulator(GATEWAYS, connections_per_node=2, scripts=self.scripts)
        self.copies: list[list[tuple[int, bytes, Value, float]]] = [[]]

    @rule(gateway=st.integers(0, GATEWAYS - 1), key=st.integers(0, KEYS - 1), units=st.sampled_from((0.0, 1.0, 2.5)))
    def add(self, gateway: int, key: int, units: float) -> None:
        self.simulator.add(gateway, key, units)

    @rule(ms=st.sampled_from((0.5, 5.0, 30.0, 60.0, 400.0)))
    def time_passes(self, ms: float) -> None:
        self.simulator.advance_time(ms)
        for call, (_, _, _, called_at) in self.simulator.calls.items():
            in_time = called_at + TIMEOUT_MS >= self.simulator.now
            assert call in self.simulator.answers or in_time, "a call was not answered within its timeout"

    @rule()
    def connect(self) -> None:
        self.simulator.finish_connecting()

    @precondition(lambda self: any(connection.to_store for connection in self.simulator.connections))
    @rule(data=st.data())
    def arrive_at_store(self, data: Any) -> None:
        writing = [connection for connection in self.simulator.connections if connection.to_store]
        self.simulator.deliver_write(data.draw(st.sampled_from(writing)))

    @precondition(lambda self: any(connection.to_gateway for connection in self.simulator.connections))
    @rule(data=st.data(), count=st.integers(1, 3))
    def answer_from_store(self, data: Any, count: int) -> None:
        replying = [connection for connection in self.simulator.connections if connection.to_gateway]
        self.simulator.deliver_replies(data.draw(st.sampled_from(replying)), count)

    @rule()
    def deliver_all(self) -> None:
        self.simulator.deliver_all()

    @precondition(lambda self: any(connection.open for connection in self.simulator.connections))
    @rule(data=st.data())
    def cut_connection(self, data: Any) -> None:
        opened = [connection for connection in self.simulator.connections if connection.open]
        self.simulator.break_connection(data.draw(st.sampled_from(opened)))

    @precondition(lambda self: any(c.to_store and not c.open for c in self.simulator.connections))
    @rule(data=st.data())
    def lose_writes(self, data: Any) -> None:
        broken = [
            connection for connection in self.simulator.connections if connection.to_store and not connection.open
        ]
        data.draw(st.sampled_from(broken)).to_store.clear()

    @rule(on=st.booleans())
    def refuse_connections(self, on: bool) -> None:
        self.simulator.refuses_connections = on

    @rule(error=st.sampled_from(("", "", *ERRORS)))
    def fault_in_store(self, error: str) -> None:
        self.simulator.store_error = error

    def teardown(self) -> None:
        simulator = self.simulator
        simulator.settle()
        assert simulator.answers.keys() == simulator.calls.keys()
        for key in range(KEYS):
            added = simulator.units_answered(key, CallResult.OK)
            indeterminate = simulator.units_answered(key, CallResult.TIMEOUT)
            total = simulator.stored_total(key)
            if self.scripts:
                assert total == pytest.approx(added + indeterminate), "an add was lost or counted twice"
            else:
                assert added - 1e-6 <= total <= added + indeterminate + 1e-6


@seed(DATA_LOSS_SEED)
class DataLossMachine(CounterMachine):
    """The same with a store that loses contents, goes back to older ones, evicts keys, or loses its scripts."""

    @rule()
    def replicate(self) -> None:
        self.copies.append(self.simulator.copy_contents())

    @rule()
    def empty_store(self) -> None:
        self.simulator.keyspace.empty()

    @rule(data=st.data())
    def fail_over_to_copy(self, data: Any) -> None:
        self.simulator.restore_contents(data.draw(st.sampled_from(self.copies)))

    @rule(key=st.integers(0, KEYS - 1))
    def evict_key(self, key: int) -> None:
        simulator = self.simulator
        simulator.keyspace.run(simulator.session, simulator.now, [b"DEL", simulator.cores[0].store_key(key)])

    @rule()
    def flush_scripts(self) -> None:
        self.simulator.keyspace.scripts.clear()

    def teardown(self) -> None:
        # One more call for each key and gateway: if one key alone was evicted, only its own next call detects it.
        self.simulator.settle()
        for key in range(KEYS):
            for gateway in range(GATEWAYS):
                self.simulator.add(gateway, key, 0.0)
        super().teardown()


@seed(PLAIN_ADDS_SEED)
class PlainAddsMachine(CounterMachine):
    """Without scripts, the units of a TIMEOUT may or may not have been added, and nothing is added twice."""

    scripts = False


@pytest.mark.parametrize("machine", [CounterMachine, DataLossMachine, PlainAddsMachine])
def test_each_add_counts_once_or_is_answered_as_not_added(machine: type[CounterMachine]) -> None:
    run_state_machine_as_test(machine, settings=RUNS)


def _ignore_lost_contents(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Recovery, "on_lost_contents", lambda self, node, operation, newly_lost: None)


def _drop_floor_of_others(monkeypatch: pytest.MonkeyPatch) -> None:
    on_reply = ReplyHandler.on_reply

    def on_reply_without_floor(
        self: ReplyHandler, now_ms: float, connection: Any, operation: Operation, reply: StatementReply
    ) -> None:
        register = self._registers.get(operation.key)
        if register is not None:
            register.others_total = register.others_floor = 0.0
        on_reply(self, now_ms, connection, operation, reply)

    monkeypatch.setattr(ReplyHandler, "on_reply", on_reply_without_floor)


def _add_units_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send a statement again under a new version, with its units added a second time."""
    disconnect = CallQueue.disconnect

    def disconnect_and_clear_versions(self: CallQueue, now_ms: float, connection: Any) -> None:
        disconnect(self, now_ms, connection)
        for operation in connection.queue:
            operation.version = 0

    monkeypatch.setattr(CallQueue, "disconnect", disconnect_and_clear_versions)


def _never_restate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Recovery, "restate", lambda self, key: None)


@pytest.mark.parametrize(
    ("add_flaw", "machine"),
    [
        (_ignore_lost_contents, DataLossMachine),
        (_drop_floor_of_others, DataLossMachine),
        (_add_units_again, CounterMachine),
        (_never_restate, CounterMachine),
    ],
)
def test_the_model_detects_each_flaw(
    add_flaw: Callable[[pytest.MonkeyPatch], None], machine: type[CounterMachine], monkeypatch: pytest.MonkeyPatch
) -> None:
    add_flaw(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(machine, settings=SEARCH)
