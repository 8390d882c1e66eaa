"""Tells a process manager how the service stands, by the protocol of sd_notify(3): one datagram of lines to the socket
that NOTIFY_SOCKET names.  Without it nothing is told; what cannot be told is no reason to fail."""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping


class Notifier:
    """Where a process manager listens, if one does."""

    def __init__(self, environment: Mapping[str, str] | None = None) -> None:
        held = os.environ if environment is None else environment
        address = held.get("NOTIFY_SOCKET", "")
        # "@" stands for the zero byte of the abstract namespace; other kinds of address (vsock) are not spoken.
        self._address = "\0" + address[1:] if address.startswith("@") else address if address.startswith("/") else ""
        try:
            watchdog = int(held.get("WATCHDOG_USEC", "0"))
            mine = int(held.get("WATCHDOG_PID", str(os.getpid()))) == os.getpid()
        except ValueError:
            watchdog, mine = 0, False
        self.watchdog_s = watchdog / 2e6 if self._address and mine and watchdog > 0 else 0.0  # half of it, as advised

    def tell(self, **fields: str | int) -> bool:
        """Send fields, such as READY=1; True where they went out."""
        if not self._address:
            return False
        lines = "".join(
            f"{name}={str(value).splitlines()[0] if str(value) else ''}\n" for name, value in fields.items()
        )
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as out:
                out.setblocking(False)
                out.sendto(lines.encode(), self._address)
        except OSError:
            return False
        return True
