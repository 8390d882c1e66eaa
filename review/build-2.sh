#!/bin/sh
# Builds what the cases of the second review start beyond `run` and `sim`: the programs `martenstep serve` and `counter`,
# in .ci-venv with the packages of pyproject.toml.  The stand-ins of the cases need only Python's standard library.
set -e
cd "$(dirname "$0")/.."
.ci-venv/bin/python -c '' 2>/dev/null || rm -rf .ci-venv  # none yet, or carried over from a machine of another kind
make setup
.ci-venv/bin/martenstep --help >/dev/null
