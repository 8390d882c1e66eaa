"""The attempt journal on a disk that is full or fails for a while."""

from __future__ import annotations

import errno
import os
import socket
from pathlib import Path
from typing import Any

import pytest

from martenstep.counter import protocol as fr
from martenstep.counter.journal import AttemptJournal


def make_attempt(number: int) -> fr.RecordAttempt:
    """Return an attempt with its own request id."""
    return fr.RecordAttempt(0, 1.0, 1.0, False, f"r{number}", "anna", "plain", "read")


class FullDisk:
    """Patches writes to be short and then fail, as on a disk that fills up, and syncs to fail separately."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self._write, self._fsync = os.write, os.fsync
        self.full = self.sync_fails = False
        self._last_write_was_short = False
        patch.setattr(os, "write", self.write)
        patch.setattr(os, "fsync", self.fsync)

    def write(self, descriptor: int, data: Any) -> int:
        """Write half of the data at the first call, and fail at the next."""
        if self.full:
            self._last_write_was_short = not self._last_write_was_short
            if not self._last_write_was_short:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return self._write(descriptor, bytes(data)[: len(data) // 2])
        return self._write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Fail while `sync_fails` is set."""
        if self.sync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self._fsync(descriptor)


def test_attempts_accepted_after_the_disk_was_full_survive_a_kill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against part of a line left by a failed write, which made the next accepted line unreadable."""
    disk, journal = FullDisk(monkeypatch), AttemptJournal(tmp_path, 100)
    assert journal.append(make_attempt(1))
    accepted = ["r1"]
    for number in range(2, 12):
        disk.full = number % 3 == 0
        if journal.append(make_attempt(number)):
            accepted.append(f"r{number}")
        else:
            assert disk.full, "an attempt was not accepted although the disk works"
    disk.full = False
    assert set(accepted) >= {"r2", "r4", "r5", "r7", "r8", "r10", "r11"} and "r3" not in accepted
    reopened = AttemptJournal(tmp_path, 100)  # the first journal was not closed, as after a kill
    assert list(reopened.pending) == accepted


def test_a_failed_rewrite_keeps_writing_to_the_old_journal_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against writes to a closed descriptor.

    A new connection got the number of the closed descriptor, and its client received a journal line with a customer's
    name.
    """
    disk, journal = FullDisk(monkeypatch), AttemptJournal(tmp_path, 2)
    first, second = socket.socketpair()
    sockets: list[socket.socket] = []
    with first, second:
        assert journal.append(make_attempt(0))
        for number in range(1, 20):
            assert journal.append(make_attempt(number))
            disk.sync_fails = number > 4
            journal.acknowledge(f"r{number}")
            sockets += socket.socketpair()  # gets the lowest free descriptor numbers
        disk.sync_fails = False
        assert journal.append(make_attempt(20))
        for open_socket in sockets:
            open_socket.setblocking(False)
            with pytest.raises(BlockingIOError):
                open_socket.recv(100)
        for open_socket in sockets:
            open_socket.close()
    assert set(AttemptJournal(tmp_path, 2).pending) == {"r0", "r20"}


def test_an_acknowledgement_that_cannot_be_written_raises_no_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an OSError in the code that handles the counter's reply.

    The attempt stays in the file, and is sent once more after a restart.
    """
    disk, journal = FullDisk(monkeypatch), AttemptJournal(tmp_path, 10)
    assert journal.append(make_attempt(1)) and journal.append(make_attempt(2))
    disk.full = disk.sync_fails = True
    journal.acknowledge("r1")
    journal.observe_term(4)
    assert list(journal.pending) == ["r2"] and journal.term == 4
    disk.full = disk.sync_fails = False
    assert journal.append(make_attempt(3))
    journal.observe_term(4)
    reopened = AttemptJournal(tmp_path, 10)
    assert list(reopened.pending) == ["r1", "r2", "r3"] and reopened.term == 4
