#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of the cases; they need the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py [1-5]/case.py
