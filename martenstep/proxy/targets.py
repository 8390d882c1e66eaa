"""Normalizes the target and the Host of a request (RFC 9112 3.2, RFC 9110 7.1 to 7.4).

Of the four forms of a target only the origin form (a path with an optional query) is routed, checked and sent to an
endpoint, with exactly one Host.  A target in absolute form contains the authority, which replaces the Host: a sender
could set a different Host so that the gateway and the endpoint read the request differently.  Tunnels (CONNECT) are not
supported, and the bytes after a CONNECT may belong to a tunnel, so the connection closes.  `OPTIONS *` asks about the
gateway, which answers it itself.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple

from martenstep.proxy.engine_messages import Headers

DEFAULT_PORTS = {b"http": 80, b"https": 443}
# Methods that the gateway forwards; a route may accept fewer.
ALLOWED_METHODS = b"GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"
# RFC 3986 3.2.2: a name, an IPv4 address, or an IPv6 literal in brackets; RFC 3986 3.2.3: a port, which may be empty.
AUTHORITY = re.compile(rb"(?:\[([0-9a-fA-F:.]{2,45})\]|([A-Za-z0-9\-._~!$&'()*+,;=%]{1,255}))(?::(\d{0,5}))?")
MAX_PORT = 65_535
NO_CONTENT, BAD_REQUEST, METHOD_NOT_ALLOWED, MISDIRECTED_REQUEST = 204, 400, 405, 421


@dataclass(frozen=True, slots=True)
class NormalizedTarget:
    """What is forwarded: the target in origin form, and the headers with the effective Host."""

    target: bytes
    headers: Headers


@dataclass(frozen=True, slots=True)
class TargetRejection:
    """A response that the gateway makes itself: its status, its reason and its additional headers."""

    status: int
    reason: str
    headers: Headers


class Authority(NamedTuple):
    """A host in lower case and without brackets, and its port if one is given."""

    host: str
    port: int | None


def split_authority(authority: bytes) -> Authority | None:
    """Host and port; None if `authority` is not valid.

    An authority with user information is not valid: RFC 9110 4.2.4 has recipients treat it as an error.
    """
    match = AUTHORITY.fullmatch(authority)
    if match is None:
        return None
    port = int(match[3]) if match[3] else None
    if port is not None and not 0 < port <= MAX_PORT:
        return None
    return Authority((match[1] or match[2]).lower().decode("ascii"), port)


class TargetNormalizer:
    """Normalizes the targets of requests to one listener."""

    def __init__(self, secure: bool, names: list[str]) -> None:
        """`names`: the names of the gateway, each as host or host:port; empty: every name is accepted."""
        self._scheme = b"https" if secure else b"http"
        authorities = [split_authority(name.encode()) for name in names]
        self._names = {authority for authority in authorities if authority is not None}

    def normalize(self, method: bytes, target: bytes, headers: Headers) -> NormalizedTarget | TargetRejection:
        """Normalize a target and headers, or reject the request.  Header names are in lower case."""
        if method == b"CONNECT":
            closing = [(b"allow", ALLOWED_METHODS), (b"connection", b"close")]
            return TargetRejection(METHOD_NOT_ALLOWED, "no tunnels", closing)
        if target[:1] == b"/":
            host = next((value for name, value in headers if name == b"host"), None)
            if host and not self._is_gateway_name(host):
                return self._misdirected(host)
            return NormalizedTarget(target, headers)
        if target == b"*":
            if method == b"OPTIONS":
                return TargetRejection(NO_CONTENT, "options", [(b"allow", ALLOWED_METHODS)])
            return TargetRejection(BAD_REQUEST, "bad target", [])
        return self._normalize_absolute(target, headers)

    def _normalize_absolute(self, target: bytes, headers: Headers) -> NormalizedTarget | TargetRejection:
        scheme, separator, rest = target.partition(b"://")
        scheme = scheme.lower()
        if not separator or scheme not in DEFAULT_PORTS:
            return TargetRejection(BAD_REQUEST, "bad target", [])
        end = min((index for index in (rest.find(b"/"), rest.find(b"?")) if index >= 0), default=len(rest))
        authority, path = rest[:end], rest[end:]
        if b"#" in authority or split_authority(authority) is None:
            return TargetRejection(BAD_REQUEST, "bad target", [])
        if scheme != self._scheme or not self._is_gateway_name(authority):
            return TargetRejection(MISDIRECTED_REQUEST, "misdirected", [])
        if path[:1] != b"/":
            path = b"/" + path
        # The Host comes first, as RFC 9110 7.2 recommends, and only once.
        return NormalizedTarget(path, [(b"host", authority), *(pair for pair in headers if pair[0] != b"host")])

    def _is_gateway_name(self, authority: bytes) -> bool:
        if not self._names:
            return True
        parts = split_authority(authority)
        if parts is None:
            return False
        port = parts.port or DEFAULT_PORTS[self._scheme]
        return Authority(parts.host, None) in self._names or Authority(parts.host, port) in self._names

    @staticmethod
    def _misdirected(host: bytes) -> TargetRejection:
        status = MISDIRECTED_REQUEST if split_authority(host) is not None else BAD_REQUEST
        return TargetRejection(status, "misdirected", [])
