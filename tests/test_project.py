"""What the project promises of its own files."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_module_keeps_its_budget() -> None:
    lines = (ROOT / "martenstep/decide.py").read_text(encoding="utf-8").splitlines()
    assert sum(1 for line in lines if line.strip()) <= 650
    assert max(map(len, lines)) <= 110
    assert "martenstep/interface.py" in lines[0]


def test_no_state_outside_the_instances() -> None:
    text = (ROOT / "martenstep/decide.py").read_text(encoding="utf-8")
    top = [line for line in text.splitlines() if re.match(r"[A-Za-z_]+\s*(:[^=]*)?=", line)]
    assert top and all(re.match(r"[A-Z_]+ = [\d(]", line) for line in top)
    assert "hash(" not in text and "time.time" not in text


def test_the_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    [example] = re.findall(r"```python\n(.*?)```", text, re.S)
    space: dict[str, object] = {}
    exec(compile(example, "README.md", "exec"), space)
    assert space["sent"]
