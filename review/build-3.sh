#!/bin/sh
# The stand-ins of the scripts in review/12 and review/13 are Python programs of the standard library: nothing has
# to be built. The program itself is built by the build command of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common-3/*.py
rm -rf common-3/__pycache__
