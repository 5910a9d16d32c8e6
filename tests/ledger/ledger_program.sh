#!/bin/sh
# End-to-end test of the relay with a ledger and of the ledger commands: starts, kills and restarts the relay, then
# runs show, correct, verify, export and reconcile.
set -u
relay=$1
config=$2
dir=$(mktemp -d)
pid=
trap '[ -n "$pid" ] && kill -9 $pid 2>/dev/null; rm -rf "$dir"' EXIT
fail() { echo "$*"; cat "$dir/log.txt" 2>/dev/null; exit 1; }
expect_exit() { # expect_exit CODE COMMAND...: requires the exit code; the output is in out.txt
  code=$1; shift
  "$@" >"$dir/out.txt" 2>&1
  got=$?
  [ $got -eq "$code" ] || fail "$*: exit $got, not $code: $(cat "$dir/out.txt")"
}
expect_output() { # expect_output PATTERN: requires the pattern in the last output
  grep -q -- "$1" "$dir/out.txt" || fail "no '$1' in: $(cat "$dir/out.txt")"
}
start_relay() {
  PROXY_LISTEN=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:1 PROXY_CONFIG=$config "$relay" --operator "$dir/op.txtpb" 2>>"$dir/log.txt" &
  pid=$!
}
wait_for_log() { # wait_for_log N PATTERN: waits until N lines of the log match
  for _ in $(seq 100); do
    [ "$(grep -c -- "$2" "$dir/log.txt")" -ge "$1" ] && return
    sleep 0.1
  done
  fail "timed out waiting for $1 log lines with: $2"
}

mkdir "$dir/n0"
printf 'ledger { folder: "%s/n0" period_s: 60 checkpoint_ms: 100 }\n' "$dir" >"$dir/op.txtpb"
start_relay
wait_for_log 1 ' info ready '
for _ in $(seq 100); do [ -s "$dir/n0/ledger.db" ] && break; sleep 0.1; done
expect_exit 0 "$relay" ledger show --operator "$dir/op.txtpb"; expect_output 'ledger of n0'
expect_exit 1 "$relay" ledger show --folder "$dir"; expect_output 'ledger.db'
expect_exit 2 "$relay" ledger show; expect_output 'no ledger'
expect_exit 2 "$relay" ledger correct --folder "$dir/n0" --group g --period yesterday --seconds 1 --reason r --by b
expect_exit 2 "$relay" ledger correct --folder "$dir/n0" --group g --period 60 --seconds 1 --reason r --by b
expect_output 'no period starts at 60'
kill -9 $pid
wait $pid 2>/dev/null
start_relay
wait_for_log 2 ' info ready '
kill -TERM $pid
wait $pid || fail "graceful shutdown: exit code is not 0"
pid=
grep -q 'ledger_store_failures=0 .*ledger_imbalances=0' "$dir/log.txt" || fail "the log has no record with ledger_store_failures=0 and ledger_imbalances=0"
expect_exit 0 "$relay" ledger verify --folder "$dir/n0"; expect_output 'every sum holds'
expect_exit 0 "$relay" ledger export --folder "$dir/n0" --out "$dir/n0.jsonl"; expect_output 'records 1 to 1 of n0'
expect_exit 0 "$relay" ledger reconcile "$dir/n0.jsonl" --format json; expect_output '"relay":"n0"'; expect_output '1 records, 0 duplicates'
sed 's/unattested/unattestee/' "$dir/n0.jsonl" >"$dir/bad.jsonl"
expect_exit 3 "$relay" ledger reconcile "$dir/bad.jsonl" --format csv; expect_output 'bad.jsonl,1,1,damaged'
# One byte of the database file is overwritten.
printf 'X' | dd of="$dir/n0/ledger.db" bs=1 seek=5000 conv=notrunc 2>/dev/null
expect_exit 3 "$relay" ledger verify --folder "$dir/n0"
