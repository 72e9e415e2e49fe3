#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: they need nothing but the interpreter, and are compiled here.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib2 6 7 8 9 10 2>/dev/null || python3 -m compileall -q lib2
for file in lib2/*.py; do python3 -m py_compile "$file"; done
