"""The built-in functions of the hook language; each charges its cost before it does the work."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable
from functools import lru_cache
from typing import Any

from martenstep.hooks.operators import MS_PER_S
from martenstep.hooks.regex import Pattern
from martenstep.hooks.run_context import CHARACTERS_PER_STEP, RunContext
from martenstep.hooks.types import BUILT_INS

MAX_NUMBER_LENGTH = 40
MAX_CASE_GROWTH = 3  # changing the case turns one character into at most three
MAX_RANGE = 1e9
HASH_BYTES = 6
HASH_RANGE = 2.0 ** (8 * HASH_BYTES)
HASH_STEPS = 2
PATTERN_STATES_PER_STEP = 4
PATTERN_CACHE_SIZE = 1000
BuiltIn = Callable[[RunContext, list[Any]], Any]


@lru_cache(maxsize=PATTERN_CACHE_SIZE)
def _compiled_pattern(text: str) -> Pattern:
    return Pattern(text)


def _clamp(value: float, maximum: float) -> int:
    """The value limited to 0 and `maximum`, without its fraction."""
    return int(min(max(value, 0.0), maximum))


def _len(_context: RunContext, arguments: list[Any]) -> float:
    return float(len(arguments[0]))


def _number(context: RunContext, arguments: list[Any]) -> float:
    text: str = arguments[0]
    default: float = arguments[1]
    context.charge_scan(text)
    if len(text) > MAX_NUMBER_LENGTH or not text.isascii() or "_" in text:
        return default
    try:
        value = float(text)
    except ValueError:
        return default
    return value if math.isfinite(value) else default


def _lower(context: RunContext, arguments: list[Any]) -> str:
    text: str = arguments[0]
    context.charge_text(MAX_CASE_GROWTH * len(text))
    return text.lower()


def _upper(context: RunContext, arguments: list[Any]) -> str:
    text: str = arguments[0]
    context.charge_text(MAX_CASE_GROWTH * len(text))
    return text.upper()


def _trim(context: RunContext, arguments: list[Any]) -> str:
    text: str = arguments[0]
    context.charge_text(MAX_CASE_GROWTH * len(text))
    return text.strip()


def _starts_with(context: RunContext, arguments: list[Any]) -> bool:
    text: str = arguments[0]
    prefix: str = arguments[1]
    context.charge_scan(prefix)
    return text.startswith(prefix)


def _ends_with(context: RunContext, arguments: list[Any]) -> bool:
    text: str = arguments[0]
    suffix: str = arguments[1]
    context.charge_scan(suffix)
    return text.endswith(suffix)


def _replace(context: RunContext, arguments: list[Any]) -> str:
    text: str = arguments[0]
    old: str = arguments[1]
    new: str = arguments[2]
    context.charge_search(text, old)
    count = text.count(old) if old else 0
    context.charge_text(len(text) + count * max(len(new) - len(old), 0))
    return text.replace(old, new) if old else text


def _split(context: RunContext, arguments: list[Any]) -> list[str]:
    text: str = arguments[0]
    separator: str = arguments[1]
    context.charge_search(text, separator)
    context.charge_list(1 + (text.count(separator) if separator else 0))
    context.charge_text(len(text))
    return text.split(separator) if separator else [text]


def _join(context: RunContext, arguments: list[Any]) -> str:
    texts: list[str] = arguments[0]
    separator: str = arguments[1]
    context.charge_list(len(texts))
    context.charge_text(sum(map(len, texts)) + len(separator) * max(len(texts) - 1, 0))
    return separator.join(texts)


def _part(context: RunContext, arguments: list[Any]) -> str:
    text: str = arguments[0]
    begin = _clamp(arguments[1], len(text))
    end = _clamp(arguments[2], len(text))
    context.charge_text(max(end - begin, 0))
    return text[begin : max(begin, end)]


def _matches(context: RunContext, arguments: list[Any]) -> bool:
    text, pattern_text = arguments
    pattern = _compiled_pattern(pattern_text)
    context.charge_steps((len(text) + 1) * pattern.state_count // PATTERN_STATES_PER_STEP)
    return pattern.search(text)


def _hash(context: RunContext, arguments: list[Any]) -> float:
    text: str = arguments[0]
    context.charge_steps(HASH_STEPS + len(text) // CHARACTERS_PER_STEP)
    digest = hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE


def _header(context: RunContext, arguments: list[Any]) -> str:
    headers: list[tuple[str, str]] = arguments[0]
    context.charge_steps(len(headers))
    wanted = arguments[1].lower()
    return next((value for name, value in headers if name.lower() == wanted), "")


def _round(_context: RunContext, arguments: list[Any]) -> float:
    return float(math.floor(arguments[0] + 0.5))


def _floor(_context: RunContext, arguments: list[Any]) -> float:
    return float(math.floor(arguments[0]))


def _abs(_context: RunContext, arguments: list[Any]) -> float:
    value: float = arguments[0]
    return abs(value)


def _min(_context: RunContext, arguments: list[Any]) -> float:
    value: float = min(arguments)
    return value


def _max(_context: RunContext, arguments: list[Any]) -> float:
    value: float = max(arguments)
    return value


def _range(context: RunContext, arguments: list[Any]) -> list[float]:
    count = _clamp(arguments[0], MAX_RANGE)
    context.charge_list(count)
    return [float(number) for number in range(count)]


def _seconds(_context: RunContext, arguments: list[Any]) -> float:
    duration_ms: float = arguments[0]
    return duration_ms / MS_PER_S


def _count(context: RunContext, arguments: list[Any]) -> float:
    return context.counters.increment(arguments[0])


_IMPLEMENTATIONS: dict[str, BuiltIn] = {
    "len": _len,
    "number": _number,
    "lower": _lower,
    "upper": _upper,
    "trim": _trim,
    "starts_with": _starts_with,
    "ends_with": _ends_with,
    "replace": _replace,
    "split": _split,
    "join": _join,
    "part": _part,
    "matches": _matches,
    "hash": _hash,
    "header": _header,
    "round": _round,
    "floor": _floor,
    "abs": _abs,
    "min": _min,
    "max": _max,
    "range": _range,
    "seconds": _seconds,
    "count": _count,
}


def _not_callable(_context: RunContext, _arguments: list[Any]) -> None:
    """Stands in for `text`, which compiles to an instruction; only code from elsewhere can call it."""
    raise TypeError("the built-in function has no implementation: it compiles to an instruction")


# The functions by the numbers that CALL_BUILT_IN uses.
BUILT_IN_FUNCTIONS: tuple[BuiltIn, ...] = tuple(_IMPLEMENTATIONS.get(name, _not_callable) for name in BUILT_INS)
