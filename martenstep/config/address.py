"""Parses network addresses written as HOST:PORT."""

from __future__ import annotations

from martenstep.config.checker import MAX_PORT


def parse_host_port(text: str) -> tuple[str, int] | None:
    """Parse HOST:PORT, where an IPv6 host may have brackets; return None if the text is not an address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return None
    return host.strip("[]"), int(port)
