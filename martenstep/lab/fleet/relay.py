"""The wires between real doors: a relay for each ordered pair, for datagrams and streams, steered while it runs.

A door is told, for each other door's address, to send to the relay of that pair; the relay sends on what the wires let
through.  Nothing else knows where the others are.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from martenstep.lab.fleet.wires import Wires
from martenstep.membership.member import Address
from martenstep.membership.transport import DatagramReceiver

READ_BYTES = 65_536
LOOK_S = 0.02  # how often a stream that a fault holds up looks whether that is over
TRIES = 50  # of finding a port that is free for both kinds


class Relay:
    """One ordered pair: what the source sends to the sink."""

    def __init__(self, wires: Wires, source: str, sink: str, to: Address, now: Callable[[], float]) -> None:
        self._wires, self._source, self._sink, self._to, self._now = wires, source, sink, to, now
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._streams: set[asyncio.Task[None]] = set()
        self.last = b""  # datagram that passed

    async def start(self, datagrams: bool = True) -> Address:
        """Bind one port for both, or for streams alone; gives its address."""
        loop = asyncio.get_running_loop()
        for _ in range(TRIES):
            server = await asyncio.start_server(self._stream, "127.0.0.1", 0)
            port = int(server.sockets[0].getsockname()[1])
            if not datagrams:
                self._server = server
                return "127.0.0.1", port
            try:
                self._transport, _ = await loop.create_datagram_endpoint(
                    lambda: DatagramReceiver(self._arrived), local_addr=("127.0.0.1", port)
                )
            except OSError:
                server.close()
                continue
            self._server = server
            return "127.0.0.1", port
        raise OSError("no port is free for datagrams and streams")

    def _arrived(self, data: bytes) -> None:
        self.last = data
        loop = asyncio.get_running_loop()
        for arrival in self._wires.pass_on(self._now(), self._source, self._sink, data):
            if arrival.after_ms > 0:
                loop.call_later(arrival.after_ms / 1000, self.send, arrival.data)
            else:
                self.send(arrival.data)

    def send(self, data: bytes) -> None:
        """Straight to the sink."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._to)

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._streams.add(task)
        back: asyncio.StreamWriter | None = None
        try:
            await self._held(self._source, self._sink)  # nothing of a connection's begin passes a cut either
            there, back = await asyncio.open_connection(*self._to)
            await asyncio.gather(
                self._pump(reader, back, self._source, self._sink), self._pump(there, writer, self._sink, self._source)
            )
        except OSError:
            pass
        finally:
            self._streams.discard(task)
            for each in (writer, back):
                if each is not None:
                    each.close()

    async def _held(self, source: str, sink: str) -> None:
        while self._wires.is_stalled(source, sink):
            await asyncio.sleep(LOOK_S)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, sink: str) -> None:
        while data := await reader.read(READ_BYTES):
            await self._held(source, sink)
            late = self._wires.stream_ms(source, sink, len(data))
            if late:
                await asyncio.sleep(late / 1000)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def close(self) -> None:
        """Let go of all."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for task in list(self._streams):
            task.cancel()


class Forger:
    """Noise, old datagrams cut short or made longer, and old ones to others; straight to doors, past the wires."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def made(self, old: list[bytes]) -> bytes:
        """One forged datagram."""
        rng, kind = self._rng, self._rng.randrange(4)
        if kind == 0 or not old:
            return rng.randbytes(rng.randrange(1, 1500))
        data = rng.choice(old)
        if kind == 1:
            return data[: rng.randrange(len(data))]
        return data + rng.randbytes(rng.randrange(1, 400)) if kind == 2 else data
