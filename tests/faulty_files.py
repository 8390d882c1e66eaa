"""A disk in memory that loses unsynced data in the ways that a real disk may."""

from __future__ import annotations

import errno
import random

SECTOR_BYTES = 64  # bytes that a crash keeps or loses together; small, so that records span several sectors


class Crash(Exception):
    """Raised at the step at which the machine crashes."""


class _File:
    def __init__(self) -> None:
        self.durable = b""
        self.pending = b""


class FaultFiles:
    """`Files` in memory that crash or fail at a chosen step, and keep a random part of the unsynced data."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._files: dict[str, _File] = {}
        self.steps = 0
        self.crash_at = -1  # the step that a crash interrupts
        self.fail_at = -1  # the step from which on the disk is full
        self.fail_sync = False

    def _interrupts_step(self) -> bool:
        """Count a step; returns whether a crash interrupts it."""
        self.steps += 1
        return self.steps == self.crash_at

    def _is_full(self) -> bool:
        return 0 <= self.fail_at <= self.steps

    def crash(self) -> None:
        """Lose the machine: all durable data survives, and of the rest random sectors up to a random length."""
        for file in self._files.values():
            kept = bytearray(file.pending[: self._rng.randint(0, len(file.pending))])
            offset = len(file.durable)
            for position in range(0, len(kept), SECTOR_BYTES):
                if self._rng.random() < 0.3:  # the disk writes sectors out of order, so this one is lost
                    begin = max(position - offset % SECTOR_BYTES, 0)
                    kept[begin : begin + SECTOR_BYTES] = bytes(len(kept[begin : begin + SECTOR_BYTES]))
            file.durable, file.pending = file.durable + bytes(kept), b""
        self.crash_at = self.fail_at = -1
        self.fail_sync = False

    def kill(self) -> None:
        """Kill the process but not the machine: everything that was written survives."""
        for file in self._files.values():
            file.durable, file.pending = file.durable + file.pending, b""
        self.crash_at = self.fail_at = -1

    def flip(self, name: str, at: int) -> None:
        """Corrupt one byte of a file."""
        data = bytearray(self._files[name].durable)
        data[at] ^= 0x40
        self._files[name].durable = bytes(data)

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes."""
        self._files[name].durable = self._files[name].durable[:size]

    # The interface of Files

    def names(self) -> list[str]:
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        file = self._files[name]
        return file.durable + file.pending

    def create(self, name: str) -> _Appender:
        if name in self._files:
            raise FileExistsError(name)
        if self._interrupts_step():
            if self._rng.random() < 0.5:
                self._files[name] = _File()
            raise Crash
        if self._is_full():
            raise OSError(errno.ENOSPC, "no space left")
        self._files[name] = _File()
        return _Appender(self, self._files[name])

    def append(self, name: str, size: int) -> _Appender:
        file = self._files[name]
        if self._interrupts_step():
            raise Crash
        file.durable, file.pending = (file.durable + file.pending)[:size], b""
        return _Appender(self, file)

    def write_atomically(self, name: str, data: bytes) -> None:
        for part in ("write", "sync", "rename"):
            if self._interrupts_step():
                if part == "rename" and self._rng.random() < 0.5:
                    self._files[name] = _File()
                    self._files[name].durable = data
                else:
                    temporary = self._files.setdefault(f"{name}.aside", _File())
                    temporary.durable = data[: self._rng.randint(0, len(data))]
                raise Crash
            if self._is_full():
                raise OSError(errno.ENOSPC, "no space left")
        self._files.pop(f"{name}.aside", None)
        self._files[name] = _File()
        self._files[name].durable = data

    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        file = self._files[name]
        old = file.durable[offset : offset + len(data)]
        assert len(old) == len(data) and offset // SECTOR_BYTES == (offset + len(data) - 1) // SECTOR_BYTES

        def replace_with(part: bytes) -> None:
            file.durable = file.durable[:offset] + part + file.durable[offset + len(data) :]

        if self._interrupts_step():
            replace_with(self._rng.choice((old, data, bytes(len(data)))))
            raise Crash
        if self._is_full():
            raise OSError(errno.ENOSPC, "no space left")
        replace_with(data)

    def remove(self, name: str) -> None:
        if self._interrupts_step():
            if self._rng.random() < 0.5:
                del self._files[name]
            raise Crash
        del self._files[name]


class _Appender:
    def __init__(self, files: FaultFiles, file: _File) -> None:
        self._files, self._file = files, file

    def write(self, data: bytes) -> None:
        if self._files._interrupts_step():
            self._file.pending += data[: self._files._rng.randint(0, len(data))]
            raise Crash
        if self._files._is_full():
            self._file.pending += data[: self._files._rng.randint(0, len(data))]
            raise OSError(errno.ENOSPC, "no space left")
        self._file.pending += data

    def sync(self) -> None:
        if self._files._interrupts_step():
            if self._files._rng.random() < 0.5:
                self._file.durable, self._file.pending = self._file.durable + self._file.pending, b""
            raise Crash
        if self._files.fail_sync or self._files._is_full():
            raise OSError(errno.EIO, "input/output error")
        self._file.durable, self._file.pending = self._file.durable + self._file.pending, b""

    def close(self) -> None:
        pass
