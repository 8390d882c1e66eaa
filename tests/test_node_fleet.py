"""What several front doors, processes of their own, do together to what they share: a cold backend, a customer's quota.

Both are held from above only: a machine that is slow sends less.
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

from tests.node_rig import SETTINGS, request, target
from tests.socket_rig import Peer, ScriptedServer
from tests.test_node_gateway import agent
from tests.test_node_processes import Process, doors, play

PLAY_S = 4.0


class Calls:
    """Requests from clients that keep their connections; each under an id of its own."""

    def __init__(self) -> None:
        self.number = 0
        self.statuses: dict[int, int] = {}

    async def through(self, door: Process, every_s: float, until: float, *customers: str, **told: Any) -> None:
        """One client's requests through one door, at chance times around a mean."""
        rng = random.Random(self.number)
        peer = await door.client()
        while time.monotonic() < until:
            self.number += 1
            text = request(self.number, customer=rng.choice(customers), **told)
            try:
                await peer.write(text)
                status, head, _ = await peer.read_response()
            except (ConnectionError, asyncio.IncompleteReadError):
                peer = await door.client()
                continue
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if "connection: close" in head:
                peer.close()
                peer = await door.client()
            await asyncio.sleep(rng.expovariate(1 / every_s))
        peer.close()


def test_a_cold_backend_is_not_pushed_over_by_the_sum_of_uneven_and_restarted_doors(tmp_path: Path) -> None:
    """Of its budget in each window no more than two roots, and two, are put down to chance."""
    cold_from, multiple, window_s, rate = 0.3, 2.0, 1.0, 160.0
    rules = {
        **SETTINGS["rules"],
        "cold_from": cold_from,
        "warm_within_ms": 600_000.0,
        "fall_multiple": multiple,
        "overload_for_ms": window_s * 1000,
    }
    came: list[float] = []

    def serves(marks: list[float]) -> Any:
        async def script(peer: Peer) -> None:
            while True:
                await peer.read_head()
                marks.append(time.monotonic())
                await asyncio.sleep(0.01)
                await peer.send_response()

        return script

    async def test() -> None:
        warm: list[float] = []
        fresh = ScriptedServer(serves(came))
        port = await fresh.start()
        changed = asyncio.Event()
        targets: list[dict[str, Any]] = []

        async def told(peer: Peer) -> None:
            await agent(peer, targets) if changed.is_set() else await before(peer)

        async def before(peer: Peer) -> None:
            await peer.read_head()
            await peer.send_response(json.dumps({"rev": 0, "all": True, "targets": targets}))
            await peer.read_head()
            await changed.wait()  # the watch tells all doors at one moment
            await peer.send_response(json.dumps({"rev": 1, "all": True, "targets": targets}))
            await peer.read_to_end()

        async with doors(tmp_path, 3, told, *[serves(warm)] * 3, settings={**SETTINGS, "rules": rules}) as made:
            targets += json.loads(made[0].path.read_text(encoding="utf-8"))["known"]["targets"]
            for door in made:
                await door.start()
                await door.until("ready")
            calls, until = Calls(), time.monotonic() + PLAY_S
            shares = (4, 1, 1)
            clients = [
                asyncio.create_task(calls.through(door, 8 / (rate * share / sum(shares)), until, f"{n:016x}"))
                for door, share in zip(made, shares, strict=True)
                for n in range(1, 9)
            ]
            await asyncio.sleep(PLAY_S / 4)
            targets.append(target("s-cold", port, boot_ms=int(time.time() * 1000)))
            changed.set()
            await asyncio.sleep(PLAY_S / 4)
            made[1].signal(signal.SIGTERM)  # one starts anew in the midst of it
            assert await made[1].end() == 0
            await made[1].start()
            await asyncio.gather(*clients)
        fresh.stop()
        assert len(warm) > 3 * len(came) / 2 and came, "it is used, and less than the others"
        budget = multiple * cold_from * rate / 4 * window_s
        most = max(sum(at <= other < at + window_s for other in came) for at in came)
        assert most <= budget + 2 * math.sqrt(budget) + 2

    play(test())


def test_a_quota_holds_over_all_doors_on_a_quiet_day(tmp_path: Path) -> None:
    """What is let through beyond it costs at most a tenth of the worth that is asked for, at half of its own each."""
    rate, burst, cost = 2.0, 4.0, 0.5
    plan = {"name": "small", "units_per_s": rate, "most_at_once": burst, "beyond_costs": cost}
    customers = [f"{number:016x}" for number in range(1, 17)]
    came: list[tuple[float, str]] = []
    totals: dict[bytes, float] = {}

    async def counting(peer: Peer) -> None:
        while True:
            words = [await peer.reader.readline() for _ in range(9)]
            if not words[-1]:
                return
            name = words[4]
            totals[name] = totals.get(name, 0.0) + float(words[6])
            told = f"{totals[name]:.6g}".encode()
            await peer.write(b"$%d\r\n%b\r\n" % (len(told), told))

    async def serves(peer: Peer) -> None:
        while True:
            head = await peer.read_head()
            came.append((time.monotonic(), head.split()[1][-16:]))
            await peer.send_response()

    async def test() -> None:
        shared = ScriptedServer(counting)
        address = f"127.0.0.1:{await shared.start()}"
        targets: list[dict[str, Any]] = []
        async with doors(
            tmp_path,
            3,
            lambda peer: agent(peer, targets),
            serves,
            serves,
            counter=address,
            settings={**SETTINGS, "contracts": [plan]},
        ) as made:
            targets += json.loads(made[0].path.read_text(encoding="utf-8"))["known"]["targets"]
            for door in made:
                await door.start()
                await door.until("ready")
            calls, until = Calls(), time.monotonic() + PLAY_S
            # Three in four ask for half of their rate, the others for twice of it; a third through each door.
            await asyncio.gather(
                *(
                    calls.through(door, 3 / (rate * (0.5 if number % 4 else 2.0)), until, customer, X_Plan="small")
                    for door in made
                    for number, customer in enumerate(customers)
                )
            )
        with contextlib.suppress(ConnectionError):
            shared.stop()
        store = dict.fromkeys(customers, burst)
        last = dict.fromkeys(customers, came[0][0])
        beyond = 0
        for at, customer in sorted(came):
            store[customer] = min(store[customer] + (at - last[customer]) * rate, burst)
            last[customer] = at
            if store[customer] >= 1:
                store[customer] -= 1
            else:
                beyond += 1
        assert calls.statuses.get(429, 0) > 0, "some ask for more than they have"
        assert len(came) > len(customers) and cost * beyond / calls.number <= 0.1

    play(test())
