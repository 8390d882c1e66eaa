"""The load that several gateway processes together put on what they share: a cold backend, a customer's quota.

Both tests check upper bounds only, since a slow machine sends fewer requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import signal
import time
from pathlib import Path
from typing import Any

from tests.node_rig import SETTINGS, endpoint_entry, request
from tests.socket_rig import Peer, ScriptedServer
from tests.test_node_gateway import serve_list
from tests.test_node_processes import GatewayProcess, gateway_processes, run_test

RUN_S = 4.0


class Clients:
    """Clients that keep their connections open; each of their requests has its own id."""

    def __init__(self) -> None:
        self.number = 0
        self.statuses: dict[int, int] = {}

    async def send_requests(
        self, gateway: GatewayProcess, mean_interval_s: float, until: float, *customers: str, **replaced: Any
    ) -> None:
        """Send one client's requests through one gateway, with random intervals of the given mean."""
        rng = random.Random(self.number)
        peer = await gateway.connect()
        while time.monotonic() < until:
            self.number += 1
            text = request(self.number, customer=rng.choice(customers), **replaced)
            try:
                await peer.write(text)
                status, head, _ = await peer.read_response()
            except (ConnectionError, asyncio.IncompleteReadError):
                peer = await gateway.connect()
                continue
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if "connection: close" in head:
                peer.close()
                peer = await gateway.connect()
            await asyncio.sleep(rng.expovariate(1 / mean_interval_s))
        peer.close()


def test_uneven_and_restarted_gateways_together_do_not_overload_a_cold_backend(tmp_path: Path) -> None:
    """In each window the backend may receive its budget, plus two square roots of it and two for random variation."""
    cold_from, multiple, window_s, rate = 0.3, 2.0, 1.0, 160.0
    rules = {
        **SETTINGS["rules"],
        "cold_from": cold_from,
        "warm_within_ms": 600_000.0,
        "fall_multiple": multiple,
        "overload_for_ms": window_s * 1000,
    }
    cold_times: list[float] = []

    def serve(times: list[float]) -> Any:
        async def script(peer: Peer) -> None:
            while True:
                await peer.read_head()
                times.append(time.monotonic())
                await asyncio.sleep(0.01)
                await peer.send_response()

        return script

    async def test() -> None:
        warm_times: list[float] = []
        cold = ScriptedServer(serve(cold_times))
        port = await cold.start()
        changed = asyncio.Event()
        targets: list[dict[str, Any]] = []

        async def agent(peer: Peer) -> None:
            await serve_list(peer, targets) if changed.is_set() else await first_list(peer)

        async def first_list(peer: Peer) -> None:
            await peer.read_head()
            await peer.send_response(json.dumps({"rev": 0, "all": True, "targets": targets}))
            await peer.read_head()
            await changed.wait()  # the watches of all gateways are answered at the same time
            await peer.send_response(json.dumps({"rev": 1, "all": True, "targets": targets}))
            await peer.read_to_end()

        async with gateway_processes(
            tmp_path, 3, agent, *[serve(warm_times)] * 3, settings={**SETTINGS, "rules": rules}
        ) as gateways:
            targets += json.loads(gateways[0].path.read_text(encoding="utf-8"))["known"]["targets"]
            for gateway in gateways:
                await gateway.start()
                await gateway.wait_for_event("ready")
            clients, until = Clients(), time.monotonic() + RUN_S
            shares = (4, 1, 1)
            tasks = [
                asyncio.create_task(
                    clients.send_requests(gateway, 8 / (rate * share / sum(shares)), until, f"{n:016x}")
                )
                for gateway, share in zip(gateways, shares, strict=True)
                for n in range(1, 9)
            ]
            await asyncio.sleep(RUN_S / 4)
            targets.append(endpoint_entry("s-cold", port, boot_ms=int(time.time() * 1000)))
            changed.set()
            await asyncio.sleep(RUN_S / 4)
            gateways[1].send_signal(signal.SIGTERM)  # one gateway restarts meanwhile
            assert await gateways[1].wait_for_exit() == 0
            await gateways[1].start()
            await asyncio.gather(*tasks)
        cold.stop()
        assert len(warm_times) > 3 * len(cold_times) / 2 and cold_times, "the backend is used, and less than the others"
        budget = multiple * cold_from * rate / 4 * window_s
        most = max(sum(at <= other < at + window_s for other in cold_times) for at in cold_times)
        assert most <= budget + 2 * math.sqrt(budget) + 2

    run_test(test())


def test_a_quota_holds_over_all_gateways_without_faults(tmp_path: Path) -> None:
    """Each request admitted above the quota costs half a request's worth; this may be a tenth of the worth of all
    requests at most."""
    rate, burst, cost = 2.0, 4.0, 0.5
    plan = {"name": "small", "units_per_s": rate, "most_at_once": burst, "beyond_costs": cost}
    customers = [f"{number:016x}" for number in range(1, 17)]
    arrivals: list[tuple[float, str]] = []
    totals: dict[bytes, float] = {}

    async def add_and_total(peer: Peer) -> None:
        while True:
            words = [await peer.reader.readline() for _ in range(9)]
            if not words[-1]:
                return
            name = words[4]
            totals[name] = totals.get(name, 0.0) + float(words[6])
            total = f"{totals[name]:.6g}".encode()
            await peer.write(b"$%d\r\n%b\r\n" % (len(total), total))

    async def serve(peer: Peer) -> None:
        while True:
            head = await peer.read_head()
            arrivals.append((time.monotonic(), head.split()[1][-16:]))
            await peer.send_response()

    async def test() -> None:
        shared = ScriptedServer(add_and_total)
        address = f"127.0.0.1:{await shared.start()}"
        targets: list[dict[str, Any]] = []
        async with gateway_processes(
            tmp_path,
            3,
            lambda peer: serve_list(peer, targets),
            serve,
            serve,
            counter=address,
            settings={**SETTINGS, "contracts": [plan]},
        ) as gateways:
            targets += json.loads(gateways[0].path.read_text(encoding="utf-8"))["known"]["targets"]
            for gateway in gateways:
                await gateway.start()
                await gateway.wait_for_event("ready")
            clients, until = Clients(), time.monotonic() + RUN_S
            # Three in four customers send half of their rate, the others twice theirs; a third through each gateway.
            await asyncio.gather(
                *(
                    clients.send_requests(
                        gateway, 3 / (rate * (0.5 if number % 4 else 2.0)), until, customer, X_Plan="small"
                    )
                    for gateway in gateways
                    for number, customer in enumerate(customers)
                )
            )
        with contextlib.suppress(ConnectionError):
            shared.stop()
        tokens = dict.fromkeys(customers, burst)
        last = dict.fromkeys(customers, arrivals[0][0])
        beyond = 0
        for at, customer in sorted(arrivals):
            tokens[customer] = min(tokens[customer] + (at - last[customer]) * rate, burst)
            last[customer] = at
            if tokens[customer] >= 1:
                tokens[customer] -= 1
            else:
                beyond += 1
        assert clients.statuses.get(429, 0) > 0, "some customers exceed their quota"
        assert len(arrivals) > len(customers) and cost * beyond / clients.number <= 0.1

    run_test(test())
