"""Modules import one way: no circle between modules, and no package imports one that stands above it."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

from martenstep.config.generate import ROOT

# From the bottom up: a package imports only packages of the lines below its own, and itself.
LAYERS: tuple[frozenset[str], ...] = (
    frozenset({"event_log", "backoff", "lifetime", "policy", "transient_errors"}),
    frozenset({"interface", "tasks", "storage", "simulator", "config"}),
    frozenset({"auth", "discovery", "membership", "redis_counter", "hooks"}),
    frozenset({"replication"}),
    frozenset({"maintenance"}),
    frozenset({"counter"}),
    frozenset({"proxy"}),
    frozenset({"node", "supervise"}),
    frozenset({"standins"}),
    frozenset({"lab"}),
    frozenset({"cli"}),
)


def modules() -> dict[str, Path]:
    """All modules of the product by their dotted names."""
    found: dict[str, Path] = {}
    for path in (ROOT / "martenstep").rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        found[name.removesuffix(".__init__")] = path
    return found


def is_for_types_only(node: ast.stmt) -> bool:
    """Whether a statement is an `if TYPE_CHECKING` block, which is not run."""
    return isinstance(node, ast.If) and ast.unparse(node.test) in ("TYPE_CHECKING", "typing.TYPE_CHECKING")


def imported(body: list[ast.stmt]) -> Iterator[str]:
    """Dotted names that a module's own statements import as it is loaded, functions' bodies left out."""
    for node in body:
        if isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                yield f"{node.module}.{alias.name}"
        elif isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name
        elif isinstance(node, ast.If | ast.Try) and not is_for_types_only(node):
            for part in ("body", "orelse", "handlers", "finalbody"):
                for inner in getattr(node, part, []):
                    yield from imported(inner.body if isinstance(inner, ast.ExceptHandler) else [inner])


def graph() -> dict[str, set[str]]:
    """For each module the modules of the product that it imports."""
    names = modules()
    edges: dict[str, set[str]] = {}
    for name, path in names.items():
        tree = ast.parse(path.read_text(encoding="utf-8"))
        found = set()
        for target in imported(tree.body):
            module = target if target in names else target.rpartition(".")[0]
            if module in names and module != name:
                found.add(module)
        edges[name] = found
    return edges


def package(module: str) -> str:
    """The part below `martenstep` that a module belongs to; empty for the root itself."""
    return module.split(".")[1] if "." in module else ""


def test_no_modules_import_each_other_in_a_circle() -> None:
    try:
        order = list(TopologicalSorter(graph()).static_order())
    except CycleError as error:
        pytest.fail(f"circle of imports: {' -> '.join(error.args[1])}")
    assert len(order) > 200


def test_no_package_imports_one_above_it() -> None:
    level = {name: number for number, layer in enumerate(LAYERS) for name in layer}
    upward = [
        f"{module} imports {target}"
        for module, targets in graph().items()
        for target in sorted(targets)
        if package(module) not in ("", "__main__")
        and package(target)
        and package(module) != package(target)
        and level[package(module)] <= level[package(target)]
    ]
    assert upward == []
