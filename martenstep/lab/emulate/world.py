"""A day in virtual time: the same file, the same troubles, the same traces and the same judge as over sockets."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from martenstep.config import door_pb2 as cfg
from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import (
    endpoint_entry,
    length_ms,
    offline_gateway_settings,
    schedule,
    server_settings,
    targets_of,
    zone_name,
)
from martenstep.lab.emulate.auth import EmuAuth
from martenstep.lab.emulate.clients import EmuCrowd, manners_of
from martenstep.lab.emulate.core import Draws, Sim, Streams
from martenstep.lab.emulate.doors import Costs, EmuDoor
from martenstep.lab.emulate.limited import LimitedDoor
from martenstep.lab.emulate.limiters import Buckets
from martenstep.lab.emulate.net import Network, Pipe, Place, Weather
from martenstep.lab.emulate.servers import EmuServer
from martenstep.lab.emulate.store import EmuStore
from martenstep.lab.rules import Line
from martenstep.standins.feed import KEPT_CHANGES

LEAD_MS = 1000.0  # from the begin to the first request: doors read the list
AFTER_MS = 60_000.0  # clients that are not done so long after the last arrival have failed
FEED_AGAIN_MS = 300.0  # about; a door that lost the feed asks again
COPY_EVERY_MS = 100.0  # a replica of the store is so far behind
NOT_HERE = ("COUNTER_KILLED", "STORE_SLOTS_MOVE")  # troubles of what is not modelled


class NotEmulatedError(Exception):
    """A day with something that the emulator has no model of."""


@dataclass(slots=True)
class Traces:
    """What happened, line by line as the processes of a played day write it."""

    clients: list[Line] = field(default_factory=list)
    servers: list[Line] = field(default_factory=list)
    feed: list[Line] = field(default_factory=list)
    events: list[Line] = field(default_factory=list)
    auth: list[Line] = field(default_factory=list)


class EmuFeed:
    """The members feed: changes told late, stale, in part or not at all."""

    def __init__(self, sim: Sim, net: Network, lag_ms: float, draws: Draws, write: Callable[..., None]) -> None:
        self._sim, self._net, self._lag, self._draws, self._write = sim, net, lag_ms, draws, write
        self._place = Place("feed", "a")
        self._servers: dict[int, dict[str, Any]] = {}
        self._changes: list[tuple[int, list[dict[str, Any]]]] = []
        self._index = 1
        self._doors: dict[EmuDoor, Pipe] = {}
        self.stale = self.down = False
        self._partial = 0.0
        self._cut: set[str] = set()

    def update(self, servers: list[dict[str, Any]], now: bool = False) -> None:
        """Entries that changed, told after the lag."""
        self._sim.after(0.0 if now else self._lag * self._draws.between(0.5, 1.5), self._apply, servers)

    def _apply(self, servers: list[dict[str, Any]]) -> None:
        self._index += 1
        self._servers.update({server["id"]: server for server in servers})
        self._changes.append((self._index, servers))
        del self._changes[:-KEPT_CHANGES]
        self._servers = {key: server for key, server in self._servers.items() if server["state"] != "gone"}
        self._news()

    def partial(self, share: float) -> None:
        """Tell whole lists that lack a share."""
        self._partial = share
        self._changes.clear()
        self._index += 1
        self._news()

    def set_stale(self, on: bool) -> None:
        """Tell no change, or all that was not told."""
        self.stale = on
        if not on:
            self._news()

    def cut(self, doors: set[str]) -> None:
        """Drop the polls of these doors, and take none of theirs."""
        self._cut = doors
        for door in list(self._doors):
            if door.name in doors or self.down:
                del self._doors[door]
                door.feed_lost()
                self._again(door)

    def subscribe(self, door: EmuDoor) -> None:
        """A door's first poll."""
        self._sim.after(1.0, self._poll, door)

    def _again(self, door: EmuDoor) -> None:
        self._sim.after(FEED_AGAIN_MS * self._draws.between(0.5, 1.5), self._poll, door)

    def _poll(self, door: EmuDoor) -> None:
        if not door.alive:
            return
        if self.down or door.name in self._cut:
            self._again(door)
            return
        self._doors[door] = Pipe(self._net, self._place, door.place)
        self._tell(door, self._message(door.follower.index))

    def _news(self) -> None:
        if self.stale or self.down:
            return
        made: dict[int, tuple[bytes, str, list[dict[str, Any]]]] = {}
        for door in list(self._doors):
            if not door.alive:
                del self._doors[door]
                continue
            index = door.follower.index
            if index not in made:
                made[index] = self._message(index)
            self._tell(door, made[index])

    def _message(self, index: int) -> tuple[bytes, str, list[dict[str, Any]]]:
        scope, servers = self._since(index)
        return (
            json.dumps(
                {"index": self._index, "scope": scope, "now_unix_ms": self._sim.now, "servers": servers}
            ).encode(),
            scope,
            servers,
        )

    def _since(self, index: int) -> tuple[str, list[dict[str, Any]]]:
        if self._partial or not index or index > self._index or not self._changes or (index < self._changes[0][0] - 1):
            servers = list(self._servers.values())
            if self._partial:
                servers = servers[: max(round(len(servers) * (1 - self._partial)), 1)]
            return "full", servers
        merged = {server["id"]: server for number, changed in self._changes if number > index for server in changed}
        return "changes", list(merged.values())

    def _tell(self, door: EmuDoor, message: tuple[bytes, str, list[dict[str, Any]]]) -> None:
        body, scope, servers = message
        if servers or scope == "full":
            self._write(
                "told",
                door=door.name,
                scope=scope,
                servers=[
                    {"id": one["id"], "state": one["state"], "started": one["started_unix_ms"]} for one in servers
                ],
            )
            self._doors[door].send(door.told, body, size=len(body))


class World:
    """A day's fleet."""

    def __init__(
        self, day: pb.Day, seed: int | None = None, weather: Weather | None = None, costs: Costs | None = None
    ) -> None:
        """Raises NotEmulatedError; another `seed` than the day's moves the chance in the models, not the schedule."""
        self.day = day
        for event in day.event:
            name = pb.Trouble.Name(event.trouble)
            if name.startswith(NOT_HERE):
                raise NotEmulatedError(f"trouble {name} is not emulated")
        if day.own_counter or day.hooks:
            raise NotEmulatedError("the own counter and hooks are not emulated")
        self._seed = day.seed if seed is None else seed
        streams = Streams(self._seed)
        self._streams = streams
        self.sim = Sim()
        self.net = Network(self.sim, weather or Weather(), Draws(streams.of("network")))
        self.traces = Traces()
        self._costs = costs or Costs()
        fleet = day.fleet
        self.redis = EmuStore(self.sim, Draws(streams.of("store")), day.store_call_ms)
        self.feed = EmuFeed(
            self.sim, self.net, fleet.feed_lag_ms, Draws(streams.of("feed")), self._writer(self.traces.feed)
        )
        self.servers: dict[int, EmuServer] = {}
        self._zones: dict[int, str] = {}
        self._started = [0.0] * fleet.servers
        for number in range(fleet.servers):
            config = server_settings(day, number, False, 0)
            self.servers[number + 1] = EmuServer(
                self.sim, config, Draws(streams.of(f"server {number}")), self._writer(self.traces.servers)
            )
            self._zones[number + 1] = zone_name(number % fleet.zones)
            self._event("server", server=number + 1, zone=self._zones[number + 1], cell=number % fleet.cells)
        self.feed.update([self._entry(number, "up") for number in range(fleet.servers)], now=True)
        self.auth = {
            number + 1: EmuAuth(
                self.sim,
                number,
                day.auth_services.max_age_s,
                Draws(streams.of(f"auth {number}")),
                self._writer(self.traces.auth),
            )
            for number in range(day.auth_services.number if day.HasField("auth_services") else 0)
        }
        self.doors: dict[int, EmuDoor] = {}
        self._lives = [0] * fleet.doors
        self._away: Counter[int] = Counter()  # troubles that a door is down for
        self._settings = offline_gateway_settings(day, 0)
        self._central = Buckets()
        if day.limiter:  # the doors' own quota is out of the way; their ceilings are what it must keep as well
            for plan in self._settings.plan:
                for name in ("rate", "burst", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
                    plan.ClearField(name)
        for number in range(fleet.doors):
            self._door(number)
        self.crowd = EmuCrowd(
            self.sim,
            self.net,
            self.doors,
            manners_of(day),
            Draws(streams.of("clients")),
            self._writer(self.traces.clients),
        )

    def _writer(self, lines: list[Line]) -> Callable[..., None]:
        sim = self.sim

        def write(what: str, **words: Any) -> None:
            words["t"], words["what"] = sim.now, what
            lines.append(words)

        return write

    def _event(self, what: str, **words: Any) -> None:
        self.traces.events.append({"t": self.sim.now, "what": what, **words})

    def _entry(self, number: int, state: str) -> dict[str, Any]:
        return endpoint_entry(self.day, number, 10_000 + number, state, self._started[number])

    def _door(self, number: int) -> None:
        """A door's process starts, with the list that the one before had kept."""
        before = self.doors.get(number)
        settings = cfg.Door()
        settings.CopyFrom(self._settings)
        settings.name, settings.instance = f"door-{number}", number
        settings.zone = zone_name(number % self.day.fleet.zones)
        self._lives[number] += 1
        seed = self._seed * 1_000_003 + number * 101 + self._lives[number]
        words = (
            self.sim,
            self.net,
            settings,
            number,
            seed,
            self.servers,
            self._zones,
            self.redis,
            self._costs,
            self.feed.subscribe,
            self.auth,
        )
        door = LimitedDoor(self.day, self._central, *words) if self.day.limiter else EmuDoor(*words)
        self.doors[number] = door
        door.warm(before.follower.encode(self.sim.now) if before is not None else None)

    # Playing --------------------------------------------------------------------------------------------

    def play(self, planned: Iterator[Any] | None = None, watch: Callable[[float], None] | None = None) -> Traces:
        """The whole day; `watch` is told of each second.  Gives its traces."""
        start = self.sim.now + LEAD_MS
        for event in self.day.event:
            self.sim.at(start + event.at_ms, self._trouble, event)
        if any(event.trouble == pb.STORE_FAILOVER for event in self.day.event):
            self._keep_copies()
        self.crowd.play(planned if planned is not None else schedule(self.day), start)
        end = start + length_ms(self.day) + AFTER_MS
        while not (self.crowd.done and not self.crowd.out) and self.sim.now < end:
            self.sim.run(self.sim.now + 1000.0)
            if watch is not None:
                watch(self.sim.now - start)
        self.sim.run(self.sim.now + 500.0)
        return self.traces

    def _keep_copies(self) -> None:
        self.redis.keep_copy()
        self.sim.after(COPY_EVERY_MS, self._keep_copies)

    def _trouble(self, event: pb.Event) -> None:
        name, targets = pb.Trouble.Name(event.trouble), targets_of(self.day, event)
        ways = {"ways": self._ways(event)} if event.trouble == pb.NET_CUT else {}
        self._event("trouble", name=name, targets=targets, on=True, **ways)
        off = getattr(self, f"_{name.lower()}")(event, targets)
        if event.for_ms:

            def end() -> None:
                if off is not None:
                    off()
                self._event("trouble", name=name, targets=targets, on=False, **ways)

            self.sim.after(event.for_ms, end)

    def _servers_of(self, targets: list[int]) -> list[EmuServer]:
        return [self.servers[number + 1] for number in targets]

    # Doors

    def _door_killed(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        for number in targets:
            self._away[number] += 1
            if self.doors[number].alive:
                self._event("door down", door=number)
                self.doors[number].kill()
        return lambda: self._doors_back(targets)

    def _doors_back(self, targets: list[int]) -> None:
        """Where troubles overlap, a door is back when the last of them ends."""
        for number in targets:
            self._away[number] -= 1
            if not self._away[number]:
                self._door(number)
                self._event("door up", door=number)

    def _door_rolled(self, event: pb.Event, targets: list[int]) -> None:
        for number in targets:
            self._away[number] += 1
            if self._away[number] > 1:  # it is leaving or gone
                self.sim.after(event.for_ms, self._doors_back, [number])
                continue
            self._event("door stopping", door=number)

            def left(number: int = number) -> None:
                self._event("door left", door=number, code=0)
                self.sim.after(event.for_ms, self._doors_back, [number])

            self.doors[number].leave(left)

    def _door_cut_from_feed(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self.feed.cut({f"door-{number}" for number in targets})
        return lambda: self.feed.cut(set())

    # Servers

    def _cold(self, targets: list[int]) -> None:
        for number in targets:
            self._started[number] = self.sim.now
            self.servers[number + 1].restart()
            self.servers[number + 1].down = False
        self._tell(targets, "up")

    def _tell(self, targets: list[int], state: str) -> None:
        self.feed.update([self._entry(number, state) for number in targets])

    def _server_silent(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        for server in self._servers_of(targets):
            server.silent = True
        return lambda: self._cold(targets)

    def _server_drained(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self._tell(targets, "draining")
        return lambda: self._tell(targets, "gone")

    def _server_restarted(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self._tell(targets, "draining")
        return lambda: self._cold(targets)

    def _server_killed(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        for number, server in zip(targets, self._servers_of(targets), strict=True):
            self._event("server down", server=number + 1)
            server.down = True
            server.drop()
        return lambda: self._cold(targets)

    def _shares(self, event: pb.Event, targets: list[int], name: str) -> Callable[[], None]:
        def give(share: float) -> None:
            for server in self._servers_of(targets):
                server.shares[name] = share

        give(event.share)
        return lambda: give(0.0)

    def _server_errors(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._shares(event, targets, "errors")

    def _server_resets(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._shares(event, targets, "resets")

    def _server_cuts(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._shares(event, targets, "cuts")

    def _answers_lost(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._shares(event, targets, "lost")

    def _server_slow(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        def give(factor: float) -> None:
            for server in self._servers_of(targets):
                server.factor = factor

        give(event.factor)
        return lambda: give(1.0)

    def _server_class_fails(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        def give(cls: str) -> None:
            for server in self._servers_of(targets):
                server.class_fails = cls

        give(getattr(event, "class"))
        return lambda: give("")

    # Store

    def _store(self, name: str, on: Any, off: Any) -> Callable[[], None]:
        setattr(self.redis, name, on)
        return lambda: setattr(self.redis, name, off)

    def _store_paused(self, event: pb.Event, targets: list[int]) -> None:
        self.redis.paused_until = self.sim.now + event.for_ms

    def _store_emptied(self, event: pb.Event, targets: list[int]) -> None:
        self.redis.empty()
        self._central.clear()

    def _store_slow(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._store("slow_ms", event.factor, 0.0)

    def _store_down(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        for door in self.doors.values():
            door.store_gone()
        return self._store("down", True, False)

    def _store_hangs(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._store("hangs", True, False)

    def _store_loading(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._store("error", "LOADING Redis is loading the dataset in memory", "")

    def _store_full(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._store("full", True, False)

    def _store_cuts(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._store("cut_share", event.share, 0.0)

    def _store_failover(self, event: pb.Event, targets: list[int]) -> None:
        """The replica takes over: what it had not got is gone, and so is every connection.  That an old primary goes on
        beside it is not modelled."""
        self.redis.go_back()
        for door in self.doors.values():
            door.store_gone()

    # Authentication

    def _auth_set(self, targets: list[int], name: str, on: Any, off: Any) -> Callable[[], None]:
        def give(value: Any) -> None:
            for number in targets:
                setattr(self.auth[number + 1], name, value)

        give(on)
        return lambda: give(off)

    def _auth_share(self, event: pb.Event, targets: list[int], name: str) -> Callable[[], None]:
        def give(share: float) -> None:
            for number in targets:
                self.auth[number + 1].shares[name] = share

        give(event.share)
        return lambda: give(0.0)

    def _auth_slow(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_set(targets, "delay_ms", event.factor, 0.0)

    def _auth_silent(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_set(targets, "silent", True, False)

    def _auth_down(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_set(targets, "down", True, False)

    def _auth_errors(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_share(event, targets, "errors")

    def _auth_resets(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_share(event, targets, "resets")

    def _auth_twice(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_share(event, targets, "twice")

    def _auth_broken(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_share(event, targets, "broken")

    def _auth_contradicts(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_share(event, targets, "contradicts")

    def _auth_drips(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._auth_share(event, targets, "drips")

    # Network

    @staticmethod
    def _ways(event: pb.Event) -> list[tuple[str, str]]:
        return [(event.source, event.sink)] + ([(event.sink, event.source)] if event.both_ways else [])

    def _net_cut(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        ways = self._ways(event)
        for way in ways:
            self.net.cut(*way)

        def heal() -> None:
            for way in ways:
                self.net.cut(*way, on=False)

        return heal

    # Feed

    def _feed_stale(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self.feed.set_stale(True)
        return lambda: self.feed.set_stale(False)

    def _feed_partial(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self.feed.partial(event.share)
        return lambda: self.feed.partial(0.0)

    def _feed_down(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self.feed.down = True
        self.feed.cut(set())

        def back() -> None:
            self.feed.down = False

        return back
