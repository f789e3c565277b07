#!/usr/bin/env bash
# Runs every fuzz entry for a limited time over the committed corpus and the inputs it finds itself.
# Usage: tools/fuzz.sh [SECONDS] [ENTRY...]; 20 seconds each by default. Stops at the first failure
# and leaves its input in build/fuzz/found/.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds="${1:-20}"
shift || true
build=build/fuzz

cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DARBUTUS_CORE_ONLY=ON -DARBUTUS_FUZZ=ON >/dev/null
cmake --build "$build" -j "${JOBS:-$(nproc)}" --target fuzz

entries=("$@")
if [ "${#entries[@]}" -eq 0 ]; then
  for program in "$build"/fuzz_*; do
    [ -x "$program" ] && entries+=("${program##*/fuzz_}")
  done
fi

mkdir -p "$build/found"
for entry in "${entries[@]}"; do
  grown="$build/corpus/$entry"
  mkdir -p "$grown" "fuzz/corpus/$entry"
  echo "fuzz $entry: ${seconds} s"
  "$build/fuzz_$entry" -max_total_time="$seconds" -timeout=10 -rss_limit_mb=1024 -max_len=16384 \
    -artifact_prefix="$build/found/$entry-" -print_final_stats=1 \
    "$grown" "fuzz/corpus/$entry" 2>"$build/$entry.log" || {
    tail -n 40 "$build/$entry.log"
    exit 1
  }
  grep -E "number_of_executed_units|new_units_added|peak_rss" "$build/$entry.log"
done
