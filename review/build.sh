#!/bin/sh
# Builds the stand-ins of the cases. They need the standard library only, so it is enough that they compile.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.py review/*/case.py; do
    python3 -S -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
