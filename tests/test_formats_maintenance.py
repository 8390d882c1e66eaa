"""The maintenance queue's formats: bytes of entries, leader requests and snapshot, JSON of the view, metric names.

The files under `formats/membership/` were written by the code before its identifiers were renamed; no test writes them.
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

from martenstep.cli import maintenance as maintenance_cli
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
from martenstep.maintenance.protocol import GetQueue, LeaderRequest, MachineReport, QueueView, build_view
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
LEADER_REQUESTS: dict[str, LeaderRequest] = {
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
# The leader's time and the command of each entry, in the order of application.
ENTRIES: tuple[tuple[float, Command], ...] = (
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


def read_format(name: str) -> Any:
    return json.loads((FORMATS / name).read_bytes())


def apply_entries() -> tuple[MaintenanceQueue, list[CommandResult]]:
    queue = MaintenanceQueue()
    return queue, [queue.apply(encode_entry(time_ms, command)) for time_ms, command in ENTRIES]


@pytest.mark.parametrize("kind", COMMANDS)
def test_each_command_keeps_its_bytes_as_an_entry_and_its_json(kind: str) -> None:
    expected = read_format("entries.json")[kind]
    body = bytes.fromhex(expected["entry"])
    assert encode_entry(12.5, COMMANDS[kind]) == body
    assert msgspec.msgpack.decode(body, type=QueueEntry) == QueueEntry(12.5, COMMANDS[kind])
    assert msgspec.json.encode(COMMANDS[kind]).decode() == expected["json"]
    assert msgspec.json.decode(expected["json"], type=Command) == COMMANDS[kind]  # as the admin page decodes it


@pytest.mark.parametrize("kind", LEADER_REQUESTS)
def test_each_request_to_the_queues_leader_keeps_its_bytes(kind: str) -> None:
    body = bytes.fromhex(read_format("questions.json")[kind])
    assert msgspec.msgpack.encode(LEADER_REQUESTS[kind]) == body
    assert msgspec.msgpack.decode(body, type=LeaderRequest) == LEADER_REQUESTS[kind]


def test_a_command_result_keeps_its_bytes_and_its_json() -> None:
    expected = read_format("answers.json")
    for name, result in (("bare", CommandResult(True)), ("whole", CommandResult(False, "it is not that", REQUEST))):
        assert msgspec.msgpack.encode(result).hex() == expected[name]["bytes"]
        assert msgspec.json.encode(result).decode() == expected[name]["json"]
        assert msgspec.json.decode(expected[name]["json"], type=CommandResult) == result


def test_the_snapshot_and_the_results_of_all_entries_keep_their_form() -> None:
    body = (FORMATS / "maintenance.snapshot").read_bytes()
    queue, results = apply_entries()
    assert queue.snapshot() == body
    assert [msgspec.to_builtins(result) for result in results] == read_format("play.json")
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


def test_the_values_of_the_request_states() -> None:
    assert [state.value for state in RequestState] == ["waiting", "granted", "out", "coming", "ended"]


class FakeReplicaManager:
    """A replica manager that holds at most one replica of the queue."""

    def __init__(self, queue: MaintenanceQueue | None) -> None:
        self.leader_handlers: dict[str, Any] = {}
        self._queue = queue

    def replica(self, group: str) -> Any:
        assert group == "orders" == QUEUE_GROUP
        return SimpleNamespace(state_machine=self._queue) if self._queue is not None else None


def test_the_admin_page_and_the_metrics_keep_their_names() -> None:
    queue, _ = apply_entries()
    view = build_view(queue, "m0")

    class FakeCoordinator:
        async def submit(self, command: Command) -> CommandResult:
            assert command == COMMANDS["start"]
            return CommandResult(False, "it is not that", REQUEST)

        async def fetch(self) -> QueueView:
            return view

    def make_coordinator(queue: MaintenanceQueue | None) -> MaintenanceCoordinator:
        replica_manager = cast(Any, FakeReplicaManager(queue))
        instance = LocalInstance("m0", "a", 1.0, lambda: True, lambda request: None)
        return MaintenanceCoordinator(instance, replica_manager, lambda: [], lambda event, fields: None)

    assert make_coordinator(None).gauges() == {}
    admin = AdminListener(GatewayCollector(dict, make_coordinator(queue).gauges), lambda: True)
    admin.maintenance = FakeCoordinator()
    status, content_type, body = asyncio.run(admin.respond("GET", "/maintenance", ""))
    assert (status, content_type) == (200, "application/json")
    assert body == (FORMATS / "maintenance-page.json").read_bytes()
    assert msgspec.json.decode(body, type=QueueView) == view
    query = "what=" + read_format("entries.json")["start"]["json"]
    status, content_type, body = asyncio.run(admin.respond("POST", "/maintenance", query))
    assert (status, content_type) == (200, "application/json")
    assert body.decode() == read_format("answers.json")["whole"]["json"]
    assert admin.respond_status("/metrics")[2] == (FORMATS / "maintenance-metrics.txt").read_bytes()


def test_the_command_line_keeps_its_output_and_its_admin_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    page = (FORMATS / "maintenance-page.json").read_bytes()
    sent: list[tuple[str, str]] = []

    def respond(admin: str, method: str, target: str) -> Any:
        sent.append((method, target))
        return json.loads(page) if method == "GET" else {"ok": True}

    monkeypatch.setattr(maintenance_cli, "send_request", respond)
    expected = read_format("maintenance-cli.json")
    for line, printed in expected["printed"].items():
        result = CliRunner().invoke(cli, ["maintenance", *line.split(), "--admin", "h:1"])
        assert (result.exit_code, result.output) == (printed["exit"], printed["output"]), line
    assert [list(request) for request in sent] == expected["asked"]
