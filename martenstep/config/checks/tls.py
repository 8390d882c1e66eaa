"""Checks of TLS settings."""

from __future__ import annotations

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.text_format import FieldPosition


def check_server_tls(checker: SettingsChecker, tls: pb.ServerTls | None, position: FieldPosition) -> None:
    """Check TLS of a listener."""
    if tls is None:
        return
    checker.require_present(tls, position, "certificate", "key")
    for name in ("certificate", "key", "client_ca"):
        checker.require_file(tls, position, name)


def check_client_tls(checker: SettingsChecker, tls: pb.ClientTls, position: FieldPosition) -> None:
    """Check TLS of outgoing connections."""
    for name in ("ca", "certificate", "key"):
        checker.require_file(tls, position, name)
    if bool(tls.certificate) != bool(tls.key):
        present = "certificate" if tls.certificate else "key"
        checker.report(position, f"certificate and key go together: expected both or neither, got only {present}")
