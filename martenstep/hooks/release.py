"""A release: its hooks, whom each applies to, and which customers it is rolled out to."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from martenstep.hooks.bytecode import Program
from martenstep.hooks.translation import translate
from martenstep.hooks.virtual_machine import TranslatedFunctions

HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class Hook:
    """One hook of a release: its extension point, and whom it applies to."""

    point: str
    name: str
    program: Program
    customers: frozenset[str] = frozenset()
    plans: frozenset[str] = frozenset()
    translated: TranslatedFunctions = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        # Here rather than at the first run: a request is not to wait for it.
        object.__setattr__(self, "translated", translate(self.program))

    @property
    def applies_to_all(self) -> bool:
        """Whether it applies to every customer."""
        return not self.customers and not self.plans

    def applies_to(self, customer: str, plan: str) -> bool:
        """Whether it applies to a customer; an empty set names all."""
        return (not self.customers or customer in self.customers) and (not self.plans or plan in self.plans)


@dataclass(frozen=True, slots=True)
class Release:
    """A complete, checked release."""

    version: int
    digest: str  # SHA-256 of its manifest
    hooks: tuple[Hook, ...]
    share: float = 1.0  # of the customers
    trial_customers: frozenset[str] = frozenset()
    about: str = ""
    signer: str = ""  # the public key that vouches for it, where one does

    @property
    def is_canary(self) -> bool:
        """Whether it is rolled out to a part of the customers only."""
        return self.share < 1.0

    def includes(self, customer: str) -> bool:
        """Whether it is rolled out to a customer: the same at every gateway."""
        return (
            not self.is_canary
            or customer in self.trial_customers
            or xxhash.xxh64_intdigest(customer.encode("utf-8", "replace")) < self.share * HASH_RANGE
        )
