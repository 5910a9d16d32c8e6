#!/bin/sh
# Plays the schedules of a folder with real processes, all at once; each must keep its bounds and show what it tests.
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
  grep -q ' runs, 0 spends, 0 holds, 0 sums' "$out/$name.out" && { echo "$name: nothing was seen"; failures=1; }
done
logged() { grep -hq -- "$2" "$out/$1"/n*.log || { echo "$1: never logged: $2"; failures=1; }; }
logged third-silent 'fleet member name=n0 standing=silent'
logged third-silent 'fleet member name=n0 standing=alive'
logged twins 'fleet: two processes run under one name name=n1'
logged twins "fleet: another process runs under this relay's name name=n1"
noted() { grep -q -- "$2" "$out/$1/history.jsonl" || { echo "$1: not in the history: $2"; failures=1; }; }
noted removed 'n0 knows: n1 alive, n2 alive"'
noted false-witness '"e":"saw","r":"n0","s":"s1","v":"failing"'
exit $failures
