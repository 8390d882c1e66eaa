#!/bin/sh
# Builds what the cases start beyond `run` and `sim`: the project's environment with all packages of pyproject.toml.
set -e
cd "$(dirname "$0")/.."
make -s setup
