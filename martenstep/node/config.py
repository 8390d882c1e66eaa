"""Reads the platform's configuration of a gateway, the JSON file NODE_CONFIG, at the start and again on SIGHUP.

Its `settings` object has the form of the simulator's protocol and is read by the same decoder.  The limits of the proxy
server are computed here from the limits that the file states.
"""

from __future__ import annotations

import errno
import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from martenstep.node.memory_limits import DEFAULT_MEMORY_MB, MemoryLimits, compute_memory_limits
from martenstep.policy import messages as api
from martenstep.simulator.settings_codec import decode_settings

MAX_BODY_BYTES = 65_536  # of a request: the maximum of the protocol
MAX_RESPONSE_BYTES = 8 << 20  # endpoints send hundreds of KB; a response that states GB is faulty
MAX_HEAD_BYTES = 8192  # of a request: the platform's heads are below 1 KB
REQUEST_TIMEOUT_MS = 1500.0  # a request must be complete within this: silent clients must be closed within 3 s
IDLE_TIMEOUT_MS = 2000.0  # a connection without a request is closed after this: the protocol's minimum
# Descriptors for the standard streams, the event loop, the listener, the connections to discovery and the counter
# (twice while an address changes), and the connections that one turn of the loop accepts or rejects.  Without this
# reserve clients could use up all descriptors, and a connect to an endpoint would fail.
RESERVED_SOCKETS = 46
CLIENT_SHARE = 0.72  # of the other descriptors, for client connections; a third of them carry requests
ENDPOINT_SHARE = 0.6  # of the endpoint connections, at most, to one endpoint: one that hangs must leave some
MIN_SOCKETS = 64  # a gateway with fewer cannot serve
IDLE_TIMEOUT_SHARE = 0.8  # of the time after which endpoints close idle connections: a later request is lost
# SIGKILL follows SIGTERM after the longest deadline, 3 s at most, plus 0.7 s.
MAX_GRACE_MS, EXTRA_GRACE_MS = 3000.0, 700.0
KILL_MARGIN_MS = 300.0  # every request is answered this long before SIGKILL
LAST_REQUESTS_MS = 800.0  # before that, no further request is accepted: most responses take less time
ACCEPT_MS = 600.0  # connections are accepted after SIGTERM: clients open new ones for up to 0.4 s
MIN_SERVE_MS = 450.0  # requests are served at least this long after SIGTERM, however short the grace period
MAX_SETTING = 1e30  # of any setting: sums and products of larger values overflow
MAX_LIMIT = 1e15  # of any limit that the file states
MAX_PORT = 65_535
DEADLINE_MARGIN_MS = 8.0  # a request ends this long before its client's deadline: about its response's transit time


# Errors of system calls for a resource that is short or down temporarily (socket(2), bind(2), open(2)).
TRANSIENT_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)


class ConfigError(Exception):
    """A configuration that cannot be used.  The text names the field."""

    def __init__(self, text: str, transient: bool = False) -> None:
        """`transient` means that a retry shortly afterwards may succeed."""
        super().__init__(text)
        self.transient = transient


@dataclass(frozen=True, slots=True)
class Listener:
    """Limits of client connections (proxy.dependencies.ListenerLimits)."""

    host: str
    port: int
    max_connections: int
    buffer_bytes: int
    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    idle_ms: float = IDLE_TIMEOUT_MS
    head_ms: float = REQUEST_TIMEOUT_MS
    leave_on_half_close: bool = True
    whole_body: bool = True


@dataclass(frozen=True, slots=True)
class Upstream:
    """Limits of connections to endpoints (proxy.dependencies.UpstreamLimits)."""

    connections: int
    all_connections: int
    idle_ms: float
    connect_ms: float
    hold_answer_bytes: int
    answer_idle_ms: float = 1000.0
    keep_body_bytes: int = MAX_BODY_BYTES
    answer_bytes: int = MAX_RESPONSE_BYTES


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """The phases of a gateway between SIGTERM and SIGKILL, by their ends in milliseconds after SIGTERM."""

    accept_ms: float  # new connections are accepted
    serve_ms: float  # requests on open connections are served; each connection closes with its response
    answer_ms: float  # every request has been answered, in flight or not


EMPTY_DRAIN_PLAN = DrainPlan(0.0, 0.0, 0.0)  # for a gateway that never listened


def make_drain_plan(settings: api.Settings) -> DrainPlan:
    """Compute the phases from the longest deadline in the settings, as the platform computes the time of SIGKILL."""
    longest = max((cls.deadline_ms for cls in settings.classes), default=MAX_GRACE_MS)
    answer_ms = min(longest, MAX_GRACE_MS) + EXTRA_GRACE_MS - KILL_MARGIN_MS
    serve_ms = max(answer_ms - min(LAST_REQUESTS_MS, longest), MIN_SERVE_MS)
    return DrainPlan(min(ACCEPT_MS, serve_ms), serve_ms, max(answer_ms, serve_ms))


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway."""

    name: str
    listener: Listener
    upstream: Upstream
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    cached_list: Any  # the platform's last known endpoint list, in discovery's JSON form, not validated yet
    seed: int
    settings: api.Settings
    max_in_flight: int
    memory: MemoryLimits


def parse_address(raw: object, field: str) -> tuple[str, int]:
    """Parse `host:port`; raises ConfigError."""
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{field}: expected host:port, got {raw!r}")
    return host.strip("[]"), int(port)


def _table(raw: object, field: str) -> dict[str, Any]:
    if not isinstance(raw, dict):
        raise ConfigError(f"{field}: expected an object, got {raw!r}")
    return raw


def _number(table: dict[str, Any], field: str, default: float, minimum: float) -> float:
    value = table.get(field.rpartition(".")[2], default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < MAX_LIMIT:
        raise ConfigError(f"{field}: expected a number of at least {minimum:g}, got {value!r}")
    return value


def _check_finite(value: object, field: str) -> None:
    """Raise ConfigError for a number that is infinite or too large: Python's JSON decoder accepts infinities."""
    if isinstance(value, int | float) and not abs(value) < MAX_SETTING:
        raise ConfigError(f"{field}: expected a finite number, got {value!r}")
    entries = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for name, entry in entries:
        _check_finite(entry, f"{field}.{name}")


def _minimums(settings: api.Settings) -> Iterator[tuple[str, float, float]]:
    """Yield the settings that have a minimum: the name in the file, the value, the minimum."""
    yield "instances", settings.instances, 1.0
    yield "me", settings.instance, 0.0
    yield "try_limit", settings.max_attempts, 1.0
    yield "counter_timeout_ms", settings.counter_timeout_ms, 0.0
    yield "warm_within_ms", settings.slow_start_window_ms, 0.0
    yield "overload_for_ms", settings.overload_window_ms, 0.0
    yield "cold_from", settings.slow_start_initial_share, 0.0
    yield "tick_ms", settings.tick_ms, 0.0
    for request_class in settings.classes:
        yield f"classes[{request_class.name}].window_ms", request_class.deduplication_window_ms, 0.0
    for plan in settings.plans:
        yield f"contracts[{plan.name}].units_per_s", plan.rate, 0.0
        yield f"contracts[{plan.name}].most_at_once", plan.burst, 0.0
        yield f"contracts[{plan.name}].open", plan.concurrency_limit, 0.0
        yield f"contracts[{plan.name}].hard_rate", plan.ceiling_rate, 0.0
        yield f"contracts[{plan.name}].cap_depth", plan.ceiling_burst, 0.0
        yield f"contracts[{plan.name}].tolerance", plan.ceiling_slack, 0.0


def _positives(settings: api.Settings) -> Iterator[tuple[str, float]]:
    """Yield the settings that must be above 0: the name in the file, the value."""
    yield "max_units", settings.max_units
    yield "fall_multiple", settings.overload_multiple
    for request_class in settings.classes:
        yield f"classes[{request_class.name}].slo_ms", request_class.latency_objective_ms
        yield f"classes[{request_class.name}].deadline_ms", request_class.deadline_ms


def _check_ranges(settings: api.Settings) -> None:
    """Raise ConfigError for a setting outside the range in which the policy can decide by it."""
    for name in (settings.zone, *(one.name for one in settings.classes), *(one.name for one in settings.plans)):
        if not isinstance(name, str):
            raise ConfigError(f"settings: expected a string as the name of a zone, class or plan, got {name!r}")
    for field, value, minimum in _minimums(settings):
        if value < minimum:
            raise ConfigError(f"settings.{field}: expected at least {minimum:g}, got {value!r}")
    for field, value in _positives(settings):
        if value <= 0:
            raise ConfigError(f"settings.{field}: expected more than 0, got {value!r}")
    if not settings.classes or not settings.plans:
        raise ConfigError("settings.classes and settings.contracts: expected at least one entry in each")


def _read_seed(raw: object) -> int:
    try:
        return int(str(raw), 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {raw!r}") from None


def _read_upstream(policy: dict[str, Any], sockets: int, memory: MemoryLimits) -> Upstream:
    return Upstream(
        connections=max(int(sockets * ENDPOINT_SHARE), 1),
        all_connections=sockets,
        idle_ms=IDLE_TIMEOUT_SHARE * _number(policy, "settings.policy_limits.conn_idle_ms", 30_000.0, 0.0),
        connect_ms=_number(policy, "settings.policy_limits.dial_timeout_ms", 250.0, 1.0),
        hold_answer_bytes=memory.response_buffer,
    )


def read_config(text: str) -> Config:
    """Read a configuration from JSON text; raises ConfigError, which names the field at fault."""
    try:
        raw = _table(json.loads(text), "the file")
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}") from None
    raw_settings = _table(raw.get("settings"), "settings")
    _check_finite(raw_settings, "settings")
    try:
        settings = decode_settings(raw_settings)
    except (ValueError, AttributeError, OverflowError) as error:  # an object or a list in place of a number
        raise ConfigError(f"settings: {error}") from None
    _check_ranges(settings)
    policy = _table(raw_settings.get("policy_limits"), "settings.policy_limits")
    limits = _table(raw.get("limits", {}), "limits")
    sockets = int(_number(limits, "limits.sockets", 1024, MIN_SOCKETS))
    memory = compute_memory_limits(_number(limits, "limits.memory_mb", DEFAULT_MEMORY_MB, 1))
    clients = int((sockets - RESERVED_SOCKETS) * CLIENT_SHARE)
    host, port = parse_address(raw.get("listen"), "listen")
    seed = _read_seed(raw.get("seed"))
    counter = parse_address(raw["counter"], "counter") if raw.get("counter") else None
    if settings.has_counter and counter is None:
        raise ConfigError("counter: missing, and the settings have one")
    return Config(
        name=str(raw.get("name", "")),
        listener=Listener(host, port, min(clients, memory.client_connections), memory.client_buffers),
        upstream=_read_upstream(policy, sockets - RESERVED_SOCKETS - clients, memory),
        discovery=parse_address(raw.get("discovery"), "discovery"),
        counter=counter,
        cached_list=raw.get("known"),
        seed=seed,
        settings=settings,
        max_in_flight=int(_number(policy, "settings.policy_limits.max_open", 20_000, 1)),
        memory=memory,
    )


def load_config(path: Path) -> Config:
    """Read a configuration from its file; raises ConfigError."""
    try:
        return read_config(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"cannot be read: {error}", error.errno in TRANSIENT_ERRORS) from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"cannot be read: {error}") from None
