"""When connections that wait in the accept queue were established, at the earliest.

A connection is accepted some time after it was established, and its request may have arrived meanwhile.  The kernel
tells no time, but how many connections wait (TCP_INFO of a listening socket), and they are accepted in order: a
connection that was not in the queue at one look was established after it.
"""

from __future__ import annotations

import socket
import sys
from collections import deque
from typing import NamedTuple

TCP_INFO_BYTES = 32
STATE_OFFSET, QUEUED_OFFSET = 0, 24  # in struct tcp_info: tcpi_state, and tcpi_unacked, which is the queue's length
TCP_LISTEN = 10  # the value of tcpi_state of a listening socket


class _Look(NamedTuple):
    """A look at the queue: connections up to `position`, in order of acceptance, were established by then."""

    position: int
    at: float


class AcceptQueue:
    """Follows the accept queue of one listening socket.  Times are milliseconds on one clock, and never fall."""

    def __init__(self, sock: socket.socket) -> None:
        """The queue is empty."""
        self._socket = sock
        self._accepted = 0
        self._tells_length = (
            True  # the system tells the queue's length; else all that wait may have waited equally long
        )
        self._seemed_empty = False  # at the last look
        self._looks: deque[_Look] = deque()
        self._since = 0.0  # the time of the last look at which the next connection was not in the queue

    def found_empty(self, at: float) -> None:
        """Record that no connection waited at a time."""
        self._looks.clear()
        self._since = at

    def look(self, at: float) -> None:
        """Look at the queue before connections are accepted from it; `at` is the time, or earlier."""
        if not self._tells_length:
            return
        length = self._length()
        self._seemed_empty = length == 0
        if length and (not self._looks or self._looks[-1].position < self._accepted + length):
            self._looks.append(_Look(self._accepted + length, at))

    def accepted(self) -> float:
        """Count an accepted connection; returns the earliest time at which it may have been established.

        Connections that another process accepts are not counted: the time returned is then earlier, never later.
        """
        if self._seemed_empty:  # the length is not told, or is not that of this queue
            self._tells_length = self._seemed_empty = False
            self._looks.clear()
        self._accepted += 1
        while self._looks and self._looks[0].position < self._accepted:
            self._since = self._looks.popleft().at
        return self._since

    def _length(self) -> int:
        """The number of connections that wait; 0 if the system does not tell it."""
        try:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except (OSError, AttributeError):
            return 0
        if len(info) < TCP_INFO_BYTES or info[STATE_OFFSET] != TCP_LISTEN:
            return 0
        return int.from_bytes(info[QUEUED_OFFSET : QUEUED_OFFSET + 4], sys.byteorder)
