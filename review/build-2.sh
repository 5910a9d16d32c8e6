#!/bin/sh
# Builds what the scripts of cases 6 to 9 start besides the program. Their stand-ins are Python (standard library
# only) and need no build; this checks that they parse.
cd "$(dirname "$0")" || exit 2
for text in standins-2/rig.py 6/case.py 7/case.py 8/case.py 9/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$text" || exit 1
done
