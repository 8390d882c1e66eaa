"""The hook language: parsing, formatting, error messages, and runs compared with a reference interpreter."""

from __future__ import annotations

import re

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.bytecode import BytecodeError, Program, encode_program
from martenstep.hooks.compiler import compile_file, compile_source
from martenstep.hooks.formatter import format_file
from martenstep.hooks.parser import parse
from martenstep.hooks.regex import Pattern, PatternError
from martenstep.hooks.run_context import MAX_BYTES, MAX_STEPS, Budget, Counters, HookRunError
from martenstep.hooks.source import HookSourceError
from martenstep.hooks.type_checker import check_types
from martenstep.hooks.verifier import decode_verified, verify_program
from martenstep.hooks.virtual_machine import VirtualMachine
from tests.hook_programs import UndefinedResultError, evaluate, files

HYPOTHESIS_SETTINGS = hypo(max_examples=50, deadline=None, derandomize=True)
REQUEST = ("GET", "/p/1", "h", "anna", "studio", "read", 1.0, "de", "text/html", [("X-A", "1")], 0.0)


def run_first_test(source: str) -> object:
    """Compile a source, and return the result of its first test."""
    program = compile_source(source)
    return VirtualMachine(program).run(program.tests[0][1], ())


@given(files())
@HYPOTHESIS_SETTINGS
def test_a_formatted_tree_parses_to_the_same_tree(file: tree.SourceFile) -> None:
    formatted = format_file(file)
    parsed = parse(formatted)
    assert _normalized(parsed) == _normalized(file)
    assert format_file(parsed) == formatted


def _normalized(file: tree.SourceFile) -> str:
    """The tree as text without locations and without empty pieces of texts."""
    text = re.sub(r"location=SourceLocation\(line=\d+, column=\d+\),? ?", "", repr(file))
    return re.sub(r"Text\(parts=\[(''(, )?)?", "Text(parts=[", text).replace(", ''])", "])")


@given(files())
@HYPOTHESIS_SETTINGS
def test_a_well_typed_program_runs_like_the_reference_interpreter(file: tree.SourceFile) -> None:
    program = decode_verified(encode_program(compile_file(file)))
    types = check_types(file)
    function = file.functions[0]
    function_arguments = (3.0, "ab", REQUEST)
    for body, number, arguments in ((function.body, 0, function_arguments), (file.tests[0].body, 1, ())):
        machine = VirtualMachine(program)
        try:
            result: object = machine.run(number, arguments)
        except HookRunError as error:
            assert error.kind != "ill-typed", error
            result = error.kind
        if result in ("steps", "bytes"):  # the reference interpreter has no budget
            continue
        assert 0 <= machine.remaining_steps < MAX_STEPS and 0 <= machine.remaining_bytes <= MAX_BYTES
        try:
            expected: object = evaluate(body, dict(zip(("a", "b", "r"), arguments, strict=False)), types)
        except UndefinedResultError:
            assert result in ("index", "number")
            continue
        assert result == expected


@given(st.text(max_size=200))
@HYPOTHESIS_SETTINGS
def test_any_text_compiles_or_is_rejected_with_a_location(source: str) -> None:
    try:
        compile_source(source)
    except HookSourceError as error:
        assert error.location.line >= 1 and error.format_with_source(source, "f").startswith("f:")


TOKENS = st.sampled_from(
    (
        "fn",
        "on",
        "test",
        "let",
        "if",
        "else",
        "match",
        "for",
        "in",
        "f",
        "x",
        "(",
        ")",
        "{",
        "}",
        "[",
        "]",
        "->",
        "=",
        "==",
        "+",
        "-",
        ".",
        ",",
        ";",
        ":",
        "1",
        "2s",
        '"a"',
        '"${x}"',
        "_",
        "true",
        "not",
        "and",
        "number",
        "list",
        "<",
        ">",
        "refusal",
        "Request",
    )
)


@given(st.lists(TOKENS, max_size=40))
@HYPOTHESIS_SETTINGS
def test_any_sequence_of_tokens_compiles_or_is_rejected_with_a_location(tokens: list[str]) -> None:
    try:
        compile_source(" ".join(tokens))
    except HookSourceError as error:
        assert error.location.column >= 1


@given(files(), st.data())
@HYPOTHESIS_SETTINGS
def test_corrupted_bytecode_is_rejected_or_runs_within_its_budget(file: tree.SourceFile, data: st.DataObject) -> None:
    packed = bytearray(encode_program(compile_file(file)))
    for _ in range(data.draw(st.integers(1, 4))):
        packed[data.draw(st.integers(0, len(packed) - 1))] = data.draw(st.integers(0, 255))
    try:
        program = decode_verified(bytes(packed))
    except BytecodeError:
        return
    for number, function in enumerate(program.functions):
        machine = VirtualMachine(program, budget=Budget(2000, 20_000))
        try:
            machine.run(number, (3.0, "ab", REQUEST)[: function.parameter_count])
        except HookRunError:
            assert machine.remaining_bytes > -(10**9)


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        ('len(for x in range(100000), s = "a" { s + s }) > 0', "steps"),
        ('len(for x in range(1000), s = "a" { s + s }) > 0', "bytes"),
        ("(for x in range(900), a = 0 { for y in range(900), b = a { b + 1 } }) > 0", "steps"),
        ('len(for x in range(60), s = "ab" { replace(s, "a", "aa" + s) }) > 0', "bytes"),
        ("1 / 0 > 1", "number"),
        ("(for x in range(40), a = 10 { a * 100000000000000000000 }) > 1", "number"),
        ("[1, 2][2] > 0", "index"),
        ("[1][0 - 1] > 0", "index"),
        ("len(range(1e9)) > 0", None),
    ],
)
def test_a_run_beyond_its_limits_fails_with_the_kind_of_the_limit(body: str, kind: str | None) -> None:
    source = f'test "t" {{ {body} }}'
    if kind is None:
        with pytest.raises(HookSourceError, match="expected a number, or a duration in"):
            run_first_test(source)
        return
    with pytest.raises(HookRunError) as raised:
        run_first_test(source)
    assert raised.value.kind == kind


def test_the_deadline_ends_a_run_that_has_steps_left() -> None:
    program = compile_source('test "t" { (for x in range(3000), a = 0 { a + 1 }) == 3000 }')
    overdue_checks = iter([False, True])
    with pytest.raises(HookRunError, match="late"):
        VirtualMachine(program, budget=Budget(steps=10**9), is_overdue=lambda: next(overdue_checks)).run(0, ())


def test_the_number_of_counter_names_is_limited() -> None:
    program = compile_source("".join(f'test "{n}" {{ count("c{n}") == 1 }}\n' for n in range(101)))
    counters = Counters()
    for _, number in program.tests[:100]:
        assert VirtualMachine(program, counters).run(number, ()) is True
    with pytest.raises(HookRunError, match="counters"):
        VirtualMachine(program, counters).run(program.tests[100][1], ())
    assert VirtualMachine(program, counters).run(program.tests[0][1], ()) is False  # the counter is 2 now


@pytest.mark.parametrize(
    ("source", "expected_message"),
    [
        ("fn f(a: number) -> text { a }", "1:27: expected text, got number"),
        ('fn f(a: numbr) -> text { "" }', "1:9: no type is named 'numbr'"),
        ("fn f(a: number) -> number { f(a) }", "function 'f' calls itself"),
        ("fn f() -> number { g() }\nfn g() -> number { f() }", "calls itself"),
        ('fn f() -> number { 1 + "a" }', "1:22: '+' is not defined for number and text"),
        ("fn f() -> number { b }", "1:20: nothing is named 'b'"),
        (
            "fn f(r: Request) -> text { r.custmer }",
            "Request has no field 'custmer' (there are: accept, class, customer",
        ),
        (
            'fn f() -> number { if true { 1 } else { "a" } }',
            "1:41: else: expected number as in the branch before, got text",
        ),
        ("fn f() -> number { match 1 { 2 -> 3 } }", "match: expected '_' as the last arm"),
        ("on refusal(r) { Words {} }", "hook at refusal: expected 2 parameters (Request, Refusal), got 1"),
        (
            "on refused(r) { Words {} }",
            "no extension point is named 'refused' (there are: answer, classify, log, refusal, sending)",
        ),
        ("on refusal(r, w) { Words { body: 3 } }", "1:34: Words.body: expected text, got number"),
        ('test "t" { matches("a", "(") }', "1:25: matches: at position 1: expected ')' to close the group"),
        ('test "t" { matches("a", text(1)) }', "matches: expected a text without templates"),
        ('test "t" { 1 }', "1:12: expected bool, got number"),
        ('test "t" { "a }', "1:12: the text is not closed with '\"' on the same line"),
        ('test "t" { "${1', "expected '}' to close the template, got the end of the file"),
        ('test "t" { ' + "(" * 60, "nested deeper than 40"),
        ('test "t" { ' + "not " * 600 + "true }", "nested deeper than 40"),
        ('test "t" { ' + "1 + " * 600 + "1 == 1 }", "more than 40 operators in a row, at '+'"),
        ("# " + "x" * 10_000_000, "expected a source of at most 65536 bytes, got 10000002"),
        ("fn f() -> " + "list<" * 600 + "text" + ">" * 600 + " { [] }", "nested deeper than 40"),
    ],
)
def test_an_error_message_has_the_location_and_the_expected_construct(source: str, expected_message: str) -> None:
    with pytest.raises(HookSourceError) as raised:
        compile_source(source)
    assert expected_message in str(raised.value)
    message_lines = raised.value.format_with_source(source, "a.hook").split("\n")
    assert message_lines[0].startswith("a.hook:") and len(message_lines[1]) < 110 and message_lines[2].endswith("^")


@given(st.text("ab.*+?|()[]^$\\d{}1,", max_size=12), st.text("ab1c$.", max_size=12))
@hypo(max_examples=400, deadline=None, derandomize=True)
def test_patterns_match_where_those_of_python_match(pattern: str, text: str) -> None:
    try:
        found = Pattern(pattern).search(text)
    except PatternError:
        return
    try:
        python_pattern = re.compile(pattern, re.DOTALL | re.ASCII)
    except re.error:  # Python rejects a repeated anchor
        return
    assert found == (python_pattern.search(text) is not None)


def test_a_pattern_that_makes_backtracking_exponential_costs_linear_time() -> None:
    with pytest.raises(HookRunError, match="steps"):
        run_first_test(
            'test "t" { matches(join(split(text(1), "x"), "a") + "' + "a" * 9000 + '!", "(a|a)*(a|a)*(a|a)*$") }'
        )
    assert run_first_test('test "t" { not matches("' + "a" * 30 + '!", "^(a+)+$") }') is True
    with pytest.raises(PatternError, match="states"):
        Pattern("((((a{30}){30}){30}))")


def test_a_program_of_another_bytecode_format_is_rejected() -> None:
    program = compile_source('test "t" { true }')
    with pytest.raises(BytecodeError, match="format 2"):
        verify_program(Program(2, program.constants, program.functions, program.points, program.tests))
