#!/usr/bin/env bash
# Installs the Debian packages that hatchfork is built and tested with. Does nothing where all are there.
set -euo pipefail
packages=(g++ cmake ninja-build ccache mold pkg-config clang clang-format cppcheck curl python3
  libboost1.81-dev libfmt-dev nlohmann-json3-dev libcxxopts-dev libtomlplusplus-dev libxxhash-dev liblua5.4-dev
  libssl-dev libspdlog-dev prometheus-cpp-dev catch2 librapidcheck-dev valgrind)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
