"""The types of the hook language: scalars, lists, and the records of the extension points."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class Type:
    """A type; that of a list includes the type of the items, which is NOTHING for an empty list."""

    name: str
    item_type: Type | None = None

    def __str__(self) -> str:
        return self.name if self.item_type is None else f"{self.name}<{self.item_type}>"

    @property
    def is_list(self) -> bool:
        """Whether values of the type are lists."""
        return self.name == "list"


class Signature(NamedTuple):
    """The types of a function's parameters and of its result."""

    parameters: tuple[Type, ...]
    result: Type


NUMBER = Type("number")
TEXT = Type("text")
BOOL = Type("bool")
DURATION = Type("duration")
NOTHING = Type("nothing")
SCALARS = {scalar.name: scalar for scalar in (NUMBER, TEXT, BOOL, DURATION)}


def list_of(item_type: Type) -> Type:
    """The type of lists whose items have a given type."""
    return Type("list", item_type)


# The records of the extension points; their names and those of their fields are words of the language.
HEADER = Type("Header")
REQUEST = Type("Request")
REJECTION = Type("Refusal")
REJECTION_CONTENT = Type("Words")
RESPONSE = Type("Answer")
CLASSIFICATION = Type("Class")
FORWARDED_REQUEST = Type("Sending")
LOG_FIELD = Type("Field")
HEADERS = list_of(HEADER)

RECORDS: dict[Type, tuple[tuple[str, Type], ...]] = {
    HEADER: (("name", TEXT), ("value", TEXT)),
    LOG_FIELD: (("name", TEXT), ("value", TEXT)),
    REQUEST: (
        ("method", TEXT),
        ("path", TEXT),
        ("host", TEXT),
        ("customer", TEXT),
        ("plan", TEXT),
        ("class", TEXT),
        ("units", NUMBER),
        ("language", TEXT),
        ("accept", TEXT),
        ("headers", HEADERS),
        ("time", NUMBER),
    ),
    REJECTION: (("status", NUMBER), ("reason", TEXT), ("retry_after", DURATION)),
    REJECTION_CONTENT: (("body", TEXT), ("content_type", TEXT), ("retry_after", DURATION), ("headers", HEADERS)),
    RESPONSE: (("status", NUMBER), ("attempts", NUMBER), ("took", DURATION), ("headers", HEADERS)),
    CLASSIFICATION: (("class", TEXT), ("customer", TEXT), ("plan", TEXT), ("units", NUMBER)),
    FORWARDED_REQUEST: (("path", TEXT), ("headers", HEADERS)),
}
TYPES_BY_NAME = SCALARS | {record.name: record for record in RECORDS}

EXTENSION_POINTS: dict[str, Signature] = {
    "classify": Signature((REQUEST,), CLASSIFICATION),
    "sending": Signature((REQUEST,), FORWARDED_REQUEST),
    "refusal": Signature((REQUEST, REJECTION), REJECTION_CONTENT),
    "answer": Signature((REQUEST, RESPONSE), HEADERS),
    "log": Signature((REQUEST, RESPONSE), list_of(LOG_FIELD)),
}

# The values of omitted fields of a record, by the name of the field's type.
DEFAULT_VALUES: dict[str, float | str | bool] = {"number": 0.0, "duration": 0.0, "text": "", "bool": False}

# Types of parameters of built-in functions that accept several types.
ANY_LIST_OR_TEXT = Type("list or text")
ANY_SCALAR = Type("number, text, bool or duration")

BUILT_INS: dict[str, Signature] = {
    "len": Signature((ANY_LIST_OR_TEXT,), NUMBER),
    "text": Signature((ANY_SCALAR,), TEXT),
    "number": Signature((TEXT, NUMBER), NUMBER),
    "lower": Signature((TEXT,), TEXT),
    "upper": Signature((TEXT,), TEXT),
    "trim": Signature((TEXT,), TEXT),
    "starts_with": Signature((TEXT, TEXT), BOOL),
    "ends_with": Signature((TEXT, TEXT), BOOL),
    "replace": Signature((TEXT, TEXT, TEXT), TEXT),
    "split": Signature((TEXT, TEXT), list_of(TEXT)),
    "join": Signature((list_of(TEXT), TEXT), TEXT),
    "part": Signature((TEXT, NUMBER, NUMBER), TEXT),
    "matches": Signature((TEXT, TEXT), BOOL),
    "hash": Signature((TEXT,), NUMBER),
    "header": Signature((HEADERS, TEXT), TEXT),
    "round": Signature((NUMBER,), NUMBER),
    "floor": Signature((NUMBER,), NUMBER),
    "abs": Signature((NUMBER,), NUMBER),
    "min": Signature((NUMBER, NUMBER), NUMBER),
    "max": Signature((NUMBER, NUMBER), NUMBER),
    "range": Signature((NUMBER,), list_of(NUMBER)),
    "seconds": Signature((DURATION,), NUMBER),
    "count": Signature((TEXT,), NUMBER),
}


def is_assignable(actual: Type, expected: Type) -> bool:
    """Whether a value of the actual type is valid where the expected type is required."""
    if expected is ANY_LIST_OR_TEXT:
        return actual == TEXT or actual.is_list
    if expected is ANY_SCALAR:
        return actual in SCALARS.values()
    if actual.item_type is not None and expected.item_type is not None:
        return actual.item_type == NOTHING or is_assignable(actual.item_type, expected.item_type)
    return actual == expected


def common_type(first: Type, second: Type) -> Type | None:
    """The type to which the values of both types are assignable; None if there is none."""
    if is_assignable(first, second):
        return second
    return first if is_assignable(second, first) else None
