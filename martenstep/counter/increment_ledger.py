"""The books of a fleet as one door has them: its own, in which it promises tries, and those of others that it leads.

**Own.**  A door begins its book alone, under a name drawn for it, and the book is copied to further doors as any group
is (`replication.placing`, the owner first).  A try counts as promised once the group has it durably and is whole; while
it is not, as in the first moments, tries are *thin*: told so, and kept by the door's own journal alone.

**Others'.**  Whoever leads a book delivers what is pending in it to the counter: the owner, usually, and when it is
lost one of the other holders, which the group's election chooses and fences.  Two that both believe they lead do no
harm: the counter knows a try by its request.  Once the owner is lost for good the book is sealed; an owner that comes
back finds it so and begins another.  A sealed book with nothing left in it is let go.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable

import xxhash

from martenstep.counter.pending_increments import (
    Acknowledge,
    AttemptRecord,
    FenceOwner,
    PendingIncrements,
    SetOwner,
    encode_entry,
    split_acknowledged,
    split_pending,
)
from martenstep.event_log import EventLog
from martenstep.replication.replica import Host, InDoubtError, NotLeaderError, now_ms
from martenstep.replication.replica_manager import Keeper
from martenstep.tasks import Tasks

GROUP_PREFIX = "book-"
MAINTENANCE_INTERVAL_S = 0.2
MAX_LEADERLESS_MS = (
    10_000.0  # an own book that nobody leads for so long: another is begun, that one is left to the others
)
MAX_DELIVERING = 2000  # of one book at a time, so that a large one does not fill a client's line


def is_ledger_group(group: str) -> bool:
    """Whether a group is a door's book."""
    return group.startswith(GROUP_PREFIX)


def new_group_name(door: str) -> str:
    """A new book's: never one that was there before, whatever disk is put back."""
    return f"{GROUP_PREFIX}{xxhash.xxh32_hexdigest(door.encode())}-{secrets.token_hex(6)}"


class IncrementLedger:
    """One door's part in them."""

    def __init__(self, me: str, keeper: Keeper, deliver: Callable[[AttemptRecord], bool], log_event: EventLog) -> None:
        """`deliver` hands a try to the counter's client, False where that has no room; `recorded` is to be told when
        the counter has it."""
        self.instance, self._keeper, self._deliver, self._log_event = me, keeper, deliver, log_event
        self.own_group = ""
        self._queue: list[tuple[AttemptRecord, asyncio.Future[bool]]] = []
        self._delivering: set[str] = set()
        self._recorded: list[str] = []
        self._tending: asyncio.Task[None] | None = None
        self._tasks = Tasks("books", log_event)
        self._led_at = now_ms()
        self.counts: Counter[str] = Counter()

    async def start(self) -> None:
        """Take up this door's book, or begin one."""
        self.own_group = self._keeper.alone()
        if not self.own_group or self._keeper.host(self.own_group) is None:
            await self._another()
        self._tending = asyncio.get_running_loop().create_task(self._tend())

    async def stop(self) -> None:
        """What is not answered is in doubt."""
        if self._tending is not None:
            self._tending.cancel()
        self._tasks.cancel()
        self._told(self._queue, False)
        self._queue = []

    async def _another(self) -> None:
        self.own_group = new_group_name(self.instance)
        if await self._keeper.begin_alone(self.own_group) is None:
            self._log_event("no book", {"group": self.own_group})

    # Promising.

    def replicate(self, made: AttemptRecord) -> asyncio.Future[bool]:
        """Done once the try is in the book, durably; its result is whether it outlives this machine."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        self._delivering.add(made.request_id)  # the door's own journal delivers it already
        if not self._queue:
            loop.call_soon(self._put)
        self._queue.append((made, future))
        return future

    def _put(self) -> None:
        waiting, self._queue = self._queue, []
        by_request = {made.request_id: (made, future) for made, future in waiting}
        for told in split_pending([made for made, _ in waiting]):
            self._tasks.spawn(
                self._proposed(
                    told.attempts, encode_entry(told), [by_request[made.request_id] for made in told.attempts]
                )
            )

    async def _proposed(
        self, tries: tuple[AttemptRecord, ...], data: bytes, waiting: list[tuple[AttemptRecord, asyncio.Future[bool]]]
    ) -> None:
        host = self._keeper.host(self.own_group)
        stands = False
        try:
            if host is not None:
                stands = bool(await host.propose(data))
                if not stands:
                    self.counts["sealed"] += len(tries)
        except (NotLeaderError, InDoubtError, ValueError):
            pass
        strong = stands and host is not None and len(host.copy.config.voters) >= self._keeper.holding.count
        self.counts["promised" if strong else "thin"] += len(tries)
        self._told(waiting, strong)

    @staticmethod
    def _told(waiting: list[tuple[AttemptRecord, asyncio.Future[bool]]], strong: bool) -> None:
        for _, future in waiting:
            if not future.done():
                future.set_result(strong)

    def on_acknowledged(self, request: str) -> None:
        """The counter has a try."""
        self._recorded.append(request)

    # Delivering.

    def led_groups(self) -> list[tuple[Host, PendingIncrements]]:
        """The books that this door leads."""
        made = []
        for group in self._keeper.groups():
            host = self._keeper.host(group) if is_ledger_group(group) else None
            if host is not None and isinstance(host.machine, PendingIncrements) and host.copy.may_read(now_ms()):
                made.append((host, host.machine))
        return made

    async def _tend(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            try:
                await self._look()
            except Exception as error:  # one book's trouble must not end the care for all others
                self._log_event("fault", {"where": "books", "error": repr(error)})

    async def _look(self) -> None:
        recorded, self._recorded = self._recorded, []
        self._delivering.difference_update(recorded)
        gone = set(recorded)
        for host, book in self.led_groups():
            over = [request for request in recorded if request in book.pending]
            for told in split_acknowledged(over):
                self._tasks.spawn(self._entered(host, told))
            gone.difference_update(over)
            if not book.owner and host.group == self.own_group:
                self._tasks.spawn(self._entered(host, SetOwner(self.instance)))
            self._hand_on(book, set(recorded))
            self._end(host, book)
        # Of books that are led elsewhere by now, or were not led yet: they stay until whoever leads finds them known.
        own = self._keeper.host(self.own_group)
        if own is not None and own.copy.leader is not None:
            self._led_at = now_ms()
        if (
            own is None
            or now_ms() - self._led_at > MAX_LEADERLESS_MS
            or (isinstance(own.machine, PendingIncrements) and own.machine.fenced)
        ):
            self._log_event("book ends", {"group": self.own_group})
            self._led_at = now_ms()
            if own is not None and len(own.copy.config.voters) < self._keeper.holding.count:
                # It never was whole, so it promised nothing beyond this door's own journal; of two copies one was lost.
                self._keeper.abandon(self.own_group)
            await self._another()

    def _hand_on(self, book: PendingIncrements, recorded: set[str]) -> None:
        room = MAX_DELIVERING
        for made in list(book.pending.values()):
            if room <= 0:
                return
            room -= 1
            if made.request_id not in self._delivering and made.request_id not in recorded:
                if not self._deliver(made):
                    return
                self._delivering.add(made.request_id)
                self.counts["delivered"] += 1

    def _end(self, host: Host, book: PendingIncrements) -> None:
        """Of a book whose owner is lost for good."""
        if book.owner and book.owner != self.instance and book.owner in self._keeper.lost_places():
            if not book.fenced:
                self._log_event("book sealed", {"group": host.group, "owner": book.owner, "pending": len(book.pending)})
                self._tasks.spawn(self._entered(host, FenceOwner()))
            elif not book.pending:
                self._keeper.dissolve(host.group)

    async def _entered(self, host: Host, told: SetOwner | Acknowledge | FenceOwner) -> None:
        try:
            await host.propose(encode_entry(told))
        except (NotLeaderError, InDoubtError):
            if isinstance(told, Acknowledge):  # whoever leads next delivers them once more, and finds them known
                self.counts["done_in_doubt"] += len(told.request_ids)

    def gauges(self) -> dict[str, float]:
        """For metrics."""
        led = self.led_groups()
        own = self._keeper.host(self.own_group)
        return {
            "books_led": len(led),
            "books_pending": sum(len(book.pending) for _, book in led),
            "books_own_copies": len(own.copy.config.voters) if own is not None else 0,
        }
