"""Builds releases of hooks for tests, and a gateway in virtual time that runs them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from martenstep.hooks.compiler import compile_source
from martenstep.hooks.release import Hook, Release
from martenstep.hooks.release_manager import ReleaseManager
from martenstep.hooks.run_context import never_overdue
from martenstep.hooks.runner import HealthLimits
from tests.engine_rig import Rig


def release(
    version: int,
    *sources: str,
    share: float = 1.0,
    customers: tuple[str, ...] = (),
    canary_customers: tuple[str, ...] = (),
) -> Release:
    """A release of sources with one hook each; without `customers`, the hooks apply to all of them."""
    hooks = []
    for number, source in enumerate(sources):
        program = compile_source(source)
        [point] = program.points
        hooks.append(Hook(point, f"h{number}.hook", program, frozenset(customers)))
    return Release(version, f"digest {version}", tuple(hooks), share, frozenset(canary_customers))


def words(body: str) -> str:
    """The source of a refusal hook; `body` is the expression for the body of the response."""
    return f'on refusal(r, why) {{ Words {{ body: {body}, content_type: "text/plain" }} }}'


class HookRig(Rig):
    """A gateway in virtual time with a release manager."""

    def __init__(
        self,
        *releases: Release,
        text: str = "",
        limits: HealthLimits | None = None,
        begin_deadline: Callable[[], Callable[[], bool]] = lambda: never_overdue,
        servers: tuple[int, ...] = (1, 2, 3, 4),
    ) -> None:
        self.logged: list[tuple[str, dict[str, Any]]] = []
        self.hook_releases = ReleaseManager(
            limits or HealthLimits(),
            lambda event, fields: self.logged.append((event, fields)),
            begin_deadline=begin_deadline,
        )
        self.hook_releases.replace_releases(releases)
        super().__init__('hooks { directory: "hooks" } ' + text, servers, hook_releases=self.hook_releases)

    def events(self) -> list[str]:
        """The names of the events that the release manager logged."""
        return [event for event, _ in self.logged]
