"""A Redis as a model: the stand-in's own keyspace behind a bounded number of calls a second, and its troubles."""

from __future__ import annotations

from typing import Any

from martenstep.lab.emulate.core import Draws, Sim
from martenstep.redis_counter import script
from martenstep.redis_counter.messages import Operation, StatementReply, StoreError, WriteOperations
from martenstep.standins.redis.keyspace import Keyspace, Session
from martenstep.standins.resp import ErrorReply


class EmuStore:
    """One store, shared by all doors."""

    def __init__(self, sim: Sim, draws: Draws, call_ms: float) -> None:
        self._sim, self._draws, self._call_ms = sim, draws, call_ms
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
        self._copies: list[tuple[float, list[Any]]] = []

    def take(
        self, door: str, write: WriteOperations, key_of: Any
    ) -> tuple[float, list[StatementReply | StoreError] | None]:
        """When one write's answers leave, and what they are; None where they never do."""
        done = self.serve(self._call_ms * len(write.operations))
        self.calls += len(write.operations)
        if write.load_script:
            self.keys.run(self._session, self._sim.now, [b"SCRIPT", b"LOAD", script.LUA.encode()])
        if self.hangs:
            return done, None
        answers = [self._run(door, op, write.plain, key_of(op.key)) for op in write.operations]
        if self.cut_share and self._draws.unit() < self.cut_share:
            return done, None
        return done, answers

    def serve(self, cost_ms: float) -> float:
        """When something that costs so much of its one core is done."""
        begin = max(self._sim.now, self._busy_until, self.paused_until)
        self._busy_until = begin + cost_ms + self.slow_ms
        return self._busy_until

    def _run(self, door: str, op: Operation, plain: bool, key: bytes) -> StatementReply | StoreError:
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
                b"%b:1" % door.encode(),
                b"%d" % op.version,
                b"%.17g" % op.total,
                b"%d" % op.ttl_ms,
            ],
        )
        if isinstance(reply, ErrorReply):
            return StoreError(str(reply))
        assert isinstance(reply, list) and isinstance(reply[0], bytes) and isinstance(reply[1], bytes)
        return StatementReply(float(reply[0]), int(reply[1]))

    # Troubles -------------------------------------------------------------------------------------------

    def empty(self) -> None:
        """It loses its contents."""
        self.keys.empty()

    def keep_copy(self) -> None:
        """What a replica has got by now."""
        self._copies.append((self._sim.now, list(self.keys.contents())))
        del self._copies[:-2]

    def go_back(self) -> None:
        """A replica that was a moment behind takes over."""
        contents = self._copies[0][1] if self._copies else []
        self.keys.empty()
        for entry in contents:
            self.keys.apply_change(*entry)
