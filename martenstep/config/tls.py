"""Builds TLS contexts from settings, and reloads their certificates.

Clients and servers refuse TLS versions below 1.2.  A reload puts the new certificate into the context that is in use:
existing connections keep the old certificate, new connections get the new one.  The new files are first loaded into a
separate context; if they cannot be used, the old certificate stays in use.
"""

from __future__ import annotations

import datetime
import ssl
from pathlib import Path

from cryptography import x509

from martenstep.config import door_pb2 as pb

EXPIRY_WARNING_DAYS = 14.0


class TlsError(Exception):
    """A certificate or key file that cannot be used; the text names the file and the reason."""


def _load(context: ssl.SSLContext, certificate: str, key: str, ca: str) -> None:
    file = certificate
    try:
        if certificate:
            context.load_cert_chain(certificate, key or None)
        file = ca
        if ca:
            context.load_verify_locations(ca)
    except (ssl.SSLError, OSError) as error:
        raise TlsError(f"{file}: {getattr(error, 'reason', None) or error.strerror or error}") from None


class ServerContext:
    """The TLS context of a listener."""

    def __init__(self, settings: pb.ServerTls) -> None:
        """Load the files that the settings name; raises TlsError."""
        self._settings = settings
        self.context = self._build_context()

    def _build_context(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        requires_1_3 = self._settings.only_1_3
        context.minimum_version = ssl.TLSVersion.TLSv1_3 if requires_1_3 else ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["http/1.1"])
        _load(context, self._settings.certificate, self._settings.key, self._settings.client_ca)
        if self._settings.client_ca:
            context.verify_mode = ssl.CERT_REQUIRED
        return context

    def reload(self) -> None:
        """Load the files again; raises TlsError if that fails, and then the old ones stay in use."""
        self._build_context()
        _load(self.context, self._settings.certificate, self._settings.key, self._settings.client_ca)

    def days_left(self) -> float:
        """Return the days until the certificate expires; negative if it has expired."""
        return days_left(Path(self._settings.certificate))


class ClientContext:
    """The TLS context of outgoing connections."""

    def __init__(self, settings: pb.ClientTls) -> None:
        """Load the files that the settings name; raises TlsError."""
        self._settings = settings
        self.context = client_context(settings)

    def reload(self) -> None:
        """Load the files again; raises TlsError if that fails, and then the old ones stay in use."""
        client_context(self._settings)
        _load(self.context, self._settings.certificate, self._settings.key, self._settings.ca)


def client_context(settings: pb.ClientTls) -> ssl.SSLContext:
    """Build the context of outgoing connections; raises TlsError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT) if settings.ca else ssl.create_default_context()
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, settings.certificate, settings.key, settings.ca)
    return context


def days_left(file: Path) -> float:
    """Return the days until the first certificate in a PEM file expires; raises TlsError."""
    try:
        expires_at = x509.load_pem_x509_certificate(file.read_bytes()).not_valid_after_utc
    except (OSError, ValueError) as error:
        raise TlsError(f"{file}: {error}") from None
    return (expires_at - datetime.datetime.now(datetime.UTC)).total_seconds() / 86_400.0
