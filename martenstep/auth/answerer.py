"""Reads a sub-request of an edge proxy: whether its peer is trusted, and which request it is about.  No I/O.

Based on the proxies' public documentation.  Traefik's ForwardAuth and Caddy's forward_auth send method and URI in
X-Forwarded-Method and X-Forwarded-Uri.  nginx's auth_request sends the headers that the operator configures, by
convention X-Original-Method and X-Original-URI (the request's URI) or X-Original-URL (the whole URL).  Envoy's
ext_authz over HTTP sends the request's own method, and its path behind a prefix.
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
class SubjectRequest:
    """The request that a sub-request is about."""

    method: bytes
    target: bytes


class Answerer:
    """Reads the sub-requests of one edge proxy, in the form that its profile defines."""

    def __init__(self, settings: pb.ForwardAuth) -> None:
        """Configure the reader; if the settings name no trusted peers, only loopback addresses are trusted."""
        self._profile = settings.profile
        self._prefix = settings.path_prefix.encode()
        self._max_target_bytes = settings.target_bytes
        self._secret_header = settings.secret_header.lower().encode()
        self._secret = settings.secret.encode()
        self._trusted = [ipaddress.ip_network(peer) for peer in settings.trusted_peer or LOOPBACK_NETWORKS]

    def trusts(self, peer: str) -> bool:
        """Whether a peer's address may send sub-requests."""
        try:
            address = ipaddress.ip_address(peer.partition("%")[0])
        except ValueError:
            return False
        mapped = getattr(address, "ipv4_mapped", None)
        return any((mapped or address) in network for network in self._trusted)

    def read(self, method: bytes, target: bytes, headers: Headers, peer: str) -> SubjectRequest | Unasked:
        """The request that a sub-request is about, or why the sub-request is rejected.

        A sub-request that names no request, or several, is rejected: choosing one could allow a different request from
        the one that the proxy is going to forward.
        """
        if not self.trusts(peer) or not self._has_secret(headers):
            return Unasked(FORBIDDEN, "peer not trusted")
        path = target.partition(b"?")[0]
        if path != self._prefix and not path.startswith(self._prefix.rstrip(b"/") + b"/"):
            return Unasked(NOT_FOUND, "no route")
        if self._profile == pb.ForwardAuth.SAME:
            rest = target[len(self._prefix.rstrip(b"/")) :]
            return self._validate(method, rest or b"/")
        method_headers, target_headers = METHOD_AND_TARGET_HEADERS[self._profile]
        subject_method = single_header_value(headers, method_headers)
        subject_target = single_header_value(headers, target_headers)
        if subject_method is None or subject_target is None:
            return Unasked(BAD_REQUEST, "no request told")
        return self._validate(subject_method.upper(), subject_target)

    def _has_secret(self, headers: Headers) -> bool:
        if not self._secret_header:
            return True
        presented = single_header_value(headers, (self._secret_header,)) or b""
        return hmac.compare_digest(presented, self._secret)  # constant time, which does not reveal a matching prefix

    def _validate(self, method: bytes, target: bytes) -> SubjectRequest | Unasked:
        if len(target) > self._max_target_bytes:
            return Unasked(URI_TOO_LONG, "target too long")
        if not method.isalpha() or any(byte <= 0x20 or byte >= 0x7F for byte in target):
            return Unasked(BAD_REQUEST, "no request told")
        return SubjectRequest(method, target)


def single_header_value(headers: Headers, names: Sequence[bytes]) -> bytes | None:
    """The only value of the headers with these names; None if there is no value, an empty one, or several.

    A name with underscores in place of hyphens counts as the same name, because proxies and servers disagree on which
    of the two spellings they read.
    """
    found = [value for name, value in headers if name.replace(b"_", b"-") in names]
    return found[0] if len(found) == 1 and found[0] else None
