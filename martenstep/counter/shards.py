"""Splits keys over several counter services by rendezvous hashing.

Each key belongs to the service with the highest hash of service and key.  Every gateway therefore computes the same
service without coordination, and a service that joins or leaves moves only the keys that it gains or loses.  Attempts
are split by customer, so that one log holds a customer's whole history, and the same attempt from two gateways reaches
the same service, which recognizes the duplicate.

The map has a version.  A service rejects a gateway with a different version (MAP), because a key must not be counted at
two services.  When the map changes, keys that move begin at 0 at their new service.  A period is over within 20 s, and
until then each gateway's own share of the quota bounds its requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

import xxhash

from martenstep.counter.client import CounterClient
from martenstep.counter.pending_increments import AttemptRecord


def owning_service(services: Sequence[str], key: str) -> str:
    """Return the service that a key belongs to; a tie goes to the first service name in alphabetical order."""
    return max(sorted(services), key=lambda service: xxhash.xxh64_intdigest(f"{service}\0{key}".encode()))


class ShardedClient:
    """Presents the clients of all services as one counter."""

    def __init__(self, clients: Mapping[str, CounterClient]) -> None:
        """`clients` maps the name of each service to its client."""
        self._clients = dict(clients)
        self._services = sorted(self._clients)
        self._only_client = self._clients[self._services[0]] if len(self._services) == 1 else None

    def _client(self, key: str) -> CounterClient:
        if self._only_client is not None:
            return self._only_client
        return self._clients[owning_service(self._services, key)]

    def start(self) -> None:
        """Connect to all services."""
        for client in self._clients.values():
            client.start()

    def add(self, call: int, key: int, units: float, ttl_ms: float, bounds_ceiling: bool = False) -> None:
        """Request one add at the key's service."""
        self._client(f"n{key:x}").add(call, key, units, ttl_ms, bounds_ceiling)

    def record(self, record: AttemptRecord) -> bool:
        """Journal an attempt for its customer's service; returns False if the journal does not accept it."""
        return self._client(f"c{record.customer}").record(record)

    async def flush(self, within_ms: float) -> bool:
        """Wait until all commands are acknowledged; returns False if that took too long."""
        return all(await asyncio.gather(*(client.flush(within_ms) for client in self._clients.values())))

    async def stop(self) -> None:
        """Close all clients."""
        await asyncio.gather(*(client.stop() for client in self._clients.values()))
