#!/bin/sh
# Replays each recording under golden/recordings and expects the recorded actions.
set -u
replay=$1
recordings=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
fail() { echo "$*"; exit 1; }

for recording in "$recordings"/*.txt.gz; do
  name=$(basename "$recording" .gz)
  gzip -dc "$recording" >"$dir/$name" || fail "cannot decompress $recording"
  batches=$(grep -c '^{"atTime"' "$dir/$name")
  [ "$batches" -ge 100 ] || fail "$recording has only $batches batches, expected at least 100"
  "$replay" "$dir/$name" >"$dir/out.txt" 2>&1 || fail "$name: $(cat "$dir/out.txt")"
  grep -q ": $batches batches, the same actions\$" "$dir/out.txt" || fail "$name: $(cat "$dir/out.txt")"
done
# The wire messages and actions that the recordings together must cover.
cat "$dir"/*.txt >"$dir/all"
for word in Attach CrashNow Due FirstByte Gone Incoming Members Notice ProbeDone Result Resumed \
            AskLoad Migrate NotNow Send SetTimer Surrender Watch; do
  grep -q "\[\"$word\"" "$dir/all" || fail "no recording contains '$word'"
done
