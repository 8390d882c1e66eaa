"""The objects that most modules of the core share."""

from __future__ import annotations

from dataclasses import dataclass

from martenstep.redis_counter.messages import CoreOptions
from martenstep.redis_counter.outbox import Outbox
from martenstep.redis_counter.registers import RegisterTable
from martenstep.redis_counter.routing import Routing


@dataclass(frozen=True, slots=True)
class CoreParts:
    """The options, the state, and the outbox for actions."""

    options: CoreOptions
    routing: Routing
    registers: RegisterTable
    outbox: Outbox
