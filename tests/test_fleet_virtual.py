"""Fault schedules in virtual time: the core keeps the checker's rules, and a core with a planted fault breaks them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest

from martenstep.config.text_format import SettingsError
from martenstep.lab.fleet.judge import Verdict, judge
from martenstep.lab.fleet.plays import run_schedule
from martenstep.lab.fleet.records import Belief, Truth, View, ViewEntry, read_records, write_records
from martenstep.lab.fleet.schedule import parse_schedule, steps_of
from martenstep.lab.fleet.virtual import VirtualFleet
from martenstep.membership.core import MembershipCore
from martenstep.membership.keyring import Keyring
from martenstep.membership.member import MemberRecord, MemberState
from martenstep.membership.record_merger import RecordMerger
from martenstep.membership.suspicion import SuspicionTracker

FOLDER = Path(__file__).resolve().parents[1] / "days" / "fleet"
SHORT_SCHEDULES = (
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
ONE_PAUSE = (
    'name: "p" members: 6 length_ms: 12000 settle_ms: 8000 trouble { what: PAUSE who: "d003" at_ms: 2000 for_ms: 2300 }'
)
# The members that suspect d003 are paused until long after d003 has refuted the suspicion.
SUSPECTING_MEMBERS_PAUSED = (
    'name: "t" members: 6 length_ms: 40000 settle_ms: 20000 '
    'trouble { what: PAUSE who: "d003" at_ms: 2000 for_ms: 2000 } '
    'trouble { what: PAUSE who: "d000,d001,d002,d004,d005" at_ms: 3500 for_ms: 28000 }'
)
CORRUPTED_DATAGRAMS = (
    'name: "s" members: 6 length_ms: 12000 settle_ms: 5000 trouble { what: CORRUPT share: 0.5 at_ms: 0 }'
)
KILL_WITHOUT_RESTART = (
    'name: "g" members: 6 length_ms: 110000 settle_ms: 5000 reclaim_ms: 20000 '
    'trouble { what: KILL who: "d003" at_ms: 2000 }'
)


@pytest.mark.parametrize("name", SHORT_SCHEDULES)
def test_the_core_keeps_every_rule_under_a_fault_schedule(name: str) -> None:
    played = run_schedule((FOLDER / f"{name}.txtpb").read_text(), name, seed=11)
    assert played.violations == []
    assert played.figures["false_deaths"] == 0


def test_every_schedule_file_is_valid() -> None:
    files = sorted(FOLDER.glob("*.txtpb"))
    assert len(files) > len(SHORT_SCHEDULES)
    for file in files:
        assert parse_schedule(file.read_text(), str(file)).name == file.stem


def _breaches(text: str, seeds: range = range(3)) -> list[str]:
    """Play a schedule with several seeds, and return the breaches of rules."""
    schedule = parse_schedule(text, "x")
    return [breach for seed in seeds for breach in judge(schedule, VirtualFleet(schedule, seed).run()).violations]


def _ignore_pause(core: MembershipCore, now: float) -> None:
    return


def _expire_without_checks(tracker: SuspicionTracker, now: float, name: str) -> None:
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


def _forget_no_member(core: MembershipCore, now: float) -> None:
    return


def _accept_any_mac(keyring: Keyring, data: bytes | memoryview, mac: bytes) -> bool:
    return True


class PlantedFault(NamedTuple):
    """A method of the core and its faulty replacement."""

    owner: type
    method: str
    replacement: Callable[..., object]


PAUSES_NOT_DETECTED = (
    PlantedFault(MembershipCore, "_detect_pause", _ignore_pause),
    PlantedFault(SuspicionTracker, "_expire", _expire_without_checks),
)
INCARNATION_NOT_RAISED = (PlantedFault(RecordMerger, "_apply_about_self", _refute_under_the_same_incarnation),)
NEVER_FORGOTTEN = (PlantedFault(MembershipCore, "_forget_gone_members", _forget_no_member),)
NO_REFUTATION = (PlantedFault(RecordMerger, "_apply_about_self", _refute_nothing),)
MAC_NOT_VERIFIED = (PlantedFault(Keyring, "verify", _accept_any_mac),)


@pytest.mark.parametrize(
    ("text", "faults", "rule"),
    [
        (SUSPECTING_MEMBERS_PAUSED, PAUSES_NOT_DETECTED, "alive"),
        (ONE_PAUSE, INCARNATION_NOT_RAISED, "alive"),
        (KILL_WITHOUT_RESTART, NEVER_FORGOTTEN, "forget"),
        (ONE_PAUSE, NO_REFUTATION, "alive"),
        (CORRUPTED_DATAGRAMS, MAC_NOT_VERIFIED, "agree"),
    ],
)
def test_the_checker_detects_a_planted_fault(
    text: str, faults: tuple[PlantedFault, ...], rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert _breaches(text) == []
    for fault in faults:
        assert hasattr(fault.owner, fault.method)
        monkeypatch.setattr(fault.owner, fault.method, fault.replacement)
    assert any(breach.startswith(rule) for breach in _breaches(text))


def test_a_run_is_identical_for_the_same_seed(tmp_path: Path) -> None:
    text = (FOLDER / "halves.txtpb").read_text()
    for name in ("a", "b"):
        run_schedule(text, "x", 5, tmp_path / name)
    assert (tmp_path / "a" / "records.jsonl").read_bytes() == (tmp_path / "b" / "records.jsonl").read_bytes()
    assert len(list(read_records(tmp_path / "a" / "records.jsonl"))) > 100


def _check_records(*records: Truth | Belief | View) -> Verdict:
    """Judge records of a cluster of two members, after the records of their starts."""
    schedule = parse_schedule('name: "x" members: 2 seeds: 1', "x")
    starts = [Truth(0, "started", name, name, {"life": number}) for number, name in enumerate(("d000", "d001"))]
    return judge(schedule, [*starts, Truth(1, "begins"), *records])


def test_the_checker_needs_only_the_records(tmp_path: Path) -> None:
    all_members = [ViewEntry("d000", "alive", 0, 0), ViewEntry("d001", "alive", 1, 0)]
    views = [View(90_000, name, "joined", all_members) for name in ("d000", "d001")]
    assert _check_records(*views).invariants_hold
    dead = Belief(80_000, "d000", "dead", "d001", {"by": "d000", "incarnation": 1})
    assert [breach[:5] for breach in _check_records(dead, *views).violations] == ["alive"]
    pause = [Truth(70_000, "paused", "d001", "d001"), Truth(75_000, "resumed", "d001", "d001")]
    assert _check_records(*pause, dead, *views).invariants_hold
    suspicion = Belief(75_500, "d001", "suspect", "d000", {"by": "d001"})
    assert [breach[:7] for breach in _check_records(*pause, suspicion, *views).violations] == ["witness"]
    incomplete = View(90_000, "d001", "joined", all_members[1:])
    assert _check_records(views[0], incomplete).violations == ["agree: d001 lacks d000 at the end"]
    write_records(tmp_path / "r", [dead, *views])
    assert list(read_records(tmp_path / "r")) == [dead, *views]


def test_errors_in_a_schedule_are_reported_with_their_line() -> None:
    with pytest.raises(SettingsError) as error:
        parse_schedule('name: "x"\ntrouble { what: LOSS at_ms: -1 }\ntrouble { what: PAUSE who: "nobody" }', "f")
    text = "\n".join(problem.describe("f") for problem in error.value.problems)
    assert "f:2" in text and "share" in text and "at_ms" in text and "who" in text and "for_ms" in text


def test_random_choices_of_a_schedule_depend_only_on_the_seed() -> None:
    schedule = parse_schedule((FOLDER / "third-lost.txtpb").read_text(), "x")
    assert steps_of(schedule, 3) == steps_of(schedule, 3) != steps_of(schedule, 4)
    assert len({name for step in steps_of(schedule, 3) for name in step.members}) == 8
