"""Scenarios: their checks, the settings and schedules made from them, taps turned into them, and one real run."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.config.loading import parse_door
from martenstep.config.text_format import SettingsError
from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import (
    customers_of,
    format_settings,
    gateway_settings,
    length_ms,
    load_scenario,
    parse_scenario,
    schedule,
    server_settings,
    targets_of,
)
from martenstep.lab.play import COMMANDED_FAULTS, Process, ScenarioRunner
from martenstep.lab.tap import TapError, scenario_from_tap

ROOT = Path(__file__).resolve().parent.parent
SCENARIO = """
name: "small" seed: 3 fleet { doors: 3 servers: 4 slow_share: 0.5 }
class { name: "read" aim_ms: 500 deadline_ms: 2000 }
class { name: "write" aim_ms: 500 deadline_ms: 2000 effect: KEYED window_ms: 1000 }
work { class: "read" share: 3 }
work { class: "write" share: 1 units: 2 body_bytes: 10 }
plan { name: "basic" rate: 2 burst: 4 }
plan { name: "studio" rate: 5 burst: 9 ceiling_rate: 9 ceiling_burst: 12 ceiling_slack: 2 }
customers { plan: "basic" number: 20 share: 1 doors: 2 once_share: 0.1 }
customers { plan: "studio" number: 3 share: 1 doors: 3 skew: 1 }
phase { for_ms: 20000 rate: 50 }
phase { for_ms: 10000 rate: 150 only_plan: "studio" }
phase { for_ms: 10000 rate: 50 only_plan: "studio" hot_share: 0.5 }
clients { leave_share: 0.1 }
"""


def test_every_scenario_of_the_repository_loads() -> None:
    scenarios = sorted((ROOT / "days").glob("*.txtpb"))
    assert scenarios
    assert all(load_scenario(path).name == path.stem for path in scenarios)


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('class: "write"', 'class: "wriet"', "work[1].class: no class is named 'wriet'"),
        ("doors: 3 servers", "doors: 3000 servers", "fleet.doors: expected from 1 to 2000, got 3000"),
        ("number: 3", "number: 0", "customers[1].number: expected from 1 to 1e+06, got 0"),
        (
            "number: 20 share: 1 doors: 2",
            "number: 20 share: 1 doors: 9",
            "customers[0].doors: expected from 1 to 3, got 9",
        ),
        ("for_ms: 20000", "for_ms: 0", "phase[0].for_ms: expected above 0"),
        ('only_plan: "studio" hot_share', "hot_share", "phase[2].only_plan: missing"),
        (
            "clients {",
            "event { at_ms: 99000 trouble: STORE_EMPTIED }\nclients {",
            "event[0].at_ms: expected from 0 to 40000",
        ),
        (
            "clients {",
            "event { at_ms: 9 trouble: DOOR_KILLED target: 7 for_ms: 1 }\nclients {",
            "event[0].target[0]: expected below 3",
        ),
        ("clients {", "event { at_ms: 9 trouble: STORE_PAUSED }\nclients {", "event[0].for_ms: missing"),
        ("clients {", "event { at_ms: 9 }\nclients {", "event[0].trouble: missing"),
        ("clients {", "event { at_ms: 9 trouble: SERVER_CLASS_FAILS }\nclients {", "event[0].class: missing"),
        ("clients {", 'clients { abuse_plan: "gold" ', "clients.abuse_plan: no plan is named 'gold'"),
    ],
)
def test_each_error_in_a_scenario_is_reported(old: str, new: str, expected: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_scenario(SCENARIO.replace(old, new, 1), "day")
    assert expected in str(caught.value)


def test_each_fault_is_injected_in_one_way_and_affects_its_own_targets() -> None:
    for name, trouble in pb.Trouble.items():
        if trouble not in (pb.NONE, pb.NET_CUT):  # network cuts are only emulated
            assert (trouble in COMMANDED_FAULTS) != hasattr(ScenarioRunner, f"_{name.lower()}"), name
    scenario = parse_scenario(SCENARIO, "small")
    scenario.auth_services.number = 3
    for trouble, targets in (
        (pb.DOOR_KILLED, [0, 1]),
        (pb.SERVER_SLOW, [0, 1]),
        (pb.ANSWERS_LOST, [0, 1]),
        (pb.AUTH_DOWN, [0, 1, 2]),
        (pb.STORE_DOWN, []),
        (pb.FEED_DOWN, []),
    ):
        assert targets_of(scenario, pb.Event(trouble=trouble, count=2)) == targets
    assert targets_of(scenario, pb.Event(trouble=pb.AUTH_DOWN, target=[2])) == [2]


def test_the_schedule_is_reproducible_and_follows_the_phases() -> None:
    scenario = parse_scenario(SCENARIO, "day")
    planned = list(schedule(scenario))
    assert planned == list(schedule(scenario))
    scenario.seed = 4
    assert planned != list(schedule(scenario))
    times = [p.at_ms for p in planned]
    assert times == sorted(times) and times[-1] < length_ms(scenario) == 40_000
    first = [p for p in planned if p.at_ms < 20_000]
    burst = [p for p in planned if 20_000 <= p.at_ms < 30_000]
    hot = [p for p in planned if p.at_ms >= 30_000]
    assert 850 < len(first) < 1150 and 1350 < len(burst) < 1650
    assert 0.4 < sum(p.customer.startswith("studio") for p in first) / len(first) < 0.6
    assert sum(p.customer.startswith("studio") for p in burst) / len(burst) > 0.75  # the other requests are as before
    assert Counter(p.customer for p in hot)["studio-1-0"] / len(hot) > 0.5
    assert 0.2 < sum(p.cls == "write" for p in planned) / len(planned) < 0.3
    assert all(p.units == (2 if p.cls == "write" else 1) for p in planned)
    assert 0.05 < sum(p.leave_ms > 0 for p in planned) / len(planned) < 0.15
    assert any(p.customer.startswith("basic-once-") for p in planned)


def test_each_customer_uses_its_own_gateways() -> None:
    scenario = parse_scenario(SCENARIO, "day")
    own = {customer.key: set(customer.gateways) for group in customers_of(scenario) for customer in group}
    for planned in schedule(scenario):
        assert set(planned.doors) == own.get(planned.customer, {0, 1, 2})
    assert {len(doors) for key, doors in own.items() if key.startswith("basic")} == {2}


def test_the_settings_of_gateways_and_servers_are_valid() -> None:
    scenario = parse_scenario(SCENARIO, "day")
    door = gateway_settings(scenario, 2, {"listener": 1, "admin": 2, "store": 3, "feed": 4}, Path("/tmp/x"))
    assert parse_door(format_settings(door), "door") == door
    assert (door.instance, door.instances, len(door.customer), door.max_units) == (2, 3, 23, 2.0)
    assert [server_settings(scenario, n, False, 0).speed for n in range(4)] == [1 / 1.7, 1 / 1.7, 1.0, 1.0]
    assert server_settings(scenario, 0, True, 0).work["write"].key_window_ms == 1000.0


# Taps ---------------------------------------------------------------------------------------------------

PARAMS = {
    "classes": [
        {"name": "get", "slo_ms": 900.0, "deadline_ms": 3000.0, "idempotency": "idempotent", "worth": 1.0},
        {
            "name": "put",
            "slo_ms": 900.0,
            "deadline_ms": 3000.0,
            "idempotency": "deduplicated",
            "group": "zone",
            "window_ms": 2000.0,
        },
    ],
    "contracts": [
        {
            "name": "small",
            "units_per_s": 1.0,
            "most_at_once": 4.0,
            "open": 0,
            "worth_factor": 1.0,
            "over_worth": 0.0,
            "beyond_costs": 1.0,
            "hard_rate": 0.0,
            "cap_depth": 0.0,
            "tolerance": 0.0,
        }
    ],
    "rules": {
        "answer_slack_ms": 8.0,
        "drain_grace_ms": 900.0,
        "cold_from": 0.3,
        "warm_within_ms": 4000.0,
        "fall_multiple": 3.0,
        "overload_for_ms": 1000.0,
    },
    "policy_limits": {"try_limit": 4, "cancelling": True},
    "family_info": {"counter_timeout_ms": 70.0},
}


def tap() -> list[str]:
    """Ten seconds: a gateway ends, a server is silent and comes back, one drains, and counter calls time out."""
    lines = [
        ">> process 0, 35 bytes",
        "BATCH t_ms=5000.0",
        *(f"UP door=door/{n} init_seed=1 params={json.dumps(PARAMS)}" for n in (0, 1)),
        "TABLE roster_id=0 entries=2",
        "BACKEND backend=11 zone=z kind=k cohort=0 condition=U",
        "BACKEND backend=22 zone=z kind=k cohort=0 condition=U",
        "UPDATE door=door/0 scope=warm_copy index=1 roster_id=0",
        "YOUR_TURN",
        "<< process 0, 6 bytes",
        "READY",
    ]
    for step in range(100):
        now = 5000.0 + 100 * step
        lines += [
            f"BATCH t_ms={now}",
            f"QUERY door=door/0 rid={step:016x} cls={'put' if step % 4 == 0 else 'get'} "
            f"grade_of_service=small caller={step % 7} remaining_ms=900 cost_units=1 spread=2",
        ]
        lines.append(
            f"COMPLETED door=door/0 rid={step:016x} hop=0 backend=11 rtt_ms=9 ended=1 "
            f"verdict={'TimedOut' if 30 <= step < 50 else 'Ok'}"
        )
        lines.append(f"TOTAL door=door/0 cname=9 rtt_ms=1 verdict={'TimedOut' if 60 <= step < 70 else 'Ok'}")
        if step == 20:
            lines.append("DETACH door=door/1")
        if step == 40:
            lines.append(f"UP door=door/1 init_seed=2 params={json.dumps(PARAMS)}")
        if step in (55, 75):
            born = "" if step == 55 else " born_ms=12400.0"
            lines += [
                "TABLE roster_id=1 entries=1",
                f"BACKEND backend=22 zone=z kind=k cohort=0 condition={'L' if step == 55 else 'U'}{born}",
            ]
        lines += ["YOUR_TURN", "READY"]
    return lines


def test_a_tap_becomes_a_scenario_with_the_same_faults() -> None:
    scenario = scenario_from_tap(tap(), "mine", rate=20.0, servers=10, doors=3)
    parse_scenario(scenario_text(scenario), "day")  # it passes every check
    assert (scenario.fleet.doors, scenario.fleet.servers) == (2, 2)
    assert sum(phase.for_ms for phase in scenario.phase) == 10_000
    assert all(abs(phase.rate - 20.0) < 1.0 for phase in scenario.phase)
    assert [getattr(work, "class") for work in scenario.work] == ["get", "put"] and scenario.work[1].share == 0.25
    assert scenario.plan[0].burst == 4.0 and scenario.upstream.max_attempts == 4 and scenario.store_timeout_ms == 70.0
    found = {(event.trouble, event.at_ms, event.for_ms, tuple(event.target)) for event in scenario.event}
    assert found == {
        (pb.DOOR_KILLED, 2000.0, 2000.0, (1,)),
        (pb.SERVER_SILENT, 3000.0, 2000.0, (0,)),
        (pb.SERVER_RESTARTED, 5500.0, 2000.0, (1,)),
        (pb.STORE_PAUSED, 6000.0, 1000.0, ()),
    }


def scenario_text(scenario: pb.Day) -> str:
    from google.protobuf import text_format

    return text_format.MessageToString(scenario)


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([], "not a tap"),
        (["QUERY door=1"], "line 1: 'QUERY' before the first BATCH"),
        (["BATCH t_ms=1", "QUERY door=1"], "line 2: no field grade_of_service"),
        (["BATCH t_ms=soon"], "line 1: could not convert"),
        (["BATCH nonsense"], "line 1: expected name=value"),
    ],
)
def test_an_invalid_tap_is_reported_with_its_line(lines: list[str], expected: str) -> None:
    with pytest.raises(TapError, match=expected):
        scenario_from_tap(lines, "x", 10.0, 3, 3)


# Real processes -----------------------------------------------------------------------------------------


def test_a_small_scenario_is_run_and_checked(tmp_path: Path) -> None:
    """All processes are real; the clock slack is wide enough that a busy machine causes no violation."""
    file = tmp_path / "small.txtpb"
    file.write_text("""
name: "small" fleet { doors: 2 servers: 3 feed_lag_ms: 50 }
class { name: "read" aim_ms: 4000 deadline_ms: 8000 }
work { class: "read" least_ms: 5 most_ms: 10 }
plan { name: "basic" rate: 5 burst: 10 }
customers { plan: "basic" number: 5 doors: 2 }
phase { for_ms: 3000 rate: 20 }
event { at_ms: 500 trouble: DOOR_KILLED target: 1 for_ms: 300 }
event { at_ms: 1000 trouble: SERVER_SILENT target: 0 for_ms: 1000 }
event { at_ms: 1000 trouble: STORE_PAUSED for_ms: 300 }
judge_slack_ms: 4000
""")
    out = tmp_path / "out"
    run = CliRunner().invoke(cli, ["day", "run", str(file), "--out", str(out)])
    assert run.exit_code == 0, run.output
    result = json.loads((out / "result.json").read_text())
    assert result["kept"] and result["figures"]["requests"] > 20 and result["figures"]["served"] > 0
    events = [json.loads(line)["what"] for line in (out / "events.jsonl").read_text().splitlines()]
    assert events.count("door down") == events.count("door up") == 1
    checked_again = CliRunner().invoke(cli, ["day", "check", str(out)])
    assert checked_again.exit_code == 0 and checked_again.output == run.output
    # Add an attempt after every answer to the traces, for all servers, as a single one may have served nothing.
    server_lines = [
        json.loads(line) for path in sorted(out.glob("server-*.jsonl")) for line in path.read_text().splitlines()
    ]
    with (out / "server-2.jsonl").open("a") as trace:
        for line in server_lines:
            if line["what"] == "arrive":
                trace.write(json.dumps({**line, "server": 3, "attempt": 1, "t": line["t"] + 60_000}) + "\n")
    violated = CliRunner().invoke(cli, ["day", "check", str(out)])
    assert violated.exit_code == 3 and "BROKEN" in violated.output


def test_a_scenario_does_not_end_before_a_killed_gateway_is_up_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that is cancelled halfway on a busy machine and leaves no trace."""
    started: list[str] = []
    start = Process.start

    async def start_again_slowly(process: Process) -> dict[str, int]:
        if process.name in started:
            await asyncio.sleep(3.0)  # past the end of the scenario and of its clients
        started.append(process.name)
        return await start(process)

    monkeypatch.setattr(Process, "start", start_again_slowly)
    file, out = tmp_path / "short.txtpb", tmp_path / "out"
    file.write_text("""
name: "short" fleet { doors: 2 servers: 2 feed_lag_ms: 50 }
class { name: "read" aim_ms: 4000 deadline_ms: 8000 }
work { class: "read" least_ms: 5 most_ms: 10 }
plan { name: "basic" rate: 5 burst: 10 }
customers { plan: "basic" number: 5 doors: 2 }
phase { for_ms: 1000 rate: 10 }
event { at_ms: 200 trouble: DOOR_KILLED target: 1 for_ms: 100 }
judge_slack_ms: 4000
""")
    run = CliRunner().invoke(cli, ["day", "run", str(file), "--out", str(out)])
    assert run.exit_code == 0, run.output
    events = [json.loads(line)["what"] for line in (out / "events.jsonl").read_text().splitlines()]
    assert events.count("door down") == events.count("door up") == 1


def arrivals(phase_fields: str, rate: float = 200.0, for_ms: float = 120_000.0) -> list[float]:
    """The times of the requests in one long phase."""
    head, tail = SCENARIO.split("phase {", 1)
    text = f"{head}phase {{ for_ms: {for_ms} rate: {rate} {phase_fields} }} clients {{}}"
    assert tail
    return [planned.at_ms for planned in schedule(parse_scenario(text, "day"))]


def counts(moments: list[float], interval_ms: float) -> list[int]:
    """The number of requests in each interval."""
    intervals = Counter(int(at / interval_ms) for at in moments)
    return [intervals[number] for number in range(int(moments[-1] / interval_ms))]


def dispersion(moments: list[float]) -> float:
    """The variance of the counts per second divided by their mean: 1 for a Poisson process."""
    per_second = counts(moments, 1000.0)
    mean = sum(per_second) / len(per_second)
    return sum((count - mean) ** 2 for count in per_second) / len(per_second) / mean


def test_arrivals_are_poisson_modulated_or_swinging_as_the_phase_states() -> None:
    plain = arrivals("")
    assert len(plain) / 120 == pytest.approx(200, rel=0.03) and dispersion(plain) == pytest.approx(1, abs=0.4)
    bursts = arrivals("burst_times: 5 burst_ms: 500 calm_ms: 2000")
    # The mean of the two states' rates weighted by their durations: (2000 + 5 * 500) / 2500 = 1.8.
    assert len(bursts) / 120 == pytest.approx(200 * 1.8, rel=0.12) and dispersion(bursts) > 20
    swinging = arrivals("swing: 0.8 swing_ms: 60000")
    assert len(swinging) / 120 == pytest.approx(200, rel=0.04)
    quarters = counts(swinging, 15_000.0)
    assert quarters[0] > 1.8 * quarters[2] and quarters[4] > 1.8 * quarters[6]  # sin is high, then low, in each minute


def test_modulation_of_one_phase_leaves_the_draws_of_other_phases_unchanged() -> None:
    expected = [planned.customer for planned in schedule(parse_scenario(SCENARIO, "day")) if planned.at_ms < 20_000]
    modulated = parse_scenario(SCENARIO.replace("rate: 150", "rate: 150 burst_times: 3"), "day")
    assert expected == [planned.customer for planned in schedule(modulated) if planned.at_ms < 20_000]
