"""Ports that are told to processes which start later."""

from __future__ import annotations

import socket

import pytest

from martenstep.lab.ports import held_ports


def test_a_port_is_held_until_the_process_it_is_for_binds_it() -> None:
    """`make test` failed by one that was let go: a connection that went out meanwhile had got it."""
    for port in held_ports(3):
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(("127.0.0.1", port))
        for _ in range(2):  # it may end, and start again
            with socket.create_server(("127.0.0.1", port)) as listener, socket.socket() as client:
                client.connect(listener.getsockname())
