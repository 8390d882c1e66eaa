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
    Configuration,
    CreateReplica,
    LeaderRequest,
    LeaderResponse,
    MembershipQuery,
    NodeMessage,
    RemovedFromGroup,
    ReplicaCreated,
    ReplicaNotFound,
)
from martenstep.replication.placement import (
    AbsenceTracker,
    ChangeConfiguration,
    TransferLeadership,
    desired_nodes,
    next_step,
    with_learner,
    without_replica,
)
from martenstep.replication.placement import AddReplica as InviteStep
from martenstep.replication.raft import RaftSettings, Role
from martenstep.replication.replica import IndeterminateError, NotLeaderError, Replica, StateMachine, now_ms
from martenstep.replication.replica_storage import ReplicaStorage, ReplicaStorageError
from martenstep.replication.transport import Transport
from martenstep.storage.files import Disk, LockedError
from martenstep.tasks import Tasks

REPAIR_INTERVAL_S = 0.25  # between two looks at each group
MAX_LEARNING_GROUPS = 2  # groups led here that fill a copy at a time: filling yields to serving
MAX_DISSOLVED_GROUPS = 200
CREATE_TIMEOUT_MS = 3000.0  # a place that was invited and says nothing by then does not hold copies
UNRESPONSIVE_NODE_PAUSE_MS = 60_000.0  # and is asked again after this
NO_LEADER_MS = 3000.0  # a copy that hears no leader for so long asks whether it is out
UNUSED_REPLICA_MS = 60_000.0  # a copy that was begun and never taken in is let go after this
TRANSFER_INTERVAL_MS = 30_000.0  # between two times that a group is handed to who should lead it
LEADER_RESPONSE_TIMEOUT_S, LEADER_REQUEST_PAUSE_S = 1.0, 0.1  # for one place's answer; before all are asked again
MAX_CAUGHT_UP_LAG_ENTRIES = 1000  # entries that a copy may be behind and still count as caught up
STOP_TASKS_TIMEOUT_S = 2.0  # at a stop, for copies that begin or are let go
STOP_TRANSFER_S = 0.3  # at a stop, for others to lead
MAX_INDEX = 1 << 62  # index beyond any
DISK_FILE, GROUPS_FOLDER = "disk.json", "groups"
GROUP_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,63}")  # of a group: it names a folder


class LeaderUnreachableError(Exception):
    """Nobody answered a question in time."""


class ReplicaManagerError(Exception):
    """What cannot be held as the settings want it: why."""


@dataclass(frozen=True, slots=True)
class ClusterNode:
    """A machine of the fleet, as the membership holds it."""

    name: str
    zone: str
    present: bool


@dataclass(frozen=True, slots=True)
class BootstrapMember:
    """Who holds the groups first, and whose disk that must be."""

    node: str
    disk_id: int


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """What the settings ask."""

    groups: tuple[str, ...]
    bootstrap_members: tuple[BootstrapMember, ...]
    replication_factor: int = 3  # copies of each group
    node_lost_after_ms: float = 600_000.0  # away for so long: lost for good


class DiskIdentity(msgspec.Struct):
    """Whose disk this is, and which groups began on it."""

    id: int
    bootstrapped_groups: list[str] = msgspec.field(name="founded", default_factory=list)
    latest_own_group: str = msgspec.field(name="alone", default="")  # the latest that was created here alone
    dissolved_groups: list[str] = msgspec.field(name="over", default_factory=list)  # whoever asks of one is removed


def derive_replica_id(disk: int, group: str) -> int:
    """The identity of the copy of a group that a founder's disk begins with."""
    return xxhash.xxh3_64_intdigest(f"{disk}\0{group}".encode()) >> 11 or 1


def load_disk_identity(disk: Disk) -> DiskIdentity:
    """Whose disk a folder is; an empty one becomes a new one's.  Raises KeeperError, OSError."""
    if DISK_FILE in disk.names():
        try:
            return msgspec.json.decode(disk.read(DISK_FILE), type=DiskIdentity)
        except msgspec.DecodeError as error:
            raise ReplicaManagerError(f"{DISK_FILE}: {error}") from None
    made = DiskIdentity(random.SystemRandom().getrandbits(53))
    disk.write_aside(DISK_FILE, msgspec.json.encode(made))
    return made


class LocalReplica:
    """One copy, with its folders."""

    def __init__(self, host: Replica, disks: tuple[Disk, Disk], folder: Path) -> None:
        self.replica, self.folder = host, folder
        self._disks = disks
        self.without_leader_since: float | None = None  # since when it hears no leader

    async def stop(self) -> None:
        await self.replica.stop()
        self.replica.storage.close()
        for disk in self._disks:
            disk.close()


class ReplicaManager:
    """One machine's copies."""

    def __init__(
        self,
        me: str,
        folder: Path,
        witness: Path,
        holding: ReplicationSettings,
        machine: Callable[[str], StateMachine],
        places: Callable[[], Iterable[ClusterNode]],
        log_event: EventLog,
        settings: RaftSettings | None = None,
        also: Callable[[str], bool] = lambda group: False,
        first: Callable[[str], str | None] = lambda group: None,
    ) -> None:
        """`machine` makes the state of a group from its name; `places` are those that the membership knows.  `also`
        tells which groups are held beside those of the settings, each begun by one place alone; `first` tells at which
        place a group should be in any case, and be led."""
        self.node, self.replication = me, holding
        self._is_own_group, self._preferred_node = also, first
        self._folder, self._witness_folder = folder, witness
        self._make_state_machine, self._cluster_nodes, self._log_event = machine, places, log_event
        self._settings = settings or RaftSettings()
        self.transport: Transport | None = None
        self._disk: Disk | None = None
        self._identity = DiskIdentity(0)
        self._transferred_at: dict[str, float] = {}  # when a group was last handed to who should lead it
        self._dissolving: set[str] = set()
        self._local: dict[str, LocalReplica] = {}
        self._opened = False  # before that nobody is told that a copy is not here
        self._repairing: asyncio.Task[None] | None = None
        self._absence = AbsenceTracker(holding.node_lost_after_ms)
        self._missing_replicas: dict[str, set[int]] = {}
        self._pending_creations: dict[
            str, tuple[str, float]
        ] = {}  # by group: the place that is invited, and since when
        self._unresponsive_until: dict[str, float] = {}  # places that hold no copies: until when they are not asked
        self._not_found_sent_at: dict[tuple[str, int], float] = {}
        self._busy_groups: set[str] = set()
        self._tasks = Tasks("copies", log_event)
        self.leader_handlers: dict[
            str, Callable[[Replica, bytes], Awaitable[bytes]]
        ] = {}  # who answers questions, by group
        self._pending_requests: dict[int, asyncio.Future[LeaderResponse]] = {}
        self.counts: Counter[str] = Counter()

    # Begin and end.

    async def start(self, links: Transport) -> None:
        """Open what is held here and found what is to be founded.  Raises KeeperError, LockedError, OSError."""
        self.transport = links
        self._folder.mkdir(parents=True, exist_ok=True)
        self._disk = Disk(self._folder)
        self._identity = load_disk_identity(self._disk)
        kept = self._folder / GROUPS_FOLDER
        kept.mkdir(exist_ok=True)
        for path in sorted(kept.iterdir()):
            if GROUP_NAME.fullmatch(path.name):
                await self._open(path.name, None)
        await self._bootstrap()
        self._opened = True
        self._repairing = asyncio.get_running_loop().create_task(self._repair_forever())

    async def _bootstrap(self) -> None:
        identity = self._identity
        mine = next((one for one in self.replication.bootstrap_members if one.node == self.node), None)
        if mine is None:
            return
        if mine.disk_id != identity.id:
            self._log_event("not a founder", {"disk": identity.id, "settings": mine.disk_id})
            return
        missing = [group for group in self.replication.groups if group not in identity.bootstrapped_groups]
        for group in missing:
            await self._open(group, derive_replica_id(identity.id, group))
        if missing:
            # Danger: written before the folders, a crash between would leave a founder without its copy; after, it is
            # begun twice with the same identity, which an unproven copy bears.
            identity.bootstrapped_groups += missing
            self._save_identity()

    def _save_identity(self) -> None:
        assert self._disk is not None
        self._disk.write_aside(DISK_FILE, msgspec.json.encode(self._identity))

    def _initial_configuration(self, group: str, copy: int) -> Configuration:
        """A founded group's first configuration; nobody is in that of a copy that is begun later."""
        if group not in self.replication.groups:
            # Danger: only the copy that began the group may take itself for all of it.
            began = copy == derive_replica_id(self._identity.id, group)
            return Configuration((copy,), (), ((copy, self.node),)) if began else Configuration((0,))
        copies = tuple((derive_replica_id(one.disk_id, group), one.node) for one in self.replication.bootstrap_members)
        return Configuration(tuple(copy for copy, _ in copies), (), copies)

    async def _open(self, group: str, founding: int | None) -> Replica | None:
        """Run a copy from its folder, made where there is none; None where it cannot be opened, and is set aside."""
        folder, witness = self._folder / GROUPS_FOLDER / group, self._witness_folder / group
        disks: list[Disk] = []
        try:
            machine = self._make_state_machine(group)
            disks = [Disk(folder), Disk(witness)]
            store = await asyncio.to_thread(
                ReplicaStorage,
                disks[0],
                disks[1],
                random.SystemRandom(),
                founding,
                group not in self.replication.groups,
            )
            first = self._initial_configuration(group, store.replica_id)
            host = Replica(
                group,
                store,
                first if store.replica_id in first.voters else Configuration((0,)),
                machine,
                self._running_transport(),
                self._log_event,
                self._settings,
            )
        except (ReplicaStorageError, LockedError, OSError, ValueError) as error:
            for disk in disks:
                disk.close()
            self._log_event("copy not opened", {"group": group, "error": str(error)})
            if isinstance(error, ReplicaStorageError):
                # What is damaged is kept for staff; another copy is begun here, and filled by the others.
                folder.rename(folder.with_name(f"{group}.damaged.{time.time_ns()}"))
            return None
        self._local[group] = LocalReplica(host, (disks[0], disks[1]), folder)
        host.start()
        self._log_event(
            "copy begins",
            {"group": group, "copy": store.replica_id, "proven": store.disk_verified, "entries": host.raft.last_index},
        )
        return host

    def _running_transport(self) -> Transport:
        assert self.transport is not None
        return self.transport

    async def stop(self) -> None:
        """Let others lead, then end all copies."""
        if self._repairing is not None:
            self._repairing.cancel()
        if any([held.replica.transfer_leadership() for held in self._local.values()]):
            await asyncio.sleep(STOP_TRANSFER_S)
        # Danger: a copy that is being let go, cut off in the middle, would keep its folders' locks.
        await self._tasks.finish(STOP_TASKS_TIMEOUT_S)
        self._opened = False
        held, self._local = list(self._local.values()), {}
        await asyncio.gather(*(one.stop() for one in held))
        if self._disk is not None:
            self._disk.close()
            self._disk = None

    def groups(self) -> list[str]:
        """Those of which a copy is here."""
        return list(self._local)

    def latest_own_group(self) -> str:
        """The latest group that this place began alone; empty where there is none."""
        return self._identity.latest_own_group

    async def create_own_group(self, group: str) -> Replica | None:
        """Begin a group whose name was never used, of this place's copy alone; others are taken in as in any group."""
        # The name first: a crash between leaves a name without a folder, and another name is drawn at the next start.
        self._identity.latest_own_group = group
        await asyncio.to_thread(self._save_identity)
        return await self._open(group, derive_replica_id(self._identity.id, group))

    def lost_nodes(self) -> set[str]:
        """Away for so long that they count as lost."""
        return self._absence.lost(now_ms())

    def dissolve_group(self, group: str) -> None:
        """Nobody needs a group any more that is led here: its copies are taken out one by one, this one last."""
        self._dissolving.add(group)

    def _shrink_dissolving(self, host: Replica) -> None:
        copy = host.raft
        _, present = self._observe_nodes()
        # Those that are not there first.  Danger: the last two would be one that is there and one that is not.
        others = sorted(
            (one for one in copy.configuration.members if one != copy.replica_id),
            key=lambda one: host.find_node(one) in present,
        )
        if others:
            if copy.configuration_committed:
                host.change_configuration(without_replica(copy.configuration, others[0]))
        else:
            self._dissolving.discard(host.group)
            self.abandon_group(host.group)

    def abandon_group(self, group: str) -> None:
        """Let go of the copy that is here, and tell whoever asks that the group is over.  Danger: what only this copy
        holds is lost; it is for groups that promise nothing any more."""
        self._identity.dissolved_groups = [*self._identity.dissolved_groups[1 - MAX_DISSOLVED_GROUPS :], group]
        self._save_identity()
        self._remove(group, "nobody needs it any more")

    def replica(self, group: str) -> Replica | None:
        """The copy of a group that is here."""
        held = self._local.get(group)
        return held.replica if held is not None else None

    # Making whole.

    def _observe_nodes(self) -> tuple[dict[str, str], set[str]]:
        """Zones of all places that are known, and those that are there; this one always is."""
        places = list(self._cluster_nodes())
        zones = {place.name: place.zone for place in places}
        return zones, {place.name for place in places if place.present} | {self.node}

    def desired_nodes(self, group: str) -> list[str]:
        """Where a group should be, as this machine sees it, whoever holds it."""
        zones, present = self._observe_nodes()
        host = self.replica(group)
        config = host.raft.configuration if host is not None else Configuration(())
        return desired_nodes(
            group,
            config,
            zones,
            present,
            self._absence.lost(now_ms()),
            self.replication.replication_factor,
            self._preferred_node(group),
        )

    async def _repair_forever(self) -> None:
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            try:
                self.repair(now_ms())
            except Exception as error:  # one group's trouble must not end the care for all others
                self._log_event("fault", {"where": "copies", "error": repr(error)})

    def repair(self, now: float) -> None:
        """Look at each group once."""
        zones, present = self._observe_nodes()
        homes = {place for held in self._local.values() for _, place in held.replica.raft.configuration.locations}
        homes |= {first for group in self._local if (first := self._preferred_node(group)) is not None}
        self._absence.observe(now, present, homes)
        self._unresponsive_until = {place: until for place, until in self._unresponsive_until.items() if until > now}
        lost, willing = self._absence.lost(now), present - self._unresponsive_until.keys()
        leading = [held.replica for held in self._local.values() if held.replica.raft.role is Role.LEADER]
        filling = sum(bool(host.raft.configuration.learners) for host in leading)
        for host in leading:
            config = host.raft.configuration
            if host.group in self._missing_replicas:
                self._missing_replicas[host.group] &= set(config.members)
            if host.group in self._dissolving:
                self._shrink_dissolving(host)
                continue
            first = self._preferred_node(host.group)
            places = desired_nodes(host.group, config, zones, willing, lost, self.replication.replication_factor, first)
            step = next_step(
                config,
                host.raft.replica_id,
                places,
                self._missing_replicas.get(host.group, ()),
                willing,
                self.replication.replication_factor,
                filling < MAX_LEARNING_GROUPS,
                first if self._may_transfer(now, host) else None,
            )
            if isinstance(step, InviteStep):
                filling += 1
                self._request_creation(now, host, step.node)
            elif isinstance(step, TransferLeadership):
                self._transferred_at[host.group] = now
                host.transfer_leadership(step.to)
            elif isinstance(step, ChangeConfiguration) and host.change_configuration(step.configuration):
                self.counts["changes"] += 1
                self._log_event(
                    "copies change",
                    {
                        "group": host.group,
                        "why": step.reason,
                        "voters": step.configuration.voters,
                        "learners": step.configuration.learners,
                    },
                )
        for held in list(self._local.values()):
            self._query_membership(now, held)

    def _may_transfer(self, now: float, host: Replica) -> bool:
        """Not again and again to one that does not take over."""
        return now - self._transferred_at.get(host.group, -1e12) > TRANSFER_INTERVAL_MS

    def _request_creation(self, now: float, host: Replica, place: str) -> None:
        group, copy = host.group, host.raft
        if not copy.configuration_committed:
            return
        asked, since = self._pending_creations.get(group, ("", now))
        if asked != place:
            self._pending_creations[group] = place, now
        elif now - since > CREATE_TIMEOUT_MS:
            self._unresponsive_until[place] = now + UNRESPONSIVE_NODE_PAUSE_MS
            del self._pending_creations[group]
            self._log_event("place holds no copies", {"group": group, "place": place})
            return
        self._running_transport().send_to_node(
            place, group, CreateReplica(copy.configuration_index, copy.configuration.members)
        )

    def _query_membership(self, now: float, held: LocalReplica) -> None:
        """A copy that was taken out may never have heard of it."""
        host = held.replica
        copy = host.raft
        # Not by whether it knows a leader: a learner that is dropped never stands, and would believe in the last one.
        if copy.halted or copy.role is Role.LEADER or now - copy.leader_contact_at < NO_LEADER_MS:
            held.without_leader_since = None
            return
        if held.without_leader_since is None:
            held.without_leader_since = now
        if (
            not copy.last_index
            and copy.replica_id not in copy.configuration.voters
            and now - held.without_leader_since > UNUSED_REPLICA_MS
        ):
            self._remove(host.group, "it was never taken in")
            return
        for place in ({place for _, place in copy.configuration.locations} | host.contacted_nodes) - {self.node}:
            self._running_transport().send_to_node(place, host.group, MembershipQuery(copy.replica_id))

    # What places say.

    def receive(self, place: str, group: str, copy: int, word: NodeMessage) -> None:
        """Take in what another place says of a group."""
        host = self.replica(group)
        if isinstance(word, LeaderRequest):
            self._tasks.spawn(self._send_response(place, group, word))
        elif isinstance(word, LeaderResponse):
            waiting = self._pending_requests.get(word.nonce)
            if waiting is not None and not waiting.done():
                waiting.set_result(word)
        elif isinstance(word, CreateReplica):
            self._handle_create(place, group, word)
        elif isinstance(word, RemovedFromGroup):
            if (
                host is not None
                and host.raft.replica_id == word.replica
                and host.raft.configuration_index < word.configuration_index
            ):
                self._remove(group, f"{place} leads the group without it")
        elif host is None:
            if isinstance(word, MembershipQuery) and group in self._identity.dissolved_groups:
                self._running_transport().send_to_node(place, group, RemovedFromGroup(word.replica, MAX_INDEX))
        elif isinstance(word, MembershipQuery):
            known = host.raft
            if (
                known.can_serve_read(now_ms())
                and known.configuration_committed
                and word.replica not in known.configuration.members
            ):
                self._running_transport().send_to_node(
                    place, group, RemovedFromGroup(word.replica, known.configuration_index)
                )
        elif isinstance(word, ReplicaNotFound):
            if (word.replica, place) in host.raft.configuration.locations:
                self._missing_replicas.setdefault(group, set()).add(word.replica)
        elif self._pending_creations.get(group, ("", 0.0))[0] == place:
            del self._pending_creations[group]
            config = host.raft.configuration
            if word.replica not in config.members and not config.learners:
                self._missing_replicas.get(group, set()).discard(word.replica)
                host.change_configuration(with_learner(config, word.replica, place))

    # Questions to whoever leads a group.

    async def request_leader(self, group: str, data: bytes, within_s: float) -> bytes:
        """The answer of a group's leader, wherever that is; raises UnansweredError where none came in time.  Whether it
        was acted on is then not known."""
        likely = ""
        try:
            async with asyncio.timeout(within_s):
                while True:
                    _, present = self._observe_nodes()
                    places = [likely] if likely else [*self.desired_nodes(group), *sorted(present)]
                    for place in dict.fromkeys(places):
                        reply = await self._request_at(place, group, data)
                        if reply is not None and reply.data is not None:
                            return reply.data
                        if reply is not None and reply.leader and reply.leader != place:
                            likely = reply.leader
                            break
                        likely = ""
                    else:
                        await asyncio.sleep(LEADER_REQUEST_PAUSE_S)
        except TimeoutError:
            raise LeaderUnreachableError(f"nobody who leads {group} answered within {within_s:g} s") from None

    async def _request_at(self, place: str, group: str, data: bytes) -> LeaderResponse | None:
        if place == self.node:
            return await self._answer_request(group, LeaderRequest(0, data))
        nonce = random.getrandbits(60)
        future: asyncio.Future[LeaderResponse] = asyncio.get_running_loop().create_future()
        self._pending_requests[nonce] = future
        self._running_transport().send_to_node(place, group, LeaderRequest(nonce, data))
        try:
            async with asyncio.timeout(LEADER_RESPONSE_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self._pending_requests.pop(nonce, None)

    async def _answer_request(self, group: str, asked: LeaderRequest) -> LeaderResponse:
        host, answer = self.replica(group), self.leader_handlers.get(group)
        if host is None or answer is None:
            return LeaderResponse(asked.nonce)
        try:
            return LeaderResponse(asked.nonce, await answer(host, asked.data))
        except (NotLeaderError, IndeterminateError):
            leader = host.raft.leader
            return LeaderResponse(asked.nonce, None, host.find_node(leader) if leader is not None else None)

    async def _send_response(self, place: str, group: str, asked: LeaderRequest) -> None:
        self._running_transport().send_to_node(place, group, await self._answer_request(group, asked))

    def led_groups(self) -> list[tuple[str, list[str], bool]]:
        """The groups that are led here: where their copies are, and whether they are whole and near."""
        _, present = self._observe_nodes()
        made = []
        for held in self._local.values():
            host = held.replica
            config = host.raft.configuration
            if host.raft.role is Role.LEADER:
                places = [host.find_node(one) or "" for one in config.voters]
                lags = host.raft.replication_lag()
                whole = (
                    len(config.voters) >= self.replication.replication_factor
                    and not config.learners
                    and all(place in present for place in places)
                    and not self._missing_replicas.get(host.group, set()) & set(config.voters)
                    and all(lags.get(one, 0) < MAX_CAUGHT_UP_LAG_ENTRIES for one in config.voters)
                )
                made.append((host.group, places, whole))
        return made

    def _handle_create(self, place: str, group: str, told: CreateReplica) -> None:
        host = self.replica(group)
        if host is not None:
            copy = host.raft
            if copy.replica_id not in told.members and copy.last_index:
                if copy.configuration_index < told.configuration_index:
                    self._remove(group, f"{place} leads the group without it, and asks for another")
                return
            self._running_transport().send_to_node(place, group, ReplicaCreated(host.raft.replica_id))
        elif (
            self._opened
            and (group in self.replication.groups or self._is_own_group(group))
            and group not in self._busy_groups
        ):
            self._busy_groups.add(group)
            self._tasks.spawn(self._create(place, group))

    async def _create(self, place: str, group: str) -> None:
        try:
            host = await self._open(group, None)
        finally:
            self._busy_groups.discard(group)
        if host is not None:
            self.counts["begun"] += 1
            self._running_transport().send_to_node(place, group, ReplicaCreated(host.raft.replica_id))

    def report_unknown_replica(self, place: str, group: str, source: int, target: int) -> None:
        """A message came for a copy that is not here."""
        now = now_ms()
        if (
            not self._opened
            or group in self._busy_groups
            or self._not_found_sent_at.get((group, target), -1e9) > now - 1000.0
        ):
            return
        if len(self._not_found_sent_at) > 1000:
            self._not_found_sent_at.clear()
        self._not_found_sent_at[group, target] = now
        self._running_transport().send_to_node(place, group, ReplicaNotFound(target))

    def _remove(self, group: str, why: str) -> None:
        held = self._local.pop(group)
        self.counts["let_go"] += 1
        self._log_event("copy let go", {"group": group, "copy": held.replica.raft.replica_id, "why": why})
        self._busy_groups.add(group)
        self._tasks.spawn(self._delete_folders(group, held))

    async def _delete_folders(self, group: str, held: LocalReplica) -> None:
        try:
            await held.stop()
            aside = held.folder.with_name(f"{group}.out")
            with contextlib.suppress(FileNotFoundError):
                await asyncio.to_thread(shutil.rmtree, aside)
            held.folder.rename(aside)
            await asyncio.to_thread(shutil.rmtree, aside)
            await asyncio.to_thread(shutil.rmtree, self._witness_folder / group)
        finally:
            self._busy_groups.discard(group)

    # What staff ask.

    def view(self) -> dict[str, Any]:
        """The copies that are here."""
        _, present = self._observe_nodes()
        made = []
        for group, held in sorted(self._local.items()):
            copy = held.replica.raft
            lags = copy.replication_lag()
            made.append(
                {
                    "group": group,
                    "copy": copy.replica_id,
                    "role": "halted" if copy.halted else copy.role.value,
                    "term": copy.term,
                    "commit": copy.commit_index,
                    "last": copy.last_index,
                    "proven": copy.disk_verified,
                    "leader": held.replica.find_node(copy.leader) if copy.leader is not None else None,
                    "at": [
                        {
                            "copy": one,
                            "place": held.replica.find_node(one) or "",
                            "counts": one in copy.configuration.voters,
                            "present": held.replica.find_node(one) in present
                            and one not in self._missing_replicas.get(group, ()),
                            "behind": lags.get(one),
                        }
                        for one in copy.configuration.members
                    ],
                    "wanted": self.desired_nodes(group),
                }
            )
        return {
            "me": self.node,
            "disk": self._identity.id,
            "copies": self.replication.replication_factor,
            "groups": made,
            "counts": dict(self.counts),
        }

    def gauges(self) -> dict[str, float]:
        """For metrics."""
        _, present = self._observe_nodes()
        hosts = [held.replica for held in self._local.values()]
        leading = [host for host in hosts if host.raft.role is Role.LEADER]
        weak = sum(
            sum(
                host.find_node(one) in present and one not in self._missing_replicas.get(host.group, ())
                for one in host.raft.configuration.voters
            )
            < self.replication.replication_factor
            for host in leading
        )
        return {
            "copies_held": len(hosts),
            "copies_led": len(leading),
            "copies_under_strength": weak,
            "copies_halted": sum(host.raft.halted for host in hosts),
            "copies_unproven": sum(not host.raft.disk_verified for host in hosts),
            "copies_no_leader": sum(host.raft.leader is None for host in hosts),
            "copies_most_behind": max(
                (lag for host in leading for lag in host.raft.replication_lag().values()), default=0
            ),
        }

    def transfer_leadership(self, group: str, to: str) -> bool:
        """Let the copy at another place lead a group that is led here."""
        host = self.replica(group)
        if host is None or host.raft.role is not Role.LEADER:
            return False
        copy = next(
            (
                one
                for one, place in host.raft.configuration.locations
                if place == to and one in host.raft.configuration.voters
            ),
            None,
        )
        return copy is not None and host.transfer_leadership(copy)
