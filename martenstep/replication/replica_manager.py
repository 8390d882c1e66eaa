"""All copies of one machine: its groups' folders, who founds them, and the steps by which groups are made whole.

Groups begin at the founders that the settings name by their disks, once: a disk that was emptied is not a founder's any
more, and what its folders held is never begun again under the old identities.  From then on each group's leader moves
copies to where they should be (`placing`): it invites a place, takes the copy that is begun there in as a learner, lets
it count once it has learned, and takes a lost one out after.

What a place says (`messages.Word`) only saves time, but for one thing: that a copy is out, and is let go with its disk.
That rests on the index of a committed configuration that does not have it.  A copy is never taken in again once it was
out (a place that held one begins another), and counts only once it holds the entry that took it in, so an older word,
from whatever buffer, cannot let go of a copy that counts.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import shutil
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from martenstep.event_log import EventLog
from martenstep.replication.messages import (
    AmIIn,
    Config,
    Invite,
    Invited,
    NotHere,
    Question,
    Reply,
    Word,
    YouAreOut,
)
from martenstep.replication.placement import Away, Change, HandOver, learning, next_step, wanted, without
from martenstep.replication.placement import Invite as InviteStep
from martenstep.replication.raft import Role, Settings
from martenstep.replication.replica import Host, InDoubtError, Machine, NotLeaderError, now_ms
from martenstep.replication.replica_storage import Store, StoreError
from martenstep.replication.transport import Links
from martenstep.storage.files import Disk, LockedError
from martenstep.tasks import Tasks

TEND_S = 0.25  # between two looks at each group
MOST_FILLING = 2  # groups led here that fill a copy at a time: filling yields to serving
MOST_OVER = 200
ANSWER_MS = 3000.0  # a place that was invited and says nothing by then does not hold copies
AGAIN_MS = 60_000.0  # and is asked again after this
UNHEARD_MS = 3000.0  # a copy that hears no leader for so long asks whether it is out
NEVER_MS = 60_000.0  # a copy that was begun and never taken in is let go after this
HAND_AGAIN_MS = 30_000.0  # between two times that a group is handed to who should lead it
ASK_S, ASK_AGAIN_S = 1.0, 0.1  # for one place's answer; before all are asked again
NEAR = 1000  # entries that a copy may be behind and still count as caught up
FINISH_S = 2.0  # at a stop, for copies that begin or are let go
HAND_OVER_S = 0.3  # at a stop, for others to lead
LAST = 1 << 62  # index beyond any
DISK, GROUPS = "disk.json", "groups"
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,63}")  # of a group: it names a folder


class UnansweredError(Exception):
    """Nobody answered a question in time."""


class KeeperError(Exception):
    """What cannot be held as the settings want it: why."""


@dataclass(frozen=True, slots=True)
class Place:
    """A machine of the fleet, as the membership holds it."""

    name: str
    zone: str
    present: bool


@dataclass(frozen=True, slots=True)
class Founder:
    """Who holds the groups first, and whose disk that must be."""

    name: str
    disk: int


@dataclass(frozen=True, slots=True)
class Holding:
    """What the settings ask."""

    groups: tuple[str, ...]
    founders: tuple[Founder, ...]
    count: int = 3  # copies of each group
    final_ms: float = 600_000.0  # away for so long: lost for good


class DiskIdentity(msgspec.Struct):
    """Whose disk this is, and which groups began on it."""

    id: int
    founded: list[str] = []
    alone: str = ""  # the latest group that was begun here alone
    over: list[str] = []  # groups that were dissolved here: whoever still asks of one is out


def copy_of(disk: int, group: str) -> int:
    """The identity of the copy of a group that a founder's disk begins with."""
    return xxhash.xxh3_64_intdigest(f"{disk}\0{group}".encode()) >> 11 or 1


def disk_identity(disk: Disk) -> DiskIdentity:
    """Whose disk a folder is; an empty one becomes a new one's.  Raises KeeperError, OSError."""
    if DISK in disk.names():
        try:
            return msgspec.json.decode(disk.read(DISK), type=DiskIdentity)
        except msgspec.DecodeError as error:
            raise KeeperError(f"{DISK}: {error}") from None
    made = DiskIdentity(random.SystemRandom().getrandbits(53))
    disk.write_aside(DISK, msgspec.json.encode(made))
    return made


class _Held:
    """One copy, with its folders."""

    def __init__(self, host: Host, disks: tuple[Disk, Disk], folder: Path) -> None:
        self.host, self.folder = host, folder
        self._disks = disks
        self.unheard: float | None = None  # since when it hears no leader

    async def stop(self) -> None:
        await self.host.stop()
        self.host.store.close()
        for disk in self._disks:
            disk.close()


class Keeper:
    """One machine's copies."""

    def __init__(
        self,
        me: str,
        folder: Path,
        witness: Path,
        holding: Holding,
        machine: Callable[[str], Machine],
        places: Callable[[], Iterable[Place]],
        log_event: EventLog,
        settings: Settings | None = None,
        also: Callable[[str], bool] = lambda group: False,
        first: Callable[[str], str | None] = lambda group: None,
    ) -> None:
        """`machine` makes the state of a group from its name; `places` are those that the membership knows.  `also`
        tells which groups are held beside those of the settings, each begun by one place alone; `first` tells at which
        place a group should be in any case, and be led."""
        self.me, self.holding = me, holding
        self._also, self._prefers = also, first
        self._folder, self._witness = folder, witness
        self._machine, self._places, self._log_event = machine, places, log_event
        self._settings = settings or Settings()
        self.links: Links | None = None
        self._disk: Disk | None = None
        self._identity = DiskIdentity(0)
        self._handed: dict[str, float] = {}  # when a group was last handed to who should lead it
        self._dissolving: set[str] = set()
        self._held: dict[str, _Held] = {}
        self._opened = False  # before that nobody is told that a copy is not here
        self._tending: asyncio.Task[None] | None = None
        self._away = Away(holding.final_ms)
        self._gone: dict[str, set[int]] = {}
        self._asked: dict[str, tuple[str, float]] = {}  # by group: the place that is invited, and since when
        self._unwilling: dict[str, float] = {}  # places that hold no copies: until when they are not asked
        self._told: dict[tuple[str, int], float] = {}
        self._beginning: set[str] = set()
        self._tasks = Tasks("copies", log_event)
        self.answers: dict[str, Callable[[Host, bytes], Awaitable[bytes]]] = {}  # who answers questions, by group
        self._questions: dict[int, asyncio.Future[Reply]] = {}
        self.counts: Counter[str] = Counter()

    # Begin and end.

    async def start(self, links: Links) -> None:
        """Open what is held here and found what is to be founded.  Raises KeeperError, LockedError, OSError."""
        self.links = links
        self._folder.mkdir(parents=True, exist_ok=True)
        self._disk = Disk(self._folder)
        self._identity = disk_identity(self._disk)
        kept = self._folder / GROUPS
        kept.mkdir(exist_ok=True)
        for path in sorted(kept.iterdir()):
            if NAME.fullmatch(path.name):
                await self._open(path.name, None)
        await self._found()
        self._opened = True
        self._tending = asyncio.get_running_loop().create_task(self._tend())

    async def _found(self) -> None:
        identity = self._identity
        mine = next((one for one in self.holding.founders if one.name == self.me), None)
        if mine is None:
            return
        if mine.disk != identity.id:
            self._log_event("not a founder", {"disk": identity.id, "settings": mine.disk})
            return
        missing = [group for group in self.holding.groups if group not in identity.founded]
        for group in missing:
            await self._open(group, copy_of(identity.id, group))
        if missing:
            # Danger: written before the folders, a crash between would leave a founder without its copy; after, it is
            # begun twice with the same identity, which an unproven copy bears.
            identity.founded += missing
            self._keep_identity()

    def _keep_identity(self) -> None:
        assert self._disk is not None
        self._disk.write_aside(DISK, msgspec.json.encode(self._identity))

    def _first(self, group: str, copy: int) -> Config:
        """A founded group's first configuration; nobody is in that of a copy that is begun later."""
        if group not in self.holding.groups:
            # Danger: only the copy that began the group may take itself for all of it.
            began = copy == copy_of(self._identity.id, group)
            return Config((copy,), (), ((copy, self.me),)) if began else Config((0,))
        copies = tuple((copy_of(one.disk, group), one.name) for one in self.holding.founders)
        return Config(tuple(copy for copy, _ in copies), (), copies)

    async def _open(self, group: str, founding: int | None) -> Host | None:
        """Run a copy from its folder, made where there is none; None where it cannot be opened, and is set aside."""
        folder, witness = self._folder / GROUPS / group, self._witness / group
        disks: list[Disk] = []
        try:
            machine = self._machine(group)
            disks = [Disk(folder), Disk(witness)]
            store = await asyncio.to_thread(
                Store, disks[0], disks[1], random.SystemRandom(), founding, group not in self.holding.groups
            )
            first = self._first(group, store.id)
            host = Host(
                group,
                store,
                first if store.id in first.voters else Config((0,)),
                machine,
                self._links(),
                self._log_event,
                self._settings,
            )
        except (StoreError, LockedError, OSError, ValueError) as error:
            for disk in disks:
                disk.close()
            self._log_event("copy not opened", {"group": group, "error": str(error)})
            if isinstance(error, StoreError):
                # What is damaged is kept for staff; another copy is begun here, and filled by the others.
                folder.rename(folder.with_name(f"{group}.damaged.{time.time_ns()}"))
            return None
        self._held[group] = _Held(host, (disks[0], disks[1]), folder)
        host.start()
        self._log_event(
            "copy begins", {"group": group, "copy": store.id, "proven": store.proven, "entries": host.copy.last_index}
        )
        return host

    def _links(self) -> Links:
        assert self.links is not None
        return self.links

    async def stop(self) -> None:
        """Let others lead, then end all copies."""
        if self._tending is not None:
            self._tending.cancel()
        if any([held.host.hand_over() for held in self._held.values()]):
            await asyncio.sleep(HAND_OVER_S)
        # Danger: a copy that is being let go, cut off in the middle, would keep its folders' locks.
        await self._tasks.finish(FINISH_S)
        self._opened = False
        held, self._held = list(self._held.values()), {}
        await asyncio.gather(*(one.stop() for one in held))
        if self._disk is not None:
            self._disk.close()
            self._disk = None

    def groups(self) -> list[str]:
        """Those of which a copy is here."""
        return list(self._held)

    def alone(self) -> str:
        """The latest group that this place began alone; empty where there is none."""
        return self._identity.alone

    async def begin_alone(self, group: str) -> Host | None:
        """Begin a group whose name was never used, of this place's copy alone; others are taken in as in any group."""
        # The name first: a crash between leaves a name without a folder, and another name is drawn at the next start.
        self._identity.alone = group
        await asyncio.to_thread(self._keep_identity)
        return await self._open(group, copy_of(self._identity.id, group))

    def lost_places(self) -> set[str]:
        """Away for so long that they count as lost."""
        return self._away.lost(now_ms())

    def dissolve(self, group: str) -> None:
        """Nobody needs a group any more that is led here: its copies are taken out one by one, this one last."""
        self._dissolving.add(group)

    def _dissolved(self, host: Host) -> None:
        copy = host.copy
        _, present = self._sight()
        # Those that are not there first.  Danger: the last two would be one that is there and one that is not.
        others = sorted(
            (one for one in copy.config.everyone if one != copy.me), key=lambda one: host.home(one) in present
        )
        if others:
            if copy.settled:
                host.change(without(copy.config, others[0]))
        else:
            self._dissolving.discard(host.group)
            self.abandon(host.group)

    def abandon(self, group: str) -> None:
        """Let go of the copy that is here, and tell whoever asks that the group is over.  Danger: what only this copy
        holds is lost; it is for groups that promise nothing any more."""
        self._identity.over = [*self._identity.over[1 - MOST_OVER :], group]
        self._keep_identity()
        self._let_go(group, "nobody needs it any more")

    def host(self, group: str) -> Host | None:
        """The copy of a group that is here."""
        held = self._held.get(group)
        return held.host if held is not None else None

    # Making whole.

    def _sight(self) -> tuple[dict[str, str], set[str]]:
        """Zones of all places that are known, and those that are there; this one always is."""
        places = list(self._places())
        zones = {place.name: place.zone for place in places}
        return zones, {place.name for place in places if place.present} | {self.me}

    def wanted(self, group: str) -> list[str]:
        """Where a group should be, as this machine sees it, whoever holds it."""
        zones, present = self._sight()
        host = self.host(group)
        config = host.copy.config if host is not None else Config(())
        return wanted(
            group, config, zones, present, self._away.lost(now_ms()), self.holding.count, self._prefers(group)
        )

    async def _tend(self) -> None:
        while True:
            await asyncio.sleep(TEND_S)
            try:
                self.tend(now_ms())
            except Exception as error:  # one group's trouble must not end the care for all others
                self._log_event("fault", {"where": "copies", "error": repr(error)})

    def tend(self, now: float) -> None:
        """Look at each group once."""
        zones, present = self._sight()
        homes = {place for held in self._held.values() for _, place in held.host.copy.config.homes}
        homes |= {first for group in self._held if (first := self._prefers(group)) is not None}
        self._away.look(now, present, homes)
        self._unwilling = {place: until for place, until in self._unwilling.items() if until > now}
        lost, willing = self._away.lost(now), present - self._unwilling.keys()
        leading = [held.host for held in self._held.values() if held.host.copy.role is Role.LEADER]
        filling = sum(bool(host.copy.config.learners) for host in leading)
        for host in leading:
            config = host.copy.config
            if host.group in self._gone:
                self._gone[host.group] &= set(config.everyone)
            if host.group in self._dissolving:
                self._dissolved(host)
                continue
            first = self._prefers(host.group)
            places = wanted(host.group, config, zones, willing, lost, self.holding.count, first)
            step = next_step(
                config,
                host.copy.me,
                places,
                self._gone.get(host.group, ()),
                willing,
                self.holding.count,
                filling < MOST_FILLING,
                first if self._may_hand(now, host) else None,
            )
            if isinstance(step, InviteStep):
                filling += 1
                self._invite(now, host, step.place)
            elif isinstance(step, HandOver):
                self._handed[host.group] = now
                host.hand_over(step.to)
            elif isinstance(step, Change) and host.change(step.config):
                self.counts["changes"] += 1
                self._log_event(
                    "copies change",
                    {
                        "group": host.group,
                        "why": step.why,
                        "voters": step.config.voters,
                        "learners": step.config.learners,
                    },
                )
        for held in list(self._held.values()):
            self._ask_if_out(now, held)

    def _may_hand(self, now: float, host: Host) -> bool:
        """Not again and again to one that does not take over."""
        return now - self._handed.get(host.group, -1e12) > HAND_AGAIN_MS

    def _invite(self, now: float, host: Host, place: str) -> None:
        group, copy = host.group, host.copy
        if not copy.settled:
            return
        asked, since = self._asked.get(group, ("", now))
        if asked != place:
            self._asked[group] = place, now
        elif now - since > ANSWER_MS:
            self._unwilling[place] = now + AGAIN_MS
            del self._asked[group]
            self._log_event("place holds no copies", {"group": group, "place": place})
            return
        self._links().say(place, group, Invite(copy.config_index, copy.config.everyone))

    def _ask_if_out(self, now: float, held: _Held) -> None:
        """A copy that was taken out may never have heard of it."""
        host = held.host
        copy = host.copy
        # Not by whether it knows a leader: a learner that is dropped never stands, and would believe in the last one.
        if copy.halted or copy.role is Role.LEADER or now - copy.heard_at < UNHEARD_MS:
            held.unheard = None
            return
        if held.unheard is None:
            held.unheard = now
        if not copy.last_index and copy.me not in copy.config.voters and now - held.unheard > NEVER_MS:
            self._let_go(host.group, "it was never taken in")
            return
        for place in ({place for _, place in copy.config.homes} | host.heard) - {self.me}:
            self._links().say(place, host.group, AmIIn(copy.me))

    # What places say.

    def word(self, place: str, group: str, copy: int, word: Word) -> None:
        """Take in what another place says of a group."""
        host = self.host(group)
        if isinstance(word, Question):
            self._tasks.spawn(self._reply(place, group, word))
        elif isinstance(word, Reply):
            waiting = self._questions.get(word.nonce)
            if waiting is not None and not waiting.done():
                waiting.set_result(word)
        elif isinstance(word, Invite):
            self._invited(place, group, word)
        elif isinstance(word, YouAreOut):
            if host is not None and host.copy.me == word.copy and host.copy.config_index < word.index:
                self._let_go(group, f"{place} leads the group without it")
        elif host is None:
            if isinstance(word, AmIIn) and group in self._identity.over:
                self._links().say(place, group, YouAreOut(word.copy, LAST))
        elif isinstance(word, AmIIn):
            known = host.copy
            if known.may_read(now_ms()) and known.settled and word.copy not in known.config.everyone:
                self._links().say(place, group, YouAreOut(word.copy, known.config_index))
        elif isinstance(word, NotHere):
            if (word.copy, place) in host.copy.config.homes:
                self._gone.setdefault(group, set()).add(word.copy)
        elif self._asked.get(group, ("", 0.0))[0] == place:
            del self._asked[group]
            config = host.copy.config
            if word.copy not in config.everyone and not config.learners:
                self._gone.get(group, set()).discard(word.copy)
                host.change(learning(config, word.copy, place))

    # Questions to whoever leads a group.

    async def ask(self, group: str, data: bytes, within_s: float) -> bytes:
        """The answer of a group's leader, wherever that is; raises UnansweredError where none came in time.  Whether it
        was acted on is then not known."""
        likely = ""
        try:
            async with asyncio.timeout(within_s):
                while True:
                    _, present = self._sight()
                    places = [likely] if likely else [*self.wanted(group), *sorted(present)]
                    for place in dict.fromkeys(places):
                        reply = await self._ask_at(place, group, data)
                        if reply is not None and reply.data is not None:
                            return reply.data
                        if reply is not None and reply.leader and reply.leader != place:
                            likely = reply.leader
                            break
                        likely = ""
                    else:
                        await asyncio.sleep(ASK_AGAIN_S)
        except TimeoutError:
            raise UnansweredError(f"nobody who leads {group} answered within {within_s:g} s") from None

    async def _ask_at(self, place: str, group: str, data: bytes) -> Reply | None:
        if place == self.me:
            return await self._answered(group, Question(0, data))
        nonce = random.getrandbits(60)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._questions[nonce] = future
        self._links().say(place, group, Question(nonce, data))
        try:
            async with asyncio.timeout(ASK_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self._questions.pop(nonce, None)

    async def _answered(self, group: str, asked: Question) -> Reply:
        host, answer = self.host(group), self.answers.get(group)
        if host is None or answer is None:
            return Reply(asked.nonce)
        try:
            return Reply(asked.nonce, await answer(host, asked.data))
        except (NotLeaderError, InDoubtError):
            leader = host.copy.leader
            return Reply(asked.nonce, None, host.home(leader) if leader is not None else None)

    async def _reply(self, place: str, group: str, asked: Question) -> None:
        self._links().say(place, group, await self._answered(group, asked))

    def led(self) -> list[tuple[str, list[str], bool]]:
        """The groups that are led here: where their copies are, and whether they are whole and near."""
        _, present = self._sight()
        made = []
        for held in self._held.values():
            host = held.host
            config = host.copy.config
            if host.copy.role is Role.LEADER:
                places = [host.home(one) or "" for one in config.voters]
                lags = host.copy.lags()
                whole = (
                    len(config.voters) >= self.holding.count
                    and not config.learners
                    and all(place in present for place in places)
                    and not self._gone.get(host.group, set()) & set(config.voters)
                    and all(lags.get(one, 0) < NEAR for one in config.voters)
                )
                made.append((host.group, places, whole))
        return made

    def _invited(self, place: str, group: str, told: Invite) -> None:
        host = self.host(group)
        if host is not None:
            copy = host.copy
            if copy.me not in told.everyone and copy.last_index:
                if copy.config_index < told.index:
                    self._let_go(group, f"{place} leads the group without it, and asks for another")
                return
            self._links().say(place, group, Invited(host.copy.me))
        elif self._opened and (group in self.holding.groups or self._also(group)) and group not in self._beginning:
            self._beginning.add(group)
            self._tasks.spawn(self._begin(place, group))

    async def _begin(self, place: str, group: str) -> None:
        try:
            host = await self._open(group, None)
        finally:
            self._beginning.discard(group)
        if host is not None:
            self.counts["begun"] += 1
            self._links().say(place, group, Invited(host.copy.me))

    def nobody(self, place: str, group: str, source: int, target: int) -> None:
        """A message came for a copy that is not here."""
        now = now_ms()
        if not self._opened or group in self._beginning or self._told.get((group, target), -1e9) > now - 1000.0:
            return
        if len(self._told) > 1000:
            self._told.clear()
        self._told[group, target] = now
        self._links().say(place, group, NotHere(target))

    def _let_go(self, group: str, why: str) -> None:
        held = self._held.pop(group)
        self.counts["let_go"] += 1
        self._log_event("copy let go", {"group": group, "copy": held.host.copy.me, "why": why})
        self._beginning.add(group)
        self._tasks.spawn(self._removed(group, held))

    async def _removed(self, group: str, held: _Held) -> None:
        try:
            await held.stop()
            aside = held.folder.with_name(f"{group}.out")
            with contextlib.suppress(FileNotFoundError):
                await asyncio.to_thread(shutil.rmtree, aside)
            held.folder.rename(aside)
            await asyncio.to_thread(shutil.rmtree, aside)
            await asyncio.to_thread(shutil.rmtree, self._witness / group)
        finally:
            self._beginning.discard(group)

    # What staff ask.

    def view(self) -> dict[str, Any]:
        """The copies that are here."""
        _, present = self._sight()
        made = []
        for group, held in sorted(self._held.items()):
            copy = held.host.copy
            lags = copy.lags()
            made.append(
                {
                    "group": group,
                    "copy": copy.me,
                    "role": "halted" if copy.halted else copy.role.value,
                    "term": copy.term,
                    "commit": copy.commit,
                    "last": copy.last_index,
                    "proven": copy.proven,
                    "leader": held.host.home(copy.leader) if copy.leader is not None else None,
                    "at": [
                        {
                            "copy": one,
                            "place": held.host.home(one) or "",
                            "counts": one in copy.config.voters,
                            "present": held.host.home(one) in present and one not in self._gone.get(group, ()),
                            "behind": lags.get(one),
                        }
                        for one in copy.config.everyone
                    ],
                    "wanted": self.wanted(group),
                }
            )
        return {
            "me": self.me,
            "disk": self._identity.id,
            "copies": self.holding.count,
            "groups": made,
            "counts": dict(self.counts),
        }

    def gauges(self) -> dict[str, float]:
        """For metrics."""
        _, present = self._sight()
        hosts = [held.host for held in self._held.values()]
        leading = [host for host in hosts if host.copy.role is Role.LEADER]
        weak = sum(
            sum(
                host.home(one) in present and one not in self._gone.get(host.group, ())
                for one in host.copy.config.voters
            )
            < self.holding.count
            for host in leading
        )
        return {
            "copies_held": len(hosts),
            "copies_led": len(leading),
            "copies_under_strength": weak,
            "copies_halted": sum(host.copy.halted for host in hosts),
            "copies_unproven": sum(not host.copy.proven for host in hosts),
            "copies_no_leader": sum(host.copy.leader is None for host in hosts),
            "copies_most_behind": max((lag for host in leading for lag in host.copy.lags().values()), default=0),
        }

    def move(self, group: str, to: str) -> bool:
        """Let the copy at another place lead a group that is led here."""
        host = self.host(group)
        if host is None or host.copy.role is not Role.LEADER:
            return False
        copy = next(
            (one for one, place in host.copy.config.homes if place == to and one in host.copy.config.voters), None
        )
        return copy is not None and host.hand_over(copy)
