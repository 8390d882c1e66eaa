"""The commands of `martenstep hook`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.hooks.release_history import ReleaseHistory

GOOD = """# Words for the studios.
fn words(r: Request) -> text {
  match r.language {
    "de" | "at" -> "Zu viel auf einmal",
    _ -> "Too much at once",
  }
}

on refusal(r, why) {
  Words { body: "${words(r)}: ${why.retry_after}", content_type: "text/plain" }
}

test "german" {
  words(Request { language: "de" }) == "Zu viel auf einmal"
}
"""


def call(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(cli, ["hook", *arguments])
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def test_a_valid_file_is_checked_tested_run_and_measured(tmp_path: Path) -> None:
    file, example = tmp_path / "a.hook", tmp_path / "e.json"
    file.write_text(GOOD)
    example.write_text(json.dumps({"request": {"language": "at"}, "refusal": {"status": 429, "retry_after": 2500}}))
    assert call("check", str(file)) == (0, f"{file}: good; points: refusal; 1 tests\n")
    assert call("test", str(file)) == (0, "1 held, 0 did not\n")
    code, output = call("run", str(file), "--request", str(example))
    assert code == 0 and '"body": "Zu viel auf einmal: 2.5s"' in output and "of 1200 steps" in output
    code, output = call("bench", str(file))
    assert code == 0 and "steps; median" in output


def test_fmt_keeps_comments_and_does_not_change_its_own_output(tmp_path: Path) -> None:
    file = tmp_path / "a.hook"
    file.write_text(GOOD.replace("  ", "      ") + "# The end.")
    assert call("fmt", "--check", str(file)) == (1, f"{file}: would change\n")
    assert call("fmt", str(file)) == (0, f"{file}: written\n")
    assert file.read_text() == GOOD + "\n# The end.\n"
    assert call("fmt", "--check", str(file)) == (0, "")
    comment_inside = GOOD.replace("  match", "  # by language\n  match")
    file.write_text(comment_inside)
    code, output = call("fmt", str(file))
    assert code == 2 and "comment inside a function, hook or test" in output and file.read_text() == comment_inside


@pytest.mark.parametrize(
    ("source", "arguments", "expected_code", "expected_output"),
    [
        ("on refusal(r, w) { 3 }", ("check",), 2, "1:20: expected Words, got number"),
        ('test "t" { 1 == 2 }', ("test",), 1, "test 't': false"),
        ('test "t" { 1 / 0 == 2 }', ("test",), 1, "number"),
        ("", ("test",), 1, "0 held"),
        ("", ("run",), 2, "name one point"),
        ("on log(r, a) { [][0] }", ("check",), 2, "expected a list with items"),
        ("on log(r, a) { [Field { name: text(1 / 0) }] }", ("run",), 1, "division by zero"),
    ],
)
def test_a_faulty_file_or_call_exits_with_a_message(
    source: str, arguments: tuple[str, ...], expected_code: int, expected_output: str, tmp_path: Path
) -> None:
    file = tmp_path / "a.hook"
    file.write_text(source)
    code, output = call(*arguments, str(file))
    assert code == expected_code and expected_output in output


@pytest.mark.parametrize(
    ("example", "expected_output"),
    [
        ("{", "e.json"),
        ("[]", "expected an object"),
        ('{"reqest": {}}', "no value 'reqest'"),
        ('{"request": {"pth": ""}}', "request: no field 'pth'"),
        ('{"request": {"path": 3}}', "request.path: expected a text"),
        ('{"request": {"headers": [{"name": 1}]}}', "request.headers[0].name: expected a text"),
    ],
)
def test_an_invalid_example_exits_with_a_message(example: str, expected_output: str, tmp_path: Path) -> None:
    file, example_file = tmp_path / "a.hook", tmp_path / "e.json"
    file.write_text(GOOD)
    example_file.write_text(example)
    code, output = call("run", str(file), "--request", str(example_file))
    assert code == 2 and expected_output in output
    assert call("check", str(tmp_path / "none"))[0] == 2


def test_a_release_is_signed_published_listed_and_in_the_history(tmp_path: Path) -> None:
    drafts, hooks, key = tmp_path / "drafts", str(tmp_path / "hooks"), str(tmp_path / "key.pem")
    drafts.mkdir()
    (drafts / "words.hook").write_text(GOOD)
    public = call("key", key)[1].strip()
    assert call("key", key)[0] == 2  # an existing key is never overwritten
    code, output = call("publish", str(drafts), hooks, "--version", "1", "--sign", key)
    assert code == 0 and "version 1" in output
    assert call("publish", str(drafts), hooks, "--version", "2", "--share", "0.5", "--trial-customer", "anna")[0] == 0
    code, output = call("list", hooks, "--customer", "anna")
    assert code == 0 and "1: acts; share 1; refusal (words.hook)" in output
    assert "2: on trial; share 0.5" in output and "anna: 2" in output
    code, output = call("list", hooks, "--key", public)
    assert code == 1 and "cannot be taken: 2: is not signed" in output
    history = str(tmp_path / "h.jsonl")
    ReleaseHistory(tmp_path / "h.jsonl", "door-0").add("hooks withdrawn", {"version": 2, "reason": "it failed"})
    assert "2: withdrawn" in call("list", hooks, "--history", history)[1]
    assert "door-0: hooks withdrawn: version 2, reason it failed" in call("history", history)[1]


@pytest.mark.parametrize(
    "arguments",
    [
        ("list", "gone"),
        ("list", ".", "--key", "xyz"),
        ("history", "gone"),
        ("publish", "gone", "there", "--version", "0"),
        ("publish", "gone", "there", "--version", "1", "--sign", "gone.pem"),
    ],
)
def test_invalid_arguments_of_release_commands_exit_with_a_message_and_no_traceback(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, arguments: tuple[str, ...]
) -> None:
    monkeypatch.chdir(tmp_path)
    code, output = call(*arguments)
    assert code == 2 and "Error: " in output and "Traceback" not in output
