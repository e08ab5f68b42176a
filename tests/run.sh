#!/bin/sh
# The whole check: lint, format, types, tests. Run from the root with the development tools on PATH.
# Types are checked beside the tests; their verdict stands under that of the tests. A failure of any is one of all.
set -eu
ruff check .
ruff format --check .
types=$(mktemp)
mypy >"$types" 2>&1 &
typing=$!
trap 'kill "$typing" 2>/dev/null || :; rm -f "$types"' EXIT
failed=0
python -m pytest -n auto --maxprocesses 8 --dist loadscope --no-loadscope-reorder --max-worker-restart 0 "$@" || failed=$?
wait "$typing" || failed=$?
echo "mypy: $(cat "$types")"
exit "$failed"
