"""Limits the bytes that all client connections of a server hold together.

Limits of a single connection do not bound their sum: hundreds of clients that stop in the middle of a large request
would each hold as much as one may.  Beyond the limit the connections that hold the most give up their buffers, so that
clients with small requests are served on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

SHED_TO_SHARE = 0.9  # of the limit: each search for connections to shed frees at least a tenth of it
CHECK_BYTES = 64 << 10  # the budget's owner looks at the process's memory whenever so much was added


class BufferHolder(Protocol):
    """A connection that holds bytes in memory."""

    def shed_buffers(self) -> bool:
        """Give up what is buffered for an incomplete message; False if nothing can be given up now."""

    def update_buffers(self) -> None:
        """Tell the budget how much is held now."""


class BufferBudget:
    """The bytes held by each connection, and their limit."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` limits the sum over all connections."""
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.shed_count = 0  # connections that were shed since the start
        self.process_full = False  # the process has so little memory left that a further connection needs another's
        self.on_growth: Callable[[], None] | None = None  # called when CHECK_BYTES were added, and by `refresh`
        self._held: dict[BufferHolder, int] = {}
        self._added_bytes = 0  # since the last call of `on_growth`
        self._is_shedding = False
        self._search_from = 0  # what must be held for another search, after one that did not free enough

    @property
    def exhausted(self) -> bool:
        """Whether more than the limit is held, although everything that can be given up was."""
        return self.held_bytes > self.max_bytes

    def update(self, holder: BufferHolder, held_bytes: int) -> None:
        """Record how much a connection holds now; connections are shed if the sum exceeds the limit."""
        added_bytes = held_bytes - self._held.get(holder, 0)
        self.held_bytes += added_bytes
        if held_bytes:
            self._held[holder] = held_bytes
        else:
            self._held.pop(holder, None)
        if added_bytes > 0:
            self.count_growth(added_bytes)
        self._shed_if_exhausted()

    def count_growth(self, added_bytes: int) -> None:
        """Count memory that was taken, also such as no connection reports, towards the next call of `on_growth`."""
        self._added_bytes += added_bytes
        if self._added_bytes >= CHECK_BYTES and self.on_growth is not None:
            self._added_bytes = 0
            self.on_growth()

    def refresh(self) -> None:
        """Have the connections that hold something say again how much: the kernel has taken bytes since."""
        self._search_from = 0
        if self.on_growth is not None:
            self.on_growth()
        for holder in list(self._held):
            holder.update_buffers()
        self._shed_if_exhausted()

    def _shed_if_exhausted(self) -> None:
        if not self.exhausted:
            self._search_from = 0
        elif self.held_bytes >= self._search_from and not self._is_shedding:
            self._shed()

    def _shed(self) -> None:
        """Shed the connections that hold the most, among equals the oldest, until enough is free."""
        self._is_shedding = True
        target = SHED_TO_SHARE * self.max_bytes
        try:
            for holder, _ in sorted(self._held.items(), key=lambda item: item[1], reverse=True):
                if self.held_bytes <= target:
                    break
                self.shed_count += holder.shed_buffers()
        finally:
            self._is_shedding = False
        self._search_from = self.held_bytes + CHECK_BYTES if self.exhausted else 0
