"""Releases on disk: each is a folder with a manifest, the signature of the manifest, and the sources of the hooks.

A release is used only if it is complete.  The manifest ends with the field `end` and has the SHA-256 of each source, so
that an incomplete copy is detected at whatever byte it stops.  `publish` writes a temporary folder and renames it.
"""

from __future__ import annotations

import hashlib
import os
import re
import shutil
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from google.protobuf import text_format

from martenstep.config.checker import SettingsChecker
from martenstep.config.loading import parse_checked
from martenstep.config.text_format import FieldPosition, SettingsError
from martenstep.hooks import manifest_pb2 as pb
from martenstep.hooks.bounded_files import ReleaseError, decode_text, read_bounded
from martenstep.hooks.bytecode import Program
from martenstep.hooks.compiler import compile_source
from martenstep.hooks.release import Hook, Release
from martenstep.hooks.signing import SIGNATURE_FILE, find_signer, sign_manifest
from martenstep.hooks.source import MAX_SOURCE_BYTES, HookSourceError
from martenstep.hooks.types import EXTENSION_POINTS

MANIFEST_FILE = "manifest.txtpb"
MAX_MANIFEST_BYTES = 262_144
MAX_RELEASES = 1000  # folders read in one directory
MAX_MESSAGE_CHARACTERS = 1000
SOURCE_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,99}\.hook")
SHA256_HEX = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True, slots=True)
class Rollout:
    """The customers that a release is published for, and a description of it."""

    share: float = 1.0
    canary_customers: Iterable[str] = ()
    about: str = ""


@dataclass(frozen=True, slots=True)
class DirectoryContents:
    """The releases of a directory that can be used, and for each other folder the reason why it cannot."""

    releases: list[Release]
    problems: list[str]


def check_manifest(checker: SettingsChecker, manifest: pb.Manifest, position: FieldPosition) -> None:
    """Check the fields of a manifest, and report each fault to `checker`."""
    if not manifest.end:
        checker.report(position.at("end"), "missing as the last line: the manifest may be incomplete")
    checker.require_range(manifest, position, "version", 1)
    if not 0 < manifest.share <= 1:
        checker.report(position.at("share"), f"expected more than 0 and at most 1, got {manifest.share:g}")
    if manifest.trial_customer and manifest.share >= 1:
        checker.report(position.at("trial_customer"), "takes effect only with a share below 1")
    lines_for_all: dict[str, int] = {}
    for hook, at in zip(manifest.hook, position.all("hook"), strict=True):
        checker.require_reference(hook, at, "point", set(EXTENSION_POINTS), "point")
        if not SOURCE_NAME.fullmatch(hook.file):
            message = f"expected the name of a .hook file in the manifest's folder, got {hook.file!r}"
            checker.report(at.at("file"), message)
        if not SHA256_HEX.fullmatch(hook.sha256):
            checker.report(at.at("sha256"), "expected 64 hex digits in lower case")
        if hook.point in lines_for_all:
            message = f"never runs: the hook at line {lines_for_all[hook.point]} applies to all customers at this point"
            checker.report(at, message)
        elif not hook.customer and not hook.plan:
            lines_for_all[hook.point] = at.line


def _compile(data: bytes, file_name: str) -> Program:
    try:
        return compile_source(decode_text(data, file_name))
    except HookSourceError as error:
        raise ReleaseError(f"{file_name}:{error}") from None


def _load_hook(folder: Path, entry: pb.Hook) -> Hook:
    data = read_bounded(folder / entry.file, MAX_SOURCE_BYTES)
    if hashlib.sha256(data).hexdigest() != entry.sha256:
        raise ReleaseError(f"{entry.file}: its SHA-256 differs from the manifest's")
    program = _compile(data, entry.file)
    if entry.point not in program.points:
        raise ReleaseError(f"{entry.file}: has no hook at the extension point {entry.point}")
    return Hook(entry.point, entry.file, program, frozenset(entry.customer), frozenset(entry.plan))


def read_release(folder: Path, trusted_keys: Sequence[str] = ()) -> Release:
    """The release in a folder; raises ReleaseError.

    If there are trusted keys, a manifest that none of them signed is not parsed.
    """
    raw = read_bounded(folder / MANIFEST_FILE, MAX_MANIFEST_BYTES)
    signer = find_signer(folder, raw, trusted_keys)
    try:
        manifest = parse_checked(decode_text(raw, MANIFEST_FILE), pb.Manifest(), MANIFEST_FILE, check_manifest)
    except SettingsError as error:
        raise ReleaseError(str(error).replace("\n", "; ")[:MAX_MESSAGE_CHARACTERS]) from None
    return Release(
        manifest.version,
        hashlib.sha256(raw).hexdigest(),
        tuple(_load_hook(folder, entry) for entry in manifest.hook),
        manifest.share,
        frozenset(manifest.trial_customer),
        manifest.about,
        signer,
    )


def read_directory(directory: Path, trusted_keys: Sequence[str] = ()) -> DirectoryContents:
    """All releases of a directory; raises OSError if the directory cannot be read.

    If several folders have the same version, none of them is used.
    """
    releases: dict[int, Release | None] = {}
    problems: list[str] = []
    folders = sorted(path for path in directory.iterdir() if path.is_dir() and not path.name.startswith("."))
    if len(folders) > MAX_RELEASES:
        problems.append(f"{len(folders)} folders, of which only the first {MAX_RELEASES} are read: remove old releases")
    for folder in folders[:MAX_RELEASES]:
        try:
            release = read_release(folder, trusted_keys)
        except ReleaseError as error:
            problems.append(f"{folder.name}: {error}")
            continue
        if release.version in releases:
            problems.append(f"{folder.name}: another folder has version {release.version} too, so neither is used")
            releases[release.version] = None
        else:
            releases[release.version] = release
    return DirectoryContents([release for release in releases.values() if release is not None], problems)


def publish(
    source: Path,
    directory: Path,
    version: int,
    rollout: Rollout | None = None,
    key: Ed25519PrivateKey | None = None,
) -> Path:
    """Create a release and add it to a directory atomically; returns its folder.

    The release has the hooks that the manifest in the folder `source` lists or, without a manifest, all hooks of the
    .hook files there.  Raises ReleaseError and OSError.
    """
    manifest = _draft_manifest(source)
    _complete_manifest(manifest, source, version, rollout or Rollout())
    target = directory / str(version)
    if target.exists():
        raise ReleaseError(f"{target.name}: already exists, and a version is never reused")
    with _temporary_folder(directory / f".new-{version}") as folder:
        for name in sorted({hook.file for hook in manifest.hook}):
            _write_synced(folder / name, (source / name).read_bytes())
        # Fields are written in the order of their numbers; `end` has the highest, so it is the last line.
        raw = text_format.MessageToString(manifest).encode()
        if key is not None:
            _write_synced(folder / SIGNATURE_FILE, sign_manifest(raw, key))
        _write_synced(folder / MANIFEST_FILE, raw)
        read_release(folder)  # fails before publication if gateways would reject the release
        _sync(folder)
        folder.rename(target)
        _sync(directory)
    return target


def _draft_manifest(source: Path) -> pb.Manifest:
    """The manifest in a folder of sources or, without one, a manifest of all hooks there."""
    manifest = pb.Manifest()
    if (source / MANIFEST_FILE).exists():
        text = decode_text(read_bounded(source / MANIFEST_FILE, MAX_MANIFEST_BYTES), MANIFEST_FILE)
        try:
            return parse_checked(text, manifest, MANIFEST_FILE, lambda checker, message, position: None)
        except SettingsError as error:
            raise ReleaseError(str(error)) from None
    for file in sorted(source.glob("*.hook")):
        for point in _compile(read_bounded(file, MAX_SOURCE_BYTES), file.name).points:
            manifest.hook.add(point=point, file=file.name)
    return manifest


def _complete_manifest(manifest: pb.Manifest, source: Path, version: int, rollout: Rollout) -> None:
    manifest.version = version
    manifest.share = rollout.share
    manifest.end = True
    if rollout.about:
        manifest.about = rollout.about
    manifest.trial_customer.extend(rollout.canary_customers)
    for hook in manifest.hook:
        hook.sha256 = hashlib.sha256(read_bounded(source / hook.file, MAX_SOURCE_BYTES)).hexdigest()


@contextmanager
def _temporary_folder(folder: Path) -> Iterator[Path]:
    """Create a folder, and remove it if the block raises an error."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    try:
        yield folder
    except BaseException:
        shutil.rmtree(folder, ignore_errors=True)
        raise


def _write_synced(path: Path, data: bytes) -> None:
    path.write_bytes(data)
    _sync(path)


def _sync(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
