"""The pages that describe the code name only files that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from martenstep.config.generate import ROOT

DOCS = ROOT / "docs"
PAGES = (
    "README.md",
    "DEVELOPERS.md",
    *(f"docs/{name}.md" for name in ("architecture", "glossary", "rules")),
    *sorted(path.relative_to(ROOT).as_posix() for kind in ("design", "protocol") for path in DOCS.glob(f"{kind}*.md")),
)
QUOTED_PATH = re.compile(r"`((?:[a-z_0-9]+/)*[a-z_0-9*]+(?:\.py|/))`")
PACKAGE = ROOT / "martenstep"
SEARCH_ROOTS = (ROOT, PACKAGE, ROOT / "tests", *(path.parent for path in PACKAGE.glob("*/__init__.py")))


def named_paths(page: str) -> list[str]:
    """Paths of modules and folders that a page has in back quotes."""
    return QUOTED_PATH.findall((ROOT / page).read_text(encoding="utf-8"))


def exists(name: str) -> bool:
    """Whether a path or pattern matches in the repository, in martenstep, in one of its packages or in the tests."""
    return any(any(root.glob(name.rstrip("/"))) for root in SEARCH_ROOTS)


@pytest.mark.parametrize("page", PAGES)
def test_each_file_that_a_page_names_exists(page: str) -> None:
    assert [name for name in named_paths(page) if not exists(name)] == []


def test_the_architecture_page_names_every_package() -> None:
    text = (ROOT / "docs/architecture.md").read_text(encoding="utf-8")
    packages = [path.parent.name for path in Path(ROOT / "martenstep").glob("*/__init__.py")]
    assert [name for name in packages if f"`{name}`" not in text] == []
