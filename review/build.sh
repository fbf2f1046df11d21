#!/bin/sh
# Checks that the stand-ins of the scripts can be run: they are Python programs that need
# nothing but the standard library, so there is nothing to compile.
set -eu
cd "$(dirname "$0")"
python3 - standin/*.py [0-9]/*.py <<'CHECK'
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
CHECK
