"""Reads a sub-request of an edge proxy: whether its peer is trusted, and which request it asks about.  No I/O.

Written from the proxies' public documentation: Traefik's ForwardAuth and Caddy's forward_auth give method and URI in
X-Forwarded-Method and X-Forwarded-Uri; nginx's auth_request gives what the operator sets, by custom X-Original-Method
and X-Original-URI (the request's URI) or X-Original-URL (the whole URL); Envoy's ext_authz over HTTP sends the
request's own method, and its path behind a prefix.
"""

from __future__ import annotations

import hmac
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass

from martenstep.auth.messages import Unasked
from martenstep.config import door_pb2 as pb

Headers = list[tuple[bytes, bytes]]
LOOPBACK_NETWORKS = ("127.0.0.0/8", "::1/128")
METHOD_AND_TARGET_HEADERS = {
    pb.ForwardAuth.FORWARDED: ((b"x-forwarded-method",), (b"x-forwarded-uri",)),
    pb.ForwardAuth.ORIGINAL: ((b"x-original-method",), (b"x-original-uri", b"x-original-url")),
}
FORBIDDEN, NOT_FOUND, BAD_REQUEST, URI_TOO_LONG = 403, 404, 400, 414  # HTTP statuses


@dataclass(frozen=True, slots=True)
class About:
    """The request that a sub-request asks about."""

    method: bytes
    target: bytes


class Answerer:
    """One proxy's way of asking."""

    def __init__(self, settings: pb.ForwardAuth) -> None:
        """Read sub-requests by the settings; without trusted peers those of this machine are trusted."""
        self._profile = settings.profile
        self._prefix = settings.path_prefix.encode()
        self._max_target_bytes = settings.target_bytes
        self._secret_header = settings.secret_header.lower().encode()
        self._secret = settings.secret.encode()
        self._trusted = [ipaddress.ip_network(peer) for peer in settings.trusted_peer or LOOPBACK_NETWORKS]

    def trusts(self, peer: str) -> bool:
        """Whether an address may ask about the requests of others."""
        try:
            address = ipaddress.ip_address(peer.partition("%")[0])
        except ValueError:
            return False
        mapped = getattr(address, "ipv4_mapped", None)
        return any((mapped or address) in network for network in self._trusted)

    def read(self, method: bytes, target: bytes, headers: Headers, peer: str) -> About | Unasked:
        """The request in question, or why the sub-request is rejected.

        One that names no request, or two, is rejected: a guess would let another request pass than the one that was
        asked about.
        """
        if not self.trusts(peer) or not self._has_secret(headers):
            return Unasked(FORBIDDEN, "peer not trusted")
        path = target.partition(b"?")[0]
        if path != self._prefix and not path.startswith(self._prefix.rstrip(b"/") + b"/"):
            return Unasked(NOT_FOUND, "no route")
        if self._profile == pb.ForwardAuth.SAME:
            rest = target[len(self._prefix.rstrip(b"/")) :]
            return self._checked(method, rest or b"/")
        method_headers, target_headers = METHOD_AND_TARGET_HEADERS[self._profile]
        asked_method = single_value(headers, method_headers)
        asked_target = single_value(headers, target_headers)
        if asked_method is None or asked_target is None:
            return Unasked(BAD_REQUEST, "no request told")
        return self._checked(asked_method.upper(), asked_target)

    def _has_secret(self, headers: Headers) -> bool:
        if not self._secret_header:
            return True
        presented = single_value(headers, (self._secret_header,)) or b""
        return hmac.compare_digest(presented, self._secret)  # in a time that reveals nothing of how much fits

    def _checked(self, method: bytes, target: bytes) -> About | Unasked:
        if len(target) > self._max_target_bytes:
            return Unasked(URI_TOO_LONG, "target too long")
        if not method.isalpha() or any(byte <= 0x20 or byte >= 0x7F for byte in target):
            return Unasked(BAD_REQUEST, "no request told")
        return About(method, target)


def single_value(headers: Headers, names: Sequence[bytes]) -> bytes | None:
    """The one value of one of these headers; None for none, an empty one or several.

    Twins with an underscore are counted: proxies and servers disagree on which of them they would read.
    """
    found = [value for name, value in headers if name.replace(b"_", b"-") in names]
    return found[0] if len(found) == 1 and found[0] else None
