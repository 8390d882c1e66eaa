"""The base of the errors of storage."""

from __future__ import annotations


class StorageError(Exception):
    """Base of what this package raises, beside OSError."""
