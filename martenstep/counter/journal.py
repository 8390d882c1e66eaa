"""A gateway's write-ahead journal: tries that were promised to the counter and not acknowledged yet, and its epoch.

`tries.jsonl` has a line for each try, and one for each acknowledgement; `epoch` and `term` hold a number each.  A line
counts once it is written whole: it survives a kill of the process.  Where the disk fails, what cannot be kept is not
promised, and the file is left, or cut back, to its last whole line before anything else is written to it.
"""

from __future__ import annotations

import contextlib
import os
import time
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path

import msgspec

from martenstep.counter.protocol import Record
from martenstep.event_log import EventLog

START_WITHIN_S, START_STEP_S = 8.0, 0.05  # a start waits so long for a disk that is full or fails
REWRITE_TIMES = 4  # the file is written anew once it has so many times the lines that the bound allows
NEW = ".new"


def write_whole(number: int, data: bytes) -> None:
    """Write all of some bytes to a file, however many calls that takes; raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(number, view) :]


def replace_file(path: Path, data: bytes) -> int:
    """Put bytes durably in place of a file's, which stays as it was where that fails; raises OSError.  Gives the open
    descriptor of the new file, for appending."""
    aside = path.with_name(path.name + NEW)
    number = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
    try:
        write_whole(number, data)
        os.fsync(number)
        os.replace(aside, path)
    except BaseException:
        os.close(number)
        with contextlib.suppress(OSError):
            os.unlink(aside)
        raise
    return number


class Journal:
    """The journal in one directory; raises OSError only where it cannot be opened."""

    def __init__(self, directory: Path, bound: int, log_event: EventLog = lambda event, fields: None) -> None:
        """`bound` tries are held at most; `log_event` hears when the disk fails, and when it works again."""
        self._directory, self._bound, self._log_event = directory, bound, log_event
        self._failing = False
        directory.mkdir(parents=True, exist_ok=True)
        self.epoch = self._raise_epoch()
        self.term = self._read_number("term")  # the highest that a service told of: an older one is fenced by it
        self._kept_term = self.term
        self.tries: OrderedDict[str, Record] = OrderedDict()
        self._path = directory / "tries.jsonl"
        self._read()
        self._size = self._lines = 0  # of the file, up to its last whole line
        self._rewrite_at = 0
        self._file = self._patiently(self._rewritten)

    @staticmethod
    def _patiently(work: Callable[[], int]) -> int:
        until = time.monotonic() + START_WITHIN_S
        while True:
            try:
                return work()
            except OSError:
                if time.monotonic() >= until:
                    raise
            time.sleep(START_STEP_S)

    def _read_number(self, name: str) -> int:
        with contextlib.suppress(FileNotFoundError, ValueError):
            return int((self._directory / name).read_text())
        return 0

    def _keep_number(self, name: str, value: int) -> int:
        os.close(replace_file(self._directory / name, f"{value}\n".encode()))
        return value

    def _raise_epoch(self) -> int:
        # The clock makes it greater still: a disk restored from a backup would else give an epoch again.
        epoch = max(self._read_number("epoch") + 1, int(time.time() * 1000))
        return self._patiently(lambda: self._keep_number("epoch", epoch))

    def _read(self) -> None:
        try:
            lines = self._path.read_bytes().split(b"\n")
        except FileNotFoundError:
            return
        for line in lines:
            with contextlib.suppress(msgspec.DecodeError, TypeError, KeyError):  # the last may be cut off by a kill
                told = msgspec.json.decode(line)
                if "done" in told:
                    self.tries.pop(told["done"], None)
                else:
                    made = Record(**{**told, "sequence": 0})
                    self.tries[made.request] = made

    def _rewritten(self) -> int:
        """Write what is left into a new file; gives its descriptor."""
        lines = [msgspec.json.encode(msgspec.to_builtins(made)) + b"\n" for made in self.tries.values()]
        data = b"".join(lines)
        number = replace_file(self._path, data)
        self._size, self._lines = len(data), len(lines)
        self._rewrite_at = max(REWRITE_TIMES * self._bound, 2 * self._lines)
        return number

    def _append(self, line: bytes) -> bool:
        """Add a line, whole or not at all; False where the disk does not take it."""
        try:
            if os.fstat(self._file).st_size != self._size:  # what an earlier failure left could not be cut off then
                os.ftruncate(self._file, self._size)
            write_whole(self._file, line + b"\n")
        except OSError as error:
            self._failed(error)
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, self._size)
            return False
        self._size += len(line) + 1
        self._lines += 1
        self._worked()
        return True

    def _failed(self, error: OSError) -> None:
        if not self._failing:
            self._log_event("journal cannot be written", {"error": str(error)})
        self._failing = True

    def _worked(self) -> None:
        if self._failing:
            self._log_event("journal written again", {"tries": len(self.tries)})
        self._failing = False

    def saw_term(self, term: int) -> None:
        """Keep the highest term, over restarts; where the disk fails, from the next time on that it is seen."""
        self.term = max(self.term, term)
        if self.term > self._kept_term:
            try:
                self._kept_term = self._keep_number("term", self.term)
            except OSError as error:
                self._failed(error)

    def promise(self, made: Record) -> bool:
        """Keep a try until it is acknowledged; False where the bound is reached or the disk does not take it: then
        nothing is promised."""
        if len(self.tries) >= self._bound or not self._append(msgspec.json.encode(msgspec.to_builtins(made))):
            return False
        self.tries[made.request] = made
        return True

    def done(self, request: str) -> None:
        """A try is acknowledged.  Where the disk does not take that, it is sent again after a restart, and known."""
        if self.tries.pop(request, None) is None:
            return
        self._append(msgspec.json.encode({"done": request}))
        if self._lines > self._rewrite_at:
            self._rewrite()

    def _rewrite(self) -> None:
        """Go on in a new file; where it cannot be made, in the old one, for a while."""
        old = self._file
        try:
            self._file = self._rewritten()
        except OSError as error:
            self._rewrite_at = self._lines + self._bound
            self._failed(error)
        else:
            os.close(old)

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)
