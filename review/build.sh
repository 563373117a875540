#!/bin/sh
# Checks that the stand-ins, which are plain Python, compile; nothing is written.
set -eu
cd "$(dirname "$0")"
for source in lib/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
