#!/usr/bin/env bash
# Formatter over the whole tree, linter over the decision library: both must be clean.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | xargs -r clang-format --dry-run --Werror
git ls-files 'src/base/*.cpp' 'src/request/*.cpp' 'src/version/*.cpp' 'src/process/*.cpp' |
  xargs -r -P "${JOBS:-$(nproc)}" -n 2 clang-tidy --quiet -p build/release 2>/dev/null
echo "lint: clean"
