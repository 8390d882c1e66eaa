"""Releases on the disk: a folder for each, with its manifest, the signature of that, and the sources.

A release is taken whole or not at all.  The manifest ends with a word of its own and names each source's SHA-256, so
that a copy under way, at whatever byte, is told from a whole one; `publish` writes aside and renames, so that there is
none to begin with.  A signature is Ed25519 (RFC 8032) over the manifest's bytes, which vouch for the sources.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import json
import os
import re
import shutil
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    PublicFormat,
    load_pem_private_key,
)
from google.protobuf import text_format

from martenstep.config.checker import SettingsChecker
from martenstep.config.loading import parse_checked
from martenstep.config.text_format import FieldPosition, SettingsError
from martenstep.hooks import manifest_pb2 as pb
from martenstep.hooks.bytecode import compile_source
from martenstep.hooks.release import Hook, Release
from martenstep.hooks.syntax_tree import MOST_BYTES, HookFault
from martenstep.hooks.types import POINTS

MANIFEST, SIGNATURE = "manifest.txtpb", "manifest.sig"
DOMAIN = b"martenstep hooks manifest 1\n"  # a signature made for this says nothing elsewhere
MOST_MANIFEST = 262_144
MOST_RELEASES = 1000  # folders looked at
MOST_HISTORY = 1_048_576  # bytes at its end that are read
NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,99}\.hook")
SHA256 = re.compile(r"[0-9a-f]{64}")
KEY_BYTES = 32


class ReleaseError(Exception):
    """A folder that holds no release that may be taken: why."""


def key_of(text: str) -> Ed25519PublicKey:
    """A public key from hex; raises ValueError."""
    try:
        raw = bytes.fromhex(text)
    except ValueError:
        raw = b""
    if len(raw) != KEY_BYTES:
        raise ValueError("expected an Ed25519 key of 64 hex digits")
    return Ed25519PublicKey.from_public_bytes(raw)


def _bounded(path: Path, most: int) -> bytes:
    try:
        with path.open("rb") as file:
            data = file.read(most + 1)
    except OSError as error:
        raise ReleaseError(f"{path.name}: {error.strerror}") from None
    if len(data) > most:
        raise ReleaseError(f"{path.name}: above {most} bytes")
    return data


def _text(data: bytes, name: str) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise ReleaseError(f"{name}: not UTF-8 at byte {error.start}") from None


def check_manifest(check: SettingsChecker, made: pb.Manifest, root: FieldPosition) -> None:
    """What a manifest must say."""
    if not made.end:
        check.report(root.at("end"), "missing as the last line: the manifest may be half-written")
    check.require_range(made, root, "version", 1)
    if not 0 < made.share <= 1:
        check.report(root.at("share"), f"expected above 0, to 1, got {made.share:g}")
    if made.trial_customer and made.share >= 1:
        check.report(root.at("trial_customer"), "is of use only with a share below 1")
    for_all: dict[str, int] = {}
    for hook, node in zip(made.hook, root.all("hook"), strict=True):
        check.require_reference(hook, node, "point", set(POINTS), "point")
        if not NAME.fullmatch(hook.file):
            check.report(node.at("file"), f"expected the name of a .hook file beside the manifest, got {hook.file!r}")
        if not SHA256.fullmatch(hook.sha256):
            check.report(node.at("sha256"), "expected 64 hex digits")
        if hook.point in for_all:
            check.report(node, f"never acts: the one at line {for_all[hook.point]} takes all at this point")
        elif not hook.customer and not hook.plan:
            for_all[hook.point] = node.line


def _signer(folder: Path, manifest: bytes, trusted: Sequence[str]) -> str:
    """Which trusted key vouches for a manifest; nothing where none is asked for."""
    if not trusted:
        return ""
    if not (folder / SIGNATURE).exists():
        raise ReleaseError("is not signed")
    try:
        signature = base64.b64decode(_bounded(folder / SIGNATURE, 1024).strip(), validate=True)
    except (binascii.Error, ValueError):
        raise ReleaseError(f"{SIGNATURE}: not base64") from None
    for key in trusted:
        try:
            key_of(key).verify(signature, DOMAIN + manifest)
        except InvalidSignature:
            continue
        return key
    raise ReleaseError("is not signed by a trusted key")


def read_release(folder: Path, trusted: Sequence[str] = ()) -> Release:
    """The release in a folder; raises ReleaseError.  What is not vouched for is not even parsed."""
    raw = _bounded(folder / MANIFEST, MOST_MANIFEST)
    signer = _signer(folder, raw, trusted)
    try:
        made = parse_checked(_text(raw, MANIFEST), pb.Manifest(), MANIFEST, check_manifest)
    except SettingsError as faults:
        raise ReleaseError(str(faults).replace("\n", "; ")[:1000]) from None
    hooks = []
    for hook in made.hook:
        data = _bounded(folder / hook.file, MOST_BYTES)
        if hashlib.sha256(data).hexdigest() != hook.sha256:
            raise ReleaseError(f"{hook.file}: not the file that the manifest names (SHA-256)")
        try:
            program = compile_source(_text(data, hook.file))
        except HookFault as fault:
            raise ReleaseError(f"{hook.file}:{fault}") from None
        if hook.point not in program.points:
            raise ReleaseError(f"{hook.file}: holds no hook on {hook.point}")
        hooks.append(Hook(hook.point, hook.file, program, frozenset(hook.customer), frozenset(hook.plan)))
    return Release(
        made.version,
        hashlib.sha256(raw).hexdigest(),
        tuple(hooks),
        made.share,
        frozenset(made.trial_customer),
        made.about,
        signer,
    )


def read_directory(directory: Path, trusted: Sequence[str] = ()) -> tuple[list[Release], list[str]]:
    """All releases that may be taken, and what is wrong with the others.  Raises OSError where there is no directory.
    Of two folders with one version neither is taken."""
    found: dict[int, Release | None] = {}
    wrong: list[str] = []
    folders = sorted(path for path in directory.iterdir() if path.is_dir() and not path.name.startswith("."))
    if len(folders) > MOST_RELEASES:
        wrong.append(f"{len(folders)} folders, of which the first {MOST_RELEASES} are read: take old ones away")
    for folder in folders[:MOST_RELEASES]:
        try:
            release = read_release(folder, trusted)
        except ReleaseError as error:
            wrong.append(f"{folder.name}: {error}")
            continue
        if release.version in found:
            wrong.append(f"{folder.name}: version {release.version} stands in another folder as well")
            found[release.version] = None
        else:
            found[release.version] = release
    return [release for release in found.values() if release is not None], wrong


def new_key(path: Path) -> str:
    """Write a new private key, for its owner alone; gives the public one in hex.  Raises OSError, also where the file
    is there."""
    key = Ed25519PrivateKey.generate()
    data = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(handle, "wb") as file:
        file.write(data)
    return key.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw).hex()


def load_key(path: Path) -> Ed25519PrivateKey:
    """A private key from PEM; raises ReleaseError."""
    try:
        key = load_pem_private_key(_bounded(path, 16_384), None)
    except (ValueError, TypeError, UnsupportedAlgorithm):
        raise ReleaseError(f"{path.name}: not a private key that can be read") from None
    if not isinstance(key, Ed25519PrivateKey):
        raise ReleaseError(f"{path.name}: not an Ed25519 key")
    return key


def _sync(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def publish(
    source: Path,
    directory: Path,
    version: int,
    *,
    share: float = 1.0,
    about: str = "",
    customers: Iterable[str] = (),
    key: Ed25519PrivateKey | None = None,
) -> Path:
    """Make a release of all .hook files of a folder, or of the hooks that its manifest names, and put it beside the
    others at one stroke.  Raises ReleaseError, OSError."""
    made = pb.Manifest()
    if (source / MANIFEST).exists():
        text = _text(_bounded(source / MANIFEST, MOST_MANIFEST), MANIFEST)
        try:
            made = parse_checked(text, made, MANIFEST, lambda check, message, root: None)
        except SettingsError as faults:
            raise ReleaseError(str(faults)) from None
    else:
        for file in sorted(source.glob("*.hook")):
            try:
                points = compile_source(_text(_bounded(file, MOST_BYTES), file.name)).points
            except HookFault as fault:
                raise ReleaseError(f"{file.name}:{fault}") from None
            for point in points:
                made.hook.add(point=point, file=file.name)
    made.version, made.share, made.end = version, share, True
    if about:
        made.about = about
    made.trial_customer.extend(customers)
    for hook in made.hook:
        hook.sha256 = hashlib.sha256(_bounded(source / hook.file, MOST_BYTES)).hexdigest()
    aside, target = directory / f".new-{version}", directory / str(version)
    if target.exists():
        raise ReleaseError(f"{target.name}: is there already; a version is never used again")
    shutil.rmtree(aside, ignore_errors=True)
    aside.mkdir(parents=True)
    try:
        for name in sorted({hook.file for hook in made.hook}):
            (aside / name).write_bytes((source / name).read_bytes())
            _sync(aside / name)
        # `end` has the highest number, and the format writes fields by their numbers: it is the last line.
        raw = text_format.MessageToString(made).encode()
        if key is not None:
            signature = base64.b64encode(key.sign(DOMAIN + raw)) + b"\n"
            (aside / SIGNATURE).write_bytes(signature)
            _sync(aside / SIGNATURE)
        (aside / MANIFEST).write_bytes(raw)
        _sync(aside / MANIFEST)
        read_release(aside)  # what no door would take is not published
        _sync(aside)
        aside.rename(target)
        _sync(directory)
    except BaseException:
        shutil.rmtree(aside, ignore_errors=True)
        raise
    return target


class History:
    """What became of releases at one door: JSON lines, so that what was withdrawn stays so over a restart."""

    def __init__(self, path: Path, door: str) -> None:
        self._path, self._door = path, door

    def add(self, event: str, fields: dict[str, Any]) -> None:
        """One line; raises OSError."""
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        line = {"time": when, "door": self._door, "event": event, **fields}
        with self._path.open("ab") as file:
            file.write(json.dumps(line).encode() + b"\n")

    def lines(self) -> list[dict[str, Any]]:
        """What is there, the oldest first; a line that cannot be read is left out.  Raises OSError."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(0, os.SEEK_END)
            file.seek(max(file.tell() - MOST_HISTORY, 0))
            data = file.read()
        made = []
        for line in data.splitlines():
            try:
                read = json.loads(line)
            except ValueError:
                continue
            if isinstance(read, dict):
                made.append(read)
        return made

    def withdrawn(self) -> set[int]:
        """The versions that this door took back; raises OSError."""
        return {
            line["version"]
            for line in self.lines()
            if line.get("event") == "hooks withdrawn" and isinstance(line.get("version"), int)
        }
