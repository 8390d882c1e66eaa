"""The cluster's shared keys: signing and verifying, and the key file.

A key file holds one key per line, in hex, of at least 16 bytes; `#` begins a comment.  The first key signs; all keys
verify.  Keys are rotated in three steps, each done on every instance before the next: add the new key last, move it
first, remove the old key.
"""

from __future__ import annotations

import hmac
from pathlib import Path

from martenstep.membership.errors import MembershipError

MAC_BYTES = 16
MIN_KEY_BYTES = 16
MAX_KEYS = 4


class KeyFileError(MembershipError):
    """A key file cannot be used; the message names the file and the line, never the key."""


class Keyring:
    """The current keys: the first signs, all verify, so that keys can be rotated one instance after another."""

    def __init__(self, keys: list[bytes]) -> None:
        """Raises ValueError if `keys` is empty."""
        if not keys:
            raise ValueError("a keyring needs at least one key, got none")
        self._keys = keys

    def sign(self, data: bytes) -> bytes:
        """Return the MAC of some bytes: HMAC-SHA-256, truncated to 16 bytes."""
        return hmac.digest(self._keys[0], data, "sha256")[:MAC_BYTES]

    def verify(self, data: bytes | memoryview, mac: bytes) -> bool:
        """Whether one of the keys made this MAC."""
        return any(hmac.compare_digest(hmac.digest(key, data, "sha256")[:MAC_BYTES], mac) for key in self._keys)


def read_keyring(path: Path) -> Keyring:
    """Read the keys in a file; raises KeyFileError."""
    try:
        lines = path.read_text(encoding="ascii").splitlines()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise KeyFileError(f"{path}: expected keys in hex, got characters that are not ASCII") from None
    keys = []
    for number, line in enumerate(lines, 1):
        text = line.partition("#")[0].strip()
        if text:
            keys.append(_parse_key(text, f"{path}, line {number}"))
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeyFileError(f"{path}: expected 1 to {MAX_KEYS} keys, got {len(keys)}")
    return Keyring(keys)


def _parse_key(text: str, position: str) -> bytes:
    try:
        key = bytes.fromhex(text)
    except ValueError:
        raise KeyFileError(f"{position}: expected a key in hex") from None
    if len(key) < MIN_KEY_BYTES:
        raise KeyFileError(f"{position}: expected at least {MIN_KEY_BYTES} bytes, got {len(key)}")
    return key
