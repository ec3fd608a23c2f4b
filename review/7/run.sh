#!/usr/bin/env bash
# Runs the case; exit 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 in the environment does the same without the disruption, and passes.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec python3 -B case.py
