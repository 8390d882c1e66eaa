"""The language of hooks: what is read, written, refused; what runs ends in its budget and as a plain reading says."""

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
from tests.hook_programs import Undefined, evaluate, files

RUNS = hypo(max_examples=50, deadline=None, derandomize=True)
REQUEST = ("GET", "/p/1", "h", "anna", "studio", "read", 1.0, "de", "text/html", [("X-A", "1")], 0.0)


def truth(source: str, **budget: int) -> object:
    """What the first test of a source gives."""
    program = compile_source(source)
    return VirtualMachine(program, **budget).run(program.tests[0][1], ())  # type: ignore[arg-type]


@given(files())
@RUNS
def test_what_is_written_reads_as_the_same_tree(file: tree.SourceFile) -> None:
    written = format_file(file)
    again = parse(written)
    assert _plain(again) == _plain(file)
    assert format_file(again) == written


def _plain(file: tree.SourceFile) -> str:
    """Without places, and with texts and minus signs in one form."""
    text = re.sub(r"location=SourceLocation\(line=\d+, column=\d+\),? ?", "", repr(file))
    return re.sub(r"Text\(parts=\[(''(, )?)?", "Text(parts=[", text).replace(", ''])", "])")


@given(files())
@RUNS
def test_a_program_right_by_its_types_runs_as_a_plain_reading_says(file: tree.SourceFile) -> None:
    program = decode_verified(encode_program(compile_file(file)))
    types = check_types(file)
    function = file.functions[0]
    given_ = (3.0, "ab", REQUEST)
    for body, number, values in ((function.body, 0, given_), (file.tests[0].body, 1, ())):
        machine = VirtualMachine(program)
        try:
            got: object = machine.run(number, values)
        except HookRunError as error:
            assert error.kind != "ill-typed", error
            got = error.kind
        if got in ("steps", "bytes"):  # what costs too much is refused before it is done
            continue
        assert 0 <= machine.remaining_steps < MAX_STEPS and 0 <= machine.remaining_bytes <= MAX_BYTES
        try:
            wanted: object = evaluate(body, dict(zip(("a", "b", "r"), values, strict=False)), types)
        except Undefined:
            assert got in ("index", "number")
            continue
        assert got == wanted


@given(st.text(max_size=200))
@RUNS
def test_any_text_is_a_program_or_a_fault_with_its_place(source: str) -> None:
    try:
        compile_source(source)
    except HookSourceError as fault:
        assert fault.location.line >= 1 and fault.format_with_source(source, "f").startswith("f:")


PIECES = st.sampled_from(
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


@given(st.lists(PIECES, max_size=40))
@RUNS
def test_any_row_of_words_is_a_program_or_a_fault(words: list[str]) -> None:
    try:
        compile_source(" ".join(words))
    except HookSourceError as fault:
        assert fault.location.column >= 1


@given(files(), st.data())
@RUNS
def test_bytes_that_were_changed_are_refused_or_run_within_their_budget(
    file: tree.SourceFile, data: st.DataObject
) -> None:
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
def test_what_goes_too_far_is_cut_off(body: str, kind: str | None) -> None:
    source = f'test "t" {{ {body} }}'
    if kind is None:
        with pytest.raises(HookSourceError, match="expected a number, or one with"):
            truth(source)
        return
    with pytest.raises(HookRunError) as cut:
        truth(source)
    assert cut.value.kind == kind


def test_the_backstop_ends_a_run_that_has_steps_left() -> None:
    program = compile_source('test "t" { (for x in range(3000), a = 0 { a + 1 }) == 3000 }')
    asked = iter([False, True])
    with pytest.raises(HookRunError, match="late"):
        VirtualMachine(program, budget=Budget(steps=10**9), is_overdue=lambda: next(asked)).run(0, ())


def test_counters_are_bounded() -> None:
    program = compile_source("".join(f'test "{n}" {{ count("c{n}") == 1 }}\n' for n in range(101)))
    counters = Counters()
    for _, number in program.tests[:100]:
        assert VirtualMachine(program, counters).run(number, ()) is True
    with pytest.raises(HookRunError, match="counters"):
        VirtualMachine(program, counters).run(program.tests[100][1], ())
    assert VirtualMachine(program, counters).run(program.tests[0][1], ()) is False  # it is 2 now


@pytest.mark.parametrize(
    ("source", "expected_message"),
    [
        ("fn f(a: number) -> text { a }", "1:27: expected text, got number"),
        ('fn f(a: numbr) -> text { "" }', "1:9: no type is named 'numbr'"),
        ("fn f(a: number) -> number { f(a) }", "'f' calls itself"),
        ("fn f() -> number { g() }\nfn g() -> number { f() }", "calls itself"),
        ('fn f() -> number { 1 + "a" }', "1:22: number + text is nothing"),
        ("fn f() -> number { b }", "1:20: nothing is named 'b'"),
        (
            "fn f(r: Request) -> text { r.custmer }",
            "Request has no field 'custmer' (there are: accept, class, customer",
        ),
        ('fn f() -> number { if true { 1 } else { "a" } }', "1:41: expected number as in the first way, got text"),
        ("fn f() -> number { match 1 { 2 -> 3 } }", "expected '_' as the last arm"),
        ("on refusal(r) { Words {} }", "refusal is given 2 values (Request, Refusal), named are 1"),
        (
            "on refused(r) { Words {} }",
            "no point is named 'refused' (there are: answer, classify, log, refusal, sending)",
        ),
        ("on refusal(r, w) { Words { body: 3 } }", "1:34: Words.body: expected text, got number"),
        ('test "t" { matches("a", "(") }', "1:25: matches: at 1: expected ')'"),
        ('test "t" { matches("a", text(1)) }', "matches: expected a plain text"),
        ('test "t" { 1 }', "1:12: expected bool, got number"),
        ('test "t" { "a }', "1:12: a text that is not closed on its line"),
        ('test "t" { "${1', "expected '}' that closes the template, got the end of the file"),
        ('test "t" { ' + "(" * 60, "nested deeper than 40"),
        ('test "t" { ' + "not " * 600 + "true }", "nested deeper than 40"),
        ('test "t" { ' + "1 + " * 600 + "1 == 1 }", "more than 40 '+' in a row"),
        ("# " + "x" * 10_000_000, "expected no more than 65536 bytes"),
        ("fn f() -> " + "list<" * 600 + "text" + ">" * 600 + " { [] }", "nested deeper than 40"),
    ],
)
def test_each_fault_is_told_at_its_place(source: str, expected_message: str) -> None:
    with pytest.raises(HookSourceError) as fault:
        compile_source(source)
    assert expected_message in str(fault.value)
    message_lines = fault.value.format_with_source(source, "a.hook").split("\n")
    assert message_lines[0].startswith("a.hook:") and len(message_lines[1]) < 110 and message_lines[2].endswith("^")


@given(st.text("ab.*+?|()[]^$\\d{}1,", max_size=12), st.text("ab1c$.", max_size=12))
@hypo(max_examples=400, deadline=None, derandomize=True)
def test_patterns_find_what_pythons_find(pattern: str, text: str) -> None:
    try:
        found = Pattern(pattern).search(text)
    except PatternError:
        return
    try:
        theirs = re.compile(pattern, re.DOTALL | re.ASCII)
    except re.error:  # a repeat of an anchor
        return
    assert found == (theirs.search(text) is not None)


def test_a_pattern_made_to_explode_takes_no_longer_than_its_length() -> None:
    with pytest.raises(HookRunError, match="steps"):
        truth('test "t" { matches(join(split(text(1), "x"), "a") + "' + "a" * 9000 + '!", "(a|a)*(a|a)*(a|a)*$") }')
    assert truth('test "t" { not matches("' + "a" * 30 + '!", "^(a+)+$") }') is True
    with pytest.raises(PatternError, match="states"):
        Pattern("((((a{30}){30}){30}))")


def test_a_program_of_another_format_is_refused() -> None:
    made = compile_source('test "t" { true }')
    with pytest.raises(BytecodeError, match="format 2"):
        verify_program(Program(2, made.constants, made.functions, made.points, made.tests))
