"""Retries work that fails for a transient reason, such as a full disk, for a limited time."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


def retry_transient(
    work: Callable[[], Result], is_transient: Callable[[Exception], bool], *, within_s: float, interval_s: float
) -> Result:
    """Return the result of `work`; raises its error if that is not transient or persists beyond `within_s`."""
    deadline = time.monotonic() + within_s
    while True:
        try:
            return work()
        except Exception as error:
            if not is_transient(error) or time.monotonic() >= deadline:
                raise
        time.sleep(interval_s)
