"""What differs between two settings of one door, and what of it can be taken up in service.

No I/O.  The rest rests on what was built from it at the start: sockets, clients of other systems, the module's classes
and plans, whose books could not be carried over.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import Message

from martenstep.config import door_pb2 as pb

# Read at each use, or built anew at one stroke.
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
# Built or taken down with their coming and going, even where all their fields are the usual ones.
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
THERE = {True: "there", False: "not there"}
MOST_TOLD = 200  # characters of a value
MOST_NAMES = 5  # of a list's entries


@dataclass(frozen=True, slots=True)
class Change:
    """One field: its path, as it was and as it would be."""

    path: str
    before: str
    after: str
    live: bool

    def told(self) -> str:
        """A line for the operators."""
        return f"{self.path}: {self.before} -> {self.after}"


def _value(field: Any, value: Any, path: str) -> str:
    if path in HIDDEN:
        return "(hidden)"
    if field.enum_type is not None:
        return str(field.enum_type.values_by_number[value].name)
    return repr(value)[:MOST_TOLD]


def _names(values: list[Any]) -> dict[str, Any]:
    """Entries of a list by what tells them apart."""
    made: dict[str, Any] = {}
    for number, value in enumerate(values):
        if isinstance(value, Message):
            known = value.DESCRIPTOR.fields_by_name
            key = next((str(getattr(value, name)) for name in ("key", "name") if name in known), str(number))
        else:
            key = str(value)
        made[key if key not in made else f"{key} #{number}"] = value
    return made


def _listed(before: list[Any], after: list[Any]) -> tuple[str, str]:
    """What was taken from a list and what came to it; the order of entries decides as well, for routes."""
    old, new = _names(before), _names(after)
    gone = [key for key in old if key not in new]
    came = [key for key in new if key not in old]
    changed = [key for key in new if key in old and old[key] != new[key]]

    def told(keys: list[str], all_of: list[Any]) -> str:
        shown = ", ".join(repr(key) for key in keys[:MOST_NAMES]) + (", ..." if len(keys) > MOST_NAMES else "")
        return f"{len(all_of)} entries" + (f" ({shown})" if keys else "")

    if not gone and not came and not changed:
        return told([], before), told([], after) + " in another order"
    return told(gone + changed, before), told(came + changed, after)


def _walk(before: Message, after: Message, prefix: str) -> Iterator[Change]:
    for field in before.DESCRIPTOR.fields:
        path = f"{prefix}{field.name}"
        one, other = getattr(before, field.name), getattr(after, field.name)
        if field.is_repeated:
            if list(one) != list(other):
                was, now = _listed(list(one), list(other))
                yield Change(path, was, now, path in LIVE)
        elif field.message_type is not None:
            there = before.HasField(field.name), after.HasField(field.name)
            if there[0] != there[1] and field.name in PARTS:
                yield Change(path, THERE[there[0]], THERE[there[1]], False)
            elif one != other:
                yield from _walk(one, other, path + ".")
        elif one != other or before.HasField(field.name) != after.HasField(field.name):
            yield Change(path, _value(field, one, path), _value(field, other, path), path in LIVE or one == other)


def differences(before: pb.Door, after: pb.Door) -> list[Change]:
    """All that differs, in the order of the schema."""
    return [change for change in _walk(before, after, "") if change.before != change.after or not change.live]
