"""The pages about the language: every example runs, and the reference lists every built-in, point, field and limit."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from martenstep.hooks.compiler import compile_source
from martenstep.hooks.formatter import format_file
from martenstep.hooks.parser import parse
from martenstep.hooks.run_context import MAX_BYTES, MAX_CALL_DEPTH, MAX_COUNTERS, MAX_STEPS
from martenstep.hooks.source import MAX_NESTING, MAX_SOURCE_BYTES
from martenstep.hooks.translation import translate
from martenstep.hooks.types import BUILT_INS, EXTENSION_POINTS, RECORDS
from martenstep.hooks.virtual_machine import VirtualMachine

DOCS = Path(__file__).resolve().parent.parent / "docs"
PAGES = ("hooks-language.md", "hooks-cookbook.md")
EXAMPLES = [
    (page, example)
    for page in PAGES
    for example in re.findall(r"```hook\n(.*?)```", (DOCS / page).read_text(encoding="utf-8"), re.S)
]


@pytest.mark.parametrize(("page", "source"), EXAMPLES)
def test_every_example_is_formatted_and_its_tests_succeed(page: str, source: str) -> None:
    program = compile_source(source)
    assert program.points and program.tests, page
    assert format_file(parse(source)) == source
    translated = translate(program)
    for title, number in program.tests:
        assert VirtualMachine(program).run(number, ()) is True, title
        assert VirtualMachine(program, translated=translated).run(number, ()) is True, title


def test_the_reference_lists_all_built_ins_points_fields_and_limits() -> None:
    text = (DOCS / "hooks-language.md").read_text(encoding="utf-8")
    assert all(f"`{name}(" in text for name in (*BUILT_INS, *EXTENSION_POINTS))
    table = {line.split("|")[1]: line.split("|")[2] for line in text.splitlines() if line.count("|") == 3}
    for record, fields in RECORDS.items():
        [row] = [cells for names, cells in table.items() if f"`{record}`" in names and "(" not in names]
        assert re.findall(r"[a-z_]+", re.sub(r": (number|duration|list<Header>)", "", row)) == [n for n, _ in fields]
    assert f"{MAX_STEPS:,}" in text and f"{MAX_BYTES // 1024} KiB" in text and f"{MAX_SOURCE_BYTES // 1024} KiB" in text
    assert f"nested {MAX_NESTING} deep" in text and f"| {MAX_CALL_DEPTH} |" in text and f"{MAX_COUNTERS} names" in text


def test_the_grammar_in_the_reference_equals_that_of_the_parser_module() -> None:
    text = (DOCS / "hooks-language.md").read_text(encoding="utf-8")
    source = (DOCS.parent / "martenstep/hooks/parser.py").read_text(encoding="utf-8")
    [grammar] = re.findall(r"```\n(file .*?)```", text, re.S)
    assert [line.strip() for line in grammar.strip().splitlines()] == [
        line.strip() for line in source[source.index("file     =") : source.index("A TEXT holds")].strip().splitlines()
    ]
