"""Translated functions have the same results as interpreted ones, and use the same steps and bytes."""

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
OPCODES = [int(opcode) for opcode in Opcode]


def run_both(program: Program, number: int, arguments: tuple[Any, ...] = (), **options: Any) -> list[tuple[Any, ...]]:
    """The outcomes of one function, interpreted and translated."""
    outcomes: list[tuple[Any, ...]] = []
    for translated in (None, translate(program)):
        machine = VirtualMachine(program, Counters(), translated=translated, **options)
        try:
            outcomes.append(
                ("succeeded", machine.run(number, arguments), machine.remaining_steps, machine.remaining_bytes)
            )
        except HookRunError as error:
            outcomes.append(("failed", error.kind))
    return outcomes


def is_equivalent(interpreted: tuple[Any, ...], translated: tuple[Any, ...]) -> bool:
    """Whether two outcomes are equal, except that one of two failing runs may exceed its budget before its fault."""
    if interpreted[0] == translated[0] == "failed":
        return interpreted == translated or bool({interpreted[1], translated[1]} & {"steps", "bytes"})
    return interpreted == translated


@given(files())
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_a_translated_program_has_the_same_result_steps_and_bytes(file: tree.SourceFile) -> None:
    program = compile_file(file)
    interpreted, translated = run_both(program, 0, (3.0, "ab", REQUEST))
    assert is_equivalent(interpreted, translated), (interpreted, translated)


@given(files(), st.data())
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_corrupted_bytecode_that_passes_the_verifier_has_the_same_outcome(
    file: tree.SourceFile, data: st.DataObject
) -> None:
    packed = bytearray(encode_program(compile_file(file)))
    for _ in range(data.draw(st.integers(1, 3))):
        packed[data.draw(st.integers(0, len(packed) - 1))] = data.draw(st.integers(0, 255))
    try:
        program = decode_verified(bytes(packed))
    except BytecodeError:
        return
    interpreted, translated = run_both(program, 0, (3.0, "ab", REQUEST)[: program.functions[0].parameter_count])
    assert is_equivalent(interpreted, translated), (interpreted, translated)


@given(st.lists(st.tuples(st.sampled_from(OPCODES), st.integers(0, 6), st.integers(0, 6)), min_size=1, max_size=14))
@hypo(max_examples=1500, deadline=None, derandomize=True)
def test_any_verified_code_has_the_same_outcome(code: list[tuple[int, int, int]]) -> None:
    """Includes code that the compiler never emits: endless loops, unreachable code, blocks reached only backward."""
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
    interpreted, translated = run_both(program, 0)
    assert is_equivalent(interpreted, translated), (interpreted, translated)


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
def test_a_failing_run_fails_in_the_same_way(body: str) -> None:
    if "e300" in body:
        body = "for x in range(99), n = 10000000000 { n * n }"
    program = compile_source(f'test "t" {{ {body} == 1 }}')
    interpreted, translated = run_both(program, 0)
    assert interpreted[0] == "failed" and is_equivalent(interpreted, translated)


def test_an_endless_loop_is_ended_by_its_steps_or_the_deadline() -> None:
    loop = Program(1, [1.0], [Function("f", 0, 0, [(int(Opcode.JUMP), 0, 0)])], {}, [("t", 0)])
    verify_program(loop)
    assert run_both(loop, 0) == [("failed", "steps")] * 2
    assert run_both(loop, 0, is_overdue=lambda: True) == [("failed", "late")] * 2


@pytest.mark.parametrize(
    ("function_count", "expected_outcome"), [(MAX_CALL_DEPTH + 1, "succeeded"), (MAX_CALL_DEPTH + 2, "failed")]
)
def test_nested_calls_have_the_same_limit(function_count: int, expected_outcome: str) -> None:
    code = [[(int(Opcode.CALL), number + 1, 0), (int(Opcode.RETURN), 0, 0)] for number in range(function_count - 1)]
    code.append([(int(Opcode.LOAD_CONSTANT), 0, 0), (int(Opcode.RETURN), 0, 0)])
    program = Program(1, [1.0], [Function("f", 0, 0, instructions) for instructions in code], {}, [("t", 0)])
    verify_program(program)
    interpreted, translated = run_both(program, 0)
    assert interpreted == translated and interpreted[0] == expected_outcome


def test_a_function_of_many_blocks_is_left_to_the_interpreter() -> None:
    arms = ", ".join(f"{n} -> {n + 1}" for n in range(MAX_BLOCKS))
    program = compile_source(f'fn f(x: number) -> number {{ match x {{ {arms}, _ -> 0 }} }} test "t" {{ f(30) == 31 }}')
    assert [function is None for function in translate(program)] == [True, False]
    interpreted, translated = run_both(program, 1)
    assert interpreted == translated and interpreted[1] is True and interpreted[2] < MAX_STEPS
