"""Translated hooks do what the interpreter does, to the step and the byte."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.bytecode import BytecodeError, Function, Opcode, Program, encode_program
from martenstep.hooks.compiler import compile_file, compile_source
from martenstep.hooks.run_context import MAX_CALL_DEPTH, MAX_STEPS, Counters, HookRunError
from martenstep.hooks.translation import MAX_BLOCKS, translate
from martenstep.hooks.verifier import decode_verified, verify_program
from martenstep.hooks.virtual_machine import VirtualMachine
from tests.hook_programs import files

REQUEST = ("GET", "/p", "h", "c", "p", "k", 1.0, "de", "a/b", [("x-a", "1"), ("X-B", "2")], 5.0)
OPS = [int(op) for op in Opcode]


def both(program: Program, number: int, given: tuple[Any, ...] = (), **budget: Any) -> list[tuple[Any, ...]]:
    """The outcome of one function, interpreted and translated."""
    out: list[tuple[Any, ...]] = []
    for translated in (None, translate(program)):
        machine = VirtualMachine(program, Counters(), translated=translated, **budget)
        try:
            out.append(("well", machine.run(number, given), machine.remaining_steps, machine.remaining_bytes))
        except HookRunError as error:
            out.append(("failed", error.kind))
    return out


def same(one: tuple[Any, ...], other: tuple[Any, ...]) -> bool:
    """Equal, but that a budget may end one of two failing runs before its fault."""
    if one[0] == other[0] == "failed":
        return one == other or bool({one[1], other[1]} & {"steps", "bytes"})
    return one == other


@given(files())
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_any_program_gives_the_same_for_the_same_steps_and_bytes(file: tree.SourceFile) -> None:
    program = compile_file(file)
    one, other = both(program, 0, (3.0, "ab", REQUEST))
    assert same(one, other), (one, other)


@given(files(), st.data())
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_changed_bytes_that_still_are_a_program_end_in_the_same_way(file: tree.SourceFile, data: st.DataObject) -> None:
    packed = bytearray(encode_program(compile_file(file)))
    for _ in range(data.draw(st.integers(1, 3))):
        packed[data.draw(st.integers(0, len(packed) - 1))] = data.draw(st.integers(0, 255))
    try:
        program = decode_verified(bytes(packed))
    except BytecodeError:
        return
    one, other = both(program, 0, (3.0, "ab", REQUEST)[: program.functions[0].parameter_count])
    assert same(one, other), (one, other)


@given(st.lists(st.tuples(st.sampled_from(OPS), st.integers(0, 6), st.integers(0, 6)), min_size=1, max_size=14))
@hypo(max_examples=1500, deadline=None, derandomize=True)
def test_any_code_that_the_verifier_lets_pass_ends_in_the_same_way(code: list[tuple[int, int, int]]) -> None:
    """Also code that no compiler makes: loops, dead ends, blocks that are reached only from behind."""
    program = Program(
        1,
        [1.0, "a", True, 3.0],
        [Function("f", 0, 4, [*code, (int(Opcode.LOAD_CONSTANT), 0, 0), (int(Opcode.RETURN), 0, 0)])],
        {},
        [("t", 0)],
    )
    try:
        verify_program(program)
    except BytecodeError:
        return
    one, other = both(program, 0)
    assert same(one, other), (one, other)


@pytest.mark.parametrize(
    "body",
    [
        "for x in range(100000), n = 0 { n + 1 }",
        "for x in range(1000), n = 0 { n + 1 }",
        'len(for x in range(40), s = "ab" { s + s })',
        "1 / 0",
        "1 % 0",
        "[1][7]",
        "1e300 * 1e300 + 1",
    ],
)
def test_what_fails_fails_in_the_same_way(body: str) -> None:
    if "e300" in body:
        body = "for x in range(99), n = 10000000000 { n * n }"
    program = compile_source(f'test "t" {{ {body} == 1 }}')
    [one, other] = both(program, 0)
    assert one[0] == "failed" and same(one, other)


def test_a_loop_without_an_end_ends_by_its_steps_and_by_the_backstop() -> None:
    loop = Program(1, [1.0], [Function("f", 0, 0, [(int(Opcode.JUMP), 0, 0)])], {}, [("t", 0)])
    verify_program(loop)
    assert both(loop, 0) == [("failed", "steps")] * 2
    assert both(loop, 0, is_overdue=lambda: True) == [("failed", "late")] * 2


@pytest.mark.parametrize(("functions", "ends"), [(MAX_CALL_DEPTH + 1, "well"), (MAX_CALL_DEPTH + 2, "failed")])
def test_calls_in_one_another_are_bounded_alike(functions: int, ends: str) -> None:
    code = [[(int(Opcode.CALL), number + 1, 0), (int(Opcode.RETURN), 0, 0)] for number in range(functions - 1)]
    code.append([(int(Opcode.LOAD_CONSTANT), 0, 0), (int(Opcode.RETURN), 0, 0)])
    program = Program(1, [1.0], [Function("f", 0, 0, one) for one in code], {}, [("t", 0)])
    verify_program(program)
    one, other = both(program, 0)
    assert one == other and one[0] == ends


def test_a_function_of_many_blocks_is_left_to_the_interpreter() -> None:
    arms = ", ".join(f"{n} -> {n + 1}" for n in range(MAX_BLOCKS))
    program = compile_source(f'fn f(x: number) -> number {{ match x {{ {arms}, _ -> 0 }} }} test "t" {{ f(30) == 31 }}')
    assert [made is None for made in translate(program)] == [True, False]
    one, other = both(program, 1)
    assert one == other and one[1] is True and one[2] < MAX_STEPS
