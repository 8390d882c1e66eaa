"""Loads a door's settings, tells all that is wrong with them, and turns them into the module's."""

from __future__ import annotations

import hashlib
import ipaddress
import math
import re
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

from martenstep.config import door_pb2 as pb
from martenstep.config.text import Fault, Faults, M, Node, parse
from martenstep.policy import messages as api

EFFECTS = {
    pb.SAFE: api.Idempotency.IDEMPOTENT,
    pb.KEYED: api.Idempotency.KEYED,
    pb.UNSAFE: api.Idempotency.AT_MOST_ONCE,
}
GROUPS = {
    pb.ALL: api.DeduplicationScope.ALL,
    pb.ZONE: api.DeduplicationScope.ZONE,
    pb.CELL: api.DeduplicationScope.CELL,
}
TICK_MS = 1.0  # a socket's answer takes about this: what is left of a deadline below it is of no use
ERROR_STATUS = (500, 502, 503, 504)
MOST_PORT = 65535
MOST_WORKERS = 256
MOST_SLOTS = 256
COPIES = (1, 3, 5)  # an even number bears no more losses than one less
MOST_NAME = 64  # of a door in the fleet's datagrams
CUSTOMER_BITS = 33  # the module's customers are numbers below 2^33
HEX_KEY = re.compile(r"[0-9a-f]{64}")
HOST_NAME = re.compile(r"(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.\-_]+)(:[0-9]{1,5})?")
METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH")


def customer_id(key: str) -> int:
    """The module's number of a customer: the same at every door, whatever the order of their files."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> (64 - CUSTOMER_BITS)


class Checker:
    """Gathers the faults of one file."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def fault(self, node: Node, text: str) -> None:
        """Note one."""
        self.faults.append(Fault(node.line, node.column, node.path, text))

    def number(self, message: Any, node: Node, name: str, least: float, most: float = math.inf) -> None:
        """A figure within bounds."""
        value = getattr(message, name)
        if not least <= value <= most:  # also catches nan
            bounds = f"at least {least:g}" if most == math.inf else f"from {least:g} to {most:g}"
            self.fault(node.at(name), f"expected {bounds}, got {value:g}")

    def above_zero(self, message: Any, node: Node, *names: str) -> None:
        """Figures that must be above 0 and finite."""
        for name in names:
            value = getattr(message, name)
            if not 0 < value < math.inf:
                self.fault(
                    node.at(name),
                    f"expected above 0, got {value:g}" if message.HasField(name) else "missing, expected above 0",
                )

    def needed(self, message: Any, node: Node, *names: str) -> None:
        """Words that must be there."""
        for name in names:
            if not getattr(message, name):
                self.fault(node.at(name), "missing")

    def unique(self, nodes: Sequence[Node], messages: Iterable[Any], name: str) -> None:
        """No two entries of one name."""
        seen: dict[str, int] = {}
        for node, message in zip(nodes, messages, strict=True):
            value = getattr(message, name)
            if value and value in seen:
                self.fault(node.at(name), f"{value!r} is taken by the entry at line {seen[value]}")
            seen.setdefault(value, node.line)

    def known(self, message: Any, node: Node, name: str, names: set[str], what: str) -> None:
        """A word that names an entry elsewhere."""
        value = getattr(message, name)
        if not value:
            self.fault(node.at(name), "missing")
        elif value not in names:
            listed = ", ".join(sorted(names)) or "none"
            self.fault(node.at(name), f"no {what} is named {value!r} (there are: {listed})")

    def port(self, message: Any, node: Node, any_free: bool) -> None:
        """A port number; 0 stands for any that is free, where that makes sense."""
        if message.port > MOST_PORT:
            self.fault(
                node.at("port"), f"expected a port from {0 if any_free else 1} to {MOST_PORT}, got {message.port}"
            )
        elif not message.port and not any_free:
            self.fault(node.at("port"), f"missing, expected a port from 1 to {MOST_PORT}")


def check_class(check: Checker, entry: pb.RequestClass, node: Node) -> None:
    """One class of requests."""
    check.needed(entry, node, "name")
    check.above_zero(entry, node, "aim_ms", "deadline_ms")
    if entry.aim_ms > entry.deadline_ms > 0:
        check.fault(
            node.at("aim_ms"), f"expected no more than the deadline of {entry.deadline_ms:g}, got {entry.aim_ms:g}"
        )
    check.number(entry, node, "worth", 0)
    if entry.effect == pb.KEYED:
        check.above_zero(entry, node, "window_ms")
    else:
        for name in ("window_ms", "group"):
            if entry.HasField(name):
                check.fault(node.at(name), "is of use only with effect: KEYED")


def check_plan(check: Checker, entry: pb.Plan, node: Node) -> None:
    """One plan."""
    check.needed(entry, node, "name")
    for name in ("rate", "burst", "price", "over_worth", "over_cost", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
        check.number(entry, node, name, 0, 1e12)
    if entry.rate > 0 and not entry.burst > 0:
        check.fault(node.at("burst"), "missing, expected above 0 where there is a rate")
    if entry.burst > 0 and not entry.rate > 0:
        check.fault(node.at("rate"), "missing, expected above 0 where there is a burst")
    if entry.ceiling_rate > 0:
        for name, least in (("ceiling_rate", entry.rate), ("ceiling_burst", entry.burst)):
            if getattr(entry, name) < least:
                check.fault(node.at(name), f"expected no less than the quota's {least:g}")
    elif entry.ceiling_burst or entry.ceiling_slack:
        check.fault(node.at("ceiling_rate"), "missing, expected above 0 where there is a ceiling")


def check_rules(check: Checker, rules: pb.Rules, node: Node) -> None:
    """The figures of the rules."""
    for name in ("answer_slack_ms", "drain_grace_ms", "warm_within_ms", "fall_window_ms"):
        check.number(rules, node, name, 0, 1e9)
    check.number(rules, node, "cold_from", 0, 1)
    check.number(rules, node, "fall_multiple", 1, 1e6)
    if rules.warm_within_ms and not rules.fall_window_ms:
        check.fault(node.at("fall_window_ms"), "missing, expected above 0 where servers start cold")


def _check_route(check: Checker, entry: pb.Route, node: Node, classes: set[str], max_units: float) -> None:
    check.known(entry, node, "class", classes, "class")
    check.above_zero(entry, node, "units")
    if entry.units > max_units:
        check.fault(node.at("units"), f"expected no more than max_units of {max_units:g}, got {entry.units:g}")
    if not entry.path_prefix.startswith("/"):
        check.fault(node.at("path_prefix"), f"expected a path that begins with '/', got {entry.path_prefix!r}")
    for method in entry.method:
        if method not in METHODS:
            check.fault(node.at("method"), f"expected one of {', '.join(METHODS)}, got {method!r}")
    if entry.WhichOneof("identity") is None:
        check.fault(node, "missing customer_header, customer_segment or authenticate: who the customer is")
    elif entry.HasField("authenticate") and not entry.authenticate:
        check.fault(node.at("authenticate"), "false says nothing: leave it out, or name the customer otherwise")
    elif entry.HasField("customer_segment") and not entry.customer_segment:
        check.fault(node.at("customer_segment"), "expected at least 1")
    if entry.fail_open and not entry.authenticate:
        check.fault(node.at("fail_open"), "is of use only with authenticate")


def _file(check: Checker, message: Any, node: Node, name: str) -> None:
    value = getattr(message, name)
    if value and not Path(value).is_file():
        check.fault(node.at(name), f"there is no file {value!r}")


def check_server_tls(check: Checker, tls: pb.ServerTls | None, node: Node) -> None:
    """TLS where others connect to us."""
    if tls is None:
        return
    check.needed(tls, node, "certificate", "key")
    for name in ("certificate", "key", "client_ca"):
        _file(check, tls, node, name)


def check_client_tls(check: Checker, tls: pb.ClientTls, node: Node) -> None:
    """TLS where we connect to others."""
    for name in ("ca", "certificate", "key"):
        _file(check, tls, node, name)
    if bool(tls.certificate) != bool(tls.key):
        check.fault(node, "certificate and key go together")


def _check_hooks(check: Checker, door: pb.Door, node: Node) -> None:
    """What the settings leave open to hooks."""
    told = door.hooks
    check.needed(told, node, "directory")
    for name, known in (
        ("class", {entry.name for entry in getattr(door, "class")}),
        ("plan", {entry.name for entry in door.plan}),
        ("customer", {entry.key for entry in door.customer}),
    ):
        for value, at in zip(getattr(told, name), node.all(name), strict=True):
            if value not in known:
                check.fault(at, f"no {name} is named {value!r}")
    for key, at in zip(told.trusted_key, node.all("trusted_key"), strict=True):
        if not HEX_KEY.fullmatch(key):
            check.fault(at, "expected an Ed25519 key of 64 hex digits")
    if told.HasField("least_units"):
        check.number(told, node, "least_units", 0, door.max_units)
    if told.HasField("most_units"):
        check.number(told, node, "most_units", told.least_units, door.max_units)
    for prefix, at in zip(told.path_prefix, node.all("path_prefix"), strict=True):
        if not prefix.startswith("/"):
            check.fault(at, f"expected a path that begins with '/', got {prefix!r}")
    check.number(told, node, "failure_share", 0, 1)
    check.above_zero(told, node, "mean_steps", "backstop_ms")
    check.number(told, node, "least_runs", 1)


def _check_store(check: Checker, store: pb.Store, node: Node) -> None:
    """Where the shared store is, and who we are there."""
    if store.topology == pb.Store.ALONE:
        check.port(store, node, any_free=False)
        if store.node:
            check.fault(node.at("node"), "given beside topology ALONE; host and port are for that")
    else:
        kind = pb.Store.Topology.Name(store.topology)
        for name in ("host", "port"):
            if store.HasField(name):
                check.fault(node.at(name), f"given beside topology {kind}; nodes are for that")
        if not store.node:
            check.fault(node.at("node"), "missing: at least one is needed")
        for entry, at in zip(store.node, node.all("node"), strict=True):
            check.port(entry, at, any_free=False)
    if store.topology == pb.Store.SENTINEL:
        check.needed(store, node, "primary_name")
    if store.topology == pb.Store.CLUSTER and store.database:
        check.fault(node.at("database"), "expected 0: a cluster has no other")
    for name in ("password_file", "sentinel_password_file"):
        _file(check, store, node, name)
    if store.user and not store.password_file:
        check.fault(node.at("user"), "given without password_file")
    if store.HasField("tls"):
        check_client_tls(check, store.tls, node.at("tls"))
        if store.tls.server_name:
            check.fault(node.at("tls").at("server_name"), "not taken for the store: its nodes' hosts are checked")
    for name in ("connections", "waiting"):
        check.number(store, node, name, 1)
    check.number(store, node, "gather_ms", 0, store.timeout_ms / 2)


def _check_endpoint(check: Checker, endpoint: pb.Fleet.Endpoint, node: Node) -> None:
    check.port(endpoint, node, any_free=False)
    check.needed(endpoint, node, "host")


def _not_beside(check: Checker, message: Any, node: Node, other: str) -> None:
    """An address in place of which a list is given."""
    for name in ("host", "port"):
        if message.HasField(name):
            check.fault(node.at(name), f"given beside {other}; only one of them may be")


def check_fleet(check: Checker, door: pb.Door, node: Node) -> None:
    """Membership among the doors."""
    fleet = door.fleet
    check.needed(fleet, node, "cluster", "host", "key_file")
    check.port(fleet, node, any_free=True)
    if fleet.HasField("advertise"):
        _check_endpoint(check, fleet.advertise, node.at("advertise"))
    elif fleet.host in ("0.0.0.0", "::"):
        check.fault(node.at("advertise"), f"missing: others cannot reach {fleet.host}")
    for seed, at in zip(fleet.seed, node.all("seed"), strict=True):
        _check_endpoint(check, seed, at)
    for way, at in zip(fleet.way, node.all("way"), strict=True):
        _check_endpoint(check, way.to, at.at("to"))
        _check_endpoint(check, way.through, at.at("through"))
    check.number(fleet, node, "period_ms", 20, 60_000)
    check.number(fleet, node, "ack_ms", 1, fleet.period_ms / 2)
    check.number(fleet, node, "gossip_ms", 10, 60_000)
    check.number(fleet, node, "suspect_least_ms", 2000, 600_000)
    check.number(fleet, node, "reclaim_ms", 10_000, 1e9)
    if not 0 < len(door.name) <= MOST_NAME or len(door.zone) > MOST_NAME:
        check.fault(node, f"the door's name and zone may have {MOST_NAME} characters at most")
    if door.workers.count > 1:
        check.fault(node, "is not there for several workers yet: each would need an address of its own")


def _check_copies(check: Checker, door: pb.Door, node: Node) -> None:
    """Copies of what the doors hold for each other."""
    copies = door.copies
    if not door.HasField("fleet"):
        check.fault(node, "needs fleet: copies are at doors that know each other")
    check.needed(copies, node, "directory", "witness")
    for name in ("port", "counter_port"):
        check.number(copies, node, name, 1, 65535)
    if copies.port == copies.counter_port:
        check.fault(node.at("counter_port"), "the same as port")
    check.number(copies, node, "slots", 1, MOST_SLOTS)
    if copies.count not in COPIES:
        check.fault(node.at("count"), f"expected {', '.join(map(str, COPIES))}, got {copies.count}")
    check.number(copies, node, "final_ms", 1000)
    if copies.HasField("book"):
        check.number(copies.book, node.at("book"), "wait_ms", 1, 10_000)
        if not door.counter.held_by_doors:
            check.fault(node.at("book"), "needs counter with held_by_doors")
    founders = node.all("founder")
    if not 1 <= len(copies.founder) <= copies.count:
        check.fault(node.at("founder"), f"expected 1 to {copies.count}, got {len(copies.founder)}")
    for founder, at in zip(copies.founder, founders, strict=True):
        check.needed(founder, at, "door", "disk")
    check.unique(founders, copies.founder, "door")
    check.unique(founders, copies.founder, "disk")


def _check_parts(check: Checker, door: pb.Door, root: Node) -> None:
    """Listener, upstream, store, members, admin and log."""
    node = root.at("listener")
    check.port(door.listener, node, any_free=True)
    for name in ("max_connections", "max_open", "head_bytes"):
        check.number(door.listener, node, name, 1)
    check.above_zero(door.listener, node, "idle_ms", "head_ms")
    if door.HasField("admin"):
        check.port(door.admin, root.at("admin"), any_free=True)
    for number, name in enumerate(door.listener.host_name):
        if not HOST_NAME.fullmatch(name):
            check.fault(node.at(f"host_name[{number}]"), f"expected host or host:port, got {name!r}")
    check_server_tls(check, door.listener.tls if door.listener.HasField("tls") else None, node.at("tls"))
    for owner, part in (("upstream", door.upstream), ("auth", door.auth), ("counter", door.counter)):
        if part.HasField("tls"):
            check_client_tls(check, part.tls, root.at(owner).at("tls"))
    node = root.at("upstream")
    for name in ("connections", "max_attempts"):
        check.number(door.upstream, node, name, 1)
    check.above_zero(door.upstream, node, "connect_ms", "idle_ms", "answer_idle_ms")
    check.number(door.upstream, node, "refusal_status", 400, 599)
    for status in door.upstream.error_status:
        if not 400 <= status <= 599:
            check.fault(node.at("error_status"), f"expected a status from 400 to 599, got {status}")
    if door.HasField("store"):
        node = root.at("store")
        _check_store(check, door.store, node)
    if door.HasField("maintenance"):
        check.above_zero(door.maintenance, root.at("maintenance"), "capacity")
        if not door.HasField("copies"):
            check.fault(root.at("maintenance"), "needs copies: they hold the order book")
    if door.HasField("copies"):
        _check_copies(check, door, root.at("copies"))
    if door.HasField("counter"):
        node = root.at("counter")
        if door.counter.held_by_doors:
            _not_beside(check, door.counter, node, "held_by_doors")
            for name in ("tls", "map_version"):
                if door.counter.HasField(name):
                    check.fault(node.at(name), "does not go with held_by_doors")
            if door.counter.service:
                check.fault(node.at("service"), "given beside held_by_doors; only one of them may be")
            if not door.HasField("copies"):
                check.fault(node.at("held_by_doors"), "needs copies")
        elif door.counter.service:
            _not_beside(check, door.counter, node, "service")
            for endpoint, at in zip(door.counter.service, node.all("service"), strict=True):
                check.needed(endpoint, at, "name")
                if endpoint.copy:
                    _not_beside(check, endpoint, at, "copy")
                    for copy, copy_at in zip(endpoint.copy, at.all("copy"), strict=True):
                        check.port(copy, copy_at, any_free=False)
                else:
                    check.port(endpoint, at, any_free=False)
            check.unique(node.all("service"), door.counter.service, "name")
        else:
            check.port(door.counter, node, any_free=False)
        check.needed(door.counter, node, "journal")
        for name in ("waiting", "journal_tries"):
            check.number(door.counter, node, name, 1)
        if door.HasField("store"):
            check.fault(node, "given beside store; only one of them may be")
    shortest = min((entry.deadline_ms for entry in getattr(door, "class") if entry.deadline_ms), default=math.inf)
    for name in ("store", "counter"):
        if door.HasField(name):
            part, node = getattr(door, name), root.at(name)
            check.above_zero(part, node, "timeout_ms")
            if part.timeout_ms >= shortest:
                check.fault(node.at("timeout_ms"), f"expected below the shortest deadline of {shortest:g}")
    if door.HasField("fleet"):
        check_fleet(check, door, root.at("fleet"))
    if door.HasField("hooks"):
        _check_hooks(check, door, root.at("hooks"))
    if door.HasField("tracing"):
        check.needed(door.tracing, root.at("tracing"), "file")
        check.number(door.tracing, root.at("tracing"), "share", 0, 1)
    if door.HasField("auth"):
        node = root.at("auth")
        if not door.auth.service:
            check.fault(node.at("service"), "missing: at least one is needed")
        for service, at in zip(door.auth.service, node.all("service"), strict=True):
            check.port(service, at, any_free=False)
        if not door.auth.path.startswith("/"):
            check.fault(node.at("path"), f"expected a path that begins with '/', got {door.auth.path!r}")
        check.number(door.auth, node, "share", 0.01, 1)
        check.above_zero(door.auth, node, "attempt_ms", "open_ms")
        for name in ("attempts", "per_service", "total", "waiting", "cache_entries"):
            check.number(door.auth, node, name, 1)
        for name in ("cache_ms", "deny_ms"):
            check.number(door.auth, node, name, 0)
    if door.HasField("members"):
        node = root.at("members")
        check.port(door.members, node, any_free=False)
        check.above_zero(door.members, node, "wait_ms")
    elif not door.HasField("forward_auth"):
        check.fault(root.at("members"), "missing: a door needs a feed of its servers")
    if door.HasField("forward_auth"):
        node = root.at("forward_auth")
        if door.HasField("members"):
            check.fault(node, "given beside members: a door that is asked sends nothing on")
        if not door.forward_auth.path_prefix.startswith("/"):
            check.fault(node.at("path_prefix"), "expected a path that begins with '/'")
        if bool(door.forward_auth.secret) != bool(door.forward_auth.secret_header):
            check.fault(node, "secret and secret_header go together")
        for peer, at in zip(door.forward_auth.trusted_peer, node.all("trusted_peer"), strict=True):
            try:
                ipaddress.ip_network(peer)
            except ValueError as error:
                check.fault(at, str(error))
        for entry, at in zip(getattr(door, "class"), root.all("class"), strict=True):
            if entry.effect != pb.SAFE:
                check.fault(at.at("effect"), "a sub-request has no effect: SAFE is all that fits")


def check_door(check: Checker, door: pb.Door, root: Node) -> None:
    """All of a door's settings."""
    check.needed(door, root, "name", "zone")
    check.number(door, root, "instances", 1, 100_000)
    if door.instances and door.instance >= door.instances:
        check.fault(root.at("instance"), f"expected below instances of {door.instances}, got {door.instance}")
    check.above_zero(door, root, "max_units", "stop_ms")
    check.number(door, root, "max_retry_after_ms", 0, 1e9)
    classes, plans = list(getattr(door, "class")), list(door.plan)
    tables: list[tuple[str, list[Any], Callable[[Checker, Any, Node], None]]] = [
        ("class", classes, check_class),
        ("plan", plans, check_plan),
    ]
    for name, entries, one in tables:
        nodes = root.all(name)
        if not entries:
            check.fault(root.at(name), "missing: at least one is needed")
        for entry, node in zip(entries, nodes, strict=True):
            one(check, entry, node)
        check.unique(nodes, entries, "name")
    plan_names = {entry.name for entry in plans}
    nodes = root.all("customer")
    ids: dict[int, str] = {}
    for customer, node in zip(door.customer, nodes, strict=True):
        check.needed(customer, node, "key")
        check.known(customer, node, "plan", plan_names, "plan")
        if customer.doors > door.instances:
            check.fault(node.at("doors"), f"expected no more than instances of {door.instances}")
        if customer.first_door >= max(door.instances, 1):
            check.fault(node.at("first_door"), f"expected below instances of {door.instances}")
        other = ids.setdefault(customer_id(customer.key), customer.key)
        if other != customer.key:
            check.fault(node.at("key"), f"has the same number as {other!r}: give it another name")
    check.unique(nodes, door.customer, "key")
    if door.default_plan:
        check.known(door, root, "default_plan", plan_names, "plan")
    if not door.route:
        check.fault(root.at("route"), "missing: at least one is needed")
    for route, node in zip(door.route, root.all("route"), strict=True):
        _check_route(check, route, node, {entry.name for entry in classes}, door.max_units)
    check.unique(root.all("route"), door.route, "name")
    for route, node in zip(door.route, root.all("route"), strict=True):
        if route.authenticate and not door.HasField("auth"):
            check.fault(node.at("authenticate"), "there is no auth to ask")
        if route.fail_open and not door.default_plan:
            check.fault(node.at("fail_open"), "there is no default_plan for those that pass without a verdict")
    check_rules(check, door.rules, root.at("rules"))
    check.number(door.workers, root.at("workers"), "count", 1, MOST_WORKERS)
    if door.workers.count > 1 and door.admin.port and door.admin.port + door.workers.count - 1 > MOST_PORT:
        check.fault(root.at("admin").at("port"), "the workers take this port and those above it, past the last one")
    _check_parts(check, door, root)


def read_text(path: Path) -> str:
    """A file's text; raises Faults where it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise Faults(str(path), [Fault(1, 1, "", error.strerror or "cannot be read")]) from None
    except UnicodeDecodeError as error:
        raise Faults(str(path), [Fault(1, 1, "", f"not UTF-8 at byte {error.start}")]) from None


def parse_checked(text: str, message: M, file: str, check: Callable[[Checker, M, Node], None]) -> M:
    """A message from text in text format, its form and then its sense checked; raises Faults with all that is wrong."""
    read, root, faults = parse(text, message, file)
    if not faults:
        checker = Checker()
        check(checker, read, root)
        faults = checker.faults
    if faults:
        raise Faults(file, faults)
    return read


def parse_door(text: str, file: str) -> pb.Door:
    """A door's settings from text; raises Faults with all that is wrong."""
    return parse_checked(text, pb.Door(), file, check_door)


def load_door(path: Path) -> pb.Door:
    """A door's settings from a file; raises Faults with all that is wrong."""
    return parse_door(read_text(path), str(path))


def class_of(entry: pb.RequestClass) -> api.RequestClass:
    """A class in the module's terms."""
    return api.RequestClass(
        name=entry.name,
        latency_objective_ms=entry.aim_ms,
        deadline_ms=entry.deadline_ms,
        idempotency=EFFECTS[entry.effect],
        deduplication_scope=GROUPS[entry.group],
        deduplication_window_ms=entry.window_ms,
        priority_weight=entry.worth,
    )


def plan_of(entry: pb.Plan) -> api.Plan:
    """A plan in the module's terms."""
    return api.Plan(
        name=entry.name,
        rate=entry.rate,
        burst=entry.burst,
        concurrency_limit=entry.open_limit,
        priority_weight=entry.price,
        over_quota_value=entry.over_worth,
        over_quota_cost=entry.over_cost,
        ceiling_rate=entry.ceiling_rate,
        ceiling_burst=entry.ceiling_burst,
        ceiling_slack=entry.ceiling_slack,
    )


def module_settings(door: pb.Door) -> api.Settings:
    """What the module is told at its start."""
    rules = door.rules
    return api.Settings(
        instance=door.instance,
        instances=door.instances,
        zone=door.zone,
        tick_ms=TICK_MS,
        classes=tuple(class_of(entry) for entry in getattr(door, "class")),
        plans=tuple(plan_of(entry) for entry in door.plan),
        has_counter=door.HasField("store") or door.HasField("counter"),
        counter_timeout_ms=door.counter.timeout_ms if door.HasField("counter") else door.store.timeout_ms,
        max_units=door.max_units,
        max_attempts=door.upstream.max_attempts,
        can_cancel=door.upstream.cancel,
        sends_retry_after=True,
        max_retry_after_ms=door.max_retry_after_ms,
        must_subscribe=True,
        poll_interval_ms=0.0,
        answer_slack_ms=rules.answer_slack_ms,
        slow_start_initial_share=rules.cold_from,
        slow_start_window_ms=rules.warm_within_ms,
        overload_multiple=rules.fall_multiple,
        overload_window_ms=rules.fall_window_ms,
        has_capacity_weights=True,
    )
