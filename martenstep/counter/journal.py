"""A gateway's write-ahead journal: attempts that the counter has not acknowledged yet, and the gateway's epoch.

`tries.jsonl` has one line for each attempt, and one for each acknowledgement; `epoch` and `term` hold one number each.
A line is accepted once it is completely written: it then survives a kill of the process.  If the disk fails, an attempt
that cannot be written is not accepted, and the file is truncated to its last complete line before the next write.
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

START_TIMEOUT_S = 8.0  # how long a start waits for a disk that is full or fails
START_RETRY_INTERVAL_S = 0.05
REWRITE_FACTOR = 4  # the file is rewritten once it has this many lines for each attempt that the bound allows
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
    """The line of an attempt; `rename` gives the field names of the stored form."""

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
    """Convert a decoded line; the stored sequence is dropped, as it belongs to an earlier epoch."""
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
    """Write all bytes to a file, with further calls after short writes; raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_atomically(path: Path, data: bytes) -> int:
    """Replace a file's content durably; raises OSError, in which case the old file is unchanged.

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
    """The journal in one directory; only opening it raises OSError."""

    def __init__(self, directory: Path, max_attempts: int, log_event: EventLog = lambda event, fields: None) -> None:
        """Open the journal; `log_event` is called when the disk fails, and when it works again."""
        self._directory = directory
        self._max_attempts = max_attempts
        self._log_event = log_event
        self._failing = False
        directory.mkdir(parents=True, exist_ok=True)
        self.epoch = self._increment_epoch()
        self.term = self._read_number(TERM_FILE)  # the highest that a service reported; it fences older terms
        self._stored_term = self.term
        self.pending: OrderedDict[str, RecordAttempt] = OrderedDict()  # by request id
        self._path = directory / ATTEMPTS_FILE
        self._load_pending()
        # These describe the file up to its last complete line.
        self._size_bytes = 0
        self._lines = 0
        self._rewrite_at_lines = 0
        self._descriptor = self._retry_at_start(self._write_pending)

    @staticmethod
    def _retry_at_start(work: Callable[[], int]) -> int:
        return retry_transient(work, _is_os_error, within_s=START_TIMEOUT_S, interval_s=START_RETRY_INTERVAL_S)

    def _read_number(self, name: str) -> int:
        with contextlib.suppress(FileNotFoundError, ValueError):
            return int((self._directory / name).read_text())
        return 0

    def _store_number(self, name: str, value: int) -> int:
        os.close(replace_atomically(self._directory / name, f"{value}\n".encode()))
        return value

    def _increment_epoch(self) -> int:
        # The clock is a second lower bound: a disk restored from a backup would otherwise repeat a used epoch.
        epoch = max(self._read_number(EPOCH_FILE) + 1, int(time.time() * 1000))
        return self._retry_at_start(lambda: self._store_number(EPOCH_FILE, epoch))

    def _load_pending(self) -> None:
        try:
            lines = self._path.read_bytes().split(b"\n")
        except FileNotFoundError:
            return
        for line in lines:
            # A kill may have truncated the last line; ValidationError is a DecodeError.
            with contextlib.suppress(msgspec.DecodeError, TypeError):
                decoded = msgspec.json.decode(line)
                if ACKNOWLEDGED_KEY in decoded:
                    self.pending.pop(decoded[ACKNOWLEDGED_KEY], None)
                else:
                    attempt = _convert_attempt(decoded)
                    self.pending[attempt.request_id] = attempt

    def _write_pending(self) -> int:
        """Write the pending attempts to a new file that replaces the old one; returns its descriptor."""
        lines = [_encode_attempt(attempt) + b"\n" for attempt in self.pending.values()]
        data = b"".join(lines)
        descriptor = replace_atomically(self._path, data)
        self._size_bytes = len(data)
        self._lines = len(lines)
        self._rewrite_at_lines = max(REWRITE_FACTOR * self._max_attempts, 2 * self._lines)
        return descriptor

    def _append_line(self, line: bytes) -> bool:
        """Append a line completely or not at all; returns False if the write fails."""
        try:
            # The truncation after an earlier failed write may have failed too, which left part of a line.
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
            self._log_event("journal is writable again", {"tries": len(self.pending)})
        self._failing = False

    def observe_term(self, term: int) -> None:
        """Store the highest term so that it survives restarts; a failed write is repeated at the next call."""
        self.term = max(self.term, term)
        if self.term > self._stored_term:
            try:
                self._stored_term = self._store_number(TERM_FILE, self.term)
            except OSError as error:
                self._on_failure(error)

    def append(self, attempt: RecordAttempt) -> bool:
        """Store an attempt until it is acknowledged; returns False if the bound is reached or the write fails."""
        if len(self.pending) >= self._max_attempts or not self._append_line(_encode_attempt(attempt)):
            return False
        self.pending[attempt.request_id] = attempt
        return True

    def acknowledge(self, request_id: str) -> None:
        """Remove an attempt that the counter has recorded.

        If that cannot be written, the attempt is sent again after a restart, and the counter recognizes its request id.
        """
        if self.pending.pop(request_id, None) is None:
            return
        self._append_line(msgspec.json.encode({ACKNOWLEDGED_KEY: request_id}))
        if self._lines > self._rewrite_at_lines:
            self._rewrite()

    def _rewrite(self) -> None:
        """Continue in a new file; if it cannot be written, keep the old one and delay the next rewrite."""
        previous = self._descriptor
        try:
            self._descriptor = self._write_pending()
        except OSError as error:
            self._rewrite_at_lines = self._lines + self._max_attempts
            self._on_failure(error)
        else:
            os.close(previous)

    def close(self) -> None:
        """Close the journal's file."""
        os.close(self._descriptor)
