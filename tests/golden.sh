# Sourced by the golden_*.sh scripts, which set `outputs`, the folder of the golden outputs. Each `run NAME
# COMMAND...` keeps one command's exit code and output; `compare` holds all of them against the golden ones.
# With GOLDEN_WRITE set in the environment the golden outputs are written anew instead, which is for intended
# changes of an outer form only.
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
  diff -r -u "$outputs" "$work/outputs" || fail "the output is not the golden one"
}
