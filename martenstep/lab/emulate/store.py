"""A model of Redis: the stand-in's keyspace behind a bounded number of calls per second, with its faults."""

from __future__ import annotations

from typing import Any

from martenstep.lab.emulate.core import RandomBuffer, Sim
from martenstep.redis_counter import script
from martenstep.redis_counter.messages import Operation, StatementReply, StoreError, WriteOperations
from martenstep.standins.redis.keyspace import Keyspace, Session
from martenstep.standins.resp import ErrorReply


class EmulatedStore:
    """One store, shared by all gateways."""

    def __init__(self, sim: Sim, random_numbers: RandomBuffer, call_ms: float) -> None:
        self._sim, self._random, self._call_ms = sim, random_numbers, call_ms
        self.keys = Keyspace()
        self._session = Session(0)
        self._busy_until = 0.0
        self.down = self.hangs = False
        self.paused_until = 0.0
        self.slow_ms = 0.0
        self.error = ""
        self.full = False
        self.cut_share = 0.0
        self.calls = 0
        self._replica_copies: list[tuple[float, list[Any]]] = []

    def execute(
        self, gateway: str, write: WriteOperations, key_of: Any
    ) -> tuple[float, list[StatementReply | StoreError] | None]:
        """Execute a write; returns when its replies leave, and the replies, or None if they are never sent."""
        done = self.occupy(self._call_ms * len(write.operations))
        self.calls += len(write.operations)
        if write.load_script:
            self.keys.run(self._session, self._sim.now, [b"SCRIPT", b"LOAD", script.LUA.encode()])
        if self.hangs:
            return done, None
        answers = [self._run_operation(gateway, op, write.plain, key_of(op.key)) for op in write.operations]
        if self.cut_share and self._random.random() < self.cut_share:
            return done, None
        return done, answers

    def occupy(self, cost_ms: float) -> float:
        """Occupy the store's only core for `cost_ms`; returns when that work is done."""
        begin = max(self._sim.now, self._busy_until, self.paused_until)
        self._busy_until = begin + cost_ms + self.slow_ms
        return self._busy_until

    def _run_operation(self, gateway: str, op: Operation, plain: bool, key: bytes) -> StatementReply | StoreError:
        if self.error:
            return StoreError(self.error)
        if self.full and self.keys.run(self._session, self._sim.now, [b"EXISTS", key]) == 0:
            return StoreError("OOM command not allowed when used memory > 'maxmemory'.")
        run = self.keys.run
        if plain:
            total = run(self._session, self._sim.now, [b"HINCRBYFLOAT", key, b"t", b"%.17g" % op.units])
            run(self._session, self._sim.now, [b"PEXPIRE", key, b"%d" % op.ttl_ms, b"NX"])
            return StoreError(str(total)) if isinstance(total, ErrorReply) else StatementReply(float(total), -1)  # type: ignore[arg-type]
        reply = run(
            self._session,
            self._sim.now,
            [
                b"EVALSHA",
                script.DIGEST.encode(),
                b"1",
                key,
                b"%b:1" % gateway.encode(),
                b"%d" % op.version,
                b"%.17g" % op.total,
                b"%d" % op.ttl_ms,
            ],
        )
        if isinstance(reply, ErrorReply):
            return StoreError(str(reply))
        assert isinstance(reply, list) and isinstance(reply[0], bytes) and isinstance(reply[1], bytes)
        return StatementReply(float(reply[0]), int(reply[1]))

    # Faults ---------------------------------------------------------------------------------------------

    def flush(self) -> None:
        """Lose all contents."""
        self.keys.empty()

    def copy_to_replica(self) -> None:
        """Copy the contents to the replica; the last two copies are kept."""
        self._replica_copies.append((self._sim.now, list(self.keys.contents())))
        del self._replica_copies[:-2]

    def fail_over(self) -> None:
        """Continue with the contents of a replica that was behind."""
        contents = self._replica_copies[0][1] if self._replica_copies else []
        self.keys.empty()
        for entry in contents:
            self.keys.apply_change(*entry)
