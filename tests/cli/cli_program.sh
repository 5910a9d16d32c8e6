#!/bin/sh
# The command line: usage, version, check, errors in the operator file, JSON log records, reload.
set -u
relay=$1
config=$2
shipped=$3
fail() { echo "$*"; exit 1; }
expect() { # expect CODE COMMAND...: runs it; its output goes to cli_out.txt
  code=$1; shift
  "$@" >cli_out.txt 2>&1
  got=$?
  [ $got -eq "$code" ] || fail "$*: exit $got, not $code: $(cat cli_out.txt)"
}
output_has() { grep -q -- "$1" cli_out.txt || fail "no '$1' in: $(cat cli_out.txt)"; }

expect 0 "$relay" --help; output_has run; output_has check
expect 0 "$relay" --version; output_has '^stoatrun [0-9]'
expect 2 "$relay" fly
expect 2 "$relay" run --operator
expect 2 env -u PROXY_CONFIG "$relay"; output_has 'PROXY_CONFIG: not set'
expect 0 env PROXY_CONFIG="$config" "$relay" check --operator "$shipped"; output_has 'level: INFO'; output_has 'listen: 127.0.0.1:8000'
output_has 'management: none'
expect 0 env PROXY_CONFIG="$config" PROXY_MANAGEMENT=127.0.0.1:9 PROXY_ACCEPT_FD=4 "$relay" check
output_has 'management: 127.0.0.1:9'; output_has 'handed down as descriptor 4'
# An inherited descriptor that is no listening socket is reported by name and number.
expect 2 env PROXY_CONFIG="$config" PROXY_ACCEPT_FD=7 "$relay" run 7</dev/null; output_has 'PROXY_ACCEPT_FD: descriptor 7 is not a socket'
expect 2 env PROXY_CONFIG="$config" PROXY_ACCEPT_FD=x "$relay" run; output_has "PROXY_ACCEPT_FD: expected a file descriptor number, got 'x'"
printf 'log {\n  level: DEBUG\n  colour: 1\n}\n' >cli_operator.txtpb
expect 2 env PROXY_CONFIG="$config" STOATRUN_OPERATOR=cli_operator.txtpb "$relay" check; output_has 'cli_operator.txtpb:3:9: .*colour'
expect 2 env PROXY_CONFIG="$config" "$relay" --operator /nonexistent run; output_has '/nonexistent: No such file'

# The fleet section: a relay that it does not name is an error; the fleet commands report why a relay did not answer.
printf 'fleet { name: "f" places: 2\n peer { place: 0 name: "other" address: "127.0.0.1:1" } }\n' >cli_operator.txtpb
expect 2 env PROXY_CONFIG="$config" PROXY_LISTEN=127.0.0.1:0 "$relay" run --operator cli_operator.txtpb
output_has "fleet.peer: none is named 'n0', as this relay is"
expect 1 "$relay" fleet status --address 127.0.0.1:1; output_has '127.0.0.1:1: connect: Connection refused'
expect 2 "$relay" fleet status --address here; output_has "expected IP:PORT, got 'here'"
expect 3 "$relay" fleet check --address 127.0.0.1:1; output_has '0 of 1 relays answered'

printf 'log { form: JSON }\n' >cli_operator.txtpb
PROXY_LISTEN=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:1 PROXY_CONFIG=$config "$relay" run --operator cli_operator.txtpb 2>cli_out.txt &
pid=$!
trap 'kill $pid 2>/dev/null' EXIT
await_log() { # await_log PATTERN: waits up to 10 s for it
  for _ in $(seq 100); do grep -q -- "$1" cli_out.txt && return; sleep 0.1; done
  fail "never logged: $1: $(cat cli_out.txt)"
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
