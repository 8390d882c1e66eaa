"""Releases: which acts for whom, when one goes, and that half a release on the disk is none."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.hooks.bounded_files import ReleaseError
from martenstep.hooks.release import Release
from martenstep.hooks.release_files import Rollout, publish, read_directory, read_release
from martenstep.hooks.release_history import ReleaseHistory
from martenstep.hooks.release_manager import ReleaseManager, select_releases
from martenstep.hooks.run_context import MAX_STEPS
from martenstep.hooks.runner import MAX_FAILURES, OPEN_MS, HealthLimits, Runner
from martenstep.hooks.signing import create_private_key, load_private_key
from tests.hook_rig import release, words

GOOD = words('"well"')
BAD = words("text([0][floor(r.time)])")
REQUEST: tuple[Any, ...] = ("GET", "/p/1", "h", "anna", "studio", "read", 1.0, "de", "text/html", [], 0.0)
REFUSAL = (429.0, "quota", 2500.0)
KEYS = [f"customer-{number}" for number in range(2000)]


class ManagerFixture:
    """A release manager and the events that it logged."""

    def __init__(self, *releases: Release, **limits: Any) -> None:
        self.events: list[str] = []
        self.manager = ReleaseManager(HealthLimits(**limits), lambda event, fields: self.events.append(event))
        self.manager.replace_releases(releases)
        self.now = 1_000_000.0

    def run(self, runner: Runner, time: float = 0.0) -> None:
        """One run of a refusal hook; with a time of 7 the bad one fails."""
        runner.call(
            self.now, "refusal", "anna", "studio", lambda: ((*REQUEST[:-1], time), REFUSAL), lambda made: made, None
        )


@given(
    st.lists(st.tuples(st.integers(1, 9), st.booleans()), unique_by=lambda one: one[0], max_size=6),
    st.sets(st.integers(1, 9), max_size=4),
)
@hypo(max_examples=200, deadline=None, derandomize=True)
def test_the_newest_whole_one_acts_and_a_newer_trial_beside_it(made: list[tuple[int, bool]], gone: set[int]) -> None:
    whole, trial = select_releases([release(version, share=1.0 if all_of else 0.5) for version, all_of in made], gone)
    left = {version: all_of for version, all_of in made if version not in gone}
    assert (whole.version if whole else 0) == max((v for v, all_of in left.items() if all_of), default=0)
    newest = max(left, default=0)
    assert (trial.version if trial else 0) == (newest if newest and not left[newest] else 0)


def test_a_wider_trial_keeps_the_customers_of_the_narrower_one() -> None:
    tenth, half = release(2, share=0.1, trial=("vip",)), release(3, share=0.5)
    first, second = ({key for key in KEYS if one.includes(key)} for one in (tenth, half))
    assert first < second and 150 < len(first) < 250 and 900 < len(second) < 1100
    assert tenth.includes("vip") and not tenth.includes(next(iter(second - first)))


def test_a_trial_is_withdrawn_at_the_first_hook_left_alone() -> None:
    fixture = ManagerFixture(release(1, GOOD), release(2, BAD, share=0.5))
    active = fixture.manager.active
    assert active.canary is not None
    for _ in range(MAX_FAILURES):
        fixture.run(active.canary, 7.0)
    assert fixture.manager.active_versions == {"whole": 1, "trial": 0} and fixture.manager.rolled_back == {2}
    assert fixture.events[-2:] == ["hooks withdrawn", "hooks"]
    fixture.run(active.canary, 7.0)  # a request that began with it keeps it, harmless
    fixture.manager.replace_releases([release(1, GOOD), release(2, BAD, share=0.5)])
    assert fixture.manager.active_versions["trial"] == 0  # a reload brings it not back
    fixture.manager.replace_releases([release(1, GOOD), release(3, GOOD, share=0.5)])
    assert fixture.manager.active_versions == {"whole": 1, "trial": 3}


def test_a_whole_release_is_withdrawn_once_a_hook_never_works() -> None:
    fixture = ManagerFixture(release(1, GOOD), release(2, BAD))
    runner = fixture.manager.active.full
    assert runner is not None
    for _ in range(MAX_FAILURES):
        fixture.run(runner, 7.0)
    assert fixture.manager.active_versions["whole"] == 2  # one break proves little: its callers may be odd
    for _ in range(2):
        fixture.now += OPEN_MS
        fixture.run(runner, 7.0)
    assert fixture.manager.active_versions["whole"] == 1 and fixture.manager.counts["withdrawn"] == 1


def test_a_good_run_between_two_breaks_keeps_it() -> None:
    fixture = ManagerFixture(release(1, BAD))
    runner = fixture.manager.active.full
    assert runner is not None
    for _ in range(4):
        for _ in range(MAX_FAILURES):
            fixture.run(runner, 7.0)
        fixture.now += OPEN_MS
        fixture.run(runner, 0.0)
    assert fixture.manager.active_versions["whole"] == 1 and fixture.manager.counts["refusal breaks"] == 4


def test_a_share_of_failures_is_a_bound() -> None:
    fixture = ManagerFixture(release(1, BAD), max_failure_share=0.05)
    runner = fixture.manager.active.full
    assert runner is not None
    for number in range(99):
        fixture.run(runner, 7.0 if number % 16 == 0 else 0.0)
    assert fixture.manager.active_versions["whole"] == 1
    fixture.run(runner)
    assert fixture.manager.active_versions["whole"] == 0


def test_a_hook_that_costs_too_much_is_withdrawn() -> None:
    fixture = ManagerFixture(
        release(1, GOOD), release(2, words("text(for x in range(150), n = 0 { n + 1 })")), max_mean_steps=400.0
    )
    runner = fixture.manager.active.full
    assert runner is not None
    for _ in range(100):
        fixture.run(runner)
    assert runner.steps_used / 100 > 400 and runner.steps_used / 100 < MAX_STEPS
    assert fixture.manager.active_versions["whole"] == 1 and fixture.manager.counts["refusal good"] == 100


def test_a_version_keeps_the_contents_under_which_it_is_known() -> None:
    fixture = ManagerFixture(release(1, GOOD))
    runner = fixture.manager.active.full
    other = Release(1, "another digest", ())
    fixture.manager.replace_releases([other])
    assert fixture.manager.active.full is runner and fixture.events[-1] == "hooks changed under a known version"


def test_an_empty_release_switches_all_hooks_off() -> None:
    fixture = ManagerFixture(release(1, GOOD), release(2))
    runner = fixture.manager.active.runner("anna")
    assert runner is not None and not runner.has("refusal")


# On the disk --------------------------------------------------------------------------------------------


def source(folder: Path, **texts: str) -> Path:
    """A folder of drafts."""
    folder.mkdir(exist_ok=True)
    for name, text in texts.items():
        (folder / f"{name}.hook").write_text(text)
    return folder


def test_what_is_published_is_read_back(tmp_path: Path) -> None:
    drafts = source(tmp_path / "drafts", words=GOOD, log="on log(r, a) { [] }")
    made = publish(drafts, tmp_path / "hooks", 7, Rollout(0.25, ["anna"], "gentler"))
    contents = read_directory(tmp_path / "hooks")
    [read] = contents.releases
    assert not contents.problems and made.name == "7" and (read.version, read.share, read.about) == (7, 0.25, "gentler")
    assert {one.point for one in read.hooks} == {"refusal", "log"} and read.trial_customers == {"anna"}
    with pytest.raises(ReleaseError, match="never used again"):
        publish(drafts, tmp_path / "hooks", 7)
    assert [path.name for path in (tmp_path / "hooks").iterdir()] == ["7"]


def test_a_release_that_no_door_would_take_is_not_published(tmp_path: Path) -> None:
    drafts = source(tmp_path / "drafts", words="on refusal(r, why) { 1 }")
    with pytest.raises(ReleaseError, match=r"words\.hook:1:22"):
        publish(drafts, tmp_path / "hooks", 1)
    assert not (tmp_path / "hooks").exists() or not list((tmp_path / "hooks").iterdir())


@pytest.mark.parametrize("name", ["manifest.txtpb", "words.hook"])
def test_a_copy_under_way_is_no_release_at_any_byte(tmp_path: Path, name: str) -> None:
    made = publish(source(tmp_path / "drafts", words=GOOD), tmp_path / "hooks", 1)
    whole = (made / name).read_bytes()
    least = whole.rindex(b"end: t") + len(b"end: t") if name == "manifest.txtpb" else len(whole)  # "t" reads as true
    for length in range(least):
        (made / name).write_bytes(whole[:length])
        with pytest.raises(ReleaseError):
            read_release(made)
    (made / name).write_bytes(whole)
    assert read_release(made).version == 1


def test_only_what_a_trusted_key_signed_is_taken_where_keys_are_told(tmp_path: Path) -> None:
    ours, theirs = create_private_key(tmp_path / "ours.pem"), create_private_key(tmp_path / "theirs.pem")
    assert (tmp_path / "ours.pem").stat().st_mode & 0o777 == 0o600
    drafts, hooks = source(tmp_path / "drafts", words=GOOD), tmp_path / "hooks"
    for version, key in ((1, None), (2, "theirs.pem"), (3, "ours.pem"), (4, "ours.pem"), (5, "ours.pem")):
        publish(drafts, hooks, version, key=load_private_key(tmp_path / key) if key else None)
    with (hooks / "4" / "words.hook").open("a") as file:
        file.write("# changed\n")
    text = (hooks / "5" / "manifest.txtpb").read_text()
    (hooks / "5" / "manifest.txtpb").write_text(text.replace("version: 5", "version: 6"))
    contents = read_directory(hooks, [ours])
    assert [(one.version, one.signer) for one in contents.releases] == [(3, ours)]
    assert [text.partition(" (")[0] for text in contents.problems] == [
        "1: is not signed",
        "2: is not signed by a trusted key",
        "4: words.hook: not the file that the manifest names",
        "5: is not signed by a trusted key",
    ]
    assert {one.version for one in read_directory(hooks, [theirs, ours]).releases} == {2, 3}


@pytest.mark.parametrize(
    ("old", "new", "expected_message"),
    [
        ("version: 1", "version: 0", "version: expected at least 1"),
        ("share: 1", "share: 0", "share: expected above 0"),
        ("share: 1", "share: nan", "share: expected a finite"),
        ('file: "words.hook"', 'file: "../words.hook"', "expected the name of a .hook file"),
        ('file: "words.hook"', 'file: "gone.hook"', "gone.hook: No such file"),
        ('point: "refusal"', 'point: "answer"', "holds no hook on answer"),
        ('point: "refusal"', 'point: "later"', "no point is named 'later'"),
        ("hook {", 'hook { point: "refusal" file: "a.hook" sha256: "' + "0" * 64 + '" } hook {', "never acts"),
        ("end: true", "end: false", "half-written"),
    ],
)
def test_a_manifest_with_a_fault_names_it(tmp_path: Path, old: str, new: str, expected_message: str) -> None:
    made = publish(source(tmp_path / "drafts", words=GOOD), tmp_path / "hooks", 1)
    text = (made / "manifest.txtpb").read_text()
    assert old in text
    (made / "manifest.txtpb").write_text(text.replace(old, new, 1))
    contents = read_directory(tmp_path / "hooks")
    [problem] = contents.problems
    assert not contents.releases and expected_message in problem


def test_two_folders_of_one_version_are_neither_taken(tmp_path: Path) -> None:
    drafts = source(tmp_path / "drafts", words=GOOD)
    publish(drafts, tmp_path / "hooks", 1)
    publish(drafts, tmp_path / "hooks", 2).rename(tmp_path / "hooks" / "again")
    text = tmp_path / "hooks" / "again" / "manifest.txtpb"
    text.write_text(text.read_text().replace("version: 2", "version: 1"))
    contents = read_directory(tmp_path / "hooks")
    [problem] = contents.problems
    assert not contents.releases and "stands in another folder" in problem


def test_what_a_door_took_back_stays_so_over_its_restart(tmp_path: Path) -> None:
    history = ReleaseHistory(tmp_path / "history.jsonl", "door-0")
    assert history.rolled_back_versions() == set()
    history.add("hooks", {"whole": 4})
    history.add("hooks withdrawn", {"version": 4, "reason": "it failed"})
    with (tmp_path / "history.jsonl").open("ab") as file:
        file.write(b'{"event": "hooks withd')  # a line cut off by a crash
    assert history.rolled_back_versions() == {4} and len(history.lines()) == 2


def test_sources_and_manifests_beyond_their_bound_are_not_read(tmp_path: Path) -> None:
    made = publish(source(tmp_path / "drafts", words=GOOD), tmp_path / "hooks", 1)
    (made / "words.hook").write_bytes(b"#" * 10_000_000)
    [problem] = read_directory(tmp_path / "hooks").problems
    assert "words.hook: above 65536 bytes" in problem
    (made / "manifest.txtpb").write_bytes(b"#" * 1_000_000)
    assert "manifest.txtpb: above" in read_directory(tmp_path / "hooks").problems[0]
