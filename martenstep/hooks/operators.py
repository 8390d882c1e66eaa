"""The binary operators of the virtual machine, and the formatting of values as text."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from martenstep.hooks.bytecode import Opcode
from martenstep.hooks.run_context import HookRunError, RunContext

MS_PER_S = 1000.0
Operator = Callable[[RunContext, Any, Any], Any]


def format_value(value: float | str | bool, is_duration: bool) -> str:
    """Format a scalar as text."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return value
    if is_duration:
        return f"{value / MS_PER_S:.15g}s" if abs(value) >= MS_PER_S else f"{value:.15g}ms"
    return f"{value:.15g}"


def require_finite(value: float) -> float:
    """Return the number; raises HookRunError if it is infinite or NaN."""
    if not math.isfinite(value):
        raise HookRunError("number", "the result is not a finite number")
    return value


def _add(_context: RunContext, left: float, right: float) -> float:
    return require_finite(left + right)


def _subtract(_context: RunContext, left: float, right: float) -> float:
    return require_finite(left - right)


def _multiply(_context: RunContext, left: float, right: float) -> float:
    return require_finite(left * right)


def _divide(_context: RunContext, left: float, right: float) -> float:
    if not right:
        raise HookRunError("number", "division by zero")
    return require_finite(left / right)


def _modulo(_context: RunContext, left: float, right: float) -> float:
    if not right:
        raise HookRunError("number", "division by zero")
    return require_finite(math.fmod(left, right))


def _concatenate_texts(context: RunContext, left: str, right: str) -> str:
    context.charge_text(len(left) + len(right))
    return left + right


def _concatenate_lists(context: RunContext, left: list[Any], right: list[Any]) -> list[Any]:
    context.charge_list(len(left) + len(right))
    return left + right


def _less(context: RunContext, left: Any, right: Any) -> bool:  # noqa: ANN401  # values of the hook language
    context.charge_comparison(right)
    return bool(left < right)


def _less_equal(context: RunContext, left: Any, right: Any) -> bool:  # noqa: ANN401  # values of the hook language
    context.charge_comparison(right)
    return bool(left <= right)


def _in_text(context: RunContext, left: str, right: str) -> bool:
    context.charge_search(right, left)
    return left in right


def _in_list(context: RunContext, left: Any, right: list[Any]) -> bool:  # noqa: ANN401  # a value of the hook language
    context.charge_comparison(right)
    return left in right


def _load_item(_context: RunContext, items: list[Any], index: float) -> Any:  # noqa: ANN401  # a value of the language
    if not 0 <= index < len(items):
        raise HookRunError("index", f"item {format_value(index, False)} does not exist in a list of {len(items)}")
    return items[int(index)]


OPERATORS: dict[int, Operator] = {
    int(Opcode.ADD): _add,
    int(Opcode.SUBTRACT): _subtract,
    int(Opcode.MULTIPLY): _multiply,
    int(Opcode.DIVIDE): _divide,
    int(Opcode.MODULO): _modulo,
    int(Opcode.CONCATENATE_TEXTS): _concatenate_texts,
    int(Opcode.CONCATENATE_LISTS): _concatenate_lists,
    int(Opcode.LESS): _less,
    int(Opcode.LESS_EQUAL): _less_equal,
    int(Opcode.IN_TEXT): _in_text,
    int(Opcode.IN_LIST): _in_list,
    int(Opcode.LOAD_ITEM): _load_item,
}
