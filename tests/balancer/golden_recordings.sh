#!/bin/sh
# The decision module takes the recorded actions: each recording under golden/recordings is played again.
set -u
replay=$1
recordings=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
fail() { echo "$*"; exit 1; }

for packed in "$recordings"/*.txt.gz; do
  name=$(basename "$packed" .gz)
  gzip -dc "$packed" >"$dir/$name" || fail "$packed cannot be unpacked"
  batches=$(grep -c '^{"atTime"' "$dir/$name")
  [ "$batches" -ge 100 ] || fail "$packed holds only $batches batches"
  "$replay" "$dir/$name" >"$dir/out.txt" 2>&1 || fail "$name: $(cat "$dir/out.txt")"
  grep -q ": $batches batches, the same actions\$" "$dir/out.txt" || fail "$name: $(cat "$dir/out.txt")"
done
# The wire's messages and actions that the recordings must cover between them.
cat "$dir"/*.txt >"$dir/all"
for word in Attach CrashNow Due FirstByte Gone Incoming Members Notice ProbeDone Result Resumed \
            AskLoad Migrate NotNow Send SetTimer Surrender Watch; do
  grep -q "\[\"$word\"" "$dir/all" || fail "no recording holds '$word'"
done
