"""What a gateway of the platform may hold, computed from the memory that its configuration allows the process.

The budget of client buffers computed here is that of the start; the process's own size decides from then on
(proxy.process_memory).
"""

from __future__ import annotations

from dataclasses import dataclass

from martenstep.policy.quota import MAX_CUSTOMERS
from martenstep.proxy.acceptor import CONNECTION_BYTES, MIN_CONNECTIONS
from martenstep.proxy.process_memory import MIN_BUDGET_BYTES, reserve_bytes

DEFAULT_MEMORY_MB = 192
BYTES_PER_MB = 1 << 20
BASE_BYTES = 21 << 20  # the interpreter, the code and the state of the endpoints
CUSTOMER_BYTES = 3 << 9  # the state of one customer
# Shares of what the base and the reserve leave.
CONNECTION_SHARE, CUSTOMER_SHARE, BUFFER_SHARE = 0.5, 0.2, 0.3
RESPONSE_SHARE = 1 / 64  # of one response, held back until it can be relayed
MIN_CUSTOMERS, MIN_RESPONSE_BYTES = 500, 64 << 10
MAX_RESPONSE_BUFFER_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """The limits that follow from the memory of the process.  Sizes are bytes."""

    process_bytes: int
    client_connections: int
    client_buffers: int
    response_buffer: int  # held back of a response before it is relayed: until then a retry can replace it
    customers: int


def compute_memory_limits(memory_mb: float) -> MemoryLimits:
    """Compute the limits of a process that may hold `memory_mb`."""
    process_bytes = int(memory_mb * BYTES_PER_MB)
    left_bytes = max(process_bytes - BASE_BYTES - reserve_bytes(process_bytes), 0)
    response_bytes = int(left_bytes * RESPONSE_SHARE)
    return MemoryLimits(
        process_bytes=process_bytes,
        client_connections=max(int(left_bytes * CONNECTION_SHARE) // CONNECTION_BYTES, MIN_CONNECTIONS),
        client_buffers=max(int(left_bytes * BUFFER_SHARE), MIN_BUDGET_BYTES),
        response_buffer=min(max(response_bytes, MIN_RESPONSE_BYTES), MAX_RESPONSE_BUFFER_BYTES),
        customers=min(max(int(left_bytes * CUSTOMER_SHARE) // CUSTOMER_BYTES, MIN_CUSTOMERS), MAX_CUSTOMERS),
    )
