"""TLS contexts from settings, and their certificates changed in service.

Versions below 1.2 are refused on both sides.  A context stays the same object for its life: a reload puts the new
certificate into it, so that connections that stand keep theirs and new ones get the new one.  The new files are proven
in a context of their own first; if they are not good, the old ones stay.
"""

from __future__ import annotations

import datetime
import ssl
from pathlib import Path

from cryptography import x509

from martenstep.config import door_pb2 as pb

WARN_DAYS = 14.0  # a certificate that ends sooner is warned of


class TlsError(Exception):
    """Files that cannot be used: which, and why."""


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
    """TLS where others connect to us."""

    def __init__(self, settings: pb.ServerTls) -> None:
        self._settings = settings
        self.context = self._made()

    def _made(self) -> ssl.SSLContext:
        made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        only = self._settings.only_1_3
        made.minimum_version = ssl.TLSVersion.TLSv1_3 if only else ssl.TLSVersion.TLSv1_2
        made.set_alpn_protocols(["http/1.1"])
        _load(made, self._settings.certificate, self._settings.key, self._settings.client_ca)
        if self._settings.client_ca:
            made.verify_mode = ssl.CERT_REQUIRED
        return made

    def reload(self) -> None:
        """Take up new files; raises TlsError, and the old ones stay."""
        self._made()
        _load(self.context, self._settings.certificate, self._settings.key, self._settings.client_ca)

    def days_left(self) -> float:
        """Days until the certificate ends; below 0: it has ended."""
        return days_left(Path(self._settings.certificate))


class ClientContext:
    """TLS where we connect to others."""

    def __init__(self, settings: pb.ClientTls) -> None:
        self._settings = settings
        self.context = client_context(settings)

    def reload(self) -> None:
        """Take up new files; raises TlsError, and the old ones stay."""
        client_context(self._settings)
        _load(self.context, self._settings.certificate, self._settings.key, self._settings.ca)


def client_context(settings: pb.ClientTls) -> ssl.SSLContext:
    """TLS where we connect to others; raises TlsError."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT) if settings.ca else ssl.create_default_context()
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(made, settings.certificate, settings.key, settings.ca)
    return made


def days_left(file: Path) -> float:
    """Days until the first certificate of a PEM file ends; raises TlsError."""
    try:
        ends = x509.load_pem_x509_certificate(file.read_bytes()).not_valid_after_utc
    except (OSError, ValueError) as error:
        raise TlsError(f"{file}: {error}") from None
    return (ends - datetime.datetime.now(datetime.UTC)).total_seconds() / 86_400.0
