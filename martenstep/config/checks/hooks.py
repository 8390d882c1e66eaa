"""Checks of which hook releases are accepted, and of what hooks may change."""

from __future__ import annotations

import re

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.text_format import FieldPosition

HEX_KEY = re.compile(r"[0-9a-f]{64}")


def check_hooks(checker: SettingsChecker, settings: pb.Door, position: FieldPosition) -> None:
    """Check which hook releases are accepted, and what hooks may change."""
    hooks = settings.hooks
    checker.require_present(hooks, position, "directory")
    for name, known in (
        ("class", {entry.name for entry in getattr(settings, "class")}),
        ("plan", {entry.name for entry in settings.plan}),
        ("customer", {entry.key for entry in settings.customer}),
    ):
        for value, at in zip(getattr(hooks, name), position.all(name), strict=True):
            if value not in known:
                checker.report(at, f"no {name} is named {value!r} (there are: {', '.join(sorted(known)) or 'none'})")
    for key, at in zip(hooks.trusted_key, position.all("trusted_key"), strict=True):
        if not HEX_KEY.fullmatch(key):
            checker.report(at, f"expected an Ed25519 public key of 64 lower-case hex digits, got {len(key)} characters")
    if hooks.HasField("least_units"):
        checker.require_range(hooks, position, "least_units", 0, settings.max_units)
    if hooks.HasField("most_units"):
        checker.require_range(hooks, position, "most_units", hooks.least_units, settings.max_units)
    for prefix, at in zip(hooks.path_prefix, position.all("path_prefix"), strict=True):
        if not prefix.startswith("/"):
            checker.report(at, f"expected a path that begins with '/', got {prefix!r}")
    checker.require_range(hooks, position, "failure_share", 0, 1)
    checker.require_positive(hooks, position, "mean_steps", "backstop_ms")
    checker.require_range(hooks, position, "least_runs", 1)
