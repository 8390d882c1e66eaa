"""Reserves ports for processes that are started later, and perhaps more than once.

A free port that was found and closed again may be assigned to any outgoing connection before the process binds it; the
process then fails because its address is in use.
"""

from __future__ import annotations

import socket

_reserved: list[socket.socket] = []  # until this process ends


def reserve_ports(number: int) -> list[int]:
    """Reserve ports by binding them here without listening.  A process that is given one can bind it as well and
    listen, as both sockets have SO_REUSEADDR."""
    sockets = [socket.socket() for _ in range(number)]
    for each in sockets:
        each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        each.bind(("", 0))
    _reserved.extend(sockets)
    return [int(each.getsockname()[1]) for each in sockets]
