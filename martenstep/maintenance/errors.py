"""The errors of the maintenance package."""

from __future__ import annotations


class MaintenanceError(Exception):
    """Base of the package's errors."""


class InvalidSnapshotError(MaintenanceError, ValueError):
    """Bytes that are no snapshot of the queue."""
