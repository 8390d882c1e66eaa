"""The forms of today of the maintenance state: bytes of its entries, questions and snapshot, JSON of its view, names.

The files under `formats/membership/` were written by the text before the renames, and are never written by a test.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from click.testing import CliRunner

from martenstep.cli import maintenance as command
from martenstep.cli.main import cli
from martenstep.maintenance.commands import (
    AbandonRequest,
    CancelRequest,
    Command,
    CommandResult,
    ExtendMaintenance,
    FinishMaintenance,
    QueueEntry,
    SetLimits,
    SetPaused,
    StartMaintenance,
    SubmitRequest,
    Tick,
    encode_entry,
)
from martenstep.maintenance.coordinator import QUEUE_GROUP, LocalInstance, MaintenanceCoordinator
from martenstep.maintenance.model import (
    Machine,
    MaintenanceLimits,
    MaintenanceRequest,
    Observation,
    ReplicaGroup,
    RequestState,
)
from martenstep.maintenance.protocol import GetQueue, MachineReport, Question, QueueView, build_view
from martenstep.maintenance.queue import MaintenanceQueue
from martenstep.proxy.admin import AdminListener, GatewayCollector

FORMATS = Path(__file__).parent / "formats" / "membership"
LIMITS = MaintenanceLimits(3, 2, 0.75, True, False, 1000.0, 2000.0, 3000.0)
MACHINES = tuple(Machine(f"m{number}", "ab"[number % 2], 1.5, number != 5, number == 0) for number in range(6))
GROUPS = (ReplicaGroup("counter-0", ("m1", "m2"), True), ReplicaGroup("counter-1", ("m3", "m4"), False))
COMMANDS: dict[str, Command] = {
    "ask": SubmitRequest("r1", "m1", 5000.0, "kernel", True, 1_700_000_000_000.0, "roll"),
    "ask bare": SubmitRequest("r1", "m1", 5000.0),
    "cancel": CancelRequest("r1"),
    "start": StartMaintenance("r1", 3),
    "done": FinishMaintenance("r1", 3, False, "no disk", True),
    "done bare": FinishMaintenance("r1", 3),
    "extend": ExtendMaintenance("r1", 3, 9000.0),
    "pause": SetPaused(True, "night", "roll"),
    "set limits": SetLimits(LIMITS),
    "sight": Observation(MACHINES, GROUPS, ("a cut",)),
    "give up": AbandonRequest("r1"),
    "tick": Tick(),
}
QUESTIONS: dict[str, Question] = {
    **COMMANDS,
    "report": MachineReport("m1", "a", 1.5, True, GROUPS),
    "look": GetQueue(),
}
REQUEST = MaintenanceRequest(
    "r1",
    "m1",
    5000.0,
    "kernel",
    True,
    7.0,
    "roll",
    4,
    10.0,
    RequestState.RECOVERING,
    3,
    20.0,
    30.0,
    40.0,
    "went wrong: x",
    True,
)
# Times are those of the leader; each is applied in turn.
PLAY: tuple[tuple[float, Command], ...] = (
    (10.0, SetLimits(LIMITS)),
    (20.0, Observation(MACHINES, GROUPS)),
    (30.0, SubmitRequest("r1", "m1", 5000.0, "kernel", True, 1_700_000_000_000.0, "roll")),
    (40.0, SubmitRequest("r2", "m2", 5000.0, plan="roll")),
    (50.0, SubmitRequest("r3", "m3", 5000.0, plan="other")),
    (60.0, SubmitRequest("r0", "m0", 600.0, reason="x" * 300)),
    (65.0, SubmitRequest("r9", "m9", 600.0)),
    (70.0, StartMaintenance("r1", 1)),
    (80.0, StartMaintenance("r1", 9)),
    (90.0, Observation(tuple(msgspec.structs.replace(one, healthy=one.name != "m1") for one in MACHINES), GROUPS)),
    (100.0, ExtendMaintenance("r1", 1, 20_000.0)),
    (110.0, FinishMaintenance("r1", 1, False, "no disk")),
    (120.0, SetPaused(True, "", "")),
    (130.0, SetPaused(True, "later", "other")),
    (140.0, CancelRequest("r0")),
    (150.0, Observation(MACHINES, GROUPS, ("one is filled",))),
    (160.0, AbandonRequest("r1")),
    (170.0, Tick()),
)


def stored(name: str) -> Any:
    return json.loads((FORMATS / name).read_bytes())


def played() -> tuple[MaintenanceQueue, list[CommandResult]]:
    book = MaintenanceQueue()
    return book, [book.apply(encode_entry(at, what)) for at, what in PLAY]


@pytest.mark.parametrize("kind", COMMANDS)
def test_each_command_keeps_its_bytes_as_an_entry_and_its_json(kind: str) -> None:
    expected = stored("entries.json")[kind]
    body = bytes.fromhex(expected["entry"])
    assert encode_entry(12.5, COMMANDS[kind]) == body
    assert msgspec.msgpack.decode(body, type=QueueEntry) == QueueEntry(12.5, COMMANDS[kind])
    assert msgspec.json.encode(COMMANDS[kind]).decode() == expected["json"]
    assert msgspec.json.decode(expected["json"], type=Command) == COMMANDS[kind]  # as the admin page takes it


@pytest.mark.parametrize("kind", QUESTIONS)
def test_each_question_between_doors_keeps_its_bytes(kind: str) -> None:
    body = bytes.fromhex(stored("questions.json")[kind])
    assert msgspec.msgpack.encode(QUESTIONS[kind]) == body
    assert msgspec.msgpack.decode(body, type=Question) == QUESTIONS[kind]


def test_an_answer_keeps_its_bytes_and_its_json() -> None:
    expected = stored("answers.json")
    for name, answer in (("bare", CommandResult(True)), ("whole", CommandResult(False, "it is not that", REQUEST))):
        assert msgspec.msgpack.encode(answer).hex() == expected[name]["bytes"]
        assert msgspec.json.encode(answer).decode() == expected[name]["json"]
        assert msgspec.json.decode(expected[name]["json"], type=CommandResult) == answer


def test_the_state_is_read_and_written_as_before() -> None:
    body = (FORMATS / "maintenance.snapshot").read_bytes()
    book, answers = played()
    assert book.snapshot() == body
    assert [msgspec.to_builtins(answer) for answer in answers] == stored("play.json")
    restored = MaintenanceQueue()
    restored.restore(body)
    assert restored.snapshot() == body
    assert (restored.now_ms, restored.limits, restored.paused) == (170.0, LIMITS, "paused")
    assert restored.paused_plans == {"roll": "m1 went wrong: no disk", "other": "later"}
    assert restored.observation == Observation(MACHINES, GROUPS, ("one is filled",)) and restored.observed_ms == 150.0
    assert list(restored.requests) == ["r1", "r2", "r3", "r0"]
    first = restored.requests["r1"]
    assert first == MaintenanceRequest(
        "r1",
        "m1",
        5000.0,
        "kernel",
        True,
        1_700_000_000_000.0,
        "roll",
        1,
        30.0,
        RequestState.ENDED,
        1,
        150.0,
        1070.0,
        22_100.0,
        "went wrong: no disk",
        True,
    )
    restored.apply(encode_entry(200.0, SetPaused(False)))
    restored.apply(encode_entry(210.0, Observation(MACHINES, GROUPS)))
    assert restored.requests["r3"].token == 0 and restored.requests["r2"].number == 2


def test_the_names_of_the_states() -> None:
    assert [state.value for state in RequestState] == ["waiting", "granted", "out", "coming", "ended"]


class FakeKeeper:
    """A keeper that holds one copy of the state."""

    def __init__(self, book: MaintenanceQueue | None) -> None:
        self.leader_handlers: dict[str, Any] = {}
        self._book = book

    def replica(self, group: str) -> Any:
        assert group == "orders" == QUEUE_GROUP
        return SimpleNamespace(state_machine=self._book) if self._book is not None else None


def test_the_admin_page_and_the_metrics_keep_their_names() -> None:
    book, _ = played()
    view = build_view(book, "m0")

    class Told:
        async def submit(self, what: Command) -> CommandResult:
            assert what == COMMANDS["start"]
            return CommandResult(False, "it is not that", REQUEST)

        async def fetch(self) -> QueueView:
            return view

    def orders(book: MaintenanceQueue | None) -> MaintenanceCoordinator:
        keeper = cast(Any, FakeKeeper(book))
        instance = LocalInstance("m0", "a", 1.0, lambda: True, lambda request: None)
        return MaintenanceCoordinator(instance, keeper, lambda: [], lambda event, more: None)

    assert orders(None).gauges() == {}
    admin = AdminListener(GatewayCollector(dict, orders(book).gauges), lambda: True)
    admin.maintenance = Told()
    status, kind, body = asyncio.run(admin.respond("GET", "/maintenance", ""))
    assert (status, kind) == (200, "application/json") and body == (FORMATS / "maintenance-page.json").read_bytes()
    assert msgspec.json.decode(body, type=QueueView) == view
    asked = "what=" + stored("entries.json")["start"]["json"]
    status, kind, body = asyncio.run(admin.respond("POST", "/maintenance", asked))
    assert (status, kind) == (200, "application/json") and body.decode() == stored("answers.json")["whole"]["json"]
    assert admin.respond_status("/metrics")[2] == (FORMATS / "maintenance-metrics.txt").read_bytes()


def test_what_the_command_line_prints_is_as_before(monkeypatch: pytest.MonkeyPatch) -> None:
    page = (FORMATS / "maintenance-page.json").read_bytes()
    asked: list[tuple[str, str]] = []

    def answer(admin: str, method: str, target: str) -> Any:
        asked.append((method, target))
        return json.loads(page) if method == "GET" else {"ok": True}

    monkeypatch.setattr(command, "send_request", answer)
    expected = stored("maintenance-cli.json")
    for line, printed in expected["printed"].items():
        done = CliRunner().invoke(cli, ["maintenance", *line.split(), "--admin", "h:1"])
        assert (done.exit_code, done.output) == (printed["exit"], printed["output"]), line
    assert [list(one) for one in asked] == expected["asked"]
