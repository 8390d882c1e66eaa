"""Regenerates the committed Python code of the schemas: `python -m martenstep.config.generate`."""

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
    """Write the code of every schema below a folder; raises RuntimeError if the protobuf compiler fails."""
    # Imported by name because only developers have the compiler installed, and it has no type annotations.
    protoc = importlib.import_module("grpc_tools.protoc")
    written = []
    for schema in SCHEMAS:
        arguments = ["protoc", f"-I{ROOT}", f"--python_out={out}", f"--pyi_out={out}", str(ROOT / schema)]
        if protoc.main(arguments):
            raise RuntimeError(f"{schema}: protoc failed with arguments {arguments[1:]}")
        stem = schema.removesuffix(".proto")
        written += [out / f"{stem}_pb2.py", out / f"{stem}_pb2.pyi"]
    return written


if __name__ == "__main__":
    for path in generate(ROOT):
        sys.stdout.write(f"{path.relative_to(ROOT)}\n")
