"""The emulator: the same day gives the same lines, closed forms hold, and the judge finds what is broken on purpose."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.config.text_format import SettingsError
from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import load_scenario, parse_scenario
from martenstep.lab.emulate.core import START_MS, Draws, Sim, Streams
from martenstep.lab.emulate.doors import Connection, Costs, EmuDoor
from martenstep.lab.emulate.judged import emulate, judged, traffic_of
from martenstep.lab.emulate.net import RESEND_MS, Network, Pipe, Place, Weather
from martenstep.lab.emulate.servers import EmuServer, Job
from martenstep.lab.emulate.world import NotEmulatedError, World
from martenstep.proxy import engine_messages as ev
from martenstep.standins.photo import PhotoConfig, WorkOf

DAYS = Path(__file__).resolve().parent.parent / "days"
SMALL = """
name: "small" seed: 5 fleet { doors: 2 servers: 4 zones: 2 feed_lag_ms: 100 }
class { name: "read" aim_ms: 1000 deadline_ms: 3000 }
class { name: "write" aim_ms: 1000 deadline_ms: 3000 effect: UNSAFE }
work { class: "read" share: 0.8 least_ms: 20 most_ms: 60 }
work { class: "write" share: 0.2 least_ms: 20 most_ms: 60 body_bytes: 100 }
plan { name: "basic" rate: 4 burst: 8 over_cost: 1 }
customers { plan: "basic" number: 12 doors: 2 skew: 1 }
phase { for_ms: 5000 rate: 40 }
clients { retries: 1 leave_share: 0.05 }
rules { answer_slack_ms: 8 drain_grace_ms: 1000 cold_from: 0.25 warm_within_ms: 3000 fall_multiple: 4
        fall_window_ms: 1000 }
"""


def small(more: str = "") -> pb.Day:
    """The small day, or with troubles."""
    return parse_scenario(SMALL + more, "small.txtpb")


# The clock and the network ------------------------------------------------------------------------------


def test_things_happen_in_time_and_in_the_order_asked_for() -> None:
    sim, seen = Sim(), list[str]()
    sim.after(2.0, seen.append, "c")
    sim.after(1.0, seen.append, "a")
    sim.after(1.0, seen.append, "b")
    sim.after(1.5, seen.append, "never").cancel()
    sim.at(0.0, seen.append, "at once")
    sim.run(START_MS + 1.9)
    assert seen == ["at once", "a", "b"] and sim.next_at == START_MS + 2.0
    sim.run(START_MS + 5)
    assert seen[-1] == "c" and sim.now == START_MS + 5 and sim.next_at is None


def test_a_stream_is_its_names_alone() -> None:
    one, two = Streams(7), Streams(7)
    two.of("another").random(1000)
    assert Draws(one.of("clients")).unit() == Draws(two.of("clients")).unit()
    assert Draws(one.of("clients")).unit() != Draws(one.of("servers")).unit() != Draws(Streams(8).of("servers")).unit()


def pipes(weather: Weather) -> tuple[Sim, Network, Pipe, Pipe]:
    """Two connections from one place to another."""
    sim = Sim()
    net = Network(sim, weather, Draws(Streams(1).of("network")))
    here, there = Place("door-1", "a"), Place("server-1", "b")
    return sim, net, Pipe(net, here, there), Pipe(net, here, there)


def test_nothing_overtakes_in_a_connection_and_connections_overtake_one_another() -> None:
    sim, _, one, other = pipes(Weather(loss=0.3))
    seen: list[tuple[str, int, float]] = []
    for number in range(200):
        one.send(lambda n: seen.append(("one", n, sim.now)), number)
        other.send(lambda n: seen.append(("other", n, sim.now)), number)
    sim.run(START_MS + 1e6)
    for name in ("one", "other"):
        assert [number for which, number, _ in seen if which == name] == list(range(200))
    assert [number for _, number, _ in seen] != sorted(number for _, number, _ in seen)
    assert max(at for _, _, at in seen) > START_MS + RESEND_MS


def test_a_cut_holds_one_direction_until_it_is_healed() -> None:
    sim, net, one, _ = pipes(Weather())
    back, seen = Pipe(net, Place("server-1", "b"), Place("door-1", "a")), list[str]()
    net.cut("door-1", "server-*")
    one.send(seen.append, "forth")
    back.send(seen.append, "back")
    sim.run(START_MS + 10_000)
    assert seen == ["back"]
    net.cut("door-1", "server-*", on=False)
    sim.run(START_MS + 10_000 + RESEND_MS - 1)
    assert seen == ["back"]
    sim.run(START_MS + 11_000)
    assert seen == ["back", "forth"]


def test_a_reset_takes_back_what_was_lost_or_held_on_the_way() -> None:
    sim, net, one, other = pipes(Weather())
    seen = list[str]()
    net.cut("door-1", "server-*")
    one.send(seen.append, "given up")
    other.send(seen.append, "kept")
    one.reset()
    one.send(seen.append, "closed")
    net.cut("door-1", "server-*", on=False)
    sim.run(START_MS + 1e4)
    assert sorted(seen) == ["closed", "kept"]


def test_bandwidth_and_zones_tell() -> None:
    _, net, _, _ = pipes(Weather(jitter=0.0))
    assert net.latency("a", "a", 0) == 0.15 and net.latency("a", "b", 0) == 0.6
    assert net.latency("a", "a", 125_000_000) == pytest.approx(1000.15)


# Against closed forms -----------------------------------------------------------------------------------


class Line:
    """Takes a server's answers; each job's time is drawn beforehand."""

    def __init__(self, sim: Sim) -> None:
        self.sim, self.begun, self.took = sim, dict[Any, float](), list[float]()

    def answered(self, job: Job, how: str, size: int) -> None:
        assert how == "ok"
        self.took.append(self.sim.now - self.begun.pop(job.told["rid"]))

    def dropped(self) -> None:
        raise AssertionError("never")


@pytest.mark.parametrize(("cores", "load"), [(1, 0.6), (4, 0.8), (8, 0.9)])
def test_the_mean_time_at_a_server_is_that_of_m_m_c(cores: int, load: float) -> None:
    """Exponential work: the mean wait of M/M/c is C(c, a) / (c mu - lambda), by Erlang's C formula."""
    sim, streams = Sim(), Streams(3)
    line = Line(sim)
    server = EmuServer(
        sim,
        PhotoConfig(cores=cores, queue=10**6, work={"x": WorkOf(10.0, 10.0)}),
        Draws(streams.of("server")),
        lambda *words, **more: None,
    )
    chance = streams.of("arrivals")
    jobs, at = 60_000, START_MS
    gaps, works = chance.exponential(10.0 / cores / load, jobs), chance.exponential(10.0, jobs)

    def arrive(number: int) -> None:
        line.begun[number] = sim.now
        server.config.work["x"] = WorkOf(works[number], works[number])
        server.arrive(line, {"rid": number}, "x", "", "")

    for number in range(jobs):
        at += gaps[number]
        sim.at(at, arrive, number)
    sim.run(at + 1e6)
    offered = cores * load
    last = offered**cores / math.factorial(cores) / (1 - load)
    waits = last / (sum(offered**k / math.factorial(k) for k in range(cores)) + last)
    expected = waits * 10.0 / (cores * (1 - load)) + 10.0
    assert sum(line.took) / jobs == pytest.approx(expected, rel=0.08)


def test_one_door_admits_what_gcra_admits() -> None:
    """A customer that asks without end gets burst + rate x time, and no more."""
    day = parse_scenario(
        SMALL.replace("doors: 2", "doors: 1")
        .replace("number: 12", "number: 1")
        .replace("retries: 1", "retries: 0")
        .replace("leave_share: 0.05", ""),
        "one.txtpb",
    )
    world = World(day)
    traffic = traffic_of(world.play())
    served = sum(bool(tried.attempts) for tried in traffic.tries.values())
    assert 8 + 4 * 5 - 2 <= served <= 8 + 4 * 5 + 1


# Days ---------------------------------------------------------------------------------------------------


def test_the_same_day_and_seed_give_the_same_lines() -> None:
    day = small(
        "event { at_ms: 1000 trouble: DOOR_KILLED for_ms: 500 } "
        "event { at_ms: 2000 trouble: SERVER_SILENT for_ms: 1000 }"
    )
    one, two, other = World(day).play(), World(day).play(), World(day, seed=99).play()
    assert one == two and one.clients != other.clients
    first = [line["rid"] for line in one.clients if line["what"] == "try" and line["number"] == 0]
    assert first == [line["rid"] for line in other.clients if line["what"] == "try" and line["number"] == 0]


@pytest.mark.parametrize("name", sorted(path.stem for path in DAYS.glob("*.txtpb")))
def test_every_day_of_the_repository_keeps_its_rules_or_says_that_it_is_not_modelled(name: str) -> None:
    day = load_scenario(DAYS / f"{name}.txtpb")
    try:
        world = World(day)
    except NotEmulatedError:
        moves = any(event.trouble == pb.STORE_SLOTS_MOVE for event in day.event)
        assert day.own_counter or day.hooks or moves
        return
    result = judged(day, world.play())
    assert result["kept"], result["rules"]
    assert result["figures"]["requests_served"] > 0.6 * result["figures"]["requests"]
    assert ("verdicts" in result["rules"]) == day.HasField("auth_services")
    for door in world.doors.values():  # all books are balanced once all is quiet
        assert {name: door.engine.held_counts[name] for name in ("exchanges", "open")} == {"exchanges": 0, "open": 0}
        assert not door._out and not door._callers


def flawed(what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Break an engine's rule on purpose."""
    if what == "answered":
        lost = [0]
        reply = EmuDoor._reply

        def forget(self: EmuDoor, action: ev.SendLocalReply) -> None:
            lost[0] += 1
            if lost[0] % 5:
                reply(self, action)

        monkeypatch.setattr(EmuDoor, "_reply", forget)
    elif what == "no effect twice":
        came = Connection.came

        def twice(self: Connection, told: dict[str, Any], cls: str, key: str, customer: str) -> None:
            came(self, told, cls, key, customer)
            self._door._sim.after(5.0, came, self, {**told, "attempt": told["attempt"] + 1}, cls, key, customer)

        monkeypatch.setattr(Connection, "came", twice)
    elif what == "drains":
        told = EmuDoor.told
        monkeypatch.setattr(EmuDoor, "told", lambda self, body: told(self, body.replace(b'"draining"', b'"up"')))
    elif what == "ceilings":
        monkeypatch.setattr(EmuDoor, "asked", _ungoverned(EmuDoor.asked))
    elif what == "verdicts":
        verdict = EmuDoor._verdict
        monkeypatch.setattr(
            EmuDoor,
            "_verdict",
            lambda self, action, status, headers, body: verdict(
                self, action, 200, [(b"x-auth-customer", b"basic-0-0"), (b"x-auth-plan", b"basic")], b""
            ),
        )
    else:
        raise AssertionError(what)


def _ungoverned(asked: Any) -> Any:
    def other(self: EmuDoor, caller: Any, method: bytes, target: bytes, headers: ev.Headers) -> Any:
        spread = [
            (name, b"free-%d" % self._last_request_id if name == b"x-customer" else value) for name, value in headers
        ]
        return asked(self, caller, method, target, spread)

    return other


CEILING = (
    'plan { name: "tight" rate: 4 burst: 4 ceiling_rate: 5 ceiling_burst: 6 ceiling_slack: 1 } '
    'customers { plan: "tight" number: 1 share: 3 doors: 2 }'
)


@pytest.mark.parametrize("rule", ["answered", "no effect twice", "drains", "ceilings", "verdicts"])
def test_the_judge_finds_a_rule_that_is_broken_on_purpose(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    more = "auth_services { bad_share: 0.1 } auth { cache_ms: 1000 }" if rule == "verdicts" else ""
    day = small(CEILING + more + "event { at_ms: 500 trouble: SERVER_DRAINED for_ms: 4000 count: 2 }")
    assert judged(day, World(day).play())["kept"]
    flawed(rule, monkeypatch)
    result = judged(day, World(day).play())
    assert not result["rules"][rule]["kept"]


def test_a_cold_server_that_is_pushed_over_is_found() -> None:
    day = small("event { at_ms: 500 trouble: SERVER_RESTARTED for_ms: 500 count: 3 }")
    world = World(day)
    for server in world.servers.values():
        server.config.fall_multiple = 0.01
    traces = world.play()
    assert any(line["what"] == "fell" for line in traces.servers)


def test_days_that_are_not_modelled_are_refused() -> None:
    with pytest.raises(NotEmulatedError, match="STORE_SLOTS_MOVE"):
        World(small("store_topology: CLUSTER event { at_ms: 1 trouble: STORE_SLOTS_MOVE for_ms: 1 }"))
    assert emulate(small())["kept"]


def test_the_command_tells_figures_and_rules(tmp_path: Path) -> None:
    file = tmp_path / "small.txtpb"
    file.write_text(SMALL)
    done = CliRunner().invoke(cli, ["lab", "emulate", str(file)])
    assert done.exit_code == 0 and "rule: answered" in done.output and "emulated in" in done.output
    told = CliRunner().invoke(cli, ["lab", "emulate", str(file), "--json"])
    assert '"kept":true' in told.output
    file.write_text("nonsense")
    assert CliRunner().invoke(cli, ["lab", "emulate", str(file)]).exit_code == 2


# Cuts and other limiters --------------------------------------------------------------------------------


def test_a_day_with_a_cut_keeps_its_rules_and_heals() -> None:
    for source, sink in (("door-1", "server-*"), ("server-*", "door-1"), ("store", "door-*"), ("zone-a", "zone-b")):
        day = small(f"event {{ at_ms: 1000 for_ms: 1500 trouble: NET_CUT source: '{source}' sink: '{sink}' }}")
        world = World(day)
        result = judged(day, world.play())
        assert result["kept"], (source, sink, result["rules"])
        late = [line for line in world.traces.clients if line["what"] == "answer" and line["t"] > START_MS + 5500]
        assert any(line["status"] == 200 for line in late) and not world.net.cuts


def test_troubles_of_one_door_may_overlap() -> None:
    day = small(
        "event { at_ms: 1000 for_ms: 2000 trouble: DOOR_KILLED } "
        "event { at_ms: 1500 for_ms: 500 trouble: DOOR_KILLED } "
        "event { at_ms: 2500 for_ms: 1000 trouble: DOOR_ROLLED } "
        "event { at_ms: 3900 for_ms: 300 trouble: DOOR_ROLLED } "
        "event { at_ms: 3910 for_ms: 700 trouble: DOOR_KILLED }"
    )
    world = World(day)
    assert judged(day, world.play())["kept"]
    told = [
        (line["what"], round(line["t"] - START_MS))
        for line in world.traces.events
        if line["what"] != "trouble" and line.get("door") == 0
    ]
    assert [what for what, _ in told if what == "door up"] == ["door up", "door up"]


def test_a_door_that_leaves_answers_what_it_had_taken() -> None:
    """A request that waits for its turn in the process is the door's, not the network's."""
    day = small("event { at_ms: 1000 for_ms: 500 trouble: DOOR_ROLLED count: 2 }")
    world = World(day, costs=Costs(request_ms=40.0))
    assert judged(day, world.play())["kept"]


def test_what_a_killed_door_had_sent_into_a_cut_reaches_nobody() -> None:
    """A sweep found it: what the kernel held was delivered after the cut, long after the clients' connections broke."""
    day = small(
        "event { at_ms: 1000 for_ms: 2500 trouble: NET_CUT source: 'door-*' sink: 'server-*' } "
        "event { at_ms: 1500 for_ms: 500 trouble: DOOR_KILLED count: 2 }"
    )
    assert judged(day, World(day).play())["kept"]


def test_a_keyed_repeat_that_a_cut_holds_past_its_window_reaches_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """A sweep found it: servers had forgotten the key by then, and would have run it a second time."""

    def day() -> pb.Day:
        keyed = SMALL.replace("effect: UNSAFE", "effect: KEYED window_ms: 250").replace("share: 0.2", "share: 2")
        cuts = "".join(
            f"event {{ at_ms: {at} for_ms: 300 trouble: NET_CUT source: 'door-*' sink: 'server-*' }} "
            for at in range(600, 4800, 400)
        )
        return parse_scenario(keyed + cuts + "event { at_ms: 500 trouble: SERVER_RESETS count: 4 share: 0.7 }", "day")

    assert judged(day(), World(day()).play())["kept"]
    monkeypatch.setattr(EmuDoor, "_undelivered", lambda self, connection, action: None)
    assert not judged(day(), World(day()).play())["rules"]["no effect twice"]["kept"]


def test_the_request_that_pushes_a_server_over_ends_there() -> None:
    """Else its next attempt elsewhere would look like a second one at once."""
    day = small("event { at_ms: 500 trouble: SERVER_RESTARTED for_ms: 500 count: 3 }")
    world = World(day)
    for server in world.servers.values():
        server.config.fall_multiple = 0.01
    result = judged(day, world.play())
    assert result["rules"]["no effect twice"]["kept"] and not result["rules"]["cold servers"]["kept"]


def test_a_cut_is_refused_on_sockets_and_where_it_names_nobody() -> None:
    with pytest.raises(SettingsError, match="source: missing"):
        small("event { at_ms: 1000 for_ms: 1500 trouble: NET_CUT sink: 'a' }")
    with pytest.raises(SettingsError, match="limiter: expected one of"):
        small("limiter: 'best'")


def sent_units(day: pb.Day) -> float:
    """Units that reached servers."""
    traffic = traffic_of(World(day).play())
    return sum(tried.units for tried in traffic.tries.values() if tried.attempts)


def test_other_limiters_do_what_they_say() -> None:
    """One customer through two doors that asks without end: each door's own bucket gives it twice its plan, halves and
    a central one once; a central one without its store lets all pass, or nothing."""
    one = (
        SMALL.replace("number: 12", "number: 1")
        .replace("retries: 1", "retries: 0")
        .replace("rate: 40", "rate: 80")
        .replace("leave_share: 0.05", "")
    )
    plan = 8 + 4 * 5

    def made(more: str) -> float:
        return sent_units(parse_scenario(one + more, "one.txtpb"))

    assert made("limiter: 'each door'") == pytest.approx(2 * plan, abs=4)
    assert made("limiter: 'split'") == pytest.approx(plan, abs=4)
    assert made("limiter: 'central, closed'") == pytest.approx(plan, abs=2)
    down = "event { at_ms: 0 trouble: STORE_DOWN }"
    assert made("limiter: 'central, closed'" + down) == 0
    assert made("limiter: 'central, open'" + down) > 5 * plan
    assert made("") == pytest.approx(plan, abs=6)
