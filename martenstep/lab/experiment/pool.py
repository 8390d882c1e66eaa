"""Processes that emulate, and that end with the one that started them, however it ends."""

from __future__ import annotations

import os
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

LOOK_S = 0.5  # how often a worker looks whether it is still wanted


def _follow(parent: int) -> None:
    """A killed parent leaves its workers waiting for work for ever, each with all that it has loaded."""

    def look() -> None:
        while os.getppid() == parent:
            time.sleep(LOOK_S)
        os._exit(1)

    threading.Thread(target=look, daemon=True).start()


def workers(number: int) -> ProcessPoolExecutor:
    """A pool of so many; nothing is inherited but the code."""
    return ProcessPoolExecutor(number, get_context("spawn"), _follow, (os.getpid(),))
