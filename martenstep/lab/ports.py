"""Ports for processes that are started later, by number, and perhaps more than once.

A port that is looked for and let go belongs to whoever asks next: any connection that goes out meanwhile may get it,
and the process that was told the number finds its address in use."""

from __future__ import annotations

import socket

_held: list[socket.socket] = []  # until this process ends


def held_ports(number: int) -> list[int]:
    """Ports that nobody else is given: bound here, and not listened on, so that whoever is told of one can bind it as
    well (SO_REUSEADDR on both) and listen."""
    made = [socket.socket() for _ in range(number)]
    for one in made:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(("", 0))
    _held.extend(made)
    return [int(one.getsockname()[1]) for one in made]
