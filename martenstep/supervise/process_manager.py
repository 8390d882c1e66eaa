"""Notifies a process manager of the service's state, by the protocol of sd_notify(3).

Each notification is one datagram of lines to the socket that NOTIFY_SOCKET names.  Without that variable nothing is
sent.  A notification that cannot be sent does not fail the service.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping

WATCHDOG_US_PER_NOTIFICATION_S = 2e6  # twice in each watchdog interval, as sd_notify advises


class Notifier:
    """The socket on which a process manager listens, if there is one."""

    def __init__(self, environment: Mapping[str, str] | None = None) -> None:
        """`environment` defaults to the process's own."""
        variables = os.environ if environment is None else environment
        self._address = self._parse_address(variables.get("NOTIFY_SOCKET", ""))
        watchdog_us = self._parse_watchdog_us(variables)
        enabled = self._address and watchdog_us > 0
        self.watchdog_s = watchdog_us / WATCHDOG_US_PER_NOTIFICATION_S if enabled else 0.0

    @staticmethod
    def _parse_address(address: str) -> str:
        # "@" stands for the zero byte of the abstract namespace; other kinds of address (vsock) are not supported.
        if address.startswith("@"):
            return "\0" + address[1:]
        return address if address.startswith("/") else ""

    @staticmethod
    def _parse_watchdog_us(variables: Mapping[str, str]) -> int:
        """Return the watchdog's interval, or 0 if there is none for this process."""
        try:
            watchdog_us = int(variables.get("WATCHDOG_USEC", "0"))
            own = int(variables.get("WATCHDOG_PID", str(os.getpid()))) == os.getpid()
        except ValueError:
            return 0
        return watchdog_us if own else 0

    def notify(self, **fields: str | int) -> bool:
        """Send fields, such as READY=1, with the first line of each value; returns whether they were sent."""
        if not self._address:
            return False
        lines = [f"{name}={str(value).splitlines()[0] if str(value) else ''}\n" for name, value in fields.items()]
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as datagram_socket:
                datagram_socket.setblocking(False)
                datagram_socket.sendto("".join(lines).encode(), self._address)
        except OSError:
            return False
        return True
