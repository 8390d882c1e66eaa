"""Splits names over several counter services by rendezvous hashing.

Each name belongs to the service with the highest hash of service and name.  So every door finds the same one without
asking, and a service that joins or leaves moves only the names that come to it or were its own.  Tries go by customer:
one customer's history stands in one log, and the same try from two doors meets itself.

The map has a version.  A service refuses a door with another one (MAP): counts must not go to two places.  When the map
changes, names that move begin at 0 at their new service; a period is over within 20 s, and until then each door's own
part of the quota bounds what passes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

import xxhash

from martenstep.counter.client import CounterClient


def owning_service(services: Sequence[str], key: str) -> str:
    """The service that a key belongs to; ties go to the name that is first in order."""
    return max(sorted(services), key=lambda service: xxhash.xxh64_intdigest(f"{service}\0{key}".encode()))


class ShardedClient:
    """The clients of all services, as one store port."""

    def __init__(self, clients: Mapping[str, CounterClient]) -> None:
        self._clients = dict(clients)
        self._names = sorted(self._clients)
        self._only = self._clients[self._names[0]] if len(self._names) == 1 else None

    def _of(self, key: str) -> CounterClient:
        return self._only if self._only is not None else self._clients[owning_service(self._names, key)]

    def start(self) -> None:
        """Connect to all."""
        for client in self._clients.values():
            client.start()

    def add(self, call: int, name: int, units: float, expire_ms: float, proof: bool = False) -> None:
        """Ask the name's service for one add."""
        self._of(f"n{name:x}").add(call, name, units, expire_ms, proof)

    def record(
        self, time_ms: float, units: float, beyond: bool, request: str, customer: str, plan: str, cls: str
    ) -> bool:
        """Promise a try to its customer's service; False where its journal is full."""
        return self._of(f"c{customer}").record(time_ms, units, beyond, request, customer, plan, cls)

    async def flush(self, within_ms: float) -> bool:
        """Wait until all is acknowledged; False where it was not in time."""
        return all(await asyncio.gather(*(client.flush(within_ms) for client in self._clients.values())))

    async def stop(self) -> None:
        """Close all."""
        await asyncio.gather(*(client.stop() for client in self._clients.values()))
