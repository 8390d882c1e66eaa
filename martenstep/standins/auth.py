"""An authentication service that a gateway asks about each request, in the manner of edge proxies: 2xx admits the
request, any other response is returned to the client.

The credential `Bearer CUSTOMER` belongs to that customer, whose name contains its plan; any other is rejected.
Commands make it slow, silent or unreachable, make it fail, respond twice, contradict itself, revoke customers or send
a response byte by byte.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import h11

from martenstep.standins.base import FakeHttpServer, Trace, now_ms, reset, response

CREDENTIAL_PREFIX = "Bearer "
DRIP_MS = 2.0  # between two bytes of a response that is sent byte by byte


class AuthServer(FakeHttpServer):
    def __init__(self, trace: Trace, port: int = 0, max_age_s: int = 0, seed: int = 1) -> None:
        super().__init__(trace, port)
        self._max_age_s = max_age_s
        self._rng = random.Random(seed)
        self._delay_ms = 0.0
        self._fault_shares = {
            "errors": 0.0,
            "resets": 0.0,
            "twice": 0.0,
            "contradicts": 0.0,
            "broken": 0.0,
            "drips": 0.0,
        }
        self._silent = False
        self._revoked: set[str] = set()
        self.request_count = 0

    def _execute_command(self, command: str, arguments: dict[str, Any]) -> dict[str, Any] | None:
        if command == "delay":
            self._delay_ms = float(arguments["ms"])
        elif command == "silent":
            self._silent = bool(arguments["on"])
        elif command == "revoke":
            self._revoked = set(arguments["customers"])
        elif command == "state":
            return {"asked": self.request_count, "connections": len(self._writers)}
        else:
            return super()._execute_command(command, arguments)
        return None

    def _verdict(self, credential: str) -> tuple[int, list[tuple[str, str]], bytes]:
        customer = credential.removeprefix(CREDENTIAL_PREFIX)
        if not credential.startswith(CREDENTIAL_PREFIX) or not customer:
            return 401, [("www-authenticate", "Bearer")], b"who are you?\n"
        if customer in self._revoked or self._rng.random() < self._fault_shares["contradicts"]:
            return 403, [], b"no longer\n"
        headers = [("x-auth-customer", customer)]
        plan = customer.rsplit("-", 2)[0]
        headers += [("x-auth-plan", plan)] if plan != customer else []
        if self._max_age_s:
            headers.append(("cache-control", f"max-age={self._max_age_s}"))
        return 200, headers, b""

    async def _respond(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body_bytes: int,
    ) -> bool:
        self.request_count += 1
        headers = dict(request.headers)
        rid = headers.get(b"x-request-id", b"").decode("latin-1")
        credential = headers.get(b"authorization", b"").decode("latin-1")
        self._trace.write("asked", rid=rid, uri=headers.get(b"x-forwarded-uri", b"").decode("latin-1"))
        while self._silent:
            await asyncio.sleep(0.05)
            if writer.transport.is_closing():
                return False
        if self._delay_ms:
            await asyncio.sleep(self._delay_ms * self._rng.uniform(0.8, 1.2) / 1000)
        if self._rng.random() < self._fault_shares["resets"]:
            reset(writer)
            return False
        status, verdict_headers, text = self._verdict(credential)
        if self._rng.random() < self._fault_shares["errors"]:
            status, verdict_headers, text = 500, [], b"broken\n"
        headers_out = [("x-max-age", str(self._max_age_s)), *verdict_headers]
        out = b"".join(response(connection, status, headers_out, text))
        if self._rng.random() < self._fault_shares["broken"]:
            writer.write(out[: len(out) // 2])
            return False
        # The trace names the customer; the credential itself is left out.
        self._trace.write(
            "verdict",
            rid=rid,
            customer=credential.removeprefix(CREDENTIAL_PREFIX),
            status=status,
            max_age=self._max_age_s,
        )
        if self._rng.random() < self._fault_shares["drips"]:
            for offset in range(len(out)):
                writer.write(out[offset : offset + 1])
                await asyncio.sleep(DRIP_MS / 1000)
            return True
        writer.write(out * 2 if self._rng.random() < self._fault_shares["twice"] else out)
        await writer.drain()
        return True


async def run(port: int, max_age_s: int, trace: Path | None) -> None:
    """Run one service until the process is stopped."""
    await AuthServer(Trace(trace), port, max_age_s, seed=int(now_ms())).run()
