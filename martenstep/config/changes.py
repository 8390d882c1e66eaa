"""Finds the differences between two settings of one gateway, and which of them can be applied without a restart.

This module does no I/O.  Settings that cannot be applied live are used only at the start: for sockets, for clients of
other systems, and for the policy's request classes and plans, whose state could not be carried over.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, cast

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from martenstep.config import door_pb2 as pb

# Paths of the fields that a running gateway reads at each use, or whose objects it rebuilds during a reload.
LIVE_FIELDS = frozenset(
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
        "listener.buffer_bytes",
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
# Messages whose presence alone creates a component of the gateway, even if all their fields have defaults.
COMPONENT_MESSAGES = frozenset(
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
SECRET_FIELDS = frozenset({"forward_auth.secret"})  # their values must not be logged
PRESENCE_TEXT = {True: "present", False: "absent"}
MAX_VALUE_CHARACTERS = 200  # logged for each value
MAX_LISTED_ENTRIES = 5  # logged for each list


@dataclass(frozen=True, slots=True)
class Change:
    """A field that differs: its path, its values, and whether the change can be applied without a restart."""

    path: str
    before: str
    after: str
    live: bool

    def describe(self) -> str:
        """Return the text that is logged for this change."""
        return f"{self.path}: {self.before} -> {self.after}"


def _describe_value(field: FieldDescriptor, value: bool | int | float | str | bytes, path: str) -> str:
    """Describe a scalar: an enum value by its name, and a secret without its value."""
    if path in SECRET_FIELDS:
        return "(hidden)"
    if field.enum_type is not None:
        return str(field.enum_type.values_by_number[int(value)].name)
    return repr(value)[:MAX_VALUE_CHARACTERS]


def _entries_by_key(values: list[Any]) -> dict[str, Any]:
    """Return the entries of a list by their key or name, or by their number if they have neither."""
    entries: dict[str, Any] = {}
    for number, value in enumerate(values):
        if isinstance(value, Message):
            fields = value.DESCRIPTOR.fields_by_name
            key = next((str(getattr(value, name)) for name in ("key", "name") if name in fields), str(number))
        else:
            key = str(value)
        entries[key if key not in entries else f"{key} #{number}"] = value
    return entries


def _describe_entries(keys: list[str], count: int) -> str:
    """Return the number of entries of a list, with the keys of the first entries that differ."""
    names = ", ".join(repr(key) for key in keys[:MAX_LISTED_ENTRIES])
    if len(keys) > MAX_LISTED_ENTRIES:
        names += ", ..."
    return f"{count} entries ({names})" if keys else f"{count} entries"


def _describe_list_change(before: list[Any], after: list[Any]) -> tuple[str, str]:
    """Describe two versions of a list by the entries that differ, or by their order, which matters for routes."""
    old = _entries_by_key(before)
    new = _entries_by_key(after)
    removed = [key for key in old if key not in new]
    added = [key for key in new if key not in old]
    changed = [key for key in new if key in old and old[key] != new[key]]
    if not removed and not added and not changed:
        return _describe_entries([], len(before)), _describe_entries([], len(after)) + " in another order"
    values = " with other values" if changed else ""
    return _describe_entries(removed + changed, len(before)), _describe_entries(added + changed, len(after)) + values


def _compare_fields(before: Message, after: Message, prefix: str) -> Iterator[Change]:
    """Yield the changes of all fields; a value that is stated and equal to the default is no change."""
    for field in cast(Sequence[FieldDescriptor], before.DESCRIPTOR.fields):
        path = f"{prefix}{field.name}"
        old, new = getattr(before, field.name), getattr(after, field.name)
        if field.is_repeated:
            if list(old) != list(new):
                described_before, described_after = _describe_list_change(list(old), list(new))
                yield Change(path, described_before, described_after, path in LIVE_FIELDS)
        elif field.message_type is not None:
            was_present = before.HasField(field.name)
            is_present = after.HasField(field.name)
            if was_present != is_present and field.name in COMPONENT_MESSAGES:
                yield Change(path, PRESENCE_TEXT[was_present], PRESENCE_TEXT[is_present], False)
            elif old != new:
                yield from _compare_fields(old, new, path + ".")
        elif old != new:
            described_before, described_after = _describe_value(field, old, path), _describe_value(field, new, path)
            yield Change(path, described_before, described_after, path in LIVE_FIELDS)


def differences(before: pb.Door, after: pb.Door) -> list[Change]:
    """Return all differences, in the order of the schema."""
    return list(_compare_fields(before, after, ""))
