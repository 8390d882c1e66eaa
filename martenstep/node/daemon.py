"""The front door as the platform starts it: configuration in, sockets bound, signals obeyed.

Everything that a request does not need is left out: no admin listener, no hooks, no store but the platform's counter.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from martenstep.door.driver import LAST_MS, Driver
from martenstep.door.engine import Engine
from martenstep.door.events import Counted
from martenstep.door.wires import now_ms
from martenstep.interface import Scope, Verdict
from martenstep.members.lists import Listed
from martenstep.node.config import Config, ConfigError, load_config
from martenstep.node.counter import Counter
from martenstep.node.discovery import Discovery, DiscoveryError, Follower
from martenstep.node.protocol import Requests, parts_of

LEAVE_MS = 600.0  # after SIGTERM the front still sends new connections for up to 0.4 s
# And requests on those that stand, of customers that may come through this door only; SIGKILL comes 3.7 s after SIGTERM
# at the soonest.
STAY_MS = 2200.0
ALL_MS = 3300.0  # after SIGTERM all is answered
FIRST_LIST_MS = 1500.0  # the door is ready without discovery's word after this: it has the list as last known
TELL_S = 5.0  # between two lines of totals
GC_THRESHOLD = 20_000  # allocations between two looks for cycles: the request path makes few


class Notes:
    """Lines for the operators on standard output, bounded: a log is not worth a request."""

    def __init__(self, most_a_second: int = 20) -> None:
        self._most, self._second, self._count = most_a_second, 0, 0

    def note(self, event: str, fields: dict[str, Any]) -> None:
        """One line."""
        now = time.time()
        if int(now) != self._second:
            self._second, self._count = int(now), 0
        self._count += 1
        if self._count <= self._most:
            sys.stdout.write(json.dumps({"t": round(now, 3), "event": event, **fields}, default=repr) + "\n")
            sys.stdout.flush()


class Node:
    """One front door."""

    def __init__(self, config: Config, path: Path) -> None:
        self._path = path
        self.config = config
        self._notes = Notes()
        self._requests = Requests(config.settings, now_ms)
        self.engine = Engine(parts_of(config, self._requests), config.seed)
        self.driver = Driver(config.listener, config.upstream, self.engine, self._notes.note)
        self._follower = Follower()
        self._discovery = Discovery(config.discovery, self._follower, self._listed, self._notes.note)
        self._counter = Counter(config.counter, self._counted) if config.counter is not None else None
        self._telling: asyncio.Task[None] | None = None
        self._first_list = asyncio.Event()
        self._stop = asyncio.Event()

    def _listed(self, listed: Listed) -> None:
        self._first_list.set()
        before = dict(self.engine.addresses)
        self.driver.act(listed)
        for number, address in before.items():
            if number not in self.engine.addresses:
                self.driver.pool.forget(address)

    def _counted(self, call: int, verdict: Verdict, total: float) -> None:
        self.driver.act(Counted(call, verdict, total))

    def _known(self) -> None:
        """The list as last had, maybe old."""
        try:
            known = Follower().told(self.config.known, Scope.WARM_COPY)
        except DiscoveryError:
            known = None
        self.driver.act(known if known is not None else Listed(Scope.WARM_COPY))

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self._fault(context))
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._stop.wait()
        await self.stop()

    async def start(self) -> int:
        """Bind everything, and be ready once there is a list; gives the listener's port."""
        self._known()
        if self._counter is not None:
            self.driver.add = self._counter.add
            self._counter.start()
        self._discovery.start()
        port = await self.driver.start()
        try:
            async with asyncio.timeout(FIRST_LIST_MS / 1000):
                await self._first_list.wait()
        except TimeoutError:
            self._notes.note("ready without discovery", {})
        self._requests.ready = True
        self._notes.note("ready", {"servers": len(self._follower.addresses)})
        self._telling = asyncio.get_running_loop().create_task(self._tell())
        return port

    async def _tell(self) -> None:
        """What the operators see of a door at work: totals since its start."""
        while True:
            await asyncio.sleep(TELL_S)
            self._notes.note("totals", {
                "answers": self.engine.answers, "verdicts": self.engine.verdicts, **self.engine.held,
                **self.driver.counts, "clients": len(self.driver.clients), "upstream": self.driver.pool.connections})

    async def stop(self, leave_ms: float = LEAVE_MS, stay_ms: float = STAY_MS) -> None:
        """Serve on for a while, answer what is held, end."""
        self._notes.note("stopping", {"open": self.engine.open})
        if self._telling is not None:
            self._telling.cancel()
        clean = await self.driver.stop(max(ALL_MS - stay_ms - LAST_MS, 0.0), leave_ms, stay_ms)
        self._discovery.stop()
        if self._counter is not None:
            self._counter.stop()
        self._notes.note("stopped", {"clean": clean, **self.driver.counts, **self.engine.held})

    def _fault(self, context: dict[str, Any]) -> None:
        self._notes.note("fault", {"where": str(context.get("message", "")), "error": repr(context.get("exception"))})

    def reload(self) -> None:
        """SIGHUP: discovery and the counter may be elsewhere.  A file that cannot be read leaves all as it is."""
        try:
            config = load_config(self._path)
        except ConfigError as error:
            self._notes.note("configuration not taken up", {"error": str(error)})
            return
        self._discovery.move(config.discovery)
        if self._counter is not None and config.counter is not None:
            self._counter.move(config.counter)
        self._notes.note("configuration taken up", {})


def main() -> None:
    """`python -m martenstep.node`: 0 after SIGTERM, 2 where the configuration cannot be used."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop minds it: its usual action would end the process
    path = os.environ.get("NODE_CONFIG", "")
    try:
        if not path:
            raise ConfigError("NODE_CONFIG: not set")
        config = load_config(Path(path))
    except ConfigError as error:
        sys.stderr.write(f"martenstep: {path}: {error}\n")
        sys.exit(2)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)

    async def serve() -> None:
        await Node(config, Path(path)).run()

    asyncio.run(serve())
