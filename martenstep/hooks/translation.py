"""Translates a program's functions to Python functions that do the same at a fraction of the cost.

A local becomes a Python variable.  The instructions between two jumps become a block of straight-line code, whose steps
are charged at its beginning.  A run that completes costs the same steps and bytes as an interpreted one; a run that
exceeds its budget is stopped up to one block earlier.  Each jump compares the block number with that of every block in
between, so functions with more than MAX_BLOCKS blocks are left to the interpreter.

The Python text is built from verified instructions only, and never contains values of the program.  Its names are `m`
for the machine, `b` for the next block, `p` for a position in a list and, followed by a number, `v` for locals, `s` for
the stack between two blocks, `t` for other values, `k` for constants, `f` for functions, `i` for built-in functions and
`o` for operators.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from martenstep.hooks.built_ins import BUILT_IN_FUNCTIONS
from martenstep.hooks.bytecode import Function, Opcode, Program
from martenstep.hooks.operators import OPERATORS, format_value, require_finite
from martenstep.hooks.run_context import CHARACTERS_PER_STEP, ITEM_BYTES, ITEMS_PER_STEP
from martenstep.hooks.verifier import stack_heights
from martenstep.hooks.virtual_machine import FIELD_COUNTS, TranslatedFunctions

MAX_BLOCKS = 48
MAX_TRANSLATED_INSTRUCTIONS = 1500  # Python's compiler blocks all other threads while it compiles a function
MAX_SUMMANDS = 8  # Python's compiler recurses once for each operand of a sum
BLOCK_ENDS = (Opcode.JUMP, Opcode.JUMP_IF_FALSE, Opcode.FOR_NEXT, Opcode.RETURN)
ARITHMETIC = {Opcode.ADD: "+", Opcode.SUBTRACT: "-", Opcode.MULTIPLY: "*"}
COMPARISONS = {Opcode.EQUAL: "==", Opcode.LESS: "<", Opcode.LESS_EQUAL: "<="}


class _FunctionTranslator:
    """Generates the Python text of one function."""

    def __init__(self, program: Program, function: Function, number: int) -> None:
        self._constants = program.constants
        self._function = function
        self._number = number
        self.block_starts = _find_block_starts(function)
        self._block_numbers = {start: block for block, start in enumerate(self.block_starts)}
        self._heights = stack_heights(program, function)
        self._stack: list[str] = []  # the expressions of the values on the stack
        self._lines: list[str] = []
        self._value_count = 0
        self._value_rules: dict[Opcode, Callable[[int, int], object]] = {
            Opcode.LOAD_CONSTANT: lambda a, b: self._stack.append(f"k{a}"),
            Opcode.LOAD_LOCAL: lambda a, b: self._stack.append(f"v{a}"),
            Opcode.STORE_LOCAL: self._store_local,
            Opcode.LOAD_FIELD: lambda a, b: self._push(f"{self._pop()}[{a}]"),
            Opcode.NOT: lambda a, b: self._push(f"not {self._pop()}"),
            Opcode.NEGATE: lambda a, b: self._push(f"-{self._pop()}"),
            Opcode.JOIN_TEXTS: self._join_texts,
            Opcode.FORMAT_VALUE: self._format_value,
            Opcode.BUILD_RECORD: self._build_record,
            Opcode.BUILD_LIST: self._build_list,
            Opcode.CALL: lambda a, b: self._push(f"m.call({a}, ({_tuple_items(self._pop_values(b))}))"),
            Opcode.CALL_BUILT_IN: lambda a, b: self._push(f"i{a}(m, [{', '.join(self._pop_values(b))}])"),
        }

    def text(self) -> str:
        """Generate the text of the whole function."""
        parameters = [f"v{local}" for local in range(self._function.parameter_count)]
        other_locals = [f"v{local}" for local in range(self._function.parameter_count, self._function.local_count)]
        text_lines = [f"def f{self._number}({', '.join(['m', *parameters])}):"]
        if other_locals:
            text_lines.append(f"    {' = '.join(other_locals)} = 0.0")
        text_lines += ["    b = 0", "    while True:"]
        ends = [*self.block_starts[1:], len(self._function.instructions)]
        for block, (start, end) in enumerate(zip(self.block_starts, ends, strict=True)):
            self._lines = []
            if start in self._heights:  # otherwise the block is unreachable
                self._stack = [f"s{index}" for index in range(self._heights[start])]
                self._translate_block(start, end)
            text_lines.append(f"        if b == {block}:")
            text_lines += [f"            {line}" for line in self._lines or ["pass"]]
        return "\n".join(text_lines) + "\n"

    # The stack ----------------------------------------------------------------------------------------------

    def _push(self, expression: str) -> str:
        """Assign an expression to a new variable and push it; returns the variable."""
        self._value_count += 1
        variable = f"t{self._value_count}"
        self._lines.append(f"{variable} = {expression}")
        self._stack.append(variable)
        return variable

    def _pop(self) -> str:
        return self._stack.pop()

    def _pop_values(self, count: int) -> list[str]:
        if not count:
            return []
        values = self._stack[-count:]
        del self._stack[-count:]
        return values

    def _spill_stack(self) -> None:
        """Assign the values on the stack to the variables in which the next block expects them."""
        moves = [(f"s{index}", name) for index, name in enumerate(self._stack) if name != f"s{index}"]
        if moves:
            targets = ", ".join(target for target, _ in moves)
            self._lines.append(f"{targets} = {', '.join(source for _, source in moves)}")

    # Blocks -------------------------------------------------------------------------------------------------

    def _translate_block(self, start: int, end: int) -> None:
        here = self._block_numbers[start]
        self._lines.append(f"m.remaining_steps -= {end - start}")
        self._lines.append("if m.remaining_steps <= m.next_check: m.charge_steps(0)")
        for number, a, b in self._function.instructions[start : end - 1]:
            self._translate_value(Opcode(number), a, b)
        number, a, b = self._function.instructions[end - 1]
        match Opcode(number):
            case Opcode.JUMP:
                self._spill_stack()
                self._go_to(a, here)
            case Opcode.JUMP_IF_FALSE:
                self._jump_if_false(a, end, here)
            case Opcode.FOR_NEXT:
                self._for_next(a, b, end, here)
            case Opcode.RETURN:
                self._lines.append(f"return {self._pop()}")
            case opcode:
                self._translate_value(opcode, a, b)
                self._spill_stack()
                self._go_to(end, here)

    def _go_to(self, target: int, here: int, indent: str = "") -> None:
        block = self._block_numbers[target]
        self._lines.append(f"{indent}b = {block}")
        if block <= here:
            self._lines.append(f"{indent}continue")

    def _jump_if_false(self, target: int, next_position: int, here: int) -> None:
        condition = self._push(self._pop())  # a new variable, since _spill_stack may overwrite the old one
        self._pop()
        self._spill_stack()
        self._lines.append(f"if not {condition}:")
        self._go_to(target, here, "    ")
        self._lines.append("else:")
        self._go_to(next_position, here, "    ")

    def _for_next(self, list_local: int, target: int, next_position: int, here: int) -> None:
        self._spill_stack()
        items = f"v{list_local}"
        position = f"v{list_local + 1}"
        self._lines.append(f"p = int({position})")
        self._lines.append(f"if p < len({items}):")
        self._lines.append(f"    {position} = p + 1.0")
        self._lines.append(f"    s{len(self._stack)} = {items}[p]")
        self._go_to(next_position, here, "    ")
        self._lines.append("else:")
        self._go_to(target, here, "    ")

    # Values -------------------------------------------------------------------------------------------------

    def _translate_value(self, opcode: Opcode, a: int, b: int) -> None:
        """Translate an instruction that is not a jump."""
        if opcode in self._value_rules:
            self._value_rules[opcode](a, b)
            return
        left, right = self._pop_values(2)
        if opcode in ARITHMETIC:
            result = self._push(f"{left} {ARITHMETIC[opcode]} {right}")
            # The difference is not zero only if the result is infinite or NaN; the test is cheaper than a call.
            self._lines.append(f"if {result} - {result} != 0.0: require_finite({result})")
        elif opcode in COMPARISONS:
            if not self._is_free_to_compare(right):
                self._lines.append(f"if {right}.__class__ is not float: m.charge_comparison({right})")
            self._push(f"{left} {COMPARISONS[opcode]} {right}")
        else:
            self._push(f"o{int(opcode)}(m, {left}, {right})")

    def _store_local(self, local: int, _b: int) -> None:
        value = self._pop()
        variable = f"v{local}"
        if variable in self._stack:  # a value loaded before the store must not change
            self._value_count += 1
            copy = f"t{self._value_count}"
            self._lines.append(f"{copy} = {variable}")
            self._stack[:] = [copy if name == variable else name for name in self._stack]
        self._lines.append(f"{variable} = {value}")

    def _join_texts(self, count: int, _b: int) -> None:
        parts = self._pop_values(count)
        if len(parts) > MAX_SUMMANDS:
            length = f"sum(map(len, ({', '.join(parts)})))"
        else:
            length = " + ".join(f"len({part})" for part in parts) or "0"
        self._lines.append(f"m.charge_text({length})")
        self._push(f"''.join(({_tuple_items(parts)}))")

    def _format_value(self, is_duration: int, _b: int) -> None:
        text = self._push(f"format_value({self._pop()}, {bool(is_duration)})")
        self._lines.append(f"m.charge_text(len({text}))")

    def _build_record(self, record: int, _b: int) -> None:
        self._charge_bytes(ITEM_BYTES * FIELD_COUNTS[record])
        self._push(f"({_tuple_items(self._pop_values(FIELD_COUNTS[record]))})")

    def _build_list(self, count: int, _b: int) -> None:
        if count < ITEMS_PER_STEP:
            self._charge_bytes(ITEM_BYTES * (count + 1))
        else:
            self._lines.append(f"m.charge_list({count})")
        self._push(f"[{', '.join(self._pop_values(count))}]")

    def _charge_bytes(self, size: int) -> None:
        """Inline RunContext.charge_bytes, which is called only when the budget is exceeded."""
        self._lines.append(f"m.remaining_bytes -= {size}")
        self._lines.append("if m.remaining_bytes < 0: m.charge_bytes(0)")

    def _is_free_to_compare(self, name: str) -> bool:
        """Whether a comparison costs no steps, which holds for a constant number, bool or short text."""
        if not name.startswith("k"):
            return False
        value = self._constants[int(name[1:])]
        return not isinstance(value, str) or len(value) < CHARACTERS_PER_STEP


def _tuple_items(expressions: list[str]) -> str:
    """The inside of a tuple display; the final comma is needed for a single item."""
    return "".join(f"{expression}, " for expression in expressions)


def _find_block_starts(function: Function) -> list[int]:
    starts = {0}
    for position, (opcode, a, b) in enumerate(function.instructions):
        if opcode in BLOCK_ENDS:
            starts.add(position + 1)
        if opcode in (Opcode.JUMP, Opcode.JUMP_IF_FALSE):
            starts.add(a)
        elif opcode == Opcode.FOR_NEXT:
            starts.add(b)
    return sorted(start for start in starts if start < len(function.instructions))


def translate(program: Program) -> TranslatedFunctions:
    """Translate the functions of a verified program; None for those that are left to the interpreter."""
    names: dict[str, Any] = {"format_value": format_value, "require_finite": require_finite}
    names |= {f"k{number}": value for number, value in enumerate(program.constants)}
    names |= {f"i{number}": built_in for number, built_in in enumerate(BUILT_IN_FUNCTIONS)}
    names |= {f"o{opcode}": operator for opcode, operator in OPERATORS.items()}
    translated: list[Callable[..., Any] | None] = []
    for number, function in enumerate(program.functions):
        translator = _FunctionTranslator(program, function, number)
        is_too_long = len(function.instructions) > MAX_TRANSLATED_INSTRUCTIONS
        if is_too_long or len(translator.block_starts) > MAX_BLOCKS:
            translated.append(None)
            continue
        exec(compile(translator.text(), f"<hook {number}>", "exec"), names)
        translated.append(names[f"f{number}"])
    return translated
