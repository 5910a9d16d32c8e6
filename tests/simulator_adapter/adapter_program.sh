#!/bin/sh
# Runs the adapter as its host does: lines in, replies out, end of input ends it.
set -u
adapter=$1
out=$(printf '%s\n' '{"atTime":5,"input":[]}' | "$adapter") || { echo "a clean end must exit 0"; exit 1; }
[ "$out" = '{"cmds":[]}' ] || { echo "unexpected reply: $out"; exit 1; }
if out=$(printf '%s\n' '{"atTime":5,"input":[]}' '{"atTime":6}' | "$adapter" 2>stderr.txt); then
  echo "a malformed line must exit non-zero"; exit 1
fi
[ "$out" = '{"cmds":[]}' ] || { echo "output after a malformed line: $out"; exit 1; }
grep -q 'line 2: input: missing' stderr.txt || { echo "message: $(cat stderr.txt)"; exit 1; }
