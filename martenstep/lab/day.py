"""Loads a scenario, reports all errors in it, and derives from it what the processes need: the settings of each
gateway and server, and the schedule of requests.

A scenario is a message `Day` of the schema day.proto: a fleet, its request classes, plans and customers, the phases of
its load, and events that inject faults (`Trouble` in the schema).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import text_format

from martenstep.config import door_pb2 as cfg
from martenstep.config.checker import REPLICA_COUNTS, SettingsChecker
from martenstep.config.checks.request_classes import check_class, check_plan, check_rules
from martenstep.config.loading import parse_checked, read_text
from martenstep.config.text_format import FieldPosition
from martenstep.hooks.compiler import compile_source
from martenstep.hooks.source import HookSourceError
from martenstep.lab import day_pb2 as pb
from martenstep.redis_counter.slots import SLOTS
from martenstep.standins.clients import ScheduledRequest
from martenstep.standins.photo import ClassWork, PhotoConfig
from martenstep.standins.redis.fleet import PRIMARY_NAME

DOOR_FAULTS = (pb.DOOR_KILLED, pb.DOOR_ROLLED, pb.DOOR_LOST, pb.DOOR_CUT_FROM_FEED)
STORE_FAULTS = (
    pb.STORE_PAUSED,
    pb.STORE_EMPTIED,
    pb.STORE_SLOW,
    pb.STORE_DOWN,
    pb.STORE_FAILOVER,
    pb.STORE_HANGS,
    pb.STORE_LOADING,
    pb.STORE_FULL,
    pb.STORE_CUTS,
    pb.STORE_SLOTS_MOVE,
    pb.COUNTER_KILLED,
)
AUTH_FAULTS = (
    pb.AUTH_SLOW,
    pb.AUTH_SILENT,
    pb.AUTH_ERRORS,
    pb.AUTH_RESETS,
    pb.AUTH_TWICE,
    pb.AUTH_BROKEN,
    pb.AUTH_CONTRADICTS,
    pb.AUTH_DOWN,
    pb.AUTH_DRIPS,
)
FEED_FAULTS = (pb.FEED_STALE, pb.FEED_PARTIAL, pb.FEED_DOWN)
MAX_LEAVE_SHARE = 0.1  # of the latency objective: a client that leaves does so while its request is under way
SERVER_KINDS = ("standard", "slow")
LIMITERS = ("", "each door", "split", "central, open", "central, closed")
MAX_LENGTH_MS = 30 * 60_000.0


def zone_name(number: int) -> str:
    """The name of a zone by its number."""
    return f"zone-{chr(ord('a') + number % 26)}"


def _check_event(check: SettingsChecker, event: pb.Event, node: FieldPosition, scenario: pb.Day) -> None:
    length = sum(phase.for_ms for phase in scenario.phase)
    if event.trouble == pb.NONE:
        check.report(node.at("trouble"), "missing")
    check.require_range(event, node, "at_ms", 0, length)
    check.require_range(event, node, "for_ms", 0, MAX_LENGTH_MS)
    check.require_range(event, node, "share", 0, 1)
    check.require_range(event, node, "factor", 0, 1e6)
    number = scenario.fleet.doors if event.trouble in DOOR_FAULTS else scenario.fleet.servers
    if event.trouble in AUTH_FAULTS:
        number = scenario.auth_services.number if scenario.HasField("auth_services") else 0
        if not number:
            check.report(node.at("trouble"), "fits only a scenario with auth_services")
            return
    if event.trouble in STORE_FAULTS + FEED_FAULTS + (pb.NET_CUT,):
        if event.trouble in (pb.COUNTER_KILLED, pb.STORE_SLOTS_MOVE):
            check.require_range(event, node, "count", 1, 10_000)
        if event.target:
            check.report(node.at("target"), "must be empty: this trouble has no doors or servers as targets")
    elif any(target >= number for target in event.target):
        check.report(node.at("target"), f"expected below {number}")
    elif event.count > number:
        check.report(node.at("count"), f"expected no more than {number}")
    if event.trouble in STORE_FAULTS and (event.trouble == pb.COUNTER_KILLED) != scenario.own_counter:
        check.report(
            node.at("trouble"),
            "fits only a scenario with own_counter"
            if not scenario.own_counter
            else "fits only a scenario without own_counter",
        )
    if (event.trouble == pb.COUNTER_KILLED and scenario.HasField("held_by_doors")) or (
        event.trouble == pb.DOOR_LOST and not scenario.HasField("held_by_doors")
    ):
        check.report(
            node.at("trouble"),
            "fits only a scenario with held_by_doors"
            if event.trouble == pb.DOOR_LOST
            else "fits only a scenario with a counter process, thus without held_by_doors",
        )
    if event.trouble == pb.STORE_FAILOVER and scenario.store_topology == cfg.Store.ALONE:
        check.report(node.at("trouble"), "fits only a store with replicas: set store_topology")
    if event.trouble == pb.STORE_SLOTS_MOVE:
        if scenario.store_topology != cfg.Store.CLUSTER:
            check.report(node.at("trouble"), "fits only a cluster: set store_topology")
        check.require_range(event, node, "count", 1, SLOTS)
    if event.trouble == pb.NET_CUT:
        check.require_present(event, node, "source", "sink")
    if event.trouble == pb.SERVER_CLASS_FAILS and not getattr(event, "class"):
        check.report(node.at("class"), "missing")
    if event.trouble in (pb.STORE_PAUSED, pb.DOOR_KILLED, pb.DOOR_ROLLED, pb.COUNTER_KILLED) and not event.for_ms:
        check.report(node.at("for_ms"), "missing, expected above 0")


def check_scenario(check: SettingsChecker, scenario: pb.Day, root: FieldPosition) -> None:
    """Check all settings of a scenario."""
    check.require_present(scenario, root, "name")
    node = root.at("fleet")
    for name, most in (("doors", 2000), ("servers", 5000), ("zones", 26), ("cells", 200), ("cores", 64)):
        check.require_range(scenario.fleet, node, name, 1, most)
    check.require_range(scenario.fleet, node, "slow_share", 0, 1)
    check.require_range(scenario.fleet, node, "feed_lag_ms", 0, 60_000)
    classes = list(getattr(scenario, "class"))
    for entry, at in zip(classes, root.all("class"), strict=True):
        check_class(check, entry, at)
    check.require_unique(root.all("class"), classes, "name")
    for plan, at in zip(scenario.plan, root.all("plan"), strict=True):
        check_plan(check, plan, at)
    check.require_unique(root.all("plan"), scenario.plan, "name")
    for name in ("class", "plan", "work", "customers", "phase"):
        if not root.all(name):
            check.report(root.at(name), "missing: at least one is needed")
    class_names, plan_names = {entry.name for entry in classes}, {plan.name for plan in scenario.plan}
    for work, at in zip(scenario.work, root.all("work"), strict=True):
        check.require_reference(work, at, "class", class_names, "class")
        check.require_positive(work, at, "share", "least_ms", "units")
        check.require_range(work, at, "most_ms", work.least_ms, 60_000)
    for group, at in zip(scenario.customers, root.all("customers"), strict=True):
        check.require_reference(group, at, "plan", plan_names, "plan")
        check.require_range(group, at, "number", 1, 1_000_000)
        check.require_positive(group, at, "share")
        check.require_range(group, at, "doors", 1, max(scenario.fleet.doors, 1))
        check.require_range(group, at, "once_share", 0, 1)
        check.require_range(group, at, "skew", 0, 10)
    for phase, at in zip(scenario.phase, root.all("phase"), strict=True):
        check.require_positive(phase, at, "for_ms")
        check.require_range(phase, at, "rate", 0, 100_000)
        check.require_range(phase, at, "burst_times", 1, 1000)
        check.require_positive(phase, at, "burst_ms", "calm_ms", "swing_ms")
        for name in ("hot_share", "shift_share", "first_door_share", "swing"):
            check.require_range(phase, at, name, 0, 1)
        if phase.only_plan:
            check.require_reference(phase, at, "only_plan", plan_names, "plan")
        if phase.hot_share and not phase.only_plan:
            check.report(at.at("only_plan"), "missing: hot_share needs the plan of its one hot customer")
    if sum(phase.for_ms for phase in scenario.phase) > MAX_LENGTH_MS:
        check.report(root.at("phase"), f"expected no more than {MAX_LENGTH_MS:g} ms in all")
    node = root.at("clients")
    check.require_range(scenario.clients, node, "retries", 0, 20)
    check.require_range(scenario.clients, node, "leave_share", 0, 1)
    check.require_range(scenario.clients, node, "least_patience", 0.01, 1)
    check.require_range(scenario.clients, node, "most_patience", scenario.clients.least_patience, 1)
    if scenario.clients.abuse_plan:
        check.require_reference(scenario.clients, node, "abuse_plan", plan_names, "plan")
    for event, at in zip(scenario.event, root.all("event"), strict=True):
        _check_event(check, event, at, scenario)
    for release, at in zip(scenario.hooks, root.all("hooks"), strict=True):
        check.require_range(release, at, "at_ms", 0, MAX_LENGTH_MS)
        if not 0 < release.share <= 1:
            check.report(at.at("share"), f"expected above 0, to 1, got {release.share:g}")
        try:
            compile_source(release.source)
        except HookSourceError as error:
            check.report(at.at("source"), str(error))
    if scenario.HasField("held_by_doors"):
        node = root.at("held_by_doors")
        if not scenario.own_counter:
            check.report(node, "needs own_counter")
        check.require_range(scenario.held_by_doors, node, "slots", 1, 64)
        check.require_range(scenario.held_by_doors, node, "final_ms", 1000)
        if scenario.held_by_doors.copies not in REPLICA_COUNTS:
            check.report(
                node.at("copies"),
                f"expected {', '.join(map(str, REPLICA_COUNTS))}, got {scenario.held_by_doors.copies}",
            )
    if scenario.limiter not in LIMITERS:
        check.report(root.at("limiter"), f"expected one of {', '.join(LIMITERS[1:])}")
    check_rules(check, scenario.rules, root.at("rules"))
    check.require_positive(scenario, root, "store_timeout_ms", "judge_slack_ms", "store_call_ms")


def parse_scenario(text: str, file: str) -> pb.Day:
    """Parse a scenario; raises SettingsError with all that is wrong."""
    return parse_checked(text, pb.Day(), file, check_scenario)


def load_scenario(path: Path) -> pb.Day:
    """Read a scenario from a file; raises SettingsError with all that is wrong."""
    return parse_scenario(read_text(path), str(path))


# Settings of the processes ----------------------------------------------------------------------------


def targets_of(scenario: pb.Day, event: pb.Event) -> list[int]:
    """Numbers of the gateways, servers or authentication services that a fault affects; none for store and feed."""
    if event.trouble in (*STORE_FAULTS, *FEED_FAULTS, pb.NET_CUT):
        return []
    if event.target:
        return list(event.target)
    if event.trouble in AUTH_FAULTS:
        return list(range(scenario.auth_services.number))
    return list(
        range(min(event.count, scenario.fleet.doors if event.trouble in DOOR_FAULTS else scenario.fleet.servers))
    )


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer of a scenario and the gateways that it uses."""

    key: str
    plan: str
    first_gateway: int
    gateways: tuple[int, ...]


def customers_of(scenario: pb.Day) -> list[list[Customer]]:
    """The customers of each group."""
    total = scenario.fleet.doors
    groups = []
    for number, group in enumerate(scenario.customers):
        rng = random.Random(f"{scenario.seed}/customers/{number}")
        customers = []
        for index in range(group.number):
            first = rng.randrange(total)
            gateways = tuple((first + step) % total for step in range(group.doors))
            customers.append(Customer(f"{group.plan}-{number}-{index}", group.plan, first, gateways))
        groups.append(customers)
    return groups


def max_units(scenario: pb.Day) -> float:
    """The largest number of units that one request costs."""
    return float(max(work.units for work in scenario.work))


def gateway_settings(scenario: pb.Day, number: int, ports: dict[str, int], warm_copy: Path) -> cfg.Door:
    """The settings of one gateway; ports: listener, admin, store, feed."""
    gateway = cfg.Door(
        name=f"door-{number}",
        instance=number,
        instances=scenario.fleet.doors,
        zone=zone_name(number % scenario.fleet.zones),
        max_units=max_units(scenario),
        default_plan=scenario.customers[0].plan,
    )
    gateway.listener.port = ports["listener"]
    gateway.admin.port = ports["admin"]
    if scenario.own_counter:
        gateway.counter.port, gateway.counter.timeout_ms = ports["store"], scenario.store_timeout_ms
        gateway.counter.journal = str(warm_copy.with_name(f"door-{number}.journal"))
    else:
        gateway.store.timeout_ms = scenario.store_timeout_ms
        if scenario.store_topology == cfg.Store.ALONE:
            gateway.store.port = ports["store"]
        else:
            gateway.store.topology, gateway.store.primary_name = scenario.store_topology, PRIMARY_NAME.decode()
            for name in sorted(name for name in ports if name.startswith("store-")):
                gateway.store.node.add(port=ports[name])
    gateway.members.port, gateway.members.warm_copy = ports["feed"], str(warm_copy)
    gateway.upstream.CopyFrom(scenario.upstream)
    gateway.rules.CopyFrom(scenario.rules)
    gateway.plan.extend(scenario.plan)
    getattr(gateway, "class").extend(getattr(scenario, "class"))
    if scenario.hooks:
        gateway.hooks.directory = str(warm_copy.with_name("hooks"))
        gateway.hooks.history = str(warm_copy.with_name(f"hooks-{number}.jsonl"))
    authenticated = scenario.HasField("auth_services")
    if authenticated:
        gateway.auth.CopyFrom(scenario.auth)
        gateway.auth.copy_header.append("x-auth-customer")
        for service in range(scenario.auth_services.number):
            gateway.auth.service.add(port=ports[f"auth-{service}"])
    for work in scenario.work:
        name = getattr(work, "class")
        route = gateway.route.add(name=name, path_prefix=f"/{name}/", units=work.units)
        if authenticated:
            route.authenticate = True
        else:
            route.customer_header = "x-customer"
        setattr(route, "class", name)
    for group in customers_of(scenario):
        for customer in group:
            gateway.customer.add(
                key=customer.key, plan=customer.plan, first_door=customer.first_gateway, doors=len(customer.gateways)
            )
    return gateway


def offline_gateway_settings(scenario: pb.Day, number: int) -> cfg.Door:
    """The settings of a gateway that is only emulated: no process binds its ports."""
    return gateway_settings(
        scenario,
        number,
        {
            "listener": 0,
            "admin": 0,
            "store": 1,
            "feed": 1,
            "store-0": 1,
            **{f"auth-{service}": service + 1 for service in range(scenario.auth_services.number)},
        },
        Path(),
    )


def format_settings(gateway: cfg.Door) -> str:
    """A gateway's settings in the text format of a settings file."""
    return text_format.MessageToString(gateway)


def server_settings(scenario: pb.Day, number: int, cold: bool, port: int) -> PhotoConfig:
    """The settings of one photo server."""
    slow = number < round(scenario.fleet.slow_share * scenario.fleet.servers)
    classes = {entry.name: entry for entry in getattr(scenario, "class")}
    work = {}
    for entry in scenario.work:
        name = getattr(entry, "class")
        work[name] = ClassWork(
            entry.least_ms,
            entry.most_ms,
            entry.answer_bytes,
            classes[name].window_ms if classes[name].effect == cfg.KEYED else 0.0,
        )
    rules = scenario.rules
    return PhotoConfig(
        id=number + 1,
        port=port,
        cores=scenario.fleet.cores,
        speed=1 / scenario.fleet.slow_factor if slow else 1.0,
        queue=scenario.fleet.queue,
        connections=scenario.fleet.connections,
        cold_from=rules.cold_from,
        warm_ms=rules.warm_within_ms,
        fall_multiple=rules.fall_multiple if rules.warm_within_ms else 0.0,
        fall_window_ms=rules.fall_window_ms or 1000.0,
        cold=cold,
        seed=scenario.seed * 1000 + number,
        refusal_status=scenario.upstream.refusal_status,
        refusal_header=scenario.upstream.refusal_header,
        work=work,
    )


def endpoint_entry(scenario: pb.Day, number: int, port: int, state: str, started_unix_ms: float) -> dict[str, object]:
    """One server as an entry of the endpoint list."""
    slow = number < round(scenario.fleet.slow_share * scenario.fleet.servers)
    return {
        "id": number + 1,
        "host": "127.0.0.1",
        "port": port,
        "zone": zone_name(number % scenario.fleet.zones),
        "kind": SERVER_KINDS[slow],
        "cell": number % scenario.fleet.cells,
        "state": state,
        "size": round(1 / scenario.fleet.slow_factor, 3) if slow else 1.0,
        "started_unix_ms": started_unix_ms,
    }


class _CustomerSampler:
    """Draws a customer of a group, with Zipf's law of the given skew."""

    def __init__(self, customers: list[Customer], skew: float) -> None:
        self._customers = customers
        weight, self._cumulative = 0.0, []
        for rank in range(len(customers)):
            weight += (rank + 1) ** -skew
            self._cumulative.append(weight)

    def draw(self, rng: random.Random) -> Customer:
        return rng.choices(self._customers, cum_weights=self._cumulative)[0]


class Modulation:
    """Modulates a phase's rate, 1 being the usual rate: it alternates at random between calm and burst, as in a
    two-state Markov-modulated Poisson process, and swings with a sine."""

    def __init__(self, phase: pb.Phase, rng: random.Random) -> None:
        self._phase, self._rng = phase, rng
        self.peak = phase.burst_times * (1 + phase.swing)
        self._burst, self._until = False, rng.expovariate(1 / phase.calm_ms)

    def accepts(self, ms: float) -> bool:
        """Whether to keep an arrival that was drawn at the peak rate (thinning); `ms` must not decrease."""
        phase = self._phase
        while ms >= self._until:
            self._burst = not self._burst
            self._until += self._rng.expovariate(1 / (phase.burst_ms if self._burst else phase.calm_ms))
        now = (phase.burst_times if self._burst else 1.0) * (
            1 + phase.swing * math.sin(2 * math.pi * ms / phase.swing_ms)
        )
        return self._rng.random() * self.peak < now


def schedule(scenario: pb.Day) -> Iterator[ScheduledRequest]:
    """Every request of the scenario, in order of time: a Poisson process whose rate follows the phases."""
    rng = random.Random(f"{scenario.seed}/schedule")
    groups = customers_of(scenario)
    samplers = [
        _CustomerSampler(customers, group.skew) for customers, group in zip(groups, scenario.customers, strict=True)
    ]
    shares = [group.share for group in scenario.customers]
    works = list(scenario.work)
    classes = {entry.name: entry for entry in getattr(scenario, "class")}
    start, number, usual = 0.0, 0, scenario.phase[0].rate
    for phase_number, phase in enumerate(scenario.phase):
        at = start
        modulation = Modulation(phase, random.Random(f"{scenario.seed}/modulation/{phase_number}"))
        while phase.rate > 0:
            at += rng.expovariate(phase.rate * modulation.peak) * 1000.0
            if at >= start + phase.for_ms:
                break
            if modulation.peak > 1 and not modulation.accepts(at - start):
                continue
            only = [index for index, group in enumerate(scenario.customers) if group.plan == phase.only_plan]
            hot = bool(only) and rng.random() < phase.hot_share
            extra = bool(only) and not phase.hot_share and rng.random() * phase.rate > usual
            if hot:
                index, customer = only[0], groups[only[0]][0]
            else:
                index = rng.choice(only) if extra else rng.choices(range(len(shares)), shares)[0]
                customer = samplers[index].draw(rng)
            group = scenario.customers[index]
            if not hot and rng.random() < group.once_share:
                first = rng.randrange(scenario.fleet.doors)
                customer = Customer(
                    f"{group.plan}-once-{number}",
                    group.plan,
                    first,
                    tuple((first + step) % scenario.fleet.doors for step in range(scenario.fleet.doors)),
                )
            work = rng.choices(works, [entry.share for entry in works])[0]
            cls = classes[getattr(work, "class")]
            gateways = list(customer.gateways)
            if random.Random(customer.key).random() < phase.shift_share:
                gateways = gateways[1:] + gateways[:1]
            if rng.random() >= phase.first_door_share:
                rng.shuffle(gateways)
            clients = scenario.clients
            patience = cls.deadline_ms * rng.uniform(clients.least_patience, clients.most_patience)
            leave = rng.uniform(1.0, MAX_LEAVE_SHARE * cls.aim_ms) if rng.random() < clients.leave_share else 0.0
            credential = ""
            if scenario.HasField("auth_services"):
                bad = rng.random() < scenario.auth_services.bad_share
                credential = f"Basic guess-{number}" if bad else f"Bearer {customer.key}"
            yield ScheduledRequest(
                at_ms=round(at, 3),
                rid=f"r{number}",
                customer=customer.key,
                cls=cls.name,
                units=work.units,
                doors=gateways,
                patience_ms=round(patience, 3),
                body=work.body_bytes,
                leave_ms=round(leave, 3),
                credential=credential,
                abuse=bool(clients.abuse_plan) and group.plan == clients.abuse_plan,
            )
            number += 1
        start += phase.for_ms
        if not phase.only_plan:
            usual = phase.rate


def length_ms(scenario: pb.Day) -> float:
    """The time from the first phase's start to the last one's end, in which requests arrive."""
    return math.fsum(phase.for_ms for phase in scenario.phase)
