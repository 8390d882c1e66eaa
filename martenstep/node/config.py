"""What the platform tells a front door at its start, and again on SIGHUP: NODE_CONFIG, a JSON file.

The settings in it are those of the simulator's wire, read by the same reader.  What the transport is held to is
reckoned here from the limits that the file tells.
"""

from __future__ import annotations

import errno
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from martenstep.policy import messages as api
from martenstep.simulator.settings_codec import decode_settings

BODY_BYTES = 65_536  # of a request: the protocol allows no more
ANSWER_BYTES = 8 << 20  # of an answer: backends send some of hundreds of KB, and what says it has GB is spoilt
HOLD_BYTES = 256 << 10  # of an answer, before it is passed on: until then another attempt can replace it
HEAD_BYTES = 8192  # of a request's head: the platform's are below 1 KB
HEAD_MS = 1500.0  # a request must be whole within this: who does not speak is owed a close within 3 s
IDLE_MS = 2000.0  # a connection without a request is closed: the protocol allows no sooner
# Of the descriptors: streams, loop, listener, discovery and the counter, twice where they move, and a turn's accepts
# and turned-away ones.  Else clients could fill them while a dial fails for want of one.
RESERVED_SOCKETS = 46
CLIENT_SHARE = 0.72  # of the others for clients' connections: they hold a third for requests, the rest are strays
SERVER_SHARE = 0.6  # of those that go to one backend at most: one that hangs must leave room to the others
LEAST_SOCKETS = 64  # with fewer no front door can serve
IDLE_PART = 0.8  # of the time after which a backend closes an idle connection: what is written later is lost
REST_MS = 20.0  # a second answer comes some ms behind the first: no request is to be written before it
GRACE_MOST_MS, GRACE_MORE_MS = 3000.0, 700.0  # SIGKILL comes the longest deadline, 3 s at most, and 0.7 s after SIGTERM
LAST_MS = 300.0  # before it all is answered
TAIL_MS = 800.0  # and before that no more is taken: most answers come sooner
LEAVE_MS = 600.0  # after SIGTERM new connections come for up to 0.4 s, ...
LEAVE_LEAST_MS = 450.0  # ... and so long at least they are accepted, however short the grace
MOST_FIGURE = 1e30  # of any setting: beyond it, sums and products are none
MARGIN_MS = 8.0  # a request ends so much before its client's time is up: about the way of its answer


# What a system call fails with where something is short, or down, for a moment (socket(2), bind(2), open(2)).
PASSING_ERRORS = frozenset(
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
    """A configuration that cannot be used: names the field."""

    def __init__(self, text: str, passing: bool = False) -> None:
        """`passing` where reading it again in a moment may find it well."""
        super().__init__(text)
        self.passing = passing


@dataclass(frozen=True, slots=True)
class Listener:
    """What clients are held to (door.parts.ListenerBounds)."""

    host: str
    port: int
    max_connections: int
    head_bytes: int = HEAD_BYTES
    body_bytes: int = BODY_BYTES
    idle_ms: float = IDLE_MS
    head_ms: float = HEAD_MS
    leave_on_half_close: bool = True
    whole_body: bool = True


@dataclass(frozen=True, slots=True)
class Upstream:
    """What connections to backends are held to (door.parts.UpstreamBounds)."""

    connections: int
    all_connections: int
    idle_ms: float
    connect_ms: float
    answer_idle_ms: float = 1000.0
    keep_body_bytes: int = BODY_BYTES
    hold_answer_bytes: int = HOLD_BYTES
    answer_bytes: int = ANSWER_BYTES


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """What a door does between SIGTERM and SIGKILL, in milliseconds after the first."""

    accept_ms: float  # connections are accepted
    serve_ms: float  # requests are taken on those that stand, each of which ends with its answer
    answer_ms: float  # all are answered, whatever is out


NOTHING_TAKEN = DrainPlan(0.0, 0.0, 0.0)  # of a door that never listened


def drain_plan_of(settings: api.Settings) -> DrainPlan:
    """By the longest deadline that the settings have, as the platform reckons when it kills."""
    longest = max((cls.deadline_ms for cls in settings.classes), default=GRACE_MOST_MS)
    answer_ms = min(longest, GRACE_MOST_MS) + GRACE_MORE_MS - LAST_MS
    serve_ms = max(answer_ms - min(TAIL_MS, longest), LEAVE_LEAST_MS)
    return DrainPlan(min(LEAVE_MS, serve_ms), serve_ms, max(answer_ms, serve_ms))


@dataclass(frozen=True, slots=True)
class Config:
    """One front door."""

    name: str
    listener: Listener
    upstream: Upstream
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    known: Any  # the list as last had, in discovery's form, not read yet
    seed: int
    settings: api.Settings
    max_open: int


def address_of(raw: Any, field: str) -> tuple[str, int]:
    """`host:port`; raises ConfigError."""
    host, _, port = raw.rpartition(":") if isinstance(raw, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{field}: expected host:port, got {raw!r}")
    return host.strip("[]"), int(port)


def _table(raw: Any, field: str) -> dict[str, Any]:
    if not isinstance(raw, dict):
        raise ConfigError(f"{field}: expected an object, got {raw!r}")
    return raw


def _figure(table: dict[str, Any], field: str, default: float, least: float) -> float:
    value = table.get(field.rpartition(".")[2], default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1e15:
        raise ConfigError(f"{field}: expected a number of at least {least:g}, got {value!r}")
    return value


def _finite(value: Any, field: str) -> None:
    """Raises ConfigError where a figure is none: JSON as it is read here has infinities."""
    if isinstance(value, int | float) and not abs(value) < MOST_FIGURE:
        raise ConfigError(f"{field}: expected a finite number, got {value!r}")
    for name, part in value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ():
        _finite(part, f"{field}.{name}")


def _within(settings: api.Settings) -> None:
    """Raises ConfigError where a figure is out of the range in which anything could be decided by it."""
    for name in (settings.zone, *(cls.name for cls in settings.classes), *(plan.name for plan in settings.plans)):
        if not isinstance(name, str):
            raise ConfigError(f"settings: expected a name of a zone, class or plan, got {name!r}")
    least = [
        (settings.instances, "instances", 1.0),
        (settings.instance, "me", 0.0),
        (settings.max_attempts, "try_limit", 1.0),
        (settings.counter_timeout_ms, "counter_timeout_ms", 0.0),
        (settings.slow_start_window_ms, "warm_within_ms", 0.0),
        (settings.overload_window_ms, "overload_for_ms", 0.0),
        (settings.slow_start_initial_share, "cold_from", 0.0),
        (settings.tick_ms, "tick_ms", 0.0),
    ]
    above = [(settings.max_units, "max_units"), (settings.overload_multiple, "fall_multiple")]
    for cls in settings.classes:
        above += [
            (cls.latency_objective_ms, f"classes[{cls.name}].slo_ms"),
            (cls.deadline_ms, f"classes[{cls.name}].deadline_ms"),
        ]
        least += [(cls.deduplication_window_ms, f"classes[{cls.name}].window_ms", 0.0)]
    for plan in settings.plans:
        least += [
            (value, f"contracts[{plan.name}].{name}", 0.0)
            for value, name in (
                (plan.rate, "units_per_s"),
                (plan.burst, "most_at_once"),
                (plan.concurrency_limit, "open"),
                (plan.ceiling_rate, "hard_rate"),
                (plan.ceiling_burst, "cap_depth"),
                (plan.ceiling_slack, "tolerance"),
            )
        ]
    for value, field, bound in least:
        if value < bound:
            raise ConfigError(f"settings.{field}: expected at least {bound:g}, got {value!r}")
    for value, field in above:
        if value <= 0:
            raise ConfigError(f"settings.{field}: expected more than 0, got {value!r}")
    if not settings.classes or not settings.plans:
        raise ConfigError("settings.classes and settings.contracts: expected one at least of each")


def read_config(text: str) -> Config:
    """A configuration from its text; raises ConfigError with the field at fault."""
    try:
        raw = _table(json.loads(text), "the file")
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}") from None
    told = _table(raw.get("settings"), "settings")
    _finite(told, "settings")
    try:
        settings = decode_settings(told)
    except (ValueError, AttributeError, OverflowError) as error:  # a table or a list where there should be a figure
        raise ConfigError(f"settings: {error}") from None
    _within(settings)
    policy = _table(told.get("policy_limits"), "settings.policy_limits")
    sockets = int(_figure(_table(raw.get("limits", {}), "limits"), "limits.sockets", 1024, LEAST_SOCKETS))
    clients = int((sockets - RESERVED_SOCKETS) * CLIENT_SHARE)
    to_backends = sockets - RESERVED_SOCKETS - clients
    host, port = address_of(raw.get("listen"), "listen")
    seed = raw.get("seed")
    try:
        number = int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {seed!r}") from None
    counter = address_of(raw["counter"], "counter") if raw.get("counter") else None
    if settings.has_counter and counter is None:
        raise ConfigError("counter: missing, and the settings have one")
    return Config(
        name=str(raw.get("name", "")),
        listener=Listener(host, port, clients),
        upstream=Upstream(
            connections=max(int(to_backends * SERVER_SHARE), 1),
            all_connections=to_backends,
            idle_ms=IDLE_PART * _figure(policy, "settings.policy_limits.conn_idle_ms", 30_000.0, 0.0),
            connect_ms=_figure(policy, "settings.policy_limits.dial_timeout_ms", 250.0, 1.0),
        ),
        discovery=address_of(raw.get("discovery"), "discovery"),
        counter=counter,
        known=raw.get("known"),
        seed=number,
        settings=settings,
        max_open=int(_figure(policy, "settings.policy_limits.max_open", 20_000, 1)),
    )


def load_config(path: Path) -> Config:
    """A configuration from its file; raises ConfigError."""
    try:
        return read_config(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"cannot be read: {error}", error.errno in PASSING_ERRORS) from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"cannot be read: {error}") from None
