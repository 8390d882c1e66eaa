"""Loads a day, tells all that is wrong with it, and makes from it what the processes need: settings of each door
and server, and the schedule of requests."""

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

DOOR_TROUBLES = (pb.DOOR_KILLED, pb.DOOR_ROLLED, pb.DOOR_LOST, pb.DOOR_CUT_FROM_FEED)
STORE_TROUBLES = (
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
AUTH_TROUBLES = (
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
FEED_TROUBLES = (pb.FEED_STALE, pb.FEED_PARTIAL, pb.FEED_DOWN)
LEAVES_BY = 0.1  # parts of the aim: a client that leaves does so while its request is on its way
KINDS = ("standard", "slow")
LIMITERS = ("", "each door", "split", "central, open", "central, closed")
LONGEST_MS = 30 * 60_000.0


def zone_name(number: int) -> str:
    """Zones by number."""
    return f"zone-{chr(ord('a') + number % 26)}"


def _check_event(check: SettingsChecker, event: pb.Event, node: FieldPosition, day: pb.Day) -> None:
    length = sum(phase.for_ms for phase in day.phase)
    if event.trouble == pb.NONE:
        check.report(node.at("trouble"), "missing")
    check.require_range(event, node, "at_ms", 0, length)
    check.require_range(event, node, "for_ms", 0, LONGEST_MS)
    check.require_range(event, node, "share", 0, 1)
    check.require_range(event, node, "factor", 0, 1e6)
    number = day.fleet.doors if event.trouble in DOOR_TROUBLES else day.fleet.servers
    if event.trouble in AUTH_TROUBLES:
        number = day.auth_services.number if day.HasField("auth_services") else 0
        if not number:
            check.report(node.at("trouble"), "fits only a day with auth_services")
            return
    if event.trouble in STORE_TROUBLES + FEED_TROUBLES + (pb.NET_CUT,):
        if event.trouble in (pb.COUNTER_KILLED, pb.STORE_SLOTS_MOVE):
            check.require_range(event, node, "count", 1, 10_000)
        if event.target:
            check.report(node.at("target"), "is of use only for doors and servers")
    elif any(target >= number for target in event.target):
        check.report(node.at("target"), f"expected below {number}")
    elif event.count > number:
        check.report(node.at("count"), f"expected no more than {number}")
    if event.trouble in STORE_TROUBLES and (event.trouble == pb.COUNTER_KILLED) != day.own_counter:
        check.report(
            node.at("trouble"),
            "fits only a day with own_counter" if not day.own_counter else "fits only a day without own_counter",
        )
    if (event.trouble == pb.COUNTER_KILLED and day.HasField("held_by_doors")) or (
        event.trouble == pb.DOOR_LOST and not day.HasField("held_by_doors")
    ):
        check.report(
            node.at("trouble"),
            "fits only a day with held_by_doors"
            if event.trouble == pb.DOOR_LOST
            else "there is no counter process on a day with held_by_doors",
        )
    if event.trouble == pb.STORE_FAILOVER and day.store_topology == cfg.Store.ALONE:
        check.report(node.at("trouble"), "fits only a store with replicas: set store_topology")
    if event.trouble == pb.STORE_SLOTS_MOVE:
        if day.store_topology != cfg.Store.CLUSTER:
            check.report(node.at("trouble"), "fits only a cluster: set store_topology")
        check.require_range(event, node, "count", 1, SLOTS)
    if event.trouble == pb.NET_CUT:
        check.require_present(event, node, "source", "sink")
    if event.trouble == pb.SERVER_CLASS_FAILS and not getattr(event, "class"):
        check.report(node.at("class"), "missing")
    if event.trouble in (pb.STORE_PAUSED, pb.DOOR_KILLED, pb.DOOR_ROLLED, pb.COUNTER_KILLED) and not event.for_ms:
        check.report(node.at("for_ms"), "missing, expected above 0")


def check_day(check: SettingsChecker, day: pb.Day, root: FieldPosition) -> None:
    """All of a day."""
    check.require_present(day, root, "name")
    node = root.at("fleet")
    for name, most in (("doors", 2000), ("servers", 5000), ("zones", 26), ("cells", 200), ("cores", 64)):
        check.require_range(day.fleet, node, name, 1, most)
    check.require_range(day.fleet, node, "slow_share", 0, 1)
    check.require_range(day.fleet, node, "feed_lag_ms", 0, 60_000)
    classes = list(getattr(day, "class"))
    for entry, at in zip(classes, root.all("class"), strict=True):
        check_class(check, entry, at)
    check.require_unique(root.all("class"), classes, "name")
    for plan, at in zip(day.plan, root.all("plan"), strict=True):
        check_plan(check, plan, at)
    check.require_unique(root.all("plan"), day.plan, "name")
    for name in ("class", "plan", "work", "customers", "phase"):
        if not root.all(name):
            check.report(root.at(name), "missing: at least one is needed")
    class_names, plan_names = {entry.name for entry in classes}, {plan.name for plan in day.plan}
    for work, at in zip(day.work, root.all("work"), strict=True):
        check.require_reference(work, at, "class", class_names, "class")
        check.require_positive(work, at, "share", "least_ms", "units")
        check.require_range(work, at, "most_ms", work.least_ms, 60_000)
    for group, at in zip(day.customers, root.all("customers"), strict=True):
        check.require_reference(group, at, "plan", plan_names, "plan")
        check.require_range(group, at, "number", 1, 1_000_000)
        check.require_positive(group, at, "share")
        check.require_range(group, at, "doors", 1, max(day.fleet.doors, 1))
        check.require_range(group, at, "once_share", 0, 1)
        check.require_range(group, at, "skew", 0, 10)
    for phase, at in zip(day.phase, root.all("phase"), strict=True):
        check.require_positive(phase, at, "for_ms")
        check.require_range(phase, at, "rate", 0, 100_000)
        check.require_range(phase, at, "burst_times", 1, 1000)
        check.require_positive(phase, at, "burst_ms", "calm_ms", "swing_ms")
        for name in ("hot_share", "shift_share", "first_door_share", "swing"):
            check.require_range(phase, at, name, 0, 1)
        if phase.only_plan:
            check.require_reference(phase, at, "only_plan", plan_names, "plan")
        if phase.hot_share and not phase.only_plan:
            check.report(at.at("only_plan"), "missing: of which plan is the one hot customer?")
    if sum(phase.for_ms for phase in day.phase) > LONGEST_MS:
        check.report(root.at("phase"), f"expected no more than {LONGEST_MS:g} ms in all")
    node = root.at("clients")
    check.require_range(day.clients, node, "retries", 0, 20)
    check.require_range(day.clients, node, "leave_share", 0, 1)
    check.require_range(day.clients, node, "least_patience", 0.01, 1)
    check.require_range(day.clients, node, "most_patience", day.clients.least_patience, 1)
    if day.clients.abuse_plan:
        check.require_reference(day.clients, node, "abuse_plan", plan_names, "plan")
    for event, at in zip(day.event, root.all("event"), strict=True):
        _check_event(check, event, at, day)
    for release, at in zip(day.hooks, root.all("hooks"), strict=True):
        check.require_range(release, at, "at_ms", 0, LONGEST_MS)
        if not 0 < release.share <= 1:
            check.report(at.at("share"), f"expected above 0, to 1, got {release.share:g}")
        try:
            compile_source(release.source)
        except HookSourceError as fault:
            check.report(at.at("source"), str(fault))
    if day.HasField("held_by_doors"):
        node = root.at("held_by_doors")
        if not day.own_counter:
            check.report(node, "needs own_counter")
        check.require_range(day.held_by_doors, node, "slots", 1, 64)
        check.require_range(day.held_by_doors, node, "final_ms", 1000)
        if day.held_by_doors.copies not in REPLICA_COUNTS:
            check.report(
                node.at("copies"), f"expected {', '.join(map(str, REPLICA_COUNTS))}, got {day.held_by_doors.copies}"
            )
    if day.limiter not in LIMITERS:
        check.report(root.at("limiter"), f"expected one of {', '.join(LIMITERS[1:])}")
    check_rules(check, day.rules, root.at("rules"))
    check.require_positive(day, root, "store_timeout_ms", "judge_slack_ms", "store_call_ms")


def parse_day(text: str, file: str) -> pb.Day:
    """A day from text; raises SettingsError with all that is wrong."""
    return parse_checked(text, pb.Day(), file, check_day)


def load_day(path: Path) -> pb.Day:
    """A day from a file; raises SettingsError with all that is wrong."""
    return parse_day(read_text(path), str(path))


# What the processes need ------------------------------------------------------------------------------


def targets_of(day: pb.Day, event: pb.Event) -> list[int]:
    """Numbers of the doors, servers or authentication services that a trouble is for; none for store and feed."""
    if event.trouble in (*STORE_TROUBLES, *FEED_TROUBLES, pb.NET_CUT):
        return []
    if event.target:
        return list(event.target)
    if event.trouble in AUTH_TROUBLES:
        return list(range(day.auth_services.number))
    return list(range(min(event.count, day.fleet.doors if event.trouble in DOOR_TROUBLES else day.fleet.servers)))


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer of a day and the doors it comes through."""

    key: str
    plan: str
    first: int
    doors: tuple[int, ...]


def customers_of(day: pb.Day) -> list[list[Customer]]:
    """The customers of each group."""
    total = day.fleet.doors
    groups = []
    for number, group in enumerate(day.customers):
        rng = random.Random(f"{day.seed}/customers/{number}")
        made = []
        for index in range(group.number):
            first = rng.randrange(total)
            doors = tuple((first + step) % total for step in range(group.doors))
            made.append(Customer(f"{group.plan}-{number}-{index}", group.plan, first, doors))
        groups.append(made)
    return groups


def max_units(day: pb.Day) -> float:
    """The most units that one request counts."""
    return float(max(work.units for work in day.work))


def door_settings(day: pb.Day, number: int, ports: dict[str, int], warm_copy: Path) -> cfg.Door:
    """The settings of one door; ports: listener, admin, store, feed."""
    door = cfg.Door(
        name=f"door-{number}",
        instance=number,
        instances=day.fleet.doors,
        zone=zone_name(number % day.fleet.zones),
        max_units=max_units(day),
        default_plan=day.customers[0].plan,
    )
    door.listener.port = ports["listener"]
    door.admin.port = ports["admin"]
    if day.own_counter:
        door.counter.port, door.counter.timeout_ms = ports["store"], day.store_timeout_ms
        door.counter.journal = str(warm_copy.with_name(f"door-{number}.journal"))
    else:
        door.store.timeout_ms = day.store_timeout_ms
        if day.store_topology == cfg.Store.ALONE:
            door.store.port = ports["store"]
        else:
            door.store.topology, door.store.primary_name = day.store_topology, PRIMARY_NAME.decode()
            for name in sorted(name for name in ports if name.startswith("store-")):
                door.store.node.add(port=ports[name])
    door.members.port, door.members.warm_copy = ports["feed"], str(warm_copy)
    door.upstream.CopyFrom(day.upstream)
    door.rules.CopyFrom(day.rules)
    door.plan.extend(day.plan)
    getattr(door, "class").extend(getattr(day, "class"))
    if day.hooks:
        door.hooks.directory = str(warm_copy.with_name("hooks"))
        door.hooks.history = str(warm_copy.with_name(f"hooks-{number}.jsonl"))
    guarded = day.HasField("auth_services")
    if guarded:
        door.auth.CopyFrom(day.auth)
        door.auth.copy_header.append("x-auth-customer")
        for service in range(day.auth_services.number):
            door.auth.service.add(port=ports[f"auth-{service}"])
    for work in day.work:
        name = getattr(work, "class")
        route = door.route.add(name=name, path_prefix=f"/{name}/", units=work.units)
        if guarded:
            route.authenticate = True
        else:
            route.customer_header = "x-customer"
        setattr(route, "class", name)
    for group in customers_of(day):
        for customer in group:
            door.customer.add(
                key=customer.key, plan=customer.plan, first_door=customer.first, doors=len(customer.doors)
            )
    return door


def door_settings_at(day: pb.Day, number: int) -> cfg.Door:
    """The settings of a door without a machine: its ports are numbers that nobody binds."""
    return door_settings(
        day,
        number,
        {
            "listener": 0,
            "admin": 0,
            "store": 1,
            "feed": 1,
            "store-0": 1,
            **{f"auth-{service}": service + 1 for service in range(day.auth_services.number)},
        },
        Path(),
    )


def written(door: cfg.Door) -> str:
    """A door's settings as the file that an operator would write."""
    return text_format.MessageToString(door)


def server_settings(day: pb.Day, number: int, cold: bool, port: int) -> PhotoConfig:
    """The settings of one photo server."""
    slow = number < round(day.fleet.slow_share * day.fleet.servers)
    classes = {entry.name: entry for entry in getattr(day, "class")}
    work = {}
    for entry in day.work:
        name = getattr(entry, "class")
        work[name] = ClassWork(
            entry.least_ms,
            entry.most_ms,
            entry.answer_bytes,
            classes[name].window_ms if classes[name].effect == cfg.KEYED else 0.0,
        )
    rules = day.rules
    return PhotoConfig(
        id=number + 1,
        port=port,
        cores=day.fleet.cores,
        speed=1 / day.fleet.slow_factor if slow else 1.0,
        queue=day.fleet.queue,
        connections=day.fleet.connections,
        cold_from=rules.cold_from,
        warm_ms=rules.warm_within_ms,
        fall_multiple=rules.fall_multiple if rules.warm_within_ms else 0.0,
        fall_window_ms=rules.fall_window_ms or 1000.0,
        cold=cold,
        seed=day.seed * 1000 + number,
        refusal_status=day.upstream.refusal_status,
        refusal_header=day.upstream.refusal_header,
        work=work,
    )


def entry_of(day: pb.Day, number: int, port: int, state: str, started_unix_ms: float) -> dict[str, object]:
    """One server as the feed lists it."""
    slow = number < round(day.fleet.slow_share * day.fleet.servers)
    return {
        "id": number + 1,
        "host": "127.0.0.1",
        "port": port,
        "zone": zone_name(number % day.fleet.zones),
        "kind": KINDS[slow],
        "cell": number % day.fleet.cells,
        "state": state,
        "size": round(1 / day.fleet.slow_factor, 3) if slow else 1.0,
        "started_unix_ms": started_unix_ms,
    }


class _Draw:
    """Draws a customer of a group, by Zipf's law where it has a skew."""

    def __init__(self, customers: list[Customer], skew: float) -> None:
        self._customers = customers
        weight, self._cumulative = 0.0, []
        for rank in range(len(customers)):
            weight += (rank + 1) ** -skew
            self._cumulative.append(weight)

    def one(self, rng: random.Random) -> Customer:
        return rng.choices(self._customers, cum_weights=self._cumulative)[0]


class Modulation:
    """How a phase's rate moves: two states that change by chance, and a swing; the usual rate is 1."""

    def __init__(self, phase: pb.Phase, rng: random.Random) -> None:
        self._phase, self._rng = phase, rng
        self.peak = phase.burst_times * (1 + phase.swing)
        self._burst, self._until = False, rng.expovariate(1 / phase.calm_ms)

    def keeps(self, ms: float) -> bool:
        """Whether an arrival at this moment of the phase, drawn at the peak's rate, is one; moments only grow."""
        phase = self._phase
        while ms >= self._until:
            self._burst = not self._burst
            self._until += self._rng.expovariate(1 / (phase.burst_ms if self._burst else phase.calm_ms))
        now = (phase.burst_times if self._burst else 1.0) * (
            1 + phase.swing * math.sin(2 * math.pi * ms / phase.swing_ms)
        )
        return self._rng.random() * self.peak < now


def schedule(day: pb.Day) -> Iterator[ScheduledRequest]:
    """Every request of the day, in order of time: a Poisson stream whose rate follows the phases."""
    rng = random.Random(f"{day.seed}/schedule")
    groups = customers_of(day)
    draws = [_Draw(customers, group.skew) for customers, group in zip(groups, day.customers, strict=True)]
    shares = [group.share for group in day.customers]
    works = list(day.work)
    classes = {entry.name: entry for entry in getattr(day, "class")}
    start, number, usual = 0.0, 0, day.phase[0].rate
    for place, phase in enumerate(day.phase):
        at = start
        moved = Modulation(phase, random.Random(f"{day.seed}/modulation/{place}"))
        while phase.rate > 0:
            at += rng.expovariate(phase.rate * moved.peak) * 1000.0
            if at >= start + phase.for_ms:
                break
            if moved.peak > 1 and not moved.keeps(at - start):
                continue
            only = [index for index, group in enumerate(day.customers) if group.plan == phase.only_plan]
            hot = bool(only) and rng.random() < phase.hot_share
            extra = bool(only) and not phase.hot_share and rng.random() * phase.rate > usual
            if hot:
                index, customer = only[0], groups[only[0]][0]
            else:
                index = rng.choice(only) if extra else rng.choices(range(len(shares)), shares)[0]
                customer = draws[index].one(rng)
            group = day.customers[index]
            if not hot and rng.random() < group.once_share:
                first = rng.randrange(day.fleet.doors)
                customer = Customer(
                    f"{group.plan}-once-{number}",
                    group.plan,
                    first,
                    tuple((first + step) % day.fleet.doors for step in range(day.fleet.doors)),
                )
            work = rng.choices(works, [entry.share for entry in works])[0]
            cls = classes[getattr(work, "class")]
            doors = list(customer.doors)
            if random.Random(customer.key).random() < phase.shift_share:
                doors = doors[1:] + doors[:1]
            if rng.random() >= phase.first_door_share:
                rng.shuffle(doors)
            clients = day.clients
            patience = cls.deadline_ms * rng.uniform(clients.least_patience, clients.most_patience)
            leave = rng.uniform(1.0, LEAVES_BY * cls.aim_ms) if rng.random() < clients.leave_share else 0.0
            credential = ""
            if day.HasField("auth_services"):
                bad = rng.random() < day.auth_services.bad_share
                credential = f"Basic guess-{number}" if bad else f"Bearer {customer.key}"
            yield ScheduledRequest(
                at_ms=round(at, 3),
                rid=f"r{number}",
                customer=customer.key,
                cls=cls.name,
                units=work.units,
                doors=doors,
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


def length_ms(day: pb.Day) -> float:
    """How long the day's arrivals last."""
    return math.fsum(phase.for_ms for phase in day.phase)
