"""The types of hooks: plain ones, lists, and the records that the points give and take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Type:
    """A type; a list's is that of its items, `nothing` for those of an empty one."""

    name: str
    of: Type | None = None

    def __str__(self) -> str:
        return self.name if self.of is None else f"{self.name}<{self.of}>"

    @property
    def depth(self) -> int:
        """How deep lists stand in one another."""
        return 0 if self.of is None else 1 + self.of.depth


NUMBER, TEXT, BOOL, DURATION, NOTHING = (Type(name) for name in ("number", "text", "bool", "duration", "nothing"))
PLAIN = {made.name: made for made in (NUMBER, TEXT, BOOL, DURATION)}


def list_of(made: Type) -> Type:
    """The type of a list of these."""
    return Type("list", made)


HEADER, REQUEST, REFUSAL, WORDS = (Type(name) for name in ("Header", "Request", "Refusal", "Words"))
ANSWER, PLACE, SENDING, ENTRY = (Type(name) for name in ("Answer", "Class", "Sending", "Field"))
HEADERS = list_of(HEADER)

RECORDS: dict[Type, tuple[tuple[str, Type], ...]] = {
    HEADER: (("name", TEXT), ("value", TEXT)),
    ENTRY: (("name", TEXT), ("value", TEXT)),
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
    REFUSAL: (("status", NUMBER), ("reason", TEXT), ("retry_after", DURATION)),
    WORDS: (("body", TEXT), ("content_type", TEXT), ("retry_after", DURATION), ("headers", HEADERS)),
    ANSWER: (("status", NUMBER), ("attempts", NUMBER), ("took", DURATION), ("headers", HEADERS)),
    PLACE: (("class", TEXT), ("customer", TEXT), ("plan", TEXT), ("units", NUMBER)),
    SENDING: (("path", TEXT), ("headers", HEADERS)),
}
BY_NAME = PLAIN | {made.name: made for made in RECORDS}

# What a hook at each point is given, and what it gives.
POINTS: dict[str, tuple[tuple[Type, ...], Type]] = {
    "classify": ((REQUEST,), PLACE),
    "sending": ((REQUEST,), SENDING),
    "refusal": ((REQUEST, REFUSAL), WORDS),
    "answer": ((REQUEST, ANSWER), HEADERS),
    "log": ((REQUEST, ANSWER), list_of(ENTRY)),
}

ZERO: dict[str, float | str | bool] = {"number": 0.0, "duration": 0.0, "text": "", "bool": False}  # what is not given

BOTH = Type("list or text")
SHOWN = Type("number, text, bool or duration")
BUILT_IN: dict[str, tuple[tuple[Type, ...], Type]] = {
    "len": ((BOTH,), NUMBER),
    "text": ((SHOWN,), TEXT),
    "number": ((TEXT, NUMBER), NUMBER),
    "lower": ((TEXT,), TEXT),
    "upper": ((TEXT,), TEXT),
    "trim": ((TEXT,), TEXT),
    "starts_with": ((TEXT, TEXT), BOOL),
    "ends_with": ((TEXT, TEXT), BOOL),
    "replace": ((TEXT, TEXT, TEXT), TEXT),
    "split": ((TEXT, TEXT), list_of(TEXT)),
    "join": ((list_of(TEXT), TEXT), TEXT),
    "part": ((TEXT, NUMBER, NUMBER), TEXT),
    "matches": ((TEXT, TEXT), BOOL),
    "hash": ((TEXT,), NUMBER),
    "header": ((HEADERS, TEXT), TEXT),
    "round": ((NUMBER,), NUMBER),
    "floor": ((NUMBER,), NUMBER),
    "abs": ((NUMBER,), NUMBER),
    "min": ((NUMBER, NUMBER), NUMBER),
    "max": ((NUMBER, NUMBER), NUMBER),
    "range": ((NUMBER,), list_of(NUMBER)),
    "seconds": ((DURATION,), NUMBER),
    "count": ((TEXT,), NUMBER),
}
BUILT_INS = tuple(BUILT_IN)


def fits(got: Type, wanted: Type) -> bool:
    """Whether a value of one type may stand where the other is wanted."""
    if wanted is BOTH:
        return got in (TEXT,) or got.name == "list"
    if wanted is SHOWN:
        return got in PLAIN.values()
    if got.name == wanted.name == "list" and got.of is not None and wanted.of is not None:
        return got.of == NOTHING or fits(got.of, wanted.of)
    return got == wanted


def joined(one: Type, other: Type) -> Type | None:
    """The type that holds both; None where there is none."""
    if fits(one, other):
        return other
    return one if fits(other, one) else None
