#!/usr/bin/env bash
# A short fault soak of fixed seeds: signals and restarts that overlap, items that fail at each run, promises checked from
# outside. More seeds by hand: see CONTRIBUTING.md.
set -uo pipefail
cd "$(dirname "$0")/../.."
for seed in 1 2; do
  python3 tests/soak/soak.py --seed "$seed" --seconds 30 || exit 1
done
# A job whose submission got no clear answer was kept; the soak took its item, which may run three times, for an online request.
python3 tests/soak/soak.py --seed 29 --seconds 25 || exit 1
# A reload reached processes that had just been started and had not come to their own code yet; the soak never started them again.
python3 tests/soak/soak.py --seed 137 --seconds 25
