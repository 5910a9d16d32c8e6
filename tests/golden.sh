# Sourced by the golden_*.sh scripts, which set `outputs` to the folder of the golden files. `run NAME COMMAND...`
# records the exit code and output of a command; `compare` compares all recorded outputs with the golden files.
# If GOLDEN_WRITE is set in the environment, `compare` first overwrites the golden files; use this only for
# intended changes of an external format.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "$*"; exit 1; }
mkdir "$work/outputs"
unset PROXY_CONFIG PROXY_NAME PROXY_LISTEN PROXY_DISCOVERY PROXY_MANAGEMENT PROXY_ACCEPT_FD
unset STOATRUN_LOG STOATRUN_OPERATOR

run() {
  name=$1; shift
  "$@" >"$work/stdout" 2>"$work/stderr" </dev/null
  code=$?
  {
    echo "exit code: $code"
    echo "--- standard output"
    cat "$work/stdout"
    echo "--- standard error"
    cat "$work/stderr"
  } >"$work/outputs/$name.txt"
}

compare() {
  if [ -n "${GOLDEN_WRITE:-}" ]; then
    rm -rf "$outputs"
    cp -r "$work/outputs" "$outputs"
  fi
  diff -r -u "$outputs" "$work/outputs" || fail "the output differs from the golden files"
}
