#!/usr/bin/env bash
# Runs clang-format over the whole tree and clang-tidy over the decision library; both must be clean.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cpp' | xargs -r clang-format --dry-run --Werror
git ls-files 'src/base/*.cpp' 'src/request/*.cpp' 'src/version/*.cpp' 'src/process/*.cpp' \
    'src/admission/*.cpp' 'src/capacity/*.cpp' |
  xargs -r -P "${JOBS:-$(nproc)}" -n 2 clang-tidy --quiet -p build/release 2>/dev/null
# Measurements and the history of tuning belong in commits and docs/, not in comments.
if git grep -nE '//.*([0-9]\.[0-9]{2,} (before|to|after)|[Mm]easured: |heaviest days|on a day with|[Ww]orth of [0-9])' \
    -- src platform; then
  echo "lint: the comments above contain measurements or tuning history" >&2
  exit 1
fi
echo "lint: clean"
