"""A release: a versioned set of hooks, and the customers that it is rolled out to."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from martenstep.hooks.bytecode import Program
from martenstep.hooks.translation import translate
from martenstep.hooks.virtual_machine import TranslatedFunctions

HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class Hook:
    """One hook of a release: its extension point, and the customers and plans that it applies to."""

    point: str
    name: str
    program: Program
    customers: frozenset[str] = frozenset()
    plans: frozenset[str] = frozenset()
    translated: TranslatedFunctions = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        # Translated here rather than at the first run, so that no request waits for the translation.
        object.__setattr__(self, "translated", translate(self.program))

    @property
    def applies_to_all(self) -> bool:
        """Whether the hook applies to every customer."""
        return not self.customers and not self.plans

    def applies_to(self, customer: str, plan: str) -> bool:
        """Whether the hook applies to a customer; an empty set of customers or plans includes all."""
        return (not self.customers or customer in self.customers) and (not self.plans or plan in self.plans)


@dataclass(frozen=True, slots=True)
class Release:
    """A complete release whose hooks have been compiled."""

    version: int
    digest: str  # SHA-256 of its manifest
    hooks: tuple[Hook, ...]
    share: float = 1.0  # of the customers that the release is rolled out to
    canary_customers: frozenset[str] = frozenset()  # part of a canary whatever their hash
    about: str = ""
    signer: str = ""  # the public key that verified its signature; empty where none was required

    @property
    def is_canary(self) -> bool:
        """Whether the release is rolled out to only a part of the customers."""
        return self.share < 1.0

    def includes(self, customer: str) -> bool:
        """Whether the release is rolled out to a customer; the result is the same at every gateway."""
        return (
            not self.is_canary
            or customer in self.canary_customers
            or xxhash.xxh64_intdigest(customer.encode("utf-8", "replace")) < self.share * HASH_RANGE
        )
