#!/bin/sh
# Runs late-notice trials concurrently: late_notice.sh HARNESS RELAY "FAULT OPTION..."... Every relay must stop sending
# requests to an endpoint within the grace time after its drain counts as known.
set -u
harness=$1; relay=$2; shift 2
out=$(mktemp -d); trap 'rm -rf "$out"' EXIT
n=0
for trial in "$@"; do
  n=$((n + 1))
  # shellcheck disable=SC2086  # A trial is several words.
  "$harness" late-notice --program "$relay" $trial >"$out/$n" 2>&1 &
  eval "pid_$n=$!"
done
failures=0
k=0
for trial in "$@"; do
  k=$((k + 1))
  eval "wait \$pid_$k" || { echo "late-notice $trial: the bound does not hold"; failures=1; }
  cat "$out/$k"
done
exit $failures
