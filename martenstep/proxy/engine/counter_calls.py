"""Counter calls that the policy requested, and their timeouts."""

from __future__ import annotations

from typing import NamedTuple

from martenstep.policy import messages as api
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine.policy_driver import PolicyDriver
from martenstep.proxy.engine.state import EngineState
from martenstep.proxy.engine.timers import CounterTimeout

TIMEOUT_GRACE_MS = 1.0  # the counter client should report a timeout first; the engine does so this much later


class _PendingCall(NamedTuple):
    key: int
    started_at: float


class CounterCalls:
    """The counter calls that have no reply yet."""

    def __init__(self, state: EngineState, policy: PolicyDriver) -> None:
        """Replies are submitted to `policy`."""
        self._state, self._policy = state, policy
        self._timeout_ms = state.dependencies.settings.counter_timeout_ms
        self._pending: dict[int, _PendingCall] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def start(self, action: api.IncrementCounter) -> None:
        """Start a call and schedule its timeout."""
        state = self._state
        call_id = state.next_serial()
        self._pending[call_id] = _PendingCall(action.key, state.now)
        state.timers.schedule(state.now + self._timeout_ms + TIMEOUT_GRACE_MS, CounterTimeout(call_id))
        state.actions.append(
            ev.AddToCounter(call_id, action.key, action.units, action.expire_ms, action.bounds_ceiling)
        )

    def replied(self, event: ev.CounterReplied) -> None:
        """A call has ended."""
        call = self._pending.pop(event.call_id, None)
        if call is None:  # its timeout has already been reported
            return
        rtt_ms = self._state.now - call.started_at
        self._policy.submit(api.CounterReply(call.key, event.result, rtt_ms, event.total, event.retained_ms))

    def timed_out(self, timer: CounterTimeout) -> None:
        """Report the timeout of a call."""
        self.replied(ev.CounterReplied(timer.call_id, api.CallResult.TIMEOUT))

    def is_obsolete(self, timer: CounterTimeout) -> bool:
        """Whether the call has ended, so that its timer has no effect."""
        return timer.call_id not in self._pending
