"""Reserved ports for processes that start later."""

from __future__ import annotations

import socket

import pytest

from martenstep.lab.ports import reserve_ports


def test_a_port_stays_reserved_until_its_process_binds_it() -> None:
    """A port that was found free and closed again was assigned to an outgoing connection, and `make test` failed."""
    for port in reserve_ports(3):
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(("127.0.0.1", port))
        for _ in range(2):  # the process may end and start again
            with socket.create_server(("127.0.0.1", port)) as listener, socket.socket() as client:
                client.connect(listener.getsockname())
