"""What the help of every command has."""

from __future__ import annotations


def example(text: str) -> str:
    """An example below the help, on a line of its own."""
    return f"\b\nExample:\n  {text}"
