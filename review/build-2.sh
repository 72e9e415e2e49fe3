#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: they need nothing but the interpreter, and are compiled here.
set -eu
cd "$(dirname "$0")"
for folder in lib2 6 7 8 9 10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
