#!/bin/sh
# The stand-ins of the cases are plain Python of the standard library and run from their source: nothing is
# compiled. This checks that they can be read by the interpreter that will run them.
cd "$(dirname "$0")/.." || exit 1
for file in review/*.py review/*/*.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file" || exit 1
done
