"""The errors of the supervisor and of what starts a service."""

from __future__ import annotations


class SuperviseError(Exception):
    """Base of the errors that this package raises."""
