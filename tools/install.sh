#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the model checks need. Used by
# `make run`, `make check` and `.ci/run`; prints nothing if all are installed.
set -euo pipefail

packages=(
  cmake ninja-build g++ make git curl ccache
  clang clang-format clang-tidy clang-tools libclang-rt-14-dev
  libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev libboost-log1.81-dev
  libboost-program-options1.81-dev libboost-thread1.81-dev libboost-filesystem1.81-dev
  libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev libssl-dev libgtest-dev libgmock-dev spin python3
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
echo "installing: ${missing[*]}"
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends \
  "${missing[@]}" >/dev/null
