"""What a release holds: hooks, whom each acts for, and whom the release is tried on."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from martenstep.hooks.bytecode import Program
from martenstep.hooks.translation import Fast, translate

HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class Hook:
    """One hook of a release: where it stands, and for whom."""

    point: str
    name: str
    program: Program
    customers: frozenset[str] = frozenset()
    plans: frozenset[str] = frozenset()
    fast: Fast = field(init=False, compare=False, repr=False)  # made with it: it takes its time

    def __post_init__(self) -> None:
        object.__setattr__(self, "fast", translate(self.program))

    def fits(self, customer: str, plan: str) -> bool:
        """Whether it acts for this customer; a list that is empty names all."""
        return (not self.customers or customer in self.customers) and (not self.plans or plan in self.plans)


@dataclass(frozen=True, slots=True)
class Release:
    """A whole, checked release."""

    version: int
    digest: str  # of its manifest
    hooks: tuple[Hook, ...]
    share: float = 1.0
    trial_customers: frozenset[str] = frozenset()
    about: str = ""
    signer: str = ""  # the key that vouches for it, where one does

    @property
    def whole(self) -> bool:
        """Whether it is for all customers."""
        return self.share >= 1.0

    def holds(self, customer: str) -> bool:
        """Whether a customer belongs to it: the same word at every door."""
        return (
            self.whole
            or customer in self.trial_customers
            or xxhash.xxh64_intdigest(customer.encode("utf-8", "replace")) < self.share * HASH_RANGE
        )
