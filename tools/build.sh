#!/usr/bin/env bash
# Builds everything into build/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
ninja -C build "$@" | tail -n 1
