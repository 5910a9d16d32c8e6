#!/bin/sh
# Runs the relay as its operators do: a bad configuration is named, a planned end exits 0.
set -u
relay=$1
config=$2
PROXY_CONFIG=/nonexistent "$relay" 2>relay_err.txt
[ $? -eq 2 ] || { echo "a bad configuration must exit 2"; exit 1; }
grep -q 'bad configuration: /nonexistent' relay_err.txt || { echo "message: $(cat relay_err.txt)"; exit 1; }

cp "$config" relay_config.json
PROXY_LISTEN=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:1 PROXY_CONFIG=relay_config.json "$relay" 2>relay_log.txt &
pid=$!
# SIGHUP takes up the file, whose discovery then goes before the environment's; half a file changes nothing.
await() {
  for _ in $(seq 100); do
    grep -q "$1" relay_log.txt && return
    sleep 0.1
  done
  echo "never came: $1: $(cat relay_log.txt)"
  kill "$pid"
  exit 1
}
await ' info ready '
sed 's/127.0.0.1:8500/127.0.0.1:2/' "$config" >relay_config.json
kill -HUP "$pid"
await 'info reload discovery=127.0.0.1:2$'
head -c 300 "$config" >relay_config.json
kill -HUP "$pid"
await 'error reload failed, the old configuration stays: not JSON'
kill -USR1 "$pid"
kill -TERM "$pid"
wait "$pid" || { echo "a planned end must exit 0: $(cat relay_log.txt)"; exit 1; }
grep -q 'drained, left=0' relay_log.txt || { echo "log: $(cat relay_log.txt)"; exit 1; }
grep -q 'info counters accepted=0 .* reloads=1 reloads_failed=1' relay_log.txt || { echo "no counters: $(cat relay_log.txt)"; exit 1; }
