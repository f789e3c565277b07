#!/usr/bin/env bash
# Checks every model in this directory with spin: the full protocol must satisfy all properties, the removal of each
# safeguard must violate the property that checks.txt names, and each hazard must be reachable in the full protocol.
#
#   spec/check.sh [--long] [TEXT]    TEXT: only runs whose model or switches contain it
#
# The runs are listed in checks.txt, those that take minutes in checks-long.txt. Work files go to build/spec. The exit
# status is 1 if any run does not give its expected verdict; an incomplete search is never a pass.
set -uo pipefail
cd "$(dirname "$0")" || exit 1
spec=$PWD
work=$(cd .. && pwd)/build/spec
checks=checks.txt
memory_mb=${SPEC_MEMORY_MB:-2048} # per run; pan stops when it needs more
if [ "${1:-}" = --long ]; then
  checks=checks-long.txt
  memory_mb=${SPEC_MEMORY_MB:-4096}
  shift
fi
only=${1:-}
jobs=${SPEC_JOBS:-3}
compiler=gcc
command -v ccache >/dev/null && compiler='ccache gcc'
mkdir -p "$work"

# Removes blanks and parentheses, in which the assertion printed by pan differs from the one in the list.
plain() {
  local text=${1//[ ()]/}
  [ "$text" = 0 ] && text=reached # the `assert(false)` of a witness
  printf '%s' "$text"
}

# verdict_of LOG: prints `holds`, `reached`, `violates ASSERTION`, `incomplete search` or the error.
verdict_of() {
  local violated
  violated=$(sed -nE 's/^pan:[0-9]+: assertion violated (.*) \(at depth [0-9]+\)$/\1/p' "$1" | head -1)
  if [ "$(plain "$violated")" = reached ]; then
    echo reached
  elif [ -n "$violated" ]; then
    echo "violates $violated"
  elif grep -qE 'out of memory|max search depth too small|Search not completed' "$1"; then
    echo 'incomplete search'
  elif grep -qE 'errors: 0$' "$1"; then
    echo holds
  else
    echo "error: $(tail -1 "$1")"
  fi
}

# check_line LINE: does one run of the list and prints its result in one line.
check_line() {
  local model switches expected dir start states seconds verdict result switch defines=()
  IFS='|' read -r model switches expected <<<"$1"
  model=${model// /}
  switches=${switches// /}
  expected=$(sed -E 's/^ +| +$//g' <<<"$expected")
  dir="$work/$model-${switches//[^A-Za-z0-9_=]/_}"
  rm -rf "$dir"
  mkdir -p "$dir"
  cd "$dir" || return
  for switch in ${switches//,/ }; do
    [ "$switch" = full ] || defines+=("-D$switch")
  done
  start=$(date +%s%N)
  if spin "${defines[@]}" -a "$spec/$model.pml" >spin.log 2>&1 &&
    $compiler -O2 -w -DSAFETY -DNOFAIR -DCOLLAPSE -DMEMLIM="$memory_mb" -DVECTORSZ=2048 -o pan pan.c >gcc.log 2>&1; then
    ./pan -E -m1000000 -w22 >pan.log 2>&1
    verdict=$(verdict_of pan.log)
    states=$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' pan.log | head -1)
  else
    verdict='does not build'
  fi
  seconds=$((($(date +%s%N) - start) / 100000000))
  if [ "$(plain "${verdict#violates }")" = "$(plain "$expected")" ]; then
    result=passed
  else
    result="FAILED, expected: $expected"
  fi
  printf '%-10s %-40s %-40s %9s states %4d.%d s  %s\n' "$model" "$switches" "$verdict" "${states:-no}" \
    $((seconds / 10)) $((seconds % 10)) "$result"
}
export -f plain verdict_of check_line
export spec work memory_mb compiler

selected=$(awk -F'|' -v only="$only" '!/^ *(#|$)/ && index($1 $2, only)' "$checks")
results=$work/results.$$.txt
xargs -r -P "$jobs" -d '\n' -I{} bash -c 'check_line "$1"' _ {} <<<"$selected" | tee "$results"
runs=$(grep -c . <<<"$selected")
passed=$(grep -c ' passed$' "$results")
rm -f "$results"
echo "$passed passed, $((runs - passed)) failed"
[ "$runs" -gt 0 ] && [ "$passed" -eq "$runs" ]
