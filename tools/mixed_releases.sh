#!/usr/bin/env bash
# An upgrade in place, with real processes: builds the release that deploy/system.toml names as `production`, starts a
# fleet of it on loopback, replaces its processes one by one with those of this tree, back, and forth again.
# Then one store of that release among new ones stands still, and comes back.
# usage: tools/mixed_releases.sh [SEED...]   (needs build/bin/hatchfork; run by hand before each landing)
# Environment: MIXED_FOLDER, where the production release is built and kept (default: build/mixed).
set -euo pipefail
cd "$(dirname "$0")/.."
production=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
[ -n "$production" ] || { echo "deploy/system.toml names no production release" >&2; exit 2; }
folder=${MIXED_FOLDER:-build/mixed}/$production
if [ ! -d "$folder" ]; then
  mkdir -p "$folder"
  git archive "$production" | tar -x -C "$folder"
fi
cmake -S "$folder" -B "$folder/build" -G Ninja >"$folder/cmake.log"
ninja -C "$folder/build" -j3 hatchfork
for seed in "${@:-1}"; do
  python3 tests/soak/mixed_releases.py --old "$folder/build/bin/hatchfork" --new build/bin/hatchfork --seed "$seed"
done
python3 tests/soak/older_store.py --old "$folder/build/bin/hatchfork" --new build/bin/hatchfork
