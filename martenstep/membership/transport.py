"""Binds the membership core to sockets: datagrams over UDP, exchanges over TCP, at one address.

A stream: the server greets with `2s magic, u8 version, 16 bytes drawn for it`; the client answers with 16 bytes of its
own and its first frame; frames then go back and forth, at most two from each side, sealed in the context of both draws.
Everything is bounded: time, sizes, streams at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from martenstep.config import door_pb2 as pb
from martenstep.event_log import EventLog
from martenstep.membership import identity as kept
from martenstep.membership.codec import (
    MAGIC,
    MAX_FRAME_BYTES,
    VERSION,
    Keyring,
    ProtocolError,
    cluster_hash,
    frame_context,
    open_frame,
    seal_frame,
)
from martenstep.membership.core import (
    MemberEvent,
    MembershipCore,
    MembershipSettings,
    OpenExchange,
    SendDatagram,
    Stage,
)
from martenstep.membership.keys import KeyFileError, read_keyring
from martenstep.membership.member_table import MemberRecord, MemberState, SelfReport
from martenstep.storage.files import Disk, LockedError
from martenstep.tasks import Tasks

STREAM_S = 2.0  # an exchange that is not done by then is given up, on both sides
MOST_STREAMS = 32  # served at once: more are closed, and come again
DRAW_BYTES = 16
LEAVE_S = 3.0  # a door that leaves tells so for this long at most
KEEP_S = 30.0  # between two times that others' addresses are kept
QUIET = frozenset({"withdrawn", "forgotten"})  # of no use to staff in a log


def now_ms() -> float:
    """The clock that the core is given: monotonic, and the same for all processes of a machine."""
    return time.monotonic() * 1000


class DatagramReceiver(asyncio.DatagramProtocol):
    """Hands on what comes."""

    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._take(data)

    def error_received(self, exc: Exception) -> None:
        """A port that nobody holds answers so: nothing follows from it here, a core finds out by its probe."""


class MembershipService:
    """One door's part in the fleet, on sockets."""

    def __init__(
        self,
        fleet: pb.Fleet,
        name: str,
        zone: str,
        log_event: EventLog,
        changed: Callable[[MemberEvent], None] | None = None,
    ) -> None:
        """Raises KeyFileError where the keys cannot be read."""
        self._fleet, self._name, self._zone, self._log_event = fleet, name, zone, log_event
        self._changed = changed
        self._rng = random.SystemRandom()
        self._keys = read_keyring(Path(fleet.key_file))
        self._cluster = cluster_hash(fleet.cluster)
        self._ways = {(way.to.host, way.to.port): (way.through.host, way.through.port) for way in fleet.way}
        self._disk: Disk | None = None
        self._identity = kept.NodeIdentity(self._rng.getrandbits(62), 1)
        self.core: MembershipCore | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks = Tasks("fleet", log_event)
        self._streams = 0
        self._record: BinaryIO | None = None
        self._moved = asyncio.Event()  # set and replaced with each change of the view
        self._gone = asyncio.Event()
        self.port = 0

    # Start and end.

    async def start(self) -> int:
        """Bind, and look for the others; gives the port.  Raises OSError where the address cannot be bound."""
        fleet = self._fleet
        if fleet.directory:
            await asyncio.to_thread(self._take_up)
        loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(self._serve, fleet.host, fleet.port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        family = self._server.sockets[0].family
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: DatagramReceiver(self._arrived), local_addr=(fleet.host, self.port), family=family
            )
        except OSError:
            self._server.close()
            raise
        with contextlib.suppress(OSError):  # room for what comes while this process stands
            self._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        told = fleet.advertise
        host, port = (told.host, told.port) if fleet.HasField("advertise") else (fleet.host, self.port)
        life = self._rng.getrandbits(62)
        me = MemberRecord(
            self._name,
            0,
            self._identity.identity,
            self._identity.starts,
            MemberState.ALIVE,
            life,
            host,
            port,
            self._zone,
        )
        seeds = [(seed.host, seed.port) for seed in fleet.seed]
        seeds += [address for address in self._identity.addresses if address not in seeds]
        settings = MembershipSettings(
            fleet.cluster,
            tuple(seeds),
            fleet.period_ms,
            fleet.ack_ms,
            fleet.gossip_ms,
            fleet.suspect_least_ms,
            fleet.reclaim_ms,
        )
        if fleet.record:
            self._record = await asyncio.to_thread(Path(fleet.record).open, "ab", 0)
        self.core = MembershipCore(settings, me, self._keys, random.Random(self._rng.getrandbits(62)), now_ms())
        self._write("life", self._name, {"life": life, "host": host, "port": port})
        self._log_event(
            "fleet",
            {
                "cluster": fleet.cluster,
                "host": host,
                "port": port,
                "identity": f"{me.node_id:016x}",
                "incarnation": me.incarnation,
            },
        )
        self._after()
        if self._disk is not None:
            self._tasks.spawn(self._keep_addresses())
        return self.port

    def _take_up(self) -> None:
        try:
            self._disk = Disk(Path(self._fleet.directory))
            self._identity, wrong = kept.load_identity(self._disk, self._rng)
        except (OSError, LockedError) as error:
            wrong = str(error)
        if wrong:
            self._log_event("fleet identity", {"wrong": wrong})

    async def leave(self) -> None:
        """Tell the others that this door goes, and wait until that is spread or its time is over."""
        core = self.core
        if core is None or core.stage is Stage.LEFT:
            return
        core.leave(now_ms())
        self._after()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_S):
                await self._gone.wait()

    async def stop(self) -> None:
        """Let go of all."""
        if self._timer is not None:
            self._timer.cancel()
        self._tasks.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        if self._disk is not None:
            await asyncio.to_thread(self._keep)
            self._disk.close()
            self._disk = None
        if self._record is not None:
            self._record.close()
            self._record = None

    @property
    def keyring(self) -> Keyring:
        """Those in force."""
        return self._keys

    def route(self, address: tuple[str, int]) -> tuple[str, int]:
        """Where what is for an address goes to."""
        return self._ways.get(address, address)

    def reload_keys(self) -> None:
        """Read the keys anew; what cannot be read leaves those in force."""
        try:
            self._keys = read_keyring(Path(self._fleet.key_file))
        except KeyFileError as error:
            self._log_event("fleet keys not taken up", {"error": str(error)})
            return
        if self.core is not None:
            self.core.keys = self._keys
        self._log_event("fleet keys taken up", {})

    async def _keep_addresses(self) -> None:
        while True:
            await asyncio.sleep(KEEP_S)
            await asyncio.to_thread(self._keep)

    def _keep(self) -> None:
        if self.core is None or self._disk is None:
            return
        self._identity.addresses = [
            fact.address for fact in self.core.table if fact.present and fact.name != self._name
        ][: kept.MAX_ADDRESSES]
        wrong = kept.store_identity(self._disk, self._identity)
        if wrong:
            self._log_event("fleet identity", {"wrong": wrong})

    # The core's actions.

    def _after(self) -> None:
        core = self.core
        assert core is not None
        actions, core.out = core.out, []
        for action in actions:
            if isinstance(action, SendDatagram):
                if self._transport is not None and not self._transport.is_closing():
                    self._transport.sendto(action.data, self._ways.get(action.to, action.to))
            elif isinstance(action, OpenExchange):
                self._tasks.spawn(self._dial(action))
            else:
                self._told(action)
        if self._timer is not None:
            self._timer.cancel()
        if core.stage is not Stage.LEFT:
            self._timer = asyncio.get_running_loop().call_at(core.next_due_ms / 1000, self._wake)

    def _wake(self) -> None:
        assert self.core is not None
        self.core.wake(now_ms())
        self._after()

    def _arrived(self, data: bytes) -> None:
        if self.core is not None:
            self.core.receive(now_ms(), data)
            self._after()

    def _told(self, event: MemberEvent) -> None:
        self._write(event.kind, event.member, event.fields)
        if event.kind not in QUIET:
            self._log_event(
                "fleet member" if event.member != self._name else "fleet self",
                {"what": event.kind, "member": event.member, **event.fields},
            )
        if event.kind == "gone":
            self._gone.set()
        self._moved.set()
        self._moved = asyncio.Event()
        if self._changed is not None:
            self._changed(event)

    def _write(self, kind: str, about: str, fields: dict[str, Any]) -> None:
        if self._record is not None:
            line = {
                "type": "belief",
                "at_ms": now_ms(),
                "place": self._name,
                "kind": kind,
                "about": about,
                "fields": fields,
            }
            with contextlib.suppress(OSError):
                self._record.write(msgspec.json.encode(line) + b"\n")

    # Streams.

    async def _dial(self, dial: OpenExchange) -> None:
        core = self.core
        assert core is not None
        body: bytes | None = core.open_exchange(dial.token)
        try:
            async with asyncio.timeout(STREAM_S):
                reader, writer = await asyncio.open_connection(*self._ways.get(dial.to, dial.to))
                try:
                    greeting = await reader.readexactly(len(MAGIC) + 1 + DRAW_BYTES)
                    if greeting[: len(MAGIC) + 1] != MAGIC + bytes([VERSION]):
                        raise ProtocolError("version")
                    theirs, mine = greeting[len(MAGIC) + 1 :], secrets.token_bytes(DRAW_BYTES)
                    writer.write(mine)
                    place = 0
                    while body is not None:
                        writer.write(seal_frame(self._keys, self._context(theirs, mine, place), body))
                        answer = await self._frame(reader, self._context(theirs, mine, place + 1))
                        body = core.continue_exchange(now_ms(), dial.token, answer)
                        self._after()
                        place += 2
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ProtocolError):
            core.continue_exchange(now_ms(), dial.token, None)
            self._after()

    def _context(self, server: bytes, client: bytes, place: int) -> bytes:
        return frame_context(self._cluster, server, client, place)

    async def _frame(self, reader: asyncio.StreamReader, context: bytes) -> bytes:
        length = int.from_bytes(await reader.readexactly(4), "big")
        if length > MAX_FRAME_BYTES:
            raise ProtocolError("length")
        return open_frame(self._keys, context, await reader.readexactly(length))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        core = self.core
        if core is None or self._streams >= MOST_STREAMS:
            writer.close()
            return
        self._streams += 1
        mine = secrets.token_bytes(DRAW_BYTES)
        try:
            async with asyncio.timeout(STREAM_S):
                writer.write(MAGIC + bytes([VERSION]) + mine)
                theirs = await reader.readexactly(DRAW_BYTES)
                for place in (0, 2):
                    body = await self._frame(reader, self._context(mine, theirs, place))
                    answer = core.serve_exchange(now_ms(), body)
                    self._after()
                    writer.write(seal_frame(self._keys, self._context(mine, theirs, place + 1), answer))
                    await writer.drain()
        except ProtocolError as error:
            core.counters[f"dropped_stream_{error.reason.replace(' ', '_')}"] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            self._streams -= 1
            writer.close()

    # What others may ask.

    @property
    def version(self) -> int:
        """Of the view; it rises with each change."""
        return self.core.table.version if self.core is not None else 0

    async def wait_newer(self, version: int, wait_s: float) -> None:
        """Wait until the view is newer, or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.version <= version:
                    await self._moved.wait()

    def view(self) -> dict[str, Any]:
        """What this door holds, as the admin listener tells it."""
        core = self.core
        if core is None:
            return {"stage": "off", "members": []}
        now = now_ms()
        return {
            "cluster": self._fleet.cluster,
            "me": core.record.name,
            "stage": core.stage.value,
            "version": self.version,
            "deaf": core.receive_partitioned,
            "unheard": core.send_partitioned,
            "health": core.health_score,
            "life": core.record.boot_id,
            "members": [
                {
                    "name": fact.name,
                    "state": fact.state.name.lower(),
                    "zone": fact.zone,
                    "host": fact.host,
                    "port": fact.port,
                    "era": fact.epoch,
                    "incarnation": fact.incarnation,
                    "life": fact.boot_id,
                    "identity": f"{fact.node_id:016x}",
                    "deaf": bool(fact.self_report & SelfReport.RECEIVE_PARTITIONED),
                    "unheard": bool(fact.self_report & SelfReport.SEND_PARTITIONED),
                    "by": fact.reported_by,
                    "says": fact.self_report,
                    "since_ms": round(now - core.table.state_since_ms.get(fact.name, now)),
                }
                for fact in sorted(core.table, key=lambda fact: fact.name)
            ],
            "counts": dict(core.counters),
        }

    def counters(self) -> dict[str, float]:
        """For metrics."""
        if self.core is None:
            return {}
        return {f"fleet_{name}": count for name, count in self.core.counters.items()}

    def gauges(self) -> dict[str, float]:
        """For metrics."""
        core = self.core
        if core is None:
            return {}
        made: dict[str, float] = {f"fleet_members_{state.name.lower()}": 0 for state in MemberState}
        for fact in core.table:
            made[f"fleet_members_{fact.state.name.lower()}"] += 1
        return {
            **made,
            "fleet_joined": core.joined,
            "fleet_deaf": core.receive_partitioned,
            "fleet_unheard": core.send_partitioned,
            "fleet_health": core.health_score,
            "fleet_version": self.version,
        }
