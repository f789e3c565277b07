#!/usr/bin/env bash
# Installs the library from a build directory to a temporary prefix, then builds and runs
# examples/embed against it, as a program outside this tree would.
#
# Symptom: an embedding program does not configure, compile or link.
# Sequence: the library is installed, the program calls find_package(arbutusworks).
# Cause: a header or a library that the build tree finds is not named by the installed package.
set -euo pipefail
source_dir=$(cd "$(dirname "$0")/.." && pwd)
build_dir=${1:?usage: embed_example.sh BUILD_DIR [COMPILER [FLAGS]]}
compiler=${2:-c++}
flags=${3:-} # of the library's build: a library with sanitizers needs a program with them
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

cmake --install "$build_dir" --prefix "$work/prefix" --component library >"$work/install.log"
cmake -S "$source_dir/examples/embed" -B "$work/build" -DCMAKE_PREFIX_PATH="$work/prefix" \
  -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_COMPILER="$compiler" -DCMAKE_CXX_FLAGS="$flags" \
  -DCMAKE_FIND_PACKAGE_NO_PACKAGE_REGISTRY=ON >"$work/configure.log"
cmake --build "$work/build"

# Nothing of the source tree may have been used in place of the installed files.
if grep -rqF "$source_dir/src" "$work/prefix/lib"/*/cmake "$work/prefix/lib"/cmake 2>/dev/null; then
  echo "the installed package points into the source tree" >&2
  exit 1
fi

"$work/build/embed" | tee "$work/output.txt"
grep -q 'it serves again with its standby$' "$work/output.txt"
