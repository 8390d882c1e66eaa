"""Days: their checks, what is made of them, taps turned into them; and a small one played for real."""

from __future__ import annotations

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
    door_settings,
    length_ms,
    load_day,
    parse_day,
    schedule,
    server_settings,
    targets_of,
    written,
)
from martenstep.lab.play import STEERED, Stage
from martenstep.lab.tap import TapError, day_from

ROOT = Path(__file__).resolve().parent.parent
DAY = """
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


def test_every_day_of_the_repository_loads() -> None:
    days = sorted((ROOT / "days").glob("*.txtpb"))
    assert days
    assert all(load_day(path).name == path.stem for path in days)


@pytest.mark.parametrize(
    ("old", "new", "told"),
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
def test_what_is_wrong_with_a_day_is_told(old: str, new: str, told: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_day(DAY.replace(old, new, 1), "day")
    assert told in str(caught.value)


def test_each_trouble_is_brought_in_one_way_to_its_own_targets() -> None:
    for name, trouble in pb.Trouble.items():
        if trouble not in (pb.NONE, pb.NET_CUT):  # cuts are emulated only
            assert (trouble in STEERED) != hasattr(Stage, f"_{name.lower()}"), name
    day = parse_day(DAY, "small")
    day.auth_services.number = 3
    for trouble, targets in (
        (pb.DOOR_KILLED, [0, 1]),
        (pb.SERVER_SLOW, [0, 1]),
        (pb.ANSWERS_LOST, [0, 1]),
        (pb.AUTH_DOWN, [0, 1, 2]),
        (pb.STORE_DOWN, []),
        (pb.FEED_DOWN, []),
    ):
        assert targets_of(day, pb.Event(trouble=trouble, count=2)) == targets
    assert targets_of(day, pb.Event(trouble=pb.AUTH_DOWN, target=[2])) == [2]


def test_the_schedule_is_the_same_each_time_and_follows_the_phases() -> None:
    day = parse_day(DAY, "day")
    planned = list(schedule(day))
    assert planned == list(schedule(day))
    day.seed = 4
    assert planned != list(schedule(day))
    times = [p.at_ms for p in planned]
    assert times == sorted(times) and times[-1] < length_ms(day) == 40_000
    first = [p for p in planned if p.at_ms < 20_000]
    burst = [p for p in planned if 20_000 <= p.at_ms < 30_000]
    hot = [p for p in planned if p.at_ms >= 30_000]
    assert 850 < len(first) < 1150 and 1350 < len(burst) < 1650
    assert 0.4 < sum(p.customer.startswith("studio") for p in first) / len(first) < 0.6
    assert sum(p.customer.startswith("studio") for p in burst) / len(burst) > 0.75  # the rest of it is as before
    assert Counter(p.customer for p in hot)["studio-1-0"] / len(hot) > 0.5
    assert 0.2 < sum(p.cls == "write" for p in planned) / len(planned) < 0.3
    assert all(p.units == (2 if p.cls == "write" else 1) for p in planned)
    assert 0.05 < sum(p.leave_ms > 0 for p in planned) / len(planned) < 0.15
    assert any(p.customer.startswith("basic-once-") for p in planned)


def test_each_customer_comes_through_its_own_doors() -> None:
    day = parse_day(DAY, "day")
    own = {customer.key: set(customer.doors) for group in customers_of(day) for customer in group}
    for planned in schedule(day):
        assert set(planned.doors) == own.get(planned.customer, {0, 1, 2})
    assert {len(doors) for key, doors in own.items() if key.startswith("basic")} == {2}


def test_the_settings_of_doors_and_servers_are_good() -> None:
    day = parse_day(DAY, "day")
    door = door_settings(day, 2, {"listener": 1, "admin": 2, "store": 3, "feed": 4}, Path("/tmp/x"))
    assert parse_door(written(door), "door") == door
    assert (door.instance, door.instances, len(door.customer), door.max_units) == (2, 3, 23, 2.0)
    assert [server_settings(day, n, False, 0).speed for n in range(4)] == [1 / 1.7, 1 / 1.7, 1.0, 1.0]
    assert server_settings(day, 0, True, 0).work["write"].key_window_ms == 1000.0


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
    """Ten seconds by hand: a door dies, a server falls silent and comes back, one drains, the counter stands still."""
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


def test_a_tap_becomes_a_day_of_the_same_troubles() -> None:
    day = day_from(tap(), "mine", rate=20.0, servers=10, doors=3)
    parse_day(written_day(day), "day")  # it passes every check
    assert (day.fleet.doors, day.fleet.servers) == (2, 2)
    assert sum(phase.for_ms for phase in day.phase) == 10_000
    assert all(abs(phase.rate - 20.0) < 1.0 for phase in day.phase)
    assert [getattr(work, "class") for work in day.work] == ["get", "put"] and day.work[1].share == 0.25
    assert day.plan[0].burst == 4.0 and day.upstream.max_attempts == 4 and day.store_timeout_ms == 70.0
    found = {(event.trouble, event.at_ms, event.for_ms, tuple(event.target)) for event in day.event}
    assert found == {
        (pb.DOOR_KILLED, 2000.0, 2000.0, (1,)),
        (pb.SERVER_SILENT, 3000.0, 2000.0, (0,)),
        (pb.SERVER_RESTARTED, 5500.0, 2000.0, (1,)),
        (pb.STORE_PAUSED, 6000.0, 1000.0, ()),
    }


def written_day(day: pb.Day) -> str:
    from google.protobuf import text_format

    return text_format.MessageToString(day)


@pytest.mark.parametrize(
    ("lines", "told"),
    [
        ([], "not a tap"),
        (["QUERY door=1"], "line 1: 'QUERY' before the first BATCH"),
        (["BATCH t_ms=1", "QUERY door=1"], "line 2: no field grade_of_service"),
        (["BATCH t_ms=soon"], "line 1: could not convert"),
        (["BATCH nonsense"], "line 1: expected name=value"),
    ],
)
def test_what_is_no_tap_is_told_with_its_line(lines: list[str], told: str) -> None:
    with pytest.raises(TapError, match=told):
        day_from(lines, "x", 10.0, 3, 3)


# For real -----------------------------------------------------------------------------------------------


def test_a_small_day_is_played_and_judged(tmp_path: Path) -> None:
    """Every process for real; the slack of the clocks is so wide that a busy machine changes no verdict."""
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
    done = CliRunner().invoke(cli, ["day", "run", str(file), "--out", str(out)])
    assert done.exit_code == 0, done.output
    result = json.loads((out / "result.json").read_text())
    assert result["kept"] and result["figures"]["requests"] > 20 and result["figures"]["served"] > 0
    events = [json.loads(line)["what"] for line in (out / "events.jsonl").read_text().splitlines()]
    assert events.count("door down") == events.count("door up") == 1
    again = CliRunner().invoke(cli, ["day", "check", str(out)])
    assert again.exit_code == 0 and again.output == done.output
    # The same traces, doctored: an attempt after every answer.
    # Of all servers: one alone may have served nothing.
    visits = [json.loads(line) for path in sorted(out.glob("server-*.jsonl")) for line in path.read_text().splitlines()]
    with (out / "server-2.jsonl").open("a") as trace:
        for line in visits:
            if line["what"] == "arrive":
                trace.write(json.dumps({**line, "server": 3, "attempt": 1, "t": line["t"] + 60_000}) + "\n")
    broken = CliRunner().invoke(cli, ["day", "check", str(out)])
    assert broken.exit_code == 3 and "BROKEN" in broken.output


def arrivals(more: str, rate: float = 200.0, for_ms: float = 120_000.0) -> list[float]:
    """When requests come in one long phase."""
    head, tail = DAY.split("phase {", 1)
    text = f"{head}phase {{ for_ms: {for_ms} rate: {rate} {more} }} clients {{}}"
    assert tail
    return [planned.at_ms for planned in schedule(parse_day(text, "day"))]


def counts(moments: list[float], width_ms: float) -> list[int]:
    """How many come in each stretch."""
    made = Counter(int(at / width_ms) for at in moments)
    return [made[number] for number in range(int(moments[-1] / width_ms))]


def dispersion(moments: list[float]) -> float:
    """Variance of the counts a second, in parts of their mean: 1 for a Poisson stream."""
    held = counts(moments, 1000.0)
    mean = sum(held) / len(held)
    return sum((count - mean) ** 2 for count in held) / len(held) / mean


def test_arrivals_are_poisson_modulated_or_swing_as_the_phase_says() -> None:
    plain = arrivals("")
    assert len(plain) / 120 == pytest.approx(200, rel=0.03) and dispersion(plain) == pytest.approx(1, abs=0.4)
    bursts = arrivals("burst_times: 5 burst_ms: 500 calm_ms: 2000")
    # The mean of the two states' rates by the time that each has: (2000 + 5 * 500) / 2500 = 1.8.
    assert len(bursts) / 120 == pytest.approx(200 * 1.8, rel=0.12) and dispersion(bursts) > 20
    day = arrivals("swing: 0.8 swing_ms: 60000")
    assert len(day) / 120 == pytest.approx(200, rel=0.04)
    quarters = counts(day, 15_000.0)
    assert quarters[0] > 1.8 * quarters[2] and quarters[4] > 1.8 * quarters[6]  # sin is high, then low, in each minute


def test_a_phase_that_moves_shifts_no_other_phases_draws() -> None:
    later = [planned.customer for planned in schedule(parse_day(DAY, "day")) if planned.at_ms < 20_000]
    same = parse_day(DAY.replace("rate: 150", "rate: 150 burst_times: 3"), "day")
    assert later == [planned.customer for planned in schedule(same) if planned.at_ms < 20_000]
