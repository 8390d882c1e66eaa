"""A request's target and its Host, taken as RFC 9112 3.2 and RFC 9110 7.1 to 7.4 say: four forms, one of which goes on.

What is routed, checked and sent to a server is the origin form (a path, maybe a query) under one Host.  A target in
absolute form names the authority itself: it replaces the Host, which a sender may have set otherwise to be routed here
and understood there.  A tunnel (CONNECT) is not what this door is for, and whatever follows one may be a tunnel's
bytes, so the connection ends.  `OPTIONS *` asks about the door and is answered by it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from martenstep.proxy.engine_messages import Headers

SCHEMES = {b"http": 80, b"https": 443}
METHODS = b"GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"  # that servers may be asked; a route may take fewer
# RFC 3986 3.2.2: a name or an IPv4 address, or an IPv6 literal in brackets; RFC 3986 3.2.3: a port, which may be empty.
AUTHORITY = re.compile(rb"(?:\[([0-9a-fA-F:.]{2,45})\]|([A-Za-z0-9\-._~!$&'()*+,;=%]{1,255}))(?::(\d{0,5}))?")


@dataclass(frozen=True, slots=True)
class NormalizedTarget:
    """What goes on: the origin form, and the headers with the Host that counts."""

    target: bytes
    headers: Headers


@dataclass(frozen=True, slots=True)
class TargetRejection:
    """An answer of the door's own, and what it carries."""

    status: int
    reason: str
    headers: Headers


def split_authority(authority: bytes) -> tuple[str, int | None] | None:
    """Host in lower case, without its brackets, and port; None where it is no authority.  User information, which
    RFC 9110 4.2.4 has recipients take for a fault, is none."""
    found = AUTHORITY.fullmatch(authority)
    if found is None:
        return None
    port = int(found[3]) if found[3] else None
    if port is not None and not 0 < port < 65536:
        return None
    return (found[1] or found[2]).lower().decode("ascii"), port


class TargetNormalizer:
    """The forms that one listener takes."""

    def __init__(self, secure: bool, names: list[str]) -> None:
        """`names`: by which clients know the door, as host or host:port; none: any name will do."""
        self._scheme = b"https" if secure else b"http"
        parts = [split_authority(name.encode()) for name in names]
        self._names = {part for part in parts if part is not None}

    def normalize(self, method: bytes, target: bytes, headers: Headers) -> NormalizedTarget | TargetRejection:
        """A request's target and headers, whose names are in lower case."""
        if method == b"CONNECT":
            return TargetRejection(405, "no tunnels", [(b"allow", METHODS), (b"connection", b"close")])
        if target[:1] == b"/":
            host = next((value for name, value in headers if name == b"host"), None)
            if host and not self._ours(host):
                return self._not_ours(host)
            return NormalizedTarget(target, headers)
        if target == b"*":
            if method == b"OPTIONS":
                return TargetRejection(204, "options", [(b"allow", METHODS)])
            return TargetRejection(400, "bad target", [])
        scheme, found, rest = target.partition(b"://")
        scheme = scheme.lower()
        if not found or scheme not in SCHEMES:
            return TargetRejection(400, "bad target", [])
        end = min((at for at in (rest.find(b"/"), rest.find(b"?")) if at >= 0), default=len(rest))
        authority, path = rest[:end], rest[end:]
        if b"#" in authority or split_authority(authority) is None:
            return TargetRejection(400, "bad target", [])
        if scheme != self._scheme or not self._ours(authority):
            return TargetRejection(421, "misdirected", [])
        if path[:1] != b"/":
            path = b"/" + path
        # First, as RFC 9110 7.2 would have it; and once.
        return NormalizedTarget(path, [(b"host", authority), *(pair for pair in headers if pair[0] != b"host")])

    def _ours(self, authority: bytes) -> bool:
        if not self._names:
            return True
        parts = split_authority(authority)
        if parts is None:
            return False
        host, port = parts
        return (host, None) in self._names or (host, port or SCHEMES[self._scheme]) in self._names

    @staticmethod
    def _not_ours(host: bytes) -> TargetRejection:
        return TargetRejection(421 if split_authority(host) is not None else 400, "misdirected", [])
