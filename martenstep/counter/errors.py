"""The base class of the counter's errors."""

from __future__ import annotations


class CounterError(Exception):
    """The base class of the errors that the counter's modules raise."""
