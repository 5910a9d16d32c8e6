#!/bin/sh
# Runs the relay as its operators do: a bad configuration is named, a planned end exits 0.
set -u
relay=$1
config=$2
PROXY_CONFIG=/nonexistent "$relay" 2>relay_err.txt
[ $? -eq 2 ] || { echo "a bad configuration must exit 2"; exit 1; }
grep -q 'bad configuration: /nonexistent' relay_err.txt || { echo "message: $(cat relay_err.txt)"; exit 1; }

PROXY_LISTEN=127.0.0.1:0 PROXY_CONFIG=$config "$relay" 2>relay_log.txt &
pid=$!
for _ in $(seq 100); do
  grep -q ' info ready ' relay_log.txt && break
  sleep 0.1
done
grep -q ' info ready ' relay_log.txt || { echo "never ready: $(cat relay_log.txt)"; kill "$pid"; exit 1; }
kill -USR1 "$pid"
kill -TERM "$pid"
wait "$pid" || { echo "a planned end must exit 0: $(cat relay_log.txt)"; exit 1; }
grep -q 'drained, left=0' relay_log.txt || { echo "log: $(cat relay_log.txt)"; exit 1; }
grep -q 'info counters accepted=0 ' relay_log.txt || { echo "no counters: $(cat relay_log.txt)"; exit 1; }
