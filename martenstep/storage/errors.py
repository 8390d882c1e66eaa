"""The base class of storage errors."""

from __future__ import annotations


class StorageError(Exception):
    """Base of the errors that this package raises, other than OSError."""
