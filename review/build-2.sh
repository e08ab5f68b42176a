#!/bin/sh
# Builds what the scripts of the second review start. Their stand-ins are Python of the standard library, which is
# compiled here once to show that it can be; the programs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml first" >&2; exit 1; }
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in review/stage2.py review/[4-8]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' "$file" "$out/x"
done
