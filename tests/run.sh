#!/bin/sh
# The whole check: lint, format, types, tests. Run from the root with the development tools on PATH.
set -eu
ruff check .
ruff format --check .
mypy
python -m pytest
