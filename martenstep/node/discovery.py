"""The platform's discovery: the whole list, then a watch that continues while each call follows the last answer at
once.

`Follower` is the protocol without sockets; `Discovery` keeps a connection to the agent, which answers from what it
has been told and is silent while discovery is down.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from martenstep.backoff import Backoff
from martenstep.door.wire.asking import Asking
from martenstep.door.wire.heads import AnswerHead, Fault
from martenstep.door.wire.readers import Data, End
from martenstep.interface import Scope, Server, State
from martenstep.members.lists import Listed
from martenstep.node.config import ConfigError, address_of

PATH = "/catalog/members"
# The agent is on this machine and answers at once.  What it wrote to a connection that broke counts as told, and a
# drain binds within a second of that: a new connection that is silent as well must be given up well before.
WAIT_MS = 1500  # a watch is held for this at most: so long a list can be stale where its connection falls silent
WHOLE_MS = 1500.0  # an answer that comes byte by byte must be whole within this of the time it was due
CONNECT_S = 0.2
READ_BYTES = 65_536
ANSWER_BYTES = 4 << 20  # of one answer: thousands of backends
STATES = {"ready": State.UP, "draining": State.DRAINING, "gone": State.GONE}


@dataclass(frozen=True, slots=True)
class Timing:
    """How long an answer is waited for, and how soon a call that failed is made again, in milliseconds."""

    timeout_ms: float  # an answer that is so late, or stands still for so long, is not coming
    timeout_most_ms: float  # and up to this, twice as long after each that did not come
    backoff_ms: float  # back-off, from this ...
    backoff_most_ms: float  # ... to this


# Lists are pushed: the agent is on this machine and answers at once or, while discovery is down, not at all.
AGENT = Timing(250.0, 250.0, 10.0, 250.0)
# Lists are asked for: discovery itself answers, late or with a refusal where many ask at once.  Who gives up its
# answers and asks anew at once keeps it there, and the list never comes.  A watch that fell silent is found, and three
# calls wait, within the 6 s after which a change counts as told.
SERVICE = Timing(500.0, 1500.0, 50.0, 800.0)


class DiscoveryError(Exception):
    """An answer that cannot be used."""


class Follower:
    """The list as told so far.  Servers are numbered as they are met: a uid says nothing of its server."""

    def __init__(self) -> None:
        self.rev: int | None = None  # none: the whole list is to be asked for
        self._numbers: dict[str, int] = {}
        self._last = 0
        self.addresses: dict[int, tuple[str, int]] = {}

    def target(self) -> str:
        """What to ask next."""
        return PATH if self.rev is None else f"{PATH}?after={self.rev}&wait_ms={WAIT_MS}"

    def take(self, body: bytes) -> Listed | None:
        """Take in an answer; gives what it tells, none where nothing changed.  Raises DiscoveryError."""
        try:
            told = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise DiscoveryError(f"not JSON: {error}") from None
        return self.told(told)

    def told(self, told: Any, scope: Scope | None = None) -> Listed | None:
        """Take in a list that is read already; `scope` in place of its own, and then no watch goes on from it.
        Nothing of one that cannot be read to its end is taken in."""
        numbers, last = dict(self._numbers), self._last
        try:
            rev, whole = int(told["rev"]), told["all"]
            if not isinstance(whole, bool):
                raise TypeError(f"all is {whole!r}")
            addresses = {} if whole else dict(self.addresses)
            servers: list[Server] = []
            for entry in told["targets"]:
                uid = entry["uid"]
                if not isinstance(uid, str):
                    raise TypeError(f"uid is {uid!r}")
                if uid not in numbers:
                    last += 1
                    numbers[uid] = last
                server, address = self._server(entry, numbers[uid])
                servers.append(server)
                addresses[server.id] = address
                if server.state is State.GONE:  # one that comes back, in this answer too, is another
                    del numbers[uid], addresses[server.id]
        except (ValueError, KeyError, TypeError, OverflowError, ConfigError) as error:
            raise DiscoveryError(f"not a list of backends: {error!r}") from None
        if self.rev is None and not whole:
            raise DiscoveryError("changes without the list that they apply to")
        if scope is None:
            if self.rev is not None and not whole and rev < self.rev:
                raise DiscoveryError(f"a watch that goes back, from {self.rev} to {rev}")
            self.rev = rev
        if not whole and not servers:
            return None
        self.addresses, self._last = addresses, last
        self._numbers = {uid: number for uid, number in numbers.items() if number in addresses}
        told_of = {server.id: addresses[server.id] for server in servers if server.id in addresses}
        return Listed(scope or (Scope.FULL if whole else Scope.CHANGES), tuple(servers), told_of)

    @staticmethod
    def _server(entry: dict[str, Any], number: int) -> tuple[Server, tuple[str, int]]:
        size, started = float(entry.get("capacity_hint", 1.0)), float(entry.get("boot_ms", 0.0))
        if not (0 <= size < math.inf and 0 <= started < math.inf):
            raise ValueError("capacity_hint or boot_ms is no figure")
        server = Server(number, str(entry.get("az", "")), str(entry.get("model", "")), int(entry.get("pod_group", 0)),
                        STATES[entry["state"]], size, started)
        host, port = address_of(entry.get("endpoint"), "endpoint")
        return server, (str(ip_address(host)), port)  # there is no DNS: a name would be looked up for seconds


class Discovery:
    """Follows the agent over a socket."""

    def __init__(self, address: tuple[str, int], follower: Follower, tell: Callable[[Listed], None],
                 note: Callable[[str, dict[str, Any]], None], timing: Timing = AGENT) -> None:
        self._timing, self._timeout_ms = timing, timing.timeout_ms
        self._address, self._follower, self._tell, self._note = address, follower, tell, note
        self._task: asyncio.Task[None] | None = None
        self._lost = False

    def start(self) -> None:
        """Ask from now on."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on; its revisions there may be others."""
        if address == self._address:
            return
        self._address = address
        self._follower.rev = None
        if self._task is not None:  # else it has not been started: it will ask at the new address
            self._task.cancel()
            self.start()

    def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        backoff = Backoff(self._timing.backoff_ms, self._timing.backoff_most_ms)
        while True:
            try:
                await self._follow(backoff)
            except Exception as error:  # whatever it is: a list that is followed no more stays as it was for ever
                expected = isinstance(error, OSError | DiscoveryError | Fault)
                if not expected:
                    self._note("fault", {"where": "discovery", "error": repr(error)})
                elif not self._lost:
                    self._note("discovery lost", {"error": repr(error)})
                if isinstance(error, TimeoutError) and self._follower.rev is None:  # not of a watch
                    self._timeout_ms = min(2 * self._timeout_ms, self._timing.timeout_most_ms)
                self._lost = True
                self._follower.rev = None  # a watch that broke is begun anew with the whole list
            await asyncio.sleep(backoff.failed() / 1000)

    async def _follow(self, backoff: Backoff) -> None:
        """Call over one connection until it breaks."""
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*self._address)
        host = f"{self._address[0]}:{self._address[1]}".encode()
        wire = Asking()
        try:
            while True:
                target = self._follower.target().encode()
                writer.write(wire.head(b"GET", target, [(b"host", host)]) + wire.end())
                wait_ms = self._timeout_ms if self._follower.rev is None else WAIT_MS + self._timeout_ms
                async with asyncio.timeout((wait_ms + WHOLE_MS) / 1000):
                    body = await self._answer(reader, wire, wait_ms)
                listed = self._follower.take(body)
                backoff.succeeded()
                self._timeout_ms = self._timing.timeout_ms
                if self._lost:
                    self._lost = False
                    self._note("discovery back", {"rev": self._follower.rev})
                if listed is not None:
                    self._tell(listed)
                if not wire.reusable:
                    return
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, wire: Asking, wait_ms: float) -> bytes:
        """One answer, whose first byte comes within `wait_ms` and which never stands still for longer than an answer
        may be late; raises TimeoutError."""
        body = bytearray()
        while True:
            event = wire.next()
            if event is None:
                async with asyncio.timeout(wait_ms / 1000):
                    wire.feed(await reader.read(READ_BYTES))
                wait_ms = self._timeout_ms
            elif isinstance(event, AnswerHead):
                if event.status != 200:
                    raise DiscoveryError(f"answered {event.status}")
            elif isinstance(event, Data):
                body += event.data
                if len(body) > ANSWER_BYTES:
                    raise DiscoveryError(f"an answer of over {ANSWER_BYTES} bytes")
            elif isinstance(event, End):
                return bytes(body)
            else:
                raise DiscoveryError("the connection ended")
