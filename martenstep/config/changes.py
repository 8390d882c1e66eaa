"""Differences between two settings of one gateway, and which of them can be applied without a restart.

No I/O.  The other settings are used once at the start: for sockets, clients of other systems, and the decisions'
request classes and plans, whose state could not be carried over.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, cast

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from martenstep.config import door_pb2 as pb

# Read at each use, or rebuilt at once.
LIVE = frozenset(
    {
        "customer",
        "route",
        "default_plan",
        "stop_ms",
        "log.lines_per_s",
        "listener.max_connections",
        "listener.max_open",
        "listener.head_bytes",
        "listener.body_bytes",
        "listener.idle_ms",
        "listener.head_ms",
        "listener.leave_on_half_close",
        "listener.answer_margin_ms",
        "listener.host_name",
        "listener.whole_body",
        "upstream.answer_idle_ms",
        "upstream.keep_body_bytes",
        "upstream.hold_answer_bytes",
        "upstream.answer_bytes",
        "hooks.directory",
        "hooks.trusted_key",
        "hooks.class",
        "hooks.plan",
        "hooks.customer",
        "hooks.least_units",
        "hooks.most_units",
        "hooks.path_prefix",
        "hooks.failure_share",
        "hooks.mean_steps",
        "hooks.least_runs",
        "hooks.backstop_ms",
    }
)
# Messages whose mere presence builds a part of the gateway, even with defaults in all fields.
PARTS = frozenset(
    {
        "admin",
        "advertise",
        "auth",
        "book",
        "copies",
        "counter",
        "fleet",
        "forward_auth",
        "hooks",
        "maintenance",
        "members",
        "store",
        "tls",
        "tracing",
    }
)
HIDDEN = frozenset({"forward_auth.secret"})  # never in a log
PRESENCE = {True: "there", False: "not there"}
MAX_VALUE_CHARACTERS = 200  # of a value in a log line
MAX_LISTED_ENTRIES = 5  # of a list in a log line


@dataclass(frozen=True, slots=True)
class Change:
    """One field that differs: its path, its values, and whether it can be applied live."""

    path: str
    before: str
    after: str
    live: bool

    def describe(self) -> str:
        """Return the line that the log shows."""
        return f"{self.path}: {self.before} -> {self.after}"


def _describe_value(field: FieldDescriptor, value: bool | int | float | str | bytes, path: str) -> str:
    """Describe a scalar; an enum by its name, a secret not at all."""
    if path in HIDDEN:
        return "(hidden)"
    if field.enum_type is not None:
        return str(field.enum_type.values_by_number[int(value)].name)
    return repr(value)[:MAX_VALUE_CHARACTERS]


def _entries_by_key(values: list[Any]) -> dict[str, Any]:
    """Return the entries of a list by key or name, else by their number."""
    made: dict[str, Any] = {}
    for number, value in enumerate(values):
        if isinstance(value, Message):
            known = value.DESCRIPTOR.fields_by_name
            key = next((str(getattr(value, name)) for name in ("key", "name") if name in known), str(number))
        else:
            key = str(value)
        made[key if key not in made else f"{key} #{number}"] = value
    return made


def _describe_entries(keys: list[str], count: int) -> str:
    """Say how many entries a list has, and name the first of those that differ."""
    names = ", ".join(repr(key) for key in keys[:MAX_LISTED_ENTRIES])
    if len(keys) > MAX_LISTED_ENTRIES:
        names += ", ..."
    return f"{count} entries ({names})" if keys else f"{count} entries"


def _describe_list_change(before: list[Any], after: list[Any]) -> tuple[str, str]:
    """Describe two versions of a list by the entries that differ; their order counts too, as it does for routes."""
    old = _entries_by_key(before)
    new = _entries_by_key(after)
    removed = [key for key in old if key not in new]
    added = [key for key in new if key not in old]
    changed = [key for key in new if key in old and old[key] != new[key]]
    if not removed and not added and not changed:
        return _describe_entries([], len(before)), _describe_entries([], len(after)) + " in another order"
    return _describe_entries(removed + changed, len(before)), _describe_entries(added + changed, len(after))


def _walk(before: Message, after: Message, prefix: str) -> Iterator[Change]:
    for field in cast(Sequence[FieldDescriptor], before.DESCRIPTOR.fields):
        path = f"{prefix}{field.name}"
        old, new = getattr(before, field.name), getattr(after, field.name)
        if field.is_repeated:
            if list(old) != list(new):
                was, now = _describe_list_change(list(old), list(new))
                yield Change(path, was, now, path in LIVE)
        elif field.message_type is not None:
            was_present = before.HasField(field.name)
            is_present = after.HasField(field.name)
            if was_present != is_present and field.name in PARTS:
                yield Change(path, PRESENCE[was_present], PRESENCE[is_present], False)
            elif old != new:
                yield from _walk(old, new, path + ".")
        elif old != new or before.HasField(field.name) != after.HasField(field.name):
            yield Change(
                path, _describe_value(field, old, path), _describe_value(field, new, path), path in LIVE or old == new
            )


def differences(before: pb.Door, after: pb.Door) -> list[Change]:
    """Return all differences, in the order of the schema."""
    return [change for change in _walk(before, after, "") if change.before != change.after or not change.live]
