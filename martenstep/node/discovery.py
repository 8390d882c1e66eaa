"""The platform's discovery.

The whole list, then a watch that continues while each call follows the last answer at once.

`Follower` is the protocol without sockets; `Discovery` keeps a connection to the agent, which answers from what it has
been told and is silent while discovery is down.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import re
import select
from collections.abc import Callable
from dataclasses import dataclass, replace
from ipaddress import ip_address
from typing import Any

from martenstep.backoff import Backoff
from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.event_log import EventLog
from martenstep.node.config import ConfigError, address_of
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointState
from martenstep.policy.start_times import StartTimes
from martenstep.proxy.clock import now_ms, wall_clock_ms
from martenstep.proxy.http1.client_connection import Http1ClientConnection
from martenstep.proxy.http1.message_head import ProtocolError, ResponseHead
from martenstep.proxy.http1.message_reader import Data, EndOfMessage
from martenstep.proxy.transport import WatchedProtocol, WatchedReader, is_ready
from martenstep.tasks import start_supervised

PATH = "/catalog/members"
# The agent is on this machine and answers at once.  What it wrote to a connection that broke counts as told, and a
# drain binds within a second of that: a new connection that is silent as well must be given up well before.
TOLD_MS = 6000.0  # what discovery has and does not tell, though it could be reached, counts as told after this
QUEUE_MS = 2100.0  # a call that is taken is answered within this, if there is anything to tell
WHOLE_MS = 1500.0  # an answer that comes byte by byte must be whole within this of the time it was due
CONNECT_S = 0.2
EASED = 0.8  # of a wait that grew in a crowd is left after an answer that was not late
READ_BYTES = 65_536
_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
IPV4 = re.compile(rf"(?:{_OCTET}\.){{3}}{_OCTET}", re.ASCII)  # the usual address, as the library would write it
ANSWER_BYTES = 4 << 20  # of one answer: thousands of backends
REFUSED = (429, 503)
STATES = {"ready": EndpointState.UP, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}


@dataclass(frozen=True, slots=True)
class Timing:
    """How long answers are waited for, a watch is held and a call that failed is not made again, in milliseconds."""

    hold_ms: float  # so long nobody is served by the list as last had: what is not told yet may count as told
    timeout_ms: float  # an answer that is so late is not coming, ...
    still_ms: float  # ... nor is the rest of one that stands still for so long
    wait_ms: float  # a watch is held for this: so long a list can be stale where its connection falls silent
    backoff_ms: float  # back-off, from this ...
    backoff_most_ms: float  # ... to this
    wait_most_ms: float = 0.0  # a watch is held for up to this in a crowd
    spare_ms: float = 0.0  # a list younger than this may wait for its turn
    crowded_ms: float = math.inf  # an answer that is so late tells of a crowd


# Lists are pushed: the agent is on this machine and answers at once or, while discovery is down, not at all.
AGENT = Timing(250.0, 250.0, 250.0, 1500.0, 10.0, 250.0)
# Lists are asked for: one service of fixed capacity answers all front doors in turn, in up to 2 s, or refuses, and has
# room for a call of each only once in some seconds.  Who gives up sooner than its queue is long never has an answer,
# and what was given up counts as told.  A watch waits for its turn, too: one that is over before then says nothing, and
# what changed meanwhile counts as told.  A silent one is given up within the 6 s after which a change counts as told.
# Refused, a new list can wait for 6 s less its turn in the queue.
SERVICE = Timing(QUEUE_MS + 100.0, QUEUE_MS, 450.0, 3500.0, 50.0, 600.0, 20_000.0, 4000.0, 150.0)


class Pace:
    """How often one front door calls on discovery, learned from how its calls end.  No I/O.

    Each call is work for a service that all front doors share.  Where calls are refused or answers come late, watches
    are held for longer, and of those that are refused who has a new list comes again later: the next turn is for those
    whose list is old.  After an answer the next call follows at once, since what it would have told counts as told.
    """

    def __init__(self, timing: Timing, rng: random.Random | None = None) -> None:
        self._timing, self._rng = timing, rng or random.Random()
        self.wait_ms = timing.wait_ms  # of the next watch
        self._backoff = Backoff(timing.backoff_ms, timing.backoff_most_ms, self._rng)
        self._refused = False  # the call that is answered next, before

    def answered(self, late_ms: float | None) -> None:
        """A call was answered so long after it was due (none: a watch that had something to tell before)."""
        if late_ms is not None and late_ms > self._timing.crowded_ms:
            self._crowded()
        elif not self._refused:
            self.wait_ms = max(self.wait_ms * EASED, self._timing.wait_ms)
        self._backoff.succeeded()
        self._refused = False

    def refused(self, age_ms: float) -> float:
        """A call was refused to a list that is so old; gives how long to wait."""
        self._refused = True
        self._crowded()
        spare_ms = max(self._timing.spare_ms - age_ms, 0.0) / 2  # drawn, too: all were refused at the same moment
        return max(self.failed(), spare_ms * self._rng.uniform(0.5, 1.5))

    def failed(self) -> float:
        """A call broke or was given up; gives how long to wait."""
        return self._backoff.failed()

    def _crowded(self) -> None:
        self.wait_ms = max(min(2 * self.wait_ms, self._timing.wait_most_ms), self._timing.wait_ms)


class Freshness:
    """Until when the list may be gone by while discovery refuses calls.  No I/O; times in milliseconds.

    What it refuses to tell counts as told TOLD_MS after it had it.  Whoever is refused for longer knows of no server
    that it may still be sent to, nor does who starts with a list whose age nobody knows.  A watch that was taken and
    not answered while the queue is long has nothing new to tell.
    """

    def __init__(self) -> None:
        self._fresh = -math.inf  # when the last answer came
        self.refused = False  # by the last call since then: it could be reached, and told nothing
        self._asked: float | None = None  # when the watch was begun that is out

    @property
    def answered_at(self) -> float:
        """When the last answer came."""
        return self._fresh

    def age_ms(self, now: float) -> float:
        """How old the last answer is."""
        return now - self._fresh

    def asked(self, now: float, watch: bool) -> None:
        """A call is made."""
        self._asked = now if watch else None

    def answered(self, now: float) -> None:
        """And answered."""
        self._fresh, self.refused, self._asked = now, False, None

    def ended(self, refused: bool) -> None:
        """And refused, or broken, or given up: what a service has that cannot be reached does not count as told."""
        self.refused, self._asked = refused, None

    def doubtful(self, now: float) -> bool:
        """Whether what the list does not say may count as told."""
        held = self._asked is not None and now - self._asked >= QUEUE_MS
        return self.refused and not held and now - self._fresh >= TOLD_MS

    def next_at(self, now: float) -> float | None:
        """When that may change by time alone."""
        if not self.refused:
            return None
        times = [self._fresh + TOLD_MS] + ([self._asked + QUEUE_MS] if self._asked is not None else [])
        return min((at for at in times if at > now), default=None)


class DiscoveryError(Exception):
    """An answer that cannot be used."""


class RefusedError(DiscoveryError):
    """No answer for now: what was told before stands."""


@dataclass(frozen=True, slots=True)
class _Reading:
    """When a list is read, in milliseconds."""

    now: float  # on the gateway's clock
    wall_ms: float  # in Unix time
    unseen_ms: float  # since a list was complete that did not have what this one tells


@dataclass(slots=True)
class _Entry:
    """One backend of an answer that was read to its end: as a Server, without its number."""

    uid: str
    zone: str
    kind: str
    cell: int
    state: EndpointState
    size: float
    started_ms: float
    address: tuple[str, int]


class Follower:
    """The list as told so far.  Servers are numbered as they are met: a uid says nothing of its server."""

    def __init__(self, clock: Callable[[], float] = now_ms, wall_clock: Callable[[], float] = wall_clock_ms) -> None:
        """`clock` is the gateway's own, `wall_clock` Unix time as it is read now, both in milliseconds."""
        self._clock, self._wall_clock = clock, wall_clock
        self._starts = StartTimes()
        self._complete_at = -math.inf  # when discovery last told all that it had
        self.rev: int | None = None  # none: the whole list is to be asked for
        self._numbers: dict[str, int] = {}
        self._last = 0
        self.addresses: dict[int, tuple[str, int]] = {}
        self._servers: dict[int, Endpoint] = {}

    def whole(self) -> EndpointListEvent:
        """The list as told so far."""
        return EndpointListEvent(EndpointListScope.FULL, tuple(self._servers.values()), dict(self.addresses))

    def doubted(self) -> EndpointListEvent:
        """The same where any of them may be draining: none takes anything new."""
        return EndpointListEvent(
            EndpointListScope.DELTA,
            tuple(replace(server, state=EndpointState.DRAINING) for server in self._servers.values()),
            dict(self.addresses),
        )

    def target(self, wait_ms: float = 0.0) -> str:
        """What to ask next; a watch may wait for so long."""
        return PATH if self.rev is None else f"{PATH}?after={self.rev}&wait_ms={wait_ms:.0f}"

    def take(self, body: bytes) -> EndpointListEvent | None:
        """Take in an answer; gives what it tells, none where nothing changed.  Raises DiscoveryError."""
        try:
            told = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise DiscoveryError(f"not JSON: {error}") from None
        return self.told(told)

    def told(self, told: Any, scope: EndpointListScope | None = None) -> EndpointListEvent | None:
        """Take in a list that is read already; `scope` in place of its own, and then no watch goes on from it.

        Nothing of one that cannot be read to its end is taken in.
        """
        now = self._clock()
        reading = _Reading(now, self._wall_clock(), now - self._complete_at)
        try:
            rev, whole = int(told["rev"]), told["all"]
            if not isinstance(whole, bool):
                raise TypeError(f"all is {whole!r}")
            entries = [self._entry(entry, reading) for entry in told["targets"]]
        except (ValueError, KeyError, TypeError, OverflowError, ConfigError) as error:
            raise DiscoveryError(f"not a list of backends: {error!r}") from None
        if self.rev is None and not whole:
            raise DiscoveryError("changes without the list that they apply to")
        if scope is None:
            if self.rev is not None and not whole and rev < self.rev:
                raise DiscoveryError(f"a watch that goes back, from {self.rev} to {rev}")
            self.rev, self._complete_at = rev, now
        if not whole and not entries:
            return None
        servers = self._apply(entries, whole)
        self._starts.trim(self._numbers)
        told_of = {server.id: self.addresses[server.id] for server in servers if server.id in self.addresses}
        return EndpointListEvent(
            scope or (EndpointListScope.FULL if whole else EndpointListScope.DELTA), tuple(servers), told_of
        )

    def _apply(self, entries: list[_Entry], whole: bool) -> list[Endpoint]:
        """Take in entries that were all read.  The cost is that of the entries, not that of the fleet."""
        known = self._numbers
        if whole:
            self._numbers, self.addresses, self._servers = {}, {}, {}
        servers = []
        for entry in entries:
            number = self._numbers.get(entry.uid) or (known.pop(entry.uid, None) if whole else None)
            if number is None:
                self._last += 1
                number = self._last
            server = Endpoint(number, entry.zone, entry.kind, entry.cell, entry.state, entry.size, entry.started_ms)
            servers.append(server)
            if server.state is EndpointState.REMOVED:  # one that comes back, in this answer too, is another
                self._numbers.pop(entry.uid, None)
                self.addresses.pop(number, None)
                self._servers.pop(number, None)
            else:
                self._numbers[entry.uid], self.addresses[number] = number, entry.address
                self._servers[number] = server
        return servers

    def _entry(self, entry: dict[str, Any], reading: _Reading) -> _Entry:
        uid = entry["uid"]
        if not isinstance(uid, str):
            raise TypeError(f"uid is {uid!r}")
        size, reported = float(entry.get("capacity_hint", 1.0)), float(entry.get("boot_ms", 0.0))
        if not (0 <= size < math.inf and 0 <= reported < math.inf):
            raise ValueError("capacity_hint or boot_ms is no figure")
        started = self._starts.local_start(uid, reported, reading.wall_ms - reported, reading.now, reading.unseen_ms)
        host, port = address_of(entry.get("endpoint"), "endpoint")
        if IPV4.fullmatch(host) is None:
            host = str(ip_address(host))  # there is no DNS: a name would be looked up for seconds
        return _Entry(
            uid,
            str(entry.get("az", "")),
            str(entry.get("model", "")),
            int(entry.get("pod_group", 0)),
            STATES[entry["state"]],
            size,
            started,
            (host, port),
        )


class Discovery:
    """Follows the agent over a socket."""

    def __init__(
        self,
        address: tuple[str, int],
        follower: Follower,
        tell: Callable[[EndpointListEvent], None],
        log_event: EventLog,
        timing: Timing = AGENT,
    ) -> None:
        self._timing, self._pace = timing, Pace(timing)
        self._address, self._follower, self._tell, self._log_event = address, follower, tell, log_event
        self._task: asyncio.Task[None] | None = None
        self._lost = False
        self._connection: tuple[WatchedReader, asyncio.StreamWriter] | None = None
        self._ask_at_once = False  # the next call waits for nothing new
        self._freshness, self._doubted = Freshness(), False
        self._minding: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Ask from now on."""
        self._task = start_supervised(self._run, self._failed)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on; its revisions there may be others."""
        if address == self._address:
            return
        self._address, self._pace = address, Pace(self._timing)
        self._follower.rev = None
        if self._task is not None:  # else it has not been started: it will ask at the new address
            self._task.cancel()
            self.start()

    @property
    def unread(self) -> bool:
        """Whether bytes of an answer have come that are not taken in yet, here or in the kernel."""
        if self._connection is None:
            return False
        reader, writer = self._connection
        return bool(reader.buffered) or is_ready(writer, select.POLLIN)

    def ask_anew(self) -> None:
        """Ask at once, in place of the call that is out.

        Its answer may have been given up while the process did not run, and what it told counts as told.
        """
        if self._task is not None:
            self._task.cancel()
            self._ask_at_once = True
            self.start()

    @property
    def answered_at(self) -> float:
        """When discovery last answered, on the gateway's clock."""
        return self._freshness.answered_at

    @property
    def refused(self) -> bool:
        """Whether it could be reached at the last call, and told nothing."""
        return self._freshness.refused

    def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()
        if self._minding is not None:
            self._minding.cancel()

    async def _run(self) -> None:
        while True:
            gap_ms = self._timing.backoff_ms
            try:
                await self._follow()
            except RefusedError as error:
                self._gone(error, refused=True)
                gap_ms = self._pace.refused(self._freshness.age_ms(now_ms()))
            except Exception as error:  # whatever it is: a list that is followed no more stays as it was for ever
                if not isinstance(error, OSError | DiscoveryError | ProtocolError):
                    self._failed("discovery", error)
                    self._lost = True
                self._gone(error)
                gap_ms = self._pace.failed()
                # Of a connection that broke the last answer stands: what changed since is asked for, at once, and the
                # whole list only where that cannot be told.
                self._ask_at_once = isinstance(error, OSError)
                if not self._ask_at_once:
                    self._follower.rev = None
            await asyncio.sleep(gap_ms / 1000)

    def _failed(self, where: str, error: BaseException) -> None:
        self._log_event("fault", {"where": where, "error": repr(error)})

    def _gone(self, error: Exception, refused: bool = False) -> None:
        if not self._lost:
            self._log_event("discovery lost", {"error": repr(error)})
        self._lost = True
        self._freshness.ended(refused)
        self._mind()

    def _mind(self) -> None:
        """Hold the list against what may count as told, now and when that may change."""
        now = now_ms()
        doubted = self._freshness.doubtful(now)
        if doubted is not self._doubted:
            self._log_event("list in doubt" if doubted else "list no longer in doubt", {})
            self._tell(self._follower.doubted() if doubted else self._follower.whole())
            self._doubted = doubted
        if self._minding is not None:
            self._minding.cancel()
        at = self._freshness.next_at(now)
        self._minding = (
            None if at is None else asyncio.get_running_loop().call_later((at - now) / 1000 + 0.001, self._mind)
        )

    async def _follow(self) -> None:
        """Call over one connection until it breaks."""
        loop = asyncio.get_running_loop()
        reader = WatchedReader()
        async with asyncio.timeout(CONNECT_S):
            transport, protocol = await loop.create_connection(lambda: WatchedProtocol(reader), *self._address)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        self._connection = reader, writer
        host = f"{self._address[0]}:{self._address[1]}".encode()
        wire, pace = Http1ClientConnection(), self._pace
        try:
            while True:
                watch, begun = self._follower.rev is not None, now_ms()
                due_ms = pace.wait_ms if watch and not self._ask_at_once else 0.0
                self._ask_at_once = False
                writer.write(
                    wire.encode_head(b"GET", self._follower.target(due_ms).encode(), [(b"host", host)])
                    + wire.encode_end()
                )
                self._freshness.asked(begun, watch)
                self._mind()
                body = await self._answer(reader, wire, due_ms + self._timing.timeout_ms)
                listed = self._follower.take(body)
                self._freshness.answered(now_ms())
                late_ms = now_ms() - begun - due_ms
                pace.answered(late_ms if late_ms >= 0 else None)
                if self._lost:
                    self._lost = False
                    self._log_event("discovery back", {"rev": self._follower.rev})
                if listed is not None and not self._doubted:
                    self._tell(listed)
                self._mind()  # which tells all of it, if it was in doubt
                if not wire.reusable:
                    return
        finally:
            self._connection = None
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, wire: Http1ClientConnection, wait_ms: float) -> bytes:
        """One answer, whose first byte comes within `wait_ms`.

        Which never stands still for longer than `still_ms` and is whole within WHOLE_MS more; raises TimeoutError.
        """
        body = bytearray()
        async with asyncio.timeout((wait_ms + WHOLE_MS) / 1000):
            while True:
                event = wire.next_event()
                if event is None:
                    async with asyncio.timeout(wait_ms / 1000):
                        wire.feed(await reader.read(READ_BYTES))
                    wait_ms = self._timing.still_ms
                elif isinstance(event, ResponseHead):
                    if event.status in REFUSED:
                        raise RefusedError(f"answered {event.status}")
                    if event.status != 200:
                        raise DiscoveryError(f"answered {event.status}")
                elif isinstance(event, Data):
                    body += event.data
                    if len(body) > ANSWER_BYTES:
                        raise DiscoveryError(f"an answer of over {ANSWER_BYTES} bytes")
                elif isinstance(event, EndOfMessage):
                    return bytes(body)
                else:
                    raise ConnectionResetError("the connection ended")
