"""Schedules in virtual time: the hard cases keep the judge's rules, and seeded flaws of the core break them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest

from martenstep.config.text_format import SettingsError
from martenstep.lab.fleet.judge import Verdict, judge
from martenstep.lab.fleet.plays import play
from martenstep.lab.fleet.records import Belief, Held, Truth, View, read_records, write_records
from martenstep.lab.fleet.schedule import parse_schedule, steps_of
from martenstep.lab.fleet.virtual import World
from martenstep.membership.core import MembershipCore
from martenstep.membership.keyring import Keyring
from martenstep.membership.member import MemberRecord, MemberState
from martenstep.membership.record_merger import RecordMerger
from martenstep.membership.suspicion import SuspicionTracker

FOLDER = Path(__file__).resolve().parents[1] / "days" / "fleet"
QUICK = (
    "pauses",
    "half-paused",
    "pair-one-way",
    "unheard",
    "deaf",
    "zone-one-way",
    "three-groups",
    "halves",
    "flapping-link",
    "flapping-process",
    "third-lost",
    "all-restarted",
    "seeds-lost",
    "names",
    "forged",
    "disks",
)
PAUSE = (
    'name: "p" members: 6 length_ms: 12000 settle_ms: 8000 trouble { what: PAUSE who: "d003" at_ms: 2000 for_ms: 2300 }'
)
# Those who suspect d003 stand until long after it has refuted that.
TURNS = (
    'name: "t" members: 6 length_ms: 40000 settle_ms: 20000 '
    'trouble { what: PAUSE who: "d003" at_ms: 2000 for_ms: 2000 } '
    'trouble { what: PAUSE who: "d000,d001,d002,d004,d005" at_ms: 3500 for_ms: 28000 }'
)
SPOILT = 'name: "s" members: 6 length_ms: 12000 settle_ms: 5000 trouble { what: CORRUPT share: 0.5 at_ms: 0 }'
GONE = (
    'name: "g" members: 6 length_ms: 110000 settle_ms: 5000 reclaim_ms: 20000 '
    'trouble { what: KILL who: "d003" at_ms: 2000 }'
)


@pytest.mark.parametrize("name", QUICK)
def test_a_hard_case_keeps_every_rule(name: str) -> None:
    played = play((FOLDER / f"{name}.txtpb").read_text(), name, seed=11)
    assert played.breaches == []
    assert played.figures["false_deaths"] == 0


def test_every_schedule_in_the_folder_is_well_formed() -> None:
    files = sorted(FOLDER.glob("*.txtpb"))
    assert len(files) > len(QUICK)
    for file in files:
        assert parse_schedule(file.read_text(), str(file)).name == file.stem


def _plain(text: str, seeds: range = range(3)) -> list[str]:
    schedule = parse_schedule(text, "x")
    return [breach for seed in seeds for breach in judge(schedule, World(schedule, seed).play()).breaches]


def _ignore_pause(core: MembershipCore, now: float) -> None:
    return


def _expire_at_once(tracker: SuspicionTracker, now: float, name: str) -> None:
    record = tracker._node.table.get(name)
    suspicion = tracker.suspicions.get(name)
    if suspicion is not None and now >= suspicion.expires_ms and record is not None:
        tracker._apply_record(now, record.with_state(MemberState.DEAD, tracker._node.record.name))


def _refute_under_the_same_incarnation(merger: RecordMerger, now: float, record: MemberRecord) -> None:
    own = merger._node.record
    if record.owner == own.owner and record.state is not MemberState.ALIVE:
        merger._node.gossip_queue.enqueue(own)


def _refute_nothing(merger: RecordMerger, now: float, record: MemberRecord) -> None:
    return


def _forget_nobody(core: MembershipCore, now: float) -> None:
    return


def _verify_nothing(keyring: Keyring, data: bytes | memoryview, mac: bytes) -> bool:
    return True


class Flaw(NamedTuple):
    """A method of the core, and what stands in its place."""

    owner: type
    method: str
    replacement: Callable[..., object]


TIMERS_TRUSTED = (
    Flaw(MembershipCore, "_detect_pause", _ignore_pause),
    Flaw(SuspicionTracker, "_expire", _expire_at_once),
)
INCARNATION_NOT_RAISED = (Flaw(RecordMerger, "_apply_about_self", _refute_under_the_same_incarnation),)
NEVER_FORGOTTEN = (Flaw(MembershipCore, "_forget_gone_members", _forget_nobody),)
NO_REFUTATION = (Flaw(RecordMerger, "_apply_about_self", _refute_nothing),)
MAC_NOT_VERIFIED = (Flaw(Keyring, "verify", _verify_nothing),)


@pytest.mark.parametrize(
    ("text", "flaws", "rule"),
    [
        (TURNS, TIMERS_TRUSTED, "alive"),
        (PAUSE, INCARNATION_NOT_RAISED, "alive"),
        (GONE, NEVER_FORGOTTEN, "forget"),
        (PAUSE, NO_REFUTATION, "alive"),
        (SPOILT, MAC_NOT_VERIFIED, "agree"),
    ],
)
def test_the_judge_catches_a_seeded_flaw(
    text: str, flaws: tuple[Flaw, ...], rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert _plain(text) == []
    for flaw in flaws:
        assert hasattr(flaw.owner, flaw.method)
        monkeypatch.setattr(flaw.owner, flaw.method, flaw.replacement)
    assert any(breach.startswith(rule) for breach in _plain(text))


def test_a_play_is_the_same_for_the_same_seed(tmp_path: Path) -> None:
    text = (FOLDER / "halves.txtpb").read_text()
    for name in ("a", "b"):
        play(text, "x", 5, tmp_path / name)
    assert (tmp_path / "a" / "records.jsonl").read_bytes() == (tmp_path / "b" / "records.jsonl").read_bytes()
    assert len(list(read_records(tmp_path / "a" / "records.jsonl"))) > 100


def _judged(*records: Truth | Belief | View) -> Verdict:
    schedule = parse_schedule('name: "x" members: 2 seeds: 1', "x")
    lives = [Truth(0, "started", name, name, {"life": number}) for number, name in enumerate(("d000", "d001"))]
    return judge(schedule, [*lives, Truth(1, "begins"), *records])


def test_the_judge_reads_rules_from_records_alone(tmp_path: Path) -> None:
    whole = [Held("d000", "alive", 0, 0), Held("d001", "alive", 1, 0)]
    views = [View(90_000, name, "joined", whole) for name in ("d000", "d001")]
    assert _judged(*views).kept
    dead = Belief(80_000, "d000", "dead", "d001", {"by": "d000", "incarnation": 1})
    assert [breach[:5] for breach in _judged(dead, *views).breaches] == ["alive"]
    stood = [Truth(70_000, "paused", "d001", "d001"), Truth(75_000, "resumed", "d001", "d001")]
    assert _judged(*stood, dead, *views).kept
    accused = Belief(75_500, "d001", "suspect", "d000", {"by": "d001"})
    assert [breach[:7] for breach in _judged(*stood, accused, *views).breaches] == ["witness"]
    short = View(90_000, "d001", "joined", whole[1:])
    assert _judged(views[0], short).breaches == ["agree: d001 lacks d000 at the end"]
    write_records(tmp_path / "r", [dead, *views])
    assert list(read_records(tmp_path / "r")) == [dead, *views]


def test_faults_of_a_schedule_are_told_with_their_place() -> None:
    with pytest.raises(SettingsError) as told:
        parse_schedule('name: "x"\ntrouble { what: LOSS at_ms: -1 }\ntrouble { what: PAUSE who: "nobody" }', "f")
    text = "\n".join(fault.describe("f") for fault in told.value.problems)
    assert "f:2" in text and "share" in text and "at_ms" in text and "who" in text and "for_ms" in text


def test_a_schedule_is_drawn_the_same_from_the_same_seed() -> None:
    schedule = parse_schedule((FOLDER / "third-lost.txtpb").read_text(), "x")
    assert steps_of(schedule, 3) == steps_of(schedule, 3) != steps_of(schedule, 4)
    assert len({name for step in steps_of(schedule, 3) for name in step.who}) == 8
