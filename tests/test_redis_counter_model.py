"""Any order of messages, losses and faults between doors and store: each add counts once, or is told as not counted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase
from hypothesis import settings as hypo
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from martenstep.policy.messages import CallResult
from martenstep.redis_counter.call_queue import CallQueue
from martenstep.redis_counter.messages import Operation, StatementReply
from martenstep.redis_counter.recovery import Recovery
from martenstep.redis_counter.replies import ReplyHandler
from martenstep.standins.redis.keyspace import Value
from tests.redis_counter_world import TIMEOUT_MS, World

DOORS, NAMES = 3, 2
ERRORS = (
    "LOADING Redis is loading",
    "BUSY running a script",
    "OOM command not allowed",
    "READONLY replica",
    "NOREPLICAS Not enough",
    "TRYAGAIN rehashing",
)
RUNS = hypo(max_examples=100, stateful_step_count=40, deadline=None, derandomize=True)
SEARCH = hypo(RUNS, max_examples=1000, phases=(Phase.generate,))  # a flaw need not be told in the fewest steps


class Store(RuleBasedStateMachine):
    """Doors among a store and a network that do as they like."""

    scripts = True

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DOORS, lanes=2, scripts=self.scripts)
        self.copies: list[list[tuple[int, bytes, Value, float]]] = [[]]

    @rule(door=st.integers(0, DOORS - 1), name=st.integers(0, NAMES - 1), units=st.sampled_from((0.0, 1.0, 2.5)))
    def add(self, door: int, name: int, units: float) -> None:
        self.world.add(door, name, units)

    @rule(ms=st.sampled_from((0.5, 5.0, 30.0, 60.0, 400.0)))
    def time(self, ms: float) -> None:
        self.world.pass_time(ms)
        for call, (_, _, _, at) in self.world.calls.items():
            assert call in self.world.told or at + TIMEOUT_MS >= self.world.now, "never told"

    @rule()
    def connect(self) -> None:
        self.world.connect()

    @precondition(lambda self: any(wire.there for wire in self.world.wires))
    @rule(data=st.data())
    def arrive(self, data: Any) -> None:
        self.world.arrive(data.draw(st.sampled_from([wire for wire in self.world.wires if wire.there])))

    @precondition(lambda self: any(wire.back for wire in self.world.wires))
    @rule(data=st.data(), count=st.integers(1, 3))
    def answer(self, data: Any, count: int) -> None:
        self.world.answer(data.draw(st.sampled_from([wire for wire in self.world.wires if wire.back])), count)

    @rule()
    def deliver(self) -> None:
        self.world.deliver()

    @precondition(lambda self: any(wire.open for wire in self.world.wires))
    @rule(data=st.data())
    def cut(self, data: Any) -> None:
        self.world.cut(data.draw(st.sampled_from([wire for wire in self.world.wires if wire.open])))

    @precondition(lambda self: any(wire.there and not wire.open for wire in self.world.wires))
    @rule(data=st.data())
    def lose(self, data: Any) -> None:
        data.draw(st.sampled_from([w for w in self.world.wires if w.there and not w.open])).there.clear()

    @rule(on=st.booleans())
    def refuse(self, on: bool) -> None:
        self.world.refuses = on

    @rule(error=st.sampled_from(("", "", *ERRORS)))
    def fault(self, error: str) -> None:
        self.world.error = error

    def teardown(self) -> None:
        world = self.world
        world.quiet()
        assert world.told.keys() == world.calls.keys()
        for name in range(NAMES):
            sure, maybe = world.counted(name, CallResult.OK), world.counted(name, CallResult.TIMEOUT)
            if self.scripts:
                assert world.total(name) == pytest.approx(sure + maybe), "an add was lost or counted twice"
            else:
                assert sure - 1e-6 <= world.total(name) <= sure + maybe + 1e-6


class Losing(Store):
    """The same with a store that loses contents, goes back to older ones, evicts, or forgets its scripts."""

    @rule()
    def replicate(self) -> None:
        self.copies.append(self.world.copy())

    @rule()
    def empty(self) -> None:
        self.world.keys.empty()

    @rule(data=st.data())
    def fail_over(self, data: Any) -> None:
        self.world.go_back(data.draw(st.sampled_from(self.copies)))

    @rule(name=st.integers(0, NAMES - 1))
    def evict(self, name: int) -> None:
        self.world.keys.run(self.world.session, self.world.now, [b"DEL", self.world.cores[0].store_key(name)])

    @rule()
    def flush_scripts(self) -> None:
        self.world.keys.scripts.clear()

    def teardown(self) -> None:
        # One more call of each name and door: an evicted name alone is noticed by its own next call.
        self.world.quiet()
        for name in range(NAMES):
            for door in range(DOORS):
                self.world.add(door, name, 0.0)
        super().teardown()


class Plain(Store):
    """Without scripts: a time-out may have been added or not, and nothing is added twice."""

    scripts = False


@pytest.mark.parametrize("kind", [Store, Losing, Plain])
def test_each_add_counts_once_or_is_told_as_not_counted(kind: type[Store]) -> None:
    run_state_machine_as_test(kind, settings=RUNS)


def _no_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Recovery, "on_lost_contents", lambda self, node, operation, newly_lost: None)


def _no_floor(monkeypatch: pytest.MonkeyPatch) -> None:
    on_reply = ReplyHandler.on_reply

    def without(
        self: ReplyHandler, now_ms: float, connection: Any, operation: Operation, reply: StatementReply
    ) -> None:
        register = self._registers.get(operation.key)
        if register is not None:
            register.others_total = register.others_floor = 0.0
        on_reply(self, now_ms, connection, operation, reply)

    monkeypatch.setattr(ReplyHandler, "on_reply", without)


def _adds_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A statement sent again under a new version and with its units once more."""
    disconnect = CallQueue.disconnect

    def anew(self: CallQueue, now_ms: float, connection: Any) -> None:
        disconnect(self, now_ms, connection)
        for operation in connection.queue:
            operation.version = 0

    monkeypatch.setattr(CallQueue, "disconnect", anew)


def _forgets_indeterminate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Recovery, "restate", lambda self, key: None)


@pytest.mark.parametrize(
    ("flaw", "kind"), [(_no_proof, Losing), (_no_floor, Losing), (_adds_again, Store), (_forgets_indeterminate, Store)]
)
def test_each_flaw_is_found(
    flaw: Callable[[pytest.MonkeyPatch], None], kind: type[Store], monkeypatch: pytest.MonkeyPatch
) -> None:
    flaw(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(kind, settings=SEARCH)
