"""The command line: help with an example for each, bad input told in a line, exit codes."""

from __future__ import annotations

from pathlib import Path

import click
import pytest
from click.testing import CliRunner, Result

from martenstep.cli.main import cli
from tests.engine_rig import SETTINGS


def call(*words: str) -> Result:
    return CliRunner().invoke(cli, list(words))


def commands(group: click.Group, path: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    found = []
    for name, command in group.commands.items():
        found += commands(command, (*path, name)) if isinstance(command, click.Group) else [(*path, name)]
    return found


@pytest.mark.parametrize("path", commands(cli), ids="-".join)
def test_each_command_has_help_with_an_example(path: tuple[str, ...]) -> None:
    done = call(*path, "--help")
    assert done.exit_code == 0 and f"martenstep {' '.join(path)}" in done.output.split("Example:")[1]


@pytest.mark.parametrize(
    "words",
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
def test_bad_usage_is_told_and_exits_with_2(words: tuple[str, ...]) -> None:
    done = call(*words)
    assert done.exit_code == 2 and "Traceback" not in done.output and done.output.strip()
    assert done.exception is None or isinstance(done.exception, SystemExit)


def test_settings_are_checked_and_all_faults_told(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.txtpb", tmp_path / "bad.txtpb"
    good.write_text(SETTINGS)
    bad.write_text(SETTINGS.replace("port: 1", "port: 0").replace('zone: "a"', ""))
    assert call("config", "check", str(good)).exit_code == 0
    done = call("config", "check", str(good), str(bad))
    assert done.exit_code == 2
    lines = [line for line in done.output.splitlines() if "bad.txtpb" in line]
    assert len(lines) == 3 and all(line.startswith(f"{bad}:") for line in lines)
    assert call("serve", str(bad)).exit_code == 2
