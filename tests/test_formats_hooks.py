"""Releases of hooks and their history on disk equal files that an earlier version of the program wrote."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from martenstep.hooks.release import Release
from martenstep.hooks.release_files import Rollout, publish, read_directory, read_release
from martenstep.hooks.release_history import ReleaseHistory
from martenstep.hooks.release_manager import ReleaseManager, select_releases
from martenstep.hooks.runner import HealthLimits
from martenstep.hooks.signing import parse_public_key

STORED = Path(__file__).parent / "formats" / "hooks"
PUBLIC_KEY = "8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c"


def private_key() -> Ed25519PrivateKey:
    """A fixed key, so that signatures are the same in each run."""
    return Ed25519PrivateKey.from_private_bytes(bytes([1]) * 32)


def read_files(folder: Path) -> dict[str, bytes]:
    """The contents of all files of a folder, by name."""
    return {file.name: file.read_bytes() for file in sorted(folder.iterdir())}


def publish_canary(directory: Path) -> Path:
    """Publish a signed canary release of the committed sources."""
    return publish(STORED / "drafts", directory, 7, Rollout(0.25, ("ada", "bob"), "a triäl"), key=private_key())


def test_a_release_is_published_as_committed(tmp_path: Path) -> None:
    assert read_files(publish_canary(tmp_path / "hooks")) == read_files(STORED / "releases" / "7")
    assert sorted(read_files(STORED / "releases" / "7")) == ["log.hook", "manifest.sig", "manifest.txtpb", "words.hook"]


def test_the_committed_release_is_read() -> None:
    release = read_release(STORED / "releases" / "7", (PUBLIC_KEY,))
    assert parse_public_key(PUBLIC_KEY) == private_key().public_key()
    assert (release.version, release.share, release.about, release.signer) == (7, 0.25, "a triäl", PUBLIC_KEY)
    assert release.canary_customers == {"ada", "bob"}
    assert [(hook.point, hook.name) for hook in release.hooks] == [("log", "log.hook"), ("refusal", "words.hook")]
    assert release.digest == "3335071a3dbf62ac938da3c727dcfe92ceb9ab86d41a02124480e4692a042b11"
    assert [release.includes(customer) for customer in ("ada", "carl", "dora", "emil", "fritz")] == [
        True,
        False,
        True,
        True,
        True,
    ]
    contents = read_directory(STORED / "releases", (PUBLIC_KEY,))
    assert [release.version for release in contents.releases] == [7] and not contents.problems
    assert select_releases(contents.releases, ()) == (None, contents.releases[0])


def write_history(path: Path) -> None:
    """Write a history of releases that are loaded, changed and rolled back."""
    history = ReleaseHistory(path, "door-0")
    manager = ReleaseManager(HealthLimits(), history.add)
    empty = {version: Release(version, f"digest {version}", (), share) for version, share in ((1, 1.0), (2, 0.5))}
    manager.replace_releases([empty[1]])
    manager.replace_releases(list(empty.values()))
    manager.replace_releases([empty[1], Release(2, "another", (), 0.5)])
    history.add("hooks withdrawn", {"version": 2, "reason": "hook words.hook of point refusal failed"})
    history.add("hooks withdrawn", {"version": 1, "reason": "3 of 4 runs fäiled"})


def test_the_history_is_written_as_committed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "gmtime", lambda: time.struct_time((2026, 1, 2, 3, 4, 5, 4, 2, 0)))
    write_history(tmp_path / "history.jsonl")
    assert (tmp_path / "history.jsonl").read_bytes() == (STORED / "history.jsonl").read_bytes()


def test_the_committed_history_is_read() -> None:
    history = ReleaseHistory(STORED / "history.jsonl", "door-0")
    assert history.rolled_back_versions() == {1, 2}
    lines = history.lines()
    assert [line["event"] for line in lines] == [
        "hooks",
        "hooks",
        "hooks changed under a known version",
        "hooks withdrawn",
        "hooks withdrawn",
    ]
    assert lines[1] == {
        "time": "2026-01-02T03:04:05Z",
        "door": "door-0",
        "event": "hooks",
        "why": "loaded",
        "share": 0.5,
        "whole": 1,
        "trial": 2,
    }


def test_versions_rolled_back_in_the_history_stay_out_of_service() -> None:
    rolled_back = ReleaseHistory(STORED / "history.jsonl", "door-0").rolled_back_versions()
    manager = ReleaseManager(HealthLimits(), lambda event, fields: None, rolled_back=rolled_back)
    manager.replace_releases([Release(version, f"digest {version}", (), 1.0) for version in (1, 2)])
    assert manager.active_versions == {"whole": 0, "trial": 0}
