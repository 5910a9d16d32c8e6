#!/bin/sh
# The relay with a ledger as operators run it: serves, is killed, goes on; then show, correct, export, reconcile.
set -u
relay=$1
config=$2
dir=$(mktemp -d)
pid=
trap '[ -n "$pid" ] && kill -9 $pid 2>/dev/null; rm -rf "$dir"' EXIT
fail() { echo "$*"; cat "$dir/log.txt" 2>/dev/null; exit 1; }
expect() { # expect CODE COMMAND...: the output lies in out.txt
  code=$1; shift
  "$@" >"$dir/out.txt" 2>&1
  got=$?
  [ $got -eq "$code" ] || fail "$*: exit $got, not $code: $(cat "$dir/out.txt")"
}
says() { grep -q -- "$1" "$dir/out.txt" || fail "no '$1' in: $(cat "$dir/out.txt")"; }
start() {
  PROXY_LISTEN=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:1 PROXY_CONFIG=$config "$relay" --operator "$dir/op.txtpb" 2>>"$dir/log.txt" &
  pid=$!
}
await() { # await N TEXT: the log has it N times
  for _ in $(seq 100); do
    [ "$(grep -c -- "$2" "$dir/log.txt")" -ge "$1" ] && return
    sleep 0.1
  done
  fail "never came: $2"
}

mkdir "$dir/n0"
printf 'ledger { folder: "%s/n0" period_s: 60 checkpoint_ms: 100 }\n' "$dir" >"$dir/op.txtpb"
start
await 1 ' info ready '
for _ in $(seq 100); do [ -s "$dir/n0/ledger.db" ] && break; sleep 0.1; done
expect 0 "$relay" ledger show --operator "$dir/op.txtpb"; says 'ledger of n0'
expect 1 "$relay" ledger show --folder "$dir"; says 'ledger.db'
expect 2 "$relay" ledger show; says 'no ledger'
expect 2 "$relay" ledger correct --folder "$dir/n0" --group g --period yesterday --seconds 1 --reason r --by b
expect 2 "$relay" ledger correct --folder "$dir/n0" --group g --period 60 --seconds 1 --reason r --by b
says 'no period starts at 60'
kill -9 $pid
wait $pid 2>/dev/null
start
await 2 ' info ready '
kill -TERM $pid
wait $pid || fail "a planned end must exit 0"
pid=
grep -q 'ledger_store_failures=0 .*ledger_imbalances=0' "$dir/log.txt" || fail "no counters"
expect 0 "$relay" ledger verify --folder "$dir/n0"; says 'every sum holds'
expect 0 "$relay" ledger export --folder "$dir/n0" --out "$dir/n0.jsonl"; says 'records 1 to 1 of n0'
expect 0 "$relay" ledger reconcile "$dir/n0.jsonl" --format json; says '"relay":"n0"'; says '1 records, 0 duplicates'
sed 's/unattested/unattestee/' "$dir/n0.jsonl" >"$dir/bad.jsonl"
expect 3 "$relay" ledger reconcile "$dir/bad.jsonl" --format csv; says 'bad.jsonl,1,1,damaged'
# A single bit of the file itself.
printf 'X' | dd of="$dir/n0/ledger.db" bs=1 seek=5000 conv=notrunc 2>/dev/null
expect 3 "$relay" ledger verify --folder "$dir/n0"
