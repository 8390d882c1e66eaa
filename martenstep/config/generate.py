"""Makes the committed Python code of the schemas anew: `python -m martenstep.config.generate`."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SCHEMAS = (
    "martenstep/config/door.proto",
    "martenstep/lab/day.proto",
    "martenstep/counter/counter.proto",
    "martenstep/hooks/manifest.proto",
    "martenstep/lab/plan.proto",
    "martenstep/lab/fleet/fleet.proto",
)


def generate(out: Path) -> list[Path]:
    """Write the code of every schema below a folder; raises RuntimeError where the compiler fails."""
    # Only developers have the compiler, and it carries no types.
    protoc = importlib.import_module("grpc_tools.protoc")
    made = []
    for schema in SCHEMAS:
        words = ["protoc", f"-I{ROOT}", f"--python_out={out}", f"--pyi_out={out}", str(ROOT / schema)]
        if protoc.main(words):
            raise RuntimeError(f"{schema}: the compiler failed")
        stem = schema.removesuffix(".proto")
        made += [out / f"{stem}_pb2.py", out / f"{stem}_pb2.pyi"]
    return made


if __name__ == "__main__":
    for path in generate(ROOT):
        sys.stdout.write(f"{path.relative_to(ROOT)}\n")
