#!/usr/bin/env bash
# No text of two versions of an engine's software: what happened stands in tests/soak/engine_versions.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
status=0
for scenario in mixed uneven rolling gateways stores overlapping all one-version items items-rolling items-overlapping; do
  python3 tests/soak/engine_versions.py --scenario "$scenario" --seed 1 || status=1
done
for seed in 2 3; do
  python3 tests/soak/engine_versions.py --scenario cut --seed "$seed" --seconds 6 || status=1
done
python3 tests/soak/engine_versions.py --scenario rejoined --seed 1 --seconds 12 || status=1
exit $status
