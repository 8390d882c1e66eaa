"""Runs a scenario in virtual time, with the same file, faults, traces and checkers as on sockets."""

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
from martenstep.lab.emulate.auth import EmulatedAuthService
from martenstep.lab.emulate.clients import EmulatedClients, client_manners
from martenstep.lab.emulate.core import RandomBuffer, RandomStreams, Sim
from martenstep.lab.emulate.doors import EmulatedGateway, ProcessingCosts
from martenstep.lab.emulate.limited import LimitedGateway
from martenstep.lab.emulate.limiters import CustomerBuckets
from martenstep.lab.emulate.net import Location, Network, NetworkConditions, Pipe
from martenstep.lab.emulate.servers import EmulatedServer
from martenstep.lab.emulate.store import EmulatedStore
from martenstep.lab.rules import Line
from martenstep.standins.feed import KEPT_CHANGES

START_DELAY_MS = 1000.0  # before the first request, so that the gateways have read the endpoint list
CLIENTS_TIMEOUT_MS = 60_000.0  # the run ends this long after the last arrival even if clients still wait
FEED_RETRY_MS = 300.0  # mean time until a gateway that lost the feed polls again
REPLICA_COPY_MS = 100.0  # interval of copies to the store's replica, which lags by one or two intervals
UNSUPPORTED_FAULTS = ("COUNTER_KILLED", "STORE_SLOTS_MOVE")  # these need parts that have no model


class NotEmulatedError(Exception):
    """The scenario needs something that the emulator has no model of."""


@dataclass(slots=True)
class Traces:
    """Trace lines in the form that the processes of a scenario on sockets write."""

    clients: list[Line] = field(default_factory=list)
    servers: list[Line] = field(default_factory=list)
    feed: list[Line] = field(default_factory=list)
    events: list[Line] = field(default_factory=list)
    auth: list[Line] = field(default_factory=list)


class EmulatedFeed:
    """A model of the endpoint feed, which can send changes late, partially or not at all."""

    def __init__(
        self, sim: Sim, net: Network, lag_ms: float, random_numbers: RandomBuffer, write: Callable[..., None]
    ) -> None:
        self._sim, self._net, self._lag, self._random, self._write = sim, net, lag_ms, random_numbers, write
        self._location = Location("feed", "a")
        self._servers: dict[int, dict[str, Any]] = {}
        self._changes: list[tuple[int, list[dict[str, Any]]]] = []
        self._index = 1
        self._pollers: dict[EmulatedGateway, Pipe] = {}
        self.stale = self.down = False
        self._partial = 0.0
        self._blocked: set[str] = set()

    def update(self, servers: list[dict[str, Any]], now: bool = False) -> None:
        """Apply changed entries after the feed's lag, or at once."""
        self._sim.after(0.0 if now else self._lag * self._random.uniform(0.5, 1.5), self._apply, servers)

    def _apply(self, servers: list[dict[str, Any]]) -> None:
        self._index += 1
        self._servers.update({server["id"]: server for server in servers})
        self._changes.append((self._index, servers))
        del self._changes[:-KEPT_CHANGES]
        self._servers = {key: server for key, server in self._servers.items() if server["state"] != "gone"}
        self._send_changes()

    def set_partial(self, share: float) -> None:
        """Send full lists from which this share of the servers is missing."""
        self._partial = share
        self._changes.clear()
        self._index += 1
        self._send_changes()

    def set_stale(self, on: bool) -> None:
        """Stop sending changes, or resume and send all that were held back."""
        self.stale = on
        if not on:
            self._send_changes()

    def cut_off(self, gateways: set[str]) -> None:
        """Drop the polls of these gateways, and accept none from them."""
        self._blocked = gateways
        for gateway in list(self._pollers):
            if gateway.name in gateways or self.down:
                del self._pollers[gateway]
                gateway.feed_lost()
                self._retry_poll(gateway)

    def subscribe(self, gateway: EmulatedGateway) -> None:
        """Schedule the first poll of a gateway."""
        self._sim.after(1.0, self._poll, gateway)

    def _retry_poll(self, gateway: EmulatedGateway) -> None:
        self._sim.after(FEED_RETRY_MS * self._random.uniform(0.5, 1.5), self._poll, gateway)

    def _poll(self, gateway: EmulatedGateway) -> None:
        if not gateway.alive:
            return
        if self.down or gateway.name in self._blocked:
            self._retry_poll(gateway)
            return
        self._pollers[gateway] = Pipe(self._net, self._location, gateway.location)
        self._send_list(gateway, self._message(gateway.endpoint_list.index))

    def _send_changes(self) -> None:
        if self.stale or self.down:
            return
        messages: dict[int, tuple[bytes, str, list[dict[str, Any]]]] = {}
        for gateway in list(self._pollers):
            if not gateway.alive:
                del self._pollers[gateway]
                continue
            index = gateway.endpoint_list.index
            if index not in messages:
                messages[index] = self._message(index)
            self._send_list(gateway, messages[index])

    def _message(self, index: int) -> tuple[bytes, str, list[dict[str, Any]]]:
        scope, servers = self._changes_since(index)
        return (
            json.dumps(
                {"index": self._index, "scope": scope, "now_unix_ms": self._sim.now, "servers": servers}
            ).encode(),
            scope,
            servers,
        )

    def _changes_since(self, index: int) -> tuple[str, list[dict[str, Any]]]:
        if self._partial or not index or index > self._index or not self._changes or (index < self._changes[0][0] - 1):
            servers = list(self._servers.values())
            if self._partial:
                servers = servers[: max(round(len(servers) * (1 - self._partial)), 1)]
            return "full", servers
        merged = {server["id"]: server for number, changed in self._changes if number > index for server in changed}
        return "changes", list(merged.values())

    def _send_list(self, gateway: EmulatedGateway, message: tuple[bytes, str, list[dict[str, Any]]]) -> None:
        body, scope, servers = message
        if servers or scope == "full":
            self._write(
                "told",
                door=gateway.name,
                scope=scope,
                servers=[
                    {"id": server["id"], "state": server["state"], "started": server["started_unix_ms"]}
                    for server in servers
                ],
            )
            self._pollers[gateway].send(gateway.receive_endpoint_list, body, size=len(body))


class Emulation:
    """The emulated fleet of one scenario, with its faults and traces."""

    def __init__(
        self,
        scenario: pb.Day,
        seed: int | None = None,
        conditions: NetworkConditions | None = None,
        costs: ProcessingCosts | None = None,
    ) -> None:
        """Raises NotEmulatedError; `seed` replaces the scenario's seed in the models, but not in the schedule."""
        self.scenario = scenario
        for event in scenario.event:
            name = pb.Trouble.Name(event.trouble)
            if name.startswith(UNSUPPORTED_FAULTS):
                raise NotEmulatedError(f"the emulator has no model of the fault {name}")
        if scenario.own_counter or scenario.hooks:
            raise NotEmulatedError("the emulator has no model of own_counter or hooks")
        self._seed = scenario.seed if seed is None else seed
        streams = RandomStreams(self._seed)
        self._streams = streams
        self.sim = Sim()
        self.net = Network(self.sim, conditions or NetworkConditions(), RandomBuffer(streams.stream("network")))
        self.traces = Traces()
        self._costs = costs or ProcessingCosts()
        fleet = scenario.fleet
        self.redis = EmulatedStore(self.sim, RandomBuffer(streams.stream("store")), scenario.store_call_ms)
        self.feed = EmulatedFeed(
            self.sim,
            self.net,
            fleet.feed_lag_ms,
            RandomBuffer(streams.stream("feed")),
            self._trace_writer(self.traces.feed),
        )
        self.servers: dict[int, EmulatedServer] = {}
        self._zones: dict[int, str] = {}
        self._server_starts = [0.0] * fleet.servers
        for number in range(fleet.servers):
            config = server_settings(scenario, number, False, 0)
            self.servers[number + 1] = EmulatedServer(
                self.sim,
                config,
                RandomBuffer(streams.stream(f"server {number}")),
                self._trace_writer(self.traces.servers),
            )
            self._zones[number + 1] = zone_name(number % fleet.zones)
            self._trace_event("server", server=number + 1, zone=self._zones[number + 1], cell=number % fleet.cells)
        self.feed.update([self._feed_entry(number, "up") for number in range(fleet.servers)], now=True)
        self.auth = {
            number + 1: EmulatedAuthService(
                self.sim,
                number,
                scenario.auth_services.max_age_s,
                RandomBuffer(streams.stream(f"auth {number}")),
                self._trace_writer(self.traces.auth),
            )
            for number in range(scenario.auth_services.number if scenario.HasField("auth_services") else 0)
        }
        self.gateways: dict[int, EmulatedGateway] = {}
        self._start_counts = [0] * fleet.doors
        self._outages: Counter[int] = Counter()  # faults that keep a gateway down
        self._settings = offline_gateway_settings(scenario, 0)
        self._central_buckets = CustomerBuckets()
        # The alternative limiter alone must keep the plans' quotas and ceilings, so the gateways' own are cleared.
        if scenario.limiter:
            for plan in self._settings.plan:
                for name in ("rate", "burst", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
                    plan.ClearField(name)
        for number in range(fleet.doors):
            self._start_gateway(number)
        self.clients = EmulatedClients(
            self.sim,
            self.net,
            self.gateways,
            client_manners(scenario),
            RandomBuffer(streams.stream("clients")),
            self._trace_writer(self.traces.clients),
        )

    def _trace_writer(self, lines: list[Line]) -> Callable[..., None]:
        sim = self.sim

        def write(what: str, **fields: Any) -> None:
            fields["t"], fields["what"] = sim.now, what
            lines.append(fields)

        return write

    def _trace_event(self, what: str, **fields: Any) -> None:
        self.traces.events.append({"t": self.sim.now, "what": what, **fields})

    def _feed_entry(self, number: int, state: str) -> dict[str, Any]:
        return endpoint_entry(self.scenario, number, 10_000 + number, state, self._server_starts[number])

    def _start_gateway(self, number: int) -> None:
        """Start a gateway's process with the endpoint list that its previous process cached."""
        previous = self.gateways.get(number)
        settings = cfg.Door()
        settings.CopyFrom(self._settings)
        settings.name, settings.instance = f"door-{number}", number
        settings.zone = zone_name(number % self.scenario.fleet.zones)
        self._start_counts[number] += 1
        seed = self._seed * 1_000_003 + number * 101 + self._start_counts[number]
        arguments = (
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
        gateway = (
            LimitedGateway(self.scenario, self._central_buckets, *arguments)
            if self.scenario.limiter
            else EmulatedGateway(*arguments)
        )
        self.gateways[number] = gateway
        gateway.restore_endpoint_list(previous.endpoint_list.encode(self.sim.now) if previous is not None else None)

    # Run ------------------------------------------------------------------------------------------------

    def run(self, planned: Iterator[Any] | None = None, on_second: Callable[[float], None] | None = None) -> Traces:
        """Run the whole scenario and return its traces; `on_second` is called after each virtual second."""
        start = self.sim.now + START_DELAY_MS
        for event in self.scenario.event:
            self.sim.at(start + event.at_ms, self._inject_fault, event)
        if any(event.trouble == pb.STORE_FAILOVER for event in self.scenario.event):
            self._copy_store()
        self.clients.start_schedule(planned if planned is not None else schedule(self.scenario), start)
        end = start + length_ms(self.scenario) + CLIENTS_TIMEOUT_MS
        while not (self.clients.schedule_ended and not self.clients.active_requests) and self.sim.now < end:
            self.sim.run(self.sim.now + 1000.0)
            if on_second is not None:
                on_second(self.sim.now - start)
        self.sim.run(self.sim.now + 500.0)
        return self.traces

    def _copy_store(self) -> None:
        self.redis.copy_to_replica()
        self.sim.after(REPLICA_COPY_MS, self._copy_store)

    def _inject_fault(self, event: pb.Event) -> None:
        """Start a fault by the method that has its name in lower case, and schedule its end by what that returns."""
        name, targets = pb.Trouble.Name(event.trouble), targets_of(self.scenario, event)
        directions = {"ways": self._cut_directions(event)} if event.trouble == pb.NET_CUT else {}
        self._trace_event("trouble", name=name, targets=targets, on=True, **directions)
        end_fault = getattr(self, f"_{name.lower()}")(event, targets)
        if event.for_ms:

            def end() -> None:
                if end_fault is not None:
                    end_fault()
                self._trace_event("trouble", name=name, targets=targets, on=False, **directions)

            self.sim.after(event.for_ms, end)

    def _servers_of(self, targets: list[int]) -> list[EmulatedServer]:
        return [self.servers[number + 1] for number in targets]

    # Gateways

    def _door_killed(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        for number in targets:
            self._outages[number] += 1
            if self.gateways[number].alive:
                self._trace_event("door down", door=number)
                self.gateways[number].kill()
        return lambda: self._end_outage(targets)

    def _end_outage(self, targets: list[int]) -> None:
        """End one outage of each gateway; it starts again when its last overlapping outage ends."""
        for number in targets:
            self._outages[number] -= 1
            if not self._outages[number]:
                self._start_gateway(number)
                self._trace_event("door up", door=number)

    def _door_rolled(self, event: pb.Event, targets: list[int]) -> None:
        for number in targets:
            self._outages[number] += 1
            if self._outages[number] > 1:  # it is already shutting down or down
                self.sim.after(event.for_ms, self._end_outage, [number])
                continue
            self._trace_event("door stopping", door=number)

            def shutdown_complete(number: int = number) -> None:
                self._trace_event("door left", door=number, code=0)
                self.sim.after(event.for_ms, self._end_outage, [number])

            self.gateways[number].shut_down(shutdown_complete)

    def _door_cut_from_feed(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self.feed.cut_off({f"door-{number}" for number in targets})
        return lambda: self.feed.cut_off(set())

    # Servers

    def _restart_cold(self, targets: list[int]) -> None:
        for number in targets:
            self._server_starts[number] = self.sim.now
            self.servers[number + 1].restart()
            self.servers[number + 1].down = False
        self._list_as(targets, "up")

    def _list_as(self, targets: list[int], state: str) -> None:
        self.feed.update([self._feed_entry(number, state) for number in targets])

    def _server_silent(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        for server in self._servers_of(targets):
            server.silent = True
        return lambda: self._restart_cold(targets)

    def _server_drained(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self._list_as(targets, "draining")
        return lambda: self._list_as(targets, "gone")

    def _server_restarted(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self._list_as(targets, "draining")
        return lambda: self._restart_cold(targets)

    def _server_killed(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        for number, server in zip(targets, self._servers_of(targets), strict=True):
            self._trace_event("server down", server=number + 1)
            server.down = True
            server.close_connections()
        return lambda: self._restart_cold(targets)

    def _set_fault_share(self, event: pb.Event, targets: list[int], name: str) -> Callable[[], None]:
        def set_value(share: float) -> None:
            for server in self._servers_of(targets):
                server.fault_shares[name] = share

        set_value(event.share)
        return lambda: set_value(0.0)

    def _server_errors(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_fault_share(event, targets, "errors")

    def _server_resets(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_fault_share(event, targets, "resets")

    def _server_cuts(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_fault_share(event, targets, "cuts")

    def _answers_lost(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_fault_share(event, targets, "lost")

    def _server_slow(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        def set_value(factor: float) -> None:
            for server in self._servers_of(targets):
                server.factor = factor

        set_value(event.factor)
        return lambda: set_value(1.0)

    def _server_class_fails(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        def set_value(cls: str) -> None:
            for server in self._servers_of(targets):
                server.class_fails = cls

        set_value(getattr(event, "class"))
        return lambda: set_value("")

    # Store

    def _set_store_fault(self, name: str, on: Any, off: Any) -> Callable[[], None]:
        setattr(self.redis, name, on)
        return lambda: setattr(self.redis, name, off)

    def _store_paused(self, event: pb.Event, targets: list[int]) -> None:
        self.redis.paused_until = self.sim.now + event.for_ms

    def _store_emptied(self, event: pb.Event, targets: list[int]) -> None:
        self.redis.flush()
        self._central_buckets.clear()

    def _store_slow(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_store_fault("slow_ms", event.factor, 0.0)

    def _store_down(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        for gateway in self.gateways.values():
            gateway.break_store_connections()
        return self._set_store_fault("down", True, False)

    def _store_hangs(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_store_fault("hangs", True, False)

    def _store_loading(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_store_fault("error", "LOADING Redis is loading the dataset in memory", "")

    def _store_full(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_store_fault("full", True, False)

    def _store_cuts(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_store_fault("cut_share", event.share, 0.0)

    def _store_failover(self, event: pb.Event, targets: list[int]) -> None:
        """Promote the replica: writes that it lacks are lost, and every connection ends.

        An old primary that continues beside the replica is not modelled.
        """
        self.redis.fail_over()
        for gateway in self.gateways.values():
            gateway.break_store_connections()

    # Authentication

    def _set_auth_fault(self, targets: list[int], name: str, on: Any, off: Any) -> Callable[[], None]:
        def set_value(value: Any) -> None:
            for number in targets:
                setattr(self.auth[number + 1], name, value)

        set_value(on)
        return lambda: set_value(off)

    def _set_auth_fault_share(self, event: pb.Event, targets: list[int], name: str) -> Callable[[], None]:
        def set_value(share: float) -> None:
            for number in targets:
                self.auth[number + 1].fault_shares[name] = share

        set_value(event.share)
        return lambda: set_value(0.0)

    def _auth_slow(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault(targets, "delay_ms", event.factor, 0.0)

    def _auth_silent(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault(targets, "silent", True, False)

    def _auth_down(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault(targets, "down", True, False)

    def _auth_errors(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault_share(event, targets, "errors")

    def _auth_resets(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault_share(event, targets, "resets")

    def _auth_twice(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault_share(event, targets, "twice")

    def _auth_broken(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault_share(event, targets, "broken")

    def _auth_contradicts(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault_share(event, targets, "contradicts")

    def _auth_drips(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        return self._set_auth_fault_share(event, targets, "drips")

    # Network

    @staticmethod
    def _cut_directions(event: pb.Event) -> list[tuple[str, str]]:
        return [(event.source, event.sink)] + ([(event.sink, event.source)] if event.both_ways else [])

    def _net_cut(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        directions = self._cut_directions(event)
        for direction in directions:
            self.net.set_cut(*direction)

        def heal() -> None:
            for direction in directions:
                self.net.set_cut(*direction, on=False)

        return heal

    # Feed

    def _feed_stale(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self.feed.set_stale(True)
        return lambda: self.feed.set_stale(False)

    def _feed_partial(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self.feed.set_partial(event.share)
        return lambda: self.feed.set_partial(0.0)

    def _feed_down(self, event: pb.Event, targets: list[int]) -> Callable[[], None]:
        self.feed.down = True
        self.feed.cut_off(set())

        def recover() -> None:
            self.feed.down = False

        return recover
