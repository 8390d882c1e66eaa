"""The errors of the supervisor and of the start of a service."""

from __future__ import annotations


class SuperviseError(Exception):
    """Base of the errors that this package raises."""
