"""The sockets of the membership: datagrams over UDP and exchanges over TCP, at one address."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

from martenstep.membership.member import Address

RECEIVE_BUFFER_BYTES = 1 << 20  # room for what arrives while this process is paused

StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class DatagramReceiver(asyncio.DatagramProtocol):
    """Hands on what arrives."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        """`receive` is called with each datagram."""
        self._receive = receive

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Called by the event loop."""
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """A port that nobody listens on answers so: a core finds that out by its probe."""


class MembershipTransport:
    """Both sockets of one member, and the routes to others."""

    def __init__(self, routes: dict[Address, Address]) -> None:
        """`routes` tells through which addresses others are reached, where that is not their own."""
        self._routes = routes
        self._datagrams: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self.port = 0

    async def bind(self, host: str, port: int, receive: Callable[[bytes], None], serve: StreamHandler) -> None:
        """Listen on both protocols at one port; raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(serve, host, port)
        listener = self._server.sockets[0]
        self.port = int(listener.getsockname()[1])
        try:
            self._datagrams, _ = await loop.create_datagram_endpoint(
                lambda: DatagramReceiver(receive), local_addr=(host, self.port), family=listener.family
            )
        except OSError:
            self._server.close()
            raise
        with contextlib.suppress(OSError):
            udp_socket = self._datagrams.get_extra_info("socket")
            udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def route(self, address: Address) -> Address:
        """Where what is for an address is sent to."""
        return self._routes.get(address, address)

    def send(self, to: Address, data: bytes) -> None:
        """Send a datagram, if the socket is open."""
        if self._datagrams is not None and not self._datagrams.is_closing():
            self._datagrams.sendto(data, self.route(to))

    def close(self) -> None:
        """Close both sockets."""
        if self._datagrams is not None:
            self._datagrams.close()
        if self._server is not None:
            self._server.close()
