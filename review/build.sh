#!/usr/bin/env bash
# The stand-ins of the review are Python programs without dependencies; nothing is compiled.
set -eu
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
'
