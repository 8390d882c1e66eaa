"""The emulator: runs are deterministic, queueing formulas hold, and the checkers find deliberately broken rules."""

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
from martenstep.lab.emulate.core import START_MS, RandomBuffer, RandomStreams, Sim
from martenstep.lab.emulate.doors import EmulatedGateway, ProcessingCosts, UpstreamConnection
from martenstep.lab.emulate.judged import check_traces, emulate, gather_traffic
from martenstep.lab.emulate.net import RETRANSMIT_MS, Location, Network, NetworkConditions, Pipe
from martenstep.lab.emulate.servers import EmulatedServer, Job
from martenstep.lab.emulate.world import Emulation, NotEmulatedError
from martenstep.proxy import engine_messages as ev
from martenstep.standins.photo import ClassWork, PhotoConfig

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


def small_scenario(more: str = "") -> pb.Day:
    """The small scenario, with additional settings or faults."""
    return parse_scenario(SMALL + more, "small.txtpb")


# The clock and the network ------------------------------------------------------------------------------


def test_calls_run_in_order_of_time_and_then_of_scheduling() -> None:
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


def test_a_random_stream_depends_only_on_seed_and_name() -> None:
    one, two = RandomStreams(7), RandomStreams(7)
    two.stream("another").random(1000)
    assert RandomBuffer(one.stream("clients")).random() == RandomBuffer(two.stream("clients")).random()
    assert (
        RandomBuffer(one.stream("clients")).random()
        != RandomBuffer(one.stream("servers")).random()
        != RandomBuffer(RandomStreams(8).stream("servers")).random()
    )


def pipes(conditions: NetworkConditions) -> tuple[Sim, Network, Pipe, Pipe]:
    """Two connections from one location to another."""
    sim = Sim()
    net = Network(sim, conditions, RandomBuffer(RandomStreams(1).stream("network")))
    gateway_location, server_location = Location("door-1", "a"), Location("server-1", "b")
    return sim, net, Pipe(net, gateway_location, server_location), Pipe(net, gateway_location, server_location)


def test_messages_are_ordered_within_a_connection_but_not_between_connections() -> None:
    sim, _, one, other = pipes(NetworkConditions(loss=0.3))
    seen: list[tuple[str, int, float]] = []
    for number in range(200):
        one.send(lambda n: seen.append(("one", n, sim.now)), number)
        other.send(lambda n: seen.append(("other", n, sim.now)), number)
    sim.run(START_MS + 1e6)
    for name in ("one", "other"):
        assert [number for which, number, _ in seen if which == name] == list(range(200))
    assert [number for _, number, _ in seen] != sorted(number for _, number, _ in seen)
    assert max(at for _, _, at in seen) > START_MS + RETRANSMIT_MS


def test_a_cut_delays_messages_of_one_direction_until_it_heals() -> None:
    sim, net, one, _ = pipes(NetworkConditions())
    to_gateway, seen = Pipe(net, Location("server-1", "b"), Location("door-1", "a")), list[str]()
    net.set_cut("door-1", "server-*")
    one.send(seen.append, "forth")
    to_gateway.send(seen.append, "back")
    sim.run(START_MS + 10_000)
    assert seen == ["back"]
    net.set_cut("door-1", "server-*", on=False)
    sim.run(START_MS + 10_000 + RETRANSMIT_MS - 1)
    assert seen == ["back"]
    sim.run(START_MS + 11_000)
    assert seen == ["back", "forth"]


def test_a_reset_discards_messages_that_wait_for_retransmission_or_for_a_cut() -> None:
    sim, net, one, other = pipes(NetworkConditions())
    seen = list[str]()
    net.set_cut("door-1", "server-*")
    one.send(seen.append, "given up")
    other.send(seen.append, "kept")
    one.reset()
    one.send(seen.append, "closed")
    net.set_cut("door-1", "server-*", on=False)
    sim.run(START_MS + 1e4)
    assert sorted(seen) == ["closed", "kept"]


def test_latency_depends_on_zones_and_bandwidth() -> None:
    _, net, _, _ = pipes(NetworkConditions(jitter=0.0))
    assert net.latency("a", "a", 0) == 0.15 and net.latency("a", "b", 0) == 0.6
    assert net.latency("a", "a", 125_000_000) == pytest.approx(1000.15)


# Against closed forms -----------------------------------------------------------------------------------


class ResponseTimes:
    """Records the time that each job takes at a server."""

    def __init__(self, sim: Sim) -> None:
        self.sim, self.started, self.durations = sim, dict[Any, float](), list[float]()

    def job_ended(self, job: Job, how: str, size: int) -> None:
        assert how == "ok"
        self.durations.append(self.sim.now - self.started.pop(job.trace_fields["rid"]))

    def server_closed(self) -> None:
        raise AssertionError("never")


@pytest.mark.parametrize(("cores", "load"), [(1, 0.6), (4, 0.8), (8, 0.9)])
def test_the_mean_time_at_a_server_is_that_of_an_m_m_c_queue(cores: int, load: float) -> None:
    """Exponential work: the mean wait of M/M/c is C(c, a) / (c mu - lambda), by Erlang's C formula."""
    sim, streams = Sim(), RandomStreams(3)
    times = ResponseTimes(sim)
    server = EmulatedServer(
        sim,
        PhotoConfig(cores=cores, queue=10**6, work={"x": ClassWork(10.0, 10.0)}),
        RandomBuffer(streams.stream("server")),
        lambda *arguments, **fields: None,
    )
    rng = streams.stream("arrivals")
    jobs, at = 60_000, START_MS
    gaps, works = rng.exponential(10.0 / cores / load, jobs), rng.exponential(10.0, jobs)

    def arrive(number: int) -> None:
        times.started[number] = sim.now
        server.config.work["x"] = ClassWork(works[number], works[number])
        server.receive_request(times, {"rid": number}, "x", "", "")

    for number in range(jobs):
        at += gaps[number]
        sim.at(at, arrive, number)
    sim.run(at + 1e6)
    offered = cores * load
    all_busy = offered**cores / math.factorial(cores) / (1 - load)
    wait_probability = all_busy / (sum(offered**k / math.factorial(k) for k in range(cores)) + all_busy)
    expected = wait_probability * 10.0 / (cores * (1 - load)) + 10.0
    assert sum(times.durations) / jobs == pytest.approx(expected, rel=0.08)


def test_one_gateway_admits_the_burst_and_the_rate_over_time() -> None:
    """A customer that exceeds its plan all the time gets burst + rate x time, and no more."""
    scenario = parse_scenario(
        SMALL.replace("doors: 2", "doors: 1")
        .replace("number: 12", "number: 1")
        .replace("retries: 1", "retries: 0")
        .replace("leave_share: 0.05", ""),
        "one.txtpb",
    )
    emulation = Emulation(scenario)
    traffic = gather_traffic(emulation.run())
    served = sum(bool(tried.attempts) for tried in traffic.tries.values())
    assert 8 + 4 * 5 - 2 <= served <= 8 + 4 * 5 + 1


# Scenarios ----------------------------------------------------------------------------------------------


def test_the_same_scenario_and_seed_give_the_same_traces() -> None:
    scenario = small_scenario(
        "event { at_ms: 1000 trouble: DOOR_KILLED for_ms: 500 } "
        "event { at_ms: 2000 trouble: SERVER_SILENT for_ms: 1000 }"
    )
    one, two, other = Emulation(scenario).run(), Emulation(scenario).run(), Emulation(scenario, seed=99).run()
    assert one == two and one.clients != other.clients
    first = [line["rid"] for line in one.clients if line["what"] == "try" and line["number"] == 0]
    assert first == [line["rid"] for line in other.clients if line["what"] == "try" and line["number"] == 0]


@pytest.mark.parametrize("name", sorted(path.stem for path in DAYS.glob("*.txtpb")))
def test_every_scenario_of_the_repository_passes_the_checkers_or_is_refused_as_not_modelled(name: str) -> None:
    scenario = load_scenario(DAYS / f"{name}.txtpb")
    try:
        emulation = Emulation(scenario)
    except NotEmulatedError:
        moves = any(event.trouble == pb.STORE_SLOTS_MOVE for event in scenario.event)
        assert scenario.own_counter or scenario.hooks or moves
        return
    result = check_traces(scenario, emulation.run())
    assert result["kept"], result["rules"]
    assert result["figures"]["requests_served"] > 0.6 * result["figures"]["requests"]
    assert ("verdicts" in result["rules"]) == scenario.HasField("auth_services")
    for gateway in emulation.gateways.values():  # nothing may stay open once all requests have ended
        assert {name: gateway.engine.held_counts[name] for name in ("exchanges", "open")} == {"exchanges": 0, "open": 0}
        assert not gateway._active_attempts and not gateway._client_connections


def break_rule(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Patch the emulated gateway so that it violates one rule."""
    if rule == "answered":
        replies = [0]
        reply = EmulatedGateway._send_local_reply

        def drop_every_fifth(self: EmulatedGateway, action: ev.SendLocalReply) -> None:
            replies[0] += 1
            if replies[0] % 5:
                reply(self, action)

        monkeypatch.setattr(EmulatedGateway, "_send_local_reply", drop_every_fifth)
    elif rule == "no effect twice":
        request_arrived = UpstreamConnection.request_arrived

        def deliver_twice(
            self: UpstreamConnection, trace_fields: dict[str, Any], cls: str, key: str, customer: str
        ) -> None:
            request_arrived(self, trace_fields, cls, key, customer)
            repeat = {**trace_fields, "attempt": trace_fields["attempt"] + 1}
            self._gateway._sim.after(5.0, request_arrived, self, repeat, cls, key, customer)

        monkeypatch.setattr(UpstreamConnection, "request_arrived", deliver_twice)
    elif rule == "drains":
        receive = EmulatedGateway.receive_endpoint_list
        monkeypatch.setattr(
            EmulatedGateway,
            "receive_endpoint_list",
            lambda self, body: receive(self, body.replace(b'"draining"', b'"up"')),
        )
    elif rule == "ceilings":
        monkeypatch.setattr(EmulatedGateway, "receive_request", _with_new_customers(EmulatedGateway.receive_request))
    elif rule == "verdicts":
        verdict = EmulatedGateway._auth_check_replied
        monkeypatch.setattr(
            EmulatedGateway,
            "_auth_check_replied",
            lambda self, action, status, headers, body: verdict(
                self, action, 200, [(b"x-auth-customer", b"basic-0-0"), (b"x-auth-plan", b"basic")], b""
            ),
        )
    else:
        raise AssertionError(rule)


def _with_new_customers(receive_request: Any) -> Any:
    """Wrap `receive_request` so that every request comes from a new customer, which escapes its ceiling."""

    def wrapper(self: EmulatedGateway, client: Any, method: bytes, target: bytes, headers: ev.Headers) -> Any:
        spread = [
            (name, b"free-%d" % self._last_request_id if name == b"x-customer" else value) for name, value in headers
        ]
        return receive_request(self, client, method, target, spread)

    return wrapper


CEILING = (
    'plan { name: "tight" rate: 4 burst: 4 ceiling_rate: 5 ceiling_burst: 6 ceiling_slack: 1 } '
    'customers { plan: "tight" number: 1 share: 3 doors: 2 }'
)


@pytest.mark.parametrize("rule", ["answered", "no effect twice", "drains", "ceilings", "verdicts"])
def test_the_checkers_find_a_rule_that_is_broken_on_purpose(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    more = "auth_services { bad_share: 0.1 } auth { cache_ms: 1000 }" if rule == "verdicts" else ""
    scenario = small_scenario(CEILING + more + "event { at_ms: 500 trouble: SERVER_DRAINED for_ms: 4000 count: 2 }")
    assert check_traces(scenario, Emulation(scenario).run())["kept"]
    break_rule(rule, monkeypatch)
    result = check_traces(scenario, Emulation(scenario).run())
    assert not result["rules"][rule]["kept"]


def test_an_overloaded_cold_server_is_found() -> None:
    scenario = small_scenario("event { at_ms: 500 trouble: SERVER_RESTARTED for_ms: 500 count: 3 }")
    emulation = Emulation(scenario)
    for server in emulation.servers.values():
        server.config.fall_multiple = 0.01
    traces = emulation.run()
    assert any(line["what"] == "fell" for line in traces.servers)


def test_scenarios_without_a_model_are_refused() -> None:
    with pytest.raises(NotEmulatedError, match="STORE_SLOTS_MOVE"):
        Emulation(small_scenario("store_topology: CLUSTER event { at_ms: 1 trouble: STORE_SLOTS_MOVE for_ms: 1 }"))
    assert emulate(small_scenario())["kept"]


def test_the_command_prints_figures_and_rules(tmp_path: Path) -> None:
    file = tmp_path / "small.txtpb"
    file.write_text(SMALL)
    result = CliRunner().invoke(cli, ["lab", "emulate", str(file)])
    assert result.exit_code == 0 and "rule: answered" in result.output and "emulated in" in result.output
    as_json = CliRunner().invoke(cli, ["lab", "emulate", str(file), "--json"])
    assert '"kept":true' in as_json.output
    file.write_text("nonsense")
    assert CliRunner().invoke(cli, ["lab", "emulate", str(file)]).exit_code == 2


# Cuts and other limiters --------------------------------------------------------------------------------


def test_a_scenario_with_a_network_cut_passes_the_checkers_and_heals() -> None:
    for source, sink in (("door-1", "server-*"), ("server-*", "door-1"), ("store", "door-*"), ("zone-a", "zone-b")):
        scenario = small_scenario(
            f"event {{ at_ms: 1000 for_ms: 1500 trouble: NET_CUT source: '{source}' sink: '{sink}' }}"
        )
        emulation = Emulation(scenario)
        result = check_traces(scenario, emulation.run())
        assert result["kept"], (source, sink, result["rules"])
        late = [line for line in emulation.traces.clients if line["what"] == "answer" and line["t"] > START_MS + 5500]
        assert any(line["status"] == 200 for line in late) and not emulation.net.cuts


def test_faults_of_one_gateway_may_overlap() -> None:
    scenario = small_scenario(
        "event { at_ms: 1000 for_ms: 2000 trouble: DOOR_KILLED } "
        "event { at_ms: 1500 for_ms: 500 trouble: DOOR_KILLED } "
        "event { at_ms: 2500 for_ms: 1000 trouble: DOOR_ROLLED } "
        "event { at_ms: 3900 for_ms: 300 trouble: DOOR_ROLLED } "
        "event { at_ms: 3910 for_ms: 700 trouble: DOOR_KILLED }"
    )
    emulation = Emulation(scenario)
    assert check_traces(scenario, emulation.run())["kept"]
    changes = [
        (line["what"], round(line["t"] - START_MS))
        for line in emulation.traces.events
        if line["what"] != "trouble" and line.get("door") == 0
    ]
    assert [what for what, _ in changes if what == "door up"] == ["door up", "door up"]


def test_a_gateway_that_shuts_down_answers_the_requests_that_it_accepted() -> None:
    """A request that waits for processor time has been accepted and must be answered before the gateway ends."""
    scenario = small_scenario("event { at_ms: 1000 for_ms: 500 trouble: DOOR_ROLLED count: 2 }")
    emulation = Emulation(scenario, costs=ProcessingCosts(request_ms=40.0))
    assert check_traces(scenario, emulation.run())["kept"]


def test_requests_that_a_killed_gateway_sent_into_a_cut_are_never_delivered() -> None:
    """A sweep found this: bytes held by the kernel were delivered after the cut, long after the clients had left."""
    scenario = small_scenario(
        "event { at_ms: 1000 for_ms: 2500 trouble: NET_CUT source: 'door-*' sink: 'server-*' } "
        "event { at_ms: 1500 for_ms: 500 trouble: DOOR_KILLED count: 2 }"
    )
    assert check_traces(scenario, Emulation(scenario).run())["kept"]


def test_a_keyed_retry_that_a_cut_holds_past_its_window_is_never_delivered(monkeypatch: pytest.MonkeyPatch) -> None:
    """A sweep found this: by then, servers no longer held the key and would have executed the request a second time."""

    def scenario() -> pb.Day:
        keyed = SMALL.replace("effect: UNSAFE", "effect: KEYED window_ms: 250").replace("share: 0.2", "share: 2")
        cuts = "".join(
            f"event {{ at_ms: {at} for_ms: 300 trouble: NET_CUT source: 'door-*' sink: 'server-*' }} "
            for at in range(600, 4800, 400)
        )
        return parse_scenario(keyed + cuts + "event { at_ms: 500 trouble: SERVER_RESETS count: 4 share: 0.7 }", "day")

    assert check_traces(scenario(), Emulation(scenario()).run())["kept"]
    monkeypatch.setattr(EmulatedGateway, "_delivery_timed_out", lambda self, connection, action: None)
    assert not check_traces(scenario(), Emulation(scenario()).run())["rules"]["no effect twice"]["kept"]


def test_the_request_that_overloads_a_cold_server_ends_at_that_server() -> None:
    """Otherwise its next attempt at another server would look like two attempts at the same time."""
    scenario = small_scenario("event { at_ms: 500 trouble: SERVER_RESTARTED for_ms: 500 count: 3 }")
    emulation = Emulation(scenario)
    for server in emulation.servers.values():
        server.config.fall_multiple = 0.01
    result = check_traces(scenario, emulation.run())
    assert result["rules"]["no effect twice"]["kept"] and not result["rules"]["cold servers"]["kept"]


def test_a_cut_without_a_source_and_an_unknown_limiter_are_refused() -> None:
    with pytest.raises(SettingsError, match="source: missing"):
        small_scenario("event { at_ms: 1000 for_ms: 1500 trouble: NET_CUT sink: 'a' }")
    with pytest.raises(SettingsError, match="limiter: expected one of"):
        small_scenario("limiter: 'best'")


def sent_units(scenario: pb.Day) -> float:
    """Run a scenario and sum the units that reached servers."""
    traffic = gather_traffic(Emulation(scenario).run())
    return sum(tried.units for tried in traffic.tries.values() if tried.attempts)


def test_alternative_limiters_admit_what_their_design_allows() -> None:
    """One customer exceeds its plan all the time through two gateways.

    A full bucket in each gateway admits twice its plan; half a bucket in each, or a central bucket, admits it once.
    Without its store, a central limiter admits everything or nothing.
    """
    one_customer = (
        SMALL.replace("number: 12", "number: 1")
        .replace("retries: 1", "retries: 0")
        .replace("rate: 40", "rate: 80")
        .replace("leave_share: 0.05", "")
    )
    plan = 8 + 4 * 5

    def admitted(more: str) -> float:
        return sent_units(parse_scenario(one_customer + more, "one.txtpb"))

    assert admitted("limiter: 'each door'") == pytest.approx(2 * plan, abs=4)
    assert admitted("limiter: 'split'") == pytest.approx(plan, abs=4)
    assert admitted("limiter: 'central, closed'") == pytest.approx(plan, abs=2)
    down = "event { at_ms: 0 trouble: STORE_DOWN }"
    assert admitted("limiter: 'central, closed'" + down) == 0
    assert admitted("limiter: 'central, open'" + down) > 5 * plan
    assert admitted("") == pytest.approx(plan, abs=6)
