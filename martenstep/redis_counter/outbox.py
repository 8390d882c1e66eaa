"""Where the core's modules put what is to be done, and what metrics count."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator

from martenstep.event_log import LogFields
from martenstep.policy.messages import CallResult
from martenstep.redis_counter.messages import Action, AnswerCall, LogEvent

RESULT_METRICS = {CallResult.OVERLOADED: "FULL", CallResult.NOT_SENT: "MOOT"}  # others: the member's name


class Outbox:
    """The actions in their order, and the counts."""

    def __init__(self) -> None:
        """Begin empty."""
        self._actions: deque[Action] = deque()
        self.counts: Counter[str] = Counter()  # by the names of the metrics

    def put(self, action: Action) -> None:
        """Add an action behind all others."""
        self._actions.append(action)

    def log(self, event: str, fields: LogFields) -> None:
        """Add a line for the log."""
        self.put(LogEvent(event, fields))

    def answer(self, call: int | None, result: CallResult, total: float = 0.0, retained_ms: float = 0.0) -> None:
        """Answer a call, if the operation was of one."""
        if call is not None:
            self.counts[RESULT_METRICS.get(result) or result.name] += 1
            self.put(AnswerCall(call, result, total, retained_ms))

    def take(self) -> Iterator[Action]:
        """Yield the actions, the first put first, until none is left."""
        while self._actions:
            yield self._actions.popleft()
