#!/bin/sh
# Runs all schedules of a folder concurrently, each with its own fleet of real processes. Every run must keep the
# bounds of its history and show the event that it tests in its logs or history.
set -u
harness=$1; relay=$2; schedules=$3
out=$(mktemp -d); trap 'rm -rf "$out"' EXIT
for f in "$schedules"/*.txt; do
  name=$(basename "$f" .txt)
  "$harness" run "$f" --program "$relay" --folder "$out/$name" >"$out/$name.out" 2>&1 &
  eval "pid_$(echo "$name" | tr - _)=$!"
done
failures=0
for f in "$schedules"/*.txt; do
  name=$(basename "$f" .txt)
  eval "wait \$pid_$(echo "$name" | tr - _)"; code=$?
  if [ $code -ne 0 ]; then echo "$name: exit $code"; cat "$out/$name.out"; failures=1; fi
  grep -q ' runs, 0 rate units spent, 0 units acquired, 0 fleet totals' "$out/$name.out" && { echo "$name: the history has no quota use and no totals to check"; failures=1; }
done
logged() { grep -hq -- "$2" "$out/$1"/n*.log || { echo "$1: missing in the logs: $2"; failures=1; }; }
logged third-silent 'fleet member name=n0 standing=silent'
logged third-silent 'fleet member name=n0 standing=alive'
logged twins 'fleet: two processes run under one name name=n1'
logged twins "fleet: another process runs under this relay's name name=n1"
noted() { grep -q -- "$2" "$out/$1/history.jsonl" || { echo "$1: missing in the history: $2"; failures=1; }; }
noted removed 'n0 member states: n1 alive, n2 alive"'
noted false-witness '"e":"saw","r":"n0","s":"s1","v":"failing"'
exit $failures
