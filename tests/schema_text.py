"""The protobuf schemas as text, one line for each message, field and enum value, for comparison with a golden file."""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf.descriptor import Descriptor, EnumDescriptor, FileDescriptor


def enum_lines(enum: EnumDescriptor) -> Iterator[str]:
    yield f"enum {enum.full_name}"
    yield from (f"  {value.name} = {value.number}" for value in enum.values)


def message_lines(message: Descriptor) -> Iterator[str]:
    yield f"message {message.full_name}"
    for field in message.fields:
        kind = field.message_type or field.enum_type
        default = f" default {field.default_value!r}" if field.has_default_value else ""
        yield (
            f"  {field.name} = {field.number} type {field.type}{' repeated' if field.is_repeated else ''}"
            + (f" {kind.full_name}" if kind else "")
            + default
        )
    for enum in message.enum_types:
        yield from enum_lines(enum)
    for nested in message.nested_types:
        yield from message_lines(nested)


def file_lines(file: FileDescriptor) -> Iterator[str]:
    for enum in file.enum_types_by_name.values():
        yield from enum_lines(enum)
    for message in file.message_types_by_name.values():
        yield from message_lines(message)
