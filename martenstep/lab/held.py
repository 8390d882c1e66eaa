"""Scenarios whose gateways hold the replicated counter themselves: the settings that each gateway needs for that, and
the client tries that the counter recorded."""

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

SEED_GATEWAYS = 3  # configured at all gateways as the contacts for joining the fleet
FOLDER = "held"


class ReplicatedCounterFleet:
    """The gateways' loopback addresses, one for each, and their disks below the scenario's folder."""

    def __init__(self, scenario: pb.Day, out: Path, ports: list[int]) -> None:
        """`ports`: three free ports, used at the address of every gateway."""
        self._scenario, self._out, self._ports = scenario, (out / FOLDER).absolute(), ports
        self._out.mkdir(parents=True)
        (self._out / "key").write_text(secrets.token_hex(32) + "\n")
        self._bootstrap_members: dict[str, int] = {}
        for number in range(min(scenario.held_by_doors.copies, scenario.fleet.doors)):
            with contextlib.closing(Disk(self.disk(number) / "copies")) as disk:
                self._bootstrap_members[f"door-{number}"] = load_disk_identity(disk).id

    def disk(self, number: int) -> Path:
        """The folder that stands for the disk of a gateway's machine."""
        return self._out / f"door-{number}"

    @staticmethod
    def _host(number: int) -> str:
        return f"127.0.3.{number + 1}"

    def apply_settings(self, gateway: cfg.Door, number: int) -> None:
        """Add to a gateway's settings what makes it hold replicas of the counter."""
        counter, disk = self._scenario.held_by_doors, self.disk(number)
        fleet, copies = gateway.fleet, gateway.copies
        fleet.cluster, fleet.host, fleet.port = "day", self._host(number), self._ports[0]
        fleet.key_file, fleet.directory = str(self._out / "key"), str(disk / "fleet")
        fleet.suspect_least_ms = 2000
        for seed in range(min(SEED_GATEWAYS, self._scenario.fleet.doors)):
            fleet.seed.add(host=self._host(seed), port=self._ports[0])
        copies.directory, copies.witness = str(disk / "copies"), str(self._out / f"witness-{number}")
        copies.port, copies.counter_port = self._ports[1:]
        copies.slots, copies.count, copies.final_ms = counter.slots, counter.copies, counter.final_ms
        for name, identity in self._bootstrap_members.items():
            copies.founder.add(door=name, disk=identity)
        copies.book.SetInParent()
        copies.book.before_answer = counter.before_answer
        gateway.counter.Clear()
        gateway.counter.held_by_doors, gateway.counter.journal = True, str(disk / "journal")
        gateway.counter.timeout_ms = self._scenario.store_timeout_ms

    def destroy_disk(self, number: int) -> None:
        """Delete what a gateway stored, as when its machine is lost."""
        shutil.rmtree(self.disk(number), ignore_errors=True)
        shutil.rmtree(self._out / f"witness-{number}", ignore_errors=True)


def recorded_client_tries(out: Path) -> list[tuple[str, str, float]]:
    """Request, customer and units of each client try that the gateways' counter recorded, from the most advanced
    replica of each replica group.  Raises OSError, and LockedError where a gateway still runs."""
    replicas = [
        replica
        for folder in sorted((out / FOLDER).glob("door-*/copies"))
        if (folder / GROUPS_FOLDER).exists()
        for replica in read_folder(folder)
        if replica.group.startswith("counter-")
    ]
    return [recorded for replica in find_latest(replicas).values() for recorded in _client_tries(replica)]


def _client_tries(replica: StoredReplica) -> Iterable[tuple[str, str, float]]:
    if replica.state.snapshot is not None:
        raise ValueError(f"{replica.folder}: its first entries are in a snapshot, which does not hold the single tries")
    machine = ReplicatedCounter()
    for entry in replica.state.entries:
        if entry.kind is not EntryKind.COMMAND:
            continue
        reply = machine.apply(entry.data)
        if isinstance(reply, RecordReply) and reply.status is Status.DONE:
            with contextlib.suppress(ProtocolError):
                command = decode_command(entry.data)
                if isinstance(command, RecordAttempt):
                    yield command.request_id, command.customer, command.units
