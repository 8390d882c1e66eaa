"""The errors of the counter."""

from __future__ import annotations


class CounterError(Exception):
    """Base of the errors that the counter's modules raise."""
