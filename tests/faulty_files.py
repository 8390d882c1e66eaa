"""A disk that loses what was not synced, in every way a real one may."""

from __future__ import annotations

import errno
import random

SECTOR = 64  # bytes that a crash keeps or loses together; small, so that records straddle them


class Crash(Exception):
    """The machine is gone at this step."""


class _File:
    def __init__(self) -> None:
        self.durable = b""
        self.pending = b""


class FaultFiles:
    """`Files` in memory: crashes or fails at a chosen step, and gives back any part of what was not synced."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._files: dict[str, _File] = {}
        self.steps = 0
        self.crash_at = -1  # step that never happens as a whole
        self.fail_at = -1  # step from which the disk is full
        self.fail_sync = False

    def _step(self) -> bool:
        """Count a step; True where it is the one that a crash cuts through."""
        self.steps += 1
        return self.steps == self.crash_at

    def _full(self) -> bool:
        return 0 <= self.fail_at <= self.steps

    def crash(self) -> None:
        """What survives: all that is durable, and of the rest any sectors up to any length."""
        for file in self._files.values():
            kept = bytearray(file.pending[: self._rng.randint(0, len(file.pending))])
            offset = len(file.durable)
            for place in range(0, len(kept), SECTOR):
                if self._rng.random() < 0.3:  # written later than what follows it, and lost
                    low = max(place - offset % SECTOR, 0)
                    kept[low : low + SECTOR] = bytes(len(kept[low : low + SECTOR]))
            file.durable, file.pending = file.durable + bytes(kept), b""
        self.crash_at = self.fail_at = -1
        self.fail_sync = False

    def kill(self) -> None:
        """The process is gone, the machine is not: what was written is there."""
        for file in self._files.values():
            file.durable, file.pending = file.durable + file.pending, b""
        self.crash_at = self.fail_at = -1

    def flip(self, name: str, at: int) -> None:
        """One byte of a file goes bad."""
        data = bytearray(self._files[name].durable)
        data[at] ^= 0x40
        self._files[name].durable = bytes(data)

    def cut(self, name: str, size: int) -> None:
        """A file loses its end."""
        self._files[name].durable = self._files[name].durable[:size]

    # Files ----------------------------------------------------------------------------------------------

    def names(self) -> list[str]:
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        file = self._files[name]
        return file.durable + file.pending

    def create(self, name: str) -> _Appender:
        if name in self._files:
            raise FileExistsError(name)
        if self._step():
            if self._rng.random() < 0.5:
                self._files[name] = _File()
            raise Crash
        if self._full():
            raise OSError(errno.ENOSPC, "no space left")
        self._files[name] = _File()
        return _Appender(self, self._files[name])

    def append(self, name: str, size: int) -> _Appender:
        file = self._files[name]
        if self._step():
            raise Crash
        file.durable, file.pending = (file.durable + file.pending)[:size], b""
        return _Appender(self, file)

    def write_atomically(self, name: str, data: bytes) -> None:
        for part in ("write", "sync", "rename"):
            if self._step():
                if part == "rename" and self._rng.random() < 0.5:
                    self._files[name] = _File()
                    self._files[name].durable = data
                else:
                    left = self._files.setdefault(f"{name}.aside", _File())
                    left.durable = data[: self._rng.randint(0, len(data))]
                raise Crash
            if self._full():
                raise OSError(errno.ENOSPC, "no space left")
        self._files.pop(f"{name}.aside", None)
        self._files[name] = _File()
        self._files[name].durable = data

    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        file = self._files[name]
        old = file.durable[offset : offset + len(data)]
        assert len(old) == len(data) and offset // SECTOR == (offset + len(data) - 1) // SECTOR

        def put(part: bytes) -> None:
            file.durable = file.durable[:offset] + part + file.durable[offset + len(data) :]

        if self._step():
            put(self._rng.choice((old, data, bytes(len(data)))))
            raise Crash
        if self._full():
            raise OSError(errno.ENOSPC, "no space left")
        put(data)

    def remove(self, name: str) -> None:
        if self._step():
            if self._rng.random() < 0.5:
                del self._files[name]
            raise Crash
        del self._files[name]


class _Appender:
    def __init__(self, files: FaultFiles, file: _File) -> None:
        self._files, self._file = files, file

    def write(self, data: bytes) -> None:
        if self._files._step():
            self._file.pending += data[: self._files._rng.randint(0, len(data))]
            raise Crash
        if self._files._full():
            self._file.pending += data[: self._files._rng.randint(0, len(data))]
            raise OSError(errno.ENOSPC, "no space left")
        self._file.pending += data

    def sync(self) -> None:
        if self._files._step():
            if self._files._rng.random() < 0.5:
                self._file.durable, self._file.pending = self._file.durable + self._file.pending, b""
            raise Crash
        if self._files.fail_sync or self._files._full():
            raise OSError(errno.EIO, "input/output error")
        self._file.durable, self._file.pending = self._file.durable + self._file.pending, b""

    def close(self) -> None:
        pass
