"""Accepts connections on a listening socket, through the failures that accept(2) documents.

The event loop's own server pauses for a second where descriptors or memory run short for a moment, and cannot be
configured otherwise; requests of little time in the queue would be lost meanwhile, and with the queue's end those in
it.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from martenstep.proxy.loop_lag import LoopClock
from martenstep.proxy.transport import has_pending_connections

BACKLOG = 1024  # connections that wait to be accepted
MAX_ACCEPTS = 4  # in one turn of the loop: up to five go by before the first is counted, or is closed
RETRY_S = 0.02  # after an accept that failed for want of descriptors or memory
# The connection that was to be accepted is lost, and nothing else: accept(2) tells pending network errors of the new
# socket too.
LOST_CONNECTION = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ECONNRESET,
        errno.ETIMEDOUT,
    )
)


class Listener:
    """One listening socket and the connections that are being accepted from it."""

    def __init__(
        self,
        sock: socket.socket,
        make_protocol: Callable[[float], asyncio.Protocol],
        accept_failed: Callable[[OSError], None],
        clock: LoopClock,
    ) -> None:
        """`make_protocol` is given when a connection was made at the earliest, by `clock`.

        `accept_failed` is called with each accept that failed for want of descriptors or memory.
        """
        self._socket, self._make_protocol, self._accept_failed = sock, make_protocol, accept_failed
        self._clock = clock
        self._queued_since: float | None = None  # the queue has not been emptied since; None: it has
        self._loop = asyncio.get_running_loop()
        self._connecting: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self.accepting = True
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self._loop.add_reader(sock.fileno(), self._readable)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self._socket.getsockname()[1])

    def _readable(self) -> None:
        if self._queued_since is None:
            self._queued_since = self._clock.arrived_ms
        connected_since = self._queued_since
        for _ in range(MAX_ACCEPTS):
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                self._queued_since = None
                return
            except InterruptedError:
                break
            except OSError as error:
                if error.errno in LOST_CONNECTION:
                    continue
                self._accept_failed(error)
                self._pause()
                return
            task = self._loop.create_task(self._connect(accepted, connected_since))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        if not has_pending_connections(self._socket):  # what is queued from now on has not waited
            self._queued_since = None

    def _pause(self) -> None:
        """Leave the queue alone for a moment: the socket stays readable, and the loop would do nothing else."""
        self._loop.remove_reader(self._socket.fileno())
        self._retry = self._loop.call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._socket.fileno(), self._readable)

    async def _connect(self, accepted: socket.socket, connected_since: float) -> None:
        try:
            accepted.setblocking(False)
            await self._loop.connect_accepted_socket(lambda: self._make_protocol(connected_since), accepted)
        except OSError:  # it has ended already
            accepted.close()

    async def close(self, timeout_s: float) -> None:
        """Accept the connections that wait in the queue, for a bounded time, then none.

        Closed over, they would be reset, perhaps over a request.
        """
        if not self.accepting:
            return
        until = self._loop.time() + timeout_s
        while has_pending_connections(self._socket) and self._loop.time() < until:
            await asyncio.sleep(0)
        self.accepting = False
        if self._retry is not None:
            self._retry.cancel()
        else:
            self._loop.remove_reader(self._socket.fileno())
        while self._connecting:
            await asyncio.sleep(0)
        self._socket.close()
