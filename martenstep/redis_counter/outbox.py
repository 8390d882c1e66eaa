"""The actions that the core's modules request, and the counts that metrics show."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator

from martenstep.event_log import LogFields
from martenstep.policy.messages import CallResult
from martenstep.redis_counter.messages import Action, AnswerCall, LogEvent

# Results that metrics show under another name than the member's.
RESULT_METRICS = {CallResult.OVERLOADED: "FULL", CallResult.NOT_SENT: "MOOT"}


class Outbox:
    """A queue of actions, and the counts."""

    def __init__(self) -> None:
        """Create an empty outbox."""
        self._actions: deque[Action] = deque()
        self.counts: Counter[str] = Counter()  # by the names of the metrics

    def put(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def log(self, event: str, fields: LogFields) -> None:
        """Append a log line."""
        self.put(LogEvent(event, fields))

    def answer(self, call: int | None, result: CallResult, total: float = 0.0, retained_ms: float = 0.0) -> None:
        """Answer a call; None, for an operation that serves no call, is ignored."""
        if call is not None:
            self.counts[RESULT_METRICS.get(result) or result.name] += 1
            self.put(AnswerCall(call, result, total, retained_ms))

    def take(self) -> Iterator[Action]:
        """Remove and yield the actions in order, until none is left."""
        while self._actions:
            yield self._actions.popleft()
