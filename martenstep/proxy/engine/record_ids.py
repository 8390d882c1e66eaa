"""The ids under which forwarded requests are recorded: each request has one of its own.

The counter service knows a record by its id, so that one that is delivered again counts once.  An id that a client
chose may be that of another request, whose record would stand for both.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

MAX_KNOWN_IDS = 50_000  # the latest ids that were recorded
SEPARATOR = "~"  # between a client's id and the gateway's own


class RecordIds:
    """Chooses the ids of one gateway's records."""

    def __init__(self) -> None:
        """No id has been used."""
        self._known: OrderedDict[str, None] = OrderedDict()

    def choose(self, correlation_id: str, make_unique_id: Callable[[], str]) -> str:
        """Return the id to record a request under: its own, or an extended one if another request has borne it."""
        if correlation_id in self._known:
            return f"{correlation_id}{SEPARATOR}{make_unique_id()}"
        self._known[correlation_id] = None
        if len(self._known) > MAX_KNOWN_IDS:
            self._known.popitem(last=False)
        return correlation_id
