"""Relays between real gateways: one for each ordered pair, for datagrams and streams, with faults injected at run time.

Each gateway is configured to send to the relay of a pair in place of the other gateway's address.  The relay forwards
what the faults of that link let through; only relays send to a gateway's real address.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from martenstep.lab.fleet.wires import Links
from martenstep.membership.member import Address
from martenstep.membership.transport import DatagramReceiver

READ_BYTES = 65_536
STALL_POLL_S = 0.02  # between two checks whether the fault that holds a stream has ended
PORT_ATTEMPTS = 50  # to find a port that is free for both TCP and UDP


class Relay:
    """Forwards what one member, the source, sends to another one, the sink, and the responses on those streams."""

    def __init__(self, links: Links, source: str, sink: str, to: Address, now: Callable[[], float]) -> None:
        self._links, self._source, self._sink, self._to, self._now = links, source, sink, to, now
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._streams: set[asyncio.Task[None]] = set()
        self.last_datagram = b""  # that the source sent

    async def start(self, datagrams: bool = True) -> Address:
        """Listen on one port for datagrams and streams, or for streams alone; return the address."""
        loop = asyncio.get_running_loop()
        for _ in range(PORT_ATTEMPTS):
            server = await asyncio.start_server(self._stream, "127.0.0.1", 0)
            port = int(server.sockets[0].getsockname()[1])
            if not datagrams:
                self._server = server
                return "127.0.0.1", port
            try:
                self._transport, _ = await loop.create_datagram_endpoint(
                    lambda: DatagramReceiver(self._receive_datagram), local_addr=("127.0.0.1", port)
                )
            except OSError:
                server.close()
                continue
            self._server = server
            return "127.0.0.1", port
        raise OSError(f"no port was free for both datagrams and streams in {PORT_ATTEMPTS} attempts")

    def _receive_datagram(self, data: bytes) -> None:
        self.last_datagram = data
        loop = asyncio.get_running_loop()
        for arrival in self._links.transmit(self._now(), self._source, self._sink, data):
            if arrival.delay_ms > 0:
                loop.call_later(arrival.delay_ms / 1000, self.send, arrival.data)
            else:
                self.send(arrival.data)

    def send(self, data: bytes) -> None:
        """Send a datagram to the sink at once, without the faults of the link."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._to)

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._streams.add(task)
        to_sink: asyncio.StreamWriter | None = None
        try:
            await self._wait_while_stalled(self._source, self._sink)  # a cut also holds back a new connection
            from_sink, to_sink = await asyncio.open_connection(*self._to)
            await asyncio.gather(
                self._pump(reader, to_sink, self._source, self._sink),
                self._pump(from_sink, writer, self._sink, self._source),
            )
        except OSError:
            pass
        finally:
            self._streams.discard(task)
            for stream in (writer, to_sink):
                if stream is not None:
                    stream.close()

    async def _wait_while_stalled(self, source: str, sink: str) -> None:
        while self._links.is_stalled(source, sink):
            await asyncio.sleep(STALL_POLL_S)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, sink: str) -> None:
        while data := await reader.read(READ_BYTES):
            await self._wait_while_stalled(source, sink)
            delay_ms = self._links.stream_delay_ms(source, sink, len(data))
            if delay_ms:
                await asyncio.sleep(delay_ms / 1000)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def close(self) -> None:
        """Close the sockets and cancel all streams."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for task in list(self._streams):
            task.cancel()


class DatagramForger:
    """Makes forged datagrams: noise, and earlier datagrams that are truncated, extended or sent to another member.

    They are delivered directly, without the faults of links.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def forge(self, old: list[bytes]) -> bytes:
        """Return one forged datagram, made from earlier ones where there are any."""
        rng, kind = self._rng, self._rng.randrange(4)
        if kind == 0 or not old:
            return rng.randbytes(rng.randrange(1, 1500))
        data = rng.choice(old)
        if kind == 1:
            return data[: rng.randrange(len(data))]
        return data + rng.randbytes(rng.randrange(1, 400)) if kind == 2 else data
