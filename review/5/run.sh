#!/usr/bin/env bash
# Writes record.txt here. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout 110 node case.mjs &
job=$!
trap 'kill "$job" 2>/dev/null; wait "$job"; exit 2' TERM INT
wait "$job"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
