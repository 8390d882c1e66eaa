"""A disk that is full, or fails, for a while: what was promised is kept, and nothing goes where it does not belong."""

from __future__ import annotations

import errno
import os
import socket
from pathlib import Path
from typing import Any

import pytest

from martenstep.counter import protocol as fr
from martenstep.counter.journal import AttemptJournal


def made(number: int) -> fr.RecordAttempt:
    """A try."""
    return fr.RecordAttempt(0, 1.0, 1.0, False, f"r{number}", "anna", "plain", "read")


class FullDisk:
    """Writes to regular files come up short and then fail, as on a disk that fills; syncs fail beside them."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self._write, self._fsync = os.write, os.fsync
        self.full = self.sync_fails = False
        self._half = False
        patch.setattr(os, "write", self.write)
        patch.setattr(os, "fsync", self.fsync)

    def write(self, number: int, data: Any) -> int:
        """Half of the first write fits."""
        if self.full:
            self._half = not self._half
            if not self._half:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return self._write(number, bytes(data)[: len(data) // 2])
        return self._write(number, data)

    def fsync(self, number: int) -> None:
        """Fails like the write it follows."""
        if self.sync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self._fsync(number)


def test_what_is_promised_on_a_disk_that_was_full_is_there_after_a_kill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The half line of the failed promise took the next one with it."""
    disk, journal = FullDisk(monkeypatch), AttemptJournal(tmp_path, 100)
    assert journal.append(made(1))
    promised = ["r1"]
    for number in range(2, 12):
        disk.full = number % 3 == 0
        if journal.append(made(number)):
            promised.append(f"r{number}")
        else:
            assert disk.full, "what cannot be kept is not promised"
    disk.full = False
    assert set(promised) >= {"r2", "r4", "r5", "r7", "r8", "r10", "r11"} and "r3" not in promised
    again = AttemptJournal(tmp_path, 100)  # nothing was closed: a kill
    assert list(again.pending) == promised


def test_a_rewrite_that_fails_leaves_the_journal_as_it_was(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The closed descriptor's number went to the next connection, and a line with a customer's name to its client."""
    disk, journal = FullDisk(monkeypatch), AttemptJournal(tmp_path, 2)
    near, far = socket.socketpair()
    pairs: list[socket.socket] = []
    with near, far:
        assert journal.append(made(0))
        for number in range(1, 20):
            assert journal.append(made(number))
            disk.sync_fails = number > 4
            journal.acknowledge(f"r{number}")
            pairs += socket.socketpair()  # takes the lowest numbers that are free
        disk.sync_fails = False
        assert journal.append(made(20))
        for one in pairs:
            one.setblocking(False)
            with pytest.raises(BlockingIOError):
                one.recv(100)
        for one in pairs:
            one.close()
    assert set(AttemptJournal(tmp_path, 2).pending) == {"r0", "r20"}


def test_an_acknowledgement_that_cannot_be_written_raises_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It came up in the midst of whoever read the counter's answer; the try is sent once more after a restart."""
    disk, journal = FullDisk(monkeypatch), AttemptJournal(tmp_path, 10)
    assert journal.append(made(1)) and journal.append(made(2))
    disk.full = disk.sync_fails = True
    journal.acknowledge("r1")
    journal.observe_term(4)
    assert list(journal.pending) == ["r2"] and journal.term == 4
    disk.full = disk.sync_fails = False
    assert journal.append(made(3))
    journal.observe_term(4)
    again = AttemptJournal(tmp_path, 10)
    assert list(again.pending) == ["r1", "r2", "r3"] and again.term == 4
