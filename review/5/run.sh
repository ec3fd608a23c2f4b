#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
timeout --kill-after=5 115 target/review/case-5 "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
