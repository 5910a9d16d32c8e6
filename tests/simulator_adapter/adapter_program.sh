#!/bin/sh
# Runs the adapter as the simulator does: it must answer each line, exit with 0 at the end of input, and exit
# with an error at a malformed line.
set -u
adapter=$1
out=$(printf '%s\n' '{"atTime":5,"input":[]}' | "$adapter") || { echo "must exit with 0 at the end of input"; exit 1; }
[ "$out" = '{"cmds":[]}' ] || { echo "unexpected reply: $out"; exit 1; }
if out=$(printf '%s\n' '{"atTime":5,"input":[]}' '{"atTime":6}' | "$adapter" 2>stderr.txt); then
  echo "must exit with an error at a malformed line"; exit 1
fi
[ "$out" = '{"cmds":[]}' ] || { echo "output after a malformed line: $out"; exit 1; }
grep -q 'line 2: input: missing' stderr.txt || { echo "unexpected error message: $(cat stderr.txt)"; exit 1; }
