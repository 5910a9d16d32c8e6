#!/bin/sh
# Runs the relay as a process: reports an invalid configuration, reloads on SIGHUP and exits with 0 after SIGTERM.
set -u
relay=$1
config=$2
fail() { echo "$*"; exit 1; }

PROXY_CONFIG=/nonexistent "$relay" 2>relay_err.txt
[ $? -eq 2 ] || fail "an invalid configuration must exit 2"
grep -q 'bad configuration: /nonexistent' relay_err.txt || fail "wrong error message: $(cat relay_err.txt)"

cp "$config" relay_config.json
: >relay_log.txt  # Otherwise the log of an earlier run could satisfy await_log.
PROXY_LISTEN=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:1 PROXY_CONFIG=relay_config.json "$relay" 2>relay_log.txt &
pid=$!
await_log() { # await_log PATTERN: waits up to 10 s until the log matches PATTERN
  for _ in $(seq 100); do
    grep -q "$1" relay_log.txt && return
    sleep 0.1
  done
  kill "$pid"
  fail "no log line matches '$1' after 10 s: $(cat relay_log.txt)"
}
await_log ' info ready '

# At a reload the discovery address in the file takes precedence over the environment.
sed 's/127.0.0.1:8500/127.0.0.1:2/' "$config" >relay_config.json
kill -HUP "$pid"
await_log 'info reload discovery=127.0.0.1:2$'

# A reload of a truncated file fails and leaves the configuration unchanged.
head -c 300 "$config" >relay_config.json
kill -HUP "$pid"
await_log 'error reload failed, the old configuration stays: not JSON'

kill -USR1 "$pid"
kill -TERM "$pid"
wait "$pid" || fail "a graceful shutdown must exit 0: $(cat relay_log.txt)"
grep -q 'drained, left=0' relay_log.txt || fail "no complete drain in the log: $(cat relay_log.txt)"
grep -q 'info counters accepted=0 .* reloads=1 reloads_failed=1' relay_log.txt || fail "unexpected counters in the log: $(cat relay_log.txt)"
