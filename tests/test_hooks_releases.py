"""Releases of hooks: which one is in service for a customer, when one is rolled back, and reading them from disk."""

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
FAILS_AT_TIME_7 = words("text([0][floor(r.time)])")
REQUEST: tuple[Any, ...] = ("GET", "/p/1", "h", "anna", "studio", "read", 1.0, "de", "text/html", [], 0.0)
REFUSAL = (429.0, "quota", 2500.0)
CUSTOMERS = [f"customer-{number}" for number in range(2000)]


class ManagerFixture:
    """A release manager and the events that it logged."""

    def __init__(self, *releases: Release, **limits: Any) -> None:
        self.events: list[str] = []
        self.manager = ReleaseManager(HealthLimits(**limits), lambda event, fields: self.events.append(event))
        self.manager.replace_releases(releases)
        self.now = 1_000_000.0

    def run(self, runner: Runner, time: float = 0.0) -> None:
        """Run the refusal hook once; FAILS_AT_TIME_7 fails at a time of 7."""
        runner.call(
            self.now, "refusal", "anna", "studio", lambda: ((*REQUEST[:-1], time), REFUSAL), lambda result: result, None
        )


@given(
    st.lists(st.tuples(st.integers(1, 9), st.booleans()), unique_by=lambda pair: pair[0], max_size=6),
    st.sets(st.integers(1, 9), max_size=4),
)
@hypo(max_examples=200, deadline=None, derandomize=True)
def test_the_newest_full_release_and_a_newer_canary_are_selected(
    published: list[tuple[int, bool]], rolled_back: set[int]
) -> None:
    releases = [release(version, share=1.0 if is_full else 0.5) for version, is_full in published]
    full, canary = select_releases(releases, rolled_back)
    candidates = {version: is_full for version, is_full in published if version not in rolled_back}
    assert (full.version if full else 0) == max((v for v, is_full in candidates.items() if is_full), default=0)
    newest = max(candidates, default=0)
    assert (canary.version if canary else 0) == (newest if newest and not candidates[newest] else 0)


def test_a_wider_canary_includes_the_customers_of_a_narrower_one() -> None:
    tenth, half = release(2, share=0.1, canary_customers=("vip",)), release(3, share=0.5)
    first, second = ({customer for customer in CUSTOMERS if canary.includes(customer)} for canary in (tenth, half))
    assert first < second and 150 < len(first) < 250 and 900 < len(second) < 1100
    assert tenth.includes("vip") and not tenth.includes(next(iter(second - first)))


def test_a_canary_is_rolled_back_when_the_first_circuit_breaker_opens() -> None:
    fixture = ManagerFixture(release(1, GOOD), release(2, FAILS_AT_TIME_7, share=0.5))
    active = fixture.manager.active
    assert active.canary is not None
    for _ in range(MAX_FAILURES):
        fixture.run(active.canary, 7.0)
    assert fixture.manager.active_versions == {"whole": 1, "trial": 0} and fixture.manager.rolled_back == {2}
    assert fixture.events[-2:] == ["hooks withdrawn", "hooks"]
    fixture.run(active.canary, 7.0)  # a request that began with the canary still runs it
    fixture.manager.replace_releases([release(1, GOOD), release(2, FAILS_AT_TIME_7, share=0.5)])
    assert fixture.manager.active_versions["trial"] == 0  # a reload does not put it back into service
    fixture.manager.replace_releases([release(1, GOOD), release(3, GOOD, share=0.5)])
    assert fixture.manager.active_versions == {"whole": 1, "trial": 3}


def test_a_full_release_is_rolled_back_after_three_openings_without_a_successful_run() -> None:
    fixture = ManagerFixture(release(1, GOOD), release(2, FAILS_AT_TIME_7))
    runner = fixture.manager.active.full
    assert runner is not None
    for _ in range(MAX_FAILURES):
        fixture.run(runner, 7.0)
    assert fixture.manager.active_versions["whole"] == 2  # one opening may be due to unusual requests
    for _ in range(2):
        fixture.now += OPEN_MS
        fixture.run(runner, 7.0)
    assert fixture.manager.active_versions["whole"] == 1 and fixture.manager.counts["withdrawn"] == 1


def test_a_successful_run_between_openings_keeps_a_full_release_in_service() -> None:
    fixture = ManagerFixture(release(1, FAILS_AT_TIME_7))
    runner = fixture.manager.active.full
    assert runner is not None
    for _ in range(4):
        for _ in range(MAX_FAILURES):
            fixture.run(runner, 7.0)
        fixture.now += OPEN_MS
        fixture.run(runner, 0.0)
    assert fixture.manager.active_versions["whole"] == 1 and fixture.manager.counts["refusal breaks"] == 4


def test_a_release_is_rolled_back_above_its_allowed_share_of_failures() -> None:
    fixture = ManagerFixture(release(1, FAILS_AT_TIME_7), max_failure_share=0.05)
    runner = fixture.manager.active.full
    assert runner is not None
    for number in range(99):
        fixture.run(runner, 7.0 if number % 16 == 0 else 0.0)
    assert fixture.manager.active_versions["whole"] == 1
    fixture.run(runner)
    assert fixture.manager.active_versions["whole"] == 0


def test_a_release_is_rolled_back_above_its_allowed_mean_steps() -> None:
    fixture = ManagerFixture(
        release(1, GOOD), release(2, words("text(for x in range(150), n = 0 { n + 1 })")), max_mean_steps=400.0
    )
    runner = fixture.manager.active.full
    assert runner is not None
    for _ in range(100):
        fixture.run(runner)
    assert runner.steps_used / 100 > 400 and runner.steps_used / 100 < MAX_STEPS
    assert fixture.manager.active_versions["whole"] == 1 and fixture.manager.counts["refusal good"] == 100


def test_changed_contents_under_a_known_version_are_not_used() -> None:
    fixture = ManagerFixture(release(1, GOOD))
    runner = fixture.manager.active.full
    other = Release(1, "another digest", ())
    fixture.manager.replace_releases([other])
    assert fixture.manager.active.full is runner and fixture.events[-1] == "hooks changed under a known version"


def test_a_release_without_hooks_takes_all_hooks_out_of_service() -> None:
    fixture = ManagerFixture(release(1, GOOD), release(2))
    runner = fixture.manager.active.runner("anna")
    assert runner is not None and not runner.has("refusal")


# Files --------------------------------------------------------------------------------------------------


def write_sources(folder: Path, **texts: str) -> Path:
    """Write .hook files to a folder, and return it."""
    folder.mkdir(exist_ok=True)
    for name, text in texts.items():
        (folder / f"{name}.hook").write_text(text)
    return folder


def test_a_published_release_is_read_back(tmp_path: Path) -> None:
    drafts = write_sources(tmp_path / "drafts", words=GOOD, log="on log(r, a) { [] }")
    folder = publish(drafts, tmp_path / "hooks", 7, Rollout(0.25, ["anna"], "gentler"))
    contents = read_directory(tmp_path / "hooks")
    [read] = contents.releases
    assert (
        not contents.problems and folder.name == "7" and (read.version, read.share, read.about) == (7, 0.25, "gentler")
    )
    assert {hook.point for hook in read.hooks} == {"refusal", "log"} and read.canary_customers == {"anna"}
    with pytest.raises(ReleaseError, match="a version is never reused"):
        publish(drafts, tmp_path / "hooks", 7)
    assert [path.name for path in (tmp_path / "hooks").iterdir()] == ["7"]


def test_a_release_that_gateways_would_reject_is_not_published(tmp_path: Path) -> None:
    drafts = write_sources(tmp_path / "drafts", words="on refusal(r, why) { 1 }")
    with pytest.raises(ReleaseError, match=r"words\.hook:1:22"):
        publish(drafts, tmp_path / "hooks", 1)
    assert not (tmp_path / "hooks").exists() or not list((tmp_path / "hooks").iterdir())


@pytest.mark.parametrize("name", ["manifest.txtpb", "words.hook"])
def test_an_incomplete_copy_is_rejected_at_whatever_byte_it_stops(tmp_path: Path, name: str) -> None:
    folder = publish(write_sources(tmp_path / "drafts", words=GOOD), tmp_path / "hooks", 1)
    complete = (folder / name).read_bytes()
    # The text format reads "t" as true, so a manifest cut off after it is complete.
    min_length = complete.rindex(b"end: t") + len(b"end: t") if name == "manifest.txtpb" else len(complete)
    for length in range(min_length):
        (folder / name).write_bytes(complete[:length])
        with pytest.raises(ReleaseError):
            read_release(folder)
    (folder / name).write_bytes(complete)
    assert read_release(folder).version == 1


def test_with_trusted_keys_only_releases_signed_by_one_are_used(tmp_path: Path) -> None:
    ours, theirs = create_private_key(tmp_path / "ours.pem"), create_private_key(tmp_path / "theirs.pem")
    assert (tmp_path / "ours.pem").stat().st_mode & 0o777 == 0o600
    drafts, hooks = write_sources(tmp_path / "drafts", words=GOOD), tmp_path / "hooks"
    for version, key in ((1, None), (2, "theirs.pem"), (3, "ours.pem"), (4, "ours.pem"), (5, "ours.pem")):
        publish(drafts, hooks, version, key=load_private_key(tmp_path / key) if key else None)
    with (hooks / "4" / "words.hook").open("a") as file:
        file.write("# changed\n")
    text = (hooks / "5" / "manifest.txtpb").read_text()
    (hooks / "5" / "manifest.txtpb").write_text(text.replace("version: 5", "version: 6"))
    contents = read_directory(hooks, [ours])
    assert [(release.version, release.signer) for release in contents.releases] == [(3, ours)]
    assert contents.problems == [
        "1: is not signed",
        "2: is not signed by a trusted key",
        "4: words.hook: its SHA-256 differs from the manifest's",
        "5: is not signed by a trusted key",
    ]
    assert {release.version for release in read_directory(hooks, [theirs, ours]).releases} == {2, 3}


@pytest.mark.parametrize(
    ("old", "new", "expected_message"),
    [
        ("version: 1", "version: 0", "version: expected at least 1"),
        ("share: 1", "share: 0", "share: expected more than 0"),
        ("share: 1", "share: nan", "share: expected a finite"),
        ('file: "words.hook"', 'file: "../words.hook"', "expected the name of a .hook file"),
        ('file: "words.hook"', 'file: "gone.hook"', "gone.hook: No such file"),
        ('point: "refusal"', 'point: "answer"', "has no hook at the extension point answer"),
        ('point: "refusal"', 'point: "later"', "no point is named 'later'"),
        ("hook {", 'hook { point: "refusal" file: "a.hook" sha256: "' + "0" * 64 + '" } hook {', "never runs"),
        ("end: true", "end: false", "the manifest may be incomplete"),
    ],
)
def test_an_invalid_manifest_is_rejected_with_a_message_about_its_fault(
    tmp_path: Path, old: str, new: str, expected_message: str
) -> None:
    folder = publish(write_sources(tmp_path / "drafts", words=GOOD), tmp_path / "hooks", 1)
    text = (folder / "manifest.txtpb").read_text()
    assert old in text
    (folder / "manifest.txtpb").write_text(text.replace(old, new, 1))
    contents = read_directory(tmp_path / "hooks")
    [problem] = contents.problems
    assert not contents.releases and expected_message in problem


def test_neither_of_two_folders_with_the_same_version_is_used(tmp_path: Path) -> None:
    drafts = write_sources(tmp_path / "drafts", words=GOOD)
    publish(drafts, tmp_path / "hooks", 1)
    publish(drafts, tmp_path / "hooks", 2).rename(tmp_path / "hooks" / "again")
    text = tmp_path / "hooks" / "again" / "manifest.txtpb"
    text.write_text(text.read_text().replace("version: 2", "version: 1"))
    contents = read_directory(tmp_path / "hooks")
    [problem] = contents.problems
    assert not contents.releases and "another folder has version 1 too" in problem


def test_a_restarted_gateway_reads_the_rolled_back_versions_from_its_history(tmp_path: Path) -> None:
    history = ReleaseHistory(tmp_path / "history.jsonl", "door-0")
    assert history.rolled_back_versions() == set()
    history.add("hooks", {"whole": 4})
    history.add("hooks withdrawn", {"version": 4, "reason": "it failed"})
    with (tmp_path / "history.jsonl").open("ab") as file:
        file.write(b'{"event": "hooks withd')  # a line cut off by a crash
    assert history.rolled_back_versions() == {4} and len(history.lines()) == 2


def test_sources_and_manifests_above_their_size_limit_are_rejected(tmp_path: Path) -> None:
    folder = publish(write_sources(tmp_path / "drafts", words=GOOD), tmp_path / "hooks", 1)
    (folder / "words.hook").write_bytes(b"#" * 10_000_000)
    [problem] = read_directory(tmp_path / "hooks").problems
    assert "words.hook: expected at most 65536 bytes" in problem
    (folder / "manifest.txtpb").write_bytes(b"#" * 1_000_000)
    assert "manifest.txtpb: expected at most" in read_directory(tmp_path / "hooks").problems[0]
