"""Worker processes that exit when the process that started them ends, even if it is killed."""

from __future__ import annotations

import os
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

PARENT_CHECK_S = 0.5  # interval at which a worker checks that its parent is alive


def _exit_with_parent(parent: int) -> None:
    """Exit when the parent has ended: workers of a killed parent would otherwise wait forever and hold their memory."""

    def watch_parent() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_CHECK_S)
        os._exit(1)

    threading.Thread(target=watch_parent, daemon=True).start()


def worker_pool(number: int) -> ProcessPoolExecutor:
    """A pool of spawned processes, which inherit no state from this one."""
    return ProcessPoolExecutor(number, get_context("spawn"), _exit_with_parent, (os.getpid(),))
