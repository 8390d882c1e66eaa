"""Settings: every problem is reported with its file, line, column and field, and all problems are reported together."""

from __future__ import annotations

import importlib
from pathlib import Path

import pytest
from google.protobuf import text_format
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.config import door_pb2 as pb
from martenstep.config.generate import ROOT, generate
from martenstep.config.loading import load_door, parse_door
from martenstep.config.policy_settings import build_policy_settings, customer_id
from martenstep.config.text_format import SettingsError
from martenstep.policy.messages import DeduplicationScope, Idempotency
from tests.engine_rig import SETTINGS


def reported_problems(text: str) -> list[str]:
    """The lines of the error that invalid settings raise."""
    with pytest.raises(SettingsError) as caught:
        parse_door(text, "d")
    return str(caught.value).split("\n")


def test_the_generated_code_is_current(tmp_path: Path) -> None:
    for generated in generate(tmp_path):
        committed = ROOT / generated.relative_to(tmp_path)
        assert generated.read_text() == committed.read_text(), f"run python -m martenstep.config.generate ({committed})"


def test_settings_are_translated_to_those_of_the_policy() -> None:
    built = build_policy_settings(parse_door(SETTINGS, "d"))
    assert (built.instance, built.instances, built.max_attempts, built.has_counter) == (0, 2, 3, True)
    write = built.classes[1]
    assert (write.idempotency, write.deduplication_scope, write.deduplication_window_ms) == (
        Idempotency.KEYED,
        DeduplicationScope.ZONE,
        3000.0,
    )
    assert built.plans[0].burst == 20.0 and built.counter_timeout_ms == 50.0


def line_and_column(text: str, marked: str) -> str:
    """Line and column of the position that `|` marks in an excerpt of the text."""
    before, _, after = marked.partition("|")
    assert text.count(before + after) == 1, marked
    position = text.index(before + after) + len(before)
    return f"{text.count(chr(10), 0, position) + 1}:{position - text.rfind(chr(10), 0, position)}"


@pytest.mark.parametrize(
    ("old", "new", "marked", "problem"),
    [
        ('zone: "a"', "zone: 3", "zone: |3", "zone: expected a string in quotes, got 3"),
        (
            "instances: 2",
            "instances: -2",
            "instances: |-2",
            "instances: expected a whole number from 0 to 4294967295, got -2",
        ),
        (
            "instances: 2",
            "instances: two",
            "instances: |two",
            "instances: expected a whole number from 0 to 4294967295, got two",
        ),
        ("instance: 0", "instance: 5", "|instance: 5", "instance: expected below instances of 2, got 5"),
        ("store {", "stroe {", "|stroe {", "stroe: there is no such field in Door"),
        (
            "effect: UNSAFE",
            "effect: RISKY",
            "|RISKY",
            "class[2].effect: expected one of SAFE, KEYED, UNSAFE, got RISKY",
        ),
        (
            "rate: 10 burst: 20",
            "rate: 10",
            '|plan { name: "plain"',
            "plan[0].burst: missing, expected above 0 where there is a rate",
        ),
        ("rate: 10 burst: 20", "rate: nan burst: 20", "|nan", "plan[0].rate: expected a finite number, got nan"),
        (
            'class { name: "read" aim_ms: 1000 deadline_ms: 4000 }',
            'class { name: "read" aim_ms: 1000 }',
            '|class { name: "read"',
            "class[0].deadline_ms: missing, expected above 0",
        ),
        (
            '"read" aim_ms: 1000',
            '"read" aim_ms: 9000',
            "|aim_ms: 9000",
            "class[0].aim_ms: expected no more than the deadline of 4000, got 9000",
        ),
        ("window_ms: 3000", "window_ms: 0", "|window_ms: 0", "class[1].window_ms: expected above 0, got 0"),
        (
            "members { port: 1 }",
            "members { port: 70000 }",
            "|port: 70000",
            "members.port: expected a port from 1 to 65535, got 70000",
        ),
        ("members { port: 1 }", "", '|\nname: "door-0"', "members: missing: a gateway needs a feed of its endpoints"),
        (
            "timeout_ms: 50",
            "timeout_ms: 5000",
            "|timeout_ms: 5000",
            "store.timeout_ms: expected below the shortest deadline of 4000, got 5000",
        ),
        (
            "store { port: 1 timeout_ms: 50 }",
            "store { topology: CLUSTER node { port: 2 } port: 1 timeout_ms: 50 }",
            "|port: 1 timeout_ms",
            "store.port: given beside topology CLUSTER, which uses node instead",
        ),
        (
            "store { port: 1 timeout_ms: 50 }",
            "store { topology: CLUSTER timeout_ms: 50 }",
            "|store { topology",
            "store.node: missing: at least one is needed",
        ),
        (
            "store { port: 1 timeout_ms: 50 }",
            "store { topology: SENTINEL node { port: 2 } timeout_ms: 50 }",
            "|store { topology",
            "store.primary_name: missing or empty",
        ),
        (
            "store { port: 1 timeout_ms: 50 }",
            "store { topology: CLUSTER node { port: 2 } database: 3 timeout_ms: 50 }",
            "|database: 3",
            "store.database: expected 0, got 3: a Redis Cluster has only database 0",
        ),
        (
            "store { port: 1 timeout_ms: 50 }",
            "store { port: 1 node { port: 2 } timeout_ms: 50 }",
            "|node { port: 2 }",
            "store.node[0]: given beside topology ALONE, which uses host and port instead",
        ),
        (
            "store { port: 1 timeout_ms: 50 }",
            'store { port: 1 password_file: "none" timeout_ms: 50 }',
            '|password_file: "none"',
            "store.password_file: expected an existing file, but there is no file 'none'",
        ),
        (
            "store { port: 1 timeout_ms: 50 }",
            'store { port: 1 user: "door" timeout_ms: 50 }',
            '|user: "door"',
            "store.user: given without password_file; a user needs a password",
        ),
        (
            "store { port: 1 timeout_ms: 50 }",
            "store { port: 1 gather_ms: 40 timeout_ms: 50 }",
            "|gather_ms: 40",
            "store.gather_ms: expected from 0 to 25, got 40",
        ),
        (
            "max_attempts: 3",
            "max_attempts: 3 error_status: 200",
            "|error_status: 200",
            "upstream.error_status[0]: expected a status from 400 to 599, got 200",
        ),
        (
            'plan { name: "open" }',
            'plan { name: "open" } plan { name: "plain" }',
            '|name: "plain" }',
            "plan[2].name: 'plain' is taken by the entry at line 10",
        ),
        (
            'customer { key: "free" plan: "open" }',
            'customer { key: "free" plan: "oepn" }',
            '|plan: "oepn"',
            "customer[1].plan: no plan is named 'oepn' (there are: open, plain)",
        ),
        (
            'class: "pay"',
            'class: "play"',
            '|class: "play"',
            "route[2].class: no class is named 'play' (there are: pay, read, write)",
        ),
        ("units: 2", "units: 9", "|units: 9", "route[2].units: expected no more than max_units of 4, got 9"),
        (
            'path_prefix: "/pay/"',
            'path_prefix: "pay/"',
            '|path_prefix: "pay/"',
            "route[2].path_prefix: expected a path that begins with '/', got 'pay/'",
        ),
        (
            'method: "POST"',
            'method: "FETCH"',
            '|method: "FETCH"',
            "route[1].method[0]: expected one of GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH, got 'FETCH'",
        ),
        (
            "customer_segment: 2",
            'customer_segment: 2 customer_header: "x"',
            '|customer_header: "x" ',
            "route[1].customer_header: given beside customer_segment; only one of them may be set",
        ),
        (
            'customer { key: "free" plan: "open" }',
            'customer { key: "anna" plan: "open" }',
            '|key: "anna" plan: "open"',
            "customer[1].key: 'anna' is taken by the entry at line 12",
        ),
        (
            "answer_slack_ms: 8",
            "answer_slack_ms: 8 cold_from: 2",
            "|cold_from: 2",
            "rules.cold_from: expected from 0 to 1, got 2",
        ),
        (
            "answer_slack_ms: 8",
            "warm_within_ms: 8",
            "|rules {",
            "rules.fall_window_ms: missing, expected above 0 where warm_within_ms is set",
        ),
        ('name: "door-0"', 'name: "door-0" name: "door-1"', '|name: "door-1"', "name: given twice"),
        ("rules {", "rules (", "rules |(", "rules: expected ':' or '{', got '('"),
        (
            "rules { answer_slack_ms: 8 }",
            "rules { answer_slack_ms: 8",
            "answer_slack_ms: 8\n|",
            "rules: expected a field or '}', got 'the end of the file'",
        ),
    ],
)
def test_each_problem_is_reported_in_one_line_with_its_position_and_field(
    old: str, new: str, marked: str, problem: str
) -> None:
    assert SETTINGS.count(old) == 1
    text = SETTINGS.replace(old, new)
    assert reported_problems(text) == [f"d:{line_and_column(text, marked)}: {problem}"]


def test_all_problems_are_reported_not_just_the_first() -> None:
    text = (
        SETTINGS.replace('zone: "a"', "zone: 1")
        .replace("port: 1 timeout", "prot: 1 timeout")
        .replace("deadline_ms: 4000 effect: UNSAFE", 'deadline_ms: "long" effect: UNSAFE')
    )
    assert [line.split(": ")[1] for line in reported_problems(text)] == ["zone", "store.prot", "class[2].deadline_ms"]
    assert len(reported_problems("")) >= 6


def test_a_file_that_cannot_be_read_is_reported(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="No such file"):
        load_door(tmp_path / "none.txtpb")
    (tmp_path / "latin.txtpb").write_bytes(b'name: "\xff"')
    with pytest.raises(SettingsError, match="not UTF-8 at byte 7"):
        load_door(tmp_path / "latin.txtpb")
    with pytest.raises(SettingsError, match="directory"):
        load_door(tmp_path)


def test_written_settings_are_read_back_unchanged() -> None:
    door = parse_door(SETTINGS, "d")
    assert parse_door(text_format.MessageToString(door), "d") == door


def test_comments_lists_and_alternative_spellings_of_text_format_are_read() -> None:
    text = SETTINGS.replace("upstream {", "upstream < # comment }\n error_status: [500,\n 502] error_status: 0x1F6;")
    text = text.replace("connect_ms: 200 }", "connect_ms: 2e2 >").replace('"door-0"', "'door' \"-0\"")
    door = parse_door(text, "d")
    assert list(door.upstream.error_status) == [500, 502, 502] and door.upstream.connect_ms == 200.0
    assert door.name == "door-0"


@given(st.text(alphabet="ab:{}<>[]\"'\\ \n0159.-#,;_x", max_size=80))
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_arbitrary_text_raises_only_a_settings_error(text: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_door(text, "d")
    assert all(line.startswith("d:") for line in str(caught.value).split("\n"))


@given(st.sampled_from(SETTINGS.split()), st.sampled_from(["", "}", "{", '"', "-1", "1e400", "nan", "[", "x: 1"]))
@hypo(max_examples=300, deadline=None, derandomize=True)
def test_a_damaged_valid_file_raises_only_a_settings_error(word: str, other: str) -> None:
    try:
        door = parse_door(SETTINGS.replace(word, other), "d")
    except SettingsError as error:
        assert error.problems
    else:
        build_policy_settings(door)  # settings that pass the checks must be usable


def test_a_customers_number_depends_only_on_its_key() -> None:
    assert customer_id("anna") == customer_id("anna") < 1 << 33
    assert len({customer_id(f"c{n}") for n in range(10_000)}) == 10_000


def test_the_protobuf_compiler_is_imported_only_when_code_is_generated() -> None:
    source = (ROOT / "martenstep/config/generate.py").read_text()
    assert "import grpc_tools" not in source and importlib.util.find_spec("grpc_tools")
    assert pb.Door().listener.head_bytes == 16384
