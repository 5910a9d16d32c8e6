#!/bin/sh
# Builds the stand-ins of the review's cases. They are Python programs, so this checks that the interpreter is there
# and that each compiles. Needs no network.
set -eu
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py <<'END'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("ok", path)
END
