"""An authentication service as edge proxies ask it: 2xx lets pass, anything else is the client's answer.

The credential `Bearer CUSTOMER` belongs to that customer, whose plan stands in its name; any other is turned away.
Steered while it runs: slow, silent, failing, answering twice, contradicting itself, revoking, dripping, down.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import h11

from martenstep.standins.base import HttpStandIn, Trace, now_ms, reset, response

GOOD = "Bearer "
DRIP_MS = 2.0  # between the bytes of a dripping answer


class AuthServer(HttpStandIn):
    """One service on a socket."""

    def __init__(self, trace: Trace, port: int = 0, max_age_s: int = 0, seed: int = 1) -> None:
        super().__init__(trace, port)
        self._max_age = max_age_s
        self._rng = random.Random(seed)
        self._delay = 0.0
        self._shares = {"errors": 0.0, "resets": 0.0, "twice": 0.0, "contradicts": 0.0, "broken": 0.0, "drips": 0.0}
        self._silent = False
        self._revoked: set[str] = set()
        self.asked = 0

    def _steered(self, do: str, words: dict[str, Any]) -> dict[str, Any] | None:
        if do == "delay":
            self._delay = float(words["ms"])
        elif do == "silent":
            self._silent = bool(words["on"])
        elif do == "revoke":
            self._revoked = set(words["customers"])
        elif do == "state":
            return {"asked": self.asked, "connections": len(self._writers)}
        else:
            return super()._steered(do, words)
        return None

    def _verdict(self, credential: str) -> tuple[int, list[tuple[str, str]], bytes]:
        customer = credential.removeprefix(GOOD)
        if not credential.startswith(GOOD) or not customer:
            return 401, [("www-authenticate", "Bearer")], b"who are you?\n"
        if customer in self._revoked or self._rng.random() < self._shares["contradicts"]:
            return 403, [], b"no longer\n"
        headers = [("x-auth-customer", customer)]
        plan = customer.rsplit("-", 2)[0]
        headers += [("x-auth-plan", plan)] if plan != customer else []
        if self._max_age:
            headers.append(("cache-control", f"max-age={self._max_age}"))
        return 200, headers, b""

    async def _answer(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body: int,
    ) -> bool:
        self.asked += 1
        headers = dict(request.headers)
        rid = headers.get(b"x-request-id", b"").decode("latin-1")
        credential = headers.get(b"authorization", b"").decode("latin-1")
        self._trace.write("asked", rid=rid, uri=headers.get(b"x-forwarded-uri", b"").decode("latin-1"))
        while self._silent:
            await asyncio.sleep(0.05)
            if writer.transport.is_closing():
                return False
        if self._delay:
            await asyncio.sleep(self._delay * self._rng.uniform(0.8, 1.2) / 1000)
        if self._rng.random() < self._shares["resets"]:
            reset(writer)
            return False
        status, more, text = self._verdict(credential)
        if self._rng.random() < self._shares["errors"]:
            status, more, text = 500, [], b"broken\n"
        out = b"".join(response(connection, status, [("x-max-age", str(self._max_age)), *more], text))
        if self._rng.random() < self._shares["broken"]:
            writer.write(out[: len(out) // 2])
            return False
        # The credential itself is not written down: whose it is, is.
        self._trace.write(
            "verdict", rid=rid, customer=credential.removeprefix(GOOD), status=status, max_age=self._max_age
        )
        if self._rng.random() < self._shares["drips"]:
            for place in range(len(out)):
                writer.write(out[place : place + 1])
                await asyncio.sleep(DRIP_MS / 1000)
            return True
        writer.write(out * 2 if self._rng.random() < self._shares["twice"] else out)
        await writer.drain()
        return True


async def run(port: int, max_age_s: int, trace: Path | None) -> None:
    """One service until it is stopped."""
    await AuthServer(Trace(trace), port, max_age_s, seed=int(now_ms())).run()
