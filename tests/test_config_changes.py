"""Differences between two settings: a change of any field is reported, with whether it requires a restart."""

from __future__ import annotations

from typing import Any

import pytest
from google.protobuf import text_format
from google.protobuf.descriptor import FieldDescriptor

from martenstep.config import door_pb2 as pb
from martenstep.config.changes import COMPONENT_MESSAGES, LIVE_FIELDS, differences
from tests.engine_rig import gateway_settings


def fields(descriptor: Any = pb.Door.DESCRIPTOR, prefix: str = "") -> list[tuple[str, Any]]:
    """All fields of the schema with their paths, except the fields of repeated messages."""
    found = []
    for field in descriptor.fields:
        found.append((prefix + field.name, field))
        if field.message_type is not None and not field.is_repeated:
            found += fields(field.message_type, f"{prefix}{field.name}.")
    return found


def change(door: pb.Door, path: str, field: Any) -> None:
    """Set a field to another value."""
    *parents, name = path.split(".")
    message: Any = door
    for parent in parents:
        message = getattr(message, parent)
    if field.is_repeated:
        if field.message_type is not None:
            getattr(message, name).add()
        else:
            getattr(message, name).append("x" if field.cpp_type == FieldDescriptor.CPPTYPE_STRING else 1)
    elif field.message_type is not None:
        getattr(message, name).SetInParent()
    else:
        value = getattr(message, name)
        setattr(
            message,
            name,
            not value
            if isinstance(value, bool)
            else value + "x"
            if isinstance(value, str)
            else next(n for n in field.enum_type.values_by_number if n != value)
            if field.enum_type is not None
            else value + 1,
        )


@pytest.mark.parametrize(("path", "field"), fields(), ids=[path for path, _ in fields()])
def test_a_change_of_any_field_is_reported(path: str, field: Any) -> None:
    before, after = gateway_settings("hooks {}"), gateway_settings("hooks {}")
    change(after, path, field)
    found = differences(before, after)
    if not field.is_repeated and field.message_type is not None:
        is_present = path.split(".")[0] in ("store", "members", "hooks") and "." not in path
        assert bool(found) == (field.name in COMPONENT_MESSAGES and not is_present)
    else:
        named = [one for one in found if one.path == path or path.startswith(one.path + ".")]
        assert named and named == found and named[0].live == (path in LIVE_FIELDS)
    assert not differences(after, after) and all(one.before != one.after for one in found)


def test_every_live_field_is_in_the_schema() -> None:
    assert {path for path, _ in fields()} >= LIVE_FIELDS


def test_changed_list_entries_are_named_and_secrets_are_hidden() -> None:
    before = gateway_settings("forward_auth { secret: 'one' }")
    after = gateway_settings("forward_auth { secret: 'two' } customer { key: 'new' plan: 'open' }")
    after.customer[0].plan = "open"
    described = {one.path: one.describe() for one in differences(before, after)}
    assert described["customer"] == "customer: 2 entries ('anna') -> 3 entries ('new', 'anna') with other values"
    assert "two" not in described["forward_auth.secret"] and "one" not in described["forward_auth.secret"]


@pytest.mark.parametrize(
    ("path", "text"),
    [("customer", 'customer { key: "anna" plan: "open" }'), ("route", 'route { name: "read" class: "pay" }')],
)
def test_other_values_of_one_list_entry_are_a_difference(path: str, text: str) -> None:
    """Guards against a reload that applies nothing and logs nothing."""
    before, after, other = gateway_settings(), gateway_settings(), pb.Door()
    text_format.Merge(text, other)
    getattr(after, path)[0].MergeFrom(getattr(other, path)[0])
    [found] = differences(before, after)
    assert found.path == path and found.live and found.before != found.after


def test_the_order_of_routes_is_a_difference() -> None:
    before, after = gateway_settings(), gateway_settings()
    first = pb.Route()
    first.CopyFrom(after.route[0])
    del after.route[0]
    after.route.append(first)
    assert [one.describe() for one in differences(before, after)] == ["route: 3 entries -> 3 entries in another order"]
