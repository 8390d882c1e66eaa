"""Releases of hooks for tests, and a door in virtual time that runs them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from martenstep.hooks.bytecode import compile_source
from martenstep.hooks.release import Hook, Release
from martenstep.hooks.release_manager import Shelf
from martenstep.hooks.runner import Limits
from martenstep.hooks.virtual_machine import NEVER
from tests.door_rig import Rig


def release(
    version: int, *sources: str, share: float = 1.0, customers: tuple[str, ...] = (), trial: tuple[str, ...] = ()
) -> Release:
    """A release of whole sources, each with one hook, for all customers or for some."""
    hooks = []
    for number, source in enumerate(sources):
        program = compile_source(source)
        [point] = program.points
        hooks.append(Hook(point, f"h{number}.hook", program, frozenset(customers)))
    return Release(version, f"digest {version}", tuple(hooks), share, frozenset(trial))


def words(body: str) -> str:
    """A refusal hook with a body."""
    return f'on refusal(r, why) {{ Words {{ body: {body}, content_type: "text/plain" }} }}'


class HookRig(Rig):
    """A door with a shelf."""

    def __init__(
        self,
        *releases: Release,
        text: str = "",
        limits: Limits | None = None,
        late: Callable[[], Callable[[], bool]] = lambda: NEVER,
        servers: tuple[int, ...] = (1, 2, 3, 4),
    ) -> None:
        self.told: list[tuple[str, dict[str, Any]]] = []
        self.shelf = Shelf(limits or Limits(), lambda event, fields: self.told.append((event, fields)), late=late)
        self.shelf.stock(releases)
        super().__init__('hooks { directory: "hooks" } ' + text, servers, shelf=self.shelf)

    def events(self) -> list[str]:
        """What was told, in a word each."""
        return [event for event, _ in self.told]
