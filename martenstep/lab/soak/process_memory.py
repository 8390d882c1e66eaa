"""What the kernel tells of a process's memory."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

KB_PER_MB = 1024


def status_mb(pid: int, field_name: str) -> float:
    """Return a field of the kernel's status of a process (proc(5)), such as VmRSS or VmHWM; 0 once it has exited."""
    with suppress(OSError):
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        if field_name in status:
            return int(status.partition(f"{field_name}:")[2].split()[0]) / KB_PER_MB
    return 0.0
