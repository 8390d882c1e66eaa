"""Reads a sub-request of an edge proxy: whom it may come from, and which request it asks about.  No I/O.

Written from the proxies' public documentation: Traefik's ForwardAuth and Caddy's forward_auth tell method and URI in
X-Forwarded-Method and X-Forwarded-Uri; nginx's auth_request tells what the operator sets, by custom X-Original-Method
and X-Original-URI (the request's URI) or X-Original-URL (the whole URL); Envoy's ext_authz over HTTP sends the
request's own method, and its path behind a prefix.
"""

from __future__ import annotations

import hmac
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass

from martenstep.auth.core import Unasked
from martenstep.config import door_pb2 as pb

Headers = list[tuple[bytes, bytes]]
LOOPBACK = ("127.0.0.0/8", "::1/128")
ABOUT = {
    pb.ForwardAuth.FORWARDED: ((b"x-forwarded-method",), (b"x-forwarded-uri",)),
    pb.ForwardAuth.ORIGINAL: ((b"x-original-method",), (b"x-original-uri", b"x-original-url")),
}


@dataclass(frozen=True, slots=True)
class About:
    """The request that a sub-request asks about."""

    method: bytes
    target: bytes


class Answerer:
    """One proxy's way of asking."""

    def __init__(self, settings: pb.ForwardAuth) -> None:
        self._profile, self._prefix = settings.profile, settings.path_prefix.encode()
        self._bound = settings.target_bytes
        self._secret_header = settings.secret_header.lower().encode()
        self._secret = settings.secret.encode()
        self._peers = [ipaddress.ip_network(peer) for peer in settings.trusted_peer or LOOPBACK]

    def trusts(self, peer: str) -> bool:
        """Whether an address may tell of others' requests."""
        try:
            address = ipaddress.ip_address(peer.partition("%")[0])
        except ValueError:
            return False
        mapped = getattr(address, "ipv4_mapped", None)
        return any((mapped or address) in network for network in self._peers)

    def read(self, method: bytes, target: bytes, headers: Headers, peer: str) -> About | Unasked:
        """The request in question; a sub-request that tells of none, or of two, is turned away: what is guessed here
        would let another request pass than the one that was asked about."""
        if not self.trusts(peer):
            return Unasked(403, "peer not trusted")
        if self._secret_header:
            shown = self._one(headers, (self._secret_header,)) or b""
            if not hmac.compare_digest(shown, self._secret):  # in a time that tells nothing of how much fits
                return Unasked(403, "peer not trusted")
        path = target.partition(b"?")[0]
        if path != self._prefix and not path.startswith(self._prefix.rstrip(b"/") + b"/"):
            return Unasked(404, "no route")
        if self._profile == pb.ForwardAuth.SAME:
            rest = target[len(self._prefix.rstrip(b"/")) :]
            return self._bounded(method, rest or b"/")
        methods, targets = ABOUT[self._profile]
        told_method, told_target = self._one(headers, methods), self._one(headers, targets)
        if told_method is None or told_target is None:
            return Unasked(400, "no request told")
        return self._bounded(told_method.upper(), told_target)

    def _bounded(self, method: bytes, target: bytes) -> About | Unasked:
        if len(target) > self._bound:
            return Unasked(414, "target too long")
        if not method.isalpha() or any(byte <= 0x20 or byte >= 0x7F for byte in target):
            return Unasked(400, "no request told")
        return About(method, target)

    @staticmethod
    def _one(headers: Headers, names: Sequence[bytes]) -> bytes | None:
        """The one value of one of these headers; None for none or several, underscored twins counted: proxies and
        servers disagree on which of them they would read."""
        found = [value for name, value in headers if name.replace(b"_", b"-") in names]
        return found[0] if len(found) == 1 and found[0] else None
