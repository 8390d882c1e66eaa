"""Each invariant checker reports a seeded violation and reports nothing on traces without one."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from martenstep.lab import report
from martenstep.lab.day import parse_scenario
from martenstep.lab.rules import (
    ANSWERED,
    CEILINGS,
    CHECKED,
    COLD,
    COUNTED,
    DOUBLE,
    DRAINS,
    INVENTED,
    RECORDED,
    InvariantChecker,
    Violation,
    check_recorded,
    check_verdicts,
    join_traces,
)

SCENARIO = """
name: "judged" fleet { doors: 2 servers: 4 }
class { name: "read" aim_ms: 500 deadline_ms: 1000 }
class { name: "write" aim_ms: 500 deadline_ms: 1000 effect: KEYED group: ZONE window_ms: 400 }
class { name: "all" aim_ms: 500 deadline_ms: 1000 effect: KEYED window_ms: 400 }
class { name: "pay" aim_ms: 500 deadline_ms: 1000 effect: UNSAFE }
work { class: "read" } work { class: "write" } work { class: "all" } work { class: "pay" }
plan { name: "studio" rate: 1 burst: 2 ceiling_rate: 2 ceiling_burst: 4 ceiling_slack: 1 }
plan { name: "basic" }
customers { plan: "studio" number: 1 }
phase { for_ms: 1000 rate: 1 }
rules { answer_slack_ms: 10 drain_grace_ms: 500
  cold_from: 0.2 warm_within_ms: 5000 fall_multiple: 2 fall_window_ms: 1000 }
judge_slack_ms: 20
"""
Line = dict[str, Any]


class Traces:
    """Traces of a scenario, built line by line."""

    def __init__(self) -> None:
        self.clients: list[Line] = []
        self.servers: list[Line] = []
        self.feed: list[Line] = []
        self.events: list[Line] = [
            {"t": 0.0, "what": "server", "server": n, "zone": "ab"[n % 2], "cell": n % 2} for n in (1, 2, 3, 4)
        ]

    def add_client_try(
        self,
        rid: str = "r1.0",
        at: float = 1000.0,
        cls: str = "read",
        customer: str = "basic-0-1",
        door: int = 0,
        units: float = 1.0,
    ) -> None:
        self.clients.append(
            {
                "t": at,
                "what": "try",
                "rid": rid,
                "door": door,
                "customer": customer,
                "cls": cls,
                "units": units,
                "deadline_ms": 1000.0,
            }
        )

    def add_outcome(self, at: float, status: int = 200, rid: str = "r1.0", what: str = "answer") -> None:
        self.clients.append({"t": at, "what": what, "rid": rid, "status": status, "reason": "", "advice": 0})

    def add_attempt(
        self,
        at: float,
        end: float | None = None,
        how: str = "ok",
        server: int = 1,
        attempt: int = 0,
        rid: str = "r1.0",
        key: str = "",
        door: int = 0,
        customer: str = "",
    ) -> None:
        attempt_fields = {"rid": rid, "attempt": attempt, "server": server, "door": f"door-{door}"}
        self.servers.append({"t": at, "what": "arrive", "cls": "", "key": key, "customer": customer, **attempt_fields})
        if how != "refused":
            self.servers.append({"t": at + 1, "what": "run", **attempt_fields})
        if end is not None:
            end_fields = {"what": "closed"} if how == "closed" else {"what": "end", "how": how}
            self.servers.append({"t": end, **end_fields, **attempt_fields})

    def add_endpoint_state(
        self, at: float, server: int, state: str, door: int = 0, started: float = 0.0, scope: str = "changes"
    ) -> None:
        self.feed.append(
            {
                "t": at,
                "what": "told",
                "door": f"door-{door}",
                "index": 1,
                "scope": scope,
                "servers": [{"id": server, "state": state, "started": started}],
            }
        )

    def violations(self) -> list[Violation]:
        traffic = join_traces(self.clients, self.servers, self.feed, self.events)
        return InvariantChecker(parse_scenario(SCENARIO, "day"), traffic).violations()

    def violated(self) -> set[str]:
        return {violation.rule for violation in self.violations()}


def valid_traces() -> Traces:
    traces = Traces()
    traces.add_client_try()
    traces.add_attempt(1010, 1050)
    traces.add_outcome(1060)
    return traces


def test_valid_traces_violate_nothing() -> None:
    assert valid_traces().violations() == []


def test_missing_duplicate_and_late_answers_are_reported() -> None:
    for line in ("no answer", "broken"):
        traces = Traces()
        traces.add_client_try()
        traces.add_outcome(2500, 0, what=line)
        assert traces.violated() == {ANSWERED}
    traces = Traces()
    traces.add_client_try()  # the trace ends without an outcome
    assert traces.violated() == {ANSWERED}
    traces = valid_traces()
    traces.add_outcome(1070)
    [violation] = traces.violations()
    assert violation.rule == ANSWERED and violation.rid == "r1.0" and violation.times == (1060, 1070)
    for at, violated in ((2029.0, set()), (2031.0, {ANSWERED})):  # deadline 2000, slacks 10 and 20
        traces = Traces()
        traces.add_client_try()
        traces.add_outcome(at, 503)
        assert traces.violated() == violated


def test_attempts_after_the_answer_or_the_deadline_are_reported() -> None:
    for at, violated in ((1079.0, set()), (1081.0, {ANSWERED})):
        traces = valid_traces()
        traces.add_attempt(at, at + 5, attempt=1, server=2)
        assert traces.violated() == violated
    traces = Traces()
    traces.add_client_try()
    traces.add_outcome(2005, 504)
    traces.add_attempt(2021, 2030)
    assert ANSWERED in traces.violated()


def test_a_killed_gateway_excuses_only_requests_that_it_may_have_held() -> None:
    traces = Traces()
    traces.add_client_try(at=1000)
    traces.add_outcome(1500, 0, what="broken")
    traces.events += [{"t": 1500.0, "what": "door down", "door": 0}, {"t": 3000.0, "what": "door up", "door": 0}]
    assert traces.violations() == []
    traces.add_client_try("r2.0", at=3100)
    traces.add_outcome(3200, 0, "r2.0", "broken")
    assert [violation.rid for violation in traces.violations()] == ["r2.0"]
    traces = Traces()
    traces.add_client_try(door=1)
    traces.add_outcome(1500, 0, what="broken")
    traces.events += [{"t": 1500.0, "what": "door down", "door": 0}]  # another gateway
    assert traces.violated() == {ANSWERED}


def test_a_stopping_gateway_is_excused_only_for_requests_that_it_never_forwarded() -> None:
    traces = Traces()
    traces.add_client_try()
    traces.add_outcome(1010, 0, what="broken")
    traces.events += [{"t": 990.0, "what": "door stopping", "door": 0}, {"t": 2000.0, "what": "door up", "door": 0}]
    assert traces.violations() == []
    traces.add_attempt(1005, 1009)
    assert traces.violated() == {ANSWERED}


def test_concurrent_attempts_of_one_request_are_reported() -> None:
    for end, violated in ((1219.0, set()), (1221.0, {DOUBLE}), (None, {DOUBLE})):
        traces = Traces()
        traces.add_client_try()
        traces.add_attempt(1010, end, how="closed")
        traces.add_attempt(1200, 1250, server=2, attempt=1)
        traces.add_outcome(1260)
        assert traces.violated() == violated
    traces = valid_traces()
    traces.add_attempt(1012, 1050, server=2)  # one attempt, two servers
    assert traces.violated() == {DOUBLE}


def test_attempts_end_when_their_server_is_killed() -> None:
    traces = Traces()
    traces.add_client_try()
    traces.add_attempt(1010, None)
    traces.events.append({"t": 1100.0, "what": "server down", "server": 1})
    traces.add_attempt(1120, 1150, server=2, attempt=1)
    traces.add_outcome(1160)
    assert traces.violations() == []


@pytest.mark.parametrize(
    ("cls", "server", "at", "key", "violated"),
    [
        ("pay", 3, 1100, "", True),  # unsafe: never
        ("write", 3, 1100, "k", False),  # same zone, in the window
        ("write", 2, 1100, "k", True),  # another zone
        ("write", 3, 1431, "k", True),  # after the window
        ("write", 3, 1100, "other", True),  # another key
        ("write", 3, 1100, "", True),  # none
        ("all", 2, 1100, "k", False),
        ("read", 2, 1900, "", False),
    ],
)
def test_attempts_repeat_only_as_class_deduplication_scope_window_and_key_allow(
    cls: str, server: int, at: float, key: str, violated: bool
) -> None:
    traces = Traces()
    traces.add_client_try(cls=cls)
    traces.add_attempt(1010, 1050, how="reset", key="k" if key else "")
    traces.add_attempt(at, at + 10, server=server, attempt=1, key=key)
    traces.add_outcome(at + 20)
    assert traces.violated() == ({DOUBLE} if violated else set())


def test_a_request_that_is_not_idempotent_may_be_repeated_after_the_server_refused_it() -> None:
    traces = Traces()
    traces.add_client_try(cls="pay")
    traces.add_attempt(1010, 1020, how="refused")
    traces.add_attempt(1030, 1050, server=2, attempt=1)
    traces.add_outcome(1060)
    assert traces.violations() == []


@pytest.mark.parametrize(
    ("cls", "status", "violated"),
    [
        ("pay", 503, True),
        ("pay", 429, True),
        ("pay", 502, False),
        ("write", 503, True),
        ("all", 503, False),
        ("read", 503, False),
    ],
)
def test_a_refusal_is_reported_where_a_retry_by_the_client_could_do_harm(cls: str, status: int, violated: bool) -> None:
    traces = Traces()
    traces.add_client_try(cls=cls)
    traces.add_attempt(1010, 1050, how="reset", key="k")
    traces.add_outcome(1060, status)
    assert traces.violated() == ({DOUBLE} if violated else set())


def test_attempts_after_the_drain_grace_are_reported_by_what_that_gateway_received() -> None:
    for state in ("draining", "gone"):
        for at, violated in ((1519.0, set()), (1521.0, {DRAINS})):
            traces = Traces()
            traces.add_endpoint_state(500, 1, "up")
            traces.add_endpoint_state(1000, 1, state)
            traces.add_client_try(at=at - 10)
            traces.add_attempt(at, at + 5)
            traces.add_outcome(at + 10)
            assert traces.violated() == violated
    traces = Traces()
    traces.add_endpoint_state(1000, 1, "draining", door=1)  # only the other gateway was notified
    traces.add_client_try(at=3000)
    traces.add_attempt(3010, 3020)
    traces.add_outcome(3030)
    assert traces.violations() == []
    traces.add_endpoint_state(1500, 1, "draining", door=0)
    traces.add_endpoint_state(2000, 1, "up", door=0)  # the server is available again
    assert traces.violations() == []


def test_a_server_missing_from_a_full_endpoint_list_is_gone() -> None:
    traces = Traces()
    traces.add_endpoint_state(500, 1, "up")
    traces.add_endpoint_state(1000, 2, "up", scope="full")
    traces.add_client_try(at=2000)
    traces.add_attempt(2010, 2020)
    traces.add_outcome(2030)
    assert traces.violated() == {DRAINS}


def test_overload_of_a_cold_server_is_reported_if_the_gateways_had_received_its_start() -> None:
    for informed, violated in ((0, set()), (1, set()), (2, {COLD})):
        traces = Traces()
        for door in range(informed):
            traces.add_endpoint_state(900, 1, "up", door=door, started=5.0)
        for number in range(30):
            rid, door = f"r{number}.0", number % 2
            traces.add_client_try(rid, at=1000 + number, door=door)
            traces.add_attempt(1001 + number, 1005 + number, how="closed", rid=rid, door=door)
            traces.add_outcome(1010 + number, rid=rid)
        traces.servers.append({"t": 1032.0, "what": "fell", "server": 1})
        assert traces.violated() == violated


def test_a_ceiling_exceeded_by_all_gateways_together_is_reported() -> None:
    # The bucket holds 4 units and may go 1 below 0; it gains 2 a second, and the clocks have a slack of 20 ms.
    for sends, violated in ((5, set()), (6, {CEILINGS})):
        traces = Traces()
        for number in range(sends):
            rid = f"r{number}.0"
            traces.add_client_try(rid, at=1000, customer="studio-0-0", door=number % 2)
            traces.add_attempt(1001, 1005, rid=rid, door=number % 2)
            traces.add_attempt(1008, 1009, rid=rid, door=number % 2, attempt=1)  # further attempts cost nothing
            traces.add_outcome(1010, rid=rid)
        assert traces.violated() == violated
    traces = Traces()
    for number in range(20):  # sustained at the ceiling's rate
        rid = f"r{number}.0"
        traces.add_client_try(rid, at=1000 + 500 * number, customer="studio-0-0")
        traces.add_attempt(1001 + 500 * number, 1005 + 500 * number, rid=rid)
        traces.add_outcome(1010 + 500 * number, rid=rid)
    assert traces.violations() == []


def test_an_attempt_whose_reset_was_lost_in_a_network_cut_does_not_count_as_concurrent() -> None:
    def build(*ways: tuple[str, str], to: float = 1500.0) -> Traces:
        traces = Traces()
        traces.add_client_try()
        traces.add_attempt(1010, 1300, server=1)  # in zone b
        traces.add_attempt(1200, 1250, attempt=1, server=2)
        traces.add_outcome(1260)
        for on, at in ((True, 1100.0), (False, to)):
            traces.events.append({"t": at, "what": "trouble", "name": "NET_CUT", "on": on, "ways": ways, "targets": []})
        return traces

    assert build().violated() == {DOUBLE}
    assert build(("server-1", "door-0")).violated() == {DOUBLE}  # resets get through
    assert build(("door-0", "server-2")).violated() == {DOUBLE}
    assert build(("door-0", "server-1"), to=1150).violated() == {DOUBLE}  # healed before the second attempt
    for source, sink in (("door-0", "server-1"), ("door-*", "server-*"), ("zone-a", "b"), ("door-0", "b")):
        assert build((source, sink)).violated() == set(), (source, sink)


def test_an_attempt_delayed_by_a_network_cut_is_no_violation_of_the_drain_grace() -> None:
    """The grace is 500 ms and the slack 20 ms."""

    def build(at: float = 1000, since: float = 1050, to: float = 1900, sink: str = "server-1") -> Traces:
        traces = Traces()
        traces.add_endpoint_state(1100, 1, "draining")
        traces.add_client_try(at=at)
        traces.add_attempt(1980, 1990, server=1)
        traces.add_outcome(1995)
        for on, when in ((True, since), (False, to)):
            traces.events.append(
                {"t": when, "what": "trouble", "name": "NET_CUT", "on": on, "targets": [], "ways": [("door-*", sink)]}
            )
        return traces

    assert build().violated() == set()
    assert build(sink="server-2").violated() == {DRAINS}
    assert build(at=1700).violated() == {DRAINS}  # the request reached its gateway after the grace
    assert build(since=1700).violated() == {DRAINS}  # the cut began after the grace
    assert build(to=1400).violated() == {DRAINS}  # the cut healed long before the attempt arrived


def test_requests_that_no_client_sent_are_reported_and_count_towards_the_ceiling() -> None:
    for number, violated in ((1, {INVENTED}), (80, {INVENTED, CEILINGS})):
        traces = valid_traces()
        for one in range(number):
            traces.add_attempt(1001, 1005, rid=f"made-up-{one}", customer="studio-0-0")
        assert traces.violated() == violated
    traces = valid_traces()
    traces.add_attempt(1020, 1030, rid="made-up", door=1)
    [violation] = traces.violations()
    assert (
        violation.rule == INVENTED
        and "door-1 sent a request of nobody" in violation.text
        and violation.times == (1020,)
    )


def test_an_attempt_without_a_positive_verdict_at_its_time_is_reported() -> None:
    def verdict(at: float, status: int = 200, customer: str = "basic-0-1", keep_s: int = 0) -> Line:
        return {"t": at, "what": "verdict", "customer": customer, "status": status, "max_age": keep_s, "rid": ""}

    traces = valid_traces()  # the attempt arrives at 1010; the client try starts at 1000 and has 1000 ms
    traces.servers[0]["customer"] = "basic-0-1"
    traffic = join_traces(traces.clients, traces.servers, traces.feed, traces.events)
    for verdicts, violated in (
        ([verdict(1005)], False),
        ([], True),
        ([verdict(1005, 403)], True),
        ([verdict(1040)], True),  # later than the attempt by more than the slack of the clocks
        ([verdict(1005, customer="basic-0-2")], True),
        ([verdict(-2000, keep_s=1)], True),
        ([verdict(-2000, keep_s=3)], False),
    ):
        assert bool(list(check_verdicts(traffic, verdicts, 20.0))) is violated, verdicts
    traces.servers[0]["customer"] = "basic-0-2"
    [violation] = check_verdicts(
        join_traces(traces.clients, traces.servers, traces.feed, traces.events), [verdict(1005)], 20.0
    )
    assert "sent on as 'basic-0-2'" in violation.text
    traces.servers[0]["customer"] = "basic-0-1"
    traces.clients[0]["bad"] = True
    [violation] = check_verdicts(
        join_traces(traces.clients, traces.servers, traces.feed, traces.events), [verdict(1005)], 20.0
    )
    assert violation.rule == CHECKED and violation.rid == "r1.0"


def test_a_folder_of_traces_is_checked_and_its_result_is_written(tmp_path: Path) -> None:
    traces = valid_traces()
    traces.add_attempt(1100, 1105, attempt=1, server=2)
    (tmp_path / "day.txtpb").write_text(SCENARIO)
    for name, lines in (
        ("clients", traces.clients),
        ("server-0", traces.servers),
        ("feed", traces.feed),
        ("events", traces.events),
        ("redis", []),
    ):
        text = "".join(json.dumps(line) + "\n" for line in lines)
        (tmp_path / f"{name}.jsonl").write_text(text + '{"t": 5, "wh')  # truncated by a kill
    result = report.check_folder(tmp_path)
    assert result["kept"] is False and result["rules"][ANSWERED]["breaches"] == 1
    assert result["rules"][CEILINGS]["kept"] and result["figures"]["attempts"] == 2
    assert result["figures"]["served"] == 1 and result["figures"]["p50_ms"] == 60
    assert "BROKEN 1 times" in report.format_table(result) and result["rules"][COUNTED]["kept"]
    report.write_result(tmp_path, result)
    assert json.loads((tmp_path / "result.json").read_text())["kept"] is False


def test_a_folder_with_missing_traces_is_refused(tmp_path: Path) -> None:
    with pytest.raises(report.TraceError, match=r"day\.txtpb"):
        report.check_folder(tmp_path)
    (tmp_path / "day.txtpb").write_text(SCENARIO)
    with pytest.raises(report.TraceError, match=r"clients\.jsonl"):
        report.check_folder(tmp_path)
    for name in ("clients", "feed", "events", "redis"):
        (tmp_path / f"{name}.jsonl").write_text("")
    with pytest.raises(report.TraceError, match="has no request"):
        report.check_folder(tmp_path)


def test_a_client_try_must_be_recorded_once_with_its_customer_and_units() -> None:
    traces = valid_traces()
    traces.add_client_try("r2.0", at=2000)  # refused, so never forwarded
    traces.add_outcome(2010, 429, "r2.0")
    traffic = join_traces(traces.clients, traces.servers, traces.feed, traces.events)
    once = ("r1.0", "basic-0-1", 1.0)
    assert list(check_recorded(traffic, [once])) == []
    for exported, text in (
        ([], "not recorded"),
        ([once, once], "recorded 2 times"),
        ([once, ("r9.0", "basic-0-1", 1.0)], "no client made it"),
        ([("r1.0", "basic-0-2", 1.0)], "recorded for basic-0-2"),
        ([("r1.0", "basic-0-1", 3.0)], "with 3 units"),
    ):
        [violation] = check_recorded(traffic, exported)
        assert violation.rule == RECORDED and text in violation.text
    traces = Traces()
    traces.add_client_try()  # its first attempt met a closed port: forwarded, though it reached no server
    traces.add_outcome(1010, 503)
    assert list(check_recorded(join_traces(traces.clients, traces.servers, traces.feed, traces.events), [once])) == []
