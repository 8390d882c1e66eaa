"""Each rule of the checker, shown failing on a seeded breach and keeping silent without it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from martenstep.lab import report
from martenstep.lab.day import parse_day
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
    Breach,
    Judge,
    checked,
    gather,
    recorded,
)

DAY = """
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


class Story:
    """Traces of a day that keeps every rule, to be doctored."""

    def __init__(self) -> None:
        self.clients: list[Line] = []
        self.servers: list[Line] = []
        self.feed: list[Line] = []
        self.events: list[Line] = [
            {"t": 0.0, "what": "server", "server": n, "zone": "ab"[n % 2], "cell": n % 2} for n in (1, 2, 3, 4)
        ]

    def tried(
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

    def got(self, at: float, status: int = 200, rid: str = "r1.0", what: str = "answer") -> None:
        self.clients.append({"t": at, "what": what, "rid": rid, "status": status, "reason": "", "advice": 0})

    def visit(
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
        told = {"rid": rid, "attempt": attempt, "server": server, "door": f"door-{door}"}
        self.servers.append({"t": at, "what": "arrive", "cls": "", "key": key, "customer": customer, **told})
        if how != "refused":
            self.servers.append({"t": at + 1, "what": "run", **told})
        if end is not None:
            ended = {"what": "closed"} if how == "closed" else {"what": "end", "how": how}
            self.servers.append({"t": end, **ended, **told})

    def told(
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

    def judged(self) -> list[Breach]:
        traffic = gather(self.clients, self.servers, self.feed, self.events)
        return Judge(parse_day(DAY, "day"), traffic).all()

    def rules(self) -> set[str]:
        return {breach.rule for breach in self.judged()}


def sound() -> Story:
    story = Story()
    story.tried()
    story.visit(1010, 1050)
    story.got(1060)
    return story


def test_a_sound_day_breaks_nothing() -> None:
    assert sound().judged() == []


def test_no_answer_two_answers_and_a_late_one_are_told() -> None:
    for line in ("no answer", "broken"):
        story = Story()
        story.tried()
        story.got(2500, 0, what=line)
        assert story.rules() == {ANSWERED}
    story = Story()
    story.tried()  # the trace ends without a word
    assert story.rules() == {ANSWERED}
    story = sound()
    story.got(1070)
    [breach] = story.judged()
    assert breach.rule == ANSWERED and breach.rid == "r1.0" and breach.times == (1060, 1070)
    for at, broken in ((2029.0, set()), (2031.0, {ANSWERED})):  # deadline 2000, slacks 10 and 20
        story = Story()
        story.tried()
        story.got(at, 503)
        assert story.rules() == broken


def test_what_is_sent_after_the_answer_or_the_deadline_is_told() -> None:
    for at, broken in ((1079.0, set()), (1081.0, {ANSWERED})):
        story = sound()
        story.visit(at, at + 5, attempt=1, server=2)
        assert story.rules() == broken
    story = Story()
    story.tried()
    story.got(2005, 504)
    story.visit(2021, 2030)
    assert ANSWERED in story.rules()


def test_a_killed_door_excuses_only_what_it_could_hold() -> None:
    story = Story()
    story.tried(at=1000)
    story.got(1500, 0, what="broken")
    story.events += [{"t": 1500.0, "what": "door down", "door": 0}, {"t": 3000.0, "what": "door up", "door": 0}]
    assert story.judged() == []
    story.tried("r2.0", at=3100)
    story.got(3200, 0, "r2.0", "broken")
    assert [breach.rid for breach in story.judged()] == ["r2.0"]
    story = Story()
    story.tried(door=1)
    story.got(1500, 0, what="broken")
    story.events += [{"t": 1500.0, "what": "door down", "door": 0}]  # another door
    assert story.rules() == {ANSWERED}


def test_a_door_that_leaves_is_excused_only_for_what_it_never_took() -> None:
    story = Story()
    story.tried()
    story.got(1010, 0, what="broken")
    story.events += [{"t": 990.0, "what": "door stopping", "door": 0}, {"t": 2000.0, "what": "door up", "door": 0}]
    assert story.judged() == []
    story.visit(1005, 1009)
    assert story.rules() == {ANSWERED}


def test_two_attempts_out_at_once_are_told() -> None:
    for end, broken in ((1219.0, set()), (1221.0, {DOUBLE}), (None, {DOUBLE})):
        story = Story()
        story.tried()
        story.visit(1010, end, how="closed")
        story.visit(1200, 1250, server=2, attempt=1)
        story.got(1260)
        assert story.rules() == broken
    story = sound()
    story.visit(1012, 1050, server=2)  # one attempt, two servers
    assert story.rules() == {DOUBLE}


def test_a_server_that_died_ends_its_attempts() -> None:
    story = Story()
    story.tried()
    story.visit(1010, None)
    story.events.append({"t": 1100.0, "what": "server down", "server": 1})
    story.visit(1120, 1150, server=2, attempt=1)
    story.got(1160)
    assert story.judged() == []


@pytest.mark.parametrize(
    ("cls", "server", "at", "key", "broken"),
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
def test_repeats_follow_class_group_window_and_key(cls: str, server: int, at: float, key: str, broken: bool) -> None:
    story = Story()
    story.tried(cls=cls)
    story.visit(1010, 1050, how="reset", key="k" if key else "")
    story.visit(at, at + 10, server=server, attempt=1, key=key)
    story.got(at + 20)
    assert story.rules() == ({DOUBLE} if broken else set())


def test_an_unsafe_repeat_after_a_refusal_by_the_server_is_allowed() -> None:
    story = Story()
    story.tried(cls="pay")
    story.visit(1010, 1020, how="refused")
    story.visit(1030, 1050, server=2, attempt=1)
    story.got(1060)
    assert story.judged() == []


@pytest.mark.parametrize(
    ("cls", "status", "broken"),
    [
        ("pay", 503, True),
        ("pay", 429, True),
        ("pay", 502, False),
        ("write", 503, True),
        ("all", 503, False),
        ("read", 503, False),
    ],
)
def test_a_refusal_promises_that_a_repeat_does_no_harm(cls: str, status: int, broken: bool) -> None:
    story = Story()
    story.tried(cls=cls)
    story.visit(1010, 1050, how="reset", key="k")
    story.got(1060, status)
    assert story.rules() == ({DOUBLE} if broken else set())


def test_sends_after_the_drain_grace_are_told_by_what_that_door_was_told() -> None:
    for state in ("draining", "gone"):
        for at, broken in ((1519.0, set()), (1521.0, {DRAINS})):
            story = Story()
            story.told(500, 1, "up")
            story.told(1000, 1, state)
            story.tried(at=at - 10)
            story.visit(at, at + 5)
            story.got(at + 10)
            assert story.rules() == broken
    story = Story()
    story.told(1000, 1, "draining", door=1)  # only the other door was told
    story.tried(at=3000)
    story.visit(3010, 3020)
    story.got(3030)
    assert story.judged() == []
    story.told(1500, 1, "draining", door=0)
    story.told(2000, 1, "up", door=0)  # and back
    assert story.judged() == []


def test_a_server_missing_from_a_whole_list_is_gone() -> None:
    story = Story()
    story.told(500, 1, "up")
    story.told(1000, 2, "up", scope="full")
    story.tried(at=2000)
    story.visit(2010, 2020)
    story.got(2030)
    assert story.rules() == {DRAINS}


def test_a_cold_server_pushed_over_is_told_where_the_doors_knew() -> None:
    for knew, broken in ((0, set()), (1, set()), (2, {COLD})):
        story = Story()
        for door in range(knew):
            story.told(900, 1, "up", door=door, started=5.0)
        for number in range(30):
            rid, door = f"r{number}.0", number % 2
            story.tried(rid, at=1000 + number, door=door)
            story.visit(1001 + number, 1005 + number, how="closed", rid=rid, door=door)
            story.got(1010 + number, rid=rid)
        story.servers.append({"t": 1032.0, "what": "fell", "server": 1})
        assert story.rules() == broken


def test_a_ceiling_passed_by_all_doors_together_is_told() -> None:
    # The store holds 4 and may go 1 below 0, with 2 a second and the clocks' slack of 20 ms.
    for sends, broken in ((5, set()), (6, {CEILINGS})):
        story = Story()
        for number in range(sends):
            rid = f"r{number}.0"
            story.tried(rid, at=1000, customer="studio-0-0", door=number % 2)
            story.visit(1001, 1005, rid=rid, door=number % 2)
            story.visit(1008, 1009, rid=rid, door=number % 2, attempt=1)  # further attempts cost nothing
            story.got(1010, rid=rid)
        assert story.rules() == broken
    story = Story()
    for number in range(20):  # at its rate, for ever
        rid = f"r{number}.0"
        story.tried(rid, at=1000 + 500 * number, customer="studio-0-0")
        story.visit(1001 + 500 * number, 1005 + 500 * number, rid=rid)
        story.got(1010 + 500 * number, rid=rid)
    assert story.judged() == []


def test_an_attempt_whose_reset_a_cut_swallowed_is_not_out_for_its_door() -> None:
    def story(*ways: tuple[str, str], to: float = 1500.0) -> Story:
        made = Story()
        made.tried()
        made.visit(1010, 1300, server=1)  # in zone b
        made.visit(1200, 1250, attempt=1, server=2)
        made.got(1260)
        for on, at in ((True, 1100.0), (False, to)):
            made.events.append({"t": at, "what": "trouble", "name": "NET_CUT", "on": on, "ways": ways, "targets": []})
        return made

    assert story().rules() == {DOUBLE}
    assert story(("server-1", "door-0")).rules() == {DOUBLE}  # resets get through
    assert story(("door-0", "server-2")).rules() == {DOUBLE}
    assert story(("door-0", "server-1"), to=1150).rules() == {DOUBLE}  # healed before
    for source, sink in (("door-0", "server-1"), ("door-*", "server-*"), ("zone-a", "b"), ("door-0", "b")):
        assert story((source, sink)).rules() == set(), (source, sink)


def test_what_a_cut_held_is_not_sent_to_a_draining_server_after_the_notice() -> None:
    """Grace 500 ms, slack 20."""

    def story(at: float = 1000, since: float = 1050, to: float = 1900, sink: str = "server-1") -> Story:
        made = Story()
        made.told(1100, 1, "draining")
        made.tried(at=at)
        made.visit(1980, 1990, server=1)
        made.got(1995)
        for on, when in ((True, since), (False, to)):
            made.events.append(
                {"t": when, "what": "trouble", "name": "NET_CUT", "on": on, "targets": [], "ways": [("door-*", sink)]}
            )
        return made

    assert story().rules() == set()
    assert story(sink="server-2").rules() == {DRAINS}
    assert story(at=1700).rules() == {DRAINS}  # it came to its door after the grace
    assert story(since=1700).rules() == {DRAINS}  # so did the cut
    assert story(to=1400).rules() == {DRAINS}  # healed long before


def test_what_no_client_sent_is_told_and_counts_at_the_ceiling() -> None:
    for number, broken in ((1, {INVENTED}), (80, {INVENTED, CEILINGS})):
        story = sound()
        for one in range(number):
            story.visit(1001, 1005, rid=f"made-up-{one}", customer="studio-0-0")
        assert story.rules() == broken
    story = sound()
    story.visit(1020, 1030, rid="made-up", door=1)
    [breach] = story.judged()
    assert breach.rule == INVENTED and "door-1 sent a request of nobody" in breach.text and breach.times == (1020,)


def test_nothing_may_reach_a_server_without_a_verdict_of_its_time() -> None:
    def verdict(at: float, status: int = 200, customer: str = "basic-0-1", keep_s: int = 0) -> Line:
        return {"t": at, "what": "verdict", "customer": customer, "status": status, "max_age": keep_s, "rid": ""}

    story = sound()  # sent at 1010, its try made at 1000 with 1000 ms to go
    story.servers[0]["customer"] = "basic-0-1"
    traffic = gather(story.clients, story.servers, story.feed, story.events)
    for verdicts, broken in (
        ([verdict(1005)], False),
        ([], True),
        ([verdict(1005, 403)], True),
        ([verdict(1040)], True),  # it came too late, by more than the clocks' slack
        ([verdict(1005, customer="basic-0-2")], True),
        ([verdict(-2000, keep_s=1)], True),
        ([verdict(-2000, keep_s=3)], False),
    ):
        assert bool(list(checked(traffic, verdicts, 20.0))) is broken, verdicts
    story.servers[0]["customer"] = "basic-0-2"
    [breach] = checked(gather(story.clients, story.servers, story.feed, story.events), [verdict(1005)], 20.0)
    assert "sent on as 'basic-0-2'" in breach.text
    story.servers[0]["customer"] = "basic-0-1"
    story.clients[0]["bad"] = True
    [breach] = checked(gather(story.clients, story.servers, story.feed, story.events), [verdict(1005)], 20.0)
    assert breach.rule == CHECKED and breach.rid == "r1.0"


def test_a_folder_is_judged_alone_and_its_result_is_kept(tmp_path: Path) -> None:
    story = sound()
    story.visit(1100, 1105, attempt=1, server=2)
    (tmp_path / "day.txtpb").write_text(DAY)
    for name, lines in (
        ("clients", story.clients),
        ("server-0", story.servers),
        ("feed", story.feed),
        ("events", story.events),
        ("redis", []),
    ):
        text = "".join(json.dumps(line) + "\n" for line in lines)
        (tmp_path / f"{name}.jsonl").write_text(text + '{"t": 5, "wh')  # cut off by a kill
    result = report.judge_folder(tmp_path)
    assert result["kept"] is False and result["rules"][ANSWERED]["breaches"] == 1
    assert result["rules"][CEILINGS]["kept"] and result["figures"]["attempts"] == 2
    assert result["figures"]["served"] == 1 and result["figures"]["p50_ms"] == 60
    assert "BROKEN 1 times" in report.table(result) and result["rules"][COUNTED]["kept"]
    report.write_result(tmp_path, result)
    assert json.loads((tmp_path / "result.json").read_text())["kept"] is False


def test_a_folder_without_a_day_is_told(tmp_path: Path) -> None:
    with pytest.raises(report.TraceError, match=r"day\.txtpb"):
        report.judge_folder(tmp_path)
    (tmp_path / "day.txtpb").write_text(DAY)
    with pytest.raises(report.TraceError, match=r"clients\.jsonl"):
        report.judge_folder(tmp_path)
    for name in ("clients", "feed", "events", "redis"):
        (tmp_path / f"{name}.jsonl").write_text("")
    with pytest.raises(report.TraceError, match="no request"):
        report.judge_folder(tmp_path)


def test_a_try_must_be_recorded_once_and_as_it_was_made() -> None:
    story = sound()
    story.tried("r2.0", at=2000)  # refused: never sent on
    story.got(2010, 429, "r2.0")
    traffic = gather(story.clients, story.servers, story.feed, story.events)
    once = ("r1.0", "basic-0-1", 1.0)
    assert list(recorded(traffic, [once])) == []
    for exported, told in (
        ([], "not recorded"),
        ([once, once], "recorded 2 times"),
        ([once, ("r9.0", "basic-0-1", 1.0)], "no client made it"),
        ([("r1.0", "basic-0-2", 1.0)], "recorded for basic-0-2"),
        ([("r1.0", "basic-0-1", 3.0)], "with 3 units"),
    ):
        [breach] = recorded(traffic, exported)
        assert breach.rule == RECORDED and told in breach.text
    story = Story()
    story.tried()  # its first attempt met a closed port: sent on, though no server saw it
    story.got(1010, 503)
    assert list(recorded(gather(story.clients, story.servers, story.feed, story.events), [once])) == []
