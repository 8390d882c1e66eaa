"""The sockets of the membership: UDP for datagrams and TCP for exchanges, on one address and port."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

from martenstep.membership.member import Address

RECEIVE_BUFFER_BYTES = 1 << 20  # holds the datagrams that arrive while this process is paused

StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes received datagrams to a callback."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        """`receive` is called with each datagram."""
        self._receive = receive

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass on a datagram; the event loop calls this."""
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error of a port without a listener: the core detects the failed member by its probes."""


class MembershipTransport:
    """The two sockets of this node, and the routes to other members."""

    def __init__(self, routes: dict[Address, Address]) -> None:
        """`routes` maps the address of a member to the address to send to, if that is another one."""
        self._routes = routes
        self._datagrams: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self.port = 0

    async def bind(self, host: str, port: int, receive: Callable[[bytes], None], serve: StreamHandler) -> None:
        """Listen on TCP and UDP on one port; raises OSError."""
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
        """Return the address to send to for a member's address."""
        return self._routes.get(address, address)

    def send(self, to: Address, data: bytes) -> None:
        """Send a datagram; drops it if the socket is not open."""
        if self._datagrams is not None and not self._datagrams.is_closing():
            self._datagrams.sendto(data, self.route(to))

    def close(self) -> None:
        """Close both sockets."""
        if self._datagrams is not None:
            self._datagrams.close()
        if self._server is not None:
            self._server.close()
