#!/bin/sh
# Build the stand-ins that the cases 4 to 8 start: their own (review/lib2) and the project's (simulation).
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/lib2 simulation || exit 2
PYTHONPATH=target/deps:review:. exec python3 -c "import lib2.cluster"
