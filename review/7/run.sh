#!/usr/bin/env bash
# Exits with 1 if RECOVER was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: no disruption; TROUBLE=kill: the loss of power without the drill.
cd "$(dirname "$0")" || exit 2
exec timeout 118 python3 play.py
