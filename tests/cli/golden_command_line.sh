#!/bin/sh
# Compares the help texts, the output of `stoatrun check` and the messages for invalid files with golden files,
# byte for byte, together with the exit codes.
set -u
relay=$1
example=$2
operator_file=$3
golden=$4
outputs=$golden/command-line/outputs
. "$(dirname "$0")/../golden.sh"

cp "$example" "$work/config.json"
cp "$operator_file" "$work/shipped.txtpb"
cp -r "$golden/command-line/inputs" "$work/inputs"
cd "$work" || exit 1  # Relative paths, because messages repeat the path as given.
check() { # check NAME CONFIG [ARGUMENT...]: runs `stoatrun check` as the case NAME
  name=$1; config=$2; shift 2
  run "$name" env PROXY_CONFIG="$config" "$relay" check "$@"
}

for command in "" run check ledger "ledger show" "ledger verify" "ledger export" "ledger correct" \
               "ledger reconcile" fleet "fleet status" "fleet check"; do
  # shellcheck disable=SC2086  # A sub-command may consist of several words.
  run "help$(printf '%s' "${command:+ $command}" | tr ' ' '-')" "$relay" $command --help
done
run usage-unknown-command "$relay" no-such-command
run usage-unknown-option "$relay" check --fast
run usage-operator-without-file "$relay" run --operator
run usage-ledger-without-command "$relay" ledger
run usage-export-without-out "$relay" ledger export --folder .
run usage-bad-format "$relay" ledger show --folder . --format xml
run usage-bad-since "$relay" ledger export --folder . --out x.jsonl --since 0
run usage-bad-wait "$relay" fleet status --address 127.0.0.1:1 --wait-ms 1
run usage-reconcile-missing-path "$relay" ledger reconcile none.jsonl
run usage-bad-address "$relay" fleet status --address here

check check-example config.json
check check-shipped config.json --operator shipped.txtpb
check check-everything config.json --operator inputs/everything.txtpb
check check-everything-configured inputs/everything.json --operator inputs/everything.txtpb
run check-environment env PROXY_CONFIG=config.json PROXY_NAME=n7 PROXY_LISTEN=127.0.0.1:7 \
    PROXY_DISCOVERY=127.0.0.1:8 PROXY_MANAGEMENT=127.0.0.1:9 PROXY_ACCEPT_FD=4 STOATRUN_LOG=debug \
    STOATRUN_OPERATOR=shipped.txtpb "$relay" check
run check-without-config "$relay" check
run check-bad-log-level env PROXY_CONFIG=config.json STOATRUN_LOG=loud "$relay" check
run check-bad-descriptor env PROXY_CONFIG=config.json PROXY_ACCEPT_FD=x "$relay" check
check check-missing-config none.json
check check-missing-operator-file config.json --operator none.txtpb
for file in inputs/bad-*.txtpb; do
  check "$(basename "$file" .txtpb)" config.json --operator "$file"
done
for file in inputs/bad-*.json; do
  check "$(basename "$file" .json)" "$file"
done
run run-unnamed-in-fleet env PROXY_CONFIG=config.json PROXY_LISTEN=127.0.0.1:0 PROXY_NAME=n9 \
    "$relay" run --operator inputs/fleet.txtpb
compare
