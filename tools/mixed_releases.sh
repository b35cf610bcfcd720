#!/usr/bin/env bash
# An upgrade in place, with real processes: builds the release that deploy/system.toml names as `production`, starts a
# fleet of it on loopback, replaces its processes one by one with those of this tree, back, and forth again.
# Then one store of a release that forgets the ends of unknown jobs stands still among new ones, and comes back.
# usage: tools/mixed_releases.sh [SEED...]   (needs build/bin/hatchfork; run by hand before each landing)
# Environment: MIXED_FOLDER, where the older releases are built and kept (default: build/mixed).
set -euo pipefail
cd "$(dirname "$0")/.."
production=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
[ -n "$production" ] || { echo "deploy/system.toml names no production release" >&2; exit 2; }
# The last release whose stores forget the ends of jobs that they do not have.
forgetful=42c41c92adc40b1dd923219539cd6e345a8f52ca

build_release() {  # COMMIT; prints its program
  local folder=${MIXED_FOLDER:-build/mixed}/$1
  if [ ! -d "$folder" ]; then
    mkdir -p "$folder"
    git archive "$1" | tar -x -C "$folder"
  fi
  cmake -S "$folder" -B "$folder/build" -G Ninja >"$folder/cmake.log"
  ninja -C "$folder/build" -j3 hatchfork >&2
  echo "$folder/build/bin/hatchfork"
}

old=$(build_release "$production")
for seed in "${@:-1}"; do
  python3 tests/soak/mixed_releases.py --old "$old" --new build/bin/hatchfork --seed "$seed"
done
older=$(build_release "$forgetful")
python3 tests/soak/older_store.py --old "$older" --new build/bin/hatchfork
