"""The gateway process on a platform: reads the configuration, binds the sockets and handles signals.

It has only what serving requests needs: no admin listener, no hooks, and no store except the platform's counter.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import json
import math
import os
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.exit_signals import ignore_signals_until_exit
from martenstep.node.config import (
    EMPTY_DRAIN_PLAN,
    TRANSIENT_ERRORS,
    Config,
    ConfigError,
    load_config,
    make_drain_plan,
)
from martenstep.node.counter import CounterClient
from martenstep.node.discovery import DiscoveryClient
from martenstep.node.endpoint_list import (
    DiscoveryError,
    EndpointListFollower,
)
from martenstep.node.pending_signals import PendingSignals
from martenstep.node.poll_timing import (
    AGENT_TIMING,
    SERVICE_TIMING,
)
from martenstep.node.protocol import NodeRequestReader, make_dependencies
from martenstep.policy.messages import CallResult, EndpointListScope
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.engine import Engine
from martenstep.proxy.engine_messages import CounterReplied
from martenstep.proxy.log_output import MAX_LINE_BYTES, LogOutput
from martenstep.proxy.loop_lag import LagSelector
from martenstep.proxy.process_memory import MemoryGuard, ResidentMemory
from martenstep.proxy.server import ProxyServer
from martenstep.tasks import start_supervised
from martenstep.transient_errors import retry_transient

FIRST_LIST_TIMEOUT_MS = 1500.0  # without a response of discovery the gateway is ready after this, with the cached list
# The previous process at this address may still be ending.  An address that is not free after this time is not expected
# to become free, and nine in ten gateways must be ready within 10 s.
BIND_TIMEOUT_MS, BIND_RETRY_MS = 8000.0, 20.0
# If discovery rejects the polls, a start waits longer: without a list the gateway could only reject requests.
REJECTED_TIMEOUT_MS, REJECTED_CHECK_MS = 6000.0, 50.0
# Before a rejected file is read again.  4 s after SIGHUP the gateway counts as notified of what discovery has at a new
# address.
REREAD_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.6)
TRANSIENT_TIMEOUT_S, TRANSIENT_RETRY_S = (
    8.0,
    0.02,
)  # for how long, and how often, a start retries what fails temporarily
TOTALS_INTERVAL_S = 5.0  # between two log lines of totals
GC_THRESHOLD = 20_000  # allocations between two collections; the request path creates few reference cycles


Result = TypeVar("Result")


class EventLogger:
    """Writes log lines to standard output, at a limited rate and without blocking: logging must not delay a request."""

    def __init__(self, max_lines_per_s: int = 20) -> None:
        """Lines above `max_lines_per_s` are dropped."""
        self._max_lines_per_s, self._second, self._count = max_lines_per_s, 0, 0
        self._output = LogOutput(sys.stdout)

    def log(self, event: str, fields: dict[str, Any]) -> None:
        """Write one line; drop it above the limit."""
        now = time.time()
        if int(now) != self._second:
            self._second, self._count = int(now), 0
        self._count += 1
        if self._count <= self._max_lines_per_s:
            line_start = {"t": round(now, 3), "event": event}
            line = json.dumps({**line_start, **fields}, default=repr)
            if len(line) > MAX_LINE_BYTES:
                line = json.dumps({**line_start, "cut": line[: MAX_LINE_BYTES // 4]})
            self._output.write(line + "\n")
            self._output.flush()


class GatewayNode:
    """One gateway process: the proxy server, its engine, and the clients of discovery and the counter."""

    def __init__(
        self, config: Config, path: Path, pending: PendingSignals | None = None, selector: LagSelector | None = None
    ) -> None:
        """`pending` holds the signals received so far; `selector` is that of the event loop."""
        self._path, self._pending = path, pending
        self.config = config
        self._ended = False
        self._event_logger = EventLogger()
        self.drain_plan = make_drain_plan(config.settings)
        self._request_reader = NodeRequestReader(config.settings, now_ms)
        self.engine = Engine(make_dependencies(config, self._request_reader), config.seed)
        self.server = ProxyServer(config.listener, config.upstream, self.engine, self._event_logger.log, clock=selector)
        self._resident_memory = ResidentMemory()
        self.memory_guard = MemoryGuard(
            config.memory.process_bytes, self.server.state.buffers, self._event_logger.log, self._resident_memory.read
        )
        self.server.state.buffers.on_growth = self.memory_guard.check
        self._follower = EndpointListFollower()
        self._timing = SERVICE_TIMING if config.settings.must_subscribe else AGENT_TIMING
        self._discovery = DiscoveryClient(
            config.discovery, self._follower, self._endpoints_updated, self._event_logger.log, self._timing
        )
        self._counter = (
            CounterClient(config.counter, self._counter_replied, self.server.log_task_failure)
            if config.counter is not None
            else None
        )
        self._totals_task: asyncio.Task[None] | None = None
        self._first_list = asyncio.Event()
        self._stop = asyncio.Event()
        self._reread_timer: asyncio.TimerHandle | None = None
        self._selector = selector
        self._poll_restarted_at = -math.inf  # the stall, by the selector's clock, after which discovery was polled last
        self._stalled_at = -math.inf  # when that stall was detected, by the gateway's clock
        self._stale_until = -math.inf  # attempts wait for that poll's response until this time at most
        if selector is not None:
            self.server.set_staleness_check(self._endpoint_list_is_stale)

    def _endpoint_list_is_stale(self) -> bool:
        """Return whether the process has stalled and discovery has not answered since.

        The gateway counts as notified of what discovery sent during the stall.  An agent that does not answer within
        the wait has sent nothing.
        """
        assert self._selector is not None
        if self._selector.stalled_at > self._poll_restarted_at:
            self._poll_restarted_at, now = self._selector.stalled_at, now_ms()
            self._stale_until = now + AGENT_TIMING.start_wait_ms
            self._stalled_at = now
            self._event_logger.log("process stalled", {"ms": round(self._selector.stalled_ms, 1)})
            if self._timing is AGENT_TIMING:
                self._discovery.restart_poll()
        if self._stale_until == -math.inf:
            return False
        if now_ms() >= self._stale_until:
            self._stale_until = -math.inf
            return False
        if self._timing is AGENT_TIMING:
            return self._discovery.answered_at < self._stalled_at
        # A service that all gateways share is not polled again; only what it has sent already is waited for.
        return self._discovery.has_unread_bytes

    def _endpoints_updated(self, update: EndpointListEvent) -> None:
        if update.scope is EndpointListScope.FULL:
            self._first_list.set()
        self.server.handle(update)

    def _counter_replied(self, call_id: int, result: CallResult, total: float) -> None:
        self.server.handle(CounterReplied(call_id, result, total))

    def _apply_cached_list(self) -> None:
        """Apply the last known list from the configuration, which may be old.

        The same follower then applies discovery's lists.  With another one, a number could come to mean another
        endpoint, which would inherit the attempts and latency of the first.
        """
        try:
            cached = self._follower.apply_list(self.config.cached_list, EndpointListScope.CACHED)
        except DiscoveryError as error:
            self._event_logger.log("cached endpoint list unusable", {"error": str(error)})
            cached = None
        self.server.handle(cached if cached is not None else EndpointListEvent(EndpointListScope.CACHED))

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self._log_loop_error(context))
        loop.add_signal_handler(signal.SIGTERM, self._terminate)
        loop.add_signal_handler(signal.SIGINT, self._terminate)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        received = self._pending.received if self._pending is not None else set()
        if received & {signal.SIGTERM, signal.SIGINT}:
            return  # the signal to end came before any connection was accepted
        if signal.SIGHUP in received:
            self.reload()
        await self.start()
        await self._stop.wait()
        await self.stop()

    def _terminate(self) -> None:
        self._stop.set()
        self._first_list.set()  # ends the wait for the first list, since SIGKILL follows

    async def start(self) -> int:
        """Start all parts; report ready once there is a list.

        Returns the listener's port, 0 if a signal to end came before it listened.  Raises ConfigError if it cannot
        listen.
        """
        self._apply_cached_list()
        if self._counter is not None:
            self.server.add_to_counter = self._counter.add
            self._counter.start()
        self._discovery.start()
        # The gateway counts as notified of what the agent has from its first moment, and clients of the previous
        # process connect as soon as it listens.  None may be served by the cached list before the agent's response.
        await self._first_list_within(self._timing.start_wait_ms)
        until = now_ms() + REJECTED_TIMEOUT_MS
        while self._discovery.rejected and now_ms() < until and not await self._first_list_within(REJECTED_CHECK_MS):
            pass  # the cached list may lack changes of which the gateway counts as notified
        port = await self._listen()
        if not await self._first_list_within(max(FIRST_LIST_TIMEOUT_MS - self._timing.start_wait_ms, 0.0)):
            self._event_logger.log("ready without discovery", {})
        if not self._stop.is_set():
            self._request_reader.ready = True
            self._event_logger.log("ready", {"servers": len(self._follower.addresses)})
        self._totals_task = start_supervised(self._log_totals, self.server.log_task_failure)
        return port

    async def _first_list_within(self, ms: float) -> bool:
        with suppress(TimeoutError):
            async with asyncio.timeout(ms / MS_PER_S):
                await self._first_list.wait()
        return self._first_list.is_set()

    async def _listen(self) -> int:
        """Listen once the address is free; return the port."""
        until, logged = now_ms() + BIND_TIMEOUT_MS, False
        while not self._stop.is_set():
            try:
                return await self.server.start()
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS or now_ms() >= until:
                    raise ConfigError(f"listen: {error}") from None
                if not logged:
                    in_use = error.errno == errno.EADDRINUSE
                    self._event_logger.log("address in use" if in_use else "listen retried", {"error": str(error)})
                logged = True
            await asyncio.sleep(BIND_RETRY_MS / MS_PER_S)
        return 0

    async def _log_totals(self) -> None:
        """Log the totals since the start at regular intervals."""
        while True:
            await asyncio.sleep(TOTALS_INTERVAL_S)
            self._event_logger.log(
                "totals",
                {
                    "answers": self.engine.response_counts,
                    "verdicts": self.engine.attempt_result_counts,
                    "denials": self.engine.denial_counts,
                    **self.engine.held_counts,
                    **self.server.counts,
                    "clients": len(self.server.clients),
                    "resident_bytes": self.memory_guard.resident_bytes,
                    "peak_resident_bytes": self.memory_guard.peak_bytes,
                    "client_buffer_bytes": self.server.state.buffers.held_bytes,
                    "client_buffer_limit": self.server.state.buffers.max_bytes,
                    "connections_shed": self.server.state.buffers.shed_count,
                    "upstream": self.server.pool.connections,
                },
            )

    async def stop(self) -> None:
        """Shut down gracefully: serve for the time of the drain plan, answer requests in flight, end."""
        self._event_logger.log("stopping", {"open": self.engine.unanswered})
        if self._totals_task is not None:
            self._totals_task.cancel()
        plan = self.drain_plan if self.server.listening else EMPTY_DRAIN_PLAN
        clean = await self.server.stop(plan.answer_ms - plan.serve_ms, plan.accept_ms, plan.serve_ms)
        self._ended = True
        self._discovery.stop()
        if self._counter is not None:
            self._counter.stop()
        self._resident_memory.close()
        self._event_logger.log(
            "stopped",
            {
                "clean": clean,
                "answers": self.engine.response_counts,
                "denials": self.engine.denial_counts,
                **self.server.counts,
                **self.engine.held_counts,
            },
        )

    def _log_loop_error(self, context: dict[str, Any]) -> None:
        self._event_logger.log(
            "fault", {"where": str(context.get("message", "")), "error": repr(context.get("exception"))}
        )

    def reload(self) -> None:
        """Handle SIGHUP: use new addresses of discovery and the counter.

        A file that cannot be read changes nothing, and is read again for some seconds, since its writer may not have
        finished.  Any other change takes effect at the next restart.
        """
        if self._reread_timer is not None:
            self._reread_timer.cancel()
            self._reread_timer = None
        self._reload(REREAD_DELAYS_S)

    def _reload(self, retry_delays_s: tuple[float, ...]) -> None:
        if self._ended:
            return
        try:
            config = load_config(self._path)
        except ConfigError as error:
            if len(retry_delays_s) == len(REREAD_DELAYS_S):
                self._event_logger.log("configuration rejected", {"error": str(error)})
            if retry_delays_s:
                loop = asyncio.get_running_loop()
                self._reread_timer = loop.call_later(retry_delays_s[0], self._reload, retry_delays_s[1:])
            return
        self._discovery.change_address(config.discovery)
        if self._counter is not None and config.counter is not None:
            self._counter.change_address(config.counter)
        current = self.config
        changes = {
            "name": config.name != current.name,
            "listener": config.listener != current.listener,
            "upstream": config.upstream != current.upstream,
            "settings": config.settings != current.settings,
            "max_open": config.max_in_flight != current.max_in_flight,
        }
        deferred = [name for name, changed in changes.items() if changed]
        if (self._counter is None) != (config.counter is None):
            deferred.append("counter")
        self._event_logger.log("configuration applied", {"after_a_restart": deferred} if deferred else {})


def _is_transient(error: Exception) -> bool:
    if isinstance(error, ConfigError):
        return error.transient
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRORS


def _retry_transient(make: Callable[[], Result]) -> Result:
    """Call `make` until it does not fail temporarily and return its result; raises ConfigError and OSError."""
    return retry_transient(make, _is_transient, within_s=TRANSIENT_TIMEOUT_S, interval_s=TRANSIENT_RETRY_S)


def main(pending: PendingSignals | None = None) -> None:
    """Run `python -m martenstep.node`; its status is 0 after SIGTERM, 2 if the configuration cannot be used."""
    path = os.environ.get("NODE_CONFIG", "")
    try:
        if not path:
            raise ConfigError("NODE_CONFIG is not set: expected the path of the configuration file")
        config = _retry_transient(lambda: load_config(Path(path)))
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 50)

        selector = _retry_transient(LagSelector)

        async def serve() -> None:
            await GatewayNode(config, Path(path), pending, selector).run()
            ignore_signals_until_exit()

        def make_loop() -> asyncio.AbstractEventLoop:
            return _retry_transient(lambda: asyncio.SelectorEventLoop(selector))

        with asyncio.Runner(loop_factory=make_loop) as runner:
            runner.run(serve())
    except ConfigError as error:
        sys.stderr.write(f"martenstep: {path}: {error}\n")
        sys.exit(2)
