"""Plays a schedule between real `martenstep serve` processes on loopback, each with a directory of its own.

Every datagram and stream between two doors passes through a relay of this process.  Processes are stopped (SIGSTOP),
killed and started again with their disk, without it or with an old copy.  What each door believed it writes itself, on
the machine's monotonic clock; what was done to it is written here on the same clock.
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
from martenstep.lab.fleet.records import Belief, Held, Record, Truth, View, write_records
from martenstep.lab.fleet.relay import Forger, Relay
from martenstep.lab.fleet.schedule import DISK, Member, Step, members_of, steps_of
from martenstep.lab.fleet.wires import Wires
from martenstep.lab.play import Process, ScenarioRunError
from martenstep.lab.ports import reserve_ports
from martenstep.membership.member import Address
from martenstep.replication.node_disk import load_disk_identity
from martenstep.standins.base import now_ms
from martenstep.storage.disk_faults import DISK_FAULTS_VARIABLE
from martenstep.storage.files import Disk

MOST_DOORS = 24
JOIN_S = 30.0  # all must have joined within this of the last being started
ASK_S = 5.0  # an admin listener that does not answer by then is silent
POLL_S = 0.1
FILES_A_PAIR = 4  # datagrams, streams, and a stream under way on both sides
FILES_OF_COPIES = 6  # two more listeners a pair, each with a stream under way on both sides
VIRTUAL_ONLY = (pb.LATE,)


@dataclass(slots=True)
class Place:
    """One door's machine."""

    name: str
    member: Member
    address: Address
    folder: Path
    process: Process | None = None
    starts: int = 0
    paused: bool = False
    ended: bool = False  # the process was ended by the schedule
    ways: list[tuple[Address, Address]] = field(default_factory=list)
    log: BinaryIO | None = None

    @property
    def disk(self) -> Path:
        """What it keeps."""
        return self.folder / "disk"

    @property
    def copies(self) -> Path:
        """What it holds for others, on its disk."""
        return self.disk / "copies"

    @property
    def witness(self) -> Path:
        """What a disk that is put back does not bring along."""
        return self.folder / "witness"

    @property
    def faults(self) -> Path:
        """What its disk does wrong."""
        return self.folder / "disk-faults.json"


def door_settings(
    schedule: pb.Schedule, place: Place, number: int, seeds: list[Address], key_file: Path, feed_port: int, record: Path
) -> cfg.Door:
    """The settings of one door: what a door must have, and its fleet."""
    door = cfg.Door(
        name=place.member.name,
        instance=number,
        instances=max(schedule.members, number + 1),
        zone=place.member.zone,
        default_plan="open",
    )
    door.listener.port = door.admin.port = 0
    door.members.port = feed_port
    getattr(door, "class").add(name="read", aim_ms=1000, deadline_ms=4000)
    door.plan.add(name="open")
    route = door.route.add(name="all", path_prefix="/", customer_header="x-customer")
    setattr(route, "class", "read")
    fleet = door.fleet
    fleet.cluster, fleet.key_file, fleet.record = "rig", str(key_file), str(record)
    fleet.host, fleet.port = place.address
    fleet.directory = str(place.disk)
    fleet.period_ms, fleet.suspect_least_ms = schedule.period_ms, schedule.suspect_least_ms
    fleet.ack_ms, fleet.reclaim_ms = min(150.0, schedule.period_ms / 2), schedule.reclaim_ms
    for host, port in seeds:
        fleet.seed.add(host=host, port=port)
    for to, through in place.ways:
        way = fleet.way.add()
        way.to.host, way.to.port = to
        way.through.host, way.through.port = through
    return door


def hold(door: cfg.Door, schedule: pb.Schedule, place: Place, ports: tuple[int, int], founders: dict[str, int]) -> None:
    """Let a door hold copies, and the counter."""
    copies = door.copies
    copies.directory, copies.witness = str(place.copies), str(place.witness)
    copies.port, copies.counter_port = ports
    copies.slots, copies.count, copies.final_ms = schedule.slots, schedule.copies, schedule.final_ms
    for name, disk in founders.items():
        copies.founder.add(door=name, disk=disk)
    if schedule.maintenance:
        door.maintenance.capacity = 1.0
    door.counter.held_by_doors = True
    door.counter.journal = str(place.disk / "journal")


async def ask(port: int, path: str, method: str = "GET") -> dict[str, Any]:
    """An admin listener's answer; raises OSError, TimeoutError or ValueError."""
    async with asyncio.timeout(ASK_S):
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
    """A fleet of real doors."""

    def __init__(self, schedule: pb.Schedule, seed: int, out: Path, progress: Callable[[float, str], None]) -> None:
        self._schedule, self._seed, self._out, self._progress = schedule, seed, out, progress
        self._members = members_of(schedule)
        self._rng = random.Random(f"{schedule.name} {seed}")
        self._wires = Wires(self._members, random.Random(f"wires {seed}"))
        self._relays: dict[tuple[str, Address], Relay] = {}
        self._records: list[Record] = []
        self._places: dict[str, Place] = {}
        self._feed: Process | None = None
        self._feed_log: BinaryIO | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._forger = Forger(random.Random(f"forged {seed}"))
        self._faults: list[str] = []
        self.ports = (0, 0)  # of the copies, and of the counter that they hold
        self._founders: dict[str, int] = {}
        self.ready_s = 0.0  # from the first start to all having joined

    # The fleet.

    async def open(self) -> None:
        """Start everything, and wait until every door has joined."""
        (self._out / "records").mkdir(parents=True, exist_ok=True)
        (self._out / "key").write_text(secrets.token_hex(32) + "\n")
        self._lay_out()
        self._raise_files()
        await asyncio.gather(*(self._wire(place) for place in self._places.values()))
        self._feed_log = (self._out / "feed.log").open("ab")
        self._feed = Process("feed", ["standin", "feed"], self._feed_log)
        began = now_ms()
        await self._feed.start()
        await asyncio.gather(*(self._start(self._places[member.name]) for member in self._members))
        await self._all_joined()
        self.ready_s = (now_ms() - began) / 1000

    def _lay_out(self) -> None:
        """Who is where: each member at a loopback address of its own, and who comes later beside them."""
        port, *others = reserve_ports(3)
        self.ports = others[0], others[1]
        for number, member in enumerate(self._members):
            self._place(member.name, member, (f"127.0.1.{number + 1}", port))
            if number < self._schedule.copies and self._schedule.slots:
                with contextlib.closing(Disk(self._places[member.name].copies)) as disk:
                    self._founders[member.name] = load_disk_identity(disk).id
        for number, entry in enumerate(self._schedule.trouble):
            if entry.what not in (pb.TWIN, pb.SQUAT):
                continue
            first = next(step.who[0] for step in steps_of(self._schedule, self._seed) if step.number == number)
            held = self._places[first]
            if entry.what == pb.TWIN:
                self._place(f"{first}-twin", held.member, (f"127.0.2.{number + 1}", port))
            else:
                name = f"{first}-squatter"
                self._place(name, Member(name, held.member.zone), held.address)

    def _place(self, name: str, member: Member, address: Address) -> None:
        folder = self._out / name
        folder.mkdir(exist_ok=True)
        self._places[name] = Place(name, member, address, folder)

    def _raise_files(self) -> None:
        need = len(self._places) ** 2 * (FILES_A_PAIR + (FILES_OF_COPIES if self._schedule.slots else 0)) + 200
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY and need > hard:
            raise ScenarioRunError(f"{need} open files are needed, {hard} are allowed")
        if soft < need:
            resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))

    async def _wire(self, place: Place) -> None:
        """The relays from one place to all others."""
        for other in self._places.values():
            if other.address == place.address or any(to == other.address for to, _ in place.ways):
                continue
            host, port = other.address
            for held in (port, *(self.ports if self._schedule.slots else ())):
                relay = Relay(self._wires, place.member.name, other.member.name, (host, held), now_ms)
                place.ways.append(((host, held), await relay.start(datagrams=held == port)))
                self._relays[place.name, (host, held)] = relay

    async def _start(self, place: Place) -> None:
        number = list(self._places).index(place.name)
        place.starts += 1
        record = self._out / "records" / f"{place.name}-{place.starts}.jsonl"
        seeds = [self._places[member.name].address for member in self._members[: self._schedule.seeds]]
        assert self._feed is not None
        door = door_settings(self._schedule, place, number, seeds, self._out / "key", self._feed.ready["port"], record)
        if self._schedule.slots:
            hold(door, self._schedule, place, self.ports, self._founders)
        settings = place.folder / "door.txtpb"
        settings.write_text(text_format.MessageToString(door), encoding="utf-8")
        if place.log is None:
            place.log = (place.folder / "door.log").open("ab")
        place.process = Process(
            place.name, ["serve", str(settings)], place.log, {DISK_FAULTS_VARIABLE: str(place.faults)}
        )
        place.paused = place.ended = False
        try:
            await place.process.start()
        except ScenarioRunError:
            if place.ended:
                return  # killed by the schedule before it was ready
            raise
        if "fleet" not in place.process.ready:
            raise ScenarioRunError(f"{place.name}: has no fleet; see its log")

    def _running(self) -> list[Place]:
        return [place for place in self._places.values() if place.process is not None and place.process.running]

    async def view(self, name: str) -> dict[str, Any] | None:
        """What a door holds; None where it cannot be asked."""
        return await self._view(self._places[name])

    async def _view(self, place: Place, path: str = "/members") -> dict[str, Any] | None:
        if place.process is None or not place.process.running or place.paused or not place.process.ready:
            return None
        try:
            return await ask(place.process.ready["admin"], path)
        except (OSError, TimeoutError, ValueError, msgspec.DecodeError):
            return None

    async def held(self, name: str) -> dict[str, Any] | None:
        """The copies that a door holds; None where it cannot be asked."""
        return await self._view(self._places[name], "/copies")

    def counter_addresses(self) -> list[Address]:
        """Where doors ask for the counter that the doors hold."""
        return [(self._places[member.name].address[0], self.ports[1]) for member in self._members]

    def copies_folders(self) -> list[Path]:
        """Of all doors."""
        return [self._places[member.name].copies for member in self._members]

    async def _all_joined(self) -> None:
        try:
            async with asyncio.timeout(JOIN_S):
                while True:
                    views = await asyncio.gather(*(self._view(place) for place in self._running()))
                    if all(
                        view is not None
                        and view["stage"] == "joined"
                        and sum(one["state"] == "alive" for one in view["members"]) == len(self._members)
                        for view in views
                    ):
                        return
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise ScenarioRunError(f"not every door had joined after {JOIN_S:.0f} s; see the logs") from None

    # Truths.

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

    # SettingsError.

    async def play(self) -> None:
        """The time line, then the time to settle, then what each door holds."""
        schedule = self._schedule
        for place in self._running():
            self._views(place, await self._view(place))
        begin = now_ms()
        self._truth("begins")
        for place in self._places.values():
            if place.disk.exists():
                shutil.copytree(place.disk, place.folder / "old", dirs_exist_ok=True)
        for step in steps_of(schedule, self._seed):
            await self._until(begin + step.at_ms, "faults")
            self.apply(step)
        await self._until(begin + schedule.length_ms, "faults")
        self._truth("faults over")
        await self._until(begin + schedule.length_ms + schedule.settle_ms, "settling")
        await asyncio.gather(*list(self._tasks))
        if self._faults:
            raise ScenarioRunError("; ".join(self._faults))
        for place in self._running():
            self._views(place, await self._view(place))
        self._truth("ends")

    async def _until(self, at: float, what: str) -> None:
        while (left := at - now_ms()) > 0:
            await asyncio.sleep(min(left, 500.0) / 1000)
            total = self._schedule.length_ms + self._schedule.settle_ms
            self._progress(min(1.0, max(0.0, 1 - left / total)), what)

    def _views(self, place: Place, view: dict[str, Any] | None) -> None:
        if view is None:
            self._faults.append(f"{place.name} does not tell its view")
            return
        held = [Held(one["name"], one["state"], one["life"], one["says"]) for one in view["members"]]
        self._records.append(View(now_ms(), place.name, view["stage"], held, view["counts"]))

    def _spawn(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._faults.append(str(task.exception()))

    def apply(self, step: Step) -> None:
        """Let a fault begin or end, now."""
        entry, what = step.entry, step.entry.what
        self._truth(
            "fault begins" if step.on else "fault ends",
            number=step.number,
            what=pb.Breaks.Name(what),
            who=list(step.who),
        )
        self._wires.step(step)
        places = [self._places[name] for name in step.who]
        if what == pb.PAUSE:
            for place in places:
                self._pause(place, step.on)
        elif what in (pb.KILL, pb.LEAVE):
            for place in places:
                if step.on:
                    self._spawn(self._end(place, leave=what == pb.LEAVE))
                else:
                    self._spawn(self._again(place, entry.disk))
        elif what in DISK:
            for place in places:
                self._disk(place, entry, step.on)
        elif what in (pb.TWIN, pb.SQUAT):
            self._spawn(self._other(places, what, step.on))
        elif what == pb.FORGE and step.on:
            self._spawn(self._forge(entry))

    @staticmethod
    def _disk(place: Place, entry: pb.Break, on: bool) -> None:
        """Its file layer reads this at each operation."""
        told = {pb.DISK_FULL: {"full": 1}, pb.SYNC_FAILS: {"sync_fails": 1}, pb.SYNC_SLOW: {"sync_ms": entry.ms}}
        place.faults.write_bytes(msgspec.json.encode(told[entry.what] if on else {}))

    def _pause(self, place: Place, on: bool) -> None:
        if place.process is None or not place.process.running or place.paused == on:
            return
        place.paused = on
        place.process.signal(signal.SIGSTOP if on else signal.SIGCONT)
        self._truth("paused" if on else "resumed", place)

    async def _end(self, place: Place, leave: bool = False) -> None:
        if place.process is None or not place.process.running:
            return
        place.ended = True
        if not leave:
            await place.process.kill()
            self._truth("killed", place)
            return
        self._truth("leaving", place)
        await place.process.stop()
        self._truth("left", place)

    async def _again(self, place: Place, disk: int) -> None:
        if place.process is not None and place.process.running:
            return
        if disk != pb.KEPT and place.disk.exists():
            shutil.rmtree(place.disk)
        if disk == pb.WIPED and place.witness.exists():
            shutil.rmtree(place.witness)  # another machine
        if disk == pb.OLD and (place.folder / "old").exists():
            shutil.copytree(place.folder / "old", place.disk)
        await self._start(place)

    async def _other(self, places: list[Place], what: int, on: bool) -> None:
        other = self._places[f"{places[0].name}-{'twin' if what == pb.TWIN else 'squatter'}"]
        if on:
            if what == pb.SQUAT:
                await asyncio.gather(*(self._end(place) for place in places))
            await self._start(other)
            return
        await self._end(other)
        if what == pb.SQUAT:
            await asyncio.gather(*(self._again(place, pb.KEPT) for place in places))

    async def _forge(self, entry: pb.Break) -> None:
        until = now_ms() + (entry.for_ms or self._schedule.length_ms)
        relays = [relay for (_, (_, port)), relay in self._relays.items() if port not in self.ports]
        while now_ms() < until:
            old = [relay.last for relay in relays if relay.last]
            self._rng.choice(relays).send(self._forger.made(old))
            await asyncio.sleep(1 / entry.per_s)

    # The end.

    async def close(self) -> None:
        """Tear all down, whatever happened."""
        for task in list(self._tasks):
            task.cancel()
        for place in self._places.values():
            if place.paused:
                self._pause(place, False)
        # SettingsError are over and the verdict is taken: nobody needs to leave in good order.
        await asyncio.gather(*(place.process.kill() for place in self._places.values() if place.process is not None))
        if self._feed is not None:
            await self._feed.stop()
        for relay in self._relays.values():
            relay.close()
        for log in (self._feed_log, *(place.log for place in self._places.values())):
            if log is not None:
                log.close()

    def records(self) -> list[Record]:
        """Truths of this process and beliefs of all others, in order."""
        made = list(self._records)
        for place in self._places.values():
            for number in range(1, place.starts + 1):
                path = self._out / "records" / f"{place.name}-{number}.jsonl"
                if path.exists():
                    made += self._beliefs(place, path)
        return sorted(made, key=lambda record: record.at_ms)

    @staticmethod
    def _beliefs(place: Place, path: Path) -> list[Record]:
        made: list[Record] = []
        for line in path.read_bytes().splitlines():
            with contextlib.suppress(msgspec.DecodeError):  # a kill may cut the last one short
                belief = msgspec.json.decode(line, type=Belief)
                if belief.kind == "life":
                    made.append(Truth(belief.at_ms, "started", place.member.name, place.name, belief.fields))
                made.append(msgspec.structs.replace(belief, place=place.name))
        return made


async def play_rig(
    schedule: pb.Schedule, seed: int, out: Path, progress: Callable[[float, str], None] = lambda part, what: None
) -> tuple[list[Record], float]:
    """Play a schedule into a folder, whose old play is removed; gives the records and how long the fleet took to be
    ready.  Raises ScenarioRunError."""
    if schedule.members > MOST_DOORS:
        raise ScenarioRunError(
            f"{schedule.name}: {schedule.members} doors are too many processes for one machine (at most "
            f"{MOST_DOORS}); without --sockets they are emulated"
        )
    for entry in schedule.trouble:
        if entry.what in VIRTUAL_ONLY:
            raise ScenarioRunError(f"{schedule.name}: {pb.Breaks.Name(entry.what)} is emulated only")
    if out.exists():
        if any(out.iterdir()) and not (out / "schedule.txtpb").exists():
            raise ScenarioRunError(f"{out}: holds something else than a play")
        shutil.rmtree(out)
    out.mkdir(parents=True)
    (out / "schedule.txtpb").write_text(text_format.MessageToString(schedule), encoding="utf-8")
    rig = Rig(schedule, seed, out, progress)
    try:
        await rig.open()
        await rig.play()
    finally:
        await rig.close()
    records = rig.records()
    write_records(out / "records.jsonl", records)
    return records, rig.ready_s
