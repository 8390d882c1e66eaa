"""Repeats work that fails for a reason that passes, such as a full disk, until a time is over."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


def retry_transient(
    work: Callable[[], Result], is_transient: Callable[[Exception], bool], *, within_s: float, interval_s: float
) -> Result:
    """Return what `work` returns; raises its error if that does not pass, or not within the time."""
    deadline = time.monotonic() + within_s
    while True:
        try:
            return work()
        except Exception as error:
            if not is_transient(error) or time.monotonic() >= deadline:
                raise
        time.sleep(interval_s)
