#!/bin/sh
# The stand-ins of the cases are Python scripts of the standard library: nothing is compiled. Checks
# that the interpreter can run them, and that the program under test is there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m py_compile review/common/*.py review/[0-9]*/*.py
find review -name __pycache__ -type d -exec rm -r {} +
test -x target/arbutusworks
