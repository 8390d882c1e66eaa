"""The command line: each command's help has an example, invalid input is reported without a traceback, exit codes."""

from __future__ import annotations

from pathlib import Path

import click
import pytest
from click.testing import CliRunner, Result

from martenstep.cli.main import cli
from tests.engine_rig import SETTINGS


def invoke(*arguments: str) -> Result:
    return CliRunner().invoke(cli, list(arguments))


def command_paths(group: click.Group, path: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    paths = []
    for name, command in group.commands.items():
        paths += command_paths(command, (*path, name)) if isinstance(command, click.Group) else [(*path, name)]
    return paths


@pytest.mark.parametrize("path", command_paths(cli), ids="-".join)
def test_each_command_has_help_with_an_example(path: tuple[str, ...]) -> None:
    result = invoke(*path, "--help")
    assert result.exit_code == 0 and f"martenstep {' '.join(path)}" in result.output.split("Example:")[1]


@pytest.mark.parametrize(
    "arguments",
    [
        ("nonsense",),
        ("serve",),
        ("serve", "/no/such/file"),
        ("config", "check"),
        ("day", "run", "x"),
        ("standin", "redis", "--port", "x"),
        ("standin", "redis", "--port", "99999"),
        ("standin", "photo-server", "--config", "{"),
        ("standin", "photo-server", "--config", '{"cores": "many"}'),
        ("standin", "clients", "/no/such/file", "--manners", "{}"),
        ("day", "check", "/no/such/folder"),
        ("day", "from-tap", "/no/such/file"),
        ("day", "run", "/no/such/file", "--out", "/tmp/x"),
    ],
)
def test_invalid_usage_is_reported_and_exits_with_2(arguments: tuple[str, ...]) -> None:
    result = invoke(*arguments)
    assert result.exit_code == 2 and "Traceback" not in result.output and result.output.strip()
    assert result.exception is None or isinstance(result.exception, SystemExit)


def test_config_check_reports_all_problems_of_each_file(tmp_path: Path) -> None:
    valid, invalid = tmp_path / "good.txtpb", tmp_path / "bad.txtpb"
    valid.write_text(SETTINGS)
    invalid.write_text(SETTINGS.replace("port: 1", "port: 0").replace('zone: "a"', ""))
    assert invoke("config", "check", str(valid)).exit_code == 0
    result = invoke("config", "check", str(valid), str(invalid))
    assert result.exit_code == 2
    lines = [line for line in result.output.splitlines() if "bad.txtpb" in line]
    assert len(lines) == 3 and all(line.startswith(f"{invalid}:") for line in lines)
    assert invoke("serve", str(invalid)).exit_code == 2
