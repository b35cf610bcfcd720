#!/usr/bin/env bash
# Records how a release writes each format that crosses processes or restarts, into tests/recorded/<commit>; with the
# samples of that release.
# usage: tools/record_formats.sh CHECKOUT   (a checkout of that release with its build/ made)
set -euo pipefail
cd "$(dirname "$0")/.."
checkout=$(cd "$1" && pwd)
commit=$(git -C "$checkout" rev-parse --short=7 HEAD)
program=$(mktemp)
trap 'rm -f "$program"' EXIT
g++ -std=c++20 -O1 -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION -DFMT_SHARED \
  -I"$checkout/src" -I"$checkout" "$checkout/tests/recorded/record.cc" -o "$program" \
  "$checkout"/build/libhatchfork_driver.a "$checkout"/build/libhatchfork_core.a \
  -lfmt -lspdlog -lcrypto -lxxhash -llua5.4 -lprometheus-cpp-core -lpthread
"$program" "tests/recorded/$commit"
ls -l "tests/recorded/$commit"
