"""Turns a program's code into Python functions that do the same at a fraction of the cost.

The machine interprets about one instruction in 0.7 us.  Here each function of a program becomes a Python function: a
slot is a local variable, and the instructions between two jumps are straight lines, charged together at their begin.  A
run that ends costs the same steps and bytes as in the machine, to the last one; one that runs out is cut off up to a
block earlier.  A function of very many blocks is left to the machine, since going from one block to another walks past
those between them.

The text is made from instructions that the verifier has let pass; values of the program never stand in it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from martenstep.hooks.bytecode import Function, Program, heights_of
from martenstep.hooks.types import BUILT_INS
from martenstep.hooks.virtual_machine import FIELDS, ITEM_BYTES, OP, SIGNS_A_STEP, shown

MOST_BLOCKS = 48
MOST_CODE = 1500  # instructions: Python's compiler lets nothing else run while it reads one function
MOST_ADDED = 8  # in one expression: Python's compiler goes down as deep as a sum is long
ENDS = (OP.JUMP, OP.JUMP_FALSE, OP.NEXT, OP.RETURN)
Fast = Sequence[Callable[..., Any] | None]
PAIRS = {OP.ADD: "+", OP.SUB: "-", OP.MUL: "*"}


class _Writer:
    """One function's text."""

    def __init__(self, program: Program, function: Function, number: int) -> None:
        self._constants, self._function, self._number = program.constants, function, number
        code = function.code
        starts = {0}
        for at, (op, one, other) in enumerate(code):
            if op in ENDS:
                starts.add(at + 1)
                if op in (OP.JUMP, OP.JUMP_FALSE):
                    starts.add(one)
                elif op == OP.NEXT:
                    starts.add(other)
        self.starts = sorted(start for start in starts if start < len(code))
        self._block = {start: number for number, start in enumerate(self.starts)}
        self._heights = heights_of(program, function)
        self._stack: list[str] = []
        self._lines: list[str] = []
        self._names = 0

    def text(self) -> str:
        """The whole function."""
        params = [f"v{slot}" for slot in range(self._function.params)]
        rest = [f"v{slot}" for slot in range(self._function.params, self._function.slots)]
        out = [f"def f{self._number}({', '.join(['m', *params])}):"]
        if rest:
            out.append(f"    {' = '.join(rest)} = 0.0")
        out += ["    b = 0", "    while True:"]
        for number, start in enumerate(self.starts):
            end = self.starts[number + 1] if number + 1 < len(self.starts) else len(self._function.code)
            self._lines = []
            if start in self._heights:  # else nothing leads here
                self._stack = [f"s{place}" for place in range(self._heights[start])]
                self._straight(start, end)
            out.append(f"        if b == {number}:")
            out += [f"            {line}" for line in self._lines or ["pass"]]
        return "\n".join(out) + "\n"

    def _name(self, made: str) -> None:
        """A new value on the stack."""
        self._names += 1
        self._lines.append(f"t{self._names} = {made}")
        self._stack.append(f"t{self._names}")

    def _pop(self, count: int) -> list[str]:
        if not count:
            return []
        found = self._stack[-count:]
        del self._stack[-count:]
        return found

    def _spill(self) -> None:
        """Put the stack where the next block looks for it."""
        moved = [(f"s{place}", name) for place, name in enumerate(self._stack) if name != f"s{place}"]
        if moved:
            self._lines.append(f"{', '.join(to for to, _ in moved)} = {', '.join(name for _, name in moved)}")

    def _goto(self, target: int, here: int, indent: str = "") -> None:
        block = self._block[target]
        self._lines.append(f"{indent}b = {block}")
        if block <= here:
            self._lines.append(f"{indent}continue")

    def _straight(self, start: int, end: int) -> None:
        here = self._block[start]
        self._lines.append(f"m.steps -= {end - start}")
        self._lines.append("if m.steps <= m.look: m._cost(0)")
        for at in range(start, end):
            op, one, other = self._function.code[at]
            if op == OP.JUMP:
                self._spill()
                self._goto(one, here)
                return
            if op == OP.JUMP_FALSE:
                [test] = self._pop(1)
                self._names += 1
                self._lines.append(f"t{self._names} = {test}")  # the spill may write over where it stood
                kept = f"t{self._names}"
                self._spill()
                self._lines.append(f"if not {kept}:")
                self._goto(one, here, "    ")
                self._lines.append("else:")
                self._goto(at + 1, here, "    ")
                return
            if op == OP.NEXT:
                self._spill()
                height = len(self._stack)
                self._lines.append(f"p = int(v{one + 1})")
                self._lines.append(f"if p < len(v{one}):")
                self._lines.append(f"    v{one + 1} = p + 1.0; s{height} = v{one}[p]")
                self._goto(at + 1, here, "    ")
                self._lines.append("else:")
                self._goto(other, here, "    ")
                return
            if op == OP.RETURN:
                self._lines.append(f"return {self._stack.pop()}")
                return
            self._one(op, one, other)
        self._spill()
        self._goto(end, here)

    def _one(self, op: int, one: int, other: int) -> None:
        stack = self._stack
        if op == OP.CONST:
            stack.append(f"k{one}")
        elif op == OP.LOAD:
            stack.append(f"v{one}")
        elif op == OP.STORE:
            [value] = self._pop(1)
            if f"v{one}" in stack:  # what was loaded stays as it was
                self._names += 1
                self._lines.append(f"t{self._names} = v{one}")
                stack[:] = [f"t{self._names}" if name == f"v{one}" else name for name in stack]
            self._lines.append(f"v{one} = {value}")
        elif op == OP.FIELD:
            self._name(f"{self._pop(1)[0]}[{one}]")
        elif op in (OP.NOT, OP.NEG):
            self._name(f"{'not ' if op == OP.NOT else '-'}{self._pop(1)[0]}")
        elif op in PAIRS:
            left, right = self._pop(2)
            self._name(f"{left} {PAIRS[op]} {right}")
            self._lines.append(f"if {stack[-1]} - {stack[-1]} != 0.0: m._finite({stack[-1]})")  # infinite, or none
        elif op in (OP.EQUAL, OP.LESS, OP.LESS_EQUAL):
            left, right = self._pop(2)
            if not self._small(right):
                self._lines.append(f"if {right}.__class__ is not float: m._cost(m._size({right}))")
            self._name(f"{left} {'==' if op == OP.EQUAL else '<' if op == OP.LESS else '<='} {right}")
        elif op == OP.TEXT:
            parts = self._pop(one)
            if len(parts) > MOST_ADDED:
                self._lines.append(f"m._room(sum(map(len, ({', '.join(parts)}))))")
            else:
                self._lines.append(f"m._room({' + '.join(f'len({part})' for part in parts) or 0})")
            self._name(f"''.join(({''.join(f'{part}, ' for part in parts)}))")
        elif op == OP.SHOW:
            self._name(f"shown({self._pop(1)[0]}, {bool(one)})")
            self._lines.append(f"m._room(len({stack[-1]}))")
        elif op == OP.MAKE:
            self._lines.append(f"m._built({ITEM_BYTES * FIELDS[one]})")
            self._name(f"({''.join(f'{part}, ' for part in self._pop(FIELDS[one]))})")
        elif op == OP.LIST:
            self._lines.append(f"m._items({one})")
            self._name(f"[{', '.join(self._pop(one))}]")
        elif op == OP.CALL:
            self._name(f"m.call({one}, ({''.join(f'{part}, ' for part in self._pop(other))}))")
        elif op == OP.BUILT_IN:
            self._name(f"m._built_in({BUILT_INS[one]!r}, [{', '.join(self._pop(other))}])")
        else:
            left, right = self._pop(2)
            self._name(f"m._two({op}, {left}, {right})")

    def _small(self, name: str) -> bool:
        """Whether comparing with it is free: a constant number, or a short text."""
        if name[0] != "k":
            return False
        value = self._constants[int(name[1:])]
        return not isinstance(value, str) or len(value) < SIGNS_A_STEP


def translate(program: Program) -> Fast:
    """The functions of a verified program; None for those that are left to the machine."""
    names: dict[str, Any] = {f"k{number}": value for number, value in enumerate(program.constants)}
    names["shown"] = shown
    made: list[Callable[..., Any] | None] = []
    for number, function in enumerate(program.functions):
        writer = _Writer(program, function, number)
        if len(writer.starts) > MOST_BLOCKS or len(function.code) > MOST_CODE:
            made.append(None)
            continue
        exec(compile(writer.text(), f"<hook {number}>", "exec"), names)
        made.append(names[f"f{number}"])
    return made
