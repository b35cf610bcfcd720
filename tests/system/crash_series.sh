#!/usr/bin/env bash
# Batch items at engines that crash one after the other are placed again: see tests/soak/crash_series.py.
set -uo pipefail
cd "$(dirname "$0")/../.."
for scenario in neighbours parts online; do
  python3 tests/soak/crash_series.py --scenario "$scenario" --seed 1 || exit 1
done
