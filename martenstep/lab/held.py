"""A day whose doors hold the counter themselves: what each door's settings need for that, and the tries it recorded."""

from __future__ import annotations

import contextlib
import secrets
import shutil
from collections.abc import Iterable
from pathlib import Path

from martenstep.config import door_pb2 as cfg
from martenstep.counter.protocol import ProtocolError, RecordAttempt, RecordReply, Status
from martenstep.counter.replicated_counter import ReplicatedCounter, decode_command
from martenstep.lab import day_pb2 as pb
from martenstep.replication.messages import EntryKind
from martenstep.replication.node_disk import GROUPS_FOLDER, load_disk_identity
from martenstep.replication.verify import StoredReplica, find_latest, read_folder
from martenstep.storage.files import Disk

SEEDS = 3  # doors that are told to all
FOLDER = "held"


class HeldFleet:
    """The doors' places, at loopback addresses of their own, and their disks below a day's folder."""

    def __init__(self, day: pb.Day, out: Path, ports: list[int]) -> None:
        """`ports`: three that are free, the same at every door's address."""
        self._day, self._out, self._ports = day, (out / FOLDER).absolute(), ports
        self._out.mkdir(parents=True)
        (self._out / "key").write_text(secrets.token_hex(32) + "\n")
        self._founders: dict[str, int] = {}
        for number in range(min(day.held_by_doors.copies, day.fleet.doors)):
            with contextlib.closing(Disk(self.disk(number) / "copies")) as disk:
                self._founders[f"door-{number}"] = load_disk_identity(disk).id

    def disk(self, number: int) -> Path:
        """What a door keeps."""
        return self._out / f"door-{number}"

    @staticmethod
    def _host(number: int) -> str:
        return f"127.0.3.{number + 1}"

    def settings(self, door: cfg.Door, number: int) -> None:
        """Let a door hold its part."""
        held, disk = self._day.held_by_doors, self.disk(number)
        fleet, copies = door.fleet, door.copies
        fleet.cluster, fleet.host, fleet.port = "day", self._host(number), self._ports[0]
        fleet.key_file, fleet.directory = str(self._out / "key"), str(disk / "fleet")
        fleet.suspect_least_ms = 2000
        for seed in range(min(SEEDS, self._day.fleet.doors)):
            fleet.seed.add(host=self._host(seed), port=self._ports[0])
        copies.directory, copies.witness = str(disk / "copies"), str(self._out / f"witness-{number}")
        copies.port, copies.counter_port = self._ports[1:]
        copies.slots, copies.count, copies.final_ms = held.slots, held.copies, held.final_ms
        for name, identity in self._founders.items():
            copies.founder.add(door=name, disk=identity)
        copies.book.SetInParent()
        copies.book.before_answer = held.before_answer
        door.counter.Clear()
        door.counter.held_by_doors, door.counter.journal = True, str(disk / "journal")
        door.counter.timeout_ms = self._day.store_timeout_ms

    def lose(self, number: int) -> None:
        """The machine is lost with its disk."""
        shutil.rmtree(self.disk(number), ignore_errors=True)
        shutil.rmtree(self._out / f"witness-{number}", ignore_errors=True)


def recorded_client_tries(out: Path) -> list[tuple[str, str, float]]:
    """Request, customer and units of each try that the doors' counter recorded, from the furthest copy of each slot.
    Raises LockedError where a door still runs, OSError."""
    found = [
        one
        for folder in sorted((out / FOLDER).glob("door-*/copies"))
        if (folder / GROUPS_FOLDER).exists()
        for one in read_folder(folder)
        if one.group.startswith("counter-")
    ]
    return [told for one in find_latest(found).values() for told in _tries(one)]


def _tries(found: StoredReplica) -> Iterable[tuple[str, str, float]]:
    if found.state.snapshot is not None:
        raise ValueError(f"{found.folder}: its first entries are in a snapshot, which does not hold tries one by one")
    machine = ReplicatedCounter()
    for entry in found.state.entries:
        if entry.kind is not EntryKind.COMMAND:
            continue
        reply = machine.apply(entry.data)
        if isinstance(reply, RecordReply) and reply.status is Status.DONE:
            with contextlib.suppress(ProtocolError):
                command = decode_command(entry.data)
                if isinstance(command, RecordAttempt):
                    yield command.request_id, command.customer, command.units
