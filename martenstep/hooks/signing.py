"""Signatures of releases: Ed25519 (RFC 8032) over the bytes of a manifest, which has the SHA-256 of each source."""

from __future__ import annotations

import base64
import binascii
import os
from collections.abc import Sequence
from pathlib import Path

from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
    load_pem_private_key,
)

from martenstep.hooks.bounded_files import ReleaseError, read_bounded

SIGNATURE_FILE = "manifest.sig"
SIGNING_DOMAIN = b"martenstep hooks manifest 1\n"  # makes a signature valid for manifests only
PUBLIC_KEY_BYTES = 32
MAX_SIGNATURE_BYTES = 1024
MAX_KEY_FILE_BYTES = 16_384
PRIVATE_KEY_MODE = 0o600


def parse_public_key(text: str) -> Ed25519PublicKey:
    """Parse a public key from hex; raises ValueError."""
    try:
        raw = bytes.fromhex(text)
    except ValueError:
        raw = b""
    if len(raw) != PUBLIC_KEY_BYTES:
        raise ValueError("expected an Ed25519 public key of 64 hex digits")
    return Ed25519PublicKey.from_public_bytes(raw)


def create_private_key(path: Path) -> str:
    """Write a new private key to a file that only its owner may read; returns the public key in hex.

    Raises OSError, also if the file exists.
    """
    key = Ed25519PrivateKey.generate()
    pem = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, PRIVATE_KEY_MODE)
    with os.fdopen(descriptor, "wb") as file:
        file.write(pem)
    return key.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw).hex()


def load_private_key(path: Path) -> Ed25519PrivateKey:
    """Load an unencrypted private key from a PEM file; raises ReleaseError."""
    try:
        key = load_pem_private_key(read_bounded(path, MAX_KEY_FILE_BYTES), None)
    except (ValueError, TypeError, UnsupportedAlgorithm):
        raise ReleaseError(f"{path.name}: expected an unencrypted private key in PEM format") from None
    if not isinstance(key, Ed25519PrivateKey):
        raise ReleaseError(f"{path.name}: expected an Ed25519 private key, got one of another kind")
    return key


def sign_manifest(manifest: bytes, key: Ed25519PrivateKey) -> bytes:
    """The contents of the signature file of a manifest."""
    return base64.b64encode(key.sign(SIGNING_DOMAIN + manifest)) + b"\n"


def find_signer(folder: Path, manifest: bytes, trusted_keys: Sequence[str]) -> str:
    """The trusted key that signed a manifest; raises ReleaseError if none did.  Empty if no key is required."""
    if not trusted_keys:
        return ""
    if not (folder / SIGNATURE_FILE).exists():
        raise ReleaseError("is not signed")
    try:
        encoded = read_bounded(folder / SIGNATURE_FILE, MAX_SIGNATURE_BYTES).strip()
        signature = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        raise ReleaseError(f"{SIGNATURE_FILE}: expected base64") from None
    for key in trusted_keys:
        try:
            parse_public_key(key).verify(signature, SIGNING_DOMAIN + manifest)
        except InvalidSignature:
            continue
        return key
    raise ReleaseError("is not signed by a trusted key")
