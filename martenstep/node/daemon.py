"""The front door as the platform starts it: configuration in, sockets bound, signals obeyed.

Everything that a request does not need is left out: no admin listener, no hooks, no store but the platform's counter.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import json
import math
import os
import select
import signal
import stat
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TextIO, TypeVar

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.node.config import (
    NOTHING_TAKEN,
    PASSING_ERRORS,
    REST_MS,
    Config,
    ConfigError,
    drain_plan_of,
    load_config,
)
from martenstep.node.counter import Counter
from martenstep.node.discovery import AGENT, SERVICE, Discovery, DiscoveryError, Follower
from martenstep.node.pending_signals import PendingSignals
from martenstep.node.protocol import Requests, make_dependencies
from martenstep.policy.messages import CallResult, EndpointListScope
from martenstep.proxy.clock import now_ms
from martenstep.proxy.engine import Engine
from martenstep.proxy.engine_messages import CounterReplied
from martenstep.proxy.loop_lag import LagSelector
from martenstep.proxy.server import ProxyServer
from martenstep.proxy.transport import poll_descriptor
from martenstep.tasks import start_supervised

FIRST_LIST_MS = 1500.0  # the door is ready without discovery's word after this: it has the list as last known
# The one before it under this name and address may still be ending.  Who does not get it in this time never will, and
# nine in ten must be ready within 10 s.
IN_USE_MS, IN_USE_STEP_MS = 8000.0, 20.0
LINE_BYTES = 4000  # a pipe that has room at all has room for 4,096 (POSIX: PIPE_BUF)
# Refused, it waits for longer: without a list it could only refuse.  Nine in ten must be ready within 10 s.
REFUSED_MS, REFUSED_STEP_MS = 6000.0, 50.0
# What discovery tells at a new address counts as told 4 s after SIGHUP.
REREAD_AFTER_S = (0.1, 0.2, 0.4, 0.8, 1.6)
PASSING_S, PASSING_STEP_S = 8.0, 0.02  # a start waits so long for what is short for a moment
TELL_S = 5.0  # between two lines of totals
GC_THRESHOLD = 20_000  # allocations between two looks for cycles: the request path makes few


Made = TypeVar("Made")


def _piped(stream: TextIO) -> bool:
    with suppress(OSError, ValueError):
        return stat.S_ISFIFO(os.fstat(stream.fileno()).st_mode)
    return False


class EventLogger:
    """Lines for the operators on standard output, bounded: a log is not worth a request."""

    def __init__(self, most_a_second: int = 20) -> None:
        self._most, self._second, self._count = most_a_second, 0, 0
        self._piped = _piped(sys.stdout)

    def log(self, event: str, fields: dict[str, Any]) -> None:
        """One line."""
        now = time.time()
        if int(now) != self._second:
            self._second, self._count = int(now), 0
        self._count += 1
        if self._count <= self._most:
            told = {"t": round(now, 3), "event": event}
            line = json.dumps({**told, **fields}, default=repr)
            if len(line) > LINE_BYTES:
                line = json.dumps({**told, "cut": line[: LINE_BYTES // 4]})
            with suppress(OSError, ValueError):  # whoever read the log has gone
                # Or reads no more, and the pipe is full: a write would wait, and with it every request.
                if not self._piped or poll_descriptor(sys.stdout.fileno(), select.POLLOUT):
                    sys.stdout.write(line + "\n")
                    sys.stdout.flush()


class Node:
    """One front door."""

    def __init__(
        self, config: Config, path: Path, pending: PendingSignals | None = None, selector: LagSelector | None = None
    ) -> None:
        """`pending` holds the signals that have come already; `selector` is the event loop's."""
        self._path, self._pending = path, pending
        self.config = config
        self._ended = False
        self._event_logger = EventLogger()
        self.drain_plan = drain_plan_of(config.settings)
        self._requests = Requests(config.settings, now_ms)
        self.engine = Engine(make_dependencies(config, self._requests), config.seed)
        self.driver = ProxyServer(config.listener, config.upstream, self.engine, self._event_logger.log, clock=selector)
        self.driver.pool.reuse_delay_ms = REST_MS
        self._follower = Follower()
        self._timing = SERVICE if config.settings.must_subscribe else AGENT
        self._discovery = Discovery(
            config.discovery, self._follower, self._listed, self._event_logger.log, self._timing
        )
        self._counter = (
            Counter(config.counter, self._counted, self.driver.log_task_failure) if config.counter is not None else None
        )
        self._telling: asyncio.Task[None] | None = None
        self._started: dict[int, float] = {}  # when each listed server started, as last told
        self._first_list = asyncio.Event()
        self._stop = asyncio.Event()
        self._rereading: asyncio.TimerHandle | None = None
        self._selector = selector
        self._asked_anew_at = -math.inf  # by the selector's clock: after which stall discovery was asked
        self._stalled_at = -math.inf  # when that was noticed, by the gateway's clock
        self._behind_until = -math.inf  # attempts wait for its answer until then, at most
        if selector is not None:
            self.driver.set_staleness_check(self._list_behind)

    def _list_behind(self) -> bool:
        """Whether the process stood still and discovery has not answered since: what its agent told meanwhile counts.

        An agent that does not answer is silent, and has told nothing.
        """
        assert self._selector is not None
        if self._selector.stalled_at > self._asked_anew_at:
            self._asked_anew_at, now = self._selector.stalled_at, now_ms()
            self._behind_until = now + AGENT.hold_ms
            self._stalled_at = now
            self._event_logger.log("stood still", {"ms": round(self._selector.stalled_ms, 1)})
            if self._timing is AGENT:
                self._discovery.ask_anew()
        if self._behind_until == -math.inf:
            return False
        if now_ms() >= self._behind_until:
            self._behind_until = -math.inf
            return False
        if self._timing is AGENT:
            return self._discovery.answered_at < self._stalled_at
        # A service that all gateways share is not asked out of turn: what it has told by now is waited for.
        return self._discovery.unread

    def _listed(self, listed: EndpointListEvent) -> None:
        if listed.scope is EndpointListScope.FULL:
            self._first_list.set()
        starts = {server.id: server.started_ms for server in listed.endpoints}
        concerned = starts if listed.scope is EndpointListScope.DELTA else self.engine.addresses
        before = {number: self.engine.addresses[number] for number in concerned if number in self.engine.addresses}
        started_before = {number: self._started.get(number, math.inf) for number in before}
        self.driver.handle(listed)
        if listed.scope is not EndpointListScope.DELTA:
            self._started.clear()
        self._started.update(starts)
        for number in [*before, *starts]:
            if number not in self.engine.addresses:
                self._started.pop(number, None)
        for number, address in before.items():  # whoever is there from now on, it is not who was connected to
            restarted = self._started.get(number, 0.0) > started_before[number]
            if self.engine.addresses.get(number) != address or restarted:
                self.driver.pool.retire_address(address)

    def _counted(self, call: int, verdict: CallResult, total: float) -> None:
        self.driver.handle(CounterReplied(call, verdict, total))

    def _known(self) -> None:
        """The list as last had, maybe old.

        By the follower that goes on from it: a number that named another server once discovery's list comes would have
        its attempts, its latency and its place in the books.
        """
        try:
            known = self._follower.told(self.config.known, EndpointListScope.CACHED)
        except DiscoveryError as error:
            self._event_logger.log("known list not taken up", {"error": str(error)})
            known = None
        self.driver.handle(known if known is not None else EndpointListEvent(EndpointListScope.CACHED))

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self._fault(context))
        loop.add_signal_handler(signal.SIGTERM, self._end)
        loop.add_signal_handler(signal.SIGINT, self._end)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        come = self._pending.come if self._pending is not None else set()
        if come & {signal.SIGTERM, signal.SIGINT}:
            return  # nothing was taken
        if signal.SIGHUP in come:
            self.reload()
        await self.start()
        await self._stop.wait()
        await self.stop()

    def _end(self) -> None:
        self._stop.set()
        self._first_list.set()  # who waits for it waits no more: the time until SIGKILL runs

    async def start(self) -> int:
        """Bind everything, and be ready once there is a list.

        Gives the listener's port, 0 where the door was told to end before it listened.  Raises ConfigError where it
        cannot listen.
        """
        self._known()
        if self._counter is not None:
            self.driver.add_to_counter = self._counter.add
            self._counter.start()
        self._discovery.start()
        # What the agent has counts as told from the first moment, and clients of the process before come as soon as
        # there is a listener: none of them is to be served by the old list while the agent's answer is on its way.
        await self._first_list_within(self._timing.hold_ms)
        until = now_ms() + REFUSED_MS
        while self._discovery.refused and now_ms() < until and not await self._first_list_within(REFUSED_STEP_MS):
            pass  # the list as last had may be older than what counts as told
        port = await self._listen()
        if not await self._first_list_within(max(FIRST_LIST_MS - self._timing.hold_ms, 0.0)):
            self._event_logger.log("ready without discovery", {})
        if not self._stop.is_set():
            self._requests.ready = True
            self._event_logger.log("ready", {"servers": len(self._follower.addresses)})
        self._telling = start_supervised(self._tell, self.driver.log_task_failure)
        return port

    async def _first_list_within(self, ms: float) -> bool:
        with suppress(TimeoutError):
            async with asyncio.timeout(ms / 1000):
                await self._first_list.wait()
        return self._first_list.is_set()

    async def _listen(self) -> int:
        """Listen, once the address is free."""
        until, told = now_ms() + IN_USE_MS, False
        while not self._stop.is_set():
            try:
                return await self.driver.start()
            except OSError as error:
                if error.errno not in PASSING_ERRORS or now_ms() >= until:
                    raise ConfigError(f"listen: {error}") from None
                if not told:
                    in_use = error.errno == errno.EADDRINUSE
                    self._event_logger.log("address in use" if in_use else "cannot listen yet", {"error": str(error)})
                told = True
            await asyncio.sleep(IN_USE_STEP_MS / 1000)
        return 0

    async def _tell(self) -> None:
        """What the operators see of a door at work: totals since its start."""
        while True:
            await asyncio.sleep(TELL_S)
            self._event_logger.log(
                "totals",
                {
                    "answers": self.engine.answers,
                    "verdicts": self.engine.verdicts,
                    "denials": self.engine.denials,
                    **self.engine.held,
                    **self.driver.counts,
                    "clients": len(self.driver.clients),
                    "upstream": self.driver.pool.connections,
                },
            )

    async def stop(self) -> None:
        """Serve on for a while, answer what is held, end."""
        self._event_logger.log("stopping", {"open": self.engine.open})
        if self._telling is not None:
            self._telling.cancel()
        plan = self.drain_plan if self.driver.listening else NOTHING_TAKEN
        clean = await self.driver.stop(plan.answer_ms - plan.serve_ms, plan.accept_ms, plan.serve_ms)
        self._ended = True
        self._discovery.stop()
        if self._counter is not None:
            self._counter.stop()
        self._event_logger.log(
            "stopped",
            {
                "clean": clean,
                "answers": self.engine.answers,
                "denials": self.engine.denials,
                **self.driver.counts,
                **self.engine.held,
            },
        )

    def _fault(self, context: dict[str, Any]) -> None:
        self._event_logger.log(
            "fault", {"where": str(context.get("message", "")), "error": repr(context.get("exception"))}
        )

    def reload(self) -> None:
        """SIGHUP: discovery and the counter may be elsewhere.

        A file that cannot be read leaves all as it is, and is read again for some seconds, since whoever writes it may
        not be done; whatever else has changed in it waits for a restart.
        """
        if self._rereading is not None:
            self._rereading.cancel()
            self._rereading = None
        self._reload(list(REREAD_AFTER_S))

    def _reload(self, again_after_s: list[float]) -> None:
        if self._ended:
            return
        try:
            config = load_config(self._path)
        except ConfigError as error:
            if len(again_after_s) == len(REREAD_AFTER_S):
                self._event_logger.log("configuration not taken up", {"error": str(error)})
            if again_after_s:
                loop = asyncio.get_running_loop()
                self._rereading = loop.call_later(again_after_s[0], self._reload, again_after_s[1:])
            return
        self._discovery.move(config.discovery)
        if self._counter is not None and config.counter is not None:
            self._counter.move(config.counter)
        waits = [
            name
            for name in ("name", "listener", "upstream", "settings", "max_open")
            if getattr(config, name) != getattr(self.config, name)
        ]
        if (self._counter is None) != (config.counter is None):
            waits.append("counter")
        self._event_logger.log("configuration taken up", {"after_a_restart": waits} if waits else {})


def _first_config(path: Path) -> Config:
    """The configuration at the start; raises ConfigError."""
    until = time.monotonic() + PASSING_S
    while True:
        try:
            return load_config(path)
        except ConfigError as error:
            if not error.passing or time.monotonic() >= until:
                raise
        time.sleep(PASSING_STEP_S)


def _made(make: Callable[[], Made]) -> Made:
    """What takes descriptors of its own, once there are any; raises OSError."""
    until = time.monotonic() + PASSING_S
    while True:
        try:
            return make()
        except OSError as error:
            if error.errno not in PASSING_ERRORS or time.monotonic() >= until:
                raise
        time.sleep(PASSING_STEP_S)


def main(pending: PendingSignals | None = None) -> None:
    """`python -m martenstep.node`: 0 after SIGTERM, 2 where the configuration cannot be used."""
    path = os.environ.get("NODE_CONFIG", "")
    try:
        if not path:
            raise ConfigError("NODE_CONFIG: not set")
        config = _first_config(Path(path))
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 50)

        selector = _made(LagSelector)

        async def serve() -> None:
            await Node(config, Path(path), pending, selector).run()

        with asyncio.Runner(loop_factory=lambda: _made(lambda: asyncio.SelectorEventLoop(selector))) as runner:
            runner.run(serve())
    except ConfigError as error:
        sys.stderr.write(f"martenstep: {path}: {error}\n")
        sys.exit(2)
