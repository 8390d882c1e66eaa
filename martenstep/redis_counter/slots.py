"""The hash slots of keys, from the specification of Redis Cluster.  No I/O."""

from __future__ import annotations

from binascii import crc_hqx

SLOTS = 16384


def slot_of(key: bytes) -> int:
    """Return CRC16 (XMODEM) of the key, or of its hash tag: the part in its first braces, unless that is empty."""
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            key = key[start + 1 : end]
    return crc_hqx(key, 0) % SLOTS
