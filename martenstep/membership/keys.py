"""The fleet's keys from their file: one a line, in hex, at least 16 bytes each; `#` begins a remark.

The first seals, all are accepted.  A change passes in three steps, each on every door before the next: the new key
last, the new key first, the old one away.
"""

from __future__ import annotations

from pathlib import Path

from martenstep.membership.codec import Keyring

MIN_KEY_BYTES = 16
MAX_KEYS = 4


class KeyFileError(Exception):
    """A file of keys that cannot be used: names the file and the line, never the key."""


def read_keyring(path: Path) -> Keyring:
    """The keys in a file; raises KeyFileError."""
    try:
        lines = path.read_text(encoding="ascii").splitlines()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise KeyFileError(f"{path}: not hex") from None
    keys = []
    for number, line in enumerate(lines, 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        try:
            key = bytes.fromhex(text)
        except ValueError:
            raise KeyFileError(f"{path}, line {number}: not hex") from None
        if len(key) < MIN_KEY_BYTES:
            raise KeyFileError(f"{path}, line {number}: expected at least {MIN_KEY_BYTES} bytes, got {len(key)}")
        keys.append(key)
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeyFileError(f"{path}: expected 1 to {MAX_KEYS} keys, got {len(keys)}")
    return Keyring(keys)
