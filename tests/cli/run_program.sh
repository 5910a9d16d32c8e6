#!/bin/sh
# Runs the relay as operators do: an invalid configuration is reported, SIGHUP reloads, SIGTERM shuts down with exit 0.
set -u
relay=$1
config=$2
fail() { echo "$*"; exit 1; }

PROXY_CONFIG=/nonexistent "$relay" 2>relay_err.txt
[ $? -eq 2 ] || fail "an invalid configuration must exit 2"
grep -q 'bad configuration: /nonexistent' relay_err.txt || fail "message: $(cat relay_err.txt)"

cp "$config" relay_config.json
: >relay_log.txt  # The log of a former run must not answer for this one.
PROXY_LISTEN=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:1 PROXY_CONFIG=relay_config.json "$relay" 2>relay_log.txt &
pid=$!
await_log() { # await_log PATTERN: waits up to 10 s for it
  for _ in $(seq 100); do
    grep -q "$1" relay_log.txt && return
    sleep 0.1
  done
  kill "$pid"
  fail "never logged: $1: $(cat relay_log.txt)"
}
await_log ' info ready '

# A reload takes up the file, whose discovery address then takes precedence over the environment's.
sed 's/127.0.0.1:8500/127.0.0.1:2/' "$config" >relay_config.json
kill -HUP "$pid"
await_log 'info reload discovery=127.0.0.1:2$'

# A truncated file changes nothing.
head -c 300 "$config" >relay_config.json
kill -HUP "$pid"
await_log 'error reload failed, the old configuration stays: not JSON'

kill -USR1 "$pid"
kill -TERM "$pid"
wait "$pid" || fail "a graceful shutdown must exit 0: $(cat relay_log.txt)"
grep -q 'drained, left=0' relay_log.txt || fail "log: $(cat relay_log.txt)"
grep -q 'info counters accepted=0 .* reloads=1 reloads_failed=1' relay_log.txt || fail "no counters: $(cat relay_log.txt)"
