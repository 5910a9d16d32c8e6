#!/bin/sh
# The command line: usage, version, check, the operator file with its faults, JSON records, reload.
set -u
relay=$1
config=$2
shipped=$3
fail() { echo "$*"; exit 1; }
expect() { # expect CODE COMMAND...: the output lies in cli_out.txt
  code=$1; shift
  "$@" >cli_out.txt 2>&1
  got=$?
  [ $got -eq "$code" ] || fail "$*: exit $got, not $code: $(cat cli_out.txt)"
}
says() { grep -q -- "$1" cli_out.txt || fail "no '$1' in: $(cat cli_out.txt)"; }

expect 0 "$relay" --help; says run; says check
expect 0 "$relay" --version; says '^stoatrun [0-9]'
expect 2 "$relay" fly
expect 2 "$relay" run --operator
expect 2 env -u PROXY_CONFIG "$relay"; says 'PROXY_CONFIG: not set'
expect 0 env PROXY_CONFIG="$config" "$relay" check --operator "$shipped"; says 'level: INFO'; says 'listen: 127.0.0.1:8000'
says 'management: none'
expect 0 env PROXY_CONFIG="$config" PROXY_MANAGEMENT=127.0.0.1:9 PROXY_ACCEPT_FD=4 "$relay" check
says 'management: 127.0.0.1:9'; says 'handed down as descriptor 4'
# A handed-down descriptor that is no listening socket ends the start with its name, not a crash.
expect 2 env PROXY_CONFIG="$config" PROXY_ACCEPT_FD=7 "$relay" run 7</dev/null; says 'PROXY_ACCEPT_FD: descriptor 7 is not a socket'
expect 2 env PROXY_CONFIG="$config" PROXY_ACCEPT_FD=x "$relay" run; says "PROXY_ACCEPT_FD: expected the number of a descriptor, got 'x'"
printf 'log {\n  level: DEBUG\n  colour: 1\n}\n' >cli_operator.txtpb
expect 2 env PROXY_CONFIG="$config" STOATRUN_OPERATOR=cli_operator.txtpb "$relay" check; says 'cli_operator.txtpb:3:9: .*colour'
expect 2 env PROXY_CONFIG="$config" "$relay" --operator /nonexistent run; says '/nonexistent: No such file'

# The fleet's section: a relay that it does not name is told so; the commands say why they can't ask.
printf 'fleet { name: "f" places: 2\n peer { place: 0 name: "other" address: "127.0.0.1:1" } }\n' >cli_operator.txtpb
expect 2 env PROXY_CONFIG="$config" PROXY_LISTEN=127.0.0.1:0 "$relay" run --operator cli_operator.txtpb
says "fleet.peer: none is named 'n0', as this relay is"
expect 1 "$relay" fleet status --address 127.0.0.1:1; says '127.0.0.1:1: connect: Connection refused'
expect 2 "$relay" fleet status --address here; says "expected IP:PORT, got 'here'"
expect 3 "$relay" fleet check --address 127.0.0.1:1; says '0 of 1 relays answered'

printf 'log { form: JSON }\n' >cli_operator.txtpb
PROXY_LISTEN=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:1 PROXY_CONFIG=$config "$relay" run --operator cli_operator.txtpb 2>cli_out.txt &
pid=$!
trap 'kill $pid 2>/dev/null' EXIT
await() {
  for _ in $(seq 100); do grep -q -- "$1" cli_out.txt && return; sleep 0.1; done
  fail "never came: $1: $(cat cli_out.txt)"
}
await '^{"time_ms":[0-9]*,"level":"info","event":"ready","name":"n0","port":[0-9]*}$'
printf 'log { form: TEXT level: DEBUG }\n' >cli_operator.txtpb
kill -HUP $pid
await ' info reload discovery='
printf 'log {\n  form: LOUD }\n' >cli_operator.txtpb
kill -HUP $pid
await 'error reload failed, the old configuration stays: cli_operator.txtpb:2:9: '
kill -TERM $pid
wait $pid || fail "a planned end must exit 0: $(cat cli_out.txt)"
await 'info counters accepted=0 .*reloads_failed=1'
