"""Checks of forward authentication, where the gateway sends checks and where it answers them."""

from __future__ import annotations

import ipaddress

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.checks.tls import check_client_tls
from martenstep.config.text_format import FieldPosition


def check_auth(checker: SettingsChecker, auth: pb.Auth, position: FieldPosition) -> None:
    """Check the authentication services to which the gateway sends checks."""
    if not auth.service:
        checker.report(position.at("service"), "missing: at least one is needed")
    for service, service_position in zip(auth.service, position.all("service"), strict=True):
        checker.require_port(service, service_position, any_free=False)
    if not auth.path.startswith("/"):
        checker.report(position.at("path"), f"expected a path that begins with '/', got {auth.path!r}")
    checker.require_range(auth, position, "share", 0.01, 1)
    checker.require_positive(auth, position, "attempt_ms", "open_ms")
    for name in ("attempts", "per_service", "total", "waiting", "cache_entries"):
        checker.require_range(auth, position, name, 1)
    for name in ("cache_ms", "deny_ms"):
        checker.require_range(auth, position, name, 0)
    if auth.HasField("tls"):
        check_client_tls(checker, auth.tls, position.at("tls"))


def check_forward_auth(checker: SettingsChecker, settings: pb.Door, root: FieldPosition) -> None:
    """Check a gateway that answers the sub-requests of an edge proxy instead of forwarding requests."""
    forward_auth = settings.forward_auth
    position = root.at("forward_auth")
    if settings.HasField("members"):
        checker.report(
            position, "given beside members: a gateway that answers sub-requests forwards none, and needs no endpoints"
        )
    if not forward_auth.path_prefix.startswith("/"):
        checker.report(
            position.at("path_prefix"), f"expected a path that begins with '/', got {forward_auth.path_prefix!r}"
        )
    if bool(forward_auth.secret) != bool(forward_auth.secret_header):
        present = "secret" if forward_auth.secret else "secret_header"
        checker.report(position, f"expected both secret and secret_header or neither, got only {present}")
    peer_positions = position.all("trusted_peer")
    for network, peer_position in zip(forward_auth.trusted_peer, peer_positions, strict=True):
        try:
            ipaddress.ip_network(network)
        except ValueError as error:
            checker.report(peer_position, f"expected an IP address or network: {error}")
    for entry, class_position in zip(getattr(settings, "class"), root.all("class"), strict=True):
        if entry.effect != pb.SAFE:
            checker.report(
                class_position.at("effect"),
                f"a sub-request has no effect, so SAFE is all that fits, got {pb.Effect.Name(entry.effect)}",
            )
