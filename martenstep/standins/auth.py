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

from martenstep.standins.base import ControlPort, Trace, now_ms, reset, until_stopped

GOOD = "Bearer "
DRIP_MS = 2.0  # between the bytes of a dripping answer


class AuthServer:
    """One service on a socket."""

    def __init__(self, trace: Trace, port: int = 0, max_age_s: int = 0, seed: int = 1) -> None:
        self._trace, self._port, self._max_age = trace, port, max_age_s
        self._rng = random.Random(seed)
        self._delay = 0.0
        self._shares = {"errors": 0.0, "resets": 0.0, "twice": 0.0, "contradicts": 0.0, "broken": 0.0, "drips": 0.0}
        self._silent = self._down = False
        self._revoked: set[str] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.asked = 0

    async def start(self) -> int:
        """Bind; gives the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port, backlog=512)
        self._port = int(self._server.sockets[0].getsockname()[1])
        return self._port

    async def stop(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()

    def control(self, do: str, words: dict[str, Any]) -> dict[str, Any]:
        """What can be steered while it runs."""
        self._trace.write("control", do=do, **words)
        if do == "delay":
            self._delay = float(words["ms"])
        elif do in self._shares:
            self._shares[do] = float(words["share"])
        elif do == "silent":
            self._silent = bool(words["on"])
        elif do == "down":
            self._down = bool(words["on"])
            for writer in list(self._writers) if self._down else []:
                writer.transport.abort()
        elif do == "revoke":
            self._revoked = set(words["customers"])
        elif do == "state":
            return {"asked": self.asked, "connections": len(self._writers)}
        else:
            return {"error": f"no such command: {do}"}
        return {"ok": True}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._down:
            writer.transport.abort()
            return
        self._writers.add(writer)
        connection = h11.Connection(h11.SERVER)
        try:
            while True:
                while (event := connection.next_event()) is h11.NEED_DATA:
                    connection.receive_data(await reader.read(16384))
                if isinstance(event, h11.EndOfMessage):
                    continue
                if not isinstance(event, h11.Request):
                    break
                while not isinstance(connection.next_event(), h11.EndOfMessage):
                    connection.receive_data(await reader.read(16384))
                if not await self._answer(connection, writer, dict(event.headers)):
                    break
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

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

    async def _answer(self, connection: h11.Connection, writer: asyncio.StreamWriter,
                      headers: dict[bytes, bytes]) -> bool:
        self.asked += 1
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
        status, more, body = self._verdict(credential)
        if self._rng.random() < self._shares["errors"]:
            status, more, body = 500, [], b"broken\n"
        out = connection.send(h11.Response(status_code=status, headers=[
            ("content-length", str(len(body))), ("x-max-age", str(self._max_age)), *more])) or b""
        out += (connection.send(h11.Data(data=body)) or b"") + (connection.send(h11.EndOfMessage()) or b"")
        if self._rng.random() < self._shares["broken"]:
            writer.write(out[: len(out) // 2])
            return False
        # The credential itself is not written down: whose it is, is.
        self._trace.write("verdict", rid=rid, customer=credential.removeprefix(GOOD), status=status,
                          max_age=self._max_age)
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
    seen = Trace(trace)
    server = AuthServer(seen, port, max_age_s, seed=int(now_ms()))
    control = ControlPort(server.control)
    bound = await server.start()
    await until_stopped({"port": bound, "control": await control.start()}, server.stop)
    seen.close()
