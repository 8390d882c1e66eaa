"""The registers of this gateway's epoch: one for each key, a sum under a version that only grows."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from martenstep.redis_counter.messages import Operation

MAX_REGISTERS = 200_000  # past that a new key is rejected, since none may be forgotten
SWEEP_INTERVAL_MS = 1000.0


@dataclass(slots=True)
class Register:
    """What this gateway's epoch added to one key."""

    expires_ms: float  # the key is forgotten then
    sum: float = 0.0
    version: int = 0
    acknowledged_version: int = 0  # the newest version that the store told of
    others_total: float = 0.0  # of the last total, what is not this gateway's
    others_floor: float = 0.0  # the others had used no less, whatever a store that lost contents says
    generation: int = 0  # of the node's contents, when it last answered for this key
    proved_chain: int = 0  # the chain of proofs that its last answer was part of


class RegisterTable:
    """All registers, by key; the newest key is last."""

    def __init__(self) -> None:
        """Begin empty."""
        self._registers: dict[int, Register] = {}
        self._version = 0

    def __contains__(self, key: int) -> bool:
        """Whether a key has a register."""
        return key in self._registers

    def get(self, key: int) -> Register | None:
        """Return a key's register."""
        return self._registers.get(key)

    def items(self) -> Iterator[tuple[int, Register]]:
        """Iterate over keys and registers, the oldest first."""
        return iter(self._registers.items())

    def newest_first(self) -> Iterator[tuple[int, Register]]:
        """Iterate over keys and registers, the newest first."""
        return reversed(self._registers.items())

    @property
    def full(self) -> bool:
        """Whether no further key is accepted."""
        return len(self._registers) >= MAX_REGISTERS

    def create(self, key: int, expires_ms: float) -> None:
        """Begin a key's register."""
        self._registers[key] = Register(expires_ms)

    def was_stated(self, key: int) -> bool:
        """Whether a key has a register that was stated."""
        register = self._registers.get(key)
        return register is not None and bool(register.version)

    def prepare(self, now_ms: float, operation: Operation, plain: bool) -> None:
        """Give an operation that is about to be written its version, sum and time to live."""
        register = self._registers.get(operation.key)
        if register is None:
            register = self._registers[operation.key] = Register(now_ms + SWEEP_INTERVAL_MS)
        if not plain and not operation.version:
            # Who has only read has a register too: it proves a loss.
            if operation.units or not register.version:
                self._version += 1
                register.sum += operation.units
                register.version = self._version
            operation.version = register.version
            operation.total = register.sum
        operation.known_version = register.acknowledged_version
        operation.ttl_ms = max(round(register.expires_ms - now_ms), 1)

    def take_back(self, operation: Operation) -> None:
        """Take a rejected statement's units out of the sum: they were not added, so later statements omit them."""
        register = self._registers[operation.key]
        self._version += 1
        register.sum -= operation.units
        register.version = self._version
        operation.version = 0

    def remove_expired(self, now_ms: float, in_use: set[int]) -> None:
        """Forget the keys whose time is over and that no operation names."""
        expired = [key for key, register in self._registers.items() if register.expires_ms <= now_ms]
        for key in expired:
            if key not in in_use:
                del self._registers[key]
