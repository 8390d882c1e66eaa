"""Runs a schedule between real `martenstep serve` processes on loopback, each with a directory of its own.

Every datagram and stream between two gateways passes through a relay of this process.  Processes are paused (SIGSTOP),
killed and restarted with their disk, with an empty one or with an old copy of it.  Each gateway writes its own belief
records, on the machine's monotonic clock; this process writes the faults that it injected, on the same clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import secrets
import shutil
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO

import msgspec
from google.protobuf import text_format

from martenstep.config import door_pb2 as cfg
from martenstep.lab.fleet import fleet_pb2 as pb
from martenstep.lab.fleet.records import Belief, Record, Truth, View, ViewEntry, write_records
from martenstep.lab.fleet.relay import DatagramForger, Relay
from martenstep.lab.fleet.schedule import DISK_FAULTS, Member, Step, members_of, steps_of
from martenstep.lab.fleet.wires import Links
from martenstep.lab.play import Process, ScenarioRunError
from martenstep.lab.ports import reserve_ports
from martenstep.membership.member import Address
from martenstep.replication.node_disk import load_disk_identity
from martenstep.standins.base import now_ms
from martenstep.storage.disk_faults import DISK_FAULTS_VARIABLE
from martenstep.storage.files import Disk

MAX_GATEWAYS = 24
JOIN_TIMEOUT_S = 30.0  # from the start of the last gateway until all have joined
ADMIN_TIMEOUT_S = 5.0  # an admin listener that takes longer counts as not answering
POLL_S = 0.1
OPEN_FILES_PER_PAIR = 4  # a datagram socket, a listener, and both sides of an open stream
OPEN_FILES_PER_PAIR_OF_REPLICAS = 6  # two more listeners, each with both sides of an open stream
VIRTUAL_ONLY_FAULTS = (pb.LATE,)


@dataclass(slots=True)
class Place:
    """The machine of one gateway, and the process that runs on it."""

    name: str
    member: Member
    address: Address
    folder: Path
    process: Process | None = None
    starts: int = 0
    paused: bool = False
    stopped_by_schedule: bool = False
    routes: list[tuple[Address, Address]] = field(default_factory=list)  # another gateway, and the relay to it
    log: BinaryIO | None = None

    @property
    def disk(self) -> Path:
        """The gateway's disk, lost or replaced by disk faults."""
        return self.folder / "disk"

    @property
    def replicas(self) -> Path:
        """The replicas that the gateway holds, on its disk."""
        return self.disk / "copies"

    @property
    def witness(self) -> Path:
        """The witness folder, outside of the disk, so that an old copy of the disk does not restore it."""
        return self.folder / "witness"

    @property
    def disk_faults_file(self) -> Path:
        """The file from which the gateway's file layer reads the injected disk faults."""
        return self.folder / "disk-faults.json"


def gateway_settings(
    schedule: pb.Schedule, place: Place, number: int, seeds: list[Address], key_file: Path, feed_port: int, record: Path
) -> cfg.Door:
    """Return the settings of one gateway: the required ones, and its membership."""
    gateway = cfg.Door(
        name=place.member.name,
        instance=number,
        instances=max(schedule.members, number + 1),
        zone=place.member.zone,
        default_plan="open",
    )
    gateway.listener.port = gateway.admin.port = 0
    gateway.members.port = feed_port
    getattr(gateway, "class").add(name="read", aim_ms=1000, deadline_ms=4000)
    gateway.plan.add(name="open")
    route = gateway.route.add(name="all", path_prefix="/", customer_header="x-customer")
    setattr(route, "class", "read")
    fleet = gateway.fleet
    fleet.cluster, fleet.key_file, fleet.record = "rig", str(key_file), str(record)
    fleet.host, fleet.port = place.address
    fleet.directory = str(place.disk)
    fleet.period_ms, fleet.suspect_least_ms = schedule.period_ms, schedule.suspect_least_ms
    fleet.ack_ms, fleet.reclaim_ms = min(150.0, schedule.period_ms / 2), schedule.reclaim_ms
    for host, port in seeds:
        fleet.seed.add(host=host, port=port)
    for target, relay in place.routes:
        way = fleet.way.add()
        way.to.host, way.to.port = target
        way.through.host, way.through.port = relay
    return gateway


def configure_replication(
    gateway: cfg.Door, schedule: pb.Schedule, place: Place, ports: tuple[int, int], founders: dict[str, int]
) -> None:
    """Add to the settings of a gateway that it holds replicas and serves the counter."""
    copies = gateway.copies
    copies.directory, copies.witness = str(place.replicas), str(place.witness)
    copies.port, copies.counter_port = ports
    copies.slots, copies.count, copies.final_ms = schedule.slots, schedule.copies, schedule.final_ms
    for name, disk in founders.items():
        copies.founder.add(door=name, disk=disk)
    if schedule.maintenance:
        gateway.maintenance.capacity = 1.0
    gateway.counter.held_by_doors = True
    gateway.counter.journal = str(place.disk / "journal")


async def fetch_admin_json(port: int, path: str, method: str = "GET") -> dict[str, Any]:
    """Request a path of an admin listener and decode its JSON; raises OSError, TimeoutError or ValueError."""
    async with asyncio.timeout(ADMIN_TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nhost: rig\r\nconnection: close\r\n\r\n".encode())
            answer = await reader.read()
        finally:
            writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise ValueError(head.partition(b"\r\n")[0].decode("latin-1"))
    return msgspec.json.decode(body, type=dict[str, Any])


class Rig:
    """A fleet of real gateways with relays between them."""

    def __init__(self, schedule: pb.Schedule, seed: int, out: Path, progress: Callable[[float, str], None]) -> None:
        self._schedule, self._seed, self._out, self._progress = schedule, seed, out, progress
        self._members = members_of(schedule)
        self._rng = random.Random(f"{schedule.name} {seed}")
        self._links = Links(self._members, random.Random(f"wires {seed}"))
        self._relays: dict[tuple[str, Address], Relay] = {}
        self._records: list[Record] = []
        self._places: dict[str, Place] = {}
        self._feed: Process | None = None
        self._feed_log: BinaryIO | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._forger = DatagramForger(random.Random(f"forged {seed}"))
        self._errors: list[str] = []
        self.ports = (0, 0)  # of replication, and of the replicated counter
        self._founders: dict[str, int] = {}
        self.ready_s = 0.0  # from the first start until all have joined

    # The fleet.

    async def open(self) -> None:
        """Start everything, and wait until every gateway has joined."""
        (self._out / "records").mkdir(parents=True, exist_ok=True)
        (self._out / "key").write_text(secrets.token_hex(32) + "\n")
        self._assign_addresses()
        self._raise_open_file_limit()
        await asyncio.gather(*(self._start_relays(place) for place in self._places.values()))
        self._feed_log = (self._out / "feed.log").open("ab")
        self._feed = Process("feed", ["standin", "feed"], self._feed_log)
        began = now_ms()
        await self._feed.start()
        await asyncio.gather(*(self._start(self._places[member.name]) for member in self._members))
        await self._wait_until_all_joined()
        self.ready_s = (now_ms() - began) / 1000

    def _assign_addresses(self) -> None:
        """Give each member a loopback address of its own, and an address to each twin or squatter of the schedule."""
        port, *others = reserve_ports(3)
        self.ports = others[0], others[1]
        for number, member in enumerate(self._members):
            self._add_place(member.name, member, (f"127.0.1.{number + 1}", port))
            if number < self._schedule.copies and self._schedule.slots:
                with contextlib.closing(Disk(self._places[member.name].replicas)) as disk:
                    self._founders[member.name] = load_disk_identity(disk).id
        for number, entry in enumerate(self._schedule.trouble):
            if entry.what not in (pb.TWIN, pb.SQUAT):
                continue
            first = next(step.members[0] for step in steps_of(self._schedule, self._seed) if step.number == number)
            original = self._places[first]
            if entry.what == pb.TWIN:
                self._add_place(f"{first}-twin", original.member, (f"127.0.2.{number + 1}", port))
            else:
                name = f"{first}-squatter"
                self._add_place(name, Member(name, original.member.zone), original.address)

    def _add_place(self, name: str, member: Member, address: Address) -> None:
        folder = self._out / name
        folder.mkdir(exist_ok=True)
        self._places[name] = Place(name, member, address, folder)

    def _raise_open_file_limit(self) -> None:
        needed = (
            len(self._places) ** 2
            * (OPEN_FILES_PER_PAIR + (OPEN_FILES_PER_PAIR_OF_REPLICAS if self._schedule.slots else 0))
            + 200
        )
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY and needed > hard:
            raise ScenarioRunError(f"the rig needs {needed} open files; the hard limit is {hard}")
        if soft < needed:
            resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))

    async def _start_relays(self, place: Place) -> None:
        """Start the relays from one place to all others."""
        for other in self._places.values():
            if other.address == place.address or any(target == other.address for target, _ in place.routes):
                continue
            host, port = other.address
            for target_port in (port, *(self.ports if self._schedule.slots else ())):
                relay = Relay(self._links, place.member.name, other.member.name, (host, target_port), now_ms)
                place.routes.append(((host, target_port), await relay.start(datagrams=target_port == port)))
                self._relays[place.name, (host, target_port)] = relay

    async def _start(self, place: Place) -> None:
        number = list(self._places).index(place.name)
        place.starts += 1
        record = self._out / "records" / f"{place.name}-{place.starts}.jsonl"
        seeds = [self._places[member.name].address for member in self._members[: self._schedule.seeds]]
        assert self._feed is not None
        gateway = gateway_settings(
            self._schedule, place, number, seeds, self._out / "key", self._feed.ready["port"], record
        )
        if self._schedule.slots:
            configure_replication(gateway, self._schedule, place, self.ports, self._founders)
        settings = place.folder / "door.txtpb"
        settings.write_text(text_format.MessageToString(gateway), encoding="utf-8")
        if place.log is None:
            place.log = (place.folder / "door.log").open("ab")
        place.process = Process(
            place.name, ["serve", str(settings)], place.log, {DISK_FAULTS_VARIABLE: str(place.disk_faults_file)}
        )
        place.paused = place.stopped_by_schedule = False
        try:
            await place.process.start()
        except ScenarioRunError:
            if place.stopped_by_schedule:
                return  # a fault of the schedule killed it before it was ready
            raise
        if "fleet" not in place.process.ready:
            raise ScenarioRunError(f"{place.name}: reported no membership when it was ready; see its log")

    def _running(self) -> list[Place]:
        return [place for place in self._places.values() if place.process is not None and place.process.running]

    async def fetch_members(self, name: str) -> dict[str, Any] | None:
        """Return the member table of a gateway; None where it does not answer."""
        return await self._fetch(self._places[name])

    async def _fetch(self, place: Place, path: str = "/members") -> dict[str, Any] | None:
        if place.process is None or not place.process.running or place.paused or not place.process.ready:
            return None
        try:
            return await fetch_admin_json(place.process.ready["admin"], path)
        except (OSError, TimeoutError, ValueError, msgspec.DecodeError):
            return None

    async def fetch_replicas(self, name: str) -> dict[str, Any] | None:
        """Return the replicas of a gateway; None where it does not answer."""
        return await self._fetch(self._places[name], "/copies")

    def counter_addresses(self) -> list[Address]:
        """Return the addresses of the replicated counter, one for each member."""
        return [(self._places[member.name].address[0], self.ports[1]) for member in self._members]

    def replica_folders(self) -> list[Path]:
        """Return the folders with the replicas of all members."""
        return [self._places[member.name].replicas for member in self._members]

    async def _wait_until_all_joined(self) -> None:
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                while True:
                    views = await asyncio.gather(*(self._fetch(place) for place in self._running()))
                    if all(
                        view is not None
                        and view["stage"] == "joined"
                        and sum(one["state"] == "alive" for one in view["members"]) == len(self._members)
                        for view in views
                    ):
                        return
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise ScenarioRunError(
                f"not all gateways had joined after {JOIN_TIMEOUT_S:.0f} s; see their logs"
            ) from None

    # Records of what really happened.

    def _truth(self, kind: str, place: Place | None = None, **fields: Any) -> None:
        self._records.append(
            Truth(
                now_ms(),
                kind,
                place.member.name if place is not None else "",
                place.name if place is not None else "",
                fields,
            )
        )

    # The run and its faults.

    async def run(self) -> None:
        """Apply the steps of the schedule, wait until the fleet has settled, and record the view of each gateway."""
        schedule = self._schedule
        for place in self._running():
            self._record_view(place, await self._fetch(place))
        begin = now_ms()
        self._truth("begins")
        for place in self._places.values():
            if place.disk.exists():
                shutil.copytree(place.disk, place.folder / "old", dirs_exist_ok=True)
        for step in steps_of(schedule, self._seed):
            await self._wait_until(begin + step.at_ms, "faults")
            self.apply_step(step)
        await self._wait_until(begin + schedule.length_ms, "faults")
        self._truth("faults over")
        await self._wait_until(begin + schedule.length_ms + schedule.settle_ms, "settling")
        await asyncio.gather(*list(self._tasks))
        if self._errors:
            raise ScenarioRunError("; ".join(self._errors))
        for place in self._running():
            self._record_view(place, await self._fetch(place))
        self._truth("ends")

    async def _wait_until(self, at_ms: float, phase: str) -> None:
        while (left := at_ms - now_ms()) > 0:
            await asyncio.sleep(min(left, 500.0) / 1000)
            total = self._schedule.length_ms + self._schedule.settle_ms
            self._progress(min(1.0, max(0.0, 1 - left / total)), phase)

    def _record_view(self, place: Place, view: dict[str, Any] | None) -> None:
        if view is None:
            self._errors.append(f"{place.name} did not answer the request for its member table")
            return
        held = [ViewEntry(one["name"], one["state"], one["life"], one["says"]) for one in view["members"]]
        self._records.append(View(now_ms(), place.name, view["stage"], held, view["counts"]))

    def _start_task(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._errors.append(str(task.exception()))

    def apply_step(self, step: Step) -> None:
        """Begin or end a fault now."""
        entry, what = step.entry, step.entry.what
        self._truth(
            "fault begins" if step.begins else "fault ends",
            number=step.number,
            what=pb.Breaks.Name(what),
            who=list(step.members),
        )
        self._links.apply_step(step)
        places = [self._places[name] for name in step.members]
        if what == pb.PAUSE:
            for place in places:
                self._pause(place, step.begins)
        elif what in (pb.KILL, pb.LEAVE):
            for place in places:
                if step.begins:
                    self._start_task(self._stop(place, leave=what == pb.LEAVE))
                else:
                    self._start_task(self._restart(place, entry.disk))
        elif what in DISK_FAULTS:
            for place in places:
                self._set_disk_fault(place, entry, step.begins)
        elif what in (pb.TWIN, pb.SQUAT):
            self._start_task(self._run_impostor(places, what, step.begins))
        elif what == pb.FORGE and step.begins:
            self._start_task(self._forge(entry))

    @staticmethod
    def _set_disk_fault(place: Place, entry: pb.Break, on: bool) -> None:
        """Write the file that the gateway's file layer reads at each operation."""
        settings = {pb.DISK_FULL: {"full": 1}, pb.SYNC_FAILS: {"sync_fails": 1}, pb.SYNC_SLOW: {"sync_ms": entry.ms}}
        place.disk_faults_file.write_bytes(msgspec.json.encode(settings[entry.what] if on else {}))

    def _pause(self, place: Place, on: bool) -> None:
        if place.process is None or not place.process.running or place.paused == on:
            return
        place.paused = on
        place.process.signal(signal.SIGSTOP if on else signal.SIGCONT)
        self._truth("paused" if on else "resumed", place)

    async def _stop(self, place: Place, leave: bool = False) -> None:
        if place.process is None or not place.process.running:
            return
        place.stopped_by_schedule = True
        if not leave:
            await place.process.kill()
            self._truth("killed", place)
            return
        self._truth("leaving", place)
        await place.process.stop()
        self._truth("left", place)

    async def _restart(self, place: Place, disk: int) -> None:
        if place.process is not None and place.process.running:
            return
        if disk != pb.KEPT and place.disk.exists():
            shutil.rmtree(place.disk)
        if disk == pb.WIPED and place.witness.exists():
            shutil.rmtree(place.witness)  # an empty disk stands for another machine, which has no witness either
        if disk == pb.OLD and (place.folder / "old").exists():
            shutil.copytree(place.folder / "old", place.disk)
        await self._start(place)

    async def _run_impostor(self, places: list[Place], what: int, on: bool) -> None:
        impostor = self._places[f"{places[0].name}-{'twin' if what == pb.TWIN else 'squatter'}"]
        if on:
            if what == pb.SQUAT:
                await asyncio.gather(*(self._stop(place) for place in places))
            await self._start(impostor)
            return
        await self._stop(impostor)
        if what == pb.SQUAT:
            await asyncio.gather(*(self._restart(place, pb.KEPT) for place in places))

    async def _forge(self, entry: pb.Break) -> None:
        until = now_ms() + (entry.for_ms or self._schedule.length_ms)
        relays = [relay for (_, (_, port)), relay in self._relays.items() if port not in self.ports]
        while now_ms() < until:
            old = [relay.last_datagram for relay in relays if relay.last_datagram]
            self._rng.choice(relays).send(self._forger.forge(old))
            await asyncio.sleep(1 / entry.per_s)

    # Shutdown and records.

    async def close(self) -> None:
        """End all processes and relays, also after an error."""
        for task in list(self._tasks):
            task.cancel()
        for place in self._places.values():
            if place.paused:
                self._pause(place, False)
        # The faults and the recording are over, so no process needs a graceful shutdown.
        await asyncio.gather(*(place.process.kill() for place in self._places.values() if place.process is not None))
        if self._feed is not None:
            await self._feed.stop()
        for relay in self._relays.values():
            relay.close()
        for log in (self._feed_log, *(place.log for place in self._places.values())):
            if log is not None:
                log.close()

    def records(self) -> list[Record]:
        """Return this process's records and the gateways' belief records, ordered by time."""
        records = list(self._records)
        for place in self._places.values():
            for number in range(1, place.starts + 1):
                path = self._out / "records" / f"{place.name}-{number}.jsonl"
                if path.exists():
                    records += self._beliefs(place, path)
        return sorted(records, key=lambda record: record.at_ms)

    @staticmethod
    def _beliefs(place: Place, path: Path) -> list[Record]:
        records: list[Record] = []
        for line in path.read_bytes().splitlines():
            with contextlib.suppress(msgspec.DecodeError):  # a kill may truncate the last line
                belief = msgspec.json.decode(line, type=Belief)
                if belief.kind == "life":
                    records.append(Truth(belief.at_ms, "started", place.member.name, place.name, belief.fields))
                records.append(msgspec.structs.replace(belief, place=place.name))
        return records


async def run_rig(
    schedule: pb.Schedule, seed: int, out: Path, progress: Callable[[float, str], None] = lambda part, phase: None
) -> tuple[list[Record], float]:
    """Run a schedule, and write its output to a folder whose earlier run is removed; raises ScenarioRunError.

    Returns the records, and the seconds until all gateways had joined.
    """
    if schedule.members > MAX_GATEWAYS:
        raise ScenarioRunError(
            f"{schedule.name}: {schedule.members} gateways are too many processes for one machine (at most "
            f"{MAX_GATEWAYS}); `lab fleet emulate` runs them in virtual time"
        )
    for entry in schedule.trouble:
        if entry.what in VIRTUAL_ONLY_FAULTS:
            raise ScenarioRunError(f"{schedule.name}: {pb.Breaks.Name(entry.what)} is emulated only")
    if out.exists():
        if any(out.iterdir()) and not (out / "schedule.txtpb").exists():
            raise ScenarioRunError(f"{out}: contains something else than an earlier run")
        shutil.rmtree(out)
    out.mkdir(parents=True)
    (out / "schedule.txtpb").write_text(text_format.MessageToString(schedule), encoding="utf-8")
    rig = Rig(schedule, seed, out, progress)
    try:
        await rig.open()
        await rig.run()
    finally:
        await rig.close()
    records = rig.records()
    write_records(out / "records.jsonl", records)
    return records, rig.ready_s
