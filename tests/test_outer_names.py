"""The names that leave the process and that no other format test holds: a renamed identifier must not change them.

The expected texts are literals or files under `formats/outer`; no test writes them. Most names are read from the
running program, so that a test fails only where a name changes outside, whatever it is called in the source.
"""

from __future__ import annotations

import argparse
import contextlib
import importlib
import json
import os
import pkgutil
from collections.abc import Iterator, Mapping
from enum import Enum
from pathlib import Path
from typing import Any

import click
import msgspec
import pytest
from google.protobuf.descriptor import FileDescriptor
from msgspec import inspect

import martenstep
from martenstep.auth.messages import Reason
from martenstep.cli.main import cli
from martenstep.counter import counter_pb2, increment_ledger, journal
from martenstep.discovery import feed
from martenstep.hooks import manifest_pb2, release_files, result_validation, signing
from martenstep.lab import day_pb2, held, plan_pb2, rules
from martenstep.lab.experiment import run as experiment
from martenstep.lab.experiment import sweep
from martenstep.lab.fleet import fleet_pb2
from martenstep.lab.soak import faults, oracle
from martenstep.lab.soak import run as soak
from martenstep.maintenance.model import RequestState
from martenstep.membership import identity
from martenstep.membership.actions import EventKind
from martenstep.membership.errors import DropReason
from martenstep.membership.member import MemberState
from martenstep.membership.settings import Stage
from martenstep.node import daemon as node
from martenstep.policy import messages as policy
from martenstep.proxy.permission import Denial
from martenstep.redis_counter.outbox import Outbox
from martenstep.replication import node_disk, replica_storage, witness
from martenstep.replication.raft.types import Role
from martenstep.storage import disk_faults, files
from martenstep.supervise.process_manager import Notifier
from tests.schema_text import file_lines

FORMATS = Path(__file__).parent / "formats" / "outer"


def assert_stored(name: str, lines: Iterator[str]) -> None:
    """Compare with a golden file; a failure shows the lines that differ."""
    assert list(lines) == (FORMATS / name).read_text(encoding="utf-8").splitlines()


# Command line -------------------------------------------------------------------------------------------


def parameter_line(parameter: click.Parameter, context: click.Context) -> str:
    """The spellings of an option, or the displayed name of an argument, and the values that it takes."""
    if isinstance(parameter, click.Argument):
        names = parameter.make_metavar(context)
    else:
        names = " ".join([*parameter.opts, *parameter.secondary_opts])
    info = parameter.to_info_dict()
    details = {key: info["type"][key] for key in ("choices", "min", "max") if info["type"].get(key) is not None}
    details |= {key: True for key in ("required", "multiple", "is_flag", "count", "hidden") if info.get(key)}
    details |= {key: info[key] for key in ("default", "envvar") if info.get(key) is not None}
    return f"  {names} {parameter.metavar or parameter.type.name} nargs={parameter.nargs} {details}"


def command_lines(command: click.Command, path: str, parent: click.Context | None = None) -> Iterator[str]:
    context = click.Context(command, parent=parent, **command.context_settings)
    yield path + (" (hidden)" if command.hidden else "")
    yield from (parameter_line(parameter, context) for parameter in command.get_params(context))
    if isinstance(command, click.Group):
        for name in sorted(command.commands):
            yield from command_lines(command.commands[name], f"{path} {name}", context)


def test_commands_arguments_options_and_defaults() -> None:
    assert_stored("commands.txt", command_lines(cli, "martenstep"))


def test_options_of_the_soak(monkeypatch: pytest.MonkeyPatch) -> None:
    options: list[tuple[list[str], Any]] = []

    def read(parser: argparse.ArgumentParser) -> None:
        options.extend((list(action.option_strings), action.default) for action in parser._actions[1:])
        parser.exit()

    monkeypatch.setattr(argparse.ArgumentParser, "parse_args", read)
    with pytest.raises(SystemExit):
        soak.main()
    assert options == [
        (["--seeds"], "1-10"),
        (["--gateways"], 10),
        (["--backends"], 10),
        (["--seconds"], 15.0),
        (["--rate"], 12.0),
    ]


# Environment variables ----------------------------------------------------------------------------------


class Environment(dict[str, str]):
    """Records the names that are looked up."""

    def __init__(self, variables: Mapping[str, str]) -> None:
        super().__init__(variables)
        self.names: set[str] = set()

    def get(self, key: str, default: Any = None) -> Any:
        self.names.add(key)
        return super().get(key, default)


def test_environment_variables(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    environment = Environment({"NOTIFY_SOCKET": "/none", "WATCHDOG_USEC": "2000000"})
    assert Notifier(environment).watchdog_s > 0
    assert environment.names == {"NOTIFY_SOCKET", "WATCHDOG_USEC", "WATCHDOG_PID"}
    environment = Environment(os.environ)
    environment.pop("NODE_CONFIG", None)
    monkeypatch.setattr(os, "environ", environment)
    with pytest.raises(SystemExit):
        node.main()
    assert "NODE_CONFIG" in environment.names
    environment.pop(disk_faults.DISK_FAULTS_VARIABLE, None)
    files.Disk(tmp_path / "disk").close()
    assert "MARTENSTEP_DISK_FAULTS" in environment.names
    monkeypatch.setattr(faults, "build_library", lambda: "library")
    assert set(faults.FaultControl(tmp_path / "faults").environment) == {"LD_PRELOAD", "MARTENSTEP_FAULTS"}


# Files --------------------------------------------------------------------------------------------------


def test_names_of_files_and_folders() -> None:
    assert (journal.ATTEMPTS_FILE, journal.EPOCH_FILE, journal.TERM_FILE) == ("tries.jsonl", "epoch", "term")
    assert (journal.TEMPORARY_SUFFIX, feed.CACHE_SUFFIX) == (".new", ".new")
    assert increment_ledger.GROUP_PREFIX == "book-"
    assert (identity.IDENTITY_FILE, replica_storage.IDENTITY_FILE) == ("identity.json", "copy.json")
    assert (witness.WITNESS_FILE, files.LOCK_FILE) == ("witness", "lock")
    assert (node_disk.DISK_FILE, node_disk.GROUPS_FOLDER) == ("disk.json", "groups")
    assert (release_files.MANIFEST_FILE, signing.SIGNATURE_FILE) == ("manifest.txtpb", "manifest.sig")
    assert result_validation.LOG_FIELD_PREFIX == "hook_"
    assert (experiment.JOURNAL, experiment.RESULT, experiment.PLAN) == ("rows.jsonl", "result.parquet", "plan.txtpb")
    assert (sweep.JOURNAL, sweep.SUMMARY, held.FOLDER) == ("days.jsonl", "summary.md", "held")


def test_names_that_a_disk_uses(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A file that is replaced has a temporary name, which stays on disk if the process ends before the rename."""
    with contextlib.closing(files.Disk(tmp_path)) as disk:
        monkeypatch.setattr(os, "replace", lambda old, new: None)
        disk.write_atomically("name", b"")
    assert sorted(path.name for path in tmp_path.iterdir()) == ["lock", "name.aside"]


# Schemas ------------------------------------------------------------------------------------------------


@pytest.mark.filterwarnings("ignore::DeprecationWarning")
@pytest.mark.parametrize("name", ["counter", "manifest", "day", "plan", "fleet"])
def test_the_messages_of_the_schemas(name: str) -> None:
    modules: dict[str, Any] = {
        "counter": counter_pb2,
        "manifest": manifest_pb2,
        "day": day_pb2,
        "plan": plan_pb2,
        "fleet": fleet_pb2,
    }
    descriptor: FileDescriptor = modules[name].DESCRIPTOR
    assert_stored(f"{name}_descriptor.txt", file_lines(descriptor))


# Enums --------------------------------------------------------------------------------------------------


def values(kind: type[Enum]) -> list[Any]:
    return [member.value for member in kind]


def names(kind: type[Enum]) -> list[str]:
    return [member.name for member in kind]


def enum_lines() -> Iterator[str]:
    """Of each enum only what goes out: the members' values, names or labels."""
    yield f"reason for no verdict: {values(Reason)}"
    yield f"result: {values(policy.CallResult)}"
    yield f"reason to reject: {values(policy.RejectionReason)}"
    yield f"scope of an endpoint list: {values(policy.EndpointListScope)}"
    yield f"state of an endpoint: {values(policy.EndpointState)}"
    yield f"idempotency: {values(policy.Idempotency)}"
    yield f"scope of deduplication: {values(policy.DeduplicationScope)}"
    yield f"denial: {[(denial.name, denial.value) for denial in Denial]}"
    yield f"state of a member: {[(state.label, state.value) for state in MemberState]}"
    yield f"event of the membership: {[(event.label, event.value) for event in EventKind]}"
    yield f"stage of the membership: {values(Stage)}"
    yield f"reason to drop a datagram: {values(DropReason)}"
    yield f"state of a maintenance request: {values(RequestState)}"
    yield f"role of a replica: {values(Role)}"
    yield f"rule of the soak: {names(oracle.Rule)}"
    yield f"call that fails: {[(call.name, call.value) for call in faults.Call]}"


def test_names_and_values_of_enums() -> None:
    assert_stored("enums.txt", enum_lines())


def test_each_result_of_a_redis_call_is_counted_under_its_name() -> None:
    outbox = Outbox()
    for number, result in enumerate(policy.CallResult):
        outbox.answer(number, result)
    counted = ["OK", "ERROR", "FULL", "TIMEOUT", "CONNECT_FAILED", "RESET", "CANCELLED", "MOOT"]
    assert list(outbox.counts) == counted


# Structs ------------------------------------------------------------------------------------------------


def type_text(kind: inspect.Type) -> str:
    """A type by what is encoded: names of classes, and of fields that are encoded as an array, are left out."""
    if isinstance(kind, inspect.StructType):
        return struct_text(kind)
    if isinstance(kind, inspect.EnumType):
        return f"one of {[member.value for member in kind.cls]}"
    if isinstance(kind, inspect.LiteralType):
        return f"one of {list(kind.values)}"
    if isinstance(kind, inspect.UnionType):
        return " | ".join(sorted(type_text(part) for part in kind.types))
    parts: list[inspect.Type] = []
    if isinstance(kind, inspect.DictType):
        parts = [kind.key_type, kind.value_type]
    elif isinstance(kind, inspect.TupleType):
        parts = list(kind.item_types)
    elif isinstance(kind, inspect.CollectionType):
        parts = [kind.item_type]
    name = type(kind).__name__.removesuffix("Type").lower()
    return f"{name}[{', '.join(type_text(part) for part in parts)}]" if parts else name


def struct_text(struct: inspect.StructType) -> str:
    tag = f"{struct.tag_field}={struct.tag!r} " if struct.tag_field else ""
    optional = " without defaults" if struct.cls.__struct_config__.omit_defaults else ""
    fields = [
        ("" if struct.array_like else f"{field.encode_name}: ")
        + type_text(field.type)
        + ("" if field.required else "?")
        for field in struct.fields
    ]
    return ("array" if struct.array_like else "map") + f"{optional} ({tag}{', '.join(fields)})"


def subclasses(kind: type[Any]) -> Iterator[type[Any]]:
    for subclass in kind.__subclasses__():
        yield subclass
        yield from subclasses(subclass)


def test_the_encoded_form_of_each_struct() -> None:
    for module in pkgutil.walk_packages(martenstep.__path__, "martenstep."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    structs = [kind for kind in subclasses(msgspec.Struct) if kind.__module__.startswith("martenstep.")]
    described = [inspect.type_info(kind) for kind in structs]
    assert_stored("structs.txt", iter(sorted(type_text(kind) for kind in described)))


def test_the_fields_of_a_breach_in_a_result() -> None:
    breach = rules.Violation("a", "b", "c", (1,), (2.0,))
    written = json.dumps(msgspec.to_builtins(breach))
    assert written == '{"rule": "a", "text": "b", "rid": "c", "servers": [1], "times": [2.0]}'
