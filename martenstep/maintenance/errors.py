"""The errors of the maintenance package."""

from __future__ import annotations


class MaintenanceError(Exception):
    """Base of the package's errors."""


class InvalidSnapshotError(MaintenanceError, ValueError):
    """The bytes are not a snapshot of the queue."""
