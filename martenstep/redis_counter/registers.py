"""The registers of this gateway's epoch: for each key, the sum of its units under a version that only grows."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from martenstep.redis_counter.messages import Operation

MAX_REGISTERS = 200_000  # a further key is rejected: a register that is dropped too early would lose its sum
SWEEP_INTERVAL_MS = 1000.0


@dataclass(slots=True)
class Register:
    """The units that this gateway's epoch has added to one key, and what the store last answered for the key."""

    expires_ms: float  # when the register is removed
    sum: float = 0.0
    version: int = 0
    acknowledged_version: int = 0  # the newest version that the store has confirmed
    others_total: float = 0.0  # the part of the last total that other gateways added
    others_floor: float = 0.0  # a lower bound on what other gateways added, kept when the store loses contents
    generation: int = 0  # the generation of the node's contents when the node last answered for this key
    proved_chain: int = 0  # the chain of proofs that the last answer for this key was part of


class RegisterTable:
    """All registers by key, in the order of creation."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._registers: dict[int, Register] = {}
        self._version = 0

    def __contains__(self, key: int) -> bool:
        """Whether a key has a register."""
        return key in self._registers

    def get(self, key: int) -> Register | None:
        """Return a key's register; None if it has none."""
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
        """Create a key's register."""
        self._registers[key] = Register(expires_ms)

    def was_stated(self, key: int) -> bool:
        """Whether a key has a register of which a statement was prepared."""
        register = self._registers.get(key)
        return register is not None and bool(register.version)

    def prepare(self, now_ms: float, operation: Operation, plain: bool) -> None:
        """Give an operation that is about to be written its version, sum and time to live."""
        register = self._registers.get(operation.key)
        if register is None:
            register = self._registers[operation.key] = Register(now_ms + SWEEP_INTERVAL_MS)
        if not plain and not operation.version:
            # A call that only reads also states a register, so that a later loss of the contents is detected.
            if operation.units or not register.version:
                self._version += 1
                register.sum += operation.units
                register.version = self._version
            operation.version = register.version
            operation.total = register.sum
        operation.known_version = register.acknowledged_version
        operation.ttl_ms = max(round(register.expires_ms - now_ms), 1)

    def subtract_rejected(self, operation: Operation) -> None:
        """Subtract the units of a rejected statement from the sum: the store has not added them."""
        register = self._registers[operation.key]
        self._version += 1
        register.sum -= operation.units
        register.version = self._version
        operation.version = 0

    def remove_expired(self, now_ms: float, in_use: set[int]) -> None:
        """Remove the registers that have expired and that no pending operation uses."""
        expired = [key for key, register in self._registers.items() if register.expires_ms <= now_ms]
        for key in expired:
            if key not in in_use:
                del self._registers[key]
