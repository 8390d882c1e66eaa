"""Accepts connections on a listening socket, through the failures that accept(2) documents.

The event loop's own server pauses for a second where descriptors or memory run short for a moment, and cannot be told
otherwise; requests of little time in the queue would be lost meanwhile, and with the queue's end those in it.
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
RETRY_S = 0.02  # after an accept for which there was no room
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
    """One listening socket and the connections that are being made from it."""

    def __init__(
        self,
        sock: socket.socket,
        factory: Callable[[float], asyncio.Protocol],
        failed: Callable[[OSError], None],
        clock: LoopClock,
    ) -> None:
        """`factory` makes a protocol for each connection, which came at the given time at the earliest; `failed` hears
        of each accept for which there was no room; `clock` tells when what is ready may have come."""
        self._sock, self._factory, self._failed = sock, factory, failed
        self._clock = clock
        self._queued_since: float | None = None  # the queue was not emptied since; none: it was
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
        return int(self._sock.getsockname()[1])

    def _readable(self) -> None:
        if self._queued_since is None:
            self._queued_since = self._clock.arrived_ms
        since = self._queued_since
        for _ in range(MAX_ACCEPTS):
            try:
                accepted, _ = self._sock.accept()
            except BlockingIOError:
                self._queued_since = None
                return
            except InterruptedError:
                break
            except OSError as error:
                if error.errno in LOST_CONNECTION:
                    continue
                self._failed(error)
                self._pause()
                return
            task = self._loop.create_task(self._connect(accepted, since))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        if not has_pending_connections(self._sock):  # who comes from now on has not waited
            self._queued_since = None

    def _pause(self) -> None:
        """Leave the queue alone for a moment: the socket stays readable, and the loop would do nothing else."""
        self._loop.remove_reader(self._sock.fileno())
        self._retry = self._loop.call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._sock.fileno(), self._readable)

    async def _connect(self, accepted: socket.socket, since: float) -> None:
        try:
            accepted.setblocking(False)
            await self._loop.connect_accepted_socket(lambda: self._factory(since), accepted)
        except OSError:  # it has ended already
            accepted.close()

    async def close(self, within_s: float) -> None:
        """Accept who stands in the queue, for a bounded time, then nobody more: the others would be reset, perhaps over
        a request."""
        if not self.accepting:
            return
        until = self._loop.time() + within_s
        while has_pending_connections(self._sock) and self._loop.time() < until:
            await asyncio.sleep(0)
        self.accepting = False
        if self._retry is not None:
            self._retry.cancel()
        else:
            self._loop.remove_reader(self._sock.fileno())
        while self._connecting:
            await asyncio.sleep(0)
        self._sock.close()
