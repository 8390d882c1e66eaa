"""A gateway's write-ahead journal: attempts that the counter has not acknowledged yet, and the gateway's epoch.

`tries.jsonl` has a line for each attempt, and one for each acknowledgement; `epoch` and `term` hold a number each.  A
line counts once it is written completely: it survives a kill of the process.  If the disk fails, what cannot be kept is
not accepted, and the file is left, or cut back, to its last complete line before anything else is written to it.
"""

from __future__ import annotations

import contextlib
import os
import time
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path

import msgspec

from martenstep.counter.protocol import RecordAttempt
from martenstep.event_log import EventLog
from martenstep.transient_errors import retry_transient

START_TIMEOUT_S = 8.0  # a start waits so long for a disk that is full or fails
START_RETRY_INTERVAL_S = 0.05
REWRITE_FACTOR = 4  # the file is written anew once it has so many times the lines that the bound allows
ATTEMPTS_FILE = "tries.jsonl"
EPOCH_FILE = "epoch"
TERM_FILE = "term"
TEMPORARY_SUFFIX = ".new"
ACKNOWLEDGED_KEY = "done"


class _StoredAttempt(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={"over_quota": "beyond", "request_id": "request", "request_class": "cls"},
):
    """An attempt's line, under the names that stand in stored files."""

    sequence: int
    time_ms: float
    units: float
    over_quota: bool
    request_id: str
    customer: str
    plan: str
    request_class: str


def _encode_attempt(attempt: RecordAttempt) -> bytes:
    return msgspec.json.encode(
        _StoredAttempt(
            attempt.sequence,
            attempt.time_ms,
            attempt.units,
            attempt.over_quota,
            attempt.request_id,
            attempt.customer,
            attempt.plan,
            attempt.request_class,
        )
    )


def _convert_attempt(line: object) -> RecordAttempt:
    """Read a decoded line; sequences are of an earlier epoch, so they are not read."""
    stored = msgspec.convert(line, _StoredAttempt)
    return RecordAttempt(
        0,
        stored.time_ms,
        stored.units,
        stored.over_quota,
        stored.request_id,
        stored.customer,
        stored.plan,
        stored.request_class,
    )


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of some bytes to a file, however many calls that takes; raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_atomically(path: Path, data: bytes) -> int:
    """Put bytes durably in place of a file's, which stays as it was if that fails; raises OSError.

    Returns the open descriptor of the new file, for appending.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
        os.replace(temporary, path)
    except BaseException:
        os.close(descriptor)
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
    return descriptor


def _is_os_error(error: Exception) -> bool:
    return isinstance(error, OSError)


class AttemptJournal:
    """The journal in one directory; raises OSError only if it cannot be opened."""

    def __init__(self, directory: Path, max_attempts: int, log_event: EventLog = lambda event, fields: None) -> None:
        """`log_event` is told when the disk fails, and when it works again."""
        self._directory = directory
        self._max_attempts = max_attempts
        self._log_event = log_event
        self._failing = False
        directory.mkdir(parents=True, exist_ok=True)
        self.epoch = self._raise_epoch()
        self.term = self._read_number(TERM_FILE)  # the highest that a service told of: an older one is fenced by it
        self._stored_term = self.term
        self.pending: OrderedDict[str, RecordAttempt] = OrderedDict()  # by request id
        self._path = directory / ATTEMPTS_FILE
        self._read()
        # Of the file, up to its last complete line:
        self._size_bytes = 0
        self._lines = 0
        self._rewrite_at_lines = 0
        self._descriptor = self._retry(self._write_anew)

    @staticmethod
    def _retry(work: Callable[[], int]) -> int:
        return retry_transient(work, _is_os_error, within_s=START_TIMEOUT_S, interval_s=START_RETRY_INTERVAL_S)

    def _read_number(self, name: str) -> int:
        with contextlib.suppress(FileNotFoundError, ValueError):
            return int((self._directory / name).read_text())
        return 0

    def _store_number(self, name: str, value: int) -> int:
        os.close(replace_atomically(self._directory / name, f"{value}\n".encode()))
        return value

    def _raise_epoch(self) -> int:
        # The clock makes it greater still: a disk restored from a backup would else give an epoch again.
        epoch = max(self._read_number(EPOCH_FILE) + 1, int(time.time() * 1000))
        return self._retry(lambda: self._store_number(EPOCH_FILE, epoch))

    def _read(self) -> None:
        try:
            lines = self._path.read_bytes().split(b"\n")
        except FileNotFoundError:
            return
        for line in lines:
            # The last may be cut off by a kill; ValidationError is a DecodeError.
            with contextlib.suppress(msgspec.DecodeError, TypeError):
                decoded = msgspec.json.decode(line)
                if ACKNOWLEDGED_KEY in decoded:
                    self.pending.pop(decoded[ACKNOWLEDGED_KEY], None)
                else:
                    attempt = _convert_attempt(decoded)
                    self.pending[attempt.request_id] = attempt

    def _write_anew(self) -> int:
        """Write what is pending into a new file; returns its descriptor."""
        lines = [_encode_attempt(attempt) + b"\n" for attempt in self.pending.values()]
        data = b"".join(lines)
        descriptor = replace_atomically(self._path, data)
        self._size_bytes = len(data)
        self._lines = len(lines)
        self._rewrite_at_lines = max(REWRITE_FACTOR * self._max_attempts, 2 * self._lines)
        return descriptor

    def _append_line(self, line: bytes) -> bool:
        """Add a line completely or not at all; False if the disk does not take it."""
        try:
            # What an earlier failure left may not have been cut off then.
            if os.fstat(self._descriptor).st_size != self._size_bytes:
                os.ftruncate(self._descriptor, self._size_bytes)
            write_all(self._descriptor, line + b"\n")
        except OSError as error:
            self._on_failure(error)
            with contextlib.suppress(OSError):
                os.ftruncate(self._descriptor, self._size_bytes)
            return False
        self._size_bytes += len(line) + 1
        self._lines += 1
        self._on_success()
        return True

    def _on_failure(self, error: OSError) -> None:
        if not self._failing:
            self._log_event("journal cannot be written", {"error": str(error)})
        self._failing = True

    def _on_success(self) -> None:
        if self._failing:
            self._log_event("journal written again", {"tries": len(self.pending)})
        self._failing = False

    def observe_term(self, term: int) -> None:
        """Keep the highest term, over restarts; if the disk fails, from the next time on that it is seen."""
        self.term = max(self.term, term)
        if self.term > self._stored_term:
            try:
                self._stored_term = self._store_number(TERM_FILE, self.term)
            except OSError as error:
                self._on_failure(error)

    def append(self, attempt: RecordAttempt) -> bool:
        """Keep an attempt until it is acknowledged; False if the bound is reached or the disk does not take it."""
        if len(self.pending) >= self._max_attempts or not self._append_line(_encode_attempt(attempt)):
            return False
        self.pending[attempt.request_id] = attempt
        return True

    def acknowledge(self, request_id: str) -> None:
        """Drop an attempt that is recorded.

        If the disk does not take that, it is sent again after a restart, and found to be known.
        """
        if self.pending.pop(request_id, None) is None:
            return
        self._append_line(msgspec.json.encode({ACKNOWLEDGED_KEY: request_id}))
        if self._lines > self._rewrite_at_lines:
            self._rewrite()

    def _rewrite(self) -> None:
        """Continue in a new file; if it cannot be made, in the old one, for a while."""
        previous = self._descriptor
        try:
            self._descriptor = self._write_anew()
        except OSError as error:
            self._rewrite_at_lines = self._lines + self._max_attempts
            self._on_failure(error)
        else:
            os.close(previous)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)
