"""Holds a process to its memory limit by what the kernel says that it holds.

The budget of the client connections counts the bytes that they buffer.  Connections, tasks, parsed requests, the state
of customers and the allocator's fragmentation take memory too, which nothing counts exactly.  So the process's resident
memory decides how large the budget may be: whatever else grows, the budget shrinks by as much.
"""

from __future__ import annotations

import ctypes
import gc
import os
from collections.abc import Callable
from pathlib import Path
from typing import cast

from martenstep.event_log import EventLog
from martenstep.proxy.buffer_budget import BufferBudget
from martenstep.proxy.clock import now_ms

STATM = Path("/proc/self/statm")  # proc(5): sizes in pages, the second is the resident memory
MAX_STATM_BYTES = 128
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Left free below the limit: what grows between two readings, and the unused parts of the allocator's blocks.
RESERVE_SHARE, MIN_RESERVE_BYTES = 0.06, 3 << 20
MIN_BUDGET_BYTES = 1 << 20  # small requests are served however much else is held
COLLECT_INTERVAL_MS = 1000.0  # between two collections of reference cycles while memory is short
TRIM_INTERVAL_MS = 5.0  # between two calls of the allocator while memory is short
LOG_INTERVAL_MS = 1000.0  # between two log lines while memory is short


def reserve_bytes(limit_bytes: int) -> int:
    """How much of a process's limit is left free."""
    return max(int(limit_bytes * RESERVE_SHARE), MIN_RESERVE_BYTES)


class ResidentMemory:
    """Reads how much memory the process holds."""

    def __init__(self, path: Path = STATM) -> None:
        """Open the kernel's file; a system without it gives no readings."""
        try:
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = -1

    def read(self) -> int:
        """The resident memory in bytes, 0 if it is not known."""
        if self._descriptor < 0:
            return 0
        try:
            return int(os.pread(self._descriptor, MAX_STATM_BYTES, 0).split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0

    def close(self) -> None:
        """Close the file; no further reading is possible."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def find_malloc_trim() -> Callable[[int], int] | None:
    """Find the C library's function that returns free memory to the kernel (malloc_trim(3)); None without it.

    By itself the allocator returns only what lies at the top of its memory.
    """
    try:
        trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None
    trim.argtypes, trim.restype = [ctypes.c_size_t], ctypes.c_int
    return cast(Callable[[int], int], trim)


class MemoryGuard:
    """Sizes the budget of the client connections so that the process stays within its limit."""

    def __init__(
        self,
        limit_bytes: int,
        budget: BufferBudget,
        log_event: EventLog,
        read_resident: Callable[[], int],
    ) -> None:
        """`limit_bytes` is the limit of the whole process; `read_resident` returns what it holds, 0 if unknown."""
        self._target_bytes = limit_bytes - reserve_bytes(limit_bytes)
        self._full_bytes = limit_bytes - reserve_bytes(limit_bytes) // 2
        self._budget, self._log_event, self._read_resident = budget, log_event, read_resident
        self.resident_bytes = 0  # at the last reading
        self.peak_bytes = 0  # the largest reading
        # The most that the budget held while the process was as large as now.  The allocator returns little to the
        # kernel, so memory that held this once holds it again without the process growing.
        self._reusable_bytes = 0
        self._malloc_trim = find_malloc_trim()
        self._collected_at = self._trimmed_at = self._logged_at = 0.0

    def check(self) -> None:
        """Read the process's memory, and size the budget by it."""
        resident = self._read_resident()
        if not resident:
            return
        if resident > self._target_bytes:
            resident = self._free_unused(resident)
        budget = self._budget
        if resident < self.resident_bytes:  # the allocator returned memory: it cannot all be used again
            self._reusable_bytes -= self.resident_bytes - resident
        self._reusable_bytes = max(self._reusable_bytes, budget.held_bytes)
        self.resident_bytes, self.peak_bytes = resident, max(self.peak_bytes, resident)
        headroom = self._target_bytes - resident
        budget.max_bytes = max(self._reusable_bytes + headroom, MIN_BUDGET_BYTES)
        budget.process_full = resident > self._full_bytes
        if headroom < 0:
            self._log_short(resident, -headroom)

    def _free_unused(self, resident: int) -> int:
        """Return unused memory to the kernel, at a limited rate; returns what is resident then."""
        now = now_ms()
        if now - self._trimmed_at < TRIM_INTERVAL_MS:
            return resident
        if now - self._collected_at >= COLLECT_INTERVAL_MS:
            gc.collect()
            self._collected_at = now
        if self._malloc_trim is not None:
            self._malloc_trim(0)
        self._trimmed_at = now_ms()
        return self._read_resident()

    def _log_short(self, resident: int, excess_bytes: int) -> None:
        now = now_ms()
        if now - self._logged_at >= LOG_INTERVAL_MS:
            self._logged_at = now
            self._log_event(
                "memory short",
                {
                    "resident_bytes": resident,
                    "excess_bytes": excess_bytes,
                    "client_buffer_bytes": self._budget.held_bytes,
                    "client_buffer_limit": self._budget.max_bytes,
                },
            )
