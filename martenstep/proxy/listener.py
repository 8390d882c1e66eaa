"""Accepts connections on a listening socket and handles the errors that accept(2) documents.

The event loop's own server stops accepting for a second whenever descriptors or memory run short, and this cannot be
configured.  Meanwhile requests with short deadlines in the accept queue would expire, and if the listener closed, all
connections in the queue would be lost.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from martenstep.proxy.accept_queue import AcceptQueue
from martenstep.proxy.loop_lag import LoopClock
from martenstep.proxy.transport import has_pending_connections

BACKLOG = 1024  # size of the accept queue
# Accepts in one iteration of the event loop.  Up to five iterations pass before the first is counted, or closed.
MAX_ACCEPTS_PER_TURN = 4
ACCEPT_RETRY_S = 0.02  # delay after an accept that failed because descriptors or memory ran short
# Errors that concern only the connection being accepted: accept(2) also reports pending network errors of the new
# socket.
LOST_CONNECTION_ERRNOS = frozenset(
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
    """One listening socket, and the accepted connections that are still being set up."""

    def __init__(
        self,
        sock: socket.socket,
        make_protocol: Callable[[float], asyncio.Protocol],
        accept_failed: Callable[[OSError], None],
        clock: LoopClock,
    ) -> None:
        """`make_protocol` receives the earliest time at which the connection was established, by `clock`.

        `accept_failed` receives the error of each accept that failed because descriptors or memory ran short.
        """
        self._socket, self._make_protocol, self._accept_failed = sock, make_protocol, accept_failed
        self._clock = clock
        self._queue = AcceptQueue(sock)
        self._queue_was_empty = True  # at the end of the last turn
        self._loop = asyncio.get_running_loop()
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        self.accepting = True
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self._loop.add_reader(sock.fileno(), self._accept_ready)

    @property
    def port(self) -> int:
        """The port that the socket listens on."""
        return int(self._socket.getsockname()[1])

    def _accept_ready(self) -> None:
        if self._queue_was_empty:
            self._queue.found_empty(self._clock.earliest_arrival_ms)
            self._queue_was_empty = False
        self._queue.look(self._clock.last_poll_ms)
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                self._queue_was_empty = True
                return
            except InterruptedError:
                break
            except OSError as error:
                if error.errno in LOST_CONNECTION_ERRNOS:
                    continue
                self._accept_failed(error)
                self._pause()
                return
            task = self._loop.create_task(self._connect(accepted, self._queue.accepted()))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)
        self._queue_was_empty = not has_pending_connections(self._socket)

    def _pause(self) -> None:
        """Stop accepting for ACCEPT_RETRY_S: the socket stays readable, and the event loop would spin on it."""
        if not self.accepting:  # `close` looks again by itself
            return
        self._loop.remove_reader(self._socket.fileno())
        self._retry_timer = self._loop.call_later(ACCEPT_RETRY_S, self._resume)

    def _resume(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._socket.fileno(), self._accept_ready)

    async def _connect(self, accepted: socket.socket, connected_since: float) -> None:
        try:
            accepted.setblocking(False)
            await self._loop.connect_accepted_socket(lambda: self._make_protocol(connected_since), accepted)
        except OSError:  # the connection has ended already
            accepted.close()

    def _has_unserved_connections(self) -> bool:
        return bool(self._connect_tasks) or has_pending_connections(self._socket)

    async def close(self, timeout_s: float) -> None:
        """Accept the connections in the accept queue, for a bounded time, then close the socket.

        The close resets connections that are still in the queue, and a request may already have been sent on them.
        """
        if not self.accepting:
            return
        deadline = self._loop.time() + timeout_s
        while self._has_unserved_connections() and self._loop.time() < deadline:
            await asyncio.sleep(0)
        self.accepting = False
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        else:
            self._loop.remove_reader(self._socket.fileno())
        # Nothing stands between the last look at the queue and the close.
        while self._connect_tasks or (has_pending_connections(self._socket) and self._loop.time() < deadline):
            if self._loop.time() < deadline:
                self._accept_ready()
            await asyncio.sleep(0)
        self._socket.close()
