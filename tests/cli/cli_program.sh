#!/bin/sh
# Tests the command line: usage errors, --version, `check`, errors in the operator file, JSON log records and
# reloads.
set -u
relay=$1
config=$2
operator_file=$3
fail() { echo "$*"; exit 1; }
expect() { # expect CODE COMMAND...: runs COMMAND with its output in cli_out.txt; fails unless it exits with CODE
  code=$1; shift
  "$@" >cli_out.txt 2>&1
  actual=$?
  [ $actual -eq "$code" ] || fail "$*: expected exit code $code, got $actual: $(cat cli_out.txt)"
}
output_has() { grep -q -- "$1" cli_out.txt || fail "output does not match '$1': $(cat cli_out.txt)"; }

expect 0 "$relay" --help; output_has run; output_has check
expect 0 "$relay" --version; output_has '^stoatrun [0-9]'
expect 2 "$relay" no-such-command
expect 2 "$relay" run --operator
expect 2 env -u PROXY_CONFIG "$relay"; output_has 'PROXY_CONFIG: not set'
expect 0 env PROXY_CONFIG="$config" "$relay" check --operator "$operator_file"; output_has 'level: INFO'; output_has 'listen: 127.0.0.1:8000'
output_has 'management: none'
expect 0 env PROXY_CONFIG="$config" PROXY_MANAGEMENT=127.0.0.1:9 PROXY_ACCEPT_FD=4 "$relay" check
output_has 'management: 127.0.0.1:9'; output_has 'handed down as descriptor 4'
# An inherited descriptor that is not a socket is reported with the variable's name and the number.
expect 2 env PROXY_CONFIG="$config" PROXY_ACCEPT_FD=7 "$relay" run 7</dev/null; output_has 'PROXY_ACCEPT_FD: descriptor 7 is not a socket'
expect 2 env PROXY_CONFIG="$config" PROXY_ACCEPT_FD=x "$relay" run; output_has "PROXY_ACCEPT_FD: expected a file descriptor number, got 'x'"
printf 'log {\n  level: DEBUG\n  colour: 1\n}\n' >cli_operator.txtpb
expect 2 env PROXY_CONFIG="$config" STOATRUN_OPERATOR=cli_operator.txtpb "$relay" check; output_has 'cli_operator.txtpb:3:9: .*colour'
expect 2 env PROXY_CONFIG="$config" "$relay" --operator /nonexistent run; output_has '/nonexistent: No such file'

# A relay that the fleet section does not name fails to start. The fleet commands report why a request to a relay
# failed.
printf 'fleet { name: "f" places: 2\n peer { place: 0 name: "other" address: "127.0.0.1:1" } }\n' >cli_operator.txtpb
expect 2 env PROXY_CONFIG="$config" PROXY_LISTEN=127.0.0.1:0 "$relay" run --operator cli_operator.txtpb
output_has "fleet.peer: no peer has this relay's name, 'n0'"
expect 1 "$relay" fleet status --address 127.0.0.1:1; output_has '127.0.0.1:1: connect: Connection refused'
expect 2 "$relay" fleet status --address here; output_has "expected IP:PORT, got 'here'"
expect 3 "$relay" fleet check --address 127.0.0.1:1; output_has '0 of 1 relays answered'

printf 'log { form: JSON }\n' >cli_operator.txtpb
PROXY_LISTEN=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:1 PROXY_CONFIG=$config "$relay" run --operator cli_operator.txtpb 2>cli_out.txt &
pid=$!
trap 'kill $pid 2>/dev/null' EXIT
await_log() { # await_log PATTERN: waits up to 10 s until the log matches PATTERN
  for _ in $(seq 100); do grep -q -- "$1" cli_out.txt && return; sleep 0.1; done
  fail "no log line matches '$1' after 10 s: $(cat cli_out.txt)"
}
await_log '^{"time_ms":[0-9]*,"level":"info","event":"ready","name":"n0","port":[0-9]*}$'
printf 'log { form: TEXT level: DEBUG }\n' >cli_operator.txtpb
kill -HUP $pid
await_log ' info reload discovery='
printf 'log {\n  form: LOUD }\n' >cli_operator.txtpb
kill -HUP $pid
await_log 'error reload failed, the old configuration stays: cli_operator.txtpb:2:9: '
kill -TERM $pid
wait $pid || fail "a graceful shutdown must exit 0: $(cat cli_out.txt)"
await_log 'info counters accepted=0 .*reloads_failed=1'
